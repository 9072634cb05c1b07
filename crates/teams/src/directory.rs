//! The teams of one configuration version, found by their callers' keys in constant time.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::key::KeyDigest;

/// A team as instances tell one another of it: a part of its name's digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TeamTag(pub u32);

impl TeamTag {
    /// Tag of the team with this name.
    pub fn of(name: &str) -> Self {
        let digest = Sha256::digest(name.as_bytes());
        Self(u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]]))
    }
}

/// In what a team's limit is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Each request is one.
    Requests,
    /// A generation is its prompt tokens and the most tokens that it may make; any other request is `plain` tokens.
    Tokens {
        /// Tokens of a request that names none.
        plain: u64,
    },
}

/// How much a team may ask of all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
}

/// A team.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Team {
    /// Its name, as operators and endpoints know it.
    pub name: Arc<str>,
    /// Rank of its requests, where 0 is first; goes before the route's.
    pub priority: Option<u8>,
    /// In what its limit is counted.
    pub unit: Unit,
    /// Its limit, if it has one.
    pub limit: Option<Limit>,
}

impl Team {
    /// The name's tag.
    pub fn tag(&self) -> TeamTag {
        TeamTag::of(&self.name)
    }

    /// What a request counts against the limit. `tokens` are its prompt tokens and most output tokens, if it names them.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// All teams of a version.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Teams {
    all: Vec<Arc<Team>>,
    /// Index into `all`.
    keys: HashMap<KeyDigest, u32>,
    /// Keys that a second team names as well.
    shared: usize,
}

impl Teams {
    /// Indexes teams with their keys. A key that two teams name belongs to the first of them, on every instance alike.
    pub fn new(teams: impl IntoIterator<Item = (Team, Vec<KeyDigest>)>) -> Self {
        let mut found = Self::default();
        for (team, keys) in teams {
            let index = found.all.len() as u32;
            found.all.push(Arc::new(team));
            for key in keys {
                let holder = *found.keys.entry(key).or_insert(index);
                found.shared += usize::from(holder != index);
            }
        }
        found
    }

    /// The team that holds a key.
    pub fn find(&self, key: KeyDigest) -> Option<&Arc<Team>> {
        self.all.get(*self.keys.get(&key)? as usize)
    }

    /// All teams, in the configuration's order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.all.iter()
    }

    /// Keys that more than one team names.
    pub fn shared_keys(&self) -> usize {
        self.shared
    }
}
