//! Ids and the table of answers.

use quickcheck::quickcheck;
use teaselshunt_core::{AttemptId, ErrorKind, InstanceId, Outcome, RequestId};

quickcheck! {
    /// Engines give back what they were given.
    fn an_attempt_id_survives_its_text_form(instance: u64, incarnation: u64, sequence: u64, number: u32) -> bool {
        let request = RequestId { instance: InstanceId(instance), incarnation, sequence };
        let attempt = AttemptId { request, number };
        attempt.to_string().parse() == Ok(attempt)
    }

    /// Other systems' ids are told apart without a panic.
    fn any_other_text_is_no_attempt_id(text: String) -> bool {
        text.parse::<AttemptId>().map_or(true, |id| id.to_string().parse() == Ok(id))
    }
}

#[test]
fn statuses_fit_outcomes() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        assert!((400..=599).contains(&answer.status), "{kind:?}");
        if matches!(answer.status, 404 | 408 | 413 | 429) {
            assert_eq!(answer.outcome, Outcome::NotRun, "{kind:?}");
        }
    }
}
