//! Slow readers: bodies that pile up because one side does not read.

use quickcheck::QuickCheck;
use teaselshunt_routing::{BodyKind, BodyMemory};

const LIMIT: u64 = 1000;

/// Endpoints read slowly and requests pile up. Answers must still find room, or work that is done is lost.
#[test]
fn piled_up_requests_leave_room_for_answers() {
    let mut memory = BodyMemory::new(LIMIT);
    while memory.reserve(10, BodyKind::Request).is_ok() {}
    assert!(memory.reserve(200, BodyKind::Response).is_ok());
}

/// Callers read slowly and answers pile up. New requests are refused before an answer is.
#[test]
fn piled_up_answers_refuse_requests_first() {
    let mut memory = BodyMemory::new(LIMIT);
    memory.reserve(800, BodyKind::Response).expect("room for the answer");
    assert!(memory.reserve(1, BodyKind::Request).is_err());
    assert!(memory.reserve(100, BodyKind::Response).is_ok());
}

/// Whatever is taken and given back, never more than the limit is held, and a refusal takes nothing.
#[test]
fn never_more_than_the_limit_is_held() {
    fn property(steps: Vec<(u16, bool, bool)>) -> bool {
        let (mut memory, mut taken) = (BodyMemory::new(LIMIT), Vec::new());
        steps.into_iter().all(|(bytes, request, gives)| {
            let bytes = u64::from(bytes % 400);
            if gives && let Some(last) = taken.pop() {
                memory.release(last);
            }
            let held = if request { BodyKind::Request } else { BodyKind::Response };
            if memory.reserve(bytes, held).is_ok() {
                taken.push(bytes);
            }
            memory.held() == taken.iter().sum::<u64>() && memory.held() <= LIMIT
        })
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<(u16, bool, bool)>) -> bool);
}
