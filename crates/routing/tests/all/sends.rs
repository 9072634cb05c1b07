//! How the sends of one generation are charged.

use std::sync::Arc;
use std::time::{Duration, Instant};

use teaselshunt_routing::{BudgetTerms, Budgets, Sends};
use teaselshunt_teams::StartKind;

/// Budgets that allow two second attempts within the window, without requests that would add to them.
fn budgets() -> Budgets {
    let terms = BudgetTerms { ratio: 0.0, slack: 50.0, window: Duration::from_secs(10) };
    Budgets::new(Instant::now(), terms, StartKind::First, 0.5)
}

#[test]
fn a_generation_without_failures_is_not_charged() {
    let (now, service, mut budgets) = (Instant::now(), Arc::from("model"), budgets());
    let mut sends = Sends::default();
    for _ in 0..2 {
        assert!(sends.may_send(now, 1, &service, &mut budgets), "a prefill, and the decode after it");
    }
    let left = (0..100).take_while(|_| budgets.take(now, &service)).count();
    assert_eq!(left, 2, "the whole budget");
}

/// A prefill engine refuses, a second one prefills the prompt, and a decode engine runs it: one send more
/// than needed, which is charged once.
#[test]
fn a_second_attempt_is_charged_once() {
    let (now, service, mut budgets) = (Instant::now(), Arc::from("model"), budgets());
    let mut sends = Sends::default();
    assert!(sends.may_send(now, 2, &service, &mut budgets), "the first prefill");
    sends.count();
    assert!(sends.may_send(now, 2, &service, &mut budgets), "the second one");
    assert!(sends.may_send(now, 2, &service, &mut budgets), "the decode");
    let left = (0..100).take_while(|_| budgets.take(now, &service)).count();
    assert_eq!(left, 1);
}

/// The route allows two sends, and two were made that count: nothing more may be sent, whatever the budget
/// is.
#[test]
fn attempts_are_the_limit() {
    let (now, service, mut budgets) = (Instant::now(), Arc::from("model"), budgets());
    let mut sends = Sends::default();
    sends.count();
    assert!(!sends.may_send(now, 1, &service, &mut budgets));
    assert!(sends.may_send(now, 2, &service, &mut budgets));
    sends.count();
    assert!(!sends.may_send(now, 2, &service, &mut budgets));
    assert_eq!(sends.counted(), 2);
}

/// The budget is used up. A generation whose sends were charged already may still send, and one that would be
/// charged may not.
#[test]
fn a_charged_generation_needs_no_more_budget() {
    let (now, service, mut budgets) = (Instant::now(), Arc::from("model"), budgets());
    let (mut charged, mut uncharged) = (Sends::default(), Sends::default());
    charged.count();
    uncharged.count();
    assert!(charged.may_send(now, 2, &service, &mut budgets));
    while budgets.take(now, &service) {}
    assert!(charged.may_send(now, 2, &service, &mut budgets));
    assert!(!uncharged.may_send(now, 2, &service, &mut budgets));
}
