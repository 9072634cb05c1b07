//! Orders engines to change their stage.
//!
//! The instance that [`OrderElection`] elects gives orders; where lists of seeds share no instance, there may be two. If its
//! process ends, no orders are given any more; stages then stay as they are, which costs throughput but breaks nothing. If it
//! is frozen or partitioned and returns, nobody has been elected in its place.
//!
//! An engine gets at most one order in each incarnation, and takes it only if it has taken none before.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use hyper::StatusCode;
use slog::info;
use teaselshunt_routing::{
    ElectionState, FencingNumbers, Incarnation, OrderElection, Service, Stage, StageChange,
    plan_stage_changes,
};

use crate::node::Node;
use crate::phase::Phase;
use crate::protocol::Order;
use crate::settings::Settings;

/// Interval at which the stages are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Polls without a change in the number of endpoints before orders are given: the stages' shares of a list
/// that is still filling are wrong.
const STEADY_POLLS: u32 = 2;
/// Like [`STEADY_POLLS`], after the first orders: endpoints that return after a network partition or a
/// release must not be counted while they return.
const STEADY_POLLS_SERVING: u32 = 8;
/// Orders that may wait for their responses at a time. Of thousands of engines about a thousand get an order.
/// Orders one after the other would still be in progress when callers arrive, and callers would get engines
/// that are changing their stage.
const CONCURRENT_ORDERS: usize = 16;
/// Longest time to wait for the response to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// The election as a process with these settings begins it.
pub(crate) fn election(settings: &Settings, started: Instant) -> OrderElection<SocketAddr> {
    match settings.control_address {
        Some(control) if settings.first_start => OrderElection::new(started, control, settings.seeds.clone()),
        Some(_) | None => OrderElection::without_vote(started),
    }
}

/// Orders engines until the stages have the planned shares, while this instance is elected.
pub(crate) async fn run(node: Rc<Node>) {
    let Some(control) = node.settings.control_address else { return };
    let mut ordered: OrderedStages = HashMap::new();
    let mut numbers = FencingNumbers::new(control);
    let mut election = ElectionState::NoCandidate;
    let mut known = 0;
    let mut steady_polls = 0;
    let mut serving = false;
    while node.state.borrow().election.is_candidate() && node.phase() == Phase::Serving {
        tokio::time::sleep(POLL_INTERVAL).await;
        let (count, list_complete) = {
            let state = node.state.borrow();
            (state.endpoints.len(), state.list_complete)
        };
        steady_polls = if list_complete && count > 0 && count == known { steady_polls + 1 } else { 0 };
        known = count;
        let before = std::mem::replace(&mut election, node.state.borrow().election.state(node.now()));
        if election != before {
            log_election(&node, election);
        }
        if election != ElectionState::Elected
            || steady_polls < if serving { STEADY_POLLS_SERVING } else { STEADY_POLLS }
        {
            continue;
        }
        let mut orders = Vec::new();
        for change in planned_changes(&node, &ordered, serving) {
            // An order without a response may have been accepted.
            if ordered.insert(change.incarnation.clone(), change.stage).is_none() {
                orders.push((change, numbers.draw()));
            }
        }
        let node = &node;
        let send = |(change, fencing_number)| async move { send_order(node, &change, fencing_number).await };
        futures_util::stream::iter(orders).for_each_concurrent(CONCURRENT_ORDERS, send).await;
        serving = true;
    }
}

fn log_election(node: &Node, state: ElectionState<SocketAddr>) {
    match state.other() {
        None if state == ElectionState::Elected => info!(node.log, "giving orders to engines"),
        None => info!(node.log, "no orders to engines"; "cause" => state.text()),
        Some(other) => {
            info!(node.log, "no orders to engines"; "cause" => state.text(), "other" => %other);
        }
    }
}

/// The stage that each incarnation of an engine was ordered to take.
type OrderedStages = HashMap<Incarnation, Stage>;

fn planned_changes(node: &Node, ordered: &OrderedStages, serving: bool) -> Vec<StageChange> {
    let state = node.state.borrow();
    let Some(routes) = &state.routes else { return Vec::new() };
    let engines = routes.services().filter(|s| s.engine.is_some());
    let now = node.now();
    let plan = |service: &Service| {
        let open = state.endpoints.open(now, &service.name);
        let memory = service.engine.map_or(0, |e| e.tokens);
        plan_stage_changes(open, |incarnation| ordered.get(incarnation).copied(), serving, memory)
    };
    let is_cooling = |change: &StageChange| {
        state.endpoints.key_of(&change.id).is_some_and(|key| state.endpoints.is_cooling(now, key))
    };
    engines.flat_map(|service| plan(service)).filter(|change| !is_cooling(change)).collect()
}

async fn send_order(node: &Node, change: &StageChange, fencing_number: u64) {
    let (key, address) = {
        let state = node.state.borrow();
        let Some(key) = state.endpoints.key_of(&change.id) else { return };
        let Some(endpoint) = state.endpoints.get_available(node.now(), key) else { return };
        (key, endpoint.address)
    };
    let instance = &node.settings.instance;
    let call =
        node.protocol.order(Order { endpoint_id: &change.id, stage: change.stage, instance, fencing_number });
    // Engines take the orders of two instances for those of two that contend.
    let result = node.call_endpoint_directly(key, address, call, node.now() + ORDER_TIMEOUT).await;
    let outcome = match result {
        Ok((StatusCode::ACCEPTED | StatusCode::OK, _)) => "accepted",
        Ok(_) => "refused",
        Err(failure) => failure.text(),
    };
    node.metrics.count_step("order", outcome);
    info!(node.log, "order"; "endpoint" => &*change.id, "stage" => change.stage.text(), "fence" => fencing_number,
        "outcome" => outcome);
}
