//! Reserves capacity at decode engines.
//!
//! Capacity for a complete generation is reserved before its prompt is prefilled. A search ends with a
//! reservation or with the reason why there is none. The search waits in the queue of its service (`queue`) for
//! capacity or a prefill engine to become free; nothing of the request runs meanwhile.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use rand::Rng;
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{Backoff, EndpointKey, Obstacle, Stage, StepOutcome, WaitPolicy, retry_delay};

use crate::calls::{CALL_TIMEOUT, release_in_background};
use crate::connection_pool::ExchangeFailure;
use crate::in_flight::InFlightWork;
use crate::load;
use crate::node::{Job, Node, Phase};
use crate::queue::Waiter;
use crate::rates;
use crate::refusals::OTHER_INSTANCE_RETRY;
use crate::statements;
use crate::trace::Trace;

/// `Retry-After` delay if no engine is reachable.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(500);

/// Capacity reserved at a decode engine. Dropping it releases the reservation.
#[derive(Debug)]
pub(crate) struct Reservation {
    node: Rc<Node>,
    pub(crate) endpoint: EndpointKey,
    address: SocketAddr,
    pub(crate) id: Option<String>,
    pub(crate) work: Option<InFlightWork>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(reservation_id) = self.id.take() {
            let call = self.node.protocol.release(&reservation_id);
            release_in_background(&self.node, self.address, call);
        }
    }
}

/// Which engine prefills the prompt of a generation that searches for capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PromptState {
    /// A prefill engine, once capacity is reserved.
    NotPrefilled,
    /// A prefill engine, which has already done so.
    Prefilled,
    /// The decode engine (local prefill).
    LocalPrefill,
}

/// Parameters of a search for capacity at a decode engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CapacitySearch<'a> {
    pub(crate) wait_policy: WaitPolicy,
    pub(crate) prompt: PromptState,
    /// Engines not to ask again.
    pub(crate) tried: &'a [EndpointKey],
    /// Whether the caller is refused if the search fails, and told when to return.
    pub(crate) refuses: bool,
}

/// Reserves capacity for the complete generation at a decode engine.
pub(crate) async fn reserve(
    node: &Rc<Node>,
    job: &Job,
    trace: &Trace,
    search: CapacitySearch<'_>,
) -> Result<Reservation, Refusal> {
    let tokens = job.tokens(node.expected_output(job));
    let WaitPolicy { until, late } = search.wait_policy;
    let mut backoff = Backoff::new(late);
    let mut waiter = Waiter::join(node, job, trace, search, tokens);
    let mut offer = waiter.take_offer();
    let shortage = loop {
        // Work that begins now must end within the grace time. Another instance, which is not stopping, can
        // still serve the caller.
        if late && node.phase() >= Phase::Refusing {
            break Shortage::Instance;
        }
        if let Some(work) = offer {
            match attempt(node, job, trace, work, &mut backoff).await {
                Ok(reservation) => return Ok(reservation),
                Err(pause) => waiter.postpone(randomized(node, pause)),
            }
            if node.now() >= until {
                break Shortage::Capacity;
            }
            offer = waiter.take_offer();
            if offer.is_some() {
                continue;
            }
        }
        let obstacle = waiter.obstacle();
        let shortage = match (obstacle, search.prompt) {
            (Obstacle::Other, PromptState::LocalPrefill) => Shortage::LocalPrefill,
            (Obstacle::Other, PromptState::NotPrefilled | PromptState::Prefilled) => Shortage::PrefillEngine,
            (Obstacle::Memory | Obstacle::Unknown, _) => Shortage::Capacity,
        };
        if !has_open_decode_engine(node, job) {
            break Shortage::DecodeEngine;
        }
        let stage = Some(shortage.stage());
        let first = statements::first_available(node, job, stage);
        let all_cooling = first.is_some_and(|first| first >= until);
        if node.now() >= until || all_cooling || rates::is_overloaded(node, job, stage) {
            break shortage;
        }
        // A late request, and one that an engine must prefill by itself, may find nothing although there is
        // room for others.
        if obstacle == Obstacle::Memory && !late && search.prompt != PromptState::LocalPrefill {
            load::record_shortage(node, job);
        }
        let joins = waiter.record_wait(job);
        if joins && search.prompt == PromptState::NotPrefilled && waiter.is_hopeless() {
            break shortage;
        }
        offer = waiter.wait(randomized(node, backoff.pause()), until).await;
    };
    drop(waiter);
    trace.record_step("reserve", "any", shortage.text());
    match shortage {
        Shortage::Instance => Err(Refusal::retryable(ErrorKind::Stopping, OTHER_INSTANCE_RETRY)),
        Shortage::DecodeEngine => Err(Refusal::retryable(ErrorKind::NoEndpoint, NO_ENDPOINT_RETRY)),
        Shortage::Capacity | Shortage::PrefillEngine | Shortage::LocalPrefill => {
            let left = job.deadline.saturating_duration_since(node.now());
            let full = || {
                let refusal = if search.refuses { load::return_refusal(node, job, trace) } else { None };
                refusal.unwrap_or_else(|| Refusal::retryable(ErrorKind::Overloaded, retry_delay(left)))
            };
            let stage = Some(shortage.stage());
            let refusal = statements::refusal(node, job, trace, stage);
            Err(refusal.or_else(|| rates::refusal(node, job, trace, stage)).unwrap_or_else(full))
        }
    }
}

/// Asks the engine that was offered. Returns the mean pause before another one may be asked if it refuses.
async fn attempt(
    node: &Rc<Node>,
    job: &Job,
    trace: &Trace,
    work: InFlightWork,
    backoff: &mut Backoff,
) -> Result<Reservation, Duration> {
    let key = work.endpoint();
    let Some((address, id)) = node.locate_available(key) else { return Err(Duration::ZERO) };
    match reserve_at(node, job, key, (address, &id), work.tokens()).await {
        Ok(reservation_id) => {
            node.observe_granted(key);
            let node = Rc::clone(node);
            Ok(Reservation { node, endpoint: key, address, id: Some(reservation_id), work: Some(work) })
        }
        Err((step_outcome, outcome)) => {
            node.observe_step(key, step_outcome);
            if step_outcome == StepOutcome::Full {
                return Err(backoff.after_refusal());
            }
            trace.record_step("reserve", &node.id_for_log(key), outcome);
            // An engine that has ended fails at once; without a pause, a sole engine would be asked in a tight
            // loop.
            Err(backoff.pause())
        }
    }
}

/// A time of about `mean`, randomized so that searches that began together don't ask together.
fn randomized(node: &Node, mean: Duration) -> Duration {
    mean.mul_f64(node.state.borrow_mut().rng.random_range(0.5..1.5))
}

/// Asks one engine for capacity. Returns the reservation's id, or the step's outcome and the failure's name.
async fn reserve_at(
    node: &Node,
    job: &Job,
    key: EndpointKey,
    (address, id): (SocketAddr, &str),
    tokens: u64,
) -> Result<String, (StepOutcome, &'static str)> {
    let ttl = job.service.engine.map_or(CALL_TIMEOUT, |e| e.hold);
    let sent_at = node.now();
    let until = (sent_at + CALL_TIMEOUT).min(job.deadline);
    let answer = node.call_endpoint(key, address, node.protocol.reserve(id, tokens, ttl), until).await;
    let reservation_id = match &answer {
        Ok((StatusCode::OK, body)) => node.protocol.read_reservation(body),
        Ok(_) | Err(_) => None,
    };
    let (step_outcome, outcome) = classify(&answer, node.now().duration_since(sent_at));
    node.metrics.count_step("reserve", if reservation_id.is_some() { "ok" } else { outcome });
    reservation_id.ok_or((step_outcome, outcome))
}

/// The outcome of a reservation call without a reservation that took `time`, and the failure's name for logs.
fn classify(
    answer: &Result<(StatusCode, Bytes), ExchangeFailure>,
    time: Duration,
) -> (StepOutcome, &'static str) {
    match answer {
        Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _)) => {
            (StepOutcome::Full, "full")
        }
        Ok((StatusCode::MISDIRECTED_REQUEST, _)) => (StepOutcome::Unreachable, "misdirected"),
        Ok(_) => (StepOutcome::Failed, "failed"),
        Err(failure @ (ExchangeFailure::Unsent | ExchangeFailure::Withheld)) => {
            (StepOutcome::Unreachable, failure.text())
        }
        Err(failure @ ExchangeFailure::TimedOut) => (StepOutcome::Silent(time), failure.text()),
        Err(failure @ ExchangeFailure::Broken) => (StepOutcome::Failed, failure.text()),
    }
}

/// What a search is short of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shortage {
    /// A decode engine that accepts new work.
    DecodeEngine,
    /// Capacity at a decode engine.
    Capacity,
    /// An instance that is not stopping.
    Instance,
    /// A prefill engine that would finish in time.
    PrefillEngine,
    /// A decode engine that may begin a local prefill.
    LocalPrefill,
}

impl Shortage {
    /// Stage of the engines that the search is short of.
    const fn stage(self) -> Stage {
        match self {
            Self::PrefillEngine => Stage::Prefill,
            Self::DecodeEngine | Self::Capacity | Self::Instance | Self::LocalPrefill => Stage::Decode,
        }
    }

    const fn text(self) -> &'static str {
        match self {
            Self::DecodeEngine => "none_open",
            Self::Capacity => "full",
            Self::Instance => "stopping",
            Self::PrefillEngine => "prefill_behind",
            Self::LocalPrefill => "local_prefills",
        }
    }
}

/// Whether any decode engine accepts new work, whether full or not.
pub(crate) fn has_open_decode_engine(node: &Node, job: &Job) -> bool {
    let state = node.state.borrow();
    state.endpoints.open(node.now(), &job.service.name).any(|e| e.stage == Some(Stage::Decode))
}
