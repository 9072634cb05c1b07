//! Listeners: callers, readiness, metrics.

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
use tokio::sync::watch;

use crate::accept::accept;
use crate::body::Unread;
use crate::node::{Node, Phase};
use crate::requests;

/// Idle time of callers' connections before any version is known.
const IDLE: Duration = Duration::from_secs(15);
/// Added to the configured idle time, so that a caller that uses nearly all of it meets an open connection.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// Time that a caller has for its request if it connects while the instance closes idle connections.
const LATE: Duration = Duration::from_millis(500);
/// Largest head that is read, in bytes, before any version is known; also the least that the library allows.
const HEAD: usize = 16 * 1024;

/// Accepts callers for as long as the process runs.
pub(crate) async fn callers(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&node, &listener).await;
        tokio::task::spawn_local(connection(Rc::clone(&node), stream));
    }
}

async fn connection(node: Rc<Node>, stream: TcpStream) {
    // Events of a stream go out as they come; a failure only costs latency.
    let _ = stream.set_nodelay(true);
    let (idle, head) = {
        let state = node.state.borrow();
        let limits = state.routes.as_ref().map(|r| r.limits);
        limits.map_or((IDLE, HEAD), |l| (l.idle + IDLE_SLACK, l.head.max(HEAD)))
    };
    // Who comes this late gets one answer, which announces the end of the connection.
    let late = node.phase() >= Phase::Closing;
    let idle = if late { LATE } else { idle };
    let unread = Rc::new(Unread::default());
    let service = service_fn(|request| requests::serve(Rc::clone(&node), request, Rc::clone(&unread)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = closing(node.phase.subscribe());
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
        () = unread.overdue() => None,
    };
    node.connections.set(node.connections.get() - 1);
    match result {
        Some(Ok(())) => {}
        Some(Err(error)) => debug!(node.log, "caller's connection"; "error" => %error),
        None => info!(node.log, "caller's connection closed"; "cause" => "its answer was not read"),
    }
}

/// Waits until idle connections are to be closed.
///
/// A function of its own because what `wait_for` gives back holds a lock on the phase. Kept while a connection ends, it
/// blocked the whole process at the next change of phase: streams in progress froze until the process was killed.
async fn closing(mut phase: watch::Receiver<Phase>) {
    // An error means that the process is ending, which closes connections as well.
    let _ = phase.wait_for(|p| *p >= Phase::Closing).await;
}

/// Answers the balancer's question for readiness.
pub(crate) async fn readiness(node: Rc<Node>, listener: TcpListener) {
    serve(Rc::clone(&node), listener, move |request| {
        if !node.protocol.is_ready_path(request.uri().path()) {
            return page(StatusCode::NOT_FOUND, Bytes::new());
        }
        let status = if node.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        page(status, Bytes::new())
    })
    .await;
}

/// Serves metrics.
pub(crate) async fn metrics(node: Rc<Node>, address: SocketAddr) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            // Callers are served without metrics rather than not at all.
            warn!(node.log, "no metrics"; "address" => %address, "error" => %error);
            return;
        }
    };
    serve(Rc::clone(&node), listener, move |_| {
        node.metrics.held.set(node.state.borrow().memory.held() as i64);
        match node.metrics.render() {
            Ok(text) => page(StatusCode::OK, Bytes::from(text)),
            Err(error) => page(StatusCode::INTERNAL_SERVER_ERROR, Bytes::from(error.to_string())),
        }
    })
    .await;
}

fn page(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

async fn serve(
    node: Rc<Node>,
    listener: TcpListener,
    answer: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + 'static,
) {
    loop {
        let stream = accept(&node, &listener).await;
        let (node, answer) = (Rc::clone(&node), answer.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let response = answer(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!(node.log, "operator's connection"; "error" => %error);
            }
        });
    }
}
