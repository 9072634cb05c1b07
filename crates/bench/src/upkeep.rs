//! Measures the processor time of the control work of one instance that forwards requests, by operation.
//!
//! The instance has lists of engines and plain endpoints, reports of its peers, and work in progress. Each
//! operation is repeated and timed by itself; its rate is that of an instance with as many peers, so that the
//! product is the part of a core that the operation takes.

mod parts;

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use teaselshunt_routing::{
    Endpoint, EndpointKey, EndpointState, Endpoints, EngineTag, Need, Peers, ResultReport, Results, Stage,
};

/// Endpoints of one service.
const SERVICE_SIZE: usize = 100;
/// Every so many services, one is plain.
const PLAIN_SERVICES: usize = 3;
/// Engines at which a peer has work in flight.
const PEER_ENGINES: usize = 20;
/// Endpoints in a peer's report of results.
const PEER_RESULTS: usize = 48;
/// Endpoints in a datagram that stated that they leave.
const LEAVING: usize = 8;
/// Endpoints at which the instance has work in progress.
const OWN_WORK: usize = 30;
/// Seconds between two rounds of reports to the peers, and reports in a round, at 80 peers or more.
const ROUND_SECONDS: f64 = 0.105;
const FANOUT: usize = 80;
/// Periodic tasks in a second.
const MAINTENANCE: f64 = 10.0;
/// Updates of the pace of engines in a second.
const PACE_UPDATES: f64 = 2.0;
/// Updates of the gauges that are counted over all endpoints, in a second.
const GAUGES: f64 = 1.0;
/// Calls to plain endpoints and generations in a second.
const REQUESTS: f64 = 25.0;
/// Batches in which an operation is measured, and time of each. The shortest mean counts: a batch is longer where
/// other processes take the core.
const BATCHES: usize = 25;
const BATCH_TIME: Duration = Duration::from_millis(15);

/// Cost of one operation of the control work.
#[derive(Debug, Clone, Serialize)]
pub struct OperationCost {
    /// What is measured.
    pub operation: &'static str,
    /// Mean time of one operation in the fastest batch, in microseconds.
    pub micros: f64,
    /// Operations in a second.
    pub rate: f64,
}

impl OperationCost {
    /// Times an operation that gets the number of its repetition.
    fn measure(operation: &'static str, rate: f64, mut act: impl FnMut(usize)) -> Self {
        act(0);
        let (mut count, mut least) = (0, f64::INFINITY);
        for _ in 0..BATCHES {
            let (start, first) = (Instant::now(), count);
            while start.elapsed() < BATCH_TIME {
                count += 1;
                act(count);
            }
            least = least.min(start.elapsed().as_secs_f64() / (count - first) as f64);
        }
        Self { operation, micros: least * 1e6, rate }
    }

    /// Part of a core that the operation takes.
    pub fn core(&self) -> f64 {
        self.micros * 1e-6 * self.rate
    }
}

/// An instance with endpoints and peers.
struct Upkeep {
    endpoints: Endpoints,
    now: Instant,
    plain: Vec<EndpointKey>,
    engines: Vec<EndpointKey>,
    leaving: Vec<EngineTag>,
    peers: usize,
    sequence: u64,
}

impl Upkeep {
    fn new(instances: usize, count: usize) -> Self {
        let mut upkeep = Self {
            endpoints: Endpoints::default(),
            now: Instant::now(),
            plain: Vec::new(),
            engines: Vec::new(),
            leaving: Vec::new(),
            peers: instances - 1,
            sequence: 0,
        };
        for number in 0..count {
            upkeep.list(number, number + LEAVING >= count);
        }
        let begun: Vec<EndpointKey> =
            upkeep.engines.iter().chain(&upkeep.plain).copied().step_by(count / OWN_WORK).collect();
        for key in begun {
            upkeep.endpoints.begin(upkeep.now, key, 4_000);
        }
        for peer in 0..upkeep.peers {
            upkeep.receive(peer, 0);
            upkeep.receive_results(peer);
        }
        for &key in &upkeep.engines {
            for _ in 0..3 {
                upkeep.endpoints.observe_pace(
                    upkeep.now,
                    key,
                    Stage::Prefill,
                    4_000,
                    Duration::from_millis(80),
                );
            }
        }
        upkeep
    }

    fn list(&mut self, number: usize, is_leaving: bool) {
        let service = number / SERVICE_SIZE;
        let is_plain = service.is_multiple_of(PLAIN_SERVICES);
        let stage = if number.is_multiple_of(2) { Stage::Prefill } else { Stage::Decode };
        let endpoint = Endpoint {
            id: Arc::from(format!("e-{number}")),
            born: None,
            service: Arc::from(format!("s-{service}")),
            address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
            domain: Arc::from("north"),
            state: if is_leaving { EndpointState::Leaving } else { EndpointState::Ready },
            stage: (!is_plain).then_some(stage),
            slots: NonZeroU32::new(8).filter(|_| is_plain),
        };
        let id = Arc::clone(&endpoint.id);
        self.endpoints.upsert(endpoint);
        let key = self.endpoints.key_of(&id).expect("the endpoint is listed");
        if is_leaving {
            self.leaving.push(EngineTag::of(&id, None));
        }
        if is_plain { self.plain.push(key) } else { self.engines.push(key) }
    }

    fn tag(&self, key: EndpointKey) -> EngineTag {
        self.endpoints.tag(key).expect("the endpoint is listed")
    }

    /// Merges a peer's tokens in flight, of which `change` makes one count differ.
    fn receive(&mut self, peer: usize, change: u32) {
        self.sequence += 1;
        let engines = (0..PEER_ENGINES).map(|number| self.engines[(peer * 7 + number) % self.engines.len()]);
        let mut tokens: Vec<(EngineTag, u32)> = engines.map(|key| (self.tag(key), 5_000)).collect();
        tokens[0].1 += change;
        self.receive_tokens(peer, tokens);
    }

    fn receive_tokens(&mut self, peer: usize, tokens: Vec<(EngineTag, u32)>) {
        self.endpoints.ledger().update(self.now, address(peer), (1, self.sequence), tokens);
    }

    fn receive_results(&mut self, peer: usize) {
        let endpoints = (0..PEER_RESULTS).map(|number| self.plain[(peer * 11 + number) % self.plain.len()]);
        let results = Results { answered: 1, busy_micros: 9_000, ..Results::default() };
        let reports =
            endpoints.map(|key| ResultReport { endpoint: self.tag(key), results }).collect::<Vec<_>>();
        self.endpoints.merge_results(self.now, address(peer), Duration::from_hours(1), reports);
    }

    /// Times an operation.
    fn measure(
        &mut self,
        operation: &'static str,
        rate: f64,
        mut act: impl FnMut(&mut Self, usize),
    ) -> OperationCost {
        OperationCost::measure(operation, rate, |count| act(self, count))
    }
}

/// Measures the control work of one of `instances` instances that list `endpoints` endpoints.
///
/// # Panics
/// If fewer endpoints are given than the load needs.
pub fn measure_upkeep(instances: usize, endpoints: usize) -> Vec<OperationCost> {
    let mut upkeep = Upkeep::new(instances, endpoints);
    let rounds = 1.0 / ROUND_SECONDS;
    let datagrams = rounds * FANOUT.min(instances - 1) as f64;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut known = Peers::new(1);
    for peer in 0..upkeep.peers {
        known.observe(upkeep.now, address(peer), peer as u32 % 5, Duration::from_secs(2));
    }
    let mut costs = parts::measure(rounds, datagrams);
    costs.extend([
        upkeep.measure("datagram, nothing changed", datagrams / 2.0, |upkeep, count| {
            upkeep.receive(count % upkeep.peers, 0);
        }),
        upkeep.measure("datagram, one count changed", datagrams / 2.0, |upkeep, count| {
            let peers = upkeep.peers;
            upkeep.receive(count % peers, (count / peers % 2) as u32);
        }),
        upkeep.measure("datagram, results", datagrams, |upkeep, count| {
            upkeep.receive_results(count % upkeep.peers);
        }),
        upkeep.measure("datagram, leaving endpoints", datagrams, |upkeep, _| {
            for &tag in &upkeep.leaving {
                upkeep.endpoints.merge_leaving(upkeep.now, tag);
            }
        }),
        upkeep.measure("endpoint of a change by its tag", 1.0, |upkeep, count| {
            let tag = upkeep.tag(upkeep.engines[count % upkeep.engines.len()]);
            assert!(upkeep.endpoints.by_tag(tag).is_some(), "the endpoint is listed");
        }),
        upkeep.measure("update_learned", MAINTENANCE, |upkeep, _| {
            upkeep.endpoints.update_learned(upkeep.now, |_| None);
        }),
        upkeep.measure("expire_learned", MAINTENANCE, |upkeep, _| {
            upkeep.endpoints.expire_learned(upkeep.now);
        }),
        upkeep.measure("expire_rates", MAINTENANCE, |upkeep, _| {
            let tag = upkeep.tag(upkeep.plain[0]);
            upkeep.endpoints.rates().observe_response(upkeep.now, tag, Some(100.0));
            upkeep.endpoints.expire_rates(upkeep.now);
            upkeep.endpoints.rates().remove(tag);
        }),
        upkeep.measure("expire_statements", MAINTENANCE, |upkeep, _| {
            upkeep.endpoints.merge_leaving(upkeep.now, EngineTag(1));
            upkeep.endpoints.expire_statements(upkeep.now);
        }),
        upkeep.measure("ledger expire", MAINTENANCE, |upkeep, _| {
            upkeep.endpoints.ledger().expire(upkeep.now);
        }),
        upkeep.measure("update_paces", PACE_UPDATES, |upkeep, _| {
            upkeep.endpoints.update_paces(upkeep.now);
        }),
        upkeep.measure("counts for gauges", GAUGES, |upkeep, _| {
            let counts = upkeep.endpoints.slow_count() + upkeep.endpoints.cooling_count(upkeep.now);
            assert_eq!(counts, 0, "no endpoint is slow or cools");
        }),
        upkeep.measure("own work of a round", rounds, |upkeep, _| {
            let work = upkeep.endpoints.own_work(upkeep.now);
            assert!(!work.tokens.is_empty() && work.suspects.is_empty(), "the work as begun");
        }),
        upkeep.measure("targets of a round", rounds, |upkeep, count| {
            let now = upkeep.now + Duration::from_secs_f64(ROUND_SECONDS) * (count as u32 % 10);
            let (share, near) = (known.reachable_share(now), known.responsive_in_domain(now).count());
            let (due, interval) = (known.due(now).len(), known.gossip_interval(Some(1)));
            let named = known.sample_for(now, Some(1), &mut rng);
            assert!(share > 0.0 && near > 0 && interval > Duration::ZERO && due <= FANOUT && named.len() < 9);
        }),
        upkeep.measure("choice of a plain endpoint", REQUESTS, |upkeep, _| {
            let chosen = upkeep.endpoints.choose(upkeep.now, Need::of("s-3", "north"), &mut rng);
            assert!(chosen.is_some(), "all endpoints are free");
        }),
        upkeep.measure("choice for a local prefill", 1.0, |upkeep, _| {
            let need = Need {
                stage: Some(Stage::Decode),
                tokens: 4_000,
                limit: Some(1_000_000),
                local_prefill: true,
                ..Need::of("s-1", "north")
            };
            let chosen = upkeep.endpoints.choose(upkeep.now, need, &mut rng);
            assert!(chosen.is_some(), "all engines are free");
        }),
    ]);
    costs
}

fn address(peer: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (peer / 256) as u8, (peer % 256) as u8], 4_000))
}
