//! How long requests wait for capacity, and when a refused caller retries.
//!
//! The scenario: a burst of four to five seconds at nearly twice the engines' capacity. The route is that of
//! a small site: the first event within 0.9 s, callers leave after 3.6 s without an event, and have 14 s in
//! all.

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

/// A new request that finds no capacity must be refused before its goal is missed: a longer wait would make
/// it late for certain, and take capacity from requests that can be on time. A retry is late already and may
/// wait longer, but it leaves the last capacity to the others and doesn't lengthen their queue of prompts.
#[test]
fn callers_who_can_be_on_time_go_first() {
    let (now, route) = (Instant::now(), route());
    let new = WaitPolicy::for_arrival(now, now + CALLER, &route, false);
    let retry = WaitPolicy::for_arrival(now, now + CALLER, &route, true);
    assert!(new.until < now + route.goal, "a prefill still fits behind the wait");
    assert!(
        retry.until > new.until && retry.until < now + route.abandon_timeout(),
        "it still gets the response"
    );
    assert_eq!((new.headroom(4_000), retry.headroom(4_000)), (0, 4_000));
    assert!(retry.prefill_limit(&route) < new.prefill_limit(&route));
}

/// Guards against a caller who is refused while the engine that was asked is silent, and against one who waits for that as if it could be
/// on time, or for longer than callers stay. A retry waits that long anyway.
#[test]
fn a_request_waits_longer_for_an_engine_that_has_not_answered() {
    let (now, route) = (Instant::now(), route());
    let new = WaitPolicy::for_arrival(now, now + CALLER, &route, false);
    let retry = WaitPolicy::for_arrival(now, now + CALLER, &route, true);
    let longer = new.after_silence(now, now + CALLER, &route).expect("there is time");
    assert!(
        longer.until > now + Duration::from_millis(1_250) && longer.until < now + route.abandon_timeout()
    );
    assert!(longer.late);
    assert!(longer.after_silence(now, now + CALLER, &route).is_none(), "only once");
    assert!(retry.after_silence(now, now + CALLER, &route).is_none());
    let soon = now + Duration::from_millis(100);
    let short = WaitPolicy::for_arrival(now, soon, &route, false);
    assert!(short.after_silence(now, soon, &route).is_none(), "the caller has no more time");
}

/// All callers that are refused in a burst retry. A retry within the burst would be refused again.
#[test]
fn a_refused_caller_retries_after_the_burst() {
    // The rest of the caller's time after a search for capacity.
    let left = Duration::from_millis(13_300);
    assert!(
        retry_delay(left).mul_f64(1.25) > BURST,
        "with a spread of a quarter, some retries come after it"
    );
    assert!(retry_delay(left) < left / 3, "callers wait a third of their time at most");
    assert!(retry_delay(Duration::from_mins(2)) <= BURST, "a caller with more time gets no longer delay");
}

/// A search never outlasts the caller's time, for a new request, a retry or a resumed stream.
#[test]
fn a_search_ends_with_the_callers_time() {
    let (now, route) = (Instant::now(), route());
    let until = now + Duration::from_millis(100);
    for is_retry in [false, true] {
        assert_eq!(WaitPolicy::for_arrival(now, until, &route, is_retry).until, until);
    }
    assert_eq!(WaitPolicy::for_resume(now, until).until, until);
    assert!(!WaitPolicy::for_resume(now, until).late, "its caller has received a part already");
}
