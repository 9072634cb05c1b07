//! Whether endpoints may have begun a request.
//!
//! Two tasks share this state: the driver, which sends steps to endpoints, and the place that answers at the
//! deadline. Its changes are atomic, so that a request that was answered as not run is not sent afterwards.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU8, Ordering};

use teaselshunt_core::RequestId;

/// Nothing was sent, or every endpoint that got a step has stated that it has not started it.
const NOT_RUN: u8 = 0;
/// A step is being sent, or its endpoint has not answered yet.
const SENDING: u8 = 1;
/// An endpoint may have begun the request.
const MAY_HAVE_RUN: u8 = 2;
/// The caller was told that the request has not run. Nothing may be sent any more.
const CLOSED: u8 = 3;
/// The home of the idempotency key has not granted it. An earlier request with the key may have run.
const CLAIMING: u8 = 4;

/// State of one request that its driver and its caller's task share.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    state: AtomicU8,
    request: OnceLock<RequestId>,
}

impl Progress {
    /// Records that a step is about to be sent. `false` if it must not be.
    pub(crate) fn begin_step(&self) -> bool {
        self.change(|state| match state {
            NOT_RUN | CLAIMING => Some(SENDING),
            CLOSED => None,
            state => Some(state),
        })
    }

    /// Records that the request waits for its idempotency key.
    pub(crate) fn claim(&self) {
        self.change(|state| (state == NOT_RUN).then_some(CLAIMING));
    }

    /// Records the end of a step. `not_started` is whether its endpoint provably did not start it.
    pub(crate) fn end_step(&self, not_started: bool) {
        let next = if not_started { NOT_RUN } else { MAY_HAVE_RUN };
        self.change(|state| (state == SENDING).then_some(next));
    }

    /// Ends the request for its caller, and returns whether nothing of it can have run. If so, no step is sent any
    /// more.
    pub(crate) fn close(&self) -> bool {
        self.change(|state| matches!(state, NOT_RUN | CLOSED).then_some(CLOSED))
    }

    /// What the request waits for, for logs.
    pub(crate) fn waits_for(&self) -> &'static str {
        match self.state.load(Ordering::Acquire) {
            NOT_RUN if self.request.get().is_none() => "the caller or the decision to accept",
            NOT_RUN | CLOSED | CLAIMING => "a slot or a key",
            _ => "an endpoint or the caller",
        }
    }

    pub(crate) fn set_request(&self, id: RequestId) {
        let _ = self.request.set(id);
    }

    pub(crate) fn request(&self) -> Option<RequestId> {
        self.request.get().copied()
    }

    fn change(&self, next: impl FnMut(u8) -> Option<u8>) -> bool {
        self.state.fetch_update(Ordering::AcqRel, Ordering::Acquire, next).is_ok()
    }
}
