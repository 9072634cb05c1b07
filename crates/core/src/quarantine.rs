//! Which requests are not sent to endpoints any more, because endpoints crash under them.
//!
//! A request can crash whatever endpoint begins to run it. Its caller sends it again, under a new id and at any instance, and
//! each time one more endpoint goes down with everything that runs there. Limits on sends hold for one id. So instances
//! remember by its [`Fingerprint`] what a request did, and tell one another; each of them decides for itself by the same rule.
//!
//! A crash accuses whoever ran there. Three things tell the cause from those that were only present:
//! - a request that was answered whole a moment ago, or is answered whole later, at any instance, is innocent. What many
//!   callers ask for is present at most crashes, and is served all the time;
//! - a crash that a request in quarantine was present at accuses no other one;
//! - everything is forgotten after [`CRASH_RETENTION`], so that an accusation that is wrong ends by itself. A request that was in
//!   quarantine is then one crash away from it.
//!
//! Nothing that must hold rests on what peers say: a false word makes an instance refuse a request that it has not run, or
//! send one more request to an endpoint.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// Crashes from which a request is in quarantine. Two can happen to a stream that was taken up once while endpoints go down
/// for other reasons; each further one costs all callers of one more endpoint their answers.
const CRASH_LIMIT: usize = 3;
/// How long a crash is remembered. With [`CRASH_LIMIT`], a request that goes on crashing endpoints takes three in this time;
/// callers who were wrongly refused are served again after it.
const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// How long a whole answer clears a request of crashes. Many callers ask for the same thing more often than that, or they are
/// not many; a request that endpoints could serve once and cannot since their last release is found out after it.
const SUCCESS_RETENTION: Duration = Duration::from_mins(1);
/// Whole answers that are remembered: those of [`SUCCESS_RETENTION`], at some 70 a second.
const SUCCESSES_MAX: usize = 4096;
/// How long peers are told of something new; several of their heartbeats, so that a lost datagram does no harm.
const UPDATE_PERIOD: Duration = Duration::from_secs(3);
/// Crashes that are remembered of one request; the latest, which decide how long it is in quarantine.
const CRASHES_PER_REQUEST_MAX: usize = 8;
/// Requests that are remembered. Crashes of some hundred endpoints at once leave no more.
const REQUESTS_MAX: usize = 4096;
/// Most crashes, and most whole answers, that one datagram tells: about a kilobyte.
const UPDATE_ENTRIES_MAX: usize = 64;

/// One start of an endpoint, by a number that is the same on every instance. Two that share a number by chance count as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointIncarnation(pub u64);

/// An endpoint crashed under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The endpoint.
    pub endpoint: EndpointIncarnation,
    /// When.
    pub at: Instant,
}

/// A crash as peers are told of it. Instances have no clock in common, so that its time is told as an age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub request: Fingerprint,
    /// The endpoint.
    pub endpoint: EndpointIncarnation,
    /// How long ago, in milliseconds.
    pub age_ms: u32,
}

impl CrashReport {
    /// A crash as it is told now.
    pub fn new(now: Instant, crash: Crash) -> Self {
        let age = now.saturating_duration_since(crash.at).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        Self { request: crash.request, endpoint: crash.endpoint, age_ms }
    }

    /// The crash that is told of now. The machine may have started after it, and its clock may know no time so long ago;
    /// the crash counts from `started` then, when this process began.
    pub fn crash(self, now: Instant, started: Instant) -> Crash {
        let at = now.checked_sub(Duration::from_millis(u64::from(self.age_ms))).unwrap_or(started);
        Crash { request: self.request, endpoint: self.endpoint, at }
    }
}

/// What peers are told.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashUpdate {
    /// Crashes.
    pub crashes: Vec<Crash>,
    /// Requests that were answered whole after endpoints had crashed under them.
    pub served: Vec<Fingerprint>,
}

/// Crashes under one request.
#[derive(Debug)]
struct CrashRecord {
    /// In the order in which they happened.
    crashes: Vec<Crash>,
    /// When the last one was noted here.
    last_noted: Instant,
    /// When the last one was noted that was seen here, and not told by a peer.
    last_observed: Option<Instant>,
}

impl CrashRecord {
    fn has(&self, endpoint: EndpointIncarnation) -> bool {
        self.crashes.iter().any(|crash| crash.endpoint == endpoint)
    }

    /// Until when the request is in quarantine.
    fn until(&self, now: Instant) -> Option<Instant> {
        let decisive = self.crashes.len().checked_sub(CRASH_LIMIT)?;
        Some(self.crashes[decisive].at + CRASH_RETENTION).filter(|&until| until > now)
    }
}

/// Requests that were answered whole lately.
#[derive(Debug, Default)]
struct RecentSuccesses {
    last: HashMap<Fingerprint, Instant>,
    order: VecDeque<(Instant, Fingerprint)>,
}

impl RecentSuccesses {
    fn insert(&mut self, now: Instant, request: Fingerprint) {
        self.last.insert(request, now);
        self.order.push_back((now, request));
        self.expire(now);
    }

    fn contains(&self, now: Instant, request: Fingerprint) -> bool {
        self.last.get(&request).is_some_and(|&at| now.duration_since(at) < SUCCESS_RETENTION)
    }

    fn expire(&mut self, now: Instant) {
        let over = |at: Instant| now.duration_since(at) >= SUCCESS_RETENTION;
        while let Some(&(at, request)) = self.order.front()
            && (over(at) || self.order.len() > SUCCESSES_MAX)
        {
            self.order.pop_front();
            // A later answer to the same request stands further behind.
            if self.last.get(&request) == Some(&at) {
                self.last.remove(&request);
            }
        }
    }
}

/// What one instance knows of requests under which endpoints crash.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, CrashRecord>,
    successes: RecentSuccesses,
    /// Requests with crashes that were answered whole here, and when.
    cleared: Vec<(Instant, Fingerprint)>,
}

impl Quarantine {
    /// Whether no crash is known; then no request needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// An endpoint crashed under a request of this instance. Says whether the request is in quarantine since.
    pub fn observe_crash(&mut self, now: Instant, crash: Crash) -> bool {
        self.record_crash(now, crash, true)
    }

    /// A peer says that an endpoint crashed under a request. Says whether the request is in quarantine since.
    pub fn merge_crash(&mut self, now: Instant, crash: Crash) -> bool {
        self.record_crash(now, crash, false)
    }

    fn record_crash(&mut self, now: Instant, crash: Crash, observed: bool) -> bool {
        let old = now.duration_since(crash.at) >= CRASH_RETENTION;
        if old || self.successes.contains(now, crash.request) || self.attributed_to_other(now, crash) {
            return false;
        }
        let record = self.record_mut(now, crash.request);
        if record.has(crash.endpoint) {
            return false;
        }
        let before = record.until(now).is_some();
        let place = record.crashes.partition_point(|known| known.at <= crash.at);
        record.crashes.insert(place, crash);
        if record.crashes.len() > CRASHES_PER_REQUEST_MAX {
            record.crashes.remove(0);
        }
        record.last_noted = now;
        if observed {
            record.last_observed = Some(now);
        }
        let begins = !before && record.until(now).is_some();
        if begins {
            self.clear_others(now, crash.request);
        }
        begins
    }

    /// Whether another request, which is in quarantine, was present at a crash.
    fn attributed_to_other(&self, now: Instant, crash: Crash) -> bool {
        let mut others = self.records.iter().filter(|(request, _)| **request != crash.request);
        others.any(|(_, record)| record.has(crash.endpoint) && record.until(now).is_some())
    }

    /// Takes the crashes at which a request was present, which is in quarantine now, from all that are not.
    fn clear_others(&mut self, now: Instant, request: Fingerprint) {
        let explained: Vec<_> = self.records[&request].crashes.iter().map(|crash| crash.endpoint).collect();
        for record in self.records.values_mut().filter(|record| record.until(now).is_none()) {
            record.crashes.retain(|crash| !explained.contains(&crash.endpoint));
        }
    }

    /// A request was answered whole here.
    pub fn observe_success(&mut self, now: Instant, request: Fingerprint) {
        self.successes.insert(now, request);
        if self.records.remove(&request).is_some() {
            self.cleared.push((now, request));
        }
    }

    /// A peer says that a request under which endpoints had crashed was answered whole.
    pub fn merge_success(&mut self, now: Instant, request: Fingerprint) {
        self.successes.insert(now, request);
        self.records.remove(&request);
    }

    /// Until when a request is in quarantine, if it is.
    pub fn until(&self, now: Instant, request: Fingerprint) -> Option<Instant> {
        self.records.get(&request)?.until(now)
    }

    /// What peers are told now: what was new here a moment ago, and if some of them are new, all that keeps requests in
    /// quarantine. An instance that starts knows nothing, and is not to find out by itself.
    pub fn update(&self, now: Instant, newcomers: bool) -> CrashUpdate {
        let recent = |at: Instant| now.duration_since(at) < UPDATE_PERIOD;
        let told =
            |r: &&CrashRecord| r.last_observed.is_some_and(recent) || (newcomers && r.until(now).is_some());
        let mut crashes: Vec<_> =
            self.records.values().filter(told).flat_map(|r| r.crashes.iter().copied()).collect();
        crashes.sort_by_key(|crash| std::cmp::Reverse(crash.at));
        crashes.truncate(UPDATE_ENTRIES_MAX);
        let cleared = self.cleared.iter().rev().filter(|(at, _)| recent(*at));
        let served = cleared.take(UPDATE_ENTRIES_MAX).map(|(_, request)| *request).collect();
        CrashUpdate { crashes, served }
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            record.crashes.retain(|crash| now.duration_since(crash.at) < CRASH_RETENTION);
            !record.crashes.is_empty()
        });
        self.successes.expire(now);
        self.cleared.retain(|(at, _)| now.duration_since(*at) < UPDATE_PERIOD);
    }

    fn record_mut(&mut self, now: Instant, request: Fingerprint) -> &mut CrashRecord {
        if self.records.len() >= REQUESTS_MAX && !self.records.contains_key(&request) {
            let oldest =
                self.records.iter().min_by_key(|(_, record)| record.last_noted).map(|(&request, _)| request);
            oldest.and_then(|oldest| self.records.remove(&oldest));
        }
        self.records.entry(request).or_insert_with(|| CrashRecord {
            crashes: Vec::new(),
            last_noted: now,
            last_observed: None,
        })
    }
}
