//! Searches an engine that goes on with a stream whose engine is silent or has failed.
//!
//! The search is repeated until an engine has responded or the deadline has passed, since the caller waits until then in any case
//! and engines may come back. It ends earlier only for a reason that does not pass. Whatever one attempt waits for, the deadline
//! ends it, and with it everything that the attempt holds: its place in the queue, a reservation, a run.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HeaderValue;
use rand::Rng;
use teaselshunt_core::ErrorKind;
use teaselshunt_routing::{EndpointKey, Repeat, StepOutcome, WaitPolicy};

use crate::crashes::{self, CallGuard, Progress};
use crate::generate::{self, Start, Started};
use crate::node::{Answer, Job, Node};
use crate::quarantine;
use crate::trace::Trace;
use crate::waste::{self, WasteCause};

/// Mean time between a search that has failed and the next one, doubled with each. Streams that broke together must not ask
/// together, and engines that refuse what they have reserved must not use up the retry budget.
const SEARCH_PAUSE: Duration = Duration::from_millis(250);
/// Longest such time.
const SEARCH_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Where another engine takes over a stream.
#[derive(Debug, Clone)]
pub(crate) enum ResumePoint {
    /// At the begin, since the caller has nothing.
    Start,
    /// After the event with this id.
    After(HeaderValue),
}

/// Why a stream does not resume at another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotResumed {
    /// The route allows no further attempt.
    Attempts,
    /// The events that the caller has bear no id, or one that cannot be sent.
    EventId,
    Quarantined,
    /// The service's retry budget is used up.
    RetryBudget,
    /// No engine has responded by the deadline.
    Deadline,
    /// No engine began to run it.
    Refused(ErrorKind),
    /// The other engine responded with an error.
    EngineError,
}

impl NotResumed {
    /// Name in logs and metrics.
    pub(crate) const fn text(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::EventId => "event_id",
            Self::Quarantined => "quarantined",
            Self::RetryBudget => "retry_budget",
            Self::Deadline => "deadline",
            Self::Refused(kind) => kind.answer().code,
            Self::EngineError => "engine_error",
        }
    }

    /// Whether the search is of no use any more.
    const fn is_final(self) -> bool {
        match self {
            Self::Attempts
            | Self::EventId
            | Self::Quarantined
            | Self::Deadline
            // Another instance resumes the stream for a caller who comes back.
            | Self::Refused(ErrorKind::Stopping) => true,
            Self::RetryBudget | Self::Refused(_) | Self::EngineError => false,
        }
    }
}

/// A search in progress. Dropping it ends what it has begun.
pub(crate) type Search<'a> = Pin<Box<dyn Future<Output = Result<Box<Started>, NotResumed>> + 'a>>;

/// Waits for the result of a search, and ends the search with it. Waits for ever where there is none.
pub(crate) async fn found(search: &mut Option<Search<'_>>) -> Result<Box<Started>, NotResumed> {
    let Some(running) = search else { return std::future::pending().await };
    let found = running.await;
    *search = None;
    found
}

/// Counts what became of a stream that was interrupted.
pub(crate) fn count(node: &Node, cause: &str, outcome: &str) {
    node.metrics.streams.resumptions.with_label_values(&[cause, outcome]).inc();
}

/// Outcome of a search in metrics.
pub(crate) fn outcome(found: &Result<Box<Started>, NotResumed>) -> &'static str {
    found.as_ref().map_or_else(|reason| reason.text(), |_| "resumed")
}

/// What a search needs to know of its stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Interrupted<'a> {
    pub(crate) job: &'a Job,
    pub(crate) trace: &'a Trace,
    /// Runs of the stream that engines may have begun.
    pub(crate) runs: &'a Cell<u32>,
}

impl<'a> Interrupted<'a> {
    /// Whether the route allows a further attempt. A test of a verdict is sent to one engine only.
    pub(crate) fn may_resume(self) -> bool {
        let route = &self.job.route;
        !self.job.is_part_test.get()
            && route.repeat == (Repeat::Stream { resumable: true })
            && self.runs.get() < route.attempts
    }

    /// Begins the search for an engine other than `engine`, which ends at the deadline.
    pub(crate) fn search(self, node: &'a Rc<Node>, point: ResumePoint, engine: EndpointKey) -> Search<'a> {
        Box::pin(async move {
            let search = self.run(node, point, engine);
            let Ok(found) = tokio::time::timeout_at(self.job.deadline.into(), search).await else {
                self.trace.record_step("resume", "any", NotResumed::Deadline.text());
                return Err(NotResumed::Deadline);
            };
            found
        })
    }

    async fn run(
        self,
        node: &'a Rc<Node>,
        point: ResumePoint,
        engine: EndpointKey,
    ) -> Result<Box<Started>, NotResumed> {
        let mut wait_policy = WaitPolicy::for_resume(node.now(), self.job.deadline);
        let (mut reported, mut pause) = (Vec::new(), SEARCH_PAUSE);
        loop {
            let reason = match self.attempt(node, &point, engine, wait_policy).await {
                Ok(started) => return Ok(Box::new(started)),
                Err(reason) => reason,
            };
            if !reported.contains(&reason) {
                self.trace.record_step("resume", "any", reason.text());
                reported.push(reason);
            }
            if reason.is_final() {
                return Err(reason);
            }
            let factor = node.state.borrow_mut().rng.random_range(0.5..1.5);
            tokio::time::sleep(pause.mul_f64(factor)).await;
            pause = (pause * 2).min(SEARCH_PAUSE_MAX);
            // Requests that can be on time go before a stream that waits any longer.
            wait_policy = WaitPolicy { late: true, ..WaitPolicy::for_resume(node.now(), self.job.deadline) };
        }
    }

    /// Searches once. The other engine prefills the prompt itself: a second prefill would count as another attempt.
    async fn attempt(
        self,
        node: &'a Rc<Node>,
        point: &ResumePoint,
        engine: EndpointKey,
        wait_policy: WaitPolicy,
    ) -> Result<Started, NotResumed> {
        let job = self.job;
        if !self.may_resume() {
            return Err(NotResumed::Attempts);
        }
        if quarantine::forbids(node, job) {
            return Err(NotResumed::Quarantined);
        }
        if !node.has_attempt(&job.service) {
            return Err(NotResumed::RetryBudget);
        }
        let after = match point {
            // A caller that resumes a stream itself says after which event.
            ResumePoint::Start => None,
            ResumePoint::After(id) => Some(id),
        };
        let start = Start::resume(wait_policy, engine, after, self.runs);
        let started = generate::start(node, job, self.trace, start).await;
        let started = started.map_err(|refusal| NotResumed::Refused(refusal.kind))?;
        let answer = &started.answer;
        if answer.head.status != StatusCode::OK {
            node.observe_outcome(job, answer.endpoint, answer.outcome);
            return Err(NotResumed::EngineError);
        }
        waste::count(node, self.trace, WasteCause::Resumed, job.prompt_tokens());
        self.await_first_event(node, started).await
    }

    /// Waits until the engine has sent an event: a response that has begun need not go on.
    async fn await_first_event(self, node: &Rc<Node>, mut started: Started) -> Result<Started, NotResumed> {
        let Answer { body, endpoint, sent_at, .. } = &mut started.answer;
        let guard = CallGuard::since(node, self.job, *endpoint, *sent_at);
        let first = body.await_first_event().await;
        let sent_at = guard.ended();
        match first {
            Ok(()) => Ok(started),
            Err(end) => {
                crashes::check_endpoint(node, self.job, self.trace, *endpoint, sent_at, Progress::Unanswered);
                let text = format!("broken{end}");
                self.trace.record_step("stream", &node.id_for_log(*endpoint), &text);
                node.metrics.count_response_end(end);
                node.observe_outcome(self.job, *endpoint, StepOutcome::Failed);
                Err(NotResumed::EngineError)
            }
        }
    }
}
