//! Decides which parts of prompts are not sent to endpoints any more because endpoints crash under them.
//!
//! An endpoint can crash whenever it begins to answer a prompt that has a certain part. Callers send the part in
//! requests that have nothing else in common, so that no limit on one request and no
//! [`Quarantine`](crate::Quarantine) of it ends the crashes. Instances therefore keep evidence by part, and tell it to
//! one another. Evidence is a set of marks, so that its order and its repetition do not matter, and instances with the same
//! marks decide alike:
//!
//! - a *crash* of one incarnation of an endpoint, against each part of the requests that the endpoint had not begun to
//!   answer. It has begun to answer the others, and their parts with them;
//! - a *start*: an endpoint began to answer a request with the part.
//!
//! Endpoints that crash for another reason lose requests with any part. Four rules keep these parts in use:
//! - a start takes [`START_WEIGHT`] crashes before it back. A part of many requests starts all the time;
//! - no verdict is reached before [`SETTLE_TIME`] has passed since the first crash. Endpoints that share a host end together,
//!   and the parts that were present start elsewhere meanwhile;
//! - a part that has started several times lately needs [`KNOWN_LIMIT`] crashes instead of [`CRASH_LIMIT`];
//! - a crash that one verdict explains counts for no other. Parts that were present at exactly the same crashes form one
//!   verdict, which refuses only requests that have all of them. Whatever crash or start tells them apart narrows it.
//!
//! A verdict lasts while requests are refused by it, and [`QUIET_PERIOD`] longer. A wrong one would refuse what could clear it.
//! So one instance sends a single request to an endpoint as a test, and a start counts like any other. Each test that ends in
//! a crash doubles the time until the next one. A verdict on a part that was present at all crashes of several others, which may
//! as well be the causes, is tested at once, as long as few endpoints have crashed.
//!
//! No invariant depends on what peers report, and a part that is reported wrongly is only refused for a while.

mod evidence;

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use self::evidence::{CRASHES_MAX, KNOWN_LIMIT, LastStarts, Mark, Record, STARTS_MAX, report_of};
use crate::quarantine::EndpointIncarnation;

/// Maximum number of parts of one prompt that count.
const PARTS_MAX: usize = 64;
/// Time after the last crash or refusal until a verdict ends.
const QUIET_PERIOD: Duration = Duration::from_mins(10);
/// Time after the last crash or refusal until a verdict that has ended is forgotten. Until then one crash renews it.
const MEMORY_PERIOD: Duration = Duration::from_hours(1);
/// Time after a verdict's last crash until it is tested, doubled with each test that ended in a crash.
const TEST_DELAY: Duration = Duration::from_mins(1);
/// Time for a test to begin an answer or to crash an endpoint.
const TEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest delay after which a refused caller is told to return.
const RETRY_DELAY_MIN: Duration = Duration::from_secs(5);
/// How long a change is sent to peers. This covers several gossip intervals, so that a lost datagram does no harm.
const UPDATE_PERIOD: Duration = Duration::from_secs(3);
/// Maximum number of parts in one datagram: about a kilobyte.
const UPDATE_ENTRIES_MAX: usize = 16;
/// Maximum number of parts with crashes. Simultaneous crashes of a few hundred endpoints do not exceed it.
const RECORDS_MAX: usize = 4096;

/// A part of the prompts of a service that several requests may have, such as instructions or a document.
///
/// The same on every instance. Services have different engines, so that the same part at two services is two parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PromptPart(pub u64);

impl PromptPart {
    /// The parts with these ids at a service, each once.
    pub fn of_all(service: &str, ids: &[u64]) -> Vec<Self> {
        let mut parts: Vec<Self> = Vec::new();
        for id in ids.iter().take(PARTS_MAX) {
            let part = Self(xxh3_64_with_seed(service.as_bytes(), *id));
            if !parts.contains(&part) {
                parts.push(part);
            }
        }
        parts
    }

    /// The parts with these texts of prompts for a model, each once.
    pub fn of_texts(model: &str, texts: &[String]) -> Vec<Self> {
        let ids: Vec<_> = texts.iter().take(PARTS_MAX).map(|text| xxh3_64(text.as_bytes())).collect();
        Self::of_all(model, &ids)
    }

    /// The parts as one text, for logs.
    pub fn join(parts: &[Self]) -> String {
        let texts: Vec<_> = parts.iter().map(Self::to_string).collect();
        texts.join(",")
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Evidence about a part as reported to peers. Instances have no common clock, so that it contains ages in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: PromptPart,
    /// Incarnations that crashed, and the ages of the crashes.
    pub crashes: Vec<(EndpointIncarnation, u32)>,
    /// Requests that started, and the ages of the starts.
    pub starts: Vec<(u64, u32)>,
    /// Age of the last refusal.
    pub refused: Option<u32>,
}

/// Parts that are refused together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartVerdict {
    /// A request is refused if its prompt has all of them.
    pub parts: Vec<PromptPart>,
    /// Incarnations of endpoints that crashed under them, as far as they are kept.
    pub crashes: usize,
    /// When the first of these crashed.
    pub first_crash: Instant,
    /// When the last of these crashed.
    pub last_crash: Instant,
    /// When it is tested next, if no endpoint crashes before.
    pub next_test: Instant,
}

/// What a request with some parts may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartDecision {
    /// No verdict concerns it.
    Allowed,
    /// It is sent as a test of a verdict.
    Test,
    /// It is refused.
    Refused(PartRefusal),
}

/// Why a request is refused, and when its caller may return.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartRefusal {
    /// The parts of the verdict.
    pub parts: Vec<PromptPart>,
    /// Time until the verdict may end.
    pub delay: Duration,
}

/// A verdict that has begun or ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartChange {
    /// Requests are refused from now on.
    Began(PartVerdict),
    /// They are not refused any more.
    Ended(Vec<PromptPart>),
}

/// Parts of prompts under which endpoints crash, as known to one instance.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    records: HashMap<PromptPart, Record>,
    last_starts: LastStarts,
    verdicts: Vec<PartVerdict>,
    /// When evidence that is too fresh for a verdict is looked at again.
    next_decision: Option<Instant>,
    /// Changes that were not taken yet.
    changes: Vec<PartChange>,
    /// Whether this instance tests verdicts.
    is_tester: bool,
    /// Parts of the verdict that is being tested, and when the test is given up.
    test: Option<(Vec<PromptPart>, Instant)>,
}

impl PartQuarantine {
    /// Whether no request is refused, so that no part needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty() && self.next_decision.is_none()
    }

    /// Number of parts under which endpoints crashed, whether they are refused or not.
    pub fn suspected_count(&self) -> usize {
        self.records.len()
    }

    /// The verdicts in force.
    pub fn verdicts(&self) -> &[PartVerdict] {
        &self.verdicts
    }

    /// Takes the verdicts that have begun or ended.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Sets whether this instance tests verdicts. One instance is enough.
    pub fn set_tester(&mut self, is_tester: bool) {
        self.is_tester = is_tester;
    }

    /// Records that an endpoint crashed at the time `at` before it began to answer a request with these parts.
    pub fn observe_crash(
        &mut self,
        now: Instant,
        endpoint: EndpointIncarnation,
        at: Instant,
        parts: &[PromptPart],
    ) {
        let mut is_changed = false;
        for &part in parts {
            is_changed |= self.add_crash(now, part, Mark { id: endpoint.0, at });
            if let Some(record) = self.records.get_mut(&part) {
                record.observed = Some(now);
            }
        }
        if is_changed {
            self.decide(now);
        }
    }

    /// Records that an endpoint has begun to answer the request with the id `request`.
    pub fn observe_start(&mut self, now: Instant, request: &str, parts: &[PromptPart]) {
        let mark = Mark { id: xxh3_64(request.as_bytes()), at: now };
        let mut matters = false;
        for &part in parts {
            self.last_starts.insert(now, part, mark);
            let Some(record) = self.records.get_mut(&part) else { continue };
            matters |= record.weigh(&HashSet::new()).is_enough;
            if record.add_start(mark) {
                record.observed = Some(now);
            }
        }
        if matters {
            self.decide(now);
        }
    }

    /// Merges the reports of a peer. A clock that started after a mark has no earlier time; the mark then counts from `started`,
    /// the start of this process.
    pub fn merge(&mut self, now: Instant, started: Instant, reports: &[PartReport]) {
        let mut is_changed = false;
        for report in reports.iter().take(UPDATE_ENTRIES_MAX) {
            is_changed |= self.merge_report(now, started, report);
        }
        if is_changed {
            self.decide(now);
        }
    }

    fn merge_report(&mut self, now: Instant, started: Instant, report: &PartReport) -> bool {
        let time = |age: u32| now.checked_sub(Duration::from_millis(age.into())).unwrap_or(started);
        let mut is_changed = false;
        for &(endpoint, age) in report.crashes.iter().take(CRASHES_MAX) {
            is_changed |= self.add_crash(now, report.part, Mark { id: endpoint.0, at: time(age) });
        }
        let Some(record) = self.records.get_mut(&report.part) else { return false };
        for &(request, age) in report.starts.iter().take(STARTS_MAX) {
            is_changed |= record.add_start(Mark { id: request, at: time(age) });
        }
        record.refused = record.refused.max(report.refused.map(time));
        is_changed
    }

    /// What a request with these parts may do. A refusal keeps the verdict in force.
    pub fn decide_request(&mut self, now: Instant, parts: &[PromptPart]) -> PartDecision {
        self.look_again(now);
        let Some(verdict) = self.verdict_of(parts) else { return PartDecision::Allowed };
        let verdict = verdict.clone();
        if self.may_test(now, &verdict) {
            self.test = Some((verdict.parts, now + TEST_TIMEOUT));
            return PartDecision::Test;
        }
        for part in &verdict.parts {
            if let Some(record) = self.records.get_mut(part) {
                record.refused = Some(now);
            }
        }
        PartDecision::Refused(Self::refusal_of(now, &verdict))
    }

    /// The refusal of a request with these parts, looked up without any effect.
    pub fn refusal(&self, now: Instant, parts: &[PromptPart]) -> Option<PartRefusal> {
        self.verdict_of(parts).map(|verdict| Self::refusal_of(now, verdict))
    }

    fn refusal_of(now: Instant, verdict: &PartVerdict) -> PartRefusal {
        let delay = verdict.next_test.saturating_duration_since(now).clamp(RETRY_DELAY_MIN, QUIET_PERIOD);
        PartRefusal { parts: verdict.parts.clone(), delay }
    }

    fn verdict_of(&self, parts: &[PromptPart]) -> Option<&PartVerdict> {
        self.verdicts.iter().find(|verdict| verdict.parts.iter().all(|part| parts.contains(part)))
    }

    fn may_test(&self, now: Instant, verdict: &PartVerdict) -> bool {
        let is_testing = self.test.as_ref().is_some_and(|(_, until)| *until > now);
        self.is_tester && !is_testing && verdict.next_test <= now
    }

    /// Evidence to send to peers now: what this instance observed lately, and with `all` also what verdicts rest on. Peers that
    /// start, or that come back from a partition, do not know it.
    pub fn update(&self, now: Instant, all: bool) -> Vec<PartReport> {
        let is_recent = |r: &Record| r.observed.is_some_and(|at| now.duration_since(at) < UPDATE_PERIOD);
        let refused = |part: &PromptPart| self.verdicts.iter().any(|verdict| verdict.parts.contains(part));
        let mut reports: Vec<_> = self
            .records
            .iter()
            .map(|(part, record)| (refused(part), record.last_crash(), *part, record))
            .filter(|(refused, _, _, record)| is_recent(record) || (all && *refused))
            .collect();
        reports.sort_by_key(|&(refused, crash, part, _)| (std::cmp::Reverse((refused, crash)), part));
        reports.truncate(UPDATE_ENTRIES_MAX);
        reports.into_iter().map(|(_, _, part, record)| report_of(now, part, record)).collect()
    }

    /// Whether something was observed here that peers may not know yet.
    pub fn has_news(&self, now: Instant) -> bool {
        self.records.values().any(|r| r.observed.is_some_and(|at| now.duration_since(at) < UPDATE_PERIOD))
    }

    /// Ends what is too old.
    pub fn expire(&mut self, now: Instant) {
        self.last_starts.expire(now);
        self.test.take_if(|(_, until)| *until <= now);
        let mut is_changed = false;
        self.records.retain(|_, record| {
            let idle = record.last_active().map_or(MEMORY_PERIOD, |at| now.duration_since(at));
            let is_cleared = record.is_cleared()
                && record.observed.is_none_or(|at| now.duration_since(at) >= UPDATE_PERIOD)
                && idle >= UPDATE_PERIOD;
            if is_cleared || idle >= MEMORY_PERIOD || (idle >= QUIET_PERIOD && !record.convicted) {
                is_changed |= record.convicted;
                return false;
            }
            if idle >= QUIET_PERIOD {
                is_changed |= record.reduce();
            }
            true
        });
        if is_changed {
            self.decide(now);
        }
        self.look_again(now);
    }

    /// Reaches the verdicts whose evidence has settled by now.
    fn look_again(&mut self, now: Instant) {
        if self.next_decision.is_some_and(|at| at <= now) {
            self.decide(now);
        }
    }

    fn add_crash(&mut self, now: Instant, part: PromptPart, mark: Mark) -> bool {
        // What a peer reports is not newer than now.
        let mark = Mark { at: mark.at.min(now), ..mark };
        if !self.records.contains_key(&part) {
            self.make_room();
            self.records.insert(part, self.last_starts.record(now, part, mark.at));
        }
        self.records.get_mut(&part).is_some_and(|record| record.add_crash(mark))
    }

    /// Removes parts whose last crashes are the oldest, and that were never refused, if there are too many. They are several, so
    /// that the next part needs no such search.
    fn make_room(&mut self) {
        if self.records.len() < RECORDS_MAX {
            return;
        }
        let mut parts: Vec<_> =
            self.records.iter().map(|(part, r)| (r.convicted, r.last_crash(), *part)).collect();
        parts.sort_unstable();
        for (_, _, part) in parts.into_iter().take(RECORDS_MAX / 8) {
            self.records.remove(&part);
        }
    }

    /// Finds the parts that explain the crashes best, again from all the evidence.
    fn decide(&mut self, now: Instant) {
        let mut explained = HashSet::new();
        let mut verdicts = Vec::new();
        while let Some(verdict) = self.best_verdict(now, &explained) {
            let Some(record) = verdict.parts.first().and_then(|part| self.records.get(part)) else { break };
            explained.extend(record.crashes.iter().map(|crash| crash.id));
            verdicts.push(verdict);
        }
        let settling = self.records.values().filter_map(|record| record.settled(&explained));
        self.next_decision = settling.filter(|&at| at > now).min();
        for part in verdicts.iter().flat_map(|verdict| &verdict.parts) {
            if let Some(record) = self.records.get_mut(part) {
                record.convicted = true;
            }
        }
        let has = |list: &[PartVerdict], verdict: &PartVerdict| list.iter().any(|v| v.parts == verdict.parts);
        let began = verdicts.iter().filter(|v| !has(&self.verdicts, v)).cloned().map(PartChange::Began);
        let ended = self.verdicts.iter().filter(|v| !has(&verdicts, v));
        let ended = ended.map(|verdict| PartChange::Ended(verdict.parts.clone()));
        self.changes.extend(began.chain(ended));
        let is_tested =
            |parts: &Vec<PromptPart>| verdicts.iter().any(|v| v.parts == *parts && v.next_test <= now);
        self.test.take_if(|(parts, _)| !is_tested(parts));
        self.verdicts = verdicts;
    }

    /// The verdict that explains most of the crashes that are not `explained`. Parts that started meanwhile come last.
    fn best_verdict(&self, now: Instant, explained: &HashSet<u64>) -> Option<PartVerdict> {
        let candidates: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.settled(explained).is_some_and(|at| at <= now))
            .collect();
        let (_, best) = candidates.iter().max_by_key(|(part, record)| {
            (std::cmp::Reverse(record.later_starts()), record.unexplained(explained).count(), **part)
        })?;
        let ids = |record: &Record| -> HashSet<u64> { record.unexplained(explained).map(|c| c.id).collect() };
        let (crashes, starts) = (ids(best), best.later_starts());
        let same = |record: &Record| record.later_starts() == starts && ids(record) == crashes;
        let mut parts: Vec<_> =
            candidates.iter().filter(|(_, record)| same(record)).map(|(part, _)| **part).collect();
        parts.sort_unstable();
        let last_crash = best.last_crash()?;
        let is_ambiguous =
            crashes.len() < KNOWN_LIMIT as usize && self.is_explained_by_others(&crashes, explained);
        let delay = if is_ambiguous { Duration::ZERO } else { TEST_DELAY * 2_u32.pow(best.failed_tests()) };
        Some(PartVerdict {
            parts,
            crashes: crashes.len(),
            first_crash: best.crashes.first()?.at,
            last_crash,
            next_test: last_crash + delay,
        })
    }

    /// Whether parts that were present at some of the crashes, and have not started since, together explain all of them.
    fn is_explained_by_others(&self, crashes: &HashSet<u64>, explained: &HashSet<u64>) -> bool {
        let mut covered = HashSet::new();
        let concerns = |record: &&Record| record.crashes.iter().any(|crash| crashes.contains(&crash.id));
        for record in self.records.values().filter(concerns) {
            let ids: HashSet<u64> = record.unexplained(explained).map(|crash| crash.id).collect();
            let is_suspected = record.weigh(explained).score > 0;
            if is_suspected && ids.len() < crashes.len() && ids.is_subset(crashes) {
                covered.extend(ids);
            }
        }
        covered.len() == crashes.len()
    }
}
