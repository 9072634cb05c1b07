//! The time for which an endpoint that refused a request gets no further ones.
//!
//! An endpoint that refuses may state how long it wants no requests from this instance. The longest statement
//! counts: nothing is sent during a cooldown, so that a response that arrives meanwhile belongs to a request
//! from before it, and may be older than the response that began it. Other instances are not told, since the
//! statement is about one instance; each finds out with its own request.
//!
//! When the cooldown ends, the instances that wait for it must not all turn to the endpoint at once. The
//! share of the requests that it may get grows over a short time ([`RAMP_TIME`]), so that an endpoint that
//! still refuses costs few requests.

use std::time::{Duration, Instant};

/// Longest cooldown. After a mistaken statement of hours the endpoint is tried again in this time; one that
/// means hours gets a request or two from each instance this often.
const COOLDOWN_MAX: Duration = Duration::from_mins(1);
/// Time after a cooldown in which the endpoint's share of the requests grows to what it was.
const RAMP_TIME: Duration = Duration::from_millis(500);

/// The latest cooldown of an endpoint, as the endpoint stated it.
#[derive(Debug, Default)]
pub(crate) struct Cooldown {
    until: Option<Instant>,
}

impl Cooldown {
    /// Applies a delay that the endpoint stated in a refusal. Returns whether the cooldown ends later now.
    pub(crate) fn extend(&mut self, now: Instant, delay: Duration) -> bool {
        let until = now + delay.min(COOLDOWN_MAX);
        if delay.is_zero() || self.until.is_some_and(|known| until <= known) {
            return false;
        }
        self.until = Some(until);
        true
    }

    /// End of the cooldown, if it is in force.
    pub(crate) fn end(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|&until| now < until)
    }

    /// Forgets a cooldown after which the endpoint has its full share again. Returns whether there was one.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let over = self.until.is_some_and(|until| now >= until + RAMP_TIME);
        if over {
            self.until = None;
        }
        over
    }
}
