//! Bodies of responses to callers.
//!
//! A caller may read slowly or not at all. A complete response is passed to its connection in pieces, so that
//! its bytes stay accounted until nearly all are written. A limited number of pieces of a stream may wait;
//! until one is taken, the endpoint is not read any further. [`CallerConnection`] closes connections whose
//! callers do not read their response until long after their deadline.
//!
//! A response claims no more than its endpoint's: if nothing but the end of a connection showed that the
//! endpoint's response was complete, the response to the caller has neither a length nor chunks either, and ends
//! with its connection.
//!
//! A response that cannot be completed must not look complete. One with chunks or a length ends without its end
//! mark; one whose end only the connection shows, like each stream to a caller of HTTP/1.0, has its connection
//! reset.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::http::response::Parts;
use hyper::{Response, Version};
use teaselshunt_completeness::{Completeness, Framing};
use tokio::sync::{Notify, mpsc};

use crate::buffering::BufferedBytes;
use crate::calls::BufferedBody;
use crate::headers::prepare_response;

/// The response cannot be completed. The caller's connection ends so that the response does not look complete.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the response was truncated")]
pub(crate) struct Truncated;

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    content: Content,
    /// Whether the end of the body is marked.
    framed: bool,
    connection: Option<Rc<CallerConnection>>,
}

#[derive(Debug)]
enum Content {
    Buffered(Buffered),
    Relay(Relay),
}

impl ResponseBody {
    /// A short body that is not accounted in the buffer memory.
    pub(crate) fn short(bytes: Bytes) -> Self {
        Self::buffered(bytes, None, true)
    }

    /// A body that was received to its end.
    fn buffered(rest: Bytes, memory: Option<BufferedBytes>, framed: bool) -> Self {
        let content = Content::Buffered(Buffered { rest, _memory: memory });
        Self { content, framed, connection: None }
    }

    /// A body that arrives in pieces.
    fn relay(relay: Relay, framed: bool) -> Self {
        Self { content: Content::Relay(relay), framed, connection: None }
    }

    /// Sends the body on a connection to a caller of this HTTP version. Closes the connection if the kernel has not
    /// taken all of the body by `until`; a complete body of at most one piece has no such limit.
    #[must_use]
    pub(crate) fn send_on(
        mut self,
        connection: &Rc<CallerConnection>,
        version: Version,
        until: Instant,
    ) -> Self {
        let short =
            matches!(&self.content, Content::Buffered(buffered) if buffered.rest.len() <= PIECE_BYTES);
        if !short {
            connection.set_read_deadline(until);
        }
        if version < Version::HTTP_11 && matches!(self.content, Content::Relay(_)) {
            self.framed = false;
        }
        connection.reset.set(!self.framed);
        self.connection = Some(Rc::clone(connection));
        self
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let piece = match &mut self.content {
            Content::Buffered(buffered) => buffered.next().map(Ok),
            Content::Relay(relay) => std::task::ready!(relay.poll(context)),
        };
        if let (None, Some(connection)) = (&piece, &self.connection) {
            connection.reset.set(false);
        }
        Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        // Without a length an empty body is one too, whose end only the connection shows.
        self.framed && matches!(&self.content, Content::Buffered(buffered) if buffered.rest.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Buffered(buffered) if self.framed => SizeHint::with_exact(buffered.rest.len() as u64),
            Content::Buffered(_) | Content::Relay(_) => SizeHint::default(),
        }
    }
}

/// The response to a caller whose body was received to its end.
pub(crate) fn buffered_response(mut head: Parts, body: BufferedBody) -> Response<ResponseBody> {
    let BufferedBody { bytes, memory, end } = body;
    let framed = end.completeness == Completeness::Complete;
    prepare_response(&mut head, framed);
    Response::from_parts(head, ResponseBody::buffered(bytes, Some(memory), framed))
}

/// The response to a caller whose body arrives in pieces. Its end is marked if `framing` marks that of the
/// endpoint's response.
pub(crate) fn relayed_response(mut head: Parts, relay: Relay, framing: Framing) -> Response<ResponseBody> {
    let framed = framing.marks_end();
    prepare_response(&mut head, framed);
    Response::from_parts(head, ResponseBody::relay(relay, framed))
}

/// Bytes that are passed to the connection at a time.
const PIECE_BYTES: usize = 16 * 1024;

/// A body that was received to its end.
#[derive(Debug)]
struct Buffered {
    rest: Bytes,
    _memory: Option<BufferedBytes>,
}

impl Buffered {
    fn next(&mut self) -> Option<Bytes> {
        if self.rest.is_empty() {
            return None;
        }
        Some(self.rest.split_to(PIECE_BYTES.min(self.rest.len())))
    }
}

/// A body that arrives in pieces. The sender notices a drop as the caller's disconnection.
#[derive(Debug)]
pub(crate) struct Relay {
    pieces: mpsc::Receiver<Piece>,
    complete: Rc<Cell<bool>>,
}

impl Relay {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        self.pieces.poll_recv(context).map(|piece| match piece {
            Some(piece) => Some(Ok(piece.data)),
            None if self.complete.get() => None,
            None => Some(Err(Truncated)),
        })
    }
}

/// A piece that waits for its caller, with its accounted memory.
#[derive(Debug)]
struct Piece {
    data: Bytes,
    _buffered: Option<BufferedBytes>,
}

/// Pieces that may wait for a slow caller.
const MAX_WAITING_PIECES: usize = 16;

/// The caller has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Disconnected;

/// Fills a [`Relay`]. Dropping it before [`PieceSender::end`] truncates the response.
#[derive(Debug)]
pub(crate) struct PieceSender {
    sender: mpsc::Sender<Piece>,
    complete: Rc<Cell<bool>>,
}

impl PieceSender {
    /// Passes on a piece as soon as the channel has space. If the instance has no buffer memory left, the
    /// caller must first have taken all earlier pieces.
    pub(crate) async fn send(&self, data: Bytes, mut buffered: BufferedBytes) -> Result<(), Disconnected> {
        if buffered.grow(data.len()).is_err() {
            drop(self.sender.reserve_many(MAX_WAITING_PIECES).await.map_err(|_| Disconnected)?);
        }
        self.sender.send(Piece { data, _buffered: Some(buffered) }).await.map_err(|_| Disconnected)
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Marks the response as complete.
    pub(crate) fn end(self) {
        self.complete.set(true);
    }
}

/// Creates a body and its sender.
pub(crate) fn relay_channel() -> (PieceSender, Relay) {
    let (sender, pieces) = mpsc::channel(MAX_WAITING_PIECES);
    let complete = Rc::new(Cell::new(false));
    (PieceSender { sender, complete: Rc::clone(&complete) }, Relay { pieces, complete })
}

/// What the current response requires of its connection.
#[derive(Debug, Default)]
pub(crate) struct CallerConnection {
    /// Time until which the caller must read the response.
    until: Cell<Option<Instant>>,
    started: Notify,
    /// Whether the connection must be reset if it ends now, since a close would look like the end of the response.
    reset: Cell<bool>,
}

impl CallerConnection {
    fn set_read_deadline(&self, until: Instant) {
        self.until.set(Some(until));
        self.started.notify_one();
    }

    /// Records that the kernel has all bytes of the response.
    pub(crate) fn clear_read_deadline(&self) {
        self.until.set(None);
    }

    /// Whether the connection must be reset if it ends now.
    pub(crate) fn must_reset(&self) -> bool {
        self.reset.get()
    }

    /// Waits until a response was not read in time. The connection must be reset then: bytes of the response may
    /// not have been sent.
    pub(crate) async fn overdue(&self) {
        loop {
            let Some(until) = self.until.get() else {
                self.started.notified().await;
                continue;
            };
            tokio::time::sleep_until(until.into()).await;
            if self.until.get() == Some(until) {
                self.reset.set(true);
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
