//! Incarnations of endpoints that were removed. They distinguish an old entry that is listed again from a new
//! incarnation.

use std::collections::{HashMap, VecDeque};

use crate::Incarnation;

/// Removed incarnations that are remembered, more than are removed in the minutes in which an old entry may
/// still be written.
const CAPACITY: usize = 1024;

/// The latest incarnations of endpoints that were listed and removed.
#[derive(Debug, Default)]
pub(crate) struct Removed {
    /// Whether each incarnation was leaving before its removal.
    known: HashMap<Incarnation, bool>,
    order: VecDeque<Incarnation>,
}

impl Removed {
    pub(crate) fn insert(&mut self, incarnation: Incarnation, leaving: bool) {
        if let Some(known) = self.known.get_mut(&incarnation) {
            *known |= leaving;
            return;
        }
        self.known.insert(incarnation.clone(), leaving);
        self.order.push_back(incarnation);
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Whether a removed incarnation was leaving before its removal; `None` if its removal is not known.
    pub(crate) fn was_leaving(&self, incarnation: &Incarnation) -> Option<bool> {
        self.known.get(incarnation).copied()
    }
}
