//! Room at decode engines.
//!
//! Room for a whole generation is reserved before its prompt is read. A search ends with room, or with what it was
//! short of; it waits a little for either to come free, and nothing of the request has run meanwhile.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use rand::Rng;
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{Backoff, EndpointKey, Need, Stage, StepOutcome, WaitPolicy, retry_delay};

use crate::calls::{CALL, tidy};
use crate::connection_pool::Failure;
use crate::node::{Job, Node, Phase, Slot};
use crate::rates;
use crate::refusals::ELSEWHERE;
use crate::trace::Trace;

/// When to come back if no engine is in reach.
const NO_ENDPOINT: Duration = Duration::from_millis(500);

/// Room that is reserved at a decode engine. Dropped with its reservation it gives it back.
#[derive(Debug)]
pub(crate) struct Reservation {
    node: Rc<Node>,
    pub(crate) endpoint: EndpointKey,
    address: SocketAddr,
    pub(crate) hold: Option<String>,
    pub(crate) slot: Option<Slot>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(hold) = self.hold.take() {
            let call = self.node.protocol.release(&hold);
            tidy(&self.node, self.address, call);
        }
    }
}

/// Who reads the prompt of a generation that looks for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PromptState {
    /// A prefill engine will, once there is room.
    Unread,
    /// A prefill engine has.
    Read,
    /// The decode engine will.
    ByDecode,
}

/// A search for room at a decode engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Search<'a> {
    pub(crate) patience: WaitPolicy,
    pub(crate) prompt: PromptState,
    /// Engines not to ask again.
    pub(crate) tried: &'a [EndpointKey],
}

/// Reserves room for the whole generation at a decode engine.
pub(crate) async fn reserve(
    node: &Rc<Node>,
    job: &Job,
    trace: &Trace,
    search: Search<'_>,
) -> Result<Reservation, Refusal> {
    let tokens = job.meta.prompt_tokens + node.expected_output(job);
    let WaitPolicy { until, late } = search.patience;
    let mut want = Want::Open;
    let mut looks = Backoff::new(late);
    let mut asked = 0_u32;
    loop {
        let now = node.now();
        if now >= until && asked > 0 {
            break;
        }
        // What begins now must end within the grace time; an instance that does not stop can still serve the caller.
        if late && node.phase() >= Phase::Refusing {
            want = Want::Instance;
            break;
        }
        // Only a prompt that a prefill engine is still to read stands in the queue there.
        let queues = search.prompt == PromptState::Unread;
        let chosen = if !queues || in_time(node, job, search.patience) {
            want = Want::Room;
            choose(node, job, search, tokens)
        } else {
            want = Want::Prefill;
            None
        };
        let Some(key) = chosen else {
            if !is_served(node, job) {
                want = Want::Open;
                break;
            }
            if now >= until || rates::is_pressed(node, job, Some(want.stage())) {
                break;
            }
            asked += 1;
            pause(node, looks.pause()).await;
            continue;
        };
        let Some((address, id)) = node.locate(key) else { continue };
        asked += 1;
        let slot = node.occupy(key, tokens);
        match reserve_at(node, job, key, (address, &id), tokens).await {
            Ok(hold) => {
                let node = Rc::clone(node);
                return Ok(Reservation { node, endpoint: key, address, hold: Some(hold), slot: Some(slot) });
            }
            Err((verdict, outcome)) => {
                node.learn(key, verdict);
                if verdict == StepOutcome::Full {
                    pause(node, looks.after_refusal()).await;
                } else {
                    trace.step("reserve", &node.name(key), outcome);
                    // An engine that is gone refuses at once; where no other is left it would be asked without end.
                    pause(node, looks.pause()).await;
                }
            }
        }
    }
    trace.step("reserve", "any", want.text());
    match want {
        Want::Instance => Err(Refusal::retryable(ErrorKind::Stopping, ELSEWHERE)),
        Want::Open => Err(Refusal::retryable(ErrorKind::NoEndpoint, NO_ENDPOINT)),
        Want::Room | Want::Prefill => {
            let left = job.until.saturating_duration_since(node.now());
            let full = Refusal::retryable(ErrorKind::Overloaded, retry_delay(left));
            Err(rates::refusal(node, job, trace, Some(want.stage())).unwrap_or(full))
        }
    }
}

/// Waits for about `mean`; spread, so that searches that began together do not go on asking together.
async fn pause(node: &Node, mean: Duration) {
    if mean.is_zero() {
        return;
    }
    let part = node.state.borrow_mut().rng.random_range(0.5..1.5);
    tokio::time::sleep(mean.mul_f64(part)).await;
}

/// Chooses the decode engine to ask. For a late request there must be room for another one like it besides.
fn choose(node: &Node, job: &Job, search: Search<'_>, tokens: u64) -> Option<EndpointKey> {
    let Search { patience, prompt, tried } = search;
    let local_prefill = prompt == PromptState::ByDecode;
    let limit = job.service.engine.map(|e| e.tokens);
    let headroom = patience.headroom(tokens);
    let stage = Some(Stage::Decode);
    node.choose_for(Need {
        stage,
        tried,
        tokens,
        limit,
        headroom,
        local_prefill,
        ..node.need(&job.service.name)
    })
}

/// Asks one engine for room; gives the id of the reservation, or what the failure says of the engine and its name.
async fn reserve_at(
    node: &Node,
    job: &Job,
    key: EndpointKey,
    (address, id): (SocketAddr, &str),
    tokens: u64,
) -> Result<String, (StepOutcome, &'static str)> {
    let ttl = job.service.engine.map_or(CALL, |e| e.hold);
    let until = (node.now() + CALL).min(job.until);
    let answer = node.call_in_full(address, node.protocol.reserve(id, tokens, ttl), until).await;
    let answer = answer.map(|(head, body)| {
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            rates::answered(node, key, node.protocol.read_response(head.status, &head.headers).rate);
        }
        (head.status, body)
    });
    let hold = match &answer {
        Ok((StatusCode::OK, body)) => node.protocol.read_reservation(body),
        Ok(_) | Err(_) => None,
    };
    let (verdict, outcome) = judge(&answer);
    node.metrics.step("reserve", if hold.is_some() { "ok" } else { outcome });
    hold.ok_or((verdict, outcome))
}

/// What a call that brought no room says of its engine, and its name for logs.
fn judge(answer: &Result<(StatusCode, Bytes), Failure>) -> (StepOutcome, &'static str) {
    match answer {
        Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _)) => {
            (StepOutcome::Full, "full")
        }
        Ok((StatusCode::MISDIRECTED_REQUEST, _)) => (StepOutcome::Unreachable, "misdirected"),
        Ok(_) => (StepOutcome::Failed, "failed"),
        Err(Failure::Unsent) => (StepOutcome::Unreachable, Failure::Unsent.text()),
        Err(failure) => (StepOutcome::Failed, failure.text()),
    }
}

/// What a search for room was short of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Want {
    /// A decode engine that takes new work.
    Open,
    /// Room at one.
    Room,
    /// An instance that is not about to end.
    Instance,
    /// A prefill engine that would be done in time.
    Prefill,
}

impl Want {
    /// Stage of the engines of which it was short.
    const fn stage(self) -> Stage {
        match self {
            Self::Prefill => Stage::Prefill,
            Self::Open | Self::Room | Self::Instance => Stage::Decode,
        }
    }

    const fn text(self) -> &'static str {
        match self {
            Self::Open => "none_open",
            Self::Room => "full",
            Self::Instance => "stopping",
            Self::Prefill => "prefill_behind",
        }
    }
}

/// Whether a prefill that begins now is expected to end while the first event can still be on time, at the engine with
/// the least in flight.
///
/// Prompts that are sent all the same would make those behind them late as well, and a prefill that ends too late is
/// lost.
fn in_time(node: &Node, job: &Job, patience: WaitPolicy) -> bool {
    let prompt = job.meta.prompt_tokens;
    let chosen = node.choose_prefill(&job.service.name, &[], prompt);
    let state = node.state.borrow();
    let Some(key) = chosen else {
        // Without any prefill engine the decode engine reads the prompt; for ones that name rates it is worth waiting.
        return state.endpoints.total_rate(node.now(), &job.service.name, Some(Stage::Prefill)).is_none();
    };
    let pace = state.paces.get(&job.service.name).copied().unwrap_or_default();
    pace.in_time(state.endpoints.load(key), prompt, patience.prefill_limit(&job.route))
}

/// Whether any decode engine takes new work at all, full or not.
fn is_served(node: &Node, job: &Job) -> bool {
    let state = node.state.borrow();
    state.endpoints.open(node.now(), &job.service.name).any(|e| e.stage == Some(Stage::Decode))
}
