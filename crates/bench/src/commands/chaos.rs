//! `chaos`: runs random fault plans against the decision core.

use std::sync::atomic::{AtomicU64, Ordering};

use gumdrop::Options;
use quickcheck::{Arbitrary, Gen};
use teaselshunt_bench::Plan;

use super::{CommandError, for_seeds};

/// Size parameter of the generator; plans limit their own size.
const SIZE: usize = 100;

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first seed", default = "1")]
    seed: u64,
    #[options(help = "number of plans", default = "100")]
    cases: u64,
    #[options(help = "number of threads", default = "4")]
    threads: u64,
}

/// Totals over all plans.
#[derive(Debug, Default)]
struct Totals {
    steps: AtomicU64,
    sim_events: AtomicU64,
    runs_kept: AtomicU64,
    runs_replaced: AtomicU64,
    violations: AtomicU64,
}

pub(crate) fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let totals = Totals::default();
    for_seeds(arguments.seed, arguments.cases, arguments.threads, |seed| run_seed(seed, &totals));
    let violations = totals.violations.load(Ordering::Relaxed);
    println!(
        "{} plans, {} events taken in by instances, {} happenings, {} silent streams went on during a search, {} were \
         taken over, {violations} plans with violations",
        arguments.cases,
        totals.steps.load(Ordering::Relaxed),
        totals.sim_events.load(Ordering::Relaxed),
        totals.runs_kept.load(Ordering::Relaxed),
        totals.runs_replaced.load(Ordering::Relaxed),
    );
    if violations == 0 { Ok(()) } else { Err(CommandError::Violations(violations as usize)) }
}

fn run_seed(seed: u64, totals: &Totals) {
    let mut generator = Gen::from_size_and_seed(SIZE, seed);
    let plan = Plan::arbitrary(&mut generator);
    let tally = plan.run();
    totals.steps.fetch_add(tally.steps, Ordering::Relaxed);
    totals.sim_events.fetch_add(tally.sim_events, Ordering::Relaxed);
    totals.runs_kept.fetch_add(tally.runs_kept, Ordering::Relaxed);
    totals.runs_replaced.fetch_add(tally.runs_replaced, Ordering::Relaxed);
    if tally.violations.is_empty() {
        return;
    }
    totals.violations.fetch_add(1, Ordering::Relaxed);
    let shrunk = shrink(plan);
    println!("seed {seed}: {shrunk:?}");
    for violation in shrunk.run().violations.iter().take(12) {
        println!("  {violation}");
    }
}

/// Removes faults from a plan for as long as the run still has violations.
fn shrink(mut plan: Plan) -> Plan {
    while let Some(shorter) = plan.shrink().find(|p| !p.run().violations.is_empty()) {
        plan = shorter;
    }
    plan
}
