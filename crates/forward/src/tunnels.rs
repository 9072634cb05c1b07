//! Tunnels: connections to endpoints that lead through a peer.
//!
//! The peer opens the connection to the endpoint before it accepts the tunnel, so that nothing of a request has left
//! this process if a tunnel cannot be opened.
//!
//! Towards this instance the bytes of the endpoint are in records: a length of two bytes, and as many bytes. An empty
//! record says that the endpoint has closed its connection. A tunnel that ends without it is broken, whatever ended it,
//! so that a peer that dies cannot make a response look complete.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST, HeaderValue, UPGRADE};
use hyper::upgrade::Upgraded;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::reach::Reach;
use crate::sockets;

/// Path of the calls that open tunnels; the id of the endpoint follows.
pub(crate) const TUNNEL_PATH: &str = "/tunnel/";
/// Protocol of a tunnel, in the header `Upgrade`.
pub(crate) const TUNNEL_PROTOCOL: HeaderValue = HeaderValue::from_static("teaselshunt-tunnel");
/// Status of a peer that reaches other endpoints and not this one.
pub(crate) const UNREACHABLE_STATUS: StatusCode = StatusCode::BAD_GATEWAY;
/// Most bytes of a record.
pub(crate) const RECORD_BYTES_MAX: usize = 8 * 1024;
/// Length of a record's head.
pub(crate) const RECORD_HEAD_BYTES: usize = 2;

/// Longest time to open a tunnel: the peer's own attempt to connect, and some round trips.
const OPEN_TIMEOUT: Duration = Duration::from_millis(180);
/// Peers that are asked for one connection.
const PEERS_MAX: usize = 3;

/// Peers that must be unable to reach an endpoint, if there are so many: one may have lost its link to just this endpoint.
const UNREACHABLE_PEERS: usize = 2;

/// Why there is no tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TunnelFailure {
    /// Peers with sound links cannot reach the endpoint either.
    Unreachable,
    /// No peer can tell.
    NoPeer,
}

/// Opens a tunnel to an endpoint, through one peer after the other.
pub(crate) async fn open(reach: &Rc<Reach>, endpoint: &str) -> Result<TunnelStream, TunnelFailure> {
    let (mut tried, mut unreachable) = (Vec::new(), 0);
    while tried.len() < PEERS_MAX && unreachable < UNREACHABLE_PEERS {
        let Some(peer) = reach.choose_peer(&tried) else { break };
        tried.push(peer);
        match open_through(reach, endpoint, peer).await {
            Ok(stream) => return Ok(stream),
            Err(TunnelFailure::Unreachable) => unreachable += 1,
            Err(TunnelFailure::NoPeer) => {}
        }
    }
    Err(if unreachable > 0 { TunnelFailure::Unreachable } else { TunnelFailure::NoPeer })
}

/// Opens a tunnel to an endpoint through a peer.
pub(crate) async fn open_through(
    reach: &Rc<Reach>,
    endpoint: &str,
    peer: SocketAddr,
) -> Result<TunnelStream, TunnelFailure> {
    let asked = tokio::time::timeout(OPEN_TIMEOUT, ask(endpoint, peer)).await;
    match asked {
        Ok(Ok(Answer::Open(stream))) => {
            reach.peers().record_open(peer);
            Ok(TunnelStream { stream, incoming: Incoming::default(), peer, reach: Rc::clone(reach) })
        }
        Ok(Ok(Answer::Unreachable)) => Err(TunnelFailure::Unreachable),
        Ok(Ok(Answer::Declined) | Err(_)) | Err(_) => {
            reach.peers().record_failure(Instant::now(), peer);
            Err(TunnelFailure::NoPeer)
        }
    }
}

/// What a peer says to a request for a tunnel.
enum Answer {
    Open(TokioIo<Upgraded>),
    Unreachable,
    Declined,
}

async fn ask(endpoint: &str, peer: SocketAddr) -> io::Result<Answer> {
    let stream = sockets::connect(peer).await?;
    let (mut sender, connection) =
        http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        // The response, or its absence, shows how the connection ends.
        let _ = connection.with_upgrades().await;
    });
    let request = Request::get(format!("{TUNNEL_PATH}{endpoint}"))
        .header(HOST, peer.to_string())
        .header(CONNECTION, "upgrade")
        .header(UPGRADE, TUNNEL_PROTOCOL)
        .body(Empty::new())
        .map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    match response.status() {
        StatusCode::SWITCHING_PROTOCOLS => {
            let upgraded = hyper::upgrade::on(response).await.map_err(io::Error::other)?;
            Ok(Answer::Open(TokioIo::new(upgraded)))
        }
        UNREACHABLE_STATUS => Ok(Answer::Unreachable),
        _ => Ok(Answer::Declined),
    }
}

/// What comes next in a tunnel.
#[derive(Debug, Clone, Copy)]
enum Incoming {
    /// The head of a record, of which this many bytes are there.
    Head { bytes: [u8; RECORD_HEAD_BYTES], length: usize },
    /// The rest of a record, of this length.
    Record(usize),
    /// Nothing: the endpoint has closed its connection.
    Ended,
}

impl Default for Incoming {
    fn default() -> Self {
        Self::Head { bytes: [0; RECORD_HEAD_BYTES], length: 0 }
    }
}

/// A connection to an endpoint through a peer.
#[derive(Debug)]
pub(crate) struct TunnelStream {
    stream: TokioIo<Upgraded>,
    incoming: Incoming,
    peer: SocketAddr,
    reach: Rc<Reach>,
}

impl TunnelStream {
    /// The peer that opened it.
    pub(crate) const fn peer(&self) -> SocketAddr {
        self.peer
    }
}

impl Drop for TunnelStream {
    fn drop(&mut self) {
        self.reach.peers().record_end(self.peer);
    }
}

/// Reads some bytes into `buffer`; none are an error.
fn poll_some(
    stream: &mut TokioIo<Upgraded>,
    context: &mut Context<'_>,
    buffer: &mut [u8],
) -> Poll<io::Result<usize>> {
    let mut buffer = ReadBuf::new(buffer);
    ready!(Pin::new(stream).poll_read(context, &mut buffer))?;
    match buffer.filled().len() {
        0 => Poll::Ready(Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the tunnel is broken"))),
        length => Poll::Ready(Ok(length)),
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            match &mut this.incoming {
                Incoming::Head { bytes, length } => {
                    *length += ready!(poll_some(&mut this.stream, context, &mut bytes[*length..]))?;
                    if *length == RECORD_HEAD_BYTES {
                        let size = usize::from(u16::from_be_bytes(*bytes));
                        this.incoming = if size == 0 { Incoming::Ended } else { Incoming::Record(size) };
                    }
                }
                Incoming::Record(rest) => {
                    let most = buffer.remaining().min(*rest);
                    let free = buffer.initialize_unfilled_to(most);
                    let length = ready!(poll_some(&mut this.stream, context, free))?;
                    buffer.advance(length);
                    *rest -= length;
                    if *rest == 0 {
                        this.incoming = Incoming::default();
                    }
                    return Poll::Ready(Ok(()));
                }
                Incoming::Ended => return Poll::Ready(Ok(())),
            }
        }
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
