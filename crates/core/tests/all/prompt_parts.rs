//! Parts of prompts under which endpoints crash: which parts are refused, from when, and for how long.
//!
//! The pattern is a service with a first part that all prompts share, middle parts that some share, and one part under which each
//! endpoint crashes when it begins to answer. The limits follow from the goal: after the fifth crash and the time in which all
//! instances must know, at most three requests with the part reach endpoints, and sound requests go on.

mod fleet;

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use teaselshunt_core::{
    EndpointIncarnation, PartChange, PartDecision, PartQuarantine, PartRefusal, PromptPart,
};

const FIRST: PromptPart = PromptPart(1);
const BAD: PromptPart = PromptPart(2);
const OTHER_BAD: PromptPart = PromptPart(3);
const SELDOM: PromptPart = PromptPart(4);
/// How long a verdict lasts without requests, and how long what it rests on is remembered.
const QUIET_PERIOD: Duration = Duration::from_mins(10);
const MEMORY_PERIOD: Duration = Duration::from_hours(1);
/// A time after which all evidence so far has settled.
const SETTLED: Duration = Duration::from_secs(1);

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// A quarantine with a clock of its own that crashes and starts are reported to.
struct Site {
    quarantine: PartQuarantine,
    now: Instant,
    endpoint: u64,
    request: u64,
}

impl Site {
    fn new() -> Self {
        // The clock must be able to go back by what the tests need.
        let now = Instant::now() + MEMORY_PERIOD * 4;
        Self { quarantine: PartQuarantine::default(), now, endpoint: 0, request: 0 }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        self.quarantine.expire(self.now);
    }

    /// One more endpoint crashes under a request with these parts.
    fn crash(&mut self, parts: &[PromptPart]) {
        self.endpoint += 1;
        self.quarantine.observe_crash(self.now, EndpointIncarnation(self.endpoint), self.now, parts);
    }

    fn start(&mut self, parts: &[PromptPart]) {
        self.request += 1;
        self.quarantine.observe_start(self.now, &format!("r-{}", self.request), parts);
    }

    fn refuses(&self, parts: &[PromptPart]) -> bool {
        self.quarantine.refusal(self.now, parts).is_some()
    }

    /// Crashes under these parts, each `gap` after the one before, until requests with them are refused. Returns how many.
    fn crashes_until_refused(&mut self, parts: &[PromptPart], gap: Duration) -> usize {
        for count in 0..20 {
            if self.refuses(parts) {
                return count;
            }
            self.crash(parts);
            self.wait(gap);
        }
        panic!("{parts:?} are never refused");
    }
}

/// Guards against more crashes than three of which each could be the last, and against refusals for a part that is shared.
#[test]
fn three_crashes_put_a_part_in_quarantine_and_no_other() {
    let mut site = Site::new();
    assert_eq!(site.crashes_until_refused(&[FIRST, BAD], seconds(0.4)), 3);
    site.start(&[FIRST]);
    assert!(!site.refuses(&[FIRST, SELDOM]), "the first part is sound");
    assert!(site.refuses(&[FIRST, BAD, SELDOM]), "whatever else the request holds");
}

/// Guards against a verdict on parts that were present when several endpoints ended at once, as with their host.
#[test]
fn endpoints_that_end_together_put_no_part_in_quarantine() {
    let mut site = Site::new();
    for _ in 0..8 {
        site.crash(&[FIRST, SELDOM]);
    }
    assert!(!site.refuses(&[FIRST, SELDOM]), "the evidence has not settled");
    for _ in 0..3 {
        site.wait(seconds(0.1));
        site.start(&[FIRST, SELDOM]);
    }
    site.wait(SETTLED);
    assert!(!site.refuses(&[FIRST, SELDOM]));
}

/// The same where endpoints end one after the other and sound requests go on meanwhile.
#[test]
fn endpoints_that_end_one_after_the_other_put_no_part_in_quarantine() {
    let mut site = Site::new();
    for _ in 0..20 {
        site.crash(&[FIRST, SELDOM]);
        site.wait(seconds(0.5));
        site.start(&[FIRST, SELDOM]);
        site.wait(seconds(0.5));
        assert!(!site.refuses(&[FIRST, SELDOM]));
    }
}

/// Guards against a crash that counts for one part only: two parts that crash endpoints at the same time are both found, and what
/// they share is not.
#[test]
fn two_parts_that_crash_endpoints_are_both_found() {
    let mut site = Site::new();
    site.quarantine.set_tester(true);
    let mut refused = 0;
    for _ in 0..4 {
        for bad in [BAD, OTHER_BAD] {
            match site.quarantine.decide_request(site.now, &[FIRST, bad]) {
                PartDecision::Refused(_) => {}
                PartDecision::Allowed | PartDecision::Test => site.crash(&[FIRST, bad]),
            }
            site.wait(seconds(0.3));
            match site.quarantine.decide_request(site.now, &[FIRST, SELDOM]) {
                PartDecision::Refused(_) => refused += 1,
                PartDecision::Allowed | PartDecision::Test => site.start(&[FIRST, SELDOM]),
            }
        }
    }
    assert!(site.refuses(&[FIRST, BAD]) && site.refuses(&[FIRST, OTHER_BAD]));
    assert!(!site.refuses(&[FIRST, SELDOM]), "what both share is explained by them");
    assert_eq!(refused, 0, "sound requests go on");
}

/// The same where nothing sound is sent before both have crashed endpoints, so that what they share looks like the cause.
#[test]
fn a_part_that_several_causes_share_is_tested_at_once() {
    let mut site = Site::new();
    site.quarantine.set_tester(true);
    for bad in [BAD, OTHER_BAD, BAD] {
        site.crash(&[FIRST, bad]);
        site.wait(seconds(0.3));
    }
    assert!(site.refuses(&[FIRST, SELDOM]), "three crashes have it in common");
    assert_eq!(site.quarantine.decide_request(site.now, &[FIRST, SELDOM]), PartDecision::Test);
    site.start(&[FIRST, SELDOM]);
    assert!(!site.refuses(&[FIRST, SELDOM]));
}

/// Guards against refusals for a sound part that always comes with one that crashes endpoints, and seldom without.
#[test]
fn a_sound_part_that_comes_with_a_bad_one_is_not_refused() {
    let mut site = Site::new();
    assert_eq!(site.crashes_until_refused(&[FIRST, BAD, SELDOM], seconds(0.4)), 3);
    assert!(
        !site.refuses(&[FIRST, SELDOM]),
        "nothing tells the parts apart, so that only requests with all are refused"
    );
    site.start(&[FIRST, SELDOM]);
    assert!(site.refuses(&[FIRST, BAD]), "the start shows which it is");
}

/// Guards against a part that stays in use because it was sound before.
#[test]
fn a_part_that_was_sound_is_found_by_the_fifth_crash() {
    let mut site = Site::new();
    for _ in 0..200 {
        site.start(&[FIRST, BAD]);
        site.wait(seconds(0.5));
    }
    let mut crashes = 0;
    while !site.refuses(&[FIRST, BAD]) {
        site.crash(&[FIRST, BAD]);
        crashes += 1;
        site.wait(seconds(0.2));
        site.start(&[FIRST]);
        site.wait(seconds(0.2));
        assert!(crashes <= 5, "{crashes} crashes");
    }
    assert!(!site.refuses(&[FIRST]));
}

/// Guards against a part that stays in use because a request with it starts now and then.
#[test]
fn a_part_that_crashes_nearly_always_is_found_and_stays_refused() {
    let mut site = Site::new();
    for count in 1..=12 {
        if count == 4 {
            site.start(&[FIRST, BAD]);
        } else {
            site.crash(&[FIRST, BAD]);
        }
        site.wait(seconds(0.3));
        site.start(&[FIRST]);
    }
    assert!(site.refuses(&[FIRST, BAD]));
    site.start(&[FIRST, BAD]);
    assert!(site.refuses(&[FIRST, BAD]), "one start after many crashes clears nothing");
}

/// Guards against parts that are passed over because of their place: the first one, or one of many.
#[test]
fn the_place_of_a_part_does_not_matter() {
    let mut site = Site::new();
    let others: Vec<_> = (10..16).map(PromptPart).collect();
    for round in 0..3 {
        // Each of the six middle parts comes in some requests, and with sound ones.
        let mut parts = vec![BAD];
        parts.extend(others.iter().skip(round).step_by(2));
        site.crash(&parts);
        site.wait(seconds(0.4));
    }
    assert!(site.refuses(&[BAD]), "the first part is the cause");
    let mut site = Site::new();
    for _ in 0..3 {
        let parts: Vec<_> = [FIRST].into_iter().chain(others.clone()).chain([BAD]).collect();
        site.crash(&parts);
        site.wait(seconds(0.4));
        for &other in &others {
            site.start(&[FIRST, other]);
        }
    }
    assert!(site.refuses(&[FIRST, BAD]));
    assert!(others.iter().all(|&other| !site.refuses(&[FIRST, other])));
}

/// Guards against requests without the part in quarantine that are refused, and against those with it that are let pass, whatever the
/// order of parts.
#[test]
fn a_refusal_needs_all_parts_of_a_verdict() {
    let mut site = Site::new();
    site.crashes_until_refused(&[FIRST, BAD], seconds(0.4));
    assert!(site.refuses(&[BAD, FIRST]));
    assert!(!site.refuses(&[BAD]) && !site.refuses(&[FIRST]) && !site.refuses(&[]));
    site.crash(&[BAD, SELDOM]);
    site.wait(SETTLED);
    assert!(site.refuses(&[BAD]), "a crash without the first part narrows the verdict");
}

/// Guards against a verdict that ends while requests with the part go on, and against one that never ends.
#[test]
fn a_verdict_lasts_while_requests_are_refused_by_it() {
    let mut site = Site::new();
    site.crashes_until_refused(&[FIRST, BAD], seconds(0.4));
    for _ in 0..40 {
        site.wait(Duration::from_mins(1));
        let decision = site.quarantine.decide_request(site.now, &[FIRST, BAD]);
        assert!(matches!(decision, PartDecision::Refused(_)), "{decision:?}");
    }
    site.wait(QUIET_PERIOD);
    assert!(!site.refuses(&[FIRST, BAD]));
    site.crash(&[FIRST, BAD]);
    site.wait(SETTLED);
    assert!(site.refuses(&[FIRST, BAD]), "one crash renews it");
    site.wait(MEMORY_PERIOD);
    site.wait(MEMORY_PERIOD);
    assert_eq!(site.quarantine.suspected_count(), 0, "it is forgotten in the end");
}

/// Guards against a wrong verdict that refuses whatever could clear it.
#[test]
fn a_wrong_verdict_ends_by_a_test() {
    let mut site = Site::new();
    site.quarantine.set_tester(true);
    site.crashes_until_refused(&[FIRST], seconds(0.4));
    let PartDecision::Refused(PartRefusal { delay, .. }) = site.quarantine.decide_request(site.now, &[FIRST])
    else {
        panic!("it is too early for a test");
    };
    site.wait(delay);
    assert_eq!(site.quarantine.decide_request(site.now, &[FIRST]), PartDecision::Test);
    let second = site.quarantine.decide_request(site.now, &[FIRST]);
    assert!(matches!(second, PartDecision::Refused(_)), "one request at a time");
    site.start(&[FIRST]);
    assert!(!site.refuses(&[FIRST]));
    let changes = site.quarantine.take_changes();
    assert!(matches!(changes.last(), Some(PartChange::Ended(parts)) if parts == &[FIRST]), "{changes:?}");
}

/// Guards against tests that crash endpoint after endpoint: each failed one doubles the time until the next, and two are made in
/// six minutes.
#[test]
fn tests_of_a_right_verdict_become_rare() {
    let mut site = Site::new();
    site.quarantine.set_tester(true);
    site.crashes_until_refused(&[BAD], seconds(0.4));
    let mut tests = 0;
    for _ in 0..360 {
        site.wait(seconds(1.0));
        if site.quarantine.decide_request(site.now, &[BAD]) == PartDecision::Test {
            tests += 1;
            site.crash(&[BAD]);
        }
    }
    assert_eq!(tests, 2);
    assert!(site.refuses(&[BAD]));
}

/// Guards against tests by every instance.
#[test]
fn an_instance_that_is_not_the_tester_tests_nothing() {
    let mut site = Site::new();
    site.crashes_until_refused(&[BAD], seconds(0.4));
    for _ in 0..100 {
        site.wait(seconds(10.0));
        let decision = site.quarantine.decide_request(site.now, &[BAD]);
        assert!(matches!(decision, PartDecision::Refused(_)), "{decision:?}");
    }
}

/// Guards against an instance that starts, or comes back from a partition, and is told nothing because nothing is new.
#[test]
fn a_reminder_tells_what_verdicts_rest_on() {
    let mut site = Site::new();
    site.crashes_until_refused(&[FIRST, BAD], seconds(0.4));
    for _ in 0..5 {
        site.wait(seconds(60.0));
        let _ = site.quarantine.decide_request(site.now, &[FIRST, BAD]);
    }
    assert!(site.quarantine.update(site.now, false).is_empty(), "there is no recent change");
    let mut newcomer = PartQuarantine::default();
    newcomer.merge(site.now, site.now, &site.quarantine.update(site.now, true));
    newcomer.expire(site.now + SETTLED);
    assert!(newcomer.refusal(site.now + SETTLED, &[FIRST, BAD]).is_some());
}

/// Guards against memory that grows with the number of parts that callers invent.
#[test]
fn memory_is_bounded_under_many_parts() {
    let mut site = Site::new();
    site.crashes_until_refused(&[FIRST, BAD], seconds(0.4));
    for number in 0..10_000 {
        let parts = [PromptPart(1_000_000 + number), PromptPart(2_000_000 + number)];
        site.start(&parts);
        site.crash(&parts);
        site.now += Duration::from_millis(1);
    }
    assert!(site.quarantine.suspected_count() <= 4096);
    assert!(site.refuses(&[FIRST, BAD]), "what is refused is not removed for others");
}

/// Guards against verdicts that depend on the order in which marks arrive: a start that took back the only crash an instance knew
/// made it forget when the evidence had begun.
#[test]
fn a_start_between_reports_does_not_change_when_evidence_settles() {
    let now = Instant::now() + MEMORY_PERIOD;
    let at = |millis| now + Duration::from_millis(millis);
    let mut all_crashes_first = PartQuarantine::default();
    let mut start_first = PartQuarantine::default();
    let crash = |quarantine: &mut PartQuarantine, number: u64| {
        quarantine.observe_crash(at(10 * number), EndpointIncarnation(number), at(10 * number), &[BAD]);
    };
    (0..4).for_each(|number| crash(&mut all_crashes_first, number));
    all_crashes_first.observe_start(at(500), "r-1", &[BAD]);
    crash(&mut start_first, 0);
    start_first.observe_start(at(500), "r-1", &[BAD]);
    (1..4).for_each(|number| crash(&mut start_first, number));
    for quarantine in [&mut all_crashes_first, &mut start_first] {
        quarantine.expire(at(500) + SETTLED);
        assert!(quarantine.refusal(at(500) + SETTLED, &[BAD]).is_some());
    }
}

quickcheck! {
    /// Guards against decisions that depend on the order, the repetition or the loss of reports: whoever knows the same decides
    /// alike.
    fn instances_with_the_same_evidence_decide_alike(crashes: Vec<(u8, u8)>, starts: Vec<(u8, u8)>) -> bool {
        let now = Instant::now() + MEMORY_PERIOD;
        let mut whole = PartQuarantine::default();
        let mut halves = [PartQuarantine::default(), PartQuarantine::default()];
        for (index, &(endpoint, part)) in crashes.iter().take(8).enumerate() {
            let at = now + Duration::from_millis(u64::from(endpoint) * 10);
            let parts = [PromptPart(u64::from(part % 4))];
            for quarantine in [&mut whole, &mut halves[index % 2]] {
                quarantine.observe_crash(at, EndpointIncarnation(endpoint.into()), at, &parts);
            }
        }
        for (index, &(request, part)) in starts.iter().take(3).enumerate() {
            let at = now + Duration::from_millis(u64::from(request) * 10);
            let parts = [PromptPart(u64::from(part % 4))];
            for quarantine in [&mut whole, &mut halves[index % 2]] {
                quarantine.observe_start(at, &format!("r-{index}"), &parts);
            }
        }
        // What is observed is reported for a while only.
        let end = now + Duration::from_millis(2_600);
        let [first, second] = &mut halves;
        for _ in 0..2 {
            first.merge(end, now, &second.update(end, true));
            second.merge(end, now, &first.update(end, true));
        }
        for quarantine in [&mut *first, second] {
            quarantine.expire(end + SETTLED);
        }
        let refused = |q: &PartQuarantine, part| q.refusal(end + SETTLED, &[PromptPart(part)]).is_some();
        (0..4).all(|part| refused(first, part) == refused(second, part))
    }
}
