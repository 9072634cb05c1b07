//! Whether an endpoint has crashed under the requests that it lost. What follows from that for a request is decided by
//! [`Quarantine`](teaselshunt_core::Quarantine).
//!
//! A connection that breaks does not say so: an endpoint can lose one answer, and something on the way can reset
//! connections. But an endpoint that takes no new connection either, right after it lost a request, has ended or is cut
//! off. One check serves all requests that the endpoint lost meanwhile.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{info, warn};
use teaselshunt_core::{Crash, EndpointStart, Fingerprint};
use teaselshunt_routing::{EndpointKey, EndpointState};

use crate::node::{Job, Node};
use crate::trace::Trace;

/// Time between a loss and the check: a process that ends closes its connections and its listener one after the other.
/// Restarts take longer.
const SETTLE: Duration = Duration::from_millis(50);

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
    /// For logs: what was asked for, under which id, and how long it had been there.
    fn text(&self) -> String {
        let ran = self.at.duration_since(self.begun).as_millis();
        format!("{}@{}+{ran}ms", self.fingerprint, self.request)
    }
}

/// An endpoint lost a request that was sent there at `begun`. Finds out whether it has crashed.
pub(crate) fn check(node: &Rc<Node>, job: &Job, trace: &Trace, endpoint: EndpointKey, begun: Instant) {
    let fingerprint = job.fingerprint();
    trace.fingerprint(fingerprint);
    let loss = Loss { request: job.meta.id.clone(), fingerprint, begun, at: node.now() };
    let mut losses = node.losses.borrow_mut();
    let same = losses.entry(endpoint).or_default();
    same.push(loss);
    if same.len() == 1 {
        tokio::task::spawn_local(conclude(Rc::clone(node), endpoint));
    }
}

async fn conclude(node: Rc<Node>, endpoint: EndpointKey) {
    tokio::time::sleep(SETTLE).await;
    let listed = listed(&node, endpoint);
    let reached = match &listed {
        Some((address, ..)) => node.pool.reach(*address).await,
        None => true,
    };
    let losses = node.losses.borrow_mut().remove(&endpoint).unwrap_or_default();
    let Some((_, id, start)) = listed.filter(|_| !reached) else { return };
    let requests: Vec<_> = losses.iter().map(Loss::text).collect();
    info!(node.log, "endpoint"; "endpoint" => &*id, "state" => "crashed", "under" => requests.join(" "));
    let now = node.now();
    for Loss { fingerprint: request, at, .. } in losses {
        let crash = Crash { request, endpoint: start, at };
        if node.state.borrow_mut().quarantine.crashed(now, crash) {
            log_quarantine(&node, request);
        }
    }
    node.changed.notify_one();
}

/// Address, id and start of an endpoint that is expected to end what it runs. One that leaves as planned, or has left the
/// list, is not.
fn listed(node: &Node, endpoint: EndpointKey) -> Option<(SocketAddr, Arc<str>, EndpointStart)> {
    let state = node.state.borrow();
    let tag = state.endpoints.tag(endpoint)?;
    let found = state.endpoints.get(endpoint).filter(|e| e.state == EndpointState::Ready)?;
    Some((found.address, Arc::clone(&found.id), EndpointStart(u64::from(tag.0))))
}

/// A request is in quarantine from now on.
pub(crate) fn log_quarantine(node: &Node, request: Fingerprint) {
    let until = node.state.borrow().quarantine.until(node.now(), request);
    let left = until.map(|until| until.duration_since(node.now()).as_secs());
    warn!(node.log, "quarantine"; "fingerprint" => %request, "for_s" => left);
}
