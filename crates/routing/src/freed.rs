//! Capacity of decode engines that became free in the last second, by what ended at this instance and by what
//! others no longer report.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::EngineTag;
use crate::windows::{Counters, Window};

/// Time over which the freed capacity is summed.
const WINDOW: Duration = Duration::from_secs(1);
/// Standard deviations that the ends of a wait may exceed those of the last second by.
const DEVIATIONS: f64 = 2.0;

/// What became free within a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FreedCapacity {
    /// Requests that ended.
    pub ends: u32,
    /// Their tokens.
    pub tokens: u64,
}

impl Counters for FreedCapacity {
    fn add(&mut self, other: Self) {
        self.ends += other.ends;
        self.tokens = self.tokens.saturating_add(other.tokens);
    }
}

impl FreedCapacity {
    /// Most tokens that are expected to become free within `wait`; `None` if nothing is known.
    ///
    /// Ends are random, and a second may have few. The bound is that of a Poisson process: a request must not
    /// be refused because one second had fewer ends than usual.
    pub fn at_most(self, wait: Duration) -> Option<f64> {
        if self.ends == 0 {
            return None;
        }
        let ends = f64::from(self.ends);
        let mean = self.tokens as f64 / ends;
        let most = ends + DEVIATIONS * ends.sqrt() + DEVIATIONS;
        Some(mean * most * wait.as_secs_f64() / WINDOW.as_secs_f64())
    }
}

/// Capacity freed at each engine.
#[derive(Debug, Default)]
pub(crate) struct Freed {
    engines: HashMap<EngineTag, (Instant, Window<FreedCapacity>)>,
}

impl Freed {
    pub(crate) fn observe(&mut self, now: Instant, engine: EngineTag, tokens: u64) {
        let (last, window) = self.engines.entry(engine).or_insert_with(|| (now, Window::new(now, WINDOW)));
        *last = now;
        window.add(now, FreedCapacity { ends: 1, tokens });
    }

    /// What became free at some engines.
    pub(crate) fn sum(&mut self, now: Instant, engines: impl Iterator<Item = EngineTag>) -> FreedCapacity {
        let mut sum = FreedCapacity::default();
        for engine in engines {
            if let Some((_, window)) = self.engines.get_mut(&engine) {
                sum.add(window.sum(now));
            }
        }
        sum
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.engines.retain(|_, (last, _)| now.saturating_duration_since(*last) < 2 * WINDOW);
    }
}
