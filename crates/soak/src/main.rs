//! A randomized soak: real instances as processes, injected faults, and guarantees that are checked during the run.
//!
//! Endpoints and the store are stand-ins in this process, so that the soak knows at once which request ran where. Every
//! connection of an instance to a stand-in goes through a proxy that can impair it. The faults come in series, overlap,
//! and are drawn from one seed. A violation of a guarantee ends the run of its seed. The soak prints the violation with
//! the seed, the plan so far and the log lines of the request, and later exits with code 1. The soak signals only
//! processes that it started, by their ids.

mod callers;
mod faults;
mod proxy;
mod site;
mod statements;

use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::callers::Callers;
use crate::faults::Plan;
use crate::site::Site;

#[derive(Debug, Options)]
struct Arguments {
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
    timeless: bool,
    #[options(help = "also run every seed that has failed before (crates/soak/seeds.txt)")]
    regressions: bool,
}

/// Seeds that have failed before, one a line, each with its cause after a comma.
const SEEDS: &str = include_str!("../seeds.txt");

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let mut seeds: Vec<u64> = (arguments.seed..arguments.seed + arguments.runs).collect();
    if arguments.regressions {
        seeds.extend(SEEDS.lines().filter_map(|line| line.split(',').next()?.trim().parse::<u64>().ok()));
    }
    let mut failed = 0;
    for seed in &seeds {
        match run(*seed, &arguments).await {
            Ok(summary) => println!("seed {seed}: held; {summary}"),
            Err(report) => {
                failed += 1;
                println!("seed {seed}: BROKEN\n{report}");
            }
        }
    }
    println!("{} passed, {failed} failed", seeds.len() - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs one seed. The error is the report of a violation.
async fn run(seed: u64, arguments: &Arguments) -> Result<String, String> {
    let site = Site::start(arguments.processes).await.map_err(|e| format!("the site does not start: {e}"))?;
    let callers = Callers::start(&site, seed, arguments.timeless);
    let mut plan = Plan::new(StdRng::seed_from_u64(seed));
    let end = tokio::time::Instant::now() + Duration::from_secs(arguments.seconds);
    let mut next_summary = tokio::time::Instant::now() + Duration::from_secs(5);
    while tokio::time::Instant::now() < end {
        plan.step(&site).await;
        if let Some(violation) = callers.violation(&site) {
            return Err(failure_report(seed, &plan, &violation, &site));
        }
        if tokio::time::Instant::now() >= next_summary {
            next_summary += Duration::from_secs(5);
            println!("seed {seed}: {} faults, {}", plan.count(), callers.summary());
        }
    }
    plan.heal(&site).await;
    if let Err(violation) = callers.verify_recovery(&site, &mut plan).await {
        return Err(failure_report(seed, &plan, &violation, &site));
    }
    if let Err(violation) = callers.verify_quarantine(&site, &mut plan).await {
        return Err(failure_report(seed, &plan, &violation, &site));
    }
    if let Err(violation) = callers.verify_fairness(&site, &mut plan).await {
        return Err(failure_report(seed, &plan, &violation, &site));
    }
    if let Err(violation) = callers.verify_links(&site, &mut plan).await {
        return Err(failure_report(seed, &plan, &violation, &site));
    }
    if let Err(violation) = callers.verify_rates(&site).await {
        return Err(failure_report(seed, &plan, &violation, &site));
    }
    if let Err(violation) = callers.verify_versions(&site).await {
        return Err(failure_report(seed, &plan, &violation, &site));
    }
    if let Err(violation) = callers.verify_lives(&site).await {
        return Err(failure_report(seed, &plan, &violation, &site));
    }
    Ok(format!("{} faults, {} engines crashed, {}", plan.count(), site.crash_count(), callers.summary()))
}

fn failure_report(seed: u64, plan: &Plan, violation: &callers::Violation, site: &Site) -> String {
    let lines = violation.request_id.as_deref().map(|id| site.log_lines(id)).unwrap_or_default();
    format!(
        "promise: {}\nseed: {seed}\nplan:\n{}\nlog lines of the request:\n{}\n",
        violation.message,
        plan.text(),
        lines.join("\n")
    )
}
