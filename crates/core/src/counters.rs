//! Counters of an instance.

use std::collections::BTreeMap;

/// Counters of one class at one site.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Complete responses.
    pub answered: u64,
    /// Complete responses within both latency targets.
    pub good: u64,
    /// Prompt tokens of finished prefills.
    pub prefilled_tokens: u64,
    /// Prompt tokens of prefills whose result no response used.
    pub wasted_tokens: u64,
}

/// Counters since the start of the instance; they only rise.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received from callers.
    pub arrived: u64,
    /// Callers that disconnected before their response was complete.
    pub abandoned: u64,
    /// Stored responses sent again for an idempotency key.
    pub replayed: u64,
    /// Attempts after the first.
    pub retried: u64,
    /// Streams resumed on a new connection.
    pub resumed: u64,
    /// Orphaned attempts that were cancelled at engines.
    pub orphans: u64,
    /// Refusals by error code.
    pub refused: BTreeMap<&'static str, u64>,
    /// By class and site. The site is that of the decode endpoint, empty if none was chosen.
    pub classes: BTreeMap<(String, String), ClassCounters>,
}

impl Counters {
    pub(crate) fn class(&mut self, class: &str, site: &str) -> &mut ClassCounters {
        self.classes.entry((class.to_owned(), site.to_owned())).or_default()
    }
}
