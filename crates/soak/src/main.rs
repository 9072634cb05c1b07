//! A randomized soak: real instances as processes, injected faults, and guarantees that are checked during the run.
//!
//! Endpoints and the store are stand-ins in this process, so that the soak knows at once which request ran where. Every
//! connection of an instance to a stand-in goes through a proxy that can impair it. The faults come in series, overlap,
//! and are drawn from one seed. A violation of a guarantee ends the run of its seed, except
//! for responses that were not delivered, which are counted until its end. The soak prints the violation with the
//! seed, the plan so far and the log lines of the request, and later exits with code 1. The soak signals only
//! processes that it started, by their ids.

mod callers;
mod faults;
mod proxy;
mod site;
mod statements;

use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use gumdrop::Options;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::callers::{Callers, Violation};
use crate::faults::Plan;
use crate::site::Site;

/// Faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Faults {
    /// Every kind.
    #[default]
    All,
    /// Pauses of endpoints, versions, signals and kills: nothing that breaks a response but a kill.
    Pauses,
}

impl FromStr for Faults {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "all" => Ok(Self::All),
            "pauses" => Ok(Self::Pauses),
            other => Err(format!("unknown faults {other:?}: expected all or pauses")),
        }
    }
}

#[derive(Debug, Clone, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first seed", default = "1")]
    seed: u64,
    #[options(help = "number of seeds", default = "1")]
    runs: u64,
    #[options(help = "seconds of faults in each run", default = "15")]
    seconds: u64,
    #[options(help = "instances, each a process", default = "4")]
    processes: usize,
    #[options(help = "skip guarantees with a time bound, for a machine with other load")]
    pub(crate) timeless: bool,
    #[options(help = "all, or pauses: only those, beside versions, signals and kills", default = "all")]
    pub(crate) faults: Faults,
    #[options(help = "also run every seed that has failed before (crates/soak/seeds.txt)")]
    regressions: bool,
}

/// Time that a new connection takes an endpoint beside pauses alone: connections that many instances open again and again take all its time, as they
/// do at endpoints that accept in their main loop.
const ACCEPT_TIME: Duration = Duration::from_millis(20);
/// Time that a step of a plan takes only if this machine keeps the soak from running.
const LONG_STEP: Duration = Duration::from_secs(5);
/// Seeds that have failed before, one a line, each with its cause after a comma. The seed of a run with pauses alone is followed by that word, and by
/// its number of instances where that is not the usual one.
const SEEDS: &str = include_str!("../seeds.txt");

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let seeds = arguments.seed..arguments.seed + arguments.runs;
    let mut runs: Vec<Arguments> = seeds.map(|seed| Arguments { seed, ..arguments.clone() }).collect();
    if arguments.regressions {
        let earlier = SEEDS.lines().filter_map(|line| earlier_run(line, &arguments));
        // Runs of many instances take much memory, and are played by hand.
        runs.extend(earlier.filter(|run| run.processes <= arguments.processes));
    }
    let mut failed = 0;
    for run_arguments in &runs {
        let seed = run_arguments.seed;
        match run(seed, run_arguments).await {
            Ok(summary) => println!("seed {seed}: held; {summary}"),
            Err(report) => {
                failed += 1;
                println!("seed {seed}: BROKEN\n{report}");
            }
        }
    }
    println!("{} passed, {failed} failed", runs.len() - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The run of a line of [`SEEDS`].
fn earlier_run(line: &str, arguments: &Arguments) -> Option<Arguments> {
    let mut words = line.split(',').next()?.split_whitespace();
    let seed = words.next()?.parse().ok()?;
    let faults = words.next().and_then(|word| word.parse().ok()).unwrap_or_default();
    let processes = words.next().and_then(|word| word.parse().ok()).unwrap_or(arguments.processes);
    Some(Arguments { seed, processes, faults, ..arguments.clone() })
}

/// Runs one seed. The error is the report of violations.
async fn run(seed: u64, arguments: &Arguments) -> Result<String, String> {
    let accept_time = if arguments.faults == Faults::Pauses { ACCEPT_TIME } else { Duration::ZERO };
    let site = Site::start(arguments.processes, accept_time)
        .await
        .map_err(|e| format!("the site does not start: {e}"))?;
    let callers = Callers::start(&site, seed, arguments);
    let mut plan = Plan::new(StdRng::seed_from_u64(seed));
    let violation = check(seed, arguments, &site, &callers, &mut plan).await.err();
    let violations: Vec<Violation> = violation.into_iter().chain(callers.silenced()).collect();
    if violations.is_empty() {
        let (faults, crashes) = (plan.count(), site.crash_count());
        return Ok(format!("{faults} faults, {crashes} engines crashed, {}", callers.summary()));
    }
    let reports = violations.iter().map(|violation| failure_report(violation, &site));
    Err(format!(
        "{}seed: {seed}\n{}\nplan:\n{}\n",
        reports.collect::<String>(),
        callers.summary(),
        plan.text()
    ))
}

/// Plays the faults of a seed, and checks guarantees during and after them.
async fn check(
    seed: u64,
    arguments: &Arguments,
    site: &Site,
    callers: &Callers,
    plan: &mut Plan,
) -> Result<(), Violation> {
    let end = tokio::time::Instant::now() + Duration::from_secs(arguments.seconds);
    let mut next_summary = tokio::time::Instant::now() + Duration::from_secs(5);
    while tokio::time::Instant::now() < end {
        let begun = tokio::time::Instant::now();
        match arguments.faults {
            Faults::All => plan.step(site).await,
            Faults::Pauses => plan.step_with_pauses(site).await,
        }
        callers.violation(site).map_or(Ok(()), Err)?;
        if begun.elapsed() > LONG_STEP {
            // Instances that have ended are started again by the next step only.
            println!(
                "seed {seed}: a step took {:.1?}; its last fault: {}",
                begun.elapsed(),
                plan.last_fault()
            );
        }
        if tokio::time::Instant::now() >= next_summary {
            next_summary += Duration::from_secs(5);
            println!("seed {seed}: {} faults, {}", plan.count(), callers.summary());
        }
    }
    plan.heal(site).await;
    if arguments.faults == Faults::Pauses {
        return callers.verify_calm(site).await;
    }
    callers.verify_recovery(site, plan).await?;
    callers.verify_calm(site).await?;
    callers.verify_quarantine(site, plan).await?;
    callers.verify_fairness(site, plan).await?;
    callers.verify_links(site, plan).await?;
    callers.verify_rates(site).await?;
    callers.verify_versions(site).await?;
    callers.verify_lives(site).await
}

fn failure_report(violation: &Violation, site: &Site) -> String {
    let lines = violation.request_id.as_deref().map(|id| site.log_lines(id)).unwrap_or_default();
    format!("promise: {}\nlog lines of the request:\n{}\n", violation.message, lines.join("\n"))
}
