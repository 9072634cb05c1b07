//! Prompts that decode engines read themselves.
//!
//! The pattern: an engine crashes with the streams of several instances, and each takes its streams up elsewhere in the
//! same moment. Figures are those seen at a small site: six instances, nine engines left, 24 broken streams of some 3,700
//! tokens, a read of a quarter of a second, 35 ms until another instance hears of it, 30 ms between two looks. A stream
//! pauses for some 45 ms between events without a read and may pause for 300; one read adds some 230, two at a time 460.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselshunt_routing::{Endpoint, EndpointKey, EndpointState, Endpoints, EngineTag, Need, Stage};

const INSTANCES: usize = 6;
const ENGINES: usize = 9;
const STREAMS: usize = 24;
const SEEDS: u64 = 50;
const TOKENS: u64 = 3_700;
const READ: Duration = Duration::from_millis(250);
const NEWS: Duration = Duration::from_millis(35);
const LOOK: Duration = Duration::from_millis(30);
const STEP: Duration = Duration::from_millis(5);

fn engines() -> Endpoints {
    let mut endpoints = Endpoints::default();
    for number in 0..ENGINES {
        endpoints.upsert(Endpoint {
            id: Arc::from(format!("g-{number}")),
            born: None,
            service: Arc::from("model"),
            address: ([10, 0, 0, number as u8], 1).into(),
            domain: Arc::from("north"),
            state: EndpointState::Ready,
            stage: Some(Stage::Decode),
        });
    }
    endpoints
}

fn need(local_prefill: bool) -> Need<'static> {
    Need {
        service: "model",
        stage: Some(Stage::Decode),
        domain: "north",
        tried: &[],
        tokens: TOKENS,
        limit: Some(33_000),
        headroom: 0,
        local_prefill,
        hedge: false,
    }
}

/// Reads that began while another one was in progress at the same engine, and how long it took until all had begun.
fn play(seed: u64, reads: bool) -> (usize, Duration) {
    let (start, mut rng) = (Instant::now(), SmallRng::seed_from_u64(seed));
    let mut instances: Vec<Endpoints> = (0..INSTANCES).map(|_| engines()).collect();
    let mut waiting = [STREAMS / INSTANCES; INSTANCES];
    let mut running: Vec<(usize, EndpointKey, EngineTag, Instant)> = Vec::new();
    let mut looks = [start; INSTANCES];
    let (mut overlaps, mut now) = (0, start);
    while waiting.iter().any(|&w| w > 0) {
        let (ended, going): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| now >= r.3 + READ);
        running = going;
        for (owner, key, ..) in ended {
            instances[owner].end_local_prefill(key);
        }
        for &(owner, _, tag, begun) in &running {
            for (index, other) in instances.iter_mut().enumerate() {
                if index != owner && now >= begun + NEWS {
                    other.ledger().report_local_prefill(now, tag);
                }
            }
        }
        for index in 0..INSTANCES {
            if now < looks[index] {
                continue;
            }
            looks[index] = now + LOOK.mul_f64(rng.random_range(0.5..1.5));
            while waiting[index] > 0 {
                let Some(key) = instances[index].choose(now, need(reads), &mut rng) else { break };
                let tag = EngineTag::of(&instances[index].get(key).expect("it is listed").id, None);
                overlaps += usize::from(running.iter().any(|r| r.2 == tag));
                instances[index].begin_local_prefill(key);
                instances[index].begin(now, key, TOKENS);
                running.push((index, key, tag, now));
                waiting[index] -= 1;
            }
        }
        now += STEP;
    }
    (overlaps, now - start)
}

/// All streams go on at once, nearly three reads an engine, and the other streams there pause for longer than their callers
/// aim for: some nine callers are late for each one that is helped. One after the other, over a third fewer reads meet, those
/// of instances that have not heard of each other yet, and the last stream goes on within 1.1 s, long before callers leave.
/// That all break in the very same moment is the worst case; streams of a dark engine break one by one.
#[test]
fn streams_of_a_crashed_engine_are_read_one_after_the_other() {
    let (mut blind, mut met) = (0, 0);
    for seed in 0..SEEDS {
        blind += play(seed, false).0;
        let (overlaps, took) = play(seed, true);
        met += overlaps;
        assert!(took < Duration::from_millis(1_100), "the last began after {took:?}");
    }
    let reads = SEEDS as usize * STREAMS;
    assert!(blind * 2 > reads, "without a look at reads most meet: {blind} of {reads}");
    assert!(met * 3 < blind * 2, "{met} of {reads} reads met others, {blind} without");
}

/// An instance that dies says nothing of its reads any more. The engine is free again when a read of usual length would be
/// over, and not for ever.
#[test]
fn a_read_of_which_nothing_more_is_heard_ends() {
    let (mut endpoints, now, mut rng) = (engines(), Instant::now(), SmallRng::seed_from_u64(1));
    for number in 0..ENGINES {
        endpoints.ledger().report_local_prefill(now, EngineTag::of(&format!("g-{number}"), None));
    }
    assert!(endpoints.choose(now, need(true), &mut rng).is_none());
    assert!(endpoints.choose(now, need(false), &mut rng).is_some(), "others may go there");
    assert!(endpoints.choose(now + Duration::from_millis(300), need(true), &mut rng).is_some());
}
