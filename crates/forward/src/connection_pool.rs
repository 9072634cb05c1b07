//! Connections to endpoints and to the platform, and one exchange over a connection.
//!
//! A connection to an endpoint is direct or leads through a peer, as [`Reach`] decides.
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
use teaselshunt_routing::{CheckResult, Path};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::JoinHandle;

use crate::bounds::InterimCount;
use crate::reach::{Cause, Destination, Reach};
use crate::response_reader::ResponseReader;
use crate::sockets;
use crate::tunnels::{self, TunnelFailure};

/// Longest time to open a connection: about a hundred round trips, and shorter than the time after which a
/// lost SYN packet is retransmitted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The same for the further attempts of a check.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a response after which a request through a peer counts against the peer.
const SILENT_TUNNEL: Duration = Duration::from_millis(150);
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

/// Over which way a connection leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Via {
    Direct,
    /// Through a tunnel that this peer opened.
    Peer(SocketAddr),
}

/// Whether an endpoint can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reachability {
    Reachable,
    /// Neither this instance nor a peer can reach it.
    Unreachable,
    /// This instance cannot reach it, and there is no peer that can tell.
    Unknown,
}

/// An open connection without a request in progress. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    address: SocketAddr,
    via: Via,
    /// Set for a direct connection to an endpoint.
    reach: Option<Rc<Reach>>,
    opened: Instant,
    keep_alive: Duration,
    idle_since: Instant,
    reusable: bool,
}

impl Connection {
    pub(crate) const fn via(&self) -> Via {
        self.via
    }

    /// Records that bytes of a response arrived.
    pub(crate) fn record_bytes(&self) {
        if let Some(reach) = &self.reach {
            reach.record_bytes(self.address, self.opened);
        }
    }

    /// Records that what arrived is no response. The way to the endpoint works.
    fn record_invalid(&self, unanswered: Option<Unanswered<'_>>) {
        self.record_bytes();
        if let Some(unanswered) = unanswered {
            unanswered.dismiss();
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

/// Under which conditions a request is sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SendCondition<F> {
    /// Whether the request may still be sent once there is a connection.
    pub(crate) may_send: F,
    /// Whether the exchange ends when the link is lost. Nothing runs by it, and it is made again.
    pub(crate) ends_with_link: bool,
}

impl SendCondition<fn() -> bool> {
    const ALWAYS: Self = Self { may_send: || true, ends_with_link: false };
}

/// A request through a peer that has no response yet. Dropped after a while it counts against the peer, whose own links
/// may be silent.
struct Unanswered<'a> {
    reach: &'a Reach,
    peer: SocketAddr,
    since: Instant,
}

impl Unanswered<'_> {
    /// The response has begun.
    fn dismiss(self) {
        std::mem::forget(self);
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if self.since.elapsed() >= SILENT_TUNNEL {
            self.reach.peers().record_failure(Instant::now(), self.peer);
        }
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
        let exchange = self.send(destination, request, SendCondition::ALWAYS);
        tokio::time::timeout_at(until.into(), exchange).await.unwrap_or(Err(ExchangeFailure::TimedOut))
    }

    /// The same for a request that is only sent if it still may be once there is a connection.
    pub(crate) async fn exchange_if(
        &self,
        destination: &Destination,
        request: Request<Full<Bytes>>,
        until: Instant,
        condition: SendCondition<impl Fn() -> bool>,
    ) -> Result<(Parts, ResponseReader), ExchangeFailure> {
        let exchange = self.send(destination, request, condition);
        tokio::time::timeout_at(until.into(), exchange).await.unwrap_or(Err(ExchangeFailure::TimedOut))
    }

    /// Sends a request over this connection, and waits for the head of the response.
    pub(crate) async fn exchange_over(
        &self,
        connection: Connection,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<(Parts, ResponseReader), ExchangeFailure> {
        let exchange = self.send_over(connection, request, false);
        match tokio::time::timeout_at(until.into(), exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err((failure, _))) => Err(failure),
            Err(_) => Err(ExchangeFailure::TimedOut),
        }
    }

    async fn send(
        &self,
        destination: &Destination,
        mut request: Request<Full<Bytes>>,
        condition: SendCondition<impl Fn() -> bool>,
    ) -> Result<(Parts, ResponseReader), ExchangeFailure> {
        loop {
            let path = match destination.endpoint {
                Some(_) => self.reach.path(destination.address),
                None => Path::Direct,
            };
            let (mut connection, is_new) = match self.take(destination.address, path) {
                Some(connection) => (connection, false),
                None => (self.connect(destination, path).await?, true),
            };
            if !(condition.may_send)() {
                connection.reusable = true;
                self.put(connection);
                return Err(ExchangeFailure::Withheld);
            }
            if let Some(reach) = &connection.reach {
                reach.record_send(destination.address);
            }
            match self.send_over(connection, request, condition.ends_with_link).await {
                Ok(response) => return Ok(response),
                // The connection was closed before anything was written to it.
                Err((_, Some(unsent))) if !is_new => request = unsent,
                Err((failure, _)) => return Err(failure),
            }
        }
    }

    /// Sends a request over a connection. A request that was not written is returned with the failure.
    async fn send_over(
        &self,
        mut connection: Connection,
        mut request: Request<Full<Bytes>>,
        ends_with_link: bool,
    ) -> Result<(Parts, ResponseReader), (ExchangeFailure, Option<Request<Full<Bytes>>>)> {
        let size = hyper::body::Body::size_hint(request.body()).exact().unwrap_or(u64::MAX);
        let method = request.method().clone();
        let reach = connection.reach.clone();
        let address = connection.address;
        let until_lost = async {
            match &reach {
                Some(reach) if ends_with_link => reach.until_lost(address).await,
                _ => std::future::pending().await,
            }
        };
        let unanswered = match connection.via {
            Via::Peer(peer) => Some(Unanswered { reach: &self.reach, peer, since: Instant::now() }),
            Via::Direct => None,
        };
        let interim = InterimCount::of(&mut request);
        let result = tokio::select! {
            result = connection.sender.try_send_request(request) => result,
            () = until_lost => return Err((ExchangeFailure::Broken, None)),
            () = interim.exceeded() => {
                connection.record_invalid(unanswered);
                return Err((ExchangeFailure::Broken, None));
            }
        };
        match result {
            Ok(response) => {
                if let Some(unanswered) = unanswered {
                    unanswered.dismiss();
                }
                connection.record_bytes();
                connection.keep_alive = announced_keep_alive(response.headers());
                connection.reusable = size <= MAX_REUSE_BODY_BYTES as u64 && may_reuse(&response);
                let (head, body) = response.into_parts();
                let monitor = BodyMonitor::new(&method, head.status, &head.headers);
                Ok((head, ResponseReader::new(body, connection, monitor)))
            }
            Err(mut error) => {
                if let Some(unsent) = error.take_message() {
                    return Err((ExchangeFailure::Unsent, Some(unsent)));
                }
                if error.error().is_parse() {
                    connection.record_invalid(unanswered);
                    return Err((ExchangeFailure::Broken, None));
                }
                match (connection.via, &reach) {
                    (Via::Direct, Some(reach)) => reach.record_failure(address),
                    (Via::Direct, None) => {}
                    (Via::Peer(peer), _) => self.reach.peers().record_failure(Instant::now(), peer),
                }
                Err((ExchangeFailure::Broken, None))
            }
        }
    }

    /// Finds out whether an endpoint can be reached, and keeps the connection that shows it, since new connections are
    /// costly for endpoints.
    pub(crate) async fn reachability(&self, destination: &Destination) -> Reachability {
        let connection = match self.connect_directly(destination).await {
            Ok(connection) => Ok(connection),
            Err(_) => self.connect_by_tunnel(destination).await,
        };
        match connection {
            Ok(mut connection) => {
                connection.reusable = true;
                self.put(connection);
                Reachability::Reachable
            }
            Err(TunnelFailure::NoPeer) => Reachability::Unknown,
            Err(TunnelFailure::Unreachable) => Reachability::Unreachable,
        }
    }

    /// Opens a connection. One that cannot be opened directly leads through a peer. There is no way back from a lost
    /// link to a direct connection: it may open and stay silent, and a check finds out when the link works again.
    async fn connect(&self, destination: &Destination, path: Path) -> Result<Connection, ExchangeFailure> {
        match path {
            Path::None => Err(ExchangeFailure::Unsent),
            Path::Direct => match self.connect_directly(destination).await {
                Err(_) if destination.endpoint.is_some() && self.reach.may_ask_peer(destination.address) => {
                    self.connect_by_tunnel(destination).await.map_err(|_| ExchangeFailure::Unsent)
                }
                result => result,
            },
            Path::Tunnel => self.connect_by_tunnel(destination).await.map_err(|_| ExchangeFailure::Unsent),
        }
    }

    /// Opens a connection of this instance's own.
    pub(crate) async fn connect_directly(
        &self,
        destination: &Destination,
    ) -> Result<Connection, ExchangeFailure> {
        let reach = destination.endpoint.as_ref().map(|_| Rc::clone(&self.reach));
        if let Some(reach) = &reach {
            reach.count_connection(Cause::Request);
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, sockets::connect(destination.address));
        if let Ok(Ok(stream)) = connecting.await {
            return shake_hands(stream, destination.address, Via::Direct, reach).await;
        }
        if let Some(reach) = reach {
            reach.record_failure(destination.address);
        }
        Err(ExchangeFailure::Unsent)
    }

    /// Opens a connection of this instance's own for a check that goes on until then. An attempt that nothing answered is
    /// repeated: it costs the endpoint nothing, and a lost SYN packet is retransmitted ever more slowly.
    pub(crate) async fn connect_until(
        &self,
        destination: &Destination,
        until: Instant,
    ) -> Result<Connection, ExchangeFailure> {
        let mut timeout = CONNECT_TIMEOUT;
        loop {
            self.reach.count_connection(Cause::Check);
            let end = until.min(Instant::now() + timeout);
            match tokio::time::timeout_at(end.into(), sockets::connect(destination.address)).await {
                Ok(Ok(stream)) => {
                    let reach = Some(Rc::clone(&self.reach));
                    return shake_hands(stream, destination.address, Via::Direct, reach).await;
                }
                Err(_) if end < until => self.reach.record_failure(destination.address),
                Ok(Err(_)) | Err(_) => {
                    self.reach.record_failure(destination.address);
                    return Err(ExchangeFailure::Unsent);
                }
            }
            timeout = RECONNECT_TIMEOUT;
        }
    }

    /// Opens a connection through any peer. It counts as a check of the endpoint's link.
    async fn connect_by_tunnel(&self, destination: &Destination) -> Result<Connection, TunnelFailure> {
        let endpoint = destination.endpoint.as_deref().ok_or(TunnelFailure::NoPeer)?;
        let began = Instant::now();
        match tunnels::open(&self.reach, endpoint).await {
            Ok(stream) => {
                self.reach.record_check(began, destination.address, CheckResult::Tunnel);
                let via = Via::Peer(stream.peer());
                let connection = shake_hands(stream, destination.address, via, None).await;
                connection.map_err(|_| TunnelFailure::NoPeer)
            }
            Err(TunnelFailure::NoPeer) if self.reach.is_lost(destination.address) => {
                Err(TunnelFailure::NoPeer)
            }
            Err(failure) => {
                self.reach.record_check(began, destination.address, CheckResult::Neither);
                Err(failure)
            }
        }
    }

    /// Opens a connection through this peer.
    pub(crate) async fn connect_through(
        &self,
        destination: &Destination,
        peer: SocketAddr,
    ) -> Result<Connection, ExchangeFailure> {
        let endpoint = destination.endpoint.as_deref().ok_or(ExchangeFailure::Unsent)?;
        let opened = tunnels::open_through(&self.reach, endpoint, peer).await;
        let stream = opened.map_err(|_| ExchangeFailure::Unsent)?;
        shake_hands(stream, destination.address, Via::Peer(peer), None).await
    }

    /// What is known of the ways to endpoints.
    pub(crate) fn reach(&self) -> &Rc<Reach> {
        &self.reach
    }

    /// An idle connection over this path. Those over the other one are closed: the link was lost or is back.
    fn take(&self, address: SocketAddr, path: Path) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let is_fresh = connection.idle_since.elapsed() < connection.keep_alive;
            let fits = match (connection.via, path) {
                (Via::Direct, Path::Direct) => true,
                (Via::Peer(peer), Path::Tunnel) => self.reach.peers().is_usable(Instant::now(), peer),
                (Via::Direct | Via::Peer(_), _) => false,
            };
            if fits && is_fresh && connection.sender.is_ready() && !connection.sender.is_closed() {
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

    /// Closes the idle connections to an address. They may be dead, and the next request opens a new one.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
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

/// Begins to speak HTTP on a stream.
async fn shake_hands(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    address: SocketAddr,
    via: Via,
    reach: Option<Rc<Reach>>,
) -> Result<Connection, ExchangeFailure> {
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
        via,
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
