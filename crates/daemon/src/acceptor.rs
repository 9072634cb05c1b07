//! Accepting callers' connections up to a limit.

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

/// Pause after a failed accept. The usual cause is that the process is out of file descriptors; without the
/// pause the listener would spin at full speed until one is closed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections, and closes those over the limit at once.
///
/// Without a limit ten thousand idle connections would use up the file descriptors that requests need to
/// reach endpoints, and callers would see refusals that have nothing to do with load.
#[derive(Debug)]
pub(crate) struct Bounded {
    listener: TcpListener,
    places: Arc<Semaphore>,
}

impl Bounded {
    pub(crate) fn new(listener: TcpListener, connections: usize) -> Self {
        Self { listener, places: Arc::new(Semaphore::new(connections)) }
    }
}

impl Acceptor for Bounded {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.listener.local_addr().into_iter().map(|a| LocalAddr(a.into())).collect()
    }

    async fn accept(&mut self) -> io::Result<(Connection, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let Ok((stream, remote)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(place) = Arc::clone(&self.places).try_acquire_owned() else {
                continue;
            };
            // A caller that is gone already has nothing to lose by a failure here.
            let (Ok(local), Ok(())) = (stream.local_addr(), stream.set_nodelay(true)) else {
                continue;
            };
            let connection = Connection { stream, _place: place };
            return Ok((connection, LocalAddr(local.into()), RemoteAddr(remote.into()), Scheme::HTTP));
        }
    }
}

/// A caller's connection; gives its place back when it is closed.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    _place: OwnedSemaphorePermit,
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
