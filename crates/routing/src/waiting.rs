//! Queue of the generations of this instance that wait for a decode engine, one for each service.
//!
//! The order is: priority; within a priority the requests that can still be on time; then those that came back
//! at the time that they were told; then the earliest end of the wait. Each time that the queue is served, the
//! requests are offered engines in this order, so that a new arrival doesn't overtake one of the same rank.
//!
//! A request that finds no room holds room for itself:
//! - Less urgent requests leave the tokens that it needs at every engine, since it is to be served by the first
//!   engine that has room.
//! - Requests of its priority leave the one engine alone that has the most room. Otherwise small requests would
//!   find room before a large one for as long as any wait; if every engine were kept, memory would stay unused
//!   wherever all requests have one priority.
//!
//! One turn in twenty goes to the request that has waited longest and finds room, whatever its rank and whatever
//! others hold, so that the least urgent ones are served while more urgent ones always wait.

mod room;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use self::room::RoomAhead;
pub use self::room::{Fit, Room};
use crate::{FreedCapacity, Priority, WaitPolicy};

/// Turns of which one goes to the request that has waited longest.
const TURNS: u32 = 20;
/// Longest time between two turns while requests wait; also the longest time after which a queue is to be
/// served although nothing is known to have changed.
pub const SERVE_INTERVAL: Duration = Duration::from_millis(30);

slotmap::new_key_type! {
    /// A waiting generation.
    pub struct WaiterKey;
}

/// A generation that waits. `S` is what a search for an engine needs to know of the request.
#[derive(Debug)]
pub struct Waiting<S> {
    /// The service.
    pub service: Arc<str>,
    /// Priority among the requests of the service.
    pub priority: Priority,
    /// When the wait ends, and whether the request can still be on time.
    pub policy: WaitPolicy,
    /// Whether the caller came back at the time that it was told.
    pub is_promised: bool,
    /// When the wait began.
    pub since: Instant,
    /// Tokens that the request needs.
    pub tokens: u64,
    /// Parameters of the search.
    pub search: S,
}

/// Why a request was not offered an engine when the queue was last served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// The queue was not served since the request joined it or was refused by an engine.
    Unknown,
    /// No engine had room.
    Memory,
    /// Another reason, such as prefill engines that would not finish in time.
    Other,
}

impl Obstacle {
    /// This obstacle if it is known, else another one.
    fn or(self, other: Self) -> Self {
        if self == Self::Unknown { other } else { self }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// Gets an offer as soon as there is room.
    Ready(Obstacle),
    /// An engine refused the request, which gets no offer before this time.
    Paused(Instant),
    /// Has an offer.
    Offered,
}

#[derive(Debug)]
struct Entry<S> {
    waiting: Waiting<S>,
    rank: Rank,
    standing: Standing,
}

impl<S> Entry<S> {
    fn is_ready(&self, now: Instant) -> bool {
        match self.standing {
            Standing::Ready(_) => true,
            Standing::Paused(until) => now >= until,
            Standing::Offered => false,
        }
    }

    fn obstacle(&self) -> Obstacle {
        match self.standing {
            Standing::Ready(obstacle) => obstacle,
            Standing::Paused(_) | Standing::Offered => Obstacle::Unknown,
        }
    }
}

/// Place in the queue; the smaller one is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Priority, whether it is late, whether it has no promise, and the end of the wait; `None` if requests
    /// are not ordered.
    class: Option<(Priority, bool, bool, Instant)>,
    sequence: u64,
}

/// The waiting generations of a service.
#[derive(Debug)]
struct Queue {
    order: BTreeSet<(Rank, WaiterKey)>,
    /// Turns since the request that had waited longest was served.
    turns: u32,
    last_turn: Instant,
}

/// The waiting generations of all services.
#[derive(Debug)]
pub struct Waiters<S> {
    arena: SlotMap<WaiterKey, Entry<S>>,
    queues: HashMap<Arc<str>, Queue>,
    ordered: bool,
    next_sequence: u64,
}

impl<S> Waiters<S> {
    /// Creates empty queues. Unless they are `ordered`, each request is served as it comes, and none holds
    /// room.
    pub fn new(ordered: bool) -> Self {
        Self { arena: SlotMap::with_key(), queues: HashMap::new(), ordered, next_sequence: 0 }
    }

    /// Adds a generation to the queue of its service.
    pub fn push(&mut self, waiting: Waiting<S>) -> WaiterKey {
        let WaitPolicy { until, late } = waiting.policy;
        let class = self.ordered.then_some((waiting.priority, late, !waiting.is_promised, until));
        let rank = Rank { class, sequence: self.next_sequence };
        self.next_sequence += 1;
        let (service, since) = (Arc::clone(&waiting.service), waiting.since);
        let key = self.arena.insert(Entry { waiting, rank, standing: Standing::Ready(Obstacle::Unknown) });
        let empty = || Queue { order: BTreeSet::new(), turns: 0, last_turn: since };
        self.queues.entry(service).or_insert_with(empty).order.insert((rank, key));
        key
    }

    /// Removes a generation that is served or was given up.
    pub fn remove(&mut self, key: WaiterKey) -> Option<Waiting<S>> {
        let entry = self.arena.remove(key)?;
        if let Some(queue) = self.queues.get_mut(&entry.waiting.service) {
            queue.order.remove(&(entry.rank, key));
            if queue.order.is_empty() {
                self.queues.remove(&entry.waiting.service);
            }
        }
        Some(entry.waiting)
    }

    /// Returns a generation that an engine refused to its position. It gets no offer before `until`, or
    /// before its wait ends if that is earlier. Returns when the pause ends.
    pub fn postpone(&mut self, key: WaiterKey, until: Instant) -> Instant {
        let Some(entry) = self.arena.get_mut(key) else { return until };
        let until = until.min(entry.waiting.policy.until);
        entry.standing = Standing::Paused(until);
        until
    }

    /// Tokens that a generation needs, and the parameters of its search.
    pub fn search_mut(&mut self, key: WaiterKey) -> Option<(u64, &mut S)> {
        self.arena.get_mut(key).map(|entry| (entry.waiting.tokens, &mut entry.waiting.search))
    }

    /// Serves the queue of a service: returns the generations that are offered an engine now. Each keeps its
    /// position until it is removed or postponed.
    ///
    /// `fits` looks for an engine that has the room which a generation needs and must leave. An engine that it
    /// returns must count as occupied from then on.
    pub fn offers<E: Copy>(
        &mut self,
        now: Instant,
        service: &str,
        mut fits: impl FnMut(&Waiting<S>, Room<E>) -> Fit<E>,
    ) -> Vec<(WaiterKey, E)> {
        let mut offers = Vec::new();
        let Some(queue) = self.queues.get_mut(service) else { return offers };
        let mut ahead = RoomAhead::new(self.ordered);
        let (mut waits, mut turn_tried) = (false, !self.ordered);
        for &(_, key) in &queue.order {
            if queue.turns >= TURNS - 1 && !std::mem::replace(&mut turn_tried, true) {
                let offer = oldest(&mut self.arena, &queue.order, now, &mut fits);
                if offer.is_some() {
                    (queue.turns, turn_tried) = (0, false);
                }
                offers.extend(offer);
            }
            let entry = &mut self.arena[key];
            ahead.enter(entry.waiting.priority);
            if entry.standing == Standing::Offered {
                continue;
            }
            waits = true;
            if !entry.is_ready(now) {
                ahead.hold(&entry.waiting, None);
                continue;
            }
            let room = ahead.room(&entry.waiting);
            let fit = if ahead.is_refused(&entry.waiting, room) {
                Fit::Full { nearest: None }
            } else {
                fits(&entry.waiting, room)
            };
            let obstacle = match fit {
                Fit::Engine(engine) => {
                    entry.standing = Standing::Offered;
                    offers.push((key, engine));
                    queue.turns += 1;
                    continue;
                }
                Fit::Full { nearest } => {
                    ahead.refuse(&entry.waiting, room, nearest);
                    Obstacle::Memory
                }
                Fit::Blocked => Obstacle::Other,
            };
            entry.standing = Standing::Ready(obstacle);
        }
        if !offers.is_empty() {
            queue.last_turn = now;
        } else if waits && now.saturating_duration_since(queue.last_turn) >= SERVE_INTERVAL {
            // A large request at the head may wait for long, and nobody else is served meanwhile.
            queue.last_turn = now;
            queue.turns = queue.turns.saturating_add(1);
        }
        offers
    }

    /// Why a generation has no offer.
    pub fn obstacle(&self, key: WaiterKey) -> Obstacle {
        self.arena.get(key).map_or(Obstacle::Unknown, Entry::obstacle)
    }

    /// Requests of the same service that are served before a generation, if it waits, and their tokens.
    pub fn ahead(&self, key: WaiterKey) -> (usize, u64) {
        let Some(entry) = self.arena.get(key) else { return (0, 0) };
        let Some(queue) = self.queues.get(&entry.waiting.service) else { return (0, 0) };
        let before = queue.order.range(..(entry.rank, key)).map(|&(_, other)| &self.arena[other]);
        let waiting = before.filter(|other| other.standing != Standing::Offered);
        waiting.fold((0, 0), |(count, tokens): (usize, u64), other| {
            (count + 1, tokens.saturating_add(other.waiting.tokens))
        })
    }

    /// Whether no request of the same service waits before a generation; without order none does.
    pub fn is_first(&self, key: WaiterKey) -> bool {
        if !self.ordered {
            return true;
        }
        let Some(entry) = self.arena.get(key) else { return false };
        let Some(queue) = self.queues.get(&entry.waiting.service) else { return false };
        let mut before = queue.order.range(..(entry.rank, key));
        before.all(|&(_, other)| self.arena[other].standing == Standing::Offered)
    }

    /// Whether a generation is known to have no chance: by what became `freed` in the last second, the tokens
    /// that wait for memory ahead of it alone take longer than its wait.
    ///
    /// Only requests whose obstacle is memory count. While others wait, such as for prefill engines, decode
    /// engines have room although little of their memory becomes free. A request that was not considered since
    /// it joined counts like the one before it.
    pub fn is_hopeless(&self, now: Instant, key: WaiterKey, freed: FreedCapacity) -> bool {
        let Some(entry) = self.arena.get(key).filter(|_| self.ordered) else { return false };
        let Some(queue) = self.queues.get(&entry.waiting.service) else { return false };
        let (mut obstacle, mut ahead) = (Obstacle::Unknown, 0_u64);
        for &(_, other) in queue.order.range(..(entry.rank, key)) {
            let other = &self.arena[other];
            obstacle = other.obstacle().or(obstacle);
            if obstacle == Obstacle::Memory && other.standing != Standing::Offered {
                ahead = ahead.saturating_add(other.waiting.tokens);
            }
        }
        let wait = entry.waiting.policy.until.saturating_duration_since(now);
        let is_short = || freed.at_most(wait).is_some_and(|most| ahead as f64 > most);
        entry.obstacle().or(obstacle) == Obstacle::Memory && is_short()
    }

    /// Services with waiting generations.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.queues.keys()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }
}

/// Offers an engine to the generation that has waited longest, among those that find room.
fn oldest<S, E: Copy>(
    arena: &mut SlotMap<WaiterKey, Entry<S>>,
    order: &BTreeSet<(Rank, WaiterKey)>,
    now: Instant,
    fits: &mut impl FnMut(&Waiting<S>, Room<E>) -> Fit<E>,
) -> Option<(WaiterKey, E)> {
    let ready = order.iter().map(|&(_, key)| key).filter(|&key| arena[key].is_ready(now));
    let mut keys: Vec<_> = ready.collect();
    keys.sort_unstable_by_key(|&key| (arena[key].waiting.since, arena[key].rank.sequence));
    let mut passed = RoomAhead::new(false);
    for key in keys {
        let entry = &mut arena[key];
        let room = passed.room(&entry.waiting);
        if passed.is_refused(&entry.waiting, room) {
            continue;
        }
        match fits(&entry.waiting, room) {
            Fit::Engine(engine) => {
                entry.standing = Standing::Offered;
                return Some((key, engine));
            }
            Fit::Full { nearest } => passed.refuse(&entry.waiting, room, nearest),
            Fit::Blocked => {}
        }
    }
    None
}
