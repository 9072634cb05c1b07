//! Final answers without a result.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use rand::Rng;
use teaselshunt_core::Refusal;

use crate::body::AnswerBody;
use crate::node::Node;
use crate::trace::Trace;

/// When to come back to an instance that is stopping or not ready: at once, since others serve.
pub(crate) const ELSEWHERE: Duration = Duration::from_millis(50);

/// A final answer without a result.
pub(crate) fn refuse(node: &Node, refusal: Refusal, trace: Trace) -> Response<AnswerBody> {
    let answer = refusal.kind.answer();
    let text = format!("{{\"error\":\"{}\",\"message\":\"{}\"}}\n", answer.code, answer.message);
    let mut response = Response::new(AnswerBody::short(Bytes::from(text)));
    *response.status_mut() = StatusCode::from_u16(answer.status).expect("the table has valid statuses");
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = refusal.retry_after {
        // Spread, so that callers who were refused together do not come back together.
        let spread = wait.mul_f64(node.state.borrow_mut().rng.random_range(0.75..1.25));
        let seconds = HeaderValue::from_str(&format!("{:.3}", spread.as_secs_f64()));
        response.headers_mut().insert(RETRY_AFTER, seconds.expect("a number is a header value"));
    }
    trace.end(answer.code, answer.status);
    response
}
