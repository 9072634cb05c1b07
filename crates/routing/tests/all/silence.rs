//! When a stream looks for another engine because its own is silent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use quickcheck::{TestResult, quickcheck};
use teaselshunt_routing::{SignsOfLife, Silence, SilenceStep};

const GAP: Duration = Duration::from_millis(300);

/// Follows a stream that is silent from `start` for `silence`; others send something at each of `others`. Returns when it looks
/// for another engine.
fn follow(start: Instant, silence: Duration, others: &[Duration]) -> Option<Duration> {
    let mut stream = Silence::of_stream(start, GAP);
    loop {
        let now = stream.next_look();
        if now >= start + silence {
            return None;
        }
        let heard = others.iter().map(|&at| start + at).filter(|&at| at <= now).max();
        if stream.look(now, heard) == SilenceStep::Replace {
            return Some(now.duration_since(start));
        }
    }
}

fn every_25_ms(from: u64, to: u64) -> Vec<Duration> {
    (from..to).step_by(25).map(Duration::from_millis).collect()
}

/// An engine that is silent while others work keeps no stream for longer than four gap goals.
#[test]
fn a_stream_leaves_an_engine_that_is_silent_alone() {
    let found = follow(Instant::now(), Duration::from_secs(14), &every_25_ms(0, 14_000));
    assert_eq!(found, Some(GAP * 4));
}

/// Engines that are silent together go on together. A second run then only prefills the prompt again.
#[test]
fn a_stream_stays_while_all_engines_are_silent() {
    for silence in [1_250_u64, 2_200, 5_000] {
        let others = [every_25_ms(0, 40), every_25_ms(silence - 20, 14_000)].concat();
        assert_eq!(follow(Instant::now(), Duration::from_millis(silence), &others), None, "{silence} ms");
    }
}

/// An engine that has responded early in the silence and is silent itself since is no better.
#[test]
fn a_stream_stays_while_engines_fall_silent_one_after_the_other() {
    for last in [310, 500, 700, 1_000] {
        let others = [every_25_ms(0, last), every_25_ms(4_980, 14_000)].concat();
        let found = follow(Instant::now(), Duration::from_secs(5), &others);
        assert!(found.is_none_or(|at| at <= Duration::from_millis(last) + GAP * 3), "{last} ms: {found:?}");
    }
    assert_eq!(follow(Instant::now(), Duration::from_secs(5), &every_25_ms(0, 600)), None);
}

/// Engines that were silent together do not go on in the same moment.
#[test]
fn a_stream_waits_a_gap_after_others_go_on() {
    let others = every_25_ms(2_000, 14_000);
    let found = follow(Instant::now(), Duration::from_secs(14), &others).expect("another engine");
    assert!(found >= Duration::from_secs(2) + GAP, "{found:?}");
}

quickcheck! {
    /// Whatever others send, a stream looks for another engine only if one has sent something after its own event was due, and
    /// something within the last two gap goals.
    fn another_engine_responds_before_a_stream_looks_for_one(others: Vec<u16>, silence: u16) -> TestResult {
        let silence = Duration::from_millis(u64::from(silence));
        let others: Vec<Duration> = others.into_iter().map(|at| Duration::from_millis(u64::from(at))).collect();
        let Some(found) = follow(Instant::now(), silence, &others) else { return TestResult::passed() };
        let is_early = others.iter().any(|&at| at > GAP && at + GAP <= found);
        let is_late = others.iter().any(|&at| at > GAP && at <= found && at + GAP * 2 >= found);
        TestResult::from_bool(found >= GAP * 4 && is_early && is_late)
    }

    /// A stream whose engine is silent alone leaves it after four gap goals, however rarely others send, if they do within each.
    fn a_stream_leaves_in_time(starts: u8, steps: Vec<u8>) -> TestResult {
        let mut at = Duration::from_millis(u64::from(starts));
        let mut others = vec![at];
        for step in steps.into_iter().cycle().take(200) {
            at += Duration::from_millis(u64::from(step));
            others.push(at);
        }
        if at < GAP * 4 {
            return TestResult::discard();
        }
        let found = follow(Instant::now(), Duration::from_mins(1), &others);
        TestResult::from_bool(found.is_some_and(|found| found <= GAP * 5))
    }
}

/// Hundreds of streams that are silent together ask one engine at a time, and not one each.
#[test]
fn one_engine_is_asked_at_a_time() {
    let (now, service, mut signs) = (Instant::now(), Arc::from("model"), SignsOfLife::default());
    let asked = (0..500).filter(|_| signs.may_ask(now, &service, now + GAP)).count();
    assert_eq!(asked, 1);
    assert!(signs.may_ask(now + GAP, &service, now + GAP * 2));
}
