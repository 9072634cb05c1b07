//! What endpoints state about themselves in responses, and what follows for their use.
//!
//! A statement is about the incarnation that responded. An endpoint that states that it leaves does not
//! become ready again, whatever the list shows: the platform's store may take its report seconds later, or be
//! unavailable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Endpoints;
use super::announcements::Listing;
use crate::{EndpointKey, EndpointState, EngineTag, RateChange, Rates, Stage};

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
    /// Its cooldown, if one begins.
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
        let cooldown = statement.cooldown.filter(|&delay| entry.cooldown.extend(now, delay));
        let leaves = statement.leaving && self.announce_leaving(now, key);
        let rate = self.rates.observe_response(now, endpoint, statement.rate);
        Some(StatementChanges { endpoint, leaves, cooldown, rate })
    }

    /// Records that an endpoint stated itself that it leaves. Returns whether that was not known.
    fn announce_leaving(&mut self, now: Instant, key: EndpointKey) -> bool {
        let Some(entry) = self.arena.get_mut(key).filter(|entry| !entry.announced) else { return false };
        entry.announced = true;
        let is_new = entry.endpoint.state == EndpointState::Ready;
        if is_new {
            entry.endpoint.state = EndpointState::Leaving;
            self.announcements.insert(now, entry.tag, Listing::Listed);
        }
        is_new
    }

    /// Merges the report of another instance that an endpoint stated that it leaves. Returns the endpoint if
    /// that was not known.
    pub fn merge_leaving(&mut self, now: Instant, endpoint: EngineTag) -> Option<EndpointKey> {
        if self.announcements.contains(endpoint) {
            return None;
        }
        let Some(key) = self.by_tag.get(endpoint) else {
            self.announcements.insert(now, endpoint, Listing::Unlisted);
            return None;
        };
        self.announce_leaving(now, key).then_some(key)
    }

    /// Endpoints of which others are to be told now that they leave.
    pub fn leaving_reports(&self, now: Instant) -> Vec<EngineTag> {
        self.announcements.reports(now)
    }

    /// When the first endpoint of a service and stage takes requests again, if all that take new work have
    /// stated that they want none now. It is now while the first one gets a share of the requests after that.
    pub fn first_available(&self, now: Instant, service: &str, stage: Option<Stage>) -> Option<Instant> {
        let keys = self.services.get(service)?;
        let entries = keys.iter().map(|&key| &self.arena[key]);
        let open = entries.filter(|e| e.is_open(now) && e.endpoint.stage == stage);
        let ends: Option<Vec<Instant>> = open.map(|e| e.cooldown.admits_from(now)).collect();
        ends?.into_iter().min()
    }

    /// Whether an endpoint has stated that it wants no requests now.
    pub fn is_cooling(&self, now: Instant, key: EndpointKey) -> bool {
        self.arena.get(key).is_some_and(|entry| entry.cooldown.stated_end(now).is_some())
    }

    /// How many endpoints have stated that they want no requests now.
    pub fn cooling_count(&self, now: Instant) -> usize {
        self.arena.values().filter(|entry| entry.cooldown.stated_end(now).is_some()).count()
    }

    /// Removes what endpoints stated and what no longer counts. Returns the ids of the endpoints whose
    /// cooldown is over.
    pub fn expire_statements(&mut self, now: Instant) -> Vec<Arc<str>> {
        self.announcements.expire(now, |tag| self.by_tag.contains(tag));
        let entries = self.arena.values_mut();
        let over = entries.filter_map(|e| e.cooldown.expire(now).then(|| Arc::clone(&e.endpoint.id)));
        over.collect()
    }

    /// Charges a request that is about to be sent to the endpoint's rate.
    pub fn charge_rate(&mut self, now: Instant, key: EndpointKey) {
        if let Some(tag) = self.tag(key) {
            self.rates.charge(now, tag);
            self.learned.charge(now, tag);
        }
    }

    /// Refunds a request that was charged and has not reached the endpoint.
    pub fn refund_rate(&mut self, now: Instant, key: EndpointKey) {
        if let Some(tag) = self.tag(key) {
            self.rates.refund(now, tag);
            self.learned.refund(now, tag);
        }
    }

    /// Sum of the limits of the endpoints of a service and stage that take new work, if all of them have one.
    /// `None` if some have none, or there are no such endpoints.
    pub fn total_rate(&self, now: Instant, service: &str, stage: Option<Stage>) -> Option<f64> {
        if self.rates.is_empty() && self.learned.is_empty() {
            return None;
        }
        let keys = self.services.get(service)?;
        let entries = keys.iter().map(|&key| &self.arena[key]);
        let mut open = entries.filter(|e| e.is_available(now) && e.endpoint.stage == stage).peekable();
        open.peek()?;
        open.map(|entry| self.limit(entry.tag)).sum()
    }

    /// Removes the rates of endpoints that are not listed and for which no rate was observed for long.
    pub fn expire_rates(&mut self, now: Instant) {
        if self.rates.is_empty() && self.learned.is_empty() {
            self.found_fraction.clear();
            return;
        }
        self.rates.expire(now, |tag| self.by_tag.contains(tag));
    }

    /// Rates that endpoints advertise.
    pub fn rates(&mut self) -> &mut Rates<SocketAddr> {
        &mut self.rates
    }
}
