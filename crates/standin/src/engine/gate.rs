//! A limited number of places, given by priority and then by arrival.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::oneshot;

#[derive(Debug)]
struct Inner {
    free: u32,
    next: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Place>>,
}

/// Hands out places.
#[derive(Debug, Clone)]
pub(crate) struct Gate {
    inner: Arc<Mutex<Inner>>,
}

/// A place; given back when dropped.
#[derive(Debug)]
pub(crate) struct Place {
    gate: Gate,
}

impl Gate {
    pub(crate) fn new(places: u32) -> Self {
        let inner = Inner { free: places, next: 0, waiting: BTreeMap::new() };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.lock().waiting.len() as u32
    }

    pub(crate) async fn enter(&self, priority: u8) -> Option<Place> {
        let receiver = {
            let mut inner = self.lock();
            if inner.free > 0 {
                inner.free -= 1;
                return Some(Place { gate: self.clone() });
            }
            let (sender, receiver) = oneshot::channel();
            let order = inner.next;
            inner.next += 1;
            inner.waiting.insert((priority, order), sender);
            receiver
        };
        receiver.await.ok()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let next = {
            let mut inner = self.gate.lock();
            let next = inner.waiting.pop_first();
            if next.is_none() {
                inner.free += 1;
            }
            next
        };
        if let Some((_, sender)) = next {
            // If the waiter is gone, the place comes back through the drop of what could not be sent.
            drop(sender.send(Place { gate: self.gate.clone() }));
        }
    }
}
