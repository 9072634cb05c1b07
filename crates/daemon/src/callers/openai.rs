//! Completions, chat completions and models, as `OpenAI` clients expect them.

use std::time::Instant;

use futures_util::stream;
use poem::http::header;
use poem::web::Data;
use poem::{Body, Request, Response, handler};
use serde::{Deserialize, Serialize};
use teaselshunt_core::{ErrorKind, Fingerprint, Generate, RequestId, StoredResponse, Work};
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use super::answer::{REQUEST_ID, Rejection, replayed};
use super::front::{Front, answered};
use super::headers::Terms;
use crate::audit::now_ms;
use crate::driver::{Generation, Output, Render, Token, start_generation};
use crate::metrics::Watch;

/// Tokens generated at most where the caller sets no limit.
const LIMIT: u32 = 512;
/// Highest limit that a caller may set.
const LIMIT_MAX: u32 = 65_536;
/// Bytes of prompt that count as one token; engines alone know the exact number.
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

/// Which of the two endpoints an answer is for; they differ in shape only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Style {
    Completion,
    Chat,
}

/// A request of either endpoint, checked.
#[derive(Debug)]
struct Asked {
    style: Style,
    model: String,
    prompt: String,
    limit: u32,
    stream: bool,
}

#[handler]
pub(crate) async fn complete(request: &Request, Data(front): Data<&Front>, body: Body) -> Response {
    answered(run(request, front, body, read_completion)).await
}

#[handler]
pub(crate) async fn chat(request: &Request, Data(front): Data<&Front>, body: Body) -> Response {
    answered(run(request, front, body, read_chat)).await
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
pub(crate) async fn models(request: &Request, Data(front): Data<&Front>) -> Response {
    let directory = front.control.published.directory();
    if let Err(rejection) = Terms::read(request, front.deadline(), directory.as_deref(), None) {
        return rejection.into_response();
    }
    let names = front.control.models().await;
    let entry = |id| ModelEntry { id, object: "model", created: 0, owned_by: "teaselshunt" };
    let list = ModelList { object: "list", data: names.into_iter().map(entry).collect() };
    json(&list)
}

fn json(value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("answers are JSON");
    Response::builder().content_type("application/json").body(body)
}

fn invalid(detail: impl Into<String>) -> Rejection {
    Rejection::new(ErrorKind::Invalid, detail)
}

fn read_completion(body: &[u8]) -> Result<Asked, Rejection> {
    let request: CompletionRequest = serde_json::from_slice(body).map_err(|e| invalid(e.to_string()))?;
    one_answer(request.n)?;
    let prompt = match request.prompt {
        Prompt::One(text) => text,
        Prompt::Many(mut texts) if texts.len() == 1 => texts.remove(0),
        Prompt::Many(texts) => {
            return Err(invalid(format!("prompt: {} prompts were given, one is allowed", texts.len())));
        }
    };
    asked(Style::Completion, request.model, prompt, request.max_tokens, request.stream)
}

fn read_chat(body: &[u8]) -> Result<Asked, Rejection> {
    let request: ChatRequest = serde_json::from_slice(body).map_err(|e| invalid(e.to_string()))?;
    one_answer(request.n)?;
    let mut prompt = String::new();
    for message in request.messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        push_content(&mut prompt, message.content)?;
        prompt.push('\n');
    }
    let limit = request.max_completion_tokens.or(request.max_tokens);
    asked(Style::Chat, request.model, prompt, limit, request.stream)
}

fn push_content(prompt: &mut String, content: Content) -> Result<(), Rejection> {
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

fn one_answer(n: Option<u32>) -> Result<(), Rejection> {
    match n {
        None | Some(1) => Ok(()),
        Some(n) => Err(invalid(format!("n: {n} was given, 1 is allowed"))),
    }
}

fn asked(
    style: Style,
    model: String,
    prompt: String,
    limit: Option<u32>,
    stream: bool,
) -> Result<Asked, Rejection> {
    if prompt.is_empty() {
        return Err(invalid("the prompt is empty"));
    }
    let limit = limit.unwrap_or(LIMIT);
    if !(1..=LIMIT_MAX).contains(&limit) {
        return Err(invalid(format!("max_tokens: {limit} was given, 1 to {LIMIT_MAX} are allowed")));
    }
    Ok(Asked { style, model, prompt, limit, stream })
}

async fn run(
    request: &Request,
    front: &Front,
    body: Body,
    read: fn(&[u8]) -> Result<Asked, Rejection>,
) -> Result<Response, Rejection> {
    let arrived = Instant::now();
    let place = front.place()?;
    let directory = front.control.published.directory();
    let terms = Terms::read(request, front.deadline(), directory.as_deref(), None)?;
    let body = front.body(body).await?;
    let asked = read(&body)?;
    let fingerprint = Fingerprint::of(&terms.team, "POST", "", request.uri().path(), &body);
    let work = Generate {
        model: asked.model.clone(),
        team: terms.team,
        prompt_tokens: asked.prompt.len().div_ceil(BYTES_PER_TOKEN) as u32,
        max_tokens: asked.limit,
        retry: terms.again,
        key: terms.key,
        fingerprint,
        deadline: terms.deadline,
    };
    let session = front.control.open(Work::Generate(work));
    let shape = Shape { style: asked.style, model: asked.model.clone(), created: now_ms() / 1000 };
    let render = terms.key.is_some().then(|| shape.clone().keeper(asked.stream));
    let generation = Generation { model: asked.model, prompt: asked.prompt, limit: asked.limit, render };
    let mut output = start_generation(session, front.engines.clone(), generation);
    let first = first_output(&mut output).await?;
    let watch = front.metrics.watch(&shape.model, arrived);
    let answer = Answer { shape, request: first.request, output, _place: place, watch };
    match first.output {
        Output::Refused(refusal) => Err(Rejection::of(refusal, first.request)),
        Output::Replayed(stored) => Ok(replayed(stored, first.request)),
        Output::Tokens(tokens) if asked.stream => Ok(answer.stream(tokens)),
        Output::Tokens(tokens) => answer.whole(tokens).await,
        Output::Accepted(_) => unreachable!("a request is accepted once"),
    }
}

struct First {
    request: Option<RequestId>,
    output: Output,
}

/// The request id, and the first output that says how the answer begins.
async fn first_output(output: &mut mpsc::Receiver<Output>) -> Result<First, Rejection> {
    let mut request = None;
    loop {
        match output.recv().await {
            Some(Output::Accepted(id)) => request = Some(id),
            Some(output) => return Ok(First { request, output }),
            None => return Err(Rejection::new(ErrorKind::Internal, "the driver ended")),
        }
    }
}

/// The fixed parts of an answer's JSON.
#[derive(Debug, Clone)]
struct Shape {
    style: Style,
    model: String,
    created: u64,
}

/// An answer on its way to the caller.
struct Answer {
    shape: Shape,
    request: Option<RequestId>,
    output: mpsc::Receiver<Output>,
    /// Held to the end of the answer, not of the handler: streams outlive their handlers.
    _place: OwnedSemaphorePermit,
    watch: Watch,
}

impl Answer {
    fn id(&self) -> String {
        self.request.map_or_else(String::new, |r| r.to_string())
    }

    async fn whole(mut self, first: Vec<Token>) -> Result<Response, Rejection> {
        let mut text = String::new();
        let mut next = first;
        loop {
            self.watch.tokens(next.len());
            for token in next {
                text.push_str(&token.text);
                if let Some(finish) = token.finish {
                    return Ok(self.respond_whole(&text, &finish));
                }
            }
            next = match self.output.recv().await {
                Some(Output::Tokens(tokens)) => tokens,
                Some(Output::Refused(refusal)) => return Err(Rejection::of(refusal, self.request)),
                _ => return Err(Rejection::new(ErrorKind::Internal, "the driver ended")),
            };
        }
    }

    fn respond_whole(&self, text: &str, finish: &str) -> Response {
        let body = self.shape.whole(&self.id(), text, finish);
        Response::builder().content_type("application/json").header(REQUEST_ID, self.id()).body(body)
    }

    fn stream(self, first: Vec<Token>) -> Response {
        let id = self.id();
        let events =
            Streaming { id: id.clone(), answer: self, pending: Some(Output::Tokens(first)), done: false };
        let body = Body::from_bytes_stream(stream::unfold(events, Streaming::next));
        Response::builder()
            .content_type("text/event-stream")
            .header(header::CACHE_CONTROL, "no-cache")
            .header(REQUEST_ID, id)
            .body(body)
    }
}

struct Streaming {
    id: String,
    answer: Answer,
    pending: Option<Output>,
    done: bool,
}

impl Streaming {
    async fn next(mut self) -> Option<(std::io::Result<Vec<u8>>, Self)> {
        if self.done {
            return None;
        }
        let output = match self.pending.take() {
            Some(output) => Some(output),
            None => self.answer.output.recv().await,
        };
        let mut chunk = Vec::new();
        match output {
            Some(Output::Tokens(tokens)) => self.tokens(&tokens, &mut chunk),
            Some(Output::Refused(refusal)) => {
                // The status line is out, so the error goes the way of the tokens, without an end mark: a
                // client that waits for `[DONE]` never takes this for a whole answer.
                let rejection = Rejection::of(refusal, self.answer.request);
                event(&mut chunk, &rejection.body());
                self.done = true;
            }
            _ => return Some((Err(std::io::Error::other("the driver ended")), self.end())),
        }
        Some((Ok(chunk), self))
    }

    fn end(mut self) -> Self {
        self.done = true;
        self
    }

    fn tokens(&mut self, tokens: &[Token], chunk: &mut Vec<u8>) {
        self.answer.watch.tokens(tokens.len());
        for token in tokens {
            self.answer.shape.chunk(chunk, &self.id, &token.text, token.finish.as_deref());
            if token.finish.is_some() {
                chunk.extend_from_slice(b"data: [DONE]\n\n");
                self.done = true;
            }
        }
    }
}

fn event(chunk: &mut Vec<u8>, value: &impl Serialize) {
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

impl Shape {
    fn object<'a, C>(&'a self, id: &'a str, kind: &'static str, choice: C) -> Object<'a, C> {
        Object { id, kind, created: self.created, model: &self.model, choices: [choice] }
    }

    fn whole(&self, id: &str, text: &str, finish: &str) -> Vec<u8> {
        let finish_reason = Some(finish);
        let body = match self.style {
            Style::Completion => {
                let choice = TextChoice { index: 0, text, finish_reason };
                serde_json::to_vec(&self.object(id, "text_completion", choice))
            }
            Style::Chat => {
                let message = Delta { role: "assistant", content: text };
                let choice = MessageChoice { index: 0, message, finish_reason };
                serde_json::to_vec(&self.object(id, "chat.completion", choice))
            }
        };
        body.expect("answers are JSON")
    }

    fn chunk(&self, out: &mut Vec<u8>, id: &str, text: &str, finish_reason: Option<&str>) {
        match self.style {
            Style::Completion => {
                let choice = TextChoice { index: 0, text, finish_reason };
                event(out, &self.object(id, "text_completion", choice));
            }
            Style::Chat => {
                let delta = Delta { role: "assistant", content: text };
                let choice = DeltaChoice { index: 0, delta, finish_reason };
                event(out, &self.object(id, "chat.completion.chunk", choice));
            }
        }
    }

    /// Renders the answer that a retry with the same idempotency key will get, in the shape first asked for.
    fn keeper(self, stream: bool) -> Render {
        Box::new(move |text, finish| {
            let (content, body) = if stream {
                let mut body = Vec::new();
                self.chunk(&mut body, "", text, Some(finish));
                body.extend_from_slice(b"data: [DONE]\n\n");
                ("text/event-stream", body)
            } else {
                ("application/json", self.whole("", text, finish))
            };
            StoredResponse { status: 200, content_type: content.to_owned(), body }
        })
    }
}
