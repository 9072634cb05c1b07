//! Parts of prompts that requests share.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of parts of one prompt that count.
const PARTS_MAX: usize = 64;

/// A part of the prompts of a service that several requests may have, such as instructions or a document.
///
/// The same on every instance. Services have different engines, so that the same part at two services is two parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PromptPart(pub u64);

impl PromptPart {
    /// The parts with these ids at a service, each once.
    pub fn of_all(service: &str, ids: &[u64]) -> Vec<Self> {
        let mut parts: Vec<Self> = Vec::new();
        for id in ids.iter().take(PARTS_MAX) {
            let part = Self(xxh3_64_with_seed(service.as_bytes(), *id));
            if !parts.contains(&part) {
                parts.push(part);
            }
        }
        parts
    }

    /// The parts as one text, for logs.
    pub fn join(parts: &[Self]) -> String {
        let texts: Vec<_> = parts.iter().map(Self::to_string).collect();
        texts.join(",")
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
