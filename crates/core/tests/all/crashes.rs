//! Requests under which engines crash, on the product's own interface.

use std::time::Duration;

use teaselshunt_core::{
    AttemptId, CrashReport, Effect, EndpointIncarnation, EngineLoad, ErrorKind, Event, Fingerprint,
    InstanceId, Message, Running, StepFailure, Target, Ticket,
};

use crate::support::{Alone, prefill};

const BAD: Fingerprint = Fingerprint(1_000_000);
const GOOD: Fingerprint = Fingerprint(2_000_000);

/// The refusal among effects.
fn refused(effects: &[Effect]) -> Option<ErrorKind> {
    effects.iter().find_map(|e| match e {
        Effect::Refuse { refusal, .. } => Some(refusal.kind),
        _ => None,
    })
}

/// Engines that are asked whether they live.
fn polled(effects: &[Effect]) -> Option<Target> {
    effects.iter().find_map(|e| match e {
        Effect::Poll { target } => Some(*target),
        _ => None,
    })
}

/// A prefill engine goes down under this try: its connections break, and it does not answer afterwards.
fn crash(alone: &mut Alone, attempt: AttemptId) -> Vec<Effect> {
    let mut effects = alone.step(Event::Failed { attempt, failure: StepFailure::Broken, offset: 0 });
    let target = polled(&effects).expect("the engine is asked whether it lives");
    effects.extend(alone.step(Event::Unreported { endpoint: target.id }));
    effects
}

/// One request crashes each engine that begins to read its prompt. Its caller sends it again and again, under a new id each
/// time. Each sending may be tried at more than one engine, and all limits hold for one sending: nothing kept the next one
/// from the next engine. After three crashes it is refused as not run, and other requests are served.
#[test]
fn a_request_that_crashes_engines_is_refused_under_any_id() {
    let mut alone = Alone::start();
    let (mut ticket, mut crashes) = (0, 0);
    while crashes < 3 {
        ticket += 1;
        let mut next = prefill(&alone.ask(ticket, BAD));
        while let Some(attempt) = next {
            next = prefill(&crash(&mut alone, attempt));
            crashes += 1;
            alone.pass(Duration::from_millis(10));
        }
    }
    assert!(crashes <= 4, "a try that had begun when the third one crashed is the last: {crashes}");
    assert_eq!(refused(&alone.ask(ticket + 1, BAD)), Some(ErrorKind::Quarantined));
    alone.pass(Duration::from_secs(3));
    assert!(prefill(&alone.ask(ticket + 2, GOOD)).is_some(), "others are served");
}

/// Engines lose answers again and again, and report that they live. No crash is seen, and the request is never refused for it.
#[test]
fn engines_that_live_have_not_crashed() {
    let mut alone = Alone::start();
    for ticket in 1..6 {
        let mut next = prefill(&alone.ask(ticket, BAD));
        while let Some(attempt) = next {
            let effects = alone.step(Event::Failed { attempt, failure: StepFailure::Broken, offset: 0 });
            let target = polled(&effects).expect("the engine is asked whether it lives");
            alone.step(Event::Reported { endpoint: target.id, report: EngineLoad::default() });
            next = prefill(&effects);
        }
        alone.pass(Duration::from_secs(3));
    }
    assert_ne!(refused(&alone.ask(6, BAD)), Some(ErrorKind::Quarantined));
}

/// Other instances saw the crashes and tell of them; this one has seen nothing, and refuses all the same.
#[test]
fn what_others_saw_counts_here() {
    let mut alone = Alone::start();
    let report = |number| CrashReport { request: BAD, endpoint: EndpointIncarnation(number), age_ms: 100 };
    let crashes = (1..=3).map(report).collect();
    let message = Message::Crashes { crashes, served: Vec::new() };
    alone.step(Event::Received { from: InstanceId::of("other"), message });
    assert_eq!(refused(&alone.ask(1, BAD)), Some(ErrorKind::Quarantined));
    let message = Message::Crashes { crashes: Vec::new(), served: vec![BAD] };
    alone.step(Event::Received { from: InstanceId::of("other"), message });
    assert!(prefill(&alone.ask(2, BAD)).is_some(), "it was answered elsewhere");
}

/// A stream stalls and is taken up again at the same engine, which is asked at once whether it lives. Its report names the try
/// before. That one is no left-over: it is the stream that the next try takes up, and a cancel would end it.
#[test]
fn a_report_does_not_end_a_stream_that_is_taken_up() {
    let mut alone = Alone::start();
    let attempt = alone.arrive(1);
    alone.step(Event::Prefilled { attempt, bytes: 1, cached: 0 });
    alone.step(Event::Imported { attempt });
    let effects = alone.step(Event::Failed { attempt, failure: StepFailure::Stalled, offset: 0 });
    let target = polled(&effects).expect("the engine is asked whether it lives");
    assert!(effects.iter().any(|e| matches!(e, Effect::Decode { resume: Some(r), .. } if *r == attempt)));
    let report = EngineLoad { running: vec![Running { attempt }], ..EngineLoad::default() };
    let effects = alone.step(Event::Reported { endpoint: target.id, report });
    assert!(!effects.iter().any(|e| matches!(e, Effect::Cancel { .. })), "{effects:?}");
}

/// The caller of a request leaves, and a moment later the engine goes down under it. The instance has cancelled it by then and
/// loses nothing of it, so that only others who ran there were accused.
#[test]
fn a_request_whose_caller_left_is_accused_of_the_crash() {
    let mut alone = Alone::start();
    let begin = |alone: &mut Alone, ticket, fingerprint| {
        let effects = alone.ask(ticket, fingerprint);
        effects.iter().find_map(|e| match e {
            Effect::Prefill { attempt, target, .. } => Some((*attempt, target.id)),
            _ => None,
        })
    };
    let mut ticket = 0;
    for _ in 0..3 {
        ticket += 1;
        let (_, engine) = begin(&mut alone, ticket, BAD).expect("there is room");
        alone.step(Event::CallerGone { ticket: Ticket(ticket) });
        let witness = loop {
            ticket += 1;
            let (attempt, other) = begin(&mut alone, ticket, Fingerprint(ticket)).expect("there is room");
            if other == engine {
                break attempt;
            }
        };
        crash(&mut alone, witness);
        alone.pass(Duration::from_secs(6));
    }
    assert_eq!(refused(&alone.ask(ticket + 1, BAD)), Some(ErrorKind::Quarantined));
}
