//! A stand-in of the users' store: keys with revisions, lists and watches, read only for the system.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::configuration::{site_configuration, site_teams};
use super::http::{Asked, answer, read};

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// It answers.
    #[default]
    Up,
    /// It answers 503.
    Busy,
    /// It does not answer.
    Silent,
    /// It closes connections.
    Closing,
}

/// Key of the configuration in force.
const CONFIGURATION: &str = "op/config";
/// Entries of one answer to a list; small, so that tests meet a second page.
const PAGE: usize = 50;

#[derive(Debug, Default)]
struct Inner {
    revision: u64,
    /// Value and revision of each key.
    items: BTreeMap<String, (String, u64)>,
    /// Every change: revision, key, value or removal.
    changes: Vec<(u64, String, Option<String>)>,
    /// Changes up to this revision are forgotten.
    floor: u64,
    mode: StoreMode,
    calls: u64,
    /// What each watch asked to wait for, in milliseconds.
    waits: Vec<u64>,
    /// Whether every second call is refused as one too many.
    rate_limited: bool,
    /// Told in all answers; `None` for an older platform.
    era: Option<u64>,
}

/// A copy of all that the store holds.
#[derive(Debug, Clone)]
pub struct StoreBackup {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
}

/// The store, served until dropped.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    changed: Arc<watch::Sender<u64>>,
    task: JoinHandle<()>,
}

impl Store {
    /// Starts on a loopback port.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes the configuration with this number.
    pub fn publish(&self, version: u64) {
        self.put(CONFIGURATION, &site_configuration(version));
    }

    /// Writes the configuration with this number and with teams.
    pub fn publish_with_teams(&self, version: u64) {
        self.put(CONFIGURATION, &site_teams(version));
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: &Value) {
        self.change(key, Some(STANDARD.encode(value.to_string())));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// Forgets all changes so far; watches from before hear that their history is gone.
    pub fn compact_history(&self) {
        let mut inner = lock(&self.inner);
        inner.floor = inner.revision;
        inner.changes.clear();
    }

    /// Tells this era from now on.
    pub fn set_era(&self, era: u64) {
        lock(&self.inner).era = Some(era);
    }

    /// A copy of what it holds.
    pub fn backup(&self) -> StoreBackup {
        let inner = lock(&self.inner);
        StoreBackup { revision: inner.revision, items: inner.items.clone() }
    }

    /// Comes back from a copy: what was written since is gone, its revisions are given out again, and the era rises.
    pub fn restore(&self, backup: StoreBackup) {
        let mut inner = lock(&self.inner);
        inner.revision = backup.revision;
        inner.items = backup.items;
        inner.changes.retain(|(revision, _, _)| *revision <= backup.revision);
        inner.era = Some(inner.era.unwrap_or(0) + 1);
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Changes how it behaves.
    pub fn set_mode(&self, mode: StoreMode) {
        lock(&self.inner).mode = mode;
        self.changed.send_modify(|n| *n += 1);
    }

    /// Refuses every second call from now on, as a store does beyond its rate.
    pub fn set_rate_limited(&self, rate_limited: bool) {
        lock(&self.inner).rate_limited = rate_limited;
    }

    /// Calls answered or not so far.
    pub fn calls(&self) -> u64 {
        lock(&self.inner).calls
    }

    /// What each watch so far asked to wait for, in milliseconds, answered or not.
    pub fn watch_waits_ms(&self) -> Vec<u64> {
        lock(&self.inner).waits.clone()
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
    while let Some(asked) = read(&mut stream, &mut buffer).await {
        let (mode, refused) = {
            let mut inner = lock(&inner);
            inner.calls += 1;
            let refused = inner.rate_limited && inner.calls.is_multiple_of(2);
            if let Some(wait) = asked.query("wait_ms") {
                inner.waits.push(wait.parse().unwrap_or(0));
            }
            (inner.mode, refused)
        };
        let reply = match mode {
            _ if refused => Reply::empty(429, &lock(&inner)),
            StoreMode::Up if asked.path.starts_with("/-/kv-watch") => {
                wait(&asked, &inner, &mut changed).await
            }
            StoreMode::Up => list(&asked, &lock(&inner)),
            StoreMode::Busy => Reply::empty(503, &lock(&inner)),
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Closing => return,
        };
        reply.send(&mut stream).await;
    }
}

/// An answer, with the era in which it was made.
struct Reply {
    status: u16,
    body: Value,
    era: Option<u64>,
}

impl Reply {
    fn new(status: u16, body: Value, inner: &Inner) -> Self {
        Self { status, body, era: inner.era }
    }

    fn empty(status: u16, inner: &Inner) -> Self {
        Self::new(status, Value::Null, inner)
    }

    async fn send(self, stream: &mut TcpStream) {
        let era = self.era.map(|era| era.to_string());
        let mut headers = vec![("content-type", "application/json")];
        headers.extend(era.as_deref().map(|era| ("store-era", era)));
        answer(stream, self.status, &headers, &self.body.to_string()).await;
    }
}

fn list(asked: &Asked, inner: &Inner) -> Reply {
    let prefix = asked.query("prefix").unwrap_or_default();
    let after = asked.query("after").unwrap_or_default();
    let fits = |key: &str| key.starts_with(prefix) && key > after;
    let found: Vec<_> = inner.items.iter().filter(|(key, _)| fits(key)).collect();
    let items: Vec<Value> = found.iter().take(PAGE).map(|(k, (v, r))| item(k, v, *r)).collect();
    let body = json!({ "items": items, "has_more": found.len() > PAGE, "current_rev": inner.revision });
    Reply::new(200, body, inner)
}

fn item(key: &str, value: &str, revision: u64) -> Value {
    json!({ "key": key, "value": value, "rev": revision, "create_revision": revision, "lease": 0 })
}

async fn wait(asked: &Asked, inner: &Mutex<Inner>, changed: &mut watch::Receiver<u64>) -> Reply {
    let number = |name| asked.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
    let prefix = asked.query("prefix").unwrap_or_default();
    let until = tokio::time::Instant::now() + wait;
    loop {
        changed.mark_unchanged();
        {
            let inner = lock(inner);
            if after < inner.floor || after > inner.revision {
                return Reply::empty(410, &inner);
            }
            let news: Vec<Value> = inner
                .changes
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, value, *revision),
                    None => json!({ "key": key, "rev": revision, "removed": true }),
                })
                .collect();
            if !news.is_empty() || tokio::time::Instant::now() >= until {
                return Reply::new(200, json!({ "events": news, "current_rev": inner.revision }), &inner);
            }
        }
        // Whether it was a change or the end of the wait is seen above.
        let _ = tokio::time::timeout_at(until, changed.changed()).await;
    }
}
