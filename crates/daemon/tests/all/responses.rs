//! Responses that end with their connection, whole or cut short.

use std::io::ErrorKind;
use std::time::Duration;

use serde_json::Value;
use teaselshunt_settings::Role;
use teaselshunt_standin::{EngineOptions, Faults, ServiceFaults, Unframed};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::support::{Daemon, Fleet};

fn unframed(media_type: &str, cut: Option<usize>) -> ServiceFaults {
    let unframed = Unframed { media_type: media_type.to_owned(), cut };
    ServiceFaults { unframed: Some(unframed), ..ServiceFaults::default() }
}

/// Guards against a booking whose response was cut short and that its caller takes for confirmed.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_json_response_is_no_success() {
    let fleet = Fleet::start(1).await;
    let daemon = fleet.start_daemon(0).await;
    fleet.service.set_faults(unframed("application/json", Some(10)));
    let response = fleet.booking(&daemon, "cut").send().await.unwrap();
    assert_eq!(response.status(), 502);
    assert_eq!(response.headers()["x-teaselshunt-outcome"], "unknown");
    assert_eq!(fleet.executions("cut"), 1);
    let metrics = fleet.client.get(format!("http://{}/metrics", daemon.operators)).send().await.unwrap();
    let counted = "teaselshunt_response_ends_total{end=\"json\",framing=\"close\"} 1";
    assert!(metrics.text().await.unwrap().contains(counted));
}

/// Guards against a truncated response that is kept for an idempotency key and given to each retry.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_response_is_not_kept_for_its_key() {
    let fleet = Fleet::start(1).await;
    let daemon = fleet.start_daemon(0).await;
    fleet.wait_until_keys_granted(&daemon).await;
    let key = uuid::Uuid::now_v7().to_string();
    let booking = || fleet.booking(&daemon, "cut").header("Idempotency-Key", &key);
    fleet.service.set_faults(unframed("application/json", Some(10)));
    assert!(!booking().send().await.unwrap().status().is_success());
    fleet.service.set_faults(ServiceFaults::default());
    assert!(!booking().send().await.unwrap().status().is_success());
    assert_eq!(fleet.executions("cut"), 1);
}

/// Guards against a response that claims to be complete although nothing shows that it is, also to a retry with its
/// key. The booking still runs once.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_ends_with_its_connection_is_not_framed() {
    let fleet = Fleet::start(1).await;
    let daemon = fleet.start_daemon(0).await;
    fleet.wait_until_keys_granted(&daemon).await;
    let key = uuid::Uuid::now_v7().to_string();
    let booking = || fleet.booking(&daemon, "text").header("Idempotency-Key", &key);
    fleet.service.set_faults(unframed("text/plain", None));
    let response = booking().send().await.unwrap();
    assert_eq!(response.status(), 200);
    for name in ["content-length", "transfer-encoding"] {
        assert!(!response.headers().contains_key(name), "{name}");
    }
    let reply: Value = response.json().await.unwrap();
    assert_eq!(reply["call"]["body"], "text");
    let retried = booking().send().await.unwrap();
    let is_framed = retried.headers().contains_key("content-length");
    assert!(!(retried.status().is_success() && is_framed), "{retried:?}");
    assert_eq!(fleet.executions("text"), 1);
}

/// Guards against a complete JSON response that is not kept for its key because it ended with its connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_json_document_that_ends_with_its_connection_is_complete() {
    let fleet = Fleet::start(1).await;
    let daemon = fleet.start_daemon(0).await;
    fleet.wait_until_keys_granted(&daemon).await;
    let key = uuid::Uuid::now_v7().to_string();
    fleet.service.set_faults(unframed("application/json", None));
    for _ in 0..2 {
        let response = fleet.booking(&daemon, "whole").header("Idempotency-Key", &key).send().await.unwrap();
        assert_eq!(response.status(), 200);
        assert!(response.headers().contains_key("content-length"));
        let reply: Value = response.json().await.unwrap();
        assert_eq!(reply["call"]["body"], "whole");
    }
    assert_eq!(fleet.executions("whole"), 1);
}

/// Guards against a stream that no engine completes and whose response ends like a complete one, for a caller that does
/// not look for the last event.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_no_engine_completes_is_not_framed_as_complete() {
    let options = EngineOptions { token_gap: Duration::from_millis(30), ..EngineOptions::fast(Role::Decode) };
    let fleet = Fleet::start_with(1, options).await;
    let daemon = fleet.start_daemon(0).await;
    let mut response = fleet.completion(&daemon, "Log", true).send().await.unwrap();
    for engine in fleet.prefill.iter().chain(&fleet.decode) {
        engine.set_faults(Faults { drop: true, ..Faults::default() });
    }
    let mut received = Vec::new();
    let ended = loop {
        match response.chunk().await {
            Ok(Some(chunk)) => received.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let text = String::from_utf8(received).unwrap();
    assert!(text.contains("\"error\""), "the caller learns why: {text}");
    assert!(!ended, "the response ends like a complete one");
}

/// Sends a request over a connection of its own with a small window, which leaves most of a long response at the
/// instance.
async fn send(daemon: &Daemon, version: &str, path: &str, body: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let mut stream = socket.connect(daemon.callers).await.unwrap();
    let length = body.len();
    let head = format!("POST {path} {version}\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
    stream
}

/// Reads until a text has arrived.
async fn read_until(stream: &mut TcpStream, received: &mut Vec<u8>, text: &str) {
    while !String::from_utf8_lossy(received).contains(text) {
        assert!(stream.read_buf(received).await.unwrap() > 0, "closed after {}", received.escape_ascii());
    }
}

/// Reads the rest of a response, and returns whether the connection was reset.
async fn is_reset(stream: &mut TcpStream, received: &mut Vec<u8>) -> bool {
    stream.read_to_end(received).await.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset)
}

/// The body of a request for a stream.
const STREAM: &str = r#"{"model":"long","prompt":"Log","max_tokens":400,"stream":true}"#;

fn slow_decode() -> EngineOptions {
    EngineOptions { token_gap: Duration::from_millis(30), ..EngineOptions::fast(Role::Decode) }
}

/// Guards against a stream to a caller of HTTP/1.0 that looks complete because the kernel closes the connections of an
/// instance that was killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_killed_instance_does_not_look_complete() {
    let fleet = Fleet::start_with(1, slow_decode()).await;
    let daemon = fleet.start_daemon(0).await;
    let (mut stream, mut received) = (send(&daemon, "HTTP/1.0", "/v1/completions", STREAM).await, Vec::new());
    read_until(&mut stream, &mut received, "data: ").await;
    drop(daemon);
    assert!(is_reset(&mut stream, &mut received).await, "{}", received.escape_ascii());
}

/// Guards against a stream that no engine completes and that looks complete to a caller of HTTP/1.0.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_to_an_old_caller_that_no_engine_completes_is_reset() {
    let fleet = Fleet::start_with(1, slow_decode()).await;
    let daemon = fleet.start_daemon(0).await;
    let (mut stream, mut received) = (send(&daemon, "HTTP/1.0", "/v1/completions", STREAM).await, Vec::new());
    read_until(&mut stream, &mut received, "data: ").await;
    for engine in fleet.prefill.iter().chain(&fleet.decode) {
        engine.set_faults(Faults { drop: true, ..Faults::default() });
    }
    assert!(is_reset(&mut stream, &mut received).await, "{}", received.escape_ascii());
}

/// Guards against a whole stream that a reset takes from a caller of HTTP/1.0.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_stream_to_an_old_caller_ends_with_a_close() {
    let fleet = Fleet::start(1).await;
    let daemon = fleet.start_daemon(0).await;
    let (mut stream, mut received) = (send(&daemon, "HTTP/1.0", "/v1/completions", STREAM).await, Vec::new());
    assert!(!is_reset(&mut stream, &mut received).await);
    assert!(received.ends_with(b"data: [DONE]\n\n"), "{}", received.escape_ascii());
}

/// Guards against a response without an end mark of which a killed instance has sent a part, and against one that a
/// reset takes from a caller who reads slowly.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_of_a_response_that_ends_with_its_connection_does_not_look_complete() {
    /// More than the kernel buffers for a connection whose caller does not read.
    const BYTES: usize = 7 << 20;
    let fleet = Fleet::start(1).await;
    fleet.service.set_faults(unframed("text/plain", None));
    let body = "x".repeat(BYTES);
    let mut daemon = fleet.start_daemon(0).await;
    for kill in [true, false] {
        let path = "/services/bookings/new";
        let (mut stream, mut received) = (send(&daemon, "HTTP/1.1", path, &body).await, Vec::new());
        read_until(&mut stream, &mut received, "xxx").await;
        if kill {
            drop(daemon);
            daemon = fleet.launch(0);
        }
        assert_eq!(is_reset(&mut stream, &mut received).await, kill, "{} bytes", received.len());
        assert_eq!(received.len() > BYTES, !kill);
        daemon = fleet.wait_until_ready(daemon).await;
    }
}
