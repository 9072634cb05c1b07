//! What the policy promises, as comparisons within one run; figures are in docs/POLICY.md.

use teaselshunt_bench::{Experiment, Policy, britasol, pindan};

/// Eight instances choose decode slots for a nearly full pool. If each chose on lagging reports, they would
/// overbook engines and throw finished prefills away; with one owner of the slots nothing is wasted.
#[test]
fn a_full_pool_wastes_no_prefill() {
    for deployment in [britasol(), pindan()] {
        let experiment = Experiment { deployment, load: 1.0, seed: 3, scenario: None };
        let ours = experiment.run(Policy::Ours);
        let before = experiment.run(Policy::TwoChoices);
        assert!(ours.wasted < 0.01, "{}", ours.wasted);
        assert!(before.wasted > 0.03, "the load is too light to show anything: {}", before.wasted);
        assert!(ours.goodput_first > 1.3 * before.goodput_first);
    }
}

/// Half as many requests again as the engines can do. Served in the order of arrival, all would be too late;
/// those that can still be in time go first, and most of the goodput stays.
#[test]
fn overload_does_not_collapse() {
    let at = |load| Experiment { deployment: britasol(), load, seed: 3, scenario: None }.run(Policy::Ours);
    assert!(at(1.5).goodput_first > 0.8 * at(0.9).goodput_first);
}
