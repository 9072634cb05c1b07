//! Snapshots of the complete list that instances of a failure domain serve to each other.
//! [`teaselshunt_routing::SnapshotSources`] decides which instance asks which peer, and explains why.
//!
//! An instance that knows the list as of some revision gets the changes since then, if the source still
//! remembers them, with a checksum of the complete list. If the checksum of the instance's own list then
//! differs, the instance asks for the complete list.
//!
//! A snapshot carries the era and revision of its list and the age of the store's last confirmation. It
//! contains only endpoints that the list confirms. While entries are unconfirmed at the source, because they
//! may have expired or may only be part of a restored backup, no snapshot is served: the recipient could not
//! tell such entries from the others.
//!
//! A snapshot is trusted like a store update: it comes from a peer of the same failure domain, which is not
//! authenticated.

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{debug, info};
use teaselshunt_routing::{
    Endpoint, EndpointState, Era, EraOrder, RouteSet, SnapshotSearch, SnapshotStep, Stage, UpsertOutcome, tag,
};

use super::store_updates::{from_millis, to_millis};
use super::{Catalog, MIN_GAP_SEARCH, RoutesSource, call_outcome};
use crate::connection_pool::ExchangeFailure;
use crate::protocol::Call;

/// Longest time to receive a snapshot.
pub(crate) const TRANSFER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval at which an instance polls for a snapshot source.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Largest random fraction by which instances search longer than the shortest time, so that they do not turn
/// to the store together.
const SEARCH_SPREAD: f64 = 0.3;

/// A list as it is sent to a peer; endpoints are grouped.
#[derive(Debug, Serialize, Deserialize)]
struct Snapshot {
    /// [`FORMAT`].
    format: u8,
    /// Era of the store.
    era: Option<u64>,
    /// Revision of the list.
    revision: u64,
    /// Time between the store's last confirmation of the list and this response, in milliseconds.
    age: u32,
    routes: Option<Arc<RouteSet>>,
    /// Revision after which `groups` and `gone` hold the changes; `None` if `groups` is the complete list.
    since: Option<u64>,
    groups: Vec<EndpointGroup>,
    /// Ids that were removed from the list.
    gone: Vec<Arc<str>>,
    /// [`Endpoints::checksum`](teaselshunt_routing::Endpoints::checksum) of the list.
    checksum: u64,
}

/// Version of the snapshot's layout; other versions are ignored.
const FORMAT: u8 = 2;

/// Endpoints with the same service and domain; these strings are long and are sent once for the group.
#[derive(Debug, Serialize, Deserialize)]
struct EndpointGroup {
    service: Arc<str>,
    domain: Arc<str>,
    endpoints: Vec<GroupMember>,
}

#[derive(Debug, Serialize, Deserialize)]
struct GroupMember {
    id: Arc<str>,
    born: Option<SystemTime>,
    address: SocketAddr,
    state: EndpointState,
    stage: Option<Stage>,
    slots: Option<NonZeroU32>,
}

impl EndpointGroup {
    fn all(endpoints: Vec<Endpoint>) -> Vec<Self> {
        let mut groups = Vec::<Self>::new();
        for endpoint in endpoints {
            let Endpoint { id, born, service, address, domain, state, stage, slots } = endpoint;
            let member = GroupMember { id, born, address, state, stage, slots };
            match groups.iter_mut().find(|group| group.service == service && group.domain == domain) {
                Some(group) => group.endpoints.push(member),
                None => groups.push(Self { service, domain, endpoints: vec![member] }),
            }
        }
        groups
    }

    fn endpoints(self) -> impl Iterator<Item = Endpoint> {
        let Self { service, domain, endpoints } = self;
        endpoints.into_iter().map(move |member| Endpoint {
            id: member.id,
            born: member.born,
            service: Arc::clone(&service),
            address: member.address,
            domain: Arc::clone(&domain),
            state: member.state,
            stage: member.stage,
            slots: member.slots,
        })
    }
}

/// Why no snapshot was received from a peer.
#[derive(Debug, thiserror::Error)]
enum SnapshotError {
    #[error("{}", .0.text())]
    Exchange(ExchangeFailure),
    #[error("unexpected status {0}")]
    Status(StatusCode),
    #[error("invalid snapshot: {0}")]
    Invalid(#[from] postcard::Error),
    #[error("outdated snapshot of revision {0}")]
    Outdated(u64),
    #[error("the list does not match the checksum after the changes")]
    Diverged,
}

/// Result of a search for a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SearchResult {
    /// The list is known.
    Fetched,
    /// The store must be listed.
    NotFound,
}

/// Path of snapshots; the tag of the failure domain and the known revision, or [`COMPLETE_LIST`], follow.
pub(super) const SNAPSHOT_PATH: &str = "/list/";
/// Requests the complete list.
const COMPLETE_LIST: &str = "-";

impl Catalog {
    /// Era and revision of the list that this instance can serve a snapshot of.
    pub(crate) fn snapshot_revision(&self) -> (Option<u64>, Option<u64>) {
        let confirmed = self.node.state.borrow().endpoints.all_confirmed(self.node.now());
        (self.era.get().number(), self.revision.get().filter(|_| confirmed))
    }

    /// Records the revision up to which a peer of the same failure domain has the list.
    pub(crate) fn observe_snapshot_source(
        &self,
        peer: SocketAddr,
        (era, revision): (Option<u64>, Option<u64>),
    ) {
        self.snapshot_sources.borrow_mut().observe(peer, Era::new(era), revision);
    }

    /// Whether any snapshot source is known.
    pub(super) fn has_snapshot_sources(&self) -> bool {
        !self.snapshot_sources.borrow().is_empty()
    }

    /// Fetches a snapshot from a peer with a later revision than `newer_than`. Searches for a source for as
    /// long as the known state may stay unconfirmed; if only a `gap` is missing and no peer has it, for a
    /// short time.
    pub(super) async fn fetch_snapshot(&self, newer_than: Option<u64>, gap: bool) -> SearchResult {
        if self.node.settings.gossip_port.is_none() {
            return SearchResult::NotFound;
        }
        let search_started = self.node.clock.uptime();
        let spread = 1.0 + self.node.state.borrow_mut().rng.random_range(0.0..SEARCH_SPREAD);
        let busy_timeout = self.freshness.get().limit().mul_f64(spread);
        let no_source_timeout = if gap { MIN_GAP_SEARCH.mul_f64(spread) } else { busy_timeout };
        let mut tried = Vec::new();
        loop {
            let uptime = self.node.now().duration_since(self.started);
            let missing_for = self.node.clock.uptime().saturating_sub(search_started);
            let search = SnapshotSearch {
                era: self.era.get(),
                newer_than,
                tried,
                missing_for,
                busy_timeout,
                no_source_timeout,
                uptime,
            };
            let step = {
                let rng = &mut self.node.state.borrow_mut().rng;
                self.snapshot_sources.borrow().next(&search, self.source.get(), rng)
            };
            tried = search.tried;
            match step {
                SnapshotStep::Store => return SearchResult::NotFound,
                SnapshotStep::Wait => {
                    tried.clear();
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                SnapshotStep::Peer(peer) => match self.fetch_from(peer, newer_than).await {
                    Ok(()) => return SearchResult::Fetched,
                    Err(error) => {
                        debug!(self.node.log, "snapshot request failed"; "peer" => %peer, "error" => %error);
                        tried.push(peer);
                    }
                },
            }
        }
    }

    /// Revision of the last known list.
    fn last_known_revision(&self) -> Option<u64> {
        self.revision.get().or(self.lost_revision.get())
    }

    async fn fetch_from(&self, peer: SocketAddr, newer_than: Option<u64>) -> Result<(), SnapshotError> {
        let called_at = self.node.clock.uptime();
        let since = self.last_known_revision().filter(|_| !self.diverged.get());
        let since = since.map_or_else(|| COMPLETE_LIST.to_owned(), |revision| revision.to_string());
        let path = format!("{SNAPSHOT_PATH}{}/{since}", tag(&self.node.settings.domain));
        let call = Call { method: Method::GET, path, headers: HeaderMap::new(), body: Bytes::new() };
        // A kept connection may be dead, which would cost the whole timeout.
        self.node.pool.close_idle(peer);
        let result = self.node.call_for_list(peer, call, self.node.now() + TRANSFER_TIMEOUT).await;
        self.node.metrics.count_step("copy", call_outcome(result.as_ref().map(|(status, _)| *status)));
        let (status, body) = result.map_err(SnapshotError::Exchange)?;
        if status != StatusCode::OK {
            return Err(SnapshotError::Status(status));
        }
        let snapshot: Snapshot = postcard::from_bytes(&body)?;
        let known = self.revision.get().max(newer_than);
        let same = self.era.get().compare(Era::new(snapshot.era)) == EraOrder::Same;
        if snapshot.format != FORMAT
            || !same
            || known.is_some_and(|known| snapshot.revision <= known)
            || (snapshot.since.is_some() && snapshot.since != self.last_known_revision())
        {
            return Err(SnapshotError::Outdated(snapshot.revision));
        }
        self.apply_snapshot(snapshot, called_at, peer)
    }

    fn apply_snapshot(
        &self,
        snapshot: Snapshot,
        called_at: Duration,
        peer: SocketAddr,
    ) -> Result<(), SnapshotError> {
        let Snapshot { era, revision, age, routes, since, groups, gone, checksum, .. } = snapshot;
        self.era.set(self.era.get().later(Era::new(era)));
        self.record_missing_since();
        // Pages that were read before the snapshot may contain endpoints that the snapshot does not have yet.
        let mut present = std::mem::take(&mut *self.list_progress.borrow_mut()).present;
        if let Some(routes) = routes {
            self.apply_routes(routes, RoutesSource::Peer);
        }
        let listed = groups.into_iter().flat_map(EndpointGroup::endpoints);
        let mut changed = 0_usize;
        for endpoint in listed {
            present.insert(Arc::clone(&endpoint.id));
            changed += usize::from(self.apply_listed(endpoint, revision));
        }
        if since.is_none() {
            self.remove_missing(&present, revision);
        }
        for id in gone {
            changed += 1;
            self.remove_endpoint(&id, revision);
        }
        let diverged = since.is_some() && self.node.state.borrow().endpoints.checksum() != checksum;
        self.diverged.set(diverged);
        if diverged {
            return Err(SnapshotError::Diverged);
        }
        self.record_complete_list(revision);
        let age = from_millis(age);
        self.confirm_from_peer(called_at, age);
        self.count_endpoints();
        info!(self.node.log, "list"; "from" => %peer, "revision" => revision, "age_ms" => age.as_millis() as u64,
            "since" => since, "changed" => changed);
        Ok(())
    }

    /// Applies an endpoint of a snapshot. The first list, of thousands of endpoints, is logged in one line
    /// and not in one line for each endpoint.
    fn apply_listed(&self, endpoint: Endpoint, revision: u64) -> bool {
        let mut state = self.node.state.borrow_mut();
        if !state.list_complete {
            return state.endpoints.upsert(endpoint) != UpsertOutcome::Unchanged;
        }
        drop(state);
        self.apply_endpoint(endpoint, revision)
    }

    /// Encodes a snapshot for a peer that knows the list as of a revision; `None` if this instance cannot
    /// serve one.
    pub(super) fn encode_snapshot(&self, since: Option<u64>) -> Option<Vec<u8>> {
        let revision = self.revision.get()?;
        let state = self.node.state.borrow();
        if !state.endpoints.all_confirmed(self.node.now()) {
            return None;
        }
        let changed = since.and_then(|since| self.recent_changes.borrow().since(since));
        let listed = |id: &Arc<str>| state.endpoints.listed_by_id(id).cloned();
        let (listed, gone) = match &changed {
            None => (state.endpoints.listed().cloned().collect(), Vec::new()),
            Some(ids) => {
                let gone = ids.iter().filter(|id| state.endpoints.listed_by_id(id).is_none());
                (ids.iter().filter_map(listed).collect(), gone.cloned().collect())
            }
        };
        let snapshot = Snapshot {
            format: FORMAT,
            era: self.era.get().number(),
            revision,
            age: to_millis(self.freshness.get().age(self.node.clock.uptime())),
            routes: state.routes.clone(),
            since: since.filter(|_| changed.is_some()),
            groups: EndpointGroup::all(listed),
            gone,
            checksum: state.endpoints.checksum(),
        };
        postcard::to_allocvec(&snapshot).ok()
    }
}
