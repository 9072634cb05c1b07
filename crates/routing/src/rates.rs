//! Rates that endpoints advertise, kept over many instances without coordination.
//!
//! An overloaded endpoint advertises in its responses how many requests a second it takes from all instances
//! together. Only the instances that happen to send it requests receive these responses. Instances report to
//! one another what they observed, with its age. The newest observation counts, so that one that arrives late
//! reverts nothing. Each instance keeps a token bucket for each rate-limited endpoint. Its level refills with
//! the rate, and the instance's own sends and those that others report are charged to it. Sends of others are
//! known after the gossip delay.
//!
//! If each instance sent whenever the level is above zero, all of them would send at the same moment, and the
//! endpoint would get all callers' requests of one gossip delay. So the level admits a share of the requests
//! that grows with it ([`Pacing::Proportional`]). The level settles where the admitted rate equals the refill
//! rate, and hundreds of instances together send a steady stream without bursts. No instance needs to know
//! how many instances there are or how many requests the others have.
//!
//! Invariants:
//! - a rate belongs to one incarnation of an endpoint and is removed with it;
//! - a rate of zero, or of almost zero, still admits a request now and then, since no instance would
//!   otherwise learn that the rate has ended;
//! - a rate is no failure: it says nothing about the health of its endpoint.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::EngineTag;

/// Lowest rate that is enforced, in requests a second.
const RATE_MIN: f64 = 0.2;
/// Highest rate that limits anything, in requests a second.
const RATE_MAX: f64 = 1e6;
/// Largest burst after an idle time: a number of requests, plus a number of seconds of the rate.
const BURST: (f64, f64) = (2.0, 0.5);
/// The same of a learned rate. Its endpoint has a queue of a few times its slots, and an idle time lasts for
/// moments: a larger burst fills the queue, and refills only after the demand has long fallen.
const LEARNED_BURST: (f64, f64) = (4.0, 0.15);
/// Level from which on all requests are admitted, as a fraction of the burst.
const FULL_ADMISSION_FRACTION: f64 = 0.6;
/// Level from which a token bucket is nearly full, as a fraction of the burst.
const NEARLY_FULL_FRACTION: f64 = 0.9;
/// Largest debt: a number of requests, plus a number of seconds of the rate.
const DEBT_MAX: (f64, f64) = (5.0, 4.0);
/// The same of a learned rate: what is sent beyond it shows in the results, and lowers the rate.
const LEARNED_DEBT_MAX: (f64, f64) = (2.0, 0.1);
/// Smallest change of a rate that is reported as a change, as a fraction of the rate.
const CHANGE_MIN_FRACTION: f64 = 0.01;
/// Time for which something is reported repeatedly, since updates are lost; some gossip intervals among
/// hundreds of instances.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Time for which own sends count as recent; a receiver that gets its first report from this instance charges
/// the recent sends.
const RECENT_TIME: Duration = Duration::from_secs(4);
/// Time without an observation after which the rate of an endpoint that is not listed is removed.
const UNLISTED_TTL: Duration = Duration::from_mins(1);
/// Requests between two reports of an instance above which the later one is that of a broken sender.
const SENDS_MAX: u32 = 100_000;
/// Most endpoints that are reported at a time.
const REPORTS_MAX: usize = 64;

/// How the token buckets of different instances are related; the module's documentation compares the ways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Pacing {
    /// Each instance has an equal share of each rate, whatever the others send.
    Parts,
    /// One level that all instances know, and that all charge while it is not used up.
    Level,
    /// The same level, which admits a share of the requests in proportion to it.
    #[default]
    Proportional,
}

/// What changed in an endpoint's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateChange {
    /// The endpoint advertises a rate, or another one than before.
    Limited(f64),
    /// The endpoint advertises no rate any more.
    Ended,
}

/// What an instance reports to others about an endpoint that advertises a rate, or did so lately.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateReport {
    /// The endpoint.
    pub endpoint: EngineTag,
    /// What the sender last observed itself, if that was lately.
    pub observation: Option<RateObservation>,
    /// Requests that the sender has sent there while it knew of a rate.
    pub total: u32,
    /// The part of `total` that was sent in the last seconds.
    pub recent: u32,
}

/// What an endpoint advertised to an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateObservation {
    /// The advertised rate, in requests a second; `None` for no rate.
    pub rate: Option<f64>,
    /// How long ago.
    pub age: Duration,
}

#[derive(Debug)]
struct TokenBucket<P> {
    /// In requests a second.
    rate: f64,
    /// When the endpoint advertised it, by the newest observation.
    advertised: Instant,
    /// When this instance last observed it itself.
    observed: Option<Instant>,
    /// Requests that may be sent now; below zero after more were sent than the rate allows.
    level: f64,
    /// When the level was last refilled.
    refilled: Instant,
    /// When the bucket was created, if this instance learned the rate by itself.
    learned: Option<Instant>,
    /// Requests that this instance has sent.
    total: u32,
    recent: VecDeque<Instant>,
    /// Incarnation and total of other instances, by their last reports.
    others: HashMap<P, (u64, u32)>,
}

impl<P: Copy + Eq + Hash> TokenBucket<P> {
    /// Starts empty: what the endpoint got before it advertised a rate is part of its overload.
    fn new(now: Instant, rate: f64, advertised: Instant, total: u32) -> Self {
        let (others, recent) = (HashMap::new(), VecDeque::new());
        Self {
            rate,
            advertised,
            observed: None,
            level: 0.0,
            refilled: now,
            learned: None,
            total,
            recent,
            others,
        }
    }

    /// The level now, which refills with a `share` of the rate.
    fn level(&self, now: Instant, share: f64) -> f64 {
        let rate = self.rate * share;
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        (self.level + rate * elapsed).min(self.burst(rate))
    }

    /// Highest level for a rate.
    fn burst(&self, rate: f64) -> f64 {
        let (requests, seconds) = if self.learned.is_some() { LEARNED_BURST } else { BURST };
        requests + rate * seconds
    }

    fn refill(&mut self, now: Instant, share: f64) {
        self.level = self.level(now, share);
        self.refilled = self.refilled.max(now);
    }

    /// Part of a peer's recent sends that is charged with its first report.
    ///
    /// Instances begin a learned limit at different times. One that charged all recent sends of peers that began
    /// theirs earlier would start with a debt of seconds of the rate, and send nothing.
    fn known_fraction(&self, now: Instant) -> f64 {
        let Some(begun) = self.learned else { return 1.0 };
        (now.saturating_duration_since(begun).as_secs_f64() / RECENT_TIME.as_secs_f64()).min(1.0)
    }

    fn charge(&mut self, requests: f64) {
        let (requests_max, seconds_max) = if self.learned.is_some() { LEARNED_DEBT_MAX } else { DEBT_MAX };
        self.level = (self.level - requests).max(-(requests_max + self.rate * seconds_max));
    }

    fn trim(&mut self, now: Instant) {
        while self.recent.front().is_some_and(|&at| now.saturating_duration_since(at) > RECENT_TIME) {
            self.recent.pop_front();
        }
    }
}

/// A rate that has ended.
#[derive(Debug, Clone, Copy)]
struct Ended {
    at: Instant,
    /// Whether this instance observed it itself.
    observed: bool,
    /// Requests that this instance had sent. If another rate begins soon, its count goes on from here: another
    /// instance may still know this one, and would take a lower count for requests that it has charged.
    total: u32,
}

/// What one instance knows of the rates that endpoints advertise. `P` names an instance.
#[derive(Debug)]
pub struct Rates<P> {
    pacing: Pacing,
    buckets: HashMap<EngineTag, TokenBucket<P>>,
    ended: HashMap<EngineTag, Ended>,
    /// Fraction of each rate that the reachable instances may use.
    reachable_share: f64,
    /// Known instances, this one included.
    instances: usize,
}

impl<P> Default for Rates<P> {
    fn default() -> Self {
        Self::new(Pacing::default())
    }
}

impl<P> Rates<P> {
    /// No endpoint advertises a rate yet.
    pub fn new(pacing: Pacing) -> Self {
        Self { pacing, buckets: HashMap::new(), ended: HashMap::new(), reachable_share: 1.0, instances: 1 }
    }

    /// How many endpoints advertise a rate.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no endpoint advertises a rate.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}

impl<P: Copy + Eq + Hash> Rates<P> {
    /// Sets the number of known instances, this one included, and the fraction of each rate that the
    /// reachable ones may use.
    pub fn share_among(&mut self, now: Instant, instances: usize, reachable_share: f64) {
        let before = self.own_share();
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, before);
        }
        self.instances = instances.max(1);
        self.reachable_share = reachable_share;
    }

    /// Applies the rate that an endpoint advertises in a response, or that it advertises none. Returns what
    /// that changes.
    pub fn observe_response(
        &mut self,
        now: Instant,
        endpoint: EngineTag,
        rate: Option<f64>,
    ) -> Option<RateChange> {
        let change = self.apply_observation(now, endpoint, rate, now);
        if let Some(bucket) = self.buckets.get_mut(&endpoint) {
            bucket.observed = Some(now);
        }
        if change == Some(RateChange::Ended)
            && let Some(ended) = self.ended.get_mut(&endpoint)
        {
            ended.observed = true;
        }
        change
    }

    /// Sets a rate that this instance has learned by other means than a response; `None` ends it. Others are
    /// not told of it. A new rate begins at the fraction `fill` of the level that admits all requests.
    pub fn set(&mut self, now: Instant, endpoint: EngineTag, rate: Option<f64>, fill: f64) {
        let is_new = !self.buckets.contains_key(&endpoint);
        self.apply_observation(now, endpoint, rate, now);
        let share = self.own_share();
        if let Some(bucket) = self.buckets.get_mut(&endpoint).filter(|_| is_new) {
            bucket.learned = Some(now);
            bucket.level = bucket.burst(bucket.rate * share) * FULL_ADMISSION_FRACTION * fill;
        }
    }

    /// Merges what another instance observed. Returns what that changes. A rate that is no number or below 0 is ignored:
    /// it must not pass for the end of a limit.
    pub fn merge_observation(
        &mut self,
        now: Instant,
        endpoint: EngineTag,
        observation: RateObservation,
    ) -> Option<RateChange> {
        if observation.rate.is_some_and(|rate| rate.is_nan() || rate < 0.0) {
            return None;
        }
        let advertised = now.checked_sub(observation.age)?;
        self.apply_observation(now, endpoint, observation.rate, advertised)
    }

    fn apply_observation(
        &mut self,
        now: Instant,
        endpoint: EngineTag,
        rate: Option<f64>,
        advertised: Instant,
    ) -> Option<RateChange> {
        let Some(rate) = rate else {
            let bucket = self.buckets.get(&endpoint)?;
            if bucket.advertised > advertised {
                return None;
            }
            let ended = Ended { at: advertised, observed: false, total: bucket.total };
            self.buckets.remove(&endpoint);
            self.ended.insert(endpoint, ended);
            return Some(RateChange::Ended);
        };
        let (enforced, share) = (rate.clamp(RATE_MIN, RATE_MAX), self.own_share());
        let Some(bucket) = self.buckets.get_mut(&endpoint) else {
            if self.ended.get(&endpoint).is_some_and(|ended| ended.at >= advertised) {
                return None;
            }
            let total = self.ended.remove(&endpoint).map_or(0, |ended| ended.total);
            self.buckets.insert(endpoint, TokenBucket::new(now, enforced, advertised, total));
            return Some(RateChange::Limited(rate));
        };
        if bucket.advertised > advertised {
            return None;
        }
        bucket.advertised = advertised;
        let changed = (bucket.rate - enforced).abs() > bucket.rate * CHANGE_MIN_FRACTION;
        if changed {
            bucket.refill(now, share);
            bucket.rate = enforced;
            bucket.level = bucket.level.min(bucket.burst(enforced * share));
        }
        changed.then_some(RateChange::Limited(rate))
    }

    /// Merges the sends to an endpoint that another instance reports; `incarnation` is that of the reporting
    /// instance.
    pub fn merge_sends(&mut self, now: Instant, from: P, incarnation: u64, report: RateReport) {
        let share = self.own_share();
        let Some(bucket) = self.buckets.get_mut(&report.endpoint) else { return };
        // A refund lowers the total of an incarnation; what was charged for it here stays charged.
        let known = bucket.others.get(&from).filter(|(before, _)| *before == incarnation).map(|&(_, t)| t);
        let added = match known {
            Some(total) => report.total.saturating_sub(total),
            None => (f64::from(report.recent.min(report.total)) * bucket.known_fraction(now)) as u32,
        };
        // An implausible total charges nothing, and later ones are compared to it: a single wrong one would otherwise
        // keep the endpoint without requests, or hide all later sends.
        let is_plausible = known.is_none_or(|total| report.total.abs_diff(total) <= SENDS_MAX);
        let total = known.filter(|_| is_plausible).map_or(report.total, |total| total.max(report.total));
        bucket.others.insert(from, (incarnation, total));
        if self.pacing != Pacing::Parts && is_plausible && (1..=SENDS_MAX).contains(&added) {
            bucket.refill(now, share);
            bucket.charge(f64::from(added));
        }
    }

    /// What is to be reported to others now.
    pub fn reports(&mut self, now: Instant) -> Vec<RateReport> {
        if self.buckets.is_empty() && self.ended.is_empty() {
            return Vec::new();
        }
        let lately = |at: &Instant| now.saturating_duration_since(*at) < REPORT_TIME;
        let age = |at: Instant| now.saturating_duration_since(at);
        let mut reports = Vec::new();
        for (&endpoint, &Ended { at, observed, total }) in &self.ended {
            if observed && lately(&at) {
                let observation = Some(RateObservation { rate: None, age: age(at) });
                reports.push((at, RateReport { endpoint, observation, total, recent: 0 }));
            }
        }
        for (&endpoint, bucket) in &mut self.buckets {
            bucket.trim(now);
            let observed = bucket.observed.filter(lately);
            let Some(at) = observed.max(bucket.recent.back().copied().filter(lately)) else { continue };
            let observation = observed.map(|at| RateObservation { rate: Some(bucket.rate), age: age(at) });
            let recent = bucket.recent.len() as u32;
            reports.push((at, RateReport { endpoint, observation, total: bucket.total, recent }));
        }
        reports.sort_by_key(|&(at, _)| std::cmp::Reverse(at));
        reports.into_iter().take(REPORTS_MAX).map(|(_, report)| report).collect()
    }

    /// Whether an endpoint advertises a rate.
    pub fn is_limited(&self, endpoint: EngineTag) -> bool {
        self.buckets.contains_key(&endpoint)
    }

    /// The share of the requests that may go to an endpoint now, from 0 to 1.
    pub fn admitted_share(&self, now: Instant, endpoint: EngineTag) -> f64 {
        let Some(bucket) = self.buckets.get(&endpoint) else { return 1.0 };
        let share = self.own_share();
        let level = bucket.level(now, share);
        match self.pacing {
            Pacing::Parts | Pacing::Level => f64::from(u8::from(level >= 1.0)),
            Pacing::Proportional => {
                (level / (bucket.burst(bucket.rate * share) * FULL_ADMISSION_FRACTION)).clamp(0.0, 1.0)
            }
        }
    }

    /// The fraction of an endpoint's rate that the reachable instances may use, in requests a second; `None`
    /// if it advertises none.
    pub fn rate(&self, endpoint: EngineTag) -> Option<f64> {
        self.buckets.get(&endpoint).map(|bucket| bucket.rate * self.reachable_share)
    }

    /// Requests that may be sent to an endpoint now, for logs.
    pub fn level(&self, now: Instant, endpoint: EngineTag) -> Option<f64> {
        self.buckets.get(&endpoint).map(|bucket| bucket.level(now, self.own_share()))
    }

    /// Whether the token bucket of an endpoint is nearly full: calls have come more slowly than the rate allows.
    pub fn is_nearly_full(&self, now: Instant, endpoint: EngineTag) -> bool {
        let share = self.own_share();
        self.buckets.get(&endpoint).is_some_and(|bucket| {
            bucket.level(now, share) >= bucket.burst(bucket.rate * share) * NEARLY_FULL_FRACTION
        })
    }

    /// The share of each rate with which the token buckets here refill.
    fn own_share(&self) -> f64 {
        match self.pacing {
            Pacing::Parts => 1.0 / self.instances as f64,
            Pacing::Level | Pacing::Proportional => self.reachable_share,
        }
    }

    /// Charges a request that is about to be sent to an endpoint.
    pub fn charge(&mut self, now: Instant, endpoint: EngineTag) {
        let share = self.own_share();
        let Some(bucket) = self.buckets.get_mut(&endpoint) else { return };
        bucket.refill(now, share);
        bucket.charge(1.0);
        bucket.total = bucket.total.wrapping_add(1);
        bucket.recent.push_back(now);
        bucket.trim(now);
    }

    /// Refunds a request that was [charged](Rates::charge) and has not reached the endpoint.
    pub fn refund(&mut self, now: Instant, endpoint: EngineTag) {
        let share = self.own_share();
        let Some(bucket) = self.buckets.get_mut(&endpoint) else { return };
        // A request that began before the endpoint advertised a rate was not charged.
        if bucket.recent.pop_back().is_some() {
            bucket.refill(now, share);
            bucket.level += 1.0;
            bucket.total = bucket.total.saturating_sub(1);
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: EngineTag) {
        self.buckets.remove(&endpoint);
        self.ended.remove(&endpoint);
    }

    /// Removes records of rates that ended long ago, and rates of endpoints that are not listed and were not
    /// observed for long.
    pub fn expire(&mut self, now: Instant, is_listed: impl Fn(EngineTag) -> bool) {
        let outdated = |at: Instant| now.saturating_duration_since(at) > UNLISTED_TTL;
        self.ended.retain(|_, ended| !outdated(ended.at));
        self.buckets.retain(|&endpoint, bucket| !outdated(bucket.advertised) || is_listed(endpoint));
    }
}
