//! What the platform's store says: the configuration in force and the list of endpoints. Read only.
//!
//! The store is read whole once and then watched. A watch waits at the store for a while and is given up shortly
//! after, because a connection can go silent without being closed: callers would then be served by an old version
//! for as long as nobody notices. How long it waits follows from the time that the deployment gives for that.
//!
//! Calls to the store are counted and shared among all instances, and a change wakes every one of them. After a change
//! an instance therefore waits a part of the time that it has to apply the next one, and then takes all that has
//! gathered in one call. Where a failure domain has many instances, few of them watch and tell the others what they
//! read ([`Telling`]); `teaselshunt_routing::UpdateSource` says who, and the head of its module why that is enough.
//!
//! A version replaces only a lower one. An endpoint that has left does not come back. What is known stays in use
//! while the store is away.
//!
//! The store may come back from a copy that is some seconds old, in a new [`Era`]. Its revisions then stand for other changes
//! than before, so that it is read whole again; what was seen meanwhile (versions, endpoints that leave) stays seen.

mod listing;
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
    Endpoint, Era, EraOrder, Freshness, ReadNeed, RecentChanges, RouteSet, SnapshotSources, Stage,
    StallDetector, UpdateSource, UpsertOutcome,
};
use teaselshunt_teams::Teams;
use tokio::sync::{Notify, mpsc};

use crate::connection_pool::Failure;
use crate::node::Node;
use crate::orders;
use crate::protocol::{Batch, Call, StoreChange};
use listing::Reading;
pub(crate) use snapshot_server::give_copies;
use snapshots::Copied;
pub(crate) use store_updates::Telling;

/// How long a call may take beyond its wait: the store's slowest answers that are still of use.
const SLACK: Duration = Duration::from_millis(900);
/// Part of the time until bounds hold again after a disturbance, for which a watch waits; a connection that has gone
/// silent is found within this and [`SLACK`], and leaves the time to read what was missed.
const WAIT_PART: f64 = 0.55;
/// Part of the shortest bound for which a watch waits whose answer others are told. With the pause after a change it stays
/// under the time for which they believe the last telling, so that they do not ask while their reader is well.
const READER_WAIT_PART: f64 = 0.25;
/// Shortest time for which an instance that misses changes looks for a peer that has them.
const GAP_SPREAD: Duration = Duration::from_millis(300);
/// Part of the shortest bound that an instance waits after a change before it asks for the next.
const COALESCE_PART: f64 = 0.3;
/// Changes in one answer from which on the next is asked for at once.
const BULK: usize = 200;
/// Time after the start in which the instance that orders engines coalesces changes for [`FILLING_COALESCE`] only: endpoints
/// register then, engines take seconds to change their stage, and traffic is about to begin. The others need no such
/// haste: it cost each of them some ten calls to the store.
const FILLING: Duration = Duration::from_secs(4);
/// Pause between two looks whether it is over.
const SETTLE_LOOK: Duration = Duration::from_millis(200);
/// Half of what endpoints of one heartbeat interval are apart at most.
const FILLING_COALESCE: Duration = Duration::from_millis(300);
/// First and longest pause after a failure; the longest is well under the time in which versions must be in force.
const BACKOFF: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Time without an answer, at a failed call, after which entries of live endpoints may have lapsed: under the silence
/// of an endpoint after which its entry is removed. It is over the time that a quiet watch waits, so that one failed
/// call does not make a loss of it.
const LOST: Duration = Duration::from_millis(2900);
/// How long after the last failed call an entry that has gone may come back.
const RETURN: Duration = Duration::from_millis(2300);
/// How long after the store's return an entry that stands in its copy may outlive its endpoint: over the silence after which
/// an entry is removed.
const COPIED: Duration = Duration::from_secs(5);
/// Part of the time in which a leaving endpoint must get nothing new, for which a lost entry is still in use.
const DOUBT_PART: f64 = 0.8;

#[derive(Debug, thiserror::Error)]
enum StoreError {
    #[error("{}", .0.text())]
    Exchange(Failure),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("unreadable: {0}")]
    Unreadable(String),
    #[error("too many pages")]
    Pages,
    #[error("made before the store went back")]
    Outdated,
}

/// How a call for news ended, for metrics.
fn outcome(status: Result<StatusCode, &Failure>) -> &'static str {
    match status {
        Ok(status) if status.is_success() => "ok",
        Ok(_) => "refused",
        Err(failure) => failure.text(),
    }
}

/// Follows the store for as long as the process runs.
#[derive(Debug)]
pub(crate) struct Catalog {
    node: Rc<Node>,
    /// Revision up to which changes are known; `None` before the store was read whole.
    revision: Cell<Option<u64>>,
    /// Revision that was known when the store dropped the history behind it.
    lost: Cell<Option<u64>>,
    /// Peers that have the whole list.
    holders: RefCell<SnapshotSources<SocketAddr>>,
    /// Entries that changed lately.
    changes: RefCell<RecentChanges>,
    /// Whether what peers told did not add up to their list, so that only a whole copy is of use.
    diverged: Cell<bool>,
    /// The era to which `revision` and `reading` belong.
    era: Cell<Era>,
    reading: RefCell<Reading>,
    started: Instant,
    /// Whether this process orders engines.
    orders: bool,
    /// When the store last answered, this instance or one that told it.
    heard: Cell<Instant>,
    /// Until when an entry that has gone may be one that lapsed while the store was lost.
    lapses: Cell<Option<Instant>>,
    /// Since when an entry that is found missing now may have been so.
    absence: Cell<Instant>,
    source: Cell<UpdateSource>,
    freshness: Cell<Freshness>,
    pulse: Cell<StallDetector>,
    /// Wakes an instance that goes by its peers: its source has changed, or it must ask the store.
    woken: Notify,
    ask: Cell<ReadNeed>,
    /// To whoever sends tellings to peers.
    tellings: mpsc::Sender<Telling>,
}

impl Catalog {
    /// `tellings` takes what is to be told to peers of the same failure domain.
    pub(crate) fn new(node: &Rc<Node>, tellings: mpsc::Sender<Telling>) -> Self {
        let started = node.now();
        let settings = &node.settings;
        Self {
            node: Rc::clone(node),
            revision: Cell::new(None),
            lost: Cell::new(None),
            holders: RefCell::default(),
            changes: RefCell::default(),
            diverged: Cell::new(false),
            era: Cell::default(),
            reading: RefCell::default(),
            started,
            orders: orders::is_holder(node),
            heard: Cell::new(started),
            lapses: Cell::new(None),
            absence: Cell::new(started),
            source: Cell::default(),
            freshness: Cell::new(Freshness::new(settings.apply_bound.min(settings.drain_bound))),
            pulse: Cell::new(StallDetector::new(node.clock.uptime())),
            woken: Notify::new(),
            ask: Cell::default(),
            tellings,
        }
    }

    pub(crate) async fn run(self: Rc<Self>) {
        let mut failures = 0_u32;
        loop {
            if failures > 0 {
                self.expect_return();
            }
            let result = match (self.revision.get(), self.source.get()) {
                (None, _) => self.read_all().await,
                (Some(_), _) if self.settles() => {
                    tokio::time::sleep(SETTLE_LOOK).await;
                    continue;
                }
                (Some(_), UpdateSource::Peers) if self.believes() => {
                    self.wait_for_word().await;
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
                    // One line at the start of an outage, not one for each call.
                    if failures == 0 {
                        warn!(self.node.log, "store lost"; "error" => %error);
                    }
                    failures += 1;
                    tokio::time::sleep(self.backoff(failures)).await;
                }
            }
        }
    }

    /// Whether the whole system has just started, and it is not known here yet who reads the store for this domain.
    ///
    /// Endpoints register then, and each instance that took itself for a reader would fetch all of thousands of entries, as
    /// would all others. Callers come when endpoints are there.
    fn settles(&self) -> bool {
        let settings = &self.node.settings;
        let shares = settings.first_start && settings.gossip_port.is_some() && !self.orders;
        let passed = self.node.now().duration_since(self.started);
        shares && !self.source.get().is_settled(passed, self.node.peers.get())
    }

    fn confirmed(&self, at: Duration) {
        let mut freshness = self.freshness.get();
        freshness.confirm(at);
        self.freshness.set(freshness);
    }

    /// A call has failed. If the store has been silent for long, entries that are gone at its return may have lapsed.
    fn expect_return(&self) {
        let now = self.node.now();
        if now.duration_since(self.heard.get()) > LOST {
            self.may_lapse(now + RETURN);
        }
    }

    /// Entries that go until then may be ones that lapsed.
    fn may_lapse(&self, until: Instant) {
        self.lapses.set(self.lapses.get().max(Some(until)));
    }

    /// News is about to be taken over.
    fn note_absence(&self) {
        let age = self.freshness.get().missing_for(self.node.clock.uptime());
        let now = self.node.now();
        self.absence.set(now.checked_sub(age).unwrap_or(now));
    }

    fn backoff(&self, failures: u32) -> Duration {
        let longest = (BACKOFF * 2_u32.pow(failures.min(5))).min(BACKOFF_MAX);
        longest.mul_f64(self.node.state.borrow_mut().rng.random_range(0.5..1.0))
    }

    async fn call(
        &self,
        name: &str,
        call: Call,
        time: Duration,
    ) -> Result<(StatusCode, bytes::Bytes), StoreError> {
        let until = self.node.now() + time;
        let result = self.node.call_in_full(self.node.settings.store_address, call, until).await;
        let outcome = outcome(result.as_ref().map(|(head, _)| head.status));
        self.node.metrics.store.with_label_values(&[name, outcome]).inc();
        let (head, body) = result.map_err(StoreError::Exchange)?;
        let era = Era::new(self.node.protocol.read_era(&head.headers));
        match self.era.get().compare(era) {
            EraOrder::Same => self.era.set(self.era.get().later(era)),
            EraOrder::Newer => self.renew(era),
            EraOrder::Older => return Err(StoreError::Outdated),
        }
        Ok((head.status, body))
    }

    /// The store has come back from a copy. Nothing that is known of revisions holds, and entries of endpoints that
    /// registered since the copy was made are missing until these write them again.
    fn renew(&self, era: Era) {
        warn!(self.node.log, "store went back"; "era" => era.number(), "before" => self.era.get().number(),
            "revision" => self.revision.get());
        self.era.set(era);
        self.revision.set(None);
        self.lost.set(None);
        *self.changes.borrow_mut() = RecentChanges::default();
        *self.reading.borrow_mut() = Reading::default();
        let now = self.node.now();
        self.may_lapse(now + RETURN);
        self.node.state.borrow_mut().endpoints.note_restore(now + COPIED);
    }

    /// Waits for changes. While the store is lost it does not wait: a long call that is made just before the store's
    /// return is lost with it, and nothing would be heard until it is given up. Neither does an instance that goes by its
    /// peers otherwise: it asks because something is missing.
    async fn watch(&self, revision: u64, lost: bool) -> Result<(), StoreError> {
        let source = self.source.get();
        let ask = self.ask.take();
        if ask.is_filled(revision) {
            return Ok(());
        }
        let gap = matches!(ask, ReadNeed::Gap(_));
        if gap && self.copy(Some(revision), true).await == Copied::Whole {
            return Ok(());
        }
        let wait = if lost { Duration::ZERO } else { self.usual_wait(source) };
        let asked = self.node.clock.uptime();
        let call = self.node.protocol.watch(revision, wait);
        let era = self.era.get();
        let (status, body) = self.call("watch", call, wait + SLACK).await?;
        if era.compare(self.era.get()) == EraOrder::Newer {
            // The revision may exist again, with other content: changes after it are not what is missing here.
            return Ok(());
        }
        match status {
            StatusCode::OK => {}
            StatusCode::GONE => {
                info!(self.node.log, "history lost"; "revision" => revision);
                self.revision.set(None);
                self.lost.set(Some(revision));
                return Ok(());
            }
            status => return Err(StoreError::Status(status)),
        }
        let batch = self.node.protocol.read_watch(&body).map_err(StoreError::Unreadable)?;
        self.note_absence();
        self.answered(asked);
        // Peers may have told more meanwhile.
        let known = self.revision.get().unwrap_or(revision);
        let reached = batch.revision.max(revision);
        if reached > known || known == revision {
            self.revision.set(Some(reached));
            // Where hundreds of changes come at once the store has cut its answer off, and more wait already.
            let coalesces = (1..BULK).contains(&batch.changes.len());
            // Of a gap the others hear from whoever told of what lies behind it.
            if source != UpdateSource::Alone && !gap {
                self.tell((revision, reached), &batch.changes);
            }
            self.apply(batch);
            if coalesces && source != UpdateSource::Peers {
                tokio::time::sleep(self.coalescing()).await;
            }
        }
        Ok(())
    }

    /// How long a watch waits while the store is well.
    fn usual_wait(&self, source: UpdateSource) -> Duration {
        let settings = &self.node.settings;
        let shortest = settings.apply_bound.min(settings.drain_bound);
        match source {
            UpdateSource::Alone => (settings.recovery_bound + shortest).mul_f64(WAIT_PART),
            UpdateSource::Reader => shortest.mul_f64(READER_WAIT_PART),
            UpdateSource::Peers => Duration::ZERO,
        }
    }

    /// How long to wait after a change for others to gather.
    fn coalescing(&self) -> Duration {
        let settings = &self.node.settings;
        let pause = settings.apply_bound.min(settings.drain_bound).mul_f64(COALESCE_PART);
        let filling = self.orders && self.node.now().duration_since(self.started) < FILLING;
        if filling { FILLING_COALESCE.min(pause) } else { pause }
    }

    /// The store has answered a call that was made at `asked`.
    fn answered(&self, asked: Duration) {
        let now = self.node.now();
        self.heard.set(now);
        self.node.state.borrow_mut().listed = Some(now);
        // The answer may have lain unread while this process stood still.
        let uptime = self.node.clock.uptime();
        let stalled = self.pulse.get().stalled_since(asked, uptime);
        self.confirmed(if stalled { asked } else { uptime });
    }

    fn apply(&self, batch: Batch) {
        for news in batch.changes {
            self.apply_news(news, batch.revision);
        }
        self.count_endpoints();
    }

    fn apply_news(&self, news: StoreChange, revision: u64) {
        match news {
            StoreChange::Routes(routes) => self.apply_routes(routes),
            StoreChange::Endpoint(endpoint) => {
                self.apply_endpoint(endpoint, revision);
            }
            StoreChange::Removed(id) => self.lose(&id, revision),
            StoreChange::Invalid { key, endpoint, cause } => {
                let withdraw = |id: &Arc<str>| self.node.state.borrow_mut().endpoints.invalidate(id);
                let withdrawn = endpoint.as_ref().is_some_and(withdraw);
                if let Some(id) = endpoint.filter(|_| withdrawn) {
                    self.changes.borrow_mut().record(revision, id);
                }
                warn!(self.node.log, "unreadable entry"; "key" => key, "cause" => cause, "withdrawn" => withdrawn);
            }
        }
    }

    fn count_endpoints(&self) {
        let count = self.node.state.borrow().endpoints.len();
        self.node.metrics.endpoints.set(count as i64);
    }

    /// Takes an endpoint's entry over. Says whether it is news.
    fn apply_endpoint(&self, endpoint: Endpoint, revision: u64) -> bool {
        let (id, state) = (Arc::clone(&endpoint.id), endpoint.state);
        let (service, address) = (Arc::clone(&endpoint.service), endpoint.address);
        let part = endpoint.stage.map(Stage::text);
        let listing = self.node.state.borrow_mut().endpoints.upsert(endpoint);
        match listing {
            UpsertOutcome::Started | UpsertOutcome::Changed => {
                info!(self.node.log, "endpoint"; "endpoint" => &*id, "service" => &*service, "address" => %address,
                    "state" => ?state, "stage" => part, "revision" => revision);
            }
            UpsertOutcome::Foreign => {
                warn!(self.node.log, "endpoint"; "endpoint" => &*id, "state" => "withdrawn",
                    "cause" => "an entry without a time of birth", "revision" => revision);
            }
            UpsertOutcome::Outdated => {
                info!(self.node.log, "endpoint"; "endpoint" => &*id, "state" => "outdated", "revision" => revision);
            }
            UpsertOutcome::Unchanged => {}
        }
        let news = matches!(listing, UpsertOutcome::Started | UpsertOutcome::Changed);
        if listing != UpsertOutcome::Unchanged {
            self.changes.borrow_mut().record(revision, id);
        }
        news
    }

    fn apply_routes(&self, routes: Arc<RouteSet>) {
        let mut state = self.node.state.borrow_mut();
        let current = state.routes.as_ref().map_or(0, |r| r.version);
        if routes.version <= current {
            return;
        }
        self.node.metrics.version.set(routes.version as i64);
        info!(self.node.log, "configuration"; "version" => routes.version, "before" => current);
        state.allowances.retain(|name| routes.has_route(name));
        let teams = routes.teams.iter().flat_map(Teams::iter);
        let limits = teams.filter_map(|team| Some((team.tag(), team.limit?)));
        state.quotas.set_limits(self.node.clock.uptime(), limits);
        state.routes = Some(routes);
    }

    /// The entry of an endpoint has gone. Shortly after the store's return that may be a lapse of a live one.
    fn lose(&self, id: &Arc<str>, revision: u64) {
        self.changes.borrow_mut().record(revision, Arc::clone(id));
        let now = self.node.now();
        let lapsed = self.lapses.get().is_some_and(|until| now < until);
        let mut state = self.node.state.borrow_mut();
        if lapsed {
            // Not from now on: the store may have said so for as long as nothing else was heard of it, and an endpoint that
            // has left gets nothing new for longer than the deployment allows.
            let until = self.absence.get() + self.node.settings.drain_bound.mul_f64(DOUBT_PART);
            state.endpoints.mark_unconfirmed(id, until);
        } else {
            state.endpoints.remove(id);
        }
        info!(self.node.log, "endpoint"; "endpoint" => &**id, "state" => if lapsed { "doubted" } else { "gone" });
    }
}
