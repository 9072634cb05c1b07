//! A semaphore that grants permits by priority and then in order of arrival.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::oneshot;

#[derive(Debug)]
struct Inner {
    free: u32,
    next_arrival: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Permit>>,
}

/// A fixed number of permits. The lowest priority value is served first.
#[derive(Debug, Clone)]
pub(crate) struct PrioritySemaphore {
    inner: Arc<Mutex<Inner>>,
}

/// A permit; released when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    semaphore: PrioritySemaphore,
}

impl PrioritySemaphore {
    pub(crate) fn new(permits: u32) -> Self {
        let inner = Inner { free: permits, next_arrival: 0, waiting: BTreeMap::new() };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.lock().waiting.len() as u32
    }

    pub(crate) async fn acquire(&self, priority: u8) -> Option<Permit> {
        let receiver = {
            let mut inner = self.lock();
            if inner.free > 0 {
                inner.free -= 1;
                return Some(Permit { semaphore: self.clone() });
            }
            let (sender, receiver) = oneshot::channel();
            let arrival = inner.next_arrival;
            inner.next_arrival += 1;
            inner.waiting.insert((priority, arrival), sender);
            receiver
        };
        receiver.await.ok()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let next = {
            let mut inner = self.semaphore.lock();
            let next = inner.waiting.pop_first();
            if next.is_none() {
                inner.free += 1;
            }
            next
        };
        if let Some((_, sender)) = next {
            // If the waiting task has ended, `send` returns the permit, and dropping that permit releases it.
            drop(sender.send(Permit { semaphore: self.semaphore.clone() }));
        }
    }
}
