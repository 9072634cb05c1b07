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
    /// Name of the deployment, which keeps two fleets from being confused.
    #[schemars(length(min = 1))]
    pub deployment: String,
    /// Failure domains, each of which a network partition can separate from the others.
    #[schemars(length(min = 1))]
    pub domains: Vec<Domain>,
    /// Data centres between which work moves.
    #[schemars(length(min = 1))]
    pub sites: Vec<Site>,
    /// Classes of requests, each with a priority and latency targets.
    #[schemars(length(min = 1))]
    pub classes: Vec<Class>,
    /// Groups of endpoints that never share work with each other.
    #[schemars(length(min = 1))]
    pub pools: Vec<Pool>,
    /// Model names that callers use.
    pub models: Vec<Model>,
    /// All endpoints of the fleet.
    pub endpoints: Vec<Endpoint>,
    /// Plain services in addition to the engines.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Teams with a share of their own; all other callers together count as one additional team of weight 1.
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
    /// Region that the domain is in.
    pub region: String,
}

/// A data centre, with the share of new work that it gets while work moves between sites.
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

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Priority: 0 is served first, 9 last.
    #[schemars(range(max = 9))]
    pub priority: u8,
    /// Target for the time to the first token, in milliseconds.
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
    /// Classes that the pool serves; requests of any other class are never sent to it.
    pub classes: Vec<String>,
}

/// A model name that callers use.
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
    /// Engine that prefills a prompt into a KV cache.
    Prefill,
    /// Engine that generates tokens from a KV cache.
    Decode,
    /// Plain HTTP service.
    Service,
}

/// State that an operator gives an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema, Default)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes new work.
    #[default]
    Active,
    /// Finishes its requests and gets no new ones.
    Draining,
}

/// An endpoint.
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
    /// Number of requests that it processes at once.
    #[schemars(range(min = 1, max = 4096))]
    pub slots: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: EndpointState,
    /// What it should have loaded; absent where the system sends no orders.
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
    /// Methods whose calls are idempotent and may be repeated; calls of all others run at most once.
    pub repeatable: Vec<String>,
    /// Timeout of one call, in milliseconds.
    #[schemars(range(min = 1, max = 600_000))]
    pub timeout_ms: u64,
    /// Whether callers need no key.
    #[serde(default)]
    pub public: bool,
}

/// A team of callers.
///
/// Where no team of a configuration version has keys, callers name their team in the header
/// `OpenAI-Organization`, without authentication. Where a team has keys, all callers present a key, except
/// callers of public services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Relative share of a pool when the pool is full.
    #[schemars(range(min = 1, max = 1000))]
    pub weight: u32,
    /// SHA-256 of each of its keys, in hexadecimal digits, so that the configuration holds no secret;
    /// `teaselctl team-key` generates a key and its digest.
    #[serde(default)]
    pub keys: Vec<String>,
    /// What it may request of all instances together; absent for no limit.
    #[serde(default)]
    pub limit: Option<TeamLimit>,
}

/// Unit in which a team's limit is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TeamUnit {
    /// Each request counts as one.
    Requests,
    /// A generation counts its prompt tokens and the largest number of output tokens that it allows; a
    /// service call counts `plain` tokens.
    Tokens,
}

/// What a team may request of all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamLimit {
    /// Unit in which it is counted.
    pub unit: TeamUnit,
    /// Units per second.
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
    /// Rate in bytes per second.
    #[schemars(range(min = 1))]
    pub rate: u64,
}

/// Limits and timeouts of the routing policy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// A stream without a token for this long has stalled, in milliseconds. It goes on until something better responds.
    #[schemars(range(min = 50, max = 600_000))]
    pub stall_ms: u64,
    /// Timeout of a prefill or of a transfer, in milliseconds.
    #[schemars(range(min = 50, max = 600_000))]
    pub step_ms: u64,
    /// Attempts of one request, the first included.
    #[schemars(range(min = 1, max = 20))]
    pub attempts: u32,
    /// Further attempts allowed per 100 requests, as an average over all requests of one instance, whichever
    /// part of the fleet serves them.
    #[schemars(range(max = 100))]
    pub retry_percent: u32,
    /// Retention period of idempotency keys, in seconds; callers must not retry later than this.
    #[schemars(range(min = 1, max = 86_400))]
    pub horizon_s: u64,
    /// How far a caller's clock may be ahead of an instance's, in milliseconds; for idempotency keys that
    /// state when they were created.
    #[schemars(range(max = 600_000))]
    pub skew_ms: u64,
    /// Prefills that one prefill engine may have running and waiting, per 100 slots. A low value saves
    /// prefill work at a failure, a high value keeps the engines busy.
    #[schemars(range(min = 100, max = 1000))]
    pub backlog_percent: u32,
    /// Endpoints of one pool that may load weights at once.
    #[schemars(range(min = 1, max = 1000))]
    pub loading_max: u32,
    /// Whether generations are refused for a message of their prompt under which engines crash.
    pub part_quarantine: bool,
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
            part_quarantine: true,
        }
    }
}
