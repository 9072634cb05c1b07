//! The teams of one configuration version, found by their callers' keys in constant time.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::key::KeyDigest;

/// Identifies a team in updates between instances: the first bytes of its name's digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TeamTag(pub u32);

impl TeamTag {
    /// Tag of the team with this name.
    pub fn of(name: &str) -> Self {
        let digest = Sha256::digest(name.as_bytes());
        Self(u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]]))
    }
}

/// Unit in which a team's limit is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// A generation counts its prompt tokens and the largest number of output tokens that it allows; any
    /// other request counts `plain` tokens.
    Tokens {
        /// Tokens of a request that states none.
        plain: u64,
    },
}

/// How much a team may request of all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
}

/// A team.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Team {
    /// Its name, as operators and endpoints know it.
    pub name: Arc<str>,
    /// Priority of its requests, where 0 is the highest; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Unit in which its limit is counted.
    pub unit: Unit,
    /// Its limit, if any.
    pub limit: Option<Limit>,
}

impl Team {
    /// Tag of the team's name.
    pub fn tag(&self) -> TeamTag {
        TeamTag::of(&self.name)
    }

    /// Units that a request counts against the limit. `tokens` is the sum of its prompt tokens and its
    /// largest number of output tokens, if it states them.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// All teams of a configuration version.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Teams {
    all: Vec<Arc<Team>>,
    /// Index into `all`.
    keys: HashMap<KeyDigest, u32>,
    /// Number of keys that a second team lists as well.
    shared: usize,
}

impl Teams {
    /// Indexes teams by their keys. A key that two teams list belongs to the first of them, on every instance
    /// alike.
    pub fn new(teams: impl IntoIterator<Item = (Team, Vec<KeyDigest>)>) -> Self {
        let mut found = Self::default();
        for (team, keys) in teams {
            let index = found.all.len() as u32;
            found.all.push(Arc::new(team));
            for key in keys {
                let owner = *found.keys.entry(key).or_insert(index);
                found.shared += usize::from(owner != index);
            }
        }
        found
    }

    /// The team that owns a key.
    pub fn find(&self, key: KeyDigest) -> Option<&Arc<Team>> {
        self.all.get(*self.keys.get(&key)? as usize)
    }

    /// All teams, in the configuration's order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.all.iter()
    }

    /// Number of keys that more than one team lists.
    pub fn shared_keys(&self) -> usize {
        self.shared
    }
}
