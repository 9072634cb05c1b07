//! Prepares the heads of requests and responses for the next connection.

use hyper::Version;
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;

/// Headers that are never forwarded (RFC 9110, section 7.6.1), and the length, which is set again.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the headers that apply only to the connection on which a message arrived.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .filter(|name| name != "host" && !name.as_str().starts_with("content-"))
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Prepares the head of an endpoint's response for the caller. The body must be framed, or not, as `framed` says.
pub(crate) fn prepare_response(head: &mut Parts, framed: bool) {
    strip(&mut head.headers);
    if framed {
        head.version = Version::HTTP_11;
    } else {
        // The library sends chunks in any later version.
        head.version = Version::HTTP_10;
        head.headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
