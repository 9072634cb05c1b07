//! Requests at their deadline and at the end of the process: each gets a response, and what it says is true.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use reqwest::Response;
use serde_json::{Value, json};
use teaselshunt_settings::Role;
use teaselshunt_standin::{EngineOptions, Faults, ServiceFaults};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::support::{Daemon, Fleet, until};

const DEADLINE: &str = "x-teaselshunt-deadline-ms";
/// Time of one attempt to connect. The client's library may wait without end for a connection that was closed before its
/// request was read.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

fn slow() -> EngineOptions {
    EngineOptions { token_gap: Duration::from_millis(300), ..EngineOptions::fast(Role::Decode) }
}

fn outcome(response: &Response) -> &str {
    response.headers()["x-teaselshunt-outcome"].to_str().unwrap()
}

async fn overdue(fleet: &Fleet, daemon: &Daemon) -> bool {
    let metrics = fleet.client.get(format!("http://{}/metrics", daemon.operators)).send().await.unwrap();
    !metrics.text().await.unwrap().contains("teaselshunt_requests_overdue_total 0")
}

/// Guards against callers whose connections close without a response when the drain timeout passes: one with its
/// request at a service, and one whose request waits for a slot.
#[tokio::test(flavor = "multi_thread")]
async fn requests_get_their_response_before_the_process_exits() {
    let mut fleet = Fleet::start_with(1, slow()).await;
    fleet.adjust(0, |settings| settings["limits"]["drain_ms"] = 1_500.into());
    fleet.patch(|c| {
        c["endpoints"][2]["slots"] = 1.into();
        c["endpoints"][3]["state"] = "draining".into();
        c["services"][0]["timeout_ms"] = 60_000.into();
    });
    let mut daemon = fleet.start_daemon(0).await;
    until("the version is in force", || async { fleet.status(&daemon).await["version"] == 2 }).await;
    fleet.service.set_faults(ServiceFaults { hang: true, ..ServiceFaults::default() });
    let call = tokio::spawn(fleet.booking(&daemon, "hangs").send());
    let stream = fleet.completion(&daemon, "Holds the slot", true).send().await.unwrap();
    let waiting = tokio::spawn(fleet.completion(&daemon, "Waits", false).send());
    until("all three are in progress", || async {
        fleet.status(&daemon).await["requests"] == 3 && fleet.executions("hangs") == 1
    })
    .await;
    daemon.signal("TERM");
    let (call, waiting) = (call.await.unwrap().unwrap(), waiting.await.unwrap().unwrap());
    assert_eq!((call.status().as_u16(), outcome(&call)), (502, "unknown"));
    assert_eq!((waiting.status().as_u16(), outcome(&waiting)), (503, "not-run"));
    assert!(waiting.headers().contains_key("retry-after"));
    assert!(stream.text().await.is_err(), "the stream is truncated");
    assert!(daemon.wait_for_exit().await.success());
}

/// A connection to `address` that takes few bytes until they are read.
async fn slow_reader(address: SocketAddr, request: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let send = async {
        let mut stream = socket.connect(address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    };
    tokio::time::timeout(Duration::from_mins(1), send).await.expect("the request is taken")
}

fn post(path: &str, deadline_ms: u32, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\n{DEADLINE}: {deadline_ms}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Guards against a stream whose caller does not read it and that holds its place among the requests in progress, and
/// its connection, for as long as the caller likes.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_not_read_ends_with_its_deadline() {
    let options = EngineOptions { token_gap: Duration::ZERO, ..EngineOptions::fast(Role::Decode) };
    let options = EngineOptions { output_tokens: Some(60_000), ..options };
    let mut fleet = Fleet::start_with(1, options).await;
    fleet.adjust(0, |settings| settings["limits"]["requests"] = 1.into());
    // Each event names the model, so that few of them fill the buffers of a connection.
    let model = "m".repeat(8_000);
    fleet.patch(|c| c["models"][0]["name"] = model.clone().into());
    let daemon = fleet.start_daemon(0).await;
    until("the version is in force", || async { fleet.status(&daemon).await["version"] == 2 }).await;
    let body = json!({ "model": model, "prompt": "Unread", "max_tokens": 60_000, "stream": true });
    let request = post("/v1/completions", 2_000, &body.to_string());
    let _unread = slow_reader(daemon.callers, &request).await;
    until("the stream is in progress", || async { fleet.status(&daemon).await["requests"] == 1 }).await;
    until("its place is free", || async {
        let status = fleet.booking(&daemon, "next").send().await.unwrap().status();
        status.is_success()
    })
    .await;
    assert!(!overdue(&fleet, &daemon).await);
}

/// Guards against a whole response whose caller does not read it and that holds its connection for as long as the
/// caller likes.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_is_not_read_ends_with_its_connection() {
    let mut fleet = Fleet::start(1).await;
    fleet.adjust(0, |settings| settings["limits"]["connections"] = 1.into());
    let daemon = fleet.start_daemon(0).await;
    let body = "x".repeat(7 << 20);
    let _unread = slow_reader(daemon.callers, &post("/services/bookings/new", 10_000, &body)).await;
    until("the booking has run", || async { fleet.executions(&body) == 1 }).await;
    until("the connection is free", || async {
        fleet.booking(&daemon, "next").timeout(ATTEMPT_TIMEOUT).send().await.is_ok()
    })
    .await;
}

/// Guards against a caller that waits beyond its deadline because its own body comes slowly.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_does_not_end_is_answered_at_its_deadline() {
    let mut fleet = Fleet::start(1).await;
    fleet.adjust(0, |settings| settings["limits"]["receive_ms"] = 600_000.into());
    let daemon = fleet.start_daemon(0).await;
    let mut stream = TcpStream::connect(daemon.callers).await.unwrap();
    let head = format!(
        "POST /services/bookings/new HTTP/1.1\r\nhost: x\r\n{DEADLINE}: 500\r\ncontent-length: 9\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut reply = [0; 512];
    let read = tokio::time::timeout(Duration::from_mins(1), stream.read(&mut reply));
    let length = read.await.expect("a response").unwrap();
    let reply = String::from_utf8_lossy(&reply[..length]);
    assert!(reply.starts_with("HTTP/1.1 504") && reply.contains("not-run"), "{reply}");
}

/// What a request of the random test asks for.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Completion,
    Stream,
    Call,
    KeyedCall,
}

/// Guards against any wait that outlives the deadline of its request, and against "not run" for what has run: what
/// engines and the service do is drawn, and none of it ends by itself.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_by_their_deadline_whatever_they_wait_for() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut fleet = Fleet::start(2).await;
    fleet.patch(|c| {
        c["policy"]["stall_ms"] = 300.into();
        c["endpoints"][2]["slots"] = 2.into();
        c["endpoints"][3]["slots"] = 2.into();
        c["services"][0]["timeout_ms"] = 60_000.into();
    });
    let daemons = fleet.start_daemons().await;
    until("the version is in force", || async { fleet.status(&daemons[0]).await["version"] == 2 }).await;
    fleet.wait_until_keys_granted(&daemons[0]).await;
    for round in 0..8 {
        for engine in fleet.prefill.iter().chain(&fleet.decode) {
            let mut faults = Faults::default();
            match rng.random_range(0..6) {
                0..3 => faults.stall = true,
                3 => faults.drop = true,
                4 => faults.refuse = true,
                _ => faults.evict = true,
            }
            engine.set_faults(faults);
        }
        let hangs = rng.random_bool(0.6);
        fleet.service.set_faults(ServiceFaults { hang: hangs, drop: !hangs, ..ServiceFaults::default() });
        if rng.random_bool(0.5) {
            daemons[1].signal("STOP");
        }
        let mut requests = Vec::new();
        for number in 0..16 {
            let text = format!("Round {round}, request {number}");
            let kind = [Kind::Completion, Kind::Stream, Kind::Call, Kind::KeyedCall][rng.random_range(0..4)];
            let request = match kind {
                Kind::Completion | Kind::Stream => {
                    fleet.completion(&daemons[0], &text, matches!(kind, Kind::Stream))
                }
                Kind::Call => fleet.booking(&daemons[0], &text),
                Kind::KeyedCall => {
                    let key = uuid::Uuid::now_v7().to_string();
                    fleet.booking(&daemons[0], &text).header("Idempotency-Key", key)
                }
            };
            let request = request.header(DEADLINE, rng.random_range(200..2_500).to_string());
            // Longer than any deadline, so that a request without a response fails.
            let request = request.timeout(Duration::from_mins(1));
            requests.push((text, tokio::spawn(async move { finish(request.send().await).await })));
        }
        for (text, request) in requests {
            let end = request.await.unwrap().unwrap_or_else(|error| panic!("{text}: {error}"));
            if end.as_deref() == Some("not-run") {
                assert_eq!(fleet.executions(&text), 0, "{text}");
            }
        }
        daemons[1].signal("CONT");
        assert!(!overdue(&fleet, &daemons[0]).await, "{}", fleet.log(0));
    }
    assert!(!fleet.log(0).contains("panicked"), "{}", fleet.log(0));
}

/// The outcome that a response states; `None` for one that was complete, or a stream that broke off.
async fn finish(response: reqwest::Result<Response>) -> Result<Option<String>, String> {
    let response = response.map_err(|error| format!("no response: {error:?}"))?;
    let outcome = response.headers().get("x-teaselshunt-outcome").map(|o| o.to_str().unwrap().to_owned());
    match response.text().await {
        Err(error) if error.is_timeout() => Err("the response does not end".to_owned()),
        Err(_) => Ok(None),
        Ok(text) if text.contains("\"error\"") => {
            let body: Result<Value, _> = serde_json::from_str(&text);
            Ok(outcome.or_else(|| body.ok()?["error"]["outcome"].as_str().map(str::to_owned)))
        }
        Ok(_) => Ok(outcome),
    }
}
