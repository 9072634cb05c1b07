//! Random plans of faults: kills, freezes, cuts, outages, stalls, silences, drains and planned stops.

use quickcheck::{Arbitrary, Gen};
use teaselshunt_bench::Plan;

/// Size given to the generator; plans bound themselves.
const SIZE: usize = 100;

fn hold(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let plan = Plan::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed));
        let violations = plan.run().violations;
        assert!(violations.is_empty(), "seed {seed}, {plan:?}:\n{}", violations.join("\n"));
    }
}

/// Callers of both users' fleets send logs, lookups and bookings while everything around them fails at random
/// times. No call that may not be repeated runs twice, nothing is answered twice or never, no "not run" is a
/// lie, versions only grow, drained endpoints get nothing new, stops cut nothing off, and no memory stays held.
#[test]
fn what_must_always_hold_holds_under_random_faults_a() {
    hold(20_000..20_012);
}

/// The same with other seeds, on another thread.
#[test]
fn what_must_always_hold_holds_under_random_faults_b() {
    hold(30_000..30_012);
}

/// The same plan gives the same run, or a found seed would be worth nothing.
#[test]
fn the_same_seed_gives_the_same_run() {
    let plan = Plan::arbitrary(&mut Gen::from_size_and_seed(SIZE, 976));
    let (a, b) = (plan.run(), plan.run());
    assert_eq!((a.steps, a.sim_events, a.messages, a.bytes), (b.steps, b.sim_events, b.messages, b.bytes));
}
