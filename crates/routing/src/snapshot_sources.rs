//! Where an instance gets the complete list of endpoints from.
//!
//! An instance that starts, or that can't continue from its revision of the store, needs the complete list.
//! With thousands of endpoints that is some thirty calls to the store and two megabytes for each instance.
//! Hundreds of instances that start at once would take all calls and the whole link of the store for many
//! seconds, and no instance would receive a change meanwhile. So the store readers of a failure domain read
//! the list too, and the others get a snapshot of it from peers of their domain. An instance with a snapshot
//! passes it on, so that the number of sources multiplies with each round and the time grows with the
//! logarithm of a domain's instances.
//!
//! Every wait is bounded: an instance that finds no source for a while reads the store itself. A snapshot is
//! as good as the revision and the age that it carries; [`Freshness`](crate::Freshness) treats it like any
//! other update of a peer.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::{Era, EraOrder, UpdateSource};

/// Time after the start until an instance has discovered the others in its domain, and so whether it is a
/// store reader.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// What to do next to get a missing list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotStep<P> {
    /// Ask this peer for a snapshot.
    Peer(P),
    /// Poll again in a moment.
    Wait,
    /// Read the store.
    Store,
}

/// The search of an instance for a snapshot of the list.
#[derive(Debug, Clone)]
pub struct SnapshotSearch<P> {
    /// Era of the store.
    pub era: Era,
    /// Only a list of a later revision is of use.
    pub newer_than: Option<u64>,
    /// Peers that could not serve a snapshot a moment ago.
    pub tried: Vec<P>,
    /// For how long the list has been missing.
    pub missing_for: Duration,
    /// For how long to wait while the known sources are all busy.
    pub busy_timeout: Duration,
    /// For how long to wait while no source is known.
    pub no_source_timeout: Duration,
    /// Time since this instance started.
    pub uptime: Duration,
}

/// Peers of the same failure domain that have the complete list, and up to which revision.
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
    /// Records up to which revision a peer has the list; `None` if it doesn't have it.
    pub fn observe(&mut self, peer: P, era: Era, revision: Option<u64>) {
        match revision {
            Some(revision) => self.known.insert(peer, (era, revision)),
            None => self.known.remove(&peer),
        };
    }

    /// Removes peers that are unresponsive.
    pub fn retain(&mut self, is_responsive: impl Fn(P) -> bool) {
        self.known.retain(|&peer, _| is_responsive(peer));
    }

    /// Whether no source is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The next step for an instance that gets its updates from `source`.
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
            UpdateSource::Alone | UpdateSource::Reader => search.uptime < SETTLE_TIME,
            UpdateSource::Peers if self.usable(search).next().is_some() => {
                search.missing_for < search.busy_timeout
            }
            UpdateSource::Peers => search.missing_for < search.no_source_timeout,
        };
        if waits { SnapshotStep::Wait } else { SnapshotStep::Store }
    }

    /// Chooses a source at random, so that not all instances ask the same one.
    fn choose(&self, search: &SnapshotSearch<P>, rng: &mut impl Rng) -> Option<P> {
        self.usable(search).filter(|peer| !search.tried.contains(peer)).choose(rng)
    }

    fn usable(&self, search: &SnapshotSearch<P>) -> impl Iterator<Item = P> {
        let (known, newer_than) = (search.era, search.newer_than);
        let fits = move |era: Era, revision: u64| {
            era.compare(known) == EraOrder::Same && newer_than.is_none_or(|newer_than| revision > newer_than)
        };
        self.known.iter().filter(move |&(_, &(era, revision))| fits(era, revision)).map(|(&peer, _)| peer)
    }
}
