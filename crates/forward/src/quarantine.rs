//! Refuses requests under which endpoints crash: the same request again, and requests with a part of a prompt.
//!
//! The decisions are in `teaselshunt-core`. A request is looked up on arrival, before each step that takes long, and right before
//! it is written to an endpoint: the verdict may have been reached meanwhile.

use std::time::Duration;

use slog::{info, warn};
use teaselshunt_core::{ErrorKind, Fingerprint, PartChange, PartDecision, PartRefusal, PromptPart, Refusal};

use crate::node::{Job, Node};
use crate::trace::Trace;

/// Whether a request that has just arrived may run.
///
/// # Errors
/// The request is in quarantine, or its prompt has parts that are.
pub(crate) fn admit(node: &Node, job: &Job, trace: &Trace) -> Result<(), Refusal> {
    if let Some(refusal) = request_refusal(node, job, trace) {
        return Err(refusal);
    }
    if !concerns_parts(node, job) {
        return Ok(());
    }
    let decision = node.state.borrow_mut().part_quarantine.decide_request(node.now(), &job.parts);
    match decision {
        PartDecision::Allowed => Ok(()),
        PartDecision::Test => {
            info!(node.log, "prompt part"; "state" => "tested", "id" => &job.meta.id, "parts" => PromptPart::join(&job.parts));
            job.is_part_test.set(true);
            Ok(())
        }
        PartDecision::Refused(refusal) => {
            node.metrics.quarantine.refusals.with_label_values(&["part"]).inc();
            Err(refuse_parts(&refusal, trace))
        }
    }
}

/// The refusal of a request that was admitted, if it is in quarantine by now.
pub(crate) fn refusal(node: &Node, job: &Job, trace: &Trace) -> Option<Refusal> {
    request_refusal(node, job, trace).or_else(|| Some(refuse_parts(&part_refusal(node, job)?, trace)))
}

/// Whether a request must not be sent to an endpoint.
pub(crate) fn forbids(node: &Node, job: &Job) -> bool {
    quarantined_for(node, job).is_some() || part_refusal(node, job).is_some()
}

/// Records that an endpoint has begun to answer a request.
pub(crate) fn observe_start(node: &Node, job: &Job) {
    if !job.parts.is_empty() && node.settings.part_quarantine {
        let now = node.now();
        job.is_part_test.set(false);
        node.state.borrow_mut().part_quarantine.observe_start(now, &job.meta.id, &job.parts);
        apply_changes(node);
    }
}

/// Logs what has changed about parts, and has it sent to peers.
pub(crate) fn apply_changes(node: &Node) {
    let changes = node.state.borrow_mut().part_quarantine.take_changes();
    if changes.is_empty() {
        return;
    }
    for change in changes {
        log_part_change(node, &change);
    }
    node.gossip_wakeup.notify_one();
}

fn log_part_change(node: &Node, change: &PartChange) {
    let age_ms = |at| node.now().saturating_duration_since(at).as_millis() as u64;
    match change {
        PartChange::Began(verdict) => {
            warn!(node.log, "prompt part"; "state" => "quarantined", "parts" => PromptPart::join(&verdict.parts),
                "crashes" => verdict.crashes, "first_age_ms" => age_ms(verdict.first_crash),
                "last_age_ms" => age_ms(verdict.last_crash));
        }
        PartChange::Ended(parts) => {
            info!(node.log, "prompt part"; "state" => "released", "parts" => PromptPart::join(parts));
        }
    }
}

/// Logs that a request is in quarantine from now on.
pub(crate) fn log_request(node: &Node, request: Fingerprint) {
    let until = node.state.borrow().quarantine.until(node.now(), request);
    let remaining = until.map(|until| until.duration_since(node.now()).as_secs());
    warn!(node.log, "quarantine"; "fingerprint" => %request, "for_s" => remaining);
}

/// Updates the gauges.
pub(crate) fn update_metrics(node: &Node) {
    let state = node.state.borrow();
    let parts = &state.part_quarantine;
    let quarantined: usize = parts.verdicts().iter().map(|verdict| verdict.parts.len()).sum();
    let gauges = &node.metrics.quarantine;
    gauges.suspected_parts.set(parts.suspected_count() as i64);
    gauges.quarantined_parts.set(quarantined as i64);
}

fn request_refusal(node: &Node, job: &Job, trace: &Trace) -> Option<Refusal> {
    let remaining = quarantined_for(node, job)?;
    trace.set_fingerprint(job.fingerprint());
    node.metrics.quarantine.refusals.with_label_values(&["request"]).inc();
    Some(Refusal::retryable(ErrorKind::Quarantined, remaining))
}

/// How long the request is in quarantine as a whole.
fn quarantined_for(node: &Node, job: &Job) -> Option<Duration> {
    let (state, now) = (node.state.borrow(), node.now());
    if state.quarantine.is_empty() {
        return None;
    }
    let until = state.quarantine.until(now, job.fingerprint())?;
    Some(until.duration_since(now))
}

/// Whether parts of the request's prompt may be in quarantine.
fn concerns_parts(node: &Node, job: &Job) -> bool {
    let is_used = node.settings.part_quarantine && !job.parts.is_empty();
    is_used && !node.state.borrow().part_quarantine.is_empty()
}

fn part_refusal(node: &Node, job: &Job) -> Option<PartRefusal> {
    if job.is_part_test.get() || !concerns_parts(node, job) {
        return None;
    }
    node.state.borrow().part_quarantine.refusal(node.now(), &job.parts)
}

fn refuse_parts(refusal: &PartRefusal, trace: &Trace) -> Refusal {
    trace.set_parts(&refusal.parts);
    Refusal::retryable(ErrorKind::Quarantined, refusal.delay)
}
