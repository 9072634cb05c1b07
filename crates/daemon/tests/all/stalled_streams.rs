//! Connections that permanently stop delivering data while new connections work, and engines that fail in the
//! middle of a stream.

use std::time::Duration;

use teaselshunt_settings::Role;
use teaselshunt_standin::{EngineOptions, Faults, Relay, generated_text};

use crate::support::{Fleet, streamed_text, until};

/// Guards against streams that never end. A network device between router and engine loses the state of a
/// stream's connection: no data arrives any more, and neither end gets an error, so the caller would wait
/// forever. The router detects the missing progress and resumes the stream at the caller's offset on a new
/// connection. The caller gets the complete response once.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_on_an_unresponsive_connection_is_resumed_on_a_new_one() {
    let options = EngineOptions { token_gap: Duration::from_millis(60), ..EngineOptions::fast(Role::Decode) };
    let mut fleet = Fleet::start_with(1, options).await;
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
    let daemon = fleet.start_daemon(0).await;
    until("the relays are in use", || async { fleet.status(&daemon).await["version"] == 2 }).await;
    let response = fleet.completion(&daemon, "Silent log", true).send().await.unwrap();
    for relay in &relays {
        relay.blackhole_open_connections();
    }
    assert_eq!(streamed_text(response).await, Some(generated_text("Silent log", 400)));
    let prefills: u64 = fleet.prefill.iter().map(teaselshunt_standin::Engine::prefills_started).sum();
    assert_eq!(prefills, 1, "the stream was resumed, not run again");
    assert_eq!(fleet.held_requests(), Vec::<String>::new());
}

/// A decode engine breaks every connection in the middle of its stream, also the connection on which the
/// stream is resumed. The router starts a new attempt at another engine, after the text that the caller has,
/// and the caller notices only a delay.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_continues_at_another_engine_from_its_offset() {
    let options = EngineOptions { token_gap: Duration::from_millis(30), ..EngineOptions::fast(Role::Decode) };
    let fleet = Fleet::start_with(1, options).await;
    let daemon = fleet.start_daemon(0).await;
    let mut responses = Vec::new();
    for i in 0..6 {
        responses.push(fleet.completion(&daemon, &format!("Log {i}"), true).send().await.unwrap());
    }
    fleet.decode[0].set_faults(Faults { drop: true, ..Faults::default() });
    for (i, response) in responses.into_iter().enumerate() {
        assert_eq!(streamed_text(response).await, Some(generated_text(&format!("Log {i}"), 400)));
    }
    until("nothing is held", || async { fleet.held_requests().is_empty() }).await;
}

/// A prefill engine evicts KV caches before they can be imported, for some time. The import fails, the router
/// runs the prefill again, and the caller gets its response. The wasted prefill is counted.
#[tokio::test(flavor = "multi_thread")]
async fn an_evicted_prefill_is_run_again_and_counted_as_waste() {
    let fleet = Fleet::start(1).await;
    let daemon = fleet.start_daemon(0).await;
    fleet.prefill[0].set_faults(Faults { evict: true, ..Faults::default() });
    for i in 0.. {
        if fleet.prefill[0].prefills_started() > 0 {
            break;
        }
        let prompt = format!("Evicted {i}");
        let response = fleet.completion(&daemon, &prompt, true).send().await.unwrap();
        assert_eq!(streamed_text(response).await, Some(generated_text(&prompt, 400)));
    }
    let status = fleet.status(&daemon).await;
    let wasted: u64 =
        status["classes"].as_array().unwrap().iter().map(|c| c["wasted"].as_u64().unwrap()).sum();
    assert!(wasted > 0);
}
