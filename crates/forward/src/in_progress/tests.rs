//! When a request in progress is reported as overdue.

use std::time::{Duration, Instant};

use super::{OVERDUE_LOOKS, Overdue};

/// Guards against a request that never ends and is not seen, or that is reported again and again.
#[test]
fn a_request_that_does_not_end_is_reported_once() {
    let (overdue, start) = (Overdue::default(), Instant::now());
    let end = start + Duration::from_secs(1);
    let look = |at: u32| overdue.look(start + Duration::from_millis(100) * at);
    assert!((0..50).all(|at| look(at).is_none()), "it has not been read");
    overdue.set_end(end);
    let reports = (0..1_000).filter_map(look).collect::<Vec<_>>();
    assert_eq!(reports, [Duration::from_millis(100) * (OVERDUE_LOOKS - 1)]);
}

/// Guards against requests that are reported because the process was frozen beyond their deadlines, before it could end them.
#[test]
fn a_request_is_not_reported_at_the_end_of_a_freeze() {
    let (overdue, start) = (Overdue::default(), Instant::now());
    overdue.set_end(start);
    for freeze in 1..OVERDUE_LOOKS {
        assert_eq!(overdue.look(start + Duration::from_mins(1) * freeze), None);
    }
}
