//! `rates`: tests the rates that endpoints advertise with random plans, for each kind of pacing.

use std::sync::Mutex;

use gumdrop::Options;
use quickcheck::{Arbitrary, Gen};
use teaselshunt_bench::{RateOutcome, RatePlan};
use teaselshunt_routing::Pacing;

use super::{CommandError, for_seeds};

/// Size parameter of the generator; plans limit their own size.
const SIZE: usize = 100;

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first seed", default = "1")]
    seed: u64,
    #[options(help = "number of plans", default = "1000")]
    cases: u64,
    #[options(help = "number of threads", default = "4")]
    threads: u64,
    #[options(
        help = "number of instances in four failure domains without faults, instead of the plan's instances and faults"
    )]
    instances: Option<u16>,
    #[options(help = "number of endpoints, instead of the plan's")]
    endpoints: Option<u8>,
    #[options(help = "advertised rate in tenths of a request a second, instead of the plan's")]
    rate: Option<u16>,
    #[options(help = "requested rate in tenths of the capacity of all endpoints, instead of the plan's")]
    demand: Option<u8>,
    #[options(
        help = "number of plans to print: those with the fullest windows with the pacing of the router",
        default = "3"
    )]
    worst: usize,
}

/// Seed, plan, and its outcome with each pacing.
type Row = (u64, RatePlan, [RateOutcome; 3]);

const PACINGS: [Pacing; 3] = [Pacing::Parts, Pacing::Level, Pacing::Proportional];
/// Index of the pacing of the router.
const DEFAULT_PACING: usize = 2;

pub(crate) fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let rows = Mutex::new(Vec::<Row>::new());
    for_seeds(arguments.seed, arguments.cases, arguments.threads, |seed| {
        let plan = plan(arguments, seed);
        let outcomes = PACINGS.map(|pacing| plan.run(pacing));
        rows.lock().expect("no thread panics with the lock").push((seed, plan, outcomes));
    });
    let mut rows = rows.into_inner().expect("no thread panics with the lock");
    rows.sort_by(|a, b| b.2[DEFAULT_PACING].max_window_fill.total_cmp(&a.2[DEFAULT_PACING].max_window_fill));
    println!("way           plans   over  fullest window  used above  refused below  entries/s a peer");
    for (index, pacing) in PACINGS.iter().enumerate() {
        print_row(*pacing, &rows, index);
    }
    for (seed, plan, outcomes) in rows.iter().take(arguments.worst) {
        println!(
            "seed {seed}: fullest {:.3}: {}",
            outcomes[DEFAULT_PACING].max_window_fill,
            serde_json::json!(plan)
        );
    }
    let over = rows.iter().filter(|row| row.2[DEFAULT_PACING].exceeds_bound()).count();
    if over == 0 { Ok(()) } else { Err(CommandError::Violations(over)) }
}

fn plan(arguments: &Arguments, seed: u64) -> RatePlan {
    let mut plan = RatePlan::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed));
    if let Some(instances) = arguments.instances {
        plan.domains = (0..4).map(|domain| (instances + domain) / 4).collect();
        plan.faults.clear();
    }
    plan.endpoints = arguments.endpoints.unwrap_or(plan.endpoints);
    plan.rate = arguments.rate.unwrap_or(plan.rate);
    plan.demand = arguments.demand.unwrap_or(plan.demand);
    plan
}

/// Prints the row of a pacing. The used capacity is that of plans whose callers request more than the
/// capacity, and the refused fraction that of plans whose callers request less; both without faults.
fn print_row(pacing: Pacing, rows: &[Row], index: usize) {
    let outcomes = || rows.iter().map(|row| (&row.1, &row.2[index]));
    let over = outcomes().filter(|(_, outcome)| outcome.exceeds_bound()).count();
    let max_window_fill = outcomes().map(|(_, outcome)| outcome.max_window_fill).fold(0.0, f64::max);
    let without_faults = || outcomes().filter(|(plan, _)| plan.faults.is_empty() && plan.rate > 0);
    let above = without_faults().filter(|(plan, _)| plan.demand > 10);
    let (sent, capacity) = above.fold((0.0, 0.0), |(s, t), (_, o)| (s + o.sent, t + o.capacity));
    let below = without_faults().filter(|(plan, _)| plan.demand < 10);
    let (served, offered) = below.fold((0.0, 0.0), |(s, a), (_, o)| (s + o.sent, a + o.offered));
    let entries: f64 = outcomes().map(|(_, outcome)| outcome.entries).sum::<f64>() / rows.len().max(1) as f64;
    let (plans, utilization, refused) =
        (rows.len(), sent / f64::max(capacity, 1.0), 1.0 - served / f64::max(offered, 1.0));
    let label = format!("{pacing:?}");
    println!(
        "{label:13} {plans:5} {over:6} {max_window_fill:15.3} {utilization:11.3} {refused:14.4} {entries:17.2}"
    );
}
