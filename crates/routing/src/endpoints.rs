//! What one instance believes of every endpoint, and the choice among them.
//!
//! Beliefs have three sources: the platform's list (who is there, who is leaving), the instance's own results
//! (latency, failures, refusals) and its own work in progress. Health answers are not used: an endpoint can fail
//! with good health answers and work with bad ones, while results do not lie.
//!
//! Invariant: an endpoint that the list calls leaving or gone is never chosen, but for one exception that has a
//! time limit ([`Endpoints::mark_unconfirmed`]).

mod limited;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use rand::Rng;
use slotmap::SlotMap;

use self::limited::{Pressure, Sample};
use crate::health_estimate::Belief;
use crate::removed::Removed;
use crate::{Endpoint, EndpointKey, EndpointState, EngineTag, Ledger, Rates, Stage, StepOutcome};

/// What another failure domain adds to an endpoint's expected latency: two crossings and their price.
const DISTANCE: f64 = 0.006;

/// What another failure domain counts in tokens in flight at a prefill engine, about one usual prompt: a prompt goes
/// away only where it would wait behind one at home.
const AWAY_PREFILL: f64 = 3_000.0;
/// The same at a decode engine, as a part of its memory.
///
/// A stream that crosses domains breaks when its domain is cut off, and callers of both sides lose it. Streams at home
/// outlive the cut. Memory is the narrow place, so that home engines are filled first and only their last part is left
/// for when the others are full as well.
const AWAY_DECODE: f64 = 0.3;
/// Spread of the choice in tokens: instances that choose in the same moment, before they have heard of each other's
/// choice, would all take the same engine. About half of a usual prompt.
const SPREAD: f64 = 1_500.0;

#[derive(Debug)]
struct Entry {
    endpoint: Endpoint,
    tag: EngineTag,
    /// Requests of this instance in progress there.
    running: u32,
    /// Tokens of these.
    tokens: u64,
    /// Prompts of this instance that a decode engine reads itself now.
    reads: u32,
    belief: Belief,
    /// The endpoint that was listed at the same address after this one.
    successor: Option<EndpointKey>,
    /// When an endpoint that the list has lost counts as gone.
    doubted: Option<Instant>,
    /// Whether its last entry was not its own, or could not be read.
    withdrawn: bool,
    /// Until when an entry that has come back is taken for one of a copy of the list.
    recalled: Option<Instant>,
}

impl Entry {
    fn new(endpoint: Endpoint) -> Self {
        Self {
            tag: EngineTag::of(&endpoint.id, endpoint.born),
            endpoint,
            running: 0,
            tokens: 0,
            reads: 0,
            belief: Belief::default(),
            successor: None,
            doubted: None,
            withdrawn: false,
            recalled: None,
        }
    }

    fn is_open(&self, now: Instant) -> bool {
        let ready = self.endpoint.state == EndpointState::Ready && !self.withdrawn;
        let recalled = self.recalled.is_some_and(|until| now < until);
        ready && !recalled && self.doubted.is_none_or(|until| now < until)
    }

    /// Whether the list shows it plainly: its last entry is its own, and has not gone.
    const fn is_plain(&self) -> bool {
        !self.withdrawn && self.doubted.is_none()
    }

    /// Whether it is only chosen where there is no other: it is suspect, or a prefill engine that is silent.
    fn is_paused(&self, now: Instant) -> bool {
        let prefills = self.endpoint.stage == Some(Stage::Prefill);
        (prefills && self.belief.is_silent(now)) || self.belief.is_suspect(now)
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
    /// Tokens that the work needs; 0 for a plain service.
    pub tokens: u64,
    /// Most tokens that an engine may have in flight; none for no limit.
    pub limit: Option<u64>,
    /// Tokens of the limit to leave to others.
    pub headroom: u64,
    /// Whether a decode engine is to read the prompt itself.
    ///
    /// All streams at that engine stand still meanwhile, for about 60 ms a thousand tokens. Two reads at a time pause them
    /// for longer than callers aim for, and make some nine answers late for the sake of one. So an engine reads one at a
    /// time, as far as has been heard, and so does an instance: several that take up the streams of a crashed engine in the
    /// same moment have not heard of each other yet.
    pub local_prefill: bool,
    /// Whether it is for a try beside one that is under way. Endpoints that name a rate are spared these: what they take is
    /// short, and the first try is still likely to be answered.
    pub hedge: bool,
}

impl<'a> Need<'a> {
    /// Of an instance in a failure domain that has no wishes yet.
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
        }
    }
}

/// What a candidate is compared by: whether it is only for want of a better one, and its cost.
type Rank = (bool, f64);

/// What an entry of the list says beside what was known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpsertOutcome {
    /// A start of an endpoint that was not known.
    Started,
    /// News of a known start.
    Changed,
    /// Nothing.
    Unchanged,
    /// Something about a start that has ended.
    Outdated,
    /// It is not the endpoint's own; the endpoint is not used until it writes again.
    Foreign,
}

/// All endpoints that the list names.
#[derive(Debug, Default)]
pub struct Endpoints {
    arena: SlotMap<EndpointKey, Entry>,
    by_id: HashMap<Arc<str>, EndpointKey>,
    /// The endpoint that was listed last at each address.
    by_address: HashMap<SocketAddr, EndpointKey>,
    services: HashMap<Arc<str>, Vec<EndpointKey>>,
    departed: Removed,
    /// Until when entries of endpoints that had gone may be ones of a copy of the list.
    copied: Option<Instant>,
    /// Until when endpoints are in use, or not, by more than what the list says.
    uncertain: Option<Instant>,
    ledger: Ledger<SocketAddr>,
    rates: Rates<SocketAddr>,
    pressure: Pressure,
}

impl Endpoints {
    /// Takes an endpoint's entry over.
    ///
    /// Within one start, an endpoint that has said that it leaves does not come back, not after its entry has gone either: an
    /// old entry that arrives late, or stands in a copy of the list, would otherwise send work to it again. A later start under the same id begins with nothing: its key is another one, so that
    /// what was begun at the former start cannot go on there by mistake, and entries of the former start are passed over.
    pub fn upsert(&mut self, mut endpoint: Endpoint) -> UpsertOutcome {
        let left = self.departed.was_leaving(&endpoint.incarnation());
        // Without a time of birth it may be another start, which an entry of a copy is told from by its age only.
        if left == Some(true) && endpoint.born.is_some() {
            endpoint.state = EndpointState::Leaving;
        }
        let Some(&key) = self.by_id.get(&endpoint.id) else {
            self.insert(endpoint, left.is_some());
            return UpsertOutcome::Started;
        };
        let entry = &mut self.arena[key];
        let known = &entry.endpoint;
        match (known.born, endpoint.born) {
            (Some(former), Some(later)) if former < later => {
                self.remove(&endpoint.id);
                self.insert(endpoint, left.is_some());
                return UpsertOutcome::Started;
            }
            (Some(later), Some(former)) if former < later => return UpsertOutcome::Outdated,
            (Some(_), None) => {
                entry.withdrawn = true;
                return UpsertOutcome::Foreign;
            }
            (Some(_), Some(_)) | (None, _) => {}
        }
        if known.state == EndpointState::Leaving {
            endpoint.state = EndpointState::Leaving;
        }
        if known.service != endpoint.service || known.address != endpoint.address {
            self.remove(&endpoint.id);
            self.insert(endpoint, false);
            return UpsertOutcome::Changed;
        }
        let changed = entry.withdrawn || *known != endpoint;
        entry.doubted = None;
        entry.withdrawn = false;
        entry.tag = EngineTag::of(&endpoint.id, endpoint.born);
        entry.endpoint = endpoint;
        if changed { UpsertOutcome::Changed } else { UpsertOutcome::Unchanged }
    }

    /// Lists a start of an endpoint. One that `returns` was listed before and had gone: its entry lapsed and is back, or is
    /// an old one that was written late. If another endpoint has been listed at the address since, that one has it.
    fn insert(&mut self, endpoint: Endpoint, returns: bool) {
        let (id, service) = (Arc::clone(&endpoint.id), Arc::clone(&endpoint.service));
        let address = endpoint.address;
        let holder = self.by_address.get(&address).copied().filter(|&k| self.arena.contains_key(k));
        let recalled = self.copied.filter(|_| returns);
        let key = self.arena.insert(Entry { recalled, ..Entry::new(endpoint) });
        match holder {
            Some(holder) if returns => self.arena[key].successor = Some(holder),
            Some(former) => self.arena[former].successor = Some(key),
            None => {}
        }
        if !returns || holder.is_none() {
            self.by_address.insert(address, key);
        }
        self.by_id.insert(id, key);
        self.services.entry(service).or_default().push(key);
    }

    /// The list comes from a copy that is some seconds old: endpoints that have gone since stand in it once more.
    ///
    /// They were seen to go, and nothing new may reach them. One that stands in the list longer than an entry outlives its
    /// endpoint is alive, and is used from `until` on.
    pub fn note_restore(&mut self, until: Instant) {
        self.copied = Some(until);
        self.uncertain = self.uncertain.max(Some(until));
    }

    /// The entry under an id was overwritten with something that names no endpoint. Nothing new goes there until the
    /// endpoint writes its entry again. Says whether it was in the list.
    pub fn invalidate(&mut self, id: &str) -> bool {
        let Some(&key) = self.by_id.get(id) else { return false };
        self.arena[key].withdrawn = true;
        true
    }

    /// Forgets an endpoint that has gone.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(key) = self.by_id.remove(id) else { return false };
        let Some(entry) = self.arena.remove(key) else { return true };
        if let Some(keys) = self.services.get_mut(&entry.endpoint.service) {
            keys.retain(|&k| k != key);
        }
        if self.by_address.get(&entry.endpoint.address) == Some(&key) {
            self.by_address.remove(&entry.endpoint.address);
        }
        self.rates.remove(entry.tag);
        let leaving = entry.endpoint.state == EndpointState::Leaving;
        self.departed.insert(entry.endpoint.incarnation(), leaving);
        true
    }

    /// An endpoint has ended, whatever the list says: another one has its address. It does not come back.
    pub fn mark_ended(&mut self, now: Instant, key: EndpointKey) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.belief.retire(now);
            entry.endpoint.state = EndpointState::Leaving;
        }
    }

    /// The list has lost an endpoint at a time when it loses live ones too; it stays in use until `until`, unless
    /// it was leaving already.
    ///
    /// Entries lapse while the platform's store is away. Dropping all of them at its return would leave callers
    /// without any endpoint for the seconds that live ones need to register again.
    pub fn mark_unconfirmed(&mut self, id: &str, until: Instant) {
        let Some(&key) = self.by_id.get(id) else { return };
        let entry = &mut self.arena[key];
        if entry.endpoint.state == EndpointState::Leaving {
            self.remove(id);
        } else if entry.doubted.is_none() {
            entry.doubted = Some(until);
            self.uncertain = self.uncertain.max(Some(until));
        }
    }

    /// Forgets doubted endpoints whose time is over, and names them.
    pub fn remove_unconfirmed(&mut self, now: Instant) -> Vec<Arc<str>> {
        let over = |e: &&Entry| e.doubted.is_some_and(|until| now >= until);
        let ids: Vec<_> = self.arena.values().filter(over).map(|e| Arc::clone(&e.endpoint.id)).collect();
        for id in &ids {
            self.remove(id);
        }
        ids
    }

    /// Ids that are known but not among `present`.
    pub fn missing_from(&self, present: &HashSet<Arc<str>>) -> Vec<Arc<str>> {
        self.by_id.keys().filter(|id| !present.contains(*id)).cloned().collect()
    }

    /// Whether the list alone says which endpoints are in use, so that another instance can go by it.
    pub fn all_confirmed(&self, now: Instant) -> bool {
        self.uncertain.is_none_or(|until| now >= until)
    }

    /// All that the list shows plainly.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.arena.values().filter(|e| e.is_plain()).map(|e| &e.endpoint)
    }

    /// A number by which two instances can tell whether they list the same starts of endpoints; equal lists have equal ones.
    pub fn checksum(&self) -> u64 {
        let plain = self.arena.values().filter(|e| e.is_plain());
        plain.fold(0, |sum, entry| sum.wrapping_add((1 << 32) + u64::from(entry.tag.0)))
    }

    /// An endpoint, if it is still listed.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.arena.get(key).map(|e| &e.endpoint)
    }

    /// Tag of an endpoint's start, if it is still listed.
    pub fn tag(&self, key: EndpointKey) -> Option<EngineTag> {
        self.arena.get(key).map(|e| e.tag)
    }

    /// Key of the endpoint with this id.
    pub fn key_of(&self, id: &str) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    /// An endpoint by its tag.
    pub fn by_tag(&self, tag: EngineTag) -> Option<&Endpoint> {
        self.arena.values().find(|entry| entry.tag == tag).map(|entry| &entry.endpoint)
    }

    /// An endpoint by its id.
    pub fn by_id(&self, id: &str) -> Option<&Endpoint> {
        self.get(*self.by_id.get(id)?)
    }

    /// The same, if the list shows it plainly.
    pub fn listed_by_id(&self, id: &str) -> Option<&Endpoint> {
        let entry = self.arena.get(*self.by_id.get(id)?)?;
        entry.is_plain().then_some(&entry.endpoint)
    }

    /// An endpoint, if it still takes new work.
    pub fn get_open(&self, now: Instant, key: EndpointKey) -> Option<&Endpoint> {
        self.arena.get(key).filter(|e| e.is_open(now)).map(|e| &e.endpoint)
    }

    /// How many are listed.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Endpoints of a service that take new work.
    pub fn open(&self, now: Instant, service: &str) -> impl Iterator<Item = &Endpoint> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|&k| &self.arena[k]).filter(move |e| e.is_open(now)).map(|e| &e.endpoint)
    }

    /// Work begins at an endpoint.
    pub fn begin(&mut self, now: Instant, key: EndpointKey, tokens: u64) {
        if let Some(entry) = self.arena.get_mut(key) {
            if entry.running == 0 {
                entry.belief.begin(now);
            }
            entry.running += 1;
            entry.tokens += tokens;
        }
    }

    /// A request is about to go to an endpoint.
    pub fn charge_rate(&mut self, now: Instant, key: EndpointKey) {
        if let Some(tag) = self.tag(key) {
            self.rates.charge(now, tag);
        }
    }

    /// A request that was about to go to an endpoint has not reached it.
    pub fn refund_rate(&mut self, now: Instant, key: EndpointKey) {
        if let Some(tag) = self.tag(key) {
            self.rates.refund(now, tag);
        }
    }

    /// A decode engine begins to read a prompt itself.
    pub fn begin_local_prefill(&mut self, key: EndpointKey) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.reads += 1;
        }
    }

    /// It has read it, or has given up.
    pub fn end_local_prefill(&mut self, key: EndpointKey) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.reads = entry.reads.saturating_sub(1);
        }
    }

    /// Whether a decode engine reads a prompt of this instance now.
    fn is_reading(&self) -> bool {
        self.arena.values().any(|e| e.reads > 0)
    }

    /// Decode engines that read a prompt of this instance now.
    pub fn local_prefills(&self) -> Vec<EngineTag> {
        self.arena.values().filter(|e| e.reads > 0).map(|e| e.tag).collect()
    }

    /// Work in progress at an endpoint takes so many tokens more than it began with.
    pub fn add_tokens(&mut self, key: EndpointKey, tokens: u64) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.tokens += tokens;
        }
    }

    /// Work of `tokens` in all has ended.
    pub fn end(&mut self, key: EndpointKey, tokens: u64) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.running = entry.running.saturating_sub(1);
            entry.tokens = entry.tokens.saturating_sub(tokens);
            if entry.running == 0 {
                entry.belief.end();
            }
        }
    }

    /// Learns from how a step ended. Says whether the endpoint's being in use has changed.
    pub fn learn(&mut self, now: Instant, key: EndpointKey, verdict: StepOutcome) -> bool {
        let Some(entry) = self.arena.get_mut(key) else { return false };
        let decodes = entry.endpoint.stage == Some(Stage::Decode);
        entry.belief.learn(now, verdict, decodes)
    }

    /// What this instance has in flight, by engine.
    pub fn in_flight(&self) -> HashMap<EngineTag, u32> {
        let busy = self.arena.values().filter(|e| e.tokens > 0);
        busy.map(|e| (e.tag, u32::try_from(e.tokens).unwrap_or(u32::MAX))).collect()
    }

    /// Endpoints that this instance has paused, or that fail most of its requests.
    pub fn suspects(&self, now: Instant) -> Vec<EngineTag> {
        self.arena.values().filter(|e| e.belief.is_suspect(now)).map(|e| e.tag).collect()
    }

    /// Tokens in flight at an engine, of all instances.
    pub fn load(&self, key: EndpointKey) -> u64 {
        self.arena.get(key).map_or(0, |e| e.tokens + self.ledger.in_flight(e.tag))
    }

    /// What other instances have in flight.
    pub fn ledger(&mut self) -> &mut Ledger<SocketAddr> {
        &mut self.ledger
    }

    /// What is left of the service at a stage while no other endpoint takes new work than those that name rates: the sum of
    /// their rates. `None` if some name none.
    pub fn total_rate(&self, now: Instant, service: &str, stage: Option<Stage>) -> Option<f64> {
        if self.rates.is_empty() {
            return None;
        }
        let keys = self.services.get(service)?;
        let entries = keys.iter().map(|&key| &self.arena[key]);
        let mut open = entries.filter(|e| e.is_open(now) && e.endpoint.stage == stage).peekable();
        open.peek()?;
        open.map(|entry| self.rates.rate(entry.tag)).sum()
    }

    /// Forgets what endpoints said of their rates that are not listed and silent.
    pub fn expire_rates(&mut self, now: Instant) {
        if self.rates.is_empty() {
            self.pressure.clear();
            return;
        }
        let listed: HashSet<EngineTag> = self.arena.values().map(|entry| entry.tag).collect();
        self.rates.expire(now, |tag| listed.contains(&tag));
    }

    /// Rates that endpoints name.
    pub fn rates(&mut self) -> &mut Rates<SocketAddr> {
        &mut self.rates
    }

    /// Chooses the endpoint with the lowest expected time to answer; paused ones only where there is no other.
    pub fn choose(&self, now: Instant, need: Need<'_>, rng: &mut impl Rng) -> Option<EndpointKey> {
        let mut best: Option<(Rank, EndpointKey)> = None;
        let mut limited = Sample::default();
        // Whether an engine is there that could serve, if not now: then one that is not there is no alternative.
        let mut healthy = false;
        if need.local_prefill && self.is_reading() {
            return None;
        }
        for &key in self.services.get(need.service)? {
            let entry = &self.arena[key];
            let fits = entry.is_open(now) && entry.endpoint.stage == need.stage;
            if !fits || need.tried.contains(&key) {
                continue;
            }
            let paused =
                entry.is_paused(now) || self.is_replaced(entry) || self.ledger.is_suspected(now, entry.tag);
            healthy |= !paused;
            if entry.belief.is_full(now) {
                continue;
            }
            if need.local_prefill && self.ledger.has_local_prefill(now, entry.tag) {
                continue;
            }
            let in_flight = entry.tokens + self.ledger.in_flight(entry.tag);
            if need
                .limit
                .is_some_and(|limit| in_flight > 0 && in_flight + need.tokens + need.headroom > limit)
            {
                continue;
            }
            let rank = (paused, Self::cost(entry, in_flight, now, need, rng));
            if self.rates.is_limited(entry.tag) {
                if !need.hedge {
                    limited.offer(rank, key, rng);
                }
            } else if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, key));
            }
        }
        if !limited.is_empty() {
            best = self.choose_limited(now, need, best, limited, rng);
        }
        let (rank, key) = best?;
        let absent = rank.0 && healthy && need.stage == Some(Stage::Decode);
        (!absent).then_some(key)
    }

    /// Compares the best endpoint without a rate, if there is one, to those with rates that have room now.
    fn choose_limited(
        &self,
        now: Instant,
        need: Need<'_>,
        mut best: Option<(Rank, EndpointKey)>,
        limited: Sample,
        rng: &mut impl Rng,
    ) -> Option<(Rank, EndpointKey)> {
        let alone = best.is_none();
        if !alone || self.pressure.tries(need.service, need.stage, rng) {
            for (rank, key) in limited.drawn() {
                let better = best.is_none_or(|(least, _)| rank < least);
                if better && rng.random_bool(self.rates.admitted_share(now, self.arena[key].tag)) {
                    best = Some((rank, key));
                }
            }
        }
        if alone {
            self.pressure.learn(need.service, need.stage, best.is_some());
        }
        best
    }

    /// Whether another endpoint that takes new work was listed later at the same address.
    ///
    /// An endpoint that crashed is listed for some heartbeats beside its next start. That one grants room without a look at
    /// who is meant, and refuses the run that follows: the prompt was read for nothing, and the caller is refused. It is
    /// only a suspicion, since an old entry can be written late, and ends with the later endpoint.
    fn is_replaced(&self, entry: &Entry) -> bool {
        let successor = entry.successor.and_then(|key| self.arena.get(key));
        successor.is_some_and(|later| later.endpoint.state == EndpointState::Ready)
    }

    fn cost(entry: &Entry, in_flight: u64, now: Instant, need: Need<'_>, rng: &mut impl Rng) -> f64 {
        let away = &*entry.endpoint.domain != need.domain;
        let jitter = rng.random_range(0.0..1.0);
        if need.stage.is_none() {
            let distance = if away { DISTANCE } else { 0.0 };
            return entry.belief.expected(now) * f64::from(entry.running + 1) + distance + jitter * 0.002;
        }
        let distance = need.limit.map_or(AWAY_PREFILL, |memory| memory as f64 * AWAY_DECODE);
        in_flight as f64 + if away { distance } else { 0.0 } + jitter * SPREAD
    }
}
