//! Driver of a generation: prefill, import, decode, and the tokens that are passed to the caller.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use reqwest::Response;
use teaselshunt_core::{AttemptId, Event, Refusal, RequestId, StepFailure, StoredResponse, Target};
use teaselshunt_wire::engine::{DecodeRequest, ImportRequest, PrefillRequest, TokenEvent};
use tokio::sync::mpsc;

use super::sse::EventParser;
use crate::control::{Command, Session};
use crate::engines::Engines;

/// Capacity of the queue to the caller, in outputs (batches of tokens). A caller that reads slowly delays
/// only its own stream.
const QUEUE_OUTPUTS: usize = 64;
/// Tokens between two progress reports to the core.
const TOKENS_PER_REPORT: u32 = 64;

/// Renders a complete response from its text and finish reason.
pub(crate) type Render = Box<dyn Fn(&str, &str) -> StoredResponse + Send + Sync>;

/// A generation that a caller requested.
pub(crate) struct Generation {
    pub(crate) model: String,
    pub(crate) prompt: String,
    /// Maximum number of tokens to generate.
    pub(crate) max_tokens: u32,
    /// Renders the response that is stored for retries with the same idempotency key; `None` without a key.
    pub(crate) render: Option<Render>,
}

/// One token for the caller.
#[derive(Debug)]
pub(crate) struct Token {
    pub(crate) text: String,
    pub(crate) finish: Option<String>,
}

/// Output to the caller.
#[derive(Debug)]
pub(crate) enum Output {
    Accepted(RequestId),
    Tokens(Vec<Token>),
    Refused(Refusal),
    Replayed(StoredResponse),
}

/// Why a step ended without a result.
enum Interruption {
    /// The step failed; the core decides on the next command.
    Failure(StepFailure),
    /// The caller has disconnected, or the control thread has ended.
    CallerGone,
    /// The core has sent another command.
    Command(Box<Command>),
}

impl From<StepFailure> for Interruption {
    fn from(failure: StepFailure) -> Self {
        Self::Failure(failure)
    }
}

/// Starts the driver of a generation.
pub(crate) fn start_generation(
    session: Session,
    engines: Engines,
    generation: Generation,
) -> mpsc::Receiver<Output> {
    let (output, receiver) = mpsc::channel(QUEUE_OUTPUTS);
    let driver = Driver {
        session,
        engines,
        generation,
        output,
        handle: String::new(),
        generated: String::new(),
        offset: 0,
        sources: Vec::new(),
    };
    tokio::spawn(driver.run());
    receiver
}

struct Driver {
    session: Session,
    engines: Engines,
    generation: Generation,
    output: mpsc::Sender<Output>,
    /// Handle of the KV cache of the last prefill.
    handle: String,
    /// Text passed to the caller so far.
    generated: String,
    /// Tokens passed to the caller so far.
    offset: u32,
    /// Connections over which a stream is read, the latest first.
    sources: Vec<Source>,
}

/// A connection over which a stream is read.
struct Source {
    state: SourceState,
    parser: EventParser,
}

enum SourceState {
    Opening(Pin<Box<dyn Future<Output = Result<Response, StepFailure>> + Send>>),
    Open(Response),
}

impl Source {
    fn opening(open: impl Future<Output = Result<Response, StepFailure>> + Send + 'static) -> Self {
        Self { state: SourceState::Opening(Box::pin(open)), parser: EventParser::default() }
    }

    /// The next bytes. A stream that ends before its last token is broken: a truncated response must not pass for a
    /// complete one.
    async fn read(&mut self) -> Result<Bytes, StepFailure> {
        loop {
            match &mut self.state {
                SourceState::Opening(open) => {
                    let response = open.await?;
                    self.state = SourceState::Open(response);
                }
                SourceState::Open(response) => {
                    let chunk = response.chunk().await.map_err(|_| StepFailure::Broken)?;
                    return chunk.ok_or(StepFailure::Broken);
                }
            }
        }
    }
}

impl Driver {
    async fn run(mut self) {
        let mut next = None;
        loop {
            let command = match next.take() {
                Some(command) => command,
                None => match self.next_command().await {
                    Ok(command) => command,
                    Err(_) => return,
                },
            };
            match self.perform(command).await {
                Ok(true) => return self.session.close(),
                // A failure has been reported to the core, which decides on the next command.
                Ok(false) | Err(Interruption::Failure(_)) => {}
                Err(Interruption::CallerGone) => return,
                Err(Interruption::Command(command)) => next = Some(*command),
            }
        }
    }

    /// Waits for the core's next command.
    async fn next_command(&mut self) -> Result<Command, Interruption> {
        let output = self.output.clone();
        tokio::select! {
            command = self.session.commands.recv() => command.ok_or(Interruption::CallerGone),
            () = output.closed() => Err(Interruption::CallerGone),
        }
    }

    /// Performs a command. Returns `true` if the caller has received its final output.
    async fn perform(&mut self, command: Command) -> Result<bool, Interruption> {
        match command {
            Command::Accepted(id) => self.send_output(Output::Accepted(id)).await.map(|()| false),
            Command::Prefill { attempt, target, priority, timeout } => {
                // The earlier run of the request was cancelled.
                self.sources.clear();
                let result = self.prefill(attempt, target, priority, timeout).await;
                self.report(attempt, result).map(|()| false)
            }
            Command::Import { attempt, origin, target, timeout } => {
                let result = self.import(attempt, origin, target, timeout).await;
                self.report(attempt, result).map(|()| false)
            }
            Command::Decode { attempt, target, resume, priority, stall_timeout } => {
                let request = DecodeRequest {
                    request_id: attempt.to_string(),
                    resume: resume.map(|r| r.to_string()),
                    offset: self.offset,
                    max_tokens: self.generation.max_tokens,
                    priority,
                };
                let result = self.decode(attempt, target, request, stall_timeout).await;
                let done = result.is_ok();
                self.report(attempt, result).map(|()| done)
            }
            Command::Refuse(refusal) => self.send_output(Output::Refused(refusal)).await.map(|()| true),
            Command::Replay(stored) => self.send_output(Output::Replayed(stored)).await.map(|()| true),
            Command::Call { .. } => unreachable!("a generation is never a call"),
        }
    }

    /// Reports the end of a step to the core. A disconnect of the caller or a new command is not reported:
    /// the core learns of the disconnect from the session, and has sent the command itself.
    fn report(
        &mut self,
        attempt: AttemptId,
        result: Result<Event, Interruption>,
    ) -> Result<(), Interruption> {
        match result {
            Ok(event) => self.session.send(event),
            Err(Interruption::Failure(failure)) => {
                self.session.send(Event::Failed { attempt, failure, offset: self.offset });
            }
            Err(interruption) => return Err(interruption),
        }
        Ok(())
    }

    async fn send_output(&mut self, output: Output) -> Result<(), Interruption> {
        self.output.send(output).await.map_err(|_| Interruption::CallerGone)
    }

    async fn prefill(
        &mut self,
        attempt: AttemptId,
        target: Target,
        priority: u8,
        timeout: Duration,
    ) -> Result<Event, Interruption> {
        let request = PrefillRequest {
            request_id: attempt.to_string(),
            model: self.generation.model.clone(),
            prompt: self.generation.prompt.clone(),
            generated: self.generated.clone(),
            offset: self.offset,
            priority,
        };
        let engines = self.engines.clone();
        let step = engines.prefill(target.address, &request, timeout);
        let response = run_step(&mut self.session, &self.output, step).await?;
        self.handle = response.handle;
        Ok(Event::Prefilled { attempt, bytes: response.kv_bytes, cached: response.cached_tokens })
    }

    async fn import(
        &mut self,
        attempt: AttemptId,
        origin: Target,
        target: Target,
        timeout: Duration,
    ) -> Result<Event, Interruption> {
        let handle = self.handle.clone();
        let request = ImportRequest { request_id: attempt.to_string(), origin: origin.address, handle };
        let engines = self.engines.clone();
        let step = engines.import(target.address, &request, timeout);
        run_step(&mut self.session, &self.output, step).await?;
        Ok(Event::Imported { attempt })
    }

    /// Reads a stream to its last token.
    ///
    /// A stream that is resumed is still read over its earlier connection as well. The engine has the stream, whichever
    /// connection it writes to, so that tokens of both are the same and count by their offsets.
    async fn decode(
        &mut self,
        attempt: AttemptId,
        target: Target,
        request: DecodeRequest,
        stall_timeout: Duration,
    ) -> Result<Event, Interruption> {
        let engines = self.engines.clone();
        let resumes = request.resume.is_some();
        let open = async move { engines.decode(target.address, &request).await };
        self.sources.retain(|_| resumes);
        self.sources.truncate(1);
        self.sources.insert(0, Source::opening(open));
        // Why the latest connection ended, while the earlier one is still read.
        let mut ended = None;
        let mut reported = None;
        loop {
            let Some((index, read)) = self.next_read(stall_timeout).await? else {
                // What was left in the earlier connection has arrived by now.
                if let Some(failure) = ended {
                    return Err(Interruption::Failure(failure));
                }
                let failure = StepFailure::Stalled;
                self.session.send(Event::Failed { attempt, failure, offset: self.offset });
                // The next token ends the stall.
                reported = None;
                continue;
            };
            let mut batch = Vec::new();
            let forwarded = match read.and_then(|bytes| self.sources[index].parser.push(&bytes, &mut batch)) {
                Ok(()) => self.forward_tokens(&mut batch).await,
                Err(failure) => Err(failure.into()),
            };
            let finish = match forwarded {
                Ok(finish) => finish,
                Err(Interruption::Failure(failure)) => {
                    self.sources.remove(index);
                    if self.sources.is_empty() {
                        return Err(Interruption::Failure(failure));
                    }
                    if index == 0 {
                        ended = Some(failure);
                    }
                    None
                }
                Err(interruption) => return Err(interruption),
            };
            if let Some(finish) = finish {
                let stored = self.stored_response(&finish);
                return Ok(Event::Finished { attempt, offset: self.offset, stored });
            }
            if self.offset > 0 && reported.is_none_or(|at| self.offset >= at + TOKENS_PER_REPORT) {
                reported = Some(self.offset);
                self.session.send(Event::Advanced { attempt, offset: self.offset });
            }
        }
    }

    /// Reads from any connection of the stream, and returns which it was. `None` if nothing arrives for `stall_timeout`.
    async fn next_read(
        &mut self,
        stall_timeout: Duration,
    ) -> Result<Option<(usize, Result<Bytes, StepFailure>)>, Interruption> {
        let mut reads: FuturesUnordered<_> = self
            .sources
            .iter_mut()
            .enumerate()
            .map(|(index, source)| async move { (index, source.read().await) })
            .collect();
        let read = async { Ok(reads.next().await) };
        let running = run_step(&mut self.session, &self.output, read);
        tokio::time::timeout(stall_timeout, running).await.unwrap_or(Ok(None))
    }

    /// Passes new tokens on to the caller. Returns the finish reason if the last token is among them.
    async fn forward_tokens(&mut self, batch: &mut Vec<TokenEvent>) -> Result<Option<String>, Interruption> {
        let mut tokens = Vec::with_capacity(batch.len());
        let mut finish = None;
        for event in batch.drain(..) {
            if event.offset < self.offset {
                // The engine resumed before the requested offset; the caller has this token already.
                continue;
            }
            if event.offset > self.offset {
                // A token is missing; the response would be incomplete.
                return Err(StepFailure::Broken.into());
            }
            self.offset += 1;
            self.generated.push_str(&event.text);
            finish.clone_from(&event.finish);
            tokens.push(Token { text: event.text, finish: event.finish });
        }
        if !tokens.is_empty() {
            self.send_output(Output::Tokens(tokens)).await?;
        }
        Ok(finish)
    }

    fn stored_response(&self, finish: &str) -> Option<StoredResponse> {
        let render = self.generation.render.as_ref()?;
        let stored = render(&self.generated, finish);
        (stored.body.len() <= StoredResponse::MAX_BODY_BYTES).then_some(stored)
    }
}

/// Runs a step until the step ends, the core sends another command, or the caller disconnects.
async fn run_step<T>(
    session: &mut Session,
    output: &mpsc::Sender<Output>,
    step: impl Future<Output = Result<T, StepFailure>>,
) -> Result<T, Interruption> {
    tokio::select! {
        result = step => Ok(result?),
        command = session.commands.recv() => {
            Err(command.map_or(Interruption::CallerGone, |c| Interruption::Command(Box::new(c))))
        }
        () = output.closed() => Err(Interruption::CallerGone),
    }
}
