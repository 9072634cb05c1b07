//! One endpoint as the platform's list has it, and how a step there ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

slotmap::new_key_type! {
    /// An endpoint in the arena of one instance.
    pub struct EndpointKey;
}

/// Part of a generation that an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It does.
    Ready,
    /// It is on its way out.
    Leaving,
}

/// An endpoint as the list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of this start of the endpoint; another start has another id.
    pub id: Arc<str>,
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

/// How a step at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It answered, after this time.
    Answered(Duration),
    /// It answered with a failure of its own.
    Erred,
    /// It has no room now.
    Full,
    /// It broke off, was silent, or answered nonsense.
    Failed,
    /// It could not be reached, or another one has its address.
    Absent,
}
