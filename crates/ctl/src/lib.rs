//! What operators' tools need beyond the command line: keys of a fleet, and changes in plain words.

mod changes;
mod keys;

pub use changes::describe_changes;
pub use keys::{KeyError, generate_keys};
