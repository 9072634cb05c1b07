//! Reserves capacity at decode engines.
//!
//! Capacity for a complete generation is reserved before its prompt is prefilled. A search ends with a
//! reservation or with the reason why there is none. The search waits in the queue of its service (`queue`) for
//! capacity or a prefill engine to become free; nothing of the request runs meanwhile.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::StatusCode;
use rand::Rng;
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{Backoff, EndpointKey, Obstacle, Stage, StepOutcome, WaitPolicy, retry_delay};
use tokio::sync::oneshot;

use crate::calls::{CALL_TIMEOUT, release_in_background};
use crate::connection_pool::ExchangeFailure;
use crate::in_flight::InFlightWork;
use crate::load;
use crate::node::{Job, Node};
use crate::phase::Phase;
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
///
/// An engine that does not answer in time may be silent for a moment only. Others are asked then, and the first to grant a
/// reservation has the generation. What the others grant is released.
pub(crate) async fn reserve(
    node: &Rc<Node>,
    job: &Job,
    trace: &Trace,
    search: CapacitySearch<'_>,
) -> Result<Reservation, Refusal> {
    let tokens = job.tokens(node.expected_output(job));
    let mut policy = search.wait_policy;
    let mut backoff = Backoff::new(policy.late);
    let mut calls = Calls::default();
    let join = |calls: &Calls, search: CapacitySearch<'_>| {
        let tried = calls.excluded(node, search.tried);
        Waiter::join(node, job, trace, CapacitySearch { tried: &tried, ..search }, tokens)
    };
    let mut waiter = join(&calls, search);
    let mut offer = waiter.take_offer();
    let shortage = loop {
        // Work that begins now must end within the grace time. Another instance, which is not stopping, can
        // still serve the caller.
        if policy.late && node.phase() >= Phase::Refusing {
            break Shortage::Instance;
        }
        if let Some(work) = offer {
            let pause = if calls.begin(node, job, work) {
                let until = (node.now() + CALL_TIMEOUT).min(job.deadline);
                match tokio::time::timeout_at(until.into(), calls.next()).await {
                    Ok(Ok(reservation)) => return Ok(reservation),
                    Ok(Err(refusal)) => refusal.pause(node, trace, &mut backoff),
                    Err(_) => {
                        trace.record_step("reserve", &calls.newest(node), "timed_out");
                        backoff.pause()
                    }
                }
            } else {
                Duration::ZERO
            };
            waiter.set_tried(calls.excluded(node, search.tried));
            waiter.postpone(randomized(node, pause));
            if node.now() >= policy.until {
                let Some(longer) = calls.longer(policy, node, job) else { break Shortage::Capacity };
                policy = longer;
                waiter = join(&calls, CapacitySearch { wait_policy: policy, ..search });
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
        let all_cooling = first.is_some_and(|first| first >= policy.until);
        if all_cooling || rates::is_overloaded(node, job, stage) {
            break shortage;
        }
        if node.now() >= policy.until {
            let Some(longer) = calls.longer(policy, node, job) else { break shortage };
            policy = longer;
            waiter = join(&calls, CapacitySearch { wait_policy: policy, ..search });
            offer = waiter.take_offer();
            continue;
        }
        // A late request, and one that an engine must prefill by itself, may find nothing although there is
        // room for others. So may one for which engines that do not answer are left out.
        let is_usual = !policy.late && calls.is_empty();
        if obstacle == Obstacle::Memory && is_usual && search.prompt != PromptState::LocalPrefill {
            load::record_shortage(node, job);
        }
        let joins = waiter.record_wait(job) && calls.is_empty();
        if joins && search.prompt == PromptState::NotPrefilled && waiter.is_hopeless() {
            break shortage;
        }
        waiter.set_tried(calls.excluded(node, search.tried));
        offer = tokio::select! {
            biased;
            answer = calls.next() => match answer {
                Ok(reservation) => return Ok(reservation),
                Err(refusal) => {
                    refusal.pause(node, trace, &mut backoff);
                    waiter.set_tried(calls.excluded(node, search.tried));
                    waiter.take_offer()
                }
            },
            offer = waiter.wait(randomized(node, backoff.pause()), policy.until) => offer,
        };
    };
    drop(waiter);
    trace.record_step("reserve", "any", shortage.text());
    Err(refusal(node, job, trace, shortage, search.refuses))
}

/// The refusal of a generation that found no capacity. Its caller is promised capacity for its return if it will be told
/// of it (`refuses`).
fn refusal(node: &Node, job: &Job, trace: &Trace, shortage: Shortage, refuses: bool) -> Refusal {
    match shortage {
        Shortage::Instance => Refusal::retryable(ErrorKind::Stopping, OTHER_INSTANCE_RETRY),
        Shortage::DecodeEngine => Refusal::retryable(ErrorKind::NoEndpoint, NO_ENDPOINT_RETRY),
        Shortage::Capacity | Shortage::PrefillEngine | Shortage::LocalPrefill => {
            let left = job.deadline.saturating_duration_since(node.now());
            let full = || {
                let refusal = if refuses { load::return_refusal(node, job, trace) } else { None };
                refusal.unwrap_or_else(|| Refusal::retryable(ErrorKind::Overloaded, retry_delay(left)))
            };
            let stage = Some(shortage.stage());
            let refusal = statements::refusal(node, job, trace, stage);
            refusal.or_else(|| rates::refusal(node, job, trace, stage)).unwrap_or_else(full)
        }
    }
}

/// Why a call brought no reservation.
#[derive(Debug)]
struct CallRefusal {
    engine: EndpointKey,
    outcome: StepOutcome,
    text: &'static str,
}

impl CallRefusal {
    /// The mean pause before another engine may be asked.
    fn pause(&self, node: &Node, trace: &Trace, backoff: &mut Backoff) -> Duration {
        if self.outcome == StepOutcome::Full {
            return backoff.after_refusal();
        }
        trace.record_step("reserve", &node.id_for_log(self.engine), self.text);
        // An engine that has ended fails at once; without a pause, a sole engine would be asked in a tight loop.
        backoff.pause()
    }
}

type Answer = Result<Reservation, CallRefusal>;

/// Calls for a reservation that are not answered.
#[derive(Debug, Default)]
struct Calls {
    answers: FuturesUnordered<oneshot::Receiver<Answer>>,
    /// Engines of the calls, and their addresses.
    engines: Vec<(EndpointKey, SocketAddr)>,
}

impl Calls {
    fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Asks the engine that was offered. Returns whether it may be asked.
    fn begin(&mut self, node: &Rc<Node>, job: &Job, work: InFlightWork) -> bool {
        let key = work.endpoint();
        let Some((address, id)) = node.locate_available(key) else { return false };
        let (sender, answer) = oneshot::channel();
        self.answers.push(answer);
        self.engines.push((key, address));
        let hold = job.service.engine.map_or(CALL_TIMEOUT, |e| e.hold);
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            // A search that has ended takes no answer: its call is not sent any more, and a reservation that nobody takes is
            // released.
            let answer = ask(&node, (address, &id), hold, work, || !sender.is_closed()).await;
            let _ = sender.send(answer);
        });
        true
    }

    /// The next answer. Waits for ever if there is no call.
    async fn next(&mut self) -> Answer {
        let Some(answer) = self.answers.next().await else { return std::future::pending().await };
        let answer = answer.expect("a call ends with its answer");
        let engine = match &answer {
            Ok(reservation) => reservation.endpoint,
            Err(refusal) => refusal.engine,
        };
        self.engines.retain(|&(key, _)| key != engine);
        answer
    }

    /// Id of the engine that was asked last, for logs.
    fn newest(&self, node: &Node) -> Arc<str> {
        self.engines.last().map_or_else(|| "any".into(), |&(key, _)| node.id_for_log(key))
    }

    /// Engines not to ask now: those of `tried`, and those that have yet to answer. Where the link to one of these was
    /// lost since, a peer may reach it.
    fn excluded(&self, node: &Node, tried: &[EndpointKey]) -> Vec<EndpointKey> {
        let reach = node.pool.reach();
        let silent = self.engines.iter().filter(|(_, address)| !reach.is_lost(*address));
        tried.iter().copied().chain(silent.map(|&(key, _)| key)).collect()
    }

    /// The policy for the rest of a search that would end now, if it waits for an answer.
    fn longer(&self, policy: WaitPolicy, node: &Node, job: &Job) -> Option<WaitPolicy> {
        let longer = policy.after_silence(job.arrived, job.deadline, &job.route)?;
        (!self.is_empty() && longer.until > node.now()).then_some(longer)
    }
}

/// A time of about `mean`, randomized so that searches that began together don't ask together.
fn randomized(node: &Node, mean: Duration) -> Duration {
    mean.mul_f64(node.state.borrow_mut().rng.random_range(0.5..1.5))
}

/// Asks one engine for capacity, and learns from its answer.
///
/// The call goes on for as long as a reservation would be held: an engine that was silent answers all calls when it goes
/// on, and a reservation that nobody knows of would take its memory for that time.
async fn ask(
    node: &Rc<Node>,
    (address, id): (SocketAddr, &str),
    hold: Duration,
    work: InFlightWork,
    may_send: impl Fn() -> bool,
) -> Answer {
    let (engine, sent_at) = (work.endpoint(), node.now());
    let request = node.protocol.reserve(id, work.tokens(), hold);
    let until = sent_at + hold.max(CALL_TIMEOUT);
    let call = node.call_endpoint_if(engine, address, request, until, may_send);
    tokio::pin!(call);
    let in_time = tokio::time::timeout(CALL_TIMEOUT, &mut call).await;
    let tokens = work.tokens();
    let mut work = Some(work);
    if in_time.is_err() {
        // The unanswered calls of one search would count at several engines, and these would look full to others.
        work = None;
        node.metrics.count_step("reserve", "timed_out");
        node.observe_step(engine, StepOutcome::Silent(CALL_TIMEOUT));
    }
    let answer = match in_time {
        Ok(answer) => answer,
        Err(_) => call.await,
    };
    let reservation_id = match &answer {
        Ok((StatusCode::OK, body)) => node.protocol.read_reservation(body),
        Ok(_) | Err(_) => None,
    };
    let (outcome, text) = classify(&answer, node.now().duration_since(sent_at));
    node.metrics.count_step("reserve", if reservation_id.is_some() { "ok" } else { text });
    if reservation_id.is_none() && matches!(answer, Ok((StatusCode::OK, _))) {
        // The response to another call.
        node.pool.close_idle(address);
    }
    let Some(reservation_id) = reservation_id else {
        if !matches!(answer, Err(ExchangeFailure::Withheld)) {
            node.observe_step(engine, outcome);
        }
        return Err(CallRefusal { engine, outcome, text });
    };
    node.observe_granted(engine);
    let work = work.unwrap_or_else(|| node.begin_work(engine, tokens));
    let node = Rc::clone(node);
    Ok(Reservation { node, endpoint: engine, address, id: Some(reservation_id), work: Some(work) })
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
