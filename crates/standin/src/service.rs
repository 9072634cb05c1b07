//! A stand-in of a plain service: it books, and remembers every booking.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poem::web::{Data, Json};
use poem::{EndpointExt, IntoResponse, Request, Response, Route, handler};
use serde::{Deserialize, Serialize};

use crate::server::Running;

/// What is wrong with a stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceFaults {
    /// Calls run, then the answer never comes.
    pub hang: bool,
    /// Calls run, then the connection breaks.
    pub drop: bool,
    /// Calls take this long, in milliseconds.
    pub slow_ms: u64,
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
    /// The caller's team, as it was told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// A key that was passed on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    faults: Mutex<ServiceFaults>,
    ran: Mutex<Vec<Execution>>,
}

/// The answer to a call.
#[derive(Debug, Serialize)]
struct Booked {
    number: usize,
    call: Execution,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Service {
    state: Arc<State>,
    running: Running,
}

impl Service {
    /// Starts a service on `address`, port 0 for any.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(State::default());
        let route = Route::new().at("/faults", poem::post(set_faults)).at("/*path", call);
        let running = Running::start(address, route.data(Arc::clone(&state))).await?;
        Ok(Self { state, running })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Sets what is wrong from now on.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Every call that ran, in order.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.state.ran).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[handler]
async fn call(Data(state): Data<&Arc<State>>, request: &Request, body: String) -> Response {
    let faults = lock(&state.faults).clone();
    let said = |name: &str| request.header(name).map(str::to_owned);
    let call = Execution {
        method: request.method().to_string(),
        path: request.uri().to_string(),
        body,
        team: said("openai-organization"),
        key: said("authorization"),
    };
    // In a task of its own: a service does not notice that a client is gone.
    let (kept, ran) = (Arc::clone(state), call.clone());
    let work = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        let mut all = lock(&kept.ran);
        all.push(ran);
        all.len()
    });
    let Ok(number) = work.await else {
        return poem::http::StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    if faults.hang {
        std::future::pending::<()>().await;
    }
    if faults.drop {
        return crate::server::broken();
    }
    Json(Booked { number, call }).into_response()
}

#[handler]
fn set_faults(Data(state): Data<&Arc<State>>, Json(faults): Json<ServiceFaults>) {
    *lock(&state.faults) = faults;
}
