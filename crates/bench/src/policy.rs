//! Experiments with the routing policy: one load, several policies, the same callers.

use std::time::Duration;

use serde::Serialize;
use teaselshunt_core::Placement;

use crate::world::{Deployment, EngineSpeed, Fault, Load, Options, Side, Tally, World};

/// Callers start after the instances have found each other, and go on until then.
const FROM: Duration = Duration::from_secs(5);
const UNTIL: Duration = Duration::from_secs(65);
/// When a fault begins and ends.
const FAULT_FROM: Duration = Duration::from_secs(25);
const FAULT_UNTIL: Duration = Duration::from_secs(35);
/// Answers that were begun are waited for.
const END: Duration = Duration::from_secs(125);
/// Mean prompt and output of a long request, as the callers draw them.
const LONG: (f64, f64) = (1_902.0, 150.0);
/// Mean prompt and output of a quick request.
const QUICK: (f64, f64) = (230.0, 50.0);

/// A way to route, ours or one to measure it against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The router's own.
    Ours,
    /// Each instance for itself, by two choices: the router's first version.
    TwoChoices,
    /// Any endpoint.
    Random,
    /// Endpoints in turn.
    RoundRobin,
    /// The least loaded by reports.
    LeastReported,
    /// One instance that takes every request and knows every slot: a bound, not a router.
    Omniscient,
}

impl Policy {
    /// All of them, ours first.
    pub const ALL: [Self; 6] =
        [Self::Ours, Self::TwoChoices, Self::Random, Self::RoundRobin, Self::LeastReported, Self::Omniscient];

    fn placement(self) -> Placement {
        match self {
            Self::Ours | Self::Omniscient => Placement::Owner,
            Self::TwoChoices => Placement::TwoChoices,
            Self::Random => Placement::Random,
            Self::RoundRobin => Placement::RoundRobin,
            Self::LeastReported => Placement::LeastReported,
        }
    }
}

/// What goes wrong in the middle of an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// An instance is killed and comes back.
    Kill,
    /// An instance stands still.
    Freeze,
    /// A failure domain is cut off from the others.
    Partition,
    /// The platform is down.
    Outage,
    /// Load reports are three seconds old throughout.
    Lag,
    /// A decode endpoint is drained and comes back.
    Drain,
    /// The work moves from the first site to the second in three patches.
    Move,
}

impl std::str::FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "kill" => Ok(Self::Kill),
            "freeze" => Ok(Self::Freeze),
            "partition" => Ok(Self::Partition),
            "outage" => Ok(Self::Outage),
            "lag" => Ok(Self::Lag),
            "drain" => Ok(Self::Drain),
            "move" => Ok(Self::Move),
            _ => Err(format!("{text:?}; allowed: kill, freeze, partition, outage, lag, drain, move")),
        }
    }
}

/// One experiment.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Whose fleet.
    pub deployment: Deployment,
    /// Share of what the engines can do at best.
    pub load: f64,
    /// Seed of everything random.
    pub seed: u64,
    /// What goes wrong.
    pub scenario: Option<Scenario>,
}

/// What came of it under one policy.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// The policy.
    pub policy: Policy,
    /// Load, as asked for.
    pub load: f64,
    /// Requests offered a second.
    pub offered: f64,
    /// Answers a second within both targets, counted from the sending that was answered.
    pub goodput: f64,
    /// The same, counted from the caller's first sending.
    pub goodput_first: f64,
    /// Share of prefilled tokens that no answer used.
    pub wasted: f64,
    /// Refusals by code.
    pub refusals: std::collections::BTreeMap<&'static str, u64>,
    /// Requests sent again by callers.
    pub resent: u64,
    /// Messages between instances, a second and instance.
    pub messages: f64,
    /// Their bytes, a second and instance.
    pub bytes: f64,
    /// By class.
    pub classes: Vec<ClassOutcome>,
    /// Seconds after the end of the trouble until goodput is back at 95% of what it was before.
    pub recovery: Option<u64>,
    /// What must never be seen.
    pub violations: usize,
}

/// Latencies of one class.
#[derive(Debug, Clone, Serialize)]
pub struct ClassOutcome {
    /// Class.
    pub class: String,
    /// Requests offered.
    pub offered: u64,
    /// Whole answers within both targets.
    pub good: u64,
    /// First token in milliseconds: p50, p95, p99.
    pub first_ms: [u64; 3],
    /// Mean gap between tokens in milliseconds: p50, p95, p99.
    pub gap_ms: [f64; 3],
}

impl Experiment {
    /// Runs the experiment under one policy.
    pub fn run(&self, policy: Policy) -> Outcome {
        let mut deployment = self.deployment.clone();
        let mut options = Options { seed: self.seed, placement: policy.placement(), ..Options::default() };
        if policy == Policy::Omniscient {
            deployment.instances.truncate(1);
        }
        if self.scenario == Some(Scenario::Lag) {
            options.report_lag = Duration::from_secs(3);
        }
        let load = self.rates(&options.speed);
        let mut world = World::new(deployment, options);
        world.schedule_load(load);
        if policy != Policy::Omniscient {
            self.schedule_scenario(&mut world);
        }
        world.run_until(END);
        self.outcome(policy, world.tally())
    }

    /// Rates at which the scarcer side of each pool is used to the load.
    fn rates(&self, speed: &EngineSpeed) -> Load {
        let endpoints = &self.deployment.configuration.endpoints;
        let rate = |pool: &str, (prompt, output): (f64, f64)| {
            let count = |role| endpoints.iter().filter(|e| e.pool == pool && e.role == role).count() as f64;
            let slots =
                endpoints.iter().find(|e| e.pool == pool && e.role == teaselshunt_settings::Role::Decode);
            let slots = slots.map_or(1, |e| e.slots);
            let step = speed.decode_step(slots).as_secs_f64();
            let decode = count(teaselshunt_settings::Role::Decode) * f64::from(slots) / step / output;
            let prefill = count(teaselshunt_settings::Role::Prefill) * speed.prefill_tokens_per_s / prompt;
            decode.min(prefill) * self.load
        };
        let pool = |model: &str| {
            let models = &self.deployment.configuration.models;
            models.iter().find(|m| m.name == model).map_or("", |m| m.pool.as_str())
        };
        Load {
            long: rate(pool(self.deployment.long_models[0]), LONG),
            quick: rate(pool(self.deployment.quick_model), QUICK),
            calls: 0.0,
            abandon_fraction: 0.0,
            from: FROM,
            until: UNTIL,
        }
    }

    fn schedule_scenario(&self, world: &mut World) {
        let mut put = |begin, end| {
            world.schedule(FAULT_FROM, begin);
            world.schedule(FAULT_UNTIL, end);
        };
        match self.scenario {
            None | Some(Scenario::Lag) => {}
            Some(Scenario::Kill) => put(Fault::Kill(1), Fault::Start(1)),
            Some(Scenario::Freeze) => put(Fault::Freeze(1), Fault::Thaw(1)),
            Some(Scenario::Outage) => put(Fault::Outage, Fault::OutageEnd),
            Some(Scenario::Drain) => {
                let endpoint = world.random_decode_endpoint();
                world.schedule(FAULT_FROM, Fault::Drain(endpoint));
                world.schedule(FAULT_UNTIL, Fault::Undrain(endpoint));
            }
            Some(Scenario::Partition) => {
                let domains = self.deployment.configuration.domains.len();
                for other in 1..domains {
                    put(
                        Fault::Cut(Side::Domain(0), Side::Domain(other)),
                        Fault::Mend(Side::Domain(0), Side::Domain(other)),
                    );
                }
            }
            Some(Scenario::Move) => {
                for (step, share) in [75, 50, 25].into_iter().enumerate() {
                    world.schedule(FAULT_FROM + Duration::from_secs(4) * step as u32, Fault::Share(share));
                }
            }
        }
    }

    fn outcome(&self, policy: Policy, tally: &Tally) -> Outcome {
        let seconds = UNTIL.saturating_sub(FROM).as_secs_f64();
        let each = seconds * self.deployment.instances.len() as f64;
        let classes = tally.classes.iter().map(|(class, c)| ClassOutcome {
            class: class.clone(),
            offered: c.offered,
            good: c.good,
            first_ms: [0.5, 0.95, 0.99].map(|q| c.first_token_ms.value_at_quantile(q)),
            gap_ms: [0.5, 0.95, 0.99].map(|q| c.token_gap_us.value_at_quantile(q) as f64 / 1000.0),
        });
        Outcome {
            policy,
            load: self.load,
            offered: tally.offered() as f64 / seconds,
            goodput: tally.good() as f64 / seconds,
            goodput_first: tally.good_first() as f64 / seconds,
            wasted: tally.wasted(),
            refusals: tally.refusals.clone(),
            resent: tally.resent,
            messages: tally.messages as f64 / each,
            bytes: tally.bytes as f64 / each,
            classes: classes.collect(),
            recovery: self.scenario.and_then(|_| recovery(tally)),
            violations: tally.violations.len(),
        }
    }
}

/// Seconds after the end of the trouble until three seconds' goodput is back at 95% of its mean before.
fn recovery(tally: &Tally) -> Option<u64> {
    let good = |second: u64| tally.good_by_second.get(&second).copied().unwrap_or(0) as f64;
    let mean = |from: u64, to: u64| (from..to).map(good).sum::<f64>() / (to - from) as f64;
    let before = mean(15, FAULT_FROM.as_secs());
    let end = FAULT_UNTIL.as_secs();
    (end..UNTIL.as_secs() - 3).find(|&s| mean(s, s + 3) >= 0.95 * before).map(|s| s - end)
}
