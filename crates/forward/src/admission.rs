//! Who a caller is, and whether its team's limit allows a request.
//!
//! A request is charged when it is admitted, before it waits for anything, so that a team that floods takes no place in a
//! queue from the others. What it was charged is given back when it ends and surely has not run.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{Route, RouteSet};
use teaselshunt_teams::{KeyDigest, LimitExceeded, Team, TeamTag};

use crate::node::Node;
use crate::protocol::RequestMeta;
use crate::trace::Trace;

/// The team of a caller with this key; `None` where a route needs none.
///
/// A key that is known is a team's on public routes as well: the team is named to the endpoint and charged.
pub(crate) fn identify(
    routes: &RouteSet,
    route: &Route,
    key: Option<KeyDigest>,
) -> Result<Option<Arc<Team>>, Refusal> {
    let Some(teams) = &routes.teams else { return Ok(None) };
    let team = key.and_then(|key| teams.find(key)).map(Arc::clone);
    if team.is_none() && !route.public {
        return Err(Refusal::new(ErrorKind::Unauthorized));
    }
    Ok(team)
}

/// What a team was charged for a request. Dropped before the request can have run it is given back.
#[derive(Debug)]
pub(crate) struct Charge {
    /// `None` where nothing was charged.
    team: Option<(Rc<Node>, TeamTag)>,
    cost: u64,
    /// Sends to endpoints that may have run the request, or may still.
    sends: Cell<u32>,
}

impl Charge {
    /// The request is about to be sent to an endpoint that may run it.
    pub(crate) fn send(&self) {
        self.sends.set(self.sends.get() + 1);
    }

    /// The endpoint has not run it and will not.
    pub(crate) fn unsend(&self) {
        self.sends.set(self.sends.get().saturating_sub(1));
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let Some((node, team)) = self.team.take() else { return };
        if self.sends.get() == 0 {
            let now = node.clock.uptime();
            node.state.borrow_mut().quotas.refund(now, team, self.cost);
        }
    }
}

/// Charges a request to its team, or refuses it because the team is at its limit.
pub(crate) fn charge(
    node: &Rc<Node>,
    team: Option<&Team>,
    meta: &RequestMeta,
    trace: &Trace,
) -> Result<Charge, Refusal> {
    let sends = Cell::new(0);
    let Some(team) = team.filter(|team| team.limit.is_some()) else {
        return Ok(Charge { team: None, cost: 0, sends });
    };
    let cost = team.cost(meta.has_token_count.then_some(meta.prompt_tokens + meta.max_output_tokens));
    let state = &mut *node.state.borrow_mut();
    let tag = team.tag();
    match state.quotas.admit(node.clock.uptime(), tag, cost) {
        Ok(()) => Ok(Charge { team: Some((Rc::clone(node), tag)), cost, sends }),
        Err(shortage) => {
            let part = state.rng.random_range(0.0..1.0);
            let (level, held) = (state.quotas.level(tag).unwrap_or(0.0), state.quotas.reachable_share());
            trace.step("limit", &team.name, &format!("cost:{cost},left:{level:.0},part:{held:.2}"));
            Err(Refusal::retryable(ErrorKind::QuotaExceeded, way_back(shortage, part)))
        }
    }
}

/// When to come back. Whoever is refused by one account is refused with many others; told the same time, they would all
/// come back at once and find the account as empty.
fn way_back(shortage: LimitExceeded, part: f64) -> Duration {
    shortage.wait + shortage.backlog.mul_f64(part)
}
