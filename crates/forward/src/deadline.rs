//! The one place that responds to a request whose handling does not.
//!
//! The handling of a request waits for endpoints, reservations, queues, searches, peers and links, and each of these waits
//! may end too late or never, or panic. [`within`] polls the handling and trusts none of that: at the deadline, and before
//! the process exits, it drops the handling and returns, and it returns at once after a panic. All requests pass through it
//! up to the head of their response, and `stream` has the deadline in each of its waits after that. So each request has
//! exactly one response by its deadline: that of its handling, or the one from here.
//!
//! The response is true since [`Runs`] counts every run before it is written. Dropping the handling drops whatever sends
//! runs, and the count is read after that. While nothing is counted near the deadline, the handling is not polled any more,
//! so that it cannot begin to send.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::retry_delay;
use tokio::time::Sleep;

use crate::refusals::OTHER_INSTANCE_RETRY;
use crate::runs::Runs;

/// Time before the deadline at which a request that nothing has begun is refused: the caller must have the refusal before it
/// leaves.
const REFUSAL_MARGIN: Duration = Duration::from_millis(10);
/// Most of a request's time that the margin takes.
const MARGIN_FRACTION: f64 = 0.1;

/// `Retry-After` delay for a caller that leaves at the deadline, and may send its request as a new one.
const LATE_RETRY: Duration = Duration::from_millis(300);

/// Time limits of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// When the request is refused if no endpoint can have begun it.
    refusal: Instant,
    deadline: Instant,
    /// When its caller leaves.
    caller: Instant,
}

impl Limits {
    /// Limits of a request that arrived at `arrived` and ends at `deadline`, and whose caller leaves at `caller`.
    pub(crate) fn new(arrived: Instant, deadline: Instant, caller: Instant) -> Self {
        let time = deadline.saturating_duration_since(arrived);
        let margin = REFUSAL_MARGIN.min(time.mul_f64(MARGIN_FRACTION));
        Self { refusal: deadline.checked_sub(margin).unwrap_or(deadline), deadline, caller }
    }
}

/// What ended the handling of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Cause {
    Deadline,
    /// The process is about to exit.
    Exit,
    /// The handling panicked with this message.
    Panic(String),
}

/// The end of a request whose handling has not responded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Unanswered {
    pub(crate) cause: Cause,
    /// Whether an endpoint may have begun the request.
    pub(crate) may_have_run: bool,
}

impl Unanswered {
    /// The response, and the outcome in logs and metrics. Only a request that has not run may be refused with a status that
    /// says so.
    pub(crate) fn refusal(&self, limits: Option<Limits>) -> (Refusal, &'static str) {
        match (&self.cause, self.may_have_run) {
            (Cause::Deadline, false) => (not_run(limits), "deadline_not_run"),
            (Cause::Deadline, true) => (Refusal::new(ErrorKind::DeadlinePassed), "deadline_passed"),
            (Cause::Exit, false) => {
                (Refusal::retryable(ErrorKind::Stopping, OTHER_INSTANCE_RETRY), "exit_not_run")
            }
            (Cause::Exit, true) => (Refusal::new(ErrorKind::OutcomeUnknown), "exit_unknown"),
            (Cause::Panic(_), _) => (Refusal::new(ErrorKind::Internal), "panicked"),
        }
    }
}

/// The refusal at the deadline of a request that has not run. A caller that waits for longer than the route allows returns
/// within its time.
fn not_run(limits: Option<Limits>) -> Refusal {
    let left = limits.map(|limits| limits.caller.saturating_duration_since(limits.deadline));
    let delay = left.filter(|left| !left.is_zero()).map_or(LATE_RETRY, retry_delay);
    Refusal::retryable(ErrorKind::NotStarted, delay)
}

/// Handles a request, until its deadline and until `exit` at the latest. A request without limits has not been read.
///
/// # Errors
/// The handling was ended, or panicked.
pub(crate) async fn within<T>(
    handling: impl Future<Output = T>,
    runs: &Runs,
    limits: Option<Limits>,
    exit: impl Future<Output = ()>,
) -> Result<T, Unanswered> {
    // What a panic leaves behind is the request's own state, which is dropped here, and that of the node, whose borrows end
    // as the stack unwinds.
    let mut handling = Box::pin(AssertUnwindSafe(handling).catch_unwind());
    let exit = pin!(exit);
    let mut ends = Ends::new(runs, limits, exit);
    let ended = std::future::poll_fn(|context| {
        let end = ends.poll(context);
        if let Some(cause) = &end
            && !runs.may_have_begun()
        {
            return Poll::Ready(Err(cause.clone()));
        }
        if let Poll::Ready(result) = handling.as_mut().poll(context) {
            return Poll::Ready(result.map_err(|panic| Cause::Panic(message(&*panic))));
        }
        match end.or_else(|| ends.poll(context)) {
            Some(cause) => Poll::Ready(Err(cause)),
            None => Poll::Pending,
        }
    })
    .await;
    let dropped = catch_unwind(AssertUnwindSafe(|| drop(handling)));
    let cause = match (ended, dropped) {
        (Ok(response), _) => return Ok(response),
        (Err(_), Err(panic)) => Cause::Panic(message(&*panic)),
        (Err(cause), Ok(())) => cause,
    };
    Err(Unanswered { cause, may_have_run: runs.may_have_begun() })
}

/// The message of a panic.
pub(crate) fn message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("no message").to_owned()
}

/// What ends the handling of a request from outside.
struct Ends<'a, E> {
    runs: &'a Runs,
    limits: Option<(Limits, Pin<Box<Sleep>>)>,
    /// Whether the time for a refusal has come.
    may_refuse: bool,
    exit: Pin<&'a mut E>,
    exits: bool,
}

impl<'a, E: Future<Output = ()>> Ends<'a, E> {
    fn new(runs: &'a Runs, limits: Option<Limits>, exit: Pin<&'a mut E>) -> Self {
        let timer = |limits: Limits| (limits, Box::pin(tokio::time::sleep_until(limits.refusal.into())));
        Self { runs, limits: limits.map(timer), may_refuse: false, exit, exits: false }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Option<Cause> {
        if self.exits || self.exit.as_mut().poll(context).is_ready() {
            self.exits = true;
            return Some(Cause::Exit);
        }
        let (limits, timer) = self.limits.as_mut()?;
        if !self.may_refuse {
            if timer.as_mut().poll(context).is_pending() {
                return None;
            }
            self.may_refuse = true;
            timer.as_mut().reset(limits.deadline.into());
        }
        let passed = timer.as_mut().poll(context).is_ready();
        (passed || !self.runs.may_have_begun()).then_some(Cause::Deadline)
    }
}

#[cfg(test)]
mod tests;
