//! Sums over a sliding window, and what peers report of theirs.
//!
//! A report carries the sums of the sender's whole window and replaces the sender's previous report. A lost,
//! doubled or late report therefore changes little, and nothing has to be agreed on after a restart.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Steps in which a window advances.
const SLOTS: usize = 8;

/// Counters that are summed over a window.
pub(crate) trait Counters: Copy + Default {
    /// Adds other counters.
    fn add(&mut self, other: Self);
}

/// Sum of counters over the last `length`, in steps of an eighth of it. The sum covers up to half a step more
/// or less, and `length` on average, so that it also gives a rate.
#[derive(Debug, Clone)]
pub(crate) struct Window<C> {
    length: Duration,
    slots: [C; SLOTS + 1],
    /// Start of the newest slot, and its place.
    newest: (Instant, usize),
}

impl<C: Counters> Window<C> {
    pub(crate) fn new(now: Instant, length: Duration) -> Self {
        Self { length, slots: [C::default(); SLOTS + 1], newest: (now, 0) }
    }

    fn advance(&mut self, now: Instant) {
        let step = self.length / SLOTS as u32;
        let (mut start, mut place) = self.newest;
        if now.saturating_duration_since(start) >= self.length * 2 {
            self.slots = [C::default(); SLOTS + 1];
            start = now;
        }
        while now.saturating_duration_since(start) >= step {
            start += step;
            place = (place + 1) % self.slots.len();
            self.slots[place] = C::default();
        }
        self.newest = (start, place);
    }

    pub(crate) fn add(&mut self, now: Instant, counters: C) {
        self.advance(now);
        self.slots[self.newest.1].add(counters);
    }

    pub(crate) fn sum(&mut self, now: Instant) -> C {
        self.advance(now);
        let (start, place) = self.newest;
        let oldest = (place + 1) % self.slots.len();
        let with_oldest = now.saturating_duration_since(start) < self.length / (2 * SLOTS as u32);
        let mut sum = C::default();
        for (place, &slot) in self.slots.iter().enumerate() {
            if place != oldest || with_oldest {
                sum.add(slot);
            }
        }
        sum
    }
}

/// The latest report of each peer. `P` names an instance.
#[derive(Debug)]
pub(crate) struct PeerReports<P, T> {
    reports: HashMap<P, (Instant, Duration, T)>,
}

impl<P, T> Default for PeerReports<P, T> {
    fn default() -> Self {
        Self { reports: HashMap::new() }
    }
}

impl<P: Copy + Eq + Hash, T> PeerReports<P, T> {
    /// Replaces what a peer reported before. The report counts for `lifetime`.
    pub(crate) fn replace(&mut self, now: Instant, from: P, lifetime: Duration, report: Option<T>) {
        match report {
            Some(report) => drop(self.reports.insert(from, (now, lifetime, report))),
            None => drop(self.reports.remove(&from)),
        }
    }

    /// Reports that still count, with the time for which each has been known.
    pub(crate) fn valid(&self, now: Instant) -> impl Iterator<Item = (Duration, &T)> {
        let age = move |at: Instant| now.saturating_duration_since(at);
        self.reports
            .values()
            .filter(move |(at, lifetime, _)| age(*at) < *lifetime)
            .map(move |(at, _, report)| (age(*at), report))
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.reports.retain(|_, (at, lifetime, _)| now.saturating_duration_since(*at) < *lifetime);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}
