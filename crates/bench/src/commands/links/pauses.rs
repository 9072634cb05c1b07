//! Pauses of all endpoints: what idle instances do afterwards, and whether they serve callers.

use std::time::Duration;

use reqwest::Client;
use teaselshunt_standin::{SiteEndpoint, site_request};
use tokio::task::JoinSet;

use super::{Arguments, DEADLINE_MS, Fleet, KINDS, WARM_UP};
use crate::commands::CommandError;

/// Time that a new connection takes an endpoint.
const ACCEPT_TIME: Duration = Duration::from_millis(20);
/// Pauses, their length, and the time between two of them.
const PAUSES: u32 = 4;
const PAUSE: Duration = Duration::from_millis(1_250);
const BETWEEN: Duration = Duration::from_millis(1_750);
/// Time from the last call until connections are counted, and for how long.
const SETTLING: Duration = Duration::from_secs(5);
const WINDOW: Duration = Duration::from_secs(4);
/// Time between the fresh calls of two instances.
const STAGGER: Duration = Duration::from_millis(100);

fn connections(fleet: &Fleet) -> u64 {
    fleet.endpoints.iter().map(SiteEndpoint::connection_count).sum()
}

/// Sends `rate` calls a second to all instances together while all endpoints pause some times, and prints what follows.
pub(super) async fn measure(arguments: &Arguments) -> Result<(), CommandError> {
    let fleet = Fleet::start(arguments.instances).await?;
    for endpoint in &fleet.endpoints {
        endpoint.set_accept_time(ACCEPT_TIME);
    }
    tokio::time::sleep(WARM_UP).await;
    let client = Client::builder().pool_max_idle_per_host(0).build()?;
    let mut number = 0;
    let mut call = |instance: usize| {
        number += 1;
        let kind = KINDS[number % KINDS.len()];
        let (address, id) = (fleet.callers[instance].to_string(), format!("{kind}-pauses-{number}"));
        let request = site_request(&client, &address, &format!("/{kind}/"), &id, DEADLINE_MS);
        async move { request.send().await.is_ok_and(|response| response.status().is_success()) }
    };
    let before = connections(&fleet);
    let mut calls = JoinSet::new();
    let gap = Duration::from_secs(1) / u32::try_from(arguments.rate.max(1)).unwrap_or(u32::MAX);
    for _ in 0..PAUSES {
        for (is_paused, time) in [(false, BETWEEN), (true, PAUSE)] {
            let _pauses: Vec<_> =
                fleet.endpoints.iter().filter(|_| is_paused).map(SiteEndpoint::pause).collect();
            let end = tokio::time::Instant::now() + time;
            while tokio::time::Instant::now() < end {
                let instance = calls.len() % arguments.instances;
                calls.spawn(call(instance));
                tokio::time::sleep(gap).await;
            }
        }
    }
    let results = calls.join_all().await;
    let served = results.iter().filter(|served| **served).count();
    println!(
        "calls with pauses: {served} of {} served, {} connections",
        results.len(),
        connections(&fleet) - before
    );
    tokio::time::sleep(SETTLING).await;
    let before = connections(&fleet);
    tokio::time::sleep(WINDOW).await;
    let idle = (connections(&fleet) - before) as f64 / WINDOW.as_secs_f64();
    let mut served = 0;
    for instance in 0..arguments.instances {
        served += usize::from(call(instance).await);
        tokio::time::sleep(STAGGER).await;
    }
    println!(
        "{idle:.0} connections a second of idle instances to {} endpoints; {served} of {} fresh calls served",
        fleet.endpoints.len(),
        arguments.instances
    );
    Ok(())
}
