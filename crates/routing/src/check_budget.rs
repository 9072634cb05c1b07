//! How many checks of links one instance may begin, so that those of all instances together are no load to an endpoint.
//!
//! Each instance has its part of a rate for each endpoint: the rate times the links that it has, divided by the number of
//! instances. The checks that all instances begin at one endpoint then do not grow with their number, also when all
//! instances lose all links in the same moment: where the part is less than one check in a round, the first one waits for
//! a random part of its time.

use std::time::{Duration, Instant};

use rand::Rng;

/// Connections a second that the checks of all instances together open to one endpoint on average, directly and through
/// peers. They fall on endpoints unevenly.
const CHECK_RATE: f64 = 14.0;
/// Time for which an instance saves its part: that of the checks that tell a cut from a pause.
const SAVING_TIME: Duration = Duration::from_millis(400);
/// Parts a second below which the first check after a time without any waits.
const JITTER_RATE: f64 = 10.0;

#[derive(Debug)]
pub(crate) struct CheckBudget {
    instances: usize,
    /// Connections that may be opened now; below zero if some were opened beforehand.
    level: f64,
    updated: Option<Instant>,
    /// Whether the first check after a time without any waits already.
    waits: bool,
}

/// What an instance has gained since the last time.
struct Gain {
    /// Connections a second.
    rate: f64,
    /// Connections that it may have saved at most.
    most: f64,
    /// Connections.
    gained: f64,
}

impl Default for CheckBudget {
    fn default() -> Self {
        Self { instances: 1, level: 0.0, updated: None, waits: false }
    }
}

impl CheckBudget {
    /// Sets the number of instances, this one included.
    pub(crate) fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Takes the connection of one check, of an instance with so many links. Asked for again in each round while a check is due.
    pub(crate) fn take(&mut self, now: Instant, links: usize, rng: &mut impl Rng) -> bool {
        let Gain { rate, most, gained } = self.gain(now, links);
        if rate < JITTER_RATE && gained >= 1.0 && self.level >= most && !self.waits {
            self.level -= rng.random::<f64>();
            self.waits = true;
        }
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        self.waits = false;
        true
    }

    /// Takes the connection of a check that a peer's tunnel waits for; it is not refused, and delays later checks. It adds to what
    /// is owed only up to one connection, so that peers do not keep this instance from its own checks.
    pub(crate) fn take_for_tunnel(&mut self, now: Instant, links: usize) {
        self.gain(now, links);
        let least = self.level.min(-1.0);
        self.level = (self.level - 1.0).max(least);
    }

    /// Adds what this instance has gained since the last time, with so many links.
    fn gain(&mut self, now: Instant, links: usize) -> Gain {
        let rate = CHECK_RATE * links.max(1) as f64 / self.instances as f64;
        let most = (rate * SAVING_TIME.as_secs_f64()).max(1.0);
        let gained = self.updated.map_or(most, |at| rate * now.saturating_duration_since(at).as_secs_f64());
        self.updated = Some(now);
        self.level = (self.level + gained).min(most);
        Gain { rate, most, gained }
    }

    /// Takes connections through at most so many peers for a check that has begun; one in any case, since the check would say
    /// nothing without it.
    pub(crate) fn take_for_peers(&mut self, most: usize) -> usize {
        let taken = (self.level.max(0.0) as usize).clamp(1, most.max(1));
        self.level -= taken as f64;
        taken
    }
}
