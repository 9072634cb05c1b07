//! Results at endpoints, summed over instances.
//!
//! Among many instances each sees an endpoint too rarely to judge it: with 60 engines and 68 instances a pair
//! of them meets once in a minute. Each instance therefore counts the results of its own requests in a sliding
//! window, and reports them to its peers.
//!
//! Of engines it reports those in trouble: with recent failures. A peer that receives such a report also reports
//! its own results there, so that the sum also shows the requests that went well. Plain endpoints are reported
//! whenever a call ended or was in progress there within the window, with the time that calls spent there within
//! it. The sum of these times over all instances, divided by the window, is the mean number of calls at the
//! endpoint. Time counts as it passes, not when a call ends: the calls in a queue show before they are answered.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::EngineTag;
use crate::windows::{Counters, PeerReports, Window};

/// Window of results at plain endpoints: some calls of an endpoint that is busy, and short enough that a queue
/// shows before it is full.
pub(crate) const PLAIN_WINDOW: Duration = Duration::from_millis(100);
/// Longest time of calls in progress that is counted at once: about the step of the window.
const COUNT_STEP: Duration = Duration::from_millis(10);
/// Window of results at engines, which get one or two generations a second.
const ENGINE_WINDOW: Duration = Duration::from_secs(3);
/// Time for which an endpoint counts as in trouble after a peer reported it.
const TROUBLE_TTL: Duration = Duration::from_millis(1500);
/// Endpoints in one report; the busiest ones where more are in trouble.
const REPORTS_MAX: usize = 48;
/// Counts of a report above this are those of a broken sender: no instance has so many results in a window.
const COUNT_MAX: u32 = 100_000;
/// Mean number of calls in progress above which the time of a report is that of a broken sender.
const IN_PROGRESS_MAX: f64 = 10_000.0;
/// Fraction of the caller's goal from which an answer is slow. What is left of the goal covers the way to the
/// caller and a slow moment of the endpoint.
pub const SLOW_GOAL_FRACTION: f64 = 0.55;

/// Failures of an engine from which its results are judged.
const FAILURES_MIN: u32 = 3;
/// Fraction of failures from which an engine is avoided. Engines that work fail almost nothing.
const FAILING_FRACTION: f64 = 0.3;
/// Fraction of failures from which hardly anything sent to an engine succeeds.
const USELESS_FRACTION: f64 = 0.8;
/// Instances that must have seen failures: one alone may itself be partitioned.
const FAILING_REPORTERS: usize = 2;

/// Results at one endpoint within a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Results {
    /// Requests with an answer that is no failure.
    pub answered: u32,
    /// The part of `answered` that was slow.
    pub slow: u32,
    /// Requests that failed at the endpoint.
    pub failed: u32,
    /// Requests that the endpoint refused for lack of capacity.
    pub refused: u32,
    /// Time that calls spent at a plain endpoint within the window, in microseconds.
    pub busy_micros: u32,
}

impl Counters for Results {
    fn add(&mut self, other: Self) {
        self.answered = self.answered.saturating_add(other.answered);
        self.slow = self.slow.saturating_add(other.slow);
        self.failed = self.failed.saturating_add(other.failed);
        self.refused = self.refused.saturating_add(other.refused);
        self.busy_micros = self.busy_micros.saturating_add(other.busy_micros);
    }
}

impl Results {
    /// Whether the results show that something may be wrong at the endpoint. Two slow answers at one
    /// instance are enough: by the time at which most answers are slow, all instances must have reported their
    /// results, or the sum is too low. A single one is usual.
    const fn shows_trouble(self) -> bool {
        self.slow > 1 || self.failed > 0 || self.refused > 0
    }

    fn is_plausible(self) -> bool {
        self.answered <= COUNT_MAX
            && self.failed <= COUNT_MAX
            && self.refused <= COUNT_MAX
            && self.slow <= self.answered
            && self.in_progress() <= IN_PROGRESS_MAX
    }

    /// Requests that the endpoint has completed.
    pub const fn completed(self) -> u32 {
        self.answered + self.failed
    }

    /// Mean number of calls in progress at a plain endpoint.
    pub(crate) fn in_progress(self) -> f64 {
        f64::from(self.busy_micros) / PLAIN_WINDOW.as_micros() as f64
    }

    /// Requests that a plain endpoint has completed in a second.
    pub(crate) fn throughput(self) -> f64 {
        f64::from(self.completed()) / PLAIN_WINDOW.as_secs_f64()
    }
}

/// Result of one request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Observation {
    /// It was answered; with the latency as a fraction of the caller's goal.
    Answered(f64),
    /// It failed at an engine, or the engine lost it.
    Failed,
    /// The endpoint has no capacity.
    Refused,
}

/// How much of its work an engine fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failures {
    /// A part: it is better than no engine.
    Many,
    /// All or nearly all.
    NearlyAll,
}

/// What one instance reports of its results at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResultReport {
    /// The endpoint.
    pub endpoint: EngineTag,
    /// Results in the sender's window.
    pub results: Results,
}

#[derive(Debug)]
struct Own {
    window: Window<Results>,
    /// When a result last showed trouble.
    trouble_at: Option<Instant>,
    /// Calls in progress, for plain endpoints; their time is counted up to `counted_at`.
    running: u32,
    counted_at: Instant,
    plain: bool,
}

impl Own {
    fn new(now: Instant, engine: bool) -> Self {
        let length = if engine { ENGINE_WINDOW } else { PLAIN_WINDOW };
        Self {
            window: Window::new(now, length),
            trouble_at: None,
            running: 0,
            counted_at: now,
            plain: !engine,
        }
    }

    /// Counts the time of calls in progress. After a pause of the process it covers a window, and not more.
    fn count_time(&mut self, now: Instant) {
        let earliest = now.checked_sub(PLAIN_WINDOW).unwrap_or(self.counted_at);
        let mut counted = self.counted_at.max(earliest);
        self.counted_at = now;
        while self.running > 0 && counted < now {
            let elapsed = now.saturating_duration_since(counted).min(COUNT_STEP);
            counted += elapsed;
            let busy_micros = (elapsed.as_micros() as u32).saturating_mul(self.running);
            self.window.add(counted, Results { busy_micros, ..Results::default() });
        }
    }

    fn sum(&mut self, now: Instant) -> Results {
        self.count_time(now);
        self.window.sum(now)
    }
}

/// Results at endpoints, of this instance and of its peers. `P` names an instance.
#[derive(Debug)]
pub struct Observations<P> {
    own: HashMap<EngineTag, Own>,
    peers: PeerReports<P, HashMap<EngineTag, Results>>,
    /// Endpoints that peers report as in trouble, and when that was last so.
    troubled: HashMap<EngineTag, Instant>,
    /// Whether the latest reports have results at a plain endpoint.
    reported_plain: bool,
}

impl<P> Default for Observations<P> {
    fn default() -> Self {
        Self {
            own: HashMap::new(),
            peers: PeerReports::default(),
            troubled: HashMap::new(),
            reported_plain: false,
        }
    }
}

impl<P: Copy + Eq + Hash> Observations<P> {
    /// Records that a call of this instance begins at a plain endpoint.
    pub fn begin(&mut self, now: Instant, endpoint: EngineTag) {
        let own = self.own.entry(endpoint).or_insert_with(|| Own::new(now, false));
        own.count_time(now);
        own.running += 1;
    }

    /// Records that a call of this instance at a plain endpoint has ended.
    pub fn end(&mut self, now: Instant, endpoint: EngineTag) {
        if let Some(own) = self.own.get_mut(&endpoint) {
            own.count_time(now);
            own.running = own.running.saturating_sub(1);
        }
    }

    /// Forgets the calls and results of this instance at an endpoint that is not listed any more. Calls in progress
    /// there are not counted at their end, and would count for ever.
    pub(crate) fn remove(&mut self, endpoint: EngineTag) {
        self.own.remove(&endpoint);
    }

    /// Counts a result of this instance at an endpoint; `engine` if the endpoint is a model engine.
    pub fn observe(&mut self, now: Instant, endpoint: EngineTag, engine: bool, observation: Observation) {
        let results = match observation {
            Observation::Answered(fraction) => Results {
                answered: 1,
                slow: u32::from(!engine && fraction > SLOW_GOAL_FRACTION),
                ..Results::default()
            },
            // A plain endpoint fails some requests as part of its work.
            Observation::Failed if !engine => return,
            Observation::Failed => Results { failed: 1, ..Results::default() },
            // An engine without room is no trouble: its memory is accounted for in the ledger.
            Observation::Refused if engine => return,
            Observation::Refused => Results { refused: 1, ..Results::default() },
        };
        let own = self.own.entry(endpoint).or_insert_with(|| Own::new(now, engine));
        own.window.add(now, results);
        if results.answered == 0 || results.slow > 0 {
            own.trouble_at = own.window.sum(now).shows_trouble().then_some(now).or(own.trouble_at);
        }
    }

    /// Replaces what a peer reports; `lifetime` is the time for which the report counts.
    pub fn merge(&mut self, now: Instant, from: P, lifetime: Duration, reports: Vec<ResultReport>) {
        let plausible: HashMap<EngineTag, Results> = reports
            .into_iter()
            .take(REPORTS_MAX)
            .filter(|report| report.results.is_plausible())
            .map(|report| (report.endpoint, report.results))
            .collect();
        for (&endpoint, results) in &plausible {
            if results.shows_trouble() {
                self.troubled.insert(endpoint, now);
            }
        }
        self.peers.replace(now, from, lifetime, (!plausible.is_empty()).then_some(plausible));
    }

    /// What is to be reported to peers now.
    pub fn reports(&mut self, now: Instant) -> Vec<ResultReport> {
        let recent = |at: Instant| now.saturating_duration_since(at) < TROUBLE_TTL;
        let troubled = &self.troubled;
        let mut reported_plain = false;
        let mut reports: Vec<(bool, ResultReport)> = self
            .own
            .iter_mut()
            .filter_map(|(&endpoint, own)| {
                let in_trouble = own.trouble_at.is_some_and(recent)
                    || troubled.get(&endpoint).is_some_and(|&at| recent(at));
                let results = if own.plain || in_trouble { own.sum(now) } else { Results::default() };
                reported_plain |= own.plain && results != Results::default();
                (results != Results::default()).then_some((in_trouble, ResultReport { endpoint, results }))
            })
            .collect();
        self.reported_plain = reported_plain;
        // An endpoint that only refuses has completed nothing, and its limit depends on these reports.
        let requests = |results: Results| results.completed() + results.refused;
        reports.sort_by_key(|&(in_trouble, ResultReport { endpoint, results })| {
            std::cmp::Reverse((in_trouble, requests(results), endpoint))
        });
        reports.truncate(REPORTS_MAX);
        reports.into_iter().map(|(_, report)| report).collect()
    }

    /// Longest pause between the latest reports and the next ones, beside the interval between reports. The calls of a
    /// report at a plain endpoint have left the window after its length. Peers that still counted them then would
    /// count callers twice that have turned to another instance meanwhile.
    pub const fn report_pause(&self) -> Duration {
        if self.reported_plain { PLAIN_WINDOW } else { Duration::MAX }
    }

    /// Results at an endpoint, summed over this instance and the peers whose reports still count, and how many
    /// of these instances saw failures there.
    pub fn pooled(&mut self, now: Instant, endpoint: EngineTag) -> (Results, usize) {
        self.pooled_by_endpoint(now, [endpoint]).remove(&endpoint).unwrap_or_default()
    }

    /// The same for each of these endpoints. One pass over the reports: with hundreds of peers and as many
    /// endpoints in trouble, a pass for each endpoint would take longer than the interval between updates.
    pub fn pooled_by_endpoint(
        &mut self,
        now: Instant,
        endpoints: impl IntoIterator<Item = EngineTag>,
    ) -> HashMap<EngineTag, (Results, usize)> {
        let own = &mut self.own;
        let mut sums: HashMap<EngineTag, (Results, usize)> = endpoints
            .into_iter()
            .map(|endpoint| {
                let results = own.get_mut(&endpoint).map(|own| own.sum(now)).unwrap_or_default();
                (endpoint, (results, usize::from(results.failed > 0)))
            })
            .collect();
        for (endpoint, &results) in self.peers.valid(now).flat_map(|(_, report)| report) {
            if let Some((sum, reporters)) = sums.get_mut(endpoint) {
                *reporters += usize::from(results.failed > 0);
                sum.add(results);
            }
        }
        sums
    }

    /// Whether an engine fails so much of its work that others are preferred.
    pub fn is_failing(&mut self, now: Instant, endpoint: EngineTag) -> bool {
        let (results, reporters) = self.pooled(now, endpoint);
        failures(results, reporters).is_some()
    }

    /// Endpoints with recent trouble, here or as peers report.
    pub fn troubled(&self, now: Instant) -> Vec<EngineTag> {
        let recent = |at: Instant| now.saturating_duration_since(at) < TROUBLE_TTL;
        let own = self.own.iter().filter(|(_, own)| own.trouble_at.is_some_and(recent)).map(|(&tag, _)| tag);
        let reported = self.troubled.iter().filter(|&(_, &at)| recent(at)).map(|(&tag, _)| tag);
        let mut tags: Vec<EngineTag> = own.chain(reported).collect();
        tags.sort_unstable();
        tags.dedup();
        tags
    }

    /// Plain endpoints with results here or at a peer.
    pub(crate) fn plain(&self, now: Instant) -> impl Iterator<Item = EngineTag> {
        let own = self.own.iter().filter(|(_, own)| own.plain).map(|(&tag, _)| tag);
        own.chain(self.peers.valid(now).flat_map(|(_, report)| report.keys().copied()))
    }

    /// Whether a peer's report counts now.
    pub(crate) fn has_peers(&self, now: Instant) -> bool {
        self.peers.valid(now).next().is_some()
    }

    /// Removes what is outdated.
    pub fn expire(&mut self, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < TROUBLE_TTL;
        self.peers.expire(now);
        self.troubled.retain(|_, at| recent(*at));
        self.own.retain(|_, own| {
            own.running > 0 || own.sum(now) != Results::default() || own.trouble_at.is_some_and(recent)
        });
    }
}

/// How much of its work an engine fails, if that is much; `reporters` instances have seen failures.
pub(crate) fn failures(results: Results, reporters: usize) -> Option<Failures> {
    let fraction = f64::from(results.failed) / f64::from(results.completed().max(1));
    if reporters < FAILING_REPORTERS || results.failed < FAILURES_MIN || fraction < FAILING_FRACTION {
        return None;
    }
    Some(if fraction < USELESS_FRACTION { Failures::Many } else { Failures::NearlyAll })
}
