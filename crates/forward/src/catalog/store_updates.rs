//! Store updates that the instances of a failure domain send each other.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{debug, info, warn};
use teaselshunt_routing::{Era, EraOrder, ReadNeed, UpdateEffect, UpdateSource};

use super::{Catalog, ENTRY_RETURN_TIME, RoutesSource};
use crate::protocol::{Batch, StoreChange};

/// Instances rely on the last update for a limited time. Each asks the store before that time ends, earlier
/// by a random fraction of it, which is at most this large. The first instance that asks sends the response
/// to the others.
const EARLY_FRACTION: f64 = 0.15;
/// Largest encoded changes that are sent to peers, in bytes: about two hundred entries of endpoints, in a
/// datagram of a few packets. If changes are longer, peers get only the revision and ask for the changes.
const MAX_UPDATE_BYTES: usize = 12 * 1024;

/// A response of the store as it is sent to peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StoreUpdate {
    /// Era of the store that the revisions belong to.
    era: Option<u64>,
    /// Revision after which the changes begin.
    after: u64,
    /// Revision up to which the changes go.
    revision: u64,
    /// Time between the store's confirmation of this revision and the update, in milliseconds.
    age: u32,
    /// Time for which removed entries may still be ones that expired while the store was unreachable, in
    /// milliseconds. A duration and not a flag: with a flag, instances that send each other updates would
    /// restart the time with each update, without end, and would keep using endpoints that have left.
    #[serde(rename = "lapses")]
    expiry_window: u32,
    /// The encoded changes up to the revision; `None` if they are too long to be sent.
    #[serde(rename = "news")]
    changes: Option<Vec<u8>>,
}

impl Catalog {
    /// Sets the peers of the same failure domain. Called several times a second.
    pub(crate) fn set_domain_peers(&self, own: SocketAddr, domain_peers: &HashSet<SocketAddr>) {
        self.snapshot_sources.borrow_mut().retain(|peer| domain_peers.contains(&peer));
        let mut freeze_detector = self.freeze_detector.get();
        freeze_detector.tick(self.node.clock.uptime());
        self.freeze_detector.set(freeze_detector);
        let source = match UpdateSource::of(&own, domain_peers.iter().copied()) {
            // Orders to engines depend on the current list, without the delay of a peer.
            UpdateSource::Peers if self.may_order => UpdateSource::Reader,
            source => source,
        };
        if self.source.replace(source) != source {
            info!(self.node.log, "source of store updates changed"; "from" => source.text());
            self.wakeup.notify_one();
        }
    }

    /// Whether updates from peers suffice for now.
    pub(super) fn peers_suffice(&self) -> bool {
        self.read_need.get() == ReadNeed::No
            && self.freshness.get().remaining(self.node.clock.uptime()).is_some()
    }

    /// Waits until the known state must be confirmed, or until woken.
    pub(super) async fn wait_for_update(&self) {
        let before = self.freshness.get();
        let Some(left) = before.remaining(self.node.clock.uptime()) else { return };
        let fraction = self.node.state.borrow_mut().rng.random_range(0.0..EARLY_FRACTION);
        let pause = left.saturating_sub(before.limit().mul_f64(fraction));
        let woken = tokio::time::timeout(pause, self.wakeup.notified()).await.is_ok();
        if !woken && self.freshness.get() == before {
            self.read_need.set(ReadNeed::Due);
        }
    }

    /// Merges a store update from a peer of the same failure domain.
    pub(crate) fn merge_update(&self, from: SocketAddr, update: StoreUpdate) {
        let StoreUpdate { era, after, revision, age, expiry_window, changes } = update;
        match self.era.get().compare(Era::new(era)) {
            EraOrder::Same => {}
            EraOrder::Newer => return self.request_revision(u64::MAX),
            EraOrder::Older => return,
        }
        self.snapshot_sources.borrow_mut().observe(from, Era::new(era), Some(revision));
        let mut changes: Option<Vec<StoreChange>> =
            match changes.as_deref().map(postcard::from_bytes).transpose() {
                Ok(changes) => changes,
                Err(error) => {
                    warn!(self.node.log, "invalid store update"; "revision" => revision, "error" => %error);
                    return self.request_revision(revision);
                }
            };
        self.record_missing_since();
        self.apply_contained_routes(changes.as_mut());
        let Some(known) = self.revision.get() else { return };
        let now = self.node.now();
        self.extend_expiry_window(now + from_millis(expiry_window).min(ENTRY_RETURN_TIME));
        match UpdateEffect::of(known, after, revision, changes.is_some()) {
            UpdateEffect::Confirmed => {}
            UpdateEffect::Changes => {
                self.revision.set(Some(revision));
                self.apply(Batch { changes: changes.unwrap_or_default(), revision, next_key: None });
            }
            UpdateEffect::Gap => return self.request_revision(revision),
        }
        self.confirm_from_peer(self.node.clock.uptime(), from_millis(age));
    }

    /// Records a peer's report that the store confirmed the known state `age` before `reported_at`.
    pub(super) fn confirm_from_peer(&self, reported_at: Duration, age: Duration) {
        let now = self.node.now();
        self.confirm(reported_at.saturating_sub(age));
        self.last_response.set(self.last_response.get().max(now.checked_sub(age).unwrap_or(now)));
        self.node.state.borrow_mut().list_confirmed = Some(now);
    }

    /// Applies a configuration at once, even if other changes are missing here: a configuration replaces only
    /// a lower version, and must be active within seconds.
    fn apply_contained_routes(&self, changes: Option<&mut Vec<StoreChange>>) {
        let Some(changes) = changes else { return };
        changes.retain(|change| {
            let StoreChange::Routes(routes) = change else { return true };
            self.apply_routes(Arc::clone(routes), RoutesSource::Peer);
            false
        });
    }

    /// Sends peers the configuration of the first page of a complete listing, before the rest is read.
    pub(super) fn publish_routes(&self) {
        let routes = self.node.state.borrow().routes.clone();
        if let (UpdateSource::Reader, Some(lost_revision), Some(routes)) =
            (self.source.get(), self.lost_revision.get(), routes)
        {
            self.publish((lost_revision, lost_revision), &[StoreChange::Routes(routes)]);
        }
    }

    /// Announces to peers that a snapshot of the list is available here, after history was lost and the store
    /// was listed again.
    pub(super) fn announce_snapshot(&self) {
        let Some(revision) = self.revision.get().filter(|_| self.source.get() == UpdateSource::Reader) else {
            return;
        };
        if self.lost_revision.take().is_some() {
            self.publish_encoded((revision, revision), None);
        }
    }

    /// Records that changes up to a revision are missing here; a peer or the store must be asked for them.
    fn request_revision(&self, revision: u64) {
        self.read_need.set(self.read_need.get().with_gap(revision));
        self.wakeup.notify_one();
    }

    /// Sends peers a response of the store. The next update, or a request of the peer itself, makes up for a
    /// lost update.
    pub(super) fn publish(&self, (after, revision): (u64, u64), changes: &[StoreChange]) {
        let changes = postcard::to_allocvec(changes).ok().filter(|changes| changes.len() <= MAX_UPDATE_BYTES);
        self.publish_encoded((after, revision), changes);
    }

    fn publish_encoded(&self, (after, revision): (u64, u64), changes: Option<Vec<u8>>) {
        let age = self.freshness.get().age(self.node.clock.uptime());
        let now = self.node.now();
        let expiry_window =
            self.expiry_window_end.get().map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let (age, expiry_window) = (to_millis(age), to_millis(expiry_window));
        if self
            .updates
            .try_send(StoreUpdate {
                era: self.era.get().number(),
                after,
                revision,
                age,
                expiry_window,
                changes,
            })
            .is_err()
        {
            debug!(self.node.log, "store update dropped"; "revision" => revision);
        }
    }
}

pub(super) const fn from_millis(time: u32) -> Duration {
    Duration::from_millis(time as u64)
}

/// A duration in milliseconds, as it is sent to peers.
pub(super) fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
