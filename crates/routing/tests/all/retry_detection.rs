//! Callers who come back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use teaselshunt_routing::RetryDetector;

/// In a burst callers are refused and come back beside new ones, whose deadlines differ a little. Taken for new, those
/// who are late already get half of the room, and as many new callers, who could have been on time, are refused and are
/// late in turn. Taken for late, new ones lose their turn for nothing.
#[test]
fn callers_who_come_back_are_told_from_new_ones() {
    let (now, route) = (Instant::now(), Arc::from("r"));
    let mut allowances = RetryDetector::default();
    for new in [13_000, 14_000, 12_000, 13_500] {
        assert!(!allowances.is_retry(now, &route, Duration::from_millis(new)));
    }
    let left = Duration::from_millis(10_900);
    assert!(allowances.is_retry(now, &route, left));
    assert!(!allowances.is_retry(now, &Arc::from("other"), left));
}

/// Callers' programs are released with shorter deadlines. After a while nobody is taken for late any more.
#[test]
fn shorter_deadlines_are_learned() {
    let (now, route) = (Instant::now(), Arc::from("r"));
    let mut allowances = RetryDetector::default();
    allowances.is_retry(now, &route, Duration::from_secs(14));
    let shorter = Duration::from_secs(5);
    assert!(allowances.is_retry(now, &route, shorter));
    for minute in 1..=2 {
        allowances.is_retry(now + Duration::from_mins(minute), &route, shorter);
    }
    assert!(!allowances.is_retry(now + Duration::from_mins(2), &route, shorter));
}
