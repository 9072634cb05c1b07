//! Checks that an instance keeps to what an endpoint stated to it: that the endpoint leaves, and for how long it wants
//! no requests. A start or a freeze of the instance since then excuses it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use reqwest::header::HeaderMap;
use teaselshunt_standin::leaving_endpoint;

use crate::site::{InstanceSlot, Parts};

/// Time in which an instance must have stopped to use an endpoint after it passed on that the endpoint leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after a refusal in which requests that were sent before may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Time for a graceful shutdown in the settings of instances, and how long before its end a process may exit.
const SHUTDOWN_TIME: Duration = Duration::from_secs(8);
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(600);
/// Requests of one instance that may reach an endpoint in the rest of a cooldown.
const COOLDOWN_REQUESTS_MAX: usize = 2;

/// Index of the instance that a caller sent a request to.
fn instance_of(request_id: &str) -> Option<usize> {
    request_id.split('-').nth(1)?.parse().ok()
}

/// When each instance first passed on a response in which an endpoint states that it leaves, by instance and id of the
/// endpoint.
#[derive(Debug, Default)]
pub(crate) struct Announcements(HashMap<(usize, String), Instant>);

impl Announcements {
    /// Records the response that a caller got.
    pub(crate) fn record(&mut self, request_id: &str, headers: &HeaderMap) {
        if let (Some(index), Some(endpoint)) = (instance_of(request_id), leaving_endpoint(headers)) {
            self.0.entry((index, endpoint.to_owned())).or_insert_with(Instant::now);
        }
    }

    /// A request that an instance sent to an endpoint too long after it had passed on that the endpoint leaves.
    pub(crate) fn late_run(&self, parts: &Parts) -> Option<String> {
        let endpoints = parts.endpoints.iter().chain(&parts.ended);
        endpoints
            .flat_map(|e| e.server.executions().into_iter().map(|run| (e.server.id().to_owned(), run)))
            .find_map(|(endpoint, run)| {
                let index = instance_of(&run.request_id)?;
                let passed = *self.0.get(&(index, endpoint))?;
                let late =
                    run.arrived_at > passed + DRAIN_TIME && ran_since(parts.instances.get(index)?, passed);
                late.then_some(run.request_id)
            })
    }
}

/// Whether the process of an instance has run without a break since then.
fn ran_since(instance: &InstanceSlot, since: Instant) -> bool {
    instance.process.is_some() && instance.running_since < since
}

/// Whether the instance that a caller sent a request to has run without a break since then.
pub(crate) fn was_running(parts: &Parts, request_id: &str, since: Instant) -> bool {
    let instance = instance_of(request_id).and_then(|index| parts.instances.get(index));
    instance.is_some_and(|instance| ran_since(instance, since))
}

/// Whether the instance of a request that was sent and ended at these times was killed, frozen or continued since it was sent, or had to end
/// meanwhile, since its time for a graceful shutdown was over.
pub(crate) fn was_interrupted(parts: &Parts, request_id: &str, sent: Instant, ended: Instant) -> bool {
    let instance = instance_of(request_id).and_then(|index| parts.instances.get(index));
    instance.is_none_or(|instance| {
        let had_to_end = instance.terminated.is_some_and(|(_, at)| {
            sent < at + SHUTDOWN_TIME && ended + SHUTDOWN_MARGIN >= at + SHUTDOWN_TIME
        });
        instance.interrupted >= sent || had_to_end
    })
}

/// Whether the instance of a request was sent SIGTERM before the request ended, and may have been running until it was sent.
pub(crate) fn was_terminated(parts: &Parts, request_id: &str, sent: Instant, ended: Instant) -> bool {
    let instance = instance_of(request_id).and_then(|index| parts.instances.get(index));
    let terminated = instance.and_then(|instance| instance.terminated);
    terminated.is_some_and(|(_, at)| at <= ended && sent <= at + SHUTDOWN_TIME)
}

/// Whether the instance of a request has closed connections unread because it was late.
pub(crate) fn has_shed(parts: &Parts, request_id: &str) -> bool {
    let instance = instance_of(request_id).and_then(|index| parts.instances.get(index));
    instance.is_some_and(|instance| !instance.log_lines("connections are shed").is_empty())
}

/// A request that is one too many in a cooldown, and when those of its instance arrived.
pub(crate) fn request_in_cooldown(parts: &Parts) -> Option<(String, String)> {
    parts.endpoints.iter().chain(&parts.ended).find_map(|endpoint| {
        let clear_since = endpoint.clear_since()?;
        let log = endpoint.server.arrival_log();
        let refusals = log.iter().enumerate().filter_map(|(position, refused)| {
            let seconds = refused.retry_after.as_deref()?.parse::<f64>().ok()?;
            let index = instance_of(&refused.request_id)?;
            let told = refused.at > clear_since + IN_FLIGHT_TIME;
            (told && ran_since(parts.instances.get(index)?, refused.at)).then_some((position, index, seconds))
        });
        refusals.into_iter().find_map(|(position, index, seconds)| {
            let begun = log[position].at;
            let end = begun + Duration::from_secs_f64(seconds);
            let within = log[position..].iter().filter(|a| a.at > begun + IN_FLIGHT_TIME && a.at < end);
            let sent: Vec<_> = within.filter(|a| instance_of(&a.request_id) == Some(index)).collect();
            let id = sent.get(COOLDOWN_REQUESTS_MAX)?.request_id.clone();
            let times: Vec<Duration> = sent.iter().map(|a| a.at - begun).collect();
            Some((
                id,
                format!("{} asked for {seconds} s, and got some after {times:.1?}", endpoint.server.id()),
            ))
        })
    })
}
