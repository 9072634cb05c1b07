//! What goes into an instance and what comes out of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use teaselshunt_settings::{Configuration, parse_configuration};

use crate::{AttemptId, CallerKey, EndpointId, Fingerprint, InstanceId, Message, Refusal, RequestId, Ticket};

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sent a whole request.
    Arrived {
        /// Handle that effects for this caller will carry; unique for the life of the instance.
        ticket: Ticket,
        /// What it asks for.
        work: Work,
    },
    /// The caller went away or has its answer; nothing more may be sent to it.
    CallerGone {
        /// Its handle.
        ticket: Ticket,
    },
    /// A prefill ended well.
    Prefilled {
        /// The try that ended.
        attempt: AttemptId,
        /// Size of the KV cache in bytes.
        bytes: u64,
        /// Prompt tokens that the engine had in its prefix cache.
        cached: u32,
    },
    /// A decode engine holds the KV cache.
    Imported {
        /// The try.
        attempt: AttemptId,
    },
    /// Output has been passed to the caller.
    Advanced {
        /// The try.
        attempt: AttemptId,
        /// Tokens passed on so far, over all tries.
        offset: u32,
    },
    /// The last token has been passed to the caller.
    Finished {
        /// The try.
        attempt: AttemptId,
        /// Tokens passed on, over all tries.
        offset: u32,
        /// The answer where it is small enough to be kept for its idempotency key.
        stored: Option<StoredResponse>,
    },
    /// A service call was answered.
    Called {
        /// The try.
        attempt: AttemptId,
        /// The answer where it is small enough to be kept for its idempotency key.
        stored: Option<StoredResponse>,
    },
    /// A step at an endpoint failed.
    Failed {
        /// The try.
        attempt: AttemptId,
        /// How.
        failure: StepFailure,
        /// Tokens passed to the caller so far, over all tries.
        offset: u32,
    },
    /// An engine answered a cancel, or did not.
    Cancelled {
        /// The try.
        attempt: AttemptId,
        /// Where it ran.
        endpoint: EndpointId,
        /// Whether the engine confirmed that it holds nothing of it any more.
        confirmed: bool,
    },
    /// A load report of an engine.
    Reported {
        /// The engine.
        endpoint: EndpointId,
        /// The report.
        report: EngineLoad,
    },
    /// An engine did not answer a request for its load.
    Unreported {
        /// The engine.
        endpoint: EndpointId,
    },
    /// A configuration version was read.
    ConfigurationRead {
        /// The version, or why it cannot be used.
        candidate: ConfigurationCandidate,
        /// Where from.
        source: Source,
    },
    /// A list of instances was read.
    ListRead {
        /// The list.
        list: InstanceList,
        /// Where from.
        source: Source,
        /// When the reading was begun; the list cannot be trusted to be newer than that.
        read_started: Instant,
    },
    /// The platform answered that this list revision is still the latest.
    ListUnchanged {
        /// The revision.
        revision: u64,
        /// When the reading was begun.
        read_started: Instant,
    },
    /// A peer sent a message.
    Received {
        /// The peer, as its certificate names it.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// An operator or the platform asked for a planned stop.
    Stop,
    /// Time passed; sent at least every [`Instance::TICK`](crate::Instance::TICK).
    Tick,
}

/// What a caller asks for.
#[derive(Debug, Clone)]
pub enum Work {
    /// Tokens of a model.
    Generate(Generate),
    /// One call of a plain service.
    Call(Call),
}

/// A generation.
#[derive(Debug, Clone)]
pub struct Generate {
    /// Model name as the caller gave it.
    pub model: String,
    /// Team, empty where the caller gave none.
    pub team: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Whether the caller says that it was refused before and comes back; its target has passed already.
    pub retry: bool,
    /// Idempotency key, if the caller gave one.
    pub key: Option<CallerKey>,
    /// By what it is known if it is sent again.
    pub fingerprint: Fingerprint,
    /// Time from arrival after which the caller has no use for the answer.
    pub deadline: Duration,
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// Service name.
    pub service: String,
    /// HTTP method, upper case.
    pub method: String,
    /// Team, empty where the caller gave none.
    pub team: String,
    /// Idempotency key, if the caller gave one.
    pub key: Option<CallerKey>,
    /// By what it is known if it is sent again.
    pub fingerprint: Fingerprint,
    /// Time from arrival after which the caller has no use for the answer.
    pub deadline: Duration,
}

/// How a step failed. The first three prove that the endpoint began nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StepFailure {
    /// No connection was made, so nothing left this process.
    NotSent,
    /// The endpoint said that it is full and has not begun.
    Busy,
    /// The endpoint said that it is leaving and has not begun.
    Leaving,
    /// The endpoint said that the KV cache or the request is no longer there.
    Evicted,
    /// The endpoint found the request wrong.
    Rejected,
    /// The connection broke or the answer made no sense; the step may have run.
    Broken,
    /// No answer in time; the step may have run.
    TimedOut,
    /// The stream stopped moving.
    Stalled,
}

impl StepFailure {
    /// Whether the endpoint provably began nothing.
    pub const fn not_started(self) -> bool {
        match self {
            Self::NotSent | Self::Busy | Self::Leaving => true,
            Self::Evicted | Self::Rejected | Self::Broken | Self::TimedOut | Self::Stalled => false,
        }
    }
}

/// An engine's own account of its load; it lags.
#[derive(Debug, Clone, Default)]
pub struct EngineLoad {
    /// Requests that it works on or holds memory for.
    pub running: Vec<Running>,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Whether it says that it is leaving.
    pub leaving: bool,
}

/// A request that an engine holds memory for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// The try; engines may also hold work that is not of this system, which is left out.
    pub attempt: AttemptId,
}

/// A configuration version as it was read.
#[derive(Debug, Clone)]
pub enum ConfigurationCandidate {
    /// It checks.
    Valid {
        /// The version.
        configuration: Arc<Configuration>,
        /// Its JSON text, for peers that cannot reach the platform.
        text: Arc<str>,
    },
    /// It does not check and is refused whole.
    Invalid {
        /// Its number, if that much could be read.
        version: Option<u64>,
        /// Every mistake.
        mistakes: String,
    },
}

impl ConfigurationCandidate {
    /// Reads a version from its JSON text.
    pub fn parse(text: &str) -> Self {
        match parse_configuration(text) {
            Ok(configuration) => {
                Self::Valid { configuration: Arc::new(configuration), text: Arc::from(text) }
            }
            Err(mistakes) => Self::Invalid { version: None, mistakes: mistakes.to_string() },
        }
    }
}

/// The platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Grows with every change of the list.
    pub revision: u64,
    /// Instances, live and leaving.
    pub instances: Vec<InstanceEntry>,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Whether it is on its way out.
    pub leaving: bool,
}

/// Where a piece of news came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform.
    Platform,
    /// A peer.
    Peer(InstanceId),
}

/// An answer kept for retries with the same idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`.
    #[serde(rename = "content")]
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

impl StoredResponse {
    /// Largest body that is kept, in bytes.
    pub const MAX_BODY_BYTES: usize = 16 * 1024;
}

/// An endpoint to send to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The endpoint.
    pub id: EndpointId,
    /// Its address.
    pub address: SocketAddr,
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// The request was taken; tell the caller its id.
    Accept {
        /// The caller.
        ticket: Ticket,
        /// Id to show.
        request: RequestId,
    },
    /// Run a prefill of the prompt and whatever was passed on already.
    Prefill {
        /// The caller.
        ticket: Ticket,
        /// Id for the engine.
        attempt: AttemptId,
        /// The engine.
        target: Target,
        /// 0 is most urgent.
        priority: u8,
        /// When to give up.
        timeout: Duration,
    },
    /// Move the KV cache of a prefill to a decode engine.
    Import {
        /// The caller.
        ticket: Ticket,
        /// Id for the engine.
        attempt: AttemptId,
        /// Prefill engine that holds the KV cache.
        origin: Target,
        /// Decode engine.
        target: Target,
        /// When to give up.
        timeout: Duration,
    },
    /// Generate, and pass tokens to the caller.
    Decode {
        /// The caller.
        ticket: Ticket,
        /// Id for the engine.
        attempt: AttemptId,
        /// Decode engine.
        target: Target,
        /// The earlier try whose stream is taken up on a new connection, if any.
        resume: Option<AttemptId>,
        /// 0 is most urgent.
        priority: u8,
        /// Longest silence.
        stall_timeout: Duration,
    },
    /// Call a plain service.
    Call {
        /// The caller.
        ticket: Ticket,
        /// The try.
        attempt: AttemptId,
        /// The service's endpoint.
        target: Target,
        /// When to give up.
        timeout: Duration,
    },
    /// Give the caller its final answer: no result.
    Refuse {
        /// The caller.
        ticket: Ticket,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Give the caller its final answer: the one kept for its idempotency key.
    Replay {
        /// The caller.
        ticket: Ticket,
        /// The kept answer.
        stored: StoredResponse,
    },
    /// Tell an engine to drop whatever it holds of a try.
    Cancel {
        /// The try.
        attempt: AttemptId,
        /// The engine.
        target: Target,
    },
    /// Ask an engine for its load.
    Poll {
        /// The engine.
        target: Target,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: InstanceId,
        /// Its name, which its certificate must show.
        name: Arc<str>,
        /// Its address.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Write a line of the audit trail.
    Audit(Audit),
    /// The planned stop is complete; the process may end.
    Stopped,
}

/// A change worth keeping a record of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Audit {
    /// A version came into force.
    Accepted {
        /// Its number.
        version: u64,
        /// Where it came from.
        source: Source,
    },
    /// A version was refused.
    Refused {
        /// Its number, if it could be read.
        version: Option<u64>,
        /// Where it came from.
        source: Source,
        /// Why.
        cause: String,
    },
    /// A new list of instances came into force.
    List {
        /// Its revision.
        revision: u64,
        /// Where it came from.
        source: Source,
    },
    /// A peer's health changed.
    Member {
        /// The peer.
        instance: InstanceId,
        /// `alive`, `suspect` or `dead`.
        health: &'static str,
    },
    /// An endpoint was found unreachable, or reachable again.
    Endpoint {
        /// Its name.
        endpoint: String,
        /// Whether it answers.
        reachable: bool,
    },
    /// Endpoints crash under a request; it is not sent to more of them for a while.
    Quarantined {
        /// The request.
        request: Fingerprint,
    },
    /// Work of a dead instance was cancelled at an engine.
    Orphan {
        /// The try.
        attempt: AttemptId,
        /// Name of the engine.
        endpoint: String,
    },
    /// A planned stop began.
    Stopping,
}
