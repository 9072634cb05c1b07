//! Who waits for room, how long, and when a refused caller comes back.
//!
//! The pattern: a burst of four to five seconds at nearly twice what engines hold. The route is that of a small site: first
//! event within 0.9 s, callers leave after 3.6 s without one, and have 14 s in all.

use std::sync::Arc;
use std::time::{Duration, Instant};

use teaselshunt_routing::{Repeat, Route, WaitPolicy, retry_delay};

const BURST: Duration = Duration::from_secs(4);
const CALLER: Duration = Duration::from_secs(14);

fn route() -> Route {
    Route {
        name: Arc::from("summaries"),
        host: "x.example".to_owned(),
        prefix: "/".to_owned(),
        repeat: Repeat::Stream { resumable: true },
        timeout: CALLER,
        goal: Duration::from_millis(900),
        gap: Some(Duration::from_millis(300)),
        attempts: 2,
        priority: 1,
        public: false,
        targets: vec![(Arc::from("model"), 1)],
    }
}

/// A caller that finds no room must be refused while its instance still can do something for others: a wait beyond its aim
/// would make it late for certain, and take room from callers who are not. One that comes back is late already and may
/// wait longer, but it leaves the last room to the others and does not lengthen their queue of prompts.
#[test]
fn callers_who_can_be_on_time_go_first() {
    let (now, route) = (Instant::now(), route());
    let new = WaitPolicy::for_arrival(now, now + CALLER, &route, false);
    let back = WaitPolicy::for_arrival(now, now + CALLER, &route, true);
    assert!(new.until < now + route.goal, "a prefill still fits behind the wait");
    assert!(
        back.until > new.until && back.until < now + route.abandon_timeout(),
        "it still hears the answer"
    );
    assert_eq!((new.headroom(4_000), back.headroom(4_000)), (0, 4_000));
    assert!(back.prefill_limit(&route) < new.prefill_limit(&route));
}

/// All callers that are refused in a burst come back. Within the burst they would be refused again.
#[test]
fn a_refused_caller_comes_back_after_the_burst() {
    // What is left after a search for room.
    let left = Duration::from_millis(13_300);
    assert!(retry_delay(left).mul_f64(1.25) > BURST, "spread by a quarter, some come after it");
    assert!(retry_delay(left) < left / 3, "callers wait a third of their time at most");
    assert!(retry_delay(Duration::from_mins(2)) <= BURST, "a patient caller is not kept away for longer");
}

/// A search never outlasts the caller's time, whoever it is for.
#[test]
fn a_search_ends_with_the_callers_time() {
    let (now, route) = (Instant::now(), route());
    let until = now + Duration::from_millis(100);
    for returns in [false, true] {
        assert_eq!(WaitPolicy::for_arrival(now, until, &route, returns).until, until);
    }
    assert_eq!(WaitPolicy::for_resume(now, until).until, until);
    assert!(!WaitPolicy::for_resume(now, until).late, "its caller has seen a part already");
}
