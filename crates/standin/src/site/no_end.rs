//! Responses of a faulty endpoint that never end.

use std::time::Duration;

use tokio::io::AsyncWriteExt;

use super::events::event_text;
use super::http::response_head;
use super::pause::PausableStream;

/// What an endpoint sends without an end, until the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteNoEnd {
    /// Header lines.
    Head,
    /// One byte of a header line after the other.
    SlowHead,
    /// Interim responses, before any final one.
    Interim,
    /// Dots, after the body of a plain response or in place of events.
    Body,
    /// Events, of which each is a correct next one; dots where there are none.
    Events,
    /// Lines of comments in place of events; dots where there are none.
    Comments,
    /// Extensions of the chunk after the body of a plain response or in place of events.
    Extensions,
    /// Trailers, after the body of a plain response or in place of events.
    Trailers,
    /// Dots, after a complete response to a plain request; a stream has no event.
    After,
}

/// Bytes that are sent at a time, and the time between two of them: about 1 MB/s.
const PIECE: [u8; 1024] = [b'.'; 1024];
const PIECE_GAP: Duration = Duration::from_millis(1);
/// Time between two bytes of a slow head.
const BYTE_GAP: Duration = Duration::from_millis(100);

/// The body of a response that is to have no end.
#[derive(Debug)]
pub(super) enum Begin<'a> {
    /// Text of a plain response.
    Text(&'a str),
    /// Events of a request after a number, and the time between them.
    Events { id: &'a str, after: u32, gap: Duration },
}

/// Writes until the client has closed the connection, and returns whether it stays open: never.
pub(super) async fn write_without_end(
    stream: &mut PausableStream,
    kind: SiteNoEnd,
    headers: &[(&str, &str)],
    begin: Begin<'_>,
) -> bool {
    let head = response_head(200, headers);
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let (text, mut events) = match begin {
        Begin::Text(text) => (text, None),
        Begin::Events { id, after, gap } => ("", Some((id, after, gap))),
    };
    let filler = String::from_utf8_lossy(&PIECE).into_owned();
    let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
    let text_chunk = if text.is_empty() { String::new() } else { chunk(text) };
    // What is written first, and again and again after it.
    let (first, repeated, gap) = match kind {
        SiteNoEnd::Head => (head, format!("filler: {filler}\r\n"), PIECE_GAP),
        SiteNoEnd::SlowHead => (format!("{head}filler: "), ".".to_owned(), BYTE_GAP),
        SiteNoEnd::Interim => {
            (String::new(), "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".to_owned(), PIECE_GAP)
        }
        SiteNoEnd::Comments if events.is_some() => {
            (format!("{head}{chunked}"), chunk(&format!(": {filler}\n")), PIECE_GAP)
        }
        SiteNoEnd::Body | SiteNoEnd::Events | SiteNoEnd::Comments => {
            (format!("{head}{chunked}{text_chunk}"), chunk(&filler), PIECE_GAP)
        }
        SiteNoEnd::Extensions => (format!("{head}{chunked}{text_chunk}1"), format!(";{filler}"), PIECE_GAP),
        SiteNoEnd::Trailers => {
            (format!("{head}{chunked}{text_chunk}0\r\n"), format!("filler: {filler}\r\n"), PIECE_GAP)
        }
        SiteNoEnd::After => {
            (format!("{head}content-length: {}\r\n\r\n{text}", text.len()), filler, PIECE_GAP)
        }
    };
    // Writing to a connection that the client has closed fails, which ends the loop.
    let mut written = stream.write_all(first.as_bytes()).await;
    while written.is_ok() {
        match &mut events {
            Some((id, after, gap)) if kind == SiteNoEnd::Events => {
                *after += 1;
                written = stream.write_all(chunk(&event_text(id, *after)).as_bytes()).await;
                tokio::time::sleep(*gap).await;
            }
            Some(_) | None => {
                written = stream.write_all(repeated.as_bytes()).await;
                tokio::time::sleep(gap).await;
            }
        }
    }
    false
}
