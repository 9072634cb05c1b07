//! What the sends of one generation cost.

use std::sync::Arc;
use std::time::{Duration, Instant};

use teaselshunt_routing::{BudgetTerms, Budgets, Sends};

/// Budgets that pay for two repeats within the window, and no requests that would add to them.
fn budgets() -> Budgets {
    Budgets::new(BudgetTerms { ratio: 0.0, slack: 50.0, window: Duration::from_secs(10) }, 0.5)
}

#[test]
fn a_generation_without_trouble_costs_nothing() {
    let (now, service, mut budgets) = (Instant::now(), Arc::from("model"), budgets());
    let mut sends = Sends::default();
    for _ in 0..2 {
        assert!(sends.may_send(now, 1, &service, &mut budgets), "a prefill, and the decode after it");
    }
    let left = (0..100).take_while(|_| budgets.take(now, &service)).count();
    assert_eq!(left, 2, "all that there was");
}

/// A prefill engine refuses, a second one reads the prompt, and a decode engine runs it: one send more than needed, one repeat.
#[test]
fn a_repeat_is_paid_once() {
    let (now, service, mut budgets) = (Instant::now(), Arc::from("model"), budgets());
    let mut sends = Sends::default();
    assert!(sends.may_send(now, 2, &service, &mut budgets), "the first prefill");
    sends.count();
    assert!(sends.may_send(now, 2, &service, &mut budgets), "the second one");
    assert!(sends.may_send(now, 2, &service, &mut budgets), "the decode");
    let left = (0..100).take_while(|_| budgets.take(now, &service)).count();
    assert_eq!(left, 1);
}

/// The route allows two sends, and two were made that count: whatever the budget, nothing more is sent.
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

/// The budget is spent. What was paid already still goes, and nothing that would cost more.
#[test]
fn what_was_paid_goes_without_budget() {
    let (now, service, mut budgets) = (Instant::now(), Arc::from("model"), budgets());
    let (mut paid, mut unpaid) = (Sends::default(), Sends::default());
    paid.count();
    unpaid.count();
    assert!(paid.may_send(now, 2, &service, &mut budgets));
    while budgets.take(now, &service) {}
    assert!(paid.may_send(now, 2, &service, &mut budgets));
    assert!(!unpaid.may_send(now, 2, &service, &mut budgets));
}
