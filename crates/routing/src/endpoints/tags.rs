//! Listed endpoints by the tag of their incarnation.

use std::collections::HashMap;
use std::collections::hash_map;

use crate::{EndpointKey, EngineTag};

/// Index of the listed endpoints by their tags. Two endpoints have the same tag where hashes collide; the one that
/// was listed first is found then.
#[derive(Debug, Default)]
pub(super) struct TagIndex {
    keys: HashMap<EngineTag, EndpointKey>,
    /// Endpoints whose tag belongs to another one as well, in the order of their listing.
    colliding: Vec<(EngineTag, EndpointKey)>,
}

impl TagIndex {
    pub(super) fn insert(&mut self, tag: EngineTag, key: EndpointKey) {
        match self.keys.entry(tag) {
            hash_map::Entry::Vacant(vacant) => {
                vacant.insert(key);
            }
            hash_map::Entry::Occupied(occupied) if *occupied.get() == key => {}
            hash_map::Entry::Occupied(_) => self.colliding.push((tag, key)),
        }
    }

    pub(super) fn remove(&mut self, tag: EngineTag, key: EndpointKey) {
        if self.keys.get(&tag) != Some(&key) {
            self.colliding.retain(|&colliding| colliding != (tag, key));
            return;
        }
        match self.colliding.iter().position(|&(other, _)| other == tag) {
            Some(next) => {
                self.keys.insert(tag, self.colliding.remove(next).1);
            }
            None => {
                self.keys.remove(&tag);
            }
        }
    }

    pub(super) fn get(&self, tag: EngineTag) -> Option<EndpointKey> {
        self.keys.get(&tag).copied()
    }

    pub(super) fn contains(&self, tag: EngineTag) -> bool {
        self.keys.contains_key(&tag)
    }
}
