//! HTTP responses for refusals and for stored responses.

use std::time::Duration;

use poem::http::{HeaderName, StatusCode, header};
use poem::{Body, Response};
use serde::Serialize;
use teaselshunt_core::{ErrorKind, Outcome, Refusal, RequestId, StoredResponse};

/// Id of the request, in every response to a request that was accepted.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// What a refused caller may conclude about its request.
const OUTCOME: HeaderName = HeaderName::from_static("x-teaselshunt-outcome");
/// `OpenAI` clients follow this header in preference to their own retry rules.
const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");
/// `OpenAI` clients read this header in place of `Retry-After`; it allows delays below one second.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");
/// Marks a response that was stored for an idempotency key.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");

/// The `OpenAI` error body.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Debug, Serialize)]
struct ErrorDetail {
    message: String,
    r#type: &'static str,
    param: Option<String>,
    code: &'static str,
    outcome: &'static str,
}

/// A refusal with what its HTTP response needs in addition.
#[derive(Debug)]
pub(crate) struct RefusalResponse {
    pub(crate) refusal: Refusal,
    /// Details of the error, appended to the message for the caller.
    pub(crate) detail: Option<String>,
    pub(crate) request: Option<RequestId>,
}

impl RefusalResponse {
    pub(crate) fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { refusal: Refusal::new(kind), detail: Some(detail.into()), request: None }
    }

    pub(crate) fn of(refusal: Refusal, request: Option<RequestId>) -> Self {
        Self { refusal, detail: None, request }
    }

    pub(crate) fn body(&self) -> ErrorBody {
        let answer = self.refusal.kind.answer();
        let message = match &self.detail {
            Some(detail) => format!("{}: {detail}", answer.message),
            None => answer.message.to_owned(),
        };
        let error = ErrorDetail {
            message,
            r#type: answer.error_type,
            param: None,
            code: answer.code,
            outcome: answer.outcome.text(),
        };
        ErrorBody { error }
    }

    pub(crate) fn into_response(self) -> Response {
        let answer = self.refusal.kind.answer();
        // The caller should retry only if nothing has run and a later attempt may succeed.
        let should_retry = answer.outcome == Outcome::NotRun && self.refusal.retry_after.is_some();
        let status = StatusCode::from_u16(answer.status).expect("the table holds valid statuses");
        let mut response = Response::builder()
            .status(status)
            .content_type("application/json")
            .header(OUTCOME, answer.outcome.text())
            .header(SHOULD_RETRY, if should_retry { "true" } else { "false" });
        if let Some(delay) = self.refusal.retry_after {
            response = response
                .header(header::RETRY_AFTER, retry_after_seconds(delay).to_string())
                .header(RETRY_AFTER_MS, delay.as_millis().to_string());
        }
        if let Some(request) = self.request {
            response = response.header(REQUEST_ID, request.to_string());
        }
        if answer.status == 408 {
            response = response.header(header::CONNECTION, "close");
        }
        let body = serde_json::to_vec(&self.body()).expect("an error body is JSON");
        response.body(Body::from(body))
    }
}

/// Value of `Retry-After`, which has a resolution of one second. Rounded up, because callers would otherwise
/// retry too early.
fn retry_after_seconds(delay: Duration) -> u64 {
    delay.as_millis().div_ceil(1000).max(1) as u64
}

/// Response that repeats the stored response of an idempotency key.
pub(crate) fn replay_response(stored: StoredResponse, request: Option<RequestId>) -> Response {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let mut response =
        Response::builder().status(status).content_type(&stored.content_type).header(REPLAYED, "true");
    if let Some(request) = request {
        response = response.header(REQUEST_ID, request.to_string());
    }
    response.body(Body::from(stored.body))
}

/// The response that nobody reads.
pub(crate) fn caller_gone() -> RefusalResponse {
    RefusalResponse::new(ErrorKind::Internal, "the caller has disconnected")
}
