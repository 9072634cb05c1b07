//! Which other instances there are, as far as they have been heard, and when each is told something next.
//!
//! Only peers that were heard themselves, and lately, are named to others. If whoever is known were named, a dead one
//! would be handed round for ever: each instance would forget it and hear of it again from another that has not yet.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Silence after which a peer is forgotten.
const FORGET: Duration = Duration::from_secs(5);
/// Longest time between two tellings of a peer; under a third of the silence after which what it was told counts as
/// ended ([`Ledger`](crate::Ledger)).
pub const HEARTBEAT: Duration = Duration::from_millis(450);
/// Shortest time between two tellings of a peer in the same failure domain. A prefill lasts some four of these.
const NEAR: Duration = Duration::from_millis(25);
/// Added to it for each peer, so that what an instance sends and reads does not grow with the square of their number.
const NEAR_PEER: Duration = Duration::from_millis(1);
/// Peers in other failure domains get as many tellings as so many would, however many there are. Work stays in its domain as
/// long as there is room, so that what others have in flight matters there only in an overflow, and bytes between domains
/// are dear where instances are many. But in a burst three of four asks go to other domains, and engines there are believed
/// emptier than they are for as long as tellings take. With a third of these tellings, callers of four deployments of 68 to
/// 195 instances were refused and preempted more often, for bytes that only one of them pays dearly (35 pairs). Where peers
/// are few, all are told alike: with 108 ms in place of 33 ms between two tellings, two sites of seven and nine instances lost
/// some 0.006 of worth (40 pairs).
const FAR: f64 = 48.0;
/// Peers that are told something at a time; more are told by turns.
const FANOUT: usize = 80;

/// Silence after which a peer is not named to others any more; some heartbeats.
const FRESH: Duration = Duration::from_millis(1500);

#[derive(Debug, Clone, Copy)]
struct Peer {
    /// When it was last heard, or named by another if it was never heard.
    at: Instant,
    /// Whether it was heard itself.
    direct: bool,
    /// Whether it is known to be in the failure domain of this instance.
    near: bool,
    /// When it was told something last.
    told: Option<Instant>,
}

/// Other instances; `P` is an address.
#[derive(Debug)]
pub struct Peers<P> {
    known: HashMap<P, Peer>,
}

impl<P> Default for Peers<P> {
    fn default() -> Self {
        Self { known: HashMap::new() }
    }
}

impl<P: Copy + Eq + Hash> Peers<P> {
    /// A peer was heard, which is in the same failure domain if `near`. Says whether it was heard for the first time.
    pub fn heard(&mut self, now: Instant, peer: P, near: bool) -> bool {
        let told = self.known.get(&peer).and_then(|before| before.told);
        let heard = Peer { at: now, direct: true, near, told };
        self.known.insert(peer, heard).is_none_or(|before| !before.direct)
    }

    /// A peer was named by another.
    pub fn named(&mut self, now: Instant, peer: P) {
        self.known.entry(peer).or_insert(Peer { at: now, direct: false, near: false, told: None });
    }

    /// Forgets silent peers, and returns those that had been heard.
    pub fn forget(&mut self, now: Instant) -> Vec<P> {
        let silent = |peer: &Peer| now.duration_since(peer.at) >= FORGET;
        let gone = self.known.iter().filter(|(_, p)| silent(p) && p.direct).map(|(&p, _)| p).collect();
        self.known.retain(|_, peer| !silent(peer));
        gone
    }

    /// Peers to name to others.
    pub fn fresh(&self, now: Instant) -> impl Iterator<Item = P> {
        let fresh = move |peer: &Peer| peer.direct && now.duration_since(peer.at) < FRESH;
        self.known.iter().filter(move |(_, peer)| fresh(peer)).map(|(&p, _)| p)
    }

    /// Peers of the same failure domain that were heard lately.
    pub fn near(&self, now: Instant) -> impl Iterator<Item = P> {
        let near = move |peer: &Peer| peer.near && peer.direct && now.duration_since(peer.at) < FRESH;
        self.known.iter().filter(move |(_, peer)| near(peer)).map(|(&p, _)| p)
    }

    /// Time between two tellings of a peer while there is something new.
    fn gap(&self, near: bool) -> Duration {
        let others = self.known.len().min(FANOUT) as u32;
        let gap = NEAR + NEAR_PEER * others;
        if near { gap } else { gap.mul_f64((f64::from(others) / FAR).max(1.0)).min(HEARTBEAT) }
    }

    /// The shortest time after which some peer is due again.
    pub fn pace(&self) -> Duration {
        self.gap(true)
    }

    /// Peers that are to be told something now, those that have waited longest if there are many.
    pub fn due(&mut self, now: Instant) -> Vec<P> {
        let (near, far) = (self.gap(true), self.gap(false));
        let gap = |peer: &Peer| if peer.near { near } else { far };
        let is_due = |peer: &Peer| peer.told.is_none_or(|told| now.duration_since(told) >= gap(peer));
        let mut due: Vec<P> = self.known.iter().filter(|(_, p)| is_due(p)).map(|(&p, _)| p).collect();
        if due.len() > FANOUT {
            due.sort_by_key(|peer| self.known[peer].told);
            due.truncate(FANOUT);
        }
        for peer in &due {
            if let Some(known) = self.known.get_mut(peer) {
                known.told = Some(now);
            }
        }
        due
    }

    /// Whether a peer is known.
    pub fn contains(&self, peer: P) -> bool {
        self.known.contains_key(&peer)
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
