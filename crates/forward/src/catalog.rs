//! Follows the platform's store: the active configuration and the list of endpoints. It never writes to the
//! store.
//!
//! The store is listed completely once and then watched. A connection can become unresponsive without being closed;
//! callers would then be served by an old version until it fails. A watch therefore waits at the store for a limited
//! time, and what it asks for is asked for again over a new connection ([`second_connection`]) if its response is
//! overdue, or if a peer knows later changes. The times follow from the time that a change has to take effect
//! ([`ReadTimes`]), by whichever connection it arrives.
//!
//! Calls to the store are counted and shared among all instances, and a change wakes every watch. After a
//! change an instance therefore waits for a fraction of the time that it has to apply the next one, and then
//! reads all accumulated changes in one call. In a failure domain with many instances, only the store readers
//! watch and send their peers what they read ([`StoreUpdate`]). `teaselshunt_routing::UpdateSource` decides
//! which instances are readers, and its module explains why that is enough.
//!
//! A configuration replaces only a lower version. An endpoint that was removed does not return. The known
//! state stays in use while the store is unreachable.
//!
//! The store may be restored from a backup that is some seconds old, in a new [`Era`]. Its revisions then
//! stand for other changes than before, so that the store is listed completely again. What was observed
//! meanwhile (versions, removals of endpoints) stays known.

mod listing;
mod second_connection;
mod snapshot_server;
mod snapshots;
mod store_updates;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use rand::Rng;
use slog::{info, warn};
use teaselshunt_routing::{
    Endpoint, Era, EraOrder, FreezeDetector, Freshness, ReadNeed, ReadTimes, RecentChanges, RouteSet,
    SnapshotSources, Stage, UpdateSource, UpsertOutcome,
};
use teaselshunt_teams::Teams;
use tokio::sync::{Notify, mpsc};

use crate::connection_pool::ExchangeFailure;
use crate::node::Node;
use crate::protocol::{Batch, Call, StoreChange};
use crate::queue;
use listing::ListProgress;
use second_connection::PeerNews;
pub(crate) use snapshot_server::{CurrentTransfer, SnapshotServer};
use snapshots::SearchResult;
pub(crate) use snapshots::TRANSFER_TIMEOUT;
pub(crate) use store_updates::StoreUpdate;

/// Time until the head of a response must have arrived, beyond the wait of the call: the slowest responses of the
/// store that are still useful.
const CALL_SLACK: Duration = Duration::from_millis(900);
/// Shortest time for which an instance that misses changes searches for a peer that has them.
const MIN_GAP_SEARCH: Duration = Duration::from_millis(300);
/// Number of changes in one response from which on the next response is requested at once.
const BULK_CHANGES: usize = 200;
/// Time after the start in which an instance that may order engines coalesces changes for [`STARTUP_COALESCE`]
/// only: endpoints register then, engines take seconds to change their stage, and traffic is about to begin.
/// The other instances do not need the short pause, which costs about ten calls to the store for each.
const STARTUP_TIME: Duration = Duration::from_secs(4);
/// Interval at which an instance polls whether the start of the system is over.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a change during [`STARTUP_TIME`]: half of the longest time between the entries that endpoints
/// write in one heartbeat interval.
const STARTUP_COALESCE: Duration = Duration::from_millis(300);
/// Shortest and longest pause after a failed call; the longest is well under the time in which a
/// configuration must be active.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Time without a response, at a failed call, after which entries of live endpoints may have expired: shorter
/// than the time without a heartbeat after which the store removes an entry. It is longer than the wait of a
/// watch without changes, so that one failed call does not count as a loss of the store.
const STORE_LOST_AFTER: Duration = Duration::from_millis(2900);
/// Time after the last failed call within which the entry of a live endpoint may return.
const ENTRY_RETURN_TIME: Duration = Duration::from_millis(2300);
/// Time after a restore for which an entry in the backup may outlive its endpoint: longer than the time
/// without a heartbeat after which the store removes an entry.
const BACKUP_ENTRY_LIFETIME: Duration = Duration::from_secs(5);
/// Fraction of the time after which a leaving endpoint must get no new requests, for which an unconfirmed
/// endpoint is still used.
const UNCONFIRMED_FRACTION: f64 = 0.8;

#[derive(Debug, thiserror::Error)]
enum StoreError {
    #[error("{}", .0.text())]
    Exchange(ExchangeFailure),
    #[error("unexpected status {0}")]
    Status(StatusCode),
    #[error("invalid response: {0}")]
    InvalidResponse(String),
    #[error("the list has too many pages")]
    TooManyPages,
    #[error("the response predates a restore of the store")]
    Outdated,
}

/// Where a configuration was read.
#[derive(Debug, Clone, Copy)]
enum RoutesSource {
    Store,
    Peer,
}

impl RoutesSource {
    /// Name for logs.
    const fn text(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// Outcome of a call to the store or to a snapshot source, for metrics.
fn call_outcome(status: Result<StatusCode, &ExchangeFailure>) -> &'static str {
    match status {
        Ok(status) if status.is_success() => "ok",
        Ok(_) => "refused",
        Err(failure) => failure.text(),
    }
}

/// Follows the store until the process ends.
#[derive(Debug)]
pub(crate) struct Catalog {
    node: Rc<Node>,
    /// Revision up to which changes are known; `None` before the store was listed completely.
    revision: Cell<Option<u64>>,
    /// The known revision when the store had dropped the history after it.
    lost_revision: Cell<Option<u64>>,
    /// Peers that can serve a snapshot of the list.
    snapshot_sources: RefCell<SnapshotSources<SocketAddr>>,
    /// Recently changed entries.
    recent_changes: RefCell<RecentChanges>,
    /// Whether the changes of a partial snapshot did not match its checksum, so that only a complete snapshot
    /// is useful.
    diverged: Cell<bool>,
    /// The era of `revision` and `list_progress`.
    era: Cell<Era>,
    list_progress: RefCell<ListProgress>,
    started: Instant,
    /// Whether this process may give orders to engines.
    may_order: bool,
    /// When the store last responded to this instance or to a peer that sent an update.
    last_response: Cell<Instant>,
    /// Until when a removed entry may be one that expired while the store was unreachable.
    expiry_window_end: Cell<Option<Instant>>,
    /// Earliest time at which an entry that is found missing now may have been removed.
    missing_since: Cell<Instant>,
    /// For how long the knowledge had been unconfirmed when the last changes arrived, for logs.
    unconfirmed_before: Cell<Duration>,
    source: Cell<UpdateSource>,
    freshness: Cell<Freshness>,
    freeze_detector: Cell<FreezeDetector>,
    read_times: ReadTimes,
    /// What peers know beyond this instance's own revision.
    peer_news: PeerNews,
    /// Wakes an instance that follows its peers: its source has changed, or it must ask the store.
    wakeup: Notify,
    read_need: Cell<ReadNeed>,
    /// To the gossip task, which sends store updates to peers.
    updates: mpsc::Sender<StoreUpdate>,
}

impl Catalog {
    /// `updates` receives the store updates for peers of the same failure domain.
    pub(crate) fn new(node: &Rc<Node>, updates: mpsc::Sender<StoreUpdate>) -> Self {
        let started = node.now();
        let settings = &node.settings;
        let bound = settings.apply_bound.min(settings.drain_bound);
        Self {
            node: Rc::clone(node),
            revision: Cell::new(None),
            lost_revision: Cell::new(None),
            snapshot_sources: RefCell::default(),
            recent_changes: RefCell::default(),
            diverged: Cell::new(false),
            era: Cell::default(),
            list_progress: RefCell::default(),
            started,
            may_order: node.state.borrow().election.is_candidate(),
            last_response: Cell::new(started),
            expiry_window_end: Cell::new(None),
            missing_since: Cell::new(started),
            unconfirmed_before: Cell::default(),
            source: Cell::default(),
            freshness: Cell::new(Freshness::new(bound)),
            freeze_detector: Cell::new(FreezeDetector::new(node.clock.uptime())),
            read_times: ReadTimes::new(bound.min(settings.recovery_bound)),
            peer_news: PeerNews::default(),
            wakeup: Notify::new(),
            read_need: Cell::default(),
            updates,
        }
    }

    pub(crate) async fn run(self: Rc<Self>) {
        let mut failures = 0_u32;
        loop {
            if failures > 0 {
                self.record_failure();
            }
            let result = match (self.revision.get(), self.source.get()) {
                (None, _) => self.list_all().await,
                (Some(_), _) if self.is_starting() => {
                    tokio::time::sleep(STARTUP_POLL_INTERVAL).await;
                    continue;
                }
                (Some(_), UpdateSource::Peers) if self.peers_suffice() => {
                    self.wait_for_update().await;
                    continue;
                }
                (Some(revision), _) => self.watch(revision, failures > 0).await,
            };
            match result {
                Ok(()) => {
                    if failures > 0 {
                        info!(self.node.log, "store regained"; "failures" => failures);
                    }
                    failures = 0;
                }
                Err(error) => {
                    if matches!(error, StoreError::InvalidResponse(_)) {
                        // It may be the response to another call, and what follows it as well.
                        self.node.pool.close_idle(self.node.settings.store_address);
                    }
                    // One line at the start of an outage, not one for each call.
                    if failures == 0 {
                        warn!(self.node.log, "store lost"; "error" => %error, "unconfirmed_ms" => self.unconfirmed_ms());
                    }
                    failures += 1;
                    tokio::time::sleep(self.backoff(failures)).await;
                }
            }
        }
    }

    /// Whether the whole system has just started, and this instance does not know yet which instances are the
    /// store readers of its domain.
    ///
    /// Endpoints register at that time. Each instance that took itself for a reader would fetch all of
    /// thousands of entries, as would all others. Callers arrive only when endpoints are there.
    fn is_starting(&self) -> bool {
        let settings = &self.node.settings;
        let uses_peers = settings.first_start && settings.gossip_port.is_some() && !self.may_order;
        let elapsed = self.node.now().duration_since(self.started);
        uses_peers && !self.source.get().is_settled(elapsed, self.node.peer_count.get())
    }

    fn confirm(&self, at: Duration) {
        let mut freshness = self.freshness.get();
        freshness.confirm(at);
        self.freshness.set(freshness);
        self.node.confirmed.set(Some(freshness.confirmed()));
    }

    /// Records a failed call. If the store has not responded for long, entries that are missing at its return
    /// may have expired.
    fn record_failure(&self) {
        let now = self.node.now();
        if now.duration_since(self.last_response.get()) > STORE_LOST_AFTER {
            self.extend_expiry_window(now + ENTRY_RETURN_TIME);
        }
    }

    /// Treats removals before `until` as possible expiries.
    fn extend_expiry_window(&self, until: Instant) {
        self.expiry_window_end.set(self.expiry_window_end.get().max(Some(until)));
    }

    /// Records, before changes are applied, since when a missing entry may have been removed.
    fn record_missing_since(&self) {
        let uptime = self.node.clock.uptime();
        self.unconfirmed_before.set(self.freshness.get().age(uptime));
        let age = self.freshness.get().missing_for(uptime);
        let now = self.node.now();
        self.missing_since.set(now.checked_sub(age).unwrap_or(now));
    }

    /// For how long the knowledge has been unconfirmed, for logs.
    fn unconfirmed_ms(&self) -> u64 {
        self.freshness.get().age(self.node.clock.uptime()).as_millis() as u64
    }

    fn backoff(&self, failures: u32) -> Duration {
        let longest = (MIN_BACKOFF * 2_u32.pow(failures.min(5))).min(MAX_BACKOFF);
        longest.mul_f64(self.node.state.borrow_mut().rng.random_range(0.5..1.0))
    }

    async fn call(
        &self,
        name: &str,
        call: Call,
        timeout: Duration,
    ) -> Result<(StatusCode, bytes::Bytes), StoreError> {
        let (until, stall) = (self.node.now() + timeout, self.read_times.stall());
        let address = self.node.settings.store_address;
        let result = self.node.call_with_progress(address, call, until, stall).await;
        let outcome = call_outcome(result.as_ref().map(|(head, _)| head.status));
        self.node.metrics.store_calls.with_label_values(&[name, outcome]).inc();
        let (head, body) = result.map_err(StoreError::Exchange)?;
        let era = Era::new(self.node.protocol.read_era(&head.headers));
        match self.era.get().compare(era) {
            EraOrder::Same => self.era.set(self.era.get().later(era)),
            EraOrder::Newer => self.handle_restore(era),
            EraOrder::Older => return Err(StoreError::Outdated),
        }
        Ok((head.status, body))
    }

    /// Handles a restore of the store. Known revisions are void, and entries of endpoints that registered
    /// since the backup are missing until these endpoints write them again.
    fn handle_restore(&self, era: Era) {
        warn!(self.node.log, "store restored from a backup"; "era" => era.number(),
            "before" => self.era.get().number(), "revision" => self.revision.get());
        self.era.set(era);
        self.revision.set(None);
        self.lost_revision.set(None);
        *self.recent_changes.borrow_mut() = RecentChanges::default();
        *self.list_progress.borrow_mut() = ListProgress::default();
        let now = self.node.now();
        self.extend_expiry_window(now + ENTRY_RETURN_TIME);
        self.node.state.borrow_mut().endpoints.note_restore(now + BACKUP_ENTRY_LIFETIME);
    }

    /// Waits for changes. While the store is unreachable the call does not wait: a long call made just before
    /// the store's return is lost, and nothing would be received until it is abandoned. An instance that
    /// follows its peers does not wait either: it asks because something is missing.
    async fn watch(&self, revision: u64, store_lost: bool) -> Result<(), StoreError> {
        let source = self.source.get();
        let read_need = self.read_need.take();
        if read_need.is_filled(revision) {
            return Ok(());
        }
        let gap = matches!(read_need, ReadNeed::Gap(_));
        if gap && self.fetch_snapshot(Some(revision), true).await == SearchResult::Fetched {
            return Ok(());
        }
        let called_at = self.node.clock.uptime();
        let unconfirmed = self.node.now().duration_since(self.last_response.get());
        let wait = if store_lost { Duration::ZERO } else { self.read_times.watch_wait(source, unconfirmed) };
        let era = self.era.get();
        let (status, body) = if store_lost {
            self.call("watch", self.node.protocol.watch(revision, wait), CALL_SLACK).await?
        } else {
            self.watch_over_two(revision, wait).await?
        };
        if era.compare(self.era.get()) == EraOrder::Newer {
            // The revision may exist again with other content: the changes after it are not the missing ones.
            return Ok(());
        }
        match status {
            StatusCode::OK => {}
            StatusCode::GONE => {
                info!(self.node.log, "the store dropped the changes after the known revision"; "revision" => revision);
                self.revision.set(None);
                self.lost_revision.set(Some(revision));
                return Ok(());
            }
            status => return Err(StoreError::Status(status)),
        }
        let batch = self.node.protocol.read_watch(&body).map_err(StoreError::InvalidResponse)?;
        self.record_missing_since();
        self.record_response(called_at);
        // A peer may have sent newer changes meanwhile.
        let known = self.revision.get().unwrap_or(revision);
        let reached = batch.revision.max(revision);
        if reached > known || known == revision {
            self.revision.set(Some(reached));
            // The store truncates a response at some hundred changes, and more are available at once.
            let coalesces = (1..BULK_CHANGES).contains(&batch.changes.len());
            // Peers learn of the changes in a gap from the peer that sent the update after the gap.
            if source != UpdateSource::Alone && !gap {
                self.publish((revision, reached), &batch.changes);
            }
            self.apply(batch);
            if coalesces && source != UpdateSource::Peers {
                tokio::time::sleep(self.coalesce_pause()).await;
            }
        }
        Ok(())
    }

    /// How long to wait after a change for further ones to accumulate.
    fn coalesce_pause(&self) -> Duration {
        let pause = self.read_times.pause();
        let starting = self.may_order && self.node.now().duration_since(self.started) < STARTUP_TIME;
        if starting { STARTUP_COALESCE.min(pause) } else { pause }
    }

    /// Records that the store has responded to a call that was made at `called_at`.
    fn record_response(&self, called_at: Duration) {
        // The response may have been unread while this process was frozen.
        let uptime = self.node.clock.uptime();
        let frozen = self.freeze_detector.get().frozen_since(called_at, uptime);
        self.record_response_as_of(if frozen { called_at } else { uptime });
    }

    /// The same where the response may say what the store had at `as_of`.
    fn record_response_as_of(&self, as_of: Duration) {
        let now = self.node.now();
        self.last_response.set(now);
        self.node.state.borrow_mut().list_confirmed = Some(now);
        self.confirm(as_of);
    }

    fn apply(&self, batch: Batch) {
        for change in batch.changes {
            self.apply_change(change, batch.revision);
        }
        self.count_endpoints();
    }

    fn apply_change(&self, change: StoreChange, revision: u64) {
        match change {
            StoreChange::Routes(routes) => self.apply_routes(routes, RoutesSource::Store),
            StoreChange::Endpoint(endpoint) => {
                self.apply_endpoint(endpoint, revision);
            }
            StoreChange::Removed(id) => self.remove_endpoint(&id, revision),
            StoreChange::Invalid { key, endpoint, cause } => {
                let invalidate = |id: &Arc<str>| self.node.state.borrow_mut().endpoints.invalidate(id);
                let withdrawn = endpoint.as_ref().is_some_and(invalidate);
                if let Some(id) = endpoint.filter(|_| withdrawn) {
                    self.recent_changes.borrow_mut().record(revision, id);
                }
                warn!(self.node.log, "invalid store entry"; "key" => key, "cause" => cause, "withdrawn" => withdrawn);
            }
        }
    }

    fn count_endpoints(&self) {
        let count = self.node.state.borrow().endpoints.len();
        self.node.metrics.endpoints.set(count as i64);
        queue::wake(&self.node);
    }

    /// Applies an endpoint's entry. Returns whether the entry is new or changed.
    fn apply_endpoint(&self, endpoint: Endpoint, revision: u64) -> bool {
        let (id, state) = (Arc::clone(&endpoint.id), endpoint.state);
        if !self.node.protocol.is_endpoint_id(&id) {
            warn!(self.node.log, "invalid entry of a peer"; "endpoint" => &*id, "revision" => revision);
            return false;
        }
        let (service, address) = (Arc::clone(&endpoint.service), endpoint.address);
        let stage_name = endpoint.stage.map(Stage::text);
        let outcome = self.node.state.borrow_mut().endpoints.upsert(endpoint);
        match outcome {
            UpsertOutcome::Started | UpsertOutcome::Changed => {
                info!(self.node.log, "endpoint"; "endpoint" => &*id, "service" => &*service, "address" => %address,
                    "state" => ?state, "stage" => stage_name, "revision" => revision);
            }
            UpsertOutcome::Foreign => {
                warn!(self.node.log, "endpoint"; "endpoint" => &*id, "state" => "withdrawn",
                    "cause" => "the entry has no birth time", "revision" => revision);
            }
            UpsertOutcome::Outdated => {
                info!(self.node.log, "endpoint"; "endpoint" => &*id, "state" => "outdated", "revision" => revision);
            }
            UpsertOutcome::Unchanged => {}
        }
        let is_new = matches!(outcome, UpsertOutcome::Started | UpsertOutcome::Changed);
        if outcome != UpsertOutcome::Unchanged {
            self.recent_changes.borrow_mut().record(revision, id);
        }
        is_new
    }

    fn apply_routes(&self, routes: Arc<RouteSet>, from: RoutesSource) {
        let mut state = self.node.state.borrow_mut();
        let current = state.routes.as_ref().map_or(0, |r| r.version);
        if routes.version <= current {
            return;
        }
        self.node.metrics.active_version.set(routes.version as i64);
        info!(self.node.log, "configuration"; "version" => routes.version, "before" => current,
            "from" => from.text(), "unconfirmed_ms" => self.unconfirmed_before.get().as_millis() as u64);
        for cause in &routes.warnings {
            warn!(self.node.log, "mistake in the configuration"; "version" => routes.version, "cause" => cause);
        }
        state.retry_detector.retain(|name| routes.has_route(name));
        let teams = routes.teams.iter().flat_map(Teams::iter);
        let limits = teams.filter_map(|team| Some((team.tag(), team.limit?)));
        state.quotas.set_limits(self.node.clock.uptime(), limits);
        state.endpoints.set_goals(routes.shortest_single_priority_goals());
        state.routes = Some(routes);
    }

    /// Handles the removal of an endpoint's entry. Shortly after the store's return the entry may have
    /// expired although the endpoint is live.
    fn remove_endpoint(&self, id: &Arc<str>, revision: u64) {
        self.recent_changes.borrow_mut().record(revision, Arc::clone(id));
        let now = self.node.now();
        let may_have_expired = self.expiry_window_end.get().is_some_and(|until| now < until);
        let mut state = self.node.state.borrow_mut();
        if may_have_expired {
            // The time does not start now: the entry may have been missing since the store's last
            // confirmation, and an endpoint that has left would get new requests for longer than the
            // deployment allows.
            let until =
                self.missing_since.get() + self.node.settings.drain_bound.mul_f64(UNCONFIRMED_FRACTION);
            state.endpoints.mark_unconfirmed(id, until);
        } else {
            state.endpoints.remove(id);
        }
        info!(self.node.log, "endpoint"; "endpoint" => &**id, "state" => if may_have_expired { "doubted" } else { "gone" });
    }
}
