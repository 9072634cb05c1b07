//! Keys that callers present, and the digests that identify them.
//!
//! The text of a key exists only while the head of a request or a configuration is read. Everything that is
//! stored, sent to peers or compared is a digest. Neither type prints its content, so no log line, error or
//! panic can reveal a key.

use std::fmt::{self, Write};
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use zeroize::Zeroizing;

/// A caller's key as it was presented; its memory is overwritten when it is dropped.
pub struct ApiKey(Zeroizing<String>);

impl ApiKey {
    /// Creates a key from its text.
    pub fn new(text: String) -> Self {
        Self(Zeroizing::new(text))
    }

    /// Digest that identifies the key.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.0.as_bytes()).into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey")
    }
}

/// SHA-256 of a key. Operators' tools draw long keys at random, so a digest without salt reveals nothing.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Parses the output of [`KeyDigest::to_hex`]; `None` for any other text.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut bytes = [0; 32];
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != 2 * bytes.len() || !text.bytes().all(is_digit) {
            return None;
        }
        for (byte, digits) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let digits = std::str::from_utf8(digits).ok()?;
            *byte = u8::from_str_radix(digits, 16).ok()?;
        }
        Some(Self(bytes))
    }

    /// The digest in hexadecimal digits, for a configuration; it is not secret.
    pub fn to_hex(&self) -> String {
        self.0.iter().fold(String::new(), |mut text, byte| {
            // Writing to a string does not fail.
            let _ = write!(text, "{byte:02x}");
            text
        })
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}
