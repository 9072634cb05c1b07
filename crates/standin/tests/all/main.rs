//! Tests of the limits of stand-in endpoints. If a stand-in accepted more than it says, tests of overload would pass
//! without an overload.

mod engine;
mod no_end;
mod pause;

use std::time::{Duration, Instant};

use reqwest::{Client, Response};
use serde_json::{Value, json};
use teaselshunt_standin::{SiteEndpoint, SiteOptions, site_request};
use tokio::task::JoinHandle;

const WORK_TIME: Duration = Duration::from_millis(200);

async fn start(stage: Option<&'static str>, places: u32, queue: u32) -> SiteEndpoint {
    let options = SiteOptions {
        id: "e-1".to_owned(),
        service: "desk".to_owned(),
        domain: "north".to_owned(),
        stage,
        work_time: WORK_TIME,
        event_count: 0,
        event_gap: Duration::ZERO,
        reservable_tokens: 100,
        places,
        queue,
    };
    SiteEndpoint::start(options).await.expect("a stand-in")
}

/// Sends a request and waits until it has arrived.
async fn send(endpoint: &SiteEndpoint, id: &str) -> JoinHandle<reqwest::Result<Response>> {
    let count = endpoint.arrivals().len();
    let request = site_request(&Client::new(), &endpoint.address().to_string(), "/", id, 5_000);
    let call = tokio::spawn(request.header("request-priority", "3").send());
    wait_until(|| endpoint.arrivals().len() > count).await;
    call
}

async fn wait_until(condition: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < end, "the condition is not reached");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn ids(endpoint: &SiteEndpoint) -> Vec<String> {
    endpoint.executions().into_iter().map(|run| run.request_id).collect()
}

/// A call beyond places and queue must be refused as not executed, and queued calls must run in order.
#[tokio::test]
async fn calls_beyond_places_and_queue_are_refused() {
    let endpoint = start(None, 1, 2).await;
    let mut calls = Vec::new();
    for id in ["first", "second", "third"] {
        calls.push(send(&endpoint, id).await);
    }
    let refused = send(&endpoint, "fourth").await.await.expect("a task").expect("a response");
    assert_eq!((refused.status().as_u16(), refused.headers().contains_key("not-executed")), (503, true));
    for call in calls {
        assert_eq!(call.await.expect("a task").expect("a response").status(), 200);
    }
    assert_eq!(ids(&endpoint), ["first", "second", "third"]);
    assert!(endpoint.executions().iter().all(|run| run.priority == Some(3)));
}

/// A call whose caller has disconnected must not run, and must not keep its part of the queue.
#[tokio::test]
async fn a_caller_that_disconnects_leaves_the_queue() {
    let endpoint = start(None, 1, 1).await;
    let first = send(&endpoint, "first").await;
    let gone = send(&endpoint, "gone").await;
    gone.abort();
    // The stand-in learns of it a moment after the abort; until then the queue is full.
    let mut status = 503;
    while status == 503 {
        status = send(&endpoint, "next").await.await.expect("a task").expect("a response").status().as_u16();
    }
    assert_eq!(first.await.expect("a task").expect("a response").status(), 200);
    assert_eq!((status, ids(&endpoint)), (200, vec!["first".to_owned(), "next".to_owned()]));
}

/// An endpoint that becomes fast must serve its next call in the shorter time.
#[tokio::test]
async fn the_pace_changes_at_once() {
    let endpoint = start(None, 0, 0).await;
    endpoint.set_pace(0.0);
    let begun = Instant::now();
    send(&endpoint, "fast").await.await.expect("a task").expect("a response");
    assert!(begun.elapsed() < WORK_TIME, "took {:?}", begun.elapsed());
}

/// Reservations must count together until they are released, are used by a request that has ended, or expire.
#[tokio::test]
async fn open_reservations_add_up() {
    let endpoint = start(Some("decode"), 0, 0).await;
    let client = Client::new();
    let call = async |path: &str, tokens: u32, hold: &str| {
        let request = client.post(format!("http://{}{path}", endpoint.address())).header("kv-hold", hold);
        let response =
            request.body(json!({ "tokens": tokens }).to_string()).send().await.expect("a response");
        let status = response.status().as_u16();
        let body: Value = response.json().await.unwrap_or_default();
        (status, body["hold"].as_str().unwrap_or_default().to_owned())
    };
    let reserve = async |tokens| call("/-/hold-take", tokens, "").await;
    let (status, released) = reserve(60).await;
    assert_eq!((status, reserve(60).await.0), (200, 503));
    call(&format!("/-/hold-drop/{released}"), 0, "").await;
    let (status, used) = reserve(60).await;
    assert_eq!(status, 200);
    let (_, while_running) = tokio::join!(call("/", 0, &used), async {
        wait_until(|| endpoint.active_requests() == 1).await;
        reserve(60).await.0
    });
    assert_eq!((while_running, reserve(60).await.0, reserve(60).await.0), (503, 200, 503));
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    assert_eq!((reserve(60).await.0, endpoint.unreleased()), (200, 2));
}
