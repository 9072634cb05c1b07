//! The listener at which peers of the failure domain ask for copies of the list.

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
use super::snapshots::{COPY, PATH};
use crate::accept::accept;
use crate::node::Node;

/// Copies that are given at a time; one takes a part of a second on a slow link, and whoever has one gives it on.
const GIVEN: u32 = 3;
/// Idle time of a peer's connection.
const IDLE: Duration = Duration::from_secs(4);

/// Gives copies to peers for as long as the process runs.
pub(crate) async fn give_copies(catalog: Rc<Catalog>, node: Rc<Node>, port: u16) {
    let own = SocketAddr::new(node.settings.callers_address.ip(), port);
    let listener = match TcpListener::bind(own).await {
        Ok(listener) => listener,
        Err(error) => {
            // Peers read the store, or copy from others.
            warn!(node.log, "no copies for peers"; "address" => %own, "error" => %error);
            return;
        }
    };
    let given = Rc::new(Cell::new(0));
    loop {
        let stream = accept(&node, &listener).await;
        let (catalog, given) = (Rc::clone(&catalog), Rc::clone(&given));
        tokio::task::spawn_local(connection(catalog, Rc::clone(&node), given, stream));
    }
}

/// A copy on its way; dropping it makes room for another.
struct Given(Rc<Cell<u32>>);

impl Given {
    fn begin(given: &Rc<Cell<u32>>) -> Option<Self> {
        if given.get() >= GIVEN {
            return None;
        }
        given.set(given.get() + 1);
        Some(Self(Rc::clone(given)))
    }
}

impl Drop for Given {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn connection(catalog: Rc<Catalog>, node: Rc<Node>, given: Rc<Cell<u32>>, stream: TcpStream) {
    // Held until the connection has no more to write.
    let on_way = Rc::new(Cell::new(None));
    let service = service_fn(|request: Request<Incoming>| {
        let answer = answer(&catalog, &node, &request, &given, &on_way);
        async move { Ok::<_, Infallible>(answer) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::time::timeout(COPY * 2, connection).await;
    if !matches!(served, Ok(Ok(()))) {
        debug!(node.log, "a copy was not taken");
    }
}

fn answer(
    catalog: &Catalog,
    node: &Node,
    request: &Request<Incoming>,
    given: &Rc<Cell<u32>>,
    on_way: &Cell<Option<Given>>,
) -> Response<Full<Bytes>> {
    let asked = request.uri().path().strip_prefix(PATH).and_then(|rest| rest.split_once('/'));
    let Some((domain, since)) = asked else { return empty(StatusCode::NOT_FOUND) };
    if domain.parse() != Ok(tag(&node.settings.domain)) {
        return empty(StatusCode::NOT_FOUND);
    }
    let Some(room) = Given::begin(given) else { return empty(StatusCode::TOO_MANY_REQUESTS) };
    let Some(copy) = catalog.give(since.parse().ok()) else { return empty(StatusCode::SERVICE_UNAVAILABLE) };
    on_way.set(Some(room));
    Response::new(Full::new(Bytes::from(copy)))
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
