//! Random plans against the rates that endpoints name: instances in several failure domains whose callers ask for more than
//! all endpoints of a service take together, and cuts, kills, freezes, lost, doubled and late tellings meanwhile.
//!
//! A plan is judged from outside, by what reaches each endpoint: no span of a window's length may hold more than one and a
//! half times the rate and some requests, from instances that have been well for a while. What a service takes is to be used,
//! and callers who ask for less are refused next to nothing.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use teaselshunt_routing::{
    Endpoint, EndpointKey, EndpointState, Endpoints, EngineTag, Need, Pacing, Peers, RateReport, Rates,
    StepOutcome,
};

use crate::quotas::{FaultKind, TimedFault};

const SERVICE: &str = "desk";
/// A span of this length may hold what the rate allows in it, [`OVER`] times, and besides [`SLACK`] requests.
const WINDOW: Duration = Duration::from_secs(4);
const OVER: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time after which a named rate binds, and after a mishap an instance that it hit.
const STABLE: Duration = Duration::from_secs(3);
/// Step of virtual time.
const STEP: Duration = Duration::from_millis(10);
/// Time between two tellings of a peer, and what each other peer adds to it; of more than [`FANOUT`] some wait for the next
/// round.
const BEAT: Duration = Duration::from_millis(25);
const BEAT_PEER: Duration = Duration::from_millis(1);
const FANOUT: usize = 80;
/// Time that an endpoint works on a request.
const WORK: Duration = Duration::from_millis(20);
/// Way of a telling.
const WAY: Duration = Duration::from_millis(2);
/// How late a telling comes that is late.
const LATE: Duration = Duration::from_millis(300);
/// Time from the naming of the rates to the end.
const LENGTH: Duration = Duration::from_secs(20);
/// Time before that, in which instances hear of one another.
const CALM: Duration = Duration::from_secs(1);

/// A random run.
#[derive(Debug, Clone, Serialize)]
pub struct RatePlan {
    /// From which everything else is drawn.
    pub seed: u64,
    /// Instances of each failure domain.
    pub domains: Vec<u16>,
    /// Endpoints, of which each names a rate.
    pub endpoints: u8,
    /// The rate, in tenths of a request a second.
    pub rate: u16,
    /// What callers ask, in tenths of what all endpoints take together.
    pub demand: u8,
    /// How unevenly callers are spread: 0 alike, more for fewer instances that get most.
    pub skew: u8,
    /// Tellings that are lost, in hundredths.
    pub loss: u8,
    /// What goes wrong.
    #[serde(rename = "troubles")]
    pub faults: Vec<TimedFault>,
}

/// What a run showed.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct RateOutcome {
    /// Requests that callers sent once the rates were in force.
    #[serde(rename = "asked")]
    pub offered: f64,
    /// Those that reached an endpoint.
    pub sent: f64,
    /// What the endpoints took together, in requests.
    #[serde(rename = "takes")]
    pub capacity: f64,
    /// The fullest window of any endpoint, as a part of what it may hold.
    #[serde(rename = "fullest")]
    pub max_window_fill: f64,
    /// Entries about rates that an instance sends to one peer in a second.
    pub entries: f64,
}

impl RateOutcome {
    /// Whether an endpoint got more in some window than it may.
    pub fn exceeds_bound(&self) -> bool {
        self.max_window_fill > 1.0
    }

    /// The part of what the endpoints take that was used.
    pub fn utilization(&self) -> f64 {
        self.sent / self.capacity.max(1.0)
    }

    /// The part of the requests that was refused.
    pub fn refused_fraction(&self) -> f64 {
        1.0 - self.sent / self.offered.max(1.0)
    }
}

impl Arbitrary for RatePlan {
    fn arbitrary(g: &mut Gen) -> Self {
        let largest = [4, 4, 8, 8, 20, 100][usize::arbitrary(g) % 6];
        let count = usize::arbitrary(g) % 3 + 2;
        let domains: Vec<_> = (0..count).map(|_| u16::arbitrary(g) % largest + 1).collect();
        let faults = TimedFault::series(g, domains.len() as u8);
        Self {
            seed: u64::arbitrary(g),
            endpoints: [1, 2, 4, 6, 20][usize::arbitrary(g) % 5],
            rate: [0, 5, 20, 40, 80, 200][usize::arbitrary(g) % 6],
            demand: [3, 5, 8, 10, 20, 50][usize::arbitrary(g) % 6],
            skew: u8::arbitrary(g) % 4,
            loss: u8::arbitrary(g) % 11,
            domains,
            faults,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        let fewer = (0..plan.faults.len()).map(move |index| {
            let mut shorter = plan.clone();
            shorter.faults.remove(index);
            shorter
        });
        Box::new(fewer)
    }
}

impl RatePlan {
    /// Instances in all.
    pub fn instances(&self) -> usize {
        self.domains.iter().map(|&count| usize::from(count)).sum()
    }

    fn rate(&self) -> f64 {
        f64::from(self.rate) / 10.0
    }

    /// What callers ask in a second; as if one request could be taken each second where the rate is next to nothing.
    fn demand(&self) -> f64 {
        (self.rate() * f64::from(self.endpoints)).max(1.0) * f64::from(self.demand) / 10.0
    }

    /// Plays the plan with a way to keep to rates.
    pub fn run(&self, pacing: Pacing) -> RateOutcome {
        let mut run = Run::new(self, pacing);
        while run.now < run.begun + CALM + LENGTH {
            run.step();
        }
        let nodes = run.nodes.len() as f64;
        run.outcome.entries /= (CALM + LENGTH).as_secs_f64() * nodes * (nodes - 1.0).max(1.0);
        run.outcome
    }
}

/// One instance.
struct Node {
    endpoints: Endpoints,
    keys: Vec<EndpointKey>,
    domain: u8,
    life: u64,
    /// Part of the callers that come to it.
    share: f64,
    /// Requests of its callers that are due.
    due: f64,
    next_beat: Instant,
    peers: Peers<usize>,
    /// Life and number of the last telling of others.
    heard: HashMap<usize, (u64, u64)>,
    /// Tellings so far.
    sequence: u64,
    down: bool,
    frozen: bool,
    /// Until when it is excused.
    excused: Instant,
}

struct Telling {
    at: Instant,
    from: usize,
    to: usize,
    /// Failure domain of the sender, and after which time it tells something again.
    domain: u8,
    next: Duration,
    life: u64,
    sequence: u64,
    news: Rc<Vec<RateReport>>,
}

struct Answer {
    at: Instant,
    to: usize,
    life: u64,
    endpoint: usize,
}

struct Run<'a> {
    plan: &'a RatePlan,
    pacing: Pacing,
    rng: SmallRng,
    begun: Instant,
    now: Instant,
    nodes: Vec<Node>,
    tags: Vec<EngineTag>,
    tellings: VecDeque<Telling>,
    late: VecDeque<Telling>,
    answers: VecDeque<Answer>,
    /// What counts at each endpoint in the window so far.
    windows: Vec<VecDeque<Instant>>,
    outcome: RateOutcome,
    active: Vec<bool>,
}

fn listed(number: usize) -> Endpoint {
    Endpoint {
        id: Arc::from(format!("e-{number}")),
        born: None,
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
        domain: "all".into(),
        state: EndpointState::Ready,
        stage: None,
    }
}

fn peer(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 1))
}

impl<'a> Run<'a> {
    fn new(plan: &'a RatePlan, pacing: Pacing) -> Self {
        let (now, mut rng) = (Instant::now(), SmallRng::seed_from_u64(plan.seed));
        let mut nodes = Vec::new();
        for (domain, &count) in plan.domains.iter().enumerate() {
            for _ in 0..count {
                let weight: f64 = rng.random_range(0.05..1.0);
                nodes.push(Node {
                    endpoints: Endpoints::default(),
                    keys: Vec::new(),
                    domain: domain as u8,
                    life: rng.random(),
                    share: weight.powi(i32::from(plan.skew) * 2),
                    due: rng.random_range(0.0..1.0),
                    next_beat: now + Duration::from_millis(rng.random_range(0..100)),
                    peers: Peers::new(domain as u32),
                    heard: HashMap::new(),
                    sequence: 0,
                    down: false,
                    frozen: false,
                    excused: now,
                });
            }
        }
        let all: f64 = nodes.iter().map(|node| node.share).sum();
        for node in &mut nodes {
            node.share /= all;
            node.open(plan, pacing);
        }
        let count = usize::from(plan.endpoints);
        Self {
            plan,
            pacing,
            rng,
            begun: now,
            now,
            nodes,
            tags: (0..count).map(|number| EngineTag::of(&format!("e-{number}"), None)).collect(),
            tellings: VecDeque::new(),
            late: VecDeque::new(),
            answers: VecDeque::new(),
            windows: vec![VecDeque::new(); count],
            outcome: RateOutcome::default(),
            active: vec![false; plan.faults.len()],
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.mishaps();
        self.deliver();
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if !node.down && !node.frozen && self.now >= node.next_beat {
                self.tell(index);
            }
        }
        for index in 0..self.nodes.len() {
            self.callers(index);
        }
        if self.now >= self.begun + CALM + STABLE {
            let capacity = self.plan.rate() * f64::from(self.plan.endpoints);
            self.outcome.capacity += capacity * STEP.as_secs_f64();
        }
    }

    /// Begins and ends what goes wrong.
    fn mishaps(&mut self) {
        let plan = self.plan;
        for (index, fault) in plan.faults.iter().enumerate() {
            let begin = self.begun + CALM + Duration::from_millis(u64::from(fault.at));
            let end = begin + Duration::from_millis(u64::from(fault.length));
            let active = self.now >= begin && self.now < end;
            let changed = std::mem::replace(&mut self.active[index], active) != active;
            for number in 0..self.nodes.len() {
                if is_hit(fault.kind, number, self.nodes[number].domain) && (active || changed) {
                    self.nodes[number].excused = self.now + STABLE;
                    if changed {
                        self.change(number, fault.kind, active);
                    }
                }
            }
        }
    }

    fn change(&mut self, number: usize, kind: FaultKind, begins: bool) {
        let life = self.rng.random();
        let node = &mut self.nodes[number];
        match kind {
            FaultKind::Freeze { .. } => node.frozen = begins,
            FaultKind::Kill { .. } => {
                node.down = begins;
                node.life = life;
                node.heard.clear();
                node.peers = Peers::new(u32::from(node.domain));
                node.open(self.plan, self.pacing);
            }
            // Cuts are looked up when something is sent.
            FaultKind::Cut { .. } => {}
        }
    }

    fn is_cut(&self, a: u8, b: u8) -> bool {
        let active = self.plan.faults.iter().zip(&self.active).filter(|(_, active)| **active);
        active.into_iter().any(|(fault, _)| match fault.kind {
            FaultKind::Cut { domain } => (a == domain) != (b == domain),
            FaultKind::Kill { .. } | FaultKind::Freeze { .. } => false,
        })
    }

    fn tell(&mut self, from: usize) {
        let others = self.nodes.len() - 1;
        let beat = BEAT + BEAT_PEER * others.min(FANOUT) as u32;
        let rounds = others.div_ceil(FANOUT).max(1) as u32;
        let (now, instances) = (self.now, self.nodes.len());
        let node = &mut self.nodes[from];
        node.next_beat = now + beat * rounds;
        node.peers.remove_unresponsive(now);
        let part = node.peers.reachable_share(now);
        node.endpoints.rates().share_among(now, instances, part);
        let news = Rc::new(node.endpoints.rates().reports(now));
        node.sequence += 1;
        let (life, sequence, domain) = (node.life, node.sequence, node.domain);
        for to in 0..instances {
            if to == from {
                continue;
            }
            self.outcome.entries += news.len() as f64;
            let lost = self.rng.random_range(0..100) < u32::from(self.plan.loss);
            if lost || self.is_cut(domain, self.nodes[to].domain) {
                continue;
            }
            let telling = |delay| Telling {
                at: now + delay,
                from,
                to,
                domain,
                next: beat * rounds,
                life,
                sequence,
                news: Rc::clone(&news),
            };
            // Some come twice, and some late.
            match self.rng.random_range(0..40) {
                0 => self.late.push_back(telling(LATE)),
                1 => {
                    self.tellings.push_back(telling(WAY));
                    self.late.push_back(telling(LATE));
                }
                _ => self.tellings.push_back(telling(WAY)),
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for queue in [&mut self.tellings, &mut self.late] {
            while let Some(telling) = queue.pop_front_if(|telling| telling.at <= now) {
                let node = &mut self.nodes[telling.to];
                if !node.down && !node.frozen {
                    node.told(now, &telling);
                }
            }
        }
        let named = (now >= self.begun + CALM).then_some(self.plan.rate());
        while let Some(answer) = self.answers.pop_front_if(|answer| answer.at <= now) {
            let node = &mut self.nodes[answer.to];
            if !node.down && node.life == answer.life {
                node.answered(now, answer.endpoint, self.tags[answer.endpoint], named);
            }
        }
    }

    /// Callers of an instance ask.
    fn callers(&mut self, index: usize) {
        let (now, in_force) = (self.now, self.now >= self.begun + CALM + STABLE);
        let node = &mut self.nodes[index];
        node.due += self.plan.demand() * node.share * STEP.as_secs_f64() * self.rng.random_range(0.0..2.0);
        if node.down || node.frozen {
            node.due = 0.0;
        }
        while node.due >= 1.0 {
            node.due -= 1.0;
            self.outcome.offered += f64::from(u8::from(in_force));
            let Some(key) = node.endpoints.choose(now, Need::of(SERVICE, "all"), &mut self.rng) else {
                continue;
            };
            let endpoint = node.keys.iter().position(|&k| k == key).expect("it is listed");
            node.endpoints.begin(now, key, 0);
            node.endpoints.rates().charge(now, self.tags[endpoint]);
            self.answers.push_back(Answer { at: now + WORK, to: index, life: node.life, endpoint });
            if !in_force {
                continue;
            }
            self.outcome.sent += 1.0;
            if now < node.excused {
                continue;
            }
            let window = &mut self.windows[endpoint];
            window.push_back(now);
            while window.pop_front_if(|at| *at + WINDOW <= now).is_some() {}
            let allowed = self.plan.rate() * WINDOW.as_secs_f64() * OVER + SLACK;
            self.outcome.max_window_fill = self.outcome.max_window_fill.max(window.len() as f64 / allowed);
        }
    }
}

impl Node {
    /// Starts, and knows nothing.
    fn open(&mut self, plan: &RatePlan, pacing: Pacing) {
        self.endpoints = Endpoints::default();
        *self.endpoints.rates() = Rates::new(pacing);
        for number in 0..usize::from(plan.endpoints) {
            self.endpoints.upsert(listed(number));
        }
        self.keys = (0..usize::from(plan.endpoints))
            .map(|number| self.endpoints.key_of(&format!("e-{number}")).expect("it is listed"))
            .collect();
    }

    fn told(&mut self, now: Instant, telling: &Telling) {
        let last = self.heard.get(&telling.from);
        if last.is_some_and(|&(life, number)| life == telling.life && number >= telling.sequence) {
            return;
        }
        self.heard.insert(telling.from, (telling.life, telling.sequence));
        self.peers.observe(now, telling.from, u32::from(telling.domain), telling.next);
        for news in telling.news.iter() {
            if let Some(word) = news.observation {
                self.endpoints.rates().merge_observation(now, news.endpoint, word);
            }
            self.endpoints.rates().merge_sends(now, peer(telling.from), telling.life, *news);
        }
    }

    fn answered(&mut self, now: Instant, endpoint: usize, tag: EngineTag, rate: Option<f64>) {
        let key = self.keys[endpoint];
        self.endpoints.end(key, 0);
        self.endpoints.learn(now, key, StepOutcome::Answered(WORK));
        self.endpoints.rates().observe_response(now, tag, rate);
    }
}

/// Whether a mishap hits an instance.
fn is_hit(kind: FaultKind, number: usize, domain: u8) -> bool {
    match kind {
        FaultKind::Cut { domain: cut } => domain == cut,
        FaultKind::Kill { eighths } | FaultKind::Freeze { eighths } => {
            (number * 5) % 8 < usize::from(eighths)
        }
    }
}
