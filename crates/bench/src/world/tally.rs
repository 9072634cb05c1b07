//! What a run is judged by.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

/// Longest latency recorded, in milliseconds.
const LONGEST: u64 = 600_000;

/// Counts of one class.
#[derive(Debug, Clone)]
pub struct ClassTally {
    /// Requests that callers made.
    pub offered: u64,
    /// Whole answers.
    pub answered: u64,
    /// Whole answers within both targets, the first counted from the sending that was answered.
    pub good: u64,
    /// The same, counted from the caller's first sending.
    pub good_first: u64,
    /// Callers that gave up after refusals.
    pub refused: u64,
    /// First token, in milliseconds.
    pub first_token_ms: Histogram<u64>,
    /// Mean gap between the tokens of an answer, in microseconds.
    pub token_gap_us: Histogram<u64>,
}

impl Default for ClassTally {
    fn default() -> Self {
        let histogram = |high| Histogram::new_with_bounds(1, high, 3).expect("the bounds are in order");
        Self {
            offered: 0,
            answered: 0,
            good: 0,
            good_first: 0,
            refused: 0,
            first_token_ms: histogram(LONGEST),
            token_gap_us: histogram(LONGEST * 1000),
        }
    }
}

/// Counts of a run.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// By class.
    pub classes: BTreeMap<String, ClassTally>,
    /// Whole answers within both targets, by second of the run.
    pub good_by_second: BTreeMap<u64, u64>,
    /// Prompt tokens that prefill engines worked on.
    pub prefilled_tokens: u64,
    /// Prompt tokens of requests that were answered, each counted once.
    pub used_tokens: u64,
    /// Refusals by code.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Requests sent again by their callers.
    pub resent: u64,
    /// Messages between instances.
    pub messages: u64,
    /// Their bytes, without the transport's.
    pub bytes: u64,
    /// Things that happened.
    pub sim_events: u64,
    /// Events that instances took in.
    pub steps: u64,
    /// What must never be seen.
    pub violations: Vec<String>,
}

impl Tally {
    pub(crate) fn class(&mut self, name: &str) -> &mut ClassTally {
        if !self.classes.contains_key(name) {
            self.classes.insert(name.to_owned(), ClassTally::default());
        }
        self.classes.get_mut(name).expect("the class was put in above")
    }

    /// Whole answers within both targets, over all classes.
    pub fn good(&self) -> u64 {
        self.classes.values().map(|c| c.good).sum()
    }

    /// Whole answers within both targets, counted from the first sending, over all classes.
    pub fn good_first(&self) -> u64 {
        self.classes.values().map(|c| c.good_first).sum()
    }

    /// Requests that callers made, over all classes.
    pub fn offered(&self) -> u64 {
        self.classes.values().map(|c| c.offered).sum()
    }

    /// Share of the prefilled tokens that no answer used.
    pub fn wasted(&self) -> f64 {
        if self.prefilled_tokens == 0 {
            return 0.0;
        }
        1.0 - self.used_tokens.min(self.prefilled_tokens) as f64 / self.prefilled_tokens as f64
    }
}
