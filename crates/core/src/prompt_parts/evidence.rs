//! Evidence about parts of prompts: what is kept, and what it amounts to.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use super::{PartReport, PromptPart};
use crate::quarantine::EndpointIncarnation;

/// Crashes from which a part is refused. Two can have other causes.
const CRASH_LIMIT: u32 = 3;
/// The same for a part that started [`KNOWN_STARTS`] times, each within [`KNOWN_PERIOD`] after the one before, until an endpoint
/// crashed.
pub(super) const KNOWN_LIMIT: u32 = 5;
const KNOWN_STARTS: usize = 3;
/// How long a start shows that endpoints can answer a part.
const KNOWN_PERIOD: Duration = Duration::from_mins(1);
/// Crashes left at which a verdict ends: of many crashes, one start takes back little.
const RELEASE_SCORE: u32 = 1;
/// Crashes that one start takes back.
const START_WEIGHT: u32 = 2;
/// Shortest time from the first crash to a verdict.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Crashes that are kept of one part: the first one, from which evidence settles, and the latest ones.
pub(super) const CRASHES_MAX: usize = 8;
/// Starts that are kept of one part, the latest ones. They take back all crashes that are kept.
pub(super) const STARTS_MAX: usize = 4;
/// Time without a crash before one that was the result of a test.
const TEST_GAP: Duration = Duration::from_secs(30);
/// Maximum number of parts whose last start is known.
const STARTED_MAX: usize = 8192;

/// One piece of evidence. Its `id` tells it from others: an incarnation, or a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Mark {
    pub(super) id: u64,
    pub(super) at: Instant,
}

/// Adds a mark to marks in the order of time. If there are more than `most` then, the one at the index `dropped` is removed. Returns
/// whether the mark was added.
fn insert_mark(marks: &mut Vec<Mark>, mark: Mark, most: usize, dropped: usize) -> bool {
    if marks.iter().any(|known| known.id == mark.id) {
        return false;
    }
    let place = marks.partition_point(|known| (known.at, known.id) < (mark.at, mark.id));
    marks.insert(place, mark);
    marks.len() <= most || marks.remove(dropped).id != mark.id
}

/// What the evidence about a part amounts to, as a function of the marks alone.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Weight {
    /// Crashes that starts have not taken back.
    pub(super) score: u32,
    /// Whether it is enough for a verdict.
    pub(super) is_enough: bool,
    /// When the first of the crashes happened that starts have not taken back.
    pub(super) suspected: Option<Instant>,
}

impl Weight {
    fn add_crash(&mut self, at: Instant, limit: u32) {
        self.suspected.get_or_insert(at);
        self.score += 1;
        self.is_enough |= self.score >= limit;
    }

    fn add_start(&mut self, at: Instant, limit: u32) {
        // Before the evidence has settled there is no verdict that could last.
        let is_settled = self.suspected.is_some_and(|first| at >= first + SETTLE_TIME);
        let release_score = if is_settled { RELEASE_SCORE } else { limit - 1 };
        self.score = self.score.saturating_sub(START_WEIGHT);
        self.is_enough &= self.score > release_score;
        self.suspected.take_if(|_| self.score == 0);
    }
}

/// Evidence about one part.
#[derive(Debug, Default)]
pub(super) struct Record {
    pub(super) crashes: Vec<Mark>,
    pub(super) starts: Vec<Mark>,
    /// When this instance last observed a crash or a start itself.
    pub(super) observed: Option<Instant>,
    /// When a request was last refused, at any instance.
    pub(super) refused: Option<Instant>,
    /// Whether it was known to start when endpoints began to crash.
    pub(super) known: bool,
    /// Whether it has been part of a verdict.
    pub(super) convicted: bool,
}

impl Record {
    pub(super) fn last_crash(&self) -> Option<Instant> {
        self.crashes.last().map(|crash| crash.at)
    }

    /// When it last mattered.
    pub(super) fn last_active(&self) -> Option<Instant> {
        self.last_crash().max(self.refused)
    }

    /// Crashes from which it is refused.
    fn limit(&self) -> u32 {
        if self.known { KNOWN_LIMIT } else { CRASH_LIMIT }
    }

    /// Weighs the evidence in the order of time, without the crashes that are `explained`.
    pub(super) fn weigh(&self, explained: &HashSet<u64>) -> Weight {
        let (mut weight, limit) = (Weight::default(), self.limit());
        let mut starts = self.starts.iter().peekable();
        for crash in self.crashes.iter().filter(|crash| !explained.contains(&crash.id)) {
            while let Some(start) = starts.next_if(|start| start.at <= crash.at) {
                weight.add_start(start.at, limit);
            }
            weight.add_crash(crash.at, limit);
        }
        starts.for_each(|start| weight.add_start(start.at, limit));
        weight
    }

    /// Whether starts have taken back all crashes.
    pub(super) fn is_cleared(&self) -> bool {
        self.weigh(&HashSet::new()).score == 0
    }

    /// Adds a start, and returns whether it was not known.
    pub(super) fn add_start(&mut self, start: Mark) -> bool {
        insert_mark(&mut self.starts, start, STARTS_MAX, 0)
    }

    /// Adds a crash, and returns whether it was not known.
    pub(super) fn add_crash(&mut self, crash: Mark) -> bool {
        insert_mark(&mut self.crashes, crash, CRASHES_MAX, 1)
    }

    /// Leaves so little that one more crash is needed for a verdict. Returns whether there was more.
    pub(super) fn reduce(&mut self) -> bool {
        let kept = CRASH_LIMIT as usize - 1;
        let is_more = self.crashes.len() > kept;
        if is_more {
            self.crashes.drain(..self.crashes.len() - kept);
            self.starts.clear();
        }
        is_more
    }

    /// When it may be refused, if there are enough crashes.
    pub(super) fn settled(&self, explained: &HashSet<u64>) -> Option<Instant> {
        if self.crashes.len() < self.limit() as usize {
            return None;
        }
        let weight = self.weigh(explained);
        weight.suspected.filter(|_| weight.is_enough).map(|first| first + SETTLE_TIME)
    }

    pub(super) fn unexplained<'a>(&'a self, explained: &'a HashSet<u64>) -> impl Iterator<Item = Mark> + 'a {
        self.crashes.iter().copied().filter(|crash| !explained.contains(&crash.id))
    }

    /// Starts after the first crash.
    pub(super) fn later_starts(&self) -> usize {
        let Some(first) = self.crashes.first() else { return 0 };
        self.starts.iter().filter(|start| start.at > first.at).count()
    }

    /// Crashes that were results of tests: each came after a long time without any.
    pub(super) fn failed_tests(&self) -> u32 {
        let gap = |pair: &[Mark]| pair[1].at.duration_since(pair[0].at) >= TEST_GAP;
        self.crashes.windows(2).rev().take_while(|pair| gap(pair)).count() as u32
    }
}

/// The last start of a part, and how many there were without a long pause.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastStart {
    mark: Mark,
    count: usize,
}

/// When endpoints last began to answer parts, by what this instance observed.
#[derive(Debug, Default)]
pub(super) struct LastStarts {
    last: HashMap<PromptPart, LastStart>,
    order: VecDeque<(Instant, PromptPart)>,
}

impl LastStarts {
    pub(super) fn insert(&mut self, now: Instant, part: PromptPart, mark: Mark) {
        self.expire(now);
        let count = self.last.get(&part).map_or(0, |last| last.count) + 1;
        if self.last.insert(part, LastStart { mark, count }).is_none() {
            self.order.push_back((now, part));
        }
    }

    /// An empty record of a part under which an endpoint crashed at `crash`, with what is known of its starts.
    pub(super) fn record(&self, now: Instant, part: PromptPart, crash: Instant) -> Record {
        let last = self.last.get(&part).filter(|last| last.mark.at + KNOWN_PERIOD > crash);
        Record {
            starts: last.map(|last| last.mark).into_iter().collect(),
            // Peers do not know the start.
            observed: last.map(|_| now),
            known: last.is_some_and(|last| last.count >= KNOWN_STARTS),
            ..Record::default()
        }
    }

    /// Looks at the parts in the order in which they were added. One that has started again since is moved to the end.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(&(at, part)) = self.order.front() {
            let is_old = now.duration_since(at) >= KNOWN_PERIOD;
            if !is_old && self.order.len() <= STARTED_MAX {
                return;
            }
            self.order.pop_front();
            match self.last.get(&part).map(|last| last.mark.at) {
                Some(last) if last > at && now.duration_since(last) < KNOWN_PERIOD => {
                    self.order.push_back((last, part));
                }
                _ => {
                    self.last.remove(&part);
                }
            }
        }
    }
}

pub(super) fn report_of(now: Instant, part: PromptPart, record: &Record) -> PartReport {
    let age = |at: Instant| u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX);
    let crashes = record.crashes.iter().map(|c| (EndpointIncarnation(c.id), age(c.at))).collect();
    let starts = record.starts.iter().map(|start| (start.id, age(start.at))).collect();
    PartReport { part, crashes, starts, refused: record.refused.map(age) }
}
