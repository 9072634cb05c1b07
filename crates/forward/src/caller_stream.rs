//! Connections of callers, which can be reset, and whose reads and writes show what they are doing.

use std::io::{self, ErrorKind, Read};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::body::CallerConnection;
use crate::caller_activity::CallerActivity;

/// A connection of a caller. Dropping it resets the connection if the last response requires that, and closes
/// it otherwise.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    connection: Rc<CallerConnection>,
    activity: Rc<CallerActivity>,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Rc<CallerConnection>,
        activity: Rc<CallerActivity>,
    ) -> Self {
        Self { stream, connection, activity }
    }
}

/// Reads what the kernel has. The runtime learns of arrived bytes when it next asks for events, and after a freeze of the
/// process its timers may end before.
fn read_now(stream: &TcpStream, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    match (&*SockRef::from(stream)).read(buffer.initialize_unfilled()) {
        Ok(count) => {
            buffer.advance(count);
            Poll::Ready(Ok(()))
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => Poll::Pending,
        Err(error) => Poll::Ready(Err(error)),
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.connection.must_reset() {
            // A failure means that the connection has ended already.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let mut result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if result.is_pending() && self.activity.asks_kernel() {
            result = read_now(&self.stream, buffer);
        }
        self.activity.read(&buffer.filled()[before..]);
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library calls this function once it has written all that it had.
        self.activity.flushed();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
