//! Tests of the validation of documents.

use quickcheck::quickcheck;
use teaselshunt_settings::{parse_configuration, parse_settings};

const CONFIGURATION: &str = include_str!("../../../../examples/pindan/configuration.json");

quickcheck! {
    /// Any text yields an error and no panic.
    fn any_text_yields_an_error_and_no_panic(text: String) -> bool {
        parse_configuration(&text).is_err() && parse_settings(&text).is_err()
    }

    /// A configuration truncated at any place is refused.
    fn a_truncated_configuration_is_refused(length: usize) -> bool {
        let end = length % (CONFIGURATION.trim_end().len() - 1);
        parse_configuration(&CONFIGURATION[..end]).is_err()
    }
}

#[test]
fn references_must_resolve_and_names_be_unique() {
    let text = CONFIGURATION.replacen("\"pool\": \"fee-writer\"", "\"pool\": \"nowhere\"", 1).replacen(
        "\"fee-writer-decode-2\"",
        "\"fee-writer-decode-1\"",
        1,
    );
    let errors = parse_configuration(&text).expect_err("both errors are found").to_string();
    assert!(errors.contains("\"nowhere\" is not defined; allowed: fee-writer, fees, quote-desk"), "{errors}");
    assert!(errors.contains("\"fee-writer-decode-1\" is used twice"), "{errors}");
}

/// A team's keys are listed in the configuration as digests. A value that is not a digest may be the key
/// itself, so the error does not repeat it. A key that two teams list is refused, since callers of one team
/// would be identified as the other's.
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
    let errors = parse_configuration(&text).expect_err("both errors are found").to_string();
    assert!(errors.contains("/teams/0/keys/1: not a digest"), "{errors}");
    assert!(errors.contains("/teams/1/keys/0: team \"a\" has this key as well"), "{errors}");
    assert!(!errors.contains(secret), "{errors}");
}
