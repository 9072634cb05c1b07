//! Keys are seen nowhere.

use teaselshunt_teams::ApiKey;

const TEXT: &str = "k7b2ex5wa5xwyhks8nbk";

/// A key gets into a log line, an error or the output of a crash by being printed with whatever holds it. Neither the key
/// nor its digest prints anything of itself, in either form.
#[test]
fn neither_a_key_nor_its_digest_prints_itself() {
    let key = ApiKey::new(TEXT.to_owned());
    for text in [format!("{key:?}"), format!("{key:#?}"), format!("{:?}", key.digest())] {
        assert!(!text.contains(TEXT), "{text}");
        assert!(!text.chars().any(|c| c.is_ascii_digit()), "a byte of it is seen: {text}");
    }
}

#[test]
fn digests_tell_keys_apart() {
    let digest = |text: &str| ApiKey::new(text.to_owned()).digest();
    assert_eq!(digest(TEXT), digest(TEXT));
    assert_ne!(digest(TEXT), digest("k7b2ex5wa5xwyhks8nbl"));
    assert_ne!(digest(TEXT), digest(""));
}
