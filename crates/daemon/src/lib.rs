//! The daemon: one entry instance as a process.
//!
//! ```text
//! supervisor
//! ├── control     one thread, owns the decision core; events in, effects out
//! ├── callers     HTTP for callers; a driver task per request does the steps that the core decides
//! ├── operators   HTTP for operators: metrics, status, audit trail, drain
//! ├── peers       QUIC between instances, mutual TLS
//! └── platform    watches of configuration and instance list, read only
//! ```
//!
//! All state that decisions rest on lives on the control thread. Traffic threads hold only what belongs to
//! one request or one connection, talk to the control thread through one queue, and never wait for it while
//! they pass tokens on. If the control thread panics, an invariant is broken: the process says so and ends,
//! and the platform replaces it; going on would risk the very promises that the invariant guards.

mod acceptor;
mod audit;
mod bootstrap;
mod callers;
mod control;
mod driver;
mod engines;
mod logs;
mod metrics;
mod operators;
mod peers;
mod platform;
mod supervisor;
mod tls;

pub use supervisor::{StartError, run};
