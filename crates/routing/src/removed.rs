//! Incarnations of endpoints that were removed. They distinguish an old entry that is listed again from a new
//! incarnation.

use std::collections::{HashMap, VecDeque};

use teaselshunt_core::Cooldown;

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

/// What is remembered of a removed incarnation, which may be listed again.
#[derive(Debug, Clone)]
pub(crate) struct RemovedEntry {
    pub(crate) departure: Departure,
    pub(crate) cooldown: Cooldown,
}

/// The latest incarnations of endpoints that were listed and removed.
#[derive(Debug, Default)]
pub(crate) struct Removed {
    known: HashMap<Incarnation, RemovedEntry>,
    order: VecDeque<Incarnation>,
}

impl Removed {
    pub(crate) fn insert(&mut self, incarnation: Incarnation, mut entry: RemovedEntry) {
        if let Some(known) = self.known.get_mut(&incarnation) {
            entry.departure = entry.departure.max(known.departure);
            *known = entry;
            return;
        }
        self.known.insert(incarnation.clone(), entry);
        self.order.push_back(incarnation);
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// What is remembered of a removed incarnation; `None` if its removal is not known.
    pub(crate) fn get(&self, incarnation: &Incarnation) -> Option<&RemovedEntry> {
        self.known.get(incarnation)
    }
}
