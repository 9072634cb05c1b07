//! Starts of endpoints that have gone, by which an old entry that comes back is told from a new start.

use std::collections::{HashSet, VecDeque};

use crate::Life;

/// Starts of endpoints that are remembered after they have gone; more than leave in the minutes in which an old entry may
/// still be written.
const DEPARTED: usize = 1024;

/// Starts of endpoints that were listed and have gone, the latest ones.
#[derive(Debug, Default)]
pub(crate) struct Departed {
    known: HashSet<Life>,
    order: VecDeque<Life>,
}

impl Departed {
    pub(crate) fn insert(&mut self, life: Life) {
        if !self.known.insert(life.clone()) {
            return;
        }
        self.order.push_back(life);
        if self.order.len() > DEPARTED
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    pub(crate) fn contains(&self, life: &Life) -> bool {
        self.known.contains(life)
    }
}
