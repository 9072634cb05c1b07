//! Idempotency keys under failures that make callers retry: a call with a key runs at most once, whatever
//! fails at the homes of the keys.

use std::time::Duration;

use teaselshunt_bench::{Deployment, Fault, Load, Options, Side, World, britasol, pindan};
use teaselshunt_settings::Role;

/// Faults of one run, by time in milliseconds.
type Faults = Vec<(u64, Fault)>;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Load of calls with keys. From `stall` on, services execute calls without answering, so that every broken
/// connection leaves a call that has run and a caller that retries. Times are in milliseconds.
#[derive(Clone, Copy)]
struct CallLoad {
    horizon_s: u64,
    from: u64,
    stall: u64,
}

/// The horizon is longer than the run.
const LONG_HORIZON: CallLoad = CallLoad { horizon_s: 60, from: 15_000, stall: 21_000 };
/// The instances have been running for longer than the horizon when the calls start.
const SHORT_HORIZON: CallLoad = CallLoad { horizon_s: 10, from: 30_000, stall: 31_000 };

/// Runs a load of calls until 45 s, with services that answer again from 40 s on. Returns the number of
/// retries and the violations.
fn run(mut deployment: Deployment, seed: u64, call_load: CallLoad, faults: Faults) -> (u64, Vec<String>) {
    deployment.configuration.policy.horizon_s = call_load.horizon_s;
    deployment.configuration.policy.skew_ms = 100;
    let endpoints = deployment.configuration.endpoints.iter().enumerate();
    let services: Vec<usize> = endpoints.filter(|(_, e)| e.role == Role::Service).map(|(i, _)| i).collect();
    let mut world = World::new(deployment, Options { seed, ..Options::default() });
    let (from, until) = (at(call_load.from), at(45_000));
    world.schedule_load(Load { long: 0.0, quick: 0.0, calls: 30.0, abandon_fraction: 0.0, from, until });
    for service in services {
        world.schedule(at(call_load.stall), Fault::Stall(service));
        world.schedule(at(40_000), Fault::StallEnd(service));
    }
    for (ms, fault) in faults {
        world.schedule(at(ms), fault);
    }
    world.run_until(until);
    world.settle_and_check();
    (world.tally().resent, world.tally().violations.clone())
}

fn assert_at_most_once(name: &str, faults: impl Fn(u64) -> Faults) {
    assert_at_most_once_with(LONG_HORIZON, name, faults);
}

fn assert_at_most_once_with(call_load: CallLoad, name: &str, faults: impl Fn(u64) -> Faults) {
    for seed in 0..8 {
        let deployment = if seed % 2 == 0 { britasol() } else { pindan() };
        let (resent, violations) = run(deployment, seed, call_load, faults(seed));
        assert!(resent > 10, "{name}, seed {seed}: only {resent} calls were retried");
        assert!(violations.is_empty(), "{name}, seed {seed}:\n{}", violations.join("\n"));
    }
}

/// Instances are killed one after the other while calls run. Callers retry through other instances. The
/// homes of their keys are among the killed instances, and the new homes after the change of the list have
/// no records. They must not grant the keys.
#[test]
fn homes_are_killed() {
    assert_at_most_once("killed", |s| {
        (0..3).map(|i| (22_000 + i * 2_500 + s * 90, Fault::Kill((s + i) as usize))).collect()
    });
}

/// Instances are frozen, the list drops them, keys get new homes, and other instances are killed so that
/// callers retry. Then the frozen instances resume with their old list and handle the requests in their
/// socket buffers.
#[test]
fn homes_freeze_and_resume_after_the_list_dropped_them() {
    assert_at_most_once("frozen", |s| {
        let n = s as usize;
        vec![
            (20_500, Fault::Freeze(n)),
            (20_600, Fault::Freeze(n + 1)),
            (25_000 + s * 70, Fault::Kill(n + 2)),
            (27_000, Fault::Kill(n + 3)),
            (34_000, Fault::Thaw(n)),
            (34_500, Fault::Thaw(n + 1)),
        ]
    });
}

/// Instances are killed and started again under their names at once, without their records.
#[test]
fn homes_restart_without_records() {
    assert_at_most_once("restarted", |s| {
        let n = s as usize;
        let kills = [(22_000, n), (23_000, n + 1), (24_000, n + 2), (25_500, n + 3)];
        kills.iter().flat_map(|&(ms, n)| [(ms, Fault::Kill(n)), (ms + 400, Fault::Start(n))]).collect()
    });
}

/// The platform is down from before the first kill to the end of the run, so that the list does not change.
#[test]
fn homes_are_killed_in_an_outage() {
    assert_at_most_once("outage", |s| {
        let n = s as usize;
        vec![(20_000, Fault::Outage), (23_000, Fault::Kill(n)), (24_000, Fault::Kill(n + 1))]
    });
}

/// A network partition separates a failure domain from the platform and from the other domains, and the
/// domain keeps its old list. The others get a list without the domain, their new homes grant keys, the
/// calls run, and the instances that sent them are killed. The callers retry, also through the partitioned
/// domain, where the old homes of the same keys are still running. An old home must detect that its grant
/// lease has expired, otherwise the call runs a second time.
#[test]
fn partitioned_homes_with_an_old_list() {
    assert_at_most_once("cut off", |s| {
        let (n, sides) = (s as usize, [Side::Platform, Side::Domain(1), Side::Domain(2), Side::Domain(3)]);
        let partitions = sides.into_iter().map(|side| (5_000, Fault::Cut(Side::Domain(0), side)));
        // Instances 0 and 1, and in Pindan's deployment also 2, are in the partitioned domain.
        let kills = (0..4).map(|i| (22_000 + i as u64 * 1_500, Fault::Kill(3 + (n + i) % 4)));
        partitions.chain(kills).collect()
    });
}

/// A home that has been running for longer than the horizon grants keys and is killed. Its next incarnation
/// asked the runner-up, which had never granted these keys, and concluded that they had never been granted.
/// The bookings ran a second time.
#[test]
fn a_home_restarts_in_a_fleet_that_is_older_than_the_horizon() {
    assert_at_most_once_with(SHORT_HORIZON, "older than the horizon", |s| {
        let kill = |n: u64| (32_000 + n * 1_200, Fault::Kill((s + n) as usize));
        let start = |n: u64| (32_100 + n * 1_200, Fault::Start((s + n) as usize));
        (0..4).flat_map(|n| [kill(n), start(n)]).collect()
    });
}

/// An instance shuts down gracefully, hands over its records and starts again before the list has changed.
/// Its next incarnation grants keys and is killed. The following homes took the records that were handed
/// over for complete, and bookings that the second incarnation had granted ran a second time.
#[test]
fn homes_restart_after_a_handover_and_are_killed() {
    assert_at_most_once("restarted after a shutdown", |s| {
        let n = s as usize;
        let restarts = (0..2).flat_map(|i| [(18_000, Fault::Stop(n + i)), (19_500, Fault::Start(n + i))]);
        restarts.chain((0..4).map(|i| (33_000 + i as u64 * 200, Fault::Kill(n + i)))).collect()
    });
}

/// A home is killed and started again, and callers book with keys that were created after that start. No
/// call with such a key can have run. A home that considered the keys older than its start answered
/// "unknown" until the horizon had passed.
#[test]
fn keys_made_after_a_start_are_granted() {
    for seed in 0..8 {
        let mut deployment = if seed % 2 == 0 { britasol() } else { pindan() };
        deployment.configuration.policy.skew_ms = 100;
        let name = deployment.service;
        let mut world = World::new(deployment, Options { seed, ..Options::default() });
        for n in 0..3 {
            world.schedule(at(20_000 + n * 400), Fault::Kill((seed + n) as usize));
            world.schedule(at(20_050 + n * 400), Fault::Start((seed + n) as usize));
        }
        let (from, until) = (at(21_000), at(32_000));
        world.schedule_load(Load { long: 0.0, quick: 0.0, calls: 30.0, abandon_fraction: 0.0, from, until });
        world.run_until(until + at(30_000));
        let tally = &world.tally().classes[name];
        assert!(tally.offered > 200, "seed {seed}: {} calls", tally.offered);
        assert_eq!((tally.refused, tally.answered), (0, tally.offered), "seed {seed}: refused and answered");
    }
}

/// A failure domain is partitioned, the list drops it, and its keys get other homes, which grant them. The
/// partition ends and the list contains the domain again. The homes in the domain have not seen the lists
/// without it, and did not ask the homes by these lists. Bookings that had run meanwhile, and whose callers
/// retried, ran a second time.
#[test]
fn homes_rejoin_that_missed_a_list() {
    assert_at_most_once("missed a list", |s| {
        let (n, sides) = (s as usize, [Side::Platform, Side::Domain(1), Side::Domain(2), Side::Domain(3)]);
        let partitions = sides.into_iter().map(|side| (10_000, Fault::Cut(Side::Domain(0), side)));
        // The list changes when the domain returns in any case, because an instance was killed 3 s before.
        let repairs = sides.into_iter().map(|side| (28_000, Fault::Mend(Side::Domain(0), side)));
        let kills = [(25_000, Fault::Kill(3 + n % 4))].into_iter();
        let later = (1..4).map(|i| (29_500 + i as u64 * 300, Fault::Kill(3 + (n + i) % 4)));
        partitions.chain(repairs).chain(kills).chain(later).collect()
    });
}
