//! How long prefill takes, learned from results.
//!
//! A prefill waits behind the work that its engine has already, so its time is about proportional to all
//! tokens in flight there when it starts. The factor is learned as a moving average. It shows before a prompt
//! is sent whether the first event can still be on time.
//!
//! An engine that is silent for a moment and goes on makes all prefills long that it had then, and says nothing about
//! the next ones. A prefill that took far too long therefore counts only if one that was sent after it had ended, and so
//! after that silence, takes far too long as well.

use std::time::{Duration, Instant};

/// Weight of one result.
const WEIGHT: f64 = 0.1;
/// Seconds per token that are assumed before any result; low, so that nothing is refused because of an
/// assumption.
const INITIAL_SECONDS: f64 = 15e-6;
/// Multiple of the expected time above which a prefill may be long because of a silence.
const LONG_FACTOR: f64 = 2.0;
/// Time beyond the expected one that shows a silence, unless prefills have become slow. A prompt that waits behind another
/// one, which was not known of, takes less.
const SILENCE_MIN: Duration = Duration::from_millis(500);

/// Moving average of the time per token of a service's prefill engines.
#[derive(Debug, Clone, Copy)]
pub struct PrefillEstimate {
    seconds: f64,
    /// When the first prefill ended that took far too long, with none sent since that took the expected time.
    long_ended: Option<Instant>,
}

impl Default for PrefillEstimate {
    fn default() -> Self {
        Self { seconds: INITIAL_SECONDS, long_ended: None }
    }
}

impl PrefillEstimate {
    /// Learns from a prefill that was sent at `sent_at` and took `time`, with `tokens` in flight at its engine when it
    /// started, its own among them. `pace` is that of the engine; the estimate is that of one at the usual pace.
    pub fn learn(&mut self, sent_at: Instant, tokens: u64, time: Duration, pace: f64) {
        let usual = time.div_f64(pace);
        if !self.is_silence(sent_at, tokens, time, usual) {
            let seconds = usual.as_secs_f64() / tokens.max(1) as f64;
            self.seconds += (seconds - self.seconds) * WEIGHT;
        }
    }

    /// Whether a prefill took so long because of a silence of its engine, as far as is known.
    fn is_silence(&mut self, sent_at: Instant, tokens: u64, time: Duration, usual: Duration) -> bool {
        let expected = self.predict(tokens);
        let began_before_end = self.long_ended.is_some_and(|ended| sent_at < ended);
        if usual <= expected.mul_f64(LONG_FACTOR) {
            self.long_ended = self.long_ended.filter(|_| began_before_end);
            return false;
        }
        if self.long_ended.is_none() && usual > expected + SILENCE_MIN {
            self.long_ended = Some(sent_at + time);
            return true;
        }
        began_before_end
    }

    /// Whether a prefill of `prompt` tokens is expected to end within `limit`, at an engine with `in_flight`
    /// tokens before it.
    ///
    /// An engine with nothing in flight is always worth an attempt: an estimate that was learned while
    /// engines were slow or partitioned would otherwise forbid every prefill, and without a prefill the
    /// estimate never improves.
    pub fn in_time(&self, in_flight: u64, prompt: u64, limit: Duration) -> bool {
        in_flight == 0 || self.predict(in_flight.saturating_add(prompt)) < limit
    }

    /// Expected time of a prefill with `tokens` in flight, its own among them.
    pub fn predict(&self, tokens: u64) -> Duration {
        Duration::try_from_secs_f64(self.seconds * tokens as f64).unwrap_or(Duration::MAX)
    }
}
