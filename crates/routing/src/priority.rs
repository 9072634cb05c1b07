//! The order in which requests are served where there is not room for all.

use serde::{Deserialize, Serialize};

/// Priority of a request. The smaller one is the more urgent: the priority of the caller's team counts first,
/// then the route's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Priority {
    team: u8,
    route: u8,
}

impl Priority {
    /// The priority of a request on a route, by a caller whose team may have a priority of its own. A request
    /// without one ranks by its route alone, among teams as among routes.
    pub const fn new(team: Option<u8>, route: u8) -> Self {
        let team = match team {
            Some(team) => team,
            None => route,
        };
        Self { team, route }
    }

    /// Name for logs and metrics: the team's part and the route's.
    pub fn text(self) -> String {
        format!("{}.{}", self.team, self.route)
    }
}

/// Largest rank that model engines distinguish.
pub const RANK_MAX: u8 = 9;
