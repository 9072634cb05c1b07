//! Functions of the operators' tool beyond the command line: keys of a fleet, and readable differences
//! between two configuration versions.

mod changes;
mod keys;

pub use changes::describe_changes;
pub use keys::{KeyError, generate_keys};
