//! The state of an engine: held memory, prefix cache and load report.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use teaselshunt_settings::{Load, Role};
use teaselshunt_wire::engine::{CacheEvent, LoadReport, RunningRequest};
use tokio::sync::watch;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::gate::PrioritySemaphore;
use super::{EngineOptions, Faults};

/// Bytes of prompt in a block of the prefix cache.
const BLOCK_BYTES: usize = 64;
/// How long a finished stream is held if no connection reads it to the end.
const FINISHED_STREAM_TTL: Duration = Duration::from_secs(30);

/// Memory held under an id.
#[derive(Debug)]
struct Holding {
    /// Identifies the holding among all of the engine. Work that ends later changes nothing if the memory was
    /// released meanwhile and another request has the same id.
    number: u64,
    held: Held,
}

/// What is held for a request.
#[derive(Debug)]
enum Held {
    /// A prefill is waiting or running.
    Prefilling,
    /// A prefill result.
    Cache(KvCache),
    /// An imported KV cache that waits for its decode.
    Imported(KvCache),
    /// A stream.
    Stream(Stream),
}

/// A KV cache, reduced to what a stand-in needs.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub(crate) struct KvCache {
    pub(crate) prompt: String,
    pub(crate) offset: u32,
    pub(crate) bytes: u64,
}

/// A stream in progress.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    pub(crate) prompt: String,
    /// Tokens of the complete text.
    pub(crate) length: u32,
    /// Tokens generated so far.
    pub(crate) generated: Arc<watch::Sender<u32>>,
    /// Number of the connection that may read the stream; each resume raises it.
    pub(crate) reader: Arc<watch::Sender<u32>>,
}

#[derive(Debug)]
struct Inner {
    faults: Faults,
    held: BTreeMap<String, Holding>,
    /// Number of the last holding.
    last_holding: u64,
    report: LoadReport,
    prefix_cache: VecDeque<u64>,
    events: Vec<CacheEvent>,
    sequence: u64,
    link_free_at: Instant,
    loaded: Option<Load>,
    fencing_number: u64,
    prefills_started: u64,
    streams_started: u64,
}

/// An engine's state.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) options: EngineOptions,
    pub(crate) prefill_permits: PrioritySemaphore,
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
            last_holding: 0,
            report,
            prefix_cache: VecDeque::new(),
            events: Vec::new(),
            sequence: 0,
            link_free_at: Instant::now(),
            loaded: None,
            fencing_number: 0,
            prefills_started: 0,
            streams_started: 0,
        };
        Self { prefill_permits: PrioritySemaphore::new(options.slots), options, inner: Mutex::new(inner) }
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

    pub(crate) fn held_requests(&self) -> Vec<String> {
        self.lock().held.keys().cloned().collect()
    }

    pub(crate) fn prefills_started(&self) -> u64 {
        self.lock().prefills_started
    }

    pub(crate) fn streams_started(&self) -> u64 {
        self.lock().streams_started
    }

    /// Waits for the duration of an operation, and then for as long as the engine is stalled.
    pub(crate) async fn work(&self, nominal: Duration) {
        let factor = self.faults().slow.max(1);
        tokio::time::sleep(nominal * factor).await;
        while self.faults().stall {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Accepts a prefill and returns the number of its holding; `None` if the engine is full. Twice as many
    /// prefills as the engine has slots may wait.
    pub(crate) fn begin_prefill(&self, id: &str) -> Option<u64> {
        let mut inner = self.lock();
        let accepted = inner.held.values().filter(|h| matches!(h.held, Held::Prefilling)).count();
        if accepted >= 3 * self.options.slots as usize {
            return None;
        }
        inner.prefills_started += 1;
        Some(inner.hold(id, Held::Prefilling))
    }

    /// Stores the result of a prefill; `false` if the prefill was cancelled meanwhile.
    pub(crate) fn end_prefill(&self, id: &str, number: u64, cache: KvCache) -> bool {
        self.lock().replace(id, number, Held::Cache(cache))
    }

    pub(crate) fn is_held(&self, id: &str, number: u64) -> bool {
        self.lock().held.get(id).is_some_and(|holding| holding.number == number)
    }

    /// A prefill result and the number of its holding.
    pub(crate) fn export(&self, id: &str) -> Option<(KvCache, u64)> {
        match self.lock().held.get(id) {
            Some(Holding { number, held: Held::Cache(cache) }) => Some((cache.clone(), *number)),
            _ => None,
        }
    }

    /// Queues a transfer on the link, which carries one at a time, and returns the instant of its completion.
    pub(crate) fn queue_transfer(&self, bytes: u64) -> Instant {
        let mut inner = self.lock();
        let transfer_time = Duration::from_secs_f64(bytes as f64 / self.options.link_bytes_per_s as f64);
        inner.link_free_at = inner.link_free_at.max(Instant::now()) + transfer_time;
        inner.link_free_at
    }

    /// Reserves a decode slot and returns the number of its holding; `None` if none is free.
    pub(crate) fn reserve_slot(&self, id: &str, cache: KvCache) -> Option<u64> {
        let mut inner = self.lock();
        if inner.held.len() >= self.options.slots as usize {
            return None;
        }
        Some(inner.hold(id, Held::Imported(cache)))
    }

    /// Stores an imported cache in the request's slot; `false` if the slot was released meanwhile.
    pub(crate) fn fill_slot(&self, id: &str, number: u64, cache: KvCache) -> bool {
        self.lock().replace(id, number, Held::Imported(cache))
    }

    /// Turns an imported cache into a stream, and returns the stream with the number of its reader.
    pub(crate) fn begin_stream(&self, id: &str, length: impl Fn(&str) -> u32) -> Option<(Stream, u32)> {
        let mut inner = self.lock();
        let held = &mut inner.held.get_mut(id)?.held;
        let Held::Imported(cache) = held else {
            return None;
        };
        let offset = cache.offset;
        let stream = Stream {
            prompt: cache.prompt.clone(),
            length: length(&cache.prompt),
            generated: Arc::new(watch::Sender::new(offset)),
            reader: Arc::new(watch::Sender::new(1)),
        };
        *held = Held::Stream(stream.clone());
        inner.streams_started += 1;
        Some((stream, 1))
    }

    /// Resumes a stream under a new id; the connection that reads the stream under the old id gets nothing
    /// more.
    pub(crate) fn resume(&self, old_id: &str, id: &str) -> Option<(Stream, u32)> {
        let mut inner = self.lock();
        let Some(Holding { held: Held::Stream(stream), .. }) = inner.held.get(old_id) else {
            return None;
        };
        let stream = stream.clone();
        inner.held.remove(old_id);
        stream.reader.send_modify(|number| *number += 1);
        let number = *stream.reader.borrow();
        inner.hold(id, Held::Stream(stream.clone()));
        Some((stream, number))
    }

    /// Fraction of the batch in use, in percent.
    pub(crate) fn batch_percent(&self) -> u32 {
        self.lock().held.len() as u32 * 100 / self.options.slots.max(1)
    }

    /// Whether a stream is still held under any id.
    pub(crate) fn is_stream_held(&self, stream: &Stream) -> bool {
        let inner = self.lock();
        inner
            .held
            .values()
            .any(|h| matches!(&h.held, Held::Stream(s) if Arc::ptr_eq(&s.generated, &stream.generated)))
    }

    /// Releases what is held under an id; `false` if nothing is.
    pub(crate) fn release(&self, id: &str) -> bool {
        self.lock().held.remove(id).is_some()
    }

    /// Releases a holding, unless it was released before.
    pub(crate) fn release_holding(&self, id: &str, number: u64) {
        let mut inner = self.lock();
        if inner.held.get(id).is_some_and(|holding| holding.number == number) {
            inner.held.remove(id);
        }
    }

    /// Counts the prompt's blocks that the prefix cache has; stores the others, and evicts the oldest blocks.
    pub(crate) fn update_prefix_cache(&self, prompt: &str) -> usize {
        let mut inner = self.lock();
        let mut found = 0;
        let mut hash = 0;
        for chunk in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            hash = xxh3_64(chunk) ^ u64::rotate_left(hash, 1);
            if inner.prefix_cache.contains(&hash) {
                found += 1;
                continue;
            }
            inner.prefix_cache.push_back(hash);
            inner.record_event(hash, true);
            if inner.prefix_cache.len() > self.options.prefix_cache_blocks
                && let Some(oldest) = inner.prefix_cache.pop_front()
            {
                inner.record_event(oldest, false);
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

    /// Accepts an order; `false` if its fencing number is older than the last one and the engine checks it.
    pub(crate) fn accept_order(&self, fencing_number: u64, load: Load) -> bool {
        let mut inner = self.lock();
        if fencing_number < inner.fencing_number && !inner.faults.ignore_fencing {
            return false;
        }
        inner.fencing_number = fencing_number;
        inner.loaded = Some(load);
        true
    }

    fn refresh_report(&self) {
        let mut inner = self.lock();
        let running = inner.held.keys().map(|id| RunningRequest { request_id: id.clone() }).collect();
        let kv_bytes = inner.held.values().map(|holding| holding.held.bytes()).sum();
        inner.report = LoadReport {
            role: self.options.role,
            slots: self.options.slots,
            running,
            waiting: self.prefill_permits.waiting(),
            kv_bytes,
            leaving: inner.faults.leaving,
            loaded: inner.loaded.clone(),
            fence: inner.fencing_number,
        };
    }
}

impl Inner {
    /// Holds memory under an id and returns the number of the holding.
    fn hold(&mut self, id: &str, held: Held) -> u64 {
        self.last_holding += 1;
        self.held.insert(id.to_owned(), Holding { number: self.last_holding, held });
        self.last_holding
    }

    /// Changes what a holding is used for; `false` if it was released meanwhile.
    fn replace(&mut self, id: &str, number: u64, held: Held) -> bool {
        let Some(holding) = self.held.get_mut(id).filter(|holding| holding.number == number) else {
            return false;
        };
        holding.held = held;
        true
    }

    fn record_event(&mut self, block: u64, stored: bool) {
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

/// Refreshes the load report every report interval, and releases streams that have been finished for
/// [`FINISHED_STREAM_TTL`] and were not read to the end.
pub(crate) async fn maintain(state: Arc<State>) {
    let mut finished_since: BTreeMap<String, Instant> = BTreeMap::new();
    loop {
        tokio::time::sleep(state.options.report_interval).await;
        if !state.faults().lag {
            state.refresh_report();
        }
        let finished = state.finished_streams();
        finished_since.retain(|id, _| finished.contains(id));
        for id in finished {
            let since = *finished_since.entry(id.clone()).or_insert_with(Instant::now);
            if since.elapsed() > FINISHED_STREAM_TTL {
                state.release(&id);
            }
        }
    }
}

impl State {
    fn finished_streams(&self) -> Vec<String> {
        let inner = self.lock();
        let finished = inner.held.iter().filter(|(_, holding)| match &holding.held {
            Held::Stream(stream) => *stream.generated.borrow() >= stream.length,
            Held::Prefilling | Held::Cache(_) | Held::Imported(_) => false,
        });
        finished.map(|(id, _)| id.clone()).collect()
    }

    pub(crate) fn is_decode(&self) -> bool {
        self.options.role == Role::Decode
    }
}
