//! Small calls to engines.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::debug;

use crate::node::Node;
use crate::protocol::Call;

/// Longest time for a small call to an engine: many round trips.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Releases a resource at an engine, in the background. If the call fails, the engine's own time limit
/// releases it.
///
/// What the response states about its endpoint is not applied: the call names no incarnation, so that a later
/// one at the same address may respond.
pub(crate) fn release_in_background(node: &Rc<Node>, address: SocketAddr, call: Call) {
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let until = node.now() + CALL_TIMEOUT;
        if let Err(failure) = node.call(address, call, until).await {
            debug!(node.log, "cannot release a resource at an endpoint"; "address" => %address, "failure" => failure.text());
        }
    });
}
