//! A randomized soak: real instances as processes, faults from outside, promises checked while it runs.
//!
//! Endpoints and the store are stand-ins in this process, so that what ran where is known at once; every connection of
//! an instance to them goes through a proxy that can harm it. Faults come in series and overlap, drawn from one seed.
//! A promise that is broken is printed with the seed, the plan so far and the log lines of the request, and the run
//! ends with exit code 1. Only processes that the soak started are signalled, by their ids.

mod callers;
mod faults;
mod proxy;
mod site;

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
    #[options(help = "leave out promises with a time bound, as on a machine that others use")]
    timeless: bool,
    #[options(help = "also run every seed that ever failed (crates/soak/seeds.txt)")]
    regressions: bool,
}

/// Seeds that failed once, one a line, each with its cause after a comma.
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
            Err(story) => {
                failed += 1;
                println!("seed {seed}: BROKEN\n{story}");
            }
        }
    }
    println!("{} passed, {failed} failed", seeds.len() - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// One run; what was broken is told as a whole story.
async fn run(seed: u64, arguments: &Arguments) -> Result<String, String> {
    let site = Site::start(arguments.processes).await.map_err(|e| format!("the site does not start: {e}"))?;
    let callers = Callers::start(&site, seed, arguments.timeless);
    let mut plan = Plan::new(StdRng::seed_from_u64(seed));
    let end = tokio::time::Instant::now() + Duration::from_secs(arguments.seconds);
    let mut next = tokio::time::Instant::now() + Duration::from_secs(5);
    while tokio::time::Instant::now() < end {
        plan.step(&site).await;
        if let Some(broken) = callers.broken(&site) {
            return Err(story(seed, &plan, &broken, &site));
        }
        if tokio::time::Instant::now() >= next {
            next += Duration::from_secs(5);
            println!("seed {seed}: {} faults, {}", plan.count(), callers.summary());
        }
    }
    plan.heal(&site).await;
    if let Err(broken) = callers.recover(&site).await {
        return Err(story(seed, &plan, &broken, &site));
    }
    if let Err(broken) = callers.crash_again(&site, &mut plan).await {
        return Err(story(seed, &plan, &broken, &site));
    }
    if let Err(broken) = callers.keep_rates(&site).await {
        return Err(story(seed, &plan, &broken, &site));
    }
    Ok(format!("{} faults, {} engines crashed, {}", plan.count(), site.crashed(), callers.summary()))
}

fn story(seed: u64, plan: &Plan, broken: &callers::Broken, site: &Site) -> String {
    let lines = broken.request.as_deref().map(|id| site.logged(id)).unwrap_or_default();
    format!(
        "promise: {}\nseed: {seed}\nplan:\n{}\nlog lines of the request:\n{}\n",
        broken.promise,
        plan.text(),
        lines.join("\n")
    )
}
