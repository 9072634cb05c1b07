//! Teams: their API keys, and the limits on what each team may request from all instances together.
//!
//! The accounts are those of the crate `teaselshunt-teams`. This module feeds them with the spending reports
//! of members and with the health of members. Health comes from the membership: an instance receives
//! heartbeats from a few neighbours only, so that a member from which it receives nothing may well be alive.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use teaselshunt_settings::{Configuration, TeamUnit};
use teaselshunt_teams::{
    KeyDigest, Limit, QuotaMode, Quotas, RequestClass, StartKind, Team, TeamTag, Teams, Unit, UpdateHeader,
};

use crate::InstanceId;
use crate::error::{ErrorKind, Refusal};
use crate::event::Effect;
use crate::ids::{PoolId, RequestKey};
use crate::instance::Instance;
use crate::members::Health;
use crate::message::{Message, SpendingReport};
use crate::requests::{Kind, Request};

/// Time between two spending reports about teams near their limits.
const SPENDING_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Units that a request was charged to its team.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Charge {
    team: TeamTag,
    cost: u64,
}

/// State of a team's limit for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamView {
    /// Name.
    pub name: String,
    /// Units per second.
    pub rate: u32,
    /// Maximum number of units at once.
    pub burst: u32,
    /// Units that may be admitted now, as estimated by this instance; negative while the refill makes up for
    /// admissions beyond the limit.
    pub level: i64,
    /// Units that this instance has admitted since its start.
    pub admitted: i64,
}

/// Teams and their API keys in a configuration version.
#[derive(Debug)]
pub struct TeamDirectory {
    /// Teams and their keys.
    pub teams: Teams,
    /// Services whose callers need no key.
    pub public: HashSet<String>,
}

/// `None` if no team has a key; callers then name their team themselves.
fn team_directory(configuration: &Configuration) -> Option<TeamDirectory> {
    if configuration.teams.iter().all(|team| team.keys.is_empty()) {
        return None;
    }
    let teams = configuration.teams.iter().map(|team| {
        let keys = team.keys.iter().filter_map(|key| KeyDigest::from_hex(key)).collect();
        (quota_team(team), keys)
    });
    let public = configuration.services.iter().filter(|service| service.public);
    Some(TeamDirectory { teams: Teams::new(teams), public: public.map(|s| s.name.clone()).collect() })
}

fn quota_team(team: &teaselshunt_settings::Team) -> Team {
    let unit = match team.limit {
        Some(limit) if limit.unit == TeamUnit::Tokens => Unit::Tokens { plain: u64::from(limit.plain) },
        Some(_) | None => Unit::Requests,
    };
    let limit = team.limit.map(|l| Limit { rate: f64::from(l.rate), burst: f64::from(l.burst) });
    Team { name: Arc::from(team.name.as_str()), priority: None, unit, limit }
}

/// Limits of teams at one instance.
#[derive(Debug)]
pub(crate) struct Limits {
    quotas: Quotas<InstanceId>,
    /// Teams that have a limit, by name.
    teams: HashMap<String, Team>,
    next_spending_report: Instant,
    sequence: u64,
}

impl Limits {
    /// Starts without accounts. An instance does not know whether the whole deployment starts for the first
    /// time.
    pub(crate) fn new(now: Instant) -> Self {
        let quotas = Quotas::new(Duration::ZERO, QuotaMode::Shared, StartKind::Subsequent, (0, 0));
        Self { quotas, teams: HashMap::new(), next_spending_report: now, sequence: 0 }
    }
}

impl Instance {
    /// Teams and their API keys in the active configuration; `None` if callers name their team themselves.
    pub fn team_directory(&self) -> Option<TeamDirectory> {
        team_directory(self.versions.current()?)
    }

    /// Time on the clock of the accounts.
    fn account_time(&self, now: Instant) -> Duration {
        now.duration_since(self.started)
    }

    /// Applies the limits of a new configuration.
    pub(crate) fn set_limits(&mut self, now: Instant) {
        let teams: Vec<Team> =
            self.versions.current().map_or_else(Vec::new, |c| c.teams.iter().map(quota_team).collect());
        let at = self.account_time(now);
        self.limits.quotas.set_limits(at, teams.iter().filter_map(|team| Some((team.tag(), team.limit?))));
        self.limits.teams =
            teams.into_iter().filter(|team| team.limit.is_some()).map(|t| (t.name.to_string(), t)).collect();
    }

    /// Charges a request to its team, or refuses the request.
    pub(crate) fn charge(&mut self, now: Instant, key: RequestKey) -> Result<(), Refusal> {
        let request = self.requests.get(key);
        let Some(team) = self.limits.teams.get(&request.team) else { return Ok(()) };
        let tokens = match request.kind {
            Kind::Generate { prompt_tokens, max_tokens, .. } => {
                Some(u64::from(prompt_tokens) + u64::from(max_tokens))
            }
            Kind::Call { .. } => None,
        };
        let charge = Charge { team: team.tag(), cost: team.cost(tokens) };
        let at = self.account_time(now);
        // Models of different classes compete where they share a pool.
        let class = RequestClass { service: PoolId::of(&request.pool).0 as u32, priority: request.priority };
        let draw = self.rng.random_range(0.0..1.0);
        match self.limits.quotas.admit(at, charge.team, charge.cost, class, draw) {
            Ok(()) => {
                self.requests.get_mut(key).charge = Some(charge);
                Ok(())
            }
            Err(exceeded) => {
                // Spread, so that callers that were refused together do not retry together.
                let wait = exceeded.wait + exceeded.backlog.mul_f64(self.rng.random_range(0.0..1.0));
                Err(Refusal::retryable(ErrorKind::QuotaExceeded, wait))
            }
        }
    }

    /// Removes a request that has ended. Its charge is refunded if the request provably has not run.
    pub(crate) fn close_request(&mut self, now: Instant, key: RequestKey) -> Request {
        let request = self.requests.close(key);
        if let Some(charge) = request.charge.filter(|_| !request.may_have_run()) {
            self.limits.quotas.refund(self.account_time(now), charge.team, charge.cost);
        }
        request
    }

    /// Updates the accounts with the members that are alive.
    pub(crate) fn review_limits(&mut self, now: Instant) {
        let at = self.account_time(now);
        self.limits.quotas.set_listed_instances(self.members.iter().count() as u32 + 1);
        for (id, member) in self.members.iter() {
            if matches!(member.health, Health::Alive) {
                self.limits.quotas.observe_alive(at, id, member.incarnation);
            }
        }
        self.limits.quotas.tick(at);
    }

    /// Sends a spending report about teams near their limits to all members.
    pub(crate) fn send_spending(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if now < self.limits.next_spending_report {
            return;
        }
        self.limits.next_spending_report = now + SPENDING_REPORT_INTERVAL;
        let at = self.account_time(now);
        let spent = self.limits.quotas.team_spending(at);
        if spent.is_empty() {
            return;
        }
        self.limits.sequence += 1;
        let report = SpendingReport {
            incarnation: self.identity.incarnation,
            sequence: self.limits.sequence,
            stopping: self.members.stopping,
            spent,
        };
        let others: Vec<InstanceId> = self.members.iter().map(|(id, _)| id).collect();
        for to in others {
            self.deliver(now, to, Message::Spending(report.clone()), out);
        }
    }

    /// Merges the spending report of a member.
    pub(crate) fn merge_spending(&mut self, now: Instant, from: InstanceId, report: SpendingReport) {
        let SpendingReport { incarnation, sequence, stopping, spent } = report;
        let header = UpdateHeader {
            incarnation,
            sequence,
            domain: 0,
            interval: Duration::ZERO,
            draining: stopping,
            known_instances: 1,
        };
        let at = self.account_time(now);
        if self.limits.quotas.receive_update(at, from, header) {
            self.limits.quotas.merge_spending(at, from, spent);
        }
    }

    /// State of the limits for operators.
    pub(crate) fn team_views(&self) -> Vec<TeamView> {
        let teams = self.versions.current().map(|c| c.teams.as_slice()).unwrap_or_default();
        let view = |team: &teaselshunt_settings::Team| {
            let (limit, tag) = (team.limit?, TeamTag::of(&team.name));
            Some(TeamView {
                name: team.name.clone(),
                rate: limit.rate,
                burst: limit.burst,
                level: self.limits.quotas.level(tag)? as i64,
                admitted: self.limits.quotas.admitted(tag)?,
            })
        };
        teams.iter().filter_map(view).collect()
    }
}
