//! Finds requests that are in progress although they must have ended.
//!
//! Every request ends at its deadline; one that does not is a fault of this instance. Nothing that handles the request can
//! report the fault, since it may wait for ever, so that all requests in progress are looked at from outside.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use crate::trace::WeakTrace;

/// Looks in a row, at intervals of maintenance, that find a request overdue before it is reported. A process that was
/// frozen finds requests overdue before it has ended them; each look after that gives it the time to.
const OVERDUE_LOOKS: u32 = 10;

/// Requests in progress.
#[derive(Debug, Default)]
pub(crate) struct InProgress(RefCell<Vec<WeakTrace>>);

impl InProgress {
    pub(crate) fn insert(&self, trace: WeakTrace) {
        self.0.borrow_mut().push(trace);
    }

    /// Looks at each request, and reports those that are overdue. Called several times a second.
    pub(crate) fn look(&self, now: Instant) {
        self.0.borrow_mut().retain(|trace| {
            let in_progress = trace.in_progress();
            if let Some(trace) = &in_progress {
                trace.look(now);
            }
            in_progress.is_some()
        });
    }
}

/// How long one request is overdue.
#[derive(Debug, Default)]
pub(crate) struct Overdue {
    /// When the request must have ended; `None` until it was read.
    end: Cell<Option<Instant>>,
    looks: Cell<u32>,
}

impl Overdue {
    pub(crate) fn set_end(&self, end: Instant) {
        self.end.set(Some(end));
    }

    /// Looks at the request. Returns once how long it is overdue.
    pub(crate) fn look(&self, now: Instant) -> Option<Duration> {
        let late = now.checked_duration_since(self.end.get()?)?;
        self.looks.update(|looks| looks.saturating_add(1));
        (self.looks.get() == OVERDUE_LOOKS).then_some(late)
    }
}

#[cfg(test)]
mod tests;
