//! The engine protocol over HTTP.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream as FutureStream, stream};
use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{Body, EndpointExt, IntoResponse, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use teaselshunt_wire::engine::{
    self, CancelRequest, CancelResponse, DecodeRequest, EngineError, EngineFault, ImportRequest,
    ImportResponse, Order, PrefillRequest, PrefillResponse, TokenEvent,
};

use super::Faults;
use super::state::{Cache, State, Stream};
use crate::content;

pub(crate) fn route(state: Arc<State>) -> impl poem::Endpoint {
    Route::new()
        .at(engine::PREFILL_PATH, post(prefill))
        .at(engine::IMPORT_PATH, post(import))
        .at(format!("{}/:handle", engine::EXPORT_PATH), get(export))
        .at(engine::DECODE_PATH, post(decode))
        .at(engine::CANCEL_PATH, post(cancel))
        .at(engine::LOAD_PATH, get(load))
        .at(engine::CACHE_EVENTS_PATH, get(events))
        .at(engine::ORDERS_PATH, post(take_order))
        .at("/faults", post(set_faults))
        .data(state)
}

fn fault(status: StatusCode, error: EngineFault) -> Response {
    Json(EngineError { error }).with_status(status).into_response()
}

/// Refuses a new step if the engine is told to.
fn refusal(faults: &Faults) -> Option<Response> {
    if faults.leaving {
        return Some(fault(StatusCode::SERVICE_UNAVAILABLE, EngineFault::Leaving));
    }
    faults.refuse.then(|| fault(StatusCode::TOO_MANY_REQUESTS, EngineFault::Busy))
}

#[handler]
async fn prefill(Data(state): Data<&Arc<State>>, Json(request): Json<PrefillRequest>) -> Response {
    let faults = state.faults();
    if let Some(refusal) = refusal(&faults) {
        return refusal;
    }
    if request.prompt.is_empty() {
        return fault(StatusCode::BAD_REQUEST, EngineFault::Rejected);
    }
    if !state.begin_prefill(&request.request_id) {
        return fault(StatusCode::TOO_MANY_REQUESTS, EngineFault::Busy);
    }
    // In a task of its own: an engine does not notice that a client is gone.
    let work = tokio::spawn(run_prefill(Arc::clone(state), request));
    if faults.drop {
        return crate::server::broken();
    }
    match work.await {
        Ok(Some(response)) => Json(response).into_response(),
        _ => fault(StatusCode::GONE, EngineFault::Evicted),
    }
}

async fn run_prefill(state: Arc<State>, request: PrefillRequest) -> Option<PrefillResponse> {
    let id = request.request_id;
    let _place = state.gate.enter(request.priority).await?;
    if !state.is_held(&id) {
        return None;
    }
    let tokens = (request.prompt.len() as u32).div_ceil(4) + request.offset;
    let cached = (state.touch_prefix(&request.prompt) as u32 * 16).min(tokens);
    let left = tokens - cached;
    state
        .work(Duration::from_secs_f64(f64::from(left) / f64::from(state.options.prefill_tokens_per_s)))
        .await;
    let bytes = u64::from(tokens) * state.options.kv_bytes_per_token;
    let cache = Cache { prompt: request.prompt, offset: request.offset, bytes };
    if !state.end_prefill(&id, cache) {
        return None;
    }
    if state.faults().evict {
        state.evict(&id);
    }
    let keep = state.options.result_ttl;
    let (keeper, kept) = (Arc::clone(&state), id.clone());
    tokio::spawn(async move {
        tokio::time::sleep(keep).await;
        keeper.evict(&kept);
    });
    Some(PrefillResponse { handle: id, prompt_tokens: tokens, cached_tokens: cached, kv_bytes: bytes })
}

#[handler]
async fn export(Data(state): Data<&Arc<State>>, Path(handle): Path<String>) -> Response {
    let Some(cache) = state.export(&handle) else {
        return fault(StatusCode::GONE, EngineFault::Evicted);
    };
    let moved = state.link(cache.bytes);
    tokio::time::sleep_until(moved).await;
    state.work(Duration::ZERO).await;
    state.evict(&handle);
    Json(cache).into_response()
}

#[handler]
async fn import(Data(state): Data<&Arc<State>>, Json(request): Json<ImportRequest>) -> Response {
    let faults = state.faults();
    if let Some(refusal) = refusal(&faults) {
        return refusal;
    }
    let empty = Cache { prompt: String::new(), offset: 0, bytes: 0 };
    if !state.is_decode() || !state.keep_slot(&request.request_id, empty) {
        return fault(StatusCode::TOO_MANY_REQUESTS, EngineFault::Busy);
    }
    let work = tokio::spawn(run_import(Arc::clone(state), request));
    if faults.drop {
        return crate::server::broken();
    }
    match work.await {
        Ok(Some(response)) => Json(response).into_response(),
        _ => fault(StatusCode::GONE, EngineFault::Evicted),
    }
}

async fn run_import(state: Arc<State>, request: ImportRequest) -> Option<ImportResponse> {
    let id = request.request_id;
    state.work(Duration::ZERO).await;
    let url = format!("http://{}{}/{}", request.origin, engine::EXPORT_PATH, request.handle);
    let fetched = async { reqwest::get(url).await?.error_for_status()?.json::<Cache>().await };
    let Ok(cache) = fetched.await else {
        state.drop_held(&id);
        return None;
    };
    let bytes = cache.bytes;
    state.fill_slot(&id, cache).then_some(ImportResponse { bytes })
}

#[handler]
fn decode(Data(state): Data<&Arc<State>>, Json(request): Json<DecodeRequest>) -> Response {
    let id = request.request_id;
    let begun = match &request.resume {
        Some(old) => state.resume(old, &id),
        None => state.begin_stream(&id, |prompt| match state.options.output_tokens {
            Some(length) => length.min(request.max_tokens),
            None => content::generated_length(prompt, request.max_tokens),
        }),
    };
    let Some((stream, number)) = begun else {
        return fault(StatusCode::GONE, EngineFault::Evicted);
    };
    if request.resume.is_none() {
        tokio::spawn(generate(Arc::clone(state), stream.clone()));
    }
    let reading = Reading { state: Arc::clone(state), id, stream, number, next: request.offset };
    let body = Body::from_bytes_stream(read(reading));
    Response::builder().content_type("text/event-stream").body(body)
}

async fn generate(state: Arc<State>, stream: Stream) {
    while *stream.made.borrow() < stream.length && state.streaming(&stream) {
        let gap = state.options.token_gap * (100 + state.batch() / 2) / 100;
        state.work(gap).await;
        stream.made.send_modify(|made| *made += 1);
    }
}

/// A connection that reads a stream.
struct Reading {
    state: Arc<State>,
    id: String,
    stream: Stream,
    number: u32,
    next: u32,
}

fn read(reading: Reading) -> impl FutureStream<Item = std::io::Result<Bytes>> {
    stream::unfold(reading, |mut reading| async move {
        if reading.next >= reading.stream.length {
            return None;
        }
        let mut made = reading.stream.made.subscribe();
        let mut reader = reading.stream.reader.subscribe();
        let next = reading.next;
        tokio::select! {
            ready = made.wait_for(|made| *made > next) => drop(ready.ok()?),
            taken = reader.wait_for(|number| *number != reading.number) => {
                drop(taken);
                return None;
            }
        }
        if *reading.stream.reader.borrow() != reading.number {
            return None;
        }
        if reading.state.faults().drop {
            return Some((Err(std::io::Error::other("dropped on command")), reading));
        }
        if !reading.state.streaming(&reading.stream) {
            return None;
        }
        let last = next + 1 == reading.stream.length;
        let natural = content::generated_length(&reading.stream.prompt, u32::MAX) == reading.stream.length;
        let finish = last.then(|| if natural { "stop".to_owned() } else { "length".to_owned() });
        let event =
            TokenEvent { offset: next, text: content::generated_token(&reading.stream.prompt, next), finish };
        reading.next += 1;
        if last {
            reading.state.drop_held(&reading.id);
        }
        let text = format!("data: {}\n\n", serde_json::to_string(&event).expect("a token event is JSON"));
        Some((Ok(Bytes::from(text)), reading))
    })
}

#[handler]
fn cancel(Data(state): Data<&Arc<State>>, Json(request): Json<CancelRequest>) -> Json<CancelResponse> {
    Json(CancelResponse { held: state.drop_held(&request.request_id) })
}

#[handler]
fn load(Data(state): Data<&Arc<State>>) -> Response {
    Json(state.report()).into_response()
}

#[derive(Debug, Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

#[derive(Debug, Serialize)]
struct Events {
    events: Vec<teaselshunt_wire::engine::CacheEvent>,
}

#[handler]
fn events(Data(state): Data<&Arc<State>>, Query(query): Query<After>) -> Response {
    Json(Events { events: state.events(query.after) }).into_response()
}

#[handler]
async fn take_order(Data(state): Data<&Arc<State>>, Json(order): Json<Order>) -> Response {
    if !state.order(order.fence, order.load) {
        return fault(StatusCode::CONFLICT, EngineFault::Fenced);
    }
    state.work(state.options.weights_load_time).await;
    Json(state.report()).into_response()
}

#[handler]
fn set_faults(Data(state): Data<&Arc<State>>, Json(faults): Json<Faults>) {
    state.set_faults(faults);
}
