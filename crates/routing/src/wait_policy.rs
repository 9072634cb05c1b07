//! How long a generation waits for capacity, how much headroom it leaves to others, and when a refused caller
//! retries.
//!
//! While capacity is short, requests that can still be on time go before those that can't. In a burst every
//! refused caller retries. If all requests were equal, half of the capacity would go to callers who are late
//! already, and as many new callers would be late because of that.

use std::time::{Duration, Instant};

use crate::Route;

/// Fraction of the goal for the first event within which capacity must be found; a short prefill takes the
/// rest.
const CAPACITY_WAIT_FRACTION: f64 = 0.78;
/// Fraction of the time after which callers leave for which a retry waits for capacity; the rest is for a
/// long prefill.
const RETRY_WAIT_FRACTION: f64 = 0.5;
/// Time for which a broken stream waits for capacity: its caller has received a part of it and waits. The
/// stream is late by then; some four prompts can be prefilled one after the other in this time. Twice the
/// time would take capacity from callers who can be on time.
const RESUME_WAIT: Duration = Duration::from_secs(1);
/// Fraction of the goal for the first event that a prefill may be expected to take.
const PREFILL_FRACTION: f64 = 0.7;
/// The same for a late request, which must not lengthen a queue of prompts that can be on time.
const PREFILL_FRACTION_LATE: f64 = 0.35;
/// Fraction of a caller's remaining time after which it is asked to retry if there is no capacity. The caller
/// misses its goal whatever the delay is, so what matters is that there is capacity when the delay ends:
/// bursts last some seconds, and a caller that retries within a burst is refused again. Callers wait for a
/// third of their remaining time at most, so the delay must be shorter than that.
const RETRY_DELAY_FRACTION: f64 = 0.27;
/// Longest retry delay; a burst is over by then.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(4);

/// Pause between two polls for capacity, about the time between two ends of generations at an engine.
const POLL_PAUSE: Duration = Duration::from_millis(30);
/// The same for a late request, which takes the capacity that requests on time leave and has longer to wait.
const POLL_PAUSE_LATE: Duration = Duration::from_millis(100);
/// Refusals after which the pause between two attempts to reserve grows no more: a request has time for some
/// six more attempts then.
const REFUSALS_MAX: u32 = 3;

/// How a generation waits for capacity.
#[derive(Debug, Clone, Copy)]
pub struct WaitPolicy {
    /// When the wait ends.
    pub until: Instant,
    /// Whether the request is late already, and leaves the last capacity to others.
    pub late: bool,
}

impl WaitPolicy {
    /// The policy of a request that arrives. A new request waits while it can be on time; a longer wait would
    /// only hold up others. A retry (`is_retry`) waits longer, behind the others: its caller may not retry
    /// again. `until` is the end of the caller's time.
    pub fn for_arrival(arrived: Instant, until: Instant, route: &Route, is_retry: bool) -> Self {
        let wait = if is_retry {
            route.abandon_timeout().mul_f64(RETRY_WAIT_FRACTION)
        } else {
            route.goal.mul_f64(CAPACITY_WAIT_FRACTION)
        };
        Self { until: (arrived + wait).min(until), late: is_retry }
    }

    /// The policy of a stream that broke, which waits like a request that can be on time.
    pub fn for_resume(now: Instant, until: Instant) -> Self {
        Self { until: (now + RESUME_WAIT).min(until), late: false }
    }

    /// The policy of a request that waits longer since an engine has not answered by the end of its wait, if there is time
    /// for that: the engine has not said that it is full. The request can't be on time any more, and waits as long as a
    /// retry.
    pub fn after_silence(self, arrived: Instant, deadline: Instant, route: &Route) -> Option<Self> {
        let until = (arrived + route.abandon_timeout().mul_f64(RETRY_WAIT_FRACTION)).min(deadline);
        (until > self.until).then_some(Self { until, late: true })
    }

    /// Tokens of capacity that must be left to others, beside the `tokens` that the request needs itself.
    pub fn headroom(self, tokens: u64) -> u64 {
        if self.late { tokens } else { 0 }
    }

    /// Longest time that the request's prefill may be expected to take.
    pub fn prefill_limit(self, route: &Route) -> Duration {
        route.goal.mul_f64(if self.late { PREFILL_FRACTION_LATE } else { PREFILL_FRACTION })
    }
}

/// Pauses between the attempts to reserve of one search for capacity.
#[derive(Debug)]
pub struct Backoff {
    pause: Duration,
    refusals: u32,
}

impl Backoff {
    /// Starts a search; `late` if the request can't be on time any more.
    pub const fn new(late: bool) -> Self {
        Self { pause: if late { POLL_PAUSE_LATE } else { POLL_PAUSE }, refusals: 0 }
    }

    /// Mean pause until the next poll while no engine can be asked.
    pub const fn pause(&self) -> Duration {
        self.pause
    }

    /// Counts a refusal by an engine that was believed to have capacity, and returns the mean pause until the
    /// next engine is asked.
    ///
    /// One refusal means that another request was quicker, and the next engine is asked at once. Several in a
    /// row mean that the pool is full: the instances' view of the pool is a moment old, so they ask the
    /// engines that look emptier than they are. Without pauses each search goes through the whole pool, with
    /// ten attempts and as many connections for each generation that finds capacity, and gains nothing:
    /// capacity that becomes free is found by some search within milliseconds in any case. Pauses that grow
    /// save these connections and serve the same callers.
    pub fn after_refusal(&mut self) -> Duration {
        let pause = self.pause * self.refusals;
        self.refusals = (self.refusals + 1).min(REFUSALS_MAX);
        pause
    }
}

/// Delay after which a caller that is refused for lack of capacity, with `left` of its time remaining, is
/// asked to retry.
pub fn retry_delay(left: Duration) -> Duration {
    left.mul_f64(RETRY_DELAY_FRACTION).min(RETRY_DELAY_MAX)
}
