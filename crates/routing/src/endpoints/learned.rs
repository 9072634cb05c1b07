//! What the results of all instances show about endpoints: the limits of plain endpoints, and engines that
//! fail their work.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Endpoints;
use crate::capacity::{BUSY_FRACTION, LimitChange, PlainState};
use crate::observations::{Observation, ResultReport, failures};
use crate::{Endpoint, EndpointKey, EngineTag, Rates, tag};

/// Time for which an engine is avoided after it was last seen to fail. Each trial of one that still fails
/// costs a few callers their response, since results of several instances are needed.
const FAILING_TIME: Duration = Duration::from_secs(5);

/// Level of a learned limit down to which calls with precedence are sent. The calls of other classes pause below
/// their part of it, so that the debt of a moment is made up.
const PRECEDENCE_LEVEL: f64 = -2.0;

/// What an update of the learned state changes, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LearnedChange {
    /// The limit of a plain endpoint, in calls per second, begins.
    Limited(f64),
    /// The limit of a plain endpoint ends.
    Unlimited,
    /// An engine fails much of its work, and others are preferred.
    Failing,
    /// An engine is used like others again.
    Working,
}

/// An endpoint that is judged by the results of all instances.
#[derive(Debug, Clone, Copy)]
struct Judged {
    tag: EngineTag,
    is_engine: bool,
    slots: Option<NonZeroU32>,
    /// Whether the demand for its service is near the capacity.
    near_capacity: bool,
    goal: Option<Duration>,
}

impl Endpoints {
    /// Sets the shortest latency goal of the callers of each service whose requests all have one priority.
    pub fn set_goals(&mut self, goals: HashMap<Arc<str>, Duration>) {
        self.goals = goals;
    }

    /// Counts the result of a request of this instance.
    pub fn observe_result(&mut self, now: Instant, key: EndpointKey, observation: Observation) {
        if let Some(entry) = self.arena.get(key) {
            self.observations.observe(now, entry.tag, entry.endpoint.stage.is_some(), observation);
        }
    }

    /// Results to report to peers now.
    pub fn result_reports(&mut self, now: Instant) -> Vec<ResultReport> {
        self.observations.reports(now)
    }

    /// Longest pause between the latest reports of results and the next ones.
    pub fn result_pause(&self) -> Duration {
        self.observations.report_pause()
    }

    /// Replaces the results that a peer reports; `lifetime` is the time for which they count.
    pub fn merge_results(
        &mut self,
        now: Instant,
        from: SocketAddr,
        lifetime: Duration,
        reports: Vec<ResultReport>,
    ) {
        self.observations.merge(now, from, lifetime, reports);
    }

    /// Updates limits and failing engines by the latest results. `demand` gives the calls per second that a
    /// contended service is asked for, by its tag. To be called several times a second.
    pub fn update_learned(
        &mut self,
        now: Instant,
        mut demand: impl FnMut(u32) -> Option<f64>,
    ) -> Vec<(EngineTag, LearnedChange)> {
        let mut changes = Vec::new();
        let mut tags = self.observations.troubled(now);
        tags.extend(self.capacity.limited());
        tags.extend(self.observations.plain(now));
        // The reports of hundreds of peers name the same endpoints.
        tags.sort_unstable();
        tags.dedup();
        if tags.is_empty() && self.failing.is_empty() {
            return changes;
        }
        let needs_limits = self.services_near_capacity(now, &mut demand);
        let mut failing = self.failing.clone();
        failing.retain(|_, (seen, _)| now.saturating_duration_since(*seen) < FAILING_TIME);
        let mut keys: Vec<EndpointKey> = tags.iter().filter_map(|&tag| self.by_tag.get(tag)).collect();
        keys.sort_unstable();
        let listed: Vec<Judged> = keys
            .into_iter()
            .map(|key| {
                let entry = &self.arena[key];
                let Endpoint { service, stage, slots, .. } = &entry.endpoint;
                Judged {
                    tag: entry.tag,
                    is_engine: stage.is_some(),
                    slots: *slots,
                    near_capacity: needs_limits.contains(service),
                    goal: self.goals.get(service).copied(),
                }
            })
            .collect();
        let pooled = self.observations.pooled_by_endpoint(now, listed.iter().map(|judged| judged.tag));
        let alone = !self.observations.has_peers(now);
        for Judged { tag, is_engine, slots, near_capacity, goal } in listed {
            let (results, reporters) = pooled[&tag];
            if !is_engine {
                let binds = near_capacity || self.learned.admitted_share(now, tag) < 1.0;
                let state = slots.map(|slots| PlainState { slots, results, alone, binds, goal });
                self.update_limit(now, tag, state, &mut changes);
            } else if let Some(failures) = failures(results, reporters) {
                failing.insert(tag, (now, failures));
            }
        }
        let begins = failing.keys().filter(|&tag| !self.failing.contains_key(tag));
        changes.extend(begins.map(|&tag| (tag, LearnedChange::Failing)));
        let ends = self.failing.keys().filter(|&tag| !failing.contains_key(tag));
        changes.extend(ends.map(|&tag| (tag, LearnedChange::Working)));
        self.failing = failing;
        changes
    }

    /// Services whose endpoints all have limits, and whose demand is near the sum of these.
    fn services_near_capacity(
        &self,
        now: Instant,
        demand: &mut impl FnMut(u32) -> Option<f64>,
    ) -> HashSet<Arc<str>> {
        if self.learned.is_empty() {
            return HashSet::new();
        }
        let is_near = |service: &Arc<str>, demand: &mut dyn FnMut(u32) -> Option<f64>| {
            let capacity = self.total_rate(now, service, None)?;
            Some(demand(tag(service))? >= capacity * BUSY_FRACTION)
        };
        self.services.keys().filter(|service| is_near(service, demand) == Some(true)).cloned().collect()
    }

    fn update_limit(
        &mut self,
        now: Instant,
        tag: EngineTag,
        state: Option<PlainState>,
        changes: &mut Vec<(EngineTag, LearnedChange)>,
    ) {
        let change = match state {
            Some(state) => self.capacity.update(now, tag, state),
            // The entry does not state the slots any more.
            None => self.capacity.remove(tag).then_some(LimitChange::Ended),
        };
        match change {
            Some(LimitChange::Set(rate)) => {
                if !self.learned.is_limited(tag) {
                    changes.push((tag, LearnedChange::Limited(rate)));
                }
                // An endpoint with a queue gets calls at its rate at first, and no burst.
                let fill = state.map_or(0.0, |state| 1.0 - state.queued_fraction());
                self.learned.set(now, tag, Some(rate), fill);
            }
            Some(LimitChange::Ended) => {
                self.learned.set(now, tag, None, 0.0);
                changes.push((tag, LearnedChange::Unlimited));
            }
            None => {}
        }
    }

    /// Removes learned state that is outdated, and that of endpoints that are not listed any more.
    pub fn expire_learned(&mut self, now: Instant) {
        self.observations.expire(now);
        for tag in self.capacity.expire(|tag| self.by_tag.contains(tag)) {
            self.learned.remove(tag);
        }
        self.learned.expire(now, |tag| self.by_tag.contains(tag));
    }

    /// Learned limits of plain endpoints.
    pub fn learned_rates(&mut self) -> &mut Rates<SocketAddr> {
        &mut self.learned
    }

    /// Whether an endpoint of the service has a learned limit.
    pub fn has_learned_limit(&self, service: &str) -> bool {
        let keys = self.services.get(service).filter(|_| !self.learned.is_empty());
        keys.is_some_and(|keys| keys.iter().any(|&key| self.learned.is_limited(self.arena[key].tag)))
    }

    /// Engines that fail their work.
    pub fn failing_count(&self) -> usize {
        self.failing.len()
    }

    /// Whether a plain endpoint of a service has free slots and leaves a part of its learned limit unused, so that no
    /// call need be refused for the sake of others. Either alone also occurs for moments of an overload, in which
    /// calls would be admitted regardless of their class.
    pub fn has_spare_capacity(&self, now: Instant, service: &str) -> bool {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let mut entries = keys.iter().map(|&key| &self.arena[key]).filter(|entry| entry.is_available(now));
        entries.any(|entry| {
            let tag = entry.tag;
            let is_plain = entry.endpoint.stage.is_none();
            let unused = !self.rates.is_limited(tag) && self.learned.is_nearly_full(now, tag);
            is_plain && unused && self.capacity.has_free_slots(tag)
        })
    }

    /// Whether an endpoint has a limit, advertised or learned.
    pub(super) fn is_limited(&self, tag: EngineTag) -> bool {
        self.rates.is_limited(tag) || self.learned.is_limited(tag)
    }

    /// The share of the requests that may go to an endpoint now, by the lower of its limits.
    pub(super) fn admitted_share(&self, now: Instant, tag: EngineTag, precedence: bool) -> f64 {
        let learned = self.learned.admitted_share(now, tag);
        let takes_all =
            precedence && self.learned.level(now, tag).is_some_and(|level| level >= PRECEDENCE_LEVEL);
        self.rates.admitted_share(now, tag).min(if takes_all { 1.0 } else { learned })
    }

    /// The lower of an endpoint's limits, in requests per second.
    pub(super) fn limit(&self, tag: EngineTag) -> Option<f64> {
        match (self.rates.rate(tag), self.learned.rate(tag)) {
            (Some(advertised), Some(learned)) => Some(advertised.min(learned)),
            (advertised, learned) => advertised.or(learned),
        }
    }
}
