//! The time for which an endpoint that refused a request gets no further ones.
//!
//! An endpoint that refuses may state how long it wants no requests from this instance. The longest statement
//! counts: nothing is sent during a cooldown, so that a response that arrives meanwhile belongs to a request
//! from before it, and may be older than the response that began it. Other instances are not told, since the
//! statement is about one instance; each finds out with its own request. Where an endpoint states nothing,
//! the time is estimated from its refusals in a row.
//!
//! When a stated cooldown ends, the instances that wait for it must not all turn to the endpoint at once. The
//! share of the requests that it may get grows over a short time ([`RAMP_TIME`]), so that an endpoint that
//! still refuses costs few requests.

use std::time::{Duration, Instant};

use rand::Rng;

/// Longest stated cooldown. After a mistaken statement of hours the endpoint is tried again in this time; one
/// that means hours gets a request or two from each instance this often.
const COOLDOWN_MAX: Duration = Duration::from_mins(1);
/// Time after a stated cooldown in which the endpoint's share of the requests grows to what it was.
const RAMP_TIME: Duration = Duration::from_millis(500);
/// Share of the requests when a stated cooldown ends; not 0, so that a sole endpoint is found to be back.
const RAMP_START: f64 = 0.1;
/// Estimated time after a refusal for lack of capacity; doubles with each further refusal in a row. An engine
/// that changes its stage refuses everything for seconds while it has nothing in flight, and would otherwise
/// attract all requests.
const FULL_MIN: Duration = Duration::from_millis(60);
/// Refusals in a row of a decode engine from which the time doubles. Capacity there becomes free at any
/// moment, and one refusal says little about the next. But memory can be taken by work that no instance
/// counts, such as that of a frozen instance, and then all waiting requests would ask all such engines over
/// and over.
const FULL_DOUBLING_REFUSALS: u32 = 4;
/// Longest estimated time.
const FULL_MAX: Duration = Duration::from_millis(960);

/// The latest cooldown of one endpoint, as one instance knows it.
#[derive(Debug, Clone, Default)]
pub struct Cooldown {
    /// End of the cooldown that the endpoint stated.
    stated: Option<Instant>,
    /// End of the estimated cooldown.
    estimated: Option<Instant>,
    /// Refusals in a row.
    refusals: u32,
}

impl Cooldown {
    /// Applies a delay that the endpoint stated in a refusal. Returns whether a cooldown begins.
    pub fn extend(&mut self, now: Instant, delay: Duration) -> bool {
        if delay.is_zero() {
            return false;
        }
        let begins = self.stated_end(now).is_none();
        self.stated = self.stated.max(Some(now + delay.min(COOLDOWN_MAX)));
        begins
    }

    /// Records a refusal; `decodes` is true for a decode engine. A refusal that arrives during an estimated cooldown
    /// belongs to a request from before it, and says nothing new: if it counted, one burst of requests beyond the
    /// capacity of a moment would keep all later ones away for the longest time.
    pub fn refused(&mut self, now: Instant, decodes: bool) {
        if self.estimated.is_some_and(|until| now < until) {
            return;
        }
        let doublings =
            if decodes { self.refusals.saturating_sub(FULL_DOUBLING_REFUSALS - 1) } else { self.refusals };
        self.estimated = Some(now + (FULL_MIN * 2_u32.pow(doublings.min(4))).min(FULL_MAX));
        self.refusals = self.refusals.saturating_add(1);
    }

    /// Records that the endpoint accepted a request. What it stated still counts: it accepted a request from
    /// before the cooldown.
    pub fn accepted(&mut self) {
        self.estimated = None;
        self.refusals = 0;
    }

    /// End of the stated cooldown, if it is in force.
    pub fn stated_end(&self, now: Instant) -> Option<Instant> {
        self.stated.filter(|&until| now < until)
    }

    /// The share of the requests that the endpoint may get now, from 0 to 1.
    fn admitted_share(&self, now: Instant) -> f64 {
        if self.stated_end(now).is_some() || self.estimated.is_some_and(|until| now < until) {
            return 0.0;
        }
        let Some(until) = self.stated else { return 1.0 };
        let elapsed = now.duration_since(until).as_secs_f64();
        (elapsed / RAMP_TIME.as_secs_f64()).clamp(RAMP_START, 1.0)
    }

    /// From when on requests are admitted, while not all of them are: the end of the stated cooldown, or now
    /// while the share grows.
    pub fn admits_from(&self, now: Instant) -> Option<Instant> {
        self.stated.filter(|&until| now < until + RAMP_TIME).map(|until| until.max(now))
    }

    /// Whether all requests may be sent to the endpoint now.
    pub fn admits_all(&self, now: Instant) -> bool {
        self.admitted_share(now) >= 1.0
    }

    /// Draws whether a request may be sent to the endpoint now.
    pub fn admits(&self, now: Instant, rng: &mut impl Rng) -> bool {
        let share = self.admitted_share(now);
        share >= 1.0 || (share > 0.0 && rng.random_bool(share))
    }

    /// Forgets a stated cooldown after which the endpoint has its full share again. Returns whether there was
    /// one.
    pub fn expire(&mut self, now: Instant) -> bool {
        let over = self.stated.is_some_and(|until| now >= until + RAMP_TIME);
        if over {
            self.stated = None;
        }
        over
    }
}
