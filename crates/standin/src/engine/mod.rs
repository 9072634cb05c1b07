//! A stand-in for a prefill or decode engine; see docs/ENGINE.md.
//!
//! The stand-in holds memory the way engines do: a prefill result until it is evicted, a decode slot until
//! its stream was read to the end or was cancelled. The stand-in does not notice that a client has
//! disconnected: the router must cancel the request.

mod gate;
mod http;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaselshunt_settings::Role;

use crate::server::ServerHandle;
use state::State;

/// Behaviour of a stand-in engine without faults.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Prefill or decode.
    pub role: Role,
    /// Requests that the engine runs at the same time.
    pub slots: u32,
    /// Prompt tokens prefilled a second.
    pub prefill_tokens_per_s: u32,
    /// Time between two tokens while one request runs; up to one and a half times as long with a full batch.
    pub token_gap: Duration,
    /// How long a prefill result is kept.
    pub result_ttl: Duration,
    /// Bandwidth of the engine's link, in bytes a second.
    pub link_bytes_per_s: u64,
    /// Bytes of KV cache for each prompt token.
    pub kv_bytes_per_token: u64,
    /// Blocks of 64 bytes of prompt in the prefix cache.
    pub prefix_cache_blocks: usize,
    /// Time between two refreshes of the load report, and thus the report's largest age.
    pub report_interval: Duration,
    /// How long loading weights takes.
    pub weights_load_time: Duration,
    /// Tokens of each generated text, up to the request's limit; by default the prompt determines the number.
    pub output_tokens: Option<u32>,
}

impl EngineOptions {
    /// A fast engine for tests: prefills in about a millisecond, tokens every 2 ms.
    pub fn fast(role: Role) -> Self {
        Self {
            role,
            slots: if role == Role::Decode { 20 } else { 4 },
            prefill_tokens_per_s: 100_000,
            token_gap: Duration::from_millis(2),
            result_ttl: Duration::from_millis(800),
            link_bytes_per_s: 10_000_000_000,
            kv_bytes_per_token: 100_000,
            prefix_cache_blocks: 4096,
            report_interval: Duration::from_millis(100),
            weights_load_time: Duration::from_millis(200),
            output_tokens: None,
        }
    }

    /// An engine as fast as a real one: 8,000 prompt tokens a second, 20 ms between tokens.
    pub fn realistic(role: Role, slots: u32) -> Self {
        Self { slots, prefill_tokens_per_s: 8_000, token_gap: Duration::from_millis(20), ..Self::fast(role) }
    }
}

/// Faults of a stand-in engine.
#[expect(clippy::struct_excessive_bools, reason = "each fault is set on its own")]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Prefills, imports and decodes make no progress.
    pub stall: bool,
    /// Everything takes this many times as long; 0 and 1 are normal.
    pub slow: u32,
    /// Connections of new steps break after the step was accepted; streams end before their next token.
    pub drop: bool,
    /// New steps are refused as busy.
    pub refuse: bool,
    /// New steps are refused, and load reports state that the engine is leaving.
    pub leaving: bool,
    /// Prefill results are evicted at once.
    pub evict: bool,
    /// Load reports are not refreshed.
    pub lag: bool,
    /// Orders are accepted whatever their fencing number.
    pub ignore_fencing: bool,
    /// Every second cache event is lost.
    pub gaps: bool,
}

/// A running stand-in engine.
#[derive(Debug)]
pub struct Engine {
    state: Arc<State>,
    server: ServerHandle,
    maintenance: tokio::task::JoinHandle<()>,
}

impl Engine {
    /// Starts an engine on `address`, port 0 for any.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(address: SocketAddr, options: EngineOptions) -> std::io::Result<Self> {
        let state = Arc::new(State::new(options));
        let server = ServerHandle::start(address, http::route(Arc::clone(&state))).await?;
        let maintenance = tokio::spawn(state::maintain(Arc::clone(&state)));
        Ok(Self { state, server, maintenance })
    }

    /// Address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the engine's faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// Ids of the requests that the engine holds memory for now.
    pub fn held_requests(&self) -> Vec<String> {
        self.state.held_requests()
    }

    /// Number of prefills started so far.
    pub fn prefills_started(&self) -> u64 {
        self.state.prefills_started()
    }

    /// Number of streams started so far.
    pub fn streams_started(&self) -> u64 {
        self.state.streams_started()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.maintenance.abort();
    }
}
