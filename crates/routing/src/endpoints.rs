//! What one instance believes of every endpoint, and the choice among them.
//!
//! Beliefs have three sources: the platform's list (who is there, who is leaving), the instance's own results
//! (latency, failures, refusals) and its own work in progress. Health answers are not used: an endpoint can fail
//! with good health answers and work with bad ones, while results do not lie.
//!
//! Invariant: an endpoint that the list calls leaving or gone is never chosen, but for one exception that has a
//! time limit ([`Endpoints::doubt`]).

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use slotmap::SlotMap;

use crate::{EngineTag, Ledger};

slotmap::new_key_type! {
    /// An endpoint in the arena of one instance.
    pub struct EndpointKey;
}

/// Part of a generation that an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Reads prompts.
    Prefill,
    /// Generates.
    Decode,
}

impl Stage {
    /// Name for logs.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It does.
    Ready,
    /// It is on its way out.
    Leaving,
}

/// An endpoint as the list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of this start of the endpoint; another start has another id.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Its address, which may have belonged to another endpoint before.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Set for model engines.
    pub stage: Option<Stage>,
}

/// How a step at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It answered, after this time.
    Answered(Duration),
    /// It answered with a failure of its own.
    Erred,
    /// It has no room now.
    Full,
    /// It broke off, was silent, or answered nonsense.
    Failed,
    /// It could not be reached, or another one has its address.
    Absent,
    /// Nothing can be concluded.
    Unknown,
}

/// Failures in a row after which an endpoint is paused.
const FAILURES: u32 = 2;
/// First pause; doubles with each further failure. About the shortest outage worth avoiding.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest pause, so that an endpoint that is back is found within this time.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// How long others are told of an endpoint that has ended; the list shows it by then.
const RETIRED: Duration = Duration::from_secs(10);
/// How long a refusal for want of room keeps an endpoint from being asked again; doubles with each further refusal in a
/// row. An engine that changes its stage refuses everything for seconds while it has nothing to do, and would draw all
/// requests to itself.
const FULL: Duration = Duration::from_millis(60);
/// Longest such time.
const FULL_MAX: Duration = Duration::from_millis(960);
/// Time without any answer after which an engine with work of this instance counts as silent: several times what a
/// prefill or a small call takes at an engine that is not behind.
const SILENT: Duration = Duration::from_millis(1200);
/// Latency that is assumed of an endpoint with no results yet.
const LATENCY: f64 = 0.020;
/// Weight of one result in the moving average of latencies.
const WEIGHT: f64 = 0.2;
/// Time in which an average that gets no results falls half-way back to the assumed latency. A slow endpoint is
/// so tried again after some seconds.
const HALF_LIFE: f64 = 3.0;
/// Weight of one result in the moving average of failures.
const ERROR_WEIGHT: f64 = 0.25;
/// Time in which the share of failures falls by half without results; longer than that of latencies, since each try of
/// an endpoint that fails costs a caller its answer.
const ERROR_HALF_LIFE: f64 = 5.0;
/// Share of failures over which an endpoint is only chosen where there is no other: three in a row at an endpoint that
/// was well. Some services fail one request in seven by nature, so that two in a row say nothing.
const ERRORS: f64 = 0.5;
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
    failures: u32,
    paused: Option<Instant>,
    full: Option<Instant>,
    refusals: u32,
    /// Since when work is in progress there without any answer.
    silent: Option<Instant>,
    latency: f64,
    measured: Option<Instant>,
    /// Share of failures as of `judged`.
    errors: f64,
    judged: Option<Instant>,
    /// The endpoint that was listed at the same address after this one.
    successor: Option<EndpointKey>,
    /// When an endpoint that the list has lost counts as gone.
    doubted: Option<Instant>,
}

impl Entry {
    fn new(endpoint: Endpoint) -> Self {
        Self {
            tag: EngineTag::of(&endpoint.id),
            endpoint,
            running: 0,
            tokens: 0,
            failures: 0,
            paused: None,
            full: None,
            refusals: 0,
            silent: None,
            latency: LATENCY,
            measured: None,
            errors: 0.0,
            judged: None,
            successor: None,
            doubted: None,
        }
    }

    fn expected(&self, now: Instant) -> f64 {
        let Some(at) = self.measured else { return LATENCY };
        let age = now.duration_since(at).as_secs_f64();
        LATENCY + (self.latency - LATENCY) * 0.5_f64.powf(age / HALF_LIFE)
    }

    /// Share of results that are failures. It fades without results, so that the endpoint is tried again.
    fn error_share(&self, now: Instant) -> f64 {
        let Some(at) = self.judged else { return 0.0 };
        self.errors * 0.5_f64.powf(now.duration_since(at).as_secs_f64() / ERROR_HALF_LIFE)
    }

    fn judge(&mut self, now: Instant, failed: bool) {
        let share = self.error_share(now);
        self.errors = share + (f64::from(u8::from(failed)) - share) * ERROR_WEIGHT;
        self.judged = Some(now);
    }

    fn is_failing(&self, now: Instant) -> bool {
        self.error_share(now) > ERRORS
    }

    fn is_open(&self, now: Instant) -> bool {
        self.endpoint.state == EndpointState::Ready && self.doubted.is_none_or(|until| now < until)
    }

    /// Whether it is only chosen where there is no other: it failed lately, fails most requests, or is a prefill engine
    /// that is silent.
    ///
    /// An endpoint can fail everything with good health answers, and fast. By its latency alone it would look the best of
    /// all and draw over half of the callers to itself.
    fn is_paused(&self, now: Instant) -> bool {
        let prefills = self.endpoint.stage == Some(Stage::Prefill);
        let silent = prefills && self.silent.is_some_and(|since| now.duration_since(since) > SILENT);
        silent || self.is_failing(now) || self.paused.is_some_and(|until| now < until)
    }

    fn is_full(&self, now: Instant) -> bool {
        self.full.is_some_and(|until| now < until)
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
    pub spare: u64,
}

/// All endpoints that the list names.
#[derive(Debug, Default)]
pub struct Endpoints {
    arena: SlotMap<EndpointKey, Entry>,
    by_id: HashMap<Arc<str>, EndpointKey>,
    /// The endpoint that was listed last at each address.
    by_address: HashMap<SocketAddr, EndpointKey>,
    services: HashMap<Arc<str>, Vec<EndpointKey>>,
    ledger: Ledger<SocketAddr>,
}

impl Endpoints {
    /// Takes an endpoint's entry over. Says whether anything changed.
    ///
    /// An endpoint that has said that it leaves does not come back under the same id: an old entry that arrives
    /// late would otherwise send work to it again.
    pub fn upsert(&mut self, mut endpoint: Endpoint) -> bool {
        let Some(&key) = self.by_id.get(&endpoint.id) else {
            let (id, service) = (Arc::clone(&endpoint.id), Arc::clone(&endpoint.service));
            let address = endpoint.address;
            let key = self.arena.insert(Entry::new(endpoint));
            if let Some(former) = self.by_address.insert(address, key).and_then(|k| self.arena.get_mut(k)) {
                former.successor = Some(key);
            }
            self.by_id.insert(id, key);
            self.services.entry(service).or_default().push(key);
            return true;
        };
        let entry = &mut self.arena[key];
        entry.doubted = None;
        if entry.endpoint.state == EndpointState::Leaving {
            endpoint.state = EndpointState::Leaving;
        }
        let changed = entry.endpoint != endpoint;
        entry.endpoint = endpoint;
        changed
    }

    /// Forgets an endpoint that has gone.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(key) = self.by_id.remove(id) else { return false };
        if let Some(entry) = self.arena.remove(key)
            && let Some(keys) = self.services.get_mut(&entry.endpoint.service)
        {
            keys.retain(|&k| k != key);
            if self.by_address.get(&entry.endpoint.address) == Some(&key) {
                self.by_address.remove(&entry.endpoint.address);
            }
        }
        true
    }

    /// An endpoint has ended, whatever the list says: another one has its address. It does not come back.
    pub fn retire(&mut self, now: Instant, key: EndpointKey) {
        if let Some(entry) = self.arena.get_mut(key) {
            // Paused as well, so that others hear of it until the list shows it.
            entry.paused = Some(now + RETIRED);
            entry.endpoint.state = EndpointState::Leaving;
        }
    }

    /// The list has lost an endpoint at a time when it loses live ones too; it stays in use until `until`, unless
    /// it was leaving already.
    ///
    /// Entries lapse while the platform's store is away. Dropping all of them at its return would leave callers
    /// without any endpoint for the seconds that live ones need to register again.
    pub fn doubt(&mut self, id: &str, until: Instant) {
        let Some(&key) = self.by_id.get(id) else { return };
        let entry = &mut self.arena[key];
        if entry.endpoint.state == EndpointState::Leaving {
            self.remove(id);
        } else if entry.doubted.is_none() {
            entry.doubted = Some(until);
        }
    }

    /// Forgets doubted endpoints whose time is over, and names them.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        let over = |e: &&Entry| e.doubted.is_some_and(|until| now >= until);
        let ids: Vec<_> = self.arena.values().filter(over).map(|e| Arc::clone(&e.endpoint.id)).collect();
        for id in &ids {
            self.remove(id);
        }
        ids
    }

    /// Ids that are known but not among `present`.
    pub fn absent(&self, present: &HashSet<Arc<str>>) -> Vec<Arc<str>> {
        self.by_id.keys().filter(|id| !present.contains(*id)).cloned().collect()
    }

    /// An endpoint, if it is still listed.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.arena.get(key).map(|e| &e.endpoint)
    }

    /// An endpoint by its id.
    pub fn by_id(&self, id: &str) -> Option<&Endpoint> {
        self.get(*self.by_id.get(id)?)
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
                entry.silent = Some(now);
            }
            entry.running += 1;
            entry.tokens += tokens;
        }
    }

    /// Work that began with the same `tokens` has ended.
    pub fn end(&mut self, key: EndpointKey, tokens: u64) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.running = entry.running.saturating_sub(1);
            entry.tokens = entry.tokens.saturating_sub(tokens);
            if entry.running == 0 {
                entry.silent = None;
            }
        }
    }

    /// Learns from how a step ended. Says whether the endpoint's being in use has changed.
    ///
    /// Without the pause every request would find out on its own, by its own timeout, that an endpoint is dead;
    /// callers would see a run of slow answers. The pause is short and ends by itself, so that a wrong one costs
    /// little.
    pub fn learn(&mut self, now: Instant, key: EndpointKey, verdict: Verdict) -> bool {
        let Some(entry) = self.arena.get_mut(key) else { return false };
        if matches!(verdict, Verdict::Answered(_) | Verdict::Full) && entry.silent.is_some() {
            entry.silent = Some(now);
        }
        match verdict {
            Verdict::Answered(_) => entry.judge(now, false),
            Verdict::Erred | Verdict::Failed => entry.judge(now, true),
            Verdict::Full | Verdict::Absent | Verdict::Unknown => {}
        }
        match verdict {
            Verdict::Erred => {
                entry.failures = 0;
                false
            }
            Verdict::Answered(latency) => {
                let expected = entry.expected(now);
                entry.latency = expected + (latency.as_secs_f64() - expected) * WEIGHT;
                entry.measured = Some(now);
                entry.failures = 0;
                entry.full = None;
                entry.refusals = 0;
                entry.paused.take().is_some()
            }
            Verdict::Full => {
                entry.full = Some(now + (FULL * 2_u32.pow(entry.refusals.min(4))).min(FULL_MAX));
                // Room at a decode engine comes free at any moment; a refusal there says little of the next.
                if entry.endpoint.stage != Some(Stage::Decode) {
                    entry.refusals += 1;
                }
                entry.failures = 0;
                entry.paused.take().is_some()
            }
            Verdict::Failed | Verdict::Absent => {
                // One failure may be chance; an endpoint that is not there is not there for the next one either.
                entry.failures =
                    (entry.failures + 1).max(if verdict == Verdict::Absent { FAILURES } else { 0 });
                if entry.failures < FAILURES {
                    return false;
                }
                let doublings = (entry.failures - FAILURES).min(4);
                let pause = (PAUSE * 2_u32.pow(doublings)).min(PAUSE_MAX);
                entry.paused.replace(now + pause).is_none()
            }
            Verdict::Unknown => false,
        }
    }

    /// What this instance has in flight, by engine.
    pub fn in_flight(&self) -> HashMap<EngineTag, u32> {
        let busy = self.arena.values().filter(|e| e.tokens > 0);
        busy.map(|e| (e.tag, u32::try_from(e.tokens).unwrap_or(u32::MAX))).collect()
    }

    /// Endpoints that this instance has paused, or that fail most of its requests.
    pub fn suspects(&self, now: Instant) -> Vec<EngineTag> {
        let suspect = |e: &&Entry| e.is_failing(now) || e.paused.is_some_and(|until| now < until);
        self.arena.values().filter(suspect).map(|e| e.tag).collect()
    }

    /// Tokens in flight at an engine, of all instances.
    pub fn load(&self, key: EndpointKey) -> u64 {
        self.arena.get(key).map_or(0, |e| e.tokens + self.ledger.others(e.tag))
    }

    /// What other instances have in flight.
    pub fn ledger(&mut self) -> &mut Ledger<SocketAddr> {
        &mut self.ledger
    }

    /// Chooses the endpoint with the lowest expected time to answer; paused ones only where there is no other.
    pub fn choose(&self, now: Instant, need: Need<'_>, rng: &mut impl Rng) -> Option<EndpointKey> {
        let mut best: Option<((bool, f64), EndpointKey)> = None;
        // Whether an engine is there that could serve, if not now: then one that is not there is no alternative.
        let mut healthy = false;
        for &key in self.services.get(need.service)? {
            let entry = &self.arena[key];
            let fits = entry.is_open(now) && entry.endpoint.stage == need.stage;
            if !fits || need.tried.contains(&key) {
                continue;
            }
            let paused =
                entry.is_paused(now) || self.is_replaced(entry) || self.ledger.suspected(now, entry.tag);
            healthy |= !paused;
            if entry.is_full(now) {
                continue;
            }
            let in_flight = entry.tokens + self.ledger.others(entry.tag);
            if need.limit.is_some_and(|limit| in_flight > 0 && in_flight + need.tokens + need.spare > limit) {
                continue;
            }
            let rank = (paused, Self::cost(entry, in_flight, now, need, rng));
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, key));
            }
        }
        let (rank, key) = best?;
        let absent = rank.0 && healthy && need.stage == Some(Stage::Decode);
        (!absent).then_some(key)
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
            return entry.expected(now) * f64::from(entry.running + 1) + distance + jitter * 0.002;
        }
        let distance = need.limit.map_or(AWAY_PREFILL, |memory| memory as f64 * AWAY_DECODE);
        in_flight as f64 + if away { distance } else { 0.0 } + jitter * SPREAD
    }
}
