//! Messages between instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use teaselshunt_teams::TeamSpending;

use crate::quarantine::CrashReport;
use crate::{
    EndpointId, Fingerprint, IdempotencyKey, InstanceId, InstanceList, PoolId, RequestId, StoredResponse,
};

/// A message from one instance to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// I am here.
    Heartbeat(Heartbeat),
    /// So am I; an answer to a heartbeat.
    Echo {
        /// The heartbeat's stamp, given back.
        stamp: u64,
        /// What the sender says of itself.
        beat: Heartbeat,
    },
    /// Send me what you have that is newer than this.
    Fetch {
        /// My configuration version, 0 for none.
        version: u64,
        /// My list revision, 0 for none.
        revision: u64,
        /// My name, for one whose list does not have me yet.
        name: String,
        /// My address for peers.
        address: SocketAddr,
    },
    /// The configuration in force here.
    Configuration {
        /// Its JSON text.
        text: String,
    },
    /// The list of instances in use here.
    List(InstanceList),
    /// May I run the request with this idempotency key?
    Claim {
        /// The key.
        key: IdempotencyKey,
        /// The request that asks.
        request: RequestId,
        /// The list revision by which you are the key's home.
        revision: u64,
        /// When the key was made, in milliseconds since the Unix epoch, if it tells.
        born: Option<u64>,
    },
    /// The home's answer to a claim.
    Claimed {
        /// The key.
        key: IdempotencyKey,
        /// The request that asked.
        request: RequestId,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// What became of a granted claim.
    Settle {
        /// The key.
        key: IdempotencyKey,
        /// The request that held the claim.
        request: RequestId,
        /// What became of it.
        #[serde(rename = "fate")]
        outcome: ClaimOutcome,
    },
    /// Have you ever granted this key? Answering at this revision also gives up every older claim to it.
    Inquire {
        /// The key.
        key: IdempotencyKey,
        /// List revision by which the asker is the key's home.
        revision: u64,
        /// When the key was made, in milliseconds since the Unix epoch, if it tells.
        born: Option<u64>,
    },
    /// Answer to an inquiry.
    Inquired {
        /// The key.
        key: IdempotencyKey,
        /// List revision of the one that answers; lower than asked means that it cannot answer yet.
        revision: u64,
        /// The grant on record.
        record: Option<KeyRecord>,
        /// Whether this process has run since before the key can have been granted, so that no record means no
        /// grant of its own. An instance that was started again remembers nothing of its former life.
        #[serde(rename = "whole")]
        own_grants_known: bool,
        /// Whether the sender knows all lists by which the key can have been granted.
        #[serde(rename = "complete")]
        lists_known: bool,
        /// Homes of the key by those lists that may have granted it, but for the sender.
        homes: Vec<InstanceId>,
    },
    /// May I have a slot pair for a request? Asked of the pool's owner, and asked again without harm.
    Reserve(ReservationRequest),
    /// The request waits here.
    Queued {
        /// The request.
        request: RequestId,
    },
    /// The request may use these.
    Reserved {
        /// The pool.
        pool: PoolId,
        /// The request.
        request: RequestId,
        /// Prefill engine.
        prefill: EndpointId,
        /// Decode engine.
        decode: EndpointId,
    },
    /// The request would wait too long.
    Declined {
        /// The request.
        request: RequestId,
        /// How long, in milliseconds.
        wait_ms: u32,
    },
    /// The request does not need these slots any more, or does not wait any more.
    Freed {
        /// Its pool.
        pool: PoolId,
        /// The request.
        request: RequestId,
        /// Whether the prefill slot is free.
        prefill: bool,
        /// Whether the decode slot is free, and the place in the queue.
        decode: bool,
    },
    /// All of my requests of a pool that hold slots; sent to its owner every second.
    Holding {
        /// The pool.
        pool: PoolId,
        /// My start, in milliseconds since the Unix epoch.
        incarnation: u64,
        /// Their numbers.
        sequences: Vec<u64>,
    },
    /// Records of an instance that stops, for the homes that follow it.
    Handover {
        /// Start of the sender, in milliseconds since the Unix epoch.
        incarnation: u64,
        /// Keys and what became of them.
        records: Vec<(IdempotencyKey, KeyRecord)>,
        /// Whether these are the last.
        last: bool,
    },
    /// Endpoints crashed under requests.
    Crashes {
        /// The crashes.
        crashes: Vec<CrashReport>,
        /// Requests that were answered whole after endpoints had crashed under them.
        served: Vec<Fingerprint>,
    },
    /// What teams near their limits were admitted.
    Spending(SpendingReport),
}

/// What a sender has admitted of teams near their limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendingReport {
    /// Start of the sender, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Grows with each of its tellings.
    pub sequence: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// The teams.
    pub spent: Vec<TeamSpending>,
}

/// What a request needs of its pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// The pool.
    pub pool: PoolId,
    /// The request.
    pub request: RequestId,
    /// 0 is served first.
    pub priority: u8,
    /// Team, empty for callers without one.
    pub team: String,
    /// Prompt tokens.
    pub prompt: u32,
    /// Milliseconds from now until the first token is late; 0 if it is.
    pub first_ms: u32,
    /// Milliseconds from now until the asker gives up.
    pub wait_ms: u32,
    /// Endpoints that failed it.
    pub tried: Vec<EndpointId>,
}

/// What a home knows of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyRecord {
    /// Granted, and not settled yet.
    Granted(RequestId),
    /// Ran; the answer is kept if it was small.
    Ran(Option<StoredResponse>),
    /// May have run: whoever held the claim is gone.
    Unknown,
}

/// What became of a request that held a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// It provably did not run, so the key is free again.
    NotRun,
    /// It ran; the answer is kept if it was small.
    Ran(Option<StoredResponse>),
    /// It may have run.
    Unknown,
}

/// A home's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// Run it; nobody else has and nobody else will.
    Granted,
    /// Another request with this key is in progress.
    InUse,
    /// It ran.
    Ran(Option<StoredResponse>),
    /// It cannot be told now.
    Unknown,
    /// It will not be told for as long as the key is good.
    Lost,
    /// The asker and the home use different lists; this is the home's revision.
    Revision(u64),
}

/// What an instance says of itself, with news of others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender's monotonic clock in milliseconds, for the echo to give back.
    pub stamp: u64,
    /// Start of the sender, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// How often the sender has refuted its own death in this incarnation.
    pub epoch: u32,
    /// Configuration version in force.
    pub version: u64,
    /// List revision in use.
    pub revision: u64,
    /// For how long that list has been in use anywhere, to the sender's knowledge, in milliseconds.
    pub listed_ms: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// News of others, newest first, at most eight.
    #[serde(rename = "rumours")]
    pub updates: Vec<HealthUpdate>,
}

/// News of an instance's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthUpdate {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its epoch.
    pub epoch: u32,
    /// Whether it is suspected of being dead; otherwise it was seen alive.
    pub suspect: bool,
}
