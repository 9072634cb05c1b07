//! One endpoint as the platform's list has it, and how a step there ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

slotmap::new_key_type! {
    /// An endpoint in the arena of one instance.
    pub struct EndpointKey;
}

/// Part of a generation that an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Reads prompts.
    Prefill,
    /// Generates.
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
    /// It does.
    Ready,
    /// It is on its way out.
    Leaving,
}

/// An endpoint as the list has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its id; a later start of the endpoint may bear it again.
    pub id: Arc<str>,
    /// When this start began, by the endpoint's own clock; `None` where the platform tells no such time.
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
}

/// One start of an endpoint. What was believed, ordered or kept at one start says nothing of the next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Incarnation {
    id: Arc<str>,
    born: Option<SystemTime>,
}

impl Endpoint {
    /// Which start of the endpoint this is.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: Arc::clone(&self.id), born: self.born }
    }
}

/// How a step at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepOutcome {
    /// It answered, after this time.
    Answered(Duration),
    /// It answered with a failure of its own.
    ErrorResponse,
    /// It has no room now.
    Full,
    /// It broke off, was silent, or answered nonsense.
    Failed,
    /// It could not be reached, or another one has its address.
    Unreachable,
}
