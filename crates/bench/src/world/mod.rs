//! The world: a queue of happenings in virtual time, and what they happen to.

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
use engine::{Engine, Job};
use network::Network;
use node::Node;
use platform::Platform;

/// How a world is set up.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of everything random.
    pub seed: u64,
    /// How instances choose endpoints.
    pub placement: Placement,
    /// Speed of the engines.
    pub speed: EngineSpeed,
    /// Age of load reports.
    pub report_lag: Duration,
    /// How long the platform's list takes to notice a death.
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

/// Something that happens at a time.
#[derive(Debug)]
enum Happening {
    /// An instance's clock ticks.
    Tick { node: usize, life: u32 },
    /// The result of something that an instance did reaches it.
    Result { node: usize, life: u32, event: Event },
    /// A message reaches an instance.
    Message { node: usize, from: InstanceId, message: Message },
    /// An instance's watch of the platform answers.
    Watch { node: usize, life: u32 },
    /// A step reaches an endpoint.
    Reach { endpoint: usize, job: Job },
    /// A prefill engine ends the prefill that it works on.
    PrefillEnd { endpoint: usize, number: u64 },
    /// A decode engine gives every stream its next token.
    DecodeStep { endpoint: usize },
    /// A transfer has arrived at a decode engine.
    Moved { endpoint: usize, job: Job, origin: usize },
    /// A service has done a call.
    Served { endpoint: usize, job: Job },
    /// An instance looks whether a step has made progress.
    Overdue { node: usize, life: u32, ticket: Ticket, number: u32, after: Duration, stall: bool },
    /// A caller sends its request, again or for the first time.
    Send { caller: usize },
    /// A caller loses patience.
    Abandon { caller: usize, life: u32, node: usize, ticket: Ticket },
    /// Something breaks or heals.
    Fault(Fault),
    /// The platform's list catches up with the instances.
    Relist,
}

struct Scheduled {
    at: Duration,
    order: u64,
    happening: Happening,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
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
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Instances, endpoints, callers and the platform, in virtual time.
pub struct World {
    base: Instant,
    now: Duration,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
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
    /// Requests of which something reached an endpoint.
    reached: HashSet<RequestId>,
    /// Requests that were called not run.
    not_run: HashSet<RequestId>,
    /// Crashes by the request that caused them.
    crashes: HashMap<Fingerprint, Crashes>,
    /// Endpoints that drain, and since when.
    draining: BTreeMap<usize, Duration>,
    /// When something last broke or healed.
    disturbed: Duration,
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
            order: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            nodes: Vec::new(),
            by_instance: HashMap::new(),
            engines,
            by_endpoint,
            network: Network::new(&deployment),
            platform: Platform::new(&deployment),
            callers: Vec::new(),
            reached: HashSet::new(),
            not_run: HashSet::new(),
            crashes: HashMap::new(),
            draining: BTreeMap::new(),
            disturbed: Duration::ZERO,
            tally: Tally::default(),
            options,
            deployment,
        };
        for index in 0..world.deployment.instances.len() {
            world.boot(index);
        }
        world
    }

    /// Whether every instance that lives has the latest version in force.
    pub fn has_converged(&self) -> bool {
        let latest = self.platform.latest().version;
        (0..self.nodes.len()).all(|i| self.version(i).is_none_or(|v| v == latest))
    }

    /// Virtual time since the start.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// What was counted so far.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Puts a fault at a time.
    pub fn schedule(&mut self, at: Duration, fault: Fault) {
        self.put(at, Happening::Fault(fault));
    }

    /// Runs until a time.
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
            self.happen(next.happening);
        }
        self.now = until;
    }

    fn put(&mut self, at: Duration, happening: Happening) {
        let at = at.max(self.now);
        self.order += 1;
        self.queue.push(Reverse(Scheduled { at, order: self.order, happening }));
    }

    fn after(&mut self, delay: Duration, happening: Happening) {
        self.put(self.now + delay, happening);
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick { node, life } => self.tick(node, life),
            Happening::Result { node, life, event } => self.result(node, life, event),
            Happening::Message { node, from, message } => {
                self.step(node, Event::Received { from, message });
            }
            Happening::Watch { node, life } => self.watch(node, life),
            Happening::Reach { endpoint, job } => self.reach(endpoint, job),
            Happening::PrefillEnd { endpoint, number } => self.prefill_end(endpoint, number),
            Happening::DecodeStep { endpoint } => self.decode_step(endpoint),
            Happening::Moved { endpoint, job, origin } => self.moved(endpoint, &job, origin),
            Happening::Served { endpoint, job } => self.served(endpoint, &job),
            Happening::Overdue { node, life, ticket, number, after, stall } => {
                self.overdue(node, life, ticket, number, after, stall);
            }
            Happening::Send { caller } => self.send(caller),
            Happening::Abandon { caller, life, node, ticket } => self.abandon(caller, node, life, ticket),
            Happening::Fault(fault) => self.break_or_heal(fault),
            Happening::Relist => self.relist(),
        }
    }
}
