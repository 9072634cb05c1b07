//! How many tokens generations produce, learned from those that have ended.
//!
//! Callers estimate their output. The estimates are right at the median but often far off. An estimate that
//! is far from the usual one is mostly wrong in that direction, so the true output lies between the two
//! (regression to the mean). How far between is learned by a regression of logarithms: of the number of
//! events received on the number of tokens estimated. Since estimates are right at the median, the means of
//! the regression also give the tokens in one event, which engines don't report.

/// Ended generations that count; some minutes of one instance, and enough for a steady slope.
const SPAN: f64 = 200.0;
/// Weight of the prior assumption that estimates are right, in generations.
const PRIOR: f64 = 10.0;
/// Variance of the estimates' logarithms under the prior.
const PRIOR_VARIANCE: f64 = 0.5;
/// Generations that must have ended before the tokens in an event are estimated.
const GENERATIONS_MIN: f64 = 10.0;

/// What has been learned of one service's generations.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutputEstimate {
    count: f64,
    /// Mean logarithms of the callers' estimates and of the events.
    hint: f64,
    events: f64,
    /// Variance of the estimates' logarithms, and their covariance with those of events.
    variance: f64,
    covariance: f64,
}

impl OutputEstimate {
    /// Learns from a complete generation that its caller estimated at `hint` tokens and that came in so many
    /// events.
    pub fn learn(&mut self, hint: u64, events: u32) {
        if hint == 0 || events == 0 {
            return;
        }
        self.count = (self.count + 1.0).min(SPAN);
        let weight = 1.0 / self.count;
        let hint = (hint as f64).ln() - self.hint;
        let events = f64::from(events).ln() - self.events;
        self.hint += weight * hint;
        self.events += weight * events;
        self.variance = (1.0 - weight) * (self.variance + weight * hint * hint);
        self.covariance = (1.0 - weight) * (self.covariance + weight * hint * events);
    }

    /// Expected tokens of a generation that its caller estimates at `hint`.
    pub fn predict(&self, hint: u64) -> u64 {
        if self.count == 0.0 || hint == 0 {
            return hint;
        }
        let prior = PRIOR * PRIOR_VARIANCE;
        let slope = (self.covariance * self.count + prior) / (self.variance * self.count + prior);
        let deviation = (hint as f64).ln() - self.hint;
        (self.hint + slope.clamp(0.0, 1.0) * deviation).exp().round() as u64
    }

    /// Estimated tokens in so many events; `None` until enough generations have ended.
    pub fn tokens_for_events(&self, events: u32) -> Option<u64> {
        let tokens = (self.hint - self.events).exp() * f64::from(events);
        (self.count >= GENERATIONS_MIN).then_some(tokens.round() as u64)
    }
}
