//! The answer of the operators' listener to `GET /status`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use teaselshunt_settings::Role;

/// One instance's view of itself and of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Failure domain.
    pub domain: String,
    /// Configuration version in force, 0 for none.
    pub version: u64,
    /// List revision in use, 0 for none.
    pub revision: u64,
    /// Whether a planned stop is under way.
    pub stopping: bool,
    /// Requests in progress.
    pub requests: usize,
    /// Requests waiting for a slot, by pool.
    pub waiting: BTreeMap<String, usize>,
    /// Requests taken since the start.
    pub arrived: u64,
    /// Refusals since the start, by code.
    pub refused: BTreeMap<String, u64>,
    /// Other instances.
    pub members: Vec<MemberStatus>,
    /// Endpoints.
    pub endpoints: Vec<EndpointStatus>,
    /// Counts since the start, by class and site.
    pub classes: Vec<ClassStatus>,
    /// Limits of teams; absent from instances of earlier builds.
    #[serde(default)]
    pub teams: Vec<TeamStatus>,
}

/// A team's limit, as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Name.
    pub name: String,
    /// Units a second.
    pub rate: u32,
    /// Units at once.
    pub burst: u32,
    /// Units that may be admitted now; below zero while the instance makes up for too many.
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
    /// Configuration version that it last told of.
    pub version: u64,
    /// Whether it leaves.
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
    /// What it does.
    pub role: Role,
    /// Requests of this instance there.
    pub own: u32,
    /// Requests of others there, by the last report.
    pub others: u32,
    /// Slots.
    pub slots: u32,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Whether it answers.
    pub reachable: bool,
}

/// Counts of one class at one site.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassStatus {
    /// Class.
    pub class: String,
    /// Data centre.
    pub site: String,
    /// Whole answers.
    pub answered: u64,
    /// Whole answers within both targets.
    pub good: u64,
    /// Prompt tokens prefilled.
    pub prefilled: u64,
    /// Prompt tokens prefilled and not used.
    pub wasted: u64,
}
