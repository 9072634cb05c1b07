//! Time that callers have spent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use teaselshunt_routing::Allowances;

/// In a burst callers are refused and come back beside new ones. Taken for new, those who are late already get half of
/// the room, and as many new callers, who could have been on time, are refused and are late in turn.
#[test]
fn callers_who_come_back_are_told_from_new_ones() {
    let (now, route) = (Instant::now(), Arc::from("r"));
    let mut allowances = Allowances::default();
    let whole = Duration::from_secs(14);
    assert_eq!(allowances.spent(now, &route, whole), Duration::ZERO);
    let left = Duration::from_secs(11);
    assert_eq!(allowances.spent(now, &route, left), Duration::from_secs(3));
    assert_eq!(allowances.spent(now, &Arc::from("other"), left), Duration::ZERO);
}

/// Callers' programs are released with shorter deadlines. After a while nobody is taken for late any more.
#[test]
fn shorter_deadlines_are_learned() {
    let (now, route) = (Instant::now(), Arc::from("r"));
    let mut allowances = Allowances::default();
    allowances.spent(now, &route, Duration::from_secs(14));
    let shorter = Duration::from_secs(5);
    for minute in 1..=2 {
        allowances.spent(now + Duration::from_mins(minute), &route, shorter);
    }
    assert_eq!(allowances.spent(now + Duration::from_mins(2), &route, shorter), Duration::ZERO);
}
