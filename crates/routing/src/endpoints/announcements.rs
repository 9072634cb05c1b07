//! Endpoints that stated that they leave, as long as the list doesn't show it.
//!
//! The list may show it seconds later, so that instances tell each other. Each passes on what it learned for
//! a short time, whether from the endpoint or from a peer, and learns of one incarnation once. Nothing is
//! sent when no endpoint leaves, and what was forgotten everywhere is not circulated.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::EngineTag;

/// Time for which an announcement is passed on; some gossip intervals among hundreds of instances.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Time for which an announcement of an endpoint that is not listed is kept, for an instance whose list is
/// still incomplete.
const UNLISTED_TTL: Duration = Duration::from_secs(10);
/// Most announcements that are kept.
const CAPACITY: usize = 1024;
/// Most announcements that are passed on at a time.
const REPORTS_MAX: usize = 64;

/// When this instance learned of each announcement.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    learned: HashMap<EngineTag, Instant>,
}

impl Announcements {
    /// Records an announcement. Returns whether it is new; it is ignored if there are too many.
    pub(super) fn insert(&mut self, now: Instant, endpoint: EngineTag) -> bool {
        if self.learned.contains_key(&endpoint) || self.learned.len() >= CAPACITY {
            return false;
        }
        self.learned.insert(endpoint, now);
        true
    }

    pub(super) fn is_empty(&self) -> bool {
        self.learned.is_empty()
    }

    pub(super) fn contains(&self, endpoint: EngineTag) -> bool {
        self.learned.contains_key(&endpoint)
    }

    /// Forgets an endpoint that the list shows as leaving, or doesn't show any more.
    pub(super) fn remove(&mut self, endpoint: EngineTag) {
        self.learned.remove(&endpoint);
    }

    /// Forgets old announcements of endpoints that are not listed.
    pub(super) fn expire(&mut self, now: Instant, is_listed: impl Fn(EngineTag) -> bool) {
        self.learned.retain(|&endpoint, &mut learned| {
            now.saturating_duration_since(learned) < UNLISTED_TTL || is_listed(endpoint)
        });
    }

    /// What is to be passed on now, the newest first.
    pub(super) fn reports(&self, now: Instant) -> Vec<EngineTag> {
        let lately = |learned: Instant| now.saturating_duration_since(learned) < REPORT_TIME;
        let mut reports: Vec<_> = self.learned.iter().filter(|(_, learned)| lately(**learned)).collect();
        reports.sort_unstable_by_key(|&(endpoint, learned)| (std::cmp::Reverse(*learned), *endpoint));
        reports.into_iter().take(REPORTS_MAX).map(|(&endpoint, _)| endpoint).collect()
    }
}
