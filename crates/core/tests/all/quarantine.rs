//! Requests under which endpoints crash: who is accused, who is not, for how long, and what peers are told.
//!
//! The pattern is a caller who sends the same request again every second or so, under new ids and at any instance. Limits come
//! from the aim: three endpoints may crash before anybody can know, and none after it was told.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use teaselshunt_core::{Crash, CrashUpdate, EndpointIncarnation, Fingerprint, Quarantine};

const BAD: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);
/// How long crashes are remembered.
const MEMORY: Duration = Duration::from_mins(10);

fn crash(request: Fingerprint, endpoint: u32, at: Instant) -> Crash {
    Crash { request, endpoint: EndpointIncarnation(u64::from(endpoint)), at }
}

fn before(now: Instant, seconds: u64) -> Instant {
    now.checked_sub(Duration::from_secs(seconds)).expect("tests begin late enough")
}

/// An instance that saw endpoints 1 to `count` crash under [`BAD`], a second apart, the last one now.
fn seen(count: u32, now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for endpoint in 1..=count {
        let at = before(now, u64::from(count - endpoint));
        quarantine.observe_crash(at, crash(BAD, endpoint, at));
    }
    quarantine
}

fn hear(quarantine: &mut Quarantine, now: Instant, news: &CrashUpdate) {
    for &request in &news.served {
        quarantine.merge_success(now, request);
    }
    for &crash in &news.crashes {
        quarantine.merge_crash(now, crash);
    }
}

fn is_in(quarantine: &Quarantine, now: Instant, request: Fingerprint) -> bool {
    quarantine.until(now, request).is_some()
}

#[test]
fn the_third_endpoint_puts_a_request_in_quarantine() {
    let now = Instant::now() + MEMORY;
    assert!(!is_in(&seen(2, now), now, BAD));
    let mut quarantine = seen(2, now);
    assert!(!quarantine.observe_crash(now, crash(BAD, 2, now)), "the same start of an endpoint crashes once");
    assert!(quarantine.observe_crash(now, crash(BAD, 3, now)));
    assert!(is_in(&quarantine, now, BAD));
    assert!(!is_in(&quarantine, now, OTHER));
}

/// Three instances see one crash each. None of them alone has a reason to refuse the request; what they tell one another
/// is one, at each of them.
#[test]
fn instances_that_saw_one_crash_each_know_it_together() {
    let now = Instant::now() + MEMORY;
    let mut instances: Vec<Quarantine> = (1..=3)
        .map(|endpoint| {
            let mut quarantine = Quarantine::default();
            quarantine.observe_crash(now, crash(BAD, endpoint, now));
            quarantine
        })
        .collect();
    let tellings: Vec<CrashUpdate> = instances.iter().map(|i| i.update(now, false)).collect();
    for instance in &mut instances {
        for news in &tellings {
            hear(instance, now, news);
        }
    }
    assert!(instances.iter().all(|i| is_in(i, now, BAD)));
}

/// An instance sees a crash, and a moment later it is told of another one by a peer. Its own is still told: a datagram that
/// was lost in this moment is made good by the next one.
#[test]
fn a_crash_is_told_on_after_a_peer_has_told_another() {
    let now = Instant::now() + MEMORY;
    let mut quarantine = seen(1, now);
    quarantine.merge_crash(now, crash(BAD, 9, now));
    let later = now + Duration::from_secs(1);
    let told = quarantine.update(later, false).crashes;
    assert!(told.iter().any(|c| c.endpoint == EndpointIncarnation(1)), "{told:?}");
    let over = now + Duration::from_secs(5);
    assert!(quarantine.update(over, false).crashes.is_empty(), "everybody knows it by then");
}

/// An instance starts again while callers go on sending a request that is in quarantine. It is told at once, by any peer,
/// also by one that saw none of the crashes, and need not lose three endpoints to find out.
#[test]
fn an_instance_that_starts_is_told_what_is_in_quarantine() {
    let now = Instant::now() + MEMORY;
    let mut peer = Quarantine::default();
    hear(&mut peer, now, &seen(3, now).update(now, false));
    let later = now + Duration::from_mins(2);
    assert!(peer.update(later, false).crashes.is_empty(), "nothing is new");
    let mut fresh = Quarantine::default();
    hear(&mut fresh, later, &peer.update(later, true));
    assert!(is_in(&fresh, later, BAD));
}

/// What many callers ask for is in progress at every endpoint that goes down. It was answered a moment before, or is answered
/// by the endpoints that are left: no crash speaks against it, and nobody is refused what is served all the time.
#[test]
fn a_request_that_is_answered_is_innocent() {
    let now = Instant::now() + MEMORY;
    let mut quarantine = Quarantine::default();
    quarantine.observe_success(before(now, 20), BAD);
    for endpoint in 1..=9 {
        quarantine.observe_crash(now, crash(BAD, endpoint, now));
    }
    assert!(!is_in(&quarantine, now, BAD), "it was answered before");
    let mut quarantine = seen(3, now);
    quarantine.observe_success(now, BAD);
    assert!(!is_in(&quarantine, now, BAD), "it is answered after");
    let mut peer = seen(3, now);
    hear(&mut peer, now, &quarantine.update(now, false));
    assert!(!is_in(&peer, now, BAD), "it is answered elsewhere");
}

/// A stream runs beside the crashing request at three engines, taken up each time. It is not to blame: once the crashing one is
/// in quarantine, these crashes count against no other, whether they are noted before or after that.
#[test]
fn bystanders_are_not_accused() {
    let now = Instant::now() + MEMORY;
    let mut quarantine = Quarantine::default();
    for endpoint in 1..=3 {
        let first = if endpoint % 2 == 0 { [OTHER, BAD] } else { [BAD, OTHER] };
        for request in first {
            quarantine.observe_crash(now, crash(request, endpoint, now));
        }
    }
    assert!(is_in(&quarantine, now, BAD));
    assert!(!is_in(&quarantine, now, OTHER));
    quarantine.observe_crash(now, crash(OTHER, 4, now));
    quarantine.observe_crash(now, crash(OTHER, 5, now));
    assert!(!is_in(&quarantine, now, OTHER), "two crashes are its own");
}

/// A request was refused for the time that crashes are remembered. It is tried again then; if it was accused wrongly its caller
/// is served, and if not, one endpoint is lost and not three.
#[test]
fn quarantine_ends_and_one_more_crash_renews_it() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let mut quarantine = seen(3, now);
    let end = quarantine.until(now, BAD).expect("it is in quarantine");
    assert_eq!(end, start + MEMORY, "no more than three in this time");
    quarantine.expire(end);
    assert!(!is_in(&quarantine, end, BAD));
    quarantine.observe_crash(end, crash(BAD, 4, end));
    assert!(is_in(&quarantine, end, BAD));
}

/// Hundreds of endpoints crash under thousands of requests. What is remembered and told stays within bounds, and a request
/// that crashes endpoints is still found.
#[test]
fn many_crashes_fit_in_memory_and_datagrams() {
    let now = Instant::now() + MEMORY;
    let mut quarantine = Quarantine::default();
    for request in 0..6_000 {
        quarantine.observe_crash(now, crash(Fingerprint(1_000 + request), request as u32 % 300, now));
        quarantine.observe_success(now, Fingerprint(100_000 + request));
    }
    for endpoint in 1_000..1_003 {
        quarantine.observe_crash(now, crash(BAD, endpoint, now));
    }
    assert!(is_in(&quarantine, now, BAD));
    let news = quarantine.update(now, true);
    assert!(news.crashes.len() <= 64 && news.served.len() <= 64);
}

quickcheck! {
    /// Whatever happens in whatever order: a request that was present at fewer than three crashes is sent on, and so is one
    /// that was answered last.
    fn nobody_is_accused_without_three_crashes(steps: Vec<(u8, u8, bool)>) -> bool {
        let now = Instant::now() + MEMORY;
        let mut quarantine = Quarantine::default();
        let mut present = [0_u32; 4];
        for (step, (request, endpoint, answered)) in steps.into_iter().enumerate() {
            let at = now + Duration::from_millis(step as u64);
            let index = usize::from(request % 4);
            let fingerprint = Fingerprint(index as u64);
            if answered {
                quarantine.observe_success(at, fingerprint);
                present[index] = 0;
            } else {
                quarantine.observe_crash(at, crash(fingerprint, u32::from(endpoint % 16), at));
                present[index] += 1;
            }
            let accused = |i: usize| is_in(&quarantine, at, Fingerprint(i as u64));
            if (0..4).any(|i| accused(i) && present[i] < 3) {
                return false;
            }
        }
        true
    }
}

#[test]
fn a_fingerprint_tells_requests_apart() {
    let one = Fingerprint::of("a team", "POST", "a.example", "/x/1", b"body");
    assert_eq!(one, Fingerprint::of("a team", "POST", "a.example", "/x/1", b"body"));
    for other in [
        Fingerprint::of("another", "POST", "a.example", "/x/1", b"body"),
        Fingerprint::of("a team", "GET", "a.example", "/x/1", b"body"),
        Fingerprint::of("a team", "POST", "b.example", "/x/1", b"body"),
        Fingerprint::of("a team", "POST", "a.example", "/x/2", b"body"),
        Fingerprint::of("a team", "POST", "a.example", "/x/1", b"other"),
        Fingerprint::of("a team", "POST", "a.example", "/x/1b", b"ody"),
    ] {
        assert_ne!(one, other);
    }
}
