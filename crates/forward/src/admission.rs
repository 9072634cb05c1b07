//! Identifies callers and enforces their teams' rate limits.
//!
//! A request is charged when it is admitted, before it waits for anything, so that a team that sends far more
//! than its limit takes no places in queues from other teams. The charge is refunded when the request ends
//! and certainly has not run.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{Route, RouteSet, tag};
use teaselshunt_teams::{KeyDigest, LimitExceeded, RequestClass, Team, TeamTag};

use crate::node::Node;
use crate::protocol::RequestMeta;
use crate::runs::Runs;
use crate::trace::Trace;

/// The key of a caller is missing or unknown, and the route needs one.
#[derive(Debug)]
pub(crate) struct UnknownKey;

/// Identifies the team of a caller with this key; `None` where a route needs no key.
///
/// A known key also identifies its team on public routes: the endpoint gets the team's name, and the team is
/// charged.
pub(crate) fn identify(
    routes: &RouteSet,
    route: &Route,
    key: Option<KeyDigest>,
) -> Result<Option<Arc<Team>>, UnknownKey> {
    let Some(teams) = &routes.teams else { return Ok(None) };
    let team = key.and_then(|key| teams.find(key)).map(Arc::clone);
    if team.is_none() && !route.public { Err(UnknownKey) } else { Ok(team) }
}

/// The charge of a request to its team. Dropping it before the request can have run refunds it.
#[derive(Debug)]
pub(crate) struct Charge {
    /// `None` if nothing was charged.
    team: Option<(Rc<Node>, TeamTag)>,
    cost: u64,
    runs: Rc<Runs>,
}

impl Drop for Charge {
    fn drop(&mut self) {
        let Some((node, team)) = self.team.take() else { return };
        if !self.runs.may_have_begun() {
            let now = node.clock.uptime();
            node.state.borrow_mut().quotas.refund(now, team, self.cost);
        }
    }
}

/// Charges a request to its team; refuses the request if the team is at its limit.
pub(crate) fn charge(
    node: &Rc<Node>,
    team: Option<&Team>,
    route: &Route,
    meta: &RequestMeta,
    runs: &Rc<Runs>,
    trace: &Trace,
) -> Result<Charge, Refusal> {
    let Some(team) = team.filter(|team| team.limit.is_some()) else {
        return Ok(Charge { team: None, cost: 0, runs: Rc::clone(runs) });
    };
    let tokens = meta.prompt_tokens.saturating_add(meta.max_output_tokens);
    let cost = team.cost(meta.has_token_count.then_some(tokens));
    let state = &mut *node.state.borrow_mut();
    let team_tag = team.tag();
    let class = request_class(route);
    let draw = state.rng.random_range(0.0..1.0);
    match state.quotas.admit(node.clock.uptime(), team_tag, cost, class, draw) {
        Ok(()) => Ok(Charge { team: Some((Rc::clone(node), team_tag)), cost, runs: Rc::clone(runs) }),
        Err(exceeded) => {
            let fraction = state.rng.random_range(0.0..1.0);
            let (level, share) =
                (state.quotas.level(team_tag).unwrap_or(0.0), state.quotas.reachable_share());
            let decided = format!("cost:{cost},left:{level:.0},part:{share:.2},priority:{}", route.priority);
            trace.record_step("limit", &team.name, &decided);
            Err(Refusal::retryable(ErrorKind::QuotaExceeded, retry_delay(exceeded, fraction)))
        }
    }
}

/// What a request is to its team. The requests of a route belong to its first service, whichever they are
/// sent to: a route that is being moved between services keeps its order.
fn request_class(route: &Route) -> RequestClass {
    let service = route.targets.first().map_or(0, |(service, _)| tag(service));
    RequestClass { service, priority: route.priority }
}

/// `Retry-After` delay. A request refused by a token bucket is one of many; with the same delay, all these
/// callers would retry at the same moment and find the bucket empty again.
fn retry_delay(exceeded: LimitExceeded, fraction: f64) -> Duration {
    exceeded.wait + exceeded.backlog.mul_f64(fraction)
}
