//! What an instance knows of its connections to one endpoint, and when they are checked.

use std::time::{Duration, Instant};

/// Shortest time between two checks of a link, doubled with each check that reached nothing.
pub(crate) const CHECK_PAUSE_MIN: Duration = Duration::from_millis(250);
/// Shortest time without an answer after which a check means that an endpoint does not answer now.
const ANSWER_TIME_MIN: Duration = Duration::from_millis(200);
/// Longest such time; requests are not kept from an endpoint for longer than that.
const ANSWER_TIME_MAX: Duration = Duration::from_secs(8);
/// Time for which a check waits for a late answer, doubled with each check in a row that had none.
const PATIENCE_MIN: Duration = Duration::from_secs(1);
/// Longest time for a late answer.
const PATIENCE_MAX: Duration = Duration::from_secs(16);

/// Times of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckTimes {
    /// Time without an answer after which the endpoint counts as not answering now, and peers are asked.
    pub answer: Duration,
    /// Time for which the check goes on for a late answer.
    pub patience: Duration,
}

/// What is known of the way to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum State {
    /// Nothing speaks against it.
    #[default]
    Direct,
    /// Only peers reach the endpoint.
    Lost,
    /// Nothing reaches the endpoint.
    Unreachable,
}

/// The connections to one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Link {
    pub(crate) state: State,
    /// When the link was lost.
    pub(crate) lost: Option<Instant>,
    pub(crate) used: Option<Instant>,
    /// When a request of this instance last used it.
    pub(crate) requested: Option<Instant>,
    /// When bytes last arrived over it.
    pub(crate) heard: Option<Instant>,
    /// Since when a request waits for a first byte.
    pub(crate) waiting: Option<Instant>,
    /// Connections that failed since the last byte, and when the last one did.
    pub(crate) failures: u32,
    pub(crate) failed: Option<Instant>,
    /// Checks in a row that reached nothing.
    pub(crate) failed_checks: u32,
    /// When the next check may start.
    pub(crate) next_check: Option<Instant>,
    /// Until when a check is in progress.
    pub(crate) checked_until: Option<Instant>,
    /// Checks in a row that were never answered.
    pub(crate) unanswered: u32,
    /// Time that the endpoint took to answer the last check.
    pub(crate) answer_time: Duration,
}

impl Link {
    pub(crate) fn lose(&mut self, now: Instant) {
        self.state = State::Lost;
        self.lost = Some(now);
    }

    /// Counts as lost with all others since `cut`.
    pub(crate) fn join_cut(&mut self, cut: Option<Instant>) {
        if let (Some(since), State::Direct) = (cut, self.state) {
            self.lose(since);
        }
    }

    pub(crate) fn may_check(&self, now: Instant) -> bool {
        self.next_check.is_none_or(|at| at <= now) && !self.is_checked(now)
    }

    /// Whether a check is in progress.
    pub(crate) fn is_checked(&self, now: Instant) -> bool {
        self.checked_until.is_some_and(|until| now < until)
    }

    pub(crate) fn check_times(&self) -> CheckTimes {
        let answer = (self.answer_time * 2).clamp(ANSWER_TIME_MIN, ANSWER_TIME_MAX);
        let patience = PATIENCE_MIN * 2_u32.pow(self.unanswered.min(8));
        CheckTimes { answer, patience: patience.min(PATIENCE_MAX).max(answer) }
    }

    pub(crate) fn begin_check(&mut self, now: Instant) {
        self.next_check = Some(now + CHECK_PAUSE_MIN);
        self.checked_until = Some(now + self.check_times().patience);
    }
}
