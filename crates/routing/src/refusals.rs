//! How many requests to a service were refused lately because the rates of its endpoints were used up.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which a refusal counts towards the `Retry-After` delay.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a refusal in which other requests are refused without waiting: a request that waits in vain
/// shows that waiting does not help.
const OVERLOAD_TIME: Duration = Duration::from_secs(1);
/// Longest time after which a caller is asked to retry.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(10);

/// Refusals of the last seconds, by service.
#[derive(Debug, Default)]
pub struct Refusals {
    times: HashMap<Arc<str>, VecDeque<Instant>>,
}

impl Refusals {
    /// Records a refusal and returns the longest time after which its caller should retry. The service takes
    /// `rate` requests a second from `instances` together, whose callers are assumed to be refused alike.
    /// Callers whose retries are spread over this time retry as fast as they can be served.
    pub fn record(&mut self, now: Instant, service: &Arc<str>, rate: f64, instances: usize) -> Duration {
        let times = self.times.entry(Arc::clone(service)).or_default();
        times.push_back(now);
        while times.front().is_some_and(|&at| now.duration_since(at) > WINDOW) {
            times.pop_front();
        }
        let seconds = (times.len() * instances) as f64 / rate.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(RETRY_DELAY_MAX.as_secs_f64()))
    }

    /// Whether a request to the service was refused a moment ago.
    pub fn is_overloaded(&self, now: Instant, service: &str) -> bool {
        let last = self.times.get(service).and_then(VecDeque::back);
        last.is_some_and(|&at| now.duration_since(at) < OVERLOAD_TIME)
    }
}
