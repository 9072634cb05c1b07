//! Which instance gives orders to engines.
//!
//! Two instances that order the same engine would undo each other's orders, also if a network partition separates them. There is
//! no store in which instances could agree, and each knows of the others only what its own list of seeds says and what it hears.
//! Lists may differ: some are stale.
//!
//! Each instance of a first start has one vote, for the first seed of its list. The settings of a process are fixed, so that the
//! vote is fixed too: nobody needs to collect votes in time, or to give one back. An instance is elected if
//!
//! - it is the first seed of its own list, and the system starts for the first time;
//! - every seed of its list has voted for it;
//! - of every other candidate that it knows, some seed has voted for another.
//!
//! Of two candidates whose lists share an instance, the one that this instance did not vote for is never elected, whatever is
//! lost, late or frozen. Lists without a common instance exclude each other only once one candidate has heard of the other:
//! hence [`SETTLE_TIME`], and hence neither is elected then. If both lists are closed in themselves, so that no instance of one
//! hears of the other, or if a partition or a freeze of the process hides that candidate for longer, both are elected. An order
//! therefore requires that its engine has taken none before, so that an engine takes the orders of one instance only.
//!
//! A process that started later has no vote and takes none over, so that nobody is elected anew after a restart. Where no
//! instance is elected none gives orders, and engines keep their stages.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Time after its start in which a candidate waits to hear of others. Instances that start together hear of each other within
/// half of it.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time after its start in which an instance tells its vote to others, so that reports are short afterwards.
const STATEMENT_TIME: Duration = Duration::from_mins(1);
/// Largest number of seeds in a statement that is believed; the platform names at most three.
const SEEDS_MAX: usize = 16;
/// Most instances whose votes are kept.
const VOTES_MAX: usize = 4096;

/// What an instance of a first start tells others of its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedStatement<P> {
    /// The instance itself.
    pub instance: P,
    /// Its seeds. Of an instance that is no candidate only the first, which it votes for, counts.
    pub seeds: Vec<P>,
}

/// Whether this process gives orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionState<P> {
    /// It never does: it is not the first seed of its list, or not of the first start.
    NoCandidate,
    /// It waits to hear of other candidates.
    Settling,
    /// This seed of its list has not voted.
    SeedUnheard(P),
    /// This seed of its list has voted for another.
    SeedOpposed(P),
    /// This candidate may be elected as well.
    Contended(P),
    /// It gives orders.
    Elected,
}

impl<P> ElectionState<P> {
    /// Name for logs.
    pub const fn text(&self) -> &'static str {
        match self {
            Self::NoCandidate => "no_candidate",
            Self::Settling => "settling",
            Self::SeedUnheard(_) => "seed_unheard",
            Self::SeedOpposed(_) => "seed_opposed",
            Self::Contended(_) => "contended",
            Self::Elected => "elected",
        }
    }

    /// The instance that keeps this one from giving orders.
    pub const fn other(&self) -> Option<&P> {
        match self {
            Self::SeedUnheard(other) | Self::SeedOpposed(other) | Self::Contended(other) => Some(other),
            Self::NoCandidate | Self::Settling | Self::Elected => None,
        }
    }
}

/// The votes that one instance knows; `P` is a control address.
#[derive(Debug)]
pub struct OrderElection<P> {
    /// What this instance states; `None` if it has no vote.
    own: Option<SeedStatement<P>>,
    started: Instant,
    /// Seeds of the instances that have voted: the first is the vote.
    votes: HashMap<P, Vec<P>>,
}

impl<P: Copy + Eq + Hash + Ord> OrderElection<P> {
    /// For a process of the system's first start, at a control address and with these seeds.
    pub fn new(started: Instant, instance: P, seeds: Vec<P>) -> Self {
        let own = (!seeds.is_empty()).then_some(SeedStatement { instance, seeds });
        Self { own, started, votes: HashMap::new() }
    }

    /// For a process that started later, or that has no control address.
    pub fn without_vote(started: Instant) -> Self {
        Self { own: None, started, votes: HashMap::new() }
    }

    /// Whether this instance may be elected.
    pub fn is_candidate(&self) -> bool {
        self.own.as_ref().is_some_and(|own| own.seeds.first() == Some(&own.instance))
    }

    /// What is to be told to others now.
    pub fn statement(&self, now: Instant) -> Option<SeedStatement<P>> {
        let own = self.own.as_ref().filter(|_| now.duration_since(self.started) < STATEMENT_TIME)?;
        let count = if self.is_candidate() { own.seeds.len() } else { 1 };
        Some(SeedStatement { instance: own.instance, seeds: own.seeds.iter().copied().take(count).collect() })
    }

    /// Records what another instance states. The first statement of an instance counts.
    pub fn observe(&mut self, statement: SeedStatement<P>) {
        let SeedStatement { instance, seeds } = statement;
        if seeds.is_empty() || seeds.len() > SEEDS_MAX || self.votes.len() >= VOTES_MAX {
            return;
        }
        if self.own.as_ref().is_none_or(|own| own.instance != instance) {
            self.votes.entry(instance).or_insert(seeds);
        }
    }

    /// Whether this process gives orders, as far as it knows now.
    pub fn state(&self, now: Instant) -> ElectionState<P> {
        let Some(own) = self.own.as_ref().filter(|_| self.is_candidate()) else {
            return ElectionState::NoCandidate;
        };
        for &seed in &own.seeds {
            match self.vote_of(seed) {
                None => return ElectionState::SeedUnheard(seed),
                Some(vote) if vote != own.instance => return ElectionState::SeedOpposed(seed),
                Some(_) => {}
            }
        }
        let rivals = self.votes.iter().filter(|(instance, seeds)| seeds.first() == Some(*instance));
        let possible = rivals.filter(|(rival, seeds)| !self.is_excluded(**rival, seeds));
        if let Some(rival) = possible.map(|(&rival, _)| rival).min() {
            return ElectionState::Contended(rival);
        }
        if now.duration_since(self.started) < SETTLE_TIME {
            return ElectionState::Settling;
        }
        ElectionState::Elected
    }

    /// Whether a candidate with these seeds is never elected.
    fn is_excluded(&self, candidate: P, seeds: &[P]) -> bool {
        seeds.iter().any(|&seed| self.vote_of(seed).is_some_and(|vote| vote != candidate))
    }

    fn vote_of(&self, instance: P) -> Option<P> {
        match &self.own {
            Some(own) if own.instance == instance => own.seeds.first().copied(),
            _ => self.votes.get(&instance)?.first().copied(),
        }
    }
}
