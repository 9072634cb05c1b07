//! The order in which things can go wrong within one request.

use std::time::Duration;

use teaselshunt_core::{Effect, EndpointId, ErrorKind, Event, Outcome, StepFailure, Ticket};
use teaselshunt_settings::EndpointState;

use crate::support::{Alone, import, prefill};

/// A prefill times out and the request is sent to another engine. Then the first engine answers after all. Were
/// the late answer taken, the caller would get output of two tries; it must change nothing.
#[test]
fn a_late_answer_of_an_earlier_try_changes_nothing() {
    let mut alone = Alone::start();
    let first = alone.arrive(1);
    let effects = alone.step(Event::Failed { attempt: first, failure: StepFailure::TimedOut, offset: 0 });
    let second = prefill(&effects).expect("it is tried elsewhere");
    assert!(effects.iter().any(|e| matches!(e, Effect::Cancel { attempt, .. } if *attempt == first)));

    assert_eq!(alone.step(Event::Prefilled { attempt: first, bytes: 1, cached: 0 }), Vec::new());
    assert_eq!(alone.step(Event::Imported { attempt: first }), Vec::new());
    assert_eq!(alone.step(Event::Finished { attempt: first, offset: 9, stored: None }), Vec::new());
    assert!(import(&alone.step(Event::Prefilled { attempt: second, bytes: 1, cached: 0 })).is_some());
}

/// A decode slot is kept while the prefill runs, and an operator drains that very endpoint meanwhile. The import
/// would be new work for an endpoint that leaves; it must go to another one.
#[test]
fn a_slot_kept_at_an_endpoint_that_drains_is_not_used() {
    let mut alone = Alone::start();
    let (attempt, other) = (alone.arrive(1), alone.arrive(2));
    let decodes: Vec<String> = (1..=6).map(|i| format!("fee-writer-decode-{i}")).collect();
    let expected = |stays: &str, alone: &mut Alone, attempt| {
        alone.change(|c| {
            for endpoint in c.endpoints.iter_mut().filter(|e| decodes.contains(&e.name)) {
                let leaves = endpoint.name != stays;
                endpoint.state = if leaves { EndpointState::Draining } else { EndpointState::Active };
            }
        });
        let effects = alone.step(Event::Prefilled { attempt, bytes: 1, cached: 0 });
        assert_eq!(import(&effects), Some(EndpointId::of(stays)));
    };
    // Wherever the slots were kept, at most one of these two was kept at the endpoint that stays.
    expected("fee-writer-decode-6", &mut alone, attempt);
    expected("fee-writer-decode-5", &mut alone, other);
}

/// No endpoint can be connected to. Nothing of the request ever left, however often it was tried, so the caller
/// is told "not run" and when to come back.
#[test]
fn a_request_that_was_never_sent_is_not_run() {
    let mut alone = Alone::start();
    let mut attempt = alone.arrive(1);
    loop {
        let effects = alone.step(Event::Failed { attempt, failure: StepFailure::NotSent, offset: 0 });
        if let Some(next) = prefill(&effects) {
            attempt = next;
            continue;
        }
        let refusal = effects.iter().find_map(|e| match e {
            Effect::Refuse { ticket, refusal } => Some((*ticket, *refusal)),
            _ => None,
        });
        let (ticket, refusal) = refusal.expect("it is tried again or given up at once");
        assert_eq!(ticket, Ticket(1));
        assert_eq!(refusal.kind, ErrorKind::NoEndpoint);
        assert_eq!(refusal.kind.answer().outcome, Outcome::NotRun);
        assert!(refusal.retry_after.is_some());
        return;
    }
}

/// One try timed out, so it may have run; the later ones were never sent. The whole must not be called "not run".
#[test]
fn one_try_that_may_have_run_is_not_forgotten() {
    let mut alone = Alone::start();
    let mut attempt = alone.arrive(1);
    let mut failure = StepFailure::TimedOut;
    loop {
        let effects = alone.step(Event::Failed { attempt, failure, offset: 0 });
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

/// A caller goes away while its prefill runs. The engine is told at once, and told again until it confirms.
#[test]
fn a_cancel_is_repeated_until_it_is_confirmed() {
    let mut alone = Alone::start();
    let attempt = alone.arrive(1);
    let cancelled = |effects: &[Effect]| {
        effects.iter().find_map(|e| match e {
            Effect::Cancel { attempt: a, target } if *a == attempt => Some(target.id),
            _ => None,
        })
    };
    let endpoint =
        cancelled(&alone.step(Event::CallerGone { ticket: Ticket(1) })).expect("it is cancelled at once");
    alone.pass(Duration::from_millis(600));
    assert_eq!(cancelled(&alone.step(Event::Tick)), Some(endpoint));
    alone.step(Event::Cancelled { attempt, endpoint, confirmed: true });
    alone.pass(Duration::from_millis(600));
    assert_eq!(cancelled(&alone.step(Event::Tick)), None);
}
