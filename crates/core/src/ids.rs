//! Typed identifiers. All are small and `Copy`.
//!
//! Operators name instances and endpoints. Internally and on the wire, each of them is identified by a 64-bit
//! hash of its name, which has a fixed size and is the same on every instance.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

slotmap::new_key_type! {
    /// A request in the arena of one instance.
    pub(crate) struct RequestKey;
    /// An endpoint in the arena of one instance.
    pub(crate) struct EndpointKey;
}

/// An entry instance, by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub u64);

impl InstanceId {
    /// Id of the instance called `name`.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// An endpoint, by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u64);

impl EndpointId {
    /// Id of the endpoint called `name`.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// A pool, by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolId(pub u64);

impl PoolId {
    /// Id of the pool called `name`.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// An idempotency key, by the hash of team and text, so that keys of different teams do not collide, by
/// intention or by chance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey(pub u128);

impl IdempotencyKey {
    /// Key that `team` gave as `text`.
    pub fn of(team: &str, text: &str) -> Self {
        let mut bytes = Vec::with_capacity(team.len() + text.len() + 1);
        bytes.extend_from_slice(team.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(text.as_bytes());
        Self(xxh3_128(&bytes))
    }
}

/// An idempotency key with its creation time, if the key carries one.
///
/// A UUID of version 7 carries its creation time. A home can then prove that no previous home has received
/// the key. Any other key may be as old as the horizon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerKey {
    /// The key.
    pub key: IdempotencyKey,
    /// Creation time in milliseconds since the Unix epoch, by the caller's clock.
    pub born: Option<u64>,
}

/// Handle of a caller's request, chosen by the driver of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request, unique across instances and their restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Instance that received the request from its caller.
    pub instance: InstanceId,
    /// Incarnation of that instance, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the request within the incarnation.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}-{:x}", self.instance.0, self.incarnation, self.sequence)
    }
}

/// One attempt of a request at an endpoint.
///
/// Its text form is the request id for engines. It names the owner and the owner's incarnation, so that any
/// remaining instance can identify the owner of the work that an engine holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.request, self.number)
    }
}

/// The text is not an attempt id of this system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not an attempt id")]
pub struct ParseAttemptIdError;

impl FromStr for AttemptId {
    type Err = ParseAttemptIdError;

    fn from_str(text: &str) -> Result<Self, ParseAttemptIdError> {
        let mut parts = text.split('-').map(|p| u64::from_str_radix(p, 16));
        let mut next = || parts.next().and_then(Result::ok).ok_or(ParseAttemptIdError);
        let instance = InstanceId(next()?);
        let incarnation = next()?;
        let sequence = next()?;
        let number = u32::try_from(next()?).map_err(|_| ParseAttemptIdError)?;
        let request = RequestId { instance, incarnation, sequence };
        if parts.next().is_some() { Err(ParseAttemptIdError) } else { Ok(Self { request, number }) }
    }
}
