//! Checking documents.

use quickcheck::quickcheck;
use teaselshunt_settings::{parse_configuration, parse_settings};

const CONFIGURATION: &str = include_str!("../../../../examples/pindan/configuration.json");

quickcheck! {
    /// Whatever text comes, there is an answer and no panic.
    fn any_text_is_answered(text: String) -> bool {
        parse_configuration(&text).is_err() && parse_settings(&text).is_err()
    }

    /// A configuration cut off anywhere is refused.
    fn a_part_is_no_configuration(length: usize) -> bool {
        let end = length % (CONFIGURATION.trim_end().len() - 1);
        parse_configuration(&CONFIGURATION[..end]).is_err()
    }
}

#[test]
fn references_must_lead_somewhere_and_names_be_unique() {
    let text = CONFIGURATION.replacen("\"pool\": \"fee-writer\"", "\"pool\": \"nowhere\"", 1).replacen(
        "\"fee-writer-decode-2\"",
        "\"fee-writer-decode-1\"",
        1,
    );
    let mistakes = parse_configuration(&text).expect_err("both mistakes are found").to_string();
    assert!(
        mistakes.contains("\"nowhere\" is not defined; allowed: fee-writer, fees, quote-desk"),
        "{mistakes}"
    );
    assert!(mistakes.contains("\"fee-writer-decode-1\" is used twice"), "{mistakes}");
}

/// A team's keys stand in the configuration as digests. What is no digest may be the key itself, and is not repeated in the
/// mistake; a key that two teams name is refused, since callers of one would be taken for the other's.
#[test]
fn keys_of_teams_are_digests_and_belong_to_one_team() {
    let digest = "0123456789abcdef".repeat(4);
    let secret = "k7b2ex5wa5xwyhks8nbk";
    let mut document: serde_json::Value = serde_json::from_str(CONFIGURATION).expect("the example is JSON");
    document["teams"] = serde_json::json!([
        { "name": "a", "weight": 1, "keys": [digest, secret] },
        { "name": "b", "weight": 1, "keys": [digest] },
    ]);
    let text = document.to_string();
    let mistakes = parse_configuration(&text).expect_err("both mistakes are found").to_string();
    assert!(mistakes.contains("/teams/0/keys/1: not a digest"), "{mistakes}");
    assert!(mistakes.contains("/teams/1/keys/0: team \"a\" has this key as well"), "{mistakes}");
    assert!(!mistakes.contains(secret), "{mistakes}");
}
