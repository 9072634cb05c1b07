//! Opens tunnels to endpoints for peers.
//!
//! A tunnel leads to an endpoint that this instance lists, over a connection of this instance's own, never through
//! another peer. It carries bytes: who may send what is decided by the instance at its other end, which keeps the
//! request. Of a tunnel whose endpoint's connection breaks nothing marks the end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, UPGRADE};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use slog::debug;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::node::Node;
use crate::phase::Phase;
use crate::reach::{self, Cause, Reach};
use crate::sockets;
use crate::tunnels::{RECORD_BYTES_MAX, RECORD_HEAD_BYTES, TUNNEL_PROTOCOL, UNREACHABLE_STATUS};

/// Longest time to connect to an endpoint for a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time for an endpoint's answer to this instance, where that has heard from none lately.
const CHECK_TIMEOUT: Duration = Duration::from_millis(80);
/// Time for the other end to close a tunnel whose endpoint has closed its connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Memory of a tunnel: its buffers in this process and in the kernel.
const TUNNEL_BYTES: u64 = 32 * 1024;
/// Fraction of the process's memory for tunnels.
const MEMORY_FRACTION: f64 = 0.1;
/// Most tunnels, whatever the memory: each takes two descriptors, and callers need some too.
const TUNNELS_MAX: usize = 512;

/// Why a peer gets no tunnel.
#[derive(Debug, Clone, Copy)]
enum Decline {
    /// This instance does not list the endpoint.
    Unknown,
    /// It has as many tunnels as it can carry, opens none, or is stopping.
    Full,
    /// It cannot reach the endpoint, and its own links may be the cause.
    InDoubt,
    /// It cannot reach the endpoint, although its links are sound.
    Unreachable,
}

impl Decline {
    const fn status(self) -> StatusCode {
        match self {
            Self::Unknown => StatusCode::NOT_FOUND,
            Self::Full | Self::InDoubt => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unreachable => UNREACHABLE_STATUS,
        }
    }

    const fn text(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Full => "full",
            Self::InDoubt => "in_doubt",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Counts a tunnel until it is dropped.
struct OpenTunnel(Rc<Node>);

impl OpenTunnel {
    fn begin(node: &Rc<Node>) -> Option<Self> {
        let most = (node.settings.memory_bytes as f64 * MEMORY_FRACTION) as u64 / TUNNEL_BYTES;
        let tunnels: &Cell<usize> = &node.tunnels;
        if tunnels.get() as u64 >= most || tunnels.get() >= TUNNELS_MAX {
            return None;
        }
        tunnels.set(tunnels.get() + 1);
        node.metrics.links.tunnels.set(tunnels.get() as i64);
        Some(Self(Rc::clone(node)))
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.0.tunnels.set(self.0.tunnels.get() - 1);
        self.0.metrics.links.tunnels.set(self.0.tunnels.get() as i64);
    }
}

/// Responds to a peer's request for a tunnel to the endpoint with this id.
pub(crate) async fn respond(node: &Rc<Node>, id: &str, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    match open(node, id).await {
        Ok((endpoint, tunnel)) => {
            node.metrics.count_step("tunnel", "opened");
            *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("upgrade"));
            response.headers_mut().insert(UPGRADE, TUNNEL_PROTOCOL);
            tokio::task::spawn_local(run(request, endpoint, tunnel));
        }
        Err(decline) => {
            node.metrics.count_step("tunnel", decline.text());
            debug!(node.log, "tunnel declined"; "endpoint" => id, "cause" => decline.text());
            *response.status_mut() = decline.status();
        }
    }
    response
}

/// Connects to the endpoint.
async fn open(node: &Rc<Node>, id: &str) -> Result<(TcpStream, OpenTunnel), Decline> {
    if !node.settings.tunnels || node.phase() >= Phase::Closing {
        return Err(Decline::Full);
    }
    let address: SocketAddr = {
        let state = node.state.borrow();
        let key = state.endpoints.key_of(id).ok_or(Decline::Unknown)?;
        state.endpoints.get(key).ok_or(Decline::Unknown)?.address
    };
    let tunnel = OpenTunnel::begin(node).ok_or(Decline::Full)?;
    let reach = node.pool.reach();
    let (is_lost, mut is_sound) = (reach.is_lost(address), reach.is_sound(node.now()));
    // An instance without traffic of its own may have lost its links unnoticed.
    let is_trusted = is_sound && !is_lost && reach.has_heard_lately(node.now());
    if !is_trusted && !reach::answers_soon(node, address, CHECK_TIMEOUT).await {
        // Peers reach an endpoint whose link is lost.
        is_sound = !is_lost && reach::others_answer_soon(node, address, CHECK_TIMEOUT).await;
    } else {
        reach.count_connection(Cause::Tunnel);
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, sockets::connect(address));
        if let Ok(Ok(endpoint)) = connecting.await {
            return Ok((endpoint, tunnel));
        }
        reach.record_failure(address);
    }
    Err(if is_sound { Decline::Unreachable } else { Decline::InDoubt })
}

async fn run(request: Request<Incoming>, endpoint: TcpStream, tunnel: OpenTunnel) {
    let node = &tunnel.0;
    match hyper::upgrade::on(request).await {
        Ok(upgraded) => join(node.pool.reach(), TokioIo::new(upgraded), endpoint).await,
        Err(error) => debug!(node.log, "tunnel not taken"; "error" => %error),
    }
}

/// Passes bytes in both directions until either end closes.
async fn join(reach: &Reach, peer: impl AsyncRead + AsyncWrite, mut endpoint: TcpStream) {
    // A connection that has ended already has no address.
    let Ok(address) = endpoint.peer_addr() else { return };
    let (mut peer_reader, mut peer_writer) = tokio::io::split(peer);
    let (mut endpoint_reader, mut endpoint_writer) = endpoint.split();
    // An instance closes its end only if it needs nothing more of the endpoint.
    let mut requests =
        std::pin::pin!(pass_requests(&mut peer_reader, &mut endpoint_writer, || reach.record_send(address)));
    let opened = Instant::now();
    let responses = pass_records(&mut endpoint_reader, &mut peer_writer, || {
        reach.record_bytes(address, opened);
    });
    tokio::select! {
        _ = &mut requests => {}
        ended = responses => {
            if ended.is_ok() {
                // Without the instance's close the response may still be on its way when this end closes.
                let _ = tokio::time::timeout(CLOSE_TIMEOUT, requests).await;
            }
        }
    }
}

/// Passes the bytes of an instance on to the endpoint.
async fn pass_requests(
    peer: &mut (impl AsyncRead + Unpin),
    endpoint: &mut (impl AsyncWrite + Unpin),
    record: impl Fn(),
) -> std::io::Result<()> {
    let mut buffer = vec![0; RECORD_BYTES_MAX];
    loop {
        let length = peer.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        record();
        endpoint.write_all(&buffer[..length]).await?;
    }
}

/// Passes the bytes of an endpoint on as records, up to the one that marks the end.
async fn pass_records(
    endpoint: &mut (impl AsyncRead + Unpin),
    peer: &mut (impl AsyncWrite + Unpin),
    record_bytes: impl Fn(),
) -> std::io::Result<()> {
    let mut record = vec![0; RECORD_HEAD_BYTES + RECORD_BYTES_MAX];
    loop {
        let length = endpoint.read(&mut record[RECORD_HEAD_BYTES..]).await?;
        let head = u16::try_from(length).map_err(std::io::Error::other)?;
        record[..RECORD_HEAD_BYTES].copy_from_slice(&head.to_be_bytes());
        peer.write_all(&record[..RECORD_HEAD_BYTES + length]).await?;
        peer.flush().await?;
        if length == 0 {
            return Ok(());
        }
        record_bytes();
    }
}
