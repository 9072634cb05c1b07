//! Checks of links by many instances, in and after pauses of all endpoints.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, Plan};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Most connections that the checks of all instances may open to one endpoint in a second: 20, and 8 that instances have
/// saved for the first checks.
const CHECKS_MAX: u32 = 28;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Four pauses of 1.25 s, 1.75 s apart.
fn plan(instances: usize, endpoints: usize, accept_time: Duration, delay: Duration) -> Plan {
    let pauses = (0..4).map(|number| (millis(2_000 + number * 3_000), millis(1_250))).collect();
    Plan { instances, endpoints, accept_time, delay, calls: 60.0, pauses, end: millis(34_000), seed: 1 }
}

/// Plays a plan, and asserts that checks are bounded and end, and that a call at each instance is served afterwards.
fn assert_comes_back(plan: Plan) {
    let text = format!("{plan:?}");
    let (instances, end) = (plan.instances, plan.end.as_secs());
    let mut fleet = Fleet::new(plan);
    fleet.run();
    let (most, idle) = (fleet.most_checks(0..end), fleet.most_checks(end - 4..end));
    let served = fleet.served();
    println!(
        "{most} checks a second at one endpoint, {idle} long after the last call, {served} served: {text}"
    );
    assert!(most <= CHECKS_MAX, "{most} checks a second at one endpoint: {text}");
    assert_eq!(idle, 0, "checks a second at one endpoint long after the last call: {text}");
    assert_eq!(served, instances, "{text}");
}

/// Guards against checks that are the load that makes checks fail: after a pause of all endpoints instances opened hundreds of connections a
/// second to each of them without end, and refused all callers.
#[test]
fn instances_come_back_after_pauses_of_all_endpoints() {
    for (instances, endpoints) in [(2, 4), (7, 12), (24, 12), (74, 12), (584, 12), (584, 780)] {
        assert_comes_back(plan(instances, endpoints, millis(20), Duration::ZERO));
    }
}

/// Guards against a time of a check that an endpoint never keeps, so that it is never found to be back.
#[test]
fn instances_come_back_however_long_endpoints_take_for_a_connection() {
    for delay in [150, 300, 1_000] {
        for instances in [2, 24, 74] {
            assert_comes_back(plan(instances, 12, millis(5), millis(delay)));
        }
    }
}

/// Guards against the same with other sizes, pauses and times.
#[test]
fn instances_come_back_after_random_pauses() {
    for seed in 0..16 {
        assert_comes_back(random_plan(seed));
    }
}

/// Random sizes, pauses and times.
fn random_plan(seed: u64) -> Plan {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut pauses, mut at) = (Vec::new(), millis(1_000));
    for _ in 0..rng.random_range(1..5) {
        let length = millis(rng.random_range(300..3_000));
        at += millis(rng.random_range(500..2_000));
        pauses.push((at, length));
        at += length;
    }
    Plan {
        instances: rng.random_range(2..90),
        endpoints: rng.random_range(4..24),
        accept_time: millis(rng.random_range(1..30)),
        delay: millis(rng.random_range(0..1_000)),
        calls: rng.random_range(20.0..90.0),
        end: at + millis(25_000),
        pauses,
        seed,
    }
}

/// Guards against checks for peers that go on by themselves for many seconds, and that meet at one endpoint.
#[test]
fn checks_end_where_endpoints_take_a_second_for_a_connection() {
    for (instances, seed) in [(24, 125), (24, 364), (74, 162), (74, 201), (24, 183), (74, 283)] {
        assert_comes_back(Plan { seed, ..plan(instances, 12, millis(5), millis(1_000)) });
    }
    assert_comes_back(random_plan(392));
}
