//! Counterexamples that random runs found, in their shrunk form, each with the bug that it revealed.

use teaselshunt_bench::{Fault, Plan, Side};

fn assert_no_violations(pindan: bool, seed: u64, faults: &[(u32, Fault)]) {
    let violations = Plan { seed, pindan, faults: faults.to_vec() }.run().violations;
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// A patch sets the share of the only site with decode engines of a pool to zero. Lookups waited for slots
/// that could not become free, were refused with a `Retry-After` delay of minutes, and some had no answer
/// at the end of the run. They must be refused at once, because no endpoint serves them.
#[test]
fn share_moved_away_from_the_only_decode_site() {
    assert_no_violations(
        false,
        5_750_326_894_325_142_322,
        &[(3_499, Fault::Freeze(50)), (5_660, Fault::Share(104))],
    );
}

/// The same for prefill: the last active prefill engine is drained, and invoices waited for it in vain.
#[test]
fn last_active_prefill_engine_drained() {
    assert_no_violations(
        true,
        11_852_095_212_840_706_775,
        &[(41_498, Fault::Share(126)), (57_775, Fault::Drain(1))],
    );
}

/// A booking with a key runs, and its instance is killed. The retry arrives in the socket buffer of a
/// frozen instance and is read after the horizon, when no home has a record of the key. The booking ran a
/// second time.
#[test]
fn keyed_call_that_outlasts_the_horizon_in_a_frozen_instance() {
    let faults = [
        (981, Fault::Freeze(5)),
        (9_623, Fault::Stall(16)),
        (23_120, Fault::Stall(23)),
        (24_051, Fault::Kill(12)),
    ];
    assert_no_violations(false, 16_227_166_008_697_093_329, &faults);
}

/// The same with a network partition between two domains meanwhile.
#[test]
fn keyed_call_that_outlasts_the_horizon_during_a_partition() {
    let faults = [
        (0, Fault::Cut(Side::Domain(0), Side::Domain(6))),
        (17_262, Fault::Freeze(25)),
        (17_842, Fault::Stall(49)),
        (21_744, Fault::Kill(29)),
    ];
    assert_no_violations(false, 1_800_513_854_421_449_716, &faults);
}

/// Requests reserve decode slots while their prefills wait. The endpoint begins to drain, and a frozen
/// instance resumes with a long queue. The reserved slots were used more than 6 s later.
#[test]
fn slots_reserved_at_a_draining_endpoint() {
    let faults = [(4_582, Fault::Freeze(13)), (18_111, Fault::Freeze(18)), (52_154, Fault::Drain(34))];
    assert_no_violations(true, 4_824_007_585_132_824_449, &faults);
}

/// An instance is killed with streams at engines, removed from the list, and started again under its name.
/// The members had removed its earlier incarnation with the list entry, and so did not recognize the new
/// process as another incarnation. The owner of the pool could not distinguish the work of the earlier
/// incarnation from live work, and two engines held that work for ever.
#[test]
fn orphans_of_an_incarnation_that_the_list_dropped() {
    assert_no_violations(
        true,
        5_858_092_552_767_959_581,
        &[(5_438, Fault::Kill(50)), (53_957, Fault::Kill(20))],
    );
}

/// Two instances that monitored each other are killed during an outage of the platform and started again.
/// No running instance knows their earlier incarnations, and so none could distinguish their old streams
/// from live ones. A starting process must ask every engine for work of its own earlier incarnations.
#[test]
fn orphans_of_an_incarnation_whose_monitors_were_killed_too() {
    let faults = [(1_981, Fault::Outage), (10_477, Fault::Kill(43)), (17_642, Fault::Kill(4))];
    assert_no_violations(true, 12_587_996_915_722_759_511, &faults);
    let faults = [
        (33_335, Fault::Stop(34)),
        (51_216, Fault::Kill(49)),
        (56_255, Fault::Kill(54)),
        (56_984, Fault::Kill(45)),
    ];
    assert_no_violations(true, 12_464_092_819_757_161_081, &faults);
}

/// A call with a key runs, and the home of its key is killed and started again. Instances that were frozen
/// meanwhile are listed again, one of them becomes the home of the key, and it asks the previous home. The
/// new process of the previous home has no record of the key, which was understood as "never granted". The
/// retry ran the call a second time.
#[test]
fn previous_home_has_no_record_after_a_restart() {
    let faults = [
        (31_853, Fault::Freeze(53)),
        (32_719, Fault::Freeze(6)),
        (33_711, Fault::Freeze(49)),
        (40_400, Fault::Stall(23)),
        (51_658, Fault::Freeze(8)),
        (53_455, Fault::Kill(47)),
    ];
    assert_no_violations(false, 6_346_730_226_550_437_374, &faults);
}

/// The load has moved to the only site in a domain, and a network partition separates it from another
/// domain until the load ends. Callers of long requests are refused at once with a `Retry-After` delay each
/// time, and retry up to six times; some are served only 4 minutes after all faults have ended. Every
/// submission must be answered within its deadline, and every caller must have a final answer within the
/// time that its submissions may take.
#[test]
fn callers_without_an_answer_after_a_partition_of_the_only_site() {
    let faults = [(1, Fault::Share(122)), (43_100, Fault::Cut(Side::Domain(0), Side::Domain(2)))];
    assert_no_violations(true, 7_772_869_272_280_670_474, &faults);
}

/// A stream stalls and is resumed at the same engine, which is polled for its load at the same moment. The
/// report contains the earlier attempt, which is not the current one any more, and which was cancelled as
/// an orphan. The next attempt held the memory of the engine for ever.
#[test]
fn stream_resumed_while_its_engine_reports() {
    let faults = [
        (10_240, Fault::Cut(Side::Domain(5), Side::Domain(1))),
        (58_827, Fault::Cut(Side::Domain(6), Side::Domain(5))),
    ];
    assert_no_violations(true, 8_842_440_123_689_219_757, &faults);
}
