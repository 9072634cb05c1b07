//! Bodies of responses that an endpoint frames, and cuts short, in each way that HTTP allows.

use std::time::Duration;

use tokio::io::AsyncWriteExt;

use super::http::response_head;
use super::pause::PausableStream;

/// How an endpoint marks the end of its bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteFraming {
    /// With a `Content-Length`.
    Length,
    /// With chunks.
    Chunked,
    /// With the end of the connection.
    Close,
}

/// How an endpoint cuts a body short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteCut {
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Marks the body as complete. A body that ends with its connection is closed.
    Mark,
}

/// How an endpoint sends its bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SiteBody {
    /// How their end is marked.
    pub framing: SiteFraming,
    /// Number of bytes after which they are cut short, and how.
    pub cut: Option<(usize, SiteCut)>,
    /// Whether the responses have the version HTTP/1.0.
    pub old_version: bool,
}

impl SiteBody {
    /// Whole bodies that are framed like this.
    pub const fn whole(framing: SiteFraming) -> Self {
        Self { framing, cut: None, old_version: false }
    }

    /// Bodies that are cut short after so many bytes.
    pub const fn cut(framing: SiteFraming, bytes: usize, cut: SiteCut) -> Self {
        Self { framing, cut: Some((bytes, cut)), old_version: false }
    }

    /// Writes a response whose body consists of `pieces`, with a pause after each, and returns whether the
    /// connection stays open.
    pub(crate) async fn write(
        self,
        stream: &mut PausableStream,
        status: u16,
        headers: &[(&str, &str)],
        pieces: &[String],
        pause: Duration,
    ) -> bool {
        let length: usize = pieces.iter().map(String::len).sum();
        let sent = self.cut.map_or(length, |(bytes, _)| bytes.min(length));
        let marked = match self.cut {
            Some((_, SiteCut::Mark)) => sent,
            _ => length,
        };
        let framing = match self.framing {
            SiteFraming::Length => format!("content-length: {marked}\r\n\r\n"),
            SiteFraming::Chunked => "transfer-encoding: chunked\r\n\r\n".to_owned(),
            SiteFraming::Close => "\r\n".to_owned(),
        };
        let mut head = format!("{}{framing}", response_head(status, headers));
        if self.old_version {
            head = head.replacen("HTTP/1.1", "HTTP/1.0", 1);
        }
        if stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        let mut left = sent;
        for piece in pieces {
            let piece = &piece[..piece.len().min(left)];
            left -= piece.len();
            if piece.is_empty() {
                break;
            }
            let data = match self.framing {
                SiteFraming::Chunked => format!("{:x}\r\n{piece}\r\n", piece.len()),
                SiteFraming::Length | SiteFraming::Close => piece.to_owned(),
            };
            if stream.write_all(data.as_bytes()).await.is_err() {
                return false;
            }
            tokio::time::sleep(pause).await;
        }
        match self.cut {
            Some((_, SiteCut::Close)) if sent < length => return false,
            Some((_, SiteCut::Reset)) if sent < length => {
                // Without the option the connection is closed, which the tests of resets notice.
                let _ = stream.reset_on_drop();
                return false;
            }
            _ => {}
        }
        match self.framing {
            SiteFraming::Length => true,
            SiteFraming::Chunked => stream.write_all(b"0\r\n\r\n").await.is_ok(),
            SiteFraming::Close => false,
        }
    }
}

/// How an endpoint ends a connection inside the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SiteHeadCut {
    /// Bytes of the head that are sent, all but the last one at most.
    pub bytes: usize,
    /// How the connection ends; [`SiteCut::Mark`] closes it.
    pub cut: SiteCut,
    /// Whether a whole interim response precedes the head.
    pub interim: bool,
}

impl SiteHeadCut {
    /// Writes a part of the head of a response, and returns that the connection does not stay open.
    pub(crate) async fn write(
        self,
        stream: &mut PausableStream,
        status: u16,
        headers: &[(&str, &str)],
    ) -> bool {
        let interim = if self.interim { "HTTP/1.1 102 Processing\r\n\r\n" } else { "" };
        let head = format!("{}content-length: 0\r\n\r\n", response_head(status, headers));
        let text = format!("{interim}{}", &head[..self.bytes.min(head.len() - 1)]);
        // A caller that has left needs nothing.
        let _ = stream.write_all(text.as_bytes()).await;
        if self.cut == SiteCut::Reset {
            // The bytes must have arrived before the reset, which takes back those that have not.
            tokio::time::sleep(Duration::from_millis(5)).await;
            let _ = stream.reset_on_drop();
        }
        false
    }
}
