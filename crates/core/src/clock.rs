//! The clock as an interface, so that time can be real or driven by a test.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A source of monotonic time.
pub trait Clock: Send + Sync + std::fmt::Debug {
    /// The time now.
    fn now(&self) -> Instant;
}

/// The machine's monotonic clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// A clock that moves only when told to. Clones share the same time.
#[derive(Debug, Clone)]
pub struct ManualClock {
    now: Arc<Mutex<Instant>>,
}

impl ManualClock {
    /// Starts at an arbitrary instant.
    pub fn new() -> Self {
        Self { now: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Moves the time forward.
    pub fn advance(&self, by: Duration) {
        let mut now = self.now.lock().unwrap_or_else(PoisonError::into_inner);
        *now += by;
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
