//! What endpoints state about themselves in responses, and what follows for their use.
//!
//! A statement is about the incarnation that responded. An endpoint that states that it leaves does not
//! become ready again, whatever the list shows: the platform's store may take its report seconds later, or be
//! unavailable.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Endpoints;
use crate::{EndpointKey, EngineTag, RateChange, Rates, Stage};

/// What an endpoint states about itself in one response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Statement {
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Time for which it wants no further requests from this instance.
    pub cooldown: Option<Duration>,
    /// Requests a second that it takes from all instances together.
    pub rate: Option<f64>,
}

/// What a statement changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatementChanges {
    /// The endpoint.
    pub endpoint: EngineTag,
    /// Whether it was not known to leave.
    pub leaves: bool,
    /// Its cooldown, if a new one begins or the known one becomes longer.
    pub cooldown: Option<Duration>,
    /// What changes in its rate.
    pub rate: Option<RateChange>,
}

impl Endpoints {
    /// Applies what an endpoint states about itself in a response. Returns what that changes; `None` for an
    /// endpoint that is not listed any more.
    pub fn observe_statement(
        &mut self,
        now: Instant,
        key: EndpointKey,
        statement: Statement,
    ) -> Option<StatementChanges> {
        let entry = self.arena.get_mut(key)?;
        let endpoint = entry.tag;
        let leaves = statement.leaving && entry.announce_leaving();
        let cooldown = statement.cooldown.filter(|&delay| entry.cooldown.extend(now, delay));
        let rate = self.rates.observe_response(now, endpoint, statement.rate);
        Some(StatementChanges { endpoint, leaves, cooldown, rate })
    }

    /// How many endpoints are in a cooldown that they asked for.
    pub fn cooling_count(&self, now: Instant) -> usize {
        self.arena.values().filter(|entry| entry.cooldown.end(now).is_some()).count()
    }

    /// Ends cooldowns whose time is over, and returns the ids of their endpoints.
    pub fn expire_cooldowns(&mut self, now: Instant) -> Vec<Arc<str>> {
        let entries = self.arena.values_mut();
        let over = entries.filter_map(|e| e.cooldown.expire(now).then(|| Arc::clone(&e.endpoint.id)));
        over.collect()
    }

    /// Charges a request that is about to be sent to the endpoint's rate.
    pub fn charge_rate(&mut self, now: Instant, key: EndpointKey) {
        if let Some(tag) = self.tag(key) {
            self.rates.charge(now, tag);
        }
    }

    /// Refunds a request that was charged and has not reached the endpoint.
    pub fn refund_rate(&mut self, now: Instant, key: EndpointKey) {
        if let Some(tag) = self.tag(key) {
            self.rates.refund(now, tag);
        }
    }

    /// Sum of the rates of the endpoints of a service and stage that take new work, if all of them advertise
    /// one. `None` if some advertise none, or there are no such endpoints.
    pub fn total_rate(&self, now: Instant, service: &str, stage: Option<Stage>) -> Option<f64> {
        if self.rates.is_empty() {
            return None;
        }
        let keys = self.services.get(service)?;
        let entries = keys.iter().map(|&key| &self.arena[key]);
        let mut open = entries.filter(|e| e.is_open(now) && e.endpoint.stage == stage).peekable();
        open.peek()?;
        open.map(|entry| self.rates.rate(entry.tag)).sum()
    }

    /// Removes the rates of endpoints that are not listed and for which no rate was observed for long.
    pub fn expire_rates(&mut self, now: Instant) {
        if self.rates.is_empty() {
            self.found_fraction.clear();
            return;
        }
        let listed: HashSet<EngineTag> = self.arena.values().map(|entry| entry.tag).collect();
        self.rates.expire(now, |tag| listed.contains(&tag));
    }

    /// Rates that endpoints advertise.
    pub fn rates(&mut self) -> &mut Rates<std::net::SocketAddr> {
        &mut self.rates
    }
}
