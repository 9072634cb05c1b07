//! Connections that go silent for good while new ones work, and engines that fail in the middle.

use std::time::Duration;

use teaselshunt_settings::Role;
use teaselshunt_standin::{EngineOptions, Faults, Relay, generated_text};

use crate::support::{Fleet, streamed, until};

/// A stream is under way when something between router and engine loses track of its connection: nothing
/// arrives any more, and neither end is told. The caller would wait for ever. The router sees no progress,
/// takes the stream up at the caller's offset on a new connection, and the caller gets its whole answer once.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_on_a_silent_connection_is_taken_up_on_a_new_one() {
    let options = EngineOptions { token_gap: Duration::from_millis(60), ..EngineOptions::fast(Role::Decode) };
    let mut fleet = Fleet::with(1, options).await;
    let mut relays = Vec::new();
    for engine in &fleet.decode {
        relays.push(Relay::start(engine.address()).await.unwrap());
    }
    fleet.patch(|c| {
        for (i, relay) in relays.iter().enumerate() {
            c["endpoints"][2 + i]["address"] = relay.address().to_string().into();
        }
        c["policy"]["stall_ms"] = 400.into();
    });
    let daemon = fleet.daemon(0).await;
    until("the relays are in use", || async { fleet.status(&daemon).await["version"] == 2 }).await;
    let response = fleet.completion(&daemon, "Silent log", true).send().await.unwrap();
    for relay in &relays {
        relay.blackhole_open_connections();
    }
    assert_eq!(streamed(response).await, Some(generated_text("Silent log", 400)));
    let prefills: u64 = fleet.prefill.iter().map(teaselshunt_standin::Engine::prefills_started).sum();
    assert_eq!(prefills, 1, "the stream was taken up, not run again");
    assert_eq!(fleet.held(), Vec::<String>::new());
}

/// A decode engine breaks every connection in the middle of its stream, also the one that takes it up again.
/// The router starts over at another engine behind the text that the caller has, and the caller notices
/// nothing but a pause.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_fails_in_the_middle_is_replaced_behind_the_offset() {
    let options = EngineOptions { token_gap: Duration::from_millis(30), ..EngineOptions::fast(Role::Decode) };
    let fleet = Fleet::with(1, options).await;
    let daemon = fleet.daemon(0).await;
    let mut responses = Vec::new();
    for i in 0..6 {
        responses.push(fleet.completion(&daemon, &format!("Log {i}"), true).send().await.unwrap());
    }
    fleet.decode[0].set_faults(Faults { drop: true, ..Faults::default() });
    for (i, response) in responses.into_iter().enumerate() {
        assert_eq!(streamed(response).await, Some(generated_text(&format!("Log {i}"), 400)));
    }
    until("nothing is held", || async { fleet.held().is_empty() }).await;
}

/// Prefill results are evicted before they can be moved, for a while. The import fails, the router prefills
/// again, and the caller gets its answer; the waste is counted.
#[tokio::test(flavor = "multi_thread")]
async fn an_evicted_prefill_is_run_again_and_counted_as_waste() {
    let fleet = Fleet::start(1).await;
    let daemon = fleet.daemon(0).await;
    fleet.prefill[0].set_faults(Faults { evict: true, ..Faults::default() });
    for i in 0.. {
        if fleet.prefill[0].prefills_started() > 0 {
            break;
        }
        let prompt = format!("Evicted {i}");
        let response = fleet.completion(&daemon, &prompt, true).send().await.unwrap();
        assert_eq!(streamed(response).await, Some(generated_text(&prompt, 400)));
    }
    let status = fleet.status(&daemon).await;
    let wasted: u64 =
        status["classes"].as_array().unwrap().iter().map(|c| c["wasted"].as_u64().unwrap()).sum();
    assert!(wasted > 0);
}
