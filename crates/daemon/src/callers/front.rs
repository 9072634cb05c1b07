//! The listener itself, and the bounds on what a caller can take.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use poem::error::ReadBodyError;
use poem::{Body, EndpointExt, Response, Route, Server, get, post};
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_settings::Limits;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::answer::Rejection;
use super::{openai, services};
use crate::acceptor::Bounded;
use crate::control::Control;
use crate::engines::Engines;
use crate::metrics::Metrics;

/// How long open connections have after the last answer of a planned stop.
const CLOSE: Duration = Duration::from_secs(2);
/// When to come back to an instance that has all the requests that it may have.
const FULL: Duration = Duration::from_secs(1);

/// What handlers need.
#[derive(Debug, Clone)]
pub(crate) struct Front {
    pub(crate) control: Control,
    pub(crate) engines: Engines,
    pub(crate) limits: Limits,
    pub(crate) metrics: Arc<Metrics>,
    places: Arc<Semaphore>,
}

impl Front {
    pub(crate) fn new(control: Control, engines: Engines, limits: Limits, metrics: Arc<Metrics>) -> Self {
        let places = Arc::new(Semaphore::new(limits.requests));
        Self { control, engines, limits, metrics, places }
    }

    /// A place among the requests in progress.
    pub(crate) fn place(&self) -> Result<OwnedSemaphorePermit, Rejection> {
        let place = Arc::clone(&self.places).try_acquire_owned();
        place.map_err(|_| Rejection::of(Refusal::retryable(ErrorKind::Overloaded, FULL), None))
    }

    pub(crate) fn deadline(&self) -> Duration {
        Duration::from_millis(self.limits.deadline_ms)
    }

    /// The whole body, within its bounds.
    ///
    /// A caller that sends half a request and stops would otherwise keep its place for ever.
    pub(crate) async fn body(&self, body: Body) -> Result<Bytes, Rejection> {
        let limit = self.limits.body;
        let read = body.into_bytes_limit(limit);
        match tokio::time::timeout(Duration::from_millis(self.limits.receive_ms), read).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(ReadBodyError::PayloadTooLarge)) => {
                Err(Rejection::new(ErrorKind::TooLarge, format!("at most {limit} bytes")))
            }
            Ok(Err(error)) => Err(Rejection::new(ErrorKind::Incomplete, error.to_string())),
            Err(_) => Err(Rejection::of(Refusal::new(ErrorKind::Incomplete), None)),
        }
    }
}

/// Serves callers until `front.control` has stopped, then lets open connections end.
pub(crate) async fn serve(listener: TcpListener, front: Front) -> std::io::Result<()> {
    let idle = Duration::from_millis(front.limits.idle_ms);
    let acceptor = Bounded::new(listener, front.limits.connections);
    let control = front.control.clone();
    let route = Route::new()
        .at("/v1/completions", post(openai::complete))
        .at("/v1/chat/completions", post(openai::chat))
        .at("/v1/models", get(openai::models))
        .at("/services/:service/*path", services::call)
        .catch_all_error(|error: poem::Error| async move { unmatched(&error) })
        .data(front);
    let stopped = async move { control.stopped().await };
    Server::new_with_acceptor(acceptor)
        .idle_timeout(idle)
        .run_with_graceful_shutdown(route, stopped, Some(CLOSE))
        .await
}

fn unmatched(error: &poem::Error) -> Response {
    let status = error.status();
    let kind = if status.as_u16() == 404 { ErrorKind::UnknownService } else { ErrorKind::Invalid };
    let mut response = Rejection::new(kind, error.to_string()).into_response();
    response.set_status(status);
    response
}

/// Runs a handler's work and turns a rejection into its response.
pub(crate) async fn answered(work: impl Future<Output = Result<Response, Rejection>>) -> Response {
    work.await.unwrap_or_else(Rejection::into_response)
}
