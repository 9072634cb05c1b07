//! Plain services: any method and body under `/services/NAME/`.

use std::sync::Arc;

use poem::http::{Method, Version};
use poem::web::{Data, Path};
use poem::{Body, Request, Response, handler};
use teaselshunt_core::{Call, ErrorKind, Fingerprint, RequestId, Work};

use super::answer::{REQUEST_ID, RefusalResponse, caller_gone, replay_response};
use super::front::CallerApi;
use super::headers::{RequestHeaders, end_to_end, with_verified_team};
use super::in_progress::Passage;
use crate::driver::{CallOutput, CallRequest, ServiceResponse, start_call};

#[handler]
pub(crate) async fn call(
    request: &Request,
    Path((service, path)): Path<(String, String)>,
    Data(api): Data<&CallerApi>,
    body: Body,
) -> Response {
    api.answer(request, |passage| run_call(request, service, path, api, body, passage)).await
}

async fn run_call(
    request: &Request,
    service: String,
    path: String,
    api: &CallerApi,
    body: Body,
    passage: Passage,
) -> Result<Response, RefusalResponse> {
    let _permit = api.acquire_permit()?;
    let directory = api.control.published.team_directory();
    let request_headers = RequestHeaders::read(request, directory.as_deref(), Some(&service))?;
    let body = api.read_body(body).await?;
    let method = request.method().clone();
    if method == Method::CONNECT {
        return Err(RefusalResponse::new(ErrorKind::Invalid, "method CONNECT is not allowed"));
    }
    let path = with_query(path, request.uri().query());
    let fingerprint = Fingerprint::of(&request_headers.team, method.as_str(), &service, &path, &body);
    let (key, deadline) = (request_headers.key, passage.core_deadline());
    let mut headers = end_to_end(request.headers());
    if directory.is_some() {
        headers = with_verified_team(headers, &request_headers.team);
    }
    let work =
        Call { service, method: method.to_string(), team: request_headers.team, key, fingerprint, deadline };
    if key.is_some() {
        passage.progress.claim();
    }
    let session = api.control.open_session(Work::Call(work));
    let call_request = CallRequest { method, path, headers, body, keyed: request_headers.key.is_some() };
    let output = start_call(session, api.engines.clone(), Arc::clone(&api.metrics), call_request, &passage);
    let connection = api.abort_handle(request);
    let output = tokio::select! {
        output = output => output,
        () = connection.closed() => return Err(caller_gone()),
    };
    match output {
        Ok(CallOutput::Answered { request, response }) => {
            if !response.is_complete {
                connection.ends_with_connection();
            }
            Ok(with_request_id(caller_response(response), request))
        }
        Ok(CallOutput::Refused { request, refusal }) => Err(RefusalResponse::of(refusal, request)),
        Ok(CallOutput::Replayed { request, stored }) => Ok(replay_response(stored, request)),
        Err(_) => Err(RefusalResponse::new(ErrorKind::Internal, "the driver ended")),
    }
}

/// The response to the caller. Its end is marked only if that of the service's was.
fn caller_response(response: ServiceResponse) -> Response {
    let ServiceResponse { status, headers, body, is_complete } = response;
    let headers = end_to_end(&headers);
    if is_complete {
        let mut response = Response::builder().status(status).body(body);
        *response.headers_mut() = headers;
        return response;
    }
    let body = futures_util::stream::once(async move { Ok::<_, std::io::Error>(body) });
    let mut response = Response::builder().status(status).body(Body::from_bytes_stream(body));
    *response.headers_mut() = headers;
    // The library leaves out chunks in this version only.
    response.set_version(Version::HTTP_10);
    response
}

fn with_query(path: String, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("{path}?{query}"),
        None => path,
    }
}

fn with_request_id(mut response: Response, request: Option<RequestId>) -> Response {
    let value = request.and_then(|r| r.to_string().parse().ok());
    if let Some(value) = value {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}
