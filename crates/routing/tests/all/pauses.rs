//! What an endpoint that was silent for a moment loses by that, and for how long.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use teaselshunt_routing::{Endpoint, EndpointKey, Endpoints, Need, PrefillEstimate, Stage, StepOutcome};

use crate::endpoints::endpoint;

/// Longest time for which a call waits for an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two arrivals.
const STEP: Duration = Duration::from_millis(25);

/// Decode engines, of which the first is preferred.
fn engines(count: usize) -> (Endpoints, Vec<EndpointKey>) {
    let mut endpoints = Endpoints::default();
    let keys = (0..count).map(|number| {
        let id = format!("d-{number}");
        let domain = if number == 0 { "north" } else { "south" };
        endpoints.upsert(Endpoint { stage: Some(Stage::Decode), ..endpoint(&id, domain) });
        endpoints.key_of(&id).expect("it is listed")
    });
    let keys = keys.collect();
    (endpoints, keys)
}

/// Sends small calls to decode engines, of which the first is silent from `begin` until `end`. Returns how many it got while it was
/// silent, and when it is chosen again after that.
fn play(begin: Duration, end: Duration) -> (usize, Duration) {
    let (mut endpoints, keys) = engines(3);
    let mut rng = SmallRng::seed_from_u64(1);
    let start = Instant::now();
    let (mut waiting, mut sent): (Vec<Duration>, _) = (Vec::new(), 0);
    for step in 0..1_000 {
        let at = STEP * step;
        let now = start + at;
        let silent = at >= begin && at < end;
        if !silent && at >= end {
            for _ in waiting.drain(..) {
                endpoints.end(now, keys[0], 100);
                endpoints.learn(now, keys[0], StepOutcome::Full);
            }
        }
        waiting.retain(|sent| {
            let over = at >= *sent + CALL_TIMEOUT;
            if over {
                endpoints.end(now, keys[0], 100);
                endpoints.learn(now, keys[0], StepOutcome::Silent(CALL_TIMEOUT));
            }
            !over
        });
        let need = Need {
            stage: Some(Stage::Decode),
            tokens: 100,
            limit: Some(20_000),
            ..Need::of("desk", "north")
        };
        if endpoints.choose(now, need, &mut rng) != Some(keys[0]) {
            continue;
        }
        if silent {
            endpoints.begin(now, keys[0], 100);
            waiting.push(at);
            sent += 1;
        } else if at >= end {
            return (sent, at.saturating_sub(end));
        }
    }
    (sent, Duration::MAX)
}

/// Guards against an engine that gets no work for seconds because it was silent for one: each unanswered call counted as a failure,
/// and those of one silence as many in a row.
#[test]
fn a_silent_engine_is_used_again_within_the_time_of_its_silence() {
    for millis in [300, 600, 900, 1_250, 2_000, 3_000] {
        let silence = Duration::from_millis(millis);
        let begin = Duration::from_millis(500);
        let (sent, again) = play(begin, begin + silence);
        assert!(again <= silence, "{millis} ms: {sent} calls, again after {again:?}");
        assert!(sent < 20, "{millis} ms: {sent} calls");
    }
}

/// Prompt of a usual request.
const PROMPT: u64 = 3_000;
/// Time of its prefill.
const PREFILL: Duration = Duration::from_millis(180);

/// An estimate after many usual prefills, and when the last one ended.
fn usual_estimate() -> (PrefillEstimate, Instant) {
    let (mut estimate, mut at) = (PrefillEstimate::default(), Instant::now());
    for _ in 0..100 {
        estimate.learn(at, PROMPT, PREFILL, 1.0);
        at += PREFILL;
    }
    (estimate, at)
}

/// Guards against generations that are refused after a silence of the prefill engines, since the prefills that it made longer raised
/// the estimate for all.
#[test]
fn a_silence_does_not_make_prefills_look_slow() {
    let (mut estimate, start) = usual_estimate();
    let silence = Duration::from_millis(1_250);
    for number in 0..10 {
        let sent_at = start + silence * number / 10;
        estimate.learn(sent_at, PROMPT, start + silence + PREFILL - sent_at, 1.0);
    }
    assert!(estimate.predict(PROMPT) < PREFILL.mul_f64(1.3), "{:?}", estimate.predict(PROMPT));
}

/// Guards against an estimate that takes prefills for silences when they have become slow.
#[test]
fn prefills_that_have_become_slow_are_learned() {
    let (mut estimate, mut at) = usual_estimate();
    let slow = PREFILL * 6;
    for _ in 0..30 {
        estimate.learn(at, PROMPT, slow, 1.0);
        estimate.learn(at, PROMPT, slow, 1.0);
        at += slow;
    }
    assert!(estimate.predict(PROMPT) > PREFILL * 5, "{:?}", estimate.predict(PROMPT));
}
