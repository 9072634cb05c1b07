//! Driver of a call to a plain service.

use std::time::{Duration, Instant};

use bytes::Bytes;
use reqwest::header::HeaderMap;
use reqwest::{Method, Response, StatusCode};
use teaselshunt_core::{AttemptId, Event, Refusal, RequestId, StepFailure, StoredResponse, Target};
use tokio::sync::oneshot;

use crate::control::{Command, Session};
use crate::engines::{Engines, dispatch};

/// Largest answer of a service.
const ANSWER_MAX: usize = 64 << 20;
/// A command older than this is not acted on any more.
///
/// A process that is frozen between the decision and the write and wakes much later would send a call that
/// others have long since answered for. The check right before the write leaves the moment between the two;
/// that moment can only be closed by the service itself, which gets the idempotency key.
const STALE: Duration = Duration::from_secs(1);

/// A call as the caller asked for it.
#[derive(Debug)]
pub(crate) struct CallPlan {
    pub(crate) method: Method,
    /// Path and query behind the service's name.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the caller gave an idempotency key.
    pub(crate) keyed: bool,
}

/// What the caller gets.
#[derive(Debug)]
pub(crate) enum CallOutput {
    Answered { request: Option<RequestId>, status: StatusCode, headers: HeaderMap, body: Bytes },
    Refused { request: Option<RequestId>, refusal: Refusal },
    Replayed { request: Option<RequestId>, stored: StoredResponse },
}

/// Starts the driver of a call.
pub(crate) fn start_call(
    session: Session,
    engines: Engines,
    plan: CallPlan,
) -> oneshot::Receiver<CallOutput> {
    let (output, receiver) = oneshot::channel();
    let driver = Driver { session, engines, plan, request: None };
    tokio::spawn(driver.run(output));
    receiver
}

struct Driver {
    session: Session,
    engines: Engines,
    plan: CallPlan,
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
            let answer = match command {
                None => return,
                Some(Command::Accepted(id)) => {
                    self.request = Some(id);
                    continue;
                }
                Some(Command::Refuse(refusal)) => CallOutput::Refused { request, refusal },
                Some(Command::Replay(stored)) => CallOutput::Replayed { request, stored },
                Some(Command::Call { attempt, target, timeout, issued }) => {
                    match self.call(attempt, target, (timeout, issued), &mut output).await {
                        Some(answer) => answer,
                        None if output.is_closed() && !self.plan.keyed => return,
                        None => continue,
                    }
                }
                Some(Command::Prefill { .. } | Command::Import { .. } | Command::Decode { .. }) => {
                    unreachable!("a call is never a generation")
                }
            };
            self.session.close();
            // A caller that has gone meanwhile cannot be told; the core knows the outcome.
            let _ = output.send(answer);
            return;
        }
    }

    /// Makes the call. `None` if it failed, which the core has been told, or if the caller is gone.
    async fn call(
        &mut self,
        attempt: AttemptId,
        target: Target,
        (timeout, issued): (Duration, Instant),
        output: &mut oneshot::Sender<CallOutput>,
    ) -> Option<CallOutput> {
        let call = self.send(target, timeout, issued);
        let result = if self.plan.keyed {
            // It cannot be taken back, and the caller's retry will ask for its answer by the key.
            call.await
        } else {
            tokio::select! {
                result = call => result,
                () = output.closed() => return None,
            }
        };
        match result {
            Ok((status, headers, body)) => {
                let stored = keep(status, &headers, &body);
                self.session.send(Event::Called { attempt, stored });
                Some(CallOutput::Answered { request: self.request, status, headers, body })
            }
            Err(fault) => {
                self.session.send(Event::Failed { attempt, failure: fault, offset: 0 });
                None
            }
        }
    }

    /// The whole answer is read before any of it is passed on: a caller never takes a part for the whole.
    async fn send(
        &self,
        target: Target,
        timeout: Duration,
        issued: Instant,
    ) -> Result<(StatusCode, HeaderMap, Bytes), StepFailure> {
        let url = format!("http://{}/{}", target.address, self.plan.path);
        let call = self
            .engines
            .client()
            .request(self.plan.method.clone(), url)
            .headers(self.plan.headers.clone())
            .body(self.plan.body.clone())
            .timeout(timeout);
        if self.session.now().duration_since(issued) > STALE {
            return Err(StepFailure::NotSent);
        }
        let response = dispatch(call).await?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = read_whole(response).await?;
        Ok((status, headers, body))
    }
}

async fn read_whole(mut response: Response) -> Result<Bytes, StepFailure> {
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) if body.len() + chunk.len() <= ANSWER_MAX => body.extend_from_slice(&chunk),
            Ok(None) => return Ok(Bytes::from(body)),
            Err(error) if error.is_timeout() => return Err(StepFailure::TimedOut),
            Ok(Some(_)) | Err(_) => return Err(StepFailure::Broken),
        }
    }
}

fn keep(status: StatusCode, headers: &HeaderMap, body: &Bytes) -> Option<StoredResponse> {
    if body.len() > StoredResponse::MAX_BODY_BYTES {
        return None;
    }
    let content = headers.get(reqwest::header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    let content = content.unwrap_or("application/octet-stream").to_owned();
    Some(StoredResponse { status: status.as_u16(), content_type: content, body: body.to_vec() })
}
