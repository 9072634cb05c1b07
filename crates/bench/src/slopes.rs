//! How the cost of decisions and of control grows; the figures of docs/CAPACITY.md come from here.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use teaselshunt_core::{
    AttemptId, ConfigurationCandidate, Effect, EndpointId, EngineLoad, Event, Fingerprint, Generate,
    Identity, Instance, InstanceList, Source, Ticket, Work,
};

use crate::world::{Fault, Options, Side, World, scaled};

/// Requests that each measurement of decisions routes.
const REQUESTS: u64 = 20_000;
/// Virtual time that gossip is measured over, after a start.
const START: Duration = Duration::from_secs(10);
const SPAN: Duration = Duration::from_secs(30);

/// Cost of routing one request, at one size.
#[derive(Debug, Clone, Serialize)]
pub struct DecisionCost {
    /// Endpoints that the instance knows.
    pub endpoints: usize,
    /// Endpoints of the pool that the request goes to.
    pub pool: usize,
    /// Mean time of the step that takes a request and chooses its endpoints, in microseconds.
    pub choose_us: f64,
    /// Mean time of all steps of a request together, in microseconds.
    pub whole_us: f64,
}

/// Cost of control with no load, at one size.
#[derive(Debug, Clone, Serialize)]
pub struct ControlCost {
    /// Instances.
    pub instances: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Messages that one instance sends a second.
    pub messages: f64,
    /// Their bytes, without the transport's.
    pub bytes: f64,
    /// Share of a core that one instance's core takes, the world's own work included.
    pub core: f64,
    /// Resident memory for each instance in the world, in bytes.
    pub memory: f64,
    /// Time until a version is in force everywhere, all reading the platform.
    pub spread: Duration,
    /// The same with only one of five domains reading it.
    pub relayed: Duration,
}

/// Measures the routing of requests by an instance that owns every pool of `endpoints` endpoints.
///
/// # Panics
/// The core refuses a request although there is room, which would be a fault of it.
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
    let (mut choose, mut whole) = (Duration::ZERO, Duration::ZERO);
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
            deadline: Duration::from_mins(1),
        });
        let clock = Instant::now();
        instance.step(now, Event::Arrived { ticket: Ticket(number), work }, &mut effects);
        choose += clock.elapsed();
        let attempt = effects.iter().find_map(|e| match e {
            Effect::Prefill { attempt, .. } => Some(*attempt),
            _ => None,
        });
        let attempt = attempt.expect("there is room for every request");
        let clock = Instant::now();
        instance.step(now, Event::Prefilled { attempt, bytes: 1, cached: 0 }, &mut effects);
        instance.step(now, Event::Imported { attempt }, &mut effects);
        running.push_back(attempt);
        if running.len() > endpoints * 4 {
            let attempt = running.pop_front().expect("the queue is not empty");
            instance.step(now, Event::Finished { attempt, offset: 1, stored: None }, &mut effects);
        }
        whole += clock.elapsed();
    }
    let each = |time: Duration| time.as_secs_f64() * 1e6 / REQUESTS as f64;
    let pool = configuration.endpoints.iter().filter(|e| e.pool == configuration.pools[0].name).count();
    DecisionCost { endpoints, pool, choose_us: each(choose), whole_us: each(choose + whole) }
}

/// Measures what instances say to each other when nothing happens, and how fast a version spreads.
pub fn measure_control(instances: usize, endpoints: usize) -> ControlCost {
    let before = resident();
    let mut world = World::new(scaled(instances, endpoints), Options::default());
    world.run_until(START);
    let (messages, bytes) = (world.tally().messages, world.tally().bytes);
    let clock = Instant::now();
    world.run_until(START + SPAN);
    let took = clock.elapsed().as_secs_f64();
    let memory = resident().saturating_sub(before) as f64 / instances as f64;
    let each = SPAN.as_secs_f64() * instances as f64;
    let messages = (world.tally().messages - messages) as f64 / each;
    let bytes = (world.tally().bytes - bytes) as f64 / each;
    let spread = spread(&mut world);
    for domain in 1..5 {
        world.schedule(world.now(), Fault::Cut(Side::Domain(domain), Side::Platform));
    }
    let pause = world.now() + Duration::from_secs(5);
    world.run_until(pause);
    let relayed = self::spread(&mut world);
    ControlCost { instances, endpoints, messages, bytes, core: took / each, memory, spread, relayed }
}

fn spread(world: &mut World) -> Duration {
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
