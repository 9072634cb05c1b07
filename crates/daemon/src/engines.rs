//! Calls to engines: the steps of the engine protocol, and what their failures prove.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use teaselshunt_core::{AttemptId, EngineLoad, Running, StepFailure};
use teaselshunt_wire::engine::{
    self, CancelRequest, CancelResponse, DecodeRequest, EngineError, EngineFault, ImportRequest,
    ImportResponse, LoadReport, PrefillRequest, PrefillResponse,
};

/// Longest time to make a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Sent bytes that the other end's kernel does not confirm for this long break the connection.
const UNCONFIRMED: Duration = Duration::from_secs(3);
/// Longest time for small calls that engines answer from memory.
const SHORT: Duration = Duration::from_secs(2);

/// Makes calls to engines and services.
#[derive(Debug, Clone)]
pub(crate) struct Engines {
    client: Client,
}

impl Engines {
    /// No connection is used twice. One that something on the way has lost track of looks open, takes a
    /// request and never answers; a step on it would cost its whole timeout. A connection that was just made
    /// is known to work, and on the networks between instances and endpoints it costs a millisecond.
    pub(crate) fn new() -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .no_proxy()
            .http1_only()
            .pool_max_idle_per_host(0)
            .connect_timeout(CONNECT)
            .tcp_nodelay(true)
            .tcp_user_timeout(UNCONFIRMED)
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
        read_json(send(call).await?).await
    }

    pub(crate) async fn import(
        &self,
        address: SocketAddr,
        request: &ImportRequest,
        timeout: Duration,
    ) -> Result<ImportResponse, StepFailure> {
        let call = self.post(address, engine::IMPORT_PATH, request).timeout(timeout);
        read_json(send(call).await?).await
    }

    /// Opens a decode stream; the caller of this function times its progress.
    pub(crate) async fn decode(
        &self,
        address: SocketAddr,
        request: &DecodeRequest,
    ) -> Result<Response, StepFailure> {
        send(self.post(address, engine::DECODE_PATH, request)).await
    }

    /// Whether the engine confirmed that it holds nothing of the try any more.
    pub(crate) async fn cancel(&self, address: SocketAddr, attempt: AttemptId) -> bool {
        let request = CancelRequest { request_id: attempt.to_string() };
        let call = self.post(address, engine::CANCEL_PATH, &request).timeout(SHORT);
        let Ok(response) = send(call).await else {
            return false;
        };
        read_json::<CancelResponse>(response).await.is_ok()
    }

    pub(crate) async fn load(&self, address: SocketAddr) -> Option<EngineLoad> {
        let call = self.client.get(url(address, engine::LOAD_PATH)).timeout(SHORT);
        let report: LoadReport = read_json(send(call).await.ok()?).await.ok()?;
        // Work that is not of this system has other ids; it counts as load but cannot be owned.
        let ids = report.running.iter().filter_map(|r| r.request_id.parse().ok());
        let running: Vec<Running> = ids.map(|attempt| Running { attempt }).collect();
        Some(EngineLoad { running, waiting: report.waiting, leaving: report.leaving })
    }

    fn post(&self, address: SocketAddr, path: &str, body: &impl Serialize) -> RequestBuilder {
        self.client.post(url(address, path)).json(body)
    }
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Sends a call, and tells a failure that proves that nothing left this process from one that does not.
pub(crate) async fn dispatch(call: RequestBuilder) -> Result<Response, StepFailure> {
    match call.send().await {
        Ok(response) => Ok(response),
        Err(error) if error.is_connect() => Err(StepFailure::NotSent),
        Err(error) if error.is_timeout() => Err(StepFailure::TimedOut),
        Err(_) => Err(StepFailure::Broken),
    }
}

/// Sends a step to an engine; an answer that is no success is a fault.
async fn send(call: RequestBuilder) -> Result<Response, StepFailure> {
    let response = dispatch(call).await?;
    if response.status().is_success() {
        return Ok(response);
    }
    Err(fault(response).await)
}

/// Only the engine's own words prove that it did not begin; a bare status may come from anything between.
async fn fault(response: Response) -> StepFailure {
    let status = response.status();
    let Ok(EngineError { error }) = read_json(response).await else {
        return StepFailure::Broken;
    };
    match (status, error) {
        (StatusCode::TOO_MANY_REQUESTS, EngineFault::Busy) => StepFailure::Busy,
        (StatusCode::SERVICE_UNAVAILABLE, EngineFault::Leaving) => StepFailure::Leaving,
        (_, EngineFault::Evicted) => StepFailure::Evicted,
        (_, EngineFault::Rejected) => StepFailure::Rejected,
        _ => StepFailure::Broken,
    }
}

async fn read_json<T: DeserializeOwned>(response: Response) -> Result<T, StepFailure> {
    match response.json().await {
        Ok(value) => Ok(value),
        Err(error) if error.is_timeout() => Err(StepFailure::TimedOut),
        Err(_) => Err(StepFailure::Broken),
    }
}
