//! Guarantees that are checked at the end of a run, after its faults.

use std::time::{Duration, Instant};

use teaselshunt_routing::{Class, Demand, Priority, divide};
use tokio::task::JoinSet;

use super::{
    BURST_KINDS, CRASHING, CUT_CALLS, CUT_SERVED_PERCENT, Callers, FAIR_CALLS, FAIR_PAUSE, Violation, lock,
};
use crate::faults::Plan;
use crate::site::Site;

/// Engines that one request may crash after all faults have ended, before all instances know that the request does so.
/// Instances that were all down at the same moment have lost that knowledge and must learn it again.
const MAX_CRASHES: usize = 3;
/// Time in which all instances know what one instance has observed.
const GOSSIP_TIME: Duration = Duration::from_secs(3);
/// Requests a second that plain endpoints advertise at the end.
const RATE_PER_S: f64 = 3.0;
/// Window in which the requests to these endpoints are counted, the factor by which the count may exceed the rate, and
/// the requests that are allowed in addition.
const RATE_WINDOW: Duration = Duration::from_secs(4);
const RATE_TOLERANCE: f64 = 1.5;
const RATE_SLACK: f64 = 5.0;
/// Pause between two calls of each caller while these requests are counted, which ask for several times the rate.
const RATE_PAUSE: Duration = Duration::from_millis(30);
/// Time until the overload is known to all instances, and the window in which the calls of both teams are counted.
const FAIR_SETTLING: Duration = Duration::from_secs(2);
const FAIR_WINDOW: Duration = Duration::from_secs(6);
/// Part of its fair share that a team must get.
const FAIR_PART: f64 = 0.9;
/// Standard deviations that are left to chance. Each call is admitted at random, by the fraction that its team gets, so
/// that the variance of a team's calls is that of a binomial distribution; the share is half of what both teams got.
const FAIR_DEVIATIONS: f64 = 4.0;
/// Time for which instances are cut off from endpoints at the end, longer than the calls take.
const CUT_TIME: Duration = Duration::from_secs(50);
/// Time after which these instances must serve their callers.
const CUT_SETTLING: Duration = Duration::from_secs(3);
/// Longest time until all requests are served again at the end.
const RECOVERY_TIME: Duration = Duration::from_secs(90);

impl Callers {
    /// After all faults have ended, every instance must serve every kind of request again, and no endpoint may still
    /// run requests.
    ///
    /// Requests of callers that were in progress may still crash engines. As during the run, others take their place.
    pub(crate) async fn verify_recovery(&self, site: &Site, plan: &mut Plan) -> Result<(), Violation> {
        self.stop();
        let end = Instant::now() + RECOVERY_TIME;
        let addresses: Vec<String> =
            site.parts().instances.iter().map(|s| s.settings.caller_address.to_string()).collect();
        let newest = format!("v{}", site.parts().version);
        for address in &addresses {
            // The last kind is the route that only the newest configuration has.
            let kinds =
                ["once", "safe", "stream", "resume"].into_iter().chain(BURST_KINDS).chain([newest.as_str()]);
            for kind in kinds {
                while !self
                    .caller(address)
                    .send(kind, &format!("{kind}-end-{address}-{:?}", Instant::now()))
                    .await
                {
                    if Instant::now() > end {
                        let crashed =
                            site.parts().endpoints.iter().filter(|e| e.server.has_crashed()).count();
                        let message = format!(
                            "{address} does not serve {kind} after all faults ended; {crashed} endpoints have crashed"
                        );
                        return Err(Violation { message, request_id: Some(format!("{kind}-end-{address}")) });
                    }
                    plan.replace_lapsed(site).await;
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            }
        }
        while site.parts().endpoints.iter().any(|e| e.server.active_requests() > 0) {
            if Instant::now() > end {
                let message = "an endpoint still runs requests of callers that have disconnected".to_owned();
                return Err(Violation { message, request_id: None });
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        self.violation(site).map_or(Ok(()), Err)
    }

    /// After all faults have ended, a request that crashes engines, or requests with a part that does, may crash at most
    /// [`MAX_CRASHES`] more.
    pub(crate) async fn verify_quarantine(&self, site: &Site, plan: &mut Plan) -> Result<(), Violation> {
        for kind in CRASHING {
            self.verify_quarantine_of(kind, site, plan).await?;
        }
        Ok(())
    }

    async fn verify_quarantine_of(&self, kind: &str, site: &Site, plan: &mut Plan) -> Result<(), Violation> {
        let before = site.crash_count();
        let addresses: Vec<String> =
            site.parts().instances.iter().map(|s| s.settings.caller_address.to_string()).collect();
        for (number, address) in addresses.iter().cycle().take(MAX_CRASHES).enumerate() {
            self.caller(address).send(kind, &format!("{kind}-first-{number}")).await;
            plan.replace_lapsed(site).await;
        }
        tokio::time::sleep(GOSSIP_TIME).await;
        for (number, address) in addresses.iter().enumerate() {
            self.caller(address).send(kind, &format!("{kind}-last-{number}")).await;
            plan.replace_lapsed(site).await;
        }
        let more = site.crash_count() - before;
        if more > MAX_CRASHES {
            let message = format!("requests ({kind}) crashed {more} engines after all faults had ended");
            return Err(Violation { message, request_id: Some(format!("{kind}-last")) });
        }
        Ok(())
    }

    /// After all faults have ended, plain endpoints that advertise a rate must get no more requests than the rate
    /// allows. This guarantee has a time bound, so it is not checked beside other load.
    pub(crate) async fn verify_rates(&self, site: &Site) -> Result<(), Violation> {
        let advertise = |rate: Option<&str>| {
            let parts = site.parts();
            let plain = parts.endpoints.iter().filter(|e| e.server.stage().is_none());
            plain.for_each(|e| e.server.advertise_limit(rate));
        };
        advertise(Some(&RATE_PER_S.to_string()));
        let calls = self.send_steadily(site, &[("safe", 1)], RATE_PAUSE);
        tokio::time::sleep(GOSSIP_TIME).await;
        let counted_from = Instant::now();
        tokio::time::sleep(RATE_WINDOW * 2).await;
        drop(calls);
        advertise(None);
        let allowed = (RATE_PER_S * RATE_WINDOW.as_secs_f64() * RATE_TOLERANCE + RATE_SLACK) as usize;
        let parts = site.parts();
        let exceeded = parts.endpoints.iter().filter(|e| e.server.stage().is_none()).find(|e| {
            let arrivals: Vec<_> = e.server.arrivals().into_iter().filter(|at| *at >= counted_from).collect();
            println!("requests to {} at its advertised rate: {}", e.server.id(), arrivals.len());
            // Without requests there would be nothing to check.
            arrivals.is_empty()
                || arrivals.windows(allowed + 1).any(|span| span[allowed] - span[0] < RATE_WINDOW)
        });
        match exceeded {
            Some(endpoint) if !self.timeless => {
                let id = endpoint.server.id();
                let message = format!("endpoint {id} got no requests, or more than its advertised rate");
                Err(Violation { message, request_id: None })
            }
            Some(_) | None => Ok(()),
        }
    }

    /// While two teams overload a service with equal priority, and a fault disturbs it, no team may get less than nine
    /// tenths of its fair share while the other gets more than its own. The capacity is what both got.
    pub(crate) async fn verify_fairness(&self, site: &Site, plan: &mut Plan) -> Result<(), Violation> {
        let calls = self.send_steadily(site, &FAIR_CALLS, FAIR_PAUSE);
        tokio::time::sleep(FAIR_SETTLING).await;
        plan.disturb_overload(site);
        lock(&self.records).fair = Default::default();
        tokio::time::sleep(FAIR_WINDOW).await;
        let counts = lock(&self.records).fair;
        drop(calls);
        plan.heal(site).await;
        let class = |team| Class { priority: Priority::new(None, 1), team };
        let demands = [0, 1].map(|team| Demand {
            class: class(team as u32),
            weight: 1.0,
            offered: f64::from(counts[team].0),
        });
        let got = counts.map(|(_, complete)| f64::from(complete));
        let fractions = divide(got[0] + got[1], &demands);
        let shares = [0, 1].map(|team| demands[team].offered * fractions[team]);
        let variance: f64 = [0, 1].map(|team| shares[team] * (1.0 - fractions[team])).iter().sum();
        let least = |share: f64| share * FAIR_PART - FAIR_DEVIATIONS * variance.sqrt() / 2.0;
        let bounds = shares.map(least);
        println!("calls and answers of two teams: {counts:?}, fair shares {shares:.0?}, bounds {bounds:.0?}");
        let is_wronged = |team: usize| got[team] < bounds[team] && got[1 - team] > shares[1 - team];
        if !self.timeless && (got[0] + got[1] == 0.0 || is_wronged(0) || is_wronged(1)) {
            let message = format!("a team got too little: {counts:?} (asked, got), bounds {bounds:.0?}");
            return Err(Violation { message, request_id: None });
        }
        self.violation(site).map_or(Ok(()), Err)
    }

    /// Instances that are cut off from endpoints, while others are not, must serve their callers like the others.
    pub(crate) async fn verify_links(&self, site: &Site, plan: &mut Plan) -> Result<(), Violation> {
        let count = site.parts().instances.len();
        let cut = plan.cut_some(site, count - 1, CUT_TIME);
        tokio::time::sleep(CUT_SETTLING).await;
        let mut tasks = JoinSet::new();
        for instance in cut {
            let address = site.parts().instances[instance].settings.caller_address.to_string();
            let caller = self.caller(&address);
            tasks.spawn(async move { (instance, caller.count_served(instance).await) });
        }
        for (instance, served) in tasks.join_all().await {
            println!("served by instance {instance}, cut off from endpoints: {served} of {CUT_CALLS}");
            if !self.timeless && served * 100 < CUT_CALLS * CUT_SERVED_PERCENT {
                let message =
                    format!("instance {instance} served {served} of {CUT_CALLS} while it was cut off");
                return Err(Violation { message, request_id: Some(format!("-{instance}-cut-")) });
            }
        }
        plan.heal(site).await;
        self.violation(site).map_or(Ok(()), Err)
    }
}
