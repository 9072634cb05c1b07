//! Random fault plans: kills, freezes, network partitions, outages, stalls, disconnected streams, drains and
//! graceful shutdowns.

use quickcheck::{Arbitrary, Gen};
use teaselshunt_bench::Plan;

/// Size parameter of the generator; plans limit their own size.
const SIZE: usize = 100;

fn assert_no_violations(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let plan = Plan::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed));
        let violations = plan.run().violations;
        assert!(violations.is_empty(), "seed {seed}, {plan:?}:\n{}", violations.join("\n"));
    }
}

/// Callers of the deployments of both users submit logs, lookups and bookings while faults of all kinds
/// occur at random times. The invariants: no non-idempotent call runs twice; every request is answered
/// exactly once; nothing that is reported as not run has run; versions only grow; draining endpoints get no
/// new work; graceful shutdowns break no request; and no memory stays occupied.
#[test]
fn invariants_hold_under_random_faults_a() {
    assert_no_violations(20_000..20_012);
}

/// The same with other seeds, on another test thread.
#[test]
fn invariants_hold_under_random_faults_b() {
    assert_no_violations(30_000..30_012);
}

/// Guards against random plans in which no silent stream is searched another engine for, so that they would find no
/// fault of such a search.
#[test]
fn random_plans_end_searches_for_silent_streams_both_ways() {
    let (mut kept, mut replaced) = (0, 0);
    for seed in 1..=200 {
        let tally = Plan::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed)).run();
        assert!(tally.violations.is_empty(), "seed {seed}:\n{}", tally.violations.join("\n"));
        kept += tally.runs_kept;
        replaced += tally.runs_replaced;
        if kept > 0 && replaced > 0 {
            return;
        }
    }
    panic!("{kept} streams went on, {replaced} were taken over");
}

/// The same plan results in the same run; otherwise the seed of a violation could not reproduce it.
#[test]
fn the_same_seed_gives_the_same_run() {
    let plan = Plan::arbitrary(&mut Gen::from_size_and_seed(SIZE, 976));
    let (a, b) = (plan.run(), plan.run());
    assert_eq!((a.steps, a.sim_events, a.messages, a.bytes), (b.steps, b.sim_events, b.messages, b.bytes));
}
