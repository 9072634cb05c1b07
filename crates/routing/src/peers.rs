//! Which other instances there are, as far as they were observed, and when each is sent the next update.
//!
//! Only peers that were observed by the instance itself, and lately, are named to others. If every known peer
//! were named, a dead one would circulate for ever: each instance would remove it and learn of it again from
//! another that has not removed it yet.
//!
//! Where there are many peers, each round sends an update to some of them, those of the same failure domain
//! first: what others have in flight matters where an instance's own work goes. The gossip interval grows
//! with the number of peers, so that no fixed failure timeout tells a long interval from a failure. Each
//! update therefore carries the sender's gossip interval, and a peer counts as unresponsive when it has
//! missed several of them.
//!
//! The peers named to a peer start with those of its own failure domain that read the platform's store for
//! it, as far as is known here: they have the lowest addresses ([`UpdateSource`](crate::UpdateSource)). Among
//! hundreds of instances this is how one that starts soon knows that it is not a reader itself.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

/// Shortest time without an update after which a peer is removed.
const REMOVE_AFTER_MIN: Duration = Duration::from_secs(5);
/// The same as a multiple of the failure timeout.
const REMOVE_AFTER_TIMEOUTS: u32 = 2;
/// Longest time between two updates to a peer; under a third of the failure timeout, after which the work in
/// the last update counts as ended ([`Ledger`](crate::Ledger)).
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(450);
/// Shortest time between two updates to a peer in the same failure domain. A prefill lasts some four of
/// these.
const NEAR_INTERVAL: Duration = Duration::from_millis(25);
/// Added to [`NEAR_INTERVAL`] for each peer, so that what an instance sends and reads does not grow with the
/// square of their number.
const NEAR_INTERVAL_PER_PEER: Duration = Duration::from_millis(1);
/// Number of peers above which those in other failure domains are sent updates less often than those in the
/// same one. Together they get as many updates as this number of peers would at the shorter interval.
///
/// Work stays in its domain as long as there is capacity, so that what others have in flight there matters
/// only when work overflows into other domains, and bytes between domains are expensive where instances are
/// many. But in a burst three of four attempts to reserve go to other domains, and engines there look emptier
/// than they are for the length of the gossip delay. With a much smaller number, callers would be refused and
/// preempted more often. Where peers are few, all get updates at the same interval: the bytes are few, and a
/// longer interval only makes choices worse.
const FAR_EQUIVALENT_PEERS: f64 = 48.0;
/// Peers that are sent an update in one round; more of them take turns.
const FANOUT: usize = 80;
/// Peers of other failure domains that are sent an update in one round even if more peers of the same domain
/// are due.
const FANOUT_FAR: usize = 36;

/// Peers of a failure domain that are named to all of it: the store readers, which are few.
const NAMED_READERS: usize = 2;
/// Other peers of its own failure domain that are named to a peer.
const NAMED_NEAR: usize = 2;
/// Peers of any failure domain that are named in addition.
const NAMED_ANY: usize = 2;
/// Peers that one report names at most.
const NAMED_MAX: usize = NAMED_READERS + NAMED_NEAR + NAMED_ANY;
/// Longest gossip interval that a peer may state. A longer one would keep the work, the results and the demand of a
/// dead peer in force; among 380 instances the interval is 5 s.
const GOSSIP_INTERVAL_MAX: Duration = Duration::from_secs(15);
/// Shortest failure timeout, after which a peer is not named to others any more, and the work that it
/// reported counts as ended; some heartbeat intervals.
const FAILURE_TIMEOUT_MIN: Duration = Duration::from_millis(1500);
/// Gossip intervals that a peer must also have missed to be unresponsive.
const MISSED_INTERVALS: u32 = 3;

#[derive(Debug, Clone, Copy)]
struct Peer {
    /// When it was last observed, or first named by another peer if it was never observed.
    seen: Instant,
    /// Whether it was observed itself.
    observed: bool,
    /// Tag of its failure domain, once it was observed.
    domain: Option<u32>,
    /// Time without an update after which it is unresponsive.
    failure_timeout: Duration,
    /// When it was last sent an update.
    sent: Option<Instant>,
}

/// Other instances; `P` is an address.
#[derive(Debug)]
pub struct Peers<P> {
    /// Tag of this instance's failure domain.
    domain: u32,
    known: HashMap<P, Peer>,
}

impl<P: Copy + Eq + Hash + Ord> Peers<P> {
    /// No peers, for an instance in this failure domain.
    pub fn new(domain: u32) -> Self {
        Self { domain, known: HashMap::new() }
    }

    /// Records an update from a peer of a failure domain, and the peer's gossip interval. Returns whether
    /// this is the first update from the peer.
    pub fn observe(&mut self, now: Instant, peer: P, domain: u32, interval: Duration) -> bool {
        let sent = self.known.get(&peer).and_then(|before| before.sent);
        let failure_timeout = failure_timeout(interval);
        let observed = Peer { seen: now, observed: true, domain: Some(domain), failure_timeout, sent };
        self.known.insert(peer, observed).is_none_or(|before| !before.observed)
    }

    /// Adds the peers that another peer named, as far as they are not known. Of more than a report names, the rest
    /// is ignored.
    pub fn add_reported(&mut self, now: Instant, named: impl IntoIterator<Item = P>) {
        for peer in named.into_iter().take(NAMED_MAX) {
            self.known.entry(peer).or_insert(Peer {
                seen: now,
                observed: false,
                domain: None,
                failure_timeout: FAILURE_TIMEOUT_MIN,
                sent: None,
            });
        }
    }

    /// Removes peers that have been unresponsive for long, and returns those that had been observed.
    pub fn remove_unresponsive(&mut self, now: Instant) -> Vec<P> {
        let expired = |peer: &Peer| {
            now.duration_since(peer.seen)
                >= REMOVE_AFTER_MIN.max(peer.failure_timeout * REMOVE_AFTER_TIMEOUTS)
        };
        let removed = self.known.iter().filter(|(_, p)| expired(p) && p.observed).map(|(&p, _)| p).collect();
        self.known.retain(|_, peer| !expired(peer));
        removed
    }

    /// Responsive peers, which are named to others.
    pub fn responsive(&self, now: Instant) -> impl Iterator<Item = P> {
        let responsive =
            move |peer: &Peer| peer.observed && now.duration_since(peer.seen) < peer.failure_timeout;
        self.known.iter().filter(move |(_, peer)| responsive(peer)).map(|(&p, _)| p)
    }

    /// Responsive peers of the same failure domain.
    pub fn responsive_in_domain(&self, now: Instant) -> impl Iterator<Item = P> {
        self.of_domain(now, self.domain)
    }

    /// Whether `own` is the lowest of all responsive instances, whatever their failure domains.
    pub fn is_lowest(&self, now: Instant, own: P) -> bool {
        let responsive = |peer: &Peer| peer.observed && now.duration_since(peer.seen) < peer.failure_timeout;
        self.known.iter().all(|(&address, peer)| own <= address || !responsive(peer))
    }

    fn of_domain(&self, now: Instant, domain: u32) -> impl Iterator<Item = P> {
        let fits = move |peer: &Peer| {
            peer.domain == Some(domain) && now.duration_since(peer.seen) < peer.failure_timeout
        };
        self.known.iter().filter(move |(_, peer)| fits(peer)).map(|(&p, _)| p)
    }

    /// The fraction of a divided rate, limit or budget that the reachable instances may use, this one
    /// included. The rest is a reserve for peers that are unresponsive while others of their failure domain
    /// are reachable, and may go on using their shares. A domain that is unresponsive as a whole is
    /// partitioned, together with its endpoints, and needs no reserve.
    pub fn reachable_share(&self, now: Instant) -> f64 {
        let (reachable, unresponsive): (Vec<&Peer>, Vec<&Peer>) =
            (self.known.values().filter(|peer| peer.observed))
                .partition(|peer| now.duration_since(peer.seen) < peer.failure_timeout);
        let present: HashSet<u32> =
            reachable.iter().filter_map(|peer| peer.domain).chain([self.domain]).collect();
        let reserved =
            unresponsive.iter().filter(|peer| peer.domain.is_some_and(|domain| present.contains(&domain)));
        let count = (reachable.len() + 1) as f64;
        count / (count + reserved.count() as f64)
    }

    /// Tag of a peer's failure domain, if the peer was observed.
    pub fn domain_of(&self, peer: P) -> Option<u32> {
        self.known.get(&peer)?.domain
    }

    /// Peers to name to those of a failure domain: the store readers of that domain, and a random sample of
    /// others.
    pub fn sample_for(&self, now: Instant, domain: Option<u32>, rng: &mut impl Rng) -> Vec<P> {
        let mut named: Vec<P> =
            domain.map(|domain| self.of_domain(now, domain).collect()).unwrap_or_default();
        let (readers, most) = (NAMED_READERS.min(named.len()), named.len().min(NAMED_READERS + NAMED_NEAR));
        named.sort_unstable();
        named[readers..].partial_shuffle(rng, most - readers);
        named.truncate(most);
        let rest = self.responsive(now).filter(|peer| !named.contains(peer)).choose_multiple(rng, NAMED_ANY);
        named.extend(rest);
        named
    }

    /// Time between two updates to a peer while there is something new.
    fn interval(&self, near: bool) -> Duration {
        let others = self.known.len().min(FANOUT) as u32;
        let interval = NEAR_INTERVAL + NEAR_INTERVAL_PER_PEER * others;
        if near {
            interval
        } else {
            interval.mul_f64((f64::from(others) / FAR_EQUIVALENT_PEERS).max(1.0)).min(HEARTBEAT_INTERVAL)
        }
    }

    /// The shortest time after which some peer is due again.
    pub fn min_interval(&self) -> Duration {
        self.interval(true)
    }

    /// Peers that are to be sent an update now, those that have waited longest if there are many; marks them
    /// as sent.
    pub fn due(&mut self, now: Instant) -> Vec<P> {
        let (near, far) = (self.interval(true), self.interval(false));
        let interval = |peer: &Peer| if self.is_far(peer) { far } else { near };
        let is_due = |peer: &Peer| peer.sent.is_none_or(|sent| now.duration_since(sent) >= interval(peer));
        let mut due: Vec<P> = self.known.iter().filter(|(_, p)| is_due(p)).map(|(&p, _)| p).collect();
        if due.len() > FANOUT {
            due.sort_by_cached_key(|&peer| (self.is_far(&self.known[&peer]), self.known[&peer].sent, peer));
            let near = due.partition_point(|peer| !self.is_far(&self.known[peer]));
            let (near_fanout, far_fanout) = fanout(near, due.len() - near);
            due.drain(near_fanout..near);
            due.truncate(near_fanout + far_fanout);
        }
        for peer in &due {
            if let Some(known) = self.known.get_mut(peer) {
                known.sent = Some(now);
            }
        }
        due
    }

    fn is_far(&self, peer: &Peer) -> bool {
        peer.domain != Some(self.domain)
    }

    /// Longest time until a peer of a failure domain is sent an update again.
    pub fn gossip_interval(&self, domain: Option<u32>) -> Duration {
        let far = self.known.values().filter(|peer| self.is_far(peer)).count();
        let near = self.known.len() - far;
        let (near_fanout, far_fanout) = fanout(near, far);
        let (count, fanout) =
            if domain == Some(self.domain) { (near, near_fanout) } else { (far, far_fanout) };
        let rounds = count.div_ceil(fanout.max(1)).max(1) as u32;
        (self.min_interval() + self.round_pause(false)) * rounds
    }

    /// How long a round waits for something new. While there is something that is only sent for some seconds
    /// (`urgent`), rounds follow one another without a pause, so that all peers have been sent an update
    /// within these seconds.
    pub const fn round_pause(&self, urgent: bool) -> Duration {
        if urgent { Duration::ZERO } else { HEARTBEAT_INTERVAL }
    }

    /// Whether a peer is known.
    pub fn contains(&self, peer: P) -> bool {
        self.known.contains_key(&peer)
    }

    /// How many peers are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// How many of so many near and far peers are sent an update in one round.
fn fanout(near: usize, far: usize) -> (usize, usize) {
    let near_fanout = near.min(FANOUT - far.min(FANOUT_FAR));
    (near_fanout, far.min(FANOUT - near_fanout))
}

/// The gossip interval of a peer that states this one.
pub fn plausible_interval(stated: Duration) -> Duration {
    stated.min(GOSSIP_INTERVAL_MAX)
}

/// Time without an update after which a peer with this gossip interval counts as unresponsive.
pub fn failure_timeout(interval: Duration) -> Duration {
    FAILURE_TIMEOUT_MIN.max(interval * MISSED_INTERVALS)
}
