//! Work that other instances have in flight at engines, by their latest reports.
//!
//! Engines report their load late and at a cost, and instances can't write to the store. Instances therefore
//! gossip: each sends all that it has in flight, in tokens by engine, in one datagram, a few times a second
//! while this changes. The next datagram makes up for a lost one. No guarantee depends on the ledger: with a
//! wrong ledger an instance asks an engine that is full, or passes over one that is not.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::failure_timeout;
use crate::freed::{Freed, FreedCapacity};

/// Hash that names an incarnation of an engine in the ledger; a collision makes a choice worse and no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineTag(pub u32);

impl EngineTag {
    /// Tag of the incarnation that started at `born`. Two incarnations under one id have different tags:
    /// otherwise the tokens that others have in flight at the previous one would make the later one look
    /// full.
    pub fn of(id: &str, born: Option<SystemTime>) -> Self {
        let since = born.and_then(|born| born.duration_since(UNIX_EPOCH).ok());
        let millis = since.map_or(0, |since| since.as_millis() as u64);
        Self(hash(tag(id), &millis.to_le_bytes()))
    }
}

/// Short hash of a name (32 bits of FNV-1a, the same on every instance).
pub fn tag(name: &str) -> u32 {
    hash(0x811c_9dc5, name.as_bytes())
}

fn hash(start: u32, bytes: &[u8]) -> u32 {
    let step = |hash: u32, &byte: &u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    bytes.iter().fold(start, step)
}

/// Time for which a report of a suspect endpoint counts; instances that still can't use the endpoint report
/// it again.
const SUSPICION_TTL: Duration = Duration::from_millis(700);
/// Number of instances that must report an endpoint as suspect before it counts as suspected.
const SUSPICION_QUORUM: usize = 2;

/// Time for which a report counts that a decode engine runs a local prefill, about as long as the local
/// prefill of a usual prompt takes.
const LOCAL_PREFILL_TTL: Duration = Duration::from_millis(300);

/// Counts above this are those of a broken sender: no engine has room for so many tokens.
const TOKENS_MAX: u32 = u32::MAX / 2;

/// What an instance has in flight, by its last update.
#[derive(Debug)]
struct PeerWork {
    /// Incarnation of the sender, and sequence number of its last update.
    last_update: (u64, u64),
    received: Instant,
    /// Time without an update after which the sender's work in flight counts as ended: the sender is dead,
    /// frozen or partitioned, and engines stop work whose connection ends.
    failure_timeout: Duration,
    /// Tokens by engine, in the order of the tags; none is 0.
    tokens: Vec<(EngineTag, u32)>,
}

/// What the update of an instance changes in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LedgerChange {
    /// Whether the update was newer than the last one of its incarnation; otherwise it was ignored.
    pub is_new: bool,
    /// Whether the incarnation was not known, or not any more.
    pub is_new_incarnation: bool,
    /// Whether the instance has less in flight at some engine than before.
    pub freed: bool,
    /// Engines whose count was implausible and is ignored.
    pub implausible: usize,
}

/// Work that other instances have in flight; `P` names an instance.
#[derive(Debug)]
pub struct Ledger<P> {
    peers: HashMap<P, PeerWork>,
    totals: HashMap<EngineTag, u64>,
    /// Instances that could not reach an endpoint lately, and when each reported it.
    suspicions: HashMap<EngineTag, HashMap<P, Instant>>,
    /// Decode engines that run a local prefill, and when it was last reported.
    local_prefills: HashMap<EngineTag, Instant>,
    /// Capacity that became free, for this instance's own work as well.
    freed: Freed,
}

impl<P> Default for Ledger<P> {
    fn default() -> Self {
        Self {
            peers: HashMap::new(),
            totals: HashMap::new(),
            suspicions: HashMap::new(),
            local_prefills: HashMap::new(),
            freed: Freed::default(),
        }
    }
}

impl<P: Copy + Eq + std::hash::Hash> Ledger<P> {
    /// Replaces all that an instance has in flight by what its update reports. The sender draws `incarnation`
    /// at random when it starts, and `sequence` grows with each update of that incarnation; an update that is
    /// not newer than the last one of the same incarnation is ignored.
    ///
    /// Two incarnations have no order. A clock would give one, but an instance that restarts after its clock
    /// went back would then be ignored until the clock has caught up, and others would take engines for empty
    /// that it has filled. An update of a previous incarnation that arrives after one of the next incarnation
    /// counts until the next update arrives, a moment later.
    ///
    /// Only engines whose tokens differ from those of the previous update are touched: most reports repeat what is
    /// known.
    pub fn update(
        &mut self,
        now: Instant,
        from: P,
        (incarnation, sequence): (u64, u64),
        tokens: impl IntoIterator<Item = (EngineTag, u32)>,
    ) -> LedgerChange {
        let last_update = self.peers.get(&from).map(|work| work.last_update);
        if last_update.is_some_and(|last| last.0 == incarnation && last.1 >= sequence) {
            return LedgerChange::default();
        }
        let mut implausible = 0;
        let plausible = tokens.into_iter().filter(|&(_, count)| {
            implausible += usize::from(count > TOKENS_MAX);
            count <= TOKENS_MAX
        });
        let tokens = by_engine(plausible);
        let work = self.peers.entry(from).or_insert_with(|| PeerWork {
            last_update: (incarnation, sequence),
            received: now,
            failure_timeout: Duration::ZERO,
            tokens: Vec::new(),
        });
        let mut freed = false;
        for (engine, before, after) in differences(&work.tokens, &tokens) {
            if after < before {
                freed = true;
                self.freed.observe(now, engine, u64::from(before - after));
            }
            replace(&mut self.totals, engine, before, after);
        }
        work.last_update = (incarnation, sequence);
        work.received = now;
        work.failure_timeout = failure_timeout(Duration::ZERO);
        work.tokens = tokens;
        let is_new_incarnation = last_update.is_none_or(|last| last.0 != incarnation);
        LedgerChange { is_new: true, is_new_incarnation, freed, implausible }
    }

    /// Records that work of this instance has ended at an engine.
    pub(crate) fn observe_freed(&mut self, now: Instant, engine: EngineTag, tokens: u64) {
        self.freed.observe(now, engine, tokens);
    }

    /// What became free at some engines in the last second.
    pub(crate) fn freed(&mut self, now: Instant, engines: impl Iterator<Item = EngineTag>) -> FreedCapacity {
        self.freed.sum(now, engines)
    }

    /// Sets the longest time until an instance sends its next update.
    pub fn set_gossip_interval(&mut self, from: P, interval: Duration) {
        if let Some(work) = self.peers.get_mut(&from) {
            work.failure_timeout = failure_timeout(interval);
        }
    }

    /// Records the report of an instance that it could not use an endpoint lately.
    pub fn report_suspect(&mut self, now: Instant, from: P, tag: EngineTag) {
        self.suspicions.entry(tag).or_default().insert(from, now);
    }

    /// Records the report of an instance that a decode engine runs a local prefill for it.
    pub fn report_local_prefill(&mut self, now: Instant, tag: EngineTag) {
        self.local_prefills.insert(tag, now);
    }

    /// Whether a decode engine runs a local prefill for another instance.
    pub fn has_local_prefill(&self, now: Instant, tag: EngineTag) -> bool {
        self.local_prefills.get(&tag).is_some_and(|&at| now.duration_since(at) < LOCAL_PREFILL_TTL)
    }

    /// Whether enough instances could not use an endpoint lately. A single one may itself be partitioned.
    pub fn is_suspected(&self, now: Instant, tag: EngineTag) -> bool {
        self.suspicions.get(&tag).is_some_and(|reports| {
            reports.values().filter(|&&at| now.duration_since(at) < SUSPICION_TTL).count() >= SUSPICION_QUORUM
        })
    }

    /// Number of endpoints that enough instances could not use lately.
    pub(crate) fn suspected_count(&self, now: Instant) -> usize {
        self.suspicions.keys().filter(|&&tag| self.is_suspected(now, tag)).count()
    }

    /// Removes expired reports and unresponsive instances.
    pub fn expire(&mut self, now: Instant) {
        self.suspicions.retain(|_, reports| {
            reports.retain(|_, at| now.duration_since(*at) < SUSPICION_TTL);
            !reports.is_empty()
        });
        self.local_prefills.retain(|_, at| now.duration_since(*at) < LOCAL_PREFILL_TTL);
        self.freed.expire(now);
        let unresponsive = |work: &PeerWork| now.duration_since(work.received) > work.failure_timeout;
        let expired: Vec<P> =
            self.peers.iter().filter(|(_, work)| unresponsive(work)).map(|(&p, _)| p).collect();
        for peer in expired {
            self.drop_peer(peer);
        }
    }

    /// Number of engines at which other instances have tokens in flight.
    pub fn len(&self) -> usize {
        self.totals.len()
    }

    /// Whether other instances have no tokens in flight.
    pub fn is_empty(&self) -> bool {
        self.totals.is_empty()
    }

    /// Tokens that other instances have in flight at an engine.
    pub fn in_flight(&self, tag: EngineTag) -> u64 {
        self.totals.get(&tag).copied().unwrap_or(0)
    }

    fn drop_peer(&mut self, from: P) {
        let Some(work) = self.peers.remove(&from) else { return };
        for (engine, count) in work.tokens {
            replace(&mut self.totals, engine, count, 0);
        }
    }
}

/// Replaces what an instance has in flight at an engine in the sum of all instances. Engines without tokens are not
/// kept: incarnations of engines end all the time.
fn replace(totals: &mut HashMap<EngineTag, u64>, engine: EngineTag, before: u32, after: u32) {
    let total = totals.entry(engine).or_default();
    *total = total.saturating_sub(u64::from(before)) + u64::from(after);
    if *total == 0 {
        totals.remove(&engine);
    }
}

/// Sorts a report by engine; of several counts for one engine, the last is kept.
fn by_engine(tokens: impl IntoIterator<Item = (EngineTag, u32)>) -> Vec<(EngineTag, u32)> {
    let mut tokens: Vec<(EngineTag, u32)> = tokens.into_iter().collect();
    tokens.sort_by_key(|&(engine, _)| engine);
    tokens.dedup_by(|next, kept| {
        let repeated = next.0 == kept.0;
        if repeated {
            kept.1 = next.1;
        }
        repeated
    });
    tokens.retain(|&(_, count)| count > 0);
    tokens
}

/// Engines whose tokens differ between two reports, with both counts.
fn differences<'a>(
    previous: &'a [(EngineTag, u32)],
    next: &'a [(EngineTag, u32)],
) -> impl Iterator<Item = (EngineTag, u32, u32)> + 'a {
    let (mut previous, mut next) = (previous.iter().copied().peekable(), next.iter().copied().peekable());
    let pairs = std::iter::from_fn(move || {
        let engine = match (previous.peek(), next.peek()) {
            (Some(before), Some(after)) => before.0.min(after.0),
            (Some(only), None) | (None, Some(only)) => only.0,
            (None, None) => return None,
        };
        let before = previous.next_if(|&(tag, _)| tag == engine).map_or(0, |(_, count)| count);
        let after = next.next_if(|&(tag, _)| tag == engine).map_or(0, |(_, count)| count);
        Some((engine, before, after))
    });
    pairs.filter(|&(_, before, after)| before != after)
}
