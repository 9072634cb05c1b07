//! Slow readers: bodies that accumulate because one side does not read.

use quickcheck::QuickCheck;
use teaselshunt_routing::{BodyKind, BodyMemory};

const LIMIT: u64 = 1000;

/// Endpoints read slowly and requests accumulate. There must still be memory for responses, or complete work
/// is lost.
#[test]
fn accumulated_requests_leave_memory_for_responses() {
    let mut memory = BodyMemory::new(LIMIT);
    while memory.reserve(10, BodyKind::Request).is_ok() {}
    assert!(memory.reserve(200, BodyKind::Response).is_ok());
}

/// Callers read slowly and responses accumulate. New requests must be refused before a response is dropped.
#[test]
fn accumulated_responses_refuse_requests_first() {
    let mut memory = BodyMemory::new(LIMIT);
    memory.reserve(800, BodyKind::Response).expect("memory for the response");
    assert!(memory.reserve(1, BodyKind::Request).is_err());
    assert!(memory.reserve(100, BodyKind::Response).is_ok());
}

/// In any sequence of reservations and releases never more than the limit is held, and a refusal reserves
/// nothing.
#[test]
fn never_more_than_the_limit_is_held() {
    fn property(steps: Vec<(u16, bool, bool)>) -> bool {
        let (mut memory, mut reserved) = (BodyMemory::new(LIMIT), Vec::new());
        steps.into_iter().all(|(bytes, request, releases)| {
            let bytes = u64::from(bytes % 400);
            if releases && let Some(last) = reserved.pop() {
                memory.release(last);
            }
            let kind = if request { BodyKind::Request } else { BodyKind::Response };
            if memory.reserve(bytes, kind).is_ok() {
                reserved.push(bytes);
            }
            memory.held() == reserved.iter().sum::<u64>() && memory.held() <= LIMIT
        })
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<(u16, bool, bool)>) -> bool);
}

/// Responses without an end take all memory that they get. Requests and small responses must still have room, however
/// many of these there are.
#[test]
fn growing_responses_leave_memory_for_others() {
    for count in 1..20 {
        let mut memory = BodyMemory::new(LIMIT);
        let mut growing = vec![0; count];
        for step in 0..1000 {
            let own = &mut growing[step % count];
            if memory.reserve_whole(7, *own).is_ok() {
                *own += 7;
            }
        }
        assert!(growing.iter().all(|own| *own > 0));
        assert!(memory.reserve(20, BodyKind::Request).is_ok(), "{count}: {}", memory.held());
        assert!(memory.reserve_whole(20, 0).is_ok(), "{count}: {}", memory.held());
        for own in growing {
            memory.release_whole(own);
        }
        assert_eq!(memory.held(), 40);
        assert!(memory.reserve_whole(memory.largest_response(), 0).is_ok());
    }
}
