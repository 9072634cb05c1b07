//! Applies and logs what endpoints state about themselves in responses. All responses of endpoints are read
//! here, whatever they respond to.

use std::time::{Duration, Instant};

use slog::{info, warn};
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{EndpointKey, EngineTag, Stage, Statement};

use crate::node::{Job, Node};
use crate::protocol::{ResponseMeta, Stated, StatementHeaders};
use crate::rates;
use crate::refusals::not_before;
use crate::trace::Trace;

/// Shortest `Retry-After` delay while endpoints take only a share of the requests after a cooldown.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(150);
/// Shortest time between two log lines about invalid statements.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// Applies what an endpoint states about itself in a response. A response of another endpoint, at the address
/// where this one was expected, is not about this one.
pub(crate) fn observe(node: &Node, key: EndpointKey, response: &ResponseMeta) {
    if response.misdirected {
        return;
    }
    let StatementHeaders { leaving, retry_after, rate } = response.statements;
    if rate == Stated::Invalid {
        warn_invalid(node, key, "endpoint advertises an invalid rate limit");
    }
    if retry_after == Stated::Invalid {
        warn_invalid(node, key, "endpoint states an invalid retry delay");
    }
    let statement = Statement { leaving, cooldown: retry_after.value(), rate: rate.value() };
    let changes = node.state.borrow_mut().endpoints.observe_statement(node.now(), key, statement);
    let Some(changes) = changes else { return };
    if changes.leaves {
        log_leaving(node, &node.id_for_log(key), "answer");
        node.gossip_wakeup.notify_one();
    }
    if let Some(delay) = changes.cooldown {
        node.metrics.statements.with_label_values(&["cooldown", "answer"]).inc();
        info!(node.log, "endpoint"; "endpoint" => &*node.id_for_log(key), "state" => "cooldown",
            "for_s" => delay.as_secs_f64(), "source" => "answer");
    }
    rates::log_change(node, changes.endpoint, changes.rate, "answer", Duration::ZERO);
}

/// Merges reports of a peer about endpoints that stated that they leave.
pub(crate) fn merge_leaving(node: &Node, endpoints: Vec<EngineTag>) {
    for endpoint in endpoints {
        let key = node.state.borrow_mut().endpoints.merge_leaving(node.now(), endpoint);
        if let Some(key) = key {
            log_leaving(node, &node.id_for_log(key), "peer");
        }
    }
}

/// When the first endpoint of the job's service and of a stage takes requests again, if all that take new
/// work want none now.
pub(crate) fn first_available(node: &Node, job: &Job, stage: Option<Stage>) -> Option<Instant> {
    node.state.borrow().endpoints.first_available(node.now(), &job.service.name, stage)
}

/// The refusal of a request for which all endpoints of a stage want no requests now.
pub(crate) fn refusal(node: &Node, job: &Job, trace: &Trace, stage: Option<Stage>) -> Option<Refusal> {
    let wait = first_available(node, job, stage)?.duration_since(node.now()).max(RETRY_DELAY_MIN);
    let service = &job.service.name;
    node.metrics.cooldown_refusals.with_label_values(&[service]).inc();
    trace.record_step("cooldown", service, &format!("back_in:{:.1}s", wait.as_secs_f64()));
    Some(Refusal::retryable(ErrorKind::Overloaded, not_before(wait)))
}

/// Logs that an endpoint is known to leave, and from whom.
fn log_leaving(node: &Node, id: &str, source: &str) {
    node.metrics.statements.with_label_values(&["leaving", source]).inc();
    info!(node.log, "endpoint"; "endpoint" => id, "state" => "leaving", "source" => source);
}

/// Logs an invalid statement; not for every response.
fn warn_invalid(node: &Node, key: EndpointKey, message: &str) {
    let now = node.now();
    let recent = |last: Instant| now.duration_since(last) < WARNING_INTERVAL;
    if !node.statement_warned.get().is_some_and(recent) {
        node.statement_warned.set(Some(now));
        warn!(node.log, "{}", message; "endpoint" => &*node.id_for_log(key));
    }
}
