//! Limits of teams across many instances that do not coordinate.
//!
//! Each instance keeps an account for each team that has a limit. An account is a token bucket: its level
//! refills at the limit's rate up to the limit's burst, and the units of admitted requests are taken from it.
//! The [`QuotaMode`] determines how the accounts of different instances relate to each other:
//!
//! - [`QuotaMode::Parts`]: they are independent. Each instance admits its share of the limit. The limit is
//!   never exceeded, but callers are spread unevenly. Instances therefore refuse requests of teams that are
//!   below their limit, and a small team's share may be less than one request.
//! - [`QuotaMode::Shared`]: each instance reports to the others what it has admitted, and subtracts what the
//!   others report from its own level. An instance learns of admissions elsewhere one update late. A team
//!   that floods therefore exceeds its limit once, by what it requests in that time; the level falls below
//!   zero by as much, and the refill makes up for it.
//!
//! Invariant: in any window a team gets no more than its limit and a tolerance, whichever instances can reach
//! each other. Three cases endanger this invariant where accounts are shared:
//!
//! - A peer from which no update arrives may have failed, or it may be behind a network partition and admit
//!   requests as before. Both sides of a partition must add up to one limit. An instance reserves what an
//!   unresponsive peer may admit, an equal share of the rate, for as long as it remembers the peer, and the
//!   burst shrinks to the share of the reachable instances. Once the peer is reachable again, only what it
//!   has admitted beyond the reserve is taken from the level. The shares are equal because both sides must
//!   arrive at the same division without communicating.
//! - An instance that starts does not know what was admitted before. If all instances start at once, none of
//!   them knows. The level therefore begins at a fraction of the burst. An instance that has received nothing
//!   from any other failure domain since its start may have started during a partition, and assumes that the
//!   other domains are as large as its own.
//! - Updates are lost, duplicated and reordered. They therefore carry totals instead of differences, and the
//!   sender's incarnation, from whose start the totals count.
//!
//! Few teams are near their limits. Instances report nothing about other teams, which keeps updates small
//! however many teams there are. `UNREPORTED_FRACTION` bounds how much that hides.
//!
//! Near its limit a team's more urgent requests take precedence, see `precedence`. That only ever refuses more
//! than the level does, and therefore does not affect the invariant.

mod account;
mod precedence;

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::time::Duration;

use account::{Account, UnresponsivePeer};
pub use account::{LimitExceeded, TeamSpending};
pub use precedence::RequestClass;

use crate::directory::{Limit, TeamTag};

/// A peer that was not observed for this time is unresponsive, unless it states a longer gossip interval. A peer
/// whose update was lost counts as unresponsive for a moment, which costs its share of the rate for as long. A
/// network partition that is noticed late costs a full rate for as long.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(700);
/// The same as a multiple of the peer's gossip interval, where that is longer: among hundreds of instances an
/// update to each takes seconds. A failure domain from which nobody was observed for [`FAILURE_TIMEOUT`] is
/// unresponsive as a whole, whatever its instances state, so that a partition is noticed early all the same.
const FAILURE_INTERVALS: f64 = 1.25;
/// Longest gossip interval that a peer may state.
const INTERVAL_MAX: Duration = Duration::from_secs(10);
/// How long an unresponsive peer is remembered while others of its failure domain are reachable: it was
/// removed or replaced without notice. A peer whose entire domain is unresponsive is remembered until the
/// domain is reachable again, since a network partition may last for hours, in which the other side admits
/// its share.
const MISSED_PEER_RETENTION: Duration = Duration::from_mins(10);
/// Time after the start in which failure domains from which nothing was received yet are assumed to be as
/// large as the own domain.
const UNSEEN_DOMAIN_TIMEOUT: Duration = Duration::from_mins(10);
/// Time after a start or a reset in which the first report of a peer's spending for a team is not charged:
/// the level began without knowledge of what peers had admitted, and is only lowered to the peer's level.
const WARM_UP: Duration = Duration::from_secs(5);
/// Largest number of teams in one update.
const MAX_REPORTED_TEAMS: usize = 64;
/// An instance that did not check its accounts for this long was frozen. Everything that others admitted
/// meanwhile arrives at once after that, while the refill of the same time is lost beyond the burst. Charged
/// in full, those admissions would leave a debt of seconds.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(1);

/// How the accounts of different instances relate to each other; the module documentation compares the modes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaMode {
    /// Each instance has an equal share of each limit.
    Parts,
    /// Instances report to each other what they admit.
    Shared,
}

/// What a starting instance may assume about earlier admissions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartKind {
    /// The system starts for the first time: nothing was admitted.
    First,
    /// Other instances may have admitted any amount.
    Subsequent,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    /// Number of the current incarnation, drawn at random at each start.
    incarnation: u64,
    /// The incarnation before the current one, whose last updates may arrive late.
    previous_incarnation: Option<u64>,
    /// Number of the last update.
    sequence: u64,
    /// When the peer was last observed.
    observed_at: Duration,
    /// Tag of the peer's failure domain.
    domain: u32,
    /// Whether the peer has announced its shutdown; nothing is reserved for it.
    draining: bool,
    /// Number of instances that the peer remembers, itself included.
    known_instances: u32,
    /// Time without an observation after which the peer is unresponsive.
    timeout: Duration,
    /// Whether nobody of the peer's failure domain was observed lately.
    domain_silent: bool,
    /// Time up to which the reserve covers the peer; `None` while it is reachable.
    reserved_until: Option<Duration>,
    /// Time for which the peer was unresponsive while others of its failure domain were reachable.
    missed_for: Duration,
}

impl Peer {
    fn is_unresponsive(&self, now: Duration) -> bool {
        self.domain_silent || now.saturating_sub(self.observed_at) > self.timeout
    }
}

/// Accounts of all teams that have a limit, as one instance keeps them. `P` identifies a peer. Times are
/// measured from the start of the machine and include suspended time: limits go on refilling while an
/// instance is frozen.
#[derive(Debug)]
pub struct Quotas<P> {
    mode: QuotaMode,
    start_kind: StartKind,
    /// When this process started.
    process_started: Duration,
    /// Number of instances in the list of instances, where there is a list.
    listed_instances: u32,
    /// When the accounts last started without knowledge of what others had admitted.
    accounts_reset: Duration,
    /// When the accounts were last checked, to detect a freeze.
    accounts_checked: Duration,
    /// When peers were last checked for unresponsive ones.
    peers_checked: Duration,
    /// Tag of this instance's failure domain.
    domain: u32,
    /// Number of failure domains of the deployment; 0 where it is unknown.
    domain_count: u32,
    peers: HashMap<P, Peer>,
    accounts: HashMap<TeamTag, Account<P>>,
    /// Share of each limit that the reachable instances have together; with [`QuotaMode::Parts`], the share
    /// of this instance.
    reachable_share: f64,
    /// Number of instances among which limits are divided.
    instances: u32,
    /// Whether less urgent requests leave a margin to more urgent ones.
    precedence: bool,
}

impl<P: Copy + Eq + Hash> Quotas<P> {
    /// Creates quotas without any account. `domain` is the tag of this instance's failure domain,
    /// `domain_count` the number of domains of the deployment, 0 where it is unknown.
    pub fn new(
        now: Duration,
        mode: QuotaMode,
        start_kind: StartKind,
        (domain, domain_count): (u32, u32),
    ) -> Self {
        let (peers, accounts) = (HashMap::new(), HashMap::new());
        Self {
            mode,
            start_kind,
            process_started: now,
            listed_instances: 1,
            accounts_reset: now,
            accounts_checked: now,
            peers_checked: now,
            domain,
            domain_count,
            peers,
            accounts,
            reachable_share: 1.0,
            instances: 1,
            precedence: true,
        }
    }

    /// Sets whether a team's more urgent requests take precedence near its limit; on by default.
    pub fn set_precedence(&mut self, on: bool) {
        self.precedence = on;
    }

    /// Applies these limits from now on. A raised burst can be used at once.
    pub fn set_limits(&mut self, now: Duration, limits: impl IntoIterator<Item = (TeamTag, Limit)>) {
        let mut before = std::mem::take(&mut self.accounts);
        let first = before.is_empty();
        for (team, limit) in limits {
            let account = match before.remove(&team) {
                Some(mut account) => {
                    account.refill(now, self.reachable_share);
                    account.change_limit(limit);
                    account
                }
                None => self.open_account(now, limit, first),
            };
            self.accounts.insert(team, account);
        }
    }

    fn open_account(&self, now: Duration, limit: Limit, first: bool) -> Account<P> {
        let knows_spending = match self.start_kind {
            StartKind::First => true,
            StartKind::Subsequent => !first || now.saturating_sub(self.process_started) >= WARM_UP,
        };
        let mut account = Account::new(now, limit);
        if !knows_spending {
            account.reset();
        }
        account
    }

    /// Admits a request of `cost` units if the team's limit allows it. Requests of teams without a limit are
    /// always admitted. Near the limit, a request that is less urgent than others of its team and service is
    /// admitted with a probability; `draw` is a random number in 0..1.
    ///
    /// # Errors
    /// The team is at its limit, or what is left is reserved for more urgent requests.
    pub fn admit(
        &mut self,
        now: Duration,
        team: TeamTag,
        cost: u64,
        class: RequestClass,
        draw: f64,
    ) -> Result<(), LimitExceeded> {
        let Some(account) = self.accounts.get_mut(&team) else { return Ok(()) };
        let reachable = f64::from(self.instances) * self.reachable_share;
        account.refill(now, self.reachable_share);
        let (cost, share) = (cost as f64, self.reachable_share);
        let margin =
            if self.precedence { account.request_margin(now, class, cost, share, reachable) } else { 0.0 };
        account.admit(now, cost, share, reachable, margin, draw)
    }

    /// Refunds the cost of an admitted request that certainly has not run.
    pub fn refund(&mut self, now: Duration, team: TeamTag, cost: u64) {
        let Some(account) = self.accounts.get_mut(&team) else { return };
        account.refill(now, self.reachable_share);
        account.refund(now, cost as f64);
    }

    /// Resets the accounts, as after a start, if this instance was frozen.
    fn reset_after_freeze(&mut self, now: Duration) {
        let frozen =
            now.saturating_sub(std::mem::replace(&mut self.accounts_checked, now)) > FREEZE_THRESHOLD;
        if !frozen {
            return;
        }
        self.accounts_reset = now;
        for account in self.accounts.values_mut() {
            account.refill(now, self.reachable_share);
            account.reset();
        }
    }

    /// Checks for unresponsive peers. To be called several times a second.
    pub fn tick(&mut self, now: Duration) {
        self.reset_after_freeze(now);
        self.find_silent_domains(now);
        self.forget_missing_peers(now);
        let (unresponsive_peers, reachable) = self.unresponsive_peers(now);
        self.instances = self.count_instances(now).max(reachable);
        let instance_share = 1.0 / f64::from(self.instances);
        let reachable_share = match self.mode {
            QuotaMode::Parts => instance_share,
            QuotaMode::Shared => f64::from(reachable) * instance_share,
        };
        for account in self.accounts.values_mut() {
            account.refill(now, self.reachable_share);
            if self.mode == QuotaMode::Shared {
                account.reserve_for(&unresponsive_peers, instance_share, reachable_share);
            }
            account.record_level(reachable_share);
        }
        self.reachable_share = reachable_share;
    }

    /// Marks the peers of failure domains from which nobody was observed lately.
    fn find_silent_domains(&mut self, now: Duration) {
        let mut observed: HashMap<u32, Duration> = HashMap::new();
        for peer in self.peers.values() {
            let latest = observed.entry(peer.domain).or_default();
            *latest = (*latest).max(peer.observed_at);
        }
        for peer in self.peers.values_mut() {
            let latest = observed.get(&peer.domain).copied().unwrap_or_default();
            peer.domain_silent = now.saturating_sub(latest) > FAILURE_TIMEOUT;
        }
    }

    /// Forgets unresponsive peers that had announced their shutdown, and those that were missed for long.
    fn forget_missing_peers(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.peers_checked, now));
        let reachable = self.peers.values().filter(|peer| !peer.is_unresponsive(now));
        let present: HashSet<u32> = reachable.map(|peer| peer.domain).collect();
        self.peers.retain(|_, peer| {
            if !peer.is_unresponsive(now) {
                return true;
            }
            if present.contains(&peer.domain) {
                peer.missed_for += elapsed;
            }
            !peer.draining && peer.missed_for < MISSED_PEER_RETENTION
        });
    }

    /// Returns the unresponsive peers, and the number of reachable instances, this one included.
    fn unresponsive_peers(&mut self, now: Duration) -> (Vec<UnresponsivePeer<P>>, u32) {
        let mut reachable = 1;
        let mut unresponsive_peers = Vec::new();
        for (&id, peer) in &mut self.peers {
            if !peer.is_unresponsive(now) {
                reachable += 1;
                continue;
            }
            let from = peer.reserved_until.replace(now);
            let elapsed = now.saturating_sub(from.unwrap_or(peer.observed_at));
            unresponsive_peers.push(UnresponsivePeer { id, elapsed, newly_unresponsive: from.is_none() });
        }
        (unresponsive_peers, reachable)
    }

    /// Counts the instances among which limits are divided: all that are remembered here or by a reachable
    /// peer, or that are listed. For each failure domain from which nothing was received since the start, as
    /// many are added as the other domains have on average.
    pub fn count_instances(&self, now: Duration) -> u32 {
        let reachable = self.peers.values().filter(|peer| !peer.is_unresponsive(now));
        let reported = reachable.map(|peer| peer.known_instances).max().unwrap_or(0);
        let known = self.known_instances().max(reported).max(self.listed_instances);
        if self.start_kind == StartKind::First
            || now.saturating_sub(self.process_started) > UNSEEN_DOMAIN_TIMEOUT
        {
            return known;
        }
        let domains: HashSet<u32> =
            self.peers.values().map(|peer| peer.domain).chain([self.domain]).collect();
        known.max(self.known_instances() * self.domain_count / domains.len() as u32)
    }

    /// Number of instances that are remembered here, this one included.
    pub fn known_instances(&self) -> u32 {
        self.peers.values().filter(|peer| !peer.draining).count() as u32 + 1
    }

    /// Sets the least number of instances, this one included, whether reachable or not.
    pub fn set_listed_instances(&mut self, instances: u32) {
        self.listed_instances = instances;
    }

    /// Records that a peer is alive in this incarnation, by the report of other instances or by other means
    /// than an update: most peers have nothing to report. All peers that are only observed in this way belong to
    /// the failure domain of this instance.
    pub fn observe_alive(&mut self, now: Duration, peer: P, incarnation: u64) {
        let known = self.peers.entry(peer).or_insert(Peer {
            incarnation,
            previous_incarnation: None,
            sequence: 0,
            observed_at: now,
            domain: self.domain,
            draining: false,
            known_instances: 1,
            timeout: FAILURE_TIMEOUT,
            domain_silent: false,
            reserved_until: None,
            missed_for: Duration::ZERO,
        });
        if known.incarnation != incarnation && known.previous_incarnation != Some(incarnation) {
            // The shutdown that the previous incarnation announced, and its numbers, are not those of this one.
            known.previous_incarnation = Some(known.incarnation);
            (known.incarnation, known.sequence, known.draining) = (incarnation, 0, false);
            self.accounts.values_mut().for_each(|account| account.forget_peer(peer));
        }
        known.observed_at = now;
        known.domain_silent = false;
        known.reserved_until = None;
        known.missed_for = Duration::ZERO;
    }

    /// Records that an update arrived from a peer. Returns whether the update is new, so that its spending
    /// may be merged.
    pub fn receive_update(&mut self, now: Duration, peer: P, header: UpdateHeader) -> bool {
        self.reset_after_freeze(now);
        let UpdateHeader { incarnation, sequence, domain, interval, draining, known_instances } = header;
        let before = self.peers.get(&peer).copied();
        let previous_incarnation = match before {
            Some(known) if known.incarnation == incarnation && known.sequence >= sequence => return false,
            Some(known) if known.previous_incarnation == Some(incarnation) => return false,
            Some(known) if known.incarnation != incarnation => {
                for account in self.accounts.values_mut() {
                    account.forget_peer(peer);
                }
                Some(known.incarnation)
            }
            Some(known) => known.previous_incarnation,
            None => None,
        };
        let updated = Peer {
            incarnation,
            previous_incarnation,
            sequence,
            observed_at: now,
            domain,
            draining,
            known_instances,
            timeout: FAILURE_TIMEOUT.max(interval.min(INTERVAL_MAX).mul_f64(FAILURE_INTERVALS)),
            domain_silent: false,
            reserved_until: None,
            missed_for: Duration::ZERO,
        };
        self.peers.insert(peer, updated);
        true
    }

    /// Merges what a peer has admitted, by an update that was [received](Quotas::receive_update).
    pub fn merge_spending(&mut self, now: Duration, peer: P, spent: impl IntoIterator<Item = TeamSpending>) {
        if self.mode == QuotaMode::Parts {
            return;
        }
        let warming_up = now.saturating_sub(self.accounts_reset) < WARM_UP;
        for spending in spent {
            if let Some(account) = self.accounts.get_mut(&spending.team) {
                account.refill(now, self.reachable_share);
                account.merge(peer, spending, warming_up);
            }
        }
    }

    /// Returns what to report to the peers now.
    pub fn team_spending(&mut self, now: Duration) -> Vec<TeamSpending> {
        if self.mode == QuotaMode::Parts {
            return Vec::new();
        }
        let (reachable_share, instances) = (self.reachable_share, f64::from(self.instances));
        let reports = self.accounts.iter_mut().filter_map(|(&team, account)| {
            account.refill(now, reachable_share);
            account.report(now, team, reachable_share, instances)
        });
        let mut reports: Vec<TeamSpending> = reports.collect();
        if reports.len() > MAX_REPORTED_TEAMS {
            reports.sort_by_key(|spending| std::cmp::Reverse(spending.recent));
            reports.truncate(MAX_REPORTED_TEAMS);
        }
        reports
    }

    /// Units that this instance admitted for a team since the start; `None` where the team has no limit.
    pub fn admitted(&self, team: TeamTag) -> Option<i64> {
        self.accounts.get(&team).map(Account::total)
    }

    /// Units that may be admitted for a team now; `None` where the team has no limit.
    pub fn level(&self, team: TeamTag) -> Option<f64> {
        self.accounts.get(&team).map(Account::level)
    }

    /// Share of each limit that is divided among the reachable instances; 1 unless some peers are
    /// unresponsive.
    pub fn reachable_share(&self) -> f64 {
        self.reachable_share
    }
}

/// What an update says about its sender.
#[derive(Debug, Clone, Copy)]
pub struct UpdateHeader {
    /// Number of the sender's incarnation, drawn at random at each start.
    pub incarnation: u64,
    /// Number of the update, increasing within an incarnation.
    pub sequence: u64,
    /// Tag of the sender's failure domain.
    pub domain: u32,
    /// Longest time until the sender's next update to this instance; zero where it is short.
    pub interval: Duration,
    /// Whether the sender is shutting down.
    pub draining: bool,
    /// [`Quotas::known_instances`] of the sender.
    pub known_instances: u32,
}
