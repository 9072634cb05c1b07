//! What a process is told at its start, checked and then immutable.

use std::net::SocketAddr;
use std::time::Duration;

use teaselshunt_routing::BudgetTerms;

/// Settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Address at which other instances know this one.
    pub control: Option<SocketAddr>,
    /// Control addresses of some instances, the same list everywhere.
    pub seeds: Vec<SocketAddr>,
    /// Port, the same on every instance, at which instances tell one another what they have in flight.
    pub peers: Option<u16>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub first: bool,
    /// Time between a request to stop and the kill.
    pub grace: Duration,
    /// Time after a disturbance from which all bounds hold again.
    pub settle: Duration,
    /// Time within which a configuration version must be in force.
    pub apply: Duration,
    /// Time within which a leaving endpoint must get nothing new.
    pub drain: Duration,
    /// Terms for repeats.
    pub repeats: BudgetTerms,
    /// Memory that the process may take, in bytes.
    pub memory: u64,
    /// Failure domains of the deployment; 0 where nothing is said.
    pub domains: u32,
}
