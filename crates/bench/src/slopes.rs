//! Measures the costs of decisions and of control by the size of a deployment, for docs/CAPACITY.md.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use teaselshunt_core::{
    AttemptId, ConfigurationCandidate, Effect, EndpointId, EngineLoad, Event, Fingerprint, Generate,
    Identity, Instance, InstanceList, Source, Ticket, Work,
};

use crate::world::{Fault, Options, Side, World, scaled};

/// Number of requests in each measurement of decisions.
const REQUESTS: u64 = 20_000;
/// Virtual time from the start of the instances to the start of the measurement of gossip.
const WARM_UP: Duration = Duration::from_secs(10);
/// Virtual time over which gossip is measured.
const MEASURED_TIME: Duration = Duration::from_secs(30);

/// Cost of routing one request in a deployment of one size.
#[derive(Debug, Clone, Serialize)]
pub struct DecisionCost {
    /// Number of endpoints in the deployment.
    pub endpoints: usize,
    /// Number of endpoints in the pool of the request.
    pub pool: usize,
    /// Mean time of the core step that accepts a request and selects its endpoints, in microseconds.
    pub choose_us: f64,
    /// Mean time of all core steps of a request together, in microseconds.
    pub whole_us: f64,
}

/// Cost of control without load in a deployment of one size.
#[derive(Debug, Clone, Serialize)]
pub struct ControlCost {
    /// Number of instances.
    pub instances: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Messages that one instance sends in a second.
    pub messages: f64,
    /// Bytes of these messages, without the overhead of the transport.
    pub bytes: f64,
    /// Fraction of a processor core that one instance uses, including the work of the simulation.
    pub core: f64,
    /// Resident memory of the simulation for each instance, in bytes.
    pub memory: f64,
    /// Time until a version is active at all instances when all of them can read the platform.
    pub spread: Duration,
    /// Time until a version is active at all instances when only those of one domain out of five can read the
    /// platform.
    pub relayed: Duration,
}

/// Measures the routing of requests by a single instance, which owns all pools, with `endpoints` endpoints.
///
/// # Panics
/// If the core refuses a request although endpoints have capacity, which is a bug in the core.
pub fn measure_decision(endpoints: usize) -> DecisionCost {
    let deployment = scaled(1, endpoints);
    let base = Instant::now();
    let identity = Identity {
        name: deployment.instances[0].name.clone(),
        domain: deployment.instances[0].domain.clone(),
        deployment: deployment.configuration.deployment.clone(),
        address: deployment.instances[0].peers,
        incarnation: 1,
    };
    let mut instance = Instance::new(base, identity, 1);
    let mut effects = Vec::new();
    let list = InstanceList { revision: 1, instances: deployment.instances.clone() };
    let source = Source::Platform;
    instance.step(base, Event::ListRead { list, source, read_started: base }, &mut effects);
    let configuration = Arc::new(deployment.configuration.clone());
    let candidate =
        ConfigurationCandidate::Valid { configuration: Arc::clone(&configuration), text: Arc::from("") };
    instance.step(base, Event::ConfigurationRead { candidate, source }, &mut effects);
    for endpoint in &configuration.endpoints {
        let event =
            Event::Reported { endpoint: EndpointId::of(&endpoint.name), report: EngineLoad::default() };
        instance.step(base, event, &mut effects);
    }
    let pools = configuration.pools.len() as u64;
    let (mut choose, mut other_steps) = (Duration::ZERO, Duration::ZERO);
    let mut running: std::collections::VecDeque<AttemptId> = std::collections::VecDeque::new();
    for number in 0..REQUESTS {
        let now = base + Duration::from_micros(number);
        effects.clear();
        let work = Work::Generate(Generate {
            model: format!("model-{}", number % pools),
            team: String::new(),
            prompt_tokens: 1000,
            max_tokens: 100,
            retry: false,
            key: None,
            fingerprint: Fingerprint(number),
            parts: Vec::new(),
            deadline: Duration::from_mins(1),
        });
        let clock = Instant::now();
        instance.step(now, Event::Arrived { ticket: Ticket(number), work }, &mut effects);
        choose += clock.elapsed();
        let attempt = effects.iter().find_map(|e| match e {
            Effect::Prefill { attempt, .. } => Some(*attempt),
            _ => None,
        });
        let attempt = attempt.expect("there is capacity for every request");
        let clock = Instant::now();
        instance.step(now, Event::Prefilled { attempt, bytes: 1, cached: 0 }, &mut effects);
        instance.step(now, Event::Imported { attempt }, &mut effects);
        running.push_back(attempt);
        if running.len() > endpoints * 4 {
            let attempt = running.pop_front().expect("the queue is not empty");
            instance.step(now, Event::Finished { attempt, offset: 1, stored: None }, &mut effects);
        }
        other_steps += clock.elapsed();
    }
    let per_request = |time: Duration| time.as_secs_f64() * 1e6 / REQUESTS as f64;
    let pool = configuration.endpoints.iter().filter(|e| e.pool == configuration.pools[0].name).count();
    DecisionCost {
        endpoints,
        pool,
        choose_us: per_request(choose),
        whole_us: per_request(choose + other_steps),
    }
}

/// Measures the messages between instances without load, and the time in which a version spreads.
pub fn measure_control(instances: usize, endpoints: usize) -> ControlCost {
    let before = resident();
    let mut world = World::new(scaled(instances, endpoints), Options::default());
    world.run_until(WARM_UP);
    let (messages, bytes) = (world.tally().messages, world.tally().bytes);
    let clock = Instant::now();
    world.run_until(WARM_UP + MEASURED_TIME);
    let took = clock.elapsed().as_secs_f64();
    let memory = resident().saturating_sub(before) as f64 / instances as f64;
    let instance_seconds = MEASURED_TIME.as_secs_f64() * instances as f64;
    let messages = (world.tally().messages - messages) as f64 / instance_seconds;
    let bytes = (world.tally().bytes - bytes) as f64 / instance_seconds;
    let spread = spread_time(&mut world);
    for domain in 1..5 {
        world.schedule(world.now(), Fault::Cut(Side::Domain(domain), Side::Platform));
    }
    let settled_at = world.now() + Duration::from_secs(5);
    world.run_until(settled_at);
    let relayed = spread_time(&mut world);
    ControlCost {
        instances,
        endpoints,
        messages,
        bytes,
        core: took / instance_seconds,
        memory,
        spread,
        relayed,
    }
}

/// Publishes a new version and returns the time until it is active at all instances, at most a minute.
fn spread_time(world: &mut World) -> Duration {
    let start = world.now();
    let share = (start.as_secs() % 90) as u32 + 1;
    world.schedule(start, Fault::Share(share));
    loop {
        let next = world.now() + Duration::from_millis(5);
        world.run_until(next);
        let took = world.now().saturating_sub(start);
        if world.has_converged() || took > Duration::from_mins(1) {
            return took;
        }
    }
}

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}
