//! A stand-in for the platform: numbered configurations and the list of instances, to read and to watch.
//!
//! The platform accepts operators' patches against a base version. The system itself never writes to the
//! platform.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poem::http::StatusCode;
use poem::web::{Data, Json, Query};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler};
use serde::Deserialize;
use serde_json::Value;
use teaselshunt_settings::parse_configuration;
use teaselshunt_wire::platform::{CONFIGURATION_PATH, INSTANCES_PATH, Patch, PatchResponse};
use tokio::sync::watch;

use crate::server::ServerHandle;

#[derive(Debug, Clone)]
struct Document {
    number: u64,
    text: String,
}

#[derive(Debug)]
struct State {
    configuration: watch::Sender<Document>,
    instances: watch::Sender<Document>,
    outage: watch::Sender<bool>,
    /// The configuration that reads return while a lagging replica is simulated.
    stale_configuration: Mutex<Option<Document>>,
    calls: Mutex<u64>,
}

/// A running stand-in platform.
#[derive(Debug)]
pub struct Platform {
    state: Arc<State>,
    server: ServerHandle,
}

impl Platform {
    /// Starts a platform on `address`, port 0 for any, that publishes the JSON text of a configuration.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(address: SocketAddr, configuration: &str) -> std::io::Result<Self> {
        let state = Arc::new(State {
            configuration: watch::Sender::new(Document {
                number: version(configuration),
                text: configuration.to_owned(),
            }),
            instances: watch::Sender::new(Document { number: 0, text: String::new() }),
            outage: watch::Sender::new(false),
            stale_configuration: Mutex::new(None),
            calls: Mutex::new(0),
        });
        let route = Route::new()
            .at(CONFIGURATION_PATH, get(read_configuration).post(accept_patch))
            .at(INSTANCES_PATH, get(read_instances).post(replace_instances))
            .at("/outage", poem::post(set_outage))
            .data(Arc::clone(&state));
        let server = ServerHandle::start(address, route).await?;
        Ok(Self { state, server })
    }

    /// Address on which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Publishes a configuration with any version, without validation.
    pub fn publish(&self, text: &str) {
        self.state.configuration.send_replace(Document { number: version(text), text: text.to_owned() });
    }

    /// Publishes a text in place of the configuration, under this version.
    pub fn publish_text(&self, version: u64, text: &str) {
        self.state.configuration.send_replace(Document { number: version, text: text.to_owned() });
    }

    /// Publishes a list of instances.
    pub fn publish_instances(&self, revision: u64, text: &str) {
        self.state.instances.send_replace(Document { number: revision, text: text.to_owned() });
    }

    /// Starts or ends an outage. Watches that wait when the outage starts get 503. Calls during the outage
    /// get no response until the outage ends, and then 503.
    pub fn set_outage(&self, down: bool) {
        self.state.outage.send_replace(down);
    }

    /// Returns this text for reads of the configuration, as a lagging replica would that answers at once. A watch
    /// that waits already is at an up-to-date replica, and stays there until its wait is over.
    pub fn set_stale_configuration(&self, text: Option<&str>) {
        let document = text.map(|t| Document { number: version(t), text: t.to_owned() });
        *lock(&self.state.stale_configuration) = document;
    }

    /// Number of calls so far; a waiting watch counts as one.
    pub fn calls(&self) -> u64 {
        *lock(&self.state.calls)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn version(text: &str) -> u64 {
    let value: Option<Value> = serde_json::from_str(text).ok();
    value.and_then(|v| v["version"].as_u64()).unwrap_or(0)
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// Responds with the document once its number is higher than the query's, or with 204 when the wait is over.
async fn respond(state: &State, source: &watch::Sender<Document>, query: &WatchQuery) -> Response {
    *lock(&state.calls) += 1;
    if *state.outage.borrow() {
        // During an outage the platform sends nothing, not even an error.
        let mut outage = state.outage.subscribe();
        let ended = outage.wait_for(|down| !down).await.is_ok();
        return if ended {
            StatusCode::SERVICE_UNAVAILABLE.into_response()
        } else {
            StatusCode::GONE.into_response()
        };
    }
    let mut changes = source.subscribe();
    let mut outage = state.outage.subscribe();
    let newer = changes.wait_for(|d| d.number > query.after);
    tokio::select! {
        document = newer => match document {
            Ok(document) => document.text.clone().into_response(),
            Err(_) => StatusCode::GONE.into_response(),
        },
        _ = outage.wait_for(|down| *down) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        () = tokio::time::sleep(Duration::from_millis(query.wait_ms)) => StatusCode::NO_CONTENT.into_response(),
    }
}

#[handler]
async fn read_configuration(Data(state): Data<&Arc<State>>, Query(query): Query<WatchQuery>) -> Response {
    let lagging = lock(&state.stale_configuration).clone();
    if let Some(document) = lagging {
        *lock(&state.calls) += 1;
        return document.text.into_response();
    }
    respond(state, &state.configuration, &query).await
}

#[handler]
async fn read_instances(Data(state): Data<&Arc<State>>, Query(query): Query<WatchQuery>) -> Response {
    respond(state, &state.instances, &query).await
}

#[handler]
fn replace_instances(Data(state): Data<&Arc<State>>, Json(list): Json<Value>) -> Response {
    let number = list["revision"].as_u64().unwrap_or(0);
    state.instances.send_replace(Document { number, text: list.to_string() });
    StatusCode::OK.into_response()
}

#[handler]
fn set_outage(Data(state): Data<&Arc<State>>, Json(down): Json<bool>) {
    state.outage.send_replace(down);
}

/// Accepts an operator's patch only against the published version, and only if the result is valid.
#[handler]
fn accept_patch(Data(state): Data<&Arc<State>>, Json(patch): Json<Patch>) -> Response {
    let mut outcome = Err(String::new());
    let mut version = 0;
    state.configuration.send_if_modified(|document| {
        version = document.number;
        outcome = apply_patch(document, &patch);
        let Ok(next) = &outcome else {
            return false;
        };
        *document = next.clone();
        version = document.number;
        true
    });
    match outcome {
        Ok(_) => Json(PatchResponse { version, error: None }).into_response(),
        Err(error) => Json(PatchResponse { version, error: Some(error) })
            .with_status(StatusCode::CONFLICT)
            .into_response(),
    }
}

fn apply_patch(document: &Document, patch: &Patch) -> Result<Document, String> {
    if patch.base != document.number {
        return Err(format!(
            "the patch is against version {}, but {} is published",
            patch.base, document.number
        ));
    }
    let mut value: Value = serde_json::from_str(&document.text).map_err(|e| e.to_string())?;
    let operations: json_patch::Patch =
        serde_json::from_value(patch.patch.clone()).map_err(|e| e.to_string())?;
    json_patch::patch(&mut value, &operations).map_err(|e| e.to_string())?;
    let number = document.number + 1;
    value["version"] = number.into();
    let text = value.to_string();
    parse_configuration(&text).map_err(|e| e.to_string())?;
    Ok(Document { number, text })
}
