//! Connections of callers, which can be reset, and whose reads and writes show what they are doing.
//!
//! The kernel closes the connections of a process that is killed, exactly as at the end of a response. A response that
//! ends with its connection therefore has its connection set to be reset, from before its first byte until all of its
//! bytes are written. Whatever ends the process in between, the caller sees that the response is truncated.

use std::io::{self, ErrorKind, Read};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::body::CallerConnection;
use crate::caller_activity::CallerActivity;
use crate::caller_limits::CallerLimits;

/// A connection of a caller. Dropping it resets the connection if the last response requires that, and closes
/// it otherwise. So does an end of the process.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    connection: Rc<CallerConnection>,
    activity: Rc<CallerActivity>,
    limits: Rc<CallerLimits>,
    /// The largest head for which the library was set up.
    head_bytes: usize,
    /// Bytes that the library had read when it was set up again.
    unread: Bytes,
    /// Whether the kernel resets the connection when the socket is closed.
    resets: bool,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Rc<CallerConnection>,
        activity: Rc<CallerActivity>,
        limits: Rc<CallerLimits>,
    ) -> Self {
        let head_bytes = limits.head_bytes();
        Self { stream, connection, activity, limits, head_bytes, unread: Bytes::new(), resets: false }
    }

    /// Largest head of the requests that are read from now on, in bytes.
    pub(crate) fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// Prepares the stream for a library that is set up again with the limit in force. `unread` is read first.
    pub(crate) fn renew(&mut self, unread: Bytes) {
        self.activity.read(&unread);
        self.head_bytes = self.limits.head_bytes();
        self.unread = unread;
    }

    /// Has the kernel reset the connection at its end, if the response whose bytes are written now requires that.
    fn prepare_reset(&mut self) {
        if self.connection.must_reset() && !self.resets {
            // A failure means that the connection has ended already.
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

    fn poll_stream(&mut self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.unread.is_empty() {
            let count = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread.split_to(count));
            return Poll::Ready(Ok(()));
        }
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if result.is_pending() && self.activity.asks_kernel() {
            return read_now(&self.stream, buffer);
        }
        result
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
        self.prepare_reset();
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.activity.is_idle() && self.limits.head_bytes() != self.head_bytes {
            self.activity.request_renewal();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let result = self.poll_stream(context, buffer);
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
        self.prepare_reset();
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library calls this function once it has written all that it had.
        if self.activity.flushed() {
            self.connection.clear_read_deadline();
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.must_reset() {
            // The end of the stream would look like that of the response.
            return Poll::Ready(Ok(()));
        }
        // The library has written all bytes before.
        self.prepare_close()?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_reset();
        Pin::new(&mut self.stream).poll_write_vectored(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
