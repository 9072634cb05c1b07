//! A stand-in for the users' store: keys with revisions, lists and watches. The system can only read it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::configuration::{site_configuration, site_configuration_with_teams};
use super::http::{Request, read_request, response_head, write_response};

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// The store responds.
    #[default]
    Up,
    /// The store responds with 503.
    Busy,
    /// The store sends no response.
    Silent,
    /// The store closes connections.
    Closing,
    /// The store responds, and its responses take 2.5 s to arrive, in pieces.
    Trickling,
    /// The store's responses take 2.5 s to arrive, and say what it had before.
    Late,
}

/// Key of the active configuration.
const CONFIGURATION_KEY: &str = "op/config";
/// Pieces of a response of a store that is [`StoreMode::Trickling`], and the time between two of them.
const TRICKLE_PIECES: usize = 25;
const TRICKLE_GAP: Duration = Duration::from_millis(100);
const LATENESS: Duration = Duration::from_millis(2500);
/// Entries on one page of a list; few, so that lists in tests have a second page.
const PAGE_ENTRIES: usize = 50;

#[derive(Debug, Default)]
struct Inner {
    revision: u64,
    /// Value and revision of each key.
    items: BTreeMap<String, (String, u64)>,
    /// Every change: its revision, its key, and the new value or `None` for a removal.
    changes: Vec<(u64, String, Option<String>)>,
    /// Changes up to this revision are compacted.
    compacted_revision: u64,
    mode: StoreMode,
    calls: u64,
    /// The wait that each watch requested, in milliseconds.
    watch_waits_ms: Vec<u64>,
    /// Whether every second call is refused with 429.
    rate_limited: bool,
    /// Sent with all responses; `None` for an older platform, which sends none.
    era: Option<u64>,
}

/// A backup of the store.
#[derive(Debug, Clone)]
pub struct StoreBackup {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
}

/// A running store; dropping it stops the store.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    changed: Arc<watch::Sender<u64>>,
    task: JoinHandle<()>,
}

impl Store {
    /// Starts a store on a loopback port.
    ///
    /// # Errors
    /// No port can be listened on.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Mutex::new(Inner::default()));
        let changed = Arc::new(watch::Sender::new(0));
        let task = tokio::spawn(accept(listener, Arc::clone(&inner), Arc::clone(&changed)));
        Ok(Self { address, inner, changed, task })
    }

    /// Address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes the configuration with this version.
    pub fn publish(&self, version: u64) {
        self.put(CONFIGURATION_KEY, &site_configuration(version));
    }

    /// Writes the configuration with this version, with teams.
    pub fn publish_with_teams(&self, version: u64) {
        self.put(CONFIGURATION_KEY, &site_configuration_with_teams(version));
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: &Value) {
        self.change(key, Some(STANDARD.encode(value.to_string())));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// Compacts the history so far; watches from an earlier revision get 410.
    pub fn compact_history(&self) {
        let mut inner = lock(&self.inner);
        inner.compacted_revision = inner.revision;
        inner.changes.clear();
    }

    /// Sends this era from now on.
    pub fn set_era(&self, era: u64) {
        lock(&self.inner).era = Some(era);
    }

    /// A backup of the store's present content.
    pub fn backup(&self) -> StoreBackup {
        let inner = lock(&self.inner);
        StoreBackup { revision: inner.revision, items: inner.items.clone() }
    }

    /// Restores a backup: changes since the backup are lost, their revisions are assigned again, and the era rises
    /// by one.
    pub fn restore(&self, backup: StoreBackup) {
        let mut inner = lock(&self.inner);
        inner.revision = backup.revision;
        inner.items = backup.items;
        inner.changes.retain(|(revision, _, _)| *revision <= backup.revision);
        inner.era = Some(inner.era.unwrap_or(0) + 1);
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Replaces the store's mode.
    pub fn set_mode(&self, mode: StoreMode) {
        lock(&self.inner).mode = mode;
        self.changed.send_modify(|n| *n += 1);
    }

    /// Refuses every second call with 429, as a store does above its rate limit.
    pub fn set_rate_limited(&self, rate_limited: bool) {
        lock(&self.inner).rate_limited = rate_limited;
    }

    /// Number of calls so far, with or without a response.
    pub fn calls(&self) -> u64 {
        lock(&self.inner).calls
    }

    /// The wait that each watch so far requested, in milliseconds; watches without a response are included.
    pub fn watch_waits_ms(&self) -> Vec<u64> {
        lock(&self.inner).watch_waits_ms.clone()
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut inner = lock(&self.inner);
        inner.revision += 1;
        let revision = inner.revision;
        match &value {
            Some(value) => inner.items.insert(key.to_owned(), (value.clone(), revision)),
            None => inner.items.remove(key),
        };
        inner.changes.push((revision, key.to_owned(), value));
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, inner: Arc<Mutex<Inner>>, changed: Arc<watch::Sender<u64>>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve(stream, Arc::clone(&inner), changed.subscribe()));
    }
}

async fn serve(mut stream: TcpStream, inner: Arc<Mutex<Inner>>, mut changed: watch::Receiver<u64>) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        let (mode, refused) = {
            let mut inner = lock(&inner);
            inner.calls += 1;
            let refused = inner.rate_limited && inner.calls.is_multiple_of(2);
            if let Some(wait) = request.query("wait_ms") {
                inner.watch_waits_ms.push(wait.parse().unwrap_or(0));
            }
            (inner.mode, refused)
        };
        let response = match mode {
            _ if refused => StoreResponse::empty(429, &lock(&inner)),
            StoreMode::Up | StoreMode::Trickling | StoreMode::Late
                if request.path.starts_with("/-/kv-watch") =>
            {
                answer_watch(&request, &inner, &mut changed).await
            }
            StoreMode::Up | StoreMode::Trickling | StoreMode::Late => answer_list(&request, &lock(&inner)),
            StoreMode::Busy => StoreResponse::empty(503, &lock(&inner)),
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Closing => return,
        };
        if mode == StoreMode::Late {
            tokio::time::sleep(LATENESS).await;
        }
        let pieces = if mode == StoreMode::Trickling { TRICKLE_PIECES } else { 1 };
        response.send(&mut stream, pieces).await;
    }
}

/// A response with the era at its creation.
struct StoreResponse {
    status: u16,
    body: Value,
    era: Option<u64>,
}

impl StoreResponse {
    fn new(status: u16, body: Value, inner: &Inner) -> Self {
        Self { status, body, era: inner.era }
    }

    fn empty(status: u16, inner: &Inner) -> Self {
        Self::new(status, Value::Null, inner)
    }

    /// Sends the response in so many pieces.
    async fn send(self, stream: &mut TcpStream, pieces: usize) {
        let era = self.era.map(|era| era.to_string());
        let mut headers = vec![("content-type", "application/json")];
        headers.extend(era.as_deref().map(|era| ("store-era", era)));
        let body = self.body.to_string();
        if pieces == 1 {
            return write_response(stream, self.status, &headers, &body).await;
        }
        let head = response_head(self.status, &headers);
        let text = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
        for piece in text.as_bytes().chunks(text.len().div_ceil(pieces)) {
            // The client has closed the connection.
            if stream.write_all(piece).await.is_err() {
                return;
            }
            tokio::time::sleep(TRICKLE_GAP).await;
        }
    }
}

fn answer_list(request: &Request, inner: &Inner) -> StoreResponse {
    let prefix = request.query("prefix").unwrap_or_default();
    let after = request.query("after").unwrap_or_default();
    let matches = |key: &str| key.starts_with(prefix) && key > after;
    let found: Vec<_> = inner.items.iter().filter(|(key, _)| matches(key)).collect();
    let items: Vec<Value> = found.iter().take(PAGE_ENTRIES).map(|(k, (v, r))| item(k, v, *r)).collect();
    let body =
        json!({ "items": items, "has_more": found.len() > PAGE_ENTRIES, "current_rev": inner.revision });
    StoreResponse::new(200, body, inner)
}

fn item(key: &str, value: &str, revision: u64) -> Value {
    json!({ "key": key, "value": value, "rev": revision, "create_revision": revision, "lease": 0 })
}

async fn answer_watch(
    request: &Request,
    inner: &Mutex<Inner>,
    changed: &mut watch::Receiver<u64>,
) -> StoreResponse {
    let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
    let prefix = request.query("prefix").unwrap_or_default();
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        changed.mark_unchanged();
        {
            let inner = lock(inner);
            if after < inner.compacted_revision || after > inner.revision {
                return StoreResponse::empty(410, &inner);
            }
            let events: Vec<Value> = inner
                .changes
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, value, *revision),
                    None => json!({ "key": key, "rev": revision, "removed": true }),
                })
                .collect();
            if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                return StoreResponse::new(
                    200,
                    json!({ "events": events, "current_rev": inner.revision }),
                    &inner,
                );
            }
        }
        // The next iteration checks whether a change or the deadline ended this wait.
        let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
    }
}
