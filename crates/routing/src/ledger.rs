//! What other instances have in flight at engines, as they last said.
//!
//! Engines tell their load late and at a price, and the store cannot be written. So instances tell one another: each
//! sends all that it has in flight, in tokens by engine, in one datagram, a few times a second while it changes. A
//! lost datagram is made good by the next one. Nothing that must hold rests on it: a wrong ledger makes an instance
//! ask an engine that is full, or pass over one that is not.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::failure_timeout;

/// One start of an engine in the ledger, by a hash; a collision makes a choice worse and no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineTag(pub u32);

impl EngineTag {
    /// Tag of the start that began at `born`. It differs between two starts under one id: what others have in flight at the
    /// former one would make the later one look full.
    pub fn of(id: &str, born: Option<SystemTime>) -> Self {
        let since = born.and_then(|born| born.duration_since(UNIX_EPOCH).ok());
        let millis = since.map_or(0, |since| since.as_millis() as u64);
        Self(hash(tag(id), &millis.to_le_bytes()))
    }
}

/// A short stand-in for a name (32 bits of FNV-1a, the same on every instance).
pub fn tag(name: &str) -> u32 {
    hash(0x811c_9dc5, name.as_bytes())
}

fn hash(start: u32, bytes: &[u8]) -> u32 {
    let step = |hash: u32, &byte: &u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    bytes.iter().fold(start, step)
}

/// How long a suspicion counts; instances that still cannot use the endpoint say so again.
const SUSPICION: Duration = Duration::from_millis(700);
/// Instances that must say so.
const SUSPECTING: usize = 2;

/// How long an instance's word counts that a decode engine reads a prompt for it; about what a usual prompt takes there.
const READING: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Account {
    /// Life of the sender, and number of its last digest.
    order: (u64, u64),
    heard: Instant,
    /// Silence after which what it had in flight counts as ended: it is dead, frozen or cut off, and engines stop work whose
    /// connection ends.
    silence: Duration,
    tokens: HashMap<EngineTag, u32>,
}

/// What others have in flight; `P` names an instance.
#[derive(Debug)]
pub struct Ledger<P> {
    accounts: HashMap<P, Account>,
    totals: HashMap<EngineTag, u64>,
    /// Instances that could not reach an endpoint lately, and when each said so.
    suspicions: HashMap<EngineTag, HashMap<P, Instant>>,
    /// Decode engines that read a prompt themselves, and when that was last said.
    reads: HashMap<EngineTag, Instant>,
}

impl<P> Default for Ledger<P> {
    fn default() -> Self {
        Self {
            accounts: HashMap::new(),
            totals: HashMap::new(),
            suspicions: HashMap::new(),
            reads: HashMap::new(),
        }
    }
}

impl<P: Copy + Eq + std::hash::Hash> Ledger<P> {
    /// Takes over all that an instance says it has in flight. `life` is drawn at random at its start and `sequence` grows
    /// with each digest of that life; what is older than the last is ignored.
    ///
    /// Two lives have no order. A clock would give one, but an instance that starts again after its clock went back would
    /// then not be heard until the clock has caught up, and others would take engines for empty that it has filled. A
    /// digest of a former life that arrives behind one of the next counts until the next one comes, a moment later.
    ///
    /// Says whether this life was not heard of before, or not lately.
    pub fn update(
        &mut self,
        now: Instant,
        from: P,
        (life, sequence): (u64, u64),
        tokens: HashMap<EngineTag, u32>,
    ) -> bool {
        let outdated = |a: &Account| a.order.0 == life && a.order.1 >= sequence;
        if self.accounts.get(&from).is_some_and(outdated) {
            return false;
        }
        let begins = self.accounts.get(&from).is_none_or(|a| a.order.0 != life);
        self.drop_account(from);
        for (&tag, &count) in &tokens {
            *self.totals.entry(tag).or_default() += u64::from(count);
        }
        let silence = failure_timeout(Duration::ZERO);
        self.accounts.insert(from, Account { order: (life, sequence), heard: now, silence, tokens });
        begins
    }

    /// An instance says after which time it tells something again at the latest.
    pub fn set_gossip_interval(&mut self, from: P, next: Duration) {
        if let Some(account) = self.accounts.get_mut(&from) {
            account.silence = failure_timeout(next);
        }
    }

    /// An instance says that it could not use an endpoint lately.
    pub fn report_suspect(&mut self, now: Instant, from: P, tag: EngineTag) {
        self.suspicions.entry(tag).or_default().insert(from, now);
    }

    /// An instance says that a decode engine reads a prompt for it.
    pub fn report_local_prefill(&mut self, now: Instant, tag: EngineTag) {
        self.reads.insert(tag, now);
    }

    /// Whether a decode engine reads a prompt for another instance.
    pub fn has_local_prefill(&self, now: Instant, tag: EngineTag) -> bool {
        self.reads.get(&tag).is_some_and(|&at| now.duration_since(at) < READING)
    }

    /// Whether enough instances could not use an endpoint lately. One alone may be cut off itself.
    pub fn is_suspected(&self, now: Instant, tag: EngineTag) -> bool {
        self.suspicions.get(&tag).is_some_and(|said| {
            said.values().filter(|&&at| now.duration_since(at) < SUSPICION).count() >= SUSPECTING
        })
    }

    /// Forgets instances that have been silent.
    pub fn expire(&mut self, now: Instant) {
        self.suspicions.retain(|_, said| {
            said.retain(|_, at| now.duration_since(*at) < SUSPICION);
            !said.is_empty()
        });
        self.reads.retain(|_, at| now.duration_since(*at) < READING);
        let silent = |a: &Account| now.duration_since(a.heard) > a.silence;
        let gone: Vec<P> = self.accounts.iter().filter(|(_, a)| silent(a)).map(|(&p, _)| p).collect();
        for peer in gone {
            self.drop_account(peer);
        }
    }

    /// Tokens that others have in flight at an engine.
    pub fn in_flight(&self, tag: EngineTag) -> u64 {
        self.totals.get(&tag).copied().unwrap_or(0)
    }

    fn drop_account(&mut self, from: P) {
        let Some(account) = self.accounts.remove(&from) else { return };
        for (tag, count) in account.tokens {
            if let Some(total) = self.totals.get_mut(&tag) {
                *total = total.saturating_sub(u64::from(count));
            }
        }
    }
}
