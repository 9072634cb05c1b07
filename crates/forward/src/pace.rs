//! Pace of engines: times of prefills and streams, and reports to and from peers. The decisions are in
//! `teaselshunt-routing`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use teaselshunt_routing::{EndpointKey, EngineTag, PaceReport, Stage};

use crate::node::Node;

/// Events of a stream from which its mean time between events is taken. In shorter streams, one stall of the
/// engine or one delayed packet decides.
const EVENTS_MIN: u32 = 12;
/// Largest part of a stream's time for which the caller may have kept it waiting.
const CALLER_WAIT_MAX: f64 = 0.1;

/// Encoded sample of an engine's pace.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct PaceEntry {
    engine: u32,
    stage: Stage,
    time: u8,
    sequence: u32,
}

impl From<PaceReport> for PaceEntry {
    fn from(report: PaceReport) -> Self {
        let PaceReport { engine: EngineTag(engine), stage, time, sequence } = report;
        Self { engine, stage, time, sequence }
    }
}

impl From<PaceEntry> for PaceReport {
    fn from(entry: PaceEntry) -> Self {
        let PaceEntry { engine, stage, time, sequence } = entry;
        Self { engine: EngineTag(engine), stage, time, sequence }
    }
}

/// Returns the samples to report to peers now.
pub(crate) fn reports(node: &Node, now: Instant) -> Vec<PaceEntry> {
    let reports = node.state.borrow_mut().endpoints.paces().reports(now);
    reports.into_iter().map(PaceEntry::from).collect()
}

/// Merges the samples of a peer's incarnation.
pub(crate) fn merge(node: &Node, from: SocketAddr, incarnation: u64, entries: Vec<PaceEntry>) {
    if !node.settings.load.pace || entries.is_empty() {
        return;
    }
    let reports: Vec<PaceReport> = entries.into_iter().map(PaceReport::from).collect();
    let warns = node.state.borrow_mut().endpoints.paces().merge(node.now(), from, incarnation, &reports);
    if warns {
        warn!(node.log, "implausible pace samples ignored"; "from" => %from, "samples" => reports.len());
    }
}

/// Learns from a prefill that was sent at `sent_at` and has ended, with `tokens` in flight at its engine when it started,
/// its own among them.
pub(crate) fn observe_prefill(
    node: &Node,
    service: &Arc<str>,
    key: EndpointKey,
    tokens: u64,
    sent_at: Instant,
) {
    let (now, state) = (node.now(), &mut *node.state.borrow_mut());
    let (time, pace) = (now.duration_since(sent_at), state.endpoints.pace(key));
    let estimate = state.prefill_estimates.entry(Arc::clone(service)).or_default();
    estimate.learn(sent_at, tokens, time, pace);
    if node.settings.load.pace {
        state.endpoints.observe_pace(now, key, Stage::Prefill, tokens, time);
    }
}

/// Time between the events of one run of a stream.
///
/// The time counts from the first event, so that a local prefill is left out, and only the first run of a stream
/// is timed: one that is resumed repeats events. The mean per event is compared to that of the service at this
/// instance. The tokens in an event are those of the service and cancel out, and so does the mean number of
/// streams at an engine; an engine with more streams than others is slower for its callers as well.
#[derive(Debug, Default)]
pub(crate) struct StreamTimer {
    /// First and last time at which events ended.
    span: Option<(Instant, Instant)>,
    /// Events after the first time.
    events: u32,
    caller_wait: Duration,
}

impl StreamTimer {
    /// Records events that ended now.
    pub(crate) fn record(&mut self, now: Instant, events: u32) {
        match &mut self.span {
            _ if events == 0 => {}
            Some((_, last)) => {
                *last = now;
                self.events += events;
            }
            None => self.span = Some((now, now)),
        }
    }

    /// Records the time for which the caller did not read.
    pub(crate) fn record_wait(&mut self, wait: Duration) {
        self.caller_wait += wait;
    }

    /// Learns from the run, if it was long enough and the caller read it without delay.
    pub(crate) fn finish(&self, node: &Node, key: EndpointKey) {
        let Some((first, last)) = self.span.filter(|_| self.events >= EVENTS_MIN) else { return };
        let time = last.saturating_duration_since(first);
        if node.settings.load.pace && self.caller_wait <= time.mul_f64(CALLER_WAIT_MAX) {
            let (now, state) = (node.now(), &mut *node.state.borrow_mut());
            state.endpoints.observe_pace(now, key, Stage::Decode, u64::from(self.events), time);
        }
    }
}

/// Updates the pace of engines and logs those that are slow or usual again. Called twice a second.
pub(crate) fn maintain(node: &Node) {
    if !node.settings.load.pace {
        return;
    }
    let changes = node.state.borrow_mut().endpoints.update_paces(node.now());
    for change in changes {
        info!(node.log, "endpoint"; "endpoint" => &*node.id_for_log(change.endpoint),
            "state" => if change.is_slow { "slow" } else { "usual_pace" }, "stage" => change.stage.text(),
            "pace" => change.pace.value, "samples" => change.pace.samples);
    }
}
