//! Which instances of a failure domain read the platform's store, and for how long the others rely on their
//! updates.
//!
//! Calls to the store are counted over all instances, and each change of the list wakes every instance that
//! watches it: with some thirty instances in a domain, each change would be read thirty times. So two
//! instances of a domain read the store and send updates to the others at once. No coordinator chooses the
//! two, and the instances need not agree on them. Each instance takes those with the lowest addresses among
//! the peers that it has observed lately. Two views may differ for a moment; the number of readers is then
//! one higher or lower.
//!
//! The store may be restored from a backup ([`Era`]). A response of an older era than the known one is
//! ignored. A response of a newer era invalidates the known revisions, so that the store is read completely
//! again. An update of a newer era makes its receiver read the store; the update itself is not applied, since
//! the changes between the two eras were sent to no instance.
//!
//! No guarantee depends on who reads. An update carries the revision up to which its sender knows the store,
//! and how long ago the store itself confirmed this. An instance reads the store itself as soon as its
//! knowledge has not been confirmed for [`Freshness::limit`], whatever updates it received and whichever
//! peers are unresponsive, dead, partitioned or slow. Only the age counts, so that an update that is old,
//! duplicated or out of order can make nothing worse. The age is measured by a clock that counts the time in
//! which a machine is suspended. A response of the store that may have lain unread while its reader was
//! frozen counts from the moment of the request ([`FreezeDetector`]).

use std::time::Duration;

/// Instances of a domain that read the store: one may fail without the others having to read.
const READERS: usize = 2;
/// Peers of the same domain from which on not every instance reads. With fewer peers, two instances that read
/// often make as many calls as all instances that read seldom.
const SHARING_MIN_PEERS: usize = 6;
/// Time after the first start of the whole system in which instances discover one another before they watch
/// the store.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Longest time until an instance watches the store if it has not observed the others of its domain by then.
const SETTLE_TIME_MAX: Duration = Duration::from_secs(5);
/// Peers of all domains from which on an instance is sure to discover some in its own domain.
const MANY_PEERS: usize = 4 * SHARING_MIN_PEERS;
/// Fraction of the shortest bound after which knowledge of the store must be confirmed again. The rest is for
/// the call to the store itself, which may be slow, and for a second attempt.
const LIMIT_FRACTION: f64 = 0.65;
/// Fraction of the shortest bound that an instance waits after a change before it asks for the next.
const PAUSE_FRACTION: f64 = 0.3;
/// Fraction of the shortest bound for which the watch of a store reader waits. With the pause after a change
/// it stays under the time for which peers rely on the last store update, so that they do not ask the store
/// while their reader is reachable.
const READER_WAIT_FRACTION: f64 = 0.25;
/// Fraction of the shortest bound after the last confirmation at which the watch of an instance that reads for itself
/// ends.
const CONFIRM_FRACTION: f64 = 0.55;
/// Shortest wait of such a watch, as a fraction of the bound.
const MIN_WAIT_FRACTION: f64 = 0.1;
/// Fraction of the shortest bound after the end of its wait at which a response is overdue.
const OVERDUE_FRACTION: f64 = 0.15;
/// Fraction of the shortest bound for which a response may stop arriving.
const STALL_FRACTION: f64 = 0.25;
/// Time between two ticks after which the process counts as having been frozen; several times their usual
/// distance.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(1200);

/// Where an instance gets updates of the store from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum UpdateSource {
    /// From the store, for itself only.
    #[default]
    Alone,
    /// From the store, for itself and its peers.
    Reader,
    /// From peers that read it.
    Peers,
}

impl UpdateSource {
    /// The source of the instance at address `own`, which has observed these peers of its domain lately.
    pub fn of<P: Ord>(own: &P, peers: impl Iterator<Item = P>) -> Self {
        let (mut count, mut lower) = (0, 0);
        for peer in peers {
            count += 1;
            lower += usize::from(peer < *own);
        }
        match lower {
            _ if count < SHARING_MIN_PEERS => Self::Alone,
            0..READERS => Self::Reader,
            _ => Self::Peers,
        }
    }

    /// Whether an instance that started `elapsed` ago, with the whole system, knows by now whether it is a
    /// reader; `peers` is the number of peers that it knows, in any domain.
    ///
    /// Hundreds of instances that start together discover one another through a few of them, which takes
    /// seconds. If an instance knows few peers, there are few. If it knows none, or many of other domains,
    /// those of its own domain are still to be discovered.
    pub fn is_settled(self, elapsed: Duration, peers: usize) -> bool {
        let few = (1..MANY_PEERS).contains(&peers);
        elapsed >= SETTLE_TIME && (self != Self::Alone || few || elapsed >= SETTLE_TIME_MAX)
    }

    /// Name for logs.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Alone => "alone",
            Self::Reader => "reader",
            Self::Peers => "peers",
        }
    }
}

/// Era of the store. A new era begins each time that the store is restored from a backup, which is some
/// seconds old. What was written since the backup is lost, and its revisions are assigned again, so that a
/// revision is only valid within its era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Era(Option<u64>);

/// The era of a response or an update, compared with the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraOrder {
    /// The same, or one of them is not known.
    Same,
    /// The store was restored since: the known revisions are not valid any more.
    Newer,
    /// From before the store was restored; it says nothing about the present.
    Older,
}

impl Era {
    /// The era that a response carries, if it carries one.
    pub const fn new(number: Option<u64>) -> Self {
        Self(number)
    }

    /// Its number, to send to others.
    pub const fn number(self) -> Option<u64> {
        self.0
    }

    /// Compares another era with this one, which is known.
    pub fn compare(self, other: Self) -> EraOrder {
        match (self.0, other.0) {
            (Some(known), Some(other)) if other > known => EraOrder::Newer,
            (Some(known), Some(other)) if other < known => EraOrder::Older,
            (Some(_) | None, Some(_) | None) => EraOrder::Same,
        }
    }

    /// The later of both.
    #[must_use]
    pub fn later(self, other: Self) -> Self {
        Self(self.0.max(other.0))
    }
}

/// What an update means to an instance that receives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateEffect {
    /// Changes that are to be applied.
    Changes,
    /// Nothing new; the knowledge of the receiver is confirmed.
    Confirmed,
    /// Changes between the known revision and the update are missing: the store must be read.
    Gap,
}

impl UpdateEffect {
    /// Classifies an update about the changes after `after` up to `revision`; `known` is the revision that is
    /// known already. `complete` says whether the update holds these changes.
    pub const fn of(known: u64, after: u64, revision: u64, complete: bool) -> Self {
        if revision <= known {
            Self::Confirmed
        } else if after <= known && complete {
            Self::Changes
        } else {
            Self::Gap
        }
    }
}

/// Whether an instance that relies on its peers must read something itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReadNeed {
    /// It need not.
    #[default]
    No,
    /// Its knowledge was not confirmed for as long as it may go unconfirmed.
    Due,
    /// Changes up to this revision are missing.
    Gap(u64),
}

impl ReadNeed {
    /// Adds missing changes up to a revision to those that are missing already.
    #[must_use]
    pub fn with_gap(self, revision: u64) -> Self {
        match self {
            Self::Gap(before) => Self::Gap(before.max(revision)),
            Self::No | Self::Due => Self::Gap(revision),
        }
    }

    /// Whether the missing changes are known by now. The instance may have received a snapshot together with
    /// the next update, all of whose changes the snapshot contains already.
    pub const fn is_filled(self, known: u64) -> bool {
        matches!(self, Self::Gap(revision) if known >= revision)
    }
}

/// When the store last confirmed the knowledge of an instance. Times are since the start of the machine,
/// suspension included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    limit: Duration,
    confirmed: Duration,
}

impl Freshness {
    /// Starts unconfirmed; `bound` is the shortest time within which a change must take effect.
    pub fn new(bound: Duration) -> Self {
        Self { limit: bound.mul_f64(LIMIT_FRACTION), confirmed: Duration::ZERO }
    }

    /// Longest time for which the knowledge may go unconfirmed.
    pub const fn limit(&self) -> Duration {
        self.limit
    }

    /// Records that the knowledge was complete at a time.
    pub fn confirm(&mut self, at: Duration) {
        self.confirmed = self.confirmed.max(at);
    }

    /// When the knowledge was last confirmed.
    pub const fn confirmed(&self) -> Duration {
        self.confirmed
    }

    /// How long ago the knowledge was confirmed.
    pub const fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed)
    }

    /// How long ago an entry that is found missing now may have been removed: at most since the knowledge was
    /// last confirmed. If that is longer ago than the limit, the store was unavailable, and the time of the
    /// removal is unknown; the entry then counts as removed now, since many entries that lapsed meanwhile are
    /// written again in a moment.
    pub fn missing_for(&self, now: Duration) -> Duration {
        let age = self.age(now);
        if age <= self.limit { age } else { Duration::ZERO }
    }

    /// How long the knowledge may still go unconfirmed; `None` if the store must be read.
    pub fn remaining(&self, now: Duration) -> Option<Duration> {
        self.limit.checked_sub(self.age(now)).filter(|left| !left.is_zero())
    }
}

/// Times of the calls to the store, by which a change takes effect within its bound even if the connection to the store
/// goes dead at any moment.
///
/// After its last confirmation an instance pauses, watches, and asks over a new connection when the response is overdue.
/// All three together take seven tenths of the bound. The rest is for opening the new connection, and for a response.
#[derive(Debug, Clone, Copy)]
pub struct ReadTimes {
    bound: Duration,
}

impl ReadTimes {
    /// `bound` is the shortest time within which a change must take effect.
    pub const fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// How long to wait after a change for further ones to accumulate.
    pub fn pause(&self) -> Duration {
        self.bound.mul_f64(PAUSE_FRACTION)
    }

    /// How long a watch waits at the store, by an instance that gets updates from `source` and whose knowledge was
    /// confirmed `unconfirmed` ago.
    pub fn watch_wait(&self, source: UpdateSource, unconfirmed: Duration) -> Duration {
        match source {
            UpdateSource::Alone => {
                let left = self.bound.mul_f64(CONFIRM_FRACTION).saturating_sub(unconfirmed);
                left.max(self.bound.mul_f64(MIN_WAIT_FRACTION))
            }
            UpdateSource::Reader => self.bound.mul_f64(READER_WAIT_FRACTION),
            UpdateSource::Peers => Duration::ZERO,
        }
    }

    /// Time beyond its wait after which a call's response is overdue.
    pub fn overdue(&self) -> Duration {
        self.bound.mul_f64(OVERDUE_FRACTION)
    }

    /// Longest gap between two bytes of a response.
    pub fn stall(&self) -> Duration {
        self.bound.mul_f64(STALL_FRACTION)
    }
}

/// Regular ticks of a process, by which it notices that it was frozen.
#[derive(Debug, Clone, Copy)]
pub struct FreezeDetector {
    last: Duration,
    /// When the process last continued after it had been frozen.
    resumed: Option<Duration>,
}

impl FreezeDetector {
    /// Starts with a first tick.
    pub const fn new(now: Duration) -> Self {
        Self { last: now, resumed: None }
    }

    /// Records a tick.
    pub fn tick(&mut self, now: Duration) {
        if self.is_late(now) {
            self.resumed = Some(now);
        }
        self.last = now;
    }

    fn is_late(&self, now: Duration) -> bool {
        now.saturating_sub(self.last) > FREEZE_THRESHOLD
    }

    /// Whether the process may have been frozen between a time and now. Its ticks and its other work continue
    /// in any order after that, so that an overdue tick counts as well.
    pub fn frozen_since(&self, since: Duration, now: Duration) -> bool {
        self.is_late(now) || self.resumed.is_some_and(|resumed| resumed >= since)
    }
}
