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
use slog::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream};

use crate::accept::accept;
use crate::body::CallerConnection;
use crate::caller_stream::CallerStream;
use crate::node::Node;
use crate::phase::{self, Phase};
use crate::requests;

/// Idle timeout of callers' connections before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Added to the configured idle timeout, so that a caller that uses nearly all of it finds its connection
/// open.
const IDLE_TIMEOUT_SLACK: Duration = Duration::from_secs(1);
/// Time in which a caller must send its request if it connects while the instance closes idle connections.
const LATE_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest request head in bytes before a configuration is known; also the least that the library allows.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;

/// Accepts callers until the process ends.
pub(crate) async fn callers(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&node, &listener).await;
        tokio::task::spawn_local(connection(Rc::clone(&node), stream));
    }
}

async fn connection(node: Rc<Node>, stream: TcpStream) {
    // Sends events of a stream without delay; a failure only costs latency.
    let _ = stream.set_nodelay(true);
    let (idle, head) = {
        let state = node.state.borrow();
        let limits = state.routes.as_ref().map(|r| r.limits);
        limits.map_or((DEFAULT_IDLE_TIMEOUT, DEFAULT_HEAD_BYTES), |l| {
            (l.idle + IDLE_TIMEOUT_SLACK, l.head.max(DEFAULT_HEAD_BYTES))
        })
    };
    // A caller that connects this late gets one response, which announces that the connection closes.
    let late = node.phase() >= Phase::Closing;
    let idle = if late { LATE_REQUEST_TIMEOUT } else { idle };
    let state = Rc::new(CallerConnection::default());
    let service = service_fn(|request| requests::serve(Rc::clone(&node), request, Rc::clone(&state)));
    let stream = CallerStream::new(stream, Rc::clone(&state));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = phase::reached(node.phase.subscribe(), Phase::Closing);
    node.connections.set(node.connections.get() + 1);
    let served = async {
        tokio::select! {
            result = connection.as_mut() => result,
            () = closing, if !late => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let result = tokio::select! {
        result = served => Some(result),
        () = state.overdue() => None,
    };
    node.connections.set(node.connections.get() - 1);
    match result {
        Some(Ok(())) => {}
        Some(Err(error)) => debug!(node.log, "caller connection failed"; "error" => %error),
        None => info!(node.log, "caller connection closed"; "cause" => "response not read in time"),
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
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!(node.log, "readiness or metrics connection failed"; "error" => %error);
            }
        });
    }
}
