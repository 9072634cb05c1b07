//! Where an instance gets the list of endpoints that it has not.
//!
//! An instance that starts, or whose place in the store's history is lost, needs the whole list. Read from the store that is
//! some thirty calls and two megabytes for each instance where endpoints are thousands: hundreds that start at once take
//! all calls and the whole link of the store for many seconds, and nobody hears of a change meanwhile. So those who read the
//! store for a failure domain read the list too, and the others copy it from peers of their domain. Whoever has a copy gives it on, so
//! that the number of holders multiplies with each round and the time grows with the logarithm of a domain's instances.
//!
//! Nobody waits for ever: an instance that finds no holder for a while reads the store itself. A copy is as good as the
//! revision and the age that it bears; [`Freshness`](crate::Freshness) judges it like any other word of a peer.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::{Era, EraOrder, UpdateSource};

/// Time after the start until an instance has heard who else is in its domain, and so whether it reads the store for others.
const SETTLED: Duration = Duration::from_secs(1);

/// What to do next for a list that is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotStep<P> {
    /// Ask this peer for a copy.
    Peer(P),
    /// Look again in a moment.
    Wait,
    /// Read the store.
    Store,
}

/// A list that is missing here.
#[derive(Debug, Clone)]
pub struct SnapshotSearch<P> {
    /// Era of the store.
    pub era: Era,
    /// Only a list of a later revision is of use.
    pub newer_than: Option<u64>,
    /// Peers that could not give it a moment ago.
    pub tried: Vec<P>,
    /// For how long it has been missing.
    pub missing_for: Duration,
    /// For how long to look for a holder that can give it now.
    pub busy_timeout: Duration,
    /// For how long to look while nobody is known to have it.
    pub no_source_timeout: Duration,
    /// Time since this instance started.
    pub uptime: Duration,
}

/// Peers of the same failure domain that have the whole list, and up to which revision.
#[derive(Debug)]
pub struct SnapshotSources<P> {
    known: HashMap<P, (Era, u64)>,
}

impl<P> Default for SnapshotSources<P> {
    fn default() -> Self {
        Self { known: HashMap::new() }
    }
}

impl<P: Copy + Eq + Hash + Ord> SnapshotSources<P> {
    /// A peer says up to which revision it has the list; `None` if it has not.
    pub fn observe(&mut self, peer: P, era: Era, revision: Option<u64>) {
        match revision {
            Some(revision) => self.known.insert(peer, (era, revision)),
            None => self.known.remove(&peer),
        };
    }

    /// Forgets peers that are not heard any more.
    pub fn retain(&mut self, is_heard: impl Fn(P) -> bool) {
        self.known.retain(|&peer, _| is_heard(peer));
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// What to do next for a missing list, for an instance that gets its news from `source`.
    pub fn next(
        &self,
        search: &SnapshotSearch<P>,
        source: UpdateSource,
        rng: &mut impl Rng,
    ) -> SnapshotStep<P> {
        if let Some(peer) = self.choose(search, rng) {
            return SnapshotStep::Peer(peer);
        }
        let waits = match source {
            UpdateSource::Alone | UpdateSource::Reader => search.uptime < SETTLED,
            UpdateSource::Peers if self.fitting(search).next().is_some() => {
                search.missing_for < search.busy_timeout
            }
            UpdateSource::Peers => search.missing_for < search.no_source_timeout,
        };
        if waits { SnapshotStep::Wait } else { SnapshotStep::Store }
    }

    /// Any of those that have it, so that not all ask the same.
    fn choose(&self, search: &SnapshotSearch<P>, rng: &mut impl Rng) -> Option<P> {
        self.fitting(search).filter(|peer| !search.tried.contains(peer)).choose(rng)
    }

    fn fitting(&self, search: &SnapshotSearch<P>) -> impl Iterator<Item = P> {
        let (known, beyond) = (search.era, search.newer_than);
        let fits = move |era: Era, revision: u64| {
            era.compare(known) == EraOrder::Same && beyond.is_none_or(|beyond| revision > beyond)
        };
        self.known.iter().filter(move |&(_, &(era, revision))| fits(era, revision)).map(|(&peer, _)| peer)
    }
}
