//! Messages between instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use teaselshunt_teams::TeamSpending;

use crate::prompt_parts::PartReport;
use crate::quarantine::CrashReport;
use crate::{
    EndpointId, Fingerprint, IdempotencyKey, InstanceId, InstanceList, PoolId, RequestId, StoredResponse,
};

/// A message from one instance to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// State of the sender, sent periodically.
    Heartbeat(Heartbeat),
    /// Response to a heartbeat.
    Echo {
        /// Stamp of the heartbeat that is answered.
        stamp: u64,
        /// State of the sender.
        beat: Heartbeat,
    },
    /// Requests the configuration and the list if they are newer than those of the sender.
    Fetch {
        /// Configuration version of the sender, 0 for none.
        version: u64,
        /// List revision of the sender, 0 for none.
        revision: u64,
        /// Name of the sender, for a receiver whose list does not contain it yet.
        name: String,
        /// Address of the sender for peers.
        address: SocketAddr,
    },
    /// The sender's active configuration.
    Configuration {
        /// JSON text of the configuration.
        text: String,
    },
    /// The sender's current list of instances.
    List(InstanceList),
    /// Asks the home of an idempotency key to grant the key to a request.
    Claim {
        /// The key.
        key: IdempotencyKey,
        /// The claiming request.
        request: RequestId,
        /// List revision by which the receiver is the home of the key.
        revision: u64,
        /// Creation time of the key in milliseconds since the Unix epoch, if the key carries it.
        born: Option<u64>,
    },
    /// The home's answer to a claim.
    Claimed {
        /// The key.
        key: IdempotencyKey,
        /// The claiming request.
        request: RequestId,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// Reports the outcome of a granted request to the home.
    Settle {
        /// The key.
        key: IdempotencyKey,
        /// The request that holds the grant.
        request: RequestId,
        /// Outcome of the request.
        #[serde(rename = "fate")]
        outcome: ClaimOutcome,
    },
    /// Asks whether the receiver has ever granted a key. By answering at this revision, the receiver gives up
    /// all earlier rights to grant the key.
    Inquire {
        /// The key.
        key: IdempotencyKey,
        /// List revision by which the sender is the home of the key.
        revision: u64,
        /// Creation time of the key in milliseconds since the Unix epoch, if the key carries it.
        born: Option<u64>,
    },
    /// Reply to an inquiry.
    Inquired {
        /// The key.
        key: IdempotencyKey,
        /// List revision of the sender. A revision lower than that of the inquiry means that the sender
        /// cannot answer yet.
        revision: u64,
        /// The sender's record of the key.
        record: Option<KeyRecord>,
        /// Whether the sender's process has run since before the key can have been granted, so that a missing
        /// record means that the sender has not granted the key. A restarted instance does not know the
        /// grants of its previous incarnation.
        #[serde(rename = "whole")]
        own_grants_known: bool,
        /// Whether the sender knows all lists by which the key can have been granted.
        #[serde(rename = "complete")]
        lists_known: bool,
        /// Instances other than the sender that were homes of the key by these lists and may have granted the
        /// key.
        homes: Vec<InstanceId>,
    },
    /// Asks the owner of a pool for a slot pair. Repeating the message is harmless.
    Reserve(ReservationRequest),
    /// The request waits in the owner's queue.
    Queued {
        /// The request.
        request: RequestId,
    },
    /// The owner grants a slot pair to the request.
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
    /// The owner refuses a reservation because the request would wait too long.
    Declined {
        /// The request.
        request: RequestId,
        /// Expected wait in milliseconds.
        wait_ms: u32,
    },
    /// The request releases slots, or does not wait any more.
    Freed {
        /// Pool of the request.
        pool: PoolId,
        /// The request.
        request: RequestId,
        /// Whether the prefill slot is released.
        prefill: bool,
        /// Whether the decode slot is released and the request leaves the queue.
        decode: bool,
    },
    /// Renews the leases of all requests of the sender that hold slots of a pool; sent to the owner every
    /// second.
    Holding {
        /// The pool.
        pool: PoolId,
        /// Incarnation of the sender, in milliseconds since the Unix epoch.
        incarnation: u64,
        /// Sequence numbers of the requests.
        sequences: Vec<u64>,
    },
    /// Records of an instance that shuts down, for the instances that become the homes of the keys.
    Handover {
        /// Incarnation of the sender, in milliseconds since the Unix epoch.
        incarnation: u64,
        /// Keys and their records.
        records: Vec<(IdempotencyKey, KeyRecord)>,
        /// Whether this is the last message of the handover.
        last: bool,
    },
    /// Reports crashes of endpoints under requests.
    Crashes {
        /// The crashes.
        crashes: Vec<CrashReport>,
        /// Requests that were completed after endpoints had crashed under them.
        served: Vec<Fingerprint>,
    },
    /// Reports the admitted units of teams near their limits.
    Spending(SpendingReport),
    /// Evidence about parts of prompts under which endpoints crash.
    PromptParts {
        /// The evidence.
        reports: Vec<PartReport>,
    },
}

/// Units that an instance has admitted for teams near their limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendingReport {
    /// Incarnation of the sender, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Rises with each report of the sender.
    pub sequence: u64,
    /// Whether the sender is shutting down gracefully.
    pub stopping: bool,
    /// Spending by team.
    pub spent: Vec<TeamSpending>,
}

/// A request for a slot pair of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// The pool.
    pub pool: PoolId,
    /// The request.
    pub request: RequestId,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Team, empty for callers without a team.
    pub team: String,
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Milliseconds until the latest start that can meet the target for the first token; 0 if it has passed.
    pub first_ms: u32,
    /// Milliseconds until the requesting instance gives up.
    pub wait_ms: u32,
    /// Endpoints at which the request has failed.
    pub tried: Vec<EndpointId>,
}

/// A home's record of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyRecord {
    /// Granted to this request and not settled yet.
    Granted(RequestId),
    /// The request ran; the response is kept if it is small.
    Ran(Option<StoredResponse>),
    /// The request may have run: the process that held the grant has ended.
    Unknown,
}

/// Outcome of a request that held a grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The request provably did not run, so the key can be granted again.
    NotRun,
    /// The request ran; the response is kept if it is small.
    Ran(Option<StoredResponse>),
    /// The request may have run.
    Unknown,
}

/// A home's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The request may run; no other request with this key has run or will run.
    Granted,
    /// Another request with this key is in progress.
    InUse,
    /// A request with this key ran.
    Ran(Option<StoredResponse>),
    /// Whether a request with this key ran is not known now; a later claim may get another answer.
    Unknown,
    /// Whether a request with this key ran will not be known for as long as the key is valid.
    Lost,
    /// The requesting instance and the home use different lists; this is the home's revision.
    Revision(u64),
    /// The home keeps too many records to grant another key.
    Full {
        /// Time until its oldest record expires, in milliseconds.
        retry_ms: u64,
    },
}

/// State of an instance, with health updates about others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender's monotonic clock in milliseconds; returned in the echo.
    pub stamp: u64,
    /// Incarnation of the sender, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of suspicions that the sender has refuted in this incarnation.
    pub epoch: u32,
    /// Version of the active configuration.
    pub version: u64,
    /// Revision of the current list.
    pub revision: u64,
    /// How long the current list has been in use by any instance, as far as the sender knows, in
    /// milliseconds.
    pub listed_ms: u64,
    /// Whether the sender is shutting down gracefully.
    pub stopping: bool,
    /// Health updates about other instances, those sent least often first, at most eight.
    #[serde(rename = "rumours")]
    pub updates: Vec<HealthUpdate>,
}

/// Gossip about an instance's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthUpdate {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its epoch.
    pub epoch: u32,
    /// Whether the instance is suspected to be dead; otherwise it was alive.
    pub suspect: bool,
}
