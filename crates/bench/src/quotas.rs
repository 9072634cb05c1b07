//! Random plans against the limits of teams: instances in several failure domains, a team whose callers flood, and cuts,
//! kills, freezes, lost, doubled and late tellings meanwhile.
//!
//! A plan is judged from outside, by one account of everything that was admitted: no span of a window's length may hold
//! more than the limit and the tolerance, and a team that asks for less than its limit, while nothing is cut off, is refused
//! next to nothing.

use std::collections::VecDeque;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use teaselshunt_teams::{Limit, QuotaMode, Quotas, StartKind, TeamSpending, TeamTag, UpdateHeader};

const TEAM: TeamTag = TeamTag(1);
const LIMIT: Limit = Limit { rate: 10_000.0, burst: 10_000.0 };
/// A span of this length may hold what the limit allows in it, and besides [`OVER`] of it and [`SLACK`] units.
const WINDOW: Duration = Duration::from_secs(8);
const OVER: f64 = 0.25;
const SLACK: f64 = 4_000.0;
/// Step of virtual time.
const STEP: Duration = Duration::from_millis(20);
/// Pause between two tellings of an instance.
const BEAT: Duration = Duration::from_millis(100);
/// Pause between two looks for silent peers.
const TICK: Duration = Duration::from_millis(200);
/// Units of a request.
const COSTS: [u64; 4] = [10, 10, 200, 800];
/// Time that a started instance needs to read the configuration, before which it serves nobody.
const READING: Duration = Duration::from_millis(150);
/// Time before callers come, in which instances hear of one another.
const CALM: Duration = Duration::from_secs(2);

/// What happens to whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum FaultKind {
    /// One failure domain is cut off from the others.
    Cut {
        /// Its number.
        domain: u8,
    },
    /// Instances are killed and start again at the end.
    Kill {
        /// Of 8 instances so many.
        eighths: u8,
    },
    /// Machines stand still.
    Freeze {
        /// Of 8 instances so many.
        eighths: u8,
    },
}

/// A mishap and when it lasts, in milliseconds after the callers came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct TimedFault {
    /// What.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Its beginning.
    pub at: u32,
    /// How long it lasts.
    pub length: u32,
}

impl TimedFault {
    /// Up to three at random, in a deployment of so many failure domains.
    pub(crate) fn series(g: &mut Gen, domains: u8) -> Vec<Self> {
        let fault = |g: &mut Gen| {
            let eighths = u8::arbitrary(g) % 8 + 1;
            let kind = match u8::arbitrary(g) % 4 {
                0 | 1 => FaultKind::Cut { domain: u8::arbitrary(g) % domains },
                2 => FaultKind::Kill { eighths },
                _ => FaultKind::Freeze { eighths },
            };
            Self { kind, at: u32::arbitrary(g) % 12_000, length: 500 + u32::arbitrary(g) % 8_000 }
        };
        (0..u8::arbitrary(g) % 4).map(|_| fault(g)).collect()
    }
}

/// A random run.
#[derive(Debug, Clone, Serialize)]
pub struct QuotaPlan {
    /// From which everything else is drawn.
    pub seed: u64,
    /// Instances of each failure domain.
    pub domains: Vec<u8>,
    /// What the team asks, in tenths of its limit.
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
pub struct QuotaOutcome {
    /// Units that callers asked for.
    #[serde(rename = "asked")]
    pub offered: f64,
    /// Units that were admitted.
    pub admitted: f64,
    /// The fullest window, as a part of what limit and tolerance allow in it.
    #[serde(rename = "fullest")]
    pub max_window_fill: f64,
    /// Bytes that an instance sends to one peer in a second, about its spending alone.
    pub bytes: f64,
}

impl QuotaOutcome {
    /// Whether more was admitted in some window than limit and tolerance allow.
    pub fn exceeds_bound(&self) -> bool {
        self.max_window_fill > 1.0
    }
}

impl Arbitrary for QuotaPlan {
    fn arbitrary(g: &mut Gen) -> Self {
        let domains = (0..u8::arbitrary(g) % 3 + 2).map(|_| u8::arbitrary(g) % 8 + 1).collect::<Vec<_>>();
        let faults = TimedFault::series(g, domains.len() as u8);
        Self {
            seed: u64::arbitrary(g),
            demand: [5, 9, 20, 50, 90][usize::arbitrary(g) % 5],
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

struct Node {
    quotas: Quotas<usize>,
    domain: u8,
    life: u64,
    sequence: u64,
    /// Part of the callers that come to it.
    share: f64,
    /// What its callers have asked for and not yet sent.
    due: f64,
    next_beat: Duration,
    next_tick: Duration,
    down: bool,
    frozen: bool,
    /// From when on it takes callers.
    ready: Duration,
}

struct Telling {
    at: Duration,
    from: usize,
    to: usize,
    hearing: UpdateHeader,
    spent: Vec<TeamSpending>,
}

struct Run<'a> {
    plan: &'a QuotaPlan,
    way: QuotaMode,
    rng: SmallRng,
    now: Duration,
    nodes: Vec<Node>,
    on_way: Vec<Telling>,
    /// Admitted in the window so far, by step.
    window: VecDeque<(Duration, f64)>,
    outcome: QuotaOutcome,
    active: Vec<bool>,
}

/// When virtual time begins; the instances' machines have been up for a while.
const BEGIN: Duration = Duration::from_secs(1000);

impl QuotaPlan {
    /// Plays the plan with a way to keep limits.
    pub fn run(&self, way: QuotaMode) -> QuotaOutcome {
        const LENGTH: Duration = Duration::from_secs(20);
        let mut run = Run::new(self, way);
        while run.now < BEGIN + CALM + LENGTH {
            run.step();
        }
        let tellers = run.nodes.len() as f64;
        run.outcome.bytes /= (LENGTH + CALM).as_secs_f64() * tellers * (tellers - 1.0).max(1.0);
        run.outcome
    }
}

impl<'a> Run<'a> {
    fn new(plan: &'a QuotaPlan, way: QuotaMode) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let domains = plan.domains.len() as u32;
        let mut nodes = Vec::new();
        for (domain, &count) in plan.domains.iter().enumerate() {
            for _ in 0..count {
                let weight: f64 = rng.random_range(0.05..1.0);
                nodes.push(Node {
                    quotas: opened(BEGIN, way, StartKind::First, (domain as u32, domains)),
                    domain: domain as u8,
                    life: rng.random(),
                    sequence: 0,
                    share: weight.powi(i32::from(plan.skew) * 2),
                    due: 0.0,
                    next_beat: BEGIN + BEAT.mul_f64(rng.random_range(0.0..1.0)),
                    next_tick: BEGIN + TICK.mul_f64(rng.random_range(0.0..1.0)),
                    down: false,
                    frozen: false,
                    ready: BEGIN,
                });
            }
        }
        let all: f64 = nodes.iter().map(|node| node.share).sum();
        for node in &mut nodes {
            node.share /= all;
        }
        Self {
            plan,
            way,
            rng,
            now: BEGIN,
            nodes,
            on_way: Vec::new(),
            window: VecDeque::new(),
            outcome: QuotaOutcome::default(),
            active: vec![false; plan.faults.len()],
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.mishaps();
        self.deliver();
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if node.down || node.frozen {
                continue;
            }
            if self.now >= node.next_tick {
                node.next_tick = self.now + TICK;
                node.quotas.tick(self.now);
            }
            if self.now >= node.next_beat {
                node.next_beat = self.now + BEAT;
                self.tell(index);
            }
        }
        let admitted = self.callers();
        self.judge(admitted);
    }

    /// Begins and ends what goes wrong.
    fn mishaps(&mut self) {
        let plan = self.plan;
        for (index, fault) in plan.faults.iter().enumerate() {
            let begin = BEGIN + CALM + Duration::from_millis(u64::from(fault.at));
            let end = begin + Duration::from_millis(u64::from(fault.length));
            let active = self.now >= begin && self.now < end;
            if std::mem::replace(&mut self.active[index], active) != active {
                self.change(fault.kind, active);
            }
        }
    }

    fn change(&mut self, kind: FaultKind, begins: bool) {
        let hit = |index: usize, eighths: u8| (index * 5) % 8 < usize::from(eighths);
        for index in 0..self.nodes.len() {
            match kind {
                FaultKind::Freeze { eighths } if hit(index, eighths) => self.nodes[index].frozen = begins,
                FaultKind::Kill { eighths } if hit(index, eighths) => {
                    self.nodes[index].down = begins;
                    if !begins {
                        self.restart(index);
                    }
                }
                // Cuts are looked up when something is sent.
                FaultKind::Cut { .. } | FaultKind::Kill { .. } | FaultKind::Freeze { .. } => {}
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let domains = self.plan.domains.len() as u32;
        let life = self.rng.random();
        let node = &mut self.nodes[index];
        node.quotas = opened(self.now, self.way, StartKind::Subsequent, (u32::from(node.domain), domains));
        node.life = life;
        node.sequence = 0;
        node.ready = self.now + READING;
    }

    fn is_cut(&self, a: u8, b: u8) -> bool {
        let cuts = self.plan.faults.iter().zip(&self.active).filter(|(_, active)| **active);
        cuts.into_iter().any(|(fault, _)| match fault.kind {
            FaultKind::Cut { domain } => (a == domain) != (b == domain),
            FaultKind::Kill { .. } | FaultKind::Freeze { .. } => false,
        })
    }

    fn tell(&mut self, from: usize) {
        /// Bytes of one team's spending: tag, three numbers of some millions.
        const ENTRY: usize = 17;
        let node = &mut self.nodes[from];
        node.sequence += 1;
        let (life, sequence, domain) = (node.life, node.sequence, node.domain);
        let instances = node.quotas.known_instances();
        let spent = node.quotas.team_spending(self.now);
        for to in 0..self.nodes.len() {
            if to == from {
                continue;
            }
            self.outcome.bytes += (spent.len() * ENTRY) as f64;
            if self.is_cut(domain, self.nodes[to].domain)
                || self.rng.random_range(0..100) < u32::from(self.plan.loss)
            {
                continue;
            }
            let hearing = UpdateHeader {
                incarnation: life,
                sequence,
                domain: u32::from(domain),
                draining: false,
                known_instances: instances,
            };
            // One in twenty comes twice, and one in twenty late.
            let copies = if self.rng.random_bool(0.05) { 2 } else { 1 };
            for _ in 0..copies {
                let delay = if self.rng.random_bool(0.05) { 300 } else { 2 };
                let at = self.now + Duration::from_millis(delay);
                self.on_way.push(Telling { at, from, to, hearing, spent: spent.clone() });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let nodes = &mut self.nodes;
        self.on_way.retain(|telling| {
            let node = &mut nodes[telling.to];
            if telling.at > now || node.frozen {
                return !node.down;
            }
            if !node.down && node.quotas.receive_update(now, telling.from, telling.hearing) {
                node.quotas.merge_spending(now, telling.from, telling.spent.iter().copied());
            }
            false
        });
    }

    /// Callers ask; units that were admitted.
    fn callers(&mut self) -> f64 {
        if self.now < BEGIN + CALM {
            return 0.0;
        }
        let demand = LIMIT.rate * f64::from(self.plan.demand) / 10.0 * STEP.as_secs_f64();
        let mut admitted = 0.0;
        for node in &mut self.nodes {
            node.due += demand * node.share;
            if node.down || node.frozen || self.now < node.ready {
                node.due = 0.0;
            }
            while node.due > 0.0 {
                let cost = COSTS[self.rng.random_range(0..COSTS.len())];
                node.due -= cost as f64;
                self.outcome.offered += cost as f64;
                if node.quotas.admit(self.now, TEAM, cost).is_ok() {
                    admitted += cost as f64;
                }
            }
        }
        admitted
    }

    fn judge(&mut self, admitted: f64) {
        self.outcome.admitted += admitted;
        self.window.push_back((self.now, admitted));
        while self.window.front().is_some_and(|(at, _)| *at + WINDOW < self.now) {
            self.window.pop_front();
        }
        let units: f64 = self.window.iter().map(|(_, units)| units).sum();
        let limit = LIMIT.rate * WINDOW.as_secs_f64() + LIMIT.burst;
        let allowed = limit * (1.0 + OVER) + SLACK;
        self.outcome.max_window_fill = self.outcome.max_window_fill.max(units / allowed);
    }
}

fn opened(now: Duration, way: QuotaMode, start: StartKind, domains: (u32, u32)) -> Quotas<usize> {
    let mut quotas = Quotas::new(now, way, start, domains);
    quotas.set_limits(now, [(TEAM, LIMIT)]);
    quotas
}
