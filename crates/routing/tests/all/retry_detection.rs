//! Callers' retries after a refusal.

use std::sync::Arc;
use std::time::{Duration, Instant};

use teaselshunt_routing::RetryDetector;

/// In a burst refused callers retry beside new ones, whose deadlines differ a little. If retries were taken
/// for new requests, requests that are late already would get half of the capacity, and as many new requests,
/// which could have been on time, would be refused and become late. If new requests were taken for retries,
/// they would wait behind others for nothing.
#[test]
fn retries_are_distinguished_from_new_requests() {
    let (now, route) = (Instant::now(), Arc::from("r"));
    let mut detector = RetryDetector::default();
    for new in [13_000, 14_000, 12_000, 13_500] {
        assert!(!detector.is_retry(now, &route, Duration::from_millis(new)));
    }
    let left = Duration::from_millis(10_900);
    assert!(detector.is_retry(now, &route, left));
    assert!(!detector.is_retry(now, &Arc::from("other"), left));
}

/// A release of the callers' programs shortens their deadlines. After a while no request is taken for a retry
/// any more.
#[test]
fn shorter_deadlines_are_learned() {
    let (now, route) = (Instant::now(), Arc::from("r"));
    let mut detector = RetryDetector::default();
    detector.is_retry(now, &route, Duration::from_secs(14));
    let shorter = Duration::from_secs(5);
    assert!(detector.is_retry(now, &route, shorter));
    for minute in 1..=2 {
        detector.is_retry(now + Duration::from_mins(minute), &route, shorter);
    }
    assert!(!detector.is_retry(now + Duration::from_mins(2), &route, shorter));
}
