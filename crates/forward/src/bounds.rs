//! Bounds of what is read from endpoints, the platform and peers.
//!
//! A faulty endpoint may send bytes that are no response, without an end. A response beyond a bound is truncated there: its
//! connection is closed, which ends the work for it, and it is a failure of its endpoint. No response of a sound endpoint
//! is beyond a bound.
//!
//! The HTTP library bounds the rest: the number of header lines of a head (100), chunk extensions and trailers (16 KiB
//! each). Bytes after a complete response close its connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use hyper::Request;
use tokio::sync::Notify;

/// Most interim responses before a head: one every 0.3 s until the default deadline.
const INTERIM_MAX: u32 = 100;

/// Counts the interim responses to a request.
#[derive(Debug, Default)]
pub(crate) struct InterimCount {
    count: AtomicU32,
    exceeded: Notify,
}

impl InterimCount {
    /// Begins to count with the next exchange of a request.
    pub(crate) fn of<B>(request: &mut Request<B>) -> Arc<Self> {
        let counter = Arc::<Self>::default();
        let shared = Arc::clone(&counter);
        hyper::ext::on_informational(request, move |_| {
            if shared.count.fetch_add(1, Ordering::Relaxed) == INTERIM_MAX {
                shared.exceeded.notify_one();
            }
        });
        counter
    }

    /// Waits until there are too many of them.
    pub(crate) async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
