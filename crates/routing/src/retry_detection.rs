//! Which callers come back after a refusal.
//!
//! A caller that was refused comes back with what is left of its time as the deadline, and nothing else tells it from
//! one that asks for the first time. The longest deadline that a route's callers give is taken for the whole time. New
//! callers' deadlines differ too, by some 15 in 100 where it was looked at, so that only what lacks more counts. An
//! instance that has seen a route's callers only when they came back takes them for new ones, which does no harm: they
//! wait among those that can still be on time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time over which the longest deadline is looked for; the one before it counts too. Callers' programs change their
/// deadlines with a release, and instances see hundreds of requests in this time.
const PERIOD: Duration = Duration::from_secs(30);

/// Part of the longest deadline that a new caller gives at least. Refused ones come back after a fifth of their time: the
/// wait before the refusal and the time that they are told to stay away.
const NEW_PART: f64 = 0.82;

#[derive(Debug)]
struct Longest {
    begun: Instant,
    current: Duration,
    before: Duration,
}

/// The longest deadlines by route.
#[derive(Debug, Default)]
pub struct RetryDetector {
    routes: HashMap<Arc<str>, Longest>,
}

impl RetryDetector {
    /// Learns from a caller's deadline, and says whether the caller comes back.
    pub fn is_retry(&mut self, now: Instant, route: &Arc<str>, deadline: Duration) -> bool {
        let first = || Longest { begun: now, current: deadline, before: Duration::ZERO };
        let longest = self.routes.entry(Arc::clone(route)).or_insert_with(first);
        if now.duration_since(longest.begun) >= PERIOD {
            longest.before = std::mem::take(&mut longest.current);
            longest.begun = now;
        }
        longest.current = longest.current.max(deadline);
        deadline < longest.current.max(longest.before).mul_f64(NEW_PART)
    }

    /// Forgets routes that are not in force any more.
    pub fn retain(&mut self, is_route: impl Fn(&str) -> bool) {
        self.routes.retain(|name, _| is_route(name));
    }
}
