//! Cost of the quarantine of prompt parts while its memory is full: callers of other instances send ever new parts under which
//! endpoints crash, and peers report them.

use std::time::{Duration, Instant};

use teaselshunt_core::{EndpointIncarnation, PartDecision, PartQuarantine, PartReport, PromptPart};

use super::{OperationCost, REQUESTS};

/// Parts of a prompt, but for the last one.
const PROMPT_PARTS: u64 = 8;
/// Parts under which endpoints crashed: more than are kept.
const SUSPECTED: u64 = 10_000;
/// Time between two of these crashes.
const CRASH_GAP: Duration = Duration::from_millis(1);
/// Crashes under the part that is refused.
const CRASHES: u64 = 5;
const BAD: PromptPart = PromptPart(0);
/// Fraction of the reports of peers that have evidence while a verdict lasts.
const REMINDERS: f64 = 0.25;
/// Crashes in a second.
const CRASH_RATE: f64 = 1.0;

/// The parts of a prompt that no other one has.
fn prompt(number: u64) -> Vec<PromptPart> {
    (1..=PROMPT_PARTS).map(|part| PromptPart(number * PROMPT_PARTS + part)).collect()
}

/// A quarantine that refuses [`BAD`] and keeps as many suspected parts as it may, and the time at its end.
fn full_quarantine() -> (PartQuarantine, Instant) {
    let (mut quarantine, mut now) = (PartQuarantine::default(), Instant::now());
    for endpoint in 0..CRASHES {
        quarantine.observe_crash(now, EndpointIncarnation(endpoint), now, &[BAD]);
        now += Duration::from_millis(300);
    }
    for number in 0..SUSPECTED / PROMPT_PARTS {
        now += CRASH_GAP;
        let crashes = vec![(EndpointIncarnation(CRASHES + number), 0)];
        let report = |part| PartReport { part, crashes: crashes.clone(), starts: Vec::new(), refused: None };
        let reports: Vec<_> = prompt(number).into_iter().map(report).collect();
        quarantine.merge(now, now, &reports);
    }
    quarantine.expire(now);
    (quarantine, now)
}

/// Measures what requests, crashes and reports of peers cost.
pub(super) fn measure(rounds: f64, datagrams: f64) -> Vec<OperationCost> {
    let (mut quarantine, now) = full_quarantine();
    let sound = prompt(SUSPECTED);
    let reports = quarantine.update(now, true);
    let mut number = SUSPECTED;
    vec![
        OperationCost::measure("prompt parts, request", REQUESTS, |_| {
            assert_eq!(quarantine.decide_request(now, &sound), PartDecision::Allowed);
        }),
        OperationCost::measure("prompt parts, start", REQUESTS, |count| {
            quarantine.observe_start(now, &count.to_string(), &sound);
        }),
        OperationCost::measure("prompt parts, reports to send", rounds, |_| {
            assert!(!quarantine.update(now, true).is_empty(), "the verdict is repeated");
        }),
        OperationCost::measure("prompt parts, reports of a peer", datagrams * REMINDERS, |_| {
            quarantine.merge(now, now, &reports);
        }),
        OperationCost::measure("prompt parts, crash", CRASH_RATE, |_| {
            number += 1;
            let endpoint = EndpointIncarnation(CRASHES + number);
            quarantine.observe_crash(now, endpoint, now, &prompt(number));
        }),
        OperationCost::measure("prompt parts, expiry", rounds, |_| quarantine.expire(now)),
    ]
}
