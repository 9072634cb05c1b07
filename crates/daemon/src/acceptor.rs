//! Accepts callers' connections up to a limit, and ends those whose response cannot be completed.
//!
//! The HTTP server ends a body that fails in the same way as one that is complete. A response that fails therefore
//! [aborts](AbortHandle::abort) its connection first, which then takes no end mark.
//!
//! The kernel closes the connections of a process that is killed, exactly as at the end of a response without an end
//! mark. While such a [response](AbortHandle::ends_with_connection) is written, the kernel is set to reset the connection
//! in place of closing it.
//!
//! A caller that does not read its response holds a connection, and with a stream also a request in progress. Such a
//! connection is [cut](AbortHandle::cut_at) by a reset some time after the request's deadline.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::task::AtomicWaker;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{Instant, Sleep};

/// Delay after a failed accept. The usual cause is that the process has no free file descriptor; without the
/// delay the accept loop would spin at full speed until a descriptor is closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after the deadline of its request that a complete response has to be read.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The callers' connections that are open, by the caller's address.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenConnections(Arc<Mutex<HashMap<SocketAddr, AbortHandle>>>);

impl OpenConnections {
    /// The handle of the connection from an address; one without effect if there is none.
    pub(crate) fn handle(&self, caller: Option<&SocketAddr>) -> AbortHandle {
        caller.and_then(|caller| self.lock().get(caller).cloned()).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, AbortHandle>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ends a connection in the middle of its response, and tells when its caller has closed it.
#[derive(Debug, Clone, Default)]
pub(crate) struct AbortHandle(Arc<ConnectionState>);

#[derive(Debug, Default)]
struct ConnectionState {
    is_aborted: AtomicBool,
    /// Whether the end of the connection is that of the response.
    is_end_mark: AtomicBool,
    /// Whether the connection ends without waiting for the caller.
    is_cut: AtomicBool,
    is_closed: AtomicBool,
    closed: Notify,
    /// When writes that the caller does not read fail.
    write_limit: Mutex<Option<Instant>>,
    reader: AtomicWaker,
    writer: AtomicWaker,
}

/// A cut of a connection that is due. Dropping it revokes it.
#[derive(Debug)]
pub(crate) struct ScheduledCut(JoinHandle<()>);

impl Drop for ScheduledCut {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl AbortHandle {
    /// Makes all further writes fail. Bytes that were written before are delivered.
    pub(crate) fn abort(&self) {
        self.0.is_aborted.store(true, Ordering::Relaxed);
    }

    /// Records that the response now begun has neither a length nor chunks. It is the last on its connection.
    pub(crate) fn ends_with_connection(&self) {
        self.0.is_end_mark.store(true, Ordering::Relaxed);
    }

    fn is_end_mark(&self) -> bool {
        self.0.is_end_mark.load(Ordering::Relaxed)
    }

    fn is_aborted(&self) -> bool {
        self.0.is_aborted.load(Ordering::Relaxed)
    }

    /// Ends the connection at `at`, whether the caller reads or not, unless the result is dropped before.
    pub(crate) fn cut_at(&self, at: Instant) -> ScheduledCut {
        let connection = self.clone();
        ScheduledCut(tokio::spawn(async move {
            tokio::time::sleep_until(at).await;
            connection.cut();
        }))
    }

    fn cut(&self) {
        self.0.is_cut.store(true, Ordering::Release);
        self.0.reader.wake();
        self.0.writer.wake();
    }

    fn is_cut(&self) -> bool {
        self.0.is_cut.load(Ordering::Acquire)
    }

    /// Sets how long the caller may leave the response of a request with this deadline unread. The latest deadline
    /// of a connection counts.
    pub(crate) fn limit_writes(&self, deadline: Instant) {
        let mut limit = self.lock_limit();
        *limit = (*limit).max(Some(deadline + READ_TIMEOUT));
    }

    fn lock_limit(&self) -> MutexGuard<'_, Option<Instant>> {
        self.0.write_limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the caller has closed the connection.
    ///
    /// The HTTP server keeps polling the handler of a request whose connection has ended, instead of dropping it.
    pub(crate) async fn closed(&self) {
        loop {
            let closed = self.0.closed.notified();
            if self.0.is_closed.load(Ordering::Acquire) {
                return;
            }
            closed.await;
        }
    }

    fn set_closed(&self) {
        self.0.is_closed.store(true, Ordering::Release);
        self.0.closed.notify_waiters();
    }
}

/// Accepts connections, and closes connections over the limit immediately.
///
/// Without a limit, ten thousand idle connections would use up the file descriptors that requests need for
/// their connections to endpoints, and callers would get refusals that have nothing to do with load.
#[derive(Debug)]
pub(crate) struct BoundedAcceptor {
    listener: TcpListener,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
    open: OpenConnections,
}

impl BoundedAcceptor {
    pub(crate) fn new(listener: TcpListener, connections: usize, open: OpenConnections) -> Self {
        Self { listener, permits: Arc::new(Semaphore::new(connections)), open }
    }
}

impl Acceptor for BoundedAcceptor {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.listener.local_addr().into_iter().map(|a| LocalAddr(a.into())).collect()
    }

    async fn accept(&mut self) -> io::Result<(Connection, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let Ok((stream, remote)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
                continue;
            };
            // These calls fail if the caller has disconnected already; the connection is then dropped.
            let (Ok(local), Ok(())) = (stream.local_addr(), stream.set_nodelay(true)) else {
                continue;
            };
            let abort = AbortHandle::default();
            self.open.lock().insert(remote, abort.clone());
            let open = self.open.clone();
            let connection =
                Connection { stream, remote, abort, blocked: None, resets: false, open, _permit: permit };
            return Ok((connection, LocalAddr(local.into()), RemoteAddr(remote.into()), Scheme::HTTP));
        }
    }
}

/// A caller's connection. Dropping the connection releases its permit.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    remote: SocketAddr,
    abort: AbortHandle,
    /// Ends when a write that the caller does not read fails.
    blocked: Option<Pin<Box<Sleep>>>,
    /// Whether the kernel resets the connection when the socket is closed.
    resets: bool,
    open: OpenConnections,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    /// Fails if the connection was cut. A reset then ends it for the caller, so that no part of a response that
    /// ends with its connection looks complete.
    fn check_cut(&self) -> io::Result<()> {
        if !self.abort.is_cut() {
            return Ok(());
        }
        // Fails if the caller has closed the connection.
        let _ = self.stream.set_zero_linger();
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Has the kernel reset the connection if it ends before the response that it marks the end of.
    fn prepare_reset(&mut self) {
        if self.abort.is_end_mark() && !self.resets {
            // Fails if the caller has closed the connection.
            let _ = self.stream.set_zero_linger();
            self.resets = true;
        }
    }

    /// Has the kernel close the connection at its end, with all bytes that the caller has not read yet.
    fn prepare_close(&mut self) -> io::Result<()> {
        if self.resets {
            SockRef::from(&self.stream).set_linger(None)?;
            self.resets = false;
        }
        Ok(())
    }

    /// Waits for the caller to read, up to the limit.
    fn poll_blocked(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let Some(limit) = *self.abort.lock_limit() else {
            return Poll::Pending;
        };
        let sleep = self.blocked.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(limit)));
        if sleep.deadline() != limit {
            sleep.as_mut().reset(limit);
        }
        std::task::ready!(sleep.as_mut().poll(cx));
        self.abort.cut();
        Poll::Ready(self.check_cut().map(|()| 0))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut open = self.open.lock();
        // The caller may have used its port for another connection since.
        if open.get(&self.remote).is_some_and(|abort| Arc::ptr_eq(&abort.0, &self.abort.0)) {
            open.remove(&self.remote);
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.abort.0.reader.register(cx.waker());
        self.check_cut()?;
        let (capacity, before) = (buf.remaining(), buf.filled().len());
        let result = std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if result.is_err() || (capacity > 0 && buf.filled().len() == before) {
            self.abort.set_closed();
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.abort.0.writer.register(cx.waker());
        self.check_cut()?;
        if self.abort.is_aborted() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        self.prepare_reset();
        match Pin::new(&mut self.stream).poll_write(cx, buf) {
            Poll::Pending => self.poll_blocked(cx),
            written @ Poll::Ready(_) => {
                self.blocked = None;
                written
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets && self.abort.is_aborted() {
            // The end of the stream would look like that of the response.
            return Poll::Ready(Ok(()));
        }
        // The server has written all bytes before.
        self.prepare_close()?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
