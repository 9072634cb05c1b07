//! Requests under which endpoints crash: to which requests crashes are attributed, for how long, and what is
//! reported to peers.
//!
//! The pattern is a caller that sends the same request about every second, under new ids and through any
//! instance. The limits follow from the goal: three endpoints may crash before an instance can detect the
//! cause, and none after the instance has received a report of it from a peer.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use teaselshunt_core::{Crash, CrashUpdate, EndpointIncarnation, Fingerprint, Quarantine, UpdateScope};

const BAD: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);
/// How long crashes are recorded.
const CRASH_RETENTION: Duration = Duration::from_mins(10);

fn crash(request: Fingerprint, endpoint: u32, at: Instant) -> Crash {
    Crash { request, endpoint: EndpointIncarnation(u64::from(endpoint)), at }
}

fn before(now: Instant, seconds: u64) -> Instant {
    now.checked_sub(Duration::from_secs(seconds)).expect("the clock is late enough")
}

/// An instance that observed crashes of endpoints 1 to `count` under [`BAD`], one second apart, the last one
/// now.
fn observed(count: u32, now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for endpoint in 1..=count {
        let at = before(now, u64::from(count - endpoint));
        quarantine.observe_crash(at, crash(BAD, endpoint, at));
    }
    quarantine
}

fn merge(quarantine: &mut Quarantine, now: Instant, update: &CrashUpdate) {
    for &request in &update.served {
        quarantine.merge_success(now, request);
    }
    for &crash in &update.crashes {
        quarantine.merge_crash(now, crash);
    }
}

fn is_quarantined(quarantine: &Quarantine, now: Instant, request: Fingerprint) -> bool {
    quarantine.until(now, request).is_some()
}

#[test]
fn the_third_endpoint_puts_a_request_in_quarantine() {
    let now = Instant::now() + CRASH_RETENTION;
    assert!(!is_quarantined(&observed(2, now), now, BAD));
    let mut quarantine = observed(2, now);
    assert!(!quarantine.observe_crash(now, crash(BAD, 2, now)), "an incarnation of an endpoint crashes once");
    assert!(quarantine.observe_crash(now, crash(BAD, 3, now)));
    assert!(is_quarantined(&quarantine, now, BAD));
    assert!(!is_quarantined(&quarantine, now, OTHER));
}

/// Three instances observe one crash each, which is no reason to refuse the request at any of them. After
/// they exchange updates, each of them must refuse it.
#[test]
fn instances_combine_the_crashes_that_each_observed() {
    let now = Instant::now() + CRASH_RETENTION;
    let mut instances: Vec<Quarantine> = (1..=3)
        .map(|endpoint| {
            let mut quarantine = Quarantine::default();
            quarantine.observe_crash(now, crash(BAD, endpoint, now));
            quarantine
        })
        .collect();
    let updates: Vec<CrashUpdate> = instances.iter().map(|i| i.update(now, UpdateScope::Recent)).collect();
    for instance in &mut instances {
        for update in &updates {
            merge(instance, now, update);
        }
    }
    assert!(instances.iter().all(|i| is_quarantined(i, now, BAD)));
}

/// An instance observes a crash, and a moment later a peer reports another one. The instance must still send
/// its own crash, so that a lost datagram is followed by another one.
#[test]
fn an_observed_crash_is_sent_after_a_peer_reported_another() {
    let now = Instant::now() + CRASH_RETENTION;
    let mut quarantine = observed(1, now);
    quarantine.merge_crash(now, crash(BAD, 9, now));
    let later = now + Duration::from_secs(1);
    let sent = quarantine.update(later, UpdateScope::Recent).crashes;
    assert!(sent.iter().any(|c| c.endpoint == EndpointIncarnation(1)), "{sent:?}");
    let over = now + Duration::from_secs(5);
    assert!(
        quarantine.update(over, UpdateScope::Recent).crashes.is_empty(),
        "every peer has been sent the crash"
    );
}

/// An instance restarts while callers keep sending a request that is in quarantine. Any peer, including one
/// that observed none of the crashes, must report the quarantine at once, so that the instance does not lose
/// three endpoints first.
#[test]
fn a_new_instance_is_sent_all_quarantines() {
    let now = Instant::now() + CRASH_RETENTION;
    let mut peer = Quarantine::default();
    merge(&mut peer, now, &observed(3, now).update(now, UpdateScope::Recent));
    let later = now + Duration::from_mins(2);
    assert!(peer.update(later, UpdateScope::Recent).crashes.is_empty(), "there is no recent change");
    let mut newcomer = Quarantine::default();
    merge(&mut newcomer, later, &peer.update(later, UpdateScope::Newcomers));
    assert!(is_quarantined(&newcomer, later, BAD));
}

/// Guards against an instance that comes back from a partition, in which it heard of no crash, and loses three endpoints of its own
/// to a request that all others refuse.
#[test]
fn an_instance_that_comes_back_is_reminded_of_quarantines() {
    let now = Instant::now() + CRASH_RETENTION;
    let peer = observed(3, now);
    let later = now + Duration::from_secs(20);
    let mut returned = Quarantine::default();
    merge(&mut returned, later, &peer.update(later, UpdateScope::Reminder));
    assert!(is_quarantined(&returned, later, BAD));
    let mut cleared = Quarantine::default();
    cleared.observe_success(now + Duration::from_secs(1), BAD);
    for seconds in 1..600 {
        let at = now + Duration::from_secs(seconds);
        cleared.expire(at);
        merge(&mut cleared, at, &peer.update(at, UpdateScope::Reminder));
        assert!(!is_quarantined(&cleared, at, BAD), "a reminder does not undo a success, after {seconds} s");
    }
}

/// A request that many callers send is in progress at every endpoint that crashes. It was completed a moment
/// before, or is completed by the remaining endpoints. No crash may be attributed to it, and its callers must
/// not be refused.
#[test]
fn a_request_that_is_completed_is_cleared() {
    let now = Instant::now() + CRASH_RETENTION;
    let mut quarantine = Quarantine::default();
    quarantine.observe_success(before(now, 20), BAD);
    for endpoint in 1..=9 {
        quarantine.observe_crash(now, crash(BAD, endpoint, now));
    }
    assert!(!is_quarantined(&quarantine, now, BAD), "the request was completed before");
    let mut quarantine = observed(3, now);
    quarantine.observe_success(now, BAD);
    assert!(!is_quarantined(&quarantine, now, BAD), "the request is completed afterwards");
    let mut peer = observed(3, now);
    merge(&mut peer, now, &quarantine.update(now, UpdateScope::Recent));
    assert!(!is_quarantined(&peer, now, BAD), "the request is completed at another instance");
}

/// A stream runs beside the crashing request at three engines and is resumed each time. When the crashing
/// request is in quarantine, these crashes must not be attributed to any other request, whether they are
/// recorded before or after that.
#[test]
fn crashes_are_not_attributed_to_bystanders() {
    let now = Instant::now() + CRASH_RETENTION;
    let mut quarantine = Quarantine::default();
    for endpoint in 1..=3 {
        let first = if endpoint % 2 == 0 { [OTHER, BAD] } else { [BAD, OTHER] };
        for request in first {
            quarantine.observe_crash(now, crash(request, endpoint, now));
        }
    }
    assert!(is_quarantined(&quarantine, now, BAD));
    assert!(!is_quarantined(&quarantine, now, OTHER));
    quarantine.observe_crash(now, crash(OTHER, 4, now));
    quarantine.observe_crash(now, crash(OTHER, 5, now));
    assert!(!is_quarantined(&quarantine, now, OTHER), "only two crashes are attributed to the request");
}

/// A request was refused for as long as crashes are recorded, and is attempted again afterwards. If the
/// crashes were attributed wrongly, its caller is served; if not, one endpoint crashes and not three.
#[test]
fn quarantine_ends_and_one_more_crash_renews_it() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let mut quarantine = observed(3, now);
    let end = quarantine.until(now, BAD).expect("the request is in quarantine");
    assert_eq!(end, start + CRASH_RETENTION, "at most three crashes in this time");
    quarantine.expire(end);
    assert!(!is_quarantined(&quarantine, end, BAD));
    quarantine.observe_crash(end, crash(BAD, 4, end));
    assert!(is_quarantined(&quarantine, end, BAD));
}

/// Hundreds of endpoints crash under thousands of requests. Records and updates must stay bounded, and a
/// request that crashes endpoints must still be detected.
#[test]
fn records_and_updates_of_many_crashes_are_bounded() {
    let now = Instant::now() + CRASH_RETENTION;
    let mut quarantine = Quarantine::default();
    for request in 0..6_000 {
        quarantine.observe_crash(now, crash(Fingerprint(1_000 + request), request as u32 % 300, now));
        quarantine.observe_success(now, Fingerprint(100_000 + request));
    }
    for endpoint in 1_000..1_003 {
        quarantine.observe_crash(now, crash(BAD, endpoint, now));
    }
    assert!(is_quarantined(&quarantine, now, BAD));
    let news = quarantine.update(now, UpdateScope::Newcomers);
    assert!(news.crashes.len() <= 64 && news.served.len() <= 64);
}

quickcheck! {
    /// For any events in any order: a request that was present at fewer than three crashes is not in
    /// quarantine, and neither is one whose last event was a completion.
    fn no_request_is_quarantined_without_three_crashes(steps: Vec<(u8, u8, bool)>) -> bool {
        let now = Instant::now() + CRASH_RETENTION;
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
            let quarantined = |i: usize| is_quarantined(&quarantine, at, Fingerprint(i as u64));
            if (0..4).any(|i| quarantined(i) && present[i] < 3) {
                return false;
            }
        }
        true
    }
}

#[test]
fn a_fingerprint_distinguishes_requests() {
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
