//! The election of the instance that gives orders, among lists of seeds that differ and statements that are lost or late.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use teaselshunt_routing::{ElectionState, FencingNumbers, OrderElection};

/// Longer than a candidate waits to hear of others.
const SETTLED: Duration = Duration::from_secs(2);

type Election = OrderElection<u32>;

/// Instances that start together, each with its list of seeds.
struct World {
    start: Instant,
    lists: Vec<Vec<u32>>,
    elections: Vec<Election>,
}

impl World {
    fn new(lists: &[&[u32]]) -> Self {
        let start = Instant::now();
        let lists: Vec<Vec<u32>> = lists.iter().map(|list| list.to_vec()).collect();
        let elections = lists
            .iter()
            .zip(0..)
            .map(|(list, instance)| Election::new(start, instance, list.clone()))
            .collect();
        Self { start, lists, elections }
    }

    /// `to` hears what `from` states at its start.
    fn tell(&mut self, from: usize, to: usize) {
        if let Some(statement) = self.elections[from].statement(self.start) {
            self.elections[to].observe(statement);
        }
    }

    fn tell_all(&mut self) {
        for from in 0..self.elections.len() {
            for to in 0..self.elections.len() {
                self.tell(from, to);
            }
        }
    }

    fn state(&self, instance: usize) -> ElectionState<u32> {
        self.elections[instance].state(self.start + SETTLED)
    }

    fn elected(&self) -> Vec<usize> {
        (0..self.elections.len()).filter(|&i| self.state(i) == ElectionState::Elected).collect()
    }
}

/// Guards against a system in which nobody gives orders although all instances have read the same list.
#[test]
fn the_first_seed_of_a_common_list_is_elected() {
    let mut world = World::new(&[&[1, 2, 3], &[1, 2, 3], &[1, 2, 3], &[1, 2, 3], &[1, 2, 3]]);
    assert_eq!(world.state(1), ElectionState::SeedUnheard(2));
    world.tell(2, 1);
    world.tell(3, 1);
    assert_eq!(world.elections[1].state(world.start), ElectionState::Settling);
    world.tell_all();
    assert_eq!(world.elected(), [1]);
}

/// Guards against two instances that give orders because one has read a list that is stale, and against none.
#[test]
fn a_stale_list_elects_nobody_beside_the_common_one() {
    let mut world = World::new(&[&[0, 1, 2], &[1, 2, 3], &[1, 2, 3], &[1, 2, 3]]);
    world.tell_all();
    assert_eq!(world.elected(), [1]);
    assert_eq!(world.state(0), ElectionState::SeedOpposed(1));
}

/// Guards against two instances that give orders where lists have the same instances in another order.
#[test]
fn permuted_lists_elect_one_at_most() {
    let mut world = World::new(&[&[0, 1, 2], &[1, 2, 0], &[0, 1, 2]]);
    world.tell_all();
    assert!(world.elected().is_empty());
    let mut world = World::new(&[&[0, 1, 2], &[0, 2, 1], &[0, 1, 2]]);
    world.tell_all();
    assert_eq!(world.elected(), [0]);
}

/// Guards against an instance that gives orders although a seed of its list never started and may have done so elsewhere.
#[test]
fn a_seed_that_is_never_heard_keeps_its_candidate_from_being_elected() {
    let mut world = World::new(&[&[0, 1, 9], &[0, 1, 9]]);
    world.tell_all();
    assert_eq!(world.state(0), ElectionState::SeedUnheard(9));
}

/// Guards against two instances that give orders because their lists have nothing in common.
#[test]
fn candidates_of_separate_lists_exclude_each_other() {
    let mut world = World::new(&[&[0, 1], &[0, 1], &[2, 3], &[2, 3]]);
    world.tell(1, 0);
    world.tell(3, 2);
    world.tell(2, 0);
    world.tell(0, 2);
    assert_eq!(world.state(0), ElectionState::Contended(2));
    assert_eq!(world.state(2), ElectionState::Contended(0));
}

/// Guards against orders of a process that started after the first start of the system, whatever it hears.
#[test]
fn a_process_that_started_later_is_not_elected() {
    let start = Instant::now();
    let mut later = Election::without_vote(start);
    for instance in 0..3 {
        let other = Election::new(start, instance, vec![7, 0, 1]);
        later.observe(other.statement(start).expect("a vote"));
    }
    assert!(!later.is_candidate());
    assert_eq!(later.statement(start), None);
    assert_eq!(later.state(start + SETTLED), ElectionState::NoCandidate);
}

/// Guards against an empty list, and a list without the instance itself, that make an instance give orders.
#[test]
fn only_the_first_seed_of_its_own_list_is_a_candidate() {
    let mut world = World::new(&[&[], &[0, 1], &[3, 2]]);
    world.tell_all();
    assert_eq!(world.elected(), Vec::<usize>::new());
    assert!((0..3).all(|i| world.state(i) == ElectionState::NoCandidate));
}

/// Guards against reports that stay longer for the rest of a process's life.
#[test]
fn statements_end_after_the_start() {
    let start = Instant::now();
    let election = Election::new(start, 0, vec![0, 1, 2]);
    assert_eq!(election.statement(start).expect("a vote").seeds, [0, 1, 2]);
    assert_eq!(Election::new(start, 1, vec![0, 1, 2]).statement(start).expect("a vote").seeds, [0]);
    assert_eq!(election.statement(start + Duration::from_mins(2)), None);
}

/// A list of up to three of the instances, some of which never start.
fn draw_list(rng: &mut SmallRng, instances: u32) -> Vec<u32> {
    let count = rng.random_range(0..=3);
    (0..instances + 1).choose_multiple(rng, count)
}

quickcheck! {
    /// Guards against two instances that give orders at any time, whatever lists they have read, which statements are lost or
    /// late and who is frozen before it acts on what it knew. Only candidates whose lists share no instance may both be
    /// elected, and only until one hears of the other.
    fn two_instances_give_orders_only_where_none_can_know(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = rng.random_range(2..8_u32);
        let common = draw_list(&mut rng, count);
        let lists: Vec<Vec<u32>> = (0..count)
            .map(|_| if rng.random_bool(0.6) { common.clone() } else { draw_list(&mut rng, count) })
            .collect();
        let lists: Vec<&[u32]> = lists.iter().map(Vec::as_slice).collect();
        let mut world = World::new(&lists);
        let (mut elected, mut heard) = (HashSet::new(), HashSet::new());
        for _ in 0..rng.random_range(0..60) {
            let (from, to) = (rng.random_range(0..count) as usize, rng.random_range(0..count) as usize);
            world.tell(from, to);
            heard.insert((from, to));
            for instance in world.elected() {
                let shares = |other: &usize| {
                    let seeds: HashSet<_> = world.lists[*other].iter().collect();
                    world.lists[instance].iter().any(|seed| seeds.contains(seed))
                };
                let knows = |other: &usize| heard.contains(&(*other, instance));
                // An instance that was elected once may be frozen, and act on that at any time.
                if elected.iter().any(|other| *other != instance && (shares(other) || knows(other))) {
                    return false;
                }
                elected.insert(instance);
            }
        }
        true
    }

    /// Guards against orders of two instances with the same number, which an engine takes for one instance's.
    fn no_two_instances_draw_the_same_number(first: u32, second: u32, count: u8) -> bool {
        let numbers = |ip: u32| {
            let mut numbers = FencingNumbers::new(SocketAddr::new(IpAddr::V4(Ipv4Addr::from(ip)), 7));
            (0..count).map(|_| numbers.draw()).collect::<Vec<u64>>()
        };
        let (first_drawn, second_drawn) = (numbers(first), numbers(second));
        let rises = first_drawn.is_sorted_by(|a, b| a < b);
        rises && (first == second || first_drawn.iter().all(|number| !second_drawn.contains(number)))
    }
}
