//! Connections to endpoints and to the platform, and one exchange over a connection.
//!
//! Connections are kept and reused, the most recently used first, because a new connection is costly for an
//! endpoint. A connection is kept only after a complete response that allows reuse. An exchange distinguishes
//! requests that provably never left this process, which may be sent again whatever their class, from those
//! that may have arrived.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderMap};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use teaselshunt_completeness::BodyMonitor;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::reach::{Destination, Reach};
use crate::response_reader::ResponseReader;

/// Longest time to open a connection: about a hundred round trips, and shorter than the time after which a
/// lost SYN packet is retransmitted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an idle connection is kept if the server announces no timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Subtracted from an announced idle timeout, for the transit of the next request.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(600);
/// Most idle connections to one address; a burst from one instance to one endpoint rarely needs more at a
/// time.
const MAX_IDLE: usize = 6;
/// Largest request body after which a connection is kept. An endpoint that responds early may leave the rest
/// of a larger body unread and would parse the next request as this rest.
const MAX_REUSE_BODY_BYTES: usize = 32 * 1024;

/// Largest response head, and most of a body that is read at a time, in bytes. Pieces of up to this size wait
/// in memory for a slow caller.
const BUFFER_BYTES: usize = 32 * 1024;

/// Why an exchange brought no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExchangeFailure {
    /// Nothing left this process.
    Unsent,
    /// Nothing left this process, since the request was not to be sent any more.
    Withheld,
    /// The request may have arrived; the connection broke or the response was invalid.
    Broken,
    /// The request may have arrived; there was no response in time.
    TimedOut,
}

impl ExchangeFailure {
    pub(crate) const fn text(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Withheld => "withheld",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
        }
    }
}

/// An open connection without a request in progress. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    address: SocketAddr,
    /// Set for a connection to an endpoint.
    reach: Option<Rc<Reach>>,
    opened: Instant,
    keep_alive: Duration,
    idle_since: Instant,
    reusable: bool,
}

impl Connection {
    /// Records that bytes of a response arrived.
    pub(crate) fn record_bytes(&self) {
        if let Some(reach) = &self.reach {
            reach.record_bytes(self.address, self.opened);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Ends the task that owns the socket, so that the endpoint sees at once that the request is
        // abandoned.
        self.task.abort();
    }
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    /// Most idle connections to one address, if fewer than [`MAX_IDLE`].
    max_idle: Cell<Option<usize>>,
    reach: Rc<Reach>,
}

impl ConnectionPool {
    /// Sends a request and waits for the head of the response.
    pub(crate) async fn exchange(
        &self,
        destination: &Destination,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<(Parts, ResponseReader), ExchangeFailure> {
        self.exchange_if(destination, request, until, || true).await
    }

    /// The same for a request that is only sent if it still may be once there is a connection.
    pub(crate) async fn exchange_if(
        &self,
        destination: &Destination,
        request: Request<Full<Bytes>>,
        until: Instant,
        may_send: impl Fn() -> bool,
    ) -> Result<(Parts, ResponseReader), ExchangeFailure> {
        match tokio::time::timeout_at(until.into(), self.send(destination, request, may_send)).await {
            Ok(result) => result,
            Err(_) => Err(ExchangeFailure::TimedOut),
        }
    }

    async fn send(
        &self,
        destination: &Destination,
        mut request: Request<Full<Bytes>>,
        may_send: impl Fn() -> bool,
    ) -> Result<(Parts, ResponseReader), ExchangeFailure> {
        let size = hyper::body::Body::size_hint(request.body()).exact().unwrap_or(u64::MAX);
        let method = request.method().clone();
        loop {
            let (mut connection, is_new) = match self.take(destination.address) {
                Some(connection) => (connection, false),
                None => (self.connect(destination).await?, true),
            };
            if !may_send() {
                connection.reusable = true;
                self.put(connection);
                return Err(ExchangeFailure::Withheld);
            }
            if connection.reach.is_some() {
                self.reach.record_send(destination.address);
            }
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.record_bytes();
                    connection.keep_alive = announced_keep_alive(response.headers());
                    connection.reusable = size <= MAX_REUSE_BODY_BYTES as u64 && may_reuse(&response);
                    let (head, body) = response.into_parts();
                    let monitor = BodyMonitor::new(&method, head.status, &head.headers);
                    return Ok((head, ResponseReader::new(body, connection, monitor)));
                }
                Err(mut error) => match error.take_message() {
                    // The connection was closed before anything was written to it.
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => return Err(ExchangeFailure::Unsent),
                    None => {
                        if connection.reach.is_some() {
                            self.reach.record_failure(destination.address);
                        }
                        return Err(ExchangeFailure::Broken);
                    }
                },
            }
        }
    }

    /// Whether a new connection can be opened now. The connection is kept, since new connections are costly
    /// for endpoints.
    pub(crate) async fn can_connect(&self, destination: &Destination) -> bool {
        let Ok(mut connection) = self.connect(destination).await else { return false };
        connection.reusable = true;
        self.put(connection);
        true
    }

    async fn connect(&self, destination: &Destination) -> Result<Connection, ExchangeFailure> {
        let reach = destination.endpoint.as_ref().map(|_| Rc::clone(&self.reach));
        let result = connect(destination.address, reach).await;
        if result.is_err() && destination.endpoint.is_some() {
            self.reach.record_failure(destination.address);
        }
        result
    }

    /// What is known of the links to endpoints.
    pub(crate) fn reach(&self) -> &Rc<Reach> {
        &self.reach
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let is_fresh = connection.idle_since.elapsed() < connection.keep_alive;
            if is_fresh && connection.sender.is_ready() && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last response was read to its end.
    pub(crate) fn put(&self, mut connection: Connection) {
        if !connection.reusable || connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        let max_idle = self.max_idle.get().map_or(MAX_IDLE, |max_idle| max_idle.min(MAX_IDLE));
        if connections.len() >= max_idle {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Sets the most idle connections to one address.
    pub(crate) fn set_max_idle(&self, max_idle: Option<usize>) {
        self.max_idle.set(max_idle);
    }

    /// Closes connections that have been idle too long.
    pub(crate) fn close_expired(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|c| c.idle_since.elapsed() < c.keep_alive && !c.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

async fn connect(address: SocketAddr, reach: Option<Rc<Reach>>) -> Result<Connection, ExchangeFailure> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(stream)) = connecting.await else {
        return Err(ExchangeFailure::Unsent);
    };
    // Sends small writes without delay; a failure only costs latency.
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(stream);
    let Ok((sender, connection)) = http1::Builder::new().max_buf_size(BUFFER_BYTES).handshake(io).await
    else {
        return Err(ExchangeFailure::Unsent);
    };
    // The task that waits for a response on the connection sees how the connection ends.
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        task,
        address,
        reach,
        opened: Instant::now(),
        keep_alive: DEFAULT_KEEP_ALIVE,
        idle_since: Instant::now(),
        reusable: false,
    })
}

/// Whether the connection may carry another request after this response: the response is framed and does not
/// announce that the connection closes.
fn may_reuse(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let closes = headers
        .get_all(CONNECTION)
        .iter()
        .any(|v| v.to_str().is_ok_and(|v| v.to_ascii_lowercase().contains("close")));
    let framed = headers.contains_key("content-length") || headers.contains_key("transfer-encoding");
    !closes && framed
}

/// How long the server keeps an idle connection, from its `Keep-Alive: timeout=SECONDS`.
fn announced_keep_alive(headers: &HeaderMap) -> Duration {
    let seconds = headers.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(|v| {
        v.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok())
    });
    seconds.map_or(DEFAULT_KEEP_ALIVE, |s| Duration::from_secs(s).saturating_sub(KEEP_ALIVE_MARGIN))
}
