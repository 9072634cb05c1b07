//! Which instances of a failure domain read the store, and for how long the others rely on their updates.
//!
//! The scenario: some thirty instances in a domain, endpoints that are added and removed all the time, a
//! store that counts each call. If each instance reads for itself, one change costs thirty calls. The bound
//! is that of such a site: four seconds.

use std::time::Duration;

use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use teaselshunt_routing::{FreezeDetector, Freshness, ReadNeed, ReadTimes, UpdateEffect, UpdateSource};

const BOUND: Duration = Duration::from_secs(4);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// The update source of each of `instances` if all observe all.
fn sources(instances: u32) -> Vec<UpdateSource> {
    let others = |own: u32| (0..instances).filter(move |&peer| peer != own);
    (0..instances).map(|own| UpdateSource::of(&own, others(own))).collect()
}

#[test]
fn two_of_a_large_domain_read_and_all_of_a_small_one() {
    let readers = |sources: &[UpdateSource]| sources.iter().filter(|&&s| s == UpdateSource::Reader).count();
    assert_eq!(readers(&sources(32)), 2);
    assert_eq!(readers(&sources(7)), 2);
    assert!(sources(6).iter().all(|&s| s == UpdateSource::Alone));
    assert!(sources(1).iter().all(|&s| s == UpdateSource::Alone));
}

/// Instances observe only some of their peers, as after many were killed at once. An instance that observes
/// enough of them may rely on its peers only if it observes some with a lower address. The instance with the
/// lowest address of all always reads.
#[test]
fn the_first_of_a_domain_reads_whatever_it_observes() {
    let mut rng = SmallRng::seed_from_u64(5);
    for _ in 0..500 {
        let mut observed: Vec<u32> = (1..32).collect();
        observed.shuffle(&mut rng);
        observed.truncate(rng.random_range(0..32));
        assert_ne!(UpdateSource::of(&0, observed.into_iter()), UpdateSource::Peers);
    }
}

/// A reader dies, or can't reach the store and doesn't notice. No update confirms the knowledge of the others
/// any more, and an endpoint leaves at the same moment. Each other instance must read the store in time for
/// the bound, with time left for a slow response.
#[test]
fn an_instance_whose_readers_are_unresponsive_reads_in_time() {
    let mut freshness = Freshness::new(BOUND);
    freshness.confirm(ms(10_000));
    assert!(freshness.remaining(ms(10_100)).is_some());
    let left = freshness.remaining(ms(10_000)).expect("it was just confirmed");
    assert!(freshness.remaining(ms(10_000) + left).is_none());
    assert!(left + ms(900) < BOUND, "{left:?}");
    assert!(left > ms(2_300), "a pause after a change and a watch fit into it: {left:?}");
}

/// Updates arrive late, twice and out of order. None of them may make the knowledge look fresher than it is.
#[test]
fn an_old_update_confirms_nothing() {
    let mut freshness = Freshness::new(BOUND);
    for at in [12_000, 9_000, 12_000, 11_000] {
        freshness.confirm(ms(at));
    }
    assert_eq!(freshness.age(ms(12_500)), ms(500));
}

/// A reader is suspended with a response of the store in its socket, and resumes. The response may be as old
/// as the call. If it were sent as fresh, it would keep the others from reading, and they would send work to
/// an endpoint that has left meanwhile. Which of the reader's tasks continues first is random.
#[test]
fn a_reader_that_was_frozen_notices_it() {
    let mut detector = FreezeDetector::new(ms(0));
    for tick in 1..=20 {
        detector.tick(ms(tick * 400));
    }
    assert!(!detector.frozen_since(ms(7_500), ms(8_300)));
    assert!(detector.frozen_since(ms(7_500), ms(13_000)), "the response is read before the next tick");
    detector.tick(ms(13_000));
    assert!(detector.frozen_since(ms(7_500), ms(13_001)), "the response is read after it");
    assert!(!detector.frozen_since(ms(13_002), ms(13_100)), "another call was made since");
}

quickcheck! {
    /// Two readers send all changes of the store in updates that may be lost, repeated or late. An instance
    /// that applies the applicable updates, and reads the store where changes are missing, must know every
    /// change up to its known revision.
    fn nothing_between_two_revisions_is_missed(steps: Vec<(u8, u8, bool, bool)>) -> bool {
        let (mut known, mut changes): (u64, Vec<u64>) = (0, Vec::new());
        for (after, length, complete, lost) in steps {
            let (after, revision) = (u64::from(after), u64::from(after) + u64::from(length % 8));
            if lost {
                continue;
            }
            match UpdateEffect::of(known, after, revision, complete) {
                UpdateEffect::Confirmed => {}
                UpdateEffect::Changes => {
                    changes.extend((after + 1..=revision).filter(|change| *change > known));
                    known = revision;
                }
                UpdateEffect::Gap => {
                    changes.extend(known + 1..=revision);
                    known = revision;
                }
            }
        }
        changes == (1..=known).collect::<Vec<_>>()
    }
}

/// An endpoint leaves the list just after the last confirmation, and the instance learns of it a second
/// later. The time for which the endpoint may still be used began when it left. After an outage it is not
/// known when an entry was removed, and most removed entries are written again in a moment.
#[test]
fn an_entry_is_missing_since_the_last_confirmation() {
    let mut freshness = Freshness::new(Duration::from_secs(4));
    let start = Duration::from_secs(100);
    assert_eq!(freshness.missing_for(start), Duration::ZERO, "nothing was known");
    freshness.confirm(start);
    assert_eq!(freshness.missing_for(start + Duration::from_secs(1)), Duration::from_secs(1));
    assert_eq!(
        freshness.missing_for(start + Duration::from_secs(9)),
        Duration::ZERO,
        "the store was unavailable"
    );
}

/// Hundreds of entries change at once, more than an update holds, and a snapshot of all of them is on its way
/// when the next update arrives, about changes that the snapshot has already. Every instance then read the
/// store for changes that it knew.
#[test]
fn a_gap_that_a_snapshot_has_filled_needs_no_call() {
    let need = ReadNeed::default().with_gap(6_757).with_gap(7_043);
    assert!(!need.is_filled(6_757));
    assert!(need.is_filled(7_043));
    assert!(
        !ReadNeed::Due.is_filled(7_043),
        "knowledge that was not confirmed for long is read all the same"
    );
    assert!(
        !ReadNeed::default().with_gap(u64::MAX).is_filled(7_043),
        "revisions of another era mean nothing"
    );
}

/// Hundreds of instances start together. An instance that has observed no peer after two seconds, or only
/// some of other domains, doesn't know yet that others read the store for it, and made up to ten calls of its
/// own. If it has observed few peers, there are few.
#[test]
fn an_instance_among_hundreds_waits_to_discover_its_domain() {
    let seconds = Duration::from_secs;
    assert!(!UpdateSource::Peers.is_settled(seconds(1), 300));
    assert!(UpdateSource::Peers.is_settled(seconds(2), 300));
    assert!(UpdateSource::Reader.is_settled(seconds(2), 12));
    assert!(UpdateSource::Alone.is_settled(seconds(2), 8), "nine instances have no others to wait for");
    assert!(!UpdateSource::Alone.is_settled(seconds(4), 0));
    assert!(!UpdateSource::Alone.is_settled(seconds(4), 80));
    assert!(UpdateSource::Alone.is_settled(seconds(5), 0), "the wait is bounded");
}

quickcheck! {
    /// Guards against waits that together outlast the bound of a change: a connection that goes dead at any moment after a
    /// response must be replaced, and the change read, within the bound.
    fn a_change_takes_effect_in_time_over_a_dead_connection(bound_ms: u16, pause: bool, source: u8) -> bool {
        let bound = Duration::from_millis(u64::from(bound_ms) + 200);
        let times = ReadTimes::new(bound);
        let source = [UpdateSource::Alone, UpdateSource::Reader, UpdateSource::Peers][usize::from(source % 3)];
        let unconfirmed = match source {
            // An instance that follows its peers asks once their word is too old.
            UpdateSource::Peers => Freshness::new(bound).limit(),
            UpdateSource::Alone | UpdateSource::Reader if pause => times.pause(),
            UpdateSource::Alone | UpdateSource::Reader => Duration::ZERO,
        };
        let asked_again = unconfirmed + times.watch_wait(source, unconfirmed) + times.overdue();
        asked_again <= bound.mul_f64(0.81) && times.stall() > Duration::ZERO
    }
}

/// Guards against a watch that never waits, or for less and less, by an instance whose store responds late.
#[test]
fn a_watch_after_late_responses_still_waits() {
    let times = ReadTimes::new(Duration::from_secs(2));
    let wait = times.watch_wait(UpdateSource::Alone, Duration::from_secs(30));
    assert_eq!(wait, Duration::from_millis(200));
}
