//! Rates that endpoints advertise, under random network partitions, kills, freezes and losses of updates.

use quickcheck::{Arbitrary, Gen};
use teaselshunt_bench::RatePlan;
use teaselshunt_routing::Pacing;

/// Size parameter of the generator; plans limit their own size.
const SIZE: usize = 100;
/// Maximum number of instances of a plan in this test; `teaselshunt-bench rates` also runs larger plans.
const INSTANCES_MAX: usize = 40;

fn plan(seed: u64) -> RatePlan {
    RatePlan::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed))
}

/// Callers request up to five times the capacity of the endpoints, from instances that are partitioned,
/// killed or frozen, while updates are lost, duplicated or late. No endpoint gets more than it may in any
/// window.
#[test]
fn no_endpoint_exceeds_its_bound() {
    let small = (1..).filter(|&seed| plan(seed).instances() <= INSTANCES_MAX);
    for seed in small.take(60) {
        let outcome = plan(seed).run(Pacing::Proportional);
        assert!(!outcome.exceeds_bound(), "seed {seed}: {outcome:?}, {:?}", plan(seed));
    }
}

/// Nine instances with four endpoints that accept four requests a second each.
fn nine_instances(seed: u64, demand: u8) -> RatePlan {
    let (domains, faults) = (vec![2, 3, 2, 2], Vec::new());
    RatePlan { seed, domains, endpoints: 4, rate: 40, demand, skew: 1, loss: 2, faults }
}

/// The capacity of endpoints is used if callers request enough. A router that keeps to the rates by sending
/// too little would fail here.
#[test]
fn capacity_of_endpoints_is_used() {
    for seed in 1..6 {
        let outcome = nine_instances(seed, 25).run(Pacing::Proportional);
        assert!(outcome.utilization() >= 0.9, "seed {seed}: {outcome:?}");
    }
}

/// Callers who request less than the capacity of the endpoints have almost no requests refused.
#[test]
fn callers_below_the_rates_are_almost_never_refused() {
    for seed in 1..6 {
        let outcome = nine_instances(seed, 6).run(Pacing::Proportional);
        assert!(outcome.refused_fraction() <= 0.02, "seed {seed}: {outcome:?}");
    }
}

/// Hundreds of instances, whose gossip interval is about 0.5 s, get five times the capacity of endpoints
/// that accept 20 requests a second each. When every request tried all endpoints, an endpoint with capacity
/// got 1.3 times what it may.
#[test]
fn hundreds_of_instances_do_not_all_select_the_endpoint_with_capacity() {
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
