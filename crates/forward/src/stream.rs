//! Relays streams of events from an endpoint to a caller.
//!
//! A stream that breaks closes the caller's connection without an end mark, so that the stream does not look
//! complete. A resumable stream resumes at another engine after the last event that the caller has, or begins
//! again there if the caller has nothing of it. Only complete events of a resumable stream are relayed, since an
//! engine may stop in the middle of one.
//!
//! The end of the caller's response is marked only where that of the first run's is, and only if the last run is
//! known to be complete.

use std::rc::Rc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use slog::info;
use teaselshunt_completeness::Completeness;
use teaselshunt_routing::{BodyKind, EndpointKey, Repeat, StepOutcome};

use crate::body::{PieceSender, ResponseBody, relay_channel, relayed_response};
use crate::buffering::BufferedBytes;
use crate::crashes;
use crate::generate::{self, NotResumed};
use crate::in_flight::InFlightWork;
use crate::load;
use crate::node::{Answer, Job, Node};
use crate::pace::StreamTimer;
use crate::response_reader::{Piece, ResponseEnd, ResponseReader};
use crate::trace::Trace;

/// The request of a stream, and how often the stream may resume at another engine.
#[derive(Debug)]
pub(crate) struct StreamJob {
    job: Job,
    resumes_left: u32,
}

impl StreamJob {
    /// A stream that cannot resume.
    pub(crate) fn not_resumable(job: Job) -> Self {
        Self { job, resumes_left: 0 }
    }

    /// A stream of a generation, which may resume where the route allows that.
    pub(crate) fn generation(job: Job) -> Self {
        let resumable = job.route.repeat == (Repeat::Stream { resumable: true });
        let resumes_left = if resumable { job.route.attempts.saturating_sub(1) } else { 0 };
        Self { job, resumes_left }
    }
}

/// Multiple of the route's gap goal after which the engine of a resumable stream counts as unresponsive.
/// Callers disconnect after eight gaps, so that a stream that has resumed by then is still useful.
const STALL_GAPS: u32 = 4;

/// How one run of a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    /// The response ended.
    Ended(ResponseEnd),
    /// No event arrived for too long.
    Stalled,
    /// The caller's deadline has passed.
    TimedOut,
    CallerDisconnected,
}

impl RunEnd {
    /// Whether the engine failed the stream.
    fn is_broken(self) -> bool {
        match self {
            Self::Ended(end) => matches!(end.completeness, Completeness::Truncated(_)),
            Self::Stalled => true,
            Self::TimedOut | Self::CallerDisconnected => false,
        }
    }

    /// Why the stream resumes or breaks off, in metrics.
    const fn cause(self) -> &'static str {
        if matches!(self, Self::Stalled) { "stalled" } else { "truncated" }
    }

    /// Outcome of the step in logs; `None` for the usual ones.
    fn step_text(self) -> Option<String> {
        match self {
            Self::Ended(end) if self.is_broken() => Some(format!("broken{end}")),
            Self::Ended(end) if !end.is_usual() => Some(format!("ended{end}")),
            Self::Stalled => Some("broken(stalled)".to_owned()),
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
    let (head, run) = Run::begin(node, answer, work);
    tokio::task::spawn_local(relay_runs(Rc::clone(node), stream_job, run, pieces, trace, status));
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
    /// The head shows that the endpoint responds. Its result counts at the end of the run.
    fn begin(node: &Node, answer: Answer, work: InFlightWork) -> (Parts, Self) {
        let Answer { head, body, endpoint, sent_at, outcome } = answer;
        node.observe_step(endpoint, outcome);
        (head, Self { body, endpoint, sent_at, outcome, work })
    }
}

async fn relay_runs(
    node: Rc<Node>,
    mut stream_job: StreamJob,
    mut run: Run,
    pieces: PieceSender,
    trace: Trace,
    status: u16,
) {
    let framed = run.body.framing().marks_end();
    let mut events = Events::default();
    let complete_only = stream_job.resumes_left > 0;
    let mut timer = Some(StreamTimer::default());
    loop {
        let Run { endpoint, sent_at, outcome, .. } = run;
        let mut relay = Relay { pieces: &pieces, events: &mut events, complete_only, timer: timer.as_mut() };
        let end = relay_run(&stream_job.job, run, &mut relay, &node, &trace).await;
        if let Some(timer) = timer.take().filter(|_| !end.is_broken()) {
            timer.finish(&node, endpoint);
        }
        if end.is_broken() {
            node.observe_outcome(&stream_job.job, endpoint, StepOutcome::Failed);
        } else {
            load::observe_result(&node, &stream_job.job, endpoint, outcome);
        }
        if let Some(text) = end.step_text() {
            trace.record_step("stream", &node.id_for_log(endpoint), &text);
        }
        match end {
            _ if end.is_broken() => {}
            RunEnd::Ended(response_end) => {
                let is_complete = response_end.completeness == Completeness::Complete;
                if is_complete {
                    node.observe_response(&stream_job.job, StatusCode::OK, response_end.completeness);
                    node.observe_output(&stream_job.job, trace.events());
                } else if framed {
                    // The caller of a resumable stream may resume it after its last event.
                    return trace.end("end_unknown", status);
                }
                pieces.end();
                return trace.end("answered", status);
            }
            RunEnd::CallerDisconnected => {
                crashes::record_abandoned(&node, &stream_job.job, endpoint, sent_at);
                return trace.end("caller_gone", status);
            }
            RunEnd::TimedOut => return trace.end("deadline_passed", status),
            RunEnd::Stalled => {}
        }
        crashes::check_endpoint(&node, &stream_job.job, &trace, endpoint, sent_at);
        let next = match events.resume_point() {
            Some(resume_point) if stream_job.resumes_left > 0 => {
                stream_job.resumes_left -= 1;
                generate::resume(&node, &mut stream_job.job, resume_point, endpoint, &trace).await
            }
            Some(_) => Err(NotResumed::Attempts),
            None => Err(NotResumed::EventId),
        };
        let outcome = next.as_ref().map_or_else(|reason| reason.text(), |_| "resumed");
        node.metrics.streams.resumptions.with_label_values(&[end.cause(), outcome]).inc();
        let (answer, work) = match next {
            Ok(next) => next,
            Err(reason) => {
                trace.record_step("resume", "any", reason.text());
                return trace.end("broken_stream", status);
            }
        };
        events.partial.clear();
        info!(node.log, "stream resumed at another engine"; "id" => &stream_job.job.meta.id, "after" => events.last_id.as_deref());
        (_, run) = Run::begin(&node, answer, work);
    }
}

/// How a run is relayed.
struct Relay<'a> {
    pieces: &'a PieceSender,
    events: &'a mut Events,
    complete_only: bool,
    /// Set for a run that is timed.
    timer: Option<&'a mut StreamTimer>,
}

async fn relay_run(job: &Job, run: Run, relay: &mut Relay<'_>, node: &Rc<Node>, trace: &Trace) -> RunEnd {
    let Run { mut body, mut work, .. } = run;
    body.expect_events();
    let Relay { pieces, events, complete_only, timer } = relay;
    let complete_only = *complete_only;
    loop {
        let stall = job.route.gap.filter(|_| complete_only).map(|gap| node.now() + gap * STALL_GAPS);
        let wait = stall.map_or(job.deadline, |at| at.min(job.deadline));
        let piece = tokio::select! {
            biased;
            () = pieces.closed() => return RunEnd::CallerDisconnected,
            piece = tokio::time::timeout_at(wait.into(), body.next()) => piece,
        };
        let (data, scan) = match piece {
            Err(_) if node.now() < job.deadline => return RunEnd::Stalled,
            Err(_) => return RunEnd::TimedOut,
            Ok(Piece::Data(data, scan)) => (data, scan),
            Ok(Piece::End(end)) => {
                node.finish(body, end);
                return RunEnd::Ended(end);
            }
        };
        trace.record_events(scan.events);
        let received = node.now();
        if let Some(timer) = timer {
            timer.record(received, scan.events);
        }
        if let Some(produced) =
            node.tokens_for_events(job, trace.events()).filter(|_| job.service.engine.is_some())
        {
            account_growth(&mut work, job, produced);
        }
        let data = if complete_only { events.take_complete(data, scan.boundary) } else { data };
        if data.is_empty() {
            continue;
        }
        // A slow caller occupies its engine no longer than until its deadline.
        let sent = pieces.send(data, BufferedBytes::new(node, BodyKind::Response));
        match tokio::time::timeout_at(job.deadline.into(), sent).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return RunEnd::CallerDisconnected,
            Err(_) => return RunEnd::TimedOut,
        }
        if let Some(timer) = timer {
            timer.record_wait(node.now().duration_since(received));
        }
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

/// Splits a stream into complete events and remembers the id of the last one.
#[derive(Debug, Default)]
pub(crate) struct Events {
    /// Bytes of an event whose end has not arrived.
    partial: BytesMut,
    last_id: Option<String>,
    /// Whether anything was relayed.
    relayed: bool,
}

/// Where another engine takes over a stream.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ResumePoint<'a> {
    /// At the begin, since the caller has nothing.
    Start,
    /// After the event with this id.
    After(&'a str),
}

impl Events {
    /// Where the stream can resume; `None` if the caller has events without ids.
    fn resume_point(&self) -> Option<ResumePoint<'_>> {
        match &self.last_id {
            Some(id) => Some(ResumePoint::After(id)),
            None if self.relayed => None,
            None => Some(ResumePoint::Start),
        }
    }

    /// Appends bytes and returns those of the events that are now complete. `boundary` is the offset in `data`
    /// after the last of them.
    fn take_complete(&mut self, mut data: Bytes, boundary: Option<usize>) -> Bytes {
        let Some(boundary) = boundary else {
            self.partial.extend_from_slice(&data);
            return Bytes::new();
        };
        let rest = data.split_off(boundary);
        let complete = if self.partial.is_empty() {
            data
        } else {
            self.partial.extend_from_slice(&data);
            self.partial.split().freeze()
        };
        self.partial.extend_from_slice(&rest);
        self.relayed = true;
        let text = String::from_utf8_lossy(&complete);
        if let Some(id) = text.rsplit(['\n', '\r']).find_map(|line| line.strip_prefix("id:")) {
            self.last_id = Some(id.trim().to_owned());
        }
        complete
    }
}
