//! Relays streams of events from an endpoint to a caller.
//!
//! A stream that breaks closes the caller's connection without an end mark, so that the stream does not look
//! complete. A resumable stream resumes at another engine after the last event that the caller has, or begins
//! again there if the caller has nothing of it. Only complete events of a resumable stream are relayed, since an
//! engine may stop in the middle of one.
//!
//! A run does not end because its engine is silent: engines stop for a moment and go on. Another engine is searched
//! meanwhile, and the one that goes on first has the stream. Events of two runs never mix: whatever the run sends ends the
//! search, so that nothing is relayed between the event after which another engine begins and that engine's first event,
//! which ends the run.
//!
//! Each wait of a stream ends at the deadline of its request: for the next piece, for the caller to take one, and for
//! another engine. The stream is truncated then. The next piece is never there many times in a row, which would pass over
//! the deadline: the task of a connection passes on one at a time.
//!
//! The end of the caller's response is marked only where that of the first run's is, and only if the last run is
//! known to be complete.

mod events;

use std::cell::Cell;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Instant;

use futures_util::FutureExt;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use slog::info;
use teaselshunt_completeness::{Completeness, Truncation};
use teaselshunt_routing::{BodyKind, EndpointKey, SilenceStep, StepOutcome};

use crate::body::{PieceSender, ResponseBody, relay_channel, relayed_response};
use crate::buffering::BufferedBytes;
use crate::crashes::{self, Progress};
use crate::deadline;
use crate::generate::Started;
use crate::in_flight::InFlightWork;
use crate::load;
use crate::node::{Answer, Job, Node};
use crate::pace::StreamTimer;
use crate::quarantine;
use crate::response_reader::{Piece, ResponseEnd, ResponseReader};
use crate::resume::{self, Interrupted, NotResumed, Search};
use crate::silence::SilenceWatch;
use crate::stream::events::Events;
use crate::trace::Trace;

/// The request of a stream, and how often it has run.
#[derive(Debug)]
pub(crate) struct StreamJob {
    job: Job,
    /// Runs that engines may have begun; `None` for a stream of a plain service.
    runs: Option<Cell<u32>>,
}

impl StreamJob {
    /// A stream that cannot resume.
    pub(crate) fn not_resumable(job: Job) -> Self {
        Self { job, runs: None }
    }

    /// A stream of a generation, which may resume where the route allows that.
    pub(crate) const fn generation(job: Job, runs: Cell<u32>) -> Self {
        Self { job, runs: Some(runs) }
    }

    fn interrupted<'a>(&'a self, trace: &'a Trace) -> Option<Interrupted<'a>> {
        self.runs.as_ref().map(|runs| Interrupted { job: &self.job, trace, runs })
    }

    fn may_resume(&self, trace: &Trace) -> bool {
        self.interrupted(trace).is_some_and(Interrupted::may_resume)
    }
}

/// How one run of a stream ended.
#[derive(Debug)]
enum RunEnd {
    /// The response ended.
    Ended(ResponseEnd),
    /// Another engine has responded while this one was silent.
    Replaced(Box<Started>),
    /// The caller's deadline has passed.
    TimedOut,
    CallerDisconnected,
}

impl RunEnd {
    /// Whether the engine failed the stream.
    fn is_broken(&self) -> bool {
        match self {
            Self::Ended(end) => matches!(end.completeness, Completeness::Truncated(_)),
            Self::Replaced(_) => true,
            Self::TimedOut | Self::CallerDisconnected => false,
        }
    }

    /// Outcome of the step in logs; `None` for the usual ones.
    fn step_text(&self) -> Option<String> {
        match self {
            Self::Ended(end) if self.is_broken() => Some(format!("broken{end}")),
            Self::Ended(end) if !end.is_usual() => Some(format!("ended{end}")),
            Self::Replaced(_) => Some("broken(stalled)".to_owned()),
            Self::Ended(_) | Self::TimedOut | Self::CallerDisconnected => None,
        }
    }
}

/// Responds with the head of a stream and relays the events in a separate task.
pub(crate) fn relay(
    node: &Rc<Node>,
    stream_job: StreamJob,
    answer: Answer,
    work: InFlightWork,
    trace: Trace,
) -> Response<ResponseBody> {
    trace.record_head();
    let (status, framing) = (answer.head.status.as_u16(), answer.body.framing());
    let (pieces, receiver) = relay_channel();
    let (head, run) = Run::begin(node, Started { answer, work });
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let relayed =
            AssertUnwindSafe(relay_runs(&node, &stream_job, run, pieces, &trace)).catch_unwind().await;
        let outcome = relayed.unwrap_or_else(|panic| {
            trace.record_panic(&deadline::message(&*panic));
            "panicked"
        });
        trace.end(outcome, status);
    });
    relayed_response(head, receiver, framing)
}

/// One run at one engine.
struct Run {
    body: ResponseReader,
    endpoint: EndpointKey,
    sent_at: Instant,
    /// What the head of the response shows about the endpoint.
    outcome: StepOutcome,
    work: InFlightWork,
}

impl Run {
    /// The head shows that the endpoint is not silent. Its result counts at the end of the run: if each head were a success,
    /// an endpoint that breaks all its streams would never have failures in a row.
    fn begin(node: &Node, started: Started) -> (Parts, Self) {
        let Answer { head, body, endpoint, sent_at, outcome } = started.answer;
        node.observe_begun(endpoint);
        (head, Self { body, endpoint, sent_at, outcome, work: started.work })
    }
}

/// Relays a stream to its end, and returns the outcome for logs.
async fn relay_runs(
    node: &Rc<Node>,
    stream_job: &StreamJob,
    mut run: Run,
    pieces: PieceSender,
    trace: &Trace,
) -> &'static str {
    let framed = run.body.framing().marks_end();
    let job = &stream_job.job;
    let mut relay = Relay {
        node,
        stream_job,
        trace,
        pieces,
        events: Events::default(),
        complete_only: stream_job.may_resume(trace),
        timer: Some(StreamTimer::default()),
        search: None,
        progress: Progress::Unanswered,
    };
    loop {
        let Run { endpoint, sent_at, outcome, .. } = run;
        let end = relay.relay_run(run).await;
        if let Some(timer) = relay.timer.take().filter(|_| !end.is_broken()) {
            timer.finish(node, endpoint);
        }
        if let Some(text) = end.step_text() {
            trace.record_step("stream", &node.id_for_log(endpoint), &text);
        }
        if end.is_broken() {
            node.observe_outcome(job, endpoint, StepOutcome::Failed);
            crashes::check_endpoint(node, job, trace, endpoint, sent_at, relay.progress);
        } else if matches!(end, RunEnd::Ended(_)) {
            node.observe_outcome(job, endpoint, outcome);
        } else {
            load::observe_result(node, job, endpoint, outcome);
        }
        let next = match end {
            RunEnd::Replaced(started) => Ok(started),
            RunEnd::Ended(response_end) if !end.is_broken() => {
                let is_complete = response_end.completeness == Completeness::Complete;
                if is_complete {
                    node.observe_response(job, StatusCode::OK, response_end.completeness);
                    node.observe_output(job, trace.events());
                } else if framed {
                    // The caller of a resumable stream may resume it after its last event.
                    return "end_unknown";
                }
                relay.pieces.end();
                return "answered";
            }
            // The caller has more than it asked for, and another engine would go on after that.
            RunEnd::Ended(end) if end.completeness == Completeness::Truncated(Truncation::TooManyEvents) => {
                return "broken_stream";
            }
            RunEnd::Ended(_) => match relay.resume_elsewhere(endpoint).await {
                Resumption::Found(next) => next,
                Resumption::CallerDisconnected => return "caller_gone",
                Resumption::TimedOut => return "deadline_passed",
            },
            RunEnd::CallerDisconnected => {
                crashes::record_abandoned(node, job, endpoint, sent_at, relay.progress);
                return "caller_gone";
            }
            RunEnd::TimedOut => return "deadline_passed",
        };
        let Ok(started) = next else { return "broken_stream" };
        relay.events.drop_partial();
        info!(node.log, "stream resumed at another engine"; "id" => &job.meta.id, "after" => relay.events.last_id());
        (_, run) = Run::begin(node, *started);
    }
}

/// What became of a stream whose run has ended without its last event.
enum Resumption {
    Found(Result<Box<Started>, NotResumed>),
    /// The caller's deadline has passed.
    TimedOut,
    CallerDisconnected,
}

/// The relay of a stream over all of its runs.
struct Relay<'a> {
    node: &'a Rc<Node>,
    stream_job: &'a StreamJob,
    trace: &'a Trace,
    pieces: PieceSender,
    events: Events,
    /// Whether only complete events are relayed.
    complete_only: bool,
    /// Set for a run that is timed.
    timer: Option<StreamTimer>,
    /// The search for an engine that goes on with the stream.
    search: Option<Search<'a>>,
    /// Whether the present run has sent an event.
    progress: Progress,
}

impl Relay<'_> {
    /// Relays one run. While its engine is silent another one is searched; the one that goes on first has the stream.
    async fn relay_run(&mut self, run: Run) -> RunEnd {
        let Run { mut body, mut work, endpoint, .. } = run;
        self.progress = Progress::Unanswered;
        let (node, job) = (self.node, &self.stream_job.job);
        body.expect_events();
        let may_resume = self.stream_job.may_resume(self.trace);
        let mut watch = SilenceWatch::of_stream(node, job, endpoint, may_resume);
        loop {
            let (data, scan) = tokio::select! {
                biased;
                () = self.pieces.closed() => return RunEnd::CallerDisconnected,
                piece = body.next() => match piece {
                    Piece::Data(data, scan) => (data, scan),
                    Piece::End(end) => {
                        node.finish(body, end);
                        return RunEnd::Ended(end);
                    }
                },
                () = tokio::time::sleep_until(job.deadline.into()) => return RunEnd::TimedOut,
                found = resume::found(&mut self.search) => {
                    self.count_resumption("stalled", resume::outcome(&found));
                    match found {
                        Ok(started) => return RunEnd::Replaced(started),
                        Err(_) => watch.disable(),
                    }
                    continue;
                }
                () = watch.is_due(), if self.search.is_none() => {
                    if watch.look() == SilenceStep::Replace && !self.begin_search(endpoint) {
                        watch.disable();
                    }
                    continue;
                }
            };
            self.trace.record_events(scan.events);
            if scan.events > 0 && self.progress == Progress::Unanswered {
                self.progress = Progress::Answering;
                quarantine::observe_start(node, job);
            }
            let received = node.now();
            if let Some(timer) = &mut self.timer {
                timer.record(received, scan.events);
            }
            self.record_life(endpoint);
            if let Some(produced) =
                node.tokens_for_events(job, self.trace.events()).filter(|_| job.service.engine.is_some())
            {
                account_growth(&mut work, job, produced);
            }
            let data = if self.complete_only { self.events.take_complete(data, scan) } else { data };
            if !data.is_empty() {
                // A slow caller occupies its engine no longer than until its deadline.
                let sent = self.pieces.send(data, BufferedBytes::new(node, BodyKind::Response));
                match tokio::time::timeout_at(job.deadline.into(), sent).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return RunEnd::CallerDisconnected,
                    Err(_) => return RunEnd::TimedOut,
                }
                if let Some(timer) = &mut self.timer {
                    timer.record_wait(node.now().duration_since(received));
                }
            }
            watch.end();
        }
    }

    /// Begins a search since the engine of a run is silent and others respond. Returns `false` if the stream cannot resume.
    fn begin_search(&mut self, engine: EndpointKey) -> bool {
        let (node, trace) = (self.node, self.trace);
        let (Some(interrupted), Some(point)) =
            (self.stream_job.interrupted(trace), self.events.resume_point())
        else {
            return false;
        };
        trace.record_step("stream", &node.id_for_log(engine), "silent");
        self.search = Some(interrupted.search(node, point, engine));
        true
    }

    /// The engine of a run has sent something. A search for another one ends.
    fn record_life(&mut self, engine: EndpointKey) {
        self.node.state.borrow_mut().signs.observe(self.node.now(), &self.stream_job.job.service.name);
        if self.search.take().is_some() {
            self.trace.record_step("stream", &self.node.id_for_log(engine), "went_on");
            self.count_resumption("stalled", "went_on");
        }
    }

    /// Waits for an engine that goes on with a stream whose run at `engine` has ended.
    async fn resume_elsewhere(&mut self, engine: EndpointKey) -> Resumption {
        let job = &self.stream_job.job;
        if self.search.is_none() {
            let interrupted = self.stream_job.interrupted(self.trace).filter(|i| i.may_resume());
            let reason = match (interrupted, self.events.resume_point()) {
                (Some(interrupted), Some(point)) => {
                    self.search = Some(interrupted.search(self.node, point, engine));
                    None
                }
                (Some(_), None) => Some(NotResumed::EventId),
                (None, _) => Some(NotResumed::Attempts),
            };
            if let Some(reason) = reason {
                self.trace.record_step("resume", "any", reason.text());
                self.count_resumption("truncated", reason.text());
                return Resumption::Found(Err(reason));
            }
        }
        tokio::select! {
            biased;
            () = self.pieces.closed() => Resumption::CallerDisconnected,
            () = tokio::time::sleep_until(job.deadline.into()) => Resumption::TimedOut,
            found = resume::found(&mut self.search) => {
                self.count_resumption("truncated", resume::outcome(&found));
                Resumption::Found(found)
            }
        }
    }

    fn count_resumption(&self, cause: &str, outcome: &str) {
        resume::count(self.node, cause, outcome);
    }
}

/// Expected final length of a generation that has exceeded its estimate, as a multiple of its current length:
/// the expected rest of a lognormal variable beyond its median, with the spread of the estimates.
const GROWTH_FACTOR: f64 = 1.25;

/// Accounts for a generation that exceeds its expected length, so that no further generation is sent to an
/// engine whose memory is about to run out. An engine without memory evicts running streams: their callers
/// see a pause, and their prompts are prefilled again.
fn account_growth(work: &mut InFlightWork, job: &Job, produced: u64) {
    if job.tokens(produced) > work.tokens() {
        work.grow(job.tokens((produced as f64 * GROWTH_FACTOR) as u64));
    }
}
