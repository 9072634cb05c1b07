//! The interface to a platform: everything that depends on the platform's names and formats.
//!
//! This crate decides what to send, where and when. A [`Protocol`] only translates and has no state.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use teaselshunt_routing::{Endpoint, RouteSet, Stage};
use teaselshunt_teams::ApiKey;

/// Fields from the head of a caller's request, besides method, path and body.
#[derive(Debug, Clone, Default)]
pub struct RequestMeta {
    /// Request id set by the caller.
    pub id: String,
    /// Time that the caller waits, from arrival.
    pub deadline: Option<Duration>,
    /// Prompt tokens; 0 where the request is not a generation.
    pub prompt_tokens: u64,
    /// Most tokens to generate.
    pub max_output_tokens: u64,
    /// Whether the request states its token counts.
    pub has_token_count: bool,
    /// The caller's estimate of the tokens that will be generated. Its median is right, single estimates are
    /// often far off.
    pub output_hint: Option<u64>,
    /// Ids of the parts of the prompt that other requests may have as well, in order. The last part of a prompt belongs
    /// to the request or its session alone and is left out.
    pub shared_parts: Vec<u64>,
}

/// Why a request is sent to an endpoint.
#[derive(Debug, Clone, Copy)]
pub enum Purpose<'a> {
    /// Run the request as it is.
    Run,
    /// Only prefill the prompt.
    Prefill,
    /// Decode from a KV cache at another engine.
    Decode {
        /// The engine that holds the KV cache.
        source: SocketAddr,
        /// Handle of the KV cache at that engine.
        handle: &'a str,
        /// Id of the reserved capacity.
        reservation: Option<&'a str>,
    },
    /// Prefill the prompt and decode at the same engine.
    PrefillAndDecode {
        /// Id of the last event that the caller has, for a stream that resumes.
        after: Option<&'a HeaderValue>,
        /// Id of the reserved capacity.
        reservation: Option<&'a str>,
    },
}

/// A value that an endpoint may state about itself in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Stated<T> {
    /// The response does not state it.
    #[default]
    Absent,
    /// The stated value.
    Value(T),
    /// The response states something that is not such a value.
    Invalid,
}

impl<T> Stated<T> {
    /// The value; `None` if it is absent or invalid.
    pub fn value(self) -> Option<T> {
        match self {
            Self::Value(value) => Some(value),
            Self::Absent | Self::Invalid => None,
        }
    }
}

/// Fields from the head of an endpoint's response, besides status and body.
#[derive(Debug, Clone, Default)]
pub struct ResponseMeta {
    /// Id of the request that the response belongs to; empty if it names none.
    pub id: String,
    /// Whether the response carries the endpoint's signature.
    pub signed: bool,
    /// Whether the response states that the request has not run and will not.
    pub refused: bool,
    /// Whether the endpoint is not the intended one, or now has another stage.
    pub misdirected: bool,
    /// Id of the responding endpoint; empty if the response does not name it.
    pub endpoint: String,
    /// What the endpoint states about itself.
    pub statements: StatementHeaders,
}

/// What an endpoint states about itself in the head of a response.
#[derive(Debug, Clone, Copy, Default)]
pub struct StatementHeaders {
    /// Whether the endpoint is shutting down.
    pub leaving: bool,
    /// Time for which the endpoint wants no further requests from this instance.
    pub retry_after: Stated<Duration>,
    /// Requests per second that the endpoint accepts from all instances together; not negative.
    pub rate: Stated<f64>,
}

/// A small request to an endpoint or to the platform.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers besides `Host` and the content's type and length.
    pub headers: HeaderMap,
    /// JSON body; empty for none.
    pub body: Bytes,
}

/// An order to an engine to change its stage, which the engine takes only if it has taken none in its incarnation.
#[derive(Debug, Clone, Copy)]
pub struct Order<'a> {
    /// Id of the intended engine.
    pub endpoint_id: &'a str,
    /// Stage to take.
    pub stage: Stage,
    /// Name of the instance that gives the order.
    pub instance: &'a str,
    /// Rises with each order, so that engines ignore outdated orders.
    pub fencing_number: u64,
}

/// One change or entry from the platform's store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreChange {
    /// A configuration version.
    Routes(Arc<RouteSet>),
    /// An endpoint's entry.
    Endpoint(Endpoint),
    /// Removal of the entry of the endpoint with this id.
    #[serde(rename = "Gone")]
    Removed(Arc<str>),
    /// An entry that cannot be parsed.
    Invalid {
        /// Key of the entry.
        key: String,
        /// Id of the endpoint that the entry belongs to. The endpoint is not used until it writes its entry
        /// again.
        endpoint: Option<Arc<str>>,
        /// Parse error.
        cause: String,
    },
}

/// A response of the store.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    /// Changes or entries, in order.
    pub changes: Vec<StoreChange>,
    /// Revision of the store as of this response.
    pub revision: u64,
    /// Key after which the next page begins; `None` on the last page.
    pub next_key: Option<String>,
}

/// Translates between this crate and one platform.
pub trait Protocol: Debug {
    /// Parses the head of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMeta;
    /// Removes the API key from the head of a caller's request, so that the key is never forwarded.
    fn take_key(&self, headers: &mut HeaderMap) -> Option<ApiKey>;
    /// Turns a caller's headers into headers for an endpoint. Hop-by-hop headers are removed already. `team`
    /// is the team of the authenticated caller, whatever the caller's headers claim; `rank` is the request's
    /// place among the priorities of an engine service, 0 for the most urgent, if they differ; `remaining` is
    /// the time that the endpoint may take; `endpoint_id` is the id of the intended endpoint.
    fn endpoint_headers(
        &self,
        headers: &mut HeaderMap,
        team: Option<&str>,
        rank: Option<u8>,
        remaining: Duration,
        endpoint_id: &str,
        purpose: Purpose<'_>,
    );
    /// Parses the head of an endpoint's response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMeta;
    /// Reserves capacity for `tokens` at the engine with the id `endpoint_id`.
    fn reserve(&self, endpoint_id: &str, tokens: u64, ttl: Duration) -> Call;
    /// Parses the id of a reservation.
    fn read_reservation(&self, body: &[u8]) -> Option<String>;
    /// Releases a reservation.
    fn release(&self, reservation: &str) -> Call;
    /// Parses the handle of a KV cache.
    fn read_kv_handle(&self, body: &[u8]) -> Option<String>;
    /// Frees a KV cache.
    fn free_kv_cache(&self, handle: &str) -> Call;
    /// Asks the endpoint with the id `endpoint_id` for its report. Any response shows that the endpoint is reached.
    fn report(&self, endpoint_id: &str) -> Call;
    /// Orders an engine to take a stage.
    fn order(&self, order: Order<'_>) -> Call;
    /// Lists the store's entries, from the key after `after`.
    fn list(&self, after: Option<&str>) -> Call;
    /// Waits for changes after a revision.
    fn watch(&self, revision: u64, wait: Duration) -> Call;
    /// Whether calls to an endpoint can name this id. The list of the platform and those of peers are checked.
    fn is_endpoint_id(&self, id: &str) -> bool;
    /// Reads the store's era from the headers of any of its responses, whatever the status. The era rises
    /// each time that the store is restored from a backup; revisions restart then. `None` on platforms
    /// without eras.
    fn read_era(&self, headers: &HeaderMap) -> Option<u64>;
    /// Parses the response to [`Protocol::list`].
    ///
    /// # Errors
    /// The body is not a response to that call.
    fn read_list(&self, body: &[u8]) -> Result<Batch, String>;
    /// Parses the response to [`Protocol::watch`].
    ///
    /// # Errors
    /// The body is not a response to that call.
    fn read_watch(&self, body: &[u8]) -> Result<Batch, String>;
    /// Whether a path on the readiness address is the readiness check.
    fn is_ready_path(&self, path: &str) -> bool;
}
