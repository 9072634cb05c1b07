//! Order of failures within one request.

use std::time::Duration;

use teaselshunt_core::{
    Effect, EndpointId, EngineLoad, ErrorKind, Event, Fingerprint, Outcome, StepFailure, Ticket,
};
use teaselshunt_settings::{EndpointState, Role};

use crate::support::{SingleInstance, import, prefill};

/// A prefill times out and the request is sent to another engine. Then the first engine answers after all. If
/// the late answer were used, the caller would get output of two attempts, so it must have no effect.
#[test]
fn a_late_response_to_an_earlier_attempt_is_ignored() {
    let mut instance = SingleInstance::start();
    let first = instance.arrive(1);
    let effects = instance.step(Event::Failed { attempt: first, failure: StepFailure::TimedOut, offset: 0 });
    let second = prefill(&effects).expect("another endpoint is tried");
    assert!(effects.iter().any(|e| matches!(e, Effect::Cancel { attempt, .. } if *attempt == first)));

    assert_eq!(instance.step(Event::Prefilled { attempt: first, bytes: 1, cached: 0 }), Vec::new());
    assert_eq!(instance.step(Event::Imported { attempt: first }), Vec::new());
    assert_eq!(instance.step(Event::Finished { attempt: first, offset: 9, stored: None }), Vec::new());
    assert!(import(&instance.step(Event::Prefilled { attempt: second, bytes: 1, cached: 0 })).is_some());
}

/// A decode slot is reserved while the prefill runs, and an operator drains its endpoint meanwhile. The
/// import would be new work for a draining endpoint and must go to another one.
#[test]
fn a_slot_reserved_at_a_draining_endpoint_is_not_used() {
    let mut instance = SingleInstance::start();
    let (attempt, other) = (instance.arrive(1), instance.arrive(2));
    let decodes: Vec<String> = (1..=6).map(|i| format!("fee-writer-decode-{i}")).collect();
    let expect_import_at = |stays: &str, instance: &mut SingleInstance, attempt| {
        instance.change(|c| {
            for endpoint in c.endpoints.iter_mut().filter(|e| decodes.contains(&e.name)) {
                let leaves = endpoint.name != stays;
                endpoint.state = if leaves { EndpointState::Draining } else { EndpointState::Active };
            }
        });
        let effects = instance.step(Event::Prefilled { attempt, bytes: 1, cached: 0 });
        assert_eq!(import(&effects), Some(EndpointId::of(stays)));
    };
    // At most one of the two decode slots was reserved at the endpoint that stays.
    expect_import_at("fee-writer-decode-6", &mut instance, attempt);
    expect_import_at("fee-writer-decode-5", &mut instance, other);
}

/// No endpoint accepts a connection. Nothing of the request was ever sent in any attempt, so the request must
/// be refused as "not run" with a `Retry-After` delay.
#[test]
fn a_request_that_was_never_sent_is_not_run() {
    let mut instance = SingleInstance::start();
    let mut attempt = instance.arrive(1);
    loop {
        let effects = instance.step(Event::Failed { attempt, failure: StepFailure::NotSent, offset: 0 });
        if let Some(next) = prefill(&effects) {
            attempt = next;
            continue;
        }
        let refusal = effects.iter().find_map(|e| match e {
            Effect::Refuse { ticket, refusal } => Some((*ticket, *refusal)),
            _ => None,
        });
        let (ticket, refusal) = refusal.expect("the request is attempted again or refused at once");
        assert_eq!(ticket, Ticket(1));
        assert_eq!(refusal.kind, ErrorKind::NoEndpoint);
        assert_eq!(refusal.kind.answer().outcome, Outcome::NotRun);
        assert!(refusal.retry_after.is_some());
        return;
    }
}

/// One attempt timed out, so it may have run; the later attempts were never sent. The request must not be
/// refused as "not run".
#[test]
fn a_request_with_an_attempt_that_may_have_run_is_not_refused_as_not_run() {
    let mut instance = SingleInstance::start();
    let mut attempt = instance.arrive(1);
    let mut failure = StepFailure::TimedOut;
    loop {
        let effects = instance.step(Event::Failed { attempt, failure, offset: 0 });
        failure = StepFailure::NotSent;
        if let Some(next) = prefill(&effects) {
            attempt = next;
            continue;
        }
        let failed = |e: &Effect| match e {
            Effect::Refuse { refusal, .. } => refusal.kind.answer().outcome == Outcome::Failed,
            _ => false,
        };
        assert!(effects.iter().any(failed), "{effects:?}");
        return;
    }
}

/// A caller disconnects while its prefill runs. The engine must get a cancel at once, and again until it
/// confirms.
#[test]
fn a_cancel_is_repeated_until_it_is_confirmed() {
    let mut instance = SingleInstance::start();
    let attempt = instance.arrive(1);
    let cancelled = |effects: &[Effect]| {
        effects.iter().find_map(|e| match e {
            Effect::Cancel { attempt: a, target } if *a == attempt => Some(target.id),
            _ => None,
        })
    };
    let endpoint = cancelled(&instance.step(Event::CallerGone { ticket: Ticket(1) }))
        .expect("the cancel is sent at once");
    instance.pass(Duration::from_millis(600));
    assert_eq!(cancelled(&instance.step(Event::Tick)), Some(endpoint));
    instance.step(Event::Cancelled { attempt, endpoint, confirmed: true });
    instance.pass(Duration::from_millis(600));
    assert_eq!(cancelled(&instance.step(Event::Tick)), None);
}

/// Guards against work for an engine that answered that it is leaving: a load report from before that answer,
/// which arrives after it, made the engine look open again.
#[test]
fn an_older_report_does_not_end_that_an_engine_leaves() {
    let mut instance = SingleInstance::start();
    let effects = instance.ask(1, Fingerprint(1));
    let (attempt, leaving) =
        (prefill(&effects).expect("a slot is free"), target(&effects).expect("an engine"));
    instance.step(Event::Failed { attempt, failure: StepFailure::Leaving, offset: 0 });
    let report = |instance: &mut SingleInstance| {
        instance.step(Event::Reported { endpoint: leaving, report: EngineLoad::default() });
    };
    report(&mut instance);
    let used = |instance: &mut SingleInstance, tickets: std::ops::Range<u64>| {
        tickets.into_iter().any(|n| target(&instance.ask(n, Fingerprint(n))) == Some(leaving))
    };
    assert!(!used(&mut instance, 2..8));
    // A report that is certainly newer comes from a process that has started again at the address.
    instance.pass(Duration::from_secs(6));
    report(&mut instance);
    assert!(used(&mut instance, 8..14));
}

/// The engine that the next step goes to.
fn target(effects: &[Effect]) -> Option<EndpointId> {
    effects.iter().find_map(|e| match e {
        Effect::Prefill { target, .. } => Some(target.id),
        _ => None,
    })
}

/// Guards against steps at an engine that answered that it is busy and how long it wants no more.
#[test]
fn a_busy_engine_gets_no_steps_in_its_cooldown() {
    const DELAY: Duration = Duration::from_secs(3);
    let mut instance = SingleInstance::start();
    let effects = instance.ask(1, Fingerprint(1));
    let (attempt, busy) = (prefill(&effects).expect("a slot is free"), target(&effects).expect("an engine"));
    let failure = StepFailure::Busy { retry_after: Some(DELAY) };
    assert_ne!(target(&instance.step(Event::Failed { attempt, failure, offset: 0 })), Some(busy));
    let used = |instance: &mut SingleInstance, tickets: std::ops::Range<u64>| {
        tickets.into_iter().any(|n| target(&instance.ask(n, Fingerprint(n))) == Some(busy))
    };
    assert!(!used(&mut instance, 2..6));
    instance.pass(Duration::from_millis(2_999));
    assert!(!used(&mut instance, 6..10));
    instance.pass(Duration::from_secs(1));
    assert!(used(&mut instance, 10..16));
}

/// Guards against requests that wait in vain while all engines that could prefill them want no requests: they
/// are refused at once, and told when the first engine is back.
#[test]
fn requests_are_refused_while_all_engines_of_a_step_cool_down() {
    const DELAY: Duration = Duration::from_secs(3);
    let mut instance = SingleInstance::start();
    let refusal = |effects: &[Effect]| {
        effects.iter().find_map(|e| match e {
            Effect::Refuse { refusal, .. } => Some(*refusal),
            _ => None,
        })
    };
    let last = (1..50).find_map(|ticket| {
        let mut effects = instance.ask(ticket, Fingerprint(ticket));
        while let Some(attempt) = prefill(&effects) {
            let failure = StepFailure::Busy { retry_after: Some(DELAY) };
            effects = instance.step(Event::Failed { attempt, failure, offset: 0 });
        }
        refusal(&effects).filter(|refusal| refusal.kind == ErrorKind::Overloaded)
    });
    assert_eq!(last.expect("all engines cool down").retry_after, Some(DELAY));
    instance.pass(Duration::from_secs(1));
    let effects = instance.ask(100, Fingerprint(100));
    assert_eq!(refusal(&effects).and_then(|r| r.retry_after), Some(Duration::from_secs(2)));
    instance.pass(DELAY);
    assert!(prefill(&instance.ask(101, Fingerprint(101))).is_some());
}

/// Guards against a process that ends because a request is refused while its prefill is accounted for: its decode
/// engine drains, no other one takes it, and no attempt is left.
#[test]
fn a_prefill_whose_result_no_engine_takes_ends_with_a_refusal() {
    let mut instance = SingleInstance::start();
    let attempt = instance.arrive(1);
    instance.change(|c| {
        c.policy.attempts = 1;
        for endpoint in c.endpoints.iter_mut().filter(|e| e.role == Role::Decode) {
            endpoint.state = EndpointState::Draining;
        }
    });
    let effects = instance.step(Event::Prefilled { attempt, bytes: 1, cached: 0 });
    let refused =
        |e: &Effect| matches!(e, Effect::Refuse { refusal, .. } if refusal.kind == ErrorKind::EndpointFailed);
    assert!(effects.iter().any(refused), "{effects:?}");
}
