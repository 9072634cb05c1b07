//! Searches an engine that goes on with a stream whose engine is silent or has failed.
//!
//! The search is repeated until an engine has responded, since the caller waits until its deadline in any case and engines may
//! come back. It ends earlier only for a reason that does not pass.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HeaderValue;
use teaselshunt_core::ErrorKind;
use teaselshunt_routing::{EndpointKey, Repeat, WaitPolicy};

use crate::generate::{self, Start, Started};
use crate::node::{Job, Node};
use crate::trace::Trace;
use crate::waste::{self, WasteCause};

/// Time between a search that has failed and the next one.
const SEARCH_PAUSE: Duration = Duration::from_millis(250);

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
            // Another instance resumes the stream for a caller who comes back.
            | Self::Refused(ErrorKind::Stopping | ErrorKind::DeadlinePassed) => true,
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

/// What a search needs to know of its stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Interrupted<'a> {
    pub(crate) job: &'a Job,
    pub(crate) trace: &'a Trace,
    /// Runs of the stream that engines may have begun.
    pub(crate) runs: &'a Cell<u32>,
}

impl<'a> Interrupted<'a> {
    /// Whether the route allows a further attempt.
    pub(crate) fn may_resume(self) -> bool {
        let route = &self.job.route;
        route.repeat == (Repeat::Stream { resumable: true }) && self.runs.get() < route.attempts
    }

    /// Begins the search for an engine other than `engine`.
    pub(crate) fn search(self, node: &'a Rc<Node>, point: ResumePoint, engine: EndpointKey) -> Search<'a> {
        Box::pin(self.run(node, point, engine))
    }

    async fn run(
        self,
        node: &'a Rc<Node>,
        point: ResumePoint,
        engine: EndpointKey,
    ) -> Result<Box<Started>, NotResumed> {
        let mut wait_policy = WaitPolicy::for_resume(node.now(), self.job.deadline);
        let mut last_reason = None;
        loop {
            let reason = match self.attempt(node, &point, engine, wait_policy).await {
                Ok(started) => return Ok(Box::new(started)),
                Err(reason) => reason,
            };
            if last_reason.replace(reason) != Some(reason) {
                self.trace.record_step("resume", "any", reason.text());
            }
            if reason.is_final() {
                return Err(reason);
            }
            tokio::time::sleep(SEARCH_PAUSE).await;
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
        if node.quarantined(job).is_some() {
            return Err(NotResumed::Quarantined);
        }
        if !node.state.borrow_mut().budgets.has_attempt(node.now(), &job.service.name) {
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
        Ok(started)
    }
}
