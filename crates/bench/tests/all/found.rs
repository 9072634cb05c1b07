//! Counterexamples that random runs found, shrunk, each with what it showed.

use teaselshunt_bench::{Fault, Plan, Side};

fn holds(pindan: bool, seed: u64, faults: &[(u32, Fault)]) {
    let violations = Plan { seed, pindan, faults: faults.to_vec() }.run().violations;
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// A patch takes the share of the only site that has decode engines of a pool. Lookups wait for slots that will
/// never come, are told to come back in minutes, and some have no answer when the run ends. They must hear at
/// once that no endpoint serves them.
#[test]
fn share_moved_away_from_the_only_decode_site() {
    holds(false, 5_750_326_894_325_142_322, &[(3_499, Fault::Freeze(50)), (5_660, Fault::Share(104))]);
}

/// The same for prefill: the one prefill engine left is drained, and invoices wait in vain.
#[test]
fn last_open_prefill_drained() {
    holds(true, 11_852_095_212_840_706_775, &[(41_498, Fault::Share(126)), (57_775, Fault::Drain(1))]);
}

/// A keyed booking runs, and its instance is killed. The retry lands in the socket of a frozen instance and
/// comes up after the horizon, when no home remembers the key: it ran a second time.
#[test]
fn keyed_call_that_outlasts_the_horizon_in_a_frozen_instance() {
    let faults = [
        (981, Fault::Freeze(5)),
        (9_623, Fault::Stall(16)),
        (23_120, Fault::Stall(23)),
        (24_051, Fault::Kill(12)),
    ];
    holds(false, 16_227_166_008_697_093_329, &faults);
}

/// The same with a cut between two domains in between.
#[test]
fn keyed_call_that_outlasts_the_horizon_behind_a_cut() {
    let faults = [
        (0, Fault::Cut(Side::Domain(0), Side::Domain(6))),
        (17_262, Fault::Freeze(25)),
        (17_842, Fault::Stall(49)),
        (21_744, Fault::Kill(29)),
    ];
    holds(false, 1_800_513_854_421_449_716, &faults);
}

/// Requests keep decode slots while their prefills wait; the endpoint begins to drain, an instance wakes with a
/// long queue, and the kept slots were used more than six seconds later.
#[test]
fn slots_kept_at_an_endpoint_that_drains() {
    let faults = [(4_582, Fault::Freeze(13)), (18_111, Fault::Freeze(18)), (52_154, Fault::Drain(34))];
    holds(true, 4_824_007_585_132_824_449, &faults);
}

/// An instance is killed with streams at engines, dropped from the list, and starts again under its name. The
/// members had forgotten its former start with the list entry, so nobody took the new one for news, the owner of
/// the pool could not tell the former life's work from live work, and two engines held it for ever.
#[test]
fn work_of_a_former_life_after_the_list_dropped_it() {
    holds(true, 5_858_092_552_767_959_581, &[(5_438, Fault::Kill(50)), (53_957, Fault::Kill(20))]);
}

/// Two instances that watched each other are killed in an outage and start again. Nobody left knows their former
/// starts, so nobody could tell their old streams from live ones. A process that starts now asks every engine
/// for work of its own former life.
#[test]
fn work_of_a_former_life_when_its_watchers_died_too() {
    let faults = [(1_981, Fault::Outage), (10_477, Fault::Kill(43)), (17_642, Fault::Kill(4))];
    holds(true, 12_587_996_915_722_759_511, &faults);
    let faults = [
        (33_335, Fault::Stop(34)),
        (51_216, Fault::Kill(49)),
        (56_255, Fault::Kill(54)),
        (56_984, Fault::Kill(45)),
    ];
    holds(true, 12_464_092_819_757_161_081, &faults);
}

/// A keyed call runs, and the home of its key is killed and started again. Instances that slept meanwhile are
/// listed again, one of them becomes the key's home, and asks the earlier one: its new process has no record, and
/// that was taken for "never granted". The retry ran the call a second time.
#[test]
fn earlier_home_that_was_started_again_remembers_nothing() {
    let faults = [
        (31_853, Fault::Freeze(53)),
        (32_719, Fault::Freeze(6)),
        (33_711, Fault::Freeze(49)),
        (40_400, Fault::Stall(23)),
        (51_658, Fault::Freeze(8)),
        (53_455, Fault::Kill(47)),
    ];
    holds(false, 6_346_730_226_550_437_374, &faults);
}

/// All work has moved to the one site in a domain, which is then cut off from another domain until the load ends.
/// Callers of long work are refused, each time at once and with a time to come back, and come back up to six times;
/// some are served only four minutes after everything has healed. Every sending must have its answer within its
/// deadline, and every caller an end within the time that its sendings may take.
#[test]
fn callers_left_after_a_cut_of_the_only_site() {
    let faults = [(1, Fault::Share(122)), (43_100, Fault::Cut(Side::Domain(0), Side::Domain(2)))];
    holds(true, 7_772_869_272_280_670_474, &faults);
}

/// A stream stalls and is taken up again at the same engine, which is asked for its load in the same moment. It reports the
/// try before, which is not the last one any more, and that was cancelled as left over: the next try held the engine's memory
/// for ever.
#[test]
fn stream_taken_up_while_its_engine_reports() {
    let faults = [
        (10_240, Fault::Cut(Side::Domain(5), Side::Domain(1))),
        (58_827, Fault::Cut(Side::Domain(6), Side::Domain(5))),
    ];
    holds(true, 8_842_440_123_689_219_757, &faults);
}
