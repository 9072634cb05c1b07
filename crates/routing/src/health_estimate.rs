//! What one instance has learned of one endpoint from its own results.
//!
//! Results count and health answers do not: an endpoint can fail with good health answers and work with bad ones. Whatever
//! is learned fades or ends by itself, so that a wrong belief costs little and an endpoint that is well again is found.

use std::time::{Duration, Instant};

use crate::StepOutcome;

/// Failures in a row after which an endpoint is paused.
const FAILURES: u32 = 2;
/// First pause; doubles with each further failure. About the shortest outage worth avoiding.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest pause, so that an endpoint that is back is found within this time.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// How long others are told of an endpoint that has ended; the list shows it by then.
const RETIRED: Duration = Duration::from_secs(10);
/// How long a refusal for want of room keeps an endpoint from being asked again; doubles with each further refusal in a
/// row. An engine that changes its stage refuses everything for seconds while it has nothing to do, and would draw all
/// requests to itself.
const FULL: Duration = Duration::from_millis(60);
/// Refusals in a row of a decode engine from which the time doubles. Room there comes free at any moment, and one refusal
/// says little of the next; but memory can be taken by work that nobody counts, such as that of an instance that is frozen,
/// and then all waiting requests would ask all such engines over and over.
const FULL_ROW: u32 = 4;
/// Longest such time.
const FULL_MAX: Duration = Duration::from_millis(960);
/// Time without any answer after which an engine with work of this instance counts as silent: several times what a
/// prefill or a small call takes at an engine that is not behind.
const SILENT: Duration = Duration::from_millis(1200);
/// Latency that is assumed of an endpoint with no results yet.
const LATENCY: f64 = 0.020;
/// Weight of one result in the moving average of latencies.
const WEIGHT: f64 = 0.2;
/// Time in which an average that gets no results falls half-way back to the assumed latency. A slow endpoint is
/// so tried again after some seconds.
const HALF_LIFE: f64 = 3.0;
/// Weight of one result in the moving average of failures.
const ERROR_WEIGHT: f64 = 0.25;
/// Time in which the share of failures falls by half without results; longer than that of latencies, since each try of
/// an endpoint that fails costs a caller its answer.
const ERROR_HALF_LIFE: f64 = 5.0;
/// Share of failures over which an endpoint is only chosen where there is no other: three in a row at an endpoint that
/// was well. Some services fail one request in seven by nature, so that two in a row say nothing.
const ERRORS: f64 = 0.5;

/// Results at one endpoint.
#[derive(Debug)]
pub(crate) struct Belief {
    failures: u32,
    paused: Option<Instant>,
    full: Option<Instant>,
    refusals: u32,
    /// Since when work is in progress there without any answer.
    silent: Option<Instant>,
    latency: f64,
    measured: Option<Instant>,
    /// Share of failures as of `judged`.
    errors: f64,
    judged: Option<Instant>,
}

impl Default for Belief {
    fn default() -> Self {
        Self {
            failures: 0,
            paused: None,
            full: None,
            refusals: 0,
            silent: None,
            latency: LATENCY,
            measured: None,
            errors: 0.0,
            judged: None,
        }
    }
}

impl Belief {
    /// The first work in progress begins.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.silent = Some(now);
    }

    /// No work is in progress any more.
    pub(crate) fn end(&mut self) {
        self.silent = None;
    }

    /// The endpoint has ended.
    pub(crate) fn retire(&mut self, now: Instant) {
        // Paused as well, so that others hear of it until the list shows it.
        self.paused = Some(now + RETIRED);
    }

    /// Expected latency, in seconds.
    pub(crate) fn expected(&self, now: Instant) -> f64 {
        let Some(at) = self.measured else { return LATENCY };
        let age = now.duration_since(at).as_secs_f64();
        LATENCY + (self.latency - LATENCY) * 0.5_f64.powf(age / HALF_LIFE)
    }

    /// Share of results that are failures. It fades without results, so that the endpoint is tried again.
    fn error_share(&self, now: Instant) -> f64 {
        let Some(at) = self.judged else { return 0.0 };
        self.errors * 0.5_f64.powf(now.duration_since(at).as_secs_f64() / ERROR_HALF_LIFE)
    }

    fn judge(&mut self, now: Instant, failed: bool) {
        let share = self.error_share(now);
        self.errors = share + (f64::from(u8::from(failed)) - share) * ERROR_WEIGHT;
        self.judged = Some(now);
    }

    /// Whether it was paused, or fails most requests.
    ///
    /// An endpoint can fail everything with good health answers, and fast. By its latency alone it would look the best of
    /// all and draw over half of the callers to itself.
    pub(crate) fn is_suspect(&self, now: Instant) -> bool {
        self.error_share(now) > ERRORS || self.paused.is_some_and(|until| now < until)
    }

    /// Whether work is in progress there and nothing has been heard for long.
    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        self.silent.is_some_and(|since| now.duration_since(since) > SILENT)
    }

    /// Whether it refused for want of room a moment ago.
    pub(crate) fn is_full(&self, now: Instant) -> bool {
        self.full.is_some_and(|until| now < until)
    }

    /// Learns from how a step ended; `decodes` is a decode engine's. Says whether the endpoint's being in use has changed.
    ///
    /// Without the pause every request would find out on its own, by its own timeout, that an endpoint is dead;
    /// callers would see a run of slow answers. The pause is short and ends by itself, so that a wrong one costs
    /// little.
    pub(crate) fn learn(&mut self, now: Instant, verdict: StepOutcome, decodes: bool) -> bool {
        if matches!(verdict, StepOutcome::Answered(_) | StepOutcome::Full) && self.silent.is_some() {
            self.silent = Some(now);
        }
        match verdict {
            StepOutcome::ErrorResponse => {
                self.judge(now, true);
                self.failures = 0;
                false
            }
            StepOutcome::Answered(latency) => {
                self.judge(now, false);
                self.answered(now, latency)
            }
            StepOutcome::Full => {
                self.refused(now, decodes);
                self.paused.take().is_some()
            }
            StepOutcome::Failed => {
                self.judge(now, true);
                self.fail(now, self.failures + 1)
            }
            // An endpoint that is not there is not there for the next one either; other failures may be chance.
            StepOutcome::Unreachable => self.fail(now, (self.failures + 1).max(FAILURES)),
        }
    }

    fn answered(&mut self, now: Instant, latency: Duration) -> bool {
        let expected = self.expected(now);
        self.latency = expected + (latency.as_secs_f64() - expected) * WEIGHT;
        self.measured = Some(now);
        self.failures = 0;
        self.full = None;
        self.refusals = 0;
        self.paused.take().is_some()
    }

    fn refused(&mut self, now: Instant, decodes: bool) {
        let doublings = if decodes { self.refusals.saturating_sub(FULL_ROW - 1) } else { self.refusals };
        self.full = Some(now + (FULL * 2_u32.pow(doublings.min(4))).min(FULL_MAX));
        self.refusals = self.refusals.saturating_add(1);
        self.failures = 0;
    }

    /// Pauses the endpoint after so many failures in a row, if that is enough of them.
    fn fail(&mut self, now: Instant, failures: u32) -> bool {
        self.failures = failures;
        if failures < FAILURES {
            return false;
        }
        let doublings = (failures - FAILURES).min(4);
        let pause = (PAUSE * 2_u32.pow(doublings)).min(PAUSE_MAX);
        self.paused.replace(now + pause).is_none()
    }
}
