//! Results of a run: counts, latencies and violated invariants.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

/// Maximum latency that is recorded.
const LATENCY_MAX_MS: u64 = 600_000;

/// Counts of one class.
#[derive(Debug, Clone)]
pub struct ClassTally {
    /// Requests that callers made, each counted once.
    pub offered: u64,
    /// Complete responses.
    pub answered: u64,
    /// Complete responses within both targets, where the time to the first token starts at the submission
    /// that was answered.
    pub good: u64,
    /// The same, where the time to the first token starts at the caller's first submission.
    pub good_first: u64,
    /// Requests that were given up after a refusal or a broken connection.
    pub refused: u64,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: Histogram<u64>,
    /// Mean gap between the tokens of a response, in microseconds.
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
            first_token_ms: histogram(LATENCY_MAX_MS),
            token_gap_us: histogram(LATENCY_MAX_MS * 1000),
        }
    }
}

/// Counts of a run.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Counts by class.
    pub classes: BTreeMap<String, ClassTally>,
    /// Complete responses within both targets, by second of the run; calls are not counted.
    pub good_by_second: BTreeMap<u64, u64>,
    /// Prompt tokens that prefill engines prefilled, repetitions included.
    pub prefilled_tokens: u64,
    /// Prompt tokens of requests that were answered, each counted once.
    pub used_tokens: u64,
    /// Refusals by code.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Submissions that were retries of callers.
    pub resent: u64,
    /// Messages that instances sent to each other.
    pub messages: u64,
    /// Bytes of these messages, without the overhead of the transport.
    pub bytes: u64,
    /// Streams that went on while another engine was sought for them.
    pub runs_kept: u64,
    /// Streams that another engine took over from a silent one.
    pub runs_replaced: u64,
    /// Simulation events that were handled.
    pub sim_events: u64,
    /// Events that were passed to instances.
    pub steps: u64,
    /// Violated invariants.
    pub violations: Vec<String>,
}

impl Tally {
    pub(crate) fn class(&mut self, name: &str) -> &mut ClassTally {
        if !self.classes.contains_key(name) {
            self.classes.insert(name.to_owned(), ClassTally::default());
        }
        self.classes.get_mut(name).expect("the class was inserted above")
    }

    /// Complete responses within both targets, over all classes.
    pub fn good(&self) -> u64 {
        self.classes.values().map(|c| c.good).sum()
    }

    /// Complete responses within both targets, counted from the first submission, over all classes.
    pub fn good_first(&self) -> u64 {
        self.classes.values().map(|c| c.good_first).sum()
    }

    /// Requests that callers made, over all classes.
    pub fn offered(&self) -> u64 {
        self.classes.values().map(|c| c.offered).sum()
    }

    /// Fraction of the prefilled tokens that no response used.
    pub fn wasted(&self) -> f64 {
        if self.prefilled_tokens == 0 {
            return 0.0;
        }
        1.0 - self.used_tokens.min(self.prefilled_tokens) as f64 / self.prefilled_tokens as f64
    }
}
