//! Response of the operators' listener to `GET /status`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use teaselshunt_settings::Role;

/// State of one instance and of the fleet, as this instance sees them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Failure domain.
    pub domain: String,
    /// Active configuration version, 0 for none.
    pub version: u64,
    /// Active revision of the list of instances, 0 for none.
    pub revision: u64,
    /// Whether a graceful shutdown is in progress.
    pub stopping: bool,
    /// Requests in progress.
    pub requests: usize,
    /// Requests waiting for a slot, by pool.
    pub waiting: BTreeMap<String, usize>,
    /// Requests received since the start.
    pub arrived: u64,
    /// Refusals since the start, by code.
    pub refused: BTreeMap<String, u64>,
    /// Other instances.
    pub members: Vec<MemberStatus>,
    /// Endpoints.
    pub endpoints: Vec<EndpointStatus>,
    /// Counters since the start, by class and site.
    pub classes: Vec<ClassStatus>,
    /// Limits of teams; absent in responses of earlier builds.
    #[serde(default)]
    pub teams: Vec<TeamStatus>,
}

/// A team's limit, as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Name.
    pub name: String,
    /// Units per second.
    pub rate: u32,
    /// Units at once.
    pub burst: u32,
    /// Units that may be admitted now; negative while the refill makes up for admissions beyond the limit.
    pub level: i64,
    /// Units that the instance has admitted since its start.
    pub admitted: i64,
}

/// Another instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// `unknown`, `alive`, `suspect` or `dead`.
    pub health: String,
    /// Configuration version that it reported last.
    pub version: u64,
    /// Whether it is shutting down, or marked as leaving in the list of instances.
    pub leaving: bool,
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name.
    pub name: String,
    /// Data centre.
    pub site: String,
    /// Pool.
    pub pool: String,
    /// Role of the endpoint.
    pub role: Role,
    /// Requests of this instance at the endpoint.
    pub own: u32,
    /// Requests of other instances at the endpoint, by the last report.
    pub others: u32,
    /// Slots.
    pub slots: u32,
    /// Whether it is draining or removed, and gets no new work.
    pub leaving: bool,
    /// Whether it is reachable: not paused after failures, and no polls of its load left unanswered.
    pub reachable: bool,
}

/// Counters of one class at one site.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassStatus {
    /// Class.
    pub class: String,
    /// Data centre.
    pub site: String,
    /// Complete responses.
    pub answered: u64,
    /// Complete responses within both latency targets.
    pub good: u64,
    /// Prompt tokens prefilled.
    pub prefilled: u64,
    /// Prompt tokens that were prefilled and not used.
    pub wasted: u64,
}
