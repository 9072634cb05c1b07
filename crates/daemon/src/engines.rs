//! Calls to engines: the steps of the engine protocol, and the classification of their failures by what they
//! prove.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::header::{HeaderMap, RETRY_AFTER};
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use teaselshunt_core::{AttemptId, EngineLoad, Running, StepFailure};
use teaselshunt_wire::engine::{
    self, CancelRequest, CancelResponse, DecodeRequest, EngineError, EngineFault, ImportRequest,
    ImportResponse, LoadReport, PrefillRequest, PrefillResponse,
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a connection fails if the remote kernel has not acknowledged the bytes sent.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest JSON response of an engine. The largest are load reports, with some 60 bytes a request.
const MAX_JSON_BYTES: usize = 1 << 20;
/// Timeout of a small call that engines answer from memory (cancel, load report).
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client for calls to engines and services.
#[derive(Debug, Clone)]
pub(crate) struct Engines {
    client: Client,
}

impl Engines {
    /// No connection is reused. If a network device has lost the state of a connection, the connection
    /// appears open and accepts a request, but no response arrives, and a step on it fails only after its
    /// whole timeout. A new connection is known to work, and opening one takes a millisecond on the networks
    /// between instances and endpoints.
    pub(crate) fn new() -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .no_proxy()
            .http1_only()
            .pool_max_idle_per_host(0)
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .tcp_user_timeout(TCP_USER_TIMEOUT)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .build()?;
        Ok(Self { client })
    }

    pub(crate) fn client(&self) -> &Client {
        &self.client
    }

    pub(crate) async fn prefill(
        &self,
        address: SocketAddr,
        request: &PrefillRequest,
        timeout: Duration,
    ) -> Result<PrefillResponse, StepFailure> {
        let call = self.post(address, engine::PREFILL_PATH, request).timeout(timeout);
        read_json(send_step(call).await?).await
    }

    pub(crate) async fn import(
        &self,
        address: SocketAddr,
        request: &ImportRequest,
        timeout: Duration,
    ) -> Result<ImportResponse, StepFailure> {
        let call = self.post(address, engine::IMPORT_PATH, request).timeout(timeout);
        read_json(send_step(call).await?).await
    }

    /// Opens a decode stream without a timeout; the calling function checks that the stream makes progress.
    pub(crate) async fn decode(
        &self,
        address: SocketAddr,
        request: &DecodeRequest,
    ) -> Result<Response, StepFailure> {
        send_step(self.post(address, engine::DECODE_PATH, request)).await
    }

    /// Cancels an attempt; `true` if the engine confirmed that it holds nothing for the attempt any more.
    pub(crate) async fn cancel(&self, address: SocketAddr, attempt: AttemptId) -> bool {
        let request = CancelRequest { request_id: attempt.to_string() };
        let call = self.post(address, engine::CANCEL_PATH, &request).timeout(SHORT_CALL_TIMEOUT);
        let Ok(response) = send_step(call).await else {
            return false;
        };
        read_json::<CancelResponse>(response).await.is_ok()
    }

    pub(crate) async fn load(&self, address: SocketAddr) -> Result<EngineLoad, StepFailure> {
        let call = self.client.get(url(address, engine::LOAD_PATH)).timeout(SHORT_CALL_TIMEOUT);
        let report: LoadReport = read_json(send_step(call).await?).await?;
        // Work of other systems has ids of another form and no owning instance; it is left out.
        let ids = report.running.iter().filter_map(|r| r.request_id.parse().ok());
        let running: Vec<Running> = ids.map(|attempt| Running { attempt }).collect();
        Ok(EngineLoad { running, waiting: report.waiting, leaving: report.leaving })
    }

    fn post(&self, address: SocketAddr, path: &str, body: &impl Serialize) -> RequestBuilder {
        self.client.post(url(address, path)).json(body)
    }
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Sends a request. The error [`StepFailure::NotSent`] proves that nothing of the request left this process;
/// the other errors do not.
pub(crate) async fn dispatch(call: RequestBuilder) -> Result<Response, StepFailure> {
    match call.send().await {
        Ok(response) => Ok(response),
        Err(error) if error.is_connect() => Err(StepFailure::NotSent),
        Err(error) if error.is_timeout() => Err(StepFailure::TimedOut),
        Err(_) => Err(StepFailure::Broken),
    }
}

/// Sends a step to an engine. A response without a success status is a failure.
async fn send_step(call: RequestBuilder) -> Result<Response, StepFailure> {
    let response = dispatch(call).await?;
    if response.status().is_success() {
        return Ok(response);
    }
    Err(step_failure(response).await)
}

/// Classifies the error response to a step. Only an error body of the engine itself proves that the engine
/// did not start the step; a status without this body may come from a proxy on the way.
async fn step_failure(response: Response) -> StepFailure {
    let status = response.status();
    let retry_after = retry_after(status, response.headers());
    let Ok(EngineError { error }) = read_json(response).await else {
        return StepFailure::Broken;
    };
    match (status, error) {
        (StatusCode::TOO_MANY_REQUESTS, EngineFault::Busy) => StepFailure::Busy { retry_after },
        (StatusCode::SERVICE_UNAVAILABLE, EngineFault::Leaving) => StepFailure::Leaving,
        (_, EngineFault::Evicted) => StepFailure::Evicted,
        (_, EngineFault::Rejected) => StepFailure::Rejected,
        _ => StepFailure::Broken,
    }
}

/// Time for which an endpoint that refuses wants no further requests, from its `Retry-After`. What is not a
/// number of seconds counts as absent, like a date: the clocks of two machines may differ.
pub(crate) fn retry_after(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    let refuses = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    let text = headers.get(RETRY_AFTER).filter(|_| refuses)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

async fn read_json<T: DeserializeOwned>(mut response: Response) -> Result<T, StepFailure> {
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) if body.len() + chunk.len() <= MAX_JSON_BYTES => body.extend_from_slice(&chunk),
            Ok(None) => return serde_json::from_slice(&body).map_err(|_| StepFailure::Broken),
            Err(error) if error.is_timeout() => return Err(StepFailure::TimedOut),
            Ok(Some(_)) | Err(_) => return Err(StepFailure::Broken),
        }
    }
}
