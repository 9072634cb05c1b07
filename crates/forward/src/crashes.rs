//! Detects whether an endpoint has crashed under the requests that it lost.
//! [`Quarantine`](teaselshunt_core::Quarantine) decides the consequences for a request.
//!
//! A broken connection alone proves nothing: an endpoint can lose one response, and the network can reset
//! connections. But an endpoint that also refuses a new connection, right after it lost a request, has ended
//! or is partitioned. If a peer reaches it, only this instance has lost its link to it. One check covers all
//! requests that the endpoint lost meanwhile.
//!
//! If a caller disconnects, this instance itself closes the connection to the endpoint, so that the endpoint
//! is not checked. If the endpoint crashes at about that time, under other requests that this instance or a
//! peer runs there, the crash is attributed to the abandoned request as well.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::info;
use teaselshunt_core::{Crash, EndpointIncarnation, Fingerprint, PromptPart};
use teaselshunt_routing::{EndpointKey, EndpointState};

use crate::connection_pool::Reachability;
use crate::node::{Job, Node};
use crate::quarantine;
use crate::reach::{self, CHECK_TIMEOUT, Destination};
use crate::trace::Trace;

/// Time between a loss and the check: a process that exits closes its connections and its listener one after
/// the other. Restarts take longer.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// Longest time between a crash and a caller's disconnection for the request to count as present: endpoints
/// cancel an abandoned request within this time.
const PRESENCE_WINDOW: Duration = Duration::from_millis(500);
/// How long abandoned requests are remembered; a peer's crash report arrives within this time.
const ABANDONED_RETENTION: Duration = Duration::from_secs(2);

/// How far an endpoint got with a request that it lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Nothing of the answer has arrived, at most its head.
    Unanswered,
    /// The endpoint has begun to answer.
    Answering,
}

/// A run that an endpoint did not complete.
#[derive(Debug, Clone)]
pub(crate) struct Loss {
    /// Request id set by the caller.
    request: String,
    fingerprint: Fingerprint,
    /// When the request was sent to the endpoint.
    sent_at: Instant,
    /// When the request was lost.
    at: Instant,
    /// Parts of its prompt that other requests may have as well, if the endpoint had not begun to answer.
    unanswered_parts: Vec<PromptPart>,
}

impl Loss {
    fn new(node: &Node, job: &Job, sent_at: Instant, progress: Progress) -> Self {
        let unanswered_parts = match progress {
            Progress::Unanswered => job.parts.clone(),
            Progress::Answering => Vec::new(),
        };
        Self {
            request: job.meta.id.clone(),
            fingerprint: job.fingerprint(),
            sent_at,
            at: node.now(),
            unanswered_parts,
        }
    }

    /// Describes the loss for logs: fingerprint, request id and running time.
    fn describe(&self) -> String {
        let ran = self.at.duration_since(self.sent_at).as_millis();
        format!("{}@{}+{ran}ms", self.fingerprint, self.request)
    }

    /// The request id and the parts of a request that the endpoint had not begun to answer, for logs.
    fn describe_parts(&self) -> Option<String> {
        let parts = &self.unanswered_parts;
        (!parts.is_empty()).then(|| format!("{}:{}", self.request, PromptPart::join(parts)))
    }
}

/// Checks whether an endpoint has crashed after it lost a request that was sent at `sent_at`.
pub(crate) fn check_endpoint(
    node: &Rc<Node>,
    job: &Job,
    trace: &Trace,
    endpoint: EndpointKey,
    sent_at: Instant,
    progress: Progress,
) {
    let loss = Loss::new(node, job, sent_at, progress);
    trace.set_fingerprint(loss.fingerprint);
    trace.set_parts(&job.parts);
    let mut losses = node.losses.borrow_mut();
    let pending = losses.entry(endpoint).or_default();
    pending.push(loss);
    if pending.len() == 1 {
        tokio::task::spawn_local(finish_check(Rc::clone(node), endpoint));
    }
}

/// A run whose caller disconnected, and its endpoint.
#[derive(Debug)]
struct AbandonedRun {
    endpoint: EndpointIncarnation,
    id: Arc<str>,
    loss: Loss,
}

/// Runs whose callers disconnected recently.
#[derive(Debug, Default)]
pub(crate) struct AbandonedRuns(Vec<AbandonedRun>);

impl AbandonedRuns {
    fn insert(&mut self, now: Instant, run: AbandonedRun) {
        self.0.retain(|known| now.duration_since(known.loss.at) < ABANDONED_RETENTION);
        self.0.push(run);
    }

    /// Removes and returns the runs that were present when an endpoint crashed.
    fn take_present(&mut self, endpoint: EndpointIncarnation, crashed: Instant) -> Vec<AbandonedRun> {
        let present = |run: &mut AbandonedRun| {
            let at = run.loss.at;
            run.endpoint == endpoint && at.max(crashed).duration_since(at.min(crashed)) < PRESENCE_WINDOW
        };
        self.0.extract_if(.., present).collect()
    }
}

/// A call to an endpoint. Dropping it before it has [ended](Self::ended) means that the caller has
/// disconnected.
pub(crate) struct CallGuard<'a> {
    node: &'a Node,
    job: &'a Job,
    endpoint: EndpointKey,
    sent_at: Instant,
    ended: bool,
}

impl<'a> CallGuard<'a> {
    pub(crate) fn new(node: &'a Node, job: &'a Job, endpoint: EndpointKey) -> Self {
        Self::since(node, job, endpoint, node.now())
    }

    /// The same for a call that was sent at `sent_at`.
    pub(crate) const fn since(node: &'a Node, job: &'a Job, endpoint: EndpointKey, sent_at: Instant) -> Self {
        Self { node, job, endpoint, sent_at, ended: false }
    }

    /// Records that the call has its result; returns when it began.
    pub(crate) fn ended(mut self) -> Instant {
        self.ended = true;
        self.sent_at
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            record_abandoned(self.node, self.job, self.endpoint, self.sent_at, Progress::Unanswered);
        }
    }
}

/// Records that the caller of a request disconnected while the request was at an endpoint since `sent_at`.
pub(crate) fn record_abandoned(
    node: &Node,
    job: &Job,
    endpoint: EndpointKey,
    sent_at: Instant,
    progress: Progress,
) {
    let Some((_, id, endpoint)) = live_endpoint(node, endpoint) else { return };
    let loss = Loss::new(node, job, sent_at, progress);
    node.abandoned.borrow_mut().insert(loss.at, AbandonedRun { endpoint, id, loss });
}

/// Merges a peer's crash report: requests that callers abandoned at that endpoint at about that time were
/// present.
pub(crate) fn merge_crash(node: &Node, crash: Crash) {
    let present = node.abandoned.borrow_mut().take_present(crash.endpoint, crash.at);
    let Some(id) = present.first().map(|run| Arc::clone(&run.id)) else { return };
    let losses = present.into_iter().map(|run| run.loss).collect();
    attribute_crash(node, &id, crash.endpoint, losses);
}

async fn finish_check(node: Rc<Node>, endpoint: EndpointKey) {
    tokio::time::sleep(CHECK_DELAY).await;
    let live = live_endpoint(&node, endpoint);
    let reachability = match &live {
        Some((address, id, _)) => {
            node.pool.reachability(&Destination::endpoint(*address, Arc::clone(id))).await
        }
        None => Reachability::Reachable,
    };
    let has_crashed = match (reachability, &live) {
        (Reachability::Reachable, _) | (Reachability::Unknown, None) => false,
        (Reachability::Unreachable, _) => true,
        // Without peers there is nobody to contradict an instance that has had links.
        (Reachability::Unknown, Some(_)) if node.peer_count.get() == 0 && node.pool.reach().has_heard() => {
            true
        }
        (Reachability::Unknown, Some((address, ..))) => {
            reach::confirms_links(&node, *address, CHECK_TIMEOUT).await
        }
    };
    let mut losses = node.losses.borrow_mut().remove(&endpoint).unwrap_or_default();
    let Some((_, id, incarnation)) = live.filter(|_| has_crashed) else { return };
    if let Some(first) = losses.first().map(|loss| loss.at) {
        losses.extend(
            node.abandoned.borrow_mut().take_present(incarnation, first).into_iter().map(|run| run.loss),
        );
    }
    attribute_crash(&node, &id, incarnation, losses);
    node.gossip_wakeup.notify_one();
}

/// Attributes an endpoint's crash to requests.
fn attribute_crash(node: &Node, id: &str, endpoint: EndpointIncarnation, losses: Vec<Loss>) {
    let requests: Vec<_> = losses.iter().map(Loss::describe).collect();
    let unanswered: Vec<_> = losses.iter().filter_map(Loss::describe_parts).collect();
    info!(node.log, "endpoint"; "endpoint" => id, "state" => "crashed", "under" => requests.join(" "),
        "unanswered" => unanswered.join(" "));
    let now = node.now();
    if node.settings.part_quarantine {
        for loss in &losses {
            let state = &mut *node.state.borrow_mut();
            state.part_quarantine.observe_crash(now, endpoint, loss.at, &loss.unanswered_parts);
        }
        quarantine::apply_changes(node);
    }
    for Loss { fingerprint: request, at, .. } in losses {
        let crash = Crash { request, endpoint, at };
        if node.state.borrow_mut().quarantine.observe_crash(now, crash) {
            quarantine::log_request(node, request);
        }
    }
}

/// Address, id and incarnation of an endpoint that is expected to complete its requests. A draining endpoint,
/// or one that was removed from the list, is not.
fn live_endpoint(node: &Node, endpoint: EndpointKey) -> Option<(SocketAddr, Arc<str>, EndpointIncarnation)> {
    let state = node.state.borrow();
    let tag = state.endpoints.tag(endpoint)?;
    let found = state.endpoints.get(endpoint).filter(|e| e.state == EndpointState::Ready)?;
    Some((found.address, Arc::clone(&found.id), EndpointIncarnation(u64::from(tag.0))))
}
