//! Guarantees of the routing policy, as comparisons between runs with the same load; figures are in
//! docs/POLICY.md.

use teaselshunt_bench::{Experiment, Policy, britasol, pindan};

/// Eight instances select decode slots in a nearly full pool. If each instance selected slots by reports
/// that lag, the instances would overbook engines and discard completed prefills. With one owner of the
/// slots, no prefill is wasted.
#[test]
fn a_full_pool_wastes_no_prefill() {
    for deployment in [britasol(), pindan()] {
        let experiment = Experiment { deployment, load: 1.0, seed: 3, scenario: None };
        let ours = experiment.run(Policy::Ours);
        let two_choices = experiment.run(Policy::TwoChoices);
        assert!(ours.wasted < 0.01, "{}", ours.wasted);
        assert!(
            two_choices.wasted > 0.03,
            "the load is too low to show a difference: {}",
            two_choices.wasted
        );
        assert!(ours.goodput_first > 1.3 * two_choices.goodput_first);
    }
}

/// The load is 1.5 times the maximum throughput of the engines. In the order of arrival all requests would
/// be late. Requests that can still be on time are served first, which keeps most of the goodput.
#[test]
fn overload_does_not_collapse() {
    let at = |load| Experiment { deployment: britasol(), load, seed: 3, scenario: None }.run(Policy::Ours);
    assert!(at(1.5).goodput_first > 0.8 * at(0.9).goodput_first);
}
