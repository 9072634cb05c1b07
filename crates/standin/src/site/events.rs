//! Streams of events of a stand-in engine.

use tokio::io::AsyncWriteExt;

use super::endpoint::SiteOptions;
use super::fault::SiteFault;
use super::http::{response_head, write_chunk};
use super::no_end::{Begin, write_without_end};
use super::pause::PausableStream;

/// Writes the events of a stream after `after`, and returns whether the connection stays open.
pub(super) async fn write_events(
    stream: &mut PausableStream,
    options: &SiteOptions,
    headers: &[(&str, &str)],
    id: &str,
    after: u32,
    fault: SiteFault,
) -> bool {
    let headers: Vec<_> = headers.iter().copied().chain([("content-type", "text/event-stream")]).collect();
    if let SiteFault::Body(style) = fault {
        let events: Vec<String> =
            (after + 1..=options.event_count).map(|number| event_text(id, number)).collect();
        return style.write(stream, 200, &headers, &events, options.event_gap).await;
    }
    if let SiteFault::NoEnd(kind) = fault {
        let begin = Begin::Events { id, after, gap: options.event_gap };
        return write_without_end(stream, kind, &headers, begin).await;
    }
    let mut text = response_head(200, &headers);
    text.push_str("transfer-encoding: chunked\r\n\r\n");
    if stream.write_all(text.as_bytes()).await.is_err() {
        return false;
    }
    for number in after + 1..=options.event_count {
        if matches!(fault, SiteFault::Cut(cut) if number > cut) {
            write_chunk(stream, &format!("id: {number}\nda")).await;
            return false;
        }
        let padding = match fault {
            SiteFault::Large(bytes) => format!(": {}\n", ".".repeat(bytes)),
            _ => String::new(),
        };
        if !write_chunk(stream, &format!("{padding}{}", event_text(id, number))).await {
            return false;
        }
        tokio::time::sleep(options.event_gap).await;
    }
    write_chunk(stream, "").await
}

/// The text of an event: a function of request id and number, so that a caller can check that the event is its own.
pub fn event_text(request_id: &str, number: u32) -> String {
    format!("id: {number}\ndata: {request_id} {number}\n\n")
}
