//! Requests to plain services: sent to one endpoint, and to a second one where that may be.
//!
//! An idempotent request that has no answer after half of its aim goes to a second endpoint as well, and the first
//! good answer counts: one slow or silent endpoint then costs a caller half of the aim instead of the whole timeout.
//! A request that may run once goes to another endpoint only if the first provably has not run it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{EndpointKey, Need, Repeat};

use crate::body::AnswerBody;
use crate::buffering::BufferedBytes;
use crate::crashes::{self, Watch};
use crate::node::{Answer, Job, Node, Slot, StepFailure};
use crate::protocol::Purpose;
use crate::rates;
use crate::refusals::refuse;
use crate::stream::{self, Source};
use crate::trace::Trace;

/// Part of the aim after which an idempotent request goes to a second endpoint.
const HEDGE: f64 = 0.6;
/// Endpoints that one request may fail to reach before it is given up.
const UNREACHED: usize = 3;
/// When to come back if no endpoint is in reach: about the time in which a pause ends.
const NO_ENDPOINT: Duration = Duration::from_millis(300);
/// When to come back if every endpoint is full: some service times.
const FULL: Duration = Duration::from_millis(150);

/// A whole answer, or the head of a stream.
enum Outcome {
    Whole(Response<Bytes>, BufferedBytes),
    Stream(Answer, Slot),
}

/// Serves a request.
pub(crate) async fn run(node: &Rc<Node>, job: Job, trace: Trace) -> Response<AnswerBody> {
    let result = match job.route.repeat {
        Repeat::Idempotent if job.route.attempts > 1 => hedged(node, &job, &trace).await,
        Repeat::Idempotent | Repeat::Once | Repeat::Stream { .. } => {
            attempts(node, &job, &trace, Tried::default()).await
        }
    };
    match result {
        Ok(Outcome::Whole(response, holding)) => {
            let status = response.status().as_u16();
            node.served(&job);
            trace.first();
            trace.end("answered", status);
            response.map(|body| AnswerBody::whole(body, Some(holding)))
        }
        Ok(Outcome::Stream(answer, slot)) => stream::relay(node, Source::fixed(job), answer, slot, trace),
        Err(refusal) => refuse(node, refusal, trace),
    }
}

/// Where a request has been.
#[derive(Debug, Default)]
struct Tried {
    endpoints: Vec<EndpointKey>,
    /// Sends that may have arrived.
    sent: u32,
    /// Whether one of them may have run.
    ran: bool,
}

impl Tried {
    fn count(&mut self, result: &Result<Outcome, StepFailure>) {
        match result {
            Err(StepFailure::Unsent) => {}
            Err(StepFailure::Refused | StepFailure::Misdirected) => self.sent += 1,
            Ok(_) | Err(StepFailure::Broken | StepFailure::TimedOut) => {
                self.sent += 1;
                self.ran = true;
            }
        }
    }

    /// The answer when no further try is allowed.
    fn spent(&self, node: &Node, job: &Job, trace: &Trace) -> Refusal {
        if !self.ran
            && let Some(refusal) = rates::refusal(node, job, trace, None)
        {
            return refusal;
        }
        match (self.ran, self.sent) {
            (true, _) => Refusal::new(uncertain(node, job)),
            (false, 0) => Refusal::retryable(ErrorKind::NoEndpoint, NO_ENDPOINT),
            (false, _) => Refusal::retryable(ErrorKind::Overloaded, FULL),
        }
    }
}

/// The kind of answer for a request that was sent and whose fate is not known.
fn uncertain(node: &Node, job: &Job) -> ErrorKind {
    if node.now() >= job.until { ErrorKind::DeadlinePassed } else { ErrorKind::OutcomeUnknown }
}

fn is_good(result: &Result<Outcome, StepFailure>) -> bool {
    match result {
        Ok(Outcome::Whole(response, _)) => !response.status().is_server_error(),
        Ok(Outcome::Stream(..)) => true,
        Err(_) => false,
    }
}

/// Sends until there is a good answer or no further try is allowed; then the last answer of an endpoint counts.
async fn attempts(node: &Rc<Node>, job: &Job, trace: &Trace, mut tried: Tried) -> Result<Outcome, Refusal> {
    let mut last = None;
    while node.now() < job.until && tried.endpoints.len() < UNREACHED + tried.sent as usize {
        match node.quarantined(job) {
            Some(refusal) if !tried.ran => return Err(refusal),
            Some(_) => break,
            None => {}
        }
        let repeats = tried.sent > 0;
        if repeats && tried.sent >= job.route.attempts {
            break;
        }
        let Some(key) = rates::choose(node, job, &tried.endpoints).await else { break };
        if repeats && !node.may_repeat(&job.service) {
            break;
        }
        tried.endpoints.push(key);
        let result = attempt(node, job, key, trace).await;
        tried.count(&result);
        if is_good(&result) || (tried.ran && job.route.repeat != Repeat::Idempotent) {
            return result.map_err(|_| tried.spent(node, job, trace));
        }
        last = result.ok().or(last);
    }
    last.ok_or_else(|| tried.spent(node, job, trace))
}

/// Like [`attempts`], with a second try beside the first when that is slow.
async fn hedged(node: &Rc<Node>, job: &Job, trace: &Trace) -> Result<Outcome, Refusal> {
    let mut tried = Tried::default();
    let Some(key) = rates::choose(node, job, &[]).await else { return Err(tried.spent(node, job, trace)) };
    tried.endpoints.push(key);
    let mut first = Box::pin(attempt(node, job, key, trace));
    let wait = job.arrived + job.route.goal.mul_f64(HEDGE);
    if let Ok(result) = tokio::time::timeout_at(wait.into(), &mut first).await {
        tried.count(&result);
        if is_good(&result) {
            return result.map_err(|_| tried.spent(node, job, trace));
        }
        return match (attempts(node, job, trace, tried).await, result) {
            (Err(_), Ok(answer)) => Ok(answer),
            (outcome, _) => outcome,
        };
    }
    let need = Need { tried: &tried.endpoints, hedge: true, ..node.need(&job.service.name) };
    let other = node.choose_for(need);
    let repeats = |_: &EndpointKey| node.quarantined(job).is_none() && node.may_repeat(&job.service);
    let Some(other) = other.filter(repeats) else {
        let result = first.await;
        tried.count(&result);
        return result.map_err(|_| tried.spent(node, job, trace));
    };
    trace.step("hedge", "", "begun");
    let mut second = Box::pin(attempt(node, job, other, trace));
    let (one, firstly) = tokio::select! {
        result = &mut first => (result, true),
        result = &mut second => (result, false),
    };
    tried.count(&one);
    if is_good(&one) {
        return one.map_err(|_| tried.spent(node, job, trace));
    }
    let two = if firstly { second.await } else { first.await };
    tried.count(&two);
    two.or(one).map_err(|_| tried.spent(node, job, trace))
}

/// One try at one endpoint.
async fn attempt(
    node: &Rc<Node>,
    job: &Job,
    key: EndpointKey,
    trace: &Trace,
) -> Result<Outcome, StepFailure> {
    let slot = node.occupy(key, 0);
    let name = node.name(key);
    let watch = Watch::new(node, job, key);
    let result = whole(node, job, slot).await;
    let begun = watch.ended();
    if result.as_ref().is_err_and(|failure| failure.may_have_run()) {
        crashes::check(node, job, trace, key, begun);
    }
    let text = match &result {
        Ok(Outcome::Whole(r, _)) if r.status() == StatusCode::OK => "ok",
        Ok(Outcome::Whole(r, _)) => r.status().canonical_reason().unwrap_or("answered"),
        Ok(Outcome::Stream(..)) => "stream",
        Err(failure) => failure.text(),
    };
    trace.step("run", &name, text);
    result
}

async fn whole(node: &Rc<Node>, job: &Job, slot: Slot) -> Result<Outcome, StepFailure> {
    let answer = node.send(job, &slot, Purpose::Run, job.until).await?;
    if matches!(job.route.repeat, Repeat::Stream { .. }) && answer.response.status().is_success() {
        return Ok(Outcome::Stream(answer, slot));
    }
    let (mut head, body) = answer.response.into_parts();
    let (body, holding) = node.read_held(body, answer.connection, job.until).await?;
    crate::headers::strip(&mut head.headers);
    Ok(Outcome::Whole(Response::from_parts(head, body), holding))
}
