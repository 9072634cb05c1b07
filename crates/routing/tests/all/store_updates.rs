//! Who of a failure domain reads the store, and for how long the others believe what they are told.
//!
//! The pattern: some thirty instances in a domain, endpoints that come and go all the time, a store that counts each call.
//! Read by each for itself, one change costs thirty calls. Bounds are those of such a site: four seconds.

use std::time::Duration;

use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use teaselshunt_routing::{Freshness, ReadNeed, StallDetector, UpdateEffect, UpdateSource};

const BOUND: Duration = Duration::from_secs(4);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// What each of `instances` does if all hear all.
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

/// Instances hear only some of their peers, as after many were killed at once. Whoever hears enough of them may go by its
/// peers only if some instance that it hears comes before it; the one that comes first of all always reads.
#[test]
fn the_first_of_a_domain_reads_whatever_the_others_hear() {
    let mut rng = SmallRng::seed_from_u64(5);
    for _ in 0..500 {
        let mut heard: Vec<u32> = (1..32).collect();
        heard.shuffle(&mut rng);
        heard.truncate(rng.random_range(0..32));
        assert_ne!(UpdateSource::of(&0, heard.into_iter()), UpdateSource::Peers);
    }
}

/// A reader dies, or is cut off from the store without noticing. Nobody confirms anything any more, and an endpoint leaves in
/// the same moment. Each other instance must ask the store in time for the bound, with time left for a slow answer.
#[test]
fn an_instance_whose_readers_are_silent_asks_in_time() {
    let mut freshness = Freshness::new(BOUND);
    freshness.confirm(ms(10_000));
    assert!(freshness.remaining(ms(10_100)).is_some());
    let left = freshness.remaining(ms(10_000)).expect("it was just confirmed");
    assert!(freshness.remaining(ms(10_000) + left).is_none());
    assert!(left + ms(900) < BOUND, "{left:?}");
    assert!(left > ms(2_300), "a pause after a change and a watch fit into it: {left:?}");
}

/// Tellings arrive late, twice and out of order. None of them makes what is known look fresher than it is.
#[test]
fn an_old_telling_confirms_nothing() {
    let mut freshness = Freshness::new(BOUND);
    for at in [12_000, 9_000, 12_000, 11_000] {
        freshness.confirm(ms(at));
    }
    assert_eq!(freshness.age(ms(12_500)), ms(500));
}

/// A reader is suspended with an answer of the store in its socket, and wakes. The answer is as old as the call may be: told
/// as fresh, it would keep the others from asking, and they would send work to an endpoint that has left meanwhile. Which
/// of its tasks goes on first is chance.
#[test]
fn a_reader_that_stood_still_knows_it() {
    let mut pulse = StallDetector::new(ms(0));
    for beat in 1..=20 {
        pulse.tick(ms(beat * 400));
    }
    assert!(!pulse.stalled_since(ms(7_500), ms(8_300)));
    assert!(pulse.stalled_since(ms(7_500), ms(13_000)), "the answer is read before the next beat");
    pulse.tick(ms(13_000));
    assert!(pulse.stalled_since(ms(7_500), ms(13_001)), "the answer is read after it");
    assert!(!pulse.stalled_since(ms(13_002), ms(13_100)), "another call was made since");
}

quickcheck! {
    /// Two readers tell all changes of the store in tellings that may be lost, repeated or late. Whoever takes over what may
    /// be taken over, and asks where something is missing, knows every change up to the revision that it believes to know.
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

/// An endpoint leaves the list just after the store was last heard, and that is heard a second later. The time in which it may
/// still be used began with its leaving. After an outage nobody knows when it went, and most that went are back in a moment.
#[test]
fn an_entry_is_missing_since_the_last_confirmation() {
    let mut freshness = Freshness::new(Duration::from_secs(4));
    let start = Duration::from_secs(100);
    assert_eq!(freshness.missing_for(start), Duration::ZERO, "nothing was known");
    freshness.confirm(start);
    assert_eq!(freshness.missing_for(start + Duration::from_secs(1)), Duration::from_secs(1));
    assert_eq!(freshness.missing_for(start + Duration::from_secs(9)), Duration::ZERO, "the store was away");
}

/// Hundreds of entries change at once, more than a telling holds, and a copy of all of them is on its way when the next telling
/// comes, of changes that the copy has already. Everybody asked the store for what was known.
#[test]
fn a_gap_that_a_copy_has_filled_needs_no_call() {
    let ask = ReadNeed::default().with_gap(6_757).with_gap(7_043);
    assert!(!ask.is_filled(6_757));
    assert!(ask.is_filled(7_043));
    assert!(!ReadNeed::Due.is_filled(7_043), "what was not confirmed for long is asked for all the same");
    assert!(!ReadNeed::default().with_gap(u64::MAX).is_filled(7_043), "revisions of another era say nothing");
}

/// Hundreds of instances start together. One that has heard nobody after two seconds, or only some of other domains, does not
/// know yet that others read the store for it, and made up to ten calls of its own. Where few are heard there are few.
#[test]
fn an_instance_among_hundreds_waits_to_hear_its_domain() {
    let seconds = Duration::from_secs;
    assert!(!UpdateSource::Peers.is_settled(seconds(1), 300));
    assert!(UpdateSource::Peers.is_settled(seconds(2), 300));
    assert!(UpdateSource::Reader.is_settled(seconds(2), 12));
    assert!(UpdateSource::Alone.is_settled(seconds(2), 8), "nine instances have nobody to wait for");
    assert!(!UpdateSource::Alone.is_settled(seconds(4), 0));
    assert!(!UpdateSource::Alone.is_settled(seconds(4), 80));
    assert!(UpdateSource::Alone.is_settled(seconds(5), 0), "nobody waits for ever");
}
