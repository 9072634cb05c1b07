//! Rates that endpoints name, kept over many instances that agree on nothing.
//!
//! An endpoint in need says in its answers how many requests a second it takes from all instances together, and says it only
//! to those that happen to ask. Instances pass on what they were told, with its age: the newest word counts, so that a word
//! that arrives late takes nothing back. Each keeps an account by endpoint: a level that refills with the rate, and from
//! which its own sends and those that others tell are taken. What others send is known one telling late.
//!
//! If each instance sent whenever the level is above zero, all of them would at the same moment, and the endpoint would get
//! what all callers ask in the time of a telling. So the level admits a part of the requests that grows with it
//! ([`Pacing::Proportional`]): it settles where what is admitted is what refills, and hundreds of instances together send a
//! steady stream and no bursts. Nobody needs to know how many they are or how much the others ask.
//!
//! Invariants:
//! - a rate belongs to one start of an endpoint and goes with it;
//! - a rate of nothing, or of almost nothing, still lets a request through now and then, since nobody else would hear that
//!   it has ended;
//! - a rate is no failure: it says nothing of how well its endpoint is.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::EngineTag;

/// Lowest rate that is kept to, in requests a second.
const RATE_MIN: f64 = 0.2;
/// Highest rate that limits anything, in requests a second.
const RATE_MAX: f64 = 1e6;
/// Most that may come at once after a quiet time, in requests and, besides, in seconds of the rate.
const BURST: (f64, f64) = (2.0, 0.5);
/// Level from which on all requests are admitted, as a part of the burst.
const AMPLE: f64 = 0.6;
/// Deepest debt, in requests and, besides, in seconds of the rate.
const DEBT: (f64, f64) = (5.0, 4.0);
/// Change of a rate that is news, as a part of it.
const CHANGED: f64 = 0.01;
/// Time for which something is told again, since tellings are lost; some heartbeats of a peer among hundreds.
const RETELL: Duration = Duration::from_secs(3);
/// Time over which own sends are told to whoever hears of them from this instance for the first time.
const RECENT: Duration = Duration::from_secs(4);
/// Time without a word after which the rate of an endpoint that is not listed is forgotten.
const UNLISTED: Duration = Duration::from_mins(1);
/// Most endpoints that are told of at a time.
const TELLING_MAX: usize = 64;

/// How the accounts of different instances hang together; the module's head weighs them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Pacing {
    /// Each instance has an equal part of each rate, whatever the others send.
    Parts,
    /// One level that all know, from which all take while there is anything.
    Level,
    /// The same level, which admits a part of the requests in proportion to it.
    #[default]
    Proportional,
}

/// What changed in an endpoint's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateChange {
    /// It names one, or another one.
    Limited(f64),
    /// It names none any more.
    Ended,
}

/// What an instance tells others of an endpoint that names a rate, or did so lately.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateReport {
    /// The endpoint.
    pub endpoint: EngineTag,
    /// What it told the sender last, if that was lately.
    pub observation: Option<RateObservation>,
    /// Requests that the sender sent there since it knows of the rate.
    pub total: u32,
    /// Those of the last seconds among them.
    pub recent: u32,
}

/// What an endpoint told an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateObservation {
    /// The rate that it named, in requests a second, or none.
    pub rate: Option<f64>,
    /// How long ago.
    pub age: Duration,
}

#[derive(Debug)]
struct Account<P> {
    /// In requests a second.
    rate: f64,
    /// When the endpoint said so, by the newest word.
    said: Instant,
    /// When it last told this instance itself.
    direct: Option<Instant>,
    /// Requests that may be sent now; below zero after more were sent than the rate allows.
    level: f64,
    /// When the level was last refilled.
    at: Instant,
    /// Sent from here.
    total: u32,
    recent: VecDeque<Instant>,
    /// Life and total of others, as they last told.
    known: HashMap<P, (u64, u32)>,
}

impl<P: Copy + Eq + Hash> Account<P> {
    /// Starts empty: what the endpoint got before it named a rate is part of its need.
    fn new(now: Instant, rate: f64, said: Instant) -> Self {
        let (known, recent) = (HashMap::new(), VecDeque::new());
        Self { rate, said, direct: None, level: 0.0, at: now, total: 0, recent, known }
    }

    /// The level now; `part` of the rate is this side's.
    fn level(&self, now: Instant, part: f64) -> f64 {
        let rate = self.rate * part;
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        (self.level + rate * passed).min(burst(rate))
    }

    fn refill(&mut self, now: Instant, part: f64) {
        self.level = self.level(now, part);
        self.at = self.at.max(now);
    }

    fn take(&mut self, requests: f64) {
        self.level = (self.level - requests).max(-(DEBT.0 + self.rate * DEBT.1));
    }

    fn trim(&mut self, now: Instant) {
        while self.recent.front().is_some_and(|&at| now.saturating_duration_since(at) > RECENT) {
            self.recent.pop_front();
        }
    }
}

/// Most that an account of this rate may hold.
fn burst(rate: f64) -> f64 {
    BURST.0 + rate * BURST.1
}

/// What one instance knows of the rates that endpoints name. `P` tells instances apart.
#[derive(Debug)]
pub struct Rates<P> {
    pacing: Pacing,
    accounts: HashMap<EngineTag, Account<P>>,
    /// When endpoints said that they name none any more, and whether this instance heard it itself.
    ended: HashMap<EngineTag, (Instant, bool)>,
    /// Part of each rate that this side of a cut has.
    part: f64,
    /// Instances that are known, this one included.
    instances: usize,
}

impl<P> Default for Rates<P> {
    fn default() -> Self {
        Self::new(Pacing::default())
    }
}

impl<P> Rates<P> {
    /// No endpoint names a rate yet.
    pub fn new(pacing: Pacing) -> Self {
        Self { pacing, accounts: HashMap::new(), ended: HashMap::new(), part: 1.0, instances: 1 }
    }

    /// How many endpoints name a rate.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

impl<P: Copy + Eq + Hash> Rates<P> {
    /// So many instances are known, this one included, and `part` of what is divided among all is for those that are heard.
    pub fn share_among(&mut self, now: Instant, instances: usize, part: f64) {
        let before = self.own_part();
        for account in self.accounts.values_mut() {
            account.refill(now, before);
        }
        self.instances = instances.max(1);
        self.part = part;
    }

    /// An endpoint's answer names a rate, or none. Says what that changes.
    pub fn observe_response(
        &mut self,
        now: Instant,
        endpoint: EngineTag,
        rate: Option<f64>,
    ) -> Option<RateChange> {
        let change = self.take_word(now, endpoint, rate, now);
        if let Some(account) = self.accounts.get_mut(&endpoint) {
            account.direct = Some(now);
        }
        if change == Some(RateChange::Ended) {
            self.ended.insert(endpoint, (now, true));
        }
        change
    }

    /// Another instance tells what an endpoint told it. Says what that changes.
    pub fn merge_observation(
        &mut self,
        now: Instant,
        endpoint: EngineTag,
        word: RateObservation,
    ) -> Option<RateChange> {
        let said = now.checked_sub(word.age)?;
        self.take_word(now, endpoint, word.rate, said)
    }

    fn take_word(
        &mut self,
        now: Instant,
        endpoint: EngineTag,
        rate: Option<f64>,
        said: Instant,
    ) -> Option<RateChange> {
        let Some(rate) = rate else {
            let account = self.accounts.get(&endpoint)?;
            if account.said > said {
                return None;
            }
            self.accounts.remove(&endpoint);
            self.ended.insert(endpoint, (said, false));
            return Some(RateChange::Ended);
        };
        let (kept, part) = (rate.clamp(RATE_MIN, RATE_MAX), self.own_part());
        let Some(account) = self.accounts.get_mut(&endpoint) else {
            if self.ended.get(&endpoint).is_some_and(|&(ended, _)| ended >= said) {
                return None;
            }
            self.ended.remove(&endpoint);
            self.accounts.insert(endpoint, Account::new(now, kept, said));
            return Some(RateChange::Limited(rate));
        };
        if account.said > said {
            return None;
        }
        account.said = said;
        let news = (account.rate - kept).abs() > account.rate * CHANGED;
        if news {
            account.refill(now, part);
            account.rate = kept;
            account.level = account.level.min(burst(kept * part));
        }
        news.then_some(RateChange::Limited(rate))
    }

    /// Another instance, in this life of it, tells what it has sent to an endpoint.
    pub fn merge_sends(&mut self, now: Instant, from: P, life: u64, news: RateReport) {
        let part = self.own_part();
        let Some(account) = self.accounts.get_mut(&news.endpoint) else { return };
        let more = match account.known.insert(from, (life, news.total)) {
            Some((before, total)) if before == life && total <= news.total => news.total - total,
            Some(_) | None => news.recent.min(news.total),
        };
        if self.pacing != Pacing::Parts && more > 0 {
            account.refill(now, part);
            account.take(f64::from(more));
        }
    }

    /// What others are to be told now.
    pub fn reports(&mut self, now: Instant) -> Vec<RateReport> {
        if self.accounts.is_empty() && self.ended.is_empty() {
            return Vec::new();
        }
        let lately = |at: &Instant| now.saturating_duration_since(*at) < RETELL;
        let age = |at: Instant| now.saturating_duration_since(at);
        let mut news = Vec::new();
        for (&endpoint, &(at, direct)) in &self.ended {
            if direct && lately(&at) {
                let observation = Some(RateObservation { rate: None, age: age(at) });
                news.push((at, RateReport { endpoint, observation, total: 0, recent: 0 }));
            }
        }
        for (&endpoint, account) in &mut self.accounts {
            account.trim(now);
            let direct = account.direct.filter(lately);
            let Some(at) = direct.max(account.recent.back().copied().filter(lately)) else { continue };
            let observation = direct.map(|at| RateObservation { rate: Some(account.rate), age: age(at) });
            let recent = account.recent.len() as u32;
            news.push((at, RateReport { endpoint, observation, total: account.total, recent }));
        }
        news.sort_by_key(|&(at, _)| std::cmp::Reverse(at));
        news.into_iter().take(TELLING_MAX).map(|(_, news)| news).collect()
    }

    /// Whether an endpoint names a rate.
    pub fn is_limited(&self, endpoint: EngineTag) -> bool {
        self.accounts.contains_key(&endpoint)
    }

    /// The part of the requests that may go to an endpoint now, from 0 to 1.
    pub fn admitted_share(&self, now: Instant, endpoint: EngineTag) -> f64 {
        let Some(account) = self.accounts.get(&endpoint) else { return 1.0 };
        let part = self.own_part();
        let level = account.level(now, part);
        match self.pacing {
            Pacing::Parts | Pacing::Level => f64::from(u8::from(level >= 1.0)),
            Pacing::Proportional => (level / (burst(account.rate * part) * AMPLE)).clamp(0.0, 1.0),
        }
    }

    /// The rate of an endpoint that this side of a cut may use; `None` if it names none.
    pub fn rate(&self, endpoint: EngineTag) -> Option<f64> {
        self.accounts.get(&endpoint).map(|account| account.rate * self.part)
    }

    /// Requests that may be sent to an endpoint now, for logs.
    pub fn level(&self, now: Instant, endpoint: EngineTag) -> Option<f64> {
        self.accounts.get(&endpoint).map(|account| account.level(now, self.own_part()))
    }

    /// The part of each rate that refills the accounts here.
    fn own_part(&self) -> f64 {
        match self.pacing {
            Pacing::Parts => 1.0 / self.instances as f64,
            Pacing::Level | Pacing::Proportional => self.part,
        }
    }

    /// A request is about to go to an endpoint.
    pub fn charge(&mut self, now: Instant, endpoint: EngineTag) {
        let part = self.own_part();
        let Some(account) = self.accounts.get_mut(&endpoint) else { return };
        account.refill(now, part);
        account.take(1.0);
        account.total = account.total.wrapping_add(1);
        account.recent.push_back(now);
        account.trim(now);
    }

    /// A request that was [taken](Rates::charge) has not reached the endpoint.
    pub fn refund(&mut self, now: Instant, endpoint: EngineTag) {
        let part = self.own_part();
        let Some(account) = self.accounts.get_mut(&endpoint) else { return };
        // It may have been taken before the endpoint named a rate.
        if account.recent.pop_back().is_some() {
            account.refill(now, part);
            account.level += 1.0;
            account.total = account.total.saturating_sub(1);
        }
    }

    /// The endpoint has gone.
    pub fn remove(&mut self, endpoint: EngineTag) {
        self.accounts.remove(&endpoint);
        self.ended.remove(&endpoint);
    }

    /// Forgets ends that are old, and rates of endpoints that are not listed and of which nothing was heard for long.
    pub fn expire(&mut self, now: Instant, is_listed: impl Fn(EngineTag) -> bool) {
        let silent = |at: Instant| now.saturating_duration_since(at) > UNLISTED;
        self.ended.retain(|_, (at, _)| !silent(*at));
        self.accounts.retain(|&endpoint, account| !silent(account.said) || is_listed(endpoint));
    }
}
