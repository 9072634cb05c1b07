//! Requests that share a connection of HTTP/2.

use std::time::Duration;

use serde_json::json;
use teaselshunt_settings::Role;
use teaselshunt_standin::EngineOptions;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::support::Fleet;

/// A response that has not begun after this time does not come.
const HANG: Duration = Duration::from_mins(1);

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut frame = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    frame.extend([kind, flags]);
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    frame
}

/// A completion with this deadline, as the frames of a stream of the connection. No field is compressed.
fn completion(stream: u32, deadline_ms: u32, streamed: bool) -> Vec<u8> {
    let deadline = deadline_ms.to_string();
    let fields = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/v1/completions"),
        (":authority", "x"),
        ("x-teaselshunt-deadline-ms", &deadline),
    ];
    let mut block = Vec::new();
    for (name, value) in fields {
        block.push(0);
        for text in [name, value] {
            block.push(text.len() as u8);
            block.extend(text.as_bytes());
        }
    }
    let body = json!({ "model": "long", "prompt": "Shares", "max_tokens": 400, "stream": streamed });
    let mut frames = frame(HEADERS, END_HEADERS, stream, &block);
    frames.extend(frame(DATA, END_STREAM, stream, body.to_string().as_bytes()));
    frames
}

/// Reads until the response on a stream begins. `false` if the connection ends before.
async fn begins(connection: &mut TcpStream, stream: u32) -> bool {
    loop {
        let mut head = [0; 9];
        if connection.read_exact(&mut head).await.is_err() {
            return false;
        }
        let [a, b, c, kind, _, id @ ..] = head;
        let mut payload = vec![0; u32::from_be_bytes([0, a, b, c]) as usize];
        if connection.read_exact(&mut payload).await.is_err() {
            return false;
        }
        if kind == HEADERS && u32::from_be_bytes(id) == stream {
            return true;
        }
    }
}

/// Guards against requests that get no response because a stream on the same connection ends at its deadline: the connection takes
/// no further bytes then, and is cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_stream_takes_no_other_request_with_it() {
    let slow = EngineOptions { token_gap: Duration::from_millis(300), ..EngineOptions::fast(Role::Decode) };
    let fleet = Fleet::start_with(1, slow).await;
    let daemon = fleet.start_daemon(0).await;
    let mut connection = TcpStream::connect(daemon.callers).await.unwrap();
    let mut frames = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    frames.extend(frame(SETTINGS, 0, 0, &[]));
    frames.extend(completion(1, 1_500, true));
    frames.extend(completion(3, 4_000, false));
    connection.write_all(&frames).await.unwrap();
    let answered = timeout(HANG, begins(&mut connection, 3)).await.unwrap();
    assert!(answered, "the connection has ended without a response to the second request");
}
