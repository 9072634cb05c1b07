//! Responses of a faulty endpoint that never end.

use std::time::Duration;

use tokio::io::AsyncWriteExt;

use super::events::event_text;
use super::http::{response_head, write_chunk};
use super::pause::PausableStream;

/// What an endpoint sends without an end, until the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteNoEnd {
    /// Header lines.
    Head,
    /// Dots, after the body of a plain response or in place of events.
    Body,
    /// Events, of which each is a correct next one; dots where there are none.
    Events,
}

/// Bytes that are sent at a time, and the time between two of them: about 1 MB/s.
const PIECE: [u8; 1024] = [b'.'; 1024];
const PIECE_GAP: Duration = Duration::from_millis(1);

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
    // Writing to a connection that the client has closed fails, which ends each of these loops.
    let filler = String::from_utf8_lossy(&PIECE);
    let mut head = response_head(200, headers);
    if kind != SiteNoEnd::Head {
        head.push_str("transfer-encoding: chunked\r\n\r\n");
    }
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    if kind == SiteNoEnd::Head {
        while stream.write_all(format!("filler: {filler}\r\n").as_bytes()).await.is_ok() {
            tokio::time::sleep(PIECE_GAP).await;
        }
        return false;
    }
    match begin {
        Begin::Events { id, mut after, gap } if kind == SiteNoEnd::Events => loop {
            after += 1;
            if !write_chunk(stream, &event_text(id, after)).await {
                return false;
            }
            tokio::time::sleep(gap).await;
        },
        Begin::Events { .. } => {}
        Begin::Text(text) => {
            write_chunk(stream, text).await;
        }
    }
    while write_chunk(stream, &filler).await {
        tokio::time::sleep(PIECE_GAP).await;
    }
    false
}
