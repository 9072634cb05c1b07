//! The requests that callers on the users' platform send, and their check of a response.

use reqwest::header::HeaderMap;
use reqwest::{Client, RequestBuilder};

/// A request with an id to `path` of the instance at `address`, whose caller waits for `deadline_ms`.
pub fn site_request(
    client: &Client,
    address: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
) -> RequestBuilder {
    let request = client.post(format!("http://{address}{path}")).header("host", "site.example");
    let request = request.header("request-id", id).header("request-deadline", deadline_ms.to_string());
    request.header("token-count", "100,10").body("question")
}

/// Id of the endpoint that states in a response that it leaves.
pub fn leaving_endpoint(headers: &HeaderMap) -> Option<&str> {
    let seal = headers.get("server-seal").filter(|_| headers.contains_key("server-leaving"))?;
    seal.to_str().ok()?.strip_prefix("seal-")
}

/// Whether a response has its endpoint's signature.
pub fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key("server-seal")
}
