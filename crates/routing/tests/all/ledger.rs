//! Work that other instances have in flight, and the choices that depend on it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use teaselshunt_routing::{
    Endpoint, EndpointKey, EndpointState, Endpoints, EngineTag, FreedCapacity, Ledger, LedgerChange, Need,
    PrefillEstimate, Stage,
};

fn peer(number: u8) -> SocketAddr {
    ([127, 0, 0, number], 7000).into()
}

/// Sender, sequence and tokens by engine.
type Digest = (u8, u8, Vec<(u8, u16)>);

quickcheck! {
    /// Digests arrive late, twice, out of order or not at all. The totals must always be the sum of the
    /// newest digest of each instance.
    fn totals_are_the_sum_of_the_newest_digests(digests: Vec<Digest>) -> bool {
        let (mut ledger, now) = (Ledger::default(), Instant::now());
        let mut newest: HashMap<u8, (u64, HashMap<EngineTag, u32>)> = HashMap::new();
        for (from, sequence, tokens) in digests {
            let (from, sequence) = (from % 5, u64::from(sequence) + 1);
            let tokens: HashMap<_, _> =
                tokens.into_iter().map(|(tag, n)| (EngineTag(u32::from(tag % 8)), u32::from(n))).collect();
            ledger.update(now, peer(from), (1, sequence), tokens.clone());
            if newest.get(&from).is_none_or(|(last, _)| *last < sequence) {
                newest.insert(from, (sequence, tokens));
            }
        }
        (0..8).map(EngineTag).all(|tag| {
            let sum: u64 = newest.values().filter_map(|(_, t)| t.get(&tag)).map(|&n| u64::from(n)).sum();
            ledger.in_flight(tag) == sum
        })
    }
}

/// An instance dies with much work in flight. Its account must be dropped after the failure timeout: engines
/// stop work whose connection ends, and an account that stayed would keep their capacity unused.
#[test]
fn an_unresponsive_instances_account_is_dropped() {
    let (mut ledger, now, tag) = (Ledger::default(), Instant::now(), EngineTag::of("g-1", None));
    ledger.update(now, peer(1), (1, 1), HashMap::from([(tag, 500)]));
    ledger.update(now + Duration::from_secs(2), peer(2), (1, 1), HashMap::from([(tag, 70)]));
    ledger.expire(now + Duration::from_secs(2));
    assert_eq!(ledger.in_flight(tag), 70);
}

/// An instance starts again, and its machine's clock has gone back meanwhile. Its work in flight must count
/// from its first digest on. If incarnations were ordered by a clock, others would take the engines that it
/// fills for empty until the clock has caught up.
#[test]
fn an_instance_that_starts_again_counts_at_once() {
    let (mut ledger, now, tag) = (Ledger::default(), Instant::now(), EngineTag::of("g-1", None));
    ledger.update(now, peer(1), (9, 5_000), HashMap::from([(tag, 500)]));
    ledger.update(now, peer(1), (4, 1), HashMap::from([(tag, 70)]));
    assert_eq!(ledger.in_flight(tag), 70);
    ledger.update(now, peer(1), (4, 1), HashMap::from([(tag, 900)]));
    assert_eq!(ledger.in_flight(tag), 70);
}

/// Guards against a broken peer whose counts make engines look full for all instances. Only the implausible counts are
/// ignored.
#[test]
fn implausible_counts_of_tokens_are_ignored() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let [first, second, third] = [1, 2, 3].map(EngineTag);
    let counts = [(first, u32::MAX), (second, u32::MAX / 2 + 1), (third, u32::MAX / 2)];
    assert_eq!(ledger.update(now, peer(1), (1, 1), counts).implausible, 2);
    assert_eq!([first, second].map(|tag| ledger.in_flight(tag)), [0, 0]);
    assert_eq!(ledger.in_flight(third), u64::from(u32::MAX / 2));
    assert_eq!(ledger.update(now, peer(1), (1, 1), counts).implausible, 0, "an outdated report is not read");
}

/// Guards against memory that grows with each engine that was ever used: engines start again all the time, and each
/// incarnation has a tag of its own.
#[test]
fn engines_without_tokens_are_not_kept() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    for sequence in 0..100 {
        let tag = EngineTag(sequence);
        ledger.update(now, peer(1), (1, u64::from(sequence) + 1), [(tag, 500), (EngineTag(7_000), 0)]);
        assert_eq!((ledger.len(), ledger.in_flight(tag)), (1, 500));
    }
    ledger.update(now, peer(2), (1, 1), [(EngineTag(99), 30), (EngineTag(99), 40)]);
    assert_eq!(
        (ledger.len(), ledger.in_flight(EngineTag(99))),
        (1, 540),
        "the last count for an engine counts"
    );
    ledger.expire(now + Duration::from_secs(2));
    assert!(ledger.is_empty());
}

/// Guards against waiting requests that are not served when a peer's work ends, and against an estimate of what
/// becomes free that counts other services, other stages or more than the last second.
#[test]
fn capacity_that_peers_no_longer_use_is_known() {
    let (mut endpoints, now) = (engines(2, Stage::Decode), Instant::now());
    let [first, second] = ["g-0", "g-1"].map(|id| EngineTag::of(id, None));
    let report = |tokens: [u32; 2]| HashMap::from([(first, tokens[0]), (second, tokens[1])]);
    let change = |is_new, is_new_incarnation, freed| LedgerChange {
        is_new,
        is_new_incarnation,
        freed,
        implausible: 0,
    };
    let first_change = endpoints.ledger().update(now, peer(1), (1, 1), report([500, 300]));
    assert_eq!(first_change, change(true, true, false));
    let more = endpoints.ledger().update(now, peer(1), (1, 2), report([500, 400]));
    assert_eq!(more, change(true, false, false));
    let less = endpoints.ledger().update(now, peer(1), (1, 3), report([100, 400]));
    assert_eq!(less, change(true, false, true));
    let outdated = endpoints.ledger().update(now, peer(1), (1, 3), report([0, 0]));
    assert_eq!(outdated, LedgerChange::default());
    let key = endpoints.key_of("g-1").expect("an engine");
    endpoints.observe_freed(now, key, 70);
    assert_eq!(endpoints.freed(now, "model"), FreedCapacity { ends: 2, tokens: 470 });
    assert_eq!(endpoints.freed(now, "other"), FreedCapacity::default());
    assert_eq!(endpoints.freed(now + Duration::from_secs(2), "model"), FreedCapacity::default());
    let mut prefills = engines(1, Stage::Prefill);
    prefills.observe_freed(now, prefills.key_of("g-0").expect("an engine"), 70);
    assert_eq!(prefills.freed(now, "model"), FreedCapacity::default());
}

fn engines(count: usize, stage: Stage) -> Endpoints {
    let mut endpoints = Endpoints::default();
    for number in 0..count {
        endpoints.upsert(Endpoint {
            id: Arc::from(format!("g-{number}")),
            born: None,
            service: Arc::from("model"),
            address: ([127, 0, 0, 1], 1 + number as u16).into(),
            domain: Arc::from("north"),
            state: EndpointState::Ready,
            stage: Some(stage),
            slots: None,
        });
    }
    endpoints
}

fn choose(
    endpoints: &Endpoints,
    now: Instant,
    stage: Stage,
    limit: Option<u64>,
    rng: &mut SmallRng,
) -> Option<EndpointKey> {
    let need = Need {
        service: "model",
        stage: Some(stage),
        domain: "north",
        tried: &[],
        tokens: 4_000,
        limit,
        headroom: 0,
        local_prefill: false,
        hedge: false,
        precedence: false,
    };
    endpoints.choose(now, need, rng)
}

/// A burst of prompts reaches nine instances at once, which learn of each other's choices with the gossip
/// delay. The engines' shares must stay close: an engine that gets twice its share makes its prompts wait
/// twice as long, and their first events are late. Without the ledger each instance would spread only its own
/// prompts.
#[test]
fn a_burst_through_many_instances_spreads_over_the_engines() {
    let (now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(7));
    let mut instances: Vec<Endpoints> = (0..9).map(|_| engines(5, Stage::Prefill)).collect();
    for round in 0..20_u64 {
        for instance in &mut instances {
            let key = choose(instance, now, Stage::Prefill, None, &mut rng).expect("one");
            instance.begin(now, key, 3_200);
        }
        let reported: Vec<_> = instances.iter().map(|instance| instance.own_work(now).tokens).collect();
        for (index, instance) in instances.iter_mut().enumerate() {
            for (from, tokens) in reported.iter().enumerate().filter(|(from, _)| *from != index) {
                instance.ledger().update(now, peer(from as u8), (1, round + 1), tokens.clone());
            }
        }
    }
    let load = |number: usize| -> u64 {
        let tag = EngineTag::of(&format!("g-{number}"), None);
        instances
            .iter()
            .flat_map(|i| i.own_work(now).tokens)
            .filter(|&(engine, _)| engine == tag)
            .map(|(_, tokens)| u64::from(tokens))
            .sum()
    };
    let loads: Vec<u64> = (0..5).map(load).collect();
    let mean = loads.iter().sum::<u64>() / 5;
    assert!(loads.iter().all(|&l| l.abs_diff(mean) * 4 < mean), "{loads:?}");
}

/// Others have filled an engine. The engine is passed over without an attempt, and chosen again when the
/// others report that it has capacity.
#[test]
fn an_engine_that_others_filled_is_passed_over() {
    let (now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(7));
    let mut endpoints = engines(1, Stage::Decode);
    let tag = EngineTag::of("g-0", None);
    endpoints.ledger().update(now, peer(1), (1, 1), HashMap::from([(tag, 28_000)]));
    assert!(choose(&endpoints, now, Stage::Decode, Some(30_000), &mut rng).is_none());
    endpoints.ledger().update(now, peer(1), (1, 2), HashMap::from([(tag, 20_000)]));
    assert!(choose(&endpoints, now, Stage::Decode, Some(30_000), &mut rng).is_some());
}

/// An engine has capacity for one more request. A request that can be on time takes it. A request that is
/// late already leaves it, and is served where there is capacity for another request besides.
#[test]
fn a_late_request_leaves_the_last_capacity_to_others() {
    let (now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(7));
    let mut endpoints = engines(1, Stage::Decode);
    let tag = EngineTag::of("g-0", None);
    let late = Need {
        service: "model",
        stage: Some(Stage::Decode),
        domain: "north",
        tried: &[],
        tokens: 4_000,
        limit: Some(30_000),
        headroom: 4_000,
        local_prefill: false,
        hedge: false,
        precedence: false,
    };
    endpoints.ledger().update(now, peer(1), (1, 1), HashMap::from([(tag, 24_000)]));
    assert!(choose(&endpoints, now, Stage::Decode, Some(30_000), &mut rng).is_some());
    assert!(endpoints.choose(now, late, &mut rng).is_none());
    endpoints.ledger().update(now, peer(1), (1, 2), HashMap::from([(tag, 20_000)]));
    assert!(endpoints.choose(now, late, &mut rng).is_some());
}

/// A generation produces more tokens than expected. Its engine must be passed over before the engine's memory
/// is used up, and all counted tokens must be released at the end.
#[test]
fn a_generation_that_overruns_fills_its_engine() {
    let (now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(7));
    let mut endpoints = engines(1, Stage::Decode);
    let key = choose(&endpoints, now, Stage::Decode, Some(10_000), &mut rng).expect("one");
    endpoints.begin(now, key, 4_000);
    assert!(choose(&endpoints, now, Stage::Decode, Some(10_000), &mut rng).is_some());
    endpoints.add_tokens(key, 3_000);
    assert!(choose(&endpoints, now, Stage::Decode, Some(10_000), &mut rng).is_none());
    endpoints.end(now, key, 7_000);
    assert_eq!(endpoints.load(key), 0);
}

/// Prefill slows to a third of its speed. The estimate follows within some tens of results, so that requests
/// which can't be served in time are refused before they are sent.
#[test]
fn the_prefill_estimate_follows_the_results() {
    let mut estimate = PrefillEstimate::default();
    let mut sent_at = Instant::now();
    let mut learn = |estimate: &mut PrefillEstimate, time| {
        estimate.learn(sent_at, 10_000, time, 1.0);
        sent_at += time;
    };
    for _ in 0..60 {
        learn(&mut estimate, Duration::from_millis(300));
    }
    assert!(estimate.predict(10_000).abs_diff(Duration::from_millis(300)) < Duration::from_millis(15));
    for _ in 0..60 {
        learn(&mut estimate, Duration::from_millis(900));
    }
    assert!(estimate.predict(20_000) > Duration::from_millis(1_700));
}

/// Engines were slow to reach for some seconds, and by the estimate learned from that no prompt can be
/// prefilled in time. When the engines have recovered and are idle, prompts must be sent: refused ones give
/// no results, and the instance would refuse every generation for good.
#[test]
fn a_high_prefill_estimate_does_not_block_idle_engines() {
    let mut estimate = PrefillEstimate::default();
    let start = Instant::now();
    for second in 0..60 {
        estimate.learn(start + Duration::from_secs(second), 100, Duration::from_secs(1), 1.0);
    }
    let limit = Duration::from_millis(600);
    assert!(!estimate.in_time(100, 100, limit), "a queue is still too long");
    assert!(estimate.in_time(0, 100, limit));
}
