//! Whether an endpoint has crashed under the requests that it lost. What follows from that for a request is decided by
//! [`Quarantine`](teaselshunt_core::Quarantine).
//!
//! A connection that breaks does not say so: an endpoint can lose one answer, and something on the way can reset
//! connections. But an endpoint that takes no new connection either, right after it lost a request, has ended or is cut
//! off. One check serves all requests that the endpoint lost meanwhile.
//!
//! A request whose caller leaves loses its connection by our own doing, so that its endpoint is not checked. If the endpoint
//! crashes at about that time, under others that this instance or a peer runs there, the request was present as well.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{info, warn};
use teaselshunt_core::{Crash, EndpointIncarnation, Fingerprint};
use teaselshunt_routing::{EndpointKey, EndpointState};

use crate::node::{Job, Node};
use crate::trace::Trace;

/// Time between a loss and the check: a process that ends closes its connections and its listener one after the other.
/// Restarts take longer.
const SETTLE: Duration = Duration::from_millis(50);

/// How far apart a crash and the moment in which a caller left may be for its request to have been present: endpoints stop
/// within this what nobody waits for.
const PRESENT: Duration = Duration::from_millis(500);
/// How long requests whose callers left are remembered: word of a crash from a peer comes within it.
const MEMORY: Duration = Duration::from_secs(2);

/// A run that an endpoint did not end.
#[derive(Debug, Clone)]
pub(crate) struct Loss {
    /// The caller's id of the request.
    request: String,
    fingerprint: Fingerprint,
    /// When it was sent there.
    begun: Instant,
    /// When it was lost.
    at: Instant,
}

impl Loss {
    fn new(node: &Node, job: &Job, begun: Instant) -> Self {
        Self { request: job.meta.id.clone(), fingerprint: job.fingerprint(), begun, at: node.now() }
    }

    /// For logs: what was asked for, under which id, and how long it had been there.
    fn text(&self) -> String {
        let ran = self.at.duration_since(self.begun).as_millis();
        format!("{}@{}+{ran}ms", self.fingerprint, self.request)
    }
}

/// An endpoint lost a request that was sent there at `begun`. Finds out whether it has crashed.
pub(crate) fn check(node: &Rc<Node>, job: &Job, trace: &Trace, endpoint: EndpointKey, begun: Instant) {
    let loss = Loss::new(node, job, begun);
    trace.fingerprint(loss.fingerprint);
    let mut losses = node.losses.borrow_mut();
    let same = losses.entry(endpoint).or_default();
    same.push(loss);
    if same.len() == 1 {
        tokio::task::spawn_local(conclude(Rc::clone(node), endpoint));
    }
}

/// A run whose caller left, and the endpoint that it was at.
#[derive(Debug)]
struct Left {
    endpoint: EndpointIncarnation,
    id: Arc<str>,
    loss: Loss,
}

/// Runs whose callers left lately.
#[derive(Debug, Default)]
pub(crate) struct Abandoned(Vec<Left>);

impl Abandoned {
    fn insert(&mut self, now: Instant, left: Left) {
        self.0.retain(|known| now.duration_since(known.loss.at) < MEMORY);
        self.0.push(left);
    }

    /// Takes out those that were present when an endpoint crashed.
    fn take(&mut self, endpoint: EndpointIncarnation, crashed: Instant) -> Vec<Left> {
        let present = |left: &mut Left| {
            let at = left.loss.at;
            left.endpoint == endpoint && at.max(crashed).duration_since(at.min(crashed)) < PRESENT
        };
        self.0.extract_if(.., present).collect()
    }
}

/// A call to an endpoint. Dropped before it has [ended](Self::ended), its caller has left.
pub(crate) struct Watch<'a> {
    node: &'a Node,
    job: &'a Job,
    endpoint: EndpointKey,
    begun: Instant,
    ended: bool,
}

impl<'a> Watch<'a> {
    pub(crate) fn new(node: &'a Node, job: &'a Job, endpoint: EndpointKey) -> Self {
        Self { node, job, endpoint, begun: node.now(), ended: false }
    }

    /// The call has its result; says when it began.
    pub(crate) fn ended(mut self) -> Instant {
        self.ended = true;
        self.begun
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.ended {
            left(self.node, self.job, self.endpoint, self.begun);
        }
    }
}

/// The caller of a request left while it was at an endpoint since `begun`.
pub(crate) fn left(node: &Node, job: &Job, endpoint: EndpointKey, begun: Instant) {
    let Some((_, id, endpoint)) = listed(node, endpoint) else { return };
    let loss = Loss::new(node, job, begun);
    node.abandoned.borrow_mut().insert(loss.at, Left { endpoint, id, loss });
}

/// A peer tells of a crash: requests whose callers left that endpoint here at about that time were present.
pub(crate) fn told(node: &Node, crash: Crash) {
    let present = node.abandoned.borrow_mut().take(crash.endpoint, crash.at);
    let Some(id) = present.first().map(|left| Arc::clone(&left.id)) else { return };
    let losses = present.into_iter().map(|left| left.loss).collect();
    accuse(node, &id, crash.endpoint, losses);
}

async fn conclude(node: Rc<Node>, endpoint: EndpointKey) {
    tokio::time::sleep(SETTLE).await;
    let listed = listed(&node, endpoint);
    let reached = match &listed {
        Some((address, ..)) => node.pool.reach(*address).await,
        None => true,
    };
    let mut losses = node.losses.borrow_mut().remove(&endpoint).unwrap_or_default();
    let Some((_, id, start)) = listed.filter(|_| !reached) else { return };
    if let Some(first) = losses.first().map(|loss| loss.at) {
        losses.extend(node.abandoned.borrow_mut().take(start, first).into_iter().map(|left| left.loss));
    }
    accuse(&node, &id, start, losses);
    node.changed.notify_one();
}

/// Notes that an endpoint crashed under requests.
fn accuse(node: &Node, id: &str, endpoint: EndpointIncarnation, losses: Vec<Loss>) {
    let requests: Vec<_> = losses.iter().map(Loss::text).collect();
    info!(node.log, "endpoint"; "endpoint" => id, "state" => "crashed", "under" => requests.join(" "));
    let now = node.now();
    for Loss { fingerprint: request, at, .. } in losses {
        let crash = Crash { request, endpoint, at };
        if node.state.borrow_mut().quarantine.observe_crash(now, crash) {
            log_quarantine(node, request);
        }
    }
}

/// Address, id and start of an endpoint that is expected to end what it runs. One that leaves as planned, or has left the
/// list, is not.
fn listed(node: &Node, endpoint: EndpointKey) -> Option<(SocketAddr, Arc<str>, EndpointIncarnation)> {
    let state = node.state.borrow();
    let tag = state.endpoints.tag(endpoint)?;
    let found = state.endpoints.get(endpoint).filter(|e| e.state == EndpointState::Ready)?;
    Some((found.address, Arc::clone(&found.id), EndpointIncarnation(u64::from(tag.0))))
}

/// A request is in quarantine from now on.
pub(crate) fn log_quarantine(node: &Node, request: Fingerprint) {
    let until = node.state.borrow().quarantine.until(node.now(), request);
    let left = until.map(|until| until.duration_since(node.now()).as_secs());
    warn!(node.log, "quarantine"; "fingerprint" => %request, "for_s" => left);
}
