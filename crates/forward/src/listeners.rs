//! Listeners for callers, the readiness check and metrics.

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
use tokio::net::TcpListener;

use crate::accept::accept;
use crate::caller_connection;
use crate::caller_limits::CallerLimits;
use crate::node::Node;
use crate::shedding;

/// Idle timeout of connections of the balancer and of operators.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Accepts callers until the process ends.
pub(crate) async fn callers(node: Rc<Node>, listener: TcpListener) {
    let limits = Rc::new(CallerLimits::new(Rc::clone(&node)));
    loop {
        let stream = accept(&node, &listener).await;
        if !shedding::keeps_new(&node) {
            continue;
        }
        let (accepted, node, limits) = (node.now(), Rc::clone(&node), Rc::clone(&limits));
        tokio::task::spawn_local(async move {
            if shedding::reads_waiting(&node, accepted) {
                caller_connection::run(node, limits, stream).await;
            }
        });
    }
}

/// Serves the readiness check of the balancer.
pub(crate) async fn readiness(node: Rc<Node>, listener: TcpListener) {
    serve_internal(Rc::clone(&node), listener, move |request| {
        if !node.protocol.is_ready_path(request.uri().path()) {
            return plain_response(StatusCode::NOT_FOUND, Bytes::new());
        }
        let status = if node.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        plain_response(status, Bytes::new())
    })
    .await;
}

pub(crate) async fn metrics(node: Rc<Node>, address: SocketAddr) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            // Without metrics the instance still serves callers.
            warn!(node.log, "cannot listen for metrics"; "address" => %address, "error" => %error);
            return;
        }
    };
    serve_internal(Rc::clone(&node), listener, move |_| {
        node.metrics.buffered_bytes.set(node.state.borrow().memory.held() as i64);
        if let Some(age) = node.list_age() {
            node.metrics.store_age.set(age.as_millis() as i64);
        }
        match node.metrics.render() {
            Ok(text) => plain_response(StatusCode::OK, Bytes::from(text)),
            Err(error) => plain_response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::from(error.to_string())),
        }
    })
    .await;
}

fn plain_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

async fn serve_internal(
    node: Rc<Node>,
    listener: TcpListener,
    respond: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + 'static,
) {
    loop {
        let stream = accept(&node, &listener).await;
        let (node, respond) = (Rc::clone(&node), respond.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let response = respond(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!(node.log, "readiness or metrics connection failed"; "error" => %error);
            }
        });
    }
}
