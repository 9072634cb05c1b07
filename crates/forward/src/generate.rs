//! Generations: capacity at a decode engine, prefill, decode.
//!
//! A prefill engine keeps its result for half a second, so that a prefill is wasted if the decode engine
//! turns out to be full. Capacity for the complete generation is therefore reserved first, and the prompt is
//! prefilled only after that. A request for which no engine has capacity waits a short time and is then
//! refused; nothing of it has run.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{EndpointKey, Sends, StepOutcome, WaitPolicy};

use crate::body::{ResponseBody, buffered_response};
use crate::calls::{CALL_TIMEOUT, release_in_background};
use crate::crashes::{self, CallGuard, Progress};
use crate::in_flight::InFlightWork;
use crate::load;
use crate::node::{Answer, Job, Node, StepFailure};
use crate::pace;
use crate::protocol::Purpose;
use crate::quarantine;
use crate::refusals::refuse;
use crate::reservations::{CapacitySearch, PromptState, Reservation, reserve};
use crate::resume::{self, Interrupted, ResumePoint, Search};
use crate::silence::SilenceWatch;
use crate::stream::{self, StreamJob};
use crate::trace::Trace;
use crate::waste::{PrefilledPrompt, WasteCause};

/// Fraction of a reservation's lifetime that a prefill may take.
const PREFILL_FRACTION: f64 = 0.8;
/// `Retry-After` delay if an engine refused a request that it was expected to accept. The estimates are
/// corrected by then, and the response may still be on time.
const REFUSED_RETRY: Duration = Duration::from_millis(100);
/// Rounds of reservation, prefill and decode for one request while engines are unreachable.
const MAX_ROUNDS: usize = 3;

/// Serves a generation.
pub(crate) async fn run(node: &Rc<Node>, job: Job, trace: Trace) -> Response<ResponseBody> {
    if let Err(refusal) = load::admit_generation(node, &job, &trace) {
        return refuse(node, refusal, trace);
    }
    let mut wait_policy = WaitPolicy::for_arrival(job.arrived, job.deadline, &job.route, job.is_retry);
    // Capacity was promised for now. Its caller may not retry again, so that it waits for as long as a retry.
    wait_policy.late &= !job.promised;
    let runs = Cell::new(0);
    let Started { answer, work } = match start(node, &job, &trace, Start::new(wait_policy, &runs)).await {
        Ok(started) => started,
        Err(refusal) => return refuse(node, refusal, trace),
    };
    if answer.is_stream() {
        return stream::relay(node, StreamJob::generation(job, runs), answer, work, trace);
    }
    let head = answer.head;
    let read = node.read_buffered(answer.body, job.deadline).await;
    node.observe_read(&job, answer.endpoint, answer.outcome, &read);
    let Ok(body) = read else {
        return refuse(node, Refusal::new(ErrorKind::EndpointFailed), trace);
    };
    node.observe_response(&job, head.status, body.end.completeness);
    let outcome = if head.status.is_success() { "answered" } else { "endpoint_error" };
    trace.end(outcome, head.status.as_u16());
    buffered_response(head, body)
}

/// A run whose response has begun.
#[derive(Debug)]
pub(crate) struct Started {
    pub(crate) answer: Answer,
    pub(crate) work: InFlightWork,
}

/// How a generation starts.
#[derive(Debug)]
pub(crate) struct Start<'a> {
    wait_policy: WaitPolicy,
    prompt: Prompt<'a>,
    /// Engines not to ask.
    tried: Vec<EndpointKey>,
    /// Id of the last event that the caller has, for a stream that resumes.
    after: Option<&'a HeaderValue>,
    sends: Sends,
    /// Runs that engines may have begun.
    runs: &'a Cell<u32>,
}

impl<'a> Start<'a> {
    const fn new(wait_policy: WaitPolicy, runs: &'a Cell<u32>) -> Self {
        let (prompt, sends) = (Prompt::NotPrefilled, Sends::new());
        Self { wait_policy, prompt, tried: Vec::new(), after: None, sends, runs }
    }

    /// Resumes a stream at an engine other than `engine`, which prefills the prompt itself.
    pub(crate) fn resume(
        wait_policy: WaitPolicy,
        engine: EndpointKey,
        after: Option<&'a HeaderValue>,
        runs: &'a Cell<u32>,
    ) -> Self {
        let (prompt, sends) = (Prompt::LocalPrefill, Sends::resumed());
        Self { wait_policy, prompt, tried: vec![engine], after, sends, runs }
    }
}

/// Counts a run that an engine may have begun, also if its caller does not wait for the response.
struct RunCount<'a>(&'a Cell<u32>);

impl<'a> RunCount<'a> {
    fn begin(runs: &'a Cell<u32>) -> Self {
        runs.update(|runs| runs + 1);
        Self(runs)
    }

    /// The engine has not run the request.
    fn undo(self) {
        self.0.update(|runs| runs - 1);
    }
}

/// A KV cache at a prefill engine. Dropping it before the decode engine has taken it frees it.
#[derive(Debug)]
struct KvCache<'a> {
    node: &'a Rc<Node>,
    address: SocketAddr,
    handle: Option<String>,
    prompt: PrefilledPrompt<'a>,
}

impl Drop for KvCache<'_> {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            let call = self.node.protocol.free_kv_cache(&handle);
            release_in_background(self.node, self.address, call);
        }
    }
}

/// Where the prompt of a generation is prefilled.
#[derive(Debug)]
enum Prompt<'a> {
    /// Nowhere yet.
    NotPrefilled,
    /// At a prefill engine.
    Prefilled(KvCache<'a>),
    /// At the decode engine (local prefill). This is slower and delays the tokens of other streams, but needs
    /// no other engine.
    LocalPrefill,
}

impl Prompt<'_> {
    /// Records why the result of a prefill engine will not be used, if there is one.
    fn mark_wasted(&self, cause: WasteCause) {
        if let Self::Prefilled(cache) = self {
            cache.prompt.mark_wasted(cause);
        }
    }
}

/// Starts a generation at an engine, up to the head of its response.
pub(crate) async fn start<'a>(
    node: &'a Rc<Node>,
    job: &'a Job,
    trace: &'a Trace,
    start: Start<'a>,
) -> Result<Started, Refusal> {
    let Start { wait_policy, mut prompt, mut tried, after, mut sends, runs } = start;
    let is_resumed = matches!(prompt, Prompt::LocalPrefill);
    // If an engine may have run the request, a refusal must not state that the request has not run. That engine need not be the
    // one whose failure is known: a search may have sent the request to another.
    let runs_before = runs.get();
    let may_have_run = || runs.get() > runs_before;
    for _ in 0..MAX_ROUNDS {
        let state = match prompt {
            Prompt::NotPrefilled => PromptState::NotPrefilled,
            Prompt::Prefilled(_) => PromptState::Prefilled,
            Prompt::LocalPrefill => PromptState::LocalPrefill,
        };
        let search = CapacitySearch { wait_policy, prompt: state, tried: &tried, refuses: !is_resumed };
        let mut reserved = match reserve(node, job, trace, search).await {
            Ok(reserved) => reserved,
            Err(_) if may_have_run() => break,
            Err(refusal) => {
                prompt.mark_wasted(WasteCause::NoCapacity);
                return Err(refusal);
            }
        };
        // A search for capacity and a prefill take long enough for peers to report crashes under the request.
        match quarantine::refusal(node, job, trace) {
            Some(refusal) if !may_have_run() => {
                prompt.mark_wasted(WasteCause::Refused);
                return Err(refusal);
            }
            Some(_) => break,
            None => {}
        }
        if matches!(prompt, Prompt::NotPrefilled) {
            load::record_generation(node, job);
            prompt = prefill(node, job, trace, &mut sends).await?;
            if let Some(refusal) = quarantine::refusal(node, job, trace) {
                prompt.mark_wasted(WasteCause::Refused);
                return Err(refusal);
            }
        }
        if !node.may_send(job, &mut sends) {
            prompt.mark_wasted(WasteCause::Refused);
            break;
        }
        let interrupted = Interrupted { job, trace, runs };
        let result = match run_at(node, interrupted, &reserved, &prompt, after).await {
            FirstEvent::Answered(result) => result,
            FirstEvent::Replaced(started, _) => {
                prompt.mark_wasted(WasteCause::EngineLost);
                return Ok(started);
            }
        };
        match result {
            Ok(answer) => {
                reserved.id = None;
                if let Prompt::Prefilled(cache) = &mut prompt {
                    cache.handle = None;
                    if answer.head.status.is_success() {
                        cache.prompt.mark_not_wasted();
                    } else {
                        cache.prompt.mark_wasted(WasteCause::EngineError);
                    }
                }
                let work =
                    reserved.work.take().expect("a reservation keeps its in-flight work until a run begins");
                return Ok(Started { answer, work });
            }
            // The KV cache is still at the prefill engine; only another decode engine is needed.
            Err(StepFailure::Unsent | StepFailure::Withheld) => {}
            Err(failure @ (StepFailure::Refused | StepFailure::Misdirected)) => {
                sends.count();
                // Capacity was reserved, so that an engine which refuses lacks the KV cache.
                let is_lost = failure == StepFailure::Misdirected;
                let cause = if is_lost { WasteCause::EngineLost } else { WasteCause::HandleLost };
                prompt.mark_wasted(cause);
                prompt = Prompt::LocalPrefill;
            }
            Err(StepFailure::Broken | StepFailure::TimedOut) => {
                sends.count();
                prompt.mark_wasted(WasteCause::EngineLost);
                prompt = Prompt::LocalPrefill;
            }
        }
        if may_have_run() {
            if node.now() >= job.deadline {
                return Err(Refusal::new(ErrorKind::DeadlinePassed));
            }
            if !interrupted.may_resume() {
                break;
            }
        }
        tried.push(reserved.endpoint);
    }
    prompt.mark_wasted(WasteCause::NoCapacity);
    if may_have_run() {
        return Err(Refusal::new(ErrorKind::OutcomeUnknown));
    }
    Err(Refusal::retryable(ErrorKind::Overloaded, REFUSED_RETRY))
}

/// Has the prompt prefilled.
///
/// Only the first call that an engine accepts is free; a refused call counts in `sends`. A call without a
/// response was probably accepted, so that a second prefill counts. If the route leaves another attempt for
/// the decode, the second prefill is made at another prefill engine: a decode engine that prefills a prompt
/// itself stalls all its streams (about nine), and for longer than the gap that their callers aim for. On a
/// route with one attempt the decode engine prefills the prompt: a caller whose prefill engine lost its
/// response then gets its stream a fifth of a second later and not a refusal.
async fn prefill<'a>(
    node: &'a Rc<Node>,
    job: &Job,
    trace: &'a Trace,
    sends: &mut Sends,
) -> Result<Prompt<'a>, Refusal> {
    let mut tried = Vec::new();
    for _ in 0..MAX_ROUNDS {
        let tokens = job.prompt_tokens();
        let chosen = node.choose_prefill(&job.service.name, &tried, tokens);
        let Some(key) = chosen else { break };
        let Some((address, id)) = node.locate(key) else { continue };
        if !node.may_send(job, sends) {
            break;
        }
        tried.push(key);
        let work = node.begin_work(key, tokens);
        let guard = CallGuard::new(node, job, key);
        let in_flight = node.state.borrow().endpoints.load(key);
        let prompt = PrefilledPrompt::new(node, trace, tokens);
        let result = prefill_at(node, job, &work).await;
        let sent_at = guard.ended();
        match &result {
            Ok(_) => {}
            Err(failure) if failure.may_have_run() => prompt.mark_wasted(WasteCause::SecondAttempt),
            Err(_) => prompt.mark_not_wasted(),
        }
        if result.as_ref().is_err_and(|failure| failure.may_have_run()) {
            crashes::check_endpoint(node, job, trace, key, sent_at, Progress::Unanswered);
        }
        let text = result.as_ref().map_or_else(|f| f.text(), |_| "ok");
        trace.record_step("prefill", &id, text);
        match result {
            Ok(handle) => {
                pace::observe_prefill(node, &job.service.name, key, in_flight, sent_at);
                return Ok(Prompt::Prefilled(KvCache { node, address, handle: Some(handle), prompt }));
            }
            Err(_) if node.now() >= job.deadline => return Err(Refusal::new(ErrorKind::Expired)),
            Err(StepFailure::Unsent | StepFailure::Withheld) => {}
            Err(StepFailure::Refused | StepFailure::Misdirected) => sends.count(),
            Err(StepFailure::Broken | StepFailure::TimedOut) if sends.counted() + 1 < job.route.attempts => {
                sends.count();
            }
            Err(StepFailure::Broken | StepFailure::TimedOut) => break,
        }
    }
    Ok(Prompt::LocalPrefill)
}

/// Has one engine prefill the prompt; returns the handle of its KV cache.
async fn prefill_at(node: &Node, job: &Job, work: &InFlightWork) -> Result<String, StepFailure> {
    let timeout = job.service.engine.map_or(CALL_TIMEOUT, |e| e.hold.mul_f64(PREFILL_FRACTION));
    let until = (node.now() + timeout).min(job.deadline);
    let answer = node.send(job, work, Purpose::Prefill, until).await?;
    if answer.head.status != StatusCode::OK {
        node.observe_outcome(job, answer.endpoint, answer.outcome);
        return Err(StepFailure::Broken);
    }
    let read = node.read(answer.body, until).await;
    node.observe_read(job, answer.endpoint, answer.outcome, &read);
    let body = read?;
    node.protocol.read_kv_handle(&body).ok_or(StepFailure::Broken)
}

/// How the wait for the first event of a run ended.
enum FirstEvent {
    Answered(Result<Answer, StepFailure>),
    /// Another engine has responded first, perhaps after the run had failed.
    Replaced(Started, Option<StepFailure>),
}

/// Sends a generation to the engine with the reservation, and waits for the first event.
async fn run_at(
    node: &Rc<Node>,
    interrupted: Interrupted<'_>,
    reserved: &Reservation,
    prompt: &Prompt<'_>,
    after: Option<&HeaderValue>,
) -> FirstEvent {
    let Interrupted { job, trace, runs } = interrupted;
    let local_prefill =
        matches!(prompt, Prompt::LocalPrefill).then(|| node.begin_local_prefill(reserved.endpoint));
    let guard = CallGuard::new(node, job, reserved.endpoint);
    let run_count = RunCount::begin(runs);
    let run = decode(node, job, reserved, prompt, after);
    let result = match first_event(node, interrupted, after, reserved.endpoint, run).await {
        FirstEvent::Answered(result) => result,
        FirstEvent::Replaced(started, failure) => {
            match failure {
                Some(failure) if failure.may_have_run() => {
                    let sent_at = guard.ended();
                    crashes::check_endpoint(
                        node,
                        job,
                        trace,
                        reserved.endpoint,
                        sent_at,
                        Progress::Unanswered,
                    );
                }
                Some(_) => run_count.undo(),
                None => {}
            }
            return FirstEvent::Replaced(started, failure);
        }
    };
    let sent_at = guard.ended();
    drop(local_prefill);
    if let Err(failure) = &result {
        if failure.may_have_run() {
            crashes::check_endpoint(node, job, trace, reserved.endpoint, sent_at, Progress::Unanswered);
        } else {
            run_count.undo();
        }
    }
    let text = match &result {
        Ok(answer) => format!("answered{}", answer.via_text()),
        Err(failure) => failure.text().to_owned(),
    };
    trace.record_step("decode", &node.id_for_log(reserved.endpoint), &text);
    FirstEvent::Answered(result)
}

/// Waits for the first event of a run. Where the route allows another attempt, and other engines respond while `engine` is
/// silent, one of these is given the request as well.
async fn first_event(
    node: &Rc<Node>,
    interrupted: Interrupted<'_>,
    after: Option<&HeaderValue>,
    engine: EndpointKey,
    run: impl Future<Output = Result<Answer, StepFailure>>,
) -> FirstEvent {
    let Interrupted { job, trace, .. } = interrupted;
    let mut run = pin!(run);
    let mut watch = SilenceWatch::before_first_event(node, job, engine, interrupted.may_resume());
    let mut search: Option<Search<'_>> = None;
    let mut failure = None;
    loop {
        tokio::select! {
            biased;
            result = &mut run, if failure.is_none() => match result {
                Err(failed) if search.is_some() => failure = Some(failed),
                result => {
                    if search.is_some() {
                        resume::count(node, "first_event", "went_on");
                    }
                    return FirstEvent::Answered(result);
                }
            },
            found = resume::found(&mut search) => {
                resume::count(node, "first_event", resume::outcome(&found));
                match (found, failure) {
                    (Ok(started), failure) => {
                        // A run that has failed was counted as that.
                        if failure.is_none() {
                            node.observe_outcome(job, engine, StepOutcome::Failed);
                        }
                        return FirstEvent::Replaced(*started, failure);
                    }
                    (Err(_), Some(failed)) => return FirstEvent::Answered(Err(failed)),
                    (Err(_), None) => watch.disable(),
                }
            }
            cause = watch.until_unlikely(), if search.is_none() => {
                trace.record_step("decode", &node.id_for_log(engine), cause);
                let point = after.cloned().map_or(ResumePoint::Start, ResumePoint::After);
                search = Some(interrupted.search(node, point, engine));
            }
        }
    }
}

async fn decode(
    node: &Node,
    job: &Job,
    reserved: &Reservation,
    prompt: &Prompt<'_>,
    after: Option<&HeaderValue>,
) -> Result<Answer, StepFailure> {
    let reservation = reserved.id.as_deref();
    let purpose = match prompt {
        Prompt::Prefilled(KvCache { address, handle: Some(handle), .. }) => {
            Purpose::Decode { source: *address, handle, reservation }
        }
        Prompt::Prefilled(_) | Prompt::NotPrefilled | Prompt::LocalPrefill => {
            Purpose::PrefillAndDecode { after, reservation }
        }
    };
    let work = reserved.work.as_ref().expect("a reservation keeps its in-flight work until a run begins");
    node.send(job, work, purpose, job.deadline).await
}
