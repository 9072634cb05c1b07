//! A stand-in of a prefill or decode engine; see docs/ENGINE.md.
//!
//! It holds memory the way engines do: a prefill result until it is evicted, a decode slot until its stream
//! was read to the end or was cancelled. It does not notice that a client is gone; that is the router's task.

mod gate;
mod http;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaselshunt_settings::Role;

use crate::server::Running;
use state::State;

/// How a stand-in behaves when nothing is wrong.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Prefill or decode.
    pub role: Role,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Prompt tokens prefilled a second.
    pub prefill_tokens_per_s: u32,
    /// Time between two tokens with one request running; grows by half up to a full batch.
    pub token_gap: Duration,
    /// How long a prefill result is kept.
    pub result_ttl: Duration,
    /// Rate of its link, in bytes a second.
    pub link_bytes_per_s: u64,
    /// Bytes of KV cache for each prompt token.
    pub kv_bytes_per_token: u64,
    /// Blocks of 64 bytes of prompt in the prefix cache.
    pub prefix_cache_blocks: usize,
    /// Age of load reports.
    pub report_interval: Duration,
    /// How long loading weights takes.
    pub weights_load_time: Duration,
    /// Length of every answer that its limit allows; without it the prompt decides.
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

    /// An engine at the pace of a real one: 8,000 prompt tokens a second, 20 ms between tokens.
    pub fn realistic(role: Role, slots: u32) -> Self {
        Self { slots, prefill_tokens_per_s: 8_000, token_gap: Duration::from_millis(20), ..Self::fast(role) }
    }
}

/// What is wrong with a stand-in.
#[expect(clippy::struct_excessive_bools, reason = "each fault is set on its own")]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Prefills, imports and decodes make no progress.
    pub stall: bool,
    /// Everything takes this many times as long; 0 and 1 are normal.
    pub slow: u32,
    /// Connections of new steps are broken after the step was taken on.
    pub drop: bool,
    /// New steps are refused as busy.
    pub refuse: bool,
    /// New steps are refused, and reports say that it leaves.
    pub leaving: bool,
    /// Prefill results are gone at once.
    pub evict: bool,
    /// Load reports are not renewed.
    pub lag: bool,
    /// Orders are taken whatever their fencing number.
    pub ignore_fencing: bool,
    /// Every second cache event is lost.
    pub gaps: bool,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Engine {
    state: Arc<State>,
    running: Running,
    sampler: tokio::task::JoinHandle<()>,
}

impl Engine {
    /// Starts an engine on `address`, port 0 for any.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(address: SocketAddr, options: EngineOptions) -> std::io::Result<Self> {
        let state = Arc::new(State::new(options));
        let running = Running::start(address, http::route(Arc::clone(&state))).await?;
        let sampler = tokio::spawn(state::sample(Arc::clone(&state)));
        Ok(Self { state, running, sampler })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Sets what is wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// Ids of requests that it holds memory for, now.
    pub fn held_requests(&self) -> Vec<String> {
        self.state.held()
    }

    /// Prefills started, over its life.
    pub fn prefills_started(&self) -> u64 {
        self.state.prefills()
    }

    /// Streams started, over its life.
    pub fn streams_started(&self) -> u64 {
        self.state.streams()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.sampler.abort();
    }
}
