//! Log of the list's recent changes, so that a peer that missed few changes is sent these instead of a whole
//! snapshot.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

/// Changes that the log keeps, several times as many as occur within the seconds for which a peer may miss
/// them.
const CAPACITY: usize = 4096;

/// Ids of entries that were written or removed, each with the revision up to which the change is known.
#[derive(Debug, Default)]
pub struct RecentChanges {
    /// The log holds all changes after this revision; `None` before a complete list was known.
    floor: Option<u64>,
    log: VecDeque<(u64, Arc<str>)>,
}

impl RecentChanges {
    /// Starts the log at the revision as of which the first complete list is known; later calls have no
    /// effect. Changes before that revision are not known.
    pub fn start_at(&mut self, revision: u64) {
        self.floor = self.floor.or(Some(revision));
    }

    /// Records that an entry changed at this revision or shortly before it.
    pub fn record(&mut self, revision: u64, id: Arc<str>) {
        if self.floor.is_none() {
            return;
        }
        self.log.push_back((revision, id));
        if self.log.len() > CAPACITY
            && let Some((revision, _)) = self.log.pop_front()
        {
            self.floor = self.floor.max(Some(revision));
        }
    }

    /// Returns the entries that changed after a revision, some of them perhaps before it; `None` if the log
    /// doesn't reach back to that revision.
    pub fn since(&self, revision: u64) -> Option<HashSet<Arc<str>>> {
        if self.floor? > revision {
            return None;
        }
        let later = self.log.iter().filter(|&&(at, _)| at > revision);
        Some(later.map(|(_, id)| Arc::clone(id)).collect())
    }
}
