//! Pauses of stand-in endpoints. If a paused endpoint served or lost anything, tests of silence would pass without a silence, or blame the
//! system for what the stand-in lost.

use std::time::{Duration, Instant};

use reqwest::Client;
use teaselshunt_standin::{SiteEndpoint, SiteOptions, event_text, site_request};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::wait_until;

pub(crate) const EVENTS: u32 = 40;
/// Several gaps between events, in which a paused endpoint does nothing.
const SILENCE: Duration = Duration::from_millis(300);

pub(crate) async fn start_engine() -> SiteEndpoint {
    let options = SiteOptions {
        id: "e-1".to_owned(),
        service: "model".to_owned(),
        domain: "north".to_owned(),
        stage: Some("decode"),
        work_time: Duration::from_millis(10),
        event_count: EVENTS,
        event_gap: Duration::from_millis(10),
        reservable_tokens: 100,
        places: 0,
        queue: 0,
    };
    SiteEndpoint::start(options).await.expect("a stand-in")
}

/// A paused endpoint must send no byte of a stream, must read no request and accept no connection, and must go on with all of them.
#[tokio::test]
async fn a_paused_endpoint_goes_on_where_it_was() {
    let engine = start_engine().await;
    let address = engine.address().to_string();
    let request = site_request(&Client::new(), &address, "/", "first", 60_000);
    let mut stream = request.send().await.expect("a response");
    let mut text = stream.chunk().await.expect("an event").expect("an event").to_vec();

    let pauses = [engine.pause(), engine.pause()];
    let call = tokio::spawn(site_request(&Client::new(), &address, "/", "second", 60_000).send());
    let connection = TcpStream::connect(&address).await.expect("the kernel accepts");
    // Events that were sent before the pause may still arrive.
    while let Ok(chunk) = timeout(SILENCE, stream.chunk()).await {
        text.extend_from_slice(&chunk.expect("no break").expect("no end"));
    }
    let [first, second] = pauses;
    drop(first);
    sleep(SILENCE).await;
    assert_eq!((engine.arrivals().len(), engine.connection_count()), (1, 1));
    assert!(timeout(SILENCE, stream.chunk()).await.is_err(), "an event in a pause");
    assert!(!call.is_finished());

    let resumed = Instant::now();
    drop(second);
    while let Some(chunk) = stream.chunk().await.expect("no break") {
        text.extend_from_slice(&chunk);
    }
    let whole = |id: &str| (1..=EVENTS).map(|number| event_text(id, number)).collect::<String>();
    assert_eq!(String::from_utf8_lossy(&text), whole("first"));
    let response = call.await.expect("a task").expect("a response");
    assert_eq!(response.text().await.expect("a complete stream"), whole("second"));
    wait_until(|| engine.connection_count() == 3).await;
    // It counts as arrived when it reached the endpoint, and not when it was read.
    assert!(engine.arrivals()[1] < resumed);
    drop(connection);
}

/// Connections must keep an endpoint one after the other, each for its time. Otherwise many connections would cost an endpoint nothing.
#[tokio::test]
async fn a_connection_keeps_its_endpoint() {
    const ACCEPT_TIME: Duration = Duration::from_millis(100);
    let engine = start_engine().await;
    engine.set_accept_time(ACCEPT_TIME);
    let begun = Instant::now();
    let address = engine.address().to_string();
    let calls = ["first", "second", "third"].map(|id| {
        let request = site_request(&Client::new(), &address, "/", id, 60_000).send();
        tokio::spawn(
            async move { request.await.expect("a response").bytes().await.expect("a complete stream") },
        )
    });
    for call in calls {
        call.await.expect("a task");
    }
    let last = engine.arrivals().into_iter().max().expect("an arrival");
    assert!(last - begun >= ACCEPT_TIME * 3, "the last of three arrived after {:?}", last - begun);
}
