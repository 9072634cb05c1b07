//! Listener that serves snapshots of the list to peers of the failure domain.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, warn};
use teaselshunt_routing::tag;
use tokio::net::{TcpListener, TcpStream};

use super::Catalog;
use super::snapshots::{SNAPSHOT_PATH, TRANSFER_TIMEOUT};
use crate::accept::accept;
use crate::node::Node;

/// Snapshots served at a time. A transfer takes a fraction of a second on a slow link, and each recipient
/// becomes a snapshot source.
const MAX_TRANSFERS: u32 = 3;
/// Idle timeout of a peer's connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Serves snapshots to peers until the process ends.
pub(crate) async fn serve_snapshots(catalog: Rc<Catalog>, node: Rc<Node>, port: u16) {
    let own = SocketAddr::new(node.settings.callers_address.ip(), port);
    let listener = match TcpListener::bind(own).await {
        Ok(listener) => listener,
        Err(error) => {
            // Peers list the store, or fetch snapshots from others.
            warn!(node.log, "cannot listen for snapshot requests"; "address" => %own, "error" => %error);
            return;
        }
    };
    let transfers = Rc::new(Cell::new(0));
    loop {
        let stream = accept(&node, &listener).await;
        let (catalog, transfers) = (Rc::clone(&catalog), Rc::clone(&transfers));
        tokio::task::spawn_local(connection(catalog, Rc::clone(&node), transfers, stream));
    }
}

/// A snapshot that is being sent; dropping it allows another one.
struct Transfer(Rc<Cell<u32>>);

impl Transfer {
    fn begin(transfers: &Rc<Cell<u32>>) -> Option<Self> {
        if transfers.get() >= MAX_TRANSFERS {
            return None;
        }
        transfers.set(transfers.get() + 1);
        Some(Self(Rc::clone(transfers)))
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn connection(catalog: Rc<Catalog>, node: Rc<Node>, transfers: Rc<Cell<u32>>, stream: TcpStream) {
    // Held until the connection has written the complete snapshot.
    let current_transfer = Rc::new(Cell::new(None));
    let service = service_fn(|request: Request<Incoming>| {
        let response = respond(&catalog, &node, &request, &transfers, &current_transfer);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::time::timeout(TRANSFER_TIMEOUT * 2, connection).await;
    if !matches!(served, Ok(Ok(()))) {
        debug!(node.log, "snapshot transfer failed");
    }
}

fn respond(
    catalog: &Catalog,
    node: &Node,
    request: &Request<Incoming>,
    transfers: &Rc<Cell<u32>>,
    current_transfer: &Cell<Option<Transfer>>,
) -> Response<Full<Bytes>> {
    let parameters = request.uri().path().strip_prefix(SNAPSHOT_PATH).and_then(|rest| rest.split_once('/'));
    let Some((domain, since)) = parameters else { return empty_response(StatusCode::NOT_FOUND) };
    if domain.parse() != Ok(tag(&node.settings.domain)) {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let Some(transfer) = Transfer::begin(transfers) else {
        return empty_response(StatusCode::TOO_MANY_REQUESTS);
    };
    let Some(snapshot) = catalog.encode_snapshot(since.parse().ok()) else {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    current_transfer.set(Some(transfer));
    Response::new(Full::new(Bytes::from(snapshot)))
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
