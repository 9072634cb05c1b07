//! What a caller's connection is doing, which decides how long it is kept.
//!
//! A connection is idle from its opening, and from when the end of a response was passed to the kernel, until the first byte of
//! a request is read. The activity changes only while the connection's task polls the connection.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use teaselshunt_core::Clock;

use crate::body::{ResponseBody, Truncated};

/// What a connection is doing.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Activity {
    /// No byte of a request has arrived since this time.
    Idle(Instant),
    /// The head of a request has been arriving since this time.
    Receiving(Instant),
    /// A request is in progress.
    Serving,
}

/// Keeps the activity of one connection.
#[derive(Debug)]
pub(crate) struct CallerActivity {
    clock: Arc<dyn Clock>,
    current: Cell<Activity>,
    /// Whether the library has taken all of the response.
    response_ended: Cell<bool>,
    /// Whether reads ask the kernel for bytes of which the runtime has not learned yet.
    asks_kernel: Cell<bool>,
    /// Whether the library must be set up again before it reads, since the limit of a head has changed.
    renewal_due: Cell<bool>,
}

impl CallerActivity {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        let current = Cell::new(Activity::Idle(clock.now()));
        Self {
            clock,
            current,
            response_ended: Cell::default(),
            asks_kernel: Cell::default(),
            renewal_due: Cell::default(),
        }
    }

    pub(crate) fn current(&self) -> Activity {
        self.current.get()
    }

    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.current.get(), Activity::Idle(_))
    }

    /// Has the library set up again after this poll of the connection.
    pub(crate) fn request_renewal(&self) {
        self.renewal_due.set(true);
    }

    /// Waits until the library must be set up again. Must be polled after each poll of the connection.
    pub(crate) async fn renewal(&self) {
        poll_fn(|_| if self.renewal_due.take() { Poll::Ready(()) } else { Poll::Pending }).await;
    }

    /// Sets whether reads ask the kernel, and returns whether they did.
    pub(crate) fn ask_kernel(&self, asks_kernel: bool) -> bool {
        self.asks_kernel.replace(asks_kernel)
    }

    pub(crate) fn asks_kernel(&self) -> bool {
        self.asks_kernel.get()
    }

    /// Records bytes that were read.
    pub(crate) fn read(&self, bytes: &[u8]) {
        // Empty lines before a request mean nothing (RFC 9112, section 2.2).
        let is_request = bytes.iter().any(|byte| !b"\r\n".contains(byte));
        if is_request && self.is_idle() {
            self.current.set(Activity::Receiving(self.clock.now()));
        }
    }

    /// Records that the head of a request has arrived.
    pub(crate) fn begin_request(&self) {
        self.current.set(Activity::Serving);
        self.response_ended.set(false);
    }

    /// Records that the kernel has all bytes that were to be written. Returns whether a response ended with them.
    pub(crate) fn flushed(&self) -> bool {
        let ended = self.response_ended.take();
        if ended {
            self.current.set(Activity::Idle(self.clock.now()));
        }
        ended
    }
}

/// A response whose end the activity of its connection records.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    body: ResponseBody,
    activity: Rc<CallerActivity>,
}

impl TrackedBody {
    pub(crate) fn new(body: ResponseBody, activity: Rc<CallerActivity>) -> Self {
        Self { body, activity }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.activity.response_ended.set(true);
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
