//! How long callers' connections may be idle while versions of the configuration change that time.
//!
//! A caller may use a connection until nearly the end of the time that it knows. A longer time holds at once. A shorter one
//! holds only after all callers have had the time to learn it.

use std::time::{Duration, Instant};

/// The time that connections may be idle.
#[derive(Debug, Clone, Copy)]
pub struct IdleLimit {
    configured: Duration,
    /// A longer time, and until when it holds.
    previous: Option<(Duration, Instant)>,
}

impl IdleLimit {
    /// A limit that has not changed yet.
    pub const fn new(configured: Duration) -> Self {
        Self { configured, previous: None }
    }

    /// The time that holds now, with the one that the version in force configures. Callers learn of a version within
    /// `notice`.
    pub fn update(&mut self, now: Instant, configured: Duration, notice: Duration) -> Duration {
        if configured != self.configured {
            let held = self.held(now);
            self.configured = configured;
            self.previous = (held > configured).then(|| (held, now + notice));
        }
        self.held(now)
    }

    fn held(&self, now: Instant) -> Duration {
        match self.previous {
            Some((longer, until)) if now < until => longer.max(self.configured),
            _ => self.configured,
        }
    }
}
