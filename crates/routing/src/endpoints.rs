//! What one instance knows of every endpoint, and the choice among them.
//!
//! This knowledge has four sources: the platform's list (which endpoints there are, and which are leaving),
//! what endpoints state about themselves in responses, the instance's own results (latency, failures,
//! refusals) and its own work in progress. Health checks are not used: an endpoint can fail requests while
//! its health checks pass, and serve them while its health checks fail. Results show what requests meet.
//!
//! Invariants:
//! - an endpoint that the list shows as leaving or no longer shows is never chosen, with one exception that
//!   has a time limit ([`Endpoints::mark_unconfirmed`]);
//! - neither is one that stated itself that it leaves, or that it wants no requests now.

mod announcements;
mod choice;
mod learned;
mod limited;
mod paces;
mod room;
mod statements;
mod tags;
mod work;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IteratorRandom;
use slotmap::SlotMap;
use teaselshunt_core::Cooldown;

use self::announcements::Announcements;
pub use self::learned::LearnedChange;
use self::limited::FoundFraction;
pub use self::paces::PaceChange;
pub use self::statements::{Statement, StatementChanges};
use self::tags::TagIndex;
pub use self::work::OwnWork;
use crate::capacity::Capacity;
use crate::health_estimate::HealthEstimate;
use crate::observations::{Failures, Observations};
use crate::removed::{Departure, Removed, RemovedEntry};
use crate::{Endpoint, EndpointKey, EndpointState, EngineTag, Ledger, Paces, Rates, Stage, StepOutcome};

#[derive(Debug)]
struct Entry {
    endpoint: Endpoint,
    tag: EngineTag,
    /// Requests of this instance in progress at the endpoint.
    running: u32,
    /// Tokens of these requests.
    tokens: u64,
    /// Local prefills that a decode engine runs for this instance now.
    local_prefills: u32,
    health: HealthEstimate,
    cooldown: Cooldown,
    /// Whether it stated itself that it leaves.
    announced: bool,
    /// The endpoint that was listed at the same address after this one.
    successor: Option<EndpointKey>,
    /// Until when an unconfirmed endpoint stays in use.
    unconfirmed_until: Option<Instant>,
    /// Whether its last entry was not its own, or could not be read.
    invalid: bool,
    /// Until when an entry that is listed again is taken for one of a restored list.
    stale_until: Option<Instant>,
    /// Pace of an engine, relative to the others of its service and stage.
    pace: f64,
    /// Whether that counts as slow.
    is_slow: bool,
}

impl Entry {
    fn new(endpoint: Endpoint) -> Self {
        Self {
            tag: EngineTag::of(&endpoint.id, endpoint.born),
            endpoint,
            running: 0,
            tokens: 0,
            local_prefills: 0,
            health: HealthEstimate::default(),
            cooldown: Cooldown::default(),
            announced: false,
            successor: None,
            unconfirmed_until: None,
            invalid: false,
            stale_until: None,
            pace: 1.0,
            is_slow: false,
        }
    }

    fn is_open(&self, now: Instant) -> bool {
        let ready = self.endpoint.state == EndpointState::Ready && !self.invalid;
        let stale = self.stale_until.is_some_and(|until| now < until);
        ready && !stale && self.unconfirmed_until.is_none_or(|until| now < until)
    }

    /// Whether requests may be sent to the endpoint: it takes new work, and it has not stated that it wants
    /// none now.
    fn is_available(&self, now: Instant) -> bool {
        self.is_open(now) && self.cooldown.stated_end(now).is_none()
    }

    /// How far the endpoint has come with its end, if its entry is removed now.
    fn departure(&self) -> Departure {
        match self.endpoint.state {
            EndpointState::Leaving if self.announced => Departure::Stated,
            EndpointState::Leaving => Departure::Listed,
            EndpointState::Ready => Departure::Unannounced,
        }
    }

    /// Whether the list confirms the endpoint: its last entry is its own, and was not removed.
    const fn is_confirmed(&self) -> bool {
        !self.invalid && self.unconfirmed_until.is_none()
    }

    /// Whether the endpoint is only chosen where there is no other: it is suspect, or an unresponsive prefill
    /// engine.
    fn is_paused(&self, now: Instant) -> bool {
        let prefills = self.endpoint.stage == Some(Stage::Prefill);
        (prefills && self.health.is_unresponsive(now)) || self.health.is_suspect(now)
    }
}

/// What a choice is made for.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a str,
    /// Stage of the engine, for generations.
    pub stage: Option<Stage>,
    /// Failure domain to prefer.
    pub domain: &'a str,
    /// Endpoints not to choose again.
    pub tried: &'a [EndpointKey],
    /// Tokens that the work needs; 0 for a service without engines.
    pub tokens: u64,
    /// Most tokens that an engine may have in flight; `None` for no limit.
    pub limit: Option<u64>,
    /// Tokens of the limit that must be left to other requests.
    pub headroom: u64,
    /// Whether a decode engine is to run a local prefill.
    ///
    /// All streams at that engine stall meanwhile, for about 60 ms per thousand tokens. Two local prefills at
    /// a time stall them for longer than the callers' gap goal, and make some nine answers late for the sake
    /// of one. An engine therefore runs one at a time, as far as reports have been received. An instance
    /// starts one at a time too: several instances that resume the streams of a crashed engine at the same
    /// moment have not received each other's reports yet.
    pub local_prefill: bool,
    /// Whether the choice is for a hedge, a second attempt beside one in progress. Rate-limited endpoints get
    /// no hedges: their capacity is short, and the first attempt is still likely to succeed.
    pub hedge: bool,
    /// Whether the request goes before others that are held back: it may use what a learned limit admits, to the
    /// last call, while the others leave a part of it.
    pub precedence: bool,
}

impl<'a> Need<'a> {
    /// The need for an endpoint of a service, by an instance in a failure domain, without further conditions.
    pub const fn of(service: &'a str, domain: &'a str) -> Self {
        Self {
            service,
            stage: None,
            domain,
            tried: &[],
            tokens: 0,
            limit: None,
            headroom: 0,
            local_prefill: false,
            hedge: false,
            precedence: false,
        }
    }
}

/// What an entry of the list changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpsertOutcome {
    /// An incarnation of an endpoint that was not known.
    Started,
    /// Something about a known incarnation.
    Changed,
    /// Nothing.
    Unchanged,
    /// Nothing: the entry is about an incarnation that has ended.
    Outdated,
    /// The entry is not the endpoint's own; the endpoint is not used until it writes its entry again.
    Foreign,
}

/// All listed endpoints.
#[derive(Debug, Default)]
pub struct Endpoints {
    arena: SlotMap<EndpointKey, Entry>,
    by_id: HashMap<Arc<str>, EndpointKey>,
    by_tag: TagIndex,
    /// Endpoints that are listed at each address; the last one has it.
    by_address: HashMap<SocketAddr, Vec<EndpointKey>>,
    services: HashMap<Arc<str>, Vec<EndpointKey>>,
    /// Local prefills that decode engines run for this instance now.
    local_prefills: u32,
    removed: Removed,
    /// Until when entries of removed endpoints may come from a restored list.
    restored_until: Option<Instant>,
    /// Until when the list alone doesn't determine which endpoints are in use.
    uncertain_until: Option<Instant>,
    announcements: Announcements,
    ledger: Ledger<SocketAddr>,
    /// Rates that endpoints advertise.
    rates: Rates<SocketAddr>,
    observations: Observations<SocketAddr>,
    capacity: Capacity,
    /// Shortest latency goal of the callers of each service whose requests all have one priority.
    goals: HashMap<Arc<str>, Duration>,
    /// Learned limits of plain endpoints, which instances keep to together.
    learned: Rates<SocketAddr>,
    /// Engines that fail their work, by the results of all instances, and when that was last seen.
    failing: HashMap<EngineTag, (Instant, Failures)>,
    found_fraction: FoundFraction,
    /// Samples of the pace of engines.
    paces: Paces<SocketAddr>,
    /// Whether some entry may have a pace other than the usual one.
    is_paced: bool,
}

impl Endpoints {
    /// Applies an endpoint's entry.
    ///
    /// Within one incarnation, an endpoint that was leaving doesn't become ready again, not even after its
    /// entry was removed: an old entry that arrives late or is part of a restored list would otherwise send
    /// work to it again. A later incarnation under the same id starts empty. Its key is another one, so that
    /// work that began at the previous incarnation can't continue there by mistake, and entries of the
    /// previous incarnation are ignored.
    pub fn upsert(&mut self, mut endpoint: Endpoint) -> UpsertOutcome {
        let departure = self.removed.get(&endpoint.incarnation()).map(|entry| entry.departure);
        let tag = EngineTag::of(&endpoint.id, endpoint.born);
        if endpoint.state == EndpointState::Leaving {
            self.announcements.remove(tag);
        }
        // Where the list showed an entry without a start time as leaving, a later one may belong to another
        // incarnation, and only time tells it from an entry of a restored list (`stale_until`).
        let was_leaving = departure == Some(Departure::Listed) && endpoint.born.is_some();
        let announced = departure == Some(Departure::Stated) || self.announcements.contains(tag);
        if was_leaving || announced {
            endpoint.state = EndpointState::Leaving;
        }
        let Some(&key) = self.by_id.get(&endpoint.id) else {
            self.insert_known(endpoint, departure.is_some(), announced);
            return UpsertOutcome::Started;
        };
        let entry = &mut self.arena[key];
        let known = &entry.endpoint;
        match (known.born, endpoint.born) {
            (Some(previous), Some(next)) if previous < next => {
                self.remove(&endpoint.id);
                self.insert_known(endpoint, departure.is_some(), announced);
                return UpsertOutcome::Started;
            }
            (Some(next), Some(previous)) if previous < next => return UpsertOutcome::Outdated,
            (Some(_), None) => {
                entry.invalid = true;
                return UpsertOutcome::Foreign;
            }
            (Some(_), Some(_)) | (None, _) => {}
        }
        if known.state == EndpointState::Leaving {
            endpoint.state = EndpointState::Leaving;
        }
        if known.service != endpoint.service || known.address != endpoint.address {
            let announced = entry.announced;
            self.remove(&endpoint.id);
            self.insert_known(endpoint, false, announced);
            return UpsertOutcome::Changed;
        }
        let changed = entry.invalid || *known != endpoint;
        entry.unconfirmed_until = None;
        entry.invalid = false;
        if entry.tag != tag {
            let previous = std::mem::replace(&mut entry.tag, tag);
            self.by_tag.remove(previous, key);
            self.by_tag.insert(tag, key);
            self.observations.remove(previous);
        }
        entry.endpoint = endpoint;
        if changed { UpsertOutcome::Changed } else { UpsertOutcome::Unchanged }
    }

    /// Adds an incarnation of an endpoint, with the cooldown that it may have had before it was removed;
    /// `announced` if it stated that it leaves.
    fn insert_known(&mut self, endpoint: Endpoint, relisted: bool, announced: bool) {
        let known = self.removed.get(&endpoint.incarnation()).map(|entry| entry.cooldown.clone());
        let key = self.insert(endpoint, relisted);
        let entry = &mut self.arena[key];
        entry.announced = announced;
        entry.cooldown = known.unwrap_or_default();
    }

    /// Adds an incarnation of an endpoint. If it is `relisted` it was listed and removed before: its entry
    /// lapsed and was written again, or is an old one that was written late. If another endpoint was listed
    /// at the address since then, the address belongs to that endpoint.
    fn insert(&mut self, endpoint: Endpoint, relisted: bool) -> EndpointKey {
        let (id, service) = (Arc::clone(&endpoint.id), Arc::clone(&endpoint.service));
        let address = endpoint.address;
        let stale_until = self.restored_until.filter(|_| relisted);
        let entry = Entry { stale_until, ..Entry::new(endpoint) };
        let tag = entry.tag;
        let key = self.arena.insert(entry);
        self.by_tag.insert(tag, key);
        let occupants = self.by_address.entry(address).or_default();
        match occupants.last() {
            Some(&occupant) if relisted => {
                self.arena[key].successor = Some(occupant);
                occupants.insert(0, key);
            }
            _ => {
                for &previous in occupants.iter() {
                    self.arena[previous].successor = Some(key);
                }
                occupants.push(key);
            }
        }
        self.by_id.insert(id, key);
        self.services.entry(service).or_default().push(key);
        key
    }

    /// Notes that the list was restored from a backup that is some seconds old, and shows endpoints again
    /// that were removed since.
    ///
    /// Their removal was seen, and they must get no new work. An endpoint that stays listed for longer than
    /// an entry outlives its endpoint is alive, and is used from `until` on.
    pub fn note_restore(&mut self, until: Instant) {
        self.restored_until = Some(until);
        self.uncertain_until = self.uncertain_until.max(Some(until));
    }

    /// Marks an endpoint whose entry was overwritten with something that names no endpoint. It gets no new
    /// work until it writes its entry again. Returns whether it was listed.
    pub fn invalidate(&mut self, id: &str) -> bool {
        let Some(&key) = self.by_id.get(id) else { return false };
        self.arena[key].invalid = true;
        true
    }

    /// Removes an endpoint that the list no longer shows. Returns whether it was listed.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(key) = self.by_id.remove(id) else { return false };
        let Some(entry) = self.arena.remove(key) else { return true };
        self.by_tag.remove(entry.tag, key);
        self.local_prefills -= entry.local_prefills;
        if let Some(keys) = self.services.get_mut(&entry.endpoint.service) {
            keys.retain(|&k| k != key);
        }
        if let Some(occupants) = self.by_address.get_mut(&entry.endpoint.address) {
            occupants.retain(|&k| k != key);
            if occupants.is_empty() {
                self.by_address.remove(&entry.endpoint.address);
            }
        }
        self.rates.remove(entry.tag);
        self.learned.remove(entry.tag);
        self.paces.remove(entry.tag);
        self.announcements.remove(entry.tag);
        self.observations.remove(entry.tag);
        let (incarnation, departure) = (entry.endpoint.incarnation(), entry.departure());
        self.removed.insert(incarnation, RemovedEntry { departure, cooldown: entry.cooldown });
        true
    }

    /// Marks an endpoint that has ended, whatever the list shows: another one has its address. It doesn't
    /// become ready again.
    pub fn mark_ended(&mut self, now: Instant, key: EndpointKey) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.health.mark_ended(now);
            entry.endpoint.state = EndpointState::Leaving;
        }
    }

    /// Marks an endpoint as unconfirmed: the list lost its entry at a time when it loses entries of live
    /// endpoints too. The endpoint stays in use until `until`, unless it was leaving already.
    ///
    /// Entries lapse while the platform's store is unavailable. If all of them were removed when the store is
    /// available again, callers would have no endpoint for the seconds that live endpoints need to register
    /// again.
    pub fn mark_unconfirmed(&mut self, id: &str, until: Instant) {
        let Some(&key) = self.by_id.get(id) else { return };
        let entry = &mut self.arena[key];
        if entry.endpoint.state == EndpointState::Leaving {
            self.remove(id);
        } else if entry.unconfirmed_until.is_none() {
            entry.unconfirmed_until = Some(until);
            self.uncertain_until = self.uncertain_until.max(Some(until));
        }
    }

    /// Removes unconfirmed endpoints whose time is over, and returns their ids.
    pub fn remove_unconfirmed(&mut self, now: Instant) -> Vec<Arc<str>> {
        let over = |e: &&Entry| e.unconfirmed_until.is_some_and(|until| now >= until);
        let ids: Vec<_> = self.arena.values().filter(over).map(|e| Arc::clone(&e.endpoint.id)).collect();
        for id in &ids {
            self.remove(id);
        }
        ids
    }

    /// Ids that are listed here but not among `present`.
    pub fn missing_from(&self, present: &HashSet<Arc<str>>) -> Vec<Arc<str>> {
        self.by_id.keys().filter(|id| !present.contains(*id)).cloned().collect()
    }

    /// Whether the list alone determines which endpoints are in use, so that another instance can rely on it.
    pub fn all_confirmed(&self, now: Instant) -> bool {
        self.uncertain_until.is_none_or(|until| now >= until)
    }

    /// Endpoints that the list confirms.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.arena.values().filter(|e| e.is_confirmed()).map(|e| &e.endpoint)
    }

    /// Checksum by which two instances can tell whether they list the same incarnations of endpoints; equal
    /// lists have equal checksums.
    pub fn checksum(&self) -> u64 {
        let confirmed = self.arena.values().filter(|e| e.is_confirmed());
        confirmed.fold(0, |sum, entry| sum.wrapping_add((1 << 32) + u64::from(entry.tag.0)))
    }

    /// An endpoint, if it is still listed.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.arena.get(key).map(|e| &e.endpoint)
    }

    /// Tag of an endpoint's incarnation, if it is still listed.
    pub fn tag(&self, key: EndpointKey) -> Option<EngineTag> {
        self.arena.get(key).map(|e| e.tag)
    }

    /// Key of the endpoint with this id.
    pub fn key_of(&self, id: &str) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    /// The endpoint that has an address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&Endpoint> {
        self.get(*self.by_address.get(&address)?.last()?)
    }

    /// Some endpoints that take new work, but for the one at this address.
    pub fn sample_open(
        &self,
        now: Instant,
        except: SocketAddr,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<&Endpoint> {
        let open = self.arena.values().filter(|entry| entry.is_open(now) && entry.endpoint.address != except);
        open.map(|entry| &entry.endpoint).choose_multiple(rng, count)
    }

    /// Forgets what results have shown of the endpoint at an address: they were those of the way to it.
    pub fn forget_results(&mut self, address: SocketAddr) {
        let key = self.by_address.get(&address).and_then(|occupants| occupants.last());
        if let Some(entry) = key.and_then(|key| self.arena.get_mut(*key)) {
            entry.health = HealthEstimate::default();
        }
    }

    /// An endpoint by its tag.
    pub fn by_tag(&self, tag: EngineTag) -> Option<&Endpoint> {
        self.get(self.by_tag.get(tag)?)
    }

    /// An endpoint by its id.
    pub fn by_id(&self, id: &str) -> Option<&Endpoint> {
        self.get(*self.by_id.get(id)?)
    }

    /// The endpoint with this id, if the list confirms it.
    pub fn listed_by_id(&self, id: &str) -> Option<&Endpoint> {
        let entry = self.arena.get(*self.by_id.get(id)?)?;
        entry.is_confirmed().then_some(&entry.endpoint)
    }

    /// An endpoint, if requests may be sent to it now.
    pub fn get_available(&self, now: Instant, key: EndpointKey) -> Option<&Endpoint> {
        self.arena.get(key).filter(|e| e.is_available(now)).map(|e| &e.endpoint)
    }

    /// Number of endpoints that enough peers report as suspect.
    pub fn suspected_count(&self, now: Instant) -> usize {
        self.ledger.suspected_count(now)
    }

    /// How many endpoints are listed.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Endpoints of a service that take new work.
    pub fn open(&self, now: Instant, service: &str) -> impl Iterator<Item = &Endpoint> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|&k| &self.arena[k]).filter(move |e| e.is_open(now)).map(|e| &e.endpoint)
    }

    /// Learns from the outcome of a step. Returns whether a pause of the endpoint began or ended.
    pub fn learn(&mut self, now: Instant, key: EndpointKey, outcome: StepOutcome) -> bool {
        let Some(entry) = self.arena.get_mut(key) else { return false };
        match outcome {
            StepOutcome::Full => entry.cooldown.refused(now, entry.endpoint.stage == Some(Stage::Decode)),
            StepOutcome::Answered(_) => entry.cooldown.accepted(),
            StepOutcome::ErrorResponse
            | StepOutcome::Failed
            | StepOutcome::Silent(_)
            | StepOutcome::Unreachable => {}
        }
        entry.health.learn(now, outcome)
    }

    /// Records that an endpoint has begun a response that may take long. Whether it completes its responses is learned at
    /// the end. Returns whether a pause of it ended.
    pub fn observe_begun(&mut self, now: Instant, key: EndpointKey) -> bool {
        let Some(entry) = self.arena.get_mut(key) else { return false };
        entry.cooldown.accepted();
        entry.health.begun(now)
    }

    /// Records that an endpoint responded to a small call, which shows nothing else about it. Returns whether a pause of
    /// it ended.
    pub fn observe_response(&mut self, key: EndpointKey) -> bool {
        self.arena.get_mut(key).is_some_and(|entry| entry.health.responded())
    }

    /// Work that other instances have in flight.
    pub fn ledger(&mut self) -> &mut Ledger<SocketAddr> {
        &mut self.ledger
    }
}
