//! How many calls a plain endpoint completes in a second, and the limit that keeps its queue short.
//!
//! The results of all instances give the calls that an endpoint completes in a second and the mean number of calls
//! there. With the number of its slots these give its capacity without an overload (Little's law): while slots
//! are free, the mean time of a call is the service time, and the capacity is the slots divided by it. While all
//! are busy, the capacity is what is completed, and the calls beyond the slots are its queue.
//!
//! A call takes about as long as a report between instances, so that instances cannot count one another's
//! calls in progress. They can keep to a rate together. An endpoint whose slots are nearly all busy has a limit: a
//! little above its capacity without a queue, and below it with one, so that the queue drains.
//!
//! A limit answers the load of a burst: without one, instances send until the endpoint's queue is full, and
//! every call is served after its caller's goal.

use std::collections::HashMap;
use std::num::NonZeroU32;
use std::time::{Duration, Instant};

use crate::EngineTag;
use crate::observations::{PLAIN_WINDOW, Results};

/// Fraction of the slots from which an endpoint counts as busy, and of the capacity below which the demand does
/// not need a limit.
pub(crate) const BUSY_FRACTION: f64 = 0.8;
/// Time of a call that passes on the way to the endpoint and back.
const WAY_TIME: Duration = Duration::from_millis(4);
/// Range of the time in which a limit drains a queue, in seconds, and the number of service times that it is. A time
/// shorter than the reports take would empty the endpoint before that shows.
const DRAIN_TIME: (f64, f64) = (0.25, 0.5);
const DRAIN_SERVICE_TIMES: f64 = 4.0;
/// Queue that a limit leaves, as a fraction of the slots and as the least time of the capacity. It keeps the slots
/// busy while service times vary, and for as long as instances don't know of one another's calls.
const QUEUE_LEFT: (f64, f64) = (0.15, 0.025);
/// Time of the capacity that a limit leaves as a queue, as a fraction of what the callers' goal leaves beside the
/// service time. Callers whose goal bears a wait are served after it and not refused; the rest of the goal is for
/// slow moments of the endpoint and for the way.
const QUEUE_GOAL_FRACTION: f64 = 0.3;
/// Lowest limit, as a fraction of the capacity.
const LIMIT_MIN_FRACTION: f64 = 0.3;
/// What a limit exceeds the capacity by while there is no queue: a capacity that is estimated too low shows only if
/// more is sent.
const LIMIT_SURPLUS: f64 = 0.1;
/// Highest limit while slots are free, as a multiple of the capacity.
const FREE_FACTOR_MAX: f64 = 3.0;
/// Calls over which an estimate is averaged, and the range of the time for that.
const AVERAGE_CALLS: f64 = 12.0;
const AVERAGE_TIME: (f64, f64) = (0.3, 1.5);

/// Time without an update after which calls have ended that were in progress at the last one: endpoints without
/// results are not updated.
const PAUSE_MIN: Duration = Duration::from_millis(500);

/// Refusals in a window, and fraction of slow answers among a number of answers, from which an endpoint is
/// overloaded although its slots seem free.
const REFUSALS_MIN: u32 = 2;
const SLOW_FRACTION: f64 = 0.5;
const ANSWERS_MIN: u32 = 8;
/// Time for which refusals continue while slots seem free before the results count as incomplete.
const INCOMPLETE_TIME: Duration = Duration::from_millis(300);
/// Limit by incomplete results, as a fraction of what the endpoint completes, and its growth with each update
/// without overload.
const INCOMPLETE_FRACTION: f64 = 0.9;
const INCOMPLETE_GROWTH: f64 = 1.05;

/// What an update changes in the limit of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The limit, in calls per second, begins or changes.
    Set(f64),
    /// The limit ends.
    Ended,
}

/// What is known of a plain endpoint at an update.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainState {
    /// Calls that it serves concurrently.
    pub slots: NonZeroU32,
    /// Results of all instances that are heard.
    pub results: Results,
    /// Whether no peer is heard.
    pub alone: bool,
    /// Whether a limit keeps calls from the endpoint, or the demand is near the capacity of the service.
    pub binds: bool,
    /// Shortest latency goal of the service's callers. `None` where their priorities differ: a queue at the endpoint
    /// knows none, so that urgent calls would wait in it behind others.
    pub goal: Option<Duration>,
}

impl PlainState {
    /// Mean calls in the queue, as a fraction of the slots; at most 1.
    pub(crate) fn queued_fraction(self) -> f64 {
        (self.results.in_progress() / f64::from(self.slots.get()) - 1.0).clamp(0.0, 1.0)
    }
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    updated: Instant,
    /// Calls per second; 0 while it is not known.
    capacity: f64,
    /// Averages of the throughput and of the calls at the endpoint while slots are free.
    free: (f64, f64),
    /// Since when the endpoint has been busy.
    busy_since: Option<Instant>,
    /// Since when it has refused calls although slots seem free.
    refusing_since: Option<Instant>,
    /// Whether the limit comes from incomplete results.
    incomplete: bool,
    /// Mean calls at the endpoint at the last update, as a fraction of its slots.
    busy_fraction: f64,
    limit: Option<f64>,
}

impl Estimate {
    const fn new(now: Instant) -> Self {
        Self {
            updated: now,
            capacity: 0.0,
            free: (0.0, 0.0),
            busy_since: None,
            refusing_since: None,
            incomplete: false,
            busy_fraction: 0.0,
            limit: None,
        }
    }

    /// Weight of the latest window in an average. After a pause it is that of its own length, which is all that it
    /// covers.
    fn weight(&mut self, now: Instant, throughput: f64) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).min(PLAIN_WINDOW).as_secs_f64();
        self.updated = now;
        let time = (AVERAGE_CALLS / throughput).clamp(AVERAGE_TIME.0, AVERAGE_TIME.1);
        1.0 - (-elapsed / time).exp()
    }

    /// Forgets what belongs to the calls that have ended, but not the capacity.
    fn observe_idle(&mut self) {
        self.busy_since = None;
        self.free = (0.0, 0.0);
    }

    /// Updates the capacity while slots are free. The averages begin with the capacity that was known.
    fn observe_free(&mut self, slots: f64, throughput: f64, calls: f64, weight: f64) {
        if self.busy_since.take().is_some() || self.free.1 <= 0.0 {
            let known = if self.capacity > 0.0 { self.capacity * calls / slots } else { throughput };
            self.free = (known, calls);
        }
        let (mean_throughput, mean_calls) = self.free;
        self.free = (
            mean_throughput + (throughput - mean_throughput) * weight,
            mean_calls + (calls - mean_calls) * weight,
        );
        if self.free.0 > 0.0 && self.free.1 > 0.0 {
            self.capacity = slots * self.free.0 / self.free.1;
        }
    }

    /// Updates the capacity while the endpoint is busy. Until calls that began then have ended, the throughput
    /// includes that of the time before, and shows only that the capacity is not lower.
    fn observe_busy(&mut self, now: Instant, slots: f64, throughput: f64, calls: f64, weight: f64) {
        let since = *self.busy_since.get_or_insert(now);
        let service_time = if self.capacity > 0.0 { slots / self.capacity } else { 0.0 };
        let settled = now.saturating_duration_since(since).as_secs_f64()
            >= PLAIN_WINDOW.as_secs_f64() + service_time.min(AVERAGE_TIME.1);
        if settled {
            let expected = self.capacity * PLAIN_WINDOW.as_secs_f64();
            let deviation = (throughput - self.capacity).abs() * PLAIN_WINDOW.as_secs_f64();
            let weight = weight.max((deviation / (expected + 1.0).sqrt() - 1.0).clamp(0.0, 1.0));
            let sample = throughput * (slots / calls.max(1e-3)).clamp(1.0, 1.0 / BUSY_FRACTION);
            self.capacity += (sample - self.capacity) * weight;
        } else {
            self.capacity = self.capacity.max(throughput);
        }
    }
}

/// The limit of an endpoint with so many calls there, whose callers have a `goal`.
fn limit(capacity: f64, slots: f64, calls: f64, goal: Option<Duration>) -> f64 {
    if calls < slots * BUSY_FRACTION {
        return capacity * (slots / calls.max(1e-3)).min(FREE_FACTOR_MAX);
    }
    let time = (DRAIN_SERVICE_TIMES * slots / capacity).clamp(DRAIN_TIME.0, DRAIN_TIME.1);
    let wait = goal.map_or(0.0, |goal| (goal.as_secs_f64() - slots / capacity) * QUEUE_GOAL_FRACTION);
    let left = slots * QUEUE_LEFT.0 + capacity * wait.max(QUEUE_LEFT.1);
    let drained = (calls - slots - left) / time;
    (capacity - drained).clamp(capacity * LIMIT_MIN_FRACTION, capacity * (1.0 + LIMIT_SURPLUS))
}

/// Capacities and limits of plain endpoints.
#[derive(Debug, Default)]
pub struct Capacity {
    estimates: HashMap<EngineTag, Estimate>,
}

impl Capacity {
    /// Updates the capacity and the limit of an endpoint. Returns what changes.
    pub fn update(&mut self, now: Instant, endpoint: EngineTag, state: PlainState) -> Option<LimitChange> {
        let PlainState { slots, results, alone, binds, goal } = state;
        let estimate = self.estimates.entry(endpoint).or_insert_with(|| Estimate::new(now));
        if now.saturating_duration_since(estimate.updated) > PAUSE_MIN {
            estimate.observe_idle();
        }
        let (slots, throughput) = (f64::from(slots.get()), results.throughput());
        let calls = (results.in_progress() - throughput * WAY_TIME.as_secs_f64()).max(0.0);
        let weight = estimate.weight(now, throughput);
        estimate.busy_fraction = calls / slots;
        let busy = calls >= slots * BUSY_FRACTION;
        if !busy && update_incomplete(now, estimate, results, alone, binds) {
            return Some(estimate.limit.map_or(LimitChange::Ended, LimitChange::Set));
        }
        estimate.incomplete = false;
        let overloaded = busy || results.refused > 0;
        if overloaded {
            estimate.observe_busy(now, slots, throughput, calls, weight);
        } else if calls > 0.0 {
            estimate.observe_free(slots, throughput, calls, weight);
        } else {
            estimate.observe_idle();
        }
        let needed = overloaded || binds || throughput >= estimate.capacity * BUSY_FRACTION;
        if estimate.capacity <= 0.0 || !needed || (estimate.limit.is_none() && !overloaded) {
            return estimate.limit.take().map(|_| LimitChange::Ended);
        }
        let limit = limit(estimate.capacity, slots, calls, goal);
        estimate.limit = Some(limit);
        Some(LimitChange::Set(limit))
    }

    /// Removes what is known of an endpoint. Returns whether it had a limit.
    pub fn remove(&mut self, endpoint: EngineTag) -> bool {
        self.estimates.remove(&endpoint).is_some_and(|estimate| estimate.limit.is_some())
    }

    /// Endpoints with a limit.
    pub fn limited(&self) -> impl Iterator<Item = EngineTag> {
        self.estimates.iter().filter(|(_, estimate)| estimate.limit.is_some()).map(|(&tag, _)| tag)
    }

    /// Whether an endpoint had free slots at its last update.
    pub fn has_free_slots(&self, endpoint: EngineTag) -> bool {
        self.estimates.get(&endpoint).is_some_and(|estimate| estimate.busy_fraction < BUSY_FRACTION)
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.estimates.is_empty()
    }

    /// Removes endpoints that are not listed any more, and returns those that had a limit.
    pub fn expire(&mut self, is_listed: impl Fn(EngineTag) -> bool) -> Vec<EngineTag> {
        let ended: Vec<EngineTag> = self.limited().filter(|&tag| !is_listed(tag)).collect();
        self.estimates.retain(|&tag, _| is_listed(tag));
        ended
    }
}

/// Updates the limit of an endpoint that is overloaded although its slots seem free: this instance does not hear
/// all others. Returns whether this is so.
fn update_incomplete(
    now: Instant,
    estimate: &mut Estimate,
    results: Results,
    alone: bool,
    binds: bool,
) -> bool {
    let refuses = results.refused >= REFUSALS_MIN;
    let slow = alone
        && results.answered >= ANSWERS_MIN
        && f64::from(results.slow) >= f64::from(results.answered) * SLOW_FRACTION;
    if !refuses && !slow {
        estimate.refusing_since = None;
        if !estimate.incomplete {
            return false;
        }
        estimate.limit = estimate.limit.filter(|_| binds).map(|limit| limit * INCOMPLETE_GROWTH);
        estimate.incomplete = estimate.limit.is_some();
        return true;
    }
    let since = *estimate.refusing_since.get_or_insert(now);
    let wait = if alone { Duration::ZERO } else { INCOMPLETE_TIME };
    if now.saturating_duration_since(since) < wait || results.completed() == 0 {
        return false;
    }
    let lowest = results.throughput() * INCOMPLETE_FRACTION;
    let limit = estimate.limit.filter(|_| estimate.incomplete).map_or(lowest, |limit| limit.min(lowest));
    estimate.incomplete = true;
    estimate.limit = Some(limit);
    true
}
