//! Which other instances there are, as far as they have been heard, and when each is told something next.
//!
//! Only peers that were heard themselves, and lately, are named to others. If whoever is known were named, a dead one
//! would be handed round for ever: each instance would forget it and hear of it again from another that has not yet.
//!
//! Where there are many, each round tells some of them, those of the same failure domain first: what others have in flight
//! matters where one's own work goes. How long a peer waits for its turn grows with their number, so that no fixed silence
//! tells a slow turn from a death. Each telling therefore says when the next is due, and a peer counts as silent when it has
//! missed some.
//!
//! A peer is named first those of its own failure domain that read the platform's store for it, as far as is known here:
//! they have the lowest addresses ([`UpdateSource`](crate::UpdateSource)). Among hundreds of instances that is how one that starts soon
//! knows that it does not read itself.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

/// Shortest silence after which a peer is forgotten.
const FORGET: Duration = Duration::from_secs(5);
/// The same as a multiple of the silence after which it is not named any more.
const FORGET_PART: u32 = 2;
/// Longest time between two tellings of a peer; under a third of the silence after which what it was told counts as
/// ended ([`Ledger`](crate::Ledger)).
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(450);
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
/// Those of other failure domains among them, at least, where more wait.
const FANOUT_FAR: usize = 36;

/// Peers of a failure domain that are named to all of it: those that read the store, as few as there are.
const FIRSTS: usize = 2;
/// Other peers of its own failure domain that are named to a peer.
const NAMED_NEAR: usize = 2;
/// Peers of any failure domain that are named besides.
const NAMED: usize = 2;
/// Shortest silence after which a peer is not named to others any more, and what it told counts as ended; some heartbeats.
const SILENCE: Duration = Duration::from_millis(1500);
/// Tellings that a peer must have missed besides.
const MISSED: u32 = 3;

#[derive(Debug, Clone, Copy)]
struct Peer {
    /// When it was last heard, or named by another if it was never heard.
    at: Instant,
    /// Whether it was heard itself.
    direct: bool,
    /// Tag of its failure domain, once it was heard.
    domain: Option<u32>,
    /// Silence after which it counts as gone.
    silence: Duration,
    /// When it was told something last.
    told: Option<Instant>,
}

/// Other instances; `P` is an address.
#[derive(Debug)]
pub struct Peers<P> {
    /// Tag of this instance's failure domain.
    domain: u32,
    known: HashMap<P, Peer>,
}

impl<P: Copy + Eq + Hash + Ord> Peers<P> {
    /// None are known yet to an instance in this failure domain.
    pub fn new(domain: u32) -> Self {
        Self { domain, known: HashMap::new() }
    }

    /// A peer of a failure domain was heard, which says after which time it tells something again at the latest. Says
    /// whether it was heard for the first time.
    pub fn observe(&mut self, now: Instant, peer: P, domain: u32, next: Duration) -> bool {
        let told = self.known.get(&peer).and_then(|before| before.told);
        let silence = failure_timeout(next);
        let heard = Peer { at: now, direct: true, domain: Some(domain), silence, told };
        self.known.insert(peer, heard).is_none_or(|before| !before.direct)
    }

    /// A peer was named by another.
    pub fn add_reported(&mut self, now: Instant, peer: P) {
        self.known.entry(peer).or_insert(Peer {
            at: now,
            direct: false,
            domain: None,
            silence: SILENCE,
            told: None,
        });
    }

    /// Forgets silent peers, and returns those that had been heard.
    pub fn remove_unresponsive(&mut self, now: Instant) -> Vec<P> {
        let silent = |peer: &Peer| now.duration_since(peer.at) >= FORGET.max(peer.silence * FORGET_PART);
        let gone = self.known.iter().filter(|(_, p)| silent(p) && p.direct).map(|(&p, _)| p).collect();
        self.known.retain(|_, peer| !silent(peer));
        gone
    }

    /// Peers to name to others.
    pub fn responsive(&self, now: Instant) -> impl Iterator<Item = P> {
        let fresh = move |peer: &Peer| peer.direct && now.duration_since(peer.at) < peer.silence;
        self.known.iter().filter(move |(_, peer)| fresh(peer)).map(|(&p, _)| p)
    }

    /// Peers of the same failure domain that were heard lately.
    pub fn responsive_in_domain(&self, now: Instant) -> impl Iterator<Item = P> {
        self.of_domain(now, self.domain)
    }

    fn of_domain(&self, now: Instant, domain: u32) -> impl Iterator<Item = P> {
        let fits =
            move |peer: &Peer| peer.domain == Some(domain) && now.duration_since(peer.at) < peer.silence;
        self.known.iter().filter(move |(_, peer)| fits(peer)).map(|(&p, _)| p)
    }

    /// The part of what all instances share that is for those that are heard, this one included: peers that are silent while
    /// others of their failure domain are heard may go on with theirs. A domain that is silent as a whole is cut off, and
    /// the endpoints in it as well.
    pub fn reachable_share(&self, now: Instant) -> f64 {
        let (fresh, silent): (Vec<&Peer>, Vec<&Peer>) = (self.known.values().filter(|peer| peer.direct))
            .partition(|peer| now.duration_since(peer.at) < peer.silence);
        let present: HashSet<u32> =
            fresh.iter().filter_map(|peer| peer.domain).chain([self.domain]).collect();
        let missed = silent.iter().filter(|peer| peer.domain.is_some_and(|domain| present.contains(&domain)));
        let heard = (fresh.len() + 1) as f64;
        heard / (heard + missed.count() as f64)
    }

    /// Tag of a peer's failure domain, if it was heard.
    pub fn domain_of(&self, peer: P) -> Option<u32> {
        self.known.get(&peer)?.domain
    }

    /// Peers to name to those of a failure domain: the first of that domain, and some others.
    pub fn sample_for(&self, now: Instant, domain: Option<u32>, rng: &mut impl Rng) -> Vec<P> {
        let mut named: Vec<P> =
            domain.map(|domain| self.of_domain(now, domain).collect()).unwrap_or_default();
        let (firsts, most) = (FIRSTS.min(named.len()), named.len().min(FIRSTS + NAMED_NEAR));
        named.sort_unstable();
        named[firsts..].partial_shuffle(rng, most - firsts);
        named.truncate(most);
        let rest = self.responsive(now).filter(|peer| !named.contains(peer)).choose_multiple(rng, NAMED);
        named.extend(rest);
        named
    }

    /// Time between two tellings of a peer while there is something new.
    fn gap(&self, near: bool) -> Duration {
        let others = self.known.len().min(FANOUT) as u32;
        let gap = NEAR + NEAR_PEER * others;
        if near { gap } else { gap.mul_f64((f64::from(others) / FAR).max(1.0)).min(HEARTBEAT_INTERVAL) }
    }

    /// The shortest time after which some peer is due again.
    pub fn min_interval(&self) -> Duration {
        self.gap(true)
    }

    /// Peers that are to be told something now, those that have waited longest if there are many.
    pub fn due(&mut self, now: Instant) -> Vec<P> {
        let (near, far) = (self.gap(true), self.gap(false));
        let gap = |peer: &Peer| if self.is_far(peer) { far } else { near };
        let is_due = |peer: &Peer| peer.told.is_none_or(|told| now.duration_since(told) >= gap(peer));
        let mut due: Vec<P> = self.known.iter().filter(|(_, p)| is_due(p)).map(|(&p, _)| p).collect();
        if due.len() > FANOUT {
            due.sort_by_cached_key(|&peer| (self.is_far(&self.known[&peer]), self.known[&peer].told, peer));
            let near = due.partition_point(|peer| !self.is_far(&self.known[peer]));
            let (near_slots, far_slots) = slots(near, due.len() - near);
            due.drain(near_slots..near);
            due.truncate(near_slots + far_slots);
        }
        for peer in &due {
            if let Some(known) = self.known.get_mut(peer) {
                known.told = Some(now);
            }
        }
        due
    }

    fn is_far(&self, peer: &Peer) -> bool {
        peer.domain != Some(self.domain)
    }

    /// After which time a peer of a failure domain is told something again at the latest.
    pub fn gossip_interval(&self, domain: Option<u32>) -> Duration {
        let far = self.known.values().filter(|peer| self.is_far(peer)).count();
        let near = self.known.len() - far;
        let (near_slots, far_slots) = slots(near, far);
        let (count, slots) = if domain == Some(self.domain) { (near, near_slots) } else { (far, far_slots) };
        let rounds = count.div_ceil(slots.max(1)).max(1) as u32;
        (self.min_interval() + self.round_pause(false)) * rounds
    }

    /// How long a round waits for something new. With news that is told for some seconds only (`urgent`) rounds follow one
    /// another, so that all peers have had their turn by then.
    pub const fn round_pause(&self, urgent: bool) -> Duration {
        if urgent { Duration::ZERO } else { HEARTBEAT_INTERVAL }
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

/// How many of so many near and far peers are told at a time.
fn slots(near: usize, far: usize) -> (usize, usize) {
    let near_slots = near.min(FANOUT - far.min(FANOUT_FAR));
    (near_slots, far.min(FANOUT - near_slots))
}

/// Silence after which a peer counts as gone that said when it tells something again at the latest.
pub fn failure_timeout(next: Duration) -> Duration {
    SILENCE.max(next * MISSED)
}
