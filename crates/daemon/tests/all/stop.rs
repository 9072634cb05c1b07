//! Ends of instances: planned stops, kills, and callers that go away.

use serde_json::Value;
use std::time::Duration;
use teaselshunt_settings::Role;
use teaselshunt_standin::{EngineOptions, generated_text};

use crate::support::{Fleet, streamed, until};

fn slow() -> EngineOptions {
    EngineOptions { token_gap: Duration::from_millis(40), ..EngineOptions::fast(Role::Decode) }
}

/// A caller reads a stream when its instance is told to stop. The instance refuses newcomers as not run, goes
/// on with the stream to its last token, and only then ends, with success. Were the stop a plain exit, the
/// caller would see its answer cut off.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_off_no_stream() {
    let fleet = Fleet::with(2, slow()).await;
    let mut daemon = fleet.daemon(0).await;
    let other = fleet.daemon(1).await;
    let response = fleet.completion(&daemon, "Long log", true).send().await.unwrap();
    daemon.signal("TERM");
    until("newcomers are refused", || async {
        let refused = fleet.completion(&daemon, "Newcomer", false).send().await;
        refused.is_ok_and(|r| r.status() == 503 && r.headers()["x-teaselshunt-outcome"] == "not-run")
    })
    .await;
    assert_eq!(streamed(response).await, Some(generated_text("Long log", 400)));
    assert!(daemon.end().await.success());
    let reply: Value =
        fleet.completion(&other, "Elsewhere", false).send().await.unwrap().json().await.unwrap();
    assert_eq!(reply["choices"][0]["text"], generated_text("Elsewhere", 400));
    assert_eq!(fleet.held(), Vec::<String>::new());
}

/// A caller goes away in the middle of its stream. The engine does not notice by itself and would hold a
/// decode slot until the last token and beyond; the router must cancel it there at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_leaves_no_memory_held() {
    let fleet = Fleet::with(1, EngineOptions { token_gap: Duration::from_hours(1), ..slow() }).await;
    let daemon = fleet.daemon(0).await;
    // The prompt has no second token for an hour, so only a cancel can free the slot.
    let request = fleet.completion(&daemon, "Gone caller", true);
    let waiting = tokio::spawn(async move { request.send().await });
    until("the engine holds the stream", || async { fleet.decode.iter().any(|e| e.streams_started() > 0) })
        .await;
    waiting.abort();
    until("nothing is held", || async { fleet.held().is_empty() }).await;
    let status = fleet.status(&daemon).await;
    assert_eq!(status["requests"], 0);
}

/// An instance is killed with a stream at an engine. Nobody is left to cancel it; the platform's list drops
/// the instance after a while. A survivor reads the owner's name in the engine's report and cancels for it.
#[tokio::test(flavor = "multi_thread")]
async fn survivors_cancel_the_work_of_a_killed_instance() {
    let mut fleet = Fleet::with(2, EngineOptions { token_gap: Duration::from_hours(1), ..slow() }).await;
    let victim = fleet.daemon(0).await;
    let survivor = fleet.daemon(1).await;
    let request = fleet.completion(&victim, "Orphan", true);
    let waiting = tokio::spawn(async move { request.send().await });
    until("the engine holds the stream", || async { fleet.decode.iter().any(|e| e.streams_started() > 0) })
        .await;
    drop(victim);
    assert!(waiting.await.unwrap().is_err(), "the caller sees its connection break");
    fleet.publish_list(|i| i != 0);
    until("nothing is held", || async { fleet.held().is_empty() }).await;
    let url = format!("http://{}/audit", survivor.operators);
    let audit = fleet.client.get(url).send().await.unwrap().text().await.unwrap();
    assert!(audit.contains("\"change\":\"orphan\""), "{audit}");
}

/// An instance is killed and comes back under its name before the list changes. Its engine still holds work
/// of its former life, which the new process recognises by the incarnation and cancels.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_instance_cancels_the_work_of_its_former_life() {
    let fleet = Fleet::with(1, EngineOptions { token_gap: Duration::from_hours(1), ..slow() }).await;
    let victim = fleet.daemon(0).await;
    let request = fleet.completion(&victim, "Orphan", true);
    let waiting = tokio::spawn(async move { request.send().await });
    until("the engine holds the stream", || async { fleet.decode.iter().any(|e| e.streams_started() > 0) })
        .await;
    drop(victim);
    assert!(waiting.await.unwrap().is_err());
    let _again = fleet.daemon(0).await;
    until("nothing is held", || async { fleet.held().is_empty() }).await;
}
