//! Load control: reports of results and demand between instances, and admission of requests to contended
//! services. The decisions are in `teaselshunt-routing`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{
    Class, EndpointKey, EngineTag, LearnedChange, Load, Observation, Priority, RateReport, RefusedCaller,
    ResultReport, Results, ReturnReport, ReturnUnits, ServiceLoad, StepOutcome, retry_delay, tag,
};

use crate::node::{Job, Node};
use crate::pace::{self, PaceEntry};
use crate::protocol::Purpose;
use crate::rates::{RETRY_DELAY_MIN, RateEntry};
use crate::trace::Trace;

/// Longest time for which a peer's report counts, whatever interval it states.
const REPORT_LIFETIME_MAX: Duration = Duration::from_secs(5);
/// Shortest time between two log lines about implausible reports.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// Encoded results of one instance at an endpoint.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct ResultEntry {
    endpoint: u32,
    answered: u32,
    slow: u32,
    failed: u32,
    refused: u32,
    /// Time that calls spent at a plain endpoint, in microseconds.
    #[serde(rename = "micros")]
    busy_micros: u32,
}

impl From<ResultReport> for ResultEntry {
    fn from(report: ResultReport) -> Self {
        let ResultReport { endpoint: EngineTag(endpoint), results } = report;
        let Results { answered, slow, failed, refused, busy_micros } = results;
        Self { endpoint, answered, slow, failed, refused, busy_micros }
    }
}

impl From<ResultEntry> for ResultReport {
    fn from(entry: ResultEntry) -> Self {
        let ResultEntry { endpoint, answered, slow, failed, refused, busy_micros } = entry;
        Self {
            endpoint: EngineTag(endpoint),
            results: Results { answered, slow, failed, refused, busy_micros },
        }
    }
}

/// Encoded load of a contended service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LoadEntry {
    service: u32,
    shortage: bool,
    classes: Vec<ClassEntry>,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct ClassEntry {
    priority: Priority,
    team: u32,
    offered: u32,
    admitted: u32,
}

impl From<ServiceLoad> for LoadEntry {
    fn from(load: ServiceLoad) -> Self {
        let encode = |(Class { priority, team }, Load { offered, admitted })| ClassEntry {
            priority,
            team,
            offered,
            admitted,
        };
        let classes = load.classes.into_iter().map(encode).collect();
        Self { service: load.service, shortage: load.shortage, classes }
    }
}

impl From<LoadEntry> for ServiceLoad {
    fn from(entry: LoadEntry) -> Self {
        let decode = |ClassEntry { priority, team, offered, admitted }| {
            (Class { priority, team }, Load { offered, admitted })
        };
        let classes = entry.classes.into_iter().map(decode).collect();
        Self { service: entry.service, shortage: entry.shortage, classes }
    }
}

/// Encoded schedule of returns to a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ReturnEntry {
    service: u32,
    /// Time since the sender's present quarter second began, in milliseconds.
    age: u16,
    quarters: Vec<QuarterEntry>,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct QuarterEntry {
    /// Quarter seconds after the present one.
    quarter: i8,
    promised: u32,
    redeemed: u32,
    asked: u32,
}

impl From<ReturnReport> for ReturnEntry {
    fn from(report: ReturnReport) -> Self {
        let encode = |(quarter, ReturnUnits { promised, redeemed, asked })| QuarterEntry {
            quarter,
            promised,
            redeemed,
            asked,
        };
        let quarters = report.quarters.into_iter().map(encode).collect();
        Self { service: report.service, age: report.age.as_millis() as u16, quarters }
    }
}

impl From<ReturnEntry> for ReturnReport {
    fn from(entry: ReturnEntry) -> Self {
        let decode = |QuarterEntry { quarter, promised, redeemed, asked }| {
            (quarter, ReturnUnits { promised, redeemed, asked })
        };
        let quarters = entry.quarters.into_iter().map(decode).collect();
        Self { service: entry.service, age: Duration::from_millis(entry.age.into()), quarters }
    }
}

/// The part of a report that concerns load.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// Results at engines in trouble and at plain endpoints.
    results: Vec<ResultEntry>,
    /// Requests sent to plain endpoints with a learned limit.
    sends: Vec<RateEntry>,
    /// Load of contended services.
    services: Vec<LoadEntry>,
    /// Samples of the pace of engines.
    paces: Vec<PaceEntry>,
    /// When callers who were refused are to return.
    returns: Vec<ReturnEntry>,
}

/// Returns what to report to peers now.
pub(crate) fn report(node: &Node) -> LoadReport {
    let paces = pace::reports(node, node.now());
    let (now, state) = (node.now(), &mut *node.state.borrow_mut());
    let is_reported = node.settings.load.results;
    let results = if is_reported { state.endpoints.result_reports(now) } else { Vec::new() };
    LoadReport {
        results: results.into_iter().map(ResultEntry::from).collect(),
        sends: state.endpoints.learned_rates().reports(now).into_iter().map(RateEntry::from).collect(),
        services: state.admission.reports(now).into_iter().map(LoadEntry::from).collect(),
        paces,
        returns: state.returns.reports(now).into_iter().map(ReturnEntry::from).collect(),
    }
}

/// Longest pause between the latest report and the next one.
pub(crate) fn report_pause(node: &Node) -> Duration {
    node.state.borrow().endpoints.result_pause()
}

/// Merges the report of a peer's incarnation, which counts for `lifetime`.
pub(crate) fn merge(node: &Node, from: SocketAddr, incarnation: u64, lifetime: Duration, report: LoadReport) {
    pace::merge(node, from, incarnation, report.paces);
    let (now, state) = (node.now(), &mut *node.state.borrow_mut());
    let lifetime = lifetime.min(REPORT_LIFETIME_MAX);
    if node.settings.load.results {
        let results = report.results.into_iter().map(ResultReport::from).collect();
        state.endpoints.merge_results(now, from, lifetime, results);
    }
    let rates = state.endpoints.learned_rates();
    for sends in report.sends.into_iter().map(RateReport::from) {
        rates.merge_sends(now, from, incarnation, sends);
    }
    if node.settings.load.admission {
        let services = report.services.into_iter().map(ServiceLoad::from).collect();
        state.admission.merge(now, from, lifetime, services);
    }
    if node.settings.load.returns {
        let returns = report.returns.into_iter().map(ReturnReport::from).collect();
        let dropped = state.returns.merge(now, from, lifetime, returns);
        warn_implausible(node, from, "returns", dropped);
    }
}

/// Logs that entries of a part of a peer's report were ignored, at most once a second.
pub(crate) fn warn_implausible(node: &Node, from: SocketAddr, part: &str, dropped: usize) {
    let now = node.now();
    let recent = |last: Instant| now.saturating_duration_since(last) < WARNING_INTERVAL;
    if dropped > 0 && !node.report_warned.get().is_some_and(recent) {
        node.report_warned.set(Some(now));
        warn!(node.log, "implausible report of a peer"; "address" => %from, "part" => part, "dropped" => dropped);
    }
}

/// Counts the result of a request at an endpoint, among those of all instances.
pub(crate) fn observe_result(node: &Node, job: &Job, key: EndpointKey, outcome: StepOutcome) {
    if !node.settings.load.results {
        return;
    }
    let is_plain = job.service.engine.is_none();
    let observation = match outcome {
        StepOutcome::Answered(latency) => {
            Observation::Answered(latency.as_secs_f64() / job.route.goal.as_secs_f64().max(1e-3))
        }
        // A plain service's error is the result of work, like any other answer.
        StepOutcome::ErrorResponse if is_plain => Observation::Answered(0.0),
        // A call without an answer until the caller's time was over says that the endpoint is slow.
        StepOutcome::Failed | StepOutcome::Silent(_) if is_plain => Observation::Answered(f64::INFINITY),
        // A deadline may be too short for any engine.
        StepOutcome::Failed if node.now() >= job.deadline => return,
        StepOutcome::ErrorResponse | StepOutcome::Failed => Observation::Failed,
        StepOutcome::Full => Observation::Refused,
        StepOutcome::Silent(_) | StepOutcome::Unreachable => return,
    };
    node.state.borrow_mut().endpoints.observe_result(node.now(), key, observation);
}

/// Updates what is learned from results, and removes what is outdated. Called several times a second.
pub(crate) fn maintain(node: &Node) {
    let now = node.now();
    let (changes, failing, limits) = {
        let state = &mut *node.state.borrow_mut();
        state.admission.expire(now);
        let admission = &mut state.admission;
        let changes = state.endpoints.update_learned(now, |service| admission.demand(now, service));
        state.endpoints.expire_learned(now);
        for (service, units) in state.returns.expire(now) {
            let mut services = state.routes.iter().flat_map(|routes| routes.services());
            let name = services.find(|known| tag(&known.name) == service).map(|known| &*known.name);
            let labels = [name.unwrap_or("(removed)"), "dropped"];
            node.metrics.return_units.with_label_values(&labels).inc_by(units.into());
        }
        state.advances.retain(|service| state.admission.is_contended(now, service));
        (changes, state.endpoints.failing_count(), state.endpoints.learned_rates().len())
    };
    node.metrics.failing_engines.set(failing as i64);
    node.metrics.learned_limits.set(limits as i64);
    for (endpoint, change) in changes {
        let (label, rate) = match change {
            LearnedChange::Limited(rate) => ("overloaded", Some(rate)),
            LearnedChange::Unlimited => ("not_overloaded", None),
            LearnedChange::Failing => ("failing", None),
            LearnedChange::Working => ("not_failing", None),
        };
        let state = node.state.borrow();
        let id = state.endpoints.by_tag(endpoint).map_or("not listed", |endpoint| &*endpoint.id);
        info!(node.log, "endpoint"; "endpoint" => id, "state" => label, "rate" => rate, "source" => "results");
    }
}

/// The class of a request in a contended service.
fn class(job: &Job) -> Class {
    Class { priority: job.priority, team: job.team.as_ref().map_or(0, |team| team.tag().0) }
}

/// Whether the configuration calls for a division of the service's capacity: its requests have different
/// priorities, or there are several teams.
fn is_divided(node: &Node, job: &Job) -> bool {
    let state = node.state.borrow();
    let Some(routes) = state.routes.as_ref().filter(|_| node.settings.load.admission) else { return false };
    let teams = routes.teams.as_ref().map_or(0, |teams| teams.iter().take(2).count());
    teams > 1 || routes.rank(&job.service.name, job.priority).is_some()
}

/// Admits a call to a plain service, or refuses it if the service is contended and the call's class has had
/// its part of the capacity.
pub(crate) fn admit_call(node: &Node, job: &Job, trace: &Trace) -> Result<(), Refusal> {
    if !is_divided(node, job) {
        return Ok(());
    }
    let rate = node.state.borrow().endpoints.total_rate(node.now(), &job.service.name, None);
    let (Some(fraction), Some(rate)) = (draw(node, job, 1, rate), rate) else { return Ok(()) };
    count_refusal(node, job);
    trace.record_step("admission", &job.service.name, &fraction);
    if let Some(refusal) = return_refusal(node, job, trace) {
        return Err(refusal);
    }
    let state = &mut *node.state.borrow_mut();
    let instances = node.peer_count.get() + 1;
    let longest = state.admission_refusals.record(node.now(), &job.service.name, rate, instances);
    let delay = RETRY_DELAY_MIN + longest.mul_f64(state.rng.random_range(0.0..1.0));
    Err(Refusal::retryable(ErrorKind::Overloaded, delay))
}

/// The same for a generation.
pub(crate) fn admit_generation(node: &Node, job: &Job, trace: &Trace) -> Result<(), Refusal> {
    if !is_divided(node, job) {
        return Ok(());
    }
    let Some(fraction) = draw(node, job, tokens(job), None) else { return Ok(()) };
    count_refusal(node, job);
    trace.record_step("admission", &job.service.name, &fraction);
    let refusal = return_refusal(node, job, trace);
    Err(refusal
        .unwrap_or_else(|| Refusal::retryable(ErrorKind::Overloaded, retry_delay(remaining(node, job)))))
}

/// Whether callers who are refused by the job's service are told when to return by a schedule of all instances.
fn has_schedule(node: &Node, job: &Job) -> bool {
    node.settings.load.returns
        && (is_divided(node, job) || node.state.borrow().endpoints.has_learned_limit(&job.service.name))
}

/// Units of a request, of which the service has so many a second.
fn units(job: &Job) -> u32 {
    if job.service.engine.is_none() { 1 } else { tokens(job) }
}

/// The refusal of a request for lack of capacity, by the schedule of returns. `None` where there is no schedule,
/// or the caller's remaining time is too short for a return.
pub(crate) fn return_refusal(node: &Node, job: &Job, trace: &Trace) -> Option<Refusal> {
    if !has_schedule(node, job) {
        return None;
    }
    let (now, name, service) = (node.now(), &job.service.name, tag(&job.service.name));
    let state = &mut *node.state.borrow_mut();
    let rate = if job.service.engine.is_none() {
        state.endpoints.total_rate(now, name, None).unwrap_or(0.0)
    } else {
        state.admission.admitted_rate(now, service)
    };
    let remaining = remaining(node, job);
    // A caller without a deadline is not recognized when it returns, and most callers return once only.
    let stated = job.meta.deadline.filter(|_| !job.returns);
    let earliest = stated.map(|deadline| {
        let left = deadline.saturating_sub(now.saturating_duration_since(job.arrived));
        state.retry_detector.recognized_after(&job.route.name, left)
    });
    let caller = RefusedCaller { units: units(job), earliest, remaining };
    let back = state.returns.promise(now, service, caller, rate, &mut state.rng)?;
    if back.promised {
        let promised = node.metrics.return_units.with_label_values(&[&**name, "promised"]);
        promised.inc_by(caller.units.into());
    }
    let delay = back.delay.as_secs_f64();
    let decided =
        format!("back_in:{delay:.3}s,promised:{},before:{},limit:{rate:.0}", back.promised, back.before);
    trace.record_step("return", name, &decided);
    Some(Refusal::retryable_after(ErrorKind::Overloaded, back.delay))
}

/// Takes capacity that is promised to callers who return now, if the job's caller returns.
pub(crate) fn redeem(node: &Node, job: &Job, trace: &Trace) -> bool {
    if !job.returns || !has_schedule(node, job) {
        return false;
    }
    let (name, units) = (&job.service.name, units(job));
    let state = &mut *node.state.borrow_mut();
    let promised = state.advances.allows(tag(name), class(job), units)
        && state.returns.redeem(node.now(), tag(name), units, &mut state.rng);
    if promised {
        node.metrics.return_units.with_label_values(&[&**name, "redeemed"]).inc_by(units.into());
        trace.record_step("return", name, "promised");
    }
    promised
}

fn remaining(node: &Node, job: &Job) -> Duration {
    job.deadline.saturating_duration_since(node.now())
}

fn tokens(job: &Job) -> u32 {
    u32::try_from(job.tokens(job.meta.max_output_tokens)).unwrap_or(u32::MAX)
}

fn count_refusal(node: &Node, job: &Job) {
    let labels = [&*job.service.name, &job.priority.text()];
    node.metrics.admission_refusals.with_label_values(&labels).inc();
}

/// Counts the request as offered and draws whether it is admitted. Returns what decided if it is not. A plain
/// service without a known rate has an endpoint that takes all; one with an unused part of its limits is divided by
/// a demand that has just ended, or by that of peers beyond a partition.
fn draw(node: &Node, job: &Job, units: u32, rate: Option<f64>) -> Option<String> {
    let (now, service, class) = (node.now(), tag(&job.service.name), class(job));
    let state = &mut *node.state.borrow_mut();
    state.admission.offer(now, service, class, units);
    let routes = state.routes.clone();
    let weight = |team| routes.as_ref().map_or(1.0, |routes| routes.weight(team));
    let is_plain = job.service.engine.is_none();
    if is_plain && (rate.is_none() || state.endpoints.has_spare_capacity(now, &job.service.name)) {
        return None;
    }
    if is_plain {
        state.admission.observe_limits(now, service);
    }
    let fraction = state.admission.fraction(now, service, class, rate, weight);
    if fraction >= 1.0 {
        return None;
    }
    if job.promised {
        state.advances.admit(service, class, units, fraction);
        return None;
    }
    let is_drawn = state.rng.random_range(0.0..1.0) < fraction;
    if is_drawn && !state.advances.repay(service, class, units) {
        return None;
    }
    Some(format!("priority:{},fraction:{fraction:.2},limit:{:.0}", job.priority.text(), rate.unwrap_or(0.0)))
}

/// Whether a call goes before others of its service that are held back.
pub(crate) fn has_precedence(node: &Node, job: &Job) -> bool {
    job.promised || node.state.borrow().admission.has_precedence(tag(&job.service.name), class(job))
}

/// Counts a call that is sent to an endpoint.
pub(crate) fn record_call(node: &Node, job: &Job) {
    record_admitted(node, job, 1);
}

/// Counts a generation that has capacity.
pub(crate) fn record_generation(node: &Node, job: &Job) {
    record_admitted(node, job, tokens(job));
}

fn record_admitted(node: &Node, job: &Job, units: u32) {
    if is_divided(node, job) {
        let now = node.now();
        node.state.borrow_mut().admission.admit(now, tag(&job.service.name), class(job), units);
    }
}

/// Records that a request found no capacity.
pub(crate) fn record_shortage(node: &Node, job: &Job) {
    if is_divided(node, job) {
        node.state.borrow_mut().admission.observe_shortage(node.now(), tag(&job.service.name));
    }
}

/// The rank that is sent to engines, if the service's requests differ in priority.
///
/// Prefills have none: an urgent one would preempt others that are nearly read, and these would be read again.
pub(crate) fn engine_rank(node: &Node, job: &Job, purpose: Purpose<'_>) -> Option<u8> {
    let prefills = matches!(purpose, Purpose::Prefill);
    if !node.settings.load.ranks || job.service.engine.is_none() || prefills {
        return None;
    }
    let routes = node.state.borrow().routes.as_ref().map(Arc::clone)?;
    routes.rank(&job.service.name, job.priority)
}
