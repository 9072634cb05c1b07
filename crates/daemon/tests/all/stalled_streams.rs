//! Connections that permanently stop delivering data while new connections work, and engines that fail in the
//! middle of a stream.

use std::time::Duration;

use reqwest::Response;
use serde_json::Value;
use teaselshunt_settings::Role;
use teaselshunt_standin::{EngineOptions, Faults, LinkMode, Relay, SiteLink, generated_text};

use crate::support::{Daemon, Fleet, streamed_text, until};

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

/// Time without a token after which a stream counts as stalled in tests of silent engines.
const STALL: Duration = Duration::from_millis(300);

/// A deployment whose engines are behind links, with an instance.
struct LinkedFleet {
    fleet: Fleet,
    /// Links to the prefill engines, then to the decode engines.
    links: Vec<SiteLink>,
    /// Relays between the links and the engines.
    relays: Vec<Relay>,
    daemon: Daemon,
}

impl LinkedFleet {
    /// Starts a deployment whose policy is changed by `change`.
    async fn start(change: impl FnOnce(&mut Value)) -> Self {
        let options =
            EngineOptions { token_gap: Duration::from_millis(30), ..EngineOptions::fast(Role::Decode) };
        let mut fleet = Fleet::start_with(1, options).await;
        let (mut links, mut relays) = (Vec::new(), Vec::new());
        for engine in fleet.prefill.iter().chain(&fleet.decode) {
            let relay = Relay::start(engine.address()).await.unwrap();
            links.push(SiteLink::start(relay.address()).await.expect("a link starts"));
            relays.push(relay);
        }
        fleet.patch(|c| {
            for (i, link) in links.iter().enumerate() {
                c["endpoints"][i]["address"] = link.address().to_string().into();
            }
            c["policy"]["stall_ms"] = (STALL.as_millis() as u64).into();
            change(c);
        });
        let daemon = fleet.start_daemon(0).await;
        until("the links are in use", || async { fleet.status(&daemon).await["version"] == 2 }).await;
        Self { fleet, links, relays, daemon }
    }

    fn set_links(&self, links: std::ops::Range<usize>, mode: LinkMode) {
        for link in &self.links[links] {
            link.set_mode(mode);
        }
    }

    /// Begins a stream and waits until an engine runs it.
    async fn begin(&self, prompt: &str) -> Response {
        let started = self.streams();
        let response = self.fleet.completion(&self.daemon, prompt, true).send().await.unwrap();
        until("the stream runs", || async { self.streams() > started }).await;
        response
    }

    fn streams(&self) -> u64 {
        self.fleet.decode.iter().map(teaselshunt_standin::Engine::streams_started).sum()
    }

    fn prefills(&self) -> u64 {
        self.fleet.prefill.iter().map(teaselshunt_standin::Engine::prefills_started).sum()
    }
}

/// Guards against streams whose runs are ended because all engines are silent together, and that are prefilled again when these go on.
#[tokio::test(flavor = "multi_thread")]
async fn a_silence_of_all_engines_ends_no_run() {
    let linked = LinkedFleet::start(|_| {}).await;
    let mut responses = Vec::new();
    for number in 0..4 {
        let prompt = format!("Silent {number}");
        responses.push((linked.begin(&prompt).await, prompt));
    }
    linked.set_links(0..4, LinkMode::Silent);
    tokio::time::sleep(STALL * 5).await;
    linked.set_links(0..4, LinkMode::Open);
    for (response, prompt) in responses {
        assert_eq!(streamed_text(response).await, Some(generated_text(&prompt, 400)), "{prompt}");
    }
    assert_eq!(linked.prefills(), 4, "no run was ended");
}

/// Guards against the same where there is one decode engine, and prefill engines answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_the_only_decode_engine_waits_for_it() {
    let linked = LinkedFleet::start(|c| c["endpoints"][3]["state"] = "draining".into()).await;
    let response = linked.begin("Only").await;
    linked.set_links(2..3, LinkMode::Silent);
    tokio::time::sleep(STALL * 5).await;
    linked.set_links(2..3, LinkMode::Open);
    assert_eq!(streamed_text(response).await, Some(generated_text("Only", 400)));
    assert_eq!(linked.prefills(), 1, "the run was not ended");
}

/// Guards against a stream that is broken off although its engine goes on, since no attempt is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_no_attempt_left_waits_for_its_engine() {
    let linked = LinkedFleet::start(|c| c["policy"]["attempts"] = 1.into()).await;
    let response = linked.begin("Last").await;
    linked.set_links(2..4, LinkMode::Silent);
    tokio::time::sleep(STALL * 5).await;
    linked.set_links(2..4, LinkMode::Open);
    assert_eq!(streamed_text(response).await, Some(generated_text("Last", 400)));
}

/// Guards against a stream that stays at an engine that is silent for good while others answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_leaves_an_engine_that_is_silent_alone() {
    let linked = LinkedFleet::start(|_| {}).await;
    let response = linked.begin("Alone").await;
    let silent = if linked.fleet.decode[0].streams_started() > 0 { 2 } else { 3 };
    linked.set_links(silent..silent + 1, LinkMode::Silent);
    assert_eq!(streamed_text(response).await, Some(generated_text("Alone", 400)));
}

/// Guards against a run that is ended before its replacement has responded. The engine goes on first, and prefill engines do not.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_is_kept_until_another_engine_responds() {
    let linked = LinkedFleet::start(|c| c["policy"]["step_ms"] = 1_000.into()).await;
    let response = linked.begin("First").await;
    let silent = if linked.fleet.decode[0].streams_started() > 0 { 2 } else { 3 };
    for prefill in &linked.fleet.prefill {
        prefill.set_faults(Faults { stall: true, ..Faults::default() });
    }
    linked.set_links(silent..silent + 1, LinkMode::Silent);
    until("another attempt has begun", || async { linked.prefills() > 1 }).await;
    linked.set_links(silent..silent + 1, LinkMode::Open);
    assert_eq!(streamed_text(response).await, Some(generated_text("First", 400)));
}

/// Guards against a stream that hangs after its kept run has ended during a search: its driver waited for the end of
/// that search, and took no further step.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_kept_run_ended_is_resumed_like_any_other() {
    let linked = LinkedFleet::start(|c| c["policy"]["attempts"] = 10.into()).await;
    let response = linked.begin("Ended").await;
    let (silent, other) = if linked.fleet.decode[0].streams_started() > 0 { (2, 3) } else { (3, 2) };
    for prefill in &linked.fleet.prefill {
        prefill.set_faults(Faults { stall: true, ..Faults::default() });
    }
    linked.set_links(silent..silent + 1, LinkMode::Silent);
    until("another attempt has begun", || async { linked.prefills() > 1 }).await;
    linked.set_links(silent..silent + 1, LinkMode::Reset);
    tokio::time::sleep(STALL).await;
    for prefill in &linked.fleet.prefill {
        prefill.set_faults(Faults::default());
    }
    until("the other engine runs it", || async { linked.fleet.decode[other - 2].streams_started() > 0 })
        .await;
    tokio::time::sleep(STALL).await;
    linked.relays[other].blackhole_open_connections();
    assert_eq!(streamed_text(response).await, Some(generated_text("Ended", 400)));
}
