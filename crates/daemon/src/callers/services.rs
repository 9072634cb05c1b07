//! Plain services: any method and body under `/services/NAME/`.

use poem::http::Method;
use poem::web::{Data, Path};
use poem::{Body, Request, Response, handler};
use teaselshunt_core::{Call, ErrorKind, Fingerprint, RequestId, Work};

use super::answer::{REQUEST_ID, Rejection, replayed};
use super::front::{Front, answered};
use super::headers::{Terms, end_to_end, with_team};
use crate::driver::{CallOutput, CallPlan, start_call};

#[handler]
pub(crate) async fn call(
    request: &Request,
    Path((service, path)): Path<(String, String)>,
    Data(front): Data<&Front>,
    body: Body,
) -> Response {
    answered(run(request, service, path, front, body)).await
}

async fn run(
    request: &Request,
    service: String,
    path: String,
    front: &Front,
    body: Body,
) -> Result<Response, Rejection> {
    let _place = front.place()?;
    let directory = front.control.published.directory();
    let terms = Terms::read(request, front.deadline(), directory.as_deref(), Some(&service))?;
    let body = front.body(body).await?;
    let method = request.method().clone();
    if method == Method::CONNECT {
        return Err(Rejection::new(ErrorKind::Invalid, "method CONNECT is not allowed"));
    }
    let path = with_query(path, request.uri().query());
    let fingerprint = Fingerprint::of(&terms.team, method.as_str(), &service, &path, &body);
    let (key, deadline) = (terms.key, terms.deadline);
    let mut headers = end_to_end(request.headers());
    if directory.is_some() {
        headers = with_team(headers, &terms.team);
    }
    let work = Call { service, method: method.to_string(), team: terms.team, key, fingerprint, deadline };
    let session = front.control.open(Work::Call(work));
    let plan = CallPlan { method, path, headers, body, keyed: terms.key.is_some() };
    let output = start_call(session, front.engines.clone(), plan);
    match output.await {
        Ok(CallOutput::Answered { request, status, headers, body }) => {
            let mut response = Response::builder().status(status).body(body);
            *response.headers_mut() = end_to_end(&headers);
            Ok(name(response, request))
        }
        Ok(CallOutput::Refused { request, refusal }) => Err(Rejection::of(refusal, request)),
        Ok(CallOutput::Replayed { request, stored }) => Ok(replayed(stored, request)),
        Err(_) => Err(Rejection::new(ErrorKind::Internal, "the driver ended")),
    }
}

fn with_query(path: String, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path,
    }
}

fn name(mut response: Response, request: Option<RequestId>) -> Response {
    let value = request.and_then(|r| r.to_string().parse().ok());
    if let Some(value) = value {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}
