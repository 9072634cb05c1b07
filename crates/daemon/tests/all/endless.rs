//! Responses of engines and services without an end. Steps and stalls have hours here, so that only a bound on what is
//! read ends them.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use teaselshunt_standin::{NoEnd, NoEndRelay, generated_text};
use teaselshunt_wire::engine::{DECODE_PATH, IMPORT_PATH, PREFILL_PATH};

use crate::support::{Daemon, Fleet, streamed_text, until};

/// Longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(1);

/// A deployment whose endpoint with a number in the configuration answers one path without an end.
struct EndlessFleet {
    fleet: Fleet,
    relay: NoEndRelay,
    daemon: Daemon,
}

impl EndlessFleet {
    async fn start(
        endpoint: usize,
        path: &'static str,
        kind: NoEnd,
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let mut fleet = Fleet::start(1).await;
        let address = fleet.configuration["endpoints"][endpoint]["address"].as_str().unwrap();
        let target: SocketAddr = address.parse().unwrap();
        let relay = NoEndRelay::start(target, path, kind).await.unwrap();
        fleet.patch(|c| {
            c["endpoints"][endpoint]["address"] = relay.address().to_string().into();
            c["policy"]["step_ms"] = 600_000.into();
            c["policy"]["stall_ms"] = 600_000.into();
            c["services"][0]["timeout_ms"] = 600_000.into();
            change(c);
        });
        let daemon = fleet.start_daemon(0).await;
        until("the version is in force", || async { fleet.status(&daemon).await["version"] == 2 }).await;
        Self { fleet, relay, daemon }
    }

    /// Streams completions until the endpoint has answered one without an end. All must be whole.
    async fn assert_served(&self) {
        for number in 0.. {
            let prompt = format!("Endless {number}");
            let request = self.fleet.completion(&self.daemon, &prompt, true).timeout(RESPONSE_TIMEOUT);
            let response = request.send().await.unwrap();
            let text = streamed_text(response).await;
            assert_eq!(text, Some(generated_text(&prompt, 400)), "{prompt}");
            if self.relay.answered() > 0 {
                return;
            }
        }
    }
}

/// Guards against a prefill or a transfer that is read until its time has passed, and whose bytes fill the memory.
#[tokio::test(flavor = "multi_thread")]
async fn steps_without_an_end_are_repeated_elsewhere() {
    let steps = [(0, PREFILL_PATH), (2, IMPORT_PATH)];
    for (endpoint, path) in steps {
        for kind in [NoEnd::Head, NoEnd::Body] {
            let endless = EndlessFleet::start(endpoint, path, kind, |_| {}).await;
            endless.assert_served().await;
        }
    }
}

/// Guards against streams of bytes without a token: each byte counted as a sign of life, so that the stream never
/// stalled.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_bytes_without_tokens_goes_on_elsewhere() {
    for kind in [NoEnd::Head, NoEnd::Body, NoEnd::Comments] {
        let endless = EndlessFleet::start(2, DECODE_PATH, kind, |_| {}).await;
        endless.assert_served().await;
    }
}

/// Guards against a response with more tokens than its caller asked for, without an end.
#[tokio::test(flavor = "multi_thread")]
async fn tokens_beyond_the_limit_break_the_stream() {
    let endless = EndlessFleet::start(2, DECODE_PATH, NoEnd::Tokens, |c| {
        c["endpoints"][3]["state"] = "draining".into();
    })
    .await;
    let request = endless.fleet.completion(&endless.daemon, "Endless", true).timeout(RESPONSE_TIMEOUT);
    let mut response = request.send().await.unwrap();
    let mut text = Vec::new();
    let ended = loop {
        match response.chunk().await {
            Ok(Some(chunk)) => text.extend_from_slice(&chunk),
            Ok(None) => break Ok(()),
            Err(error) => break Err(error),
        }
    };
    let text = String::from_utf8(text).unwrap();
    assert!(ended.is_err_and(|error| !error.is_timeout()), "the stream breaks off");
    assert!(!text.contains("[DONE]") && text.contains("\"error\""), "{} bytes", text.len());
    assert!(text.matches("\"text\"").count() <= 400, "{} tokens", text.matches("\"text\"").count());
}

/// Guards against a call whose response is read for as long as it comes.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_an_end_is_unknown() {
    for kind in [NoEnd::Head, NoEnd::Body] {
        let endless = EndlessFleet::start(4, "/new", kind, |_| {}).await;
        let request = endless.fleet.booking(&endless.daemon, "endless").timeout(RESPONSE_TIMEOUT);
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), 502, "{kind:?}");
        assert_eq!(response.headers()["x-teaselshunt-outcome"], "unknown");
        assert_eq!(endless.relay.answered(), 1, "the call is not sent again");
    }
}

/// Places in a head at which an endpoint stops and closes its connection.
const HEAD_CUTS: [usize; 6] = [0, 8, 15, 17, 40, usize::MAX];

/// Guards against a step that counts as done although the head of its response was not finished.
#[tokio::test(flavor = "multi_thread")]
async fn steps_that_end_inside_the_head_are_repeated_elsewhere() {
    for bytes in HEAD_CUTS {
        for (endpoint, path) in [(0, PREFILL_PATH), (2, IMPORT_PATH), (2, DECODE_PATH)] {
            EndlessFleet::start(endpoint, path, NoEnd::CutHead(bytes), |_| {}).await.assert_served().await;
        }
    }
}

/// Guards against a call that counts as answered although the head of its response was not finished.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_ends_inside_the_head_is_unknown() {
    for bytes in HEAD_CUTS {
        let endless = EndlessFleet::start(4, "/new", NoEnd::CutHead(bytes), |_| {}).await;
        let response = endless.fleet.booking(&endless.daemon, "cut").send().await.unwrap();
        assert_eq!(response.status(), 502, "{bytes} bytes");
        assert_eq!(response.headers()["x-teaselshunt-outcome"], "unknown");
        assert_eq!(endless.relay.answered(), 1, "the call is not sent again");
    }
}

/// Guards against the same in interim responses, which the HTTP library reads without a bound: the stall, or the
/// timeout of the step, ends them.
#[tokio::test(flavor = "multi_thread")]
async fn interim_responses_without_an_end_are_left() {
    let steps = [(0, PREFILL_PATH), (2, IMPORT_PATH), (2, DECODE_PATH)];
    for (endpoint, path) in steps {
        let endless = EndlessFleet::start(endpoint, path, NoEnd::Interim, |c| {
            c["policy"]["step_ms"] = 1_000.into();
            c["policy"]["stall_ms"] = 500.into();
        })
        .await;
        endless.assert_served().await;
    }
}
