//! One endpoint as the platform's list shows it, and the outcomes of a step at an endpoint.

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

slotmap::new_key_type! {
    /// An endpoint in the arena of one instance.
    pub struct EndpointKey;
}

/// Stage of a generation that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Prefills prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

impl Stage {
    /// Name for logs.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It is shutting down and takes no new work.
    Leaving,
}

/// An endpoint as the list shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its id; a later incarnation of the endpoint may have the same one.
    pub id: Arc<str>,
    /// When this incarnation started, by the endpoint's own clock; `None` if the platform doesn't provide the
    /// time.
    pub born: Option<SystemTime>,
    /// Its service.
    pub service: Arc<str>,
    /// Its address, which may have belonged to another endpoint before.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Set for model engines.
    pub stage: Option<Stage>,
    /// Requests that it serves concurrently; `None` if the list does not tell.
    pub slots: Option<NonZeroU32>,
}

/// One start of an endpoint. Estimates, orders and state of one incarnation don't apply to the next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Incarnation {
    id: Arc<str>,
    born: Option<SystemTime>,
}

impl Endpoint {
    /// The incarnation that the entry shows.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: Arc::clone(&self.id), born: self.born }
    }
}

/// How a step at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepOutcome {
    /// The endpoint responded, after this time.
    Answered(Duration),
    /// The endpoint responded with an error of its own.
    ErrorResponse,
    /// The endpoint has no capacity now.
    Full,
    /// The connection broke, or the response did not come in time or was invalid.
    Failed,
    /// No response came within this time, which is shorter than endpoints may be silent.
    Silent(Duration),
    /// The endpoint could not be reached, or another endpoint has its address.
    Unreachable,
}
