//! A stand-in of the users' endpoints: a plain service, or an engine that prefills or decodes.
//!
//! It keeps a ledger of what it ran, by the callers' ids, and does faults on command.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::http::{Asked, answer, chunk, head, read};

/// Body of a request that crashes every endpoint that begins to run it. Reading its prompt does no harm.
pub const CRASHING_BODY: &str = "crash";

/// What a stand-in endpoint is.
#[derive(Debug, Clone)]
pub struct SiteOptions {
    /// Id of this start.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// `prefill` or `decode` for an engine.
    pub stage: Option<&'static str>,
    /// Time of a request, a prefill, or until the first event.
    pub work_time: Duration,
    /// Events of a stream.
    pub event_count: u32,
    /// Time between events.
    pub event_gap: Duration,
    /// Tokens that may be reserved at a time.
    pub reservable_tokens: u64,
}

/// What an endpoint does wrong, until changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SiteFault {
    /// Nothing.
    #[default]
    None,
    /// Refuses requests, and says that it has not run them.
    Refuse,
    /// Takes requests and never answers.
    Hang,
    /// Runs requests and closes the connection without an answer.
    Lose,
    /// Answers every request a second time, after the first answer.
    Extra,
    /// Answers with its own failure.
    Fail,
    /// Breaks streams off after so many events, in the middle of the next.
    Cut(u32),
    /// Answers without a length, ending with the connection.
    Unframed,
    /// Adds so many bytes to each answer, and to each event of a stream.
    Large(usize),
}

/// Something that an endpoint ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteExecution {
    /// The caller's id.
    pub request_id: String,
    /// Whether only the prompt was read.
    pub prefill: bool,
    /// The event after which a stream went on.
    pub resume_after: Option<u32>,
    /// The caller's team, as it was told.
    pub team: Option<String>,
    /// A key that was passed on.
    pub authorization: Option<String>,
    /// When it began.
    pub started_at: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    runs: Vec<SiteExecution>,
    /// Requests being worked on.
    working: u32,
    holds: HashSet<String>,
    handles: HashSet<String>,
    reserved: u64,
    next: u64,
    orders: Vec<Value>,
    fault: SiteFault,
    left: bool,
    /// The `Server-Limit` of its answers.
    limit: Option<String>,
    /// Requests that reached it, run or not, and when.
    arrivals: Vec<Instant>,
}

/// An endpoint, served until dropped.
#[derive(Debug)]
pub struct SiteEndpoint {
    options: SiteOptions,
    address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    task: JoinHandle<()>,
    crashed: watch::Receiver<bool>,
}

impl SiteEndpoint {
    /// Starts on a loopback port.
    ///
    /// # Errors
    /// No port can be listened on.
    pub async fn start(options: SiteOptions) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Mutex::new(Inner::default()));
        let (crash, crashed) = watch::channel(false);
        let shared = Arc::new(Shared { options: options.clone(), inner: Arc::clone(&inner), crash });
        let task = tokio::spawn(accept(listener, shared, crashed.clone()));
        Ok(Self { options, address, inner, task, crashed })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a request has crashed it; it listens no more then.
    pub fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    /// Becomes true when a request crashes it.
    pub fn crash_signal(&self) -> watch::Receiver<bool> {
        self.crashed.clone()
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.options.id
    }

    /// Its stage, for an engine.
    pub fn stage(&self) -> Option<&'static str> {
        self.options.stage
    }

    /// Its entry in the store, reached at `address`.
    pub fn entry(&self, address: SocketAddr, state: &str) -> Value {
        let SiteOptions { service, domain, stage, .. } = &self.options;
        json!({ "service": service, "address": address, "zone": domain, "version": "v1", "slots": 8,
            "state": state, "cold_left_ms": 0, "stage": stage, "sequence": 1 })
    }

    /// Everything that it ran.
    pub fn executions(&self) -> Vec<SiteExecution> {
        self.lock().runs.clone()
    }

    /// Requests that it works on now.
    pub fn active_requests(&self) -> u32 {
        self.lock().working
    }

    /// Reservations and KV caches that nobody has taken or given back.
    pub fn unreleased(&self) -> usize {
        let inner = self.lock();
        inner.holds.len() + inner.handles.len()
    }

    /// Orders that it was given.
    pub fn orders(&self) -> Vec<Value> {
        self.lock().orders.clone()
    }

    /// Changes its fault.
    pub fn set_fault(&self, fault: SiteFault) {
        self.lock().fault = fault;
    }

    /// From now on its answers name a limit in `Server-Limit`, or none; any text, since tests send ones that are no numbers.
    pub fn advertise_limit(&self, limit: Option<&str>) {
        self.lock().limit = limit.map(str::to_owned);
    }

    /// When requests reached it, whether it ran them or not.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    /// From now on another endpoint has the address.
    pub fn release_address(&self) {
        self.lock().left = true;
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
    crash: watch::Sender<bool>,
}

/// Counts a request as worked on; dropped when its connection ends as well.
struct Working<'a>(&'a Shared);

impl Drop for Working<'_> {
    fn drop(&mut self) {
        self.0.lock().working -= 1;
    }
}

/// Serves until it crashes, which ends the listener and all connections.
async fn accept(listener: TcpListener, shared: Arc<Shared>, mut crashed: watch::Receiver<bool>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            _ = crashed.wait_for(|crashed| *crashed) => return,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
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

    async fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(asked) = read(&mut stream, &mut buffer).await {
            // Work whose caller has closed ends at its next write, or with the connection.
            let goes_on = self.handle(&mut stream, &asked).await;
            if !goes_on {
                return;
            }
        }
    }

    /// Handles a request; says whether the connection goes on.
    async fn handle(&self, stream: &mut TcpStream, asked: &Asked) -> bool {
        let path = asked.path.as_str();
        if asked.header("expect-instance").is_some_and(|id| id != self.options.id) || self.lock().left {
            answer(stream, 421, &[("not-executed", "1")], "").await;
            return true;
        }
        if let Some(answered) = self.control(asked, path) {
            let (status, body) = answered;
            let headers = self.with_limit(&[("content-type", "application/json")]);
            answer(stream, status, &borrowed(&headers), &body.to_string()).await;
            return true;
        }
        self.run(stream, asked).await
    }

    /// Headers of an answer, and the limit if it names one.
    fn with_limit(&self, headers: &[(&'static str, &str)]) -> Vec<(&'static str, String)> {
        let own = headers.iter().map(|&(name, value)| (name, value.to_owned()));
        let limit = self.lock().limit.clone();
        own.chain(limit.map(|limit| ("server-limit", limit))).collect()
    }

    /// Calls beside requests: reservations, handles, orders.
    fn control(&self, asked: &Asked, path: &str) -> Option<(u16, Value)> {
        let mut inner = self.lock();
        if path == "/-/hold-take" {
            let body: Value = serde_json::from_slice(&asked.body).unwrap_or_default();
            let tokens = body["tokens"].as_u64().unwrap_or(0);
            if inner.reserved + tokens > self.options.reservable_tokens {
                return Some((503, json!({})));
            }
            inner.next += 1;
            let hold = format!("hold-{}", inner.next);
            inner.holds.insert(hold.clone());
            return Some((200, json!({ "hold": hold })));
        }
        if let Some(hold) = path.strip_prefix("/-/hold-drop/") {
            inner.holds.remove(hold);
            return Some((200, json!({})));
        }
        if let Some(handle) = path.strip_prefix("/-/kv-handle/") {
            inner.handles.remove(handle);
            return Some((200, json!({})));
        }
        if path == "/-/order" {
            inner.orders.push(serde_json::from_slice(&asked.body).unwrap_or_default());
            return Some((202, json!({})));
        }
        None
    }

    async fn run(&self, stream: &mut TcpStream, asked: &Asked) -> bool {
        let id = asked.header("request-id").unwrap_or_default().to_owned();
        let prefill = asked.header("stage") == Some("prefill");
        let after = asked.header("last-event-id").and_then(|v| v.parse().ok());
        let fault = {
            let mut inner = self.lock();
            inner.arrivals.push(Instant::now());
            inner.fault
        };
        if fault == SiteFault::Refuse {
            let headers = self.with_limit(&[("not-executed", "1"), ("request-id", &id)]);
            answer(stream, 503, &borrowed(&headers), "").await;
            return true;
        }
        let _working = {
            let mut inner = self.lock();
            if let Some(hold) = asked.header("kv-hold") {
                inner.holds.remove(hold);
            }
            let (team, key) = (asked.header("tenant"), asked.header("authorization"));
            inner.runs.push(SiteExecution {
                request_id: id.clone(),
                prefill,
                resume_after: after,
                team: team.map(str::to_owned),
                authorization: key.map(str::to_owned),
                started_at: Instant::now(),
            });
            inner.working += 1;
            Working(self)
        };
        if fault == SiteFault::Hang {
            // Until the other side closes.
            let mut buffer = Vec::new();
            let _ = read(stream, &mut buffer).await;
            return false;
        }
        tokio::time::sleep(self.options.work_time).await;
        let crashes = !prefill && asked.body == CRASHING_BODY.as_bytes();
        if crashes && self.options.event_count == 0 {
            self.crash.send_replace(true);
            return false;
        }
        if fault == SiteFault::Lose {
            return false;
        }
        let seal = format!("seal-{}", self.options.id);
        let headers = self.with_limit(&[("request-id", id.as_str()), ("server-seal", seal.as_str())]);
        let headers = borrowed(&headers);
        if prefill {
            let handle = {
                let mut inner = self.lock();
                inner.next += 1;
                let handle = format!("handle-{}", inner.next);
                inner.handles.insert(handle.clone());
                handle
            };
            let body = json!({ "handle": handle, "tokens": 1, "version": 1 }).to_string();
            answer(stream, 200, &headers, &body).await;
            return true;
        }
        if fault == SiteFault::Fail {
            answer(stream, 500, &headers, "failed").await;
            return true;
        }
        if self.options.event_count > 0 {
            let fault = if crashes { SiteFault::Cut(0) } else { fault };
            let goes_on = self.events(stream, &headers, &id, after.unwrap_or(0), fault).await;
            if crashes {
                self.crash.send_replace(true);
            }
            return goes_on;
        }
        let padding = if let SiteFault::Large(bytes) = fault { ".".repeat(bytes) } else { String::new() };
        let body = format!("answer to {id}{padding}");
        if fault == SiteFault::Unframed {
            let text = format!("{}\r\n{body}", head(200, &headers));
            let _ = stream.write_all(text.as_bytes()).await;
            return false;
        }
        answer(stream, 200, &headers, &body).await;
        if fault == SiteFault::Extra {
            answer(stream, 200, &headers, &body).await;
        }
        true
    }

    async fn events(
        &self,
        stream: &mut TcpStream,
        headers: &[(&str, &str)],
        id: &str,
        after: u32,
        fault: SiteFault,
    ) -> bool {
        let mut text = head(200, headers);
        text.push_str("content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
        if stream.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
        for number in after + 1..=self.options.event_count {
            if matches!(fault, SiteFault::Cut(cut) if number > cut) {
                chunk(stream, &format!("id: {number}\nda")).await;
                return false;
            }
            let padding = match fault {
                SiteFault::Large(bytes) => format!(": {}\n", ".".repeat(bytes)),
                _ => String::new(),
            };
            if !chunk(stream, &format!("{padding}{}", event_text(id, number))).await {
                return false;
            }
            tokio::time::sleep(self.options.event_gap).await;
        }
        chunk(stream, "").await
    }
}

fn borrowed<'a>(headers: &'a [(&'static str, String)]) -> Vec<(&'static str, &'a str)> {
    headers.iter().map(|(name, value)| (*name, value.as_str())).collect()
}

/// The text of an event, a function of request and number, so that a caller can check that it got its own.
pub fn event_text(request: &str, number: u32) -> String {
    format!("id: {number}\ndata: {request} {number}\n\n")
}
