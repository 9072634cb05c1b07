//! Clock abstraction: real time, or time that a test controls.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// A source of monotonic time.
pub trait Clock: Send + Sync + std::fmt::Debug {
    /// Current time. It does not advance while the machine is suspended.
    fn now(&self) -> Instant;

    /// Time since the machine started, including suspended time.
    fn uptime(&self) -> Duration;
}

/// The machine's monotonic clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn uptime(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
    }
}

/// A clock that advances only by [`ManualClock::advance`]. Clones share the same time.
#[derive(Debug, Clone)]
pub struct ManualClock {
    now: Arc<Mutex<Instant>>,
    start: Instant,
}

impl ManualClock {
    /// Starts at an arbitrary instant.
    pub fn new() -> Self {
        let start = Instant::now();
        Self { now: Arc::new(Mutex::new(start)), start }
    }

    /// Advances the time.
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

    fn uptime(&self) -> Duration {
        self.now().duration_since(self.start)
    }
}
