//! The closed list of error kinds, and the table that maps each kind to its response.

use std::time::Duration;

/// What a refused caller may conclude about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Nothing of the request reached an endpoint, so it is safe to send the request again.
    NotRun,
    /// The request may have run, at most once.
    Unknown,
    /// The request ran, at least in part, without a complete response.
    Failed,
}

impl Outcome {
    /// Value of the header `x-teaselshunt-outcome`.
    pub const fn text(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

/// Reasons for which a caller gets no response of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// The request is malformed.
    Invalid,
    /// No such model.
    UnknownModel,
    /// No such service or route.
    UnknownService,
    /// The caller sent no API key, or a key of no team.
    Unauthorized,
    /// The caller's team has reached its limit.
    QuotaExceeded,
    /// The body is larger than allowed.
    TooLarge,
    /// The caller did not send its complete request in time.
    Incomplete,
    /// The instance has no configuration yet.
    NotReady,
    /// The instance is shutting down gracefully.
    Stopping,
    /// No suitable slot became free, or is expected to become free, within the wait that the class allows.
    Overloaded,
    /// No endpoint that may serve the request takes new work, or no endpoint started any attempt.
    NoEndpoint,
    /// Endpoints crash under the request; this applies to all callers that send it.
    Quarantined,
    /// The caller's deadline passed before the request was sent to an endpoint.
    Expired,
    /// No endpoint began the request by its deadline.
    NotStarted,
    /// The caller's deadline passed while the request was running.
    DeadlinePassed,
    /// Endpoints failed, and the request may not be attempted again.
    EndpointFailed,
    /// The endpoint refused the request as invalid.
    Rejected,
    /// A non-idempotent call was sent and its outcome is unknown.
    OutcomeUnknown,
    /// A request with the same idempotency key is still in progress.
    KeyInUse,
    /// A request with the same idempotency key ran, and its response is not stored any more.
    KeyUsed,
    /// Whether a request with the same idempotency key ran is unknown.
    KeyUnknown,
    /// The home of the idempotency key keeps too many records to grant another key.
    KeyLimit,
    /// Internal error of this program.
    Internal,
}

/// Response to a caller for an [`ErrorKind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `error.type` of the `OpenAI` error body.
    pub error_type: &'static str,
    /// `error.code` of the `OpenAI` error body, also the label of metrics and logs.
    pub code: &'static str,
    /// `error.message`.
    pub message: &'static str,
    /// What the caller may conclude.
    pub outcome: Outcome,
}

const fn row(
    status: u16,
    error_type: &'static str,
    code: &'static str,
    outcome: Outcome,
    message: &'static str,
) -> Answer {
    Answer { status, error_type, code, message, outcome }
}

impl ErrorKind {
    /// Every kind, in the order of the table.
    pub const ALL: [Self; 23] = [
        Self::Invalid,
        Self::UnknownModel,
        Self::UnknownService,
        Self::Unauthorized,
        Self::QuotaExceeded,
        Self::TooLarge,
        Self::Incomplete,
        Self::NotReady,
        Self::Stopping,
        Self::Overloaded,
        Self::NoEndpoint,
        Self::Quarantined,
        Self::Expired,
        Self::NotStarted,
        Self::DeadlinePassed,
        Self::EndpointFailed,
        Self::Rejected,
        Self::OutcomeUnknown,
        Self::KeyInUse,
        Self::KeyUsed,
        Self::KeyUnknown,
        Self::KeyLimit,
        Self::Internal,
    ];

    /// The response for this kind.
    #[rustfmt::skip] // One kind per line, as a table.
    pub const fn answer(self) -> Answer {
        use Outcome::{Failed, NotRun, Unknown};
        const CALLER: &str = "invalid_request_error";
        const SERVER: &str = "server_error";
        match self {
            Self::Invalid        => row(400, CALLER, "invalid_request",    NotRun,  "the request is malformed"),
            Self::UnknownModel   => row(404, CALLER, "model_not_found",    NotRun,  "no such model"),
            Self::UnknownService => row(404, CALLER, "not_found",          NotRun,  "no such service or route"),
            Self::Unauthorized   => row(401, "authentication_error", "invalid_api_key", NotRun, "no key, or one that no team holds"),
            Self::QuotaExceeded  => row(429, "rate_limit_error", "quota_exceeded", NotRun, "the team is at its limit"),
            Self::TooLarge       => row(413, CALLER, "body_too_large",     NotRun,  "the body is larger than allowed"),
            Self::Incomplete     => row(408, CALLER, "request_incomplete", NotRun,  "the whole request did not arrive in time"),
            Self::NotReady       => row(503, SERVER, "not_ready",          NotRun,  "no configuration has been seen yet"),
            Self::Stopping       => row(503, SERVER, "stopping",           NotRun,  "this instance is stopping"),
            Self::Overloaded     => row(429, "rate_limit_error", "overloaded", NotRun, "every fitting slot is taken"),
            Self::NoEndpoint     => row(503, SERVER, "no_endpoint",        NotRun,  "no endpoint that may serve this is in reach"),
            Self::Quarantined    => row(503, SERVER, "quarantined",        NotRun,  "endpoints crashed under this request; it is not sent to more of them"),
            Self::Expired        => row(504, SERVER, "expired",            NotRun,  "the deadline passed before the request was sent on"),
            Self::NotStarted     => row(503, SERVER, "not_started",        NotRun,  "no endpoint began the request by its deadline"),
            Self::DeadlinePassed => row(504, SERVER, "deadline_passed",    Unknown, "the deadline passed while the request ran"),
            Self::EndpointFailed => row(502, SERVER, "endpoint_failed",    Failed,  "endpoints failed and the retries are used up"),
            Self::Rejected       => row(400, CALLER, "endpoint_rejected",  Failed,  "the endpoint found the request wrong"),
            Self::OutcomeUnknown => row(502, SERVER, "outcome_unknown",    Unknown, "the call was sent and its fate is not known"),
            Self::KeyInUse       => row(409, CALLER, "key_in_use",         Unknown, "a request with this idempotency key is in progress"),
            Self::KeyUsed        => row(409, CALLER, "key_used",           Unknown, "a request with this idempotency key ran; its answer is not kept"),
            Self::KeyUnknown     => row(503, SERVER, "key_unknown",        Unknown, "whether a request with this idempotency key ran cannot be told"),
            Self::KeyLimit       => row(503, SERVER, "key_limit",          NotRun,  "too many idempotency keys are kept to grant another one"),
            Self::Internal       => row(500, SERVER, "internal",           Unknown, "a fault of the router"),
        }
    }
}

/// A final response without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub kind: ErrorKind,
    /// `Retry-After` delay, if a retry can succeed.
    pub retry_after: Option<Duration>,
    /// Whether the delay was chosen for this caller alone, and is stated as it is. Other delays are randomized
    /// where they are stated.
    pub is_exact: bool,
}

impl Refusal {
    /// A refusal that a retry does not change.
    pub const fn new(kind: ErrorKind) -> Self {
        Self { kind, retry_after: None, is_exact: false }
    }

    /// A refusal with a `Retry-After` delay.
    pub const fn retryable(kind: ErrorKind, retry_after: Duration) -> Self {
        Self { kind, retry_after: Some(retry_after), is_exact: false }
    }

    /// A refusal with a `Retry-After` delay that was chosen for its caller.
    pub const fn retryable_after(kind: ErrorKind, retry_after: Duration) -> Self {
        Self { kind, retry_after: Some(retry_after), is_exact: true }
    }
}
