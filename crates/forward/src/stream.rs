//! Streams of events from an endpoint to a caller.
//!
//! A stream that breaks ends the caller's connection without an end mark, so that it does not look whole. A resumable
//! one is taken up at another engine after the last event that the caller has; for that only whole events are passed
//! on, since an engine may stop in the middle of one.

use std::rc::Rc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use slog::info;
use teaselshunt_routing::{BodyKind, Repeat, StepOutcome};

use crate::body::{AnswerBody, Pieces, relay as body_relay};
use crate::buffering::BufferedBytes;
use crate::crashes;
use crate::generate;
use crate::node::{Answer, Job, Node, Slot};
use crate::trace::Trace;

/// The request behind a stream, and whether it can be taken up elsewhere.
#[derive(Debug)]
pub(crate) struct Source {
    job: Job,
    resumes: u32,
}

impl Source {
    /// A stream that stays where it is.
    pub(crate) fn fixed(job: Job) -> Self {
        Self { job, resumes: 0 }
    }

    /// A stream of a generation, which may be taken up where the route allows it.
    pub(crate) fn generation(job: Job) -> Self {
        let resumable = job.route.repeat == (Repeat::Stream { resumable: true });
        let resumes = if resumable { job.route.attempts.saturating_sub(1) } else { 0 };
        Self { job, resumes }
    }
}

/// Pauses between events that callers aim for, after which the engine of a resumable stream counts as silent. Callers
/// themselves leave after eight; a stream that is taken up elsewhere by then is still of use.
const STALL: u32 = 4;

/// How one run of a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Whole,
    Broken,
    TimedOut,
    CallerGone,
}

/// Answers with the head of a stream and passes its events on in a task of its own.
pub(crate) fn relay(
    node: &Rc<Node>,
    source: Source,
    answer: Answer,
    slot: Slot,
    trace: Trace,
) -> Response<AnswerBody> {
    trace.first();
    let (mut head, body) = answer.response.into_parts();
    crate::headers::strip(&mut head.headers);
    let status = head.status.as_u16();
    let (pieces, receiver) = body_relay();
    let run =
        Run { body, connection: answer.connection, endpoint: answer.endpoint, begun: answer.begun, slot };
    tokio::task::spawn_local(pump(Rc::clone(node), source, run, pieces, trace, status));
    Response::from_parts(head, AnswerBody::relay(receiver))
}

/// One run at one engine.
struct Run {
    body: Incoming,
    connection: crate::connection_pool::Connection,
    endpoint: teaselshunt_routing::EndpointKey,
    begun: Instant,
    slot: Slot,
}

async fn pump(node: Rc<Node>, mut source: Source, mut run: Run, pieces: Pieces, trace: Trace, status: u16) {
    let mut events = Events::default();
    let whole_only = source.resumes > 0;
    loop {
        let Run { endpoint, begun, .. } = run;
        let end = pass(&source.job, run, &pieces, &mut events, whole_only, &node, &trace).await;
        match end {
            End::Whole => {
                node.served(&source.job);
                node.learn_output(&source.job, trace.events());
                pieces.end();
                return trace.end("answered", status);
            }
            End::CallerGone => {
                crashes::left(&node, &source.job, endpoint, begun);
                return trace.end("caller_gone", status);
            }
            End::TimedOut => return trace.end("deadline_passed", status),
            End::Broken => node.learn(endpoint, StepOutcome::Failed),
        }
        trace.step("stream", &node.name(endpoint), "broken");
        crashes::check(&node, &source.job, &trace, endpoint, begun);
        let next = if source.resumes > 0 && events.last.is_some() {
            source.resumes -= 1;
            generate::resume(&node, &mut source.job, &events, endpoint, &trace).await
        } else {
            None
        };
        let Some((answer, slot)) = next else {
            return trace.end("broken_stream", status);
        };
        events.partial.clear();
        info!(node.log, "stream taken up"; "id" => &source.job.meta.id, "after" => events.last.as_deref());
        let (_, body) = answer.response.into_parts();
        run =
            Run { body, connection: answer.connection, endpoint: answer.endpoint, begun: answer.begun, slot };
    }
}

async fn pass(
    job: &Job,
    run: Run,
    pieces: &Pieces,
    events: &mut Events,
    whole_only: bool,
    node: &Rc<Node>,
    trace: &Trace,
) -> End {
    let Run { mut body, connection, mut slot, .. } = run;
    loop {
        let stall = job.route.gap.filter(|_| whole_only).map(|gap| node.now() + gap * STALL);
        let wait = stall.map_or(job.until, |at| at.min(job.until));
        let frame = tokio::select! {
            biased;
            () = pieces.closed() => return End::CallerGone,
            frame = tokio::time::timeout_at(wait.into(), body.frame()) => frame,
        };
        let data = match frame {
            Err(_) if node.now() < job.until => return End::Broken,
            Err(_) => return End::TimedOut,
            Ok(Some(Err(_))) => return End::Broken,
            Ok(None) if whole_only && !events.partial.is_empty() => return End::Broken,
            Ok(None) => {
                node.pool.put(connection);
                drop(slot);
                return End::Whole;
            }
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => data,
                Err(_) => continue,
            },
        };
        trace.passed(events.count(&data));
        if let Some(made) = node.made(job, trace.events()).filter(|_| job.service.engine.is_some()) {
            account(&mut slot, job.meta.prompt_tokens, made);
        }
        let data = if whole_only { events.take(&data) } else { data };
        if data.is_empty() {
            continue;
        }
        // A caller that reads slowly holds its engine no longer than it waits for.
        let sent = pieces.send(data, BufferedBytes::new(node, BodyKind::Response));
        match tokio::time::timeout_at(job.until.into(), sent).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return End::CallerGone,
            Err(_) => return End::TimedOut,
        }
    }
}

/// Part by which a generation that has made more than was expected is expected to go on: what is left of a lognormal
/// variable with the spread that estimates leave, beyond its median.
const GROWTH: f64 = 1.25;

/// Accounts for a generation that makes more than was expected, so that nobody sends another one to an engine whose memory
/// is about to run out. An engine without memory puts streams back in the middle: their callers see a pause, and their
/// prompts are read again.
fn account(slot: &mut Slot, prompt: u64, made: u64) {
    if prompt + made > slot.tokens() {
        slot.grow(prompt + (made as f64 * GROWTH) as u64);
    }
}

/// Cuts a stream into whole events and remembers the id of the last one.
#[derive(Debug, Default)]
pub(crate) struct Events {
    pub(crate) partial: BytesMut,
    pub(crate) last: Option<String>,
    /// Whether the bytes so far end with a line's end.
    line_ended: bool,
}

impl Events {
    /// How many events end in these bytes; an event ends with an empty line.
    fn count(&mut self, data: &[u8]) -> u32 {
        let mut count = 0;
        for &byte in data {
            count += u32::from(byte == b'\n' && self.line_ended);
            self.line_ended = byte == b'\n';
        }
        count
    }

    /// Adds bytes and gives back the whole events that are there now.
    pub(crate) fn take(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let Some(end) = self.partial.windows(2).rposition(|w| w == b"\n\n") else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(end + 2).freeze();
        let text = String::from_utf8_lossy(&whole);
        if let Some(id) = text.lines().rev().find_map(|line| line.strip_prefix("id:")) {
            self.last = Some(id.trim().to_owned());
        }
        whole
    }
}
