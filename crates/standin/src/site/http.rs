//! HTTP requests and responses at the level of bytes, so that a stand-in can also send malformed responses.

use std::collections::HashMap;
use std::fmt::Write;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Largest request that a stand-in reads, in bytes, with its head.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// A request with its complete body.
#[derive(Debug, Clone, Default)]
pub(crate) struct Request {
    pub(crate) path: String,
    headers: HashMap<String, String>,
    pub(crate) body: Vec<u8>,
}

impl Request {
    /// A header's value; `name` is in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The value of a query parameter.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        query.split('&').find_map(|parameter| parameter.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads the next request; `None` once the connection has ended.
pub(crate) async fn read_request(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
) -> Option<Request> {
    loop {
        if let Some((request, length)) = parse(buffer) {
            buffer.drain(..length);
            return Some(request);
        }
        let mut chunk = [0; 4096];
        let count = stream.read(&mut chunk).await.ok()?;
        if count == 0 || buffer.len() > MAX_REQUEST_BYTES {
            return None;
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}

fn parse(buffer: &[u8]) -> Option<(Request, usize)> {
    let mut header_slots = [httparse::EMPTY_HEADER; 64];
    let mut request = httparse::Request::new(&mut header_slots);
    let httparse::Status::Complete(head_bytes) = request.parse(buffer).ok()? else { return None };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let mut headers = HashMap::<String, String>::new();
    for header in request.headers.iter() {
        // Headers of the same name are joined, as HTTP defines, so that a stand-in notices duplicates.
        let value = headers.entry(header.name.to_ascii_lowercase()).or_default();
        let separator = if value.is_empty() { "" } else { ", " };
        value.push_str(separator);
        value.push_str(&text(header.value));
    }
    let body_bytes: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let body = buffer.get(head_bytes..head_bytes + body_bytes)?.to_vec();
    let path = request.path?.to_owned();
    Some((Request { path, headers, body }, head_bytes + body_bytes))
}

/// Writes a response with a `Content-Length`. A write error is ignored, since the client notices it.
pub(crate) async fn write_response(
    stream: &mut (impl AsyncWrite + Unpin),
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
) {
    let mut text = response_head(status, headers);
    // Writing to a string does not fail.
    let _ = write!(text, "content-length: {}\r\n\r\n{body}", body.len());
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Names of the headers that the stand-ins send besides those that frame a body. docs/design/endpoint-statements.md
/// says where each is read.
pub const RESPONSE_HEADERS: [&str; 8] = [
    "content-type",
    "not-executed",
    "request-id",
    "retry-after",
    "server-leaving",
    "server-limit",
    "server-seal",
    "store-era",
];

/// Status line and headers, without the empty line that ends them.
pub(crate) fn response_head(status: u16, headers: &[(&str, &str)]) -> String {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        assert!(RESPONSE_HEADERS.contains(name), "{name} is not among the headers of the stand-ins");
        let _ = write!(text, "{name}: {value}\r\n");
    }
    text
}

/// Writes one chunk of a chunked response, and returns whether it was written. An empty chunk ends the response.
pub(crate) async fn write_chunk(stream: &mut (impl AsyncWrite + Unpin), data: &str) -> bool {
    let text = format!("{:x}\r\n{data}\r\n", data.len());
    stream.write_all(text.as_bytes()).await.is_ok()
}
