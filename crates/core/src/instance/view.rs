//! State of an instance for operators.

use std::collections::BTreeMap;
use std::time::Instant;

use super::Instance;
use crate::InstanceId;
use crate::counters::Counters;
use crate::endpoints::EndpointView;
use crate::limits::TeamView;
use crate::members::MemberView;

/// State of an instance for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceView {
    /// Number of the active configuration, 0 for none.
    pub version: u64,
    /// Revision of the current list, 0 for none.
    pub revision: u64,
    /// Whether a graceful shutdown is in progress.
    pub stopping: bool,
    /// Requests in progress.
    pub requests: usize,
    /// Requests waiting for a slot, by pool.
    pub waiting: BTreeMap<String, usize>,
    /// Idempotency keys that have a record here.
    pub keys: usize,
    /// Cancels that engines have not confirmed.
    pub cancels: usize,
    /// Other members.
    pub members: Vec<MemberView>,
    /// Endpoints.
    pub endpoints: Vec<EndpointView>,
    /// Limits of teams.
    pub teams: Vec<TeamView>,
    /// Counters since the start.
    pub counters: Counters,
}

impl Instance {
    /// State for operators.
    pub fn view(&self, now: Instant) -> InstanceView {
        InstanceView {
            version: self.versions.number(),
            revision: self.members.revision(),
            stopping: self.members.stopping,
            requests: self.requests.len(),
            waiting: self.waiting(),
            keys: self.homes.len(),
            cancels: self.cancels.len(),
            members: self.members.view(),
            endpoints: self.endpoints.view(now),
            teams: self.team_views(),
            counters: self.counters.clone(),
        }
    }

    /// Requests that wait in the queues here, and those that wait here as the owner of their pool.
    fn waiting(&self) -> BTreeMap<String, usize> {
        let mut waiting: BTreeMap<String, usize> =
            self.queues.iter().map(|(pool, q)| (pool.clone(), q.len())).collect();
        for (id, slots) in &self.slots {
            if let Some(name) = self.pools.get(id) {
                *waiting.entry(name.clone()).or_default() += slots.waiting();
            }
        }
        waiting
    }

    /// Name of a listed instance, or its id in hexadecimal digits.
    pub fn name(&self, id: InstanceId) -> String {
        if id == self.identity.id() {
            return self.identity.name.clone();
        }
        self.members.get(id).map_or_else(|| format!("{:016x}", id.0), |m| m.name.to_string())
    }

    /// Model names of the active configuration.
    pub fn models(&self) -> Vec<String> {
        let models = self.versions.current().map(|c| c.models.as_slice()).unwrap_or_default();
        models.iter().map(|m| m.name.clone()).collect()
    }
}
