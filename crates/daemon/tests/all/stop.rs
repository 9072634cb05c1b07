//! Graceful shutdowns and kills of instances, and callers that disconnect.

use serde_json::Value;
use std::time::Duration;
use teaselshunt_settings::Role;
use teaselshunt_standin::{Engine, EngineOptions, generated_text};

use crate::support::{Fleet, streamed_text, until};

fn slow() -> EngineOptions {
    EngineOptions { token_gap: Duration::from_millis(40), ..EngineOptions::fast(Role::Decode) }
}

/// Guards against truncated responses at a graceful shutdown. A caller reads a stream when its instance
/// receives SIGTERM. The instance refuses new requests as not run, continues the stream to its last token,
/// and only then exits, with success.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_truncates_no_stream() {
    let fleet = Fleet::start_with(2, slow()).await;
    let mut daemon = fleet.start_daemon(0).await;
    let other = fleet.start_daemon(1).await;
    let response = fleet.completion(&daemon, "Long log", true).send().await.unwrap();
    daemon.signal("TERM");
    until("new requests are refused", || async {
        let refused = fleet.completion(&daemon, "Newcomer", false).send().await;
        refused.is_ok_and(|r| r.status() == 503 && r.headers()["x-teaselshunt-outcome"] == "not-run")
    })
    .await;
    assert_eq!(streamed_text(response).await, Some(generated_text("Long log", 400)));
    assert!(daemon.wait_for_exit().await.success());
    let reply: Value =
        fleet.completion(&other, "Elsewhere", false).send().await.unwrap().json().await.unwrap();
    assert_eq!(reply["choices"][0]["text"], generated_text("Elsewhere", 400));
    assert_eq!(fleet.held_requests(), Vec::<String>::new());
}

/// Guards against leaked slots. A caller disconnects in the middle of its stream. The engine does not detect
/// this and would hold a decode slot until the last token and beyond. The router must cancel the attempt at
/// the engine immediately.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_leaves_no_slot_held() {
    let mut fleet =
        Fleet::start_with(1, EngineOptions { token_gap: Duration::from_hours(1), ..slow() }).await;
    // Stalls would end the stream as well.
    fleet.patch(|c| c["policy"]["stall_ms"] = 600_000.into());
    let daemon = fleet.start_daemon(0).await;
    until("the version is in force", || async { fleet.status(&daemon).await["version"] == 2 }).await;
    // The engine generates no second token for an hour, so only a cancel can free the slot.
    let request = fleet.completion(&daemon, "Gone caller", true);
    let waiting = tokio::spawn(async move { request.send().await });
    until("the engine holds the stream", || async { fleet.decode.iter().any(|e| e.streams_started() > 0) })
        .await;
    waiting.abort();
    // A response that began before has the connection until it is dropped.
    drop(waiting.await);
    until("nothing is held", || async { fleet.held_requests().is_empty() }).await;
    let status = fleet.status(&daemon).await;
    assert_eq!(status["requests"], 0);
}

/// Guards against orphans of killed instances. An instance is killed while one of its streams runs at an
/// engine, and the platform later removes the instance from the list. A surviving instance reads the owner of
/// the attempt in the engine's load report and cancels the attempt.
#[tokio::test(flavor = "multi_thread")]
async fn survivors_cancel_the_work_of_a_killed_instance() {
    let mut fleet =
        Fleet::start_with(2, EngineOptions { token_gap: Duration::from_hours(1), ..slow() }).await;
    let victim = fleet.start_daemon(0).await;
    let survivor = fleet.start_daemon(1).await;
    let request = fleet.completion(&victim, "Orphan", true);
    let waiting = tokio::spawn(async move { request.send().await });
    until("the engine holds the stream", || async { fleet.decode.iter().any(|e| e.streams_started() > 0) })
        .await;
    drop(victim);
    assert!(waiting.await.unwrap().is_err(), "the caller's connection breaks");
    fleet.publish_list(|i| i != 0);
    until("nothing is held", || async { fleet.held_requests().is_empty() }).await;
    let url = format!("http://{}/audit", survivor.operators);
    let audit = fleet.client.get(url).send().await.unwrap().text().await.unwrap();
    assert!(audit.contains("\"change\":\"orphan\""), "{audit}");
}

/// Guards against orphans of a previous incarnation. An instance is killed and restarted under its name
/// before the list changes. Its engine still holds work of the previous incarnation, which the new process
/// recognizes by the incarnation and cancels.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_instance_cancels_orphans_of_its_previous_incarnation() {
    let fleet = Fleet::start_with(1, EngineOptions { token_gap: Duration::from_hours(1), ..slow() }).await;
    let victim = fleet.start_daemon(0).await;
    let request = fleet.completion(&victim, "Orphan", true);
    let waiting = tokio::spawn(async move { request.send().await });
    until("the engine holds the stream", || async { fleet.decode.iter().any(|e| e.streams_started() > 0) })
        .await;
    drop(victim);
    assert!(waiting.await.unwrap().is_err());
    let _restarted = fleet.start_daemon(0).await;
    until("nothing is held", || async { fleet.held_requests().is_empty() }).await;
}

/// Guards against an instance that never exits because of a request that does not end: the drain timeout passed
/// and had no effect, or it did not begin with an operator's drain.
#[tokio::test(flavor = "multi_thread")]
async fn the_drain_timeout_ends_an_instance_with_requests_in_progress() {
    let mut fleet =
        Fleet::start_with(2, EngineOptions { token_gap: Duration::from_hours(1), ..slow() }).await;
    for index in 0..2 {
        fleet.adjust(index, |settings| settings["limits"]["drain_ms"] = 300.into());
        let mut daemon = fleet.start_daemon(index).await;
        let started = || fleet.decode.iter().map(Engine::streams_started).sum::<u64>();
        let before = started();
        let request = fleet.completion(&daemon, "Endless", true);
        let waiting = tokio::spawn(request.send());
        until("the engine holds the stream", || async { started() > before }).await;
        if index == 0 {
            daemon.signal("TERM");
        } else {
            let url = format!("http://{}/drain", daemon.operators);
            assert!(fleet.client.post(url).send().await.unwrap().status().is_success());
        }
        assert!(daemon.wait_for_exit().await.success());
        assert!(fleet.log(index).contains("the drain timeout passed"), "{}", fleet.log(index));
        // The stream has no token yet, so that its caller gets a response.
        let response = waiting.await.unwrap().unwrap();
        assert_eq!(
            (response.status().as_u16(), &response.headers()["x-teaselshunt-outcome"]),
            (502, &"unknown".parse().unwrap())
        );
    }
}

/// Guards against an instance that ends with the reader of its log, and breaks its callers' streams.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_whose_log_has_no_reader_stops_as_usual() {
    let fleet = Fleet::start(1).await;
    let mut daemon = fleet.start_without_log_reader(0).await;
    let response = fleet.completion(&daemon, "Unread", true).send().await.unwrap();
    // The instance logs that it stops.
    daemon.signal("TERM");
    assert_eq!(streamed_text(response).await, Some(generated_text("Unread", 400)));
    assert!(daemon.wait_for_exit().await.success());
}

/// Guards against an operators' listener that ends, and the process with it, because a connection could not be
/// accepted: callers' streams would break whenever file descriptors are short.
#[tokio::test(flavor = "multi_thread")]
async fn failed_accepts_do_not_end_the_operators_listener() {
    let fleet = Fleet::start_with(1, slow()).await;
    let daemon = fleet.start_daemon(0).await;
    let response = fleet.completion(&daemon, "Long log", true).send().await.unwrap();
    daemon.limit_files(1);
    let mut connections = Vec::new();
    for _ in 0..20 {
        connections.push(tokio::net::TcpStream::connect(daemon.operators).await.unwrap());
    }
    let url = format!("http://{}/live", daemon.operators);
    let accepted = fleet.client.get(&url).timeout(Duration::from_secs(1)).send().await;
    assert!(accepted.is_err(), "no file descriptor is free: {accepted:?}");
    daemon.limit_files(1_024);
    drop(connections);
    until("operators are served again", || async { fleet.client.get(&url).send().await.is_ok() }).await;
    assert_eq!(streamed_text(response).await, Some(generated_text("Long log", 400)));
}
