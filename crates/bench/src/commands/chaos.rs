//! `chaos`: long random runs of the decision core under faults.

use std::sync::atomic::{AtomicU64, Ordering};

use gumdrop::Options;
use quickcheck::{Arbitrary, Gen};
use teaselshunt_bench::Plan;

use super::{CommandError, for_seeds};

/// Size given to the generator; plans bound themselves.
const SIZE: usize = 100;

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first seed", default = "1")]
    seed: u64,
    #[options(help = "number of plans", default = "100")]
    cases: u64,
    #[options(help = "threads", default = "4")]
    threads: u64,
}

#[derive(Debug, Default)]
struct Sums {
    steps: AtomicU64,
    sim_events: AtomicU64,
    violations: AtomicU64,
}

pub(crate) fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let sums = Sums::default();
    for_seeds(arguments.seed, arguments.cases, arguments.threads, |seed| one(seed, &sums));
    let violations = sums.violations.load(Ordering::Relaxed);
    println!(
        "{} plans, {} events taken in by instances, {} happenings, {violations} plans with violations",
        arguments.cases,
        sums.steps.load(Ordering::Relaxed),
        sums.sim_events.load(Ordering::Relaxed),
    );
    if violations == 0 { Ok(()) } else { Err(CommandError::Violations(violations as usize)) }
}

fn one(seed: u64, sums: &Sums) {
    let mut gen_ = Gen::from_size_and_seed(SIZE, seed);
    let plan = Plan::arbitrary(&mut gen_);
    let tally = plan.run();
    sums.steps.fetch_add(tally.steps, Ordering::Relaxed);
    sums.sim_events.fetch_add(tally.sim_events, Ordering::Relaxed);
    if tally.violations.is_empty() {
        return;
    }
    sums.violations.fetch_add(1, Ordering::Relaxed);
    let shrunk = shrink(plan);
    println!("seed {seed}: {shrunk:?}");
    for violation in shrunk.run().violations.iter().take(12) {
        println!("  {violation}");
    }
}

/// The shortest plan that is found to still violate something.
fn shrink(mut plan: Plan) -> Plan {
    while let Some(shorter) = plan.shrink().find(|p| !p.run().violations.is_empty()) {
        plan = shorter;
    }
    plan
}
