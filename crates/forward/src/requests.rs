//! Handles a caller's request from its head to its response.

use std::cell::{Cell, OnceCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONNECTION, HOST, HeaderValue};
use hyper::{Request, Response};
use teaselshunt_core::{ErrorKind, PromptPart, Refusal};
use teaselshunt_routing::{BodyKind, Repeat, Route, RouteSet, Stage};

use crate::admission::{charge, identify};
use crate::body::{CallerConnection, ResponseBody};
use crate::buffering::{BufferedBytes, CollectError};
use crate::deadline::{self, Cause, Limits, Unanswered};
use crate::node::{Job, Node};
use crate::phase::Phase;
use crate::reach;
use crate::refusals::{OTHER_INSTANCE_RETRY, refuse, refuse_as};
use crate::runs::Runs;
use crate::trace::Trace;
use crate::{generate, headers, load, phase, plain, quarantine, reservations, shedding};

/// `Retry-After` delay if the buffer memory is full: the retry may reach another instance, which may buffer
/// less, and callers will have read some of the buffered bytes by then.
const BUFFERS_FULL_RETRY: Duration = Duration::from_millis(200);
/// `Retry-After` delay if nothing reaches any endpoint. The retry may reach another instance.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(300);
/// Time after the caller's deadline within which the caller must have read its response. Responses are still
/// delivered after the deadline.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Deadline of a request without one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Serves a request.
pub(crate) async fn serve(
    node: Rc<Node>,
    request: Request<Incoming>,
    connection: Rc<CallerConnection>,
) -> Result<Response<ResponseBody>, Infallible> {
    let (arrived, version) = (node.now(), request.version());
    let meta = node.protocol.read_request(request.headers());
    let trace = Trace::new(&node, &meta, arrived);
    let (exit, runs) = (phase::reached(node.phase.subscribe(), Phase::Answering), Runs::default());
    let admission = admit(&node, request, meta, arrived, &trace);
    let mut response = match deadline::within(admission, &runs, None, exit).await {
        Ok(Ok(job)) => {
            let until = job.deadline + READ_TIMEOUT;
            let response = run_in_time(&node, job, trace).await;
            response.map(|body| body.send_on(&connection, version, until))
        }
        Ok(Err(refusal)) => refuse(&node, refusal, trace),
        Err(unanswered) => respond(&node, &unanswered, None, trace),
    };
    if node.phase() > Phase::Serving || !shedding::keeps_open(&node) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Handles an admitted request, and responds itself where the handling does not in time.
async fn run_in_time(node: &Rc<Node>, job: Job, trace: Trace) -> Response<ResponseBody> {
    let caller_deadline = job.arrived + job.meta.deadline.unwrap_or(DEFAULT_DEADLINE);
    let limits = Limits::new(job.arrived, job.deadline, caller_deadline);
    let runs = Rc::clone(&job.runs);
    let exit = phase::reached(node.phase.subscribe(), Phase::Answering);
    match deadline::within(run(node, job, trace.clone()), &runs, Some(limits), exit).await {
        Ok(response) => response,
        Err(unanswered) => respond(node, &unanswered, Some(limits), trace),
    }
}

/// The response to a request whose handling was ended.
fn respond(
    node: &Node,
    unanswered: &Unanswered,
    limits: Option<Limits>,
    trace: Trace,
) -> Response<ResponseBody> {
    if let Cause::Panic(message) = &unanswered.cause {
        trace.record_panic(message);
    }
    let (refusal, outcome) = unanswered.refusal(limits);
    refuse_as(node, refusal, trace, outcome)
}

/// Finds the route, reads the body and admits the request.
async fn admit(
    node: &Rc<Node>,
    request: Request<Incoming>,
    meta: crate::protocol::RequestMeta,
    arrived: Instant,
    trace: &Trace,
) -> Result<Job, Refusal> {
    let routes = node.state.borrow().routes.clone();
    let (mut head, body) = request.into_parts();
    let key = node.protocol.take_key(&mut head.headers).map(|key| key.digest());
    let mut buffered = BufferedBytes::new(node, BodyKind::Request);
    let body = read_body(body, routes.as_deref(), &mut buffered).await?;
    let routes = routes.ok_or(Refusal::retryable(ErrorKind::NotReady, OTHER_INSTANCE_RETRY))?;
    trace.set_version(routes.version);
    let host = head.headers.get(HOST).and_then(|h| h.to_str().ok()).or_else(|| head.uri.host());
    let route = routes
        .find(host.unwrap_or_default(), head.uri.path())
        .ok_or_else(|| not_allowed(node, ErrorKind::UnknownService))?;
    trace.set_route(route_kind(route), &route.name);
    let team = identify(&routes, route, key).map_err(|_| not_allowed(node, ErrorKind::Unauthorized))?;
    trace.set_team(team.as_deref());
    let is_short = !matches!(route.repeat, Repeat::Stream { .. });
    if node.phase() >= if is_short { Phase::Ending } else { Phase::Refusing } {
        return Err(Refusal::retryable(ErrorKind::Stopping, OTHER_INSTANCE_RETRY));
    }
    let runs = Rc::default();
    let charge = charge(node, team.as_deref(), route, &meta, &runs, trace)?;
    let (service, returns) = {
        let state = &mut *node.state.borrow_mut();
        let deadline = meta.deadline.filter(|_| !is_short || node.settings.load.returns);
        let returns = deadline.is_some_and(|d| state.retry_detector.is_retry(arrived, &route.name, d));
        trace.set_retry(returns && !is_short);
        let name = route.pick_service(&mut state.rng).cloned();
        let service = name.and_then(|name| routes.service(&name).cloned());
        let service = service.ok_or(Refusal::new(ErrorKind::UnknownService))?;
        state.budgets.count_request(arrived, &service.name);
        (service, returns)
    };
    let deadline = arrived + meta.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    trace.set_end(deadline);
    let priority = route.priority_for(team.as_deref());
    trace.set_priority(priority);
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    let mut headers = head.headers;
    headers::strip(&mut headers);
    let parts = PromptPart::of_all(&service.name, &meta.shared_parts);
    if routes.teams.is_some() {
        // The header may contain a key in any form, and endpoints must not see keys.
        headers.remove(AUTHORIZATION);
    }
    Ok(Job {
        meta,
        method: head.method,
        path,
        headers,
        body,
        _buffered: buffered,
        route: Arc::clone(route),
        service,
        team,
        _charge: charge,
        runs,
        priority,
        arrived,
        is_retry: returns && !is_short,
        returns,
        promised: false,
        deadline,
        fingerprint: OnceCell::new(),
        parts,
        is_part_test: Cell::new(false),
    })
}

/// The refusal of a request that the configuration does not allow. While the configuration is unconfirmed the caller may
/// come back: a newer version may allow the request.
fn not_allowed(node: &Node, kind: ErrorKind) -> Refusal {
    if node.is_unconfirmed() {
        Refusal::retryable(ErrorKind::NotReady, OTHER_INSTANCE_RETRY)
    } else {
        Refusal::new(kind)
    }
}

/// Reads the complete body of a request. Endpoints then never wait for a slow caller, and a response from
/// this instance is never written while request bytes are unread, which would reset the connection before the
/// caller has the response.
async fn read_body(
    body: Incoming,
    routes: Option<&RouteSet>,
    buffered: &mut BufferedBytes,
) -> Result<Bytes, Refusal> {
    /// Limits until a configuration is known.
    const DEFAULT_BODY_BYTES: usize = 4 << 20;
    const DEFAULT_ARRIVAL_TIMEOUT: Duration = Duration::from_secs(3);
    let (size, time) =
        routes.map_or((DEFAULT_BODY_BYTES, DEFAULT_ARRIVAL_TIMEOUT), |r| (r.limits.body, r.limits.arrival));
    match tokio::time::timeout(time, buffered.collect(Limited::new(body, size))).await {
        Ok(Ok(complete)) => Ok(complete),
        Ok(Err(CollectError::Body(error))) if error.is::<LengthLimitError>() => {
            Err(Refusal::new(ErrorKind::TooLarge))
        }
        Ok(Err(CollectError::Body(_))) => Err(Refusal::new(ErrorKind::Invalid)),
        Ok(Err(CollectError::Full(..))) => Err(Refusal::retryable(ErrorKind::Overloaded, BUFFERS_FULL_RETRY)),
        Err(_) => Err(Refusal::new(ErrorKind::Incomplete)),
    }
}

async fn run(node: &Rc<Node>, mut job: Job, trace: Trace) -> Response<ResponseBody> {
    if let Err(refusal) = quarantine::admit(node, &job, &trace) {
        return refuse(node, refusal, trace);
    }
    if is_unreachable(node, &job).await {
        trace.record_step("reach", "any", "unreachable");
        return refuse(node, Refusal::retryable(ErrorKind::NoEndpoint, UNREACHABLE_RETRY), trace);
    }
    job.promised = load::redeem(node, &job, &trace);
    let is_staged = job.service.engine.is_some() && reservations::has_open_decode_engine(node, &job);
    if is_staged { generate::run(node, job, trace).await } else { plain::run(node, job, trace).await }
}

/// Whether nothing reaches any endpoint of the request's service. A request waits for a check first, if one is due.
async fn is_unreachable(node: &Rc<Node>, job: &Job) -> bool {
    let reach = node.pool.reach();
    if !reach.is_isolated(node.now()) {
        return false;
    }
    let addresses: Vec<_> = {
        let (now, state) = (node.now(), node.state.borrow());
        // The first step of a generation needs a decode engine.
        let first_step = job.service.engine.map(|_| Stage::Decode);
        let endpoints = state.endpoints.open(now, &job.service.name);
        endpoints.filter(|endpoint| endpoint.stage == first_step).map(|endpoint| endpoint.address).collect()
    };
    reach.refuses(node.now(), addresses.iter().copied())
        && !reach::probe(node, &addresses, job.deadline).await
}

/// Kind of a route, for logs and metrics.
pub(crate) fn route_kind(route: &Route) -> &'static str {
    match route.repeat {
        Repeat::Idempotent => "idempotent",
        Repeat::Once => "once",
        Repeat::Stream { resumable: true } => "resumable",
        Repeat::Stream { resumable: false } => "stream",
    }
}
