//! Events that go into an instance and effects that come out of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use teaselshunt_settings::{Configuration, parse_configuration};

use crate::{
    AttemptId, CallerKey, EndpointId, Fingerprint, InstanceId, Message, PromptPart, Refusal, RequestId,
    Ticket,
};

/// Input of an instance.
#[derive(Debug, Clone)]
pub enum Event {
    /// A complete request of a caller was received.
    Arrived {
        /// Handle in the effects for this caller; unique for the lifetime of the instance.
        ticket: Ticket,
        /// The requested work.
        work: Work,
    },
    /// The caller has disconnected or has its response; nothing more may be sent to it.
    CallerGone {
        /// Handle of the caller.
        ticket: Ticket,
    },
    /// A prefill succeeded.
    Prefilled {
        /// The attempt.
        attempt: AttemptId,
        /// Size of the KV cache in bytes.
        bytes: u64,
        /// Prompt tokens that were in the engine's prefix cache.
        cached: u32,
    },
    /// A decode engine has imported the KV cache.
    Imported {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An engine has begun to respond with the stream of an attempt that seeks to replace a kept run. Nothing more
    /// of the kept run is passed to the caller.
    Began {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Output has been passed to the caller.
    Advanced {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens passed to the caller so far, over all attempts.
        offset: u32,
    },
    /// The last token has been passed to the caller.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens passed to the caller, over all attempts.
        offset: u32,
        /// The response, if it is small enough to be stored for its idempotency key.
        stored: Option<StoredResponse>,
    },
    /// A service call has its response.
    Called {
        /// The attempt.
        attempt: AttemptId,
        /// Time for which the service wants no further requests from this instance, if it stated one.
        retry_after: Option<Duration>,
        /// The response, if it is small enough to be stored for its idempotency key.
        stored: Option<StoredResponse>,
    },
    /// A step at an endpoint failed.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Kind of failure.
        failure: StepFailure,
        /// Tokens passed to the caller so far, over all attempts.
        offset: u32,
    },
    /// A cancel ended, confirmed or not.
    Cancelled {
        /// The cancelled attempt.
        attempt: AttemptId,
        /// The engine.
        endpoint: EndpointId,
        /// Whether the engine confirmed that it holds nothing for the attempt any more.
        confirmed: bool,
    },
    /// An engine reported its load.
    Reported {
        /// The engine.
        endpoint: EndpointId,
        /// The load report.
        report: EngineLoad,
    },
    /// An engine did not answer a poll of its load.
    Unreported {
        /// The engine.
        endpoint: EndpointId,
        /// Whether it accepted the connection and nothing came in time. An engine that is silent has not ended.
        silent: bool,
    },
    /// A configuration version was read.
    ConfigurationRead {
        /// The version, or its validation errors.
        candidate: ConfigurationCandidate,
        /// Where the version was read.
        source: Source,
    },
    /// A list of instances was read.
    ListRead {
        /// The list.
        list: InstanceList,
        /// Where the list was read.
        source: Source,
        /// When the read was started. The list may be as old as this time.
        read_started: Instant,
    },
    /// The platform answered that this list revision is still the latest.
    ListUnchanged {
        /// The revision.
        revision: u64,
        /// When the read was started.
        read_started: Instant,
    },
    /// A peer sent a message.
    Received {
        /// The peer, as named by its certificate.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// An operator or the platform requested a graceful shutdown.
    Stop,
    /// Time passed; sent at least every [`Instance::TICK`](crate::Instance::TICK).
    Tick,
}

/// Work that a caller requests.
#[derive(Debug, Clone)]
pub enum Work {
    /// Generation of tokens by a model.
    Generate(Generate),
    /// One call of a plain service.
    Call(Call),
}

/// A generation.
#[derive(Debug, Clone)]
pub struct Generate {
    /// Model name given by the caller.
    pub model: String,
    /// Team, empty if the caller gave none.
    pub team: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the caller marks the request as a retry after a refusal; its target for the first token has
    /// then passed already.
    pub retry: bool,
    /// Idempotency key, if the caller gave one.
    pub key: Option<CallerKey>,
    /// Identifies the request when the caller sends it again.
    pub fingerprint: Fingerprint,
    /// Parts of the prompt that other requests may have as well.
    pub parts: Vec<PromptPart>,
    /// Time from arrival after which the caller does not need the response any more.
    pub deadline: Duration,
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// Service name.
    pub service: String,
    /// HTTP method, upper case.
    pub method: String,
    /// Team, empty if the caller gave none.
    pub team: String,
    /// Idempotency key, if the caller gave one.
    pub key: Option<CallerKey>,
    /// Identifies the request when the caller sends it again.
    pub fingerprint: Fingerprint,
    /// Time from arrival after which the caller does not need the response any more.
    pub deadline: Duration,
}

/// How a step failed. The first three variants prove that the endpoint did not start the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StepFailure {
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The endpoint answered that it is full and has not started the step.
    Busy {
        /// Time for which it wants no further requests from this instance, if it stated one.
        retry_after: Option<Duration>,
    },
    /// The endpoint answered that it is leaving and has not started the step.
    Leaving,
    /// The endpoint answered that it does not hold the KV cache or the request any more.
    Evicted,
    /// The endpoint refused the request as invalid.
    Rejected,
    /// The connection broke or the response was malformed; the step may have run.
    Broken,
    /// No response within the timeout; the step may have run.
    TimedOut,
    /// The stream made no progress for the stall timeout. It goes on unless another step replaces it.
    Stalled,
}

impl StepFailure {
    /// Whether the endpoint provably did not start the step.
    pub const fn not_started(self) -> bool {
        match self {
            Self::NotSent | Self::Busy { .. } | Self::Leaving => true,
            Self::Evicted | Self::Rejected | Self::Broken | Self::TimedOut | Self::Stalled => false,
        }
    }
}

/// Load as an engine itself reports it; the report lags behind the engine's state.
#[derive(Debug, Clone, Default)]
pub struct EngineLoad {
    /// Requests that the engine works on or holds memory for.
    pub running: Vec<Running>,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Whether the engine states that it is leaving.
    pub leaving: bool,
}

/// A request that an engine holds memory for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// The attempt. Work of other systems at the engine is left out.
    pub attempt: AttemptId,
}

/// A configuration version that was read.
#[derive(Debug, Clone)]
pub enum ConfigurationCandidate {
    /// The version is valid.
    Valid {
        /// The version.
        configuration: Arc<Configuration>,
        /// JSON text of the version, for peers that cannot reach the platform.
        text: Arc<str>,
    },
    /// The version is invalid and is refused as a whole.
    Invalid {
        /// Number of the version, if it could be read.
        version: Option<u64>,
        /// All validation errors.
        errors: String,
    },
}

impl ConfigurationCandidate {
    /// Parses and validates a version from its JSON text.
    pub fn parse(text: &str) -> Self {
        match parse_configuration(text) {
            Ok(configuration) => {
                Self::Valid { configuration: Arc::new(configuration), text: Arc::from(text) }
            }
            Err(errors) => Self::Invalid { version: None, errors: errors.to_string() },
        }
    }
}

/// The platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Rises with every change of the list.
    pub revision: u64,
    /// All instances, leaving ones included.
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
    /// Whether the instance is leaving.
    pub leaving: bool,
}

/// Where a configuration or a list was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform.
    Platform,
    /// A peer.
    Peer(InstanceId),
}

/// A response stored for retries with the same idempotency key.
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
    /// Largest body that is stored, in bytes.
    pub const MAX_BODY_BYTES: usize = 16 * 1024;
}

/// An endpoint to send to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The endpoint.
    pub id: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
}

/// Output of an instance: an action for its driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Tell the caller the id of its request, which was accepted.
    Accept {
        /// The caller.
        ticket: Ticket,
        /// Id of the request.
        request: RequestId,
    },
    /// Run a prefill of the prompt and of the output that was passed to the caller already.
    Prefill {
        /// The caller.
        ticket: Ticket,
        /// Id for the engine.
        attempt: AttemptId,
        /// The engine.
        target: Target,
        /// Attempt whose stream goes on until that of this one begins, if any. Otherwise earlier attempts have ended.
        kept: Option<AttemptId>,
        /// Priority; 0 is the most urgent.
        priority: u8,
        /// Timeout of the step.
        timeout: Duration,
    },
    /// Transfer the KV cache of a prefill to a decode engine.
    Import {
        /// The caller.
        ticket: Ticket,
        /// Id for the engine.
        attempt: AttemptId,
        /// Prefill engine that holds the KV cache.
        origin: Target,
        /// Decode engine.
        target: Target,
        /// Timeout of the step.
        timeout: Duration,
    },
    /// Generate tokens and pass them to the caller.
    Decode {
        /// The caller.
        ticket: Ticket,
        /// Id for the engine.
        attempt: AttemptId,
        /// Decode engine.
        target: Target,
        /// Earlier attempt whose stream is resumed on a new connection, if any.
        resume: Option<AttemptId>,
        /// Priority; 0 is the most urgent.
        priority: u8,
        /// Longest time without output.
        stall_timeout: Duration,
    },
    /// End the steps that seek to replace a kept run, and go on with its stream alone. Steps that were sent before
    /// this effect are obsolete.
    Continue {
        /// The caller.
        ticket: Ticket,
        /// The attempt whose stream goes on.
        attempt: AttemptId,
    },
    /// Call a plain service.
    Call {
        /// The caller.
        ticket: Ticket,
        /// The attempt.
        attempt: AttemptId,
        /// The service's endpoint.
        target: Target,
        /// Timeout of the call.
        timeout: Duration,
    },
    /// Refuse the request as the final response to the caller.
    Refuse {
        /// The caller.
        ticket: Ticket,
        /// Reason, and `Retry-After` delay if any.
        refusal: Refusal,
    },
    /// Send the response stored for the caller's idempotency key as its final response.
    Replay {
        /// The caller.
        ticket: Ticket,
        /// The stored response.
        stored: StoredResponse,
    },
    /// Tell an engine to drop everything that it holds for an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        target: Target,
    },
    /// Poll an engine's load.
    Poll {
        /// The engine.
        target: Target,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: InstanceId,
        /// Name of the peer, which its certificate must contain.
        name: Arc<str>,
        /// Address of the peer.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Write a line of the audit trail.
    Audit(Audit),
    /// The graceful shutdown is complete; the process may end.
    Stopped,
}

/// A change that is recorded in the audit trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Audit {
    /// A configuration version became active.
    Accepted {
        /// Number of the version.
        version: u64,
        /// Where the version was read.
        source: Source,
    },
    /// A configuration version was refused.
    Refused {
        /// Number of the version, if it could be read.
        version: Option<u64>,
        /// Where the version was read.
        source: Source,
        /// Reason.
        cause: String,
    },
    /// A new list of instances became current.
    List {
        /// Revision of the list.
        revision: u64,
        /// Where the list was read.
        source: Source,
    },
    /// A peer's health changed.
    Member {
        /// The peer.
        instance: InstanceId,
        /// `alive`, `suspect` or `dead`.
        health: &'static str,
    },
    /// An endpoint became unreachable, or reachable again.
    Endpoint {
        /// Name of the endpoint.
        endpoint: String,
        /// Whether the endpoint is reachable.
        reachable: bool,
    },
    /// An endpoint refused a step and wants no requests from this instance for a while.
    Cooldown {
        /// Name of the endpoint.
        endpoint: String,
        /// How long.
        delay: Duration,
    },
    /// Endpoints crash under a request, which is not sent to any endpoint for a while.
    Quarantined {
        /// The request.
        request: Fingerprint,
    },
    /// Parts of prompts are refused from now on, since endpoints crash under them, or no longer.
    PromptParts {
        /// The parts that are refused together.
        parts: Vec<PromptPart>,
        /// Whether they are refused.
        quarantined: bool,
    },
    /// An orphaned attempt was cancelled at an engine.
    Orphan {
        /// The attempt.
        attempt: AttemptId,
        /// Name of the engine.
        endpoint: String,
    },
    /// A graceful shutdown started.
    Stopping,
}
