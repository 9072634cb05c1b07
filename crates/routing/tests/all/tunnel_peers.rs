//! The choice of peers for tunnels.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use teaselshunt_routing::TunnelPeers;

const LIFETIME: Duration = Duration::from_millis(1500);

/// Peers 0 to `count`, the first `near` of them in the own failure domain.
fn peers(now: Instant, count: u32, near: u32) -> TunnelPeers<u32> {
    let mut peers = TunnelPeers::default();
    for peer in 0..count {
        peers.observe(now, peer, true, peer < near, LIFETIME);
    }
    peers
}

/// Guards against tunnels through peers that have ended, left or lost their own links.
#[test]
fn only_peers_whose_report_counts_are_chosen() {
    let (now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(1));
    let mut known = peers(now, 3, 3);
    known.observe(now, 0, false, true, LIFETIME);
    known.observe(now + LIFETIME, 1, true, true, LIFETIME);
    for _ in 0..50 {
        assert_eq!(known.choose(now + LIFETIME, &[], &mut rng), Some(1));
    }
    assert!(!known.is_usable(now + LIFETIME, 2));
    assert_eq!(known.choose(now + LIFETIME, &[1], &mut rng), None);
}

/// Guards against asking one peer again and again that cannot open tunnels.
#[test]
fn a_peer_that_failed_is_passed_over_while_there_are_others() {
    let (now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(1));
    let mut known = peers(now, 2, 2);
    known.record_failure(now, 0);
    for _ in 0..50 {
        assert_eq!(known.choose(now, &[], &mut rng), Some(1));
    }
    known.record_failure(now, 1);
    assert!(known.choose(now, &[], &mut rng).is_some());
}

/// Guards against a few peers that carry the tunnels of all: of the instances of a deployment all but a tenth have lost their
/// links, a tenth of the rest are near.
#[test]
fn tunnels_of_many_instances_are_spread_over_few_peers() {
    for (instances, takers) in [(60, 6), (584, 58)] {
        let now = Instant::now();
        let mut carried: HashMap<u32, u32> = HashMap::new();
        for instance in 0..instances - takers {
            let mut rng = SmallRng::seed_from_u64(u64::from(instance));
            let mut known = peers(now, takers, takers.div_ceil(10));
            for _ in 0..20 {
                let peer = known.choose(now, &[], &mut rng).expect("a peer");
                known.record_open(peer);
                *carried.entry(peer).or_default() += 1;
            }
        }
        let mean = f64::from((instances - takers) * 20) / f64::from(takers);
        let most = carried.values().copied().max().map_or(0.0, f64::from);
        assert!(most < 3.0 * mean, "one of {takers} peers carries {most} tunnels, the mean is {mean}");
        assert_eq!(carried.len(), takers as usize);
    }
}
