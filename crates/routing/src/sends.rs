//! What the sends of one generation cost.
//!
//! The first call by which an engine has the prompt read is free, and one send for the run needs no repeat. Each further
//! send that counts is one repeat: of the route's `attempts`, and of the service's budget, whatever it was for. It is paid
//! when something is sent after it, and paid once: a prompt that was read at the second try has paid for the run as well.

use std::sync::Arc;
use std::time::Instant;

use crate::Budgets;

/// Sends of one generation so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sends {
    counted: u32,
    paid: u32,
}

impl Sends {
    /// Counts a send beyond the free ones.
    pub fn count(&mut self) {
        self.counted += 1;
    }

    /// How many count.
    pub const fn counted(self) -> u32 {
        self.counted
    }

    /// Whether the route allows one more send, and the budget of the service pays for what came before it.
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
        while self.paid < self.counted {
            if !budgets.take(now, service) {
                return false;
            }
            self.paid += 1;
        }
        true
    }
}
