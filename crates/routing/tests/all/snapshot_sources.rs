//! Hundreds of instances of one failure domain that need a list of thousands of endpoints at the same moment.
//!
//! The pattern: all are started, most are killed and started, or the store drops its history before all of them. Read from
//! the store by each for itself that is some thirty calls an instance, and its link is taken for ten seconds.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselshunt_routing::{Era, Peers, SnapshotSearch, SnapshotSources, SnapshotStep, UpdateSource};

/// Time between two rounds of digests.
const ROUND: Duration = Duration::from_millis(100);
/// Rounds that a copy takes.
const COPY_ROUNDS: u32 = 4;
/// Copies that a holder gives at a time.
const COPIES: u32 = 3;
const PATIENCE: Duration = Duration::from_secs(5);
const ERA: Era = Era::new(None);

struct Member {
    peers: Peers<u32>,
    holders: SnapshotSources<u32>,
    /// Round from which it has the list.
    has: Option<u32>,
    /// Until when it copies, and from whom.
    copies: Option<(u32, u32)>,
    down: bool,
}

/// Instances of `domains` failure domains; their numbers are their addresses.
struct Fleet {
    start: Instant,
    round: u32,
    domains: u32,
    members: Vec<Member>,
    rng: SmallRng,
    /// Lists that were read from the store.
    reads: u32,
}

impl Fleet {
    fn new(count: u32, domains: u32) -> Self {
        let member = |n: u32| Member {
            peers: Peers::new(n % domains),
            holders: SnapshotSources::default(),
            has: None,
            copies: None,
            down: false,
        };
        let members = (0..count).map(member).collect();
        let rng = SmallRng::seed_from_u64(u64::from(count));
        Self { start: Instant::now(), round: 0, domains, members, rng, reads: 0 }
    }

    fn now(&self) -> Instant {
        self.start + ROUND * self.round
    }

    fn seeds(&self) -> [u32; 3] {
        let count = self.members.len() as u32;
        [count / 2, count / 3, count - 1]
    }

    /// One round of digests, of which one in fifty is lost.
    fn talk(&mut self) {
        let now = self.now();
        let seeds = self.seeds();
        for from in 0..self.members.len() as u32 {
            if self.members[from as usize].down {
                continue;
            }
            let sender = &mut self.members[from as usize];
            sender.peers.remove_unresponsive(now);
            let mut targets = sender.peers.due(now);
            targets.extend(seeds.into_iter().filter(|&seed| seed != from && !sender.peers.contains(seed)));
            let revision = sender.has.map(|_| 1);
            let next =
                [sender.peers.gossip_interval(Some(from % self.domains)), sender.peers.gossip_interval(None)];
            let domain_of = |to: u32| sender.peers.domain_of(to);
            let domains: Vec<Option<u32>> = targets.iter().map(|&to| domain_of(to)).collect();
            let mut by_domain = HashMap::new();
            for (to, domain) in targets.into_iter().zip(domains) {
                let sender = &self.members[from as usize];
                let named: &Vec<u32> = by_domain
                    .entry(domain)
                    .or_insert_with(|| sender.peers.sample_for(now, domain, &mut self.rng));
                let hearer = &mut self.members[to as usize];
                if hearer.down || self.rng.random_bool(0.02) {
                    continue;
                }
                let near = from % self.domains == to % self.domains;
                hearer.peers.observe(now, from, from % self.domains, next[usize::from(!near)]);
                named
                    .iter()
                    .filter(|&&peer| peer != to)
                    .for_each(|&peer| hearer.peers.add_reported(now, peer));
                if near {
                    hearer.holders.observe(from, ERA, revision);
                }
            }
        }
    }

    fn act(&mut self, member: u32, uptime: Duration, missing_for: Duration) {
        let now = self.now();
        let Member { peers, holders, copies, .. } = &self.members[member as usize];
        if let Some((until, _)) = copies {
            if *until <= self.round {
                self.members[member as usize].copies = None;
                self.members[member as usize].has = Some(self.round);
            }
            return;
        }
        let source = UpdateSource::of(&member, peers.responsive_in_domain(now));
        let search = SnapshotSearch {
            era: ERA,
            newer_than: None,
            tried: Vec::new(),
            missing_for,
            busy_timeout: PATIENCE,
            no_source_timeout: PATIENCE,
            uptime,
        };
        match holders.next(&search, source, &mut self.rng) {
            SnapshotStep::Wait => {}
            SnapshotStep::Store => {
                self.reads += 1;
                self.members[member as usize].has = Some(self.round);
            }
            SnapshotStep::Peer(holder) => {
                let busy = self.members.iter().filter(|m| m.copies.is_some_and(|(_, from)| from == holder));
                let gives = self.members[holder as usize].has.is_some() && busy.count() < COPIES as usize;
                if gives {
                    self.members[member as usize].copies = Some((self.round + COPY_ROUNDS, holder));
                }
            }
        }
    }

    /// Plays until all that are up have the list; those without it have been missing it since `since`. Gives the rounds.
    fn play(&mut self, since: u32) -> u32 {
        let begun = self.round;
        while self.members.iter().any(|m| !m.down && m.has.is_none()) {
            self.round += 1;
            assert!(self.round < begun + 200, "no end");
            self.talk();
            let missing = ROUND * (self.round - since);
            for member in 0..self.members.len() as u32 {
                if !self.members[member as usize].down && self.members[member as usize].has.is_none() {
                    self.act(member, missing, missing);
                }
            }
        }
        self.round - begun
    }
}

/// A whole deployment starts. A few of each domain read the list; how many does not grow with the instances, and the time
/// until all have it hardly does.
#[test]
fn a_start_of_all_reads_the_store_few_times() {
    for count in [75, 300] {
        let mut fleet = Fleet::new(count, 6);
        let rounds = fleet.play(0);
        assert!(fleet.reads <= 6 * 5, "{count}: {} reads", fleet.reads);
        assert!(rounds <= 60, "{count}: {rounds} rounds");
    }
}

/// More than half of all instances are killed and start again. Those that live have the list, and hardly anybody reads it.
#[test]
fn a_start_of_half_copies_from_those_that_live() {
    let mut fleet = Fleet::new(300, 6);
    fleet.play(0);
    fleet.reads = 0;
    let begun = fleet.round;
    for member in (0..300).filter(|n| n % 20 < 11) {
        let fresh = Fleet::new(300, 6).members.swap_remove(member);
        fleet.members[member] = fresh;
    }
    let rounds = fleet.play(begun);
    assert!(fleet.reads <= 6, "{} reads", fleet.reads);
    assert!(rounds <= 40, "{rounds} rounds");
}

/// Everybody with the list has gone. Whoever waits for a copy reads the store after a while, and is not kept waiting.
#[test]
fn nobody_waits_for_a_holder_for_ever() {
    let mut rng = SmallRng::seed_from_u64(1);
    let holders = SnapshotSources::<u32>::default();
    let search = |missing_for: Duration| SnapshotSearch {
        era: ERA,
        newer_than: Some(7),
        tried: Vec::new(),
        missing_for,
        busy_timeout: PATIENCE,
        no_source_timeout: PATIENCE / 4,
        uptime: Duration::from_mins(1),
    };
    assert_eq!(holders.next(&search(PATIENCE / 5), UpdateSource::Peers, &mut rng), SnapshotStep::Wait);
    assert_eq!(holders.next(&search(PATIENCE / 3), UpdateSource::Peers, &mut rng), SnapshotStep::Store);
    assert_eq!(holders.next(&search(Duration::ZERO), UpdateSource::Reader, &mut rng), SnapshotStep::Store);
}

/// A holder whose list is older than what is known, of another era, or that could not give it is passed over.
#[test]
fn only_a_later_list_of_the_same_era_is_copied() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut holders = SnapshotSources::default();
    holders.observe(1, Era::new(Some(4)), Some(7));
    holders.observe(2, Era::new(Some(5)), Some(9));
    holders.observe(3, Era::new(Some(4)), Some(8));
    let mut search = SnapshotSearch {
        era: Era::new(Some(4)),
        newer_than: Some(7),
        tried: Vec::new(),
        missing_for: Duration::ZERO,
        busy_timeout: PATIENCE,
        no_source_timeout: PATIENCE / 4,
        uptime: Duration::from_mins(1),
    };
    assert_eq!(holders.next(&search, UpdateSource::Peers, &mut rng), SnapshotStep::Peer(3));
    search.tried.push(3);
    search.missing_for = PATIENCE / 2;
    assert_eq!(
        holders.next(&search, UpdateSource::Peers, &mut rng),
        SnapshotStep::Wait,
        "it has the list and is busy"
    );
    search.missing_for = PATIENCE;
    assert_eq!(holders.next(&search, UpdateSource::Peers, &mut rng), SnapshotStep::Store);
}
