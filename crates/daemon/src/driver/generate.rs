//! Driver of a generation: prefill, import, decode, and the tokens to the caller.

use std::time::Duration;

use teaselshunt_core::{AttemptId, Event, Refusal, RequestId, StepFailure, StoredResponse, Target};
use teaselshunt_wire::engine::{DecodeRequest, ImportRequest, PrefillRequest, TokenEvent};
use tokio::sync::mpsc;

use super::sse::Events;
use crate::control::{Command, Session};
use crate::engines::Engines;

/// Batches of tokens on their way to the caller; a caller that reads slowly holds its own stream up.
const QUEUE: usize = 64;
/// Tokens between two reports of progress to the core.
const REPORT_EVERY: u32 = 64;

/// Renders a whole answer from its text and finish reason.
pub(crate) type Render = Box<dyn Fn(&str, &str) -> StoredResponse + Send + Sync>;

/// A generation as the caller asked for it.
pub(crate) struct Generation {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) limit: u32,
    /// Renders the whole answer, text and finish reason, for a retry with the same idempotency key.
    pub(crate) render: Option<Render>,
}

/// One token for the caller.
#[derive(Debug)]
pub(crate) struct Token {
    pub(crate) text: String,
    pub(crate) finish: Option<String>,
}

/// What the caller gets.
#[derive(Debug)]
pub(crate) enum Output {
    Accepted(RequestId),
    Tokens(Vec<Token>),
    Refused(Refusal),
    Replayed(StoredResponse),
}

/// Why a driver stops short.
enum Halt {
    /// A step failed; the core decides what next.
    Fault(StepFailure),
    /// The caller is gone.
    Gone,
    /// The core wants something else.
    Command(Box<Command>),
}

impl From<StepFailure> for Halt {
    fn from(fault: StepFailure) -> Self {
        Self::Fault(fault)
    }
}

/// Starts the driver of a generation.
pub(crate) fn start_generation(
    session: Session,
    engines: Engines,
    generation: Generation,
) -> mpsc::Receiver<Output> {
    let (output, receiver) = mpsc::channel(QUEUE);
    let driver = Driver {
        session,
        engines,
        generation,
        output,
        handle: String::new(),
        generated: String::new(),
        offset: 0,
    };
    tokio::spawn(driver.run());
    receiver
}

struct Driver {
    session: Session,
    engines: Engines,
    generation: Generation,
    output: mpsc::Sender<Output>,
    /// Names the KV cache of the last prefill.
    handle: String,
    /// Text passed to the caller so far.
    generated: String,
    /// Tokens passed to the caller so far.
    offset: u32,
}

impl Driver {
    async fn run(mut self) {
        let mut next = None;
        loop {
            let command = match next.take() {
                Some(command) => command,
                None => match self.idle().await {
                    Ok(command) => command,
                    Err(_) => return,
                },
            };
            match self.perform(command).await {
                Ok(true) => return self.session.close(),
                // The core has been told of a fault and decides what next.
                Ok(false) | Err(Halt::Fault(_)) => {}
                Err(Halt::Gone) => return,
                Err(Halt::Command(command)) => next = Some(*command),
            }
        }
    }

    /// Waits for the core's next command.
    async fn idle(&mut self) -> Result<Command, Halt> {
        let output = self.output.clone();
        tokio::select! {
            command = self.session.commands.recv() => command.ok_or(Halt::Gone),
            () = output.closed() => Err(Halt::Gone),
        }
    }

    /// Does one command; `true` if the request has had its final answer.
    async fn perform(&mut self, command: Command) -> Result<bool, Halt> {
        match command {
            Command::Accepted(id) => self.pass(Output::Accepted(id)).await.map(|()| false),
            Command::Prefill { attempt, target, priority, timeout } => {
                let result = self.prefill(attempt, target, priority, timeout).await;
                self.report(attempt, result).map(|()| false)
            }
            Command::Import { attempt, origin, target, timeout } => {
                let result = self.import(attempt, origin, target, timeout).await;
                self.report(attempt, result).map(|()| false)
            }
            Command::Decode { attempt, target, resume, priority, stall } => {
                let request = DecodeRequest {
                    request_id: attempt.to_string(),
                    resume: resume.map(|r| r.to_string()),
                    offset: self.offset,
                    max_tokens: self.generation.limit,
                    priority,
                };
                let result = self.decode(attempt, target, &request, stall).await;
                let done = result.is_ok();
                self.report(attempt, result).map(|()| done)
            }
            Command::Refuse(refusal) => self.pass(Output::Refused(refusal)).await.map(|()| true),
            Command::Replay(stored) => self.pass(Output::Replayed(stored)).await.map(|()| true),
            Command::Call { .. } => unreachable!("a generation is never a call"),
        }
    }

    /// Tells the core how a step ended. Only a fault is its business; a caller that is gone or a new command
    /// comes from elsewhere.
    fn report(&mut self, attempt: AttemptId, result: Result<Event, Halt>) -> Result<(), Halt> {
        match result {
            Ok(event) => self.session.send(event),
            Err(Halt::Fault(fault)) => {
                self.session.send(Event::Failed { attempt, failure: fault, offset: self.offset });
            }
            Err(halt) => return Err(halt),
        }
        Ok(())
    }

    async fn pass(&mut self, output: Output) -> Result<(), Halt> {
        self.output.send(output).await.map_err(|_| Halt::Gone)
    }

    async fn prefill(
        &mut self,
        attempt: AttemptId,
        target: Target,
        priority: u8,
        timeout: Duration,
    ) -> Result<Event, Halt> {
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
        let response = race(&mut self.session, &self.output, step).await?;
        self.handle = response.handle;
        Ok(Event::Prefilled { attempt, bytes: response.kv_bytes, cached: response.cached_tokens })
    }

    async fn import(
        &mut self,
        attempt: AttemptId,
        origin: Target,
        target: Target,
        timeout: Duration,
    ) -> Result<Event, Halt> {
        let handle = self.handle.clone();
        let request = ImportRequest { request_id: attempt.to_string(), origin: origin.address, handle };
        let engines = self.engines.clone();
        let step = engines.import(target.address, &request, timeout);
        race(&mut self.session, &self.output, step).await?;
        Ok(Event::Imported { attempt })
    }

    async fn decode(
        &mut self,
        attempt: AttemptId,
        target: Target,
        request: &DecodeRequest,
        stall: Duration,
    ) -> Result<Event, Halt> {
        let engines = self.engines.clone();
        let open = timely(stall, engines.decode(target.address, request));
        let mut response = race(&mut self.session, &self.output, open).await?;
        let mut events = Events::default();
        let mut batch = Vec::new();
        let mut reported = None;
        loop {
            let read = timely(stall, async { response.chunk().await.map_err(|_| StepFailure::Broken) });
            // The end of the stream before the last token is a break: nothing short may pass for whole.
            let bytes = race(&mut self.session, &self.output, read).await?.ok_or(StepFailure::Broken)?;
            events.push(&bytes, &mut batch)?;
            let finish = self.forward(&mut batch).await?;
            if let Some(finish) = finish {
                let stored = self.stored(&finish);
                return Ok(Event::Finished { attempt, offset: self.offset, stored });
            }
            if self.offset > 0 && reported.is_none_or(|at| self.offset >= at + REPORT_EVERY) {
                reported = Some(self.offset);
                self.session.send(Event::Advanced { attempt, offset: self.offset });
            }
        }
    }

    /// Passes new tokens on; the finish reason if the last one is among them.
    async fn forward(&mut self, batch: &mut Vec<TokenEvent>) -> Result<Option<String>, Halt> {
        let mut tokens = Vec::with_capacity(batch.len());
        let mut finish = None;
        for event in batch.drain(..) {
            if event.offset < self.offset {
                // Sent twice by an engine that resumed a little early; the caller has it.
                continue;
            }
            if event.offset > self.offset {
                // A hole would be an answer that is not whole.
                return Err(StepFailure::Broken.into());
            }
            self.offset += 1;
            self.generated.push_str(&event.text);
            finish.clone_from(&event.finish);
            tokens.push(Token { text: event.text, finish: event.finish });
        }
        if !tokens.is_empty() {
            self.pass(Output::Tokens(tokens)).await?;
        }
        Ok(finish)
    }

    fn stored(&self, finish: &str) -> Option<StoredResponse> {
        let render = self.generation.render.as_ref()?;
        let stored = render(&self.generated, finish);
        (stored.body.len() <= StoredResponse::MAX_BODY_BYTES).then_some(stored)
    }
}

/// Runs a step until it ends, the core wants something else, or the caller goes.
async fn race<T>(
    session: &mut Session,
    output: &mpsc::Sender<Output>,
    step: impl Future<Output = Result<T, StepFailure>>,
) -> Result<T, Halt> {
    tokio::select! {
        result = step => Ok(result?),
        command = session.commands.recv() => Err(command.map_or(Halt::Gone, |c| Halt::Command(Box::new(c)))),
        () = output.closed() => Err(Halt::Gone),
    }
}

/// A step without progress for too long has stalled.
async fn timely<T>(
    stall: Duration,
    step: impl Future<Output = Result<T, StepFailure>>,
) -> Result<T, StepFailure> {
    tokio::time::timeout(stall, step).await.unwrap_or(Err(StepFailure::Stalled))
}
