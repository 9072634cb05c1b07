//! The daemon: the process of one entry instance.
//!
//! ```text
//! supervisor
//! ├── control     one thread, which owns the decision core: events in, effects out
//! ├── callers     HTTP for callers; one driver task per request performs the steps that the core decides on
//! ├── operators   HTTP for operators: metrics, status, audit trail, drain
//! ├── peers       QUIC between instances, mutual TLS
//! └── platform    watches the configuration and the list of instances, read only
//! ```
//!
//! The control thread owns all state that decisions depend on. Traffic threads hold only the state of single
//! requests and connections. They send to the control thread through one queue, and never wait for the
//! control thread while they pass tokens on. A panic of the control thread means that an invariant is broken:
//! the process logs this and exits, and the platform replaces the process. Continuing could violate the
//! guarantees that the invariant protects.

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
