//! Idempotency keys under failures that make callers retry: at most once, whatever happens to the homes.

use std::time::Duration;

use teaselshunt_bench::{Deployment, Fault, Load, Options, Side, World, britasol, pindan};
use teaselshunt_settings::Role;

/// Faults of one run, by time in milliseconds.
type Faults = Vec<(u64, Fault)>;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// When a storm's calls come and when its services do the work but do not answer, in milliseconds, so that every broken
/// connection leaves a call that ran and a caller that retries.
#[derive(Clone, Copy)]
struct Storm {
    horizon_s: u64,
    from: u64,
    stall: u64,
}

/// Keys outlive the run.
const YOUNG: Storm = Storm { horizon_s: 60, from: 15_000, stall: 21_000 };
/// The fleet is older than keys are remembered.
const OLD: Storm = Storm { horizon_s: 10, from: 30_000, stall: 31_000 };

/// Runs a storm of keyed calls until 45 s; services answer again from 40 s on.
fn play(mut deployment: Deployment, seed: u64, storm: Storm, faults: Faults) -> (u64, Vec<String>) {
    deployment.configuration.policy.horizon_s = storm.horizon_s;
    deployment.configuration.policy.skew_ms = 100;
    let endpoints = deployment.configuration.endpoints.iter().enumerate();
    let services: Vec<usize> = endpoints.filter(|(_, e)| e.role == Role::Service).map(|(i, _)| i).collect();
    let mut world = World::new(deployment, Options { seed, ..Options::default() });
    let (from, until) = (at(storm.from), at(45_000));
    world.schedule_load(Load { long: 0.0, quick: 0.0, calls: 30.0, abandon_fraction: 0.0, from, until });
    for service in services {
        world.schedule(at(storm.stall), Fault::Stall(service));
        world.schedule(at(40_000), Fault::StallEnd(service));
    }
    for (ms, fault) in faults {
        world.schedule(at(ms), fault);
    }
    world.run_until(until);
    world.settle_and_check();
    (world.tally().resent, world.tally().violations.clone())
}

fn holds(name: &str, faults: impl Fn(u64) -> Faults) {
    holds_in(YOUNG, name, faults);
}

fn holds_in(storm: Storm, name: &str, faults: impl Fn(u64) -> Faults) {
    for seed in 0..8 {
        let deployment = if seed % 2 == 0 { britasol() } else { pindan() };
        let (resent, violations) = play(deployment, seed, storm, faults(seed));
        assert!(resent > 10, "{name}, seed {seed}: only {resent} calls were sent again");
        assert!(violations.is_empty(), "{name}, seed {seed}:\n{}", violations.join("\n"));
    }
}

/// Instances are killed one after the other while calls run. Callers retry through others; the homes of their
/// keys are among the dead, and the new homes after the list has changed know nothing. They must not grant.
#[test]
fn homes_are_killed() {
    holds("killed", |s| {
        (0..3).map(|i| (22_000 + i * 2_500 + s * 90, Fault::Kill((s + i) as usize))).collect()
    });
}

/// Instances stand still, the list drops them, keys get new homes, other instances are killed so that callers
/// retry, and the sleepers wake with their old list and answer what lies in their sockets.
#[test]
fn homes_sleep_and_wake_after_the_list_dropped_them() {
    holds("asleep", |s| {
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

/// Instances are killed and start again under their names at once, with nothing in memory.
#[test]
fn homes_restart_without_memory() {
    holds("restarted", |s| {
        let n = s as usize;
        let kills = [(22_000, n), (23_000, n + 1), (24_000, n + 2), (25_500, n + 3)];
        kills.iter().flat_map(|&(ms, n)| [(ms, Fault::Kill(n)), (ms + 400, Fault::Start(n))]).collect()
    });
}

/// The platform is down from before the first kill to the end; the list never changes.
#[test]
fn homes_are_killed_in_an_outage() {
    holds("outage", |s| {
        let n = s as usize;
        vec![(20_000, Fault::Outage), (23_000, Fault::Kill(n)), (24_000, Fault::Kill(n + 1))]
    });
}

/// A failure domain is cut off from the platform and from the other domains, and goes on with its old list. The
/// others get a list without it, their new homes grant keys, the calls run, and the instances that made them are
/// killed. The callers retry, also through the cut-off domain, where the old homes of the same keys still live:
/// an old home must find that its tenure has ended, or the call runs a second time.
#[test]
fn homes_are_cut_off_with_an_old_list() {
    holds("cut off", |s| {
        let (n, sides) = (s as usize, [Side::Platform, Side::Domain(1), Side::Domain(2), Side::Domain(3)]);
        let cuts = sides.into_iter().map(|side| (5_000, Fault::Cut(Side::Domain(0), side)));
        // Instances 0 and 1, and with Pindan's 2, are in the domain that is cut off.
        let kills = (0..4).map(|i| (22_000 + i as u64 * 1_500, Fault::Kill(3 + (n + i) % 4)));
        cuts.chain(kills).collect()
    });
}

/// A home that has been up for longer than keys are remembered grants keys and is killed; its next start hears from the
/// runner-up, which never granted them, that nobody has: the bookings ran a second time.
#[test]
fn a_home_restarts_in_a_fleet_that_is_older_than_the_horizon() {
    holds_in(OLD, "older than the horizon", |s| {
        let kill = |n: u64| (32_000 + n * 1_200, Fault::Kill((s + n) as usize));
        let start = |n: u64| (32_100 + n * 1_200, Fault::Start((s + n) as usize));
        (0..4).flat_map(|n| [kill(n), start(n)]).collect()
    });
}

/// An instance stops as planned, hands its records over and starts again before the list has changed. Its next start grants
/// keys and is killed. The homes that follow it take the handover for its last word: bookings that the second start granted
/// ran a second time.
#[test]
fn homes_hand_over_come_back_and_are_killed() {
    holds("came back", |s| {
        let n = s as usize;
        let back = (0..2).flat_map(|i| [(18_000, Fault::Stop(n + i)), (19_500, Fault::Start(n + i))]);
        back.chain((0..4).map(|i| (33_000 + i as u64 * 200, Fault::Kill(n + i)))).collect()
    });
}

/// A home is killed and started again, and callers book with keys that they make a moment later. Nobody can have run those:
/// a home that took them for older than its start told their callers "unknown" until the horizon had passed.
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

/// A failure domain is cut off, the list drops it, and its keys get other homes, which grant them. The cut ends and the list takes
/// the domain back: the homes there have never seen the list between, and did not ask who was home by it. Bookings that had
/// run meanwhile, and whose callers came back, ran a second time.
#[test]
fn homes_return_that_missed_a_list() {
    holds("missed a list", |s| {
        let (n, sides) = (s as usize, [Side::Platform, Side::Domain(1), Side::Domain(2), Side::Domain(3)]);
        let cuts = sides.into_iter().map(|side| (10_000, Fault::Cut(Side::Domain(0), side)));
        // As the domain is back the list changes anyway, because an instance was killed three seconds before.
        let mends = sides.into_iter().map(|side| (28_000, Fault::Mend(Side::Domain(0), side)));
        let kills = [(25_000, Fault::Kill(3 + n % 4))].into_iter();
        let later = (1..4).map(|i| (29_500 + i as u64 * 300, Fault::Kill(3 + (n + i) % 4)));
        cuts.chain(mends).chain(kills).chain(later).collect()
    });
}
