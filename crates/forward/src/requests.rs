//! A caller's request from its head to its answer.

use std::cell::OnceCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONNECTION, HOST, HeaderValue};
use hyper::{Request, Response};
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{BodyKind, Repeat, Route, RouteSet, Stage};

use crate::admission::{charge, identify};
use crate::body::{AnswerBody, Unread};
use crate::buffering::{BufferedBytes, CollectError};
use crate::node::{Job, Node, Phase};
use crate::refusals::{ELSEWHERE, refuse};
use crate::trace::Trace;
use crate::{generate, headers, plain};

/// When to come back if too much is held for slow readers: others may hold less, and some of it is read by then.
const HELD: Duration = Duration::from_millis(200);
/// Time after a caller stopped waiting until which it must have read its answer. Answers are delivered late as well.
const UNREAD: Duration = Duration::from_secs(10);
/// Deadline of a request that names none.
const DEADLINE: Duration = Duration::from_secs(30);

/// Answers a request.
pub(crate) async fn serve(
    node: Rc<Node>,
    request: Request<Incoming>,
    unread: Rc<Unread>,
) -> Result<Response<AnswerBody>, Infallible> {
    let arrived = node.now();
    let meta = node.protocol.read_request(request.headers());
    let mut trace = Trace::new(&node, &meta, arrived);
    let mut response = match open(&node, request, meta, arrived, &mut trace).await {
        Ok(job) => {
            let until = job.until + UNREAD;
            run(&node, job, trace).await.map(|body| body.until(&unread, until))
        }
        Err(refusal) => refuse(&node, refusal, trace),
    };
    if node.phase() > Phase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Finds the route and reads the body.
async fn open(
    node: &Rc<Node>,
    request: Request<Incoming>,
    meta: crate::protocol::RequestMeta,
    arrived: Instant,
    trace: &mut Trace,
) -> Result<Job, Refusal> {
    let routes = node.state.borrow().routes.clone();
    let (mut head, body) = request.into_parts();
    let key = node.protocol.take_key(&mut head.headers).map(|key| key.digest());
    let mut holding = BufferedBytes::new(node, BodyKind::Request);
    let body = read_body(body, routes.as_deref(), &mut holding).await?;
    let routes = routes.ok_or(Refusal::retryable(ErrorKind::NotReady, ELSEWHERE))?;
    let host = head.headers.get(HOST).and_then(|h| h.to_str().ok()).or_else(|| head.uri.host());
    let route = routes
        .find(host.unwrap_or_default(), head.uri.path())
        .ok_or(Refusal::new(ErrorKind::UnknownService))?;
    trace.routed(kind(route), &route.name, routes.version);
    let team = identify(&routes, route, key)?;
    trace.team(team.as_deref());
    let short = !matches!(route.repeat, Repeat::Stream { .. });
    if node.phase() >= if short { Phase::Ending } else { Phase::Refusing } {
        return Err(Refusal::retryable(ErrorKind::Stopping, ELSEWHERE));
    }
    let charge = charge(node, team.as_deref(), &meta, trace)?;
    let (service, returns) = {
        let state = &mut *node.state.borrow_mut();
        let deadline = meta.deadline.filter(|_| !short);
        let returns = deadline.is_some_and(|d| state.allowances.is_retry(arrived, &route.name, d));
        trace.returns(returns);
        let name = route.pick_service(&mut state.rng).cloned();
        let service = name.and_then(|name| routes.service(&name).cloned());
        let service = service.ok_or(Refusal::new(ErrorKind::UnknownService))?;
        state.budgets.count_request(arrived, &service.name);
        (service, returns)
    };
    let until = arrived + meta.deadline.unwrap_or(DEADLINE).min(route.timeout);
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    let mut headers = head.headers;
    headers::strip(&mut headers);
    if routes.teams.is_some() {
        // Whatever stands there, a key may be part of it, and no endpoint sees keys.
        headers.remove(AUTHORIZATION);
    }
    Ok(Job {
        meta,
        method: head.method,
        path,
        headers,
        body,
        _holding: holding,
        route: Arc::clone(route),
        service,
        team,
        charge,
        arrived,
        returns,
        until,
        fingerprint: OnceCell::new(),
    })
}

/// Reads a request's body whole, so that an endpoint never waits for a slow caller, and so that an answer of our own
/// never meets unread bytes, which would reset the connection under it.
async fn read_body(
    body: Incoming,
    routes: Option<&RouteSet>,
    holding: &mut BufferedBytes,
) -> Result<Bytes, Refusal> {
    /// Limits that hold before any version is known.
    const SIZE: usize = 4 << 20;
    const TIME: Duration = Duration::from_secs(3);
    let (size, time) = routes.map_or((SIZE, TIME), |r| (r.limits.body, r.limits.arrival));
    match tokio::time::timeout(time, holding.collect(Limited::new(body, size))).await {
        Ok(Ok(whole)) => Ok(whole),
        Ok(Err(CollectError::Body(error))) if error.is::<LengthLimitError>() => {
            Err(Refusal::new(ErrorKind::TooLarge))
        }
        Ok(Err(CollectError::Body(_))) => Err(Refusal::new(ErrorKind::Invalid)),
        Ok(Err(CollectError::Full(..))) => Err(Refusal::retryable(ErrorKind::Overloaded, HELD)),
        Err(_) => Err(Refusal::new(ErrorKind::Incomplete)),
    }
}

async fn run(node: &Rc<Node>, job: Job, trace: Trace) -> Response<AnswerBody> {
    if let Some(refusal) = node.quarantined(&job) {
        trace.fingerprint(job.fingerprint());
        return refuse(node, refusal, trace);
    }
    let staged = job.service.engine.is_some() && has_stages(node, &job);
    if staged { generate::run(node, job, trace).await } else { plain::run(node, job, trace).await }
}

fn has_stages(node: &Node, job: &Job) -> bool {
    let state = node.state.borrow();
    state.endpoints.open(node.now(), &job.service.name).any(|e| e.stage == Some(Stage::Decode))
}

/// Name of a kind of route, for logs and metrics.
pub(crate) fn kind(route: &Route) -> &'static str {
    match route.repeat {
        Repeat::Idempotent => "idempotent",
        Repeat::Once => "once",
        Repeat::Stream { resumable: true } => "resumable",
        Repeat::Stream { resumable: false } => "stream",
    }
}
