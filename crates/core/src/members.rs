//! Membership: the platform's list of instances and the health of each listed instance.
//!
//! The list states which instances belong to the deployment; it lags. Heartbeats show which instances are
//! alive. They are sent over a sparse overlay, because at 380 instances a full mesh would cost each instance
//! more than its budget of 4 KB per second. Within its failure domain, an instance sends heartbeats to the
//! members at distance 1, 2, 4, … on a ring ordered by id, so that gossip crosses a domain in `log2 n` hops.
//! In every other domain, it sends heartbeats to the members of its own rank, so that every member is
//! monitored from every other domain, also during a network partition between two of them.
//!
//! A member that misses [`MISSED_HEARTBEATS_MAX`] heartbeats is suspected, and gossip spreads the suspicion.
//! The suspect refutes it with a higher epoch. A suspect that does not do so within [`SUSPICION_TIMEOUT`] is
//! considered dead. Health only guides choices, such as which instance to ask and whose orphans to cancel; no
//! invariant depends on it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::event::{InstanceEntry, InstanceList};
use crate::instance::Identity;
use crate::message::{HealthUpdate, Heartbeat};
use crate::{IdempotencyKey, InstanceId, PoolId};

/// Time between two heartbeats to the same neighbour.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Heartbeats without an echo before a neighbour is suspected.
const MISSED_HEARTBEATS_MAX: u32 = 3;
/// Time that a suspect has to refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of health updates in one heartbeat.
const UPDATES_PER_HEARTBEAT: usize = 8;

/// Health of an instance as observed here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Listed, and no message received yet.
    Unknown,
    /// Reported alive, by its own heartbeat or by an update.
    Alive,
    /// Missed heartbeats, or suspected by a peer, since this time.
    Suspect(Instant),
    /// Did not refute the suspicion; considered dead since this time.
    Dead(Instant),
}

impl Health {
    /// Name for logs, metrics and status.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Alive => "alive",
            Self::Suspect(_) => "suspect",
            Self::Dead(_) => "dead",
        }
    }
}

/// State of a member for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Health as observed here.
    pub health: Health,
    /// Configuration version that it reported last, 0 for none.
    pub version: u64,
    /// Whether the list or the member itself states that it is leaving.
    pub leaving: bool,
}

/// One member.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) name: Arc<str>,
    pub(crate) domain: String,
    pub(crate) address: SocketAddr,
    pub(crate) leaving: bool,
    pub(crate) health: Health,
    pub(crate) incarnation: u64,
    epoch: u32,
    pub(crate) version: u64,
    pub(crate) revision: u64,
    /// When its last heartbeat or echo was received.
    pub(crate) last_received: Option<Instant>,
    /// When the last heartbeat that the member echoed was sent. The echo reported the member's `revision`. In
    /// contrast to `last_received`, this time does not advance when a process resumes running after a freeze
    /// and reads old echoes from its socket buffers.
    last_echoed: Option<Instant>,
    unanswered: u32,
}

/// What is kept of an instance that was removed from the list.
#[derive(Debug, Clone, Copy)]
struct RemovedMember {
    /// Last heartbeat, or the time at which the list still contained the instance.
    last_seen: Instant,
    /// Its latest known incarnation. If the instance is listed again under this name and has restarted since,
    /// gossip must spread the new incarnation, because only it distinguishes the work that engines hold for
    /// the previous incarnation from live work.
    incarnation: u64,
}

/// A previous list, kept to find out which instances were homes of a key by it.
#[derive(Debug)]
pub(crate) struct PreviousList {
    pub(crate) homes: Vec<InstanceId>,
    pub(crate) replaced_at: Instant,
}

/// All members, as observed by one instance.
#[derive(Debug)]
pub(crate) struct Members {
    me: InstanceId,
    address: SocketAddr,
    domain: String,
    incarnation: u64,
    epoch: u32,
    pub(crate) list: Option<InstanceList>,
    /// The earliest known use of the current list by any member.
    list_used_since: Option<Instant>,
    /// Time since which every list that was in use anywhere was also in use here, if that time precedes the
    /// current list; `None` if it is `list_used_since`.
    lists_known_since: Option<Instant>,
    pub(crate) previous_lists: VecDeque<PreviousList>,
    others: BTreeMap<InstanceId, Member>,
    /// Instances that were listed before.
    removed: BTreeMap<InstanceId, RemovedMember>,
    neighbours: Vec<InstanceId>,
    updates: BTreeMap<InstanceId, (HealthUpdate, u32)>,
    started: Instant,
    next_heartbeat: Instant,
    pub(crate) stopping: bool,
    was_unlisted: bool,
    listed_at_own_address: bool,
}

impl Members {
    pub(crate) fn new(identity: &Identity, started: Instant) -> Self {
        Self {
            me: identity.id(),
            address: identity.address,
            domain: identity.domain.clone(),
            incarnation: identity.incarnation,
            epoch: 0,
            list: None,
            list_used_since: None,
            lists_known_since: None,
            previous_lists: VecDeque::new(),
            others: BTreeMap::new(),
            removed: BTreeMap::new(),
            neighbours: Vec::new(),
            updates: BTreeMap::new(),
            started,
            next_heartbeat: started,
            stopping: false,
            was_unlisted: false,
            listed_at_own_address: false,
        }
    }

    /// Revision of the current list, 0 for none.
    pub(crate) fn revision(&self) -> u64 {
        self.list.as_ref().map_or(0, |l| l.revision)
    }

    /// Replaces the current list if `list` is newer.
    pub(crate) fn accept(&mut self, now: Instant, list: InstanceList) -> bool {
        if list.revision <= self.revision() {
            return false;
        }
        // A list that has this instance at another address may mean another process, whose grants are not
        // known here.
        let missed = list.revision != self.revision() + 1;
        self.lists_known_since =
            if missed || self.listed_at_other_address() { None } else { self.lists_known_since() };
        self.list_used_since = Some(now);
        if self.list.is_some() {
            self.previous_lists.push_back(PreviousList { homes: self.homes(), replaced_at: now });
        }
        let mut members = BTreeMap::new();
        for entry in &list.instances {
            let id = InstanceId::of(&entry.name);
            if id == self.me {
                continue;
            }
            let mut member = self.others.remove(&id).unwrap_or_else(|| Member::new(&entry.name));
            member.domain.clone_from(&entry.domain);
            member.address = entry.peers;
            member.leaving = entry.leaving;
            if let Some(removed) = self.removed.remove(&id) {
                member.incarnation = member.incarnation.max(removed.incarnation);
            }
            members.insert(id, member);
        }
        self.was_unlisted |= members.len() == list.instances.len();
        let unlisted = std::mem::replace(&mut self.others, members);
        let removed = unlisted
            .into_iter()
            .map(|(id, m)| (id, RemovedMember { last_seen: now, incarnation: m.incarnation }));
        self.removed.extend(removed);
        self.list = Some(list);
        self.listed_at_own_address |= self.own_entry().is_some_and(|entry| entry.peers == self.address);
        self.neighbours = self.overlay_neighbours();
        true
    }

    /// Whether this incarnation has used a list that did not contain this instance. Before that, the list may
    /// refer to a previous incarnation.
    pub(crate) fn was_unlisted(&self) -> bool {
        self.was_unlisted
    }

    /// Entry of this instance in the current list.
    fn own_entry(&self) -> Option<&InstanceEntry> {
        self.list.as_ref()?.instances.iter().find(|entry| InstanceId::of(&entry.name) == self.me)
    }

    fn listed_at_other_address(&self) -> bool {
        self.own_entry().is_some_and(|entry| entry.peers != self.address)
    }

    /// Whether a list has named this instance at its own address, on which no other process can listen at the
    /// same time.
    pub(crate) fn listed_at_own_address(&self) -> bool {
        self.listed_at_own_address
    }

    /// A time since which every list that was in use anywhere was also in use here. `None` before the first
    /// list.
    pub(crate) fn lists_known_since(&self) -> Option<Instant> {
        self.lists_known_since.into_iter().chain(self.list_used_since).min()
    }

    /// Latest known incarnation of an instance, in milliseconds since the Unix epoch, or 0.
    pub(crate) fn latest_incarnation(&self, id: InstanceId) -> u64 {
        let listed = self.others.get(&id).map(|m| m.incarnation);
        let removed = self.removed.get(&id).map(|d| d.incarnation);
        listed.max(removed).unwrap_or(0)
    }

    /// Time since the last heartbeat of an instance that was removed from the list.
    pub(crate) fn removed_for(&self, now: Instant, id: InstanceId) -> Option<Duration> {
        self.removed.get(&id).map(|d| now.duration_since(d.last_seen))
    }

    /// Removes previous lists and removed instances that are older than `retention`, so that no key can
    /// depend on them.
    pub(crate) fn expire(&mut self, now: Instant, retention: Duration) {
        self.removed.retain(|_, d| now.duration_since(d.last_seen) <= retention);
        while self.previous_lists.front().is_some_and(|f| now.duration_since(f.replaced_at) > retention) {
            self.previous_lists.pop_front();
        }
    }

    pub(crate) fn get(&self, id: InstanceId) -> Option<&Member> {
        self.others.get(&id)
    }

    /// Failure domain of a member or of this instance.
    pub(crate) fn domain_of(&self, id: InstanceId) -> &str {
        self.others.get(&id).map_or(&self.domain, |m| &m.domain)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (InstanceId, &Member)> {
        self.others.iter().map(|(&id, m)| (id, m))
    }

    /// Instances that can be the home of a key by the current list: those that are not leaving.
    fn homes(&self) -> Vec<InstanceId> {
        let Some(list) = &self.list else {
            return Vec::new();
        };
        list.instances.iter().filter(|i| !i.leaving).map(|i| InstanceId::of(&i.name)).collect()
    }

    /// Home of a key by the current list.
    pub(crate) fn home(&self, key: IdempotencyKey) -> Option<InstanceId> {
        highest_ranked(key, &self.homes())
    }

    /// Home of a key by the current list if that list did not contain this instance.
    pub(crate) fn runner_up(&self, key: IdempotencyKey) -> Option<InstanceId> {
        let mut homes = self.homes();
        homes.retain(|&i| i != self.me);
        highest_ranked(key, &homes)
    }

    /// Instance that is asked for the homes of a key by lists that were never in use here: a member of
    /// another failure domain, if there is one. A network partition keeps lists from all members of a domain
    /// alike.
    pub(crate) fn witness(&self, key: IdempotencyKey) -> Option<InstanceId> {
        let mut homes = self.homes();
        homes.retain(|&i| self.domain_of(i) != self.domain);
        highest_ranked(key, &homes).or_else(|| self.runner_up(key))
    }

    /// Instances that, as far as known here, may have been the home of a key before the current list, each
    /// with the time at which the last list that made it the home was replaced.
    pub(crate) fn previous_homes(&self, key: IdempotencyKey) -> BTreeMap<InstanceId, Instant> {
        // Lists are ordered by time, so the last time of each home is kept.
        self.previous_lists
            .iter()
            .filter_map(|f| highest_ranked(key, &f.homes).map(|home| (home, f.replaced_at)))
            .collect()
    }

    /// Owner of a pool's slots: chosen among the members that are not suspected and not leaving, as observed
    /// here.
    pub(crate) fn owner(&self, pool: PoolId) -> InstanceId {
        let is_candidate = |m: &Member| !m.leaving && matches!(m.health, Health::Alive | Health::Unknown);
        let others = self.others.iter().filter(|(_, m)| is_candidate(m)).map(|(&id, _)| id);
        let candidates = others.chain((!self.stopping).then_some(self.me));
        let highest = candidates.max_by_key(|i| (xxh3_64_with_seed(&pool.0.to_le_bytes(), i.0), *i));
        highest.unwrap_or(self.me)
    }

    /// Whether at least half of the other members have reported the current list or a later one.
    pub(crate) fn half_confirmed_list(&self) -> bool {
        let revision = self.revision();
        let current =
            self.others.values().filter(|m| m.last_received.is_some() && m.revision >= revision).count();
        revision > 0 && current * 2 >= self.others.len()
    }

    /// Whether every other member has echoed a heartbeat sent since `since` and reported exactly the current
    /// list.
    pub(crate) fn all_confirmed_list(&self, since: Instant) -> bool {
        let revision = self.revision();
        revision > 0
            && self
                .others
                .values()
                .all(|m| m.revision == revision && m.last_echoed.is_some_and(|e| e >= since))
    }

    /// Neighbours in the overlay; see the documentation of the module.
    fn overlay_neighbours(&self) -> Vec<InstanceId> {
        let Some(list) = &self.list else {
            return Vec::new();
        };
        let mut domains: BTreeMap<&str, Vec<InstanceId>> = BTreeMap::new();
        for entry in &list.instances {
            domains.entry(&entry.domain).or_default().push(InstanceId::of(&entry.name));
        }
        let own = domains.entry(&self.domain).or_default();
        if !own.contains(&self.me) {
            own.push(self.me);
        }
        for ids in domains.values_mut() {
            ids.sort_unstable();
        }
        let own = &domains[self.domain.as_str()];
        let size = own.len();
        let rank = own.iter().position(|&i| i == self.me).expect("this instance was added above");
        let mut neighbours: Vec<InstanceId> = std::iter::successors(Some(1), |d| Some(d * 2))
            .take_while(|&d| d < size)
            .map(|d| own[(rank + d) % size])
            .collect();
        for (_, ids) in domains.iter().filter(|(name, _)| **name != self.domain) {
            let first = rank % ids.len();
            neighbours.extend(ids.iter().skip(first).step_by(size));
        }
        neighbours
    }

    /// Neighbours to send a heartbeat to now. Each heartbeat counts as unanswered until its echo.
    pub(crate) fn due_heartbeats(&mut self, now: Instant) -> Vec<InstanceId> {
        if now < self.next_heartbeat {
            return Vec::new();
        }
        // Heartbeats missed during a freeze are not sent later: a burst would add load and show nothing about
        // health.
        self.next_heartbeat = (self.next_heartbeat + HEARTBEAT_INTERVAL).max(now + HEARTBEAT_INTERVAL / 2);
        let mut targets = Vec::with_capacity(self.neighbours.len());
        for id in &self.neighbours {
            let Some(member) = self.others.get_mut(id) else {
                continue;
            };
            member.unanswered += 1;
            targets.push(*id);
        }
        targets
    }

    /// Marks unresponsive members as suspected and expired suspects as dead. Returns the members whose health
    /// changed.
    pub(crate) fn update_health(&mut self, now: Instant) -> Vec<(InstanceId, Health)> {
        let mut changed = Vec::new();
        for (&id, member) in &mut self.others {
            match member.health {
                Health::Alive | Health::Unknown if member.unanswered > MISSED_HEARTBEATS_MAX => {
                    member.health = Health::Suspect(now);
                    self.updates.insert(id, (member.health_update(id, true), 0));
                }
                Health::Suspect(since) if now.duration_since(since) > SUSPICION_TIMEOUT => {
                    member.health = Health::Dead(now);
                }
                Health::Unknown | Health::Alive | Health::Suspect(_) | Health::Dead(_) => continue,
            }
            changed.push((id, member.health));
        }
        changed
    }

    /// State of this instance, with the pending updates that have been sent least often.
    pub(crate) fn heartbeat(&mut self, now: Instant, version: u64) -> Heartbeat {
        let max_sends = 3 * (self.others.len() + 2).ilog2();
        let mut least_sent: Vec<InstanceId> = self.updates.keys().copied().collect();
        least_sent.sort_by_key(|id| self.updates[id].1);
        least_sent.truncate(UPDATES_PER_HEARTBEAT);
        let mut updates = Vec::with_capacity(least_sent.len());
        for id in least_sent {
            let Some((update, sent_count)) = self.updates.get_mut(&id) else {
                continue;
            };
            updates.push(*update);
            *sent_count += 1;
            if *sent_count > max_sends {
                self.updates.remove(&id);
            }
        }
        Heartbeat {
            stamp: now.duration_since(self.started).as_millis() as u64,
            incarnation: self.incarnation,
            epoch: self.epoch,
            version,
            revision: self.revision(),
            listed_ms: self.list_used_since.map_or(0, |at| now.duration_since(at).as_millis() as u64),
            stopping: self.stopping,
            updates,
        }
    }

    /// Merges the state that a member reports of itself. Returns a change of its health.
    pub(crate) fn receive_heartbeat(
        &mut self,
        now: Instant,
        from: InstanceId,
        heartbeat: &Heartbeat,
    ) -> Option<(InstanceId, Health)> {
        if let Some(removed) = self.removed.get_mut(&from) {
            removed.last_seen = now;
        }
        if self.others.contains_key(&from) {
            self.update_list_age(now, heartbeat);
        }
        let member = self.others.get_mut(&from)?;
        if (heartbeat.incarnation, heartbeat.epoch) < (member.incarnation, member.epoch) {
            // A delayed heartbeat of a previous incarnation.
            return None;
        }
        // The first heartbeat of a member is not gossiped, because all instances know the member from the
        // list. At the start of a deployment with many instances, such updates would take up a minute's
        // bandwidth.
        let known = member.incarnation != 0;
        let changed = known && (heartbeat.incarnation > member.incarnation || heartbeat.epoch > member.epoch);
        member.incarnation = heartbeat.incarnation;
        member.epoch = heartbeat.epoch;
        member.version = heartbeat.version;
        member.revision = heartbeat.revision;
        member.last_received = Some(now);
        member.unanswered = 0;
        member.leaving |= heartbeat.stopping;
        let before = std::mem::replace(&mut member.health, Health::Alive);
        if changed {
            self.updates.insert(from, (member.health_update(from, false), 0));
        }
        (before != Health::Alive).then_some((from, Health::Alive))
    }

    /// Merges the time for which a member knows its list to be in use. Network latency only makes that time
    /// appear shorter.
    fn update_list_age(&mut self, now: Instant, heartbeat: &Heartbeat) {
        if heartbeat.revision != self.revision() {
            return;
        }
        let used = now.checked_sub(Duration::from_millis(heartbeat.listed_ms));
        self.list_used_since = self
            .list_used_since
            .zip(used)
            .map(|(known, reported)| known.min(reported))
            .or(self.list_used_since);
    }

    /// A request or an attempt names the incarnation of its owner; earlier incarnations of the same instance
    /// have ended.
    pub(crate) fn observe_incarnation(&mut self, id: InstanceId, incarnation: u64) {
        if let Some(member) = self.others.get_mut(&id)
            && incarnation > member.incarnation
        {
            member.incarnation = incarnation;
            member.epoch = 0;
        }
    }

    /// Records the echo of the heartbeat with this `stamp`.
    pub(crate) fn receive_echo(&mut self, from: InstanceId, stamp: u64) {
        let sent = self.started + Duration::from_millis(stamp);
        if let Some(member) = self.others.get_mut(&from) {
            member.last_echoed = member.last_echoed.max(Some(sent));
        }
    }

    pub(crate) fn neighbours(&self) -> &[InstanceId] {
        &self.neighbours
    }

    /// Members that have not echoed a heartbeat sent since `since`.
    pub(crate) fn unresponsive_since(&self, since: Instant) -> Vec<InstanceId> {
        let unresponsive = self.others.iter().filter(|(_, m)| m.last_echoed.is_none_or(|e| e < since));
        unresponsive.map(|(&id, _)| id).collect()
    }

    /// Merges a health update from a peer. Returns a change of health.
    pub(crate) fn merge_update(
        &mut self,
        now: Instant,
        update: HealthUpdate,
    ) -> Option<(InstanceId, Health)> {
        if update.instance == self.me {
            self.refute(update);
            return None;
        }
        let member = self.others.get_mut(&update.instance)?;
        let (theirs, ours) = ((update.incarnation, update.epoch), (member.incarnation, member.epoch));
        if theirs < ours || (theirs == ours && !update.suspect) {
            return None;
        }
        let health = if update.suspect { Health::Suspect(now) } else { Health::Alive };
        if update.suspect && matches!(member.health, Health::Suspect(_) | Health::Dead(_)) {
            return None;
        }
        // A recent heartbeat of the member itself takes precedence over an update.
        let direct = member.last_received.is_some_and(|h| now.duration_since(h) < 2 * HEARTBEAT_INTERVAL);
        if update.suspect && direct {
            return None;
        }
        member.incarnation = update.incarnation;
        member.epoch = update.epoch;
        let before = std::mem::replace(&mut member.health, health);
        if !update.suspect {
            member.unanswered = 0;
        }
        self.updates.insert(update.instance, (update, 0));
        (before != health).then_some((update.instance, health))
    }

    /// Refutes a suspicion of this instance with a higher epoch, which overrides the suspicion at all
    /// instances.
    fn refute(&mut self, update: HealthUpdate) {
        if update.suspect && update.incarnation == self.incarnation && update.epoch >= self.epoch {
            self.epoch = update.epoch + 1;
        }
    }

    pub(crate) fn view(&self) -> Vec<MemberView> {
        let members = self.others.values().map(|m| MemberView {
            name: m.name.to_string(),
            domain: m.domain.clone(),
            health: m.health,
            version: m.version,
            leaving: m.leaving,
        });
        members.collect()
    }
}

impl Member {
    fn new(name: &str) -> Self {
        Self {
            name: Arc::from(name),
            domain: String::new(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            leaving: false,
            health: Health::Unknown,
            incarnation: 0,
            epoch: 0,
            version: 0,
            revision: 0,
            last_received: None,
            last_echoed: None,
            unanswered: 0,
        }
    }

    fn health_update(&self, id: InstanceId, suspect: bool) -> HealthUpdate {
        HealthUpdate { instance: id, incarnation: self.incarnation, epoch: self.epoch, suspect }
    }
}

/// Rendezvous hashing: the candidate with the highest hash of its id and the key.
fn highest_ranked(key: IdempotencyKey, candidates: &[InstanceId]) -> Option<InstanceId> {
    let bytes = key.0.to_le_bytes();
    candidates.iter().copied().max_by_key(|i| (xxh3_64_with_seed(&bytes, i.0), *i))
}
