//! Tests of daemons in separate processes, with stand-ins of engines, services and the platform in the test
//! process.
//!
//! Tests wait for conditions instead of fixed times. [`support::until`] bounds every wait, so that a fault
//! results in a failed test and not in a hang.

#![expect(clippy::unwrap_used, reason = "a test that cannot continue panics")]

mod configuration;
mod deadlines;
mod endless;
mod http2;
mod input;
mod keys;
mod path;
mod peers;
mod responses;
mod stalled_streams;
mod stop;
mod support;
mod teams;
