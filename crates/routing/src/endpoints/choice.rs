//! The choice of the endpoint that gets a request, among those that are open by the list and by their own
//! statements.

use std::time::Instant;

use rand::Rng;

use super::limited::Sample;
use super::{Endpoints, Entry, Need};
use crate::observations::Failures;
use crate::{EndpointKey, EndpointState, Stage};

/// Seconds that another failure domain adds to an endpoint's expected latency: two crossings and their cost.
const REMOTE_LATENCY_SECONDS: f64 = 0.006;

/// Tokens that another failure domain adds to those in flight at a prefill engine, about one usual prompt: a
/// prompt leaves its domain only where it would otherwise wait behind another prompt in it.
const REMOTE_PREFILL_TOKENS: f64 = 3_000.0;
/// The same at a decode engine, as a fraction of its memory.
///
/// A stream that crosses domains breaks when its domain is partitioned, and callers on both sides lose it.
/// Streams within one domain survive the partition. Memory is the scarce resource, so the engines of the own
/// domain are filled first, and only the last part of their memory is left for when the others are full as
/// well.
const REMOTE_DECODE_FRACTION: f64 = 0.3;
/// What an engine that fails a part of its work costs in addition, in distances to another failure domain. If
/// it came after all others whatever their load, half of the engines would get all work when the other half
/// lose some responses.
const FAILING_DISTANCES: f64 = 2.0;
/// What a decode engine costs that takes twice the usual time, in distances to another failure domain; one that
/// takes half of the usual time costs as much less. That is as far as the pace counts, so that the difference
/// between any two engines remains below one distance: alone it moves no stream to another failure domain.
const DECODE_PACE_DISTANCES: f64 = 0.45;
/// Range of the random part of an engine's cost, in tokens, about half of a usual prompt: without it
/// instances that choose at the same moment, before they have received each other's updates, would all take
/// the same engine.
const JITTER_TOKENS: f64 = 1_500.0;

/// What candidates are compared by: whether the candidate is only chosen where there is no other, and its
/// cost.
pub(super) type Rank = (bool, f64);

impl Need<'_> {
    /// Whether the work fits beside `in_flight` tokens at an engine. An engine with nothing in flight takes any.
    pub(super) fn fits(&self, in_flight: u64) -> bool {
        let need = in_flight.saturating_add(self.tokens).saturating_add(self.headroom);
        let full = |limit| in_flight > 0 && need > limit;
        !self.limit.is_some_and(full)
    }
}

impl Endpoints {
    /// Chooses the endpoint with the lowest expected time to respond; paused ones only where there is no
    /// other.
    pub fn choose(&self, now: Instant, need: Need<'_>, rng: &mut impl Rng) -> Option<EndpointKey> {
        let mut best: Option<(Rank, EndpointKey)> = None;
        let mut limited = Sample::new(!self.rates.is_empty());
        // Whether an endpoint that is not paused could serve, even if it can't now: a paused decode engine is
        // no alternative then.
        let mut healthy = false;
        if need.local_prefill && self.has_local_prefill() {
            return None;
        }
        for &key in self.services.get(need.service)? {
            let entry = &self.arena[key];
            let fits = entry.is_open(now) && entry.endpoint.stage == need.stage;
            if !fits || need.tried.contains(&key) {
                continue;
            }
            let avoided = self.is_avoided(now, entry);
            healthy |= !avoided;
            if !entry.cooldown.admits(now, rng) {
                continue;
            }
            if need.local_prefill && self.ledger.has_local_prefill(now, entry.tag) {
                continue;
            }
            // Of plain endpoints the ledger has nothing, and their choice depends on the calls of this instance.
            let in_flight = match need.stage {
                Some(_) => entry.tokens.saturating_add(self.ledger.in_flight(entry.tag)),
                None => 0,
            };
            if !need.fits(in_flight) {
                continue;
            }
            let rank = (avoided, self.cost(entry, in_flight, now, need, rng));
            if self.is_limited(entry.tag) {
                if !need.hedge {
                    limited.offer(rank, key, rng);
                }
            } else if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, key));
            }
        }
        if !limited.is_empty() {
            best = self.choose_limited(now, need, best, limited, rng);
        }
        let (rank, key) = best?;
        let unusable = rank.0 && healthy && need.stage == Some(Stage::Decode);
        (!unusable).then_some(key)
    }

    /// Whether an endpoint is only chosen where there is no other.
    pub(super) fn is_avoided(&self, now: Instant, entry: &Entry) -> bool {
        let useless = matches!(self.failing.get(&entry.tag), Some((_, Failures::NearlyAll)));
        useless || entry.is_paused(now) || self.is_replaced(entry) || self.ledger.is_suspected(now, entry.tag)
    }

    /// Compares the best endpoint without a rate, if there is one, to the sampled rate-limited endpoints that
    /// admit a request now.
    fn choose_limited(
        &self,
        now: Instant,
        need: Need<'_>,
        mut best: Option<(Rank, EndpointKey)>,
        limited: Sample,
        rng: &mut impl Rng,
    ) -> Option<(Rank, EndpointKey)> {
        let only_limited = best.is_none();
        // Where limits are learned, admission reduces the demand before the choice, and an instance with few
        // requests would take long to learn the fraction.
        let advertised = !self.rates.is_empty();
        if !only_limited || !advertised || self.found_fraction.attempts(need.service, need.stage, rng) {
            for (rank, key) in limited.drawn() {
                let better = best.is_none_or(|(least, _)| rank < least);
                if better && rng.random_bool(self.admitted_share(now, self.arena[key].tag, need.precedence)) {
                    best = Some((rank, key));
                }
            }
        }
        if only_limited && advertised {
            self.found_fraction.learn(need.service, need.stage, best.is_some());
        }
        best
    }

    /// Whether another endpoint that takes new work was listed later at the same address.
    ///
    /// An endpoint that crashed is listed for some heartbeats beside its successor. The successor grants
    /// reservations without a check of which endpoint is meant, and refuses the run that follows: the prompt
    /// was prefilled for nothing, and the caller is refused. The replacement is only a suspicion, since an
    /// old entry can be written late; the suspicion ends with the later endpoint.
    fn is_replaced(&self, entry: &Entry) -> bool {
        let successor = entry.successor.and_then(|key| self.arena.get(key));
        successor.is_some_and(|later| later.endpoint.state == EndpointState::Ready)
    }

    fn cost(&self, entry: &Entry, in_flight: u64, now: Instant, need: Need<'_>, rng: &mut impl Rng) -> f64 {
        let remote = &*entry.endpoint.domain != need.domain;
        let jitter = rng.random_range(0.0..1.0);
        if need.stage.is_none() {
            let distance = if remote { REMOTE_LATENCY_SECONDS } else { 0.0 };
            return entry.health.expected_latency(now) * f64::from(entry.running + 1)
                + distance
                + jitter * 0.002;
        }
        let distance =
            need.limit.map_or(REMOTE_PREFILL_TOKENS, |memory| memory as f64 * REMOTE_DECODE_FRACTION);
        let failing = if self.failing.contains_key(&entry.tag) { distance * FAILING_DISTANCES } else { 0.0 };
        let work = if need.stage == Some(Stage::Decode) {
            // Streams run beside each other; a slow engine is only filled later than others.
            let doublings = entry.pace.log2().clamp(-1.0, 1.0);
            in_flight as f64 + doublings * distance * DECODE_PACE_DISTANCES
        } else {
            // A prompt waits for those before it: the expected time, in tokens at the usual pace.
            in_flight.saturating_add(need.tokens) as f64 * entry.pace
        };
        work + if remote { distance } else { 0.0 } + failing + jitter * JITTER_TOKENS
    }
}
