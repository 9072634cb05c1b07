//! Guarantees that hold through dead connections to the store and through starts, checked at the end of a run.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use reqwest::Client;
use teaselshunt_standin::SiteFault;
use tokio::task::JoinSet;

use super::{Callers, Violation};
use crate::site::{BUDGET_RATIO, BUDGET_SLACK_PER_INSTANCE, Site};

/// Time in which a version must be in force, with slack for the check itself.
const APPLY_TIME: Duration = Duration::from_millis(2500);
/// The same on a machine with other load, where it only tells a version that is late from one that never comes.
const APPLY_TIME_LOADED: Duration = Duration::from_mins(1);
/// Pause between two looks at what an instance knows.
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Versions that are written over dead connections.
const VERSIONS: u64 = 4;
/// Time between two of them, and how much it grows, so that they meet watches at different moments.
const VERSION_PAUSE: Duration = Duration::from_millis(1900);
const VERSION_PAUSE_STEP: Duration = Duration::from_millis(370);
/// Starts of all instances within a window of the retry budget, and that window.
const LIVES: usize = 3;
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Calls that each instance gets in each life, of which every one fails.
const CALLS: usize = 6;
/// Kind of these calls, which may be sent to another endpoint.
const KIND: &str = "safe";

impl Callers {
    /// A version that is written while all open connections to the store are dead must be in force in time.
    pub(crate) async fn verify_versions(&self, site: &Site) -> Result<(), Violation> {
        for number in 0..VERSIONS {
            tokio::time::sleep(VERSION_PAUSE + VERSION_PAUSE_STEP * number as u32).await;
            let addresses = {
                let parts = site.parts();
                parts.instances.iter().for_each(|slot| slot.store_link.kill_open_connections());
                parts
                    .instances
                    .iter()
                    .map(|slot| slot.settings.caller_address.to_string())
                    .collect::<Vec<_>>()
            };
            site.parts().version += 1;
            site.publish();
            let until = Instant::now() + if self.timeless { APPLY_TIME_LOADED } else { APPLY_TIME };
            let kind = format!("v{}", site.parts().version);
            for address in addresses {
                let id = format!("{kind}-dead-{address}");
                while self.caller(&address).status(&format!("/{kind}/"), &id).await == Some(404) {
                    if Instant::now() > until {
                        let message = format!("{address} does not know the route of version {kind} in time");
                        return Err(Violation { message, request_id: Some(id) });
                    }
                    tokio::time::sleep(POLL_PAUSE).await;
                }
            }
        }
        self.violation(site).map_or(Ok(()), Err)
    }

    /// All instances start several times within a window while plain endpoints lose every call. All lives together must keep
    /// the retry budget.
    pub(crate) async fn verify_lives(&self, site: &Site) -> Result<(), Violation> {
        let set_fault = |fault| {
            let parts = site.parts();
            parts.endpoints.iter().filter(|e| e.server.stage().is_none()).for_each(|e| e.set_fault(fault));
        };
        let count = site.parts().instances.len();
        set_fault(SiteFault::Lose);
        let start = Instant::now();
        for life in 0..LIVES {
            for index in 0..count {
                if let Some(process) = &mut site.parts().instances[index].process {
                    process.kill();
                }
                site.restart(index);
            }
            self.call_all(site, life).await;
        }
        let took = start.elapsed();
        set_fault(SiteFault::None);
        let prefix = format!("{KIND}-life");
        let runs = site.executions();
        let runs: Vec<_> =
            runs.iter().map(|(run, _)| &*run.request_id).filter(|id| id.starts_with(&prefix)).collect();
        let requests = runs.iter().collect::<HashSet<_>>().len();
        let second = runs.len() - requests;
        let sent = count * LIVES * CALLS;
        let allowed = BUDGET_RATIO * sent as f64 + BUDGET_SLACK_PER_INSTANCE * count as f64;
        println!(
            "second attempts of {LIVES} lives in {took:.1?}: {second} of {allowed:.0}, {requests} of {sent} requests ran"
        );
        if took < BUDGET_WINDOW && second as f64 > allowed {
            let message = format!("{second} second attempts for {sent} requests, {allowed:.0} allowed");
            return Err(Violation { message, request_id: Some(prefix) });
        }
        Ok(())
    }

    /// Sends each instance its calls as soon as it is ready.
    async fn call_all(&self, site: &Site, life: usize) {
        let mut tasks = JoinSet::new();
        for (index, slot) in site.parts().instances.iter().enumerate() {
            let caller = self.caller(&slot.settings.caller_address.to_string());
            let url = format!("http://{}/-/ready", slot.settings.ready_address);
            tasks.spawn(async move {
                let client = Client::new();
                // An instance that is not ready yet, or not even listening.
                while !client.get(&url).send().await.is_ok_and(|response| response.status() == 200) {
                    tokio::time::sleep(POLL_PAUSE).await;
                }
                for number in 0..CALLS {
                    caller.send(KIND, &format!("{KIND}-life-{life}-{index}-{number}")).await;
                }
            });
        }
        tasks.join_all().await;
    }
}
