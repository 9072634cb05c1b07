//! What an engine holds, and how that changes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use teaselshunt_settings::{Load, Role};
use teaselshunt_wire::engine::{CacheEvent, LoadReport, RunningRequest};
use tokio::sync::watch;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::gate::Gate;
use super::{EngineOptions, Faults};

/// Bytes of prompt in a block of the prefix cache.
const BLOCK: usize = 64;
/// How long a finished stream that nobody reads is kept.
const LINGER: Duration = Duration::from_secs(30);

/// Memory held for a request.
#[derive(Debug)]
pub(crate) enum Held {
    /// A prefill is waiting or running.
    Prefilling,
    /// A prefill result.
    Cache(Cache),
    /// A KV cache that was imported and waits for its decode.
    Imported(Cache),
    /// A stream.
    Stream(Stream),
}

/// A KV cache, as far as a stand-in needs one.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub(crate) struct Cache {
    pub(crate) prompt: String,
    pub(crate) offset: u32,
    pub(crate) bytes: u64,
}

/// A stream in progress.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    pub(crate) prompt: String,
    /// Tokens of the whole answer.
    pub(crate) length: u32,
    /// Tokens generated so far.
    pub(crate) made: Arc<watch::Sender<u32>>,
    /// Number of the connection that may read.
    pub(crate) reader: Arc<watch::Sender<u32>>,
}

#[derive(Debug)]
struct Inner {
    faults: Faults,
    held: BTreeMap<String, Held>,
    report: LoadReport,
    prefix: VecDeque<u64>,
    events: Vec<CacheEvent>,
    sequence: u64,
    link_free: Instant,
    loaded: Option<Load>,
    fence: u64,
    prefills: u64,
    streams: u64,
}

/// An engine's state.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) options: EngineOptions,
    pub(crate) gate: Gate,
    inner: Mutex<Inner>,
}

impl State {
    pub(crate) fn new(options: EngineOptions) -> Self {
        let report = LoadReport {
            role: options.role,
            slots: options.slots,
            running: Vec::new(),
            waiting: 0,
            kv_bytes: 0,
            leaving: false,
            loaded: None,
            fence: 0,
        };
        let inner = Inner {
            faults: Faults::default(),
            held: BTreeMap::new(),
            report,
            prefix: VecDeque::new(),
            events: Vec::new(),
            sequence: 0,
            link_free: Instant::now(),
            loaded: None,
            fence: 0,
            prefills: 0,
            streams: 0,
        };
        Self { gate: Gate::new(options.slots), options, inner: Mutex::new(inner) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    pub(crate) fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    pub(crate) fn held(&self) -> Vec<String> {
        self.lock().held.keys().cloned().collect()
    }

    pub(crate) fn prefills(&self) -> u64 {
        self.lock().prefills
    }

    pub(crate) fn streams(&self) -> u64 {
        self.lock().streams
    }

    /// Time that a piece of work takes; waits for ever while the engine is stalled.
    pub(crate) async fn work(&self, normal: Duration) {
        let factor = self.faults().slow.max(1);
        tokio::time::sleep(normal * factor).await;
        while self.faults().stall {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Takes a prefill on; `false` if the engine is full. Twice its slots may wait.
    pub(crate) fn begin_prefill(&self, id: &str) -> bool {
        let mut inner = self.lock();
        let working = inner.held.values().filter(|h| matches!(h, Held::Prefilling)).count();
        if working >= 3 * self.options.slots as usize {
            return false;
        }
        inner.prefills += 1;
        inner.held.insert(id.to_owned(), Held::Prefilling);
        true
    }

    /// Ends a prefill that was not cancelled meanwhile.
    pub(crate) fn end_prefill(&self, id: &str, cache: Cache) -> bool {
        let mut inner = self.lock();
        let Some(held) = inner.held.get_mut(id) else {
            return false;
        };
        *held = Held::Cache(cache);
        true
    }

    pub(crate) fn is_held(&self, id: &str) -> bool {
        self.lock().held.contains_key(id)
    }

    /// Drops a prefill result whose time is over.
    pub(crate) fn evict(&self, id: &str) {
        let mut inner = self.lock();
        if matches!(inner.held.get(id), Some(Held::Cache(_))) {
            inner.held.remove(id);
        }
    }

    pub(crate) fn export(&self, id: &str) -> Option<Cache> {
        match self.lock().held.get(id) {
            Some(Held::Cache(cache)) => Some(cache.clone()),
            _ => None,
        }
    }

    /// When the link will have moved `bytes` after everything before.
    pub(crate) fn link(&self, bytes: u64) -> Instant {
        let mut inner = self.lock();
        let took = Duration::from_secs_f64(bytes as f64 / self.options.link_bytes_per_s as f64);
        inner.link_free = inner.link_free.max(Instant::now()) + took;
        inner.link_free
    }

    /// Keeps a decode slot; `false` if there is none.
    pub(crate) fn keep_slot(&self, id: &str, cache: Cache) -> bool {
        let mut inner = self.lock();
        if inner.held.len() >= self.options.slots as usize {
            return false;
        }
        inner.held.insert(id.to_owned(), Held::Imported(cache));
        true
    }

    pub(crate) fn fill_slot(&self, id: &str, cache: Cache) -> bool {
        let mut inner = self.lock();
        let Some(held) = inner.held.get_mut(id) else {
            return false;
        };
        *held = Held::Imported(cache);
        true
    }

    /// Turns an imported cache into a stream.
    pub(crate) fn begin_stream(&self, id: &str, length: impl Fn(&str) -> u32) -> Option<(Stream, u32)> {
        let mut inner = self.lock();
        let held = inner.held.get_mut(id)?;
        let Held::Imported(cache) = held else {
            return None;
        };
        let offset = cache.offset;
        let stream = Stream {
            prompt: cache.prompt.clone(),
            length: length(&cache.prompt),
            made: Arc::new(watch::Sender::new(offset)),
            reader: Arc::new(watch::Sender::new(1)),
        };
        *held = Held::Stream(stream.clone());
        inner.streams += 1;
        Some((stream, 1))
    }

    /// Takes a stream up under a new id; whoever read it under the old one gets nothing more.
    pub(crate) fn resume(&self, old: &str, id: &str) -> Option<(Stream, u32)> {
        let mut inner = self.lock();
        if !matches!(inner.held.get(old), Some(Held::Stream(_))) {
            return None;
        }
        let Some(Held::Stream(stream)) = inner.held.remove(old) else {
            return None;
        };
        stream.reader.send_modify(|number| *number += 1);
        let number = *stream.reader.borrow();
        inner.held.insert(id.to_owned(), Held::Stream(stream.clone()));
        Some((stream, number))
    }

    /// Share of the batch in use, in hundredths.
    pub(crate) fn batch(&self) -> u32 {
        self.lock().held.len() as u32 * 100 / self.options.slots.max(1)
    }

    /// Whether a stream is still wanted under any id.
    pub(crate) fn streaming(&self, stream: &Stream) -> bool {
        let inner = self.lock();
        inner.held.values().any(|h| matches!(h, Held::Stream(s) if Arc::ptr_eq(&s.made, &stream.made)))
    }

    /// Drops whatever is held under an id.
    pub(crate) fn drop_held(&self, id: &str) -> bool {
        self.lock().held.remove(id).is_some()
    }

    /// Prompt blocks found in the prefix cache; the others are stored, the oldest evicted.
    pub(crate) fn touch_prefix(&self, prompt: &str) -> usize {
        let mut inner = self.lock();
        let mut found = 0;
        let mut hash = 0;
        for chunk in prompt.as_bytes().chunks_exact(BLOCK) {
            hash = xxh3_64(chunk) ^ u64::rotate_left(hash, 1);
            if inner.prefix.contains(&hash) {
                found += 1;
                continue;
            }
            inner.prefix.push_back(hash);
            inner.log(hash, true);
            if inner.prefix.len() > self.options.prefix_cache_blocks
                && let Some(old) = inner.prefix.pop_front()
            {
                inner.log(old, false);
            }
        }
        found
    }

    pub(crate) fn events(&self, after: u64) -> Vec<CacheEvent> {
        self.lock().events.iter().filter(|e| e.sequence > after).cloned().collect()
    }

    pub(crate) fn report(&self) -> LoadReport {
        self.lock().report.clone()
    }

    /// Takes an order unless its fencing number is old and the engine checks.
    pub(crate) fn order(&self, fence: u64, load: Load) -> bool {
        let mut inner = self.lock();
        if fence < inner.fence && !inner.faults.ignore_fencing {
            return false;
        }
        inner.fence = fence;
        inner.loaded = Some(load);
        true
    }

    fn renew_report(&self) {
        let mut inner = self.lock();
        let running = inner.held.keys().map(|id| RunningRequest { request_id: id.clone() }).collect();
        let kv_bytes = inner.held.values().map(Held::bytes).sum();
        inner.report = LoadReport {
            role: self.options.role,
            slots: self.options.slots,
            running,
            waiting: self.gate.waiting(),
            kv_bytes,
            leaving: inner.faults.leaving,
            loaded: inner.loaded.clone(),
            fence: inner.fence,
        };
    }
}

impl Inner {
    fn log(&mut self, block: u64, stored: bool) {
        self.sequence += 1;
        let lost = self.faults.gaps && self.sequence.is_multiple_of(2);
        if !lost {
            self.events.push(CacheEvent { sequence: self.sequence, block, stored });
        }
    }
}

impl Held {
    fn bytes(&self) -> u64 {
        match self {
            Self::Prefilling | Self::Stream(_) => 0,
            Self::Cache(cache) | Self::Imported(cache) => cache.bytes,
        }
    }
}

/// Renews the load report at its lag, and drops finished streams that nobody reads.
pub(crate) async fn sample(state: Arc<State>) {
    let mut idle: BTreeMap<String, Instant> = BTreeMap::new();
    loop {
        tokio::time::sleep(state.options.report_interval).await;
        if !state.faults().lag {
            state.renew_report();
        }
        let done = state.finished();
        idle.retain(|id, _| done.contains(id));
        for id in done {
            let since = *idle.entry(id.clone()).or_insert_with(Instant::now);
            if since.elapsed() > LINGER {
                state.drop_held(&id);
            }
        }
    }
}

impl State {
    fn finished(&self) -> Vec<String> {
        let inner = self.lock();
        let done = inner.held.iter().filter(|(_, held)| match held {
            Held::Stream(stream) => *stream.made.borrow() >= stream.length,
            Held::Prefilling | Held::Cache(_) | Held::Imported(_) => false,
        });
        done.map(|(id, _)| id.clone()).collect()
    }

    pub(crate) fn is_decode(&self) -> bool {
        self.options.role == Role::Decode
    }
}
