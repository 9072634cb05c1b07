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

/// Engines that were silent together do not go on in the same moment.
#[test]
fn a_stream_waits_a_gap_after_others_go_on() {
    let others = every_25_ms(2_000, 14_000);
    let found = follow(Instant::now(), Duration::from_secs(14), &others).expect("another engine");
    assert!(found >= Duration::from_secs(2) + GAP, "{found:?}");
}

quickcheck! {
    /// Whatever others send, a stream looks for another engine only if one has sent something after its own event was due, and at
    /// least a gap goal before; and then at the latest three gap goals later.
    fn another_engine_responds_before_a_stream_looks_for_one(others: Vec<u16>, silence: u16) -> TestResult {
        let silence = Duration::from_millis(u64::from(silence));
        let mut others: Vec<Duration> = others.into_iter().map(|at| Duration::from_millis(u64::from(at))).collect();
        others.sort_unstable();
        let evidence = others.iter().find(|&&at| at > GAP);
        TestResult::from_bool(match (follow(Instant::now(), silence, &others), evidence) {
            (Some(at), Some(&evidence)) => at >= GAP * 4 && at >= evidence + GAP && at <= (evidence + GAP * 3).max(GAP * 4),
            (Some(_), None) => false,
            (None, Some(&evidence)) => silence <= (evidence + GAP * 3).max(GAP * 4),
            (None, None) => true,
        })
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
