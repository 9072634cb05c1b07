//! Final responses to refused requests.

use std::ops::Range;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use rand::Rng;
use teaselshunt_core::Refusal;

use crate::body::ResponseBody;
use crate::node::Node;
use crate::trace::Trace;

/// `Retry-After` delay if the instance is stopping or not ready: nearly none, since other instances serve.
pub(crate) const OTHER_INSTANCE_RETRY: Duration = Duration::from_millis(50);

/// Range of the factor by which `Retry-After` delays are randomized, so that callers that were refused
/// together do not retry together.
const RETRY_SPREAD: Range<f64> = 0.75..1.25;

/// The `Retry-After` delay of a refusal whose caller must not retry before `delay` is over.
pub(crate) fn not_before(delay: Duration) -> Duration {
    delay.div_f64(RETRY_SPREAD.start)
}

/// Turns a refusal into the final response.
pub(crate) fn refuse(node: &Node, refusal: Refusal, trace: Trace) -> Response<ResponseBody> {
    refuse_as(node, refusal, trace, refusal.kind.answer().code)
}

/// The same with an outcome in logs and metrics that says who ended the request.
pub(crate) fn refuse_as(
    node: &Node,
    refusal: Refusal,
    trace: Trace,
    outcome: &str,
) -> Response<ResponseBody> {
    let answer = refusal.kind.answer();
    let text = format!("{{\"error\":\"{}\",\"message\":\"{}\"}}\n", answer.code, answer.message);
    let mut response = Response::new(ResponseBody::short(Bytes::from(text)));
    *response.status_mut() = StatusCode::from_u16(answer.status).expect("the table has valid statuses");
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = refusal.retry_after {
        let factor =
            if refusal.is_exact { 1.0 } else { node.state.borrow_mut().rng.random_range(RETRY_SPREAD) };
        let delay = wait.mul_f64(factor);
        let seconds = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64()));
        response.headers_mut().insert(RETRY_AFTER, seconds.expect("a number is a header value"));
    }
    trace.end(outcome, answer.status);
    response
}
