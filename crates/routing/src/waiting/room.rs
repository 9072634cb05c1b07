//! Room that requests of a queue leave to those ahead of them.

use super::Waiting;
use crate::Priority;

/// Result of a search for an engine for one request of a queue. `E` names an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fit<E> {
    /// The engine that gets the request.
    Engine(E),
    /// No engine has room. `nearest` is the engine with the most room; `None` if the request has conditions
    /// that others don't have, such as engines that it was refused by.
    Full {
        /// The engine with the most room.
        nearest: Option<E>,
    },
    /// Room at an engine would not help the request now.
    Blocked,
}

/// Room that a request must leave to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room<E> {
    /// Tokens to leave at each engine.
    pub headroom: u64,
    /// Engine that is kept for another request.
    pub kept: Option<E>,
}

/// What the requests that were passed in one round through a queue hold.
#[derive(Debug)]
pub(super) struct RoomAhead<E> {
    ordered: bool,
    /// Priority of the request that is looked at.
    priority: Option<Priority>,
    /// Largest request without an engine that is more urgent, and that of the present priority.
    more_urgent: u64,
    same: u64,
    /// Engine that is kept for the first request of the present priority that found no room.
    kept: Option<E>,
    /// Fewest tokens for which no engine had room, headroom included. A request that needs as many finds none
    /// either, so that a round through a long queue takes few searches.
    refused: Option<u64>,
}

impl<E: Copy> RoomAhead<E> {
    pub(super) const fn new(ordered: bool) -> Self {
        Self { ordered, priority: None, more_urgent: 0, same: 0, kept: None, refused: None }
    }

    /// Moves on to the next request.
    pub(super) fn enter(&mut self, priority: Priority) {
        if self.priority != Some(priority) {
            self.priority = Some(priority);
            self.more_urgent = self.more_urgent.max(self.same);
            self.same = 0;
            self.kept = None;
        }
    }

    /// What the present request must leave.
    pub(super) fn room<S>(&self, waiting: &Waiting<S>) -> Room<E> {
        let own = waiting.policy.headroom(waiting.tokens);
        Room { headroom: own.max(self.more_urgent), kept: self.kept }
    }

    /// Whether a request that needed no more found no room in this round.
    pub(super) fn is_refused<S>(&self, waiting: &Waiting<S>, room: Room<E>) -> bool {
        self.refused.is_some_and(|least| waiting.tokens.saturating_add(room.headroom) >= least)
    }

    /// Records that the present request found no room.
    pub(super) fn refuse<S>(&mut self, waiting: &Waiting<S>, room: Room<E>, nearest: Option<E>) {
        if nearest.is_some() {
            let need = waiting.tokens.saturating_add(room.headroom);
            self.refused = Some(self.refused.map_or(need, |least| least.min(need)));
        }
        self.hold(waiting, nearest);
    }

    /// Holds room for the present request.
    pub(super) fn hold<S>(&mut self, waiting: &Waiting<S>, nearest: Option<E>) {
        if self.ordered {
            self.same = self.same.max(waiting.tokens);
            self.kept = self.kept.or(nearest);
        }
    }
}
