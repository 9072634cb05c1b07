//! How the sends of one generation are charged.
//!
//! The first prefill call and one send for the run are free. Each further send counts as one second attempt,
//! whatever it was for: against the route's `attempts`, and against the service's retry budget. A counted
//! send is charged when something is sent after it, and charged once: a prompt that was prefilled by the
//! second attempt has paid for the run as well.

use std::sync::Arc;
use std::time::Instant;

use crate::Budgets;

/// Sends of one generation so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sends {
    counted: u32,
    charged: u32,
}

impl Sends {
    /// No sends yet.
    pub const fn new() -> Self {
        Self { counted: 0, charged: 0 }
    }

    /// The sends of a stream that resumes: the next one is a second attempt.
    pub const fn resumed() -> Self {
        Self { counted: 1, charged: 0 }
    }

    /// Counts a send beyond the free ones.
    pub fn count(&mut self) {
        self.counted += 1;
    }

    /// How many sends count.
    pub const fn counted(self) -> u32 {
        self.counted
    }

    /// Whether the route allows one more send, and the service's budget covers the sends before it. Charges
    /// these to the budget.
    pub fn may_send(
        &mut self,
        now: Instant,
        attempts: u32,
        service: &Arc<str>,
        budgets: &mut Budgets,
    ) -> bool {
        if self.counted == 0 {
            return true;
        }
        if self.counted >= attempts {
            return false;
        }
        while self.charged < self.counted {
            if !budgets.take(now, service) {
                return false;
            }
            self.charged += 1;
        }
        true
    }
}
