//! Incarnations of endpoints that were removed. They distinguish an old entry that is listed again from a new
//! incarnation.

use std::collections::{HashMap, VecDeque};

use crate::Incarnation;

/// Removed incarnations that are remembered, more than are removed in the minutes in which an old entry may
/// still be written.
const CAPACITY: usize = 1024;

/// How far an incarnation had come with its end when its entry was removed. The variants are in the order of
/// certainty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Departure {
    /// Nothing showed that it was leaving.
    Unannounced,
    /// The list showed it as leaving.
    Listed,
    /// It stated itself that it was leaving.
    Stated,
}

/// The latest incarnations of endpoints that were listed and removed.
#[derive(Debug, Default)]
pub(crate) struct Removed {
    known: HashMap<Incarnation, Departure>,
    order: VecDeque<Incarnation>,
}

impl Removed {
    pub(crate) fn insert(&mut self, incarnation: Incarnation, departure: Departure) {
        if let Some(known) = self.known.get_mut(&incarnation) {
            *known = departure.max(*known);
            return;
        }
        self.known.insert(incarnation.clone(), departure);
        self.order.push_back(incarnation);
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// How a removed incarnation departed; `None` if its removal is not known.
    pub(crate) fn departure(&self, incarnation: &Incarnation) -> Option<Departure> {
        self.known.get(incarnation).copied()
    }
}
