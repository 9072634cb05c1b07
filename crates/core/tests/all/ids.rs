//! Ids and the table of error responses.

use quickcheck::quickcheck;
use teaselshunt_core::{AttemptId, ErrorKind, InstanceId, Outcome, RequestId};

quickcheck! {
    /// Engines return the text form of the ids that they were given.
    fn an_attempt_id_round_trips_as_text(instance: u64, incarnation: u64, sequence: u64, number: u32) -> bool {
        let request = RequestId { instance: InstanceId(instance), incarnation, sequence };
        let attempt = AttemptId { request, number };
        attempt.to_string().parse() == Ok(attempt)
    }

    /// Ids of other systems are rejected without a panic.
    fn any_other_text_is_not_an_attempt_id(text: String) -> bool {
        text.parse::<AttemptId>().map_or(true, |id| id.to_string().parse() == Ok(id))
    }
}

#[test]
fn statuses_match_outcomes() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        assert!((400..=599).contains(&answer.status), "{kind:?}");
        if matches!(answer.status, 404 | 408 | 413 | 429) {
            assert_eq!(answer.outcome, Outcome::NotRun, "{kind:?}");
        }
    }
}
