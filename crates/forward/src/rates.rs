//! Rate limits that endpoints advertise: reports to and from peers, and refusals because of limits.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::info;
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{EndpointKey, EngineTag, RateChange, RateObservation, RateReport, Stage};

use crate::load;
use crate::node::{Job, Node};
use crate::statements;
use crate::trace::Trace;

/// Fraction of a route's latency goal for which a request may wait until an endpoint accepts it. The rest is
/// for the response.
const WAIT_FRACTION: f64 = 0.4;
/// Shortest `Retry-After` delay. A caller that returns at once meets the same shortage.
pub(crate) const RETRY_DELAY_MIN: Duration = Duration::from_millis(150);
/// Mean interval at which a waiting request polls for an endpoint.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Encoded report of one endpoint's rate limit.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct RateEntry {
    endpoint: u32,
    #[serde(rename = "word")]
    observation: Option<EncodedObservation>,
    total: u32,
    recent: u32,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct EncodedObservation {
    /// Limit in requests per second.
    rate: Option<f32>,
    /// Age of the limit, in milliseconds.
    age: u32,
}

impl From<RateReport> for RateEntry {
    fn from(report: RateReport) -> Self {
        let RateReport { endpoint: EngineTag(endpoint), observation, total, recent } = report;
        let observation = observation.map(|RateObservation { rate, age }| EncodedObservation {
            rate: rate.map(|rate| rate as f32),
            age: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        });
        Self { endpoint, observation, total, recent }
    }
}

impl From<RateEntry> for RateReport {
    fn from(entry: RateEntry) -> Self {
        let RateEntry { endpoint, observation, total, recent } = entry;
        let observation = observation.map(|EncodedObservation { rate, age }| RateObservation {
            rate: rate.map(f64::from),
            age: Duration::from_millis(u64::from(age)),
        });
        Self { endpoint: EngineTag(endpoint), observation, total, recent }
    }
}

/// Returns the reports to send to peers now.
pub(crate) fn reports(node: &Node) -> Vec<RateEntry> {
    let reports = node.state.borrow_mut().endpoints.rates().reports(node.now());
    reports.into_iter().map(RateEntry::from).collect()
}

/// Merges the reports of a peer's incarnation.
pub(crate) fn merge_reports(node: &Node, from: SocketAddr, incarnation: u64, entries: Vec<RateEntry>) {
    let now = node.now();
    for report in entries.into_iter().map(RateReport::from) {
        let change = {
            let node_state = &mut *node.state.borrow_mut();
            let rates = node_state.endpoints.rates();
            let change = report
                .observation
                .and_then(|observation| rates.merge_observation(now, report.endpoint, observation));
            rates.merge_sends(now, from, incarnation, report);
            change
        };
        log_change(
            node,
            report.endpoint,
            change,
            "peer",
            report.observation.map_or(Duration::ZERO, |observation| observation.age),
        );
    }
}

/// Logs what changed in an endpoint's rate limit, and who observed it how long ago.
pub(crate) fn log_change(
    node: &Node,
    endpoint: EngineTag,
    change: Option<RateChange>,
    source: &str,
    age: Duration,
) {
    let Some(change) = change else { return };
    let node_state = &mut *node.state.borrow_mut();
    let known = node_state.endpoints.rates().len();
    node.metrics.limited_endpoints.set(known as i64);
    let id = node_state.endpoints.by_tag(endpoint).map_or("not listed", |endpoint| &*endpoint.id);
    let (label, rate) = match change {
        RateChange::Limited(rate) => ("limited", Some(rate)),
        RateChange::Ended => ("not_limited", None),
    };
    info!(node.log, "endpoint"; "endpoint" => id, "state" => label, "rate" => rate, "source" => source,
        "age_ms" => age.as_millis() as u64, "limited" => known);
}

/// Chooses an endpoint of a plain service. If all endpoints are rate-limited or want no requests for a time,
/// and none accepts the request now, this waits for a short time, as long as waiting can help and the
/// response can still be on time. Returns the time of the last choice if there is no endpoint.
pub(crate) async fn choose(node: &Node, job: &Job, tried: &[EndpointKey]) -> Result<EndpointKey, Instant> {
    let until = job.arrived + job.route.goal.mul_f64(WAIT_FRACTION);
    loop {
        let now = node.now();
        let chosen = node.choose(now, job, tried);
        let waiting_helps = || {
            limit_state(node, job, None).is_some_and(|(_, overloaded)| !overloaded || job.promised)
                || statements::first_available(node, job, None).is_some_and(|first| first < until)
        };
        if chosen.is_some() || now >= until || !waiting_helps() {
            return chosen.ok_or(now);
        }
        let factor = node.state.borrow_mut().rng.random_range(0.5..1.5);
        tokio::time::sleep(POLL_INTERVAL.mul_f64(factor)).await;
    }
}

/// The requests per second that the endpoints of a stage accept together, if all are rate-limited; and
/// whether a request was refused for that reason recently, so that waiting does not help.
fn limit_state(node: &Node, job: &Job, stage: Option<Stage>) -> Option<(f64, bool)> {
    let node_state = node.state.borrow();
    let (now, service) = (node.now(), &job.service.name);
    let rate = node_state.endpoints.total_rate(now, service, stage)?;
    Some((rate, node_state.refusals.is_overloaded(now, service)))
}

/// Whether requests are currently refused because all endpoints of a stage are rate-limited, so that waiting
/// does not help.
pub(crate) fn is_overloaded(node: &Node, job: &Job, stage: Option<Stage>) -> bool {
    // Capacity that was promised becomes free soon.
    !job.promised && limit_state(node, job, stage).is_some_and(|(_, overloaded)| overloaded)
}

/// The refusal of a request that no endpoint accepts now, if the reason is that all endpoints are
/// rate-limited.
pub(crate) fn refusal(node: &Node, job: &Job, trace: &Trace, stage: Option<Stage>) -> Option<Refusal> {
    let (rate, _) = limit_state(node, job, stage)?;
    let service = &job.service.name;
    load::record_shortage(node, job);
    node.metrics.limit_refusals.with_label_values(&[service]).inc();
    let max_delay = {
        let refusals = &mut node.state.borrow_mut().refusals;
        refusals.record(node.now(), service, rate, node.peer_count.get() + 1)
    };
    if let Some(refusal) = load::return_refusal(node, job, trace) {
        trace.record_step("rate", service, &format!("limited_to:{rate:.1}"));
        return Some(refusal);
    }
    let delay = RETRY_DELAY_MIN + max_delay.mul_f64(node.state.borrow_mut().rng.random_range(0.0..1.0));
    trace.record_step(
        "rate",
        service,
        &format!("limited_to:{rate:.1},back_within:{:.1}s", max_delay.as_secs_f64()),
    );
    Some(Refusal::retryable(ErrorKind::Overloaded, delay))
}
