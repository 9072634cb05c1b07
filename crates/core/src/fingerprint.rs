//! Fingerprints that identify requests by content, independent of their ids.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Hash of a request's content that is the same on every instance.
///
/// A caller that sends a request again gives it a new id, so that the id does not show what the same request
/// did before. The hash is not cryptographic: an attacker could construct a request with the fingerprint of
/// another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Fingerprint of a request. `team` is empty for callers without a team; `path` includes the query.
    ///
    /// The team is part of the fingerprint, so that no team can cause refusals of another team's requests by
    /// sending the same content.
    pub fn of(team: &str, method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [team.as_bytes(), method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            // Each length is hashed too, so that no byte can move between parts.
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
