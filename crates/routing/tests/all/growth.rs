//! Growth of running generations.

use teaselshunt_routing::Growth;

/// An engine of 24,000 tokens. Its memory in use, and what it was promised, leave 4,000.
struct Engine {
    used: u64,
}

impl Engine {
    fn grants(&self, tokens: u64) -> bool {
        self.used + tokens <= 24_000
    }
}

/// Four instances ask the same engine at once, each with the same old news: five young generations that use 3,000 tokens
/// each and will need 4,000. By its memory in use the engine would take two more and then run out of memory, with streams
/// put back in the middle. Asked for what the five will still need besides, it takes one.
#[test]
fn room_covers_what_others_will_still_need() {
    let mut growth = Growth::default();
    for _ in 0..200 {
        growth.learn(3_000, 1_000);
    }
    assert!(growth.ahead(20_000).abs_diff(2_500) < 50);
    let taken = |covers: u64| {
        let mut engine = Engine { used: 5 * 3_000 };
        let mut count = 0;
        while count < 4 && engine.grants(4_000 + covers) {
            engine.used += 4_000;
            count += 1;
        }
        count
    };
    assert_eq!(taken(0), 2);
    assert_eq!(taken(growth.ahead(20_000)), 1);
}
