//! Tells callers' retries after a refusal from new requests.
//!
//! A caller that retries after a refusal sends the rest of its time as the deadline. Nothing else
//! distinguishes a retry from a first request. The longest deadline that a route's callers send is therefore
//! taken for the full time. Deadlines of new callers differ too, by about 15 in 100, so only a deadline that
//! is shorter than that marks a retry. An instance that has seen a route's callers only when they retried
//! takes them for new ones. This does no harm: their requests wait among those that can still be on time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Length of the window in which the longest deadline is looked for; the previous window counts too. Callers'
/// programs change their deadlines with a release, and an instance sees hundreds of requests in this time.
const WINDOW: Duration = Duration::from_secs(30);

/// Smallest fraction of the longest deadline that a new caller sends. A refused caller retries after a fifth
/// of its time: the wait before the refusal plus the `Retry-After` delay.
const NEW_DEADLINE_FRACTION: f64 = 0.82;

#[derive(Debug)]
struct LongestDeadline {
    window_start: Instant,
    current: Duration,
    previous: Duration,
}

/// The longest deadlines by route.
#[derive(Debug, Default)]
pub struct RetryDetector {
    routes: HashMap<Arc<str>, LongestDeadline>,
}

impl RetryDetector {
    /// Learns from a request's deadline, and returns whether the request is a retry.
    pub fn is_retry(&mut self, now: Instant, route: &Arc<str>, deadline: Duration) -> bool {
        let initial = || LongestDeadline { window_start: now, current: deadline, previous: Duration::ZERO };
        let longest = self.routes.entry(Arc::clone(route)).or_insert_with(initial);
        if now.duration_since(longest.window_start) >= WINDOW {
            longest.previous = std::mem::take(&mut longest.current);
            longest.window_start = now;
        }
        longest.current = longest.current.max(deadline);
        deadline < longest.current.max(longest.previous).mul_f64(NEW_DEADLINE_FRACTION)
    }

    /// Delay after which a caller with so much of its time remaining is recognized when it retries.
    pub fn recognized_after(&self, route: &str, remaining: Duration) -> Duration {
        let longest = self.routes.get(route).map_or(Duration::ZERO, |l| l.current.max(l.previous));
        remaining.saturating_sub(longest.mul_f64(NEW_DEADLINE_FRACTION))
    }

    /// Removes routes that the active configuration doesn't have.
    pub fn retain(&mut self, is_route: impl Fn(&str) -> bool) {
        self.routes.retain(|name, _| is_route(name));
    }
}
