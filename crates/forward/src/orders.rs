//! Orders to engines to change their stage.
//!
//! Two instances that order the same engine would undo each other's work, and there is no store to agree in who may.
//! So only one process ever does: the one on the instance that the list of seeds names first, started when the whole
//! system started for the first time. If it ends, nobody orders any more; stages then stay as they are, which costs
//! throughput but breaks nothing. A frozen or cut-off process that comes back is still the only one.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use hyper::StatusCode;
use slog::info;
use teaselshunt_routing::{Incarnation, Service, Stage, StageChange, plan_stage_changes};

use crate::node::{Node, Phase};
use crate::protocol::Order;

/// Pause between two looks at the stages.
const LOOK: Duration = Duration::from_millis(250);
/// Looks without a change of the list before anything is ordered: shares of a list that is still filling are wrong.
const STEADY: u32 = 2;
/// The same after the first orders: endpoints that come back after a cut or a release must not be counted in between.
const STEADY_SERVING: u32 = 8;
/// Orders that wait for their answers at a time. Among thousands of engines a thousand are ordered; one after the other that
/// lasts until callers are there, who then meet engines that change.
const AT_A_TIME: usize = 16;
/// Longest time for an order to be answered.
const CALL: Duration = Duration::from_secs(1);

/// Whether this process is the one that orders.
pub(crate) fn is_holder(node: &Node) -> bool {
    let settings = &node.settings;
    settings.first_start
        && settings.control_address.is_some()
        && settings.control_address.as_ref() == settings.seeds.first()
}

/// Brings the stages of engines to the wanted shares, if this process is the one that orders.
pub(crate) async fn run(node: Rc<Node>) {
    if !is_holder(&node) {
        return;
    }
    info!(node.log, "orders engines");
    let mut ordered: Ordered = HashMap::new();
    let mut fence = 0;
    let mut known = 0;
    let mut steady = 0;
    let mut serving = false;
    while node.phase() == Phase::Serving {
        tokio::time::sleep(LOOK).await;
        let (count, whole) = {
            let state = node.state.borrow();
            (state.endpoints.len(), state.whole)
        };
        steady = if whole && count > 0 && count == known { steady + 1 } else { 0 };
        known = count;
        if steady < if serving { STEADY_SERVING } else { STEADY } {
            continue;
        }
        let mut orders = Vec::new();
        for change in wanted(&node, &ordered, serving) {
            // An engine is ordered once in its life: an order that got no answer may have been accepted.
            if ordered.insert(change.incarnation.clone(), change.stage).is_none() {
                fence += 1;
                orders.push((change, fence));
            }
        }
        let node = &node;
        let give = |(change, fence)| async move { give(node, &change, fence).await };
        futures_util::stream::iter(orders).for_each_concurrent(AT_A_TIME, give).await;
        serving = true;
    }
}

/// The stage that each start of an engine was ordered to take.
type Ordered = HashMap<Incarnation, Stage>;

fn wanted(node: &Node, ordered: &Ordered, serving: bool) -> Vec<StageChange> {
    let state = node.state.borrow();
    let Some(routes) = &state.routes else { return Vec::new() };
    let engines = routes.services().filter(|s| s.engine.is_some());
    let now = node.now();
    let plan = |service: &Service| {
        let open = state.endpoints.open(now, &service.name);
        let memory = service.engine.map_or(0, |e| e.tokens);
        plan_stage_changes(open, |life| ordered.get(life).copied(), serving, memory)
    };
    engines.flat_map(|service| plan(service)).collect()
}

async fn give(node: &Node, change: &StageChange, fence: u64) {
    let address = {
        let state = node.state.borrow();
        let Some(endpoint) = state.endpoints.by_id(&change.id) else { return };
        endpoint.address
    };
    let instance = &node.settings.instance;
    let call = node.protocol.order(Order {
        endpoint_id: &change.id,
        stage: change.stage,
        instance,
        fencing_number: fence,
    });
    let result = node.call(address, call, node.now() + CALL).await;
    let outcome = match result {
        Ok((StatusCode::ACCEPTED | StatusCode::OK, _)) => "accepted",
        Ok(_) => "refused",
        Err(failure) => failure.text(),
    };
    node.metrics.step("order", outcome);
    info!(node.log, "order"; "endpoint" => &*change.id, "stage" => change.stage.text(), "fence" => fence,
        "outcome" => outcome);
}
