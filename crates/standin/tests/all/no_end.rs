//! Responses without an end. If they ended, tests of their bounds would pass with none.

use std::time::Duration;

use reqwest::Client;
use teaselshunt_standin::{SiteFault, SiteNoEnd, event_text, site_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::pause::{EVENTS, start_engine};
use crate::wait_until;

/// Bytes after which a response counts as one without an end: more than a whole one has.
const MANY_BYTES: usize = 100_000;

/// Header lines must follow one another, and the work must end with the connection.
#[tokio::test]
async fn a_head_does_not_end() {
    let engine = start_engine().await;
    engine.set_fault(SiteFault::NoEnd(SiteNoEnd::Head));
    let mut stream = TcpStream::connect(engine.address()).await.expect("a connection");
    stream.write_all(b"POST / HTTP/1.1\r\nrequest-id: r\r\n\r\n").await.expect("a request");
    let mut head = vec![0; MANY_BYTES];
    stream.read_exact(&mut head).await.expect("many bytes");
    let head = String::from_utf8_lossy(&head);
    assert!(head.starts_with("HTTP/1.1 200 ") && !head.contains("\r\n\r\n"));
    assert_eq!(engine.active_requests(), 1);
    drop(stream);
    wait_until(|| engine.active_requests() == 0).await;
}

/// Events must go on after the last one as a caller expects them, and a body must have none.
#[tokio::test]
async fn a_body_does_not_end() {
    let engine = start_engine().await;
    let address = engine.address().to_string();
    let events = (1..=EVENTS * 2).map(|number| event_text("r", number)).collect::<String>();
    for (kind, expected) in [(SiteNoEnd::Events, events), (SiteNoEnd::Body, ".".repeat(MANY_BYTES))] {
        engine.set_fault(SiteFault::NoEnd(kind));
        let request = site_request(&Client::new(), &address, "/", "r", 60_000);
        let mut response = request.send().await.expect("a response");
        let mut text = Vec::new();
        while text.len() < expected.len() {
            text.extend_from_slice(&response.chunk().await.expect("no break").expect("no end"));
        }
        assert!(String::from_utf8_lossy(&text).starts_with(&expected), "{kind:?}");
    }
    wait_until(|| engine.active_requests() == 0).await;
    // A fault must not outlast itself: the next response is whole.
    engine.set_fault(SiteFault::None);
    let response = site_request(&Client::new(), &address, "/", "r", 60_000).send().await.expect("a response");
    tokio::time::timeout(Duration::from_mins(1), response.bytes()).await.expect("an end").expect("no break");
}

/// Guards against kinds that end, and against bytes other than those that the kind is named after.
#[tokio::test]
async fn parts_of_a_response_do_not_end() {
    let engine = start_engine().await;
    let parts = [
        (SiteNoEnd::Interim, "HTTP/1.1 103 Early Hints\r\n"),
        (SiteNoEnd::Comments, "\n\r\n403\r\n: ......"),
        (SiteNoEnd::Extensions, "\r\n\r\n1;...."),
        (SiteNoEnd::Trailers, "\r\n\r\n0\r\nfiller: ..."),
        (SiteNoEnd::After, "content-length: 0\r\n\r\n...."),
    ];
    for (kind, part) in parts {
        engine.set_fault(SiteFault::NoEnd(kind));
        let mut stream = TcpStream::connect(engine.address()).await.expect("a connection");
        stream.write_all(b"POST / HTTP/1.1\r\nrequest-id: r\r\n\r\n").await.expect("a request");
        let mut bytes = vec![0; MANY_BYTES / 10];
        stream.read_exact(&mut bytes).await.expect("many bytes");
        assert!(String::from_utf8_lossy(&bytes).contains(part), "{kind:?}");
        drop(stream);
        wait_until(|| engine.active_requests() == 0).await;
    }
}
