//! Accepts callers' connections up to a limit.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Delay after a failed accept. The usual cause is that the process has no free file descriptor; without the
/// delay the accept loop would spin at full speed until a descriptor is closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections, and closes connections over the limit immediately.
///
/// Without a limit, ten thousand idle connections would use up the file descriptors that requests need for
/// their connections to endpoints, and callers would get refusals that have nothing to do with load.
#[derive(Debug)]
pub(crate) struct BoundedAcceptor {
    listener: TcpListener,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
}

impl BoundedAcceptor {
    pub(crate) fn new(listener: TcpListener, connections: usize) -> Self {
        Self { listener, permits: Arc::new(Semaphore::new(connections)) }
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
            let connection = Connection { stream, _permit: permit };
            return Ok((connection, LocalAddr(local.into()), RemoteAddr(remote.into()), Scheme::HTTP));
        }
    }
}

/// A caller's connection. Dropping the connection releases its permit.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
