//! What operators' tools need beyond the command line: keys of a fleet.

mod keys;

pub use keys::{KeyError, make_keys};
