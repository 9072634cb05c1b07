//! Records of the keys that an instance granted or was handed.
//!
//! A record is kept until it expires: a key that ran is never forgotten within its horizon. Memory is bounded
//! all the same. The oldest stored responses are dropped first; a caller that repeats such a request learns
//! that it ran, and not the response. When there are [`RECORDS_MAX`] records, no new key is granted until one
//! expires.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::IdempotencyKey;
use crate::message::KeyRecord;

/// Records from which on no new key is granted: some 570 new keys a second at one home for the default
/// horizon. They take about 130 MB without responses.
pub(crate) const RECORDS_MAX: usize = 512 << 10;
/// Total size of the stored responses of all keys.
const RESPONSE_BYTES_MAX: usize = 32 << 20;

/// The record of one key.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) record: KeyRecord,
    at: Instant,
}

/// All records of an instance.
#[derive(Debug, Default)]
pub(super) struct Records {
    entries: HashMap<IdempotencyKey, Entry>,
    /// Records by age. A pair whose time is not that of the entry is outdated.
    by_age: VecDeque<(Instant, IdempotencyKey)>,
    /// The same for records with a stored response.
    responses: VecDeque<(Instant, IdempotencyKey)>,
    response_bytes: usize,
}

impl Records {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn get(&self, key: IdempotencyKey) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// All keys, in order, so that the same state results in the same messages.
    pub(super) fn sorted_keys(&self) -> Vec<IdempotencyKey> {
        let mut keys: Vec<IdempotencyKey> = self.entries.keys().copied().collect();
        keys.sort_unstable();
        keys
    }

    /// Adds a record, or replaces that of the same key.
    pub(super) fn insert(&mut self, now: Instant, key: IdempotencyKey, record: KeyRecord) {
        let bytes = response_bytes(&record);
        if bytes > 0 {
            self.responses.push_back((now, key));
        }
        self.response_bytes += bytes;
        self.by_age.push_back((now, key));
        if let Some(old) = self.entries.insert(key, Entry { record, at: now }) {
            self.response_bytes -= response_bytes(&old.record);
        }
    }

    pub(super) fn remove(&mut self, key: IdempotencyKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.response_bytes -= response_bytes(&entry.record);
        }
    }

    /// Removes records that are older than `retention`, and the oldest responses above the size limit.
    pub(super) fn expire(&mut self, now: Instant, retention: Duration) {
        let is_old = |(at, _): &(Instant, IdempotencyKey)| now.duration_since(*at) > retention;
        while let Some((at, key)) = self.by_age.pop_front_if(|pair| is_old(pair)) {
            if self.entries.get(&key).is_some_and(|entry| entry.at == at) {
                self.remove(key);
            }
        }
        while self.responses.pop_front_if(|pair| is_old(pair)).is_some() {}
        while self.response_bytes > RESPONSE_BYTES_MAX
            && let Some((at, key)) = self.responses.pop_front()
        {
            self.drop_response(at, key);
        }
    }

    fn drop_response(&mut self, at: Instant, key: IdempotencyKey) {
        let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.at == at) else { return };
        self.response_bytes -= response_bytes(&entry.record);
        if let KeyRecord::Ran(stored) = &mut entry.record {
            *stored = None;
        }
    }

    /// Time until the oldest record expires, if there are too many to grant another key.
    pub(super) fn full_for(&self, now: Instant, retention: Duration) -> Option<Duration> {
        if self.entries.len() < RECORDS_MAX {
            return None;
        }
        let oldest = self.by_age.front().map_or(now, |&(at, _)| at);
        Some((oldest + retention).saturating_duration_since(now))
    }
}

fn response_bytes(record: &KeyRecord) -> usize {
    match record {
        KeyRecord::Ran(Some(stored)) => stored.body.len() + stored.content_type.len(),
        KeyRecord::Ran(None) | KeyRecord::Granted(_) | KeyRecord::Unknown => 0,
    }
}
