//! News of the store that instances of a failure domain tell one another.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{debug, info, warn};
use teaselshunt_routing::{Era, EraOrder, ReadNeed, UpdateEffect, UpdateSource};

use super::{Catalog, RETURN};
use crate::protocol::{Batch, StoreChange};

/// Part of the time for which an instance believes what it was told, by which it asks sooner, at random: the first one that
/// asks tells the others.
const EARLY: f64 = 0.15;
/// Longest news that are told to others, in bytes: some two hundred entries of endpoints, in a datagram of a few packets. Of
/// longer ones they hear the revision and ask for themselves.
const TELLING_MAX: usize = 12 * 1024;

/// What the store answered, as it is told to peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Telling {
    /// Era of the store to which the revisions belong.
    era: Option<u64>,
    /// Revision after which the changes in `news` begin.
    after: u64,
    /// Revision up to which they go.
    revision: u64,
    /// How long before the telling the store confirmed that, in milliseconds.
    age: u32,
    /// For how much longer entries that go may be ones that lapsed while the store was away, in milliseconds. Not whether
    /// they may: instances that tell one another would begin that time anew with each telling, without end, and would go
    /// on to use endpoints that have left.
    lapses: u32,
    /// The news up to there, encoded; `None` if they are too long to be told.
    news: Option<Vec<u8>>,
}

impl Catalog {
    /// Peers of the same failure domain are those that `near` gives. Called several times a second.
    pub(crate) fn peers_are(&self, own: SocketAddr, near: &HashSet<SocketAddr>) {
        self.holders.borrow_mut().retain(|peer| near.contains(&peer));
        let mut pulse = self.pulse.get();
        pulse.tick(self.node.clock.uptime());
        self.pulse.set(pulse);
        let source = match UpdateSource::of(&own, near.iter().copied()) {
            // Engines are ordered by what the list says now, without the way over a peer.
            UpdateSource::Peers if self.orders => UpdateSource::Reader,
            source => source,
        };
        if self.source.replace(source) != source {
            info!(self.node.log, "news of the store"; "from" => source.text());
            self.woken.notify_one();
        }
    }

    /// Whether what peers tell is enough for now.
    pub(super) fn believes(&self) -> bool {
        self.ask.get() == ReadNeed::No && self.freshness.get().remaining(self.node.clock.uptime()).is_some()
    }

    /// Waits until what is known must be confirmed, or something else is to be looked at.
    pub(super) async fn wait_for_word(&self) {
        let before = self.freshness.get();
        let Some(left) = before.remaining(self.node.clock.uptime()) else { return };
        let part = self.node.state.borrow_mut().rng.random_range(0.0..EARLY);
        let pause = left.saturating_sub(before.limit().mul_f64(part));
        let woken = tokio::time::timeout(pause, self.woken.notified()).await.is_ok();
        if !woken && self.freshness.get() == before {
            self.ask.set(ReadNeed::Due);
        }
    }

    /// A peer of the same failure domain tells what the store answered it.
    pub(crate) fn told(&self, from: SocketAddr, telling: Telling) {
        let Telling { era, after, revision, age, lapses, news } = telling;
        match self.era.get().compare(Era::new(era)) {
            EraOrder::Same => {}
            EraOrder::Newer => return self.ask(u64::MAX),
            EraOrder::Older => return,
        }
        self.holders.borrow_mut().observe(from, Era::new(era), Some(revision));
        let mut news: Option<Vec<StoreChange>> = match news.as_deref().map(postcard::from_bytes).transpose() {
            Ok(news) => news,
            Err(error) => {
                warn!(self.node.log, "unreadable telling"; "revision" => revision, "error" => %error);
                return self.ask(revision);
            }
        };
        self.take_routes(news.as_mut());
        let Some(known) = self.revision.get() else { return };
        let now = self.node.now();
        self.may_lapse(now + millis(lapses).min(RETURN));
        self.note_absence();
        match UpdateEffect::of(known, after, revision, news.is_some()) {
            UpdateEffect::Confirmed => {}
            UpdateEffect::Changes => {
                self.revision.set(Some(revision));
                self.apply(Batch { changes: news.unwrap_or_default(), revision, next_key: None });
            }
            UpdateEffect::Gap => return self.ask(revision),
        }
        self.confirmed_by_peer(self.node.clock.uptime(), millis(age));
    }

    /// A peer says that the store confirmed what is known now, so long before it said so at `told`.
    pub(super) fn confirmed_by_peer(&self, told: Duration, age: Duration) {
        let now = self.node.now();
        self.confirmed(told.saturating_sub(age));
        self.heard.set(self.heard.get().max(now.checked_sub(age).unwrap_or(now)));
        self.node.state.borrow_mut().listed = Some(now);
    }

    /// Applies a configuration at once, whatever else is missing here: a version replaces only a lower one, and binds
    /// within seconds.
    fn take_routes(&self, news: Option<&mut Vec<StoreChange>>) {
        let Some(news) = news else { return };
        news.retain(|piece| {
            let StoreChange::Routes(routes) = piece else { return true };
            self.apply_routes(Arc::clone(routes));
            false
        });
    }

    /// The first page of a whole list was read: peers are told its configuration before the rest is read.
    pub(super) fn tell_routes(&self) {
        let routes = self.node.state.borrow().routes.clone();
        if let (UpdateSource::Reader, Some(lost), Some(routes)) = (self.source.get(), self.lost.get(), routes)
        {
            self.tell((lost, lost), &[StoreChange::Routes(routes)]);
        }
    }

    /// The whole list was read after history was lost: peers hear that it can be had here.
    pub(super) fn tell_whole(&self) {
        let Some(revision) = self.revision.get().filter(|_| self.source.get() == UpdateSource::Reader) else {
            return;
        };
        if self.lost.take().is_some() {
            self.tell_news((revision, revision), None);
        }
    }

    /// Something up to a revision is missing here, which a peer or the store must be asked for.
    fn ask(&self, revision: u64) {
        self.ask.set(self.ask.get().with_gap(revision));
        self.woken.notify_one();
    }

    /// Tells peers what the store answered. One telling that is lost is made good by the next, or by what the peers ask
    /// themselves.
    pub(super) fn tell(&self, (after, revision): (u64, u64), news: &[StoreChange]) {
        let news = postcard::to_allocvec(news).ok().filter(|news| news.len() <= TELLING_MAX);
        self.tell_news((after, revision), news);
    }

    fn tell_news(&self, (after, revision): (u64, u64), news: Option<Vec<u8>>) {
        let age = self.freshness.get().age(self.node.clock.uptime());
        let now = self.node.now();
        let lapses = self.lapses.get().map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let (age, lapses) = (told(age), told(lapses));
        if self
            .tellings
            .try_send(Telling { era: self.era.get().number(), after, revision, age, lapses, news })
            .is_err()
        {
            debug!(self.node.log, "a telling was dropped"; "revision" => revision);
        }
    }
}

pub(super) const fn millis(time: u32) -> Duration {
    Duration::from_millis(time as u64)
}

/// A time as it is told, in milliseconds.
pub(super) fn told(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
