//! Connections to endpoints and to the platform, and one exchange over one of them.
//!
//! Connections are kept and used again, the youngest first, because endpoints charge for new ones. A connection is
//! kept only after a whole answer that allows it. An exchange tells apart what provably never left this process,
//! which may be sent again whatever it is, from what may have arrived.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderMap};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Longest time for a connection to be made: some hundred round trips, and under the time after which a lost opening
/// packet is sent again.
const CONNECT: Duration = Duration::from_millis(150);
/// How long an idle connection is kept where the other side announces nothing.
const KEEP: Duration = Duration::from_secs(3);
/// Subtracted from an announced idle timeout, for the way there.
const MARGIN: Duration = Duration::from_millis(600);
/// Idle connections kept to one address; a burst of one instance to one endpoint rarely has more at a time.
const IDLE: usize = 6;
/// Largest request body after which a connection is kept. Of a larger one an endpoint may leave a rest unread when it
/// answers early, and would take the next request for that rest.
const REST: usize = 32 * 1024;

/// Largest head of an answer, and most of a body that is read at a time, in bytes: pieces of an answer wait whole for a slow
/// caller.
const BUFFER: usize = 32 * 1024;

/// Why an exchange brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing left this process.
    Unsent,
    /// It may have arrived; the connection broke or the answer made no sense.
    Broken,
    /// It may have arrived; no answer came in time.
    TimedOut,
}

impl Failure {
    pub(crate) const fn text(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
        }
    }
}

/// An open connection with nothing on its way. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    address: SocketAddr,
    keep: Duration,
    since: Instant,
    reusable: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Ends the task that owns the socket, so that an endpoint sees at once that nobody waits any more.
        self.task.abort();
    }
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    /// Most idle connections to one address, if fewer than [`IDLE`].
    most: Cell<Option<usize>>,
}

impl ConnectionPool {
    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        match tokio::time::timeout_at(until.into(), self.send(address, request)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::TimedOut),
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        let size = hyper::body::Body::size_hint(request.body()).exact().unwrap_or(u64::MAX);
        loop {
            let (mut connection, fresh) = match self.take(address) {
                Some(connection) => (connection, false),
                None => (connect(address).await?, true),
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.keep = announced(response.headers());
                    connection.reusable = size <= REST as u64 && may_reuse(&response);
                    return Ok((response, connection));
                }
                Err(mut error) => match error.take_message() {
                    // The connection had closed before anything was written to it.
                    Some(unsent) if !fresh => request = unsent,
                    Some(_) => return Err(Failure::Unsent),
                    None => return Err(Failure::Broken),
                },
            }
        }
    }

    /// Whether a new connection can be made now. It is kept, since endpoints charge for new ones.
    pub(crate) async fn reach(&self, address: SocketAddr) -> bool {
        let Ok(mut connection) = connect(address).await else { return false };
        connection.reusable = true;
        self.put(connection);
        true
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let young = connection.since.elapsed() < connection.keep;
            if young && connection.sender.is_ready() && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn put(&self, mut connection: Connection) {
        if !connection.reusable || connection.sender.is_closed() {
            return;
        }
        connection.since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        let most = self.most.get().map_or(IDLE, |most| most.min(IDLE));
        if connections.len() >= most {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Sets the most idle connections that may be kept to one address.
    pub(crate) fn keep_at_most(&self, most: Option<usize>) {
        self.most.set(most);
    }

    /// Closes connections that have been idle too long.
    pub(crate) fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|c| c.since.elapsed() < c.keep && !c.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, Failure> {
    let connecting = tokio::time::timeout(CONNECT, TcpStream::connect(address));
    let Ok(Ok(stream)) = connecting.await else {
        return Err(Failure::Unsent);
    };
    // Small writes go out at once; a failure only costs latency.
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(stream);
    let Ok((sender, connection)) = http1::Builder::new().max_buf_size(BUFFER).handshake(io).await else {
        return Err(Failure::Unsent);
    };
    // How the connection ends is seen by whoever waits for an answer on it.
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(Connection { sender, task, address, keep: KEEP, since: Instant::now(), reusable: false })
}

/// Whether the connection may carry another request after this answer: it has a framed end and was not announced to
/// close.
fn may_reuse(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let closes = headers
        .get_all(CONNECTION)
        .iter()
        .any(|v| v.to_str().is_ok_and(|v| v.to_ascii_lowercase().contains("close")));
    let framed = headers.contains_key("content-length") || headers.contains_key("transfer-encoding");
    !closes && framed
}

/// How long the other side keeps an idle connection, from its `Keep-Alive: timeout=SECONDS`.
fn announced(headers: &HeaderMap) -> Duration {
    let seconds = headers.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(|v| {
        v.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok())
    });
    seconds.map_or(KEEP, |s| Duration::from_secs(s).saturating_sub(MARGIN))
}
