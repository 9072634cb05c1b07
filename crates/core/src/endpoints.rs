//! Endpoints as one instance sees them: what the configuration says, what reports say, what it uses itself.
//!
//! Own use is exact, use by others is known only from lagging reports. The load that choices are made by is
//! the sum of both, so that an instance never forgets what it has just sent, whatever the reports say.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use teaselshunt_settings::{Configuration, EndpointState, Role};

use crate::event::{EngineLoad, Target};
use crate::ids::EndpointKey;
use crate::slots::Usage;
use crate::{EndpointId, InstanceId};

/// Failures in a row after which an endpoint is left alone for a while.
const FAILURES_BEFORE_PAUSE: u32 = 2;
/// Polls in a row without an answer after which an endpoint counts as out of reach.
const UNANSWERED_POLLS_MAX: u32 = 3;
/// First pause of an endpoint that failed; doubles up to [`PAUSE_MAX`].
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const PAUSE_MAX: Duration = Duration::from_secs(8);
/// Loads in thousandths that differ by less than this are taken for equal, and the nearer endpoint is chosen: a
/// stream inside its failure domain survives every cut between domains.
const LOAD_TOLERANCE: u32 = 250;
/// Reports older than this say nothing about others any more.
const REPORT_AGE_MAX: Duration = Duration::from_secs(5);

/// How an endpoint is chosen among those with room.
///
/// The plain ones are kept to measure against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Placement {
    /// By the owner of the pool's slots, which sees every reservation.
    #[default]
    Owner,
    /// The less loaded of two random ones, by own use and reports; also what an asker falls back to.
    TwoChoices,
    /// Any, full or not.
    Random,
    /// Each in turn, full or not.
    RoundRobin,
    /// The least loaded by the last reports alone.
    LeastReported,
}

/// An endpoint as an operator sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// Name.
    pub name: String,
    /// Data centre.
    pub site: String,
    /// Pool.
    pub pool: String,
    /// What it does.
    pub role: Role,
    /// Requests of this instance there.
    pub own: u32,
    /// Requests of others there, by the last report.
    pub others: u32,
    /// Slots.
    pub slots: u32,
    /// Whether it gets no new work, for whatever reason the operators or itself gave.
    pub leaving: bool,
    /// Whether it is left alone after failures.
    pub paused: bool,
}

/// One endpoint.
#[derive(Debug)]
pub(crate) struct EndpointEntry {
    pub(crate) id: EndpointId,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) domain: String,
    pub(crate) site: String,
    pub(crate) pool: String,
    pub(crate) role: Role,
    pub(crate) slots: u32,
    /// By the configuration, or gone from it.
    draining: bool,
    /// By its own word.
    leaving: bool,
    /// No longer in the configuration; kept while work of this instance runs there.
    removed: bool,
    own: u32,
    others: u32,
    /// Requests that the last report named and that the owner of the pool does not account for.
    unaccounted: u32,
    /// All that the last report named, own work included.
    reported_requests: u32,
    reported_at: Option<Instant>,
    consecutive_failures: u32,
    paused_until: Option<Instant>,
    /// Polls since the last report. Kept apart from `failures`: an engine that answers polls but no work must
    /// not be forgiven by its reports.
    unanswered_polls: u32,
}

impl EndpointEntry {
    pub(crate) fn target(&self) -> Target {
        Target { id: self.id, address: self.address }
    }

    fn is_leaving(&self) -> bool {
        self.draining || self.leaving || self.removed
    }

    fn usable(&self, now: Instant) -> bool {
        let reached = self.unanswered_polls < UNANSWERED_POLLS_MAX
            && self.paused_until.is_none_or(|until| now >= until);
        !self.is_leaving() && reached
    }

    fn load(&self) -> u32 {
        self.own + self.others
    }
}

/// All endpoints that one instance knows.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: SlotMap<EndpointKey, EndpointEntry>,
    by_id: HashMap<EndpointId, EndpointKey>,
    groups: HashMap<(String, Role), Vec<EndpointKey>>,
    shares: HashMap<String, u32>,
    placement: Placement,
    next_round_robin: usize,
}

/// What a choice is made for.
#[derive(Debug)]
pub(crate) struct Need<'a> {
    pub(crate) pool: &'a str,
    pub(crate) role: Role,
    /// Failure domain to prefer between equals.
    pub(crate) domain: &'a str,
    /// Endpoints that failed this request already.
    pub(crate) tried: &'a [EndpointKey],
    /// Most requests for each 100 slots.
    pub(crate) max_load_percent: u32,
}

impl EndpointTable {
    /// Takes a configuration version over. Endpoints that it no longer has stay until their work has ended.
    pub(crate) fn apply(&mut self, configuration: &Arc<Configuration>) {
        for entry in self.endpoints.values_mut() {
            entry.removed = true;
        }
        for endpoint in &configuration.endpoints {
            let id = EndpointId::of(&endpoint.name);
            let key = self.by_id.get(&id).copied().unwrap_or_else(|| self.insert(id));
            let entry = &mut self.endpoints[key];
            if entry.address != endpoint.address {
                // Another process under an old name: what the old one said of itself says nothing of it.
                entry.leaving = false;
                entry.consecutive_failures = 0;
                entry.paused_until = None;
                entry.unanswered_polls = 0;
                entry.reported_at = None;
                entry.others = 0;
            }
            entry.name.clone_from(&endpoint.name);
            entry.address = endpoint.address;
            entry.domain.clone_from(&endpoint.domain);
            entry.site.clone_from(&endpoint.site);
            entry.pool.clone_from(&endpoint.pool);
            entry.role = endpoint.role;
            entry.slots = endpoint.slots;
            entry.draining = endpoint.state == EndpointState::Draining;
            entry.removed = false;
        }
        self.shares = configuration.sites.iter().map(|s| (s.name.clone(), s.share)).collect();
        self.remove_idle();
        self.groups.clear();
        for (key, entry) in &self.endpoints {
            self.groups.entry((entry.pool.clone(), entry.role)).or_default().push(key);
        }
    }

    fn insert(&mut self, id: EndpointId) -> EndpointKey {
        let key = self.endpoints.insert(EndpointEntry {
            id,
            name: String::new(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            domain: String::new(),
            site: String::new(),
            pool: String::new(),
            role: Role::Service,
            slots: 0,
            draining: false,
            leaving: false,
            removed: false,
            own: 0,
            others: 0,
            unaccounted: 0,
            reported_requests: 0,
            reported_at: None,
            consecutive_failures: 0,
            paused_until: None,
            unanswered_polls: 0,
        });
        self.by_id.insert(id, key);
        key
    }

    /// Forgets removed endpoints without work.
    fn remove_idle(&mut self) {
        let by_id = &mut self.by_id;
        self.endpoints.retain(|_, entry| {
            let keep = !entry.removed || entry.own > 0;
            if !keep {
                by_id.remove(&entry.id);
            }
            keep
        });
    }

    pub(crate) fn get(&self, key: EndpointKey) -> &EndpointEntry {
        &self.endpoints[key]
    }

    pub(crate) fn placement(&self) -> Placement {
        self.placement
    }

    /// Id of an endpoint that may be gone by now.
    pub(crate) fn id_of(&self, key: EndpointKey) -> Option<EndpointId> {
        self.endpoints.get(key).map(|e| e.id)
    }

    pub(crate) fn find(&self, id: EndpointId) -> Option<EndpointKey> {
        self.by_id.get(&id).copied()
    }

    /// Engines of the pools that `wanted` names, to ask for reports.
    pub(crate) fn engines(&self, wanted: impl Fn(&str) -> bool) -> Vec<Target> {
        let engines =
            self.endpoints.values().filter(|e| e.role != Role::Service && !e.removed && wanted(&e.pool));
        engines.map(EndpointEntry::target).collect()
    }

    /// Takes a slot; each is given back once by [`EndpointTable::release_slot`].
    pub(crate) fn take_slot(&mut self, key: EndpointKey) {
        self.endpoints[key].own += 1;
    }

    pub(crate) fn release_slot(&mut self, key: EndpointKey) {
        let entry = &mut self.endpoints[key];
        assert!(entry.own > 0, "a slot of {} is given back twice", entry.name);
        entry.own -= 1;
        if entry.removed && entry.own == 0 {
            let id = entry.id;
            self.endpoints.remove(key);
            self.by_id.remove(&id);
            for keys in self.groups.values_mut() {
                keys.retain(|&k| k != key);
            }
        }
    }

    /// Whether any endpoint could ever serve the need, full or not.
    pub(crate) fn has_open(&self, now: Instant, pool: &str, role: Role) -> bool {
        self.group(pool, role).iter().any(|&k| self.is_open(now, &self.endpoints[k]))
    }

    /// Slots of usable endpoints of a kind.
    pub(crate) fn capacity(&self, now: Instant, pool: &str, role: Role) -> u32 {
        let open =
            self.group(pool, role).iter().map(|&k| &self.endpoints[k]).filter(|e| self.is_open(now, e));
        open.map(|e| e.slots).sum()
    }

    fn group(&self, pool: &str, role: Role) -> &[EndpointKey] {
        self.groups.get(&(pool.to_owned(), role)).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn set_placement(&mut self, placement: Placement) {
        self.placement = placement;
    }

    /// Chooses an endpoint by the placement in use.
    pub(crate) fn choose(
        &mut self,
        now: Instant,
        need: &Need<'_>,
        rng: &mut SmallRng,
    ) -> Option<EndpointKey> {
        match self.placement {
            Placement::Owner | Placement::TwoChoices => self.two_choices(now, need, rng),
            Placement::Random => {
                let any = self.untried(now, need);
                (!any.is_empty()).then(|| any[rng.random_range(0..any.len())])
            }
            Placement::RoundRobin => {
                let any = self.untried(now, need);
                self.next_round_robin += 1;
                (!any.is_empty()).then(|| any[self.next_round_robin % any.len()])
            }
            Placement::LeastReported => {
                let any = self.untried(now, need);
                any.into_iter().min_by_key(|&k| {
                    self.endpoints[k].reported_requests * 1000 / self.endpoints[k].slots.max(1)
                })
            }
        }
    }

    /// Chooses a slot pair, as the owner of the pool: the decode engine with the most room at a site drawn by its
    /// share, and the prefill engine with the least to do.
    ///
    /// Only engines that have reported lately are chosen: an owner that has just come to be does not know yet
    /// what runs there.
    pub(crate) fn pair(
        &self,
        now: Instant,
        need: &Need<'_>,
        used: impl Fn(EndpointKey) -> Usage,
        rng: &mut SmallRng,
    ) -> Option<(EndpointKey, EndpointKey)> {
        let fits = |role: Role, max_load_percent: u32| {
            let used = &used;
            move |k: &EndpointKey| {
                let entry = &self.endpoints[*k];
                let load = u64::from(used(*k).requests + entry.unaccounted);
                let has_free_slots = load * 100 < u64::from(entry.slots) * u64::from(max_load_percent);
                let known = entry.reported_at.is_some() && !need.tried.contains(k);
                entry.role == role && has_free_slots && known && self.is_open(now, entry)
            }
        };
        let decodes = self.group(need.pool, Role::Decode).iter().copied();
        let decodes: Vec<EndpointKey> = decodes.filter(fits(Role::Decode, 100)).collect();
        let site = self.draw_site(&decodes, rng)?;
        let decode = decodes.into_iter().filter(|&k| self.endpoints[k].site == site).min_by_key(|&k| {
            let entry = &self.endpoints[k];
            let load = (used(k).requests + entry.unaccounted) * 1000 / entry.slots.max(1);
            (load / LOAD_TOLERANCE, entry.domain != need.domain, load, rng.random::<u32>())
        })?;
        let near = &self.endpoints[decode].domain;
        let prefills = self.group(need.pool, Role::Prefill).iter().copied();
        let prefill = prefills.filter(fits(Role::Prefill, need.max_load_percent)).min_by_key(|&k| {
            let entry = &self.endpoints[k];
            (used(k).tokens, entry.unaccounted, entry.domain != *near, rng.random::<u32>())
        })?;
        Some((prefill, decode))
    }

    fn untried(&self, now: Instant, need: &Need<'_>) -> Vec<EndpointKey> {
        let fits = |k: &EndpointKey| self.endpoints[*k].usable(now) && !need.tried.contains(k);
        self.group(need.pool, need.role).iter().copied().filter(fits).collect()
    }

    /// Chooses an endpoint with room, by two random choices within a site drawn by its share.
    ///
    /// Two choices on stale reports keep instances from all running to the one endpoint that looked idle a
    /// moment ago, which the least loaded choice does.
    fn two_choices(&self, now: Instant, need: &Need<'_>, rng: &mut SmallRng) -> Option<EndpointKey> {
        let fits = |k: &EndpointKey| {
            let entry = &self.endpoints[*k];
            let has_free_slots =
                u64::from(entry.load()) * 100 < u64::from(entry.slots) * u64::from(need.max_load_percent);
            self.is_open(now, entry) && has_free_slots && !need.tried.contains(k)
        };
        let fitting: Vec<EndpointKey> =
            self.group(need.pool, need.role).iter().copied().filter(fits).collect();
        let site = self.draw_site(&fitting, rng)?;
        let within: Vec<EndpointKey> =
            fitting.into_iter().filter(|&k| self.endpoints[k].site == site).collect();
        let a = within[rng.random_range(0..within.len())];
        let b = within[rng.random_range(0..within.len())];
        Some(if self.load_and_distance(a, need.domain) <= self.load_and_distance(b, need.domain) {
            a
        } else {
            b
        })
    }

    /// Whether an endpoint takes new work, full or not.
    fn is_open(&self, now: Instant, entry: &EndpointEntry) -> bool {
        entry.usable(now) && self.share(&entry.site) > 0
    }

    fn share(&self, site: &str) -> u32 {
        self.shares.get(site).copied().unwrap_or(0)
    }

    fn draw_site(&self, fitting: &[EndpointKey], rng: &mut SmallRng) -> Option<String> {
        let mut sites: Vec<&str> = fitting.iter().map(|&k| self.endpoints[k].site.as_str()).collect();
        sites.sort_unstable();
        sites.dedup();
        let total: u32 = sites.iter().map(|s| self.share(s)).sum();
        if total == 0 {
            return None;
        }
        let mut draw = rng.random_range(0..total);
        for site in sites {
            let share = self.share(site);
            if draw < share {
                return Some(site.to_owned());
            }
            draw -= share;
        }
        None
    }

    /// Load per slot in thousandths, then distance.
    fn load_and_distance(&self, key: EndpointKey, domain: &str) -> (u32, bool) {
        let entry = &self.endpoints[key];
        (entry.load() * 1000 / entry.slots.max(1), entry.domain != domain)
    }

    /// Takes in a report; `me` tells own work from that of others, and `unaccounted` is what the owner of the pool
    /// does not account for. Says whether the endpoint was out of reach.
    pub(crate) fn observe_load(
        &mut self,
        now: Instant,
        key: EndpointKey,
        me: InstanceId,
        report: &EngineLoad,
        unaccounted: u32,
    ) -> bool {
        let entry = &mut self.endpoints[key];
        entry.unaccounted = unaccounted;
        let others = report.running.iter().filter(|r| r.attempt.request.instance != me).count();
        entry.others = others as u32;
        entry.reported_requests = report.running.len() as u32;
        entry.reported_at = Some(now);
        entry.leaving = report.leaving;
        std::mem::take(&mut entry.unanswered_polls) >= UNANSWERED_POLLS_MAX
    }

    /// A poll went unanswered. Says whether the endpoint counts as out of reach from now on.
    pub(crate) fn observe_unanswered_poll(&mut self, key: EndpointKey) -> bool {
        let entry = &mut self.endpoints[key];
        entry.unanswered_polls += 1;
        entry.unanswered_polls == UNANSWERED_POLLS_MAX
    }

    /// Forgets what old reports said about others.
    pub(crate) fn expire_reports(&mut self, now: Instant) {
        for entry in self.endpoints.values_mut() {
            if entry.reported_at.is_some_and(|at| now.duration_since(at) > REPORT_AGE_MAX) {
                entry.reported_at = None;
                entry.others = 0;
            }
        }
    }

    /// Whether an endpoint is to get nothing new, by whatever word.
    pub(crate) fn is_leaving(&self, key: EndpointKey) -> bool {
        self.endpoints[key].is_leaving()
    }

    /// The endpoint itself said that it leaves.
    pub(crate) fn observe_leaving(&mut self, key: EndpointKey) {
        self.endpoints[key].leaving = true;
    }

    /// A step there went well. Returns whether the endpoint had been paused.
    pub(crate) fn observe_success(&mut self, key: EndpointKey) -> bool {
        let entry = &mut self.endpoints[key];
        entry.consecutive_failures = 0;
        entry.paused_until.take().is_some()
    }

    /// A step there failed. Returns whether the endpoint is paused from now on and was not before.
    ///
    /// Without the pause every request would learn on its own, by its own timeout, that an endpoint is gone;
    /// callers would see that as a run of slow answers. The pause is short and ends by itself, so a wrong one
    /// costs little.
    pub(crate) fn observe_failure(&mut self, now: Instant, key: EndpointKey) -> bool {
        let entry = &mut self.endpoints[key];
        entry.consecutive_failures += 1;
        if entry.consecutive_failures < FAILURES_BEFORE_PAUSE {
            return false;
        }
        let doublings = (entry.consecutive_failures - FAILURES_BEFORE_PAUSE).min(4);
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(PAUSE_MAX);
        entry.paused_until.replace(now + pause).is_none()
    }

    pub(crate) fn view(&self, now: Instant) -> Vec<EndpointView> {
        let views = self.endpoints.values().map(|e| EndpointView {
            name: e.name.clone(),
            site: e.site.clone(),
            pool: e.pool.clone(),
            role: e.role,
            own: e.own,
            others: e.others,
            slots: e.slots,
            leaving: e.is_leaving(),
            paused: e.unanswered_polls >= UNANSWERED_POLLS_MAX
                || e.paused_until.is_some_and(|until| now < until),
        });
        views.collect()
    }

    /// Slots taken by this instance over all endpoints.
    pub(crate) fn taken_slots(&self) -> u32 {
        self.endpoints.values().map(|e| e.own).sum()
    }
}
