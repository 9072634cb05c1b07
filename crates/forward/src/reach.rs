//! How this instance reaches endpoints: its own links, and what was found out about them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use slog::info;
use teaselshunt_routing::Links;

use crate::node::Node;

/// Where a request goes.
#[derive(Debug, Clone)]
pub(crate) struct Destination {
    pub(crate) address: SocketAddr,
    /// Id of the endpoint; `None` for the platform and for peers.
    pub(crate) endpoint: Option<Arc<str>>,
}

impl Destination {
    /// The endpoint with this id.
    pub(crate) const fn endpoint(address: SocketAddr, id: Arc<str>) -> Self {
        Self { address, endpoint: Some(id) }
    }
}

/// Knowledge of the links to endpoints.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    links: RefCell<Links>,
}

impl Reach {
    /// Records that a request was sent to an endpoint over a direct connection.
    pub(crate) fn record_send(&self, endpoint: SocketAddr) {
        self.links.borrow_mut().record_send(Instant::now(), endpoint);
    }

    /// Records that bytes of an endpoint arrived over a direct connection that was opened at `opened`.
    pub(crate) fn record_bytes(&self, endpoint: SocketAddr, opened: Instant) {
        self.links.borrow_mut().record_bytes(Instant::now(), endpoint, opened);
    }

    /// Records that a direct connection could not be opened, or broke before its response began.
    pub(crate) fn record_failure(&self, endpoint: SocketAddr) {
        self.links.borrow_mut().record_failure(Instant::now(), endpoint);
    }

    pub(crate) fn links(&self) -> std::cell::Ref<'_, Links> {
        self.links.borrow()
    }
}

/// Logs when this instance begins or ceases to doubt its own links, and updates the gauge. Returns whether it doubts
/// them now.
pub(crate) fn observe(node: &Node, was_in_doubt: bool) -> bool {
    let (now, links) = (node.now(), node.pool.reach().links());
    let (in_doubt, doubtful) = (links.is_in_doubt(now), links.doubtful_count(now));
    node.metrics.doubtful_links.set(doubtful as i64);
    if in_doubt != was_in_doubt {
        let state = if in_doubt { "in_doubt" } else { "sound" };
        info!(node.log, "links"; "state" => state, "doubtful" => doubtful);
    }
    in_doubt
}
