//! Limits of teams over many instances that agree on nothing.
//!
//! Each instance keeps an account for each team that has a limit: a level that refills with the limit's rate up to its
//! burst, and from which admitted requests are taken. What the instances' accounts have to do with one another is the
//! [`QuotaMode`]:
//!
//! - [`QuotaMode::Parts`]: nothing. Each instance admits its part of the limit. Never over it, but callers are spread unevenly, so
//!   that instances refuse callers of teams that are below their limit, and a small team's part may be less than one request.
//! - [`QuotaMode::Shared`]: each instance tells the others what it has admitted, and takes what others tell from its own level.
//!   What others admit is known one telling late, so that a team that floods goes over its limit by what it asks in that
//!   time, once; the level falls below zero by as much and makes up for it.
//!
//! What must hold is that a team never gets more than its limit and a tolerance in any window, whoever can hear whom.
//! Three things stand in the way of a shared account:
//!
//! - An instance that falls silent may be dead, or cut off and admit as before. Both sides of a cut must add up to one
//!   limit: what a silent peer may admit, an equal part of the rate, is set aside for as long as it is remembered, and the
//!   burst shrinks to the part of those that are heard. When it is heard again only what it has admitted beyond that is taken
//!   from the level. Equal parts, because the two sides must come to the same division without a word.
//! - An instance that starts knows nothing of what was admitted before. If all start at once, nobody does: the level then
//!   begins with a part of the burst. An instance that has heard no other failure domain since its start may have
//!   started inside a cut, and takes them to be as large as its own.
//! - Tellings are lost, doubled and overtake one another. Totals are told and not differences, with the start of the sender
//!   that they count from.
//!
//! Few teams are near their limits. Of the others nothing is told, which keeps tellings small however many teams there are;
//! `QUIET` says how much that hides.

mod account;

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::time::Duration;

use account::{Account, Silence};
pub use account::{LimitExceeded, TeamSpending};

use crate::directory::{Limit, TeamTag};

/// Silence after which a peer counts as cut off: over the longest pause between two tellings. One whose telling was lost is
/// taken for cut off for a moment, which costs its part of the rate for as long; a late notice of a cut costs a rate.
const SILENT: Duration = Duration::from_millis(700);
/// How long a silent peer is remembered while others of its failure domain are heard: it was removed or replaced without a
/// word. Where its whole domain is silent it is remembered until the domain is heard again, since a cut may last for hours
/// and the other side admits its part all the while.
const MEMORY: Duration = Duration::from_mins(10);
/// Time after the start for which failure domains that were not heard yet count as being as large as the own one.
const ASSUMED: Duration = Duration::from_mins(10);
/// Time after the start in which what peers admitted earlier is not taken from a level that began without it.
const NEWCOMER: Duration = Duration::from_secs(5);
/// Most teams that are told of at a time.
const TELLING_MAX: usize = 64;
/// Time without a look at the accounts after which an instance stood still. What others admitted meanwhile comes at once
/// then, and without what the accounts would have lost by being full it would be a debt of seconds.
const STALL: Duration = Duration::from_secs(1);

/// How the accounts of different instances hang together; the module's head weighs them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaMode {
    /// Each instance has an equal part of each limit.
    Parts,
    /// Instances tell one another what they admit.
    Shared,
}

/// What a starting instance may assume of the time before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartKind {
    /// The whole system starts for the first time: nothing was admitted.
    First,
    /// Others may have admitted anything.
    Subsequent,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    /// Drawn at random at each of its starts.
    life: u64,
    /// The life before, whose last tellings may come late.
    former: Option<u64>,
    /// Number of its last telling.
    sequence: u64,
    /// When it was last heard.
    at: Duration,
    /// Tag of its failure domain.
    domain: u32,
    /// It has said that it ends; nothing is set aside for it.
    leaving: bool,
    /// Instances that it remembers itself, with itself.
    instances: u32,
    /// Until when reserves for it are accounted for; `None` while it is heard.
    reserved: Option<Duration>,
    /// Time for which it has been missed: silent while others of its failure domain are heard.
    missed: Duration,
}

impl Peer {
    fn is_silent(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) > SILENT
    }
}

/// Accounts of all teams that have a limit, as one instance keeps them. `P` tells peers apart. Times are those since the
/// machine started, suspended time included: limits go on refilling while an instance stands still.
#[derive(Debug)]
pub struct Quotas<P> {
    way: QuotaMode,
    start: StartKind,
    /// When this process began.
    begun: Duration,
    /// Instances that are listed, where a list says so.
    listed: u32,
    /// When the accounts began without knowing what others had admitted.
    started: Duration,
    /// When they were last looked at.
    looked: Duration,
    /// When silent peers were last looked for.
    reviewed: Duration,
    /// Tag of this instance's failure domain.
    domain: u32,
    /// Failure domains of the deployment; 0 where that is not known.
    domains: u32,
    peers: HashMap<P, Peer>,
    accounts: HashMap<TeamTag, Account<P>>,
    /// Part of each limit that this side of a cut has.
    part: f64,
    /// Instances among which limits are divided.
    instances: u32,
}

impl<P: Copy + Eq + Hash> Quotas<P> {
    /// No accounts yet. `domain` is the tag of this instance's failure domain, `domains` how many the deployment has, 0 where
    /// that is not known.
    pub fn new(now: Duration, way: QuotaMode, start: StartKind, (domain, domains): (u32, u32)) -> Self {
        let (peers, accounts) = (HashMap::new(), HashMap::new());
        Self {
            way,
            start,
            begun: now,
            listed: 1,
            started: now,
            looked: now,
            reviewed: now,
            domain,
            domains,
            peers,
            accounts,
            part: 1.0,
            instances: 1,
        }
    }

    /// These limits are in force from now on. A raised burst can be used at once.
    pub fn set_limits(&mut self, now: Duration, limits: impl IntoIterator<Item = (TeamTag, Limit)>) {
        let mut before = std::mem::take(&mut self.accounts);
        let first = before.is_empty();
        for (team, limit) in limits {
            let account = match before.remove(&team) {
                Some(mut account) => {
                    account.refill(now, self.part);
                    account.change_limit(limit);
                    account
                }
                None => self.open(now, limit, first),
            };
            self.accounts.insert(team, account);
        }
    }

    fn open(&self, now: Duration, limit: Limit, first: bool) -> Account<P> {
        let knows = match self.start {
            StartKind::First => true,
            StartKind::Subsequent => !first || now.saturating_sub(self.begun) >= NEWCOMER,
        };
        let mut account = Account::new(now, limit);
        if !knows {
            account.begin_anew();
        }
        account
    }

    /// Admits a request that costs so many units, if the team's limit allows it. Teams without a limit always do.
    ///
    /// # Errors
    /// The team is at its limit.
    pub fn admit(&mut self, now: Duration, team: TeamTag, cost: u64) -> Result<(), LimitExceeded> {
        let Some(account) = self.accounts.get_mut(&team) else { return Ok(()) };
        let heard = f64::from(self.instances) * self.part;
        account.refill(now, self.part);
        account.admit(now, cost as f64, self.part, heard)
    }

    /// Gives back what a request was admitted with that surely has not run.
    pub fn refund(&mut self, now: Duration, team: TeamTag, cost: u64) {
        let Some(account) = self.accounts.get_mut(&team) else { return };
        account.refill(now, self.part);
        account.give_back(now, cost as f64);
    }

    /// Begins anew, as after a start, if this instance stood still.
    fn look(&mut self, now: Duration) {
        let stalled = now.saturating_sub(std::mem::replace(&mut self.looked, now)) > STALL;
        if !stalled {
            return;
        }
        self.started = now;
        for account in self.accounts.values_mut() {
            account.refill(now, self.part);
            account.begin_anew();
        }
    }

    /// Looks for peers that have fallen silent. To be called several times a second.
    pub fn tick(&mut self, now: Duration) {
        self.look(now);
        self.forget_missed(now);
        let (silences, heard) = self.silences(now);
        self.instances = self.count_instances(now).max(heard);
        let each = 1.0 / f64::from(self.instances);
        let part = match self.way {
            QuotaMode::Parts => each,
            QuotaMode::Shared => f64::from(heard) * each,
        };
        for account in self.accounts.values_mut() {
            account.refill(now, self.part);
            if self.way == QuotaMode::Shared {
                account.set_aside(&silences, each, part);
            }
            account.note_level(part);
        }
        self.part = part;
    }

    /// Forgets peers that have left, and those that were missed for long.
    fn forget_missed(&mut self, now: Duration) {
        let passed = now.saturating_sub(std::mem::replace(&mut self.reviewed, now));
        let heard = self.peers.values().filter(|peer| !peer.is_silent(now));
        let present: HashSet<u32> = heard.map(|peer| peer.domain).collect();
        self.peers.retain(|_, peer| {
            if !peer.is_silent(now) {
                return true;
            }
            if present.contains(&peer.domain) {
                peer.missed += passed;
            }
            !peer.leaving && peer.missed < MEMORY
        });
    }

    /// Peers that are silent, and how many instances are heard, this one included.
    fn silences(&mut self, now: Duration) -> (Vec<Silence<P>>, u32) {
        let mut heard = 1;
        let mut silences = Vec::new();
        for (&id, peer) in &mut self.peers {
            if !peer.is_silent(now) {
                heard += 1;
                continue;
            }
            let from = peer.reserved.replace(now);
            let time = now.saturating_sub(from.unwrap_or(peer.at));
            silences.push(Silence { peer: id, time, new: from.is_none() });
        }
        (silences, heard)
    }

    /// Instances among which limits are divided: all that are remembered here, or by a peer that is heard; and for each
    /// failure domain of which nothing was heard since the start as many as the others have.
    fn count_instances(&self, now: Duration) -> u32 {
        let heard = self.peers.values().filter(|peer| !peer.is_silent(now));
        let told = heard.map(|peer| peer.instances).max().unwrap_or(0);
        let known = self.known_instances().max(told).max(self.listed);
        if self.start == StartKind::First || now.saturating_sub(self.begun) > ASSUMED {
            return known;
        }
        let domains: HashSet<u32> =
            self.peers.values().map(|peer| peer.domain).chain([self.domain]).collect();
        known.max(self.known_instances() * self.domains / domains.len() as u32)
    }

    /// Instances that are remembered here, with this one.
    pub fn known_instances(&self) -> u32 {
        self.peers.values().filter(|peer| !peer.leaving).count() as u32 + 1
    }

    /// So many instances there are at least, this one included, heard or not.
    pub fn set_listed_instances(&mut self, instances: u32) {
        self.listed = instances;
    }

    /// A peer is alive in this life, as others say or as it shows by other means than a telling: most have nothing to tell.
    pub fn observe_alive(&mut self, now: Duration, peer: P, life: u64) {
        let known = self.peers.entry(peer).or_insert(Peer {
            life,
            former: None,
            sequence: 0,
            at: now,
            domain: self.domain,
            leaving: false,
            instances: 1,
            reserved: None,
            missed: Duration::ZERO,
        });
        known.at = now;
        known.reserved = None;
        known.missed = Duration::ZERO;
    }

    /// A peer was heard. Says whether its telling is new, so that its spending may be taken over.
    pub fn receive_update(&mut self, now: Duration, peer: P, hearing: UpdateHeader) -> bool {
        self.look(now);
        let UpdateHeader {
            incarnation: life,
            sequence,
            domain,
            draining: leaving,
            known_instances: instances,
        } = hearing;
        let before = self.peers.get(&peer).copied();
        let former = match before {
            Some(known) if known.life == life && known.sequence >= sequence => return false,
            Some(known) if known.former == Some(life) => return false,
            Some(known) if known.life != life => {
                for account in self.accounts.values_mut() {
                    account.forget(peer);
                }
                Some(known.life)
            }
            Some(known) => known.former,
            None => None,
        };
        let heard = Peer {
            life,
            former,
            sequence,
            at: now,
            domain,
            leaving,
            instances,
            reserved: None,
            missed: Duration::ZERO,
        };
        self.peers.insert(peer, heard);
        true
    }

    /// Merges what a peer says that it has admitted, after its update was [received](Quotas::receive_update).
    pub fn merge_spending(&mut self, now: Duration, peer: P, spent: impl IntoIterator<Item = TeamSpending>) {
        if self.way == QuotaMode::Parts {
            return;
        }
        let newcomer = now.saturating_sub(self.started) < NEWCOMER;
        for spending in spent {
            if let Some(account) = self.accounts.get_mut(&spending.team) {
                account.refill(now, self.part);
                account.told(peer, spending, newcomer);
            }
        }
    }

    /// What others are to be told now.
    pub fn team_spending(&mut self, now: Duration) -> Vec<TeamSpending> {
        if self.way == QuotaMode::Parts {
            return Vec::new();
        }
        let (part, everyone) = (self.part, f64::from(self.instances));
        let news = self.accounts.iter_mut().filter_map(|(&team, account)| {
            account.refill(now, part);
            account.news(now, team, part, everyone)
        });
        let mut news: Vec<TeamSpending> = news.collect();
        if news.len() > TELLING_MAX {
            news.sort_by_key(|spending| std::cmp::Reverse(spending.recent));
            news.truncate(TELLING_MAX);
        }
        news
    }

    /// What was admitted here for a team since the start, in units; `None` where it has no limit.
    pub fn admitted(&self, team: TeamTag) -> Option<i64> {
        self.accounts.get(&team).map(Account::total)
    }

    /// Units that may be admitted for a team now; `None` where it has no limit.
    pub fn level(&self, team: TeamTag) -> Option<f64> {
        self.accounts.get(&team).map(Account::level)
    }

    /// Part of each limit that is divided among those who are heard; 1 unless some have fallen silent.
    pub fn reachable_share(&self) -> f64 {
        self.part
    }
}

/// What a telling says of its sender.
#[derive(Debug, Clone, Copy)]
pub struct UpdateHeader {
    /// Drawn at random at each of its starts.
    pub incarnation: u64,
    /// Grows with each update of that incarnation.
    pub sequence: u64,
    /// Tag of its failure domain.
    pub domain: u32,
    /// Whether it is about to end.
    pub draining: bool,
    /// [`Quotas::known_instances`] of the sender.
    pub known_instances: u32,
}
