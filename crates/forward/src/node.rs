//! State of an instance, and single steps at endpoints.
//!
//! All state lives on one thread. A machine gives an instance a fraction of one core, so that a second thread
//! would add context switches and locks but no throughput.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_ENCODING, HOST, HeaderMap};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode};
use rand::rngs::SmallRng;
use slog::{Logger, info, warn};
use teaselshunt_completeness::{Completeness, Framing};
use teaselshunt_core::{Clock, Fingerprint, PartQuarantine, PromptPart, Quarantine};
use teaselshunt_routing::{
    Admission, Advances, BodyMemory, Budgets, ConnectionShedding, EndpointKey, Endpoints, Need,
    OrderElection, OutputEstimate, PrefillEstimate, Priority, Refusals, RetryDetector, Returns, Route,
    RouteSet, Sends, Service, SignsOfLife, Stage, StepOutcome, Waiters,
};
use teaselshunt_teams::{Quotas, Team};
use tokio::sync::{Notify, watch};

use crate::admission::Charge;
use crate::bounds;
use crate::buffering::BufferedBytes;
use crate::connection_pool::{ConnectionPool, ExchangeFailure, SendCondition, Via};
use crate::crashes::{AbandonedRuns, Loss};
use crate::in_flight::InFlightWork;
use crate::in_progress::InProgress;
use crate::load;
use crate::metrics::Metrics;
use crate::phase::Phase;
use crate::protocol::{Protocol, Purpose, RequestMeta};
use crate::quarantine;
use crate::queue::PendingSearch;
use crate::reach::Destination;
use crate::response_reader::{ReadFailure, ResponseReader};
use crate::runs::Runs;
use crate::settings::Settings;
use crate::statements;

/// Mutable state: what the instance knows of endpoints and of load, its budgets and its accounts.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) routes: Option<Arc<RouteSet>>,
    pub(crate) endpoints: Endpoints,
    pub(crate) budgets: Budgets,
    pub(crate) rng: SmallRng,
    /// Prefill time estimates by service.
    pub(crate) prefill_estimates: HashMap<Arc<str>, PrefillEstimate>,
    /// Output estimates of generations by service.
    pub(crate) output_estimates: HashMap<Arc<str>, OutputEstimate>,
    /// Longest deadlines by route, from which a caller's retry is recognized.
    pub(crate) retry_detector: RetryDetector,
    /// Recent refusals because all endpoints are rate-limited.
    pub(crate) refusals: Refusals,
    /// Recent refusals of calls whose class has had its part of a contended service.
    pub(crate) admission_refusals: Refusals,
    /// Demand of contended services.
    pub(crate) admission: Admission<SocketAddr>,
    /// When refused callers are to return.
    pub(crate) returns: Returns<SocketAddr>,
    /// Units that classes got ahead of their part because callers returned.
    pub(crate) advances: Advances,
    /// When decode engines last sent something.
    pub(crate) signs: SignsOfLife,
    /// Generations of this instance that wait for capacity.
    pub(crate) waiters: Waiters<PendingSearch>,
    /// Requests under which endpoints crashed.
    pub(crate) quarantine: Quarantine,
    /// Parts of prompts under which endpoints crashed.
    pub(crate) part_quarantine: PartQuarantine,
    /// Rate limits of teams.
    pub(crate) quotas: Quotas<SocketAddr>,
    /// Memory for buffered bodies.
    pub(crate) memory: BodyMemory,
    /// Which new connections of callers are closed unread.
    pub(crate) shedding: ConnectionShedding,
    /// Which instance gives orders to engines.
    pub(crate) election: OrderElection<SocketAddr>,
    /// Whether the complete list of endpoints has been known at some time.
    pub(crate) list_complete: bool,
    /// When the store last confirmed the list of endpoints, directly or through a peer.
    pub(crate) list_confirmed: Option<Instant>,
}

/// An instance: its settings, state, connections and metrics.
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
    pub(crate) in_progress: InProgress,
    /// Wakes the gossip task after a change of the state that it sends to peers.
    pub(crate) gossip_wakeup: Notify,
    /// Wakes the task that serves the waiting generations, after capacity may have become free.
    pub(crate) queue_wakeup: Notify,
    /// Number of known other instances.
    pub(crate) peer_count: Cell<usize>,
    /// When the store last confirmed what this instance knows, by the clock that counts suspension.
    pub(crate) confirmed: Cell<Option<Duration>>,
    /// Open connections of callers.
    pub(crate) connections: Cell<usize>,
    /// Open tunnels of peers.
    pub(crate) tunnels: Cell<usize>,
    /// Requests that endpoints lost, until it is known whether the endpoints have crashed.
    pub(crate) losses: RefCell<HashMap<EndpointKey, Vec<Loss>>>,
    /// Runs whose callers disconnected recently.
    pub(crate) abandoned: RefCell<AbandonedRuns>,
    /// When an invalid statement of an endpoint was last logged.
    pub(crate) statement_warned: Cell<Option<Instant>>,
    /// When an implausible report of a peer was last logged.
    pub(crate) report_warned: Cell<Option<Instant>>,
}

/// A caller's request with everything that its steps need.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) meta: RequestMeta,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) path: String,
    /// Headers without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Buffer memory of the body, held until the request has ended.
    pub(crate) _buffered: BufferedBytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    /// The caller's team; `None` for a caller without a valid key.
    pub(crate) team: Option<Arc<Team>>,
    /// The charge to the team, refunded if the request ends and has not run.
    pub(crate) _charge: Charge,
    /// Runs that endpoints may have begun.
    pub(crate) runs: Rc<Runs>,
    pub(crate) priority: Priority,
    pub(crate) arrived: Instant,
    /// Whether the request is a retry after a refusal. Its response is late in any case.
    pub(crate) is_retry: bool,
    /// Whether its caller returns, also to a service without streams.
    pub(crate) returns: bool,
    /// Whether it has taken capacity that was promised to callers who return now. It goes before others of its
    /// class.
    pub(crate) promised: bool,
    /// When the caller's deadline or the route's timeout ends.
    pub(crate) deadline: Instant,
    /// Identifies the request if it is sent again; computed on first use.
    pub(crate) fingerprint: OnceCell<Fingerprint>,
    /// Parts of the prompt that other requests may have as well.
    pub(crate) parts: Vec<PromptPart>,
    /// Whether it is sent although its parts are in quarantine, to find out whether endpoints still crash under them.
    pub(crate) is_part_test: Cell<bool>,
}

impl Job {
    pub(crate) fn team_name(&self) -> Option<&str> {
        self.team.as_ref().map(|team| &*team.name)
    }

    /// Prompt tokens, as far as they count.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.bounded(self.meta.prompt_tokens)
    }

    /// Tokens of the prompt and of an output of `output` tokens, as far as they count.
    pub(crate) fn tokens(&self, output: u64) -> u64 {
        self.bounded(self.meta.prompt_tokens.saturating_add(output))
    }

    /// Callers may state any number of tokens. No generation gets more than the memory of an engine, whatever it
    /// asks for. Peers report tokens as 32-bit numbers; with that bound the sums over requests can't overflow.
    fn bounded(&self, tokens: u64) -> u64 {
        let memory = self.service.engine.map_or(u64::MAX, |engine| engine.tokens);
        tokens.min(memory).min(u32::MAX.into())
    }

    /// Identifies the request if it is sent again.
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

/// An endpoint's response whose body is not read yet.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) head: Parts,
    pub(crate) body: ResponseReader,
    pub(crate) endpoint: EndpointKey,
    /// When the request was sent to the endpoint.
    pub(crate) sent_at: Instant,
    /// What the head shows about the endpoint. It counts once the response has ended.
    pub(crate) outcome: StepOutcome,
}

impl Answer {
    /// The peer through which the response comes, for logs.
    pub(crate) fn via_text(&self) -> String {
        match self.body.via() {
            Via::Direct => String::new(),
            Via::Peer(peer) => format!("(via {})", peer.ip()),
        }
    }

    /// Whether the response is a success whose body is passed on while it arrives, where the route has streams.
    pub(crate) fn is_stream(&self) -> bool {
        self.head.status.is_success() && self.body.framing() != Framing::Empty
    }
}

/// Time without a response from which a step shows that its endpoint fails: sound endpoints are silent for a second or
/// so.
const MEANINGFUL_SILENCE: Duration = Duration::from_secs(1);

/// Why a step failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StepFailure {
    /// Nothing reached the endpoint.
    Unsent,
    /// Nothing was sent, since the endpoint leaves or wants no requests now, or the request is in quarantine.
    Withheld,
    /// The endpoint states that it has not run the request and will not.
    Refused,
    /// Another endpoint has the address, or the endpoint now has another stage. The request has not run.
    Misdirected,
    /// The request may have run.
    Broken,
    /// The request may have run and may still be running.
    TimedOut,
}

impl StepFailure {
    /// Whether the endpoint may have started the request.
    pub(crate) const fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::TimedOut)
    }

    /// What the failure shows about its endpoint after this time; `None` if nothing was tried.
    fn outcome(self, time: Duration) -> Option<StepOutcome> {
        match self {
            Self::TimedOut if time < MEANINGFUL_SILENCE => Some(StepOutcome::Silent(time)),
            Self::Withheld => None,
            Self::Refused => Some(StepOutcome::Full),
            Self::Unsent | Self::Misdirected => Some(StepOutcome::Unreachable),
            Self::Broken | Self::TimedOut => Some(StepOutcome::Failed),
        }
    }

    pub(crate) const fn text(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Withheld => "withheld",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
        }
    }
}

impl From<ReadFailure> for StepFailure {
    fn from(failure: ReadFailure) -> Self {
        ExchangeFailure::from(failure).into()
    }
}

impl From<ExchangeFailure> for StepFailure {
    fn from(failure: ExchangeFailure) -> Self {
        match failure {
            ExchangeFailure::Unsent => Self::Unsent,
            ExchangeFailure::Withheld => Self::Withheld,
            ExchangeFailure::Broken => Self::Broken,
            ExchangeFailure::TimedOut => Self::TimedOut,
        }
    }
}

impl Node {
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Whether the instance is ready: routes and endpoints are known and no shutdown has begun. Loss of the
    /// store later does not end readiness, since an instance with old state serves callers better than none.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.routes.is_some() && state.list_confirmed.is_some() && self.phase() == Phase::Serving
    }

    /// Whether the configuration may have changed since the store confirmed it: what it does not allow, a newer version
    /// may.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        let age = self.confirmed.get().map(|at| self.clock.uptime().saturating_sub(at));
        age.is_none_or(|age| age > self.settings.apply_bound)
    }

    /// Age of the list of endpoints, for logs.
    pub(crate) fn list_age(&self) -> Option<Duration> {
        self.state.borrow().list_confirmed.map(|at| self.now().duration_since(at))
    }

    /// Chooses the endpoint that gets a call of a plain service.
    pub(crate) fn choose(&self, now: Instant, job: &Job, tried: &[EndpointKey]) -> Option<EndpointKey> {
        let precedence = load::has_precedence(self, job);
        let need = Need { tried, precedence, ..self.need(&job.service.name) };
        let state = &mut *self.state.borrow_mut();
        state.endpoints.choose(now, need, &mut state.rng)
    }

    /// Requirements of a request for `service` from this instance's domain, without any options.
    pub(crate) fn need<'a>(&'a self, service: &'a str) -> Need<'a> {
        Need::of(service, &self.settings.domain)
    }

    /// Chooses the engine that prefills a prompt of `tokens` tokens.
    pub(crate) fn choose_prefill(
        &self,
        service: &str,
        tried: &[EndpointKey],
        tokens: u64,
    ) -> Option<EndpointKey> {
        self.choose_for(Need { stage: Some(Stage::Prefill), tried, tokens, ..self.need(service) })
    }

    pub(crate) fn choose_for(&self, need: Need<'_>) -> Option<EndpointKey> {
        let state = &mut *self.state.borrow_mut();
        state.endpoints.choose(self.now(), need, &mut state.rng)
    }

    /// Address and id of an endpoint that is still listed.
    pub(crate) fn locate(&self, key: EndpointKey) -> Option<(SocketAddr, Arc<str>)> {
        let state = self.state.borrow();
        state.endpoints.get(key).map(|e| (e.address, Arc::clone(&e.id)))
    }

    /// Id of an endpoint, for logs.
    pub(crate) fn id_for_log(&self, key: EndpointKey) -> Arc<str> {
        self.locate(key).map_or_else(|| "gone".into(), |(_, id)| id)
    }

    /// Address and id of an endpoint, if requests may be sent to it now.
    pub(crate) fn locate_available(&self, key: EndpointKey) -> Option<(SocketAddr, Arc<str>)> {
        let state = self.state.borrow();
        state.endpoints.get_available(self.now(), key).map(|e| (e.address, Arc::clone(&e.id)))
    }

    /// Number of tokens that a generation is expected to produce.
    pub(crate) fn expected_output(&self, job: &Job) -> u64 {
        let Some(hint) = job.meta.output_hint else { return job.meta.max_output_tokens };
        let state = self.state.borrow();
        let expected =
            state.output_estimates.get(&job.service.name).map_or(hint, |estimate| estimate.predict(hint));
        expected.min(job.meta.max_output_tokens)
    }

    /// Updates the service's output estimate with a generation that completed after `events` events.
    pub(crate) fn observe_output(&self, job: &Job, events: u32) {
        let Some(hint) = job.meta.output_hint else { return };
        let output_estimates = &mut self.state.borrow_mut().output_estimates;
        output_estimates.entry(Arc::clone(&job.service.name)).or_default().learn(hint, events);
    }

    /// Number of tokens that `events` events of a generation amount to, if the service's ratio is known.
    pub(crate) fn tokens_for_events(&self, job: &Job, events: u32) -> Option<u64> {
        self.state.borrow().output_estimates.get(&job.service.name)?.tokens_for_events(events)
    }

    /// Waits until the link of a request in progress is lost: its response is then unlikely to arrive. A request over a link
    /// that is lost already goes through a peer.
    pub(crate) async fn until_link_lost(&self, key: EndpointKey) {
        let reach = self.pool.reach();
        match self.locate(key) {
            Some((address, _)) if !reach.is_lost(address) => reach.until_lost(address).await,
            Some(_) | None => std::future::pending().await,
        }
    }

    /// Records that an endpoint completed its response to a request. A response with an error of the
    /// endpoint's own shows nothing about the request: the endpoint may not have begun to run it. Nor does one that
    /// may be truncated.
    pub(crate) fn observe_response(&self, job: &Job, status: StatusCode, completeness: Completeness) {
        if !status.is_server_error() && completeness == Completeness::Complete {
            self.state.borrow_mut().quarantine.observe_success(self.now(), job.fingerprint());
        }
    }

    /// Takes a second attempt from the service's retry budget.
    pub(crate) fn take_attempt(&self, service: &Service) -> bool {
        let granted = self.state.borrow_mut().budgets.take(self.now(), &service.name);
        self.count_second_attempt(&service.name, granted);
        granted
    }

    /// Whether a second attempt is left in the service's retry budget.
    pub(crate) fn has_attempt(&self, service: &Service) -> bool {
        let has_attempt = self.state.borrow_mut().budgets.has_attempt(self.now(), &service.name);
        if !has_attempt {
            self.count_second_attempt(&service.name, false);
        }
        has_attempt
    }

    /// Whether a generation may be sent once more, to be prefilled or to run.
    pub(crate) fn may_send(&self, job: &Job, sends: &mut Sends) -> bool {
        let before = *sends;
        let budgets = &mut self.state.borrow_mut().budgets;
        let granted = sends.may_send(self.now(), job.route.attempts, &job.service.name, budgets);
        if *sends != before || (!granted && sends.counted() < job.route.attempts) {
            self.count_second_attempt(&job.service.name, granted);
        }
        granted
    }

    fn count_second_attempt(&self, service: &str, granted: bool) {
        let outcome = if granted { "granted" } else { "denied" };
        self.metrics.retries.second_attempts.with_label_values(&[service, outcome]).inc();
    }

    /// Sends a request to an endpoint and checks the head of the response. A failure is counted as the result of
    /// the request; what an answer shows is left to who reads it.
    pub(crate) async fn send(
        &self,
        job: &Job,
        work: &InFlightWork,
        purpose: Purpose<'_>,
        until: Instant,
    ) -> Result<Answer, StepFailure> {
        let (sent_at, key) = (self.now(), work.endpoint());
        // The endpoint may have begun to drain since it was chosen: a prefill takes place before the decode.
        let Some((address, id)) = self.locate_available(key) else { return Err(StepFailure::Withheld) };
        let remaining = job.deadline.saturating_duration_since(sent_at);
        let request = self.request(job, &id, purpose, remaining);
        let runs = !matches!(purpose, Purpose::Prefill);
        let run = runs.then(|| job.runs.prepare());
        work.sent.set(true);
        // Asked right before the request is written.
        let may_send = || {
            let may_send = self.locate_available(key).is_some() && !quarantine::forbids(self, job);
            if let Some(run) = run.as_ref().filter(|_| may_send) {
                run.begin();
            }
            may_send
        };
        let condition = SendCondition { may_send, ends_with_link: !runs };
        let destination = Destination::endpoint(address, id);
        let result = self.pool.exchange_if(&destination, request, until.min(job.deadline), condition).await;
        work.sent.set(!matches!(result, Err(ExchangeFailure::Unsent | ExchangeFailure::Withheld)));
        let step = step_name(purpose);
        let outcome = match result {
            Ok((head, mut body)) => self.check_response(job, key, &head, purpose).map(|()| {
                self.observe_life(key);
                body.set_bounds(bounds::of_response(job, purpose));
                let outcome = self.head_outcome(key, head.status, self.now().duration_since(sent_at));
                Answer { head, body, endpoint: key, sent_at, outcome }
            }),
            Err(failure) => Err(failure.into()),
        };
        if let Some(run) = run
            && outcome.as_ref().is_err_and(|failure| !failure.may_have_run())
        {
            run.take_back();
        }
        if let Some(step_outcome) =
            outcome.as_ref().err().and_then(|failure| failure.outcome(self.now().duration_since(sent_at)))
        {
            self.observe_outcome(job, key, step_outcome);
        }
        self.metrics.count_step(step, outcome.as_ref().map_or_else(|f| f.text(), |_| "answered"));
        outcome
    }

    /// What the head of a response shows about its endpoint.
    fn head_outcome(&self, key: EndpointKey, status: StatusCode, latency: Duration) -> StepOutcome {
        let is_cooling = || self.state.borrow().endpoints.is_cooling(self.now(), key);
        match status {
            // A refusal of the endpoint's own that states a delay is no failure.
            StatusCode::SERVICE_UNAVAILABLE if is_cooling() => StepOutcome::Full,
            status if status.is_server_error() => StepOutcome::ErrorResponse,
            _ => StepOutcome::Answered(latency),
        }
    }

    fn request(
        &self,
        job: &Job,
        id: &str,
        purpose: Purpose<'_>,
        remaining: Duration,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.path.parse().expect("the path came from a parsed request");
        let mut headers = job.headers.clone();
        let rank = load::engine_rank(self, job, purpose);
        self.protocol.endpoint_headers(&mut headers, job.team_name(), rank, remaining, id, purpose);
        *request.headers_mut() = headers;
        request
    }

    /// Accepts a response only if it belongs to this request and comes from the intended endpoint.
    ///
    /// An endpoint may respond twice to one request or call. The second response then arrives where the next
    /// request's response is expected, and would give one caller another caller's data, or say of a request that
    /// runs that it does not. Endpoints echo the request id in every response to a request; a response without it is
    /// that to a call. Such a connection is not reused.
    fn check_response(
        &self,
        job: &Job,
        key: EndpointKey,
        head: &Parts,
        purpose: Purpose<'_>,
    ) -> Result<(), StepFailure> {
        let meta = self.protocol.read_response(head.status, &head.headers);
        if meta.id != job.meta.id {
            warn!(self.log, "response belongs to another request"; "expected" => &job.meta.id, "id" => &meta.id);
            return Err(StepFailure::Broken);
        }
        statements::observe(self, key, &meta);
        if meta.misdirected {
            self.mark_replaced(key, &meta.endpoint);
            return Err(StepFailure::Misdirected);
        }
        if meta.refused {
            return Err(StepFailure::Refused);
        }
        let genuine = meta.signed || matches!(purpose, Purpose::Prefill);
        // A change of protocol that nobody asked for has no end.
        let is_final = !head.status.is_informational();
        if !genuine || !is_final || head.headers.contains_key(CONTENT_ENCODING) {
            return Err(StepFailure::Broken);
        }
        Ok(())
    }

    /// Retires an endpoint at whose address another endpoint responded: the intended endpoint has ended. The
    /// list may show that only seconds later.
    fn mark_replaced(&self, key: EndpointKey, answering: &str) {
        let Some((_, id)) = self.locate(key) else { return };
        if answering.is_empty() || answering == &*id {
            return;
        }
        self.state.borrow_mut().endpoints.mark_ended(self.now(), key);
        info!(self.log, "endpoint"; "endpoint" => &*id, "state" => "replaced", "by" => answering);
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
