//! One numbered configuration version: routes, services and limits, indexed for lookup by host and path.
//!
//! A version is immutable once read, and shared by reference. A request therefore sees one version from its
//! arrival to its end, whichever versions arrive meanwhile.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use teaselshunt_teams::{Team, Teams};

use crate::{Priority, RANK_MAX};

/// How far a route's requests may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// A stream of events, which runs at most once; a resumable one may continue at another endpoint after
    /// its last event.
    Stream {
        /// Whether another endpoint may resume the stream.
        resumable: bool,
    },
}

/// Where requests of a host and path prefix go, and under which conditions.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Route {
    /// Name that operators use.
    pub name: Arc<str>,
    /// Host, lower case, without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// How far its requests may be sent again.
    pub repeat: Repeat,
    /// Longest time that a caller waits for its complete response.
    pub timeout: Duration,
    /// Latency goal of callers for the response, or for the first event of a stream.
    pub goal: Duration,
    /// Callers' goal for the longest pause between events of a stream.
    pub gap: Option<Duration>,
    /// Most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Priority of its requests, where 0 is the highest.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
    /// Services and their weights.
    pub targets: Vec<(Arc<str>, u32)>,
}

/// Shortest time without an event after which callers leave a stream; the next two constants give the same
/// time in latency goals for the first event and in gap goals. The longest of the three counts. The values
/// come from the platform's description of its callers.
const ABANDON_TIMEOUT_MIN: Duration = Duration::from_secs(2);
const ABANDON_TIMEOUT_GOALS: u32 = 4;
const ABANDON_TIMEOUT_GAPS: u32 = 8;

impl Route {
    /// Time without an event after which callers leave a stream.
    pub fn abandon_timeout(&self) -> Duration {
        let gaps = self.gap.map_or(Duration::ZERO, |gap| gap * ABANDON_TIMEOUT_GAPS);
        ABANDON_TIMEOUT_MIN.max(self.goal * ABANDON_TIMEOUT_GOALS).max(gaps)
    }

    /// Priority of a request of this team.
    pub fn priority_for(&self, team: Option<&Team>) -> Priority {
        Priority::new(team.and_then(|team| team.priority), self.priority)
    }

    /// Picks a service at random, by weight.
    pub fn pick_service(&self, rng: &mut impl Rng) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.1)).sum();
        if total == 0 {
            return None;
        }
        let mut draw = rng.random_range(0..total);
        self.targets.iter().find_map(|(service, weight)| {
            let weight = u64::from(*weight);
            let picked = draw < weight;
            draw = draw.saturating_sub(weight);
            picked.then_some(service)
        })
    }
}

/// Properties of a service's endpoints.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Connections that one endpoint accepts from all instances together; 0 if no limit is given.
    pub connections: u32,
    /// Set if the endpoints are model engines.
    pub engine: Option<Engine>,
}

/// Fraction of the connections that an endpoint accepts which may be idle; the rest is for requests in
/// progress and for instances that are not known yet.
const IDLE_FRACTION: f64 = 0.6;

impl Service {
    /// Idle connections to one endpoint that each of so many instances may keep, one at least.
    ///
    /// An endpoint resets connections beyond its limit, whichever instance opened them, and a non-idempotent
    /// request on such a connection is lost. Idle connections of many instances alone could reach the limit.
    pub fn max_idle_connections(&self, instances: usize) -> usize {
        let share = f64::from(self.connections) * IDLE_FRACTION / instances.max(1) as f64;
        if self.connections == 0 { usize::MAX } else { (share as usize).max(1) }
    }
}

/// The common properties of a service's model engines.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Engine {
    /// Memory of an engine, in tokens.
    pub tokens: u64,
    /// Longest time for which an engine holds a reservation.
    pub hold: Duration,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head: usize,
    /// Largest request body, in bytes.
    pub body: usize,
    /// Longest time for a whole request to arrive.
    pub arrival: Duration,
    /// Longest time without a request on an open connection.
    pub idle: Duration,
}

/// A configuration version.
#[derive(Debug, Serialize, Deserialize)]
pub struct RouteSet {
    /// Its number.
    pub version: u64,
    /// Limits for callers.
    pub limits: Limits,
    /// Teams whose callers may use routes that are not public; `None` if every caller may.
    pub teams: Option<Teams>,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    /// Mistakes in the document that do not keep the rest from being used; known to the instance that read it.
    #[serde(skip)]
    pub warnings: Vec<String>,
    /// Priorities of the requests of each service, in order; computed on first use.
    #[serde(skip)]
    priorities: OnceLock<HashMap<Arc<str>, Vec<Priority>>>,
    /// Weights of teams by tag; computed on first use.
    #[serde(skip)]
    weights: OnceLock<HashMap<u32, f64>>,
}

impl RouteSet {
    /// Indexes a version.
    pub fn new(version: u64, limits: Limits, routes: Vec<Route>, services: Vec<Service>) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (Arc::clone(&s.name), Arc::new(s))).collect();
        Self {
            version,
            limits,
            teams: None,
            hosts,
            services,
            warnings: Vec::new(),
            priorities: OnceLock::new(),
            weights: OnceLock::new(),
        }
    }

    /// Sets the teams: only their callers, and callers of public routes, are served.
    #[must_use]
    pub fn with_teams(self, teams: Option<Teams>) -> Self {
        Self { teams, priorities: OnceLock::new(), weights: OnceLock::new(), ..self }
    }

    /// The route with the longest prefix of `path`; `host` may carry a port and any case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// The rank of a priority among those that requests of a service can have, 0 for the most urgent and
    /// [`RANK_MAX`] at most. `None` if all its requests have the same priority.
    pub fn rank(&self, service: &str, priority: Priority) -> Option<u8> {
        let all = self.priorities.get_or_init(|| self.priorities_by_service()).get(service)?;
        if all.len() < 2 {
            return None;
        }
        let rank = all.partition_point(|&other| other < priority);
        Some(u8::try_from(rank).unwrap_or(RANK_MAX).min(RANK_MAX))
    }

    /// Weight of the team with this tag in a division of capacity: the rate that its limit entitles it to, or
    /// the same for all where some team has no limit.
    pub fn weight(&self, team: u32) -> f64 {
        let weights = self.weights.get_or_init(|| {
            let teams = self.teams.iter().flat_map(Teams::iter);
            let limits = teams.map(|team| Some((team.tag().0, team.limit?.rate)));
            limits.collect::<Option<HashMap<_, _>>>().unwrap_or_default()
        });
        weights.get(&team).copied().unwrap_or(1.0)
    }

    /// Shortest latency goal of the routes to each service whose requests all have one priority.
    pub fn shortest_single_priority_goals(&self) -> HashMap<Arc<str>, Duration> {
        let mut goals: HashMap<Arc<str>, Duration> = HashMap::new();
        for route in self.hosts.values().flatten() {
            for (service, _) in &route.targets {
                let goal = goals.entry(Arc::clone(service)).or_insert(route.goal);
                *goal = route.goal.min(*goal);
            }
        }
        let priorities = self.priorities.get_or_init(|| self.priorities_by_service());
        goals.retain(|service, _| priorities.get(service).is_none_or(|all| all.len() < 2));
        goals
    }

    fn priorities_by_service(&self) -> HashMap<Arc<str>, Vec<Priority>> {
        let of_teams: BTreeSet<Option<u8>> = match &self.teams {
            Some(teams) => teams.iter().map(|team| team.priority).collect(),
            None => BTreeSet::from([None]),
        };
        let mut found: HashMap<Arc<str>, BTreeSet<Priority>> = HashMap::new();
        for route in self.hosts.values().flatten() {
            let without_team = route.public.then_some(None);
            for (service, _) in &route.targets {
                let priorities = found.entry(Arc::clone(service)).or_default();
                let teams = of_teams.iter().copied().chain(without_team);
                priorities.extend(teams.map(|team| Priority::new(team, route.priority)));
            }
        }
        found.into_iter().map(|(service, all)| (service, all.into_iter().collect())).collect()
    }

    /// Whether there is a route of this name.
    pub fn has_route(&self, name: &str) -> bool {
        self.hosts.values().flatten().any(|route| &*route.name == name)
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}
