//! Requests and answers byte by byte, so that a stand-in can also answer wrongly.

use std::collections::HashMap;
use std::fmt::Write;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Largest head and body that a stand-in takes, in bytes.
const LARGEST: usize = 1 << 20;

/// A request with its whole body.
#[derive(Debug, Clone, Default)]
pub(crate) struct Asked {
    pub(crate) path: String,
    headers: HashMap<String, String>,
    pub(crate) body: Vec<u8>,
}

impl Asked {
    /// A header's value; the name in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// A value of the query.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads the next request; `None` once the connection has ended.
pub(crate) async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Asked> {
    loop {
        if let Some((asked, length)) = parse(buffer) {
            buffer.drain(..length);
            return Some(asked);
        }
        let mut piece = [0; 4096];
        let count = stream.read(&mut piece).await.ok()?;
        if count == 0 || buffer.len() > LARGEST {
            return None;
        }
        buffer.extend_from_slice(&piece[..count]);
    }
}

fn parse(buffer: &[u8]) -> Option<(Asked, usize)> {
    let mut fields = [httparse::EMPTY_HEADER; 64];
    let mut request = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(head) = request.parse(buffer).ok()? else { return None };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let mut headers = HashMap::<String, String>::new();
    for field in request.headers.iter() {
        // A second one of the same name is seen, as the rules of HTTP have it.
        let all = headers.entry(field.name.to_ascii_lowercase()).or_default();
        let gap = if all.is_empty() { "" } else { ", " };
        all.push_str(gap);
        all.push_str(&text(field.value));
    }
    let size: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let body = buffer.get(head..head + size)?.to_vec();
    let path = request.path?.to_owned();
    Some((Asked { path, headers, body }, head + size))
}

/// Writes an answer with a length. Errors are the asker's to notice.
pub(crate) async fn answer(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &str) {
    let mut text = head(status, headers);
    // Writing to a string does not fail.
    let _ = write!(text, "content-length: {}\r\n\r\n{body}", body.len());
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Status line and headers, without the empty line.
pub(crate) fn head(status: u16, headers: &[(&str, &str)]) -> String {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    text
}

/// Writes one chunk of a chunked answer; an empty one ends it. Says whether it could be written.
pub(crate) async fn chunk(stream: &mut TcpStream, data: &str) -> bool {
    let text = format!("{:x}\r\n{data}\r\n", data.len());
    stream.write_all(text.as_bytes()).await.is_ok()
}
