//! Listener for the connections of peers, which fetch snapshots of the list and open tunnels.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::accept::accept;
use crate::catalog::{Catalog, CurrentTransfer, SnapshotServer, TRANSFER_TIMEOUT};
use crate::node::Node;
use crate::sockets;
use crate::tunnel_listener;
use crate::tunnels::TUNNEL_PATH;

/// Idle timeout of a peer's connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Serves peers until the process ends.
pub(crate) async fn serve(catalog: Rc<Catalog>, node: Rc<Node>, port: u16) {
    let own = SocketAddr::new(node.settings.callers_address.ip(), port);
    let listener = match TcpListener::bind(own).await {
        Ok(listener) => listener,
        Err(error) => {
            // Peers list the store, or fetch snapshots and open tunnels elsewhere.
            warn!(node.log, "cannot listen for peers"; "address" => %own, "error" => %error);
            return;
        }
    };
    let snapshots = Rc::new(SnapshotServer::new(catalog));
    loop {
        let stream = accept(&node, &listener).await;
        // A tunnel of a peer that has vanished must end.
        sockets::configure(&stream);
        tokio::task::spawn_local(connection(Rc::clone(&snapshots), Rc::clone(&node), stream));
    }
}

/// Serves one call. A tunnel goes on by itself after that.
async fn connection(snapshots: Rc<SnapshotServer>, node: Rc<Node>, stream: TcpStream) {
    let current_transfer = CurrentTransfer::default();
    let service = service_fn(|request: Request<Incoming>| {
        let (node, snapshots, current) = (&node, &snapshots, &current_transfer);
        async move {
            let endpoint = request.uri().path().strip_prefix(TUNNEL_PATH).map(str::to_owned);
            Ok::<_, Infallible>(match endpoint {
                Some(id) => tunnel_listener::respond(node, &id, request).await,
                None => snapshots.respond(node, &request, current),
            })
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    let served = tokio::time::timeout(TRANSFER_TIMEOUT * 2, connection).await;
    if !matches!(served, Ok(Ok(()))) {
        debug!(node.log, "connection of a peer failed");
    }
}
