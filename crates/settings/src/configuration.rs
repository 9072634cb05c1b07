//! The numbered configuration that the platform publishes and operators patch.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One numbered version of everything that operators decide about a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Number of this version; a higher number replaces a lower one everywhere.
    #[schemars(range(min = 1))]
    pub version: u64,
    /// Name of the deployment, to keep two fleets from being mixed up.
    #[schemars(length(min = 1))]
    pub deployment: String,
    /// Failure domains, each of which can be cut off from the others.
    #[schemars(length(min = 1))]
    pub domains: Vec<Domain>,
    /// Data centres between which work moves.
    #[schemars(length(min = 1))]
    pub sites: Vec<Site>,
    /// Kinds of work with a priority and latency targets.
    #[schemars(length(min = 1))]
    pub classes: Vec<Class>,
    /// Groups of endpoints that never share work with each other.
    #[schemars(length(min = 1))]
    pub pools: Vec<Pool>,
    /// Model names that callers use.
    pub models: Vec<Model>,
    /// Every back end of the fleet.
    pub endpoints: Vec<Endpoint>,
    /// Plain services beside the engines.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Teams with a share of their own; any other caller counts as one more team of weight 1.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Links of limited rate between failure domains.
    #[serde(default)]
    pub links: Vec<Link>,
    /// Limits and timeouts of the routing policy.
    #[serde(default)]
    pub policy: Policy,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Unique name.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Region that the domain lies in.
    pub region: String,
}

/// A data centre, with the share of new work that it should get while work moves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Unique name.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Relative share of new work; 0 sends nothing new to the site.
    #[schemars(range(max = 1000))]
    pub share: u32,
}

/// A kind of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name.
    #[schemars(length(min = 1))]
    pub name: String,
    /// 0 is served first, 9 last.
    #[schemars(range(max = 9))]
    pub priority: u8,
    /// Target for the first token, in milliseconds.
    #[schemars(range(min = 1))]
    pub first_ms: u64,
    /// Target for the gap between tokens, in milliseconds.
    #[schemars(range(min = 1))]
    pub gap_ms: u64,
    /// How long a request may wait for a slot before it is refused, in milliseconds.
    #[schemars(range(min = 1, max = 600_000))]
    pub wait_ms: u64,
}

/// A group of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Classes that the pool serves; work of any other class is never sent here.
    pub classes: Vec<String>,
}

/// A model name as callers give it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Unique name.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Pool that serves it.
    pub pool: String,
    /// Class of its requests.
    pub class: String,
}

/// What an endpoint does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Engine that turns a prompt into KV cache.
    Prefill,
    /// Engine that generates tokens from KV cache.
    Decode,
    /// Plain HTTP service.
    Service,
}

/// What an operator wants of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema, Default)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes new work.
    #[default]
    Active,
    /// Finishes what it has and gets nothing new.
    Draining,
}

/// A back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Unique name.
    #[schemars(length(min = 1))]
    pub name: String,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Data centre.
    pub site: String,
    /// Pool; for a service, the pool that the service names.
    pub pool: String,
    /// What it does.
    pub role: Role,
    /// Requests that it works on at once.
    #[schemars(range(min = 1, max = 4096))]
    pub slots: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: EndpointState,
    /// What it should have loaded; absent where the system gives no orders.
    #[serde(default)]
    pub load: Option<Load>,
}

/// What an engine should have loaded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Model weights.
    #[schemars(length(min = 1))]
    pub model: String,
    /// Version of the weights.
    #[schemars(length(min = 1))]
    pub version: String,
    /// Adapter on top of the model.
    #[serde(default)]
    pub adapter: Option<String>,
}

/// A plain service that callers reach under `/services/NAME/`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Pool of endpoints with role `service`.
    pub pool: String,
    /// Methods whose calls are idempotent and may be repeated; all others run at most once.
    pub repeatable: Vec<String>,
    /// How long one call may take, in milliseconds.
    #[schemars(range(min = 1, max = 600_000))]
    pub timeout_ms: u64,
    /// Whether callers need no key.
    #[serde(default)]
    pub public: bool,
}

/// A team of callers.
///
/// Where no team of a version has keys, callers name their team in the header `OpenAI-Organization`, and anybody may. Where one
/// has, all callers show a key, but for those of public services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Relative share of a full pool.
    #[schemars(range(min = 1, max = 1000))]
    pub weight: u32,
    /// SHA-256 of each of its keys, in hexadecimal digits, so that the configuration holds no secret; `teaselctl team-key`
    /// makes both.
    #[serde(default)]
    pub keys: Vec<String>,
    /// What it may ask of all instances together; absent for no limit.
    #[serde(default)]
    pub limit: Option<TeamLimit>,
}

/// In what a team's limit is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TeamUnit {
    /// Each request is one.
    Requests,
    /// A generation is its prompt tokens and the most tokens that it may make; a service call is `plain` of them.
    Tokens,
}

/// What a team may ask of all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamLimit {
    /// In what it is counted.
    pub unit: TeamUnit,
    /// Units a second.
    #[schemars(range(min = 1))]
    pub rate: u32,
    /// Units at once.
    #[schemars(range(min = 1))]
    pub burst: u32,
    /// Tokens of a service call.
    #[serde(default)]
    pub plain: u32,
}

/// A link of limited rate between two failure domains, for KV transfers in both directions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One end.
    pub from: String,
    /// The other end; the same name for traffic inside a domain.
    pub to: String,
    /// Rate in bytes a second.
    #[schemars(range(min = 1))]
    pub rate: u64,
}

/// Limits and timeouts of the routing policy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// A stream with no token for this long is taken for silent, in milliseconds.
    #[schemars(range(min = 50, max = 600_000))]
    pub stall_ms: u64,
    /// A prefill or transfer that takes longer has failed, in milliseconds.
    #[schemars(range(min = 50, max = 600_000))]
    pub step_ms: u64,
    /// Attempts of one request, the first included.
    #[schemars(range(min = 1, max = 20))]
    pub attempts: u32,
    /// Retries allowed for each 100 requests, fleet-wide average of one instance.
    #[schemars(range(max = 100))]
    pub retry_percent: u32,
    /// How long an idempotency key is remembered, in seconds; callers must not retry later than this.
    #[schemars(range(min = 1, max = 86_400))]
    pub horizon_s: u64,
    /// How far a caller's clock may be ahead of an instance's, in milliseconds; for idempotency keys that tell
    /// when they were made.
    #[schemars(range(max = 600_000))]
    pub skew_ms: u64,
    /// Prefills that one prefill engine may have running and waiting, per 100 slots; low saves prefill
    /// work at a fault, high keeps the engines busy.
    #[schemars(range(min = 100, max = 1000))]
    pub backlog_percent: u32,
    /// Endpoints of one pool that may load weights at once.
    #[schemars(range(min = 1, max = 1000))]
    pub loading_max: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            stall_ms: 2_000,
            step_ms: 20_000,
            attempts: 4,
            retry_percent: 20,
            horizon_s: 900,
            skew_ms: 30_000,
            backlog_percent: 150,
            loading_max: 1,
        }
    }
}
