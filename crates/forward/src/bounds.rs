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
use teaselshunt_completeness::BodyBounds;
use teaselshunt_routing::Repeat;
use tokio::sync::Notify;

use crate::node::Job;
use crate::protocol::Purpose;

/// Most interim responses before a head: one every 0.3 s until the default deadline.
const INTERIM_MAX: u32 = 100;
/// Largest response to a small call, in bytes: an id, a handle, a report or a short error.
pub(crate) const CALL_BYTES_MAX: u64 = 64 * 1024;
/// Largest response of the store or of a peer, in bytes: a configuration of ten thousand routes, or as many endpoints.
pub(crate) const LIST_BYTES_MAX: u64 = 32 << 20;
/// Bytes of an event of a generation, beside [`EVENT_BYTES_PER_TOKEN`]: some hundred tokens with the alternatives to each.
const EVENT_BYTES: u64 = 256 * 1024;
/// Bytes of an event for each token that the request asks for, since the last event may repeat the whole text. A token of
/// eight characters has 48 bytes if each is escaped.
const EVENT_BYTES_PER_TOKEN: u64 = 64;
/// Events of a generation that bear no token: the first, the last, and a sign of life a second for two minutes.
const EVENTS_WITHOUT_TOKEN: u64 = 128;

/// The bounds of an endpoint's response to a request. A response that is received to its end before it is passed on is
/// also bounded by the memory for bodies.
pub(crate) fn of_response(job: &Job, purpose: Purpose<'_>) -> BodyBounds {
    if matches!(purpose, Purpose::Prefill) {
        return BodyBounds::bytes(CALL_BYTES_MAX);
    }
    match (job.route.repeat, job.service.engine) {
        (Repeat::Stream { .. }, Some(engine)) => of_generation(job.meta.max_output_tokens, engine.tokens),
        // Nothing says how much a plain service may send. What is relayed takes little memory.
        (Repeat::Stream { .. }, None) | (Repeat::Idempotent | Repeat::Once, _) => BodyBounds::NONE,
    }
}

/// The bounds of a stream of at most `requested` tokens, 0 if the request does not say, by an engine whose memory has room
/// for `memory` tokens. An event has one token at least.
fn of_generation(requested: u64, memory: u64) -> BodyBounds {
    let tokens = if requested == 0 { memory } else { requested.min(memory) };
    BodyBounds {
        event_bytes: tokens.saturating_mul(EVENT_BYTES_PER_TOKEN).saturating_add(EVENT_BYTES),
        events: tokens.saturating_add(EVENTS_WITHOUT_TOKEN),
        ..BodyBounds::NONE
    }
}

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
