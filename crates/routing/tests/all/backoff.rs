//! Searches for room in a full pool.
//!
//! The pattern: a burst over many instances that know of each other's work a moment late, so that each asks engines that are
//! full by then. Figures are those seen at a large site: 90 decode engines with room for seven generations of three and a
//! half seconds, 250 new ones a second, a search that may last 0.7 s, an ask that takes 2 ms.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselshunt_routing::Backoff;

const ENGINES: usize = 90;
const ROOM: usize = 7;
const RATE: u64 = 250;
const GENERATION: Duration = Duration::from_millis(3_500);
const SEARCH: Duration = Duration::from_millis(700);
const ASK: Duration = Duration::from_millis(2);
const BURST: Duration = Duration::from_secs(8);

struct Search {
    next: Duration,
    until: Duration,
    looks: Backoff,
}

/// Asks, and generations that found room, over a burst; `pace` says how long a search pauses after a refusal.
fn burst(seed: u64, pace: impl Fn(&mut Backoff) -> Duration) -> (u32, u32) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut engines: Vec<Vec<Duration>> = vec![Vec::new(); ENGINES];
    let mut searches: Vec<Search> = Vec::new();
    let (mut asks, mut found, mut now, mut arrived) = (0, 0, Duration::ZERO, 0);
    while now < BURST {
        while arrived < now.as_millis() as u64 * RATE / 1000 {
            arrived += 1;
            searches.push(Search { next: now, until: now + SEARCH, looks: Backoff::new(false) });
        }
        for engine in &mut engines {
            engine.retain(|end| *end > now);
        }
        searches.retain_mut(|search| {
            if search.next > now {
                return true;
            }
            asks += 1;
            let engine = &mut engines[rng.random_range(0..ENGINES)];
            if engine.len() < ROOM {
                engine.push(now + GENERATION);
                found += 1;
                return false;
            }
            search.next = now + ASK + pace(&mut search.looks);
            search.next < search.until
        });
        now += ASK;
    }
    (asks, found)
}

/// Every engine is full, and each search asks one engine after the other without a pause. Thousands of asks a second find
/// no more room than a few would, and each may cost a connection. With pauses that grow, searches ask a fifth as
/// often, and as many generations find room.
#[test]
fn searches_in_a_full_pool_ask_seldom_and_find_as_much() {
    for seed in 0..5 {
        let (hasty, most) = burst(seed, |_| Duration::ZERO);
        let (asks, found) = burst(seed, Backoff::after_refusal);
        assert!(asks * 5 < hasty, "seed {seed}: {asks} asks, {hasty} without pauses");
        assert!(found * 100 > most * 97, "seed {seed}: {found} found room, {most} without pauses");
    }
}

/// One engine refuses because somebody else was quicker. The next one is asked at once: most pools have room, and a pause
/// would make the first event of a stream later for nothing.
#[test]
fn one_refusal_is_no_reason_to_wait() {
    let mut looks = Backoff::new(false);
    assert_eq!(looks.after_refusal(), Duration::ZERO);
    assert!(looks.after_refusal() >= looks.pause());
    assert!(looks.after_refusal() > looks.pause());
}
