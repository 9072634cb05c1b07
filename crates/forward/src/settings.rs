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
    pub callers_address: SocketAddr,
    /// Where readiness is asked for.
    pub readiness_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: Option<SocketAddr>,
    /// Address at which other instances know this one.
    pub control_address: Option<SocketAddr>,
    /// Control addresses of some instances, the same list everywhere.
    pub seeds: Vec<SocketAddr>,
    /// Port, the same on every instance, at which instances tell one another what they have in flight.
    pub gossip_port: Option<u16>,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Time between a request to stop and the kill.
    pub grace_time: Duration,
    /// Time after a disturbance from which all bounds hold again.
    pub recovery_bound: Duration,
    /// Time within which a configuration version must be in force.
    pub apply_bound: Duration,
    /// Time within which a leaving endpoint must get nothing new.
    pub drain_bound: Duration,
    /// Terms for repeats.
    pub retry_budget: BudgetTerms,
    /// Memory that the process may take, in bytes.
    pub memory_bytes: u64,
    /// Failure domains of the deployment; 0 where nothing is said.
    pub domain_count: u32,
}
