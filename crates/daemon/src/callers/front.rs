//! The HTTP server for callers, and the limits on the resources that callers can use.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use poem::error::ReadBodyError;
use poem::http::Version;
use poem::{Body, EndpointExt, Request, Response, Route, Server, get, post};
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_settings::Limits;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use super::answer::RefusalResponse;
use super::headers::stated_deadline;
use super::in_progress::{InProgress, Passage};
use super::{openai, services};
use crate::acceptor::{AbortHandle, BoundedAcceptor, OpenConnections};
use crate::control::Control;
use crate::engines::Engines;
use crate::metrics::Metrics;

/// Time that open connections have to close after the last response of a graceful shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// `Retry-After` delay of an instance that has reached its limit of requests in progress.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// State that the HTTP handlers share.
#[derive(Debug, Clone)]
pub(crate) struct CallerApi {
    pub(crate) control: Control,
    pub(crate) engines: Engines,
    pub(crate) limits: Limits,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) in_progress: InProgress,
    /// One permit for each request that may be in progress.
    permits: Arc<Semaphore>,
    connections: OpenConnections,
}

impl CallerApi {
    pub(crate) fn new(
        control: Control,
        engines: Engines,
        limits: Limits,
        metrics: Arc<Metrics>,
        in_progress: InProgress,
    ) -> Self {
        let permits = Arc::new(Semaphore::new(limits.requests));
        let connections = OpenConnections::default();
        Self { control, engines, limits, metrics, in_progress, permits, connections }
    }

    /// Acquires a permit for a request in progress.
    pub(crate) fn acquire_permit(&self) -> Result<OwnedSemaphorePermit, RefusalResponse> {
        let permit = Arc::clone(&self.permits).try_acquire_owned();
        permit.map_err(|_| {
            RefusalResponse::of(Refusal::retryable(ErrorKind::Overloaded, OVERLOAD_RETRY_DELAY), None)
        })
    }

    /// Ends the connection of a request in the middle of the response.
    pub(crate) fn abort_handle(&self, request: &Request) -> AbortHandle {
        self.connections.handle(request.remote_addr().as_socket_addr())
    }

    /// Answers a request by the work of its handler, and at its deadline in any case.
    pub(crate) async fn answer<F>(&self, request: &Request, work: impl FnOnce(Passage) -> F) -> Response
    where
        F: Future<Output = Result<Response, RefusalResponse>>,
    {
        if request.version() > Version::HTTP_11 {
            // A response that fails ends its connection, and other requests would share it.
            let refusal = RefusalResponse::new(ErrorKind::Invalid, "HTTP/2 is not served, use HTTP/1.1");
            return refusal.into_response();
        }
        let allowed = match stated_deadline(request.headers()) {
            Ok(stated) => stated.unwrap_or(Duration::from_millis(self.limits.deadline_ms)),
            Err(refusal) => return refusal.into_response(),
        };
        self.abort_handle(request).limit_writes(Instant::now() + allowed);
        self.in_progress.answer(allowed, work).await
    }

    /// Reads the complete body, within the limits on its size and on the time to receive it.
    ///
    /// Without the time limit, a caller that sends a part of a request and stops would keep its permit
    /// forever.
    pub(crate) async fn read_body(&self, body: Body) -> Result<Bytes, RefusalResponse> {
        let limit = self.limits.body;
        let read = body.into_bytes_limit(limit);
        match tokio::time::timeout(Duration::from_millis(self.limits.receive_ms), read).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(ReadBodyError::PayloadTooLarge)) => {
                Err(RefusalResponse::new(ErrorKind::TooLarge, format!("at most {limit} bytes")))
            }
            Ok(Err(error)) => Err(RefusalResponse::new(ErrorKind::Incomplete, error.to_string())),
            Err(_) => Err(RefusalResponse::of(Refusal::new(ErrorKind::Incomplete), None)),
        }
    }
}

/// Serves callers until `api.control` has stopped or the process is about to exit, then lets open connections end.
pub(crate) async fn serve(listener: TcpListener, api: CallerApi) -> std::io::Result<()> {
    let idle = Duration::from_millis(api.limits.idle_ms);
    let acceptor = BoundedAcceptor::new(listener, api.limits.connections, api.connections.clone());
    let (control, in_progress) = (api.control.clone(), api.in_progress.clone());
    let route = Route::new()
        .at("/v1/completions", post(openai::complete))
        .at("/v1/chat/completions", post(openai::chat))
        .at("/v1/models", get(openai::models))
        .at("/services/:service/*path", services::call)
        .catch_all_error(|error: poem::Error| async move { unmatched_route(&error) })
        .data(api);
    let stopped = async move {
        tokio::select! {
            () = control.stopped() => {}
            () = in_progress.process_ends() => {}
        }
    };
    Server::new_with_acceptor(acceptor)
        .idle_timeout(idle)
        .run_with_graceful_shutdown(route, stopped, Some(CLOSE_TIMEOUT))
        .await
}

fn unmatched_route(error: &poem::Error) -> Response {
    let status = error.status();
    let kind = if status.as_u16() == 404 { ErrorKind::UnknownService } else { ErrorKind::Invalid };
    let mut response = RefusalResponse::new(kind, error.to_string()).into_response();
    response.set_status(status);
    response
}
