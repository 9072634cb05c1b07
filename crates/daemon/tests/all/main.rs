//! The daemon as separate processes, with stand-ins of everything around it inside the test process.
//!
//! Tests wait on conditions, never on elapsed time; [`support::until`] bounds every wait so that a fault ends
//! in a failure and not in a hang.

#![expect(clippy::unwrap_used, reason = "a test that cannot go on says so by a panic")]

mod configuration;
mod input;
mod keys;
mod path;
mod peers;
mod silence;
mod stop;
mod support;
mod teams;
