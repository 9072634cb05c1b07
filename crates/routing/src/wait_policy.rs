//! How long a generation waits for room, how much it leaves to others, and when a refused caller comes back.
//!
//! While room is short, requests that can still be on time go before those that can't. In a burst every caller that is
//! refused comes back; if all were equal, half of the room would go to callers who are late already, and as many new
//! ones would be made late by that.

use std::time::{Duration, Instant};

use crate::Route;

/// Part of the aim for the first event in which room must be found; the rest is what a short prefill takes.
const ROOM_PART: f64 = 0.78;
/// Part of the time after which callers leave that the search for room lasts for one who was refused before; the rest is
/// for a long prefill.
const RETURN_PART: f64 = 0.5;
/// How long the search lasts for a stream that broke: its caller has seen a part of it and waits. It is late by then; some
/// four prompts can be read one after the other meanwhile. Twice as long, it would take room from callers who can be on
/// time.
const RESUME: Duration = Duration::from_secs(1);
/// Part of the aim for the first event that a prefill may be expected to take.
const PREFILL_GOAL: f64 = 0.7;
/// The same for a request that is late already: it does not lengthen a queue of prompts that can be on time.
const PREFILL_GOAL_LATE: f64 = 0.35;
/// Part of a caller's time after which it is told to come back if there is no room. Its aim is missed by then whatever
/// the time, so what counts is that there is room: bursts last some seconds, and who comes back within one is refused
/// again. Callers themselves wait a third of their time at most.
const AWAY_PART: f64 = 0.27;
/// Longest such time; a burst is over by then.
const AWAY: Duration = Duration::from_secs(4);

/// Pause between two looks for room, about the time between two ends of generations at an engine.
const LOOK: Duration = Duration::from_millis(30);
/// The same for a request that is late already; it takes what those that can be on time leave, and has longer to wait.
const LOOK_LATE: Duration = Duration::from_millis(100);
/// Refusals after which the pause between two asks grows no more: a request has time for some six more asks then.
const REFUSALS: u32 = 3;

/// How a generation waits for room.
#[derive(Debug, Clone, Copy)]
pub struct WaitPolicy {
    /// When the search ends.
    pub until: Instant,
    /// Whether the request is late already, and leaves the last room to others.
    pub late: bool,
}

impl WaitPolicy {
    /// A new request waits while it can be on time; longer, it would only keep others waiting. One that was refused
    /// before (`returns`) waits longer, behind the others: it may not come back again. `until` is the end of its time.
    pub fn for_arrival(arrived: Instant, until: Instant, route: &Route, returns: bool) -> Self {
        let wait = if returns {
            route.abandon_timeout().mul_f64(RETURN_PART)
        } else {
            route.goal.mul_f64(ROOM_PART)
        };
        Self { until: (arrived + wait).min(until), late: returns }
    }

    /// A stream that broke waits like a request that can be on time.
    pub fn for_resume(now: Instant, until: Instant) -> Self {
        Self { until: (now + RESUME).min(until), late: false }
    }

    /// Tokens of room that must be left to others besides the `tokens` of its own.
    pub fn headroom(self, tokens: u64) -> u64 {
        if self.late { tokens } else { 0 }
    }

    /// Longest time that its prefill may be expected to take.
    pub fn prefill_limit(self, route: &Route) -> Duration {
        route.goal.mul_f64(if self.late { PREFILL_GOAL_LATE } else { PREFILL_GOAL })
    }
}

/// The pace of one search for room.
#[derive(Debug)]
pub struct Backoff {
    pause: Duration,
    refusals: u32,
}

impl Backoff {
    /// Starts a search; `late` if the request cannot be on time any more.
    pub const fn new(late: bool) -> Self {
        Self { pause: if late { LOOK_LATE } else { LOOK }, refusals: 0 }
    }

    /// Mean pause until the next look where no engine can be asked now.
    pub const fn pause(&self) -> Duration {
        self.pause
    }

    /// An engine that was believed to have room refused; mean pause until the next one is asked.
    ///
    /// One refusal says that somebody else was quicker, and the next engine is asked at once. Several in a row say that
    /// the pool is full: what instances believe of it is a moment old, so that those engines are asked that are
    /// believed emptier than they are. Without pauses each search then goes through the whole pool, ten asks and as many
    /// connections for each generation that finds room, and wins nothing: a room that comes free is found by somebody
    /// within milliseconds in any case. With pauses that grow, five pairs at 195 instances made a quarter fewer
    /// connections for the same callers.
    pub fn after_refusal(&mut self) -> Duration {
        let pause = self.pause * self.refusals;
        self.refusals = (self.refusals + 1).min(REFUSALS);
        pause
    }
}

/// When a caller who is refused for want of room, with so much of its time left, comes back.
pub fn retry_delay(left: Duration) -> Duration {
    left.mul_f64(AWAY_PART).min(AWAY)
}
