//! What one instance has learned of one endpoint from its own results.
//!
//! Results count and health checks do not: an endpoint can fail requests while its health checks pass, and
//! serve them while its health checks fail. Everything that is learned decays or expires by itself, so that a
//! wrong estimate costs little and an endpoint that has recovered is found.

use std::time::{Duration, Instant};

use crate::StepOutcome;

/// Failures in a row after which an endpoint is paused.
const PAUSE_FAILURES: u32 = 2;
/// First pause, about the shortest outage worth avoiding; doubles with each further failure.
const PAUSE_MIN: Duration = Duration::from_millis(500);
/// Longest pause, so that an endpoint that has recovered is found within this time.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// Part of the time of a silence for which an endpoint is then avoided: one that goes on is found soon, and one that does
/// not is asked less and less often.
const SILENCE_PAUSE_FRACTION: f64 = 0.5;
/// Time for which an endpoint that was silent is avoided while one call tries it: the longest time of a small call.
const TRIAL_TIME: Duration = Duration::from_millis(200);
/// Time for which an endpoint that has ended is reported to others; the list shows the end by then.
const ENDED_PAUSE: Duration = Duration::from_secs(10);
/// Time without any response after which an engine with work of this instance counts as unresponsive: several
/// times what a prefill or a small call takes at an engine that is not overloaded.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Latency in seconds that is assumed of an endpoint with no results yet.
const INITIAL_LATENCY: f64 = 0.020;
/// Weight of one result in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.2;
/// Seconds in which an average without results falls half-way back to the assumed latency, so that a slow
/// endpoint gets another attempt after some seconds.
const LATENCY_HALF_LIFE: f64 = 3.0;
/// Weight of one result in the moving average of failures.
const ERROR_WEIGHT: f64 = 0.25;
/// Seconds in which the fraction of failures falls by half without results; longer than that of latencies,
/// since each attempt at an endpoint that fails costs a caller its response.
const ERROR_HALF_LIFE: f64 = 5.0;
/// Fraction of failures above which an endpoint is only chosen where there is no other: three in a row at an
/// endpoint without failures before. Some services normally fail one request in seven, so that two in a row
/// mean nothing.
const SUSPECT_ERROR_FRACTION: f64 = 0.5;

/// What the results at one endpoint have shown.
#[derive(Debug)]
pub(crate) struct HealthEstimate {
    failures: u32,
    paused_until: Option<Instant>,
    /// Since when calls were not answered in time, with none answered since, and until when the endpoint is avoided for
    /// that.
    silence: Option<(Instant, Instant)>,
    /// Since when work is in progress there without any response.
    unanswered_since: Option<Instant>,
    latency: f64,
    latency_at: Option<Instant>,
    /// Fraction of failures as of `errors_at`.
    errors: f64,
    errors_at: Option<Instant>,
}

impl Default for HealthEstimate {
    fn default() -> Self {
        Self {
            failures: 0,
            paused_until: None,
            silence: None,
            unanswered_since: None,
            latency: INITIAL_LATENCY,
            latency_at: None,
            errors: 0.0,
            errors_at: None,
        }
    }
}

impl HealthEstimate {
    /// Records that work begins while none was in progress.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.unanswered_since = Some(now);
    }

    /// Records that work is sent to the endpoint. If it was silent, this tries it for all others.
    pub(crate) fn sent(&mut self, now: Instant) {
        if let Some((_, until)) = self.silence.as_mut().filter(|(_, until)| now >= *until) {
            *until = now + TRIAL_TIME;
        }
    }

    /// Records that no work is in progress any more.
    pub(crate) fn end(&mut self) {
        self.unanswered_since = None;
    }

    /// Records that the endpoint has ended.
    pub(crate) fn mark_ended(&mut self, now: Instant) {
        // Paused, so that it is reported to others as suspect until the list shows the end.
        self.paused_until = Some(now + ENDED_PAUSE);
    }

    /// Expected latency, in seconds.
    pub(crate) fn expected_latency(&self, now: Instant) -> f64 {
        let Some(at) = self.latency_at else { return INITIAL_LATENCY };
        let age = now.duration_since(at).as_secs_f64();
        INITIAL_LATENCY + (self.latency - INITIAL_LATENCY) * 0.5_f64.powf(age / LATENCY_HALF_LIFE)
    }

    /// Fraction of results that are failures. It decays without results, so that the endpoint gets another
    /// attempt.
    fn error_fraction(&self, now: Instant) -> f64 {
        let Some(at) = self.errors_at else { return 0.0 };
        self.errors * 0.5_f64.powf(now.duration_since(at).as_secs_f64() / ERROR_HALF_LIFE)
    }

    fn learn_error(&mut self, now: Instant, failed: bool) {
        let fraction = self.error_fraction(now);
        self.errors = fraction + (f64::from(u8::from(failed)) - fraction) * ERROR_WEIGHT;
        self.errors_at = Some(now);
    }

    /// Whether the endpoint is paused, or fails most requests.
    ///
    /// An endpoint can fail all requests fast while its health checks pass. By its latency alone it would
    /// look the best of all, and attract over half of the callers.
    pub(crate) fn is_suspect(&self, now: Instant) -> bool {
        self.error_fraction(now) > SUSPECT_ERROR_FRACTION
            || self.paused_until.is_some_and(|until| now < until)
            || self.silence.is_some_and(|(_, until)| now < until)
    }

    /// Records that a response has begun, which need not end. Returns whether a pause because of its silence ended.
    pub(crate) fn begun(&mut self, now: Instant) -> bool {
        if self.unanswered_since.is_some() {
            self.unanswered_since = Some(now);
        }
        self.responded()
    }

    /// Records that the endpoint responded. Returns whether a pause because of its silence ended.
    pub(crate) fn responded(&mut self) -> bool {
        self.silence.take().is_some()
    }

    /// Records that a call had no response within `wait`. The calls of one silence end together and are one event, not
    /// that many failures: an endpoint that is silent for a moment is well afterwards.
    fn silent(&mut self, now: Instant, wait: Duration) -> bool {
        let sent = now.checked_sub(wait).unwrap_or(now);
        let since = self.silence.map_or(sent, |(since, _)| since.min(sent));
        let pause = now.duration_since(since).mul_f64(SILENCE_PAUSE_FRACTION).min(PAUSE_MAX);
        self.silence.replace((since, now + pause)).is_none()
    }

    /// Whether work is in progress there and nothing was received for long.
    pub(crate) fn is_unresponsive(&self, now: Instant) -> bool {
        self.unanswered_since.is_some_and(|since| now.duration_since(since) > RESPONSE_TIMEOUT)
    }

    /// Learns from the outcome of a step. Returns whether a pause of the endpoint began or ended.
    ///
    /// Without the pause every request would find out by its own timeout that an endpoint is dead, and
    /// callers would see a run of slow responses. The pause is short and ends by itself, so that an
    /// unnecessary pause costs little.
    pub(crate) fn learn(&mut self, now: Instant, outcome: StepOutcome) -> bool {
        if matches!(outcome, StepOutcome::Answered(_) | StepOutcome::Full) && self.unanswered_since.is_some()
        {
            self.unanswered_since = Some(now);
        }
        let ended = match outcome {
            StepOutcome::Answered(_) | StepOutcome::Full | StepOutcome::ErrorResponse => self.responded(),
            StepOutcome::Silent(_) | StepOutcome::Failed | StepOutcome::Unreachable => false,
        };
        let changed = match outcome {
            StepOutcome::ErrorResponse => {
                self.learn_error(now, true);
                self.failures = 0;
                false
            }
            StepOutcome::Answered(latency) => {
                self.learn_error(now, false);
                self.answered(now, latency)
            }
            StepOutcome::Full => {
                self.failures = 0;
                self.paused_until.take().is_some()
            }
            StepOutcome::Failed => {
                self.learn_error(now, true);
                self.fail(now, self.failures + 1)
            }
            StepOutcome::Silent(wait) => self.silent(now, wait),
            // An endpoint that is unreachable is so for the next request too; other failures may be chance.
            StepOutcome::Unreachable => self.fail(now, (self.failures + 1).max(PAUSE_FAILURES)),
        };
        ended || changed
    }

    fn answered(&mut self, now: Instant, latency: Duration) -> bool {
        let expected = self.expected_latency(now);
        self.latency = expected + (latency.as_secs_f64() - expected) * LATENCY_WEIGHT;
        self.latency_at = Some(now);
        self.failures = 0;
        self.paused_until.take().is_some()
    }

    /// Records the number of failures in a row, and pauses the endpoint if they are enough.
    fn fail(&mut self, now: Instant, failures: u32) -> bool {
        self.failures = failures;
        if failures < PAUSE_FAILURES {
            return false;
        }
        let doublings = (failures - PAUSE_FAILURES).min(4);
        let pause = (PAUSE_MIN * 2_u32.pow(doublings)).min(PAUSE_MAX);
        self.paused_until.replace(now + pause).is_none()
    }
}
