//! Pauses of an endpoint: it accepts, reads and writes nothing, and goes on where it was.
//!
//! The kernel still accepts connections and buffers bytes. Work that has begun goes on until it must write.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::Instant;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

#[derive(Debug, Default)]
struct State {
    /// Pauses that are in force.
    count: u32,
    /// When the last pause began or ended.
    changed: Option<Instant>,
    waiting: Vec<Waker>,
}

/// Whether an endpoint is paused.
#[derive(Debug, Default)]
pub(super) struct Pauses(Mutex<State>);

/// A pause of an endpoint. The endpoint goes on when all its pauses are dropped.
#[derive(Debug)]
pub struct SitePause(Arc<Pauses>);

impl SitePause {
    pub(super) fn begin(pauses: &Arc<Pauses>) -> Self {
        let mut state = pauses.lock();
        state.count += 1;
        state.changed = Some(Instant::now());
        drop(state);
        Self(Arc::clone(pauses))
    }
}

impl Drop for SitePause {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.count -= 1;
        state.changed = Some(Instant::now());
        if state.count == 0 {
            state.waiting.drain(..).for_each(Waker::wake);
        }
    }
}

impl Pauses {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn poll_over(&self, context: &Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        if state.count == 0 {
            return Poll::Ready(());
        }
        if !state.waiting.iter().any(|waker| waker.will_wake(context.waker())) {
            state.waiting.push(context.waker().clone());
        }
        Poll::Pending
    }

    /// Waits until the endpoint is not paused.
    pub(super) async fn over(&self) {
        poll_fn(|context| self.poll_over(context)).await;
    }

    /// Whether the endpoint is paused, and when its last pause began or ended; `None` if it never paused.
    pub(super) fn last_change(&self) -> Option<(bool, Instant)> {
        let state = self.lock();
        state.changed.map(|at| (state.count > 0, at))
    }
}

/// A listener that accepts nothing in a pause.
#[derive(Debug)]
pub(crate) struct PausableListener {
    pub(super) listener: TcpListener,
    pub(super) pauses: Arc<Pauses>,
    /// Since when a connection has waited for the end of a pause.
    pub(super) held_since: Option<Instant>,
}

impl PausableListener {
    pub(super) async fn accept(&mut self) -> std::io::Result<PausableStream> {
        poll_fn(|context| {
            if self.pauses.poll_over(context).is_pending() {
                self.held_since.get_or_insert_with(Instant::now);
                return Poll::Pending;
            }
            let accepted = self.listener.poll_accept(context);
            if accepted.is_pending() {
                self.held_since = None;
            }
            let (stream, _) = ready!(accepted)?;
            // Without delay a reset loses no events that were written before; a failure only costs latency.
            let _ = stream.set_nodelay(true);
            let pauses = Arc::clone(&self.pauses);
            Poll::Ready(Ok(PausableStream { stream, pauses, held_since: self.held_since }))
        })
        .await
    }
}

/// A connection that reads and writes nothing in a pause.
#[derive(Debug)]
pub(crate) struct PausableStream {
    stream: TcpStream,
    pauses: Arc<Pauses>,
    held_since: Option<Instant>,
}

impl PausableStream {
    /// When the bytes that were read last arrived, if a pause kept them from being read then.
    pub(super) fn take_held(&mut self) -> Option<Instant> {
        self.held_since.take()
    }

    /// Resets the connection when it is dropped, instead of closing it.
    pub(super) fn reset_on_drop(&self) -> std::io::Result<()> {
        self.stream.set_zero_linger()
    }

    /// Waits for bytes and leaves them unread.
    pub(super) async fn peek(&self, bytes: &mut [u8]) -> std::io::Result<usize> {
        poll_fn(|context| {
            ready!(self.pauses.poll_over(context));
            self.stream.poll_peek(context, &mut ReadBuf::new(bytes))
        })
        .await
    }
}

impl AsyncRead for PausableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.pauses.poll_over(context).is_pending() {
            self.held_since.get_or_insert_with(Instant::now);
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.held_since = None;
        }
        read
    }
}

impl AsyncWrite for PausableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        ready!(self.pauses.poll_over(context));
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        ready!(self.pauses.poll_over(context));
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
