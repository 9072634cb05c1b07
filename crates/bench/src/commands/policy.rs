//! `policy`: compares the goodput and the wasted prefill of the routing policy with those of simple
//! policies and of a bound.

use gumdrop::Options;
use teaselshunt_bench::{Deployment, Experiment, Outcome, Policy, Scenario, britasol, pindan};

use super::CommandError;
use super::plot::plot;

/// Loads of the curves in a report.
const LOADS: [f64; 8] = [0.3, 0.5, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5];

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "britasol or pindan", default = "britasol")]
    deployment: String,
    #[options(help = "load as a fraction of the maximum throughput of the engines", default = "0.9")]
    load: f64,
    #[options(help = "seed", default = "7")]
    seed: u64,
    #[options(help = "number of consecutive seeds; means are printed", default = "1")]
    seeds: u64,
    #[options(help = "fault during the run: kill, freeze, partition, outage, lag, drain or move")]
    fault: Option<String>,
    #[options(help = "print one line of JSON for each policy and seed")]
    json: bool,
    #[options(help = "write a plot of goodput and wasted prefill by load to this SVG file", meta = "FILE")]
    report: Option<String>,
}

pub(crate) fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let deployment = deployment_named(&arguments.deployment)?;
    let scenario = arguments.fault.as_deref().map(str::parse).transpose();
    let scenario: Option<Scenario> = scenario.map_err(CommandError::Usage)?;
    if !(0.01..=10.0).contains(&arguments.load) {
        return Err(CommandError::Usage(format!(
            "load {} is out of range; allowed: 0.01 to 10",
            arguments.load
        )));
    }
    let at = |load, seed| Experiment { deployment: deployment.clone(), load, seed, scenario };
    if let Some(file) = &arguments.report {
        let curves = Policy::ALL
            .map(|policy| (policy, LOADS.map(|load| at(load, arguments.seed).run(policy)).to_vec()));
        return plot(file, &arguments.deployment, &curves);
    }
    for policy in Policy::ALL {
        let seeds = arguments.seed..arguments.seed + arguments.seeds.max(1);
        let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
            let runs: Vec<_> = seeds
                .map(|seed| {
                    let e = at(arguments.load, seed);
                    scope.spawn(move || e.run(policy))
                })
                .collect();
            runs.into_iter().map(|r| r.join().expect("an experiment does not panic")).collect()
        });
        print(policy, &outcomes, arguments.json);
    }
    Ok(())
}

fn deployment_named(name: &str) -> Result<Deployment, CommandError> {
    match name {
        "britasol" => Ok(britasol()),
        "pindan" => Ok(pindan()),
        _ => Err(CommandError::Usage(format!("unknown deployment {name:?}; allowed: britasol, pindan"))),
    }
}

fn print(policy: Policy, outcomes: &[Outcome], json: bool) {
    if json {
        for outcome in outcomes {
            println!("{}", serde_json::to_string(outcome).expect("an outcome serializes to JSON"));
        }
        return;
    }
    let mean = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64;
    let refused: u64 = outcomes.iter().flat_map(|o| o.refusals.values()).sum();
    println!(
        "{:14} offered {:6.2}/s  goodput {:6.2}/s ({:6.2} from the first sending)  wasted {:5.2}%  refusals {:6}  resent {:6}  control {:5.1} msg/s \
         {:6.0} B/s per instance  violations {}",
        format!("{policy:?}"),
        mean(|o| o.offered),
        mean(|o| o.goodput),
        mean(|o| o.goodput_first),
        mean(|o| o.wasted) * 100.0,
        refused,
        outcomes.iter().map(|o| o.resent).sum::<u64>(),
        mean(|o| o.messages),
        mean(|o| o.bytes),
        outcomes.iter().map(|o| o.violations).sum::<usize>(),
    );
    if let Some(outcome) = outcomes.first() {
        for c in &outcome.classes {
            println!(
                "    {:12} offered {:5} good {:5}  first token p50/p95/p99 {:?} ms  gap {:.1?} ms",
                c.class, c.offered, c.good, c.first_ms, c.gap_ms
            );
        }
        if let Some(recovery) = outcome.recovery {
            println!("    back at 95% after {recovery} s");
        }
    }
}
