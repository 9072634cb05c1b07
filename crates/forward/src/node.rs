//! The state of an instance, and single steps at endpoints.
//!
//! All of it lives on one thread. A machine gives an instance a fraction of one core, so that a second thread would
//! add switches and locks but no work done.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode};
use rand::rngs::SmallRng;
use slog::{Logger, info, warn};
use teaselshunt_core::{Clock, ErrorKind, Fingerprint, Quarantine, Refusal};
use teaselshunt_routing::{
    BodyKind, BodyMemory, Budgets, EndpointKey, Endpoints, Need, OutputEstimate, PrefillEstimate, Refusals,
    RetryDetector, Route, RouteSet, Sends, Service, Stage, StepOutcome,
};
use teaselshunt_teams::{Quotas, Team};
use tokio::sync::{Notify, watch};

use crate::admission::Charge;
use crate::buffering::{BufferedBytes, CollectError};
use crate::connection_pool::{Connection, ConnectionPool, Failure};
use crate::crashes::{Abandoned, Loss};
use crate::metrics::Metrics;
use crate::protocol::{Call, Protocol, Purpose, RequestMeta, ResponseMeta};
use crate::rates;
use crate::settings::Settings;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// No stop has begun.
    Serving,
    /// The balancer is told to send nobody; who comes all the same is served.
    Leaving,
    /// Idle connections are closed; requests in progress end.
    Closing,
    /// New requests that may take seconds are refused; short ones are served.
    Refusing,
    /// All new requests are refused.
    Ending,
}

/// What is believed and what is spent.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) routes: Option<Arc<RouteSet>>,
    pub(crate) endpoints: Endpoints,
    pub(crate) budgets: Budgets,
    pub(crate) rng: SmallRng,
    /// Pace of prefill by service.
    pub(crate) paces: HashMap<Arc<str>, PrefillEstimate>,
    /// Outputs of generations by service.
    pub(crate) outputs: HashMap<Arc<str>, OutputEstimate>,
    /// How long callers of each route wait in all.
    pub(crate) allowances: RetryDetector,
    /// Refusals for want of what endpoints take.
    pub(crate) refused: Refusals,
    /// Requests under which endpoints crash.
    pub(crate) quarantine: Quarantine,
    /// Limits of teams.
    pub(crate) quotas: Quotas<SocketAddr>,
    /// Bodies that are held for slow readers.
    pub(crate) memory: BodyMemory,
    /// Whether the whole list was known once.
    pub(crate) whole: bool,
    /// When the store last answered about endpoints.
    pub(crate) listed: Option<Instant>,
}

/// One instance.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) protocol: Box<dyn Protocol>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) state: RefCell<State>,
    pub(crate) pool: ConnectionPool,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
    pub(crate) phase: watch::Sender<Phase>,
    /// Wakes whoever tells other instances what is in flight.
    pub(crate) changed: Notify,
    /// Other instances that are known.
    pub(crate) peers: Cell<usize>,
    /// Open connections of callers.
    pub(crate) connections: Cell<usize>,
    /// Requests that endpoints lost, until it is known whether these have crashed.
    pub(crate) losses: RefCell<HashMap<EndpointKey, Vec<Loss>>>,
    /// Runs whose callers left a moment ago.
    pub(crate) abandoned: RefCell<Abandoned>,
    /// When a rate that cannot be read was reported last.
    pub(crate) warned: Cell<Option<Instant>>,
}

/// A caller's request with everything that its steps need.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) meta: RequestMeta,
    pub(crate) method: Method,
    /// Path and query as the caller wrote them.
    pub(crate) path: String,
    /// Without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Room for the body, until the request has ended.
    pub(crate) _holding: BufferedBytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    /// The caller's, where callers have keys.
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) charge: Charge,
    pub(crate) arrived: Instant,
    /// Whether the caller was refused before and comes back; its answer is late whatever happens.
    pub(crate) returns: bool,
    /// When the caller, or the route's timeout, stops waiting.
    pub(crate) until: Instant,
    /// By what it is known if it comes again; worked out when it is needed.
    pub(crate) fingerprint: OnceCell<Fingerprint>,
}

impl Job {
    pub(crate) fn team_name(&self) -> Option<&str> {
        self.team.as_ref().map(|team| &*team.name)
    }

    /// By what it is known if it comes again.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
            Fingerprint::of(
                self.team_name().unwrap_or_default(),
                self.method.as_str(),
                host,
                &self.path,
                &self.body,
            )
        })
    }
}

/// An endpoint's answer whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) endpoint: EndpointKey,
    /// When the request was sent there.
    pub(crate) begun: Instant,
}

/// How a step failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StepFailure {
    /// Nothing reached the endpoint.
    Unsent,
    /// The endpoint states that it has not run the request and will not.
    Refused,
    /// Another endpoint has the address, or the endpoint does another part now; the request has not run.
    Misdirected,
    /// It may have run.
    Broken,
    /// It may have run, and may still.
    TimedOut,
}

impl StepFailure {
    /// Whether the endpoint may have begun to run the request.
    pub(crate) const fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::TimedOut)
    }

    pub(crate) const fn text(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
        }
    }
}

impl From<Failure> for StepFailure {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unsent => Self::Unsent,
            Failure::Broken => Self::Broken,
            Failure::TimedOut => Self::TimedOut,
        }
    }
}

/// Work of this instance at an endpoint, for which one request is sent there; dropping it ends the account of it.
#[derive(Debug)]
pub(crate) struct Slot {
    node: Rc<Node>,
    endpoint: EndpointKey,
    tokens: u64,
    /// Whether the request may have reached the endpoint. Until then it is given back to the endpoint's rate.
    sent: Cell<bool>,
}

impl Slot {
    /// The endpoint.
    pub(crate) const fn endpoint(&self) -> EndpointKey {
        self.endpoint
    }

    /// Tokens that are accounted for.
    pub(crate) const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// The work takes `tokens` in all, if that is more than was thought.
    pub(crate) fn grow(&mut self, tokens: u64) {
        let more = tokens.saturating_sub(self.tokens);
        if more > 0 {
            self.node.state.borrow_mut().endpoints.add_tokens(self.endpoint, more);
            self.tokens = tokens;
            self.node.changed.notify_one();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.node.now();
        let endpoints = &mut self.node.state.borrow_mut().endpoints;
        endpoints.end(self.endpoint, self.tokens);
        if !self.sent.get() {
            endpoints.refund_rate(now, self.endpoint);
        }
        self.node.changed.notify_one();
    }
}

/// A prompt that a decode engine reads itself; dropped when it has.
#[derive(Debug)]
pub(crate) struct Reading {
    node: Rc<Node>,
    endpoint: EndpointKey,
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.node.state.borrow_mut().endpoints.end_local_prefill(self.endpoint);
        self.node.changed.notify_one();
    }
}

impl Node {
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Ready once routes and endpoints are known, until a stop begins. Losing the store later changes nothing: what
    /// is known still serves callers better than no instance at all.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.routes.is_some() && state.listed.is_some() && self.phase() == Phase::Serving
    }

    /// Age of the list of endpoints, for logs.
    pub(crate) fn list_age(&self) -> Option<Duration> {
        self.state.borrow().listed.map(|at| self.now().duration_since(at))
    }

    pub(crate) fn choose(&self, service: &str, tried: &[EndpointKey]) -> Option<EndpointKey> {
        self.choose_for(Need { tried, ..self.need(service) })
    }

    /// A need of an instance here that has no wishes yet.
    pub(crate) fn need<'a>(&'a self, service: &'a str) -> Need<'a> {
        Need::of(service, &self.settings.domain)
    }

    /// Chooses the engine that reads a prompt of so many tokens.
    pub(crate) fn choose_prefill(
        &self,
        service: &str,
        tried: &[EndpointKey],
        tokens: u64,
    ) -> Option<EndpointKey> {
        self.choose_for(Need { stage: Some(Stage::Prefill), tried, tokens, ..self.need(service) })
    }

    pub(crate) fn choose_for(&self, need: Need<'_>) -> Option<EndpointKey> {
        let beliefs = &mut *self.state.borrow_mut();
        beliefs.endpoints.choose(self.now(), need, &mut beliefs.rng)
    }

    /// Work that is about to be sent to an endpoint begins.
    pub(crate) fn occupy(self: &Rc<Self>, endpoint: EndpointKey, tokens: u64) -> Slot {
        let (now, endpoints) = (self.now(), &mut self.state.borrow_mut().endpoints);
        endpoints.begin(now, endpoint, tokens);
        endpoints.charge_rate(now, endpoint);
        self.changed.notify_one();
        Slot { node: Rc::clone(self), endpoint, tokens, sent: Cell::new(false) }
    }

    /// A decode engine begins to read a prompt itself; others are told until the guard is dropped.
    pub(crate) fn read_at(self: &Rc<Self>, endpoint: EndpointKey) -> Reading {
        self.state.borrow_mut().endpoints.begin_local_prefill(endpoint);
        self.changed.notify_one();
        Reading { node: Rc::clone(self), endpoint }
    }

    /// Address and id of an endpoint that is still listed.
    pub(crate) fn locate(&self, key: EndpointKey) -> Option<(SocketAddr, Arc<str>)> {
        let state = self.state.borrow();
        state.endpoints.get(key).map(|e| (e.address, Arc::clone(&e.id)))
    }

    /// Id of an endpoint, for logs.
    pub(crate) fn name(&self, key: EndpointKey) -> Arc<str> {
        self.locate(key).map_or_else(|| "gone".into(), |(_, id)| id)
    }

    /// Address and id of an endpoint that still takes new work.
    fn locate_open(&self, key: EndpointKey) -> Option<(SocketAddr, Arc<str>)> {
        let state = self.state.borrow();
        state.endpoints.get_open(self.now(), key).map(|e| (e.address, Arc::clone(&e.id)))
    }

    /// Tokens that a generation is expected to make.
    pub(crate) fn expected_output(&self, job: &Job) -> u64 {
        let Some(hint) = job.meta.output_hint else { return job.meta.max_output_tokens };
        let state = self.state.borrow();
        let expected = state.outputs.get(&job.service.name).map_or(hint, |outputs| outputs.predict(hint));
        expected.min(job.meta.max_output_tokens)
    }

    /// A generation ended whole after so many events.
    pub(crate) fn learn_output(&self, job: &Job, events: u32) {
        let Some(hint) = job.meta.output_hint else { return };
        let outputs = &mut self.state.borrow_mut().outputs;
        outputs.entry(Arc::clone(&job.service.name)).or_default().learn(hint, events);
    }

    /// Tokens that so many events of a generation stand for, if that is known.
    pub(crate) fn made(&self, job: &Job, events: u32) -> Option<u64> {
        self.state.borrow().outputs.get(&job.service.name)?.tokens_for_events(events)
    }

    pub(crate) fn learn(&self, key: EndpointKey, verdict: StepOutcome) {
        let changed = self.state.borrow_mut().endpoints.learn(self.now(), key, verdict);
        if changed && let Some((_, id)) = self.locate(key) {
            let state = if matches!(verdict, StepOutcome::Failed | StepOutcome::Unreachable) {
                "paused"
            } else {
                "in_use"
            };
            info!(self.log, "endpoint"; "endpoint" => &*id, "state" => state);
        }
    }

    /// Why a request is not sent to an endpoint, if endpoints crash under it.
    pub(crate) fn quarantined(&self, job: &Job) -> Option<Refusal> {
        let (state, now) = (self.state.borrow(), self.now());
        if state.quarantine.is_empty() {
            return None;
        }
        let until = state.quarantine.until(now, job.fingerprint())?;
        Some(Refusal::retryable(ErrorKind::Quarantined, until.duration_since(now)))
    }

    /// A request was answered whole by its endpoint.
    pub(crate) fn served(&self, job: &Job) {
        self.state.borrow_mut().quarantine.observe_success(self.now(), job.fingerprint());
    }

    /// Takes a repeat from the service's budget.
    pub(crate) fn may_repeat(&self, service: &Service) -> bool {
        self.state.borrow_mut().budgets.take(self.now(), &service.name)
    }

    /// Whether a generation may be sent once more, for its prompt or to run.
    pub(crate) fn may_go(&self, job: &Job, sends: &mut Sends) -> bool {
        let budgets = &mut self.state.borrow_mut().budgets;
        sends.may_send(self.now(), job.route.attempts, &job.service.name, budgets)
    }

    /// Sends a request to an endpoint and checks the head of its answer.
    pub(crate) async fn send(
        &self,
        job: &Job,
        slot: &Slot,
        purpose: Purpose<'_>,
        until: Instant,
    ) -> Result<Answer, StepFailure> {
        let (begun, key) = (self.now(), slot.endpoint());
        // An endpoint may have begun to leave since it was chosen: a prefill lies between that and the decode.
        let Some((address, id)) = self.locate_open(key) else { return Err(StepFailure::Unsent) };
        let left = job.until.saturating_duration_since(begun);
        let request = self.request(job, &id, purpose, left);
        let runs = !matches!(purpose, Purpose::Prefill);
        if runs {
            job.charge.send();
        }
        slot.sent.set(true);
        let result = self.pool.exchange(address, request, until.min(job.until)).await;
        slot.sent.set(!matches!(result, Err(Failure::Unsent)));
        let step = step_name(purpose);
        let outcome = match result {
            Ok((response, connection)) => {
                let answer = Answer { response, connection, endpoint: key, begun };
                self.check(job, answer, purpose)
            }
            Err(failure) => Err(failure.into()),
        };
        if runs && outcome.as_ref().is_err_and(|failure| !failure.may_have_run()) {
            job.charge.unsend();
        }
        let verdict = match &outcome {
            Ok(Answer { response, .. }) if response.status().is_server_error() => StepOutcome::ErrorResponse,
            Ok(_) => StepOutcome::Answered(self.now().duration_since(begun)),
            Err(StepFailure::Refused) => StepOutcome::Full,
            Err(StepFailure::Unsent | StepFailure::Misdirected) => StepOutcome::Unreachable,
            Err(StepFailure::Broken | StepFailure::TimedOut) => StepOutcome::Failed,
        };
        self.learn(key, verdict);
        self.metrics.step(step, outcome.as_ref().map_or_else(|f| f.text(), |_| "answered"));
        outcome
    }

    fn request(&self, job: &Job, id: &str, purpose: Purpose<'_>, left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.path.parse().expect("the path came from a parsed request");
        let mut headers = job.headers.clone();
        self.protocol.endpoint_headers(&mut headers, job.team_name(), left, id, purpose);
        *request.headers_mut() = headers;
        request
    }

    /// Takes an answer only if it is this request's and the endpoint's own.
    ///
    /// An endpoint may answer a request twice; the second answer then stands where the next request's is expected,
    /// and would give one caller what belongs to another. The id tells; such a connection is not used again.
    fn check(&self, job: &Job, answer: Answer, purpose: Purpose<'_>) -> Result<Answer, StepFailure> {
        let response = &answer.response;
        let ResponseMeta { id, signed, refused, misdirected, endpoint: answering, rate } =
            self.protocol.read_response(response.status(), response.headers());
        if !id.is_empty() && id != job.meta.id {
            return Err(StepFailure::Broken);
        }
        if misdirected {
            self.retire_replaced(answer.endpoint, &answering);
            return Err(StepFailure::Misdirected);
        }
        rates::answered(self, answer.endpoint, rate);
        if refused {
            return Err(StepFailure::Refused);
        }
        let own = signed || matches!(purpose, Purpose::Prefill);
        if !own || response.headers().contains_key(CONTENT_ENCODING) {
            return Err(StepFailure::Broken);
        }
        Ok(answer)
    }

    /// Another endpoint answered at the address of the one that was meant, which has therefore ended. The list may show
    /// that only seconds later.
    fn retire_replaced(&self, key: EndpointKey, answering: &str) {
        let Some((_, id)) = self.locate(key) else { return };
        if answering.is_empty() || answering == &*id {
            return;
        }
        self.state.borrow_mut().endpoints.mark_ended(self.now(), key);
        info!(self.log, "endpoint"; "endpoint" => &*id, "state" => "replaced", "by" => answering);
    }

    /// Makes a small call and reads its whole answer.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        call: Call,
        until: Instant,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let (head, body) = self.call_in_full(address, call, until).await?;
        Ok((head.status, body))
    }

    /// The same with the whole head of the answer.
    pub(crate) async fn call_in_full(
        &self,
        address: SocketAddr,
        call: Call,
        until: Instant,
    ) -> Result<(Parts, Bytes), Failure> {
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method;
        *request.uri_mut() = call.path.parse().map_err(|_| Failure::Unsent)?;
        *request.headers_mut() = call.headers;
        let host = HeaderValue::from_str(&address.to_string()).expect("an address is a header value");
        request.headers_mut().insert(HOST, host);
        if !call.body.is_empty() {
            request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        let (response, connection) = self.pool.exchange(address, request, until).await?;
        let (head, body) = response.into_parts();
        let body = self.read(body, connection, until).await?;
        Ok((head, body))
    }

    /// Reads a body that is for a caller to its end, as far as there is room, and keeps the connection.
    pub(crate) async fn read_held(
        self: &Rc<Self>,
        body: Incoming,
        connection: Connection,
        until: Instant,
    ) -> Result<(Bytes, BufferedBytes), Failure> {
        let mut holding = BufferedBytes::new(self, BodyKind::Response);
        match tokio::time::timeout_at(until.into(), holding.collect(body)).await {
            Ok(Ok(whole)) => {
                self.pool.put(connection);
                Ok((whole, holding))
            }
            Ok(Err(CollectError::Body(_))) => Err(Failure::Broken),
            Ok(Err(CollectError::Full(error, bytes))) => {
                warn!(self.log, "an answer is given up"; "error" => %error, "bytes" => bytes);
                Err(Failure::Broken)
            }
            Err(_) => Err(Failure::TimedOut),
        }
    }

    /// Reads a body to its end and keeps the connection.
    pub(crate) async fn read(
        &self,
        body: Incoming,
        connection: Connection,
        until: Instant,
    ) -> Result<Bytes, Failure> {
        match tokio::time::timeout_at(until.into(), body.collect()).await {
            Ok(Ok(whole)) => {
                self.pool.put(connection);
                Ok(whole.to_bytes())
            }
            Ok(Err(_)) => Err(Failure::Broken),
            Err(_) => Err(Failure::TimedOut),
        }
    }
}

const fn step_name(purpose: Purpose<'_>) -> &'static str {
    match purpose {
        Purpose::Run => "run",
        Purpose::Prefill => "prefill",
        Purpose::Decode { .. } => "decode",
        Purpose::PrefillAndDecode { .. } => "whole",
    }
}
