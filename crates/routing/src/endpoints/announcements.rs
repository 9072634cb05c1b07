//! Endpoints that stated that they leave, as long as the list doesn't show it.
//!
//! The list may show it seconds later, so that instances tell each other. Each passes on what it learned of a
//! listed endpoint for a short time, whether from the endpoint or from a peer, and learns of one incarnation
//! once. Nothing is sent when no endpoint leaves, and nothing circulates about endpoints that are gone.

use std::cmp::Reverse;
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

/// Whether an endpoint was listed when this instance learned that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listing {
    Listed,
    Unlisted,
}

/// When this instance learned of each announcement.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    learned: HashMap<EngineTag, (Instant, Listing)>,
}

impl Announcements {
    /// Records an announcement that was not known. It is ignored if there are too many.
    pub(super) fn insert(&mut self, now: Instant, endpoint: EngineTag, listing: Listing) {
        if self.learned.len() < CAPACITY {
            self.learned.entry(endpoint).or_insert((now, listing));
        }
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
        self.learned.retain(|&endpoint, &mut (learned, _)| {
            now.saturating_duration_since(learned) < UNLISTED_TTL || is_listed(endpoint)
        });
    }

    /// What is to be passed on now, the newest first.
    pub(super) fn reports(&self, now: Instant) -> Vec<EngineTag> {
        let is_due = |(learned, listing): (Instant, Listing)| {
            listing == Listing::Listed && now.saturating_duration_since(learned) < REPORT_TIME
        };
        let due = self.learned.iter().filter(|(_, learned)| is_due(**learned));
        let mut reports: Vec<_> =
            due.map(|(&endpoint, &(learned, _))| (Reverse(learned), endpoint)).collect();
        reports.sort_unstable();
        reports.into_iter().take(REPORTS_MAX).map(|(_, endpoint)| endpoint).collect()
    }
}
