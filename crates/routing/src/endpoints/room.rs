//! Room at the decode engines of a service.

use std::time::{Duration, Instant};

use rand::Rng;

use super::{Endpoints, Need};
use crate::{EndpointKey, Fit, FreedCapacity, LatePrompts, PrefillEstimate, Stage};

impl Endpoints {
    /// Looks for a decode engine for a request that waits.
    pub fn fit(&self, now: Instant, need: Need<'_>, rng: &mut impl Rng) -> Fit<EndpointKey> {
        match self.choose(now, need, rng) {
            Some(key) => Fit::Engine(key),
            // Memory that was kept for the request would stay unused until the local prefill ends.
            None if need.local_prefill && self.waits_for_local_prefill(now, need) => Fit::Blocked,
            None => Fit::Full { nearest: self.emptiest(now, need.service) },
        }
    }

    /// Whether a local prefill has to wait until another one ends: one of this instance, or one at an engine
    /// that has room.
    fn waits_for_local_prefill(&self, now: Instant, need: Need<'_>) -> bool {
        let is_busy = |&key: &EndpointKey| {
            let entry = &self.arena[key];
            entry.endpoint.stage == need.stage
                && entry.is_available(now)
                && !self.is_avoided(now, entry)
                && !need.tried.contains(&key)
                && self.ledger.has_local_prefill(now, entry.tag)
                && need.fits(self.load(key))
        };
        let keys = self.services.get(need.service).map_or(&[][..], Vec::as_slice);
        self.has_local_prefill() || keys.iter().any(is_busy)
    }

    /// Whether a prefill that begins now, at the engine where it is expected to end first, ends within `limit`,
    /// so that the first event can still be on time. `late` has what is known from the same round.
    ///
    /// A prompt that is sent anyway would also delay the prompts queued behind it, and a prefill that ends too
    /// late is wasted.
    pub fn prefill_in_time(
        &self,
        now: Instant,
        need: Need<'_>,
        (estimate, limit): (PrefillEstimate, Duration),
        late: &mut LatePrompts,
        rng: &mut impl Rng,
    ) -> bool {
        if late.covers(need.tokens, limit) {
            return false;
        }
        let Some(key) = self.choose(now, need, rng) else {
            // Without any prefill engine the decode engine prefills the prompt itself. Waiting is worthwhile
            // only for rate-limited prefill engines.
            return self.total_rate(now, need.service, need.stage).is_none();
        };
        let in_time = self.ends_in_time(key, need.tokens, (estimate, limit));
        if !in_time && self.is_late_everywhere(now, need, (estimate, limit)) {
            late.insert(need.tokens, limit);
        }
        in_time
    }

    /// At a slow engine a prompt takes longer in proportion.
    fn ends_in_time(
        &self,
        key: EndpointKey,
        prompt: u64,
        (estimate, limit): (PrefillEstimate, Duration),
    ) -> bool {
        estimate.in_time(self.load(key), prompt, limit.div_f64(self.pace(key)))
    }

    /// Whether a prefill is late at every engine that a choice might return, and every choice returns one: the
    /// draws of the choice, for cooldowns, rates and the random part of the cost, make no difference.
    fn is_late_everywhere(&self, now: Instant, need: Need<'_>, time: (PrefillEstimate, Duration)) -> bool {
        let keys = self.services.get(need.service).map_or(&[][..], Vec::as_slice).iter().copied();
        let mut candidates = keys.filter(|&key| {
            let entry = &self.arena[key];
            entry.is_open(now) && entry.endpoint.stage == need.stage
        });
        let mut is_certain = false;
        let is_late = candidates.all(|key| {
            let entry = &self.arena[key];
            is_certain |= entry.cooldown.admits_all(now) && !self.is_limited(entry.tag);
            !self.ends_in_time(key, need.tokens, time)
        });
        is_late && is_certain
    }

    /// The decode engine that has the fewest tokens in flight, among those that may be asked now.
    pub fn emptiest(&self, now: Instant, service: &str) -> Option<EndpointKey> {
        let keys = self.services.get(service)?.iter().copied();
        let usable = keys.filter(|&key| {
            let entry = &self.arena[key];
            let decodes = entry.endpoint.stage == Some(Stage::Decode);
            decodes && entry.is_available(now) && !self.is_avoided(now, entry)
        });
        usable.min_by_key(|&key| self.load(key))
    }

    /// Records that work of this instance, which an engine had accepted, has ended.
    pub fn observe_freed(&mut self, now: Instant, key: EndpointKey, tokens: u64) {
        let Some(entry) = self.arena.get(key) else { return };
        if entry.endpoint.stage == Some(Stage::Decode) {
            self.ledger.observe_freed(now, entry.tag, tokens);
        }
    }

    /// What became free at the decode engines of a service in the last second.
    pub fn freed(&mut self, now: Instant, service: &str) -> FreedCapacity {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let entries = keys.iter().map(|&key| &self.arena[key]);
        let decode = entries.filter(|entry| entry.endpoint.stage == Some(Stage::Decode));
        self.ledger.freed(now, decode.map(|entry| entry.tag))
    }
}
