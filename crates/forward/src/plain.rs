//! Sends requests to plain services: to one endpoint, and to a second one where that is allowed.
//!
//! An idempotent request without a response after a fraction ([`HEDGE_FRACTION`]) of its latency goal, or whose
//! link is lost before, is also sent to a second endpoint, and the first good response is used. One slow or
//! unresponsive endpoint then costs a caller that fraction of the goal and not the whole timeout. Neither attempt is
//! ended for its silence: if both endpoints are silent, the one that goes on first responds. A non-idempotent request
//! goes to another endpoint only if the first provably has not run it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{EndpointKey, Need, Repeat};

use crate::body::{ResponseBody, buffered_response};
use crate::calls::BufferedBody;
use crate::crashes::{self, CallGuard, Progress};
use crate::in_flight::InFlightWork;
use crate::load;
use crate::node::{Answer, Job, Node, StepFailure};
use crate::protocol::Purpose;
use crate::quarantine;
use crate::rates;
use crate::refusals::refuse;
use crate::response_reader::ResponseEnd;
use crate::statements;
use crate::stream::{self, StreamJob};
use crate::trace::Trace;

/// Fraction of the latency goal after which an idempotent request is also sent to a second endpoint.
const HEDGE_FRACTION: f64 = 0.6;
/// Endpoints that one request may fail to reach before it is refused.
const MAX_UNREACHABLE: usize = 3;
/// `Retry-After` delay if no endpoint is reachable: about the time for which an endpoint is paused after
/// failures.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(300);
/// `Retry-After` delay if every endpoint is full: some service times.
const ALL_FULL_RETRY: Duration = Duration::from_millis(150);

/// A response that was received to its end, or the head of a stream.
enum Outcome {
    Buffered(Parts, BufferedBody),
    Stream(Box<Answer>, InFlightWork),
}

/// Serves a request.
pub(crate) async fn run(node: &Rc<Node>, job: Job, trace: Trace) -> Response<ResponseBody> {
    if let Err(refusal) = load::admit_call(node, &job, &trace) {
        return refuse(node, refusal, trace);
    }
    let result = match job.route.repeat {
        Repeat::Idempotent if job.route.attempts > 1 => hedged(node, &job, &trace).await,
        Repeat::Idempotent | Repeat::Once | Repeat::Stream { .. } => {
            sequential(node, &job, &trace, AttemptLog::default()).await
        }
    };
    match result {
        Ok(Outcome::Buffered(head, body)) => {
            node.observe_response(&job, head.status, body.end.completeness);
            trace.record_head();
            trace.end("answered", head.status.as_u16());
            buffered_response(head, body)
        }
        Ok(Outcome::Stream(answer, work)) => {
            stream::relay(node, StreamJob::not_resumable(job), *answer, work, trace)
        }
        Err(refusal) => refuse(node, refusal, trace),
    }
}

/// Attempts of a request: their endpoints, and how far the request got.
#[derive(Debug, Default)]
struct AttemptLog {
    endpoints: Vec<EndpointKey>,
    /// Attempts whose request may have reached an endpoint.
    sent: u32,
    /// Whether an endpoint may have run the request.
    may_have_run: bool,
    /// When a choice last found no endpoint.
    unplaced_at: Option<Instant>,
}

impl AttemptLog {
    fn count(&mut self, result: &Result<Outcome, StepFailure>) {
        match result {
            Err(StepFailure::Unsent | StepFailure::Withheld) => {}
            Err(StepFailure::Refused | StepFailure::Misdirected) => self.sent += 1,
            Ok(_) | Err(StepFailure::Broken | StepFailure::TimedOut) => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
    }

    /// The refusal when no further attempt is allowed.
    fn exhausted_refusal(&self, node: &Node, job: &Job, trace: &Trace) -> Refusal {
        if !self.may_have_run
            && let Some(refusal) =
                statements::refusal(node, job, trace, None).or_else(|| rates::refusal(node, job, trace, None))
        {
            return refusal;
        }
        match (self.may_have_run, self.sent) {
            (true, _) => Refusal::new(unknown_outcome(node, job)),
            (false, 0) if !self.has_busy_endpoint(node, job) => {
                Refusal::retryable(ErrorKind::NoEndpoint, NO_ENDPOINT_RETRY)
            }
            (false, _) => Refusal::retryable(ErrorKind::Overloaded, ALL_FULL_RETRY),
        }
    }

    /// Whether a plain endpoint of the service was not tried although it takes new work. Its cooldown or its
    /// limit admitted none, whereas the endpoints that were tried could not be reached.
    ///
    /// As of the choice: an endpoint that becomes available after it was not busy, and `overloaded` would be the
    /// wrong reason.
    fn has_busy_endpoint(&self, node: &Node, job: &Job) -> bool {
        let now = self.unplaced_at.unwrap_or_else(|| node.now());
        let endpoints = &node.state.borrow().endpoints;
        let tried = |id| endpoints.key_of(id).is_some_and(|key| self.endpoints.contains(&key));
        endpoints.open(now, &job.service.name).any(|e| e.stage.is_none() && !tried(&e.id))
    }
}

/// The kind of error for a request that was sent and whose outcome is unknown.
fn unknown_outcome(node: &Node, job: &Job) -> ErrorKind {
    if node.now() >= job.deadline { ErrorKind::DeadlinePassed } else { ErrorKind::OutcomeUnknown }
}

fn is_good(result: &Result<Outcome, StepFailure>) -> bool {
    match result {
        Ok(Outcome::Buffered(head, _)) => !head.status.is_server_error(),
        Ok(Outcome::Stream(..)) => true,
        Err(_) => false,
    }
}

/// Makes attempts until there is a good response or no further attempt is allowed. Then the last response of
/// an endpoint is used.
async fn sequential(
    node: &Rc<Node>,
    job: &Job,
    trace: &Trace,
    mut attempts: AttemptLog,
) -> Result<Outcome, Refusal> {
    let mut last = None;
    while node.now() < job.deadline && attempts.endpoints.len() < MAX_UNREACHABLE + attempts.sent as usize {
        match quarantine::refusal(node, job, trace) {
            Some(refusal) if !attempts.may_have_run => return Err(refusal),
            Some(_) => break,
            None => {}
        }
        let is_further_attempt = attempts.sent > 0;
        if is_further_attempt && attempts.sent >= job.route.attempts {
            break;
        }
        let key = match rates::choose(node, job, &attempts.endpoints).await {
            Ok(key) => key,
            Err(at) => {
                attempts.unplaced_at = Some(at);
                break;
            }
        };
        if is_further_attempt && !node.take_attempt(&job.service) {
            break;
        }
        attempts.endpoints.push(key);
        let result = attempt(node, job, key, trace).await;
        attempts.count(&result);
        if is_good(&result) || (attempts.may_have_run && job.route.repeat != Repeat::Idempotent) {
            return result.map_err(|_| attempts.exhausted_refusal(node, job, trace));
        }
        last = result.ok().or(last);
    }
    last.ok_or_else(|| attempts.exhausted_refusal(node, job, trace))
}

/// Like [`sequential`], with a second attempt in parallel if the first is slow.
async fn hedged(node: &Rc<Node>, job: &Job, trace: &Trace) -> Result<Outcome, Refusal> {
    let mut attempts = AttemptLog::default();
    let key = match rates::choose(node, job, &[]).await {
        Ok(key) => key,
        Err(at) => {
            attempts.unplaced_at = Some(at);
            return Err(attempts.exhausted_refusal(node, job, trace));
        }
    };
    attempts.endpoints.push(key);
    let mut first = Box::pin(attempt(node, job, key, trace));
    let wait = job.arrived + job.route.goal.mul_f64(HEDGE_FRACTION);
    let in_time = tokio::select! {
        biased;
        result = &mut first => Some(result),
        () = tokio::time::sleep_until(wait.into()) => None,
        () = node.until_link_lost(key) => None,
    };
    if let Some(result) = in_time {
        attempts.count(&result);
        if is_good(&result) {
            return result.map_err(|_| attempts.exhausted_refusal(node, job, trace));
        }
        return match (sequential(node, job, trace, attempts).await, result) {
            (Err(_), Ok(answer)) => Ok(answer),
            (outcome, _) => outcome,
        };
    }
    let need = Need { tried: &attempts.endpoints, hedge: true, ..node.need(&job.service.name) };
    let other = node.choose_for(need);
    let allowed = |_: &EndpointKey| !quarantine::forbids(node, job) && node.take_attempt(&job.service);
    let Some(other) = other.filter(allowed) else {
        let result = first.await;
        attempts.count(&result);
        return result.map_err(|_| attempts.exhausted_refusal(node, job, trace));
    };
    trace.record_step("hedge", "", "begun");
    let mut second = Box::pin(attempt(node, job, other, trace));
    let (earlier, first_ended) = tokio::select! {
        result = &mut first => (result, true),
        result = &mut second => (result, false),
    };
    attempts.count(&earlier);
    if is_good(&earlier) {
        return earlier.map_err(|_| attempts.exhausted_refusal(node, job, trace));
    }
    let later = if first_ended { second.await } else { first.await };
    attempts.count(&later);
    later.or(earlier).map_err(|_| attempts.exhausted_refusal(node, job, trace))
}

/// One attempt at one endpoint.
async fn attempt(
    node: &Rc<Node>,
    job: &Job,
    key: EndpointKey,
    trace: &Trace,
) -> Result<Outcome, StepFailure> {
    let work = node.begin_work(key, 0);
    load::record_call(node, job);
    let id = node.id_for_log(key);
    let guard = CallGuard::new(node, job, key);
    let (mut end, mut via) = (None, String::new());
    let result = send_and_read(node, job, work, &mut end, &mut via).await;
    let sent_at = guard.ended();
    if result.as_ref().is_err_and(|failure| failure.may_have_run()) {
        crashes::check_endpoint(node, job, trace, key, sent_at, Progress::Unanswered);
    }
    let text = match &result {
        Ok(Outcome::Buffered(head, _)) if head.status == StatusCode::OK => "ok",
        Ok(Outcome::Buffered(head, _)) => head.status.canonical_reason().unwrap_or("answered"),
        Ok(Outcome::Stream(..)) => "stream",
        Err(failure) => failure.text(),
    };
    let end = end.map_or_else(String::new, |end| end.to_string());
    trace.record_step("run", &id, &format!("{text}{end}{via}"));
    result
}

/// Sends the request, and reads the response unless it is a stream. `end` is set to how the response ended, also
/// where that is a failure, and `via` to the peer through which it came.
async fn send_and_read(
    node: &Rc<Node>,
    job: &Job,
    work: InFlightWork,
    end: &mut Option<ResponseEnd>,
    via: &mut String,
) -> Result<Outcome, StepFailure> {
    let answer = node.send(job, &work, Purpose::Run, job.deadline).await?;
    *via = answer.via_text();
    if matches!(job.route.repeat, Repeat::Stream { .. }) && answer.is_stream() {
        return Ok(Outcome::Stream(Box::new(answer), work));
    }
    let read = node.read_buffered(answer.body, job.deadline).await;
    node.observe_read(job, answer.endpoint, answer.outcome, &read);
    *end = read.as_ref().map_or_else(|failure| failure.end(), |body| Some(body.end));
    Ok(Outcome::Buffered(answer.head, read?))
}
