//! A stand-in for a plain service, which numbers the calls that it runs and records each of them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poem::web::{Data, Json};
use poem::{EndpointExt, IntoResponse, Request, Response, Route, handler};
use serde::{Deserialize, Serialize};

use crate::server::ServerHandle;

/// Faults of a stand-in service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceFaults {
    /// Calls run, but get no response.
    pub hang: bool,
    /// Calls run, then the connection breaks.
    pub drop: bool,
    /// Time that a call takes, in milliseconds.
    pub slow_ms: u64,
    /// Calls do not run and get a 503 with this `Retry-After`, in seconds.
    pub retry_after: Option<u32>,
    /// Calls run, and their responses have neither a length nor chunks and end with the connection.
    pub unframed: Option<Unframed>,
}

/// Responses without a length and without chunks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Unframed {
    /// Number of bytes after which the body ends.
    pub cut: Option<usize>,
    /// `Content-Type` of the response.
    pub media_type: String,
}

/// A call that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: String,
    /// The caller's team, from the header `openai-organization`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// An `Authorization` header that was forwarded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    faults: Mutex<ServiceFaults>,
    executions: Mutex<Vec<Execution>>,
}

/// The response to a call.
#[derive(Debug, Serialize)]
struct Booking {
    number: usize,
    call: Execution,
}

/// A running stand-in service.
#[derive(Debug)]
pub struct Service {
    state: Arc<State>,
    server: ServerHandle,
}

impl Service {
    /// Starts a service on `address`, port 0 for any.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(State::default());
        let route = Route::new().at("/faults", poem::post(set_faults)).at("/*path", call);
        let server = ServerHandle::start(address, route.data(Arc::clone(&state))).await?;
        Ok(Self { state, server })
    }

    /// Address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the service's faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Every call that ran, in order.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.state.executions).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[handler]
async fn call(Data(state): Data<&Arc<State>>, request: &Request, body: String) -> Response {
    let faults = lock(&state.faults).clone();
    let header = |name: &str| request.header(name).map(str::to_owned);
    let call = Execution {
        method: request.method().to_string(),
        path: request.uri().to_string(),
        body,
        team: header("openai-organization"),
        key: header("authorization"),
    };
    if let Some(seconds) = faults.retry_after {
        let status = poem::http::StatusCode::SERVICE_UNAVAILABLE;
        return status.with_header(poem::http::header::RETRY_AFTER, seconds).into_response();
    }
    // The call runs in a task of its own, since a service does not notice that its client has disconnected.
    let (shared, execution) = (Arc::clone(state), call.clone());
    let work = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        let mut all = lock(&shared.executions);
        all.push(execution);
        all.len()
    });
    let Ok(number) = work.await else {
        return poem::http::StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    if faults.hang {
        std::future::pending::<()>().await;
    }
    if faults.drop {
        return crate::server::truncated_response();
    }
    let booking = Booking { number, call };
    if let Some(unframed) = faults.unframed {
        return unframed_response(&unframed, &booking);
    }
    Json(booking).into_response()
}

/// A response that ends with its connection: the HTTP library frames no response of the version HTTP/1.0 whose length
/// it does not know.
fn unframed_response(unframed: &Unframed, booking: &Booking) -> Response {
    let mut body = serde_json::to_vec(booking).expect("a booking is JSON");
    body.truncate(unframed.cut.unwrap_or(body.len()));
    let body = futures_util::stream::once(async move { Ok::<_, std::io::Error>(body) });
    Response::builder()
        .version(poem::http::Version::HTTP_10)
        .content_type(&unframed.media_type)
        .body(poem::Body::from_bytes_stream(body))
}

#[handler]
fn set_faults(Data(state): Data<&Arc<State>>, Json(faults): Json<ServiceFaults>) {
    *lock(&state.faults) = faults;
}
