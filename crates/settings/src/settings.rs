//! The settings file of one instance.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Settings that a process reads at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet and the subject of its certificate.
    #[schemars(length(min = 1))]
    pub instance: String,
    /// Failure domain that the instance runs in.
    #[schemars(length(min = 1))]
    pub domain: String,
    /// Name of the deployment; a configuration of another one is refused.
    #[schemars(length(min = 1))]
    pub deployment: String,
    /// Addresses to listen on.
    pub listen: Listeners,
    /// Addresses of the platform's configuration service, tried in turn.
    #[schemars(length(min = 1))]
    pub platform: Vec<SocketAddr>,
    /// Peers to query when the platform cannot be reached at the start.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Keys for the connections between instances.
    pub keys: Keys,
    /// Limits on the resources that callers may use.
    #[serde(default)]
    pub limits: Limits,
}

/// A peer that is known from the settings alone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Name of the instance, as in its certificate.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Its address for peers.
    pub address: SocketAddr,
}

/// Listening addresses of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listeners {
    /// TCP, for callers.
    pub callers: SocketAddr,
    /// TCP, for operators: metrics, status, audit trail and drain.
    pub operators: SocketAddr,
    /// UDP, for other instances.
    pub peers: SocketAddr,
}

/// PEM files with which instances authenticate each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Certificates of the authorities that sign the certificates of instances; more than one during a key
    /// rotation.
    pub authority: String,
    /// Certificate chain of this instance.
    pub certificate: String,
    /// Private key of this instance.
    pub private: String,
}

/// Limits on the resources of one instance that callers may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body in bytes.
    #[schemars(range(min = 1024, max = 67_108_864))]
    pub body: usize,
    /// Requests in progress at once.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub requests: usize,
    /// Connections of callers at once; further ones are closed immediately.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    /// Timeout of an idle connection, in milliseconds.
    #[schemars(range(min = 100, max = 86_400_000))]
    pub idle_ms: u64,
    /// Timeout for receiving a request, in milliseconds.
    #[schemars(range(min = 100, max = 600_000))]
    pub receive_ms: u64,
    /// Threads for traffic, in addition to the control thread. Idle threads search for work, so more threads
    /// than needed cost processor time.
    #[schemars(range(min = 1, max = 256))]
    pub threads: usize,
    /// Default deadline of a request, in milliseconds.
    #[schemars(range(min = 100, max = 86_400_000))]
    pub deadline_ms: u64,
    /// How long a graceful shutdown waits for requests in progress, in milliseconds.
    #[schemars(range(min = 100, max = 86_400_000))]
    pub drain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 8 << 20,
            requests: 4096,
            connections: 12_000,
            idle_ms: 60_000,
            receive_ms: 10_000,
            threads: 2,
            deadline_ms: 300_000,
            drain_ms: 600_000,
        }
    }
}
