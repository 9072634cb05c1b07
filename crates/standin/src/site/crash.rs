//! Requests under which a stand-in endpoint crashes.

use super::http::Request;

/// Body of a request that crashes every endpoint that starts to run it. A prefill of its prompt crashes no engine.
pub const CRASHING_BODY: &str = "crash";

/// Id of a part of prompts under which every decode engine crashes once it begins to answer, whatever else the request holds. A
/// header `crash-at` names the only engine that crashes.
pub const CRASHING_PART: &str = "c4a54";

/// Whether the endpoint with the id `endpoint` crashes once it begins to answer a request.
pub(super) fn crashes_under(request: &Request, endpoint: &str) -> bool {
    let is_spared = request.header("crash-at").is_some_and(|engine| engine != endpoint);
    let is_crashing = request.body == CRASHING_BODY.as_bytes() || has_crashing_part(request);
    is_crashing && !is_spared
}

fn has_crashing_part(request: &Request) -> bool {
    let parts = request.header("prompt-prefix").unwrap_or_default();
    parts.split(',').any(|part| part.split(':').next() == Some(CRASHING_PART))
}
