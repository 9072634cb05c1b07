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
use super::state::{KvCache, State, Stream};
use crate::content;

pub(crate) fn route(state: Arc<State>) -> impl poem::Endpoint {
    Route::new()
        .at(engine::PREFILL_PATH, post(prefill))
        .at(engine::IMPORT_PATH, post(import))
        .at(format!("{}/:handle", engine::EXPORT_PATH), get(export))
        .at(engine::DECODE_PATH, post(decode))
        .at(engine::CANCEL_PATH, post(cancel))
        .at(engine::LOAD_PATH, get(load))
        .at(engine::CACHE_EVENTS_PATH, get(cache_events))
        .at(engine::ORDERS_PATH, post(accept_order))
        .at("/faults", post(set_faults))
        .data(state)
}

fn error_response(status: StatusCode, error: EngineFault) -> Response {
    Json(EngineError { error }).with_status(status).into_response()
}

/// The refusal of a new step, if the faults require one.
fn refusal(faults: &Faults) -> Option<Response> {
    if faults.leaving {
        return Some(error_response(StatusCode::SERVICE_UNAVAILABLE, EngineFault::Leaving));
    }
    faults.refuse.then(|| error_response(StatusCode::TOO_MANY_REQUESTS, EngineFault::Busy))
}

#[handler]
async fn prefill(Data(state): Data<&Arc<State>>, Json(request): Json<PrefillRequest>) -> Response {
    let faults = state.faults();
    if let Some(refusal) = refusal(&faults) {
        return refusal;
    }
    if request.prompt.is_empty() {
        return error_response(StatusCode::BAD_REQUEST, EngineFault::Rejected);
    }
    let Some(number) = state.begin_prefill(&request.request_id) else {
        return error_response(StatusCode::TOO_MANY_REQUESTS, EngineFault::Busy);
    };
    // The prefill runs in a task of its own, since an engine does not notice that a client has disconnected.
    let work = tokio::spawn(run_prefill(Arc::clone(state), request, number));
    if faults.drop {
        return crate::server::truncated_response();
    }
    match work.await {
        Ok(Some(response)) => Json(response).into_response(),
        _ => error_response(StatusCode::GONE, EngineFault::Evicted),
    }
}

async fn run_prefill(state: Arc<State>, request: PrefillRequest, number: u64) -> Option<PrefillResponse> {
    let id = request.request_id;
    let _permit = state.prefill_permits.acquire(request.priority).await?;
    if !state.is_held(&id, number) {
        return None;
    }
    let tokens = (request.prompt.len() as u32).div_ceil(4) + request.offset;
    let cached = (state.update_prefix_cache(&request.prompt) as u32 * 16).min(tokens);
    let uncached = tokens - cached;
    state
        .work(Duration::from_secs_f64(f64::from(uncached) / f64::from(state.options.prefill_tokens_per_s)))
        .await;
    let bytes = u64::from(tokens) * state.options.kv_bytes_per_token;
    let cache = KvCache { prompt: request.prompt, offset: request.offset, bytes };
    if !state.end_prefill(&id, number, cache) {
        return None;
    }
    if state.faults().evict {
        state.release_holding(&id, number);
    }
    let ttl = state.options.result_ttl;
    let (owner, expiring) = (Arc::clone(&state), id.clone());
    tokio::spawn(async move {
        tokio::time::sleep(ttl).await;
        owner.release_holding(&expiring, number);
    });
    Some(PrefillResponse { handle: id, prompt_tokens: tokens, cached_tokens: cached, kv_bytes: bytes })
}

#[handler]
async fn export(Data(state): Data<&Arc<State>>, Path(handle): Path<String>) -> Response {
    let Some((cache, number)) = state.export(&handle) else {
        return error_response(StatusCode::GONE, EngineFault::Evicted);
    };
    let transferred_at = state.queue_transfer(cache.bytes);
    tokio::time::sleep_until(transferred_at).await;
    state.work(Duration::ZERO).await;
    state.release_holding(&handle, number);
    Json(cache).into_response()
}

#[handler]
async fn import(Data(state): Data<&Arc<State>>, Json(request): Json<ImportRequest>) -> Response {
    let faults = state.faults();
    if let Some(refusal) = refusal(&faults) {
        return refusal;
    }
    let empty = KvCache { prompt: String::new(), offset: 0, bytes: 0 };
    let reserved = state.is_decode().then(|| state.reserve_slot(&request.request_id, empty)).flatten();
    let Some(number) = reserved else {
        return error_response(StatusCode::TOO_MANY_REQUESTS, EngineFault::Busy);
    };
    let work = tokio::spawn(run_import(Arc::clone(state), request, number));
    if faults.drop {
        return crate::server::truncated_response();
    }
    match work.await {
        Ok(Some(response)) => Json(response).into_response(),
        _ => error_response(StatusCode::GONE, EngineFault::Evicted),
    }
}

async fn run_import(state: Arc<State>, request: ImportRequest, number: u64) -> Option<ImportResponse> {
    let id = request.request_id;
    state.work(Duration::ZERO).await;
    let url = format!("http://{}{}/{}", request.origin, engine::EXPORT_PATH, request.handle);
    let fetched = async { reqwest::get(url).await?.error_for_status()?.json::<KvCache>().await };
    let Ok(cache) = fetched.await else {
        state.release_holding(&id, number);
        return None;
    };
    let bytes = cache.bytes;
    state.fill_slot(&id, number, cache).then_some(ImportResponse { bytes })
}

#[handler]
fn decode(Data(state): Data<&Arc<State>>, Json(request): Json<DecodeRequest>) -> Response {
    let id = request.request_id;
    let started = match &request.resume {
        Some(old_id) => state.resume(old_id, &id),
        None => state.begin_stream(&id, |prompt| match state.options.output_tokens {
            Some(length) => length.min(request.max_tokens),
            None => content::generated_length(prompt, request.max_tokens),
        }),
    };
    let Some((stream, reader_number)) = started else {
        return error_response(StatusCode::GONE, EngineFault::Evicted);
    };
    if request.resume.is_none() {
        tokio::spawn(generate(Arc::clone(state), stream.clone()));
    }
    let reader = StreamReader { state: Arc::clone(state), id, stream, reader_number, next: request.offset };
    let body = Body::from_bytes_stream(token_events(reader));
    Response::builder().content_type("text/event-stream").body(body)
}

async fn generate(state: Arc<State>, stream: Stream) {
    while *stream.generated.borrow() < stream.length && state.is_stream_held(&stream) {
        let gap = state.options.token_gap * (100 + state.batch_percent() / 2) / 100;
        state.work(gap).await;
        stream.generated.send_modify(|generated| *generated += 1);
    }
}

/// A connection that reads a stream. `next` is the offset of the next token for this connection.
struct StreamReader {
    state: Arc<State>,
    id: String,
    stream: Stream,
    reader_number: u32,
    next: u32,
}

fn token_events(reader: StreamReader) -> impl FutureStream<Item = std::io::Result<Bytes>> {
    stream::unfold(reader, |mut reader| async move {
        if reader.next >= reader.stream.length {
            return None;
        }
        let mut generated = reader.stream.generated.subscribe();
        let mut current_reader = reader.stream.reader.subscribe();
        let next = reader.next;
        tokio::select! {
            ready = generated.wait_for(|generated| *generated > next) => drop(ready.ok()?),
            replaced = current_reader.wait_for(|number| *number != reader.reader_number) => {
                drop(replaced);
                return None;
            }
        }
        if *reader.stream.reader.borrow() != reader.reader_number {
            return None;
        }
        if reader.state.faults().drop {
            return Some((Err(std::io::Error::other("connection dropped by an injected fault")), reader));
        }
        if !reader.state.is_stream_held(&reader.stream) {
            return None;
        }
        let last = next + 1 == reader.stream.length;
        let unlimited = content::generated_length(&reader.stream.prompt, u32::MAX) == reader.stream.length;
        let finish = last.then(|| if unlimited { "stop".to_owned() } else { "length".to_owned() });
        let event =
            TokenEvent { offset: next, text: content::generated_token(&reader.stream.prompt, next), finish };
        reader.next += 1;
        if last {
            reader.state.release(&reader.id);
        }
        let text =
            format!("data: {}\n\n", serde_json::to_string(&event).expect("a token event serializes to JSON"));
        Some((Ok(Bytes::from(text)), reader))
    })
}

#[handler]
fn cancel(Data(state): Data<&Arc<State>>, Json(request): Json<CancelRequest>) -> Json<CancelResponse> {
    Json(CancelResponse { held: state.release(&request.request_id) })
}

#[handler]
fn load(Data(state): Data<&Arc<State>>) -> Response {
    Json(state.report()).into_response()
}

#[derive(Debug, Deserialize)]
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

#[derive(Debug, Serialize)]
struct CacheEvents {
    events: Vec<teaselshunt_wire::engine::CacheEvent>,
}

#[handler]
fn cache_events(Data(state): Data<&Arc<State>>, Query(query): Query<AfterQuery>) -> Response {
    Json(CacheEvents { events: state.events(query.after) }).into_response()
}

#[handler]
async fn accept_order(Data(state): Data<&Arc<State>>, Json(order): Json<Order>) -> Response {
    if !state.accept_order(order.fence, order.load) {
        return error_response(StatusCode::CONFLICT, EngineFault::Fenced);
    }
    state.work(state.options.weights_load_time).await;
    Json(state.report()).into_response()
}

#[handler]
fn set_faults(Data(state): Data<&Arc<State>>, Json(faults): Json<Faults>) {
    state.set_faults(faults);
}
