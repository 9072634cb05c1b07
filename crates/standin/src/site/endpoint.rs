//! A stand-in for the users' endpoints: a plain service, or an engine that prefills or decodes.
//!
//! The stand-in records each request that it ran with the caller's request id, and injects faults on command.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::body::{SiteBody, SiteFraming};
use super::capacity::{Entry, Places, Reservations};
use super::crash::crashes_under;
use super::events::write_events;
use super::fault::SiteFault;
use super::http::{Request, read_request, write_response};
use super::no_end::{Begin, write_without_end};
use super::pause::{PausableListener, PausableStream, Pauses, SitePause};

/// Slots that an endpoint without a limit on its places states: more than it gets requests at a time.
const UNLIMITED_SLOTS: u32 = 1_000;

/// Properties of a stand-in endpoint.
#[derive(Debug, Clone)]
pub struct SiteOptions {
    /// Id of this incarnation.
    pub id: String,
    /// Service of the endpoint.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// `prefill` or `decode` for an engine.
    pub stage: Option<&'static str>,
    /// Duration of a request or a prefill, or time until the first event of a stream.
    pub work_time: Duration,
    /// Number of events of a stream; 0 for a plain service.
    pub event_count: u32,
    /// Time between events.
    pub event_gap: Duration,
    /// Tokens that the endpoint grants to reservations. One counts until it is released or 2 s old, or until the request
    /// that uses it has ended.
    pub reservable_tokens: u64,
    /// Requests that run at the same time; 0 for no limit.
    pub places: u32,
    /// Requests that wait for a place; further ones are refused with 503 and `Not-Executed`.
    pub queue: u32,
}

/// A request that an endpoint ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteExecution {
    /// The caller's request id.
    pub request_id: String,
    /// Whether the endpoint only prefilled the prompt.
    pub prefill: bool,
    /// The event after which a stream was resumed.
    pub resume_after: Option<u32>,
    /// The caller's team, from the header `tenant`.
    pub team: Option<String>,
    /// An `Authorization` header that was forwarded.
    pub authorization: Option<String>,
    /// The `Request-Priority` of the request.
    pub priority: Option<u8>,
    /// When the request reached the endpoint.
    pub arrived_at: Instant,
    /// When the request started to run.
    pub started_at: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    executions: Vec<SiteExecution>,
    /// Requests that are running.
    active_requests: u32,
    reservations: Reservations,
    handles: HashSet<String>,
    /// Factor of the work time.
    pace: f64,
    next_id: u64,
    orders: Vec<Value>,
    /// Orders that were accepted.
    accepted_orders: u64,
    fault: SiteFault,
    address_released: bool,
    /// The `Server-Limit` of the endpoint's responses.
    advertised_limit: Option<String>,
    /// Whether the endpoint's responses state that it leaves.
    leaving: bool,
    /// The `Retry-After` of the endpoint's refusals.
    retry_after: Option<String>,
    /// Whether all responses have the `Retry-After`, and not only refusals.
    retry_after_always: bool,
    arrivals: Vec<SiteArrival>,
    /// Connections that were accepted.
    connections: u64,
    /// Time that a new connection takes.
    accept_time: Duration,
}

/// A request that reached an endpoint, whether the request ran or not. Reservations and orders are included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteArrival {
    /// The caller's request id; empty for a call that is no request of a caller.
    pub request_id: String,
    /// Path and query.
    pub path: String,
    /// When the request arrived.
    pub at: Instant,
    /// The delay that the endpoint stated when it refused the request.
    pub retry_after: Option<String>,
}

/// A running endpoint; dropping it stops the endpoint.
#[derive(Debug)]
pub struct SiteEndpoint {
    options: SiteOptions,
    address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    pauses: Arc<Pauses>,
    task: JoinHandle<()>,
    crashed: watch::Receiver<bool>,
}

impl SiteEndpoint {
    /// Starts an endpoint on a loopback port.
    ///
    /// # Errors
    /// No port can be listened on.
    pub async fn start(options: SiteOptions) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Mutex::new(Inner { pace: 1.0, ..Inner::default() }));
        let (crash, crashed) = watch::channel(false);
        let places = Places::new(options.places, options.queue);
        let pauses = Arc::<Pauses>::default();
        let listener = PausableListener { listener, pauses: Arc::clone(&pauses), held_since: None };
        let (shared_inner, shared_pauses) = (Arc::clone(&inner), Arc::clone(&pauses));
        let shared =
            Shared { options: options.clone(), inner: shared_inner, pauses: shared_pauses, places, crash };
        let task = tokio::spawn(accept(listener, Arc::new(shared), crashed.clone()));
        Ok(Self { options, address, inner, pauses, task, crashed })
    }

    /// Address on which the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a request has crashed the endpoint. A crashed endpoint no longer listens.
    pub fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    /// A signal that turns to `true` when a request crashes the endpoint.
    pub fn crash_signal(&self) -> watch::Receiver<bool> {
        self.crashed.clone()
    }

    /// Id of the endpoint.
    pub fn id(&self) -> &str {
        &self.options.id
    }

    /// Stage of an engine; `None` for a plain service.
    pub fn stage(&self) -> Option<&'static str> {
        self.options.stage
    }

    /// The endpoint's entry in the store, with `address` as its address.
    pub fn entry(&self, address: SocketAddr, state: &str) -> Value {
        let SiteOptions { service, domain, stage, places, .. } = &self.options;
        let slots = if *places > 0 { *places } else { UNLIMITED_SLOTS };
        json!({ "service": service, "address": address, "zone": domain, "version": "v1", "slots": slots,
            "state": state, "cold_left_ms": 0, "stage": stage, "sequence": 1 })
    }

    /// Every request that the endpoint ran.
    pub fn executions(&self) -> Vec<SiteExecution> {
        self.lock().executions.clone()
    }

    /// Number of requests that are running.
    pub fn active_requests(&self) -> u32 {
        self.lock().active_requests
    }

    /// Number of reservations and KV caches that were neither used nor released.
    pub fn unreleased(&self) -> usize {
        let inner = self.lock();
        inner.reservations.open_count() + inner.handles.len()
    }

    /// Number of orders that the endpoint accepted.
    pub fn accepted_orders(&self) -> u64 {
        self.lock().accepted_orders
    }

    /// Every order that the endpoint received.
    pub fn orders(&self) -> Vec<Value> {
        self.lock().orders.clone()
    }

    /// Pauses the endpoint until the result is dropped: it accepts, reads and writes nothing, and goes on where it was.
    pub fn pause(&self) -> SitePause {
        SitePause::begin(&self.pauses)
    }

    /// The same after `delay` and for `time`, unless the task is aborted before.
    pub fn pause_after(&self, delay: Duration, time: Duration) -> JoinHandle<()> {
        let pauses = Arc::clone(&self.pauses);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _pause = SitePause::begin(&pauses);
            tokio::time::sleep(time).await;
        })
    }

    /// Whether the endpoint is paused, and when its last pause began or ended; `None` if it never paused.
    pub fn last_pause(&self) -> Option<(bool, Instant)> {
        self.pauses.last_change()
    }

    /// Sets how long each new connection keeps the endpoint from accepting the next one, as in an endpoint that accepts in its main loop.
    pub fn set_accept_time(&self, time: Duration) {
        self.lock().accept_time = time;
    }

    /// Number of connections that the endpoint has accepted.
    pub fn connection_count(&self) -> u64 {
        self.lock().connections
    }

    /// Replaces the endpoint's fault.
    pub fn set_fault(&self, fault: SiteFault) {
        self.lock().fault = fault;
    }

    /// Multiplies the work time of requests that start from now on by `pace`, which must be finite and not negative.
    pub fn set_pace(&self, pace: f64) {
        self.lock().pace = pace;
    }

    /// Sets the `Server-Limit` of further responses, or removes the header. The limit is a text, since tests send some
    /// that are not numbers.
    pub fn advertise_limit(&self, limit: Option<&str>) {
        self.lock().advertised_limit = limit.map(str::to_owned);
    }

    /// Sets whether all further responses state that the endpoint leaves.
    pub fn announce_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Sets the `Retry-After` of further refusals, or removes the header. The delay is a text, since tests send some
    /// that are not numbers.
    pub fn set_retry_after(&self, delay: Option<&str>) {
        self.lock().retry_after = delay.map(str::to_owned);
    }

    /// Sets whether all further responses have the `Retry-After`, whatever their status.
    pub fn set_retry_after_always(&self, always: bool) {
        self.lock().retry_after_always = always;
    }

    /// When each request of a caller arrived, whether the request ran or not.
    pub fn arrivals(&self) -> Vec<Instant> {
        let inner = self.lock();
        inner
            .arrivals
            .iter()
            .filter(|arrival| !arrival.request_id.is_empty())
            .map(|arrival| arrival.at)
            .collect()
    }

    /// Every request that arrived, in order.
    pub fn arrival_log(&self) -> Vec<SiteArrival> {
        self.lock().arrivals.clone()
    }

    /// Simulates that another endpoint now has this address: all further requests are refused as misdirected.
    pub fn release_address(&self) {
        self.lock().address_released = true;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for SiteEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Shared {
    options: SiteOptions,
    inner: Arc<Mutex<Inner>>,
    pauses: Arc<Pauses>,
    places: Places,
    crash: watch::Sender<bool>,
}

/// Counts a request and its reserved tokens as running until dropped. The end of the request's connection is such a
/// drop as well.
struct ActiveRequest<'a> {
    shared: &'a Shared,
    tokens: u64,
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        let mut inner = self.shared.lock();
        inner.active_requests -= 1;
        inner.reservations.end(self.tokens);
    }
}

/// Serves connections until the endpoint crashes, which closes the listener and all connections.
async fn accept(mut listener: PausableListener, shared: Arc<Shared>, mut crashed: watch::Receiver<bool>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepting = async {
            let stream = listener.accept().await?;
            let accept_time = {
                let mut inner = shared.lock();
                inner.connections += 1;
                inner.accept_time
            };
            if accept_time > Duration::ZERO {
                tokio::time::sleep(accept_time).await;
            }
            std::io::Result::Ok(stream)
        };
        tokio::select! {
            _ = crashed.wait_for(|crashed| *crashed) => return,
            accepted = accepting => {
                let Ok(stream) = accepted else { return };
                let shared = Arc::clone(&shared);
                connections.spawn(async move { shared.serve(stream).await });
            }
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, mut stream: PausableStream) {
        let mut buffer = Vec::new();
        let mut late = None;
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            if let Some(second) = late.take() {
                // A connection that has ended ends at the next read.
                let _ = stream.write_all(String::as_bytes(&second)).await;
            }
            // Work for a client that has disconnected ends at its next write, or with the connection.
            let keep_open = self.handle_request(&mut stream, &request).await;
            if !keep_open {
                return self.pauses.over().await;
            }
            let fault = self.lock().fault;
            late = fault.second_response(&request);
        }
    }

    /// Handles a request, and returns whether the connection stays open.
    async fn handle_request(&self, stream: &mut PausableStream, request: &Request) -> bool {
        let path = request.path.as_str();
        if request.header("expect-instance").is_some_and(|id| id != self.options.id)
            || self.lock().address_released
        {
            let mut headers = vec![("not-executed", "1")];
            headers.extend(request.header("request-id").map(|id| ("request-id", id)));
            write_response(stream, 421, &headers, "").await;
            return true;
        }
        let arrival = {
            let at = stream.take_held().unwrap_or_else(Instant::now);
            let mut inner = self.lock();
            inner.arrivals.push(SiteArrival {
                request_id: request.header("request-id").unwrap_or_default().to_owned(),
                path: path.to_owned(),
                at,
                retry_after: None,
            });
            inner.arrivals.len() - 1
        };
        if let Some(response) = self.handle_control(request, path) {
            let (status, body) = response;
            let headers = self.with_statements(status, &[("content-type", "application/json")]);
            let fault = self.lock().fault;
            if let SiteFault::CutHead(cut) = fault {
                return cut.write(stream, status, &as_strs(&headers)).await;
            }
            return self.write_body(stream, status, &as_strs(&headers), body.to_string()).await;
        }
        self.run_request(stream, request, arrival).await
    }

    /// Headers of a response, with what the endpoint states about itself.
    fn with_statements(&self, status: u16, headers: &[(&'static str, &str)]) -> Vec<(&'static str, String)> {
        let inner = self.lock();
        let refuses = matches!(status, 429 | 503) || inner.retry_after_always;
        let statements = [
            ("server-limit", inner.advertised_limit.clone()),
            ("server-leaving", inner.leaving.then(|| "1".to_owned())),
            ("retry-after", inner.retry_after.clone().filter(|_| refuses)),
        ];
        let stated = statements.into_iter().filter_map(|(name, value)| Some((name, value?)));
        headers.iter().map(|&(name, value)| (name, value.to_owned())).chain(stated).collect()
    }

    /// Responds to calls of the protocol that run no request: for reports, reservations, handles of KV caches and orders.
    fn handle_control(&self, request: &Request, path: &str) -> Option<(u16, Value)> {
        let mut inner = self.lock();
        if path == "/-/hold-take" {
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let tokens = body["tokens"].as_u64().unwrap_or(0);
            inner.next_id += 1;
            let hold = format!("hold-{}", inner.next_id);
            let limit = self.options.reservable_tokens;
            if inner.fault == SiteFault::RefuseAll
                || !inner.reservations.grant(&hold, tokens, limit, Instant::now())
            {
                return Some((503, json!({})));
            }
            return Some((200, json!({ "hold": hold })));
        }
        if let Some(hold) = path.strip_prefix("/-/hold-drop/") {
            inner.reservations.release(hold);
            return Some((200, json!({})));
        }
        if let Some(handle) = path.strip_prefix("/-/kv-handle/") {
            inner.handles.remove(handle);
            return Some((200, json!({})));
        }
        if path == "/-/report" {
            return Some((200, json!({ "in_flight": inner.active_requests })));
        }
        if path == "/-/order" {
            let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let expected = order["precondition"].as_u64();
            inner.orders.push(order);
            if expected.is_some_and(|expected| expected != inner.accepted_orders) {
                return Some((409, json!({})));
            }
            inner.accepted_orders += 1;
            return Some((202, json!({})));
        }
        None
    }

    /// Responds that a request was not run, and returns that the connection stays open.
    async fn refuse(&self, stream: &mut PausableStream, id: &str, arrival: usize) -> bool {
        {
            let mut inner = self.lock();
            let delay = inner.retry_after.clone();
            inner.arrivals[arrival].retry_after = delay;
        }
        let headers = self.with_statements(503, &[("not-executed", "1"), ("request-id", id)]);
        write_response(stream, 503, &as_strs(&headers), "").await;
        true
    }

    /// Runs a request with its faults, and returns whether the connection stays open. `arrival` is its index among
    /// the arrivals.
    async fn run_request(&self, stream: &mut PausableStream, request: &Request, arrival: usize) -> bool {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let prefill = request.header("stage") == Some("prefill");
        let after = request.header("last-event-id").and_then(|v| v.parse().ok());
        let refuses = matches!(self.lock().fault, SiteFault::Refuse | SiteFault::RefuseAll);
        let entry = if refuses { Entry::Full } else { self.places.enter(stream).await };
        let _place = match entry {
            Entry::Run(place) => place,
            Entry::Gone => return false,
            Entry::Full => return self.refuse(stream, &id, arrival).await,
        };
        // A request that was queued runs with the fault of this moment; the refusals are for arriving requests only.
        let (_active, fault, work_time) = {
            let mut inner = self.lock();
            let tokens = request.header("kv-hold").map_or(0, |hold| inner.reservations.begin(hold));
            let (team, authorization) = (request.header("tenant"), request.header("authorization"));
            let arrived_at = inner.arrivals[arrival].at;
            inner.executions.push(SiteExecution {
                request_id: id.clone(),
                prefill,
                resume_after: after,
                team: team.map(str::to_owned),
                authorization: authorization.map(str::to_owned),
                priority: request.header("request-priority").and_then(|value| value.parse().ok()),
                arrived_at,
                started_at: Instant::now(),
            });
            inner.active_requests += 1;
            let work_time = self.options.work_time.mul_f64(inner.pace);
            (ActiveRequest { shared: self, tokens }, inner.fault, work_time)
        };
        if fault == SiteFault::Hang {
            // Waits until the client closes the connection.
            let mut buffer = Vec::new();
            let _ = read_request(stream, &mut buffer).await;
            return false;
        }
        tokio::time::sleep(work_time).await;
        self.pauses.over().await;
        let crashes = !prefill && crashes_under(request, &self.options.id);
        if crashes && self.options.event_count == 0 {
            self.crash.send_replace(true);
            return false;
        }
        if fault == SiteFault::Lose {
            return false;
        }
        if let SiteFault::Text(text) = fault {
            return stream.write_all(text.replace("{id}", &id).as_bytes()).await.is_ok();
        }
        let seal = format!("seal-{}", self.options.id);
        let status = if fault == SiteFault::Fail { 500 } else { 200 };
        let headers =
            self.with_statements(status, &[("request-id", id.as_str()), ("server-seal", seal.as_str())]);
        let headers = as_strs(&headers);
        if let SiteFault::CutHead(cut) = fault {
            return cut.write(stream, status, &headers).await;
        }
        if prefill {
            let handle = {
                let mut inner = self.lock();
                inner.next_id += 1;
                let handle = format!("handle-{}", inner.next_id);
                inner.handles.insert(handle.clone());
                handle
            };
            let body = json!({ "handle": handle, "tokens": 1, "version": 1 }).to_string();
            return self.write_body(stream, 200, &headers, body).await;
        }
        if fault == SiteFault::Fail {
            write_response(stream, status, &headers, "failed").await;
            return true;
        }
        if self.options.event_count > 0 {
            let fault = match fault {
                _ if crashes => SiteFault::Cut(0),
                SiteFault::NoEndOfRuns(kind) => SiteFault::NoEnd(kind),
                fault => fault,
            };
            let keep_open =
                write_events(stream, &self.options, &headers, &id, after.unwrap_or(0), fault).await;
            if crashes {
                self.crash.send_replace(true);
            }
            return keep_open;
        }
        let padding = if let SiteFault::Large(bytes) = fault { ".".repeat(bytes) } else { String::new() };
        let body = format!("answer to {id}{padding}");
        if let SiteFault::NoEndOfRuns(kind) = fault {
            return write_without_end(stream, kind, &headers, Begin::Text(&body)).await;
        }
        if fault == SiteFault::Extra {
            write_response(stream, 200, &headers, &body).await;
        }
        self.write_body(stream, 200, &headers, body).await
    }

    /// Writes a response with this body, framed and cut short as the endpoint's fault says, and returns whether
    /// the connection stays open.
    async fn write_body(
        &self,
        stream: &mut PausableStream,
        status: u16,
        headers: &[(&str, &str)],
        body: String,
    ) -> bool {
        let fault = self.lock().fault;
        let style = match fault {
            SiteFault::Body(style) => style,
            SiteFault::NoEnd(kind) => {
                return write_without_end(stream, kind, headers, Begin::Text(&body)).await;
            }
            _ => SiteBody::whole(SiteFraming::Length),
        };
        style.write(stream, status, headers, &[body], Duration::ZERO).await
    }
}

fn as_strs<'a>(headers: &'a [(&'static str, String)]) -> Vec<(&'static str, &'a str)> {
    headers.iter().map(|(name, value)| (*name, value.as_str())).collect()
}
