//! Invalid input: the instance refuses it with an error code or closes the connection, and other callers are
//! not affected.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::{Value, json};
use teaselshunt_standin::generated_text;

use crate::support::{Fleet, until};

/// Resident memory that an instance may use, regardless of its callers.
const MAX_MEMORY_BYTES: u64 = 256 << 20;

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_with_an_error_code() {
    let mut fleet = Fleet::start(1).await;
    fleet.adjust(0, |s| s["limits"] = json!({ "body": 4096 }));
    let daemon = fleet.start_daemon(0).await;
    let url = format!("http://{}/v1/completions", daemon.callers);
    let cases = [
        ("{", 400, "invalid_request"),
        ("[]", 400, "invalid_request"),
        (r#"{"model": "long"}"#, 400, "invalid_request"),
        (r#"{"model": 7, "prompt": "x"}"#, 400, "invalid_request"),
        (r#"{"model": "long", "prompt": "x", "max_tokens": "many"}"#, 400, "invalid_request"),
        (r#"{"model": "long", "prompt": "x", "max_tokens": 0}"#, 400, "invalid_request"),
        (r#"{"model": "long", "prompt": "x", "n": 2}"#, 400, "invalid_request"),
        (r#"{"model": "long", "prompt": ""}"#, 400, "invalid_request"),
        (r#"{"model": "none", "prompt": "x"}"#, 404, "model_not_found"),
    ];
    for (body, status, code) in cases {
        let response = fleet.client.post(&url).body(body).send().await.unwrap();
        assert_eq!(response.status(), status, "{body}");
        assert_eq!(response.headers()["x-teaselshunt-outcome"], "not-run", "{body}");
        let reply: Value = response.json().await.unwrap();
        assert_eq!(reply["error"]["code"], code, "{body}");
    }
    let large = fleet.client.post(&url).body("x".repeat(5000)).send().await.unwrap();
    assert_eq!(large.status(), 413);
    let invalid_deadline = fleet.completion(&daemon, "x", false).header("x-teaselshunt-deadline-ms", "soon");
    assert_eq!(invalid_deadline.send().await.unwrap().status(), 400);
    let unknown_service =
        fleet.client.get(format!("http://{}/services/none/x", daemon.callers)).send().await.unwrap();
    assert_eq!(unknown_service.status(), 404);
    let text = fleet.completion(&daemon, "Still here?", false).send().await.unwrap().text().await.unwrap();
    assert!(text.contains(generated_text("Still here?", 400).trim_end()));
}

#[tokio::test(flavor = "multi_thread")]
async fn incomplete_requests_time_out_and_idle_connections_are_bounded() {
    let mut fleet = Fleet::start(1).await;
    fleet.adjust(0, |s| s["limits"] = json!({ "receive_ms": 300, "idle_ms": 60_000, "connections": 9_000 }));
    let daemon = fleet.start_daemon(0).await;
    let address = daemon.callers;
    let incomplete = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_mins(1))).unwrap();
        stream.write_all(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{").unwrap();
        let mut reply = String::new();
        stream.read_to_string(&mut reply).unwrap();
        reply
    });
    let reply = incomplete.await.unwrap();
    assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");

    let idle: Vec<TcpStream> = (0..9_500).filter_map(|_| TcpStream::connect(address).ok()).collect();
    assert!(idle.len() >= 9_000, "{}", idle.len());
    assert!(daemon.memory() < MAX_MEMORY_BYTES, "{} bytes", daemon.memory());
    drop(idle);
    until("the permits of idle connections are released", || async {
        let response = fleet.completion(&daemon, "Still here?", false).send().await;
        response.is_ok_and(|r| r.status().is_success())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_settings_are_refused_with_all_errors() {
    let directory = tempfile::TempDir::new().unwrap();
    let path = directory.path().join("settings.json");
    let text = json!({ "instance": "", "domain": "d", "deployment": 3, "listen": {}, "colour": "red" });
    std::fs::write(&path, text.to_string()).unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_teaselshuntd")).arg(&path).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8(output.stderr).unwrap();
    for part in ["colour", "/deployment: 3", "\"callers\" is a required property", "\"platform\""] {
        assert!(message.contains(part), "{part} is not in:\n{message}");
    }
}
