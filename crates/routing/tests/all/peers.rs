//! Which other instances there are.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use teaselshunt_routing::{HEARTBEAT_INTERVAL, Peers};

/// Three instances know one another, and the third dies. The other two go on naming whom they know to each other. Both
/// must forget the dead one; otherwise each hears of it again from the other, and sends to it for ever.
#[test]
fn a_dead_peer_is_not_handed_round() {
    let start = Instant::now();
    let mut instances = [Peers::new(0), Peers::new(0)];
    for instance in &mut instances {
        assert!(instance.observe(start, 3, 0, Duration::ZERO));
        assert!(!instance.observe(start, 3, 0, Duration::ZERO));
    }
    let mut forgotten = 0;
    for step in 1..200_u64 {
        let now = start + Duration::from_millis(step * 100);
        for index in 0..2 {
            let named: Vec<i32> = instances[1 - index].responsive(now).collect();
            instances[index].observe(now, 2 - index as i32, 0, Duration::ZERO);
            // An instance does not take itself for a peer.
            for peer in named.into_iter().filter(|&p| p != index as i32 + 1) {
                instances[index].add_reported(now, peer);
            }
            forgotten += instances[index].remove_unresponsive(now).len();
        }
    }
    assert_eq!(forgotten, 2, "each has forgotten it once");
    assert!(instances.iter().all(|i| !i.contains(3) && i.len() == 1));
}

/// An instance is told of a peer by another before the peer is heard. It is known, so that something can be sent to it,
/// and is forgotten if it never answers, without being named on.
#[test]
fn a_named_peer_must_be_heard_to_stay() {
    let (mut peers, start) = (Peers::new(0), Instant::now());
    peers.add_reported(start, 1);
    assert!(peers.contains(1));
    assert_eq!(peers.responsive(start).count(), 0);
    assert!(peers.remove_unresponsive(start + Duration::from_secs(5)).is_empty());
    assert!(peers.is_empty());
    peers.add_reported(start, 2);
    assert!(peers.observe(start, 2, 0, Duration::ZERO), "heard for the first time");
    assert_eq!(peers.due(start), [2]);
}

/// Plays ten seconds in which there is always something new, with so many peers near and far; gives the fewest and the most
/// tellings of one peer, near and far, and the longest time that one was not told anything.
fn tellings(near: u32, far: u32) -> ([u32; 2], [u32; 2], Duration) {
    let (start, mut peers) = (Instant::now(), Peers::new(0));
    let count = near + far;
    let mut told = vec![Vec::new(); count as usize];
    let mut next = start;
    for step in 0..2_000_u32 {
        let now = start + Duration::from_millis(5) * step;
        for peer in 0..count {
            peers.observe(now, peer, u32::from(peer >= near), Duration::ZERO);
        }
        if now >= next {
            for peer in peers.due(now) {
                told[peer as usize].push(now);
            }
            next = now + peers.min_interval();
        }
    }
    let span = |peers: &[Vec<Instant>]| {
        let counts = || peers.iter().map(|t| t.len() as u32);
        [counts().min().unwrap_or(0), counts().max().unwrap_or(0)]
    };
    let gaps = told.iter().flat_map(|t| t.windows(2).map(|w| w[1] - w[0]));
    let longest = gaps.max().unwrap_or_default();
    (span(&told[..near as usize]), span(&told[near as usize..]), longest)
}

/// Seventy-four instances in three failure domains under load. Most bytes between domains were what they tell one another,
/// some ten times a second each: dearer there than all answers on a calm day. Peers in other domains are told half as often:
/// with a quarter, engines of other domains were asked for room that had long been taken.
#[test]
fn peers_in_other_domains_are_told_less_often() {
    let (near, far, longest) = tellings(24, 49);
    assert!(near[0] >= 90, "{near:?}");
    assert!((48..=52).contains(&far[0]) && far[1] <= 52, "{far:?}");
    assert!(longest <= HEARTBEAT_INTERVAL + Duration::from_millis(110), "{longest:?}");
}

/// Where there are few, news is quick everywhere: six instances of a small site choose among few engines.
#[test]
fn few_peers_are_told_quickly() {
    let (near, far, _) = tellings(1, 4);
    assert!(near[0] >= 250 && far[0] >= 250, "{near:?} {far:?}");
}

/// Three hundred instances are more than are told at a time. All get their turn, far and near, well before what they were
/// told counts as ended (1.5 s).
#[test]
fn none_of_many_peers_is_left_out() {
    let (_, _, longest) = tellings(100, 200);
    assert!(longest < Duration::from_millis(700), "{longest:?}");
}

/// Instances that are told by turns of several seconds are not taken for dead between two of them. With one silence for all
/// sizes, six hundred of them forgot one another by turns, and each took itself for one that reads the store.
#[test]
fn a_peer_that_waits_for_its_turn_is_not_taken_for_dead() {
    let (start, mut peers) = (Instant::now(), Peers::new(0));
    for peer in 0..1_200 {
        peers.observe(start, peer, peer % 6, Duration::ZERO);
    }
    let (near, far) = (peers.gossip_interval(Some(0)), peers.gossip_interval(Some(1)));
    assert!(near < far, "{near:?} {far:?}");
    let mut hearer = Peers::new(0);
    hearer.observe(start, 1, 0, near);
    hearer.observe(start, 2, 1, far);
    assert_eq!(hearer.responsive_in_domain(start + near * 2).collect::<Vec<_>>(), [1]);
    assert_eq!(hearer.responsive(start + far * 2).collect::<Vec<_>>(), [2]);
    assert!(!hearer.remove_unresponsive(start + far * 2).contains(&2));
}

/// Where there are few, silence is noticed as soon as ever.
#[test]
fn a_death_among_few_is_noticed_soon() {
    let (start, mut peers) = (Instant::now(), Peers::new(0));
    for peer in 0..8 {
        peers.observe(start, peer, peer % 4, Duration::ZERO);
    }
    let mut hearer = Peers::new(0);
    hearer.observe(start, 1, 0, peers.gossip_interval(Some(1)));
    let later = start + Duration::from_millis(1_500);
    assert_eq!(hearer.responsive(later).count(), 0);
}

/// A crash under a request is told for three seconds. Among twelve hundred instances all have their turn by then; with pauses
/// between rounds most never heard of it, and let the request crash three more endpoints.
#[test]
fn news_that_is_told_for_seconds_reaches_all() {
    let (start, mut peers) = (Instant::now(), Peers::new(0));
    for peer in 0..1_200 {
        peers.observe(start, peer, peer % 6, Duration::from_secs(30));
    }
    let (mut told, mut now) = (HashSet::new(), start);
    while now < start + Duration::from_secs(3) {
        told.extend(peers.due(now));
        now += peers.min_interval() + peers.round_pause(true);
    }
    assert_eq!(told.len(), 1_200);
}

/// A domain that is silent as a whole is cut off with its endpoints, and its part is used by those that still reach the
/// others; an instance that is silent alone may go on, and its part is left to it until it is forgotten.
#[test]
fn only_instances_that_are_silent_alone_keep_their_part() {
    let (start, mut peers) = (Instant::now(), Peers::new(0));
    for peer in 0..8_u8 {
        peers.observe(start, peer, u32::from(peer % 4), Duration::ZERO);
    }
    assert!((peers.reachable_share(start) - 1.0).abs() < 1e-9);
    let later = start + Duration::from_secs(2);
    for peer in (0..8).filter(|peer| peer % 4 != 1 && *peer != 2) {
        peers.observe(later, peer, u32::from(peer % 4), Duration::ZERO);
    }
    assert!(
        (peers.reachable_share(later) - 6.0 / 7.0).abs() < 1e-9,
        "domain 1 is cut off, one of domain 2 is silent"
    );
    peers.remove_unresponsive(start + Duration::from_secs(10));
    assert!((peers.reachable_share(later) - 1.0).abs() < 1e-9);
}
