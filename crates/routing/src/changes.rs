//! Which entries of the list changed lately, so that a peer that misses few changes is not given the whole list again.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

/// Changes that are remembered; some times as many as come within the seconds for which a peer may miss them.
const REMEMBERED: usize = 4096;

/// Ids whose entries were written or removed, by the revision up to which that is known.
#[derive(Debug, Default)]
pub struct RecentChanges {
    /// All changes after this revision are remembered; `None` before a whole list was known.
    floor: Option<u64>,
    log: VecDeque<(u64, Arc<str>)>,
}

impl RecentChanges {
    /// A whole list is known as of a revision. If it is the first one, what changed before is not known.
    pub fn start_at(&mut self, revision: u64) {
        self.floor = self.floor.or(Some(revision));
    }

    /// An entry changed, at this revision or shortly before it.
    pub fn record(&mut self, revision: u64, id: Arc<str>) {
        if self.floor.is_none() {
            return;
        }
        self.log.push_back((revision, id));
        if self.log.len() > REMEMBERED
            && let Some((revision, _)) = self.log.pop_front()
        {
            self.floor = self.floor.max(Some(revision));
        }
    }

    /// Entries that changed after a revision, some of them perhaps before it; `None` if that is not known any more.
    pub fn since(&self, revision: u64) -> Option<HashSet<Arc<str>>> {
        if self.floor? > revision {
            return None;
        }
        let later = self.log.iter().filter(|&&(at, _)| at > revision);
        Some(later.map(|(_, id)| Arc::clone(id)).collect())
    }
}
