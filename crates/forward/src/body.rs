//! Bodies of answers to callers.
//!
//! A caller may read slowly or not at all. A whole answer is handed to its connection in pieces, so that it counts as held
//! until nearly all of it is written; of a stream some pieces wait, and then its endpoint is read no further. [`Unread`] ends
//! connections whose callers read nothing for long after they stopped waiting.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::{Notify, mpsc};

use crate::buffering::BufferedBytes;

/// The answer cannot be completed; the caller's connection is closed so that it does not look whole.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the answer broke off")]
pub(crate) struct Broken;

/// A body, and until when its caller may take to read it.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    content: Content,
    unread: Option<Rc<Unread>>,
}

#[derive(Debug)]
enum Content {
    Whole(Whole),
    Relay(Relay),
}

impl AnswerBody {
    /// A short one, which is not on any account.
    pub(crate) fn short(bytes: Bytes) -> Self {
        Self::whole(bytes, None)
    }

    /// One that is at hand.
    pub(crate) fn whole(rest: Bytes, holding: Option<BufferedBytes>) -> Self {
        Self { content: Content::Whole(Whole { rest, _holding: holding }), unread: None }
    }

    /// One that arrives piece by piece.
    pub(crate) fn relay(relay: Relay) -> Self {
        Self { content: Content::Relay(relay), unread: None }
    }

    /// Has the connection closed if the body is not read by a time.
    #[must_use]
    pub(crate) fn until(mut self, unread: &Rc<Unread>, until: Instant) -> Self {
        let short = matches!(&self.content, Content::Whole(whole) if whole.rest.len() <= PIECE);
        if !short {
            unread.begin(until);
            self.unread = Some(Rc::clone(unread));
        }
        self
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(unread) = self.unread.take() {
            unread.end();
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut self.content {
            Content::Whole(whole) => Poll::Ready(whole.next().map(|piece| Ok(Frame::data(piece)))),
            Content::Relay(relay) => relay.poll(context).map(|piece| piece.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Whole(whole) if whole.rest.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(whole) => SizeHint::with_exact(whole.rest.len() as u64),
            Content::Relay(_) => SizeHint::default(),
        }
    }
}

/// Bytes that are handed over at a time.
const PIECE: usize = 16 * 1024;

/// A body that is at hand.
#[derive(Debug)]
struct Whole {
    rest: Bytes,
    _holding: Option<BufferedBytes>,
}

impl Whole {
    fn next(&mut self) -> Option<Bytes> {
        if self.rest.is_empty() {
            return None;
        }
        Some(self.rest.split_to(PIECE.min(self.rest.len())))
    }
}

/// A body that arrives piece by piece. Dropping it tells the sender that the caller has gone.
#[derive(Debug)]
pub(crate) struct Relay {
    pieces: mpsc::Receiver<Piece>,
    whole: Rc<Cell<bool>>,
}

impl Relay {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        self.pieces.poll_recv(context).map(|piece| match piece {
            Some(piece) => Some(Ok(piece.data)),
            None if self.whole.get() => None,
            None => Some(Err(Broken)),
        })
    }
}

/// A piece that waits for its caller, and its room.
#[derive(Debug)]
struct Piece {
    data: Bytes,
    _holding: Option<BufferedBytes>,
}

/// Pieces that may wait for a slow caller.
const WAITING: usize = 16;

/// The caller has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Gone;

/// Fills a [`Relay`]. Dropped before [`Pieces::end`] it breaks the answer off.
#[derive(Debug)]
pub(crate) struct Pieces {
    sender: mpsc::Sender<Piece>,
    whole: Rc<Cell<bool>>,
}

impl Pieces {
    /// Passes a piece on as soon as there is room for it. Where the account of this instance has none, the caller must
    /// have taken all that came before.
    pub(crate) async fn send(&self, data: Bytes, mut holding: BufferedBytes) -> Result<(), Gone> {
        if holding.grow(data.len()).is_err() {
            drop(self.sender.reserve_many(WAITING).await.map_err(|_| Gone)?);
        }
        self.sender.send(Piece { data, _holding: Some(holding) }).await.map_err(|_| Gone)
    }

    /// Waits until the caller has gone.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }

    /// The answer is whole.
    pub(crate) fn end(self) {
        self.whole.set(true);
    }
}

/// A body and the way to fill it.
pub(crate) fn relay() -> (Pieces, Relay) {
    let (sender, pieces) = mpsc::channel(WAITING);
    let whole = Rc::new(Cell::new(false));
    (Pieces { sender, whole: Rc::clone(&whole) }, Relay { pieces, whole })
}

/// Until when the caller of a connection has to read the answer that is on its way.
#[derive(Debug, Default)]
pub(crate) struct Unread {
    until: Cell<Option<Instant>>,
    begun: Notify,
}

impl Unread {
    fn begin(&self, until: Instant) {
        self.until.set(Some(until));
        self.begun.notify_one();
    }

    fn end(&self) {
        self.until.set(None);
    }

    /// Waits until an answer has not been read in time.
    pub(crate) async fn overdue(&self) {
        loop {
            let Some(until) = self.until.get() else {
                self.begun.notified().await;
                continue;
            };
            tokio::time::sleep_until(until.into()).await;
            if self.until.get() == Some(until) {
                return;
            }
        }
    }
}
