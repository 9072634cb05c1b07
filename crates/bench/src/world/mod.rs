//! Discrete-event simulation of a deployment in virtual time.
//!
//! A [`World`] handles simulation events in the order of their times; events at the same time are handled
//! in the order in which they were scheduled. Handling an event changes the modelled parts (processes of
//! instances, endpoints, callers, the network and the platform) and schedules further events. Virtual time
//! and the random generator are the only inputs besides the deployment and the options, so that a seed
//! determines the run.

mod callers;
mod crashes;
mod deployment;
mod drivers;
mod engine;
mod faults;
mod network;
mod node;
mod platform;
mod tally;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use teaselshunt_core::{EndpointId, Event, Fingerprint, InstanceId, Message, Placement, RequestId, Ticket};

pub use callers::{Load, RequestSpec};
pub use deployment::{Deployment, britasol, pindan, scaled};
pub use engine::EngineSpeed;
pub use faults::Fault;
pub use network::Side;
pub use tally::{ClassTally, Tally};

use callers::Caller;
use crashes::Crashes;
use engine::{Engine, SentStep};
use network::Network;
use node::Node;
use platform::Platform;

/// Options of a simulation.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all random draws.
    pub seed: u64,
    /// How instances choose endpoints.
    pub placement: Placement,
    /// Speed of the engines.
    pub speed: EngineSpeed,
    /// Minimum age of the load reports that engines return.
    pub report_lag: Duration,
    /// Time after which the platform's list reflects a change of an instance's process or of the network.
    pub list_lag: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            placement: Placement::Owner,
            speed: EngineSpeed::default(),
            report_lag: Duration::from_millis(300),
            list_lag: Duration::from_secs(3),
        }
    }
}

/// An entry of the event queue.
#[derive(Debug)]
enum SimEvent {
    /// The periodic tick of an instance is due.
    Tick { node: usize, transition_count: u32 },
    /// The result of an effect reaches its instance.
    StepResult { node: usize, transition_count: u32, event: Event },
    /// A message reaches an instance.
    Message { node: usize, from: InstanceId, message: Message },
    /// The watch of an instance reads the platform.
    PlatformRead { node: usize, transition_count: u32 },
    /// A step arrives at an endpoint.
    StepArrival { endpoint: usize, sent_step: SentStep },
    /// A prefill engine completes its running prefill.
    PrefillEnd { endpoint: usize, number: u64 },
    /// A decode engine generates the next token of every stream.
    DecodeStep { endpoint: usize },
    /// The transfer of a KV cache to a decode engine is complete.
    TransferEnd { endpoint: usize, sent_step: SentStep, origin: usize },
    /// A service completes a call.
    CallEnd { endpoint: usize, sent_step: SentStep },
    /// An instance checks whether a step has made progress.
    TimeoutCheck {
        node: usize,
        transition_count: u32,
        ticket: Ticket,
        step_number: u32,
        timeout: Duration,
        is_stall_timeout: bool,
    },
    /// A caller submits its request, for the first time or as a retry.
    Submit { caller: usize },
    /// A caller disconnects before its response is complete.
    Abandon { caller: usize, transition_count: u32, node: usize, ticket: Ticket },
    /// A fault occurs or ends.
    Fault(Fault),
    /// The platform updates its instance list.
    ListUpdate,
}

/// A simulation event and its position in the queue.
struct Scheduled {
    at: Duration,
    /// Number in the order of scheduling.
    sequence: u64,
    sim_event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A simulated deployment: instances, endpoints, callers and the platform in virtual time.
pub struct World {
    base: Instant,
    now: Duration,
    queue: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    rng: SmallRng,
    options: Options,
    deployment: Deployment,
    nodes: Vec<Node>,
    by_instance: HashMap<InstanceId, usize>,
    engines: Vec<Engine>,
    by_endpoint: HashMap<EndpointId, usize>,
    network: Network,
    platform: Platform,
    callers: Vec<Caller>,
    /// Requests whose steps have reached an endpoint.
    reached_endpoint: HashSet<RequestId>,
    /// Streams that engines have begun, by request.
    runs: HashMap<RequestId, u32>,
    /// Requests that were refused with the outcome "not run".
    reported_not_run: HashSet<RequestId>,
    /// Crashes of engines by the request that caused them.
    crashes: HashMap<Fingerprint, Crashes>,
    /// Draining endpoints with the time at which the drain was published.
    draining: BTreeMap<usize, Duration>,
    /// Time of the last fault or repair.
    last_disturbance: Duration,
    tally: Tally,
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("World").field("now", &self.now).finish_non_exhaustive()
    }
}

impl World {
    /// Starts every instance of a deployment at time zero.
    pub fn new(deployment: Deployment, options: Options) -> Self {
        let base = Instant::now();
        let engines = Engine::all(&deployment, &options);
        let by_endpoint = engines.iter().enumerate().map(|(i, e)| (e.id, i)).collect();
        let mut world = Self {
            base,
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            nodes: Vec::new(),
            by_instance: HashMap::new(),
            engines,
            by_endpoint,
            network: Network::new(&deployment),
            platform: Platform::new(&deployment),
            callers: Vec::new(),
            reached_endpoint: HashSet::new(),
            runs: HashMap::new(),
            reported_not_run: HashSet::new(),
            crashes: HashMap::new(),
            draining: BTreeMap::new(),
            last_disturbance: Duration::ZERO,
            tally: Tally::default(),
            options,
            deployment,
        };
        for index in 0..world.deployment.instances.len() {
            world.start_process(index);
        }
        world
    }

    /// Whether the latest configuration version is active at every running instance.
    pub fn has_converged(&self) -> bool {
        let latest = self.platform.latest().version;
        (0..self.nodes.len()).all(|i| self.active_version(i).is_none_or(|v| v == latest))
    }

    /// Virtual time since the start.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Results so far.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Schedules a fault or a repair.
    pub fn schedule(&mut self, at: Duration, fault: Fault) {
        self.schedule_at(at, SimEvent::Fault(fault));
    }

    /// Handles all events up to a virtual time.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > until {
                break;
            }
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.tally.sim_events += 1;
            self.handle(next.sim_event);
        }
        self.now = until;
    }

    fn schedule_at(&mut self, at: Duration, sim_event: SimEvent) {
        let at = at.max(self.now);
        self.sequence += 1;
        self.queue.push(Reverse(Scheduled { at, sequence: self.sequence, sim_event }));
    }

    fn schedule_after(&mut self, delay: Duration, sim_event: SimEvent) {
        self.schedule_at(self.now + delay, sim_event);
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn handle(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Tick { node, transition_count } => self.tick(node, transition_count),
            SimEvent::StepResult { node, transition_count, event } => {
                self.deliver_result(node, transition_count, event);
            }
            SimEvent::Message { node, from, message } => {
                self.step(node, Event::Received { from, message });
            }
            SimEvent::PlatformRead { node, transition_count } => self.watch_platform(node, transition_count),
            SimEvent::StepArrival { endpoint, sent_step } => self.receive_step(endpoint, sent_step),
            SimEvent::PrefillEnd { endpoint, number } => self.finish_prefill(endpoint, number),
            SimEvent::DecodeStep { endpoint } => self.run_decode_step(endpoint),
            SimEvent::TransferEnd { endpoint, sent_step, origin } => {
                self.finish_transfer(endpoint, &sent_step, origin);
            }
            SimEvent::CallEnd { endpoint, sent_step } => self.finish_call(endpoint, &sent_step),
            SimEvent::TimeoutCheck {
                node,
                transition_count,
                ticket,
                step_number,
                timeout,
                is_stall_timeout,
            } => {
                self.check_timeout(node, transition_count, ticket, step_number, timeout, is_stall_timeout);
            }
            SimEvent::Submit { caller } => self.submit(caller),
            SimEvent::Abandon { caller, transition_count, node, ticket } => {
                self.abandon(caller, node, transition_count, ticket);
            }
            SimEvent::Fault(fault) => self.apply_fault(fault),
            SimEvent::ListUpdate => self.update_list(),
        }
    }
}
