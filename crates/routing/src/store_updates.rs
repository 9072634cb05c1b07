//! Who of a failure domain reads the platform's store, and for how long the others go by what they are told.
//!
//! Calls to the store are counted over all instances, and each change of the list wakes whoever watches it: with some
//! thirty instances in a domain, each change is read thirty times. So two of a domain read and tell the others at once.
//! Nobody chooses the two and nobody has to agree on them: each instance takes those with the lowest addresses of the peers
//! that it has heard lately. Two views may differ for a moment; then one more reads, or one fewer.
//!
//! The store may come back from a copy ([`Era`]). An answer of an older era than the one known is passed over, and one of a
//! newer era ends what is known of revisions, so that the store is read whole again. A telling of a newer era makes its
//! hearer ask; it is not believed itself, since what lies between the two eras was told to nobody.
//!
//! Nothing that must hold rests on who reads. A telling says up to which revision its sender knows the store and how long
//! ago the store itself confirmed that. An instance asks the store itself as soon as what it knows has not been confirmed
//! for [`Freshness::limit`], whatever it was told and whoever is silent, dead, cut off or late. Only the age counts, so that
//! a telling that is old, comes twice or out of order can make nothing worse. The age is measured by a clock that counts the
//! time in which a machine is suspended, and an answer of the store that may have lain unread while its reader stood still
//! counts from the moment at which it was asked for ([`StallDetector`]).

use std::time::Duration;

/// Instances of a domain that read the store: one may die without the others having to ask.
const READERS: usize = 2;
/// Peers of the same domain from which on not everybody reads. With fewer, two that read often make as many calls as all
/// that read seldom.
const SHARING: usize = 6;
/// Time after the first start of the whole system in which instances hear of one another before they watch the store.
const SETTLING: Duration = Duration::from_secs(2);
/// The same at most, where an instance has not heard the others of its domain by then.
const SETTLING_MAX: Duration = Duration::from_secs(5);
/// Peers of all domains from which on some of the own domain are sure to come.
const MANY: usize = 4 * SHARING;
/// Part of the shortest bound after which what is known must be confirmed again. The rest is for the call to the store
/// itself, which may be slow, and for its repetition.
const LIMIT_PART: f64 = 0.65;
/// Time between two beats of a process that counts as having stood still; several times their usual distance.
const STALL: Duration = Duration::from_millis(1200);

/// Where an instance gets news of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum UpdateSource {
    /// From the store, for itself.
    #[default]
    Alone,
    /// From the store, for itself and its peers.
    Reader,
    /// From peers that read it.
    Peers,
}

impl UpdateSource {
    /// What an instance at `own` does, with these peers of its domain heard lately.
    pub fn of<P: Ord>(own: &P, peers: impl Iterator<Item = P>) -> Self {
        let (mut count, mut lower) = (0, 0);
        for peer in peers {
            count += 1;
            lower += usize::from(peer < *own);
        }
        match lower {
            _ if count < SHARING => Self::Alone,
            0..READERS => Self::Reader,
            _ => Self::Peers,
        }
    }

    /// Whether an instance that started so long ago, with the whole system, knows by now whether it is a reader; `peers` is how
    /// many it knows, in any domain.
    ///
    /// Hundreds that start together hear of one another through a few of them, which takes seconds. Where few are known there
    /// are few; where none is, or many of other domains are, those of its own are still to come.
    pub fn is_settled(self, passed: Duration, peers: usize) -> bool {
        let few = (1..MANY).contains(&peers);
        passed >= SETTLING && (self != Self::Alone || few || passed >= SETTLING_MAX)
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

/// Eras of the store: each time that it comes back from a copy that is some seconds old a new one begins. What was written
/// since the copy is gone, and revisions are given out again, so that a revision means something within its era only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Era(Option<u64>);

/// The era of an answer or a telling, beside the one that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraOrder {
    /// The same, or one of them says nothing of it.
    Same,
    /// The store has gone back since: what is known of revisions means nothing any more.
    Newer,
    /// It was made before the store went back; it says nothing of the present.
    Older,
}

impl Era {
    /// The era that an answer tells, if it does.
    pub const fn new(number: Option<u64>) -> Self {
        Self(number)
    }

    /// Its number, to tell others.
    pub const fn number(self) -> Option<u64> {
        self.0
    }

    /// Judges another era beside this one, which is known.
    pub fn compare(self, other: Self) -> EraOrder {
        match (self.0, other.0) {
            (Some(known), Some(told)) if told > known => EraOrder::Newer,
            (Some(known), Some(told)) if told < known => EraOrder::Older,
            (Some(_) | None, Some(_) | None) => EraOrder::Same,
        }
    }

    /// The later of both.
    #[must_use]
    pub fn later(self, other: Self) -> Self {
        Self(self.0.max(other.0))
    }
}

/// What a telling means to an instance that hears it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateEffect {
    /// Changes that are to be taken over.
    Changes,
    /// Nothing new; what is known is confirmed.
    Confirmed,
    /// Something between what is known and the telling is missing: the store must be asked.
    Gap,
}

impl UpdateEffect {
    /// Judges a telling of the changes after `after` up to `revision`; `known` is the revision that is known already.
    /// `complete` says whether the telling holds these changes.
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

/// Whether an instance that goes by its peers must ask for something itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReadNeed {
    /// It need not.
    #[default]
    No,
    /// What is known was not confirmed for as long as it may go unconfirmed.
    Due,
    /// Something up to this revision is missing.
    Gap(u64),
}

impl ReadNeed {
    /// Something up to a revision is missing, after what is missing already.
    #[must_use]
    pub fn with_gap(self, revision: u64) -> Self {
        match self {
            Self::Gap(before) => Self::Gap(before.max(revision)),
            Self::No | Self::Due => Self::Gap(revision),
        }
    }

    /// Whether what was missing is known by now. A copy may have been given while the next telling came, of which the copy
    /// holds everything already.
    pub const fn is_filled(self, known: u64) -> bool {
        matches!(self, Self::Gap(revision) if known >= revision)
    }
}

/// When the store last confirmed what is known. Times are since the start of the machine, suspension included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    limit: Duration,
    confirmed: Duration,
}

impl Freshness {
    /// Starts unconfirmed; `bound` is the shortest time within which news must have effect.
    pub fn new(bound: Duration) -> Self {
        Self { limit: bound.mul_f64(LIMIT_PART), confirmed: Duration::ZERO }
    }

    /// Longest time for which what is known may go unconfirmed.
    pub const fn limit(&self) -> Duration {
        self.limit
    }

    /// What is known was all there was at a time.
    pub fn confirm(&mut self, at: Duration) {
        self.confirmed = self.confirmed.max(at);
    }

    /// How long ago what is known was confirmed.
    pub const fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed)
    }

    /// How long ago an entry that is found missing now may have gone: since what was known was last confirmed. Where that is
    /// longer ago than knowledge may be old the store was away, and nothing tells when the entry went; it counts as gone
    /// now, since many that lapsed meanwhile are back in a moment.
    pub fn missing_for(&self, now: Duration) -> Duration {
        let age = self.age(now);
        if age <= self.limit { age } else { Duration::ZERO }
    }

    /// How long what is known may still go unconfirmed; `None` if the store must be asked.
    pub fn remaining(&self, now: Duration) -> Option<Duration> {
        self.limit.checked_sub(self.age(now)).filter(|left| !left.is_zero())
    }
}

/// Beats of a process, by which it notices that it stood still.
#[derive(Debug, Clone, Copy)]
pub struct StallDetector {
    last: Duration,
    /// When it last went on after it had stood still.
    woke: Option<Duration>,
}

impl StallDetector {
    /// The first beat.
    pub const fn new(now: Duration) -> Self {
        Self { last: now, woke: None }
    }

    /// A beat.
    pub fn tick(&mut self, now: Duration) {
        if self.is_late(now) {
            self.woke = Some(now);
        }
        self.last = now;
    }

    fn is_late(&self, now: Duration) -> bool {
        now.saturating_sub(self.last) > STALL
    }

    /// Whether the process may have stood still between a time and now. Its beats and its other work go on in any order
    /// after that, so that a beat that is due counts as well.
    pub fn stalled_since(&self, since: Duration, now: Duration) -> bool {
        self.is_late(now) || self.woke.is_some_and(|woke| woke >= since)
    }
}
