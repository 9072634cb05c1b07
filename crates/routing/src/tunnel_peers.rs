//! Which peer opens a tunnel to an endpoint.
//!
//! Peers of the own failure domain are preferred, since bytes between domains are expensive, but not always chosen: a few
//! of them may have to carry the load of many instances. Of two candidates the one with fewer tunnels of this instance is
//! chosen, which spreads tunnels without any knowledge of those of others.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IndexedRandom;

/// How much more likely a peer of the own failure domain is drawn.
const NEAR_WEIGHT: f64 = 3.0;
/// Time for which a peer that could not open a tunnel is passed over.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct TunnelPeer {
    near: bool,
    /// Until when its report counts.
    until: Instant,
    /// Open tunnels of this instance through it.
    tunnels: u32,
    /// Until when it is passed over.
    failed_until: Option<Instant>,
}

/// Peers that take tunnels; `P` is an address.
#[derive(Debug)]
pub struct TunnelPeers<P> {
    peers: HashMap<P, TunnelPeer>,
}

impl<P> Default for TunnelPeers<P> {
    fn default() -> Self {
        Self { peers: HashMap::new() }
    }
}

impl<P: Copy + Eq + Hash + Ord> TunnelPeers<P> {
    /// Applies a peer's report, which counts for `lifetime`: whether it takes tunnels, and whether it is of the own failure
    /// domain.
    pub fn observe(&mut self, now: Instant, peer: P, takes: bool, near: bool, lifetime: Duration) {
        if !takes {
            // Its tunnels end by themselves.
            self.peers.remove(&peer);
            return;
        }
        let until = now + lifetime;
        let known =
            self.peers.entry(peer).or_insert(TunnelPeer { near, until, tunnels: 0, failed_until: None });
        known.until = until;
        known.near = near;
    }

    /// Whether tunnels through a peer may carry further requests.
    pub fn is_usable(&self, now: Instant, peer: P) -> bool {
        self.peers.get(&peer).is_some_and(|known| now < known.until)
    }

    /// Whether any peer takes tunnels now.
    pub fn is_any_usable(&self, now: Instant) -> bool {
        self.peers.values().any(|known| now < known.until)
    }

    /// Chooses a peer that is none of `tried`. Peers that failed lately are chosen only where there is no other.
    pub fn choose(&self, now: Instant, tried: &[P], rng: &mut impl Rng) -> Option<P> {
        let usable = |(peer, known): &(&P, &TunnelPeer)| now < known.until && !tried.contains(peer);
        let failed = |known: &TunnelPeer| known.failed_until.is_some_and(|until| now < until);
        let mut candidates: Vec<(P, &TunnelPeer)> =
            self.peers.iter().filter(usable).map(|(&peer, known)| (peer, known)).collect();
        if candidates.iter().any(|(_, known)| !failed(known)) {
            candidates.retain(|(_, known)| !failed(known));
        }
        candidates.sort_unstable_by_key(|(peer, _)| *peer);
        let weight = |(_, known): &(P, &TunnelPeer)| if known.near { NEAR_WEIGHT } else { 1.0 };
        let drawn = candidates.choose_multiple_weighted(rng, 2, weight).ok()?;
        drawn.min_by_key(|(_, known)| known.tunnels).map(|(peer, _)| *peer)
    }

    /// Records that a tunnel through a peer was opened.
    pub fn record_open(&mut self, peer: P) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.tunnels += 1;
            known.failed_until = None;
        }
    }

    /// Records that a tunnel through a peer has ended.
    pub fn record_end(&mut self, peer: P) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.tunnels = known.tunnels.saturating_sub(1);
        }
    }

    /// Records that a peer could not open a tunnel.
    pub fn record_failure(&mut self, now: Instant, peer: P) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.failed_until = Some(now + FAILURE_PAUSE);
        }
    }

    /// Forgets peers whose reports no longer count.
    pub fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, known| now < known.until);
    }
}
