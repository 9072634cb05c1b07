//! Endpoints as known to one instance: by the configuration, by load reports and by its own use.
//!
//! The instance's own use is exact; use by other instances is known only from lagging reports. Endpoints are
//! chosen by the sum of both. The requests that the instance has just sent thus always count, whatever the
//! reports contain.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use teaselshunt_settings::{Configuration, EndpointState, Role};

use crate::cooldown::Cooldown;
use crate::event::{EngineLoad, Target};
use crate::ids::EndpointKey;
use crate::slots::Usage;
use crate::{EndpointId, InstanceId};

/// Consecutive failures after which an endpoint is paused.
const FAILURES_BEFORE_PAUSE: u32 = 2;
/// Consecutive polls without an answer after which an endpoint counts as unreachable.
const UNANSWERED_POLLS_MAX: u32 = 3;
/// First pause of an endpoint after failures; doubles up to [`PAUSE_MAX`].
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const PAUSE_MAX: Duration = Duration::from_secs(8);
/// Loads, in thousandths, that differ by less than this count as equal, and the nearer endpoint is chosen. A
/// stream within its failure domain survives every network partition between domains.
const LOAD_TOLERANCE: u32 = 250;
/// Reports older than this are ignored.
const REPORT_AGE_MAX: Duration = Duration::from_secs(5);

/// How an endpoint is chosen among those with free slots.
///
/// All but the first two exist for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Placement {
    /// By the owner of the pool's slots, which sees every reservation.
    #[default]
    Owner,
    /// The less loaded of two random endpoints, by own use and reports. A requesting instance falls back to
    /// this placement when the owner is unresponsive.
    TwoChoices,
    /// A random endpoint, full or not.
    Random,
    /// Each endpoint in turn, full or not.
    RoundRobin,
    /// The least loaded endpoint by the last reports alone.
    LeastReported,
}

/// State of an endpoint for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// Name.
    pub name: String,
    /// Data centre.
    pub site: String,
    /// Pool.
    pub pool: String,
    /// Role in its pool.
    pub role: Role,
    /// Requests of this instance at the endpoint.
    pub own: u32,
    /// Requests of other instances at the endpoint, by the last report.
    pub others: u32,
    /// Slots.
    pub slots: u32,
    /// Whether the endpoint gets no new work, because operators drain or removed it or because it is shutting
    /// down.
    pub leaving: bool,
    /// Whether the endpoint is paused after failures, or does not answer polls of its load.
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
    /// The configuration marks the endpoint as draining.
    draining: bool,
    /// When the endpoint itself last stated that it is leaving.
    leaving: Option<Instant>,
    /// The endpoint is not in the configuration any more; kept while work of this instance runs there.
    removed: bool,
    own: u32,
    others: u32,
    /// Requests in the last report that the owner of the pool does not account for.
    unaccounted: u32,
    /// All requests in the last report, own requests included.
    reported_requests: u32,
    reported_at: Option<Instant>,
    consecutive_failures: u32,
    paused_until: Option<Instant>,
    cooldown: Cooldown,
    /// Polls since the last report. Separate from `consecutive_failures`: reports must not clear the failures
    /// of an engine that answers polls but does no work.
    unanswered_polls: u32,
}

impl EndpointEntry {
    pub(crate) fn target(&self) -> Target {
        Target { id: self.id, address: self.address }
    }

    fn is_leaving(&self) -> bool {
        self.draining || self.leaving.is_some() || self.removed
    }

    fn usable(&self, now: Instant) -> bool {
        self.is_in_service(now) && self.cooldown.stated_end(now).is_none()
    }

    /// Whether the endpoint takes new work, now or after its cooldown.
    fn is_in_service(&self, now: Instant) -> bool {
        let reachable = self.unanswered_polls < UNANSWERED_POLLS_MAX
            && self.paused_until.is_none_or(|until| now >= until);
        !self.is_leaving() && reachable
    }

    fn load(&self) -> u32 {
        self.own + self.others
    }

    /// Whether the engine has reported its load since then.
    pub(crate) fn has_reported_since(&self, since: Instant) -> bool {
        self.reported_at.is_some_and(|at| at > since)
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

/// Criteria for the choice of an endpoint.
#[derive(Debug)]
pub(crate) struct Need<'a> {
    pub(crate) pool: &'a str,
    pub(crate) role: Role,
    /// Failure domain to prefer among equally loaded endpoints.
    pub(crate) domain: &'a str,
    /// Endpoints at which the request has failed.
    pub(crate) tried: &'a [EndpointKey],
    /// Maximum number of requests per 100 slots.
    pub(crate) max_load_percent: u32,
}

impl EndpointTable {
    /// Applies a configuration version. Endpoints that it does not contain stay until their work has ended.
    pub(crate) fn apply(&mut self, configuration: &Arc<Configuration>) {
        for entry in self.endpoints.values_mut() {
            entry.removed = true;
        }
        for endpoint in &configuration.endpoints {
            let id = EndpointId::of(&endpoint.name);
            let key = self.by_id.get(&id).copied().unwrap_or_else(|| self.insert(id));
            let entry = &mut self.endpoints[key];
            if entry.address != endpoint.address {
                // A new address means another process under the same name; the state of the old process does
                // not apply to it.
                entry.leaving = None;
                entry.consecutive_failures = 0;
                entry.paused_until = None;
                entry.cooldown = Cooldown::default();
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
            leaving: None,
            removed: false,
            own: 0,
            others: 0,
            unaccounted: 0,
            reported_requests: 0,
            reported_at: None,
            consecutive_failures: 0,
            paused_until: None,
            cooldown: Cooldown::default(),
            unanswered_polls: 0,
        });
        self.by_id.insert(id, key);
        key
    }

    /// Drops removed endpoints without work.
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

    /// Id of an endpoint, unless it has been dropped.
    pub(crate) fn id_of(&self, key: EndpointKey) -> Option<EndpointId> {
        self.endpoints.get(key).map(|e| e.id)
    }

    pub(crate) fn find(&self, id: EndpointId) -> Option<EndpointKey> {
        self.by_id.get(&id).copied()
    }

    /// Engines of the pools that `wanted` selects, to poll for their load.
    pub(crate) fn engines(&self, wanted: impl Fn(&str) -> bool) -> Vec<Target> {
        let engines =
            self.endpoints.values().filter(|e| e.role != Role::Service && !e.removed && wanted(&e.pool));
        engines.map(EndpointEntry::target).collect()
    }

    /// Takes a slot, which is released once by [`EndpointTable::release_slot`].
    pub(crate) fn take_slot(&mut self, key: EndpointKey) {
        self.endpoints[key].own += 1;
    }

    pub(crate) fn release_slot(&mut self, key: EndpointKey) {
        let entry = &mut self.endpoints[key];
        assert!(entry.own > 0, "a slot of {} is released twice", entry.name);
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

    /// Whether any endpoint of this pool and role takes new work, full or not.
    pub(crate) fn has_open(&self, now: Instant, pool: &str, role: Role) -> bool {
        self.group(pool, role).iter().any(|&k| self.is_open(now, &self.endpoints[k]))
    }

    /// Whether any engine of this pool and role but `except` takes new work, and has reported its load since then.
    pub(crate) fn answers_since(
        &self,
        now: Instant,
        pool: &str,
        role: Role,
        except: EndpointKey,
        since: Instant,
    ) -> bool {
        let others = self.group(pool, role).iter().filter(|&&k| k != except).map(|&k| &self.endpoints[k]);
        others.filter(|e| self.is_open(now, e)).any(|e| e.has_reported_since(since))
    }

    /// When the first endpoint of this pool and role takes work again, if all that would take some have stated
    /// that they want no requests now.
    pub(crate) fn first_available(&self, now: Instant, pool: &str, role: Role) -> Option<Instant> {
        let entries = self.group(pool, role).iter().map(|&k| &self.endpoints[k]);
        let in_service = entries.filter(|e| e.is_in_service(now) && self.share(&e.site) > 0);
        let ends: Option<Vec<Instant>> = in_service.map(|e| e.cooldown.stated_end(now)).collect();
        ends?.into_iter().min()
    }

    /// Slots of the endpoints of this pool and role that take new work.
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

    /// Chooses an endpoint by the configured placement.
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

    /// Chooses a slot pair as the owner of the pool: the least loaded decode engine at a site drawn by its
    /// share, and the prefill engine with the fewest prompt tokens to prefill.
    ///
    /// Only engines with a recent report are chosen, because a new owner does not know yet what runs at the
    /// others.
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
        let decode_domain = &self.endpoints[decode].domain;
        let prefills = self.group(need.pool, Role::Prefill).iter().copied();
        let prefill = prefills.filter(fits(Role::Prefill, need.max_load_percent)).min_by_key(|&k| {
            let entry = &self.endpoints[k];
            (used(k).tokens, entry.unaccounted, entry.domain != *decode_domain, rng.random::<u32>())
        })?;
        Some((prefill, decode))
    }

    fn untried(&self, now: Instant, need: &Need<'_>) -> Vec<EndpointKey> {
        let fits = |k: &EndpointKey| self.endpoints[*k].usable(now) && !need.tried.contains(k);
        self.group(need.pool, need.role).iter().copied().filter(fits).collect()
    }

    /// Chooses an endpoint with free slots: the better of two random ones at a site drawn by its share.
    ///
    /// With stale reports, choosing the least loaded endpoint would make all instances choose the same
    /// endpoint, the one that was idle a moment ago. Two random choices avoid this.
    fn two_choices(&self, now: Instant, need: &Need<'_>, rng: &mut SmallRng) -> Option<EndpointKey> {
        let fits = |k: &EndpointKey| {
            let entry = &self.endpoints[*k];
            let has_free_slots =
                u64::from(entry.load()) * 100 < u64::from(entry.slots) * u64::from(need.max_load_percent);
            self.is_open(now, entry) && has_free_slots && !need.tried.contains(k)
        };
        let mut fitting: Vec<EndpointKey> =
            self.group(need.pool, need.role).iter().copied().filter(fits).collect();
        fitting.retain(|&k| self.endpoints[k].cooldown.admits(now, rng));
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

    /// Load per slot in thousandths, then whether the endpoint is in another failure domain.
    fn load_and_distance(&self, key: EndpointKey, domain: &str) -> (u32, bool) {
        let entry = &self.endpoints[key];
        (entry.load() * 1000 / entry.slots.max(1), entry.domain != domain)
    }

    /// Records a load report. `me` distinguishes own requests from those of others; `unaccounted` is the
    /// number of requests that the owner of the pool does not account for. Returns whether the endpoint was
    /// unreachable before.
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
        // Reports lag: one that shows no leaving may be from before the endpoint stated it.
        let is_newer = |stated: Instant| now.duration_since(stated) > REPORT_AGE_MAX;
        if report.leaving {
            entry.leaving = Some(now);
        } else if entry.leaving.is_some_and(is_newer) {
            entry.leaving = None;
        }
        std::mem::take(&mut entry.unanswered_polls) >= UNANSWERED_POLLS_MAX
    }

    /// Records a poll without an answer. Returns whether the endpoint became unreachable by this poll.
    pub(crate) fn observe_unanswered_poll(&mut self, key: EndpointKey) -> bool {
        let entry = &mut self.endpoints[key];
        entry.unanswered_polls += 1;
        entry.unanswered_polls == UNANSWERED_POLLS_MAX
    }

    /// Discards the requests of others in reports that are too old.
    pub(crate) fn expire_reports(&mut self, now: Instant) {
        for entry in self.endpoints.values_mut() {
            if entry.reported_at.is_some_and(|at| now.duration_since(at) > REPORT_AGE_MAX) {
                entry.reported_at = None;
                entry.others = 0;
            }
        }
    }

    /// Whether an endpoint gets no new work, by the configuration or by its own statement.
    pub(crate) fn is_leaving(&self, key: EndpointKey) -> bool {
        self.endpoints[key].is_leaving()
    }

    /// Records that the endpoint itself is leaving.
    pub(crate) fn observe_leaving(&mut self, now: Instant, key: EndpointKey) {
        self.endpoints[key].leaving = Some(now);
    }

    /// Records for how long the endpoint wants no requests from this instance. Returns whether a cooldown
    /// begins.
    pub(crate) fn observe_cooldown(&mut self, now: Instant, key: EndpointKey, delay: Duration) -> bool {
        self.endpoints[key].cooldown.extend(now, delay)
    }

    /// Records a successful step. Returns whether the endpoint had been paused.
    pub(crate) fn observe_success(&mut self, key: EndpointKey) -> bool {
        let entry = &mut self.endpoints[key];
        entry.consecutive_failures = 0;
        entry.paused_until.take().is_some()
    }

    /// Records a failed step. Returns whether this failure paused the endpoint.
    ///
    /// Without the pause, every request would detect a failed endpoint by its own timeout, and callers would
    /// see a series of slow responses. The pause is short and ends by itself, so that an unnecessary pause
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

    /// Slots that this instance holds at all endpoints.
    pub(crate) fn taken_slots(&self) -> u32 {
        self.endpoints.values().map(|e| e.own).sum()
    }
}
