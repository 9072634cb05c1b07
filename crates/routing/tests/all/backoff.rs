//! Searches for capacity in a full pool.
//!
//! The scenario: a burst over many instances that learn of each other's work with the gossip delay, so that
//! each asks engines that are full by then. The numbers are those of a large site: 90 decode engines with
//! capacity for seven generations of three and a half seconds, 250 new generations a second, a search that
//! may last 0.7 s, an attempt to reserve that takes 2 ms.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselshunt_routing::Backoff;

const ENGINES: usize = 90;
const CAPACITY: usize = 7;
const RATE: u64 = 250;
const GENERATION: Duration = Duration::from_millis(3_500);
const SEARCH: Duration = Duration::from_millis(700);
const ATTEMPT: Duration = Duration::from_millis(2);
const BURST: Duration = Duration::from_secs(8);

struct Search {
    next: Duration,
    until: Duration,
    backoff: Backoff,
}

/// Returns the attempts to reserve, and the generations that found capacity, over a burst; `pause` returns
/// how long a search pauses after a refusal.
fn burst(seed: u64, pause: impl Fn(&mut Backoff) -> Duration) -> (u32, u32) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut engines: Vec<Vec<Duration>> = vec![Vec::new(); ENGINES];
    let mut searches: Vec<Search> = Vec::new();
    let (mut attempts, mut found, mut now, mut arrived) = (0, 0, Duration::ZERO, 0);
    while now < BURST {
        while arrived < now.as_millis() as u64 * RATE / 1000 {
            arrived += 1;
            searches.push(Search { next: now, until: now + SEARCH, backoff: Backoff::new(false) });
        }
        for engine in &mut engines {
            engine.retain(|end| *end > now);
        }
        searches.retain_mut(|search| {
            if search.next > now {
                return true;
            }
            attempts += 1;
            let engine = &mut engines[rng.random_range(0..ENGINES)];
            if engine.len() < CAPACITY {
                engine.push(now + GENERATION);
                found += 1;
                return false;
            }
            search.next = now + ATTEMPT + pause(&mut search.backoff);
            search.next < search.until
        });
        now += ATTEMPT;
    }
    (attempts, found)
}

/// Every engine is full, and each search asks one engine after the other without a pause. Thousands of
/// attempts a second find no more capacity than a few would, and each may cost a connection. With pauses that
/// grow, searches ask a fifth as often, and as many generations find capacity.
#[test]
fn searches_in_a_full_pool_back_off_and_find_as_much() {
    for seed in 0..5 {
        let (unpaced, most) = burst(seed, |_| Duration::ZERO);
        let (attempts, found) = burst(seed, Backoff::after_refusal);
        assert!(attempts * 5 < unpaced, "seed {seed}: {attempts} attempts, {unpaced} without pauses");
        assert!(found * 100 > most * 97, "seed {seed}: {found} found capacity, {most} without pauses");
    }
}

/// One engine refuses because another request was quicker. The next engine must be asked at once: most pools
/// have capacity, and a pause would delay the first event of a stream for nothing.
#[test]
fn one_refusal_is_no_reason_to_wait() {
    let mut backoff = Backoff::new(false);
    assert_eq!(backoff.after_refusal(), Duration::ZERO);
    assert!(backoff.after_refusal() >= backoff.pause());
    assert!(backoff.after_refusal() > backoff.pause());
}
