//! Settings of a process: read at its start, validated and then immutable.

use std::net::SocketAddr;
use std::time::Duration;

use teaselshunt_routing::BudgetTerms;

/// Settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address at which callers connect.
    pub callers_address: SocketAddr,
    /// Address of the readiness check.
    pub readiness_address: SocketAddr,
    /// Address at which metrics are served.
    pub metrics_address: Option<SocketAddr>,
    /// Address by which other instances know this one.
    pub control_address: Option<SocketAddr>,
    /// Control addresses of some instances, some of which may have ended. Lists may differ between instances.
    pub seeds: Vec<SocketAddr>,
    /// UDP and TCP port for gossip and snapshots between instances; the same on every instance.
    pub gossip_port: Option<u16>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Time between a request to stop and the kill.
    pub grace_time: Duration,
    /// Time after a disturbance within which all bounds hold again.
    pub recovery_bound: Duration,
    /// Time within which a configuration version must become active.
    pub apply_bound: Duration,
    /// Time after which a leaving endpoint must get no new requests.
    pub drain_bound: Duration,
    /// Limits of the budget for second attempts.
    pub retry_budget: BudgetTerms,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// Failure domains of the deployment; 0 if unknown.
    pub domain_count: u32,
    /// Whether this instance reaches endpoints through peers where its own links fail, and opens tunnels for peers.
    pub tunnels: bool,
    /// Whether requests are refused for a part of their prompt under which endpoints crash.
    pub part_quarantine: bool,
    /// Parts of load control.
    pub load: LoadSwitches,
}

/// Which parts of load control are in use. Each acts only where the configuration calls for it as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each part is switched by itself")]
pub struct LoadSwitches {
    /// Results at endpoints are summed over instances: limits of plain endpoints are learned, and engines that
    /// fail their work are avoided.
    pub results: bool,
    /// The capacity of contended services is divided among priorities and teams.
    pub admission: bool,
    /// Generations wait at the instance in the order of their priorities.
    pub order: bool,
    /// Engines are sent the rank of a request. Off by default: engines then preempt several times as many
    /// streams, and urgent callers gain nothing, since capacity is reserved before a request is sent.
    pub ranks: bool,
    /// A team at its limit has its more urgent requests admitted first.
    pub quotas: bool,
    /// The pace of engines is learned from the results of all instances.
    pub pace: bool,
    /// Rejected callers are told to return when capacity is expected for them.
    pub returns: bool,
    /// New connections of callers are closed unread while the processor is overloaded.
    pub shedding: bool,
}

impl Default for LoadSwitches {
    fn default() -> Self {
        Self {
            results: true,
            admission: true,
            order: true,
            ranks: false,
            quotas: true,
            pace: true,
            returns: true,
            shedding: true,
        }
    }
}
