//! Experiments that compare routing policies under the same load and with the same callers.

use std::time::Duration;

use serde::Serialize;
use teaselshunt_core::Placement;

use crate::world::{Deployment, EngineSpeed, Fault, Load, Options, Side, Tally, World};

/// Start of the load. By then instances have received updates of each other.
const LOAD_START: Duration = Duration::from_secs(5);
/// End of the load.
const LOAD_END: Duration = Duration::from_secs(65);
/// Start of the fault.
const FAULT_START: Duration = Duration::from_secs(25);
/// End of the fault.
const FAULT_END: Duration = Duration::from_secs(35);
/// End of the run, after a wait for the responses that are in progress at the end of the load.
const RUN_END: Duration = Duration::from_secs(125);
/// Mean prompt tokens and output tokens of a long request, as the callers draw them.
const LONG_MEAN_TOKENS: (f64, f64) = (1_902.0, 150.0);
/// Mean prompt tokens and output tokens of a quick request.
const QUICK_MEAN_TOKENS: (f64, f64) = (230.0, 50.0);

/// A routing policy: the router's own one, or one for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The policy of the router.
    Ours,
    /// Each instance selects the less loaded of two random endpoints by itself.
    TwoChoices,
    /// A random endpoint.
    Random,
    /// Each endpoint in turn.
    RoundRobin,
    /// The least loaded endpoint by the last load reports.
    LeastReported,
    /// A single instance that receives every request and knows every slot: a bound for comparison and not a
    /// router.
    Omniscient,
}

impl Policy {
    /// All policies, the router's own first.
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

/// A fault or a change in the middle of an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// An instance is killed and started again.
    Kill,
    /// An instance is frozen.
    Freeze,
    /// A network partition between one failure domain and all others.
    Partition,
    /// The platform is down.
    Outage,
    /// Load reports are 3 s old during the whole run.
    Lag,
    /// A decode endpoint is drained, and active again at the end.
    Drain,
    /// The load moves from the first site to the second in three patches of the configuration.
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
            _ => Err(format!(
                "unknown fault {text:?}; allowed: kill, freeze, partition, outage, lag, drain, move"
            )),
        }
    }
}

/// One experiment.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Simulated deployment.
    pub deployment: Deployment,
    /// Load as a fraction of the maximum throughput of the engines.
    pub load: f64,
    /// Seed of all random draws.
    pub seed: u64,
    /// Fault or change in the middle of the run.
    pub scenario: Option<Scenario>,
}

/// Results of an experiment under one policy.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Policy.
    pub policy: Policy,
    /// Load of the experiment.
    pub load: f64,
    /// Requests a second.
    pub offered: f64,
    /// Responses a second within both targets, where the time to the first token starts at the submission
    /// that was answered.
    pub goodput: f64,
    /// Responses a second within both targets, where the time to the first token starts at the caller's first
    /// submission.
    pub goodput_first: f64,
    /// Fraction of the prefilled tokens that no response used.
    pub wasted: f64,
    /// Number of refusals by code.
    pub refusals: std::collections::BTreeMap<&'static str, u64>,
    /// Number of retries of callers.
    pub resent: u64,
    /// Messages that one instance sends to others in a second.
    pub messages: f64,
    /// Bytes of these messages.
    pub bytes: f64,
    /// Results by class.
    pub classes: Vec<ClassOutcome>,
    /// Seconds from the end of the fault until goodput has recovered to 95% of its value before the fault.
    pub recovery: Option<u64>,
    /// Number of violated invariants.
    pub violations: usize,
}

/// Results of one class.
#[derive(Debug, Clone, Serialize)]
pub struct ClassOutcome {
    /// Name of the class.
    pub class: String,
    /// Number of requests.
    pub offered: u64,
    /// Number of complete responses within both targets.
    pub good: u64,
    /// Time to the first token in milliseconds: p50, p95, p99.
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
        world.run_until(RUN_END);
        self.outcome(policy, world.tally())
    }

    /// Rates of requests that use the load's fraction of the bottleneck of each pool, prefill or decode.
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
            long: rate(pool(self.deployment.long_models[0]), LONG_MEAN_TOKENS),
            quick: rate(pool(self.deployment.quick_model), QUICK_MEAN_TOKENS),
            calls: 0.0,
            abandon_fraction: 0.0,
            from: LOAD_START,
            until: LOAD_END,
        }
    }

    fn schedule_scenario(&self, world: &mut World) {
        let mut schedule_pair = |begin, end| {
            world.schedule(FAULT_START, begin);
            world.schedule(FAULT_END, end);
        };
        match self.scenario {
            None | Some(Scenario::Lag) => {}
            Some(Scenario::Kill) => schedule_pair(Fault::Kill(1), Fault::Start(1)),
            Some(Scenario::Freeze) => schedule_pair(Fault::Freeze(1), Fault::Thaw(1)),
            Some(Scenario::Outage) => schedule_pair(Fault::Outage, Fault::OutageEnd),
            Some(Scenario::Drain) => {
                let endpoint = world.random_decode_endpoint();
                world.schedule(FAULT_START, Fault::Drain(endpoint));
                world.schedule(FAULT_END, Fault::Undrain(endpoint));
            }
            Some(Scenario::Partition) => {
                let domains = self.deployment.configuration.domains.len();
                for other in 1..domains {
                    schedule_pair(
                        Fault::Cut(Side::Domain(0), Side::Domain(other)),
                        Fault::Mend(Side::Domain(0), Side::Domain(other)),
                    );
                }
            }
            Some(Scenario::Move) => {
                for (step, share) in [75, 50, 25].into_iter().enumerate() {
                    world.schedule(FAULT_START + Duration::from_secs(4) * step as u32, Fault::Share(share));
                }
            }
        }
    }

    fn outcome(&self, policy: Policy, tally: &Tally) -> Outcome {
        let seconds = LOAD_END.saturating_sub(LOAD_START).as_secs_f64();
        let instance_seconds = seconds * self.deployment.instances.len() as f64;
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
            messages: tally.messages as f64 / instance_seconds,
            bytes: tally.bytes as f64 / instance_seconds,
            classes: classes.collect(),
            recovery: self.scenario.and_then(|_| recovery(tally)),
            violations: tally.violations.len(),
        }
    }
}

/// Seconds from the end of the fault until the mean goodput of 3 s has recovered to 95% of its mean before
/// the fault.
fn recovery(tally: &Tally) -> Option<u64> {
    let good = |second: u64| tally.good_by_second.get(&second).copied().unwrap_or(0) as f64;
    let mean = |from: u64, to: u64| (from..to).map(good).sum::<f64>() / (to - from) as f64;
    let before = mean(15, FAULT_START.as_secs());
    let end = FAULT_END.as_secs();
    (end..LOAD_END.as_secs() - 3).find(|&s| mean(s, s + 3) >= 0.95 * before).map(|s| s - end)
}
