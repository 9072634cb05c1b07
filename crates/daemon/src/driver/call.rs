//! Driver of a call to a plain service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use reqwest::header::HeaderMap;
use reqwest::{Method, Response, StatusCode};
use teaselshunt_completeness::{BodyEnd, BodyMonitor, Completeness};
use teaselshunt_core::{AttemptId, Event, Refusal, RequestId, StepFailure, StoredResponse, Target};
use tokio::sync::oneshot;

use crate::callers::{Passage, Progress};
use crate::control::{Command, Session};
use crate::engines::{Engines, dispatch, retry_after};
use crate::metrics::Metrics;

/// Largest response of a service.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Maximum age of a command to call a service; an older command is not executed.
///
/// A process can be frozen between the decision and the write to the socket. When the process resumes much
/// later, other instances may have answered for the request already, so that the call must not be sent. The
/// age is checked directly before the write. The short time between the check and the write remains; only the
/// service itself can cover it, by the idempotency key that it receives.
const COMMAND_MAX_AGE: Duration = Duration::from_secs(1);

/// A service call that a caller requested.
#[derive(Debug)]
pub(crate) struct CallRequest {
    pub(crate) method: Method,
    /// Path and query after the service's name.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the caller gave an idempotency key.
    pub(crate) keyed: bool,
}

/// A service's response, received to its end.
#[derive(Debug)]
pub(crate) struct ServiceResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the response is known to be complete. If not, only the end of its connection showed that it had
    /// ended.
    pub(crate) is_complete: bool,
}

/// Response to the caller.
#[derive(Debug)]
pub(crate) enum CallOutput {
    Answered { request: Option<RequestId>, response: ServiceResponse },
    Refused { request: Option<RequestId>, refusal: Refusal },
    Replayed { request: Option<RequestId>, stored: StoredResponse },
}

/// Starts the driver of a call.
pub(crate) fn start_call(
    session: Session,
    engines: Engines,
    metrics: Arc<Metrics>,
    call: CallRequest,
    passage: &Passage,
) -> oneshot::Receiver<CallOutput> {
    let (output, receiver) = oneshot::channel();
    let progress = Arc::clone(&passage.progress);
    let driver = Driver { session, engines, metrics, call, progress, request: None };
    passage.spawn_driver(driver.run(output));
    receiver
}

struct Driver {
    session: Session,
    engines: Engines,
    metrics: Arc<Metrics>,
    call: CallRequest,
    progress: Arc<Progress>,
    request: Option<RequestId>,
}

impl Driver {
    async fn run(mut self, mut output: oneshot::Sender<CallOutput>) {
        loop {
            let command = tokio::select! {
                command = self.session.commands.recv() => command,
                () = output.closed() => None,
            };
            let request = self.request;
            let result = match command {
                None => return,
                Some(Command::Accepted(id)) => {
                    self.request = Some(id);
                    self.progress.set_request(id);
                    continue;
                }
                Some(Command::Refuse(refusal)) => CallOutput::Refused { request, refusal },
                Some(Command::Replay(stored)) => CallOutput::Replayed { request, stored },
                Some(Command::Call { attempt, target, timeout, issued }) => {
                    match self.make_call(attempt, target, (timeout, issued), &mut output).await {
                        Some(result) => result,
                        None if output.is_closed() && !self.call.keyed => return,
                        None => continue,
                    }
                }
                Some(
                    Command::Prefill { .. }
                    | Command::Import { .. }
                    | Command::Decode { .. }
                    | Command::Continue,
                ) => {
                    unreachable!("a call is never a generation")
                }
            };
            self.session.close();
            // Sending fails if the caller has disconnected meanwhile; the core knows the outcome.
            let _ = output.send(result);
            return;
        }
    }

    /// Makes the call. `None` if the call failed, which is reported to the core, or if the caller has
    /// disconnected.
    async fn make_call(
        &mut self,
        attempt: AttemptId,
        target: Target,
        (timeout, issued): (Duration, Instant),
        output: &mut oneshot::Sender<CallOutput>,
    ) -> Option<CallOutput> {
        let call = self.send(target, timeout, issued);
        let result = if self.call.keyed {
            // The call cannot be revoked, and a retry of the caller gets the response by the key. The call
            // therefore runs to its end even if the caller disconnects.
            call.await
        } else {
            tokio::select! {
                result = call => result,
                () = output.closed() => return None,
            }
        };
        match result {
            Ok(response) => {
                let stored = stored_response(&response);
                let retry_after = retry_after(response.status, &response.headers);
                self.session.send(Event::Called { attempt, retry_after, stored });
                Some(CallOutput::Answered { request: self.request, response })
            }
            Err(failure) => {
                self.session.send(Event::Failed { attempt, failure, offset: 0 });
                None
            }
        }
    }

    /// Sends the call and reads the complete response before any of it is passed on, so that a caller never
    /// takes a truncated response for a complete one.
    async fn send(
        &self,
        target: Target,
        timeout: Duration,
        issued: Instant,
    ) -> Result<ServiceResponse, StepFailure> {
        let url = format!("http://{}/{}", target.address, self.call.path);
        let call = self
            .engines
            .client()
            .request(self.call.method.clone(), url)
            .headers(self.call.headers.clone())
            .body(self.call.body.clone())
            .timeout(timeout);
        if self.session.now().duration_since(issued) > COMMAND_MAX_AGE {
            return Err(StepFailure::NotSent);
        }
        if !self.progress.begin_step() {
            return Err(StepFailure::NotSent);
        }
        let response = dispatch(call).await;
        self.progress.end_step(response.as_ref().is_err_and(|failure| failure.not_started()));
        let response = response?;
        read_response(&self.call.method, response, &self.metrics).await
    }
}

async fn read_response(
    method: &Method,
    mut response: Response,
    metrics: &Metrics,
) -> Result<ServiceResponse, StepFailure> {
    let (status, headers) = (response.status(), response.headers().clone());
    let mut monitor = BodyMonitor::new(method, status, &headers);
    let mut body = Vec::new();
    let end = loop {
        match response.chunk().await {
            Ok(Some(chunk)) if body.len() + chunk.len() <= MAX_RESPONSE_BYTES => {
                monitor.push(&chunk);
                body.extend_from_slice(&chunk);
            }
            Ok(Some(_)) => return Err(StepFailure::Broken),
            Ok(None) => break BodyEnd::Ended,
            Err(error) if error.is_timeout() => return Err(StepFailure::TimedOut),
            Err(_) => break BodyEnd::Failed,
        }
    };
    let completeness = monitor.completeness(end);
    metrics.count_response_end(monitor.framing(), completeness);
    let is_complete = match completeness {
        Completeness::Complete => true,
        Completeness::Unknown => false,
        Completeness::Truncated(_) => return Err(StepFailure::Broken),
    };
    Ok(ServiceResponse { status, headers, body: Bytes::from(body), is_complete })
}

/// The response to keep for retries with its idempotency key. One that may be truncated is not kept.
fn stored_response(response: &ServiceResponse) -> Option<StoredResponse> {
    let ServiceResponse { status, headers, body, is_complete } = response;
    if !is_complete || body.len() > StoredResponse::MAX_BODY_BYTES {
        return None;
    }
    let content_type = headers.get(reqwest::header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
    Some(StoredResponse { status: status.as_u16(), content_type, body: body.to_vec() })
}
