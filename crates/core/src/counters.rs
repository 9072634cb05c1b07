//! What an instance counts.

use std::collections::BTreeMap;

/// Counts of one class at one site.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Whole answers.
    pub answered: u64,
    /// Whole answers within both latency targets.
    pub good: u64,
    /// Prompt tokens of finished prefills.
    pub prefilled_tokens: u64,
    /// Prompt tokens of prefills whose result no answer used.
    pub wasted_tokens: u64,
}

/// Counts since the start of the instance. All only grow.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests taken from callers.
    pub arrived: u64,
    /// Callers that went away before their answer was whole.
    pub abandoned: u64,
    /// Answers repeated for an idempotency key.
    pub replayed: u64,
    /// Tries after the first.
    pub retried: u64,
    /// Streams taken up again on a new connection.
    pub resumed: u64,
    /// Work of dead instances cancelled at engines.
    pub orphans: u64,
    /// Refusals by error code.
    pub refused: BTreeMap<&'static str, u64>,
    /// By class and site; the site is the decode endpoint's, empty where none was chosen.
    pub classes: BTreeMap<(String, String), ClassCounters>,
}

impl Counters {
    pub(crate) fn class(&mut self, class: &str, site: &str) -> &mut ClassCounters {
        self.classes.entry((class.to_owned(), site.to_owned())).or_default()
    }
}
