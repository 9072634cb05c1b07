//! By what a request that comes again is known: what it asks for, not who numbered it.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// What a request asks for, as a hash that is the same on every instance.
///
/// A caller who sends a request again gives it a new id, so that an id tells nothing of what the same request did before.
/// The hash is not cryptographic: with effort, somebody could make a request that looks like another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Fingerprint of a request. `team` is empty where callers have none; `path` includes the query.
    ///
    /// The team is part of it, so that no team can have another one's requests refused by sending the same.
    pub fn of(team: &str, method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [team.as_bytes(), method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            // With their lengths, so that no byte can move from one part to the next.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
