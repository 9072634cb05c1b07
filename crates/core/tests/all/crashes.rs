//! Requests under which engines crash, through the public interface of an instance.

use std::time::Duration;

use teaselshunt_core::{
    AttemptId, Audit, CrashReport, Effect, EndpointIncarnation, EngineLoad, ErrorKind, Event, Fingerprint,
    InstanceId, Message, PartReport, PromptPart, Running, StepFailure, Target, Ticket,
};

use crate::support::{SingleInstance, import, prefill};

const BAD: Fingerprint = Fingerprint(1_000_000);
const GOOD: Fingerprint = Fingerprint(2_000_000);

/// The refusal among effects.
fn refused(effects: &[Effect]) -> Option<ErrorKind> {
    effects.iter().find_map(|e| match e {
        Effect::Refuse { refusal, .. } => Some(refusal.kind),
        _ => None,
    })
}

/// The engine that is polled among effects.
fn polled(effects: &[Effect]) -> Option<Target> {
    effects.iter().find_map(|e| match e {
        Effect::Poll { target } => Some(*target),
        _ => None,
    })
}

/// A prefill engine crashes under this attempt: its connections break, and it does not answer afterwards.
fn crash(instance: &mut SingleInstance, attempt: AttemptId) -> Vec<Effect> {
    let mut effects = instance.step(Event::Failed { attempt, failure: StepFailure::Broken, offset: 0 });
    let target = polled(&effects).expect("the engine is polled");
    effects.extend(instance.step(Event::Unreported { endpoint: target.id, silent: false }));
    effects
}

/// A request crashes each engine that starts its prefill. The caller sends the request repeatedly, under a
/// new id each time, and each of these requests may be attempted at several engines. Limits on attempts apply
/// to one id, so they did not protect the next engine. After three crashes the request must be refused as not
/// run, while other requests are served.
#[test]
fn a_request_that_crashes_engines_is_refused_under_any_id() {
    let mut instance = SingleInstance::start();
    let (mut ticket, mut crashes) = (0, 0);
    while crashes < 3 {
        ticket += 1;
        let mut next = prefill(&instance.ask(ticket, BAD));
        while let Some(attempt) = next {
            next = prefill(&crash(&mut instance, attempt));
            crashes += 1;
            instance.pass(Duration::from_millis(10));
        }
    }
    assert!(crashes <= 4, "only an attempt that started before the third crash may follow it: {crashes}");
    assert_eq!(refused(&instance.ask(ticket + 1, BAD)), Some(ErrorKind::Quarantined));
    instance.pass(Duration::from_secs(3));
    assert!(prefill(&instance.ask(ticket + 2, GOOD)).is_some(), "other requests are served");
}

/// Engines repeatedly break responses but answer polls of their load. No crash is observed, and the request
/// must never be refused because of crashes.
#[test]
fn engines_that_answer_polls_have_not_crashed() {
    let mut instance = SingleInstance::start();
    for ticket in 1..6 {
        let mut next = prefill(&instance.ask(ticket, BAD));
        while let Some(attempt) = next {
            let effects = instance.step(Event::Failed { attempt, failure: StepFailure::Broken, offset: 0 });
            let target = polled(&effects).expect("the engine is polled");
            instance.step(Event::Reported { endpoint: target.id, report: EngineLoad::default() });
            next = prefill(&effects);
        }
        instance.pass(Duration::from_secs(3));
    }
    assert_ne!(refused(&instance.ask(6, BAD)), Some(ErrorKind::Quarantined));
}

/// Guards against a request that is refused for crashes because its engines were silent for some seconds: they accept the connections of
/// polls and do not answer in time.
#[test]
fn engines_that_are_silent_have_not_crashed() {
    let mut instance = SingleInstance::start();
    for ticket in 1..6 {
        let mut next = prefill(&instance.ask(ticket, BAD));
        while let Some(attempt) = next {
            let effects = instance.step(Event::Failed { attempt, failure: StepFailure::TimedOut, offset: 0 });
            let target = polled(&effects).expect("the engine is polled");
            instance.step(Event::Unreported { endpoint: target.id, silent: true });
            next = prefill(&effects);
        }
        instance.pass(Duration::from_secs(6));
    }
    assert_ne!(refused(&instance.ask(6, BAD)), Some(ErrorKind::Quarantined));
}

/// Other instances observe the crashes and report them. An instance that observed none must refuse the
/// request too.
#[test]
fn crashes_that_peers_report_count() {
    let mut instance = SingleInstance::start();
    let report = |number| CrashReport { request: BAD, endpoint: EndpointIncarnation(number), age_ms: 100 };
    let crashes = (1..=3).map(report).collect();
    let message = Message::Crashes { crashes, served: Vec::new() };
    instance.step(Event::Received { from: InstanceId::of("other"), message });
    assert_eq!(refused(&instance.ask(1, BAD)), Some(ErrorKind::Quarantined));
    let message = Message::Crashes { crashes: Vec::new(), served: vec![BAD] };
    instance.step(Event::Received { from: InstanceId::of("other"), message });
    assert!(prefill(&instance.ask(2, BAD)).is_some(), "the request was completed at another instance");
}

/// A stream stalls and is resumed at the same engine, which is polled at once. Its load report names the
/// previous attempt. That attempt is not an orphan, because the current attempt resumes its stream; a cancel
/// would end the stream.
#[test]
fn a_load_report_does_not_end_a_resumed_stream() {
    let mut instance = SingleInstance::start();
    let attempt = instance.arrive(1);
    instance.step(Event::Prefilled { attempt, bytes: 1, cached: 0 });
    instance.step(Event::Imported { attempt });
    let effects = instance.step(Event::Failed { attempt, failure: StepFailure::Stalled, offset: 0 });
    let target = polled(&effects).expect("the engine is polled");
    assert!(effects.iter().any(|e| matches!(e, Effect::Decode { resume: Some(r), .. } if *r == attempt)));
    let report = EngineLoad { running: vec![Running { attempt }], ..EngineLoad::default() };
    let effects = instance.step(Event::Reported { endpoint: target.id, report });
    assert!(!effects.iter().any(|e| matches!(e, Effect::Cancel { .. })), "{effects:?}");
}

/// Guards against a cancel of orphaned work that others see before its line of the audit trail is written.
#[test]
fn the_audit_line_of_an_orphan_precedes_its_cancel() {
    let mut instance = SingleInstance::start();
    let effects = instance.ask(1, GOOD);
    let target = effects.iter().find_map(|e| match e {
        Effect::Prefill { attempt, target, .. } => Some((*attempt, target.id)),
        _ => None,
    });
    let (mut attempt, endpoint) = target.expect("a prefill starts");
    attempt.request.incarnation = 0;
    let report = EngineLoad { running: vec![Running { attempt }], ..EngineLoad::default() };
    let effects = instance.step(Event::Reported { endpoint, report });
    let place = |is: fn(&Effect) -> bool| effects.iter().position(is).expect("the work is an orphan");
    let line = place(|e| matches!(e, Effect::Audit(Audit::Orphan { .. })));
    assert!(line < place(|e| matches!(e, Effect::Cancel { .. })), "{effects:?}");
}

/// The caller of a request disconnects, and its engine crashes a moment later. The instance has cancelled the
/// request by then and does not observe a failure of it, so the crash was attributed only to other requests
/// at the engine.
#[test]
fn a_crash_is_attributed_to_a_request_that_was_cancelled_just_before() {
    let mut instance = SingleInstance::start();
    let begin = |instance: &mut SingleInstance, ticket, fingerprint| {
        let effects = instance.ask(ticket, fingerprint);
        effects.iter().find_map(|e| match e {
            Effect::Prefill { attempt, target, .. } => Some((*attempt, target.id)),
            _ => None,
        })
    };
    let mut ticket = 0;
    for _ in 0..3 {
        ticket += 1;
        let (_, engine) = begin(&mut instance, ticket, BAD).expect("a slot is free");
        instance.step(Event::CallerGone { ticket: Ticket(ticket) });
        let witness = loop {
            ticket += 1;
            let (attempt, other) = begin(&mut instance, ticket, Fingerprint(ticket)).expect("a slot is free");
            if other == engine {
                break attempt;
            }
        };
        crash(&mut instance, witness);
        instance.pass(Duration::from_secs(6));
    }
    assert_eq!(refused(&instance.ask(ticket + 1, BAD)), Some(ErrorKind::Quarantined));
}

/// Parts of the prompts below: of all, under which engines crash, and of some sound ones.
const FIRST_PART: PromptPart = PromptPart(1);
const BAD_PART: PromptPart = PromptPart(2);
const OTHER_PART: PromptPart = PromptPart(3);

/// Guards against crashes that count for whole requests only: no two of these are alike, and they share a part.
#[test]
fn requests_with_a_part_under_which_engines_crash_are_refused() {
    let mut instance = SingleInstance::start();
    let mut ticket = 0;
    for _ in 0..3 {
        ticket += 1;
        let mut next = prefill(&instance.ask_with_parts(ticket, &[FIRST_PART, BAD_PART]));
        while let Some(attempt) = next {
            next = prefill(&crash(&mut instance, attempt));
            instance.pass(Duration::from_millis(300));
        }
        instance.pass(Duration::from_secs(6));
    }
    let last = instance.ask_with_parts(ticket + 1, &[FIRST_PART, BAD_PART, OTHER_PART]);
    assert_eq!(refused(&last), Some(ErrorKind::Quarantined));
    let sound = instance.ask_with_parts(ticket + 2, &[FIRST_PART, OTHER_PART]);
    assert!(prefill(&sound).is_some(), "requests without the part are served");
}

/// A peer's message from which requests with [`BAD_PART`] are refused.
fn verdict() -> Event {
    let crashes = (1..=3).map(|number| (EndpointIncarnation(number), 1_000 * number as u32)).collect();
    let report = PartReport { part: BAD_PART, crashes, starts: Vec::new(), refused: None };
    let message = Message::PromptParts { reports: vec![report] };
    Event::Received { from: InstanceId::of("other"), message }
}

/// The same for an instance that has observed no crash itself.
#[test]
fn evidence_about_parts_that_peers_report_counts() {
    let mut instance = SingleInstance::start();
    let effects = instance.step(verdict());
    let is_audited =
        |effect: &Effect| matches!(effect, Effect::Audit(Audit::PromptParts { quarantined: true, .. }));
    assert!(effects.iter().any(is_audited), "the verdict is in the audit trail");
    let refusal = refused(&instance.ask_with_parts(1, &[FIRST_PART, BAD_PART]));
    assert_eq!(refusal, Some(ErrorKind::Quarantined));
    assert!(prefill(&instance.ask_with_parts(2, &[FIRST_PART])).is_some());
}

/// Guards against refusals for parts of prompts where operators have switched them off.
#[test]
fn operators_can_switch_the_quarantine_of_parts_off() {
    let mut instance = SingleInstance::start();
    instance.step(verdict());
    instance.change(|configuration| configuration.policy.part_quarantine = false);
    assert!(prefill(&instance.ask_with_parts(1, &[BAD_PART])).is_some());
    instance.change(|configuration| configuration.policy.part_quarantine = true);
    assert_eq!(refused(&instance.ask_with_parts(2, &[BAD_PART])), Some(ErrorKind::Quarantined));
}

/// The end of a prefill.
fn prefilled(attempt: AttemptId) -> Event {
    Event::Prefilled { attempt, bytes: 0, cached: 0 }
}

/// Guards against a request that crashes one more engine because it was prefilled, or imported, when the verdict came.
#[test]
fn a_request_with_a_part_in_quarantine_is_not_decoded() {
    let decodes = |effects: &[Effect]| effects.iter().any(|effect| matches!(effect, Effect::Decode { .. }));
    let mut instance = SingleInstance::start();
    let attempt = prefill(&instance.ask_with_parts(1, &[BAD_PART])).expect("a prefill");
    instance.step(verdict());
    let effects = instance.step(prefilled(attempt));
    assert_eq!(refused(&effects), Some(ErrorKind::EndpointFailed));
    assert_eq!(import(&effects), None);
    assert!(
        effects.iter().any(|effect| matches!(effect, Effect::Cancel { .. })),
        "the KV cache is discarded"
    );

    let mut instance = SingleInstance::start();
    let attempt = prefill(&instance.ask_with_parts(1, &[BAD_PART])).expect("a prefill");
    assert!(import(&instance.step(prefilled(attempt))).is_some());
    instance.step(verdict());
    let effects = instance.step(Event::Imported { attempt });
    assert_eq!(refused(&effects), Some(ErrorKind::EndpointFailed));
    assert!(!decodes(&effects));
    let sound = prefill(&instance.ask_with_parts(2, &[OTHER_PART])).expect("a prefill");
    assert!(import(&instance.step(prefilled(sound))).is_some());
    assert!(decodes(&instance.step(Event::Imported { attempt: sound })), "slots are free for others");
}
