//! Rates that endpoints name, under random plans of cuts, kills, freezes and lost tellings.

use quickcheck::{Arbitrary, Gen};
use teaselshunt_bench::RatePlan;
use teaselshunt_routing::Pacing;

/// Size given to the generator; plans bound themselves.
const SIZE: usize = 100;
/// Most instances of a plan that is played here; larger ones are played by command.
const INSTANCES: usize = 40;

fn plan(seed: u64) -> RatePlan {
    RatePlan::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed))
}

/// Callers ask for up to five times what endpoints take, of instances that are cut off, killed or frozen, while tellings
/// are lost, doubled or late. No endpoint gets more in any window than it may.
#[test]
fn no_endpoint_gets_more_than_it_may() {
    let small = (1..).filter(|&seed| plan(seed).instances() <= INSTANCES);
    for seed in small.take(60) {
        let outcome = plan(seed).run(Pacing::Proportional);
        assert!(!outcome.exceeds_bound(), "seed {seed}: {outcome:?}, {:?}", plan(seed));
    }
}

/// Nine instances before four endpoints that take four requests a second each.
fn nine(seed: u64, demand: u8) -> RatePlan {
    let (domains, faults) = (vec![2, 3, 2, 2], Vec::new());
    RatePlan { seed, domains, endpoints: 4, rate: 40, demand, skew: 1, loss: 2, faults }
}

/// What endpoints take is used where enough callers ask: who keeps to a rate by sending nothing serves nobody.
#[test]
fn what_endpoints_take_is_used() {
    for seed in 1..6 {
        let outcome = nine(seed, 25).run(Pacing::Proportional);
        assert!(outcome.utilization() >= 0.9, "seed {seed}: {outcome:?}");
    }
}

/// Callers who ask for less than endpoints take are refused next to nothing.
#[test]
fn callers_below_the_rates_are_refused_next_to_nothing() {
    for seed in 1..6 {
        let outcome = nine(seed, 6).run(Pacing::Proportional);
        assert!(outcome.refused_fraction() <= 0.02, "seed {seed}: {outcome:?}");
    }
}

/// Hundreds of instances whose tellings take half a second, before endpoints that take 20 requests a second each, at five
/// times that: as long as each request tried every endpoint, one that had room got 1.3 times what it may.
#[test]
fn hundreds_of_instances_do_not_all_turn_to_the_endpoint_that_has_room() {
    let (domains, faults) = (vec![44, 61, 87, 76], Vec::new());
    let plan = RatePlan {
        seed: 7_314_838_830_065_352_884,
        domains,
        endpoints: 20,
        rate: 200,
        demand: 50,
        skew: 0,
        loss: 6,
        faults,
    };
    let outcome = plan.run(Pacing::Proportional);
    assert!(!outcome.exceeds_bound(), "{outcome:?}");
}
