//! The site some seconds after its last fault: instances without callers leave endpoints alone, and serve whoever comes.

use std::sync::PoisonError;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use super::{Callers, DEADLINE_MS, Violation};
use crate::site::{Parts, Site};

/// Time from the last fault and the last call until endpoints are left alone.
const SETTLING: Duration = Duration::from_secs(5);
/// Window in which the connections that endpoints accept are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Connections that may be opened over each link between an instance and an endpoint in the window. Idle instances open none; some may still check a
/// link that was lost.
const CONNECTIONS_MAX: f64 = 0.1;
/// Time between the first calls of two instances, so that the check is no load itself where a new connection takes an endpoint its time.
const STAGGER: Duration = Duration::from_millis(100);
/// First tries at each instance, of all kinds in turn.
const CALLS: usize = 8;

impl Callers {
    /// Ends the callers that began with the site.
    pub(crate) fn stop(&self) {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner).abort_all();
    }

    /// Some seconds after all faults and calls have ended, instances must open few connections to endpoints, and every fresh call at every
    /// instance must be served. Nothing else disturbs the site then, so that other load on the machine excuses only a call that lasted until its
    /// deadline.
    pub(crate) async fn verify_calm(&self, site: &Site) -> Result<(), Violation> {
        self.stop();
        tokio::time::sleep(SETTLING).await;
        let accepted =
            |parts: &Parts| parts.endpoints.iter().map(|e| e.server.connection_count()).sum::<u64>();
        let before = accepted(&site.parts());
        tokio::time::sleep(WINDOW).await;
        let (opened, links) = {
            let parts = site.parts();
            (accepted(&parts) - before, parts.endpoints.len() * parts.instances.len())
        };
        println!("connections that idle instances opened over {links} links in {WINDOW:?}: {opened}");
        let mut tasks = JoinSet::new();
        for (index, slot) in site.parts().instances.iter().enumerate() {
            let caller = self.caller(&slot.settings.caller_address.to_string());
            tasks.spawn(async move {
                tokio::time::sleep(STAGGER * index as u32).await;
                let mut missed = Vec::new();
                for number in 0..CALLS {
                    let kind = ["once", "stream", "safe", "resume"][number % 4];
                    let (id, sent) = (format!("{kind}-{index}-calm-{number}"), Instant::now());
                    let served = caller.send(kind, &id).await;
                    if !served && sent.elapsed() < Duration::from_millis(DEADLINE_MS) {
                        missed.push(id);
                    }
                }
                missed
            });
        }
        let missed: Vec<String> = tasks.join_all().await.into_iter().flatten().collect();
        let calls = site.parts().instances.len() * CALLS;
        println!("fresh calls at idle instances that were not served: {} of {calls}", missed.len());
        if opened as f64 > (CONNECTIONS_MAX * links as f64).ceil() {
            let message =
                format!("idle instances opened {opened} connections over {links} links in {WINDOW:?}");
            return Err(Violation { message, request_id: None });
        }
        if let Some(id) = missed.first() {
            let message = format!("{} of {calls} fresh calls were not served after all faults", missed.len());
            return Err(Violation { message, request_id: Some(id.clone()) });
        }
        self.violation(site).map_or(Ok(()), Err)
    }
}
