//! `quotas`: tests the limits of teams with random plans, in each quota mode.

use std::sync::Mutex;

use gumdrop::Options;
use quickcheck::{Arbitrary, Gen};
use teaselshunt_bench::{QuotaOutcome, QuotaPlan};
use teaselshunt_teams::QuotaMode;

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
        help = "number of plans to print: those with the fullest windows in the mode of the router",
        default = "3"
    )]
    worst: usize,
}

/// Seed, plan, and its outcome in each mode.
type Row = (u64, QuotaPlan, [QuotaOutcome; 2]);

/// All quota modes; the last one is the mode of the router.
const MODES: [QuotaMode; 2] = [QuotaMode::Parts, QuotaMode::Shared];

pub(crate) fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let rows = Mutex::new(Vec::<Row>::new());
    for_seeds(arguments.seed, arguments.cases, arguments.threads, |seed| {
        let plan = QuotaPlan::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed));
        let outcomes = MODES.map(|mode| plan.run(mode));
        rows.lock().expect("no thread panics with the lock").push((seed, plan, outcomes));
    });
    let mut rows = rows.into_inner().expect("no thread panics with the lock");
    rows.sort_by(|a, b| b.2[1].max_window_fill.total_cmp(&a.2[1].max_window_fill));
    println!("way     plans  over the bound  fullest window  asked below limit and refused  bytes/s a peer");
    for (index, mode) in MODES.iter().enumerate() {
        print_row(*mode, &rows, index);
    }
    for (seed, plan, outcomes) in rows.iter().take(arguments.worst) {
        println!("seed {seed}: fullest {:.3}: {}", outcomes[1].max_window_fill, serde_json::json!(plan));
    }
    let over = rows.iter().filter(|row| row.2[1].exceeds_bound()).count();
    if over == 0 { Ok(()) } else { Err(CommandError::Violations(over)) }
}

fn print_row(mode: QuotaMode, rows: &[Row], index: usize) {
    let outcomes = || rows.iter().map(|row| (&row.1, &row.2[index]));
    let over = outcomes().filter(|(_, outcome)| outcome.exceeds_bound()).count();
    let max_window_fill = outcomes().map(|(_, outcome)| outcome.max_window_fill).fold(0.0, f64::max);
    // Plans without faults whose team requests less than its limit.
    let below = outcomes().filter(|(plan, _)| plan.demand < 10 && plan.faults.is_empty());
    let (mut offered, mut refused) = (0.0, 0.0);
    for (_, outcome) in below {
        offered += outcome.offered;
        refused += outcome.offered - outcome.admitted;
    }
    let bytes: f64 = outcomes().map(|(_, outcome)| outcome.bytes).sum::<f64>() / rows.len().max(1) as f64;
    let (plans, refused_fraction) = (rows.len(), refused / f64::max(offered, 1.0));
    println!(
        "{:7} {plans:5} {over:15} {max_window_fill:15.3} {refused_fraction:30.4} {bytes:15.0}",
        format!("{mode:?}")
    );
}
