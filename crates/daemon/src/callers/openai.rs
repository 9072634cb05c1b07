//! The OpenAI-compatible API: completions, chat completions and models.

use std::pin::Pin;
use std::time::{Duration, Instant};

use futures_util::stream;
use poem::http::{Version, header};
use poem::web::Data;
use poem::{Body, Request, Response, handler};
use serde::{Deserialize, Serialize};
use teaselshunt_core::{
    ErrorKind, Fingerprint, Generate, PromptPart, Refusal, RequestId, StoredResponse, Work,
};
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use super::answer::{REQUEST_ID, RefusalResponse, caller_gone, replay_response};
use super::front::CallerApi;
use super::headers::RequestHeaders;
use super::in_progress::Passage;
use crate::acceptor::{AbortHandle, ScheduledCut};
use crate::audit::now_ms;
use crate::driver::{Generation, Output, Render, Token, start_generation};
use crate::metrics::LatencyRecorder;

/// Time after its deadline that a stream has for its last event.
const STREAM_END_TIME: Duration = Duration::from_millis(250);
/// Maximum number of generated tokens if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 512;
/// Highest limit of generated tokens that a caller may set.
const MAX_TOKENS_LIMIT: u32 = 65_536;
/// Estimated bytes of prompt per token; only engines have the exact number of tokens.
const BYTES_PER_TOKEN: usize = 4;

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: String,
    prompt: Prompt,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    n: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    n: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    r#type: String,
    #[serde(default)]
    text: String,
}

/// Format of a response. The two generation APIs differ in the format of their requests and responses only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Format {
    Completion,
    Chat,
}

/// A validated request of either generation API.
#[derive(Debug)]
struct ParsedRequest {
    format: Format,
    model: String,
    prompt: String,
    /// Messages that other requests may have as well: all but the last.
    shared: Vec<String>,
    max_tokens: u32,
    stream: bool,
}

#[handler]
pub(crate) async fn complete(request: &Request, Data(api): Data<&CallerApi>, body: Body) -> Response {
    api.answer(request, |passage| run_generation(request, api, body, parse_completion, passage)).await
}

#[handler]
pub(crate) async fn chat(request: &Request, Data(api): Data<&CallerApi>, body: Body) -> Response {
    api.answer(request, |passage| run_generation(request, api, body, parse_chat, passage)).await
}

#[derive(Debug, Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Debug, Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

#[handler]
pub(crate) async fn models(request: &Request, Data(api): Data<&CallerApi>) -> Response {
    let list = async {
        let directory = api.control.published.team_directory();
        RequestHeaders::read(request, directory.as_deref(), None)?;
        let names = api.control.models().await;
        let entry = |id| ModelEntry { id, object: "model", created: 0, owned_by: "teaselshunt" };
        Ok(json_response(&ModelList { object: "list", data: names.into_iter().map(entry).collect() }))
    };
    api.answer(request, |_passage| list).await
}

fn json_response(value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("responses are JSON");
    Response::builder().content_type("application/json").body(body)
}

fn invalid(detail: impl Into<String>) -> RefusalResponse {
    RefusalResponse::new(ErrorKind::Invalid, detail)
}

fn parse_completion(body: &[u8]) -> Result<ParsedRequest, RefusalResponse> {
    let request: CompletionRequest = serde_json::from_slice(body).map_err(|e| invalid(e.to_string()))?;
    require_one_choice(request.n)?;
    let prompt = match request.prompt {
        Prompt::One(text) => text,
        Prompt::Many(mut texts) if texts.len() == 1 => texts.remove(0),
        Prompt::Many(texts) => {
            return Err(invalid(format!("prompt: {} prompts were given, one is allowed", texts.len())));
        }
    };
    validate(Format::Completion, request.model, prompt, request.max_tokens, request.stream)
}

fn parse_chat(body: &[u8]) -> Result<ParsedRequest, RefusalResponse> {
    let request: ChatRequest = serde_json::from_slice(body).map_err(|e| invalid(e.to_string()))?;
    require_one_choice(request.n)?;
    let mut messages = Vec::new();
    for message in request.messages {
        let mut text = message.role + ": ";
        push_content(&mut text, message.content)?;
        text.push('\n');
        messages.push(text);
    }
    let prompt = messages.concat();
    messages.pop();
    let max_tokens = request.max_completion_tokens.or(request.max_tokens);
    let parsed = validate(Format::Chat, request.model, prompt, max_tokens, request.stream)?;
    Ok(ParsedRequest { shared: messages, ..parsed })
}

fn push_content(prompt: &mut String, content: Content) -> Result<(), RefusalResponse> {
    match content {
        Content::Text(text) => prompt.push_str(&text),
        Content::Parts(parts) => {
            for part in parts {
                if part.r#type != "text" {
                    return Err(invalid(format!(
                        "messages: type {:?} was given, text is allowed",
                        part.r#type
                    )));
                }
                prompt.push_str(&part.text);
            }
        }
    }
    Ok(())
}

fn require_one_choice(n: Option<u32>) -> Result<(), RefusalResponse> {
    match n {
        None | Some(1) => Ok(()),
        Some(n) => Err(invalid(format!("n: {n} was given, 1 is allowed"))),
    }
}

fn validate(
    format: Format,
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    stream: bool,
) -> Result<ParsedRequest, RefusalResponse> {
    if prompt.is_empty() {
        return Err(invalid("the prompt is empty"));
    }
    let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
        return Err(invalid(format!(
            "max_tokens: {max_tokens} was given, 1 to {MAX_TOKENS_LIMIT} are allowed"
        )));
    }
    Ok(ParsedRequest { format, model, prompt, shared: Vec::new(), max_tokens, stream })
}

async fn run_generation(
    request: &Request,
    api: &CallerApi,
    body: Body,
    parse: fn(&[u8]) -> Result<ParsedRequest, RefusalResponse>,
    passage: Passage,
) -> Result<Response, RefusalResponse> {
    let arrived = Instant::now();
    let permit = api.acquire_permit()?;
    let directory = api.control.published.team_directory();
    let request_headers = RequestHeaders::read(request, directory.as_deref(), None)?;
    let body = api.read_body(body).await?;
    let parsed = parse(&body)?;
    let fingerprint = Fingerprint::of(&request_headers.team, "POST", "", request.uri().path(), &body);
    let work = Generate {
        model: parsed.model.clone(),
        team: request_headers.team,
        prompt_tokens: parsed.prompt.len().div_ceil(BYTES_PER_TOKEN) as u32,
        max_tokens: parsed.max_tokens,
        retry: request_headers.is_retry,
        key: request_headers.key,
        fingerprint,
        parts: PromptPart::of_texts(&parsed.model, &parsed.shared),
        deadline: passage.core_deadline(),
    };
    if request_headers.key.is_some() {
        passage.progress.claim();
    }
    let session = api.control.open_session(Work::Generate(work));
    let template =
        ResponseTemplate { format: parsed.format, model: parsed.model.clone(), created: now_ms() / 1000 };
    let render = request_headers.key.is_some().then(|| template.clone().into_renderer(parsed.stream));
    let generation =
        Generation { model: parsed.model, prompt: parsed.prompt, max_tokens: parsed.max_tokens, render };
    let mut output = start_generation(session, api.engines.clone(), generation, &passage);
    let abort = api.abort_handle(request);
    if parsed.stream && request.version() < Version::HTTP_11 {
        // There are no chunks in this version.
        abort.ends_with_connection();
    }
    // Dropping the output ends the driver, which releases what the request holds.
    let first = tokio::select! {
        first = first_output(&mut output) => first?,
        () = abort.closed() => return Err(caller_gone()),
    };
    let latency = api.metrics.latency_recorder(&template.model, arrived);
    let response = PendingResponse {
        template,
        request: first.request,
        output,
        _permit: permit,
        latency,
        abort,
        passage,
    };
    match first.output {
        Output::Refused(refusal) => Err(RefusalResponse::of(refusal, first.request)),
        Output::Replayed(stored) => Ok(replay_response(stored, first.request)),
        Output::Tokens(tokens) if parsed.stream => Ok(response.stream(tokens)),
        Output::Tokens(tokens) => response.complete(tokens).await,
        Output::Accepted(_) => unreachable!("a request is accepted once"),
    }
}

struct FirstOutput {
    request: Option<RequestId>,
    output: Output,
}

/// Waits for the request id and for the first output, which decides on the kind of response.
async fn first_output(output: &mut mpsc::Receiver<Output>) -> Result<FirstOutput, RefusalResponse> {
    let mut request = None;
    loop {
        match output.recv().await {
            Some(Output::Accepted(id)) => request = Some(id),
            Some(output) => return Ok(FirstOutput { request, output }),
            None => return Err(RefusalResponse::new(ErrorKind::Internal, "the driver ended")),
        }
    }
}

/// The parts of a response's JSON that are the same for all its tokens.
#[derive(Debug, Clone)]
struct ResponseTemplate {
    format: Format,
    model: String,
    created: u64,
}

/// A response that is being generated.
struct PendingResponse {
    template: ResponseTemplate,
    request: Option<RequestId>,
    output: mpsc::Receiver<Output>,
    /// Held until the end of the response. A stream continues after its handler has returned.
    _permit: OwnedSemaphorePermit,
    latency: LatencyRecorder,
    abort: AbortHandle,
    passage: Passage,
}

impl PendingResponse {
    fn id(&self) -> String {
        self.request.map_or_else(String::new, |r| r.to_string())
    }

    /// Collects all tokens, and responds with the complete text.
    async fn complete(mut self, first: Vec<Token>) -> Result<Response, RefusalResponse> {
        let mut text = String::new();
        let mut next = first;
        loop {
            self.latency.record_batch(next.len());
            for token in next {
                text.push_str(&token.text);
                if let Some(finish) = token.finish {
                    return Ok(self.complete_response(&text, &finish));
                }
            }
            let output = tokio::select! {
                output = self.output.recv() => output,
                () = self.abort.closed() => return Err(caller_gone()),
            };
            next = match output {
                Some(Output::Tokens(tokens)) => tokens,
                Some(Output::Refused(refusal)) => return Err(RefusalResponse::of(refusal, self.request)),
                _ => return Err(RefusalResponse::new(ErrorKind::Internal, "the driver ended")),
            };
        }
    }

    fn complete_response(&self, text: &str, finish: &str) -> Response {
        let body = self.template.complete_body(&self.id(), text, finish);
        Response::builder().content_type("application/json").header(REQUEST_ID, self.id()).body(body)
    }

    fn stream(self, first: Vec<Token>) -> Response {
        let id = self.id();
        let events = EventStream {
            id: id.clone(),
            ended: Box::pin(self.passage.ended()),
            _cut: self.abort.cut_at(self.passage.deadline + STREAM_END_TIME),
            response: self,
            pending: Some(Output::Tokens(first)),
            state: StreamState::Running,
        };
        let body = Body::from_bytes_stream(stream::unfold(events, EventStream::next));
        Response::builder()
            .content_type("text/event-stream")
            .header(header::CACHE_CONTROL, "no-cache")
            .header(REQUEST_ID, id)
            .body(body)
    }
}

/// The body of a streamed response.
struct EventStream {
    id: String,
    response: PendingResponse,
    pending: Option<Output>,
    state: StreamState,
    /// When the response must end, with its last event.
    ended: Pin<Box<dyn Future<Output = Refusal> + Send>>,
    /// Closes the connection if the caller does not read.
    _cut: ScheduledCut,
}

/// Progress of a streamed response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamState {
    Running,
    /// The response cannot be completed, and what was written of it must be sent.
    Failed,
    Ended,
}

impl EventStream {
    async fn next(mut self) -> Option<(std::io::Result<Vec<u8>>, Self)> {
        match self.state {
            StreamState::Running => {}
            StreamState::Ended => return None,
            StreamState::Failed => {
                // The server writes what it has before it asks for more.
                tokio::task::yield_now().await;
                self.response.abort.abort();
                self.state = StreamState::Ended;
                return Some((Err(std::io::Error::other("the response cannot be completed")), self));
            }
        }
        let output = self.next_output().await;
        let mut chunk = Vec::new();
        match output {
            Some(Output::Tokens(tokens)) => self.push_tokens(&tokens, &mut chunk),
            Some(Output::Refused(refusal)) => {
                // The status line has been sent, so the error is sent as an event of the stream, without the
                // end mark of the events and without that of the response.
                let refusal = RefusalResponse::of(refusal, self.response.request);
                push_event(&mut chunk, &refusal.body());
                self.state = StreamState::Failed;
            }
            _ => self.state = StreamState::Failed,
        }
        Some((Ok(chunk), self))
    }

    /// The next output, or the refusal with which the response must end.
    async fn next_output(&mut self) -> Option<Output> {
        if let Some(output) = self.pending.take() {
            return Some(output);
        }
        tokio::select! {
            biased;
            output = self.response.output.recv() => output,
            refusal = &mut self.ended => Some(Output::Refused(refusal)),
        }
    }

    fn push_tokens(&mut self, tokens: &[Token], chunk: &mut Vec<u8>) {
        self.response.latency.record_batch(tokens.len());
        for token in tokens {
            self.response.template.push_chunk(chunk, &self.id, &token.text, token.finish.as_deref());
            if token.finish.is_some() {
                chunk.extend_from_slice(b"data: [DONE]\n\n");
                self.state = StreamState::Ended;
            }
        }
    }
}

fn push_event(chunk: &mut Vec<u8>, value: &impl Serialize) {
    chunk.extend_from_slice(b"data: ");
    serde_json::to_writer(&mut *chunk, value).expect("events are JSON");
    chunk.extend_from_slice(b"\n\n");
}

#[derive(Debug, Serialize)]
struct Object<'a, C> {
    id: &'a str,
    #[serde(rename = "object")]
    kind: &'static str,
    created: u64,
    model: &'a str,
    choices: [C; 1],
}

#[derive(Debug, Serialize)]
struct TextChoice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct MessageChoice<'a> {
    index: u32,
    message: Delta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct DeltaChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct Delta<'a> {
    role: &'static str,
    content: &'a str,
}

impl ResponseTemplate {
    fn object<'a, C>(&'a self, id: &'a str, kind: &'static str, choice: C) -> Object<'a, C> {
        Object { id, kind, created: self.created, model: &self.model, choices: [choice] }
    }

    fn complete_body(&self, id: &str, text: &str, finish: &str) -> Vec<u8> {
        let finish_reason = Some(finish);
        let body = match self.format {
            Format::Completion => {
                let choice = TextChoice { index: 0, text, finish_reason };
                serde_json::to_vec(&self.object(id, "text_completion", choice))
            }
            Format::Chat => {
                let message = Delta { role: "assistant", content: text };
                let choice = MessageChoice { index: 0, message, finish_reason };
                serde_json::to_vec(&self.object(id, "chat.completion", choice))
            }
        };
        body.expect("responses are JSON")
    }

    fn push_chunk(&self, out: &mut Vec<u8>, id: &str, text: &str, finish_reason: Option<&str>) {
        match self.format {
            Format::Completion => {
                let choice = TextChoice { index: 0, text, finish_reason };
                push_event(out, &self.object(id, "text_completion", choice));
            }
            Format::Chat => {
                let delta = Delta { role: "assistant", content: text };
                let choice = DeltaChoice { index: 0, delta, finish_reason };
                push_event(out, &self.object(id, "chat.completion.chunk", choice));
            }
        }
    }

    /// Creates the function that renders the stored response for retries with the same idempotency key,
    /// streamed or not as the first request asked for.
    fn into_renderer(self, stream: bool) -> Render {
        Box::new(move |text, finish| {
            let (content_type, body) = if stream {
                let mut body = Vec::new();
                self.push_chunk(&mut body, "", text, Some(finish));
                body.extend_from_slice(b"data: [DONE]\n\n");
                ("text/event-stream", body)
            } else {
                ("application/json", self.complete_body("", text, finish))
            };
            StoredResponse { status: 200, content_type: content_type.to_owned(), body }
        })
    }
}
