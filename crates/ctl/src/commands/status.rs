//! `status`: prints the state that instances report, as text or as JSON.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use gumdrop::Options;
use teaselshunt_wire::status::{Status, TeamStatus};

use super::{Failure, get};

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "operators' addresses of instances, IP:PORT")]
    instances: Vec<SocketAddr>,
    #[options(help = "print JSON")]
    json: bool,
    #[options(help = "site that work moves away from: print what still delays the end of the move")]
    leaving: Option<String>,
}

pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    if arguments.instances.is_empty() {
        return Err(Failure::Usage("no instance was given".to_owned()));
    }
    let mut statuses = Vec::new();
    for &address in &arguments.instances {
        match query(address).await {
            Ok(status) => statuses.push(status),
            Err(failure) => eprintln!("{failure}"),
        }
    }
    if statuses.is_empty() {
        return Err(Failure::NoStatus);
    }
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&statuses).expect("status is JSON"));
        return Ok(());
    }
    for status in &statuses {
        print_instance(status);
    }
    print_sites(&statuses);
    print_teams(&statuses);
    if let Some(site) = &arguments.leaving {
        print_move(&statuses, site);
    }
    Ok(())
}

async fn query(address: SocketAddr) -> Result<Status, Failure> {
    let response = get(address, "/status").await?;
    response.json().await.map_err(|error| Failure::Unreachable { address, error })
}

fn print_instance(status: &Status) {
    let waiting: usize = status.waiting.values().sum();
    println!(
        "{} ({}): version {}, list {}, {} in progress, {waiting} waiting{}",
        status.instance,
        status.domain,
        status.version,
        status.revision,
        status.requests,
        if status.stopping { ", stopping" } else { "" }
    );
    let mut health: BTreeMap<&str, usize> = BTreeMap::new();
    for member in &status.members {
        *health.entry(&member.health).or_default() += 1;
    }
    let counts: Vec<String> = health.iter().map(|(state, n)| format!("{n} {state}")).collect();
    println!("  members: {}", counts.join(", "));
    for endpoint in status.endpoints.iter().filter(|e| e.leaving || !e.reachable) {
        let state = if endpoint.reachable { "leaving" } else { "unreachable" };
        println!("  {}: {state}, {} requests of this instance", endpoint.name, endpoint.own);
    }
}

/// Prints sums over instances, by site and class.
fn print_sites(statuses: &[Status]) {
    let mut in_flight: BTreeMap<&str, u32> = BTreeMap::new();
    let mut classes: BTreeMap<(&str, &str), [u64; 4]> = BTreeMap::new();
    for status in statuses {
        for endpoint in &status.endpoints {
            *in_flight.entry(&endpoint.site).or_default() += endpoint.own;
        }
        for c in &status.classes {
            let sums = classes.entry((&c.site, &c.class)).or_default();
            for (sum, value) in sums.iter_mut().zip([c.answered, c.good, c.prefilled, c.wasted]) {
                *sum += value;
            }
        }
    }
    for (site, count) in in_flight {
        println!("site {site}: {count} slots in use");
    }
    for ((site, class), [answered, good, prefilled, wasted]) in classes {
        println!(
            "site {site}, class {class}: {answered} answered, {good} within targets, {prefilled} prompt tokens \
             prefilled, {wasted} wasted"
        );
    }
}

/// Prints the limits of teams: the units that all instances admitted together, and those of each instance.
fn print_teams(statuses: &[Status]) {
    let mut teams: BTreeMap<&str, Vec<(&str, &TeamStatus)>> = BTreeMap::new();
    for status in statuses {
        for team in &status.teams {
            teams.entry(&team.name).or_default().push((&status.instance, team));
        }
    }
    for (name, reports) in teams {
        let admitted: i64 = reports.iter().map(|(_, team)| team.admitted).sum();
        let lowest = reports.iter().min_by_key(|(_, team)| team.level);
        let Some((instance, team)) = lowest else { continue };
        println!(
            "team {name}: limit {} a second, {} at once; {admitted} admitted, least left {} at {instance}",
            team.rate, team.burst, team.level
        );
        for (instance, team) in &reports {
            println!("  {instance}: {} admitted, {} left", team.admitted, team.level);
        }
    }
}

fn print_move(statuses: &[Status], site: &str) {
    let versions: BTreeSet<u64> = statuses.iter().map(|s| s.version).collect();
    let mut obstacles = Vec::new();
    if versions.len() > 1 {
        obstacles.push(format!("instances differ in version: {versions:?}"));
    }
    for status in statuses {
        for endpoint in status.endpoints.iter().filter(|e| e.site == site) {
            if !endpoint.leaving {
                obstacles.push(format!("{} still takes new work at {}", endpoint.name, status.instance));
            }
            if endpoint.own > 0 {
                obstacles
                    .push(format!("{} has {} requests of {}", endpoint.name, endpoint.own, status.instance));
            }
        }
    }
    if obstacles.is_empty() {
        println!("the move away from {site} is complete");
    }
    for obstacle in obstacles {
        println!("the move away from {site} waits: {obstacle}");
    }
}
