//! Accounts of what instances have in progress at endpoints: this one's own, and with those of others.

use std::time::Instant;

use super::Endpoints;
use crate::{EndpointKey, EngineTag};

/// What an instance reports to its peers of its own work.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OwnWork {
    /// Tokens in flight, by engine.
    pub tokens: Vec<(EngineTag, u32)>,
    /// Endpoints that the instance has paused, or that fail most of its requests.
    pub suspects: Vec<EngineTag>,
    /// Decode engines that run a local prefill for the instance now.
    pub local_prefills: Vec<EngineTag>,
}

impl Endpoints {
    /// Records that work begins at an endpoint.
    pub fn begin(&mut self, now: Instant, key: EndpointKey, tokens: u64) {
        if let Some(entry) = self.arena.get_mut(key) {
            if entry.running == 0 {
                entry.health.begin(now);
            }
            entry.health.sent(now);
            if entry.endpoint.stage.is_none() {
                self.observations.begin(now, entry.tag);
            }
            entry.running += 1;
            entry.tokens += tokens;
        }
    }

    /// Records that a decode engine begins a local prefill.
    pub fn begin_local_prefill(&mut self, key: EndpointKey) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.local_prefills += 1;
            self.local_prefills += 1;
        }
    }

    /// Records that a local prefill is complete or was given up.
    pub fn end_local_prefill(&mut self, key: EndpointKey) {
        if let Some(entry) = self.arena.get_mut(key).filter(|entry| entry.local_prefills > 0) {
            entry.local_prefills -= 1;
            self.local_prefills -= 1;
        }
    }

    /// Whether a decode engine runs a local prefill for this instance now.
    pub(super) const fn has_local_prefill(&self) -> bool {
        self.local_prefills > 0
    }

    /// Adds tokens that work in progress at an endpoint takes beyond those it began with.
    pub fn add_tokens(&mut self, key: EndpointKey, tokens: u64) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.tokens += tokens;
        }
    }

    /// Records that work of `tokens` in all has ended.
    pub fn end(&mut self, now: Instant, key: EndpointKey, tokens: u64) {
        if let Some(entry) = self.arena.get_mut(key) {
            if entry.endpoint.stage.is_none() {
                self.observations.end(now, entry.tag);
            }
            entry.running = entry.running.saturating_sub(1);
            entry.tokens = entry.tokens.saturating_sub(tokens);
            if entry.running == 0 {
                entry.health.end();
            }
        }
    }

    /// Work of this instance and what it observed, in one pass over all endpoints.
    pub fn own_work(&self, now: Instant) -> OwnWork {
        let mut work = OwnWork::default();
        for entry in self.arena.values() {
            if entry.tokens > 0 {
                work.tokens.push((entry.tag, u32::try_from(entry.tokens).unwrap_or(u32::MAX)));
            }
            if entry.health.is_suspect(now) {
                work.suspects.push(entry.tag);
            }
            if entry.local_prefills > 0 {
                work.local_prefills.push(entry.tag);
            }
        }
        work
    }

    /// Tokens in flight at an engine, of all instances.
    pub fn load(&self, key: EndpointKey) -> u64 {
        self.arena.get(key).map_or(0, |e| e.tokens + self.ledger.in_flight(e.tag))
    }
}
