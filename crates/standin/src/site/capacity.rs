//! What bounds the work of a stand-in endpoint: the places and the queue of a plain service, and the reservations of
//! an engine.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use tokio::sync::{Semaphore, SemaphorePermit};

use super::pause::PausableStream;

/// Time after which a reservation that no request has used no longer counts.
const RESERVATION_LIFETIME: Duration = Duration::from_secs(2);

/// The places of a plain service, and those of its queue.
#[derive(Debug)]
pub(super) struct Places {
    /// `None` if the places are not limited.
    free: Option<Semaphore>,
    queue: Semaphore,
}

/// How an arriving call enters a service.
pub(super) enum Entry<'a> {
    /// The call runs, and holds its place until this is dropped.
    Run(Option<SemaphorePermit<'a>>),
    /// All places and the queue are full.
    Full,
    /// The caller disconnected while the call was queued.
    Gone,
}

impl Places {
    pub(super) fn new(places: u32, queue: u32) -> Self {
        let free = (places > 0).then(|| Semaphore::new(places as usize));
        Self { free, queue: Semaphore::new(queue as usize) }
    }

    /// Takes a place, in the order of arrival. The queue is left when the caller closes `stream`.
    pub(super) async fn enter(&self, stream: &PausableStream) -> Entry<'_> {
        let Some(free) = &self.free else { return Entry::Run(None) };
        if let Ok(place) = free.try_acquire() {
            return Entry::Run(Some(place));
        }
        let Ok(_queued) = self.queue.try_acquire() else { return Entry::Full };
        tokio::select! {
            biased;
            () = disconnected(stream) => Entry::Gone,
            place = free.acquire() => Entry::Run(place.ok()),
        }
    }
}

/// Waits until the client closes the connection. A client that has sent another request meanwhile is not observed.
async fn disconnected(stream: &PausableStream) {
    if matches!(stream.peek(&mut [0]).await, Ok(1..)) {
        std::future::pending::<()>().await;
    }
}

/// The reservations of an engine.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    /// Reservations that were neither used nor released: their tokens, and when each was granted.
    open: HashMap<String, (u64, Instant)>,
    /// Tokens of the requests that are running.
    running: u64,
}

impl Reservations {
    /// Grants a reservation if it fits into `limit` tokens with those that count at `now`.
    pub(super) fn grant(&mut self, id: &str, tokens: u64, limit: u64, now: Instant) -> bool {
        let open = self.open.values().filter(|(_, at)| now.duration_since(*at) < RESERVATION_LIFETIME);
        let reserved: u64 = self.running + open.map(|(tokens, _)| tokens).sum::<u64>();
        let fits = reserved.saturating_add(tokens) <= limit;
        if fits {
            self.open.insert(id.to_owned(), (tokens, now));
        }
        fits
    }

    pub(super) fn release(&mut self, id: &str) {
        self.open.remove(id);
    }

    /// Uses a reservation for a request. Returns the tokens to give back when the request ends.
    pub(super) fn begin(&mut self, id: &str) -> u64 {
        let tokens = self.open.remove(id).map_or(0, |(tokens, _)| tokens);
        self.running += tokens;
        tokens
    }

    pub(super) fn end(&mut self, tokens: u64) {
        self.running -= tokens;
    }

    /// Number of reservations that were neither used nor released, whatever their age.
    pub(super) fn open_count(&self) -> usize {
        self.open.len()
    }
}
