//! The one place that responds to a request whose handling does not.
//!
//! The handling of a request waits for endpoints, reservations, queues, searches, peers and links, and each of these waits
//! may end too late or never. [`within`] polls the handling and trusts none of that: at the deadline it drops the handling and
//! returns. All requests pass through it up to the head of their response, and `stream` has
//! the deadline in each of its waits after that. So each request has exactly one response by its deadline: that of its
//! handling, or the one from here.
//!
//! The response is true since [`Runs`] counts every run before it is written. Dropping the handling drops whatever sends
//! runs, and the count is read after that. While nothing is counted near the deadline, the handling is not polled any more,
//! so that it cannot begin to send.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::retry_delay;
use tokio::time::Sleep;

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

/// The end of a request whose handling has not responded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unanswered {
    /// Whether an endpoint may have begun the request.
    pub(crate) may_have_run: bool,
}

impl Unanswered {
    /// The response, and the outcome in logs and metrics. Only a request that has not run may be refused with a status that
    /// says so.
    pub(crate) fn refusal(self, limits: Limits) -> (Refusal, &'static str) {
        if self.may_have_run {
            (Refusal::new(ErrorKind::DeadlinePassed), "deadline_passed")
        } else {
            (not_run(limits), "deadline_not_run")
        }
    }
}

/// The refusal at the deadline of a request that has not run. A caller that waits for longer than the route allows returns
/// within its time.
fn not_run(limits: Limits) -> Refusal {
    let left = limits.caller.saturating_duration_since(limits.deadline);
    let delay = if left.is_zero() { LATE_RETRY } else { retry_delay(left) };
    Refusal::retryable(ErrorKind::NotStarted, delay)
}

/// Handles a request, until its deadline at the latest.
///
/// # Errors
/// The handling was ended.
pub(crate) async fn within<T>(
    handling: impl Future<Output = T>,
    runs: &Runs,
    limits: Limits,
) -> Result<T, Unanswered> {
    let mut handling = Box::pin(handling);
    let mut ends = Ends::new(runs, limits);
    let ended = std::future::poll_fn(|context| {
        let has_ended = ends.poll(context);
        if has_ended && !runs.may_have_begun() {
            return Poll::Ready(None);
        }
        if let Poll::Ready(response) = handling.as_mut().poll(context) {
            return Poll::Ready(Some(response));
        }
        if has_ended || ends.poll(context) { Poll::Ready(None) } else { Poll::Pending }
    })
    .await;
    drop(handling);
    ended.ok_or_else(|| Unanswered { may_have_run: runs.may_have_begun() })
}

/// What ends the handling of a request from outside.
struct Ends<'a> {
    runs: &'a Runs,
    deadline: Instant,
    timer: Pin<Box<Sleep>>,
    /// Whether the time for a refusal has come.
    may_refuse: bool,
}

impl<'a> Ends<'a> {
    fn new(runs: &'a Runs, limits: Limits) -> Self {
        let timer = Box::pin(tokio::time::sleep_until(limits.refusal.into()));
        Self { runs, deadline: limits.deadline, timer, may_refuse: false }
    }

    /// Whether the handling is to end.
    fn poll(&mut self, context: &mut Context<'_>) -> bool {
        if !self.may_refuse {
            if self.timer.as_mut().poll(context).is_pending() {
                return false;
            }
            self.may_refuse = true;
            self.timer.as_mut().reset(self.deadline.into());
        }
        let passed = self.timer.as_mut().poll(context).is_ready();
        passed || !self.runs.may_have_begun()
    }
}

#[cfg(test)]
mod tests;
