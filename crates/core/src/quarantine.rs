//! Decides which requests are not sent to endpoints any more because endpoints crash under them.
//!
//! A request can crash every endpoint that starts to run it. The caller sends it again, under a new id and
//! through any instance, and each time another endpoint crashes with everything that runs there. Limits on
//! attempts apply to one id only. Instances therefore record by [`Fingerprint`] what a request did and tell
//! one another; each instance decides by the same rule.
//!
//! A crash is attributed to every request that was running at the endpoint. Three rules separate the cause
//! from requests that were only present:
//! - a request that was completed shortly before, or is completed later, at any instance, is cleared. A
//!   request that many callers send is present at most crashes and is completed all the time;
//! - a crash at which a request in quarantine was present is not attributed to any other request;
//! - crashes are removed after [`CRASH_RETENTION`], so that a wrong attribution ends by itself. A request
//!   that was in quarantine is then one crash away from it.
//!
//! No invariant depends on what peers report: a wrong report makes an instance refuse a request that it has
//! not run, or send one more request to an endpoint.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// Number of crashes from which a request is in quarantine. A stream that was resumed once can be present at
/// two crashes that have other causes. Each further crash costs all callers of one more endpoint their
/// responses.
const CRASH_LIMIT: usize = 3;
/// How long a crash is recorded. With [`CRASH_LIMIT`], a request that keeps crashing endpoints crashes three
/// in this time; callers that were refused wrongly are served again after it.
const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// How long a complete response clears a request of crashes. Requests that many callers send are completed
/// more often than this. A request that endpoints could complete before their last release, and cannot since,
/// is detected after this time.
const SUCCESS_RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of recorded complete responses: those of [`SUCCESS_RETENTION`], at about 70 per second.
const SUCCESSES_MAX: usize = 4096;
/// How long a change is sent to peers. This covers several heartbeats, so that a lost datagram does no harm.
const UPDATE_PERIOD: Duration = Duration::from_secs(3);
/// Maximum number of recorded crashes of one request: the latest ones, which determine the end of its
/// quarantine.
const CRASHES_PER_REQUEST_MAX: usize = 8;
/// Maximum number of requests with recorded crashes. Simultaneous crashes of a few hundred endpoints do not
/// exceed it.
const REQUESTS_MAX: usize = 4096;
/// Maximum number of crashes, and of complete responses, in one datagram: about a kilobyte.
const UPDATE_ENTRIES_MAX: usize = 64;

/// One incarnation of an endpoint, by a number that is the same on every instance. Two incarnations that have
/// the same number by chance count as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointIncarnation(pub u64);

/// What an update to peers contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateScope {
    /// Changes that were observed here lately.
    Recent,
    /// Also crashes of the last minute that keep requests in quarantine, for peers that come back from a partition.
    Reminder,
    /// Also all crashes that keep requests in quarantine. A new incarnation knows no crashes, and endpoints would crash again before
    /// it refuses these requests.
    Newcomers,
}

/// A crash of an endpoint under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The endpoint.
    pub endpoint: EndpointIncarnation,
    /// When the endpoint crashed.
    pub at: Instant,
}

/// A crash as reported to peers. Instances have no common clock, so the report contains the age of the crash
/// instead of its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub request: Fingerprint,
    /// The endpoint.
    pub endpoint: EndpointIncarnation,
    /// Age of the crash in milliseconds.
    pub age_ms: u32,
}

impl CrashReport {
    /// Reports a crash at `now`.
    pub fn new(now: Instant, crash: Crash) -> Self {
        let age = now.saturating_duration_since(crash.at).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        Self { request: crash.request, endpoint: crash.endpoint, age_ms }
    }

    /// The reported crash. If the machine started after the crash, the clock has no earlier time; the crash
    /// then counts from `started`, the start of this process.
    pub fn crash(self, now: Instant, started: Instant) -> Crash {
        let at = now.checked_sub(Duration::from_millis(u64::from(self.age_ms))).unwrap_or(started);
        Crash { request: self.request, endpoint: self.endpoint, at }
    }
}

/// Changes to send to peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashUpdate {
    /// Crashes.
    pub crashes: Vec<Crash>,
    /// Requests that were completed after endpoints had crashed under them.
    pub served: Vec<Fingerprint>,
}

/// Crashes attributed to one request.
#[derive(Debug)]
struct CrashRecord {
    /// Ordered by time.
    crashes: Vec<Crash>,
    /// When the last crash was recorded here.
    last_recorded: Instant,
    /// When the last crash was recorded that this instance observed itself.
    last_observed: Option<Instant>,
}

impl CrashRecord {
    fn has(&self, endpoint: EndpointIncarnation) -> bool {
        self.crashes.iter().any(|crash| crash.endpoint == endpoint)
    }

    /// End of the quarantine of the request.
    fn until(&self, now: Instant) -> Option<Instant> {
        let deciding = self.crashes.len().checked_sub(CRASH_LIMIT)?;
        Some(self.crashes[deciding].at + CRASH_RETENTION).filter(|&until| until > now)
    }
}

/// Requests that were completed recently.
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
            // A later completion of the same request is further back in the queue.
            if self.last.get(&request) == Some(&at) {
                self.last.remove(&request);
            }
        }
    }
}

/// Crashes and completions of requests that are known to one instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, CrashRecord>,
    successes: RecentSuccesses,
    /// Requests with crashes that were completed here, and when.
    cleared: Vec<(Instant, Fingerprint)>,
}

impl Quarantine {
    /// Whether no crash is known, so that no request needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records that an endpoint crashed under a request of this instance. Returns whether this put the
    /// request in quarantine.
    pub fn observe_crash(&mut self, now: Instant, crash: Crash) -> bool {
        self.record_crash(now, crash, true)
    }

    /// Merges a crash that a peer reports. Returns whether this put the request in quarantine.
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
        record.last_recorded = now;
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

    /// Removes the crashes of a request that is now in quarantine from all requests that are not.
    fn clear_others(&mut self, now: Instant, request: Fingerprint) {
        let endpoints: Vec<_> = self.records[&request].crashes.iter().map(|crash| crash.endpoint).collect();
        for record in self.records.values_mut().filter(|record| record.until(now).is_none()) {
            record.crashes.retain(|crash| !endpoints.contains(&crash.endpoint));
        }
    }

    /// Records that a request was completed here.
    pub fn observe_success(&mut self, now: Instant, request: Fingerprint) {
        self.successes.insert(now, request);
        if self.records.remove(&request).is_some() {
            self.cleared.push((now, request));
        }
    }

    /// Merges a peer's report that a request was completed after endpoints had crashed under it.
    pub fn merge_success(&mut self, now: Instant, request: Fingerprint) {
        self.successes.insert(now, request);
        self.records.remove(&request);
    }

    /// End of the quarantine of a request, if the request is in quarantine.
    pub fn until(&self, now: Instant, request: Fingerprint) -> Option<Instant> {
        self.records.get(&request)?.until(now)
    }

    /// Whether something was observed here that peers may not know yet.
    pub fn has_news(&self, now: Instant) -> bool {
        let update = self.update(now, UpdateScope::Recent);
        !update.crashes.is_empty() || !update.served.is_empty()
    }

    /// Changes to send to peers now.
    pub fn update(&self, now: Instant, scope: UpdateScope) -> CrashUpdate {
        let recent = |at: Instant| now.duration_since(at) < UPDATE_PERIOD;
        // Whoever knows a success after a crash remembers it for longer than the crash is repeated, so that a reminder does not
        // bring back what the success has cleared.
        let is_repeated = |crash: &Crash| match scope {
            UpdateScope::Recent => false,
            UpdateScope::Reminder => now.duration_since(crash.at) < SUCCESS_RETENTION,
            UpdateScope::Newcomers => true,
        };
        let to_send = |record: &CrashRecord| -> Vec<Crash> {
            let is_recent = record.last_observed.is_some_and(recent);
            let is_quarantined = record.until(now).is_some();
            let to_send = |crash: &&Crash| is_recent || (is_quarantined && is_repeated(crash));
            record.crashes.iter().filter(to_send).copied().collect()
        };
        let mut crashes: Vec<_> = self.records.values().flat_map(to_send).collect();
        crashes.sort_by_key(|crash| std::cmp::Reverse(crash.at));
        crashes.truncate(UPDATE_ENTRIES_MAX);
        let cleared = self.cleared.iter().rev().filter(|(at, _)| recent(*at));
        let served = cleared.take(UPDATE_ENTRIES_MAX).map(|(_, request)| *request).collect();
        CrashUpdate { crashes, served }
    }

    /// Removes what is too old.
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
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, record)| record.last_recorded)
                .map(|(&request, _)| request);
            oldest.and_then(|oldest| self.records.remove(&oldest));
        }
        self.records.entry(request).or_insert_with(|| CrashRecord {
            crashes: Vec::new(),
            last_recorded: now,
            last_observed: None,
        })
    }
}
