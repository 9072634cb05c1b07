//! How long prefill takes, learned from results.
//!
//! A prefill waits behind what its engine has before it, so its time is about proportional to all tokens in flight
//! there when it began. The factor is learned as a moving average, and tells before a prompt is sent whether its first
//! event can still be in time.

use std::time::Duration;

/// Weight of one result.
const WEIGHT: f64 = 0.1;
/// Seconds a token that are assumed before any result; low, so that nothing is refused on a guess.
const FIRST: f64 = 15e-6;

/// The learned pace of a service's prefill engines.
#[derive(Debug, Clone, Copy)]
pub struct PrefillEstimate {
    seconds: f64,
}

impl Default for PrefillEstimate {
    fn default() -> Self {
        Self { seconds: FIRST }
    }
}

impl PrefillEstimate {
    /// A prefill took `time`, with `tokens` in flight at its engine, its own among them, when it began.
    pub fn learn(&mut self, tokens: u64, time: Duration) {
        let seconds = time.as_secs_f64() / tokens.max(1) as f64;
        self.seconds += (seconds - self.seconds) * WEIGHT;
    }

    /// Whether a prefill of `prompt` tokens is expected to end within `limit`, at an engine with `in_flight` tokens before
    /// it.
    ///
    /// An engine with nothing in flight is always worth a try: a pace that was learned while engines were slow or cut off
    /// would otherwise forbid every prefill, and without a prefill nothing better is ever learned.
    pub fn in_time(&self, in_flight: u64, prompt: u64, limit: Duration) -> bool {
        in_flight == 0 || self.predict(in_flight + prompt) < limit
    }

    /// Expected time of a prefill with `tokens` in flight, its own among them.
    pub fn predict(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(self.seconds * tokens as f64)
    }
}
