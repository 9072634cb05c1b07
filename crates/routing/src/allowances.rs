//! How much of its time a caller has spent before a request arrives.
//!
//! A caller that was refused comes back with what is left of its time as the deadline, and nothing else tells it from
//! one that asks for the first time. The longest deadline that a route's callers give is taken for the whole time, and
//! what lacks from it for the time spent. An instance that has seen a route's callers only when they came back takes
//! them for new ones, which does no harm: they wait among those that can still be on time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time over which the longest deadline is looked for; the one before it counts too. Callers' programs change their
/// deadlines with a release, and instances see hundreds of requests in this time.
const PERIOD: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct Longest {
    begun: Instant,
    current: Duration,
    before: Duration,
}

/// The longest deadlines by route.
#[derive(Debug, Default)]
pub struct Allowances {
    routes: HashMap<Arc<str>, Longest>,
}

impl Allowances {
    /// Learns from a caller's deadline, and says how much of its time the caller has spent.
    pub fn spent(&mut self, now: Instant, route: &Arc<str>, deadline: Duration) -> Duration {
        let first = || Longest { begun: now, current: deadline, before: Duration::ZERO };
        let longest = self.routes.entry(Arc::clone(route)).or_insert_with(first);
        if now.duration_since(longest.begun) >= PERIOD {
            longest.before = std::mem::take(&mut longest.current);
            longest.begun = now;
        }
        longest.current = longest.current.max(deadline);
        longest.current.max(longest.before).saturating_sub(deadline)
    }

    /// Forgets routes that are not in force any more.
    pub fn retain(&mut self, is_route: impl Fn(&str) -> bool) {
        self.routes.retain(|name, _| is_route(name));
    }
}
