//! Closes new connections of callers unread while the processor is overloaded, so that they try another instance.

use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::{info, warn};
use teaselshunt_routing::{LATENESS_INTERVAL, SheddingChange};

use crate::node::Node;

/// Records how late this task runs, which shows whether the processor is overloaded.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        let due = node.now() + LATENESS_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        let now = node.now();
        let lateness = now.saturating_duration_since(due);
        node.metrics.shedding.lateness.set(lateness.as_millis() as i64);
        let change = node.state.borrow_mut().shedding.record_run(now, lateness);
        match change {
            Some(SheddingChange::Began(lateness)) => log_begin(&node, lateness),
            Some(SheddingChange::Ended) => info!(node.log, "no connection is shed";
                "shed" => node.metrics.shedding.connections.get()),
            None => {}
        }
    }
}

fn log_begin(node: &Node, lateness: Duration) {
    warn!(node.log, "connections are shed"; "late_ms" => lateness.as_millis() as u64,
        "connections" => node.connections.get(), "running" => node.metrics.progress.running.get());
}

/// Whether a new connection is kept.
pub(crate) fn keeps_new(node: &Node) -> bool {
    let state = &mut *node.state.borrow_mut();
    let keeps = !state.shedding.is_shedding() || state.shedding.keeps_new(node.now(), &mut state.rng);
    if !keeps {
        node.metrics.shedding.connections.inc();
    }
    keeps
}

/// Whether a connection that was accepted at `accepted` is read, now that its task begins.
pub(crate) fn reads_waiting(node: &Node, accepted: Instant) -> bool {
    let now = node.now();
    let waited = now.saturating_duration_since(accepted);
    let was_shedding = node.state.borrow().shedding.is_shedding();
    let reads = node.state.borrow_mut().shedding.reads_waiting(now, waited);
    if !reads {
        node.metrics.shedding.connections.inc();
        if !was_shedding {
            log_begin(node, waited);
        }
    }
    reads
}

/// Whether a connection stays open after its response.
pub(crate) fn keeps_open(node: &Node) -> bool {
    let state = &mut *node.state.borrow_mut();
    !state.shedding.is_shedding() || state.shedding.keeps_open(&mut state.rng)
}
