//! Driver of a generation: prefill, import, decode, and the tokens that are passed to the caller.
//!
//! The caller gets the tokens of one run at a time. While the engine of a run is silent, the core may seek another
//! engine, and the run is read all that time. A token of the run makes the steps of that search obsolete; the begin
//! of another run replaces it. The driver alone decides which came first, so that tokens of two runs never mix.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use teaselshunt_core::{AttemptId, Event, Refusal, RequestId, StepFailure, StoredResponse, Target};
use teaselshunt_wire::engine::{DecodeRequest, ImportRequest, PrefillRequest, PrefillResponse, TokenEvent};
use tokio::sync::mpsc;

use super::run::{Run, RunEvent};
use crate::callers::{Passage, Progress};
use crate::control::{Command, Session};
use crate::engines::Engines;

/// Capacity of the queue to the caller, in outputs (batches of tokens). A caller that reads slowly delays
/// only its own stream.
const QUEUE_OUTPUTS: usize = 64;
/// Largest text of a response.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
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

/// The caller has disconnected, or the control thread has ended.
struct CallerGone;

/// A prefill or import in progress.
struct Step {
    attempt: AttemptId,
    work: Pin<Box<dyn Future<Output = Result<StepResult, StepFailure>> + Send>>,
}

enum StepResult {
    Prefilled(PrefillResponse),
    Imported,
}

/// What the driver reacts to.
enum Input {
    Command(Command),
    Step(AttemptId, Result<StepResult, StepFailure>),
    Run(RunEvent),
    Second(RunEvent),
}

/// Starts the driver of a generation.
pub(crate) fn start_generation(
    session: Session,
    engines: Engines,
    generation: Generation,
    passage: &Passage,
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
        step: None,
        run: None,
        second: None,
        search: Search::None,
        progress: Arc::clone(&passage.progress),
    };
    passage.spawn_driver(driver.run());
    receiver
}

/// Search for another engine beside a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Search {
    None,
    Running,
    /// The run has gone on, and the core has not confirmed yet that the search has ended.
    Obsolete,
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
    step: Option<Step>,
    /// The run whose tokens the caller gets.
    run: Option<Run>,
    /// A run that replaces `run` as soon as its engine responds.
    second: Option<Run>,
    search: Search,
    progress: Arc<Progress>,
}

impl Driver {
    async fn run(mut self) {
        loop {
            let done = match self.next_input().await {
                Ok(input) => self.handle(input).await,
                Err(CallerGone) => Err(CallerGone),
            };
            match done {
                Ok(true) => return self.session.close(),
                Ok(false) => {}
                Err(CallerGone) => return,
            }
        }
    }

    async fn next_input(&mut self) -> Result<Input, CallerGone> {
        tokio::select! {
            biased;
            () = self.output.closed() => Err(CallerGone),
            command = self.session.commands.recv() => command.map(Input::Command).ok_or(CallerGone),
            event = next_event(&mut self.run) => Ok(Input::Run(event)),
            event = next_event(&mut self.second) => Ok(Input::Second(event)),
            (attempt, result) = step_result(&mut self.step) => Ok(Input::Step(attempt, result)),
        }
    }

    /// Returns `true` if the caller has received its final output.
    async fn handle(&mut self, input: Input) -> Result<bool, CallerGone> {
        match input {
            Input::Command(command) => return self.perform(command).await,
            Input::Step(attempt, result) => self.step_ended(attempt, result),
            Input::Run(RunEvent::Began) => {}
            Input::Run(RunEvent::Tokens(index, tokens)) => return self.forward_tokens(index, tokens).await,
            Input::Run(RunEvent::Stalled) => self.report_run(self.run.as_ref(), StepFailure::Stalled),
            Input::Run(RunEvent::Failed(failure)) => self.run_failed(failure),
            Input::Second(RunEvent::Began | RunEvent::Tokens(..)) => self.replace_run(),
            Input::Second(RunEvent::Stalled) => self.report_run(self.second.as_ref(), StepFailure::Stalled),
            Input::Second(RunEvent::Failed(failure)) => {
                let second = self.second.take();
                self.report_run(second.as_ref(), failure);
            }
        }
        Ok(false)
    }

    async fn perform(&mut self, command: Command) -> Result<bool, CallerGone> {
        match command {
            Command::Accepted(id) => {
                self.progress.set_request(id);
                self.send_output(Output::Accepted(id)).await?;
            }
            Command::Refuse(refusal) => {
                self.send_output(Output::Refused(refusal)).await?;
                return Ok(true);
            }
            Command::Replay(stored) => {
                self.send_output(Output::Replayed(stored)).await?;
                return Ok(true);
            }
            Command::Continue => self.end_search(Search::None),
            Command::Prefill { .. } | Command::Import { .. } | Command::Decode { .. }
                if self.search == Search::Obsolete => {}
            Command::Prefill { attempt, target, kept, priority, timeout } => {
                if !kept {
                    // The earlier run of the request was cancelled.
                    self.run = None;
                }
                // A kept run may have ended meanwhile.
                self.end_search(if self.run.is_some() { Search::Running } else { Search::None });
                self.start_prefill(attempt, target, priority, timeout);
            }
            Command::Import { attempt, origin, target, timeout } => {
                self.start_import(attempt, origin, target, timeout);
            }
            Command::Decode { attempt, target, resume, priority, stall_timeout } => {
                self.start_run(attempt, target, resume, priority, stall_timeout);
            }
            Command::Call { .. } => unreachable!("a generation is never a call"),
        }
        Ok(false)
    }

    /// Drops the steps that seek another engine.
    fn end_search(&mut self, search: Search) {
        self.step = None;
        self.second = None;
        self.search = search;
    }

    async fn send_output(&mut self, output: Output) -> Result<(), CallerGone> {
        self.output.send(output).await.map_err(|_| CallerGone)
    }

    fn start_prefill(&mut self, attempt: AttemptId, target: Target, priority: u8, timeout: Duration) {
        let request = PrefillRequest {
            request_id: attempt.to_string(),
            model: self.generation.model.clone(),
            prompt: self.generation.prompt.clone(),
            generated: self.generated.clone(),
            offset: self.offset,
            priority,
        };
        let (engines, progress) = (self.engines.clone(), Arc::clone(&self.progress));
        let work = async move {
            if !progress.begin_step() {
                return Err(StepFailure::NotSent);
            }
            engines.prefill(target.address, &request, timeout).await.map(StepResult::Prefilled)
        };
        self.step = Some(Step { attempt, work: Box::pin(work) });
    }

    fn start_import(&mut self, attempt: AttemptId, origin: Target, target: Target, timeout: Duration) {
        let handle = self.handle.clone();
        let request = ImportRequest { request_id: attempt.to_string(), origin: origin.address, handle };
        let engines = self.engines.clone();
        let work = async move {
            engines.import(target.address, &request, timeout).await.map(|_| StepResult::Imported)
        };
        self.step = Some(Step { attempt, work: Box::pin(work) });
    }

    fn step_ended(&mut self, attempt: AttemptId, result: Result<StepResult, StepFailure>) {
        self.step = None;
        self.progress.end_step(result.as_ref().is_err_and(|failure| failure.not_started()));
        let event = match result {
            Ok(StepResult::Prefilled(response)) => {
                self.handle = response.handle;
                Event::Prefilled { attempt, bytes: response.kv_bytes, cached: response.cached_tokens }
            }
            Ok(StepResult::Imported) => Event::Imported { attempt },
            Err(failure) => Event::Failed { attempt, failure, offset: self.offset },
        };
        self.session.send(event);
    }

    /// Begins to read a stream, or resumes it over another connection.
    fn start_run(
        &mut self,
        attempt: AttemptId,
        target: Target,
        resume: Option<AttemptId>,
        priority: u8,
        stall_timeout: Duration,
    ) {
        let request = DecodeRequest {
            request_id: attempt.to_string(),
            resume: resume.map(|r| r.to_string()),
            offset: self.offset,
            max_tokens: self.generation.max_tokens,
            priority,
        };
        let engines = self.engines.clone();
        let open = async move { engines.decode(target.address, &request).await };
        let runs = [&mut self.run, &mut self.second].into_iter().flatten();
        let resumed = runs.into_iter().find(|run| Some(run.attempt) == resume);
        if let Some(run) = resumed {
            return run.resume(attempt, open);
        }
        let place = if self.run.is_some() { &mut self.second } else { &mut self.run };
        *place = Some(Run::new(attempt, stall_timeout, open));
    }

    fn report_run(&self, run: Option<&Run>, failure: StepFailure) {
        if let Some(run) = run {
            self.session.send(Event::Failed { attempt: run.attempt, failure, offset: self.offset });
        }
    }

    fn run_failed(&mut self, failure: StepFailure) {
        let run = self.run.take();
        self.report_run(run.as_ref(), failure);
        if self.second.is_some() {
            self.replace_run();
        } else if self.search == Search::Running {
            // Its steps are those of the request now.
            self.search = Search::None;
        }
    }

    /// Gives the caller's stream to the second run.
    fn replace_run(&mut self) {
        self.run = self.second.take();
        self.end_search(Search::None);
        if let Some(run) = &self.run {
            self.session.send(Event::Began { attempt: run.attempt });
        }
    }

    /// Passes new tokens on to the caller. Returns whether the last one is among them.
    async fn forward_tokens(&mut self, index: usize, batch: Vec<TokenEvent>) -> Result<bool, CallerGone> {
        let Some(tokens) = self.new_tokens(batch) else {
            // A token is missing, and the response would be incomplete, or it has no end.
            let failed = self.run.as_mut().and_then(|run| run.connection_failed(index, StepFailure::Broken));
            if let Some(failure) = failed {
                self.run_failed(failure);
            }
            return Ok(false);
        };
        let finish = tokens.last().and_then(|token| token.finish.clone());
        if tokens.is_empty() {
            return Ok(false);
        }
        self.send_output(Output::Tokens(tokens)).await?;
        Ok(self.has_progressed(finish.as_deref()))
    }

    /// The tokens of a batch that the caller does not have. `None` if one is missing between, or if they are more than
    /// the caller asked for.
    fn new_tokens(&mut self, batch: Vec<TokenEvent>) -> Option<Vec<Token>> {
        // The engine may have resumed before the requested offset.
        let new = batch.into_iter().skip_while(|event| event.offset < self.offset);
        let tokens: Vec<TokenEvent> = new.collect();
        if tokens.iter().zip(self.offset..).any(|(event, offset)| event.offset != offset) {
            return None;
        }
        let bytes: usize = tokens.iter().map(|event| event.text.len()).sum();
        let is_bounded = self.offset + tokens.len() as u32 <= self.generation.max_tokens
            && self.generated.len() + bytes <= MAX_RESPONSE_BYTES;
        if !is_bounded {
            return None;
        }
        self.offset += tokens.len() as u32;
        let token = |event: TokenEvent| {
            self.generated.push_str(&event.text);
            Token { text: event.text, finish: event.finish }
        };
        Some(tokens.into_iter().map(token).collect())
    }

    /// Reports progress to the core. Returns whether the response is complete.
    fn has_progressed(&mut self, finish: Option<&str>) -> bool {
        let (offset, stored) = (self.offset, finish.and_then(|f| self.stored_response(f)));
        let Some(run) = &mut self.run else {
            return false;
        };
        run.has_progressed();
        let attempt = run.attempt;
        if finish.is_some() {
            self.session.send(Event::Finished { attempt, offset, stored });
            return true;
        }
        let is_due = run.reported.is_none_or(|at| offset >= at + TOKENS_PER_REPORT);
        if is_due || self.search == Search::Running {
            run.reported = Some(offset);
            self.session.send(Event::Advanced { attempt, offset });
        }
        if self.search == Search::Running {
            self.end_search(Search::Obsolete);
        }
        false
    }

    fn stored_response(&self, finish: &str) -> Option<StoredResponse> {
        let render = self.generation.render.as_ref()?;
        let stored = render(&self.generated, finish);
        (stored.body.len() <= StoredResponse::MAX_BODY_BYTES).then_some(stored)
    }
}

async fn next_event(run: &mut Option<Run>) -> RunEvent {
    match run {
        Some(run) => run.next().await,
        None => std::future::pending().await,
    }
}

async fn step_result(step: &mut Option<Step>) -> (AttemptId, Result<StepResult, StepFailure>) {
    match step {
        Some(step) => (step.attempt, step.work.as_mut().await),
        None => std::future::pending().await,
    }
}
