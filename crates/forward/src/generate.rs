//! Generations: room at a decode engine, prefill, decode.
//!
//! The result of a prefill is kept for half a second, so that a prefill whose decode engine turns out to be full is
//! lost. Room for the whole generation is therefore reserved first, and the prompt is read only when there is some.
//! A request for which no engine has room waits a little and is then refused; nothing of it has run.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{EndpointKey, Repeat, Sends, WaitPolicy};

use crate::body::AnswerBody;
use crate::calls::{CALL, tidy};
use crate::crashes::{self, Watch};
use crate::node::{Answer, Job, Node, Slot, StepFailure};
use crate::protocol::Purpose;
use crate::refusals::refuse;
use crate::reservations::{PromptState, Reservation, Search, reserve};
use crate::stream::{self, Events, Source};
use crate::trace::Trace;

/// Part of a reservation's life that a prefill may take.
const PREFILL_PART: f64 = 0.8;
/// Longest wait for the first event; callers leave about then.
const FIRST: Duration = Duration::from_secs(4);
/// When to come back if an engine refused that had been believed to take the request: beliefs are corrected by then, and
/// the answer may still be on time.
const AGAIN: Duration = Duration::from_millis(100);
/// Rounds of room, prefill and decode that one request may take if engines cannot be reached.
const ROUNDS: usize = 3;

/// Serves a generation.
pub(crate) async fn run(node: &Rc<Node>, job: Job, trace: Trace) -> Response<AnswerBody> {
    let patience = WaitPolicy::for_arrival(job.arrived, job.until, &job.route, job.returns);
    let (answer, slot) = match start(node, &job, &trace, patience, Prompt::Unread, Vec::new()).await {
        Ok(started) => started,
        Err(refusal) => return refuse(node, refusal, trace),
    };
    if answer.response.status().is_success() {
        return stream::relay(node, Source::generation(job), answer, slot, trace);
    }
    let (mut head, body) = answer.response.into_parts();
    let Ok((body, holding)) = node.read_held(body, answer.connection, job.until).await else {
        return refuse(node, Refusal::new(ErrorKind::EndpointFailed), trace);
    };
    node.served(&job);
    crate::headers::strip(&mut head.headers);
    trace.end("endpoint_error", head.status.as_u16());
    Response::from_parts(head, AnswerBody::whole(body, Some(holding)))
}

/// Takes a stream up that broke at engine `broken`, at another one, after the last event that the caller has. That one
/// reads the prompt itself: a second prefill would count as one more send.
pub(crate) async fn resume(
    node: &Rc<Node>,
    job: &mut Job,
    events: &Events,
    broken: EndpointKey,
    trace: &Trace,
) -> Option<(Answer, Slot)> {
    let last = HeaderValue::from_str(events.last.as_deref()?).ok()?;
    if node.quarantined(job).is_some() || !node.may_repeat(&job.service) {
        return None;
    }
    job.headers.insert("last-event-id", last);
    let patience = WaitPolicy::for_resume(node.now(), job.until);
    let (answer, slot) = start(node, job, trace, patience, Prompt::ByDecode, vec![broken]).await.ok()?;
    (answer.response.status() == StatusCode::OK).then_some((answer, slot))
}

/// A KV cache at a prefill engine. Dropped before it was taken it is freed.
#[derive(Debug)]
struct Cache {
    node: Rc<Node>,
    address: SocketAddr,
    handle: Option<String>,
}

impl Drop for Cache {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            let call = self.node.protocol.free_kv_cache(&handle);
            tidy(&self.node, self.address, call);
        }
    }
}

/// Where a generation's prompt is.
#[derive(Debug)]
enum Prompt {
    /// Not read yet.
    Unread,
    /// At a prefill engine.
    Read(Cache),
    /// The decode engine reads it itself: slower, and between the tokens of others, but with no other engine needed.
    ByDecode,
}

async fn start(
    node: &Rc<Node>,
    job: &Job,
    trace: &Trace,
    patience: WaitPolicy,
    mut prompt: Prompt,
    mut tried: Vec<EndpointKey>,
) -> Result<(Answer, Slot), Refusal> {
    let mut sends = Sends::default();
    // Whether an engine may have run the request: then no refusal may say that it has not.
    let mut ran = false;
    for _ in 0..ROUNDS {
        let state = match prompt {
            Prompt::Unread => PromptState::Unread,
            Prompt::Read(_) => PromptState::Read,
            Prompt::ByDecode => PromptState::ByDecode,
        };
        let search = Search { patience, prompt: state, tried: &tried };
        let mut room = match reserve(node, job, trace, search).await {
            Ok(room) => room,
            Err(_) if ran => break,
            Err(refusal) => return Err(refusal),
        };
        // A search for room and a prefill take long enough for others to tell of the request.
        match node.quarantined(job) {
            Some(refusal) if !ran => return Err(refusal),
            Some(_) => break,
            None => {}
        }
        if matches!(prompt, Prompt::Unread) {
            prompt = prefill(node, job, trace, &mut sends).await?;
            if let Some(refusal) = node.quarantined(job) {
                return Err(refusal);
            }
        }
        if !node.may_go(job, &mut sends) {
            break;
        }
        let reading = matches!(prompt, Prompt::ByDecode).then(|| node.read_at(room.endpoint));
        let watch = Watch::new(node, job, room.endpoint);
        let result = decode(node, job, &room, &prompt).await;
        let begun = watch.ended();
        drop(reading);
        if result.as_ref().is_err_and(|failure| failure.may_have_run()) {
            crashes::check(node, job, trace, room.endpoint, begun);
        }
        let text = result.as_ref().map_or_else(|f| f.text(), |_| "answered");
        trace.step("decode", &node.name(room.endpoint), text);
        match result {
            Ok(answer) => {
                room.hold = None;
                if let Prompt::Read(cache) = &mut prompt {
                    cache.handle = None;
                }
                let slot = room.slot.take().expect("a room has its slot until a run begins");
                return Ok((answer, slot));
            }
            // The KV cache is still where it was; only another engine is needed.
            Err(StepFailure::Unsent) => {}
            Err(StepFailure::Refused | StepFailure::Misdirected) => {
                sends.count();
                prompt = Prompt::ByDecode;
            }
            Err(StepFailure::Broken | StepFailure::TimedOut) => {
                sends.count();
                ran = true;
                let resumable = job.route.repeat == (Repeat::Stream { resumable: true });
                if node.now() >= job.until {
                    return Err(Refusal::new(ErrorKind::DeadlinePassed));
                }
                if !resumable || sends.counted() >= job.route.attempts {
                    break;
                }
                prompt = Prompt::ByDecode;
            }
        }
        tried.push(room.endpoint);
    }
    if ran {
        return Err(Refusal::new(ErrorKind::OutcomeUnknown));
    }
    Err(Refusal::retryable(ErrorKind::Overloaded, AGAIN))
}

/// Has the prompt read.
///
/// Only the first call that an engine accepts is free; a refused one counts in `sends`. A call without an
/// answer was probably accepted, so that a second prefill counts. Where the route leaves a send for the decode besides, it
/// is made at another engine: a decode engine that reads a prompt itself stands still for all its streams meanwhile,
/// some nine, and pauses them for longer than their callers aim for. On a route with one attempt the prompt is left to the
/// decode engine: a caller whose prefill engine lost its answer gets its stream a fifth of a second later and not a
/// refusal.
async fn prefill(node: &Rc<Node>, job: &Job, trace: &Trace, sends: &mut Sends) -> Result<Prompt, Refusal> {
    let mut tried = Vec::new();
    for _ in 0..ROUNDS {
        let tokens = job.meta.prompt_tokens;
        let chosen = node.choose_prefill(&job.service.name, &tried, tokens);
        let Some(key) = chosen else { break };
        let Some((address, id)) = node.locate(key) else { continue };
        if !node.may_go(job, sends) {
            break;
        }
        tried.push(key);
        let slot = node.occupy(key, tokens);
        let watch = Watch::new(node, job, key);
        let in_flight = node.state.borrow().endpoints.load(key);
        let result = prefill_at(node, job, &slot).await;
        let begun = watch.ended();
        if result.as_ref().is_err_and(|failure| failure.may_have_run()) {
            crashes::check(node, job, trace, key, begun);
        }
        let text = result.as_ref().map_or_else(|f| f.text(), |_| "ok");
        trace.step("prefill", &id, text);
        match result {
            Ok(handle) => {
                let took = node.now().duration_since(begun);
                let state = &mut *node.state.borrow_mut();
                state.paces.entry(Arc::clone(&job.service.name)).or_default().learn(in_flight, took);
                return Ok(Prompt::Read(Cache { node: Rc::clone(node), address, handle: Some(handle) }));
            }
            Err(_) if node.now() >= job.until => return Err(Refusal::new(ErrorKind::Expired)),
            Err(StepFailure::Unsent) => {}
            Err(StepFailure::Refused | StepFailure::Misdirected) => sends.count(),
            Err(StepFailure::Broken | StepFailure::TimedOut) if sends.counted() + 1 < job.route.attempts => {
                sends.count();
            }
            Err(StepFailure::Broken | StepFailure::TimedOut) => break,
        }
    }
    Ok(Prompt::ByDecode)
}

/// Has the prompt read at one engine; gives the handle of its KV cache.
async fn prefill_at(node: &Node, job: &Job, slot: &Slot) -> Result<String, StepFailure> {
    let longest = job.service.engine.map_or(CALL, |e| e.hold.mul_f64(PREFILL_PART));
    let until = (node.now() + longest).min(job.until);
    let answer = node.send(job, slot, Purpose::Prefill, until).await?;
    if answer.response.status() != StatusCode::OK {
        return Err(StepFailure::Broken);
    }
    let body = node.read(answer.response.into_body(), answer.connection, until).await?;
    node.protocol.read_kv_handle(&body).ok_or(StepFailure::Broken)
}

async fn decode(node: &Node, job: &Job, room: &Reservation, prompt: &Prompt) -> Result<Answer, StepFailure> {
    let reservation = room.hold.as_deref();
    let purpose = match prompt {
        Prompt::Read(Cache { address, handle: Some(handle), .. }) => {
            Purpose::Decode { source: *address, handle, reservation }
        }
        Prompt::Read(_) | Prompt::Unread | Prompt::ByDecode => Purpose::PrefillAndDecode { reservation },
    };
    let slot = room.slot.as_ref().expect("a room has its slot until a run begins");
    node.send(job, slot, purpose, node.now() + FIRST).await
}
