//! Starts of endpoints that have gone, by which an old entry that comes back is told from a new start.

use std::collections::{HashMap, VecDeque};

use crate::Incarnation;

/// Starts of endpoints that are remembered after they have gone; more than leave in the minutes in which an old entry may
/// still be written.
const DEPARTED: usize = 1024;

/// Starts of endpoints that were listed and have gone, the latest ones.
#[derive(Debug, Default)]
pub(crate) struct Removed {
    /// Whether it had said that it leaves.
    known: HashMap<Incarnation, bool>,
    order: VecDeque<Incarnation>,
}

impl Removed {
    pub(crate) fn insert(&mut self, life: Incarnation, leaving: bool) {
        if let Some(known) = self.known.get_mut(&life) {
            *known |= leaving;
            return;
        }
        self.known.insert(life.clone(), leaving);
        self.order.push_back(life);
        if self.order.len() > DEPARTED
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Whether a start that has gone had said that it leaves; `None` for one that is not known to have gone.
    pub(crate) fn left(&self, life: &Incarnation) -> Option<bool> {
        self.known.get(life).copied()
    }
}
