//! The time that callers' connections may be idle.

use std::time::{Duration, Instant};

use teaselshunt_routing::IdleLimit;

const NOTICE: Duration = Duration::from_secs(2);

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against connections that are closed while their callers still rely on a longer time, also where several versions
/// follow each other within that time.
#[test]
fn a_shorter_time_holds_after_callers_know_it() {
    let start = Instant::now();
    let mut limit = IdleLimit::new(secs(15));
    let mut at = |after, configured| limit.update(start + secs(after), secs(configured), NOTICE);
    assert_eq!(at(0, 5), secs(15));
    assert_eq!(at(1, 5), secs(15));
    assert_eq!(at(1, 3), secs(15));
    assert_eq!(at(2, 3), secs(15));
    assert_eq!(at(3, 3), secs(3));
}

/// Guards against a longer time that holds too late.
#[test]
fn a_longer_time_holds_at_once() {
    let start = Instant::now();
    let mut limit = IdleLimit::new(secs(5));
    assert_eq!(limit.update(start, secs(15), NOTICE), secs(15));
    assert_eq!(limit.update(start, secs(4), NOTICE), secs(15));
    assert_eq!(limit.update(start + secs(1), secs(20), NOTICE), secs(20));
    assert_eq!(limit.update(start + secs(9), secs(20), NOTICE), secs(20));
}
