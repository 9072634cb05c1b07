//! Copies of the whole list that instances of a failure domain give one another;
//! [`teaselshunt_routing::SnapshotSources`] says who asks whom, and why.
//!
//! An asker that knows the list as of some revision is told what changed since, where that is remembered, with a checksum of
//! the whole. If its own list then has another one, it asks for the whole list.
//!
//! A copy bears the era and revision of its list and the age of what the store last confirmed of it. It names only endpoints that
//! the list shows plainly: while entries that may have lapsed, or stand in a copy of the store, are still in doubt here, none
//! is given, since whoever takes it has nothing to tell them by.
//!
//! A copy is believed like a telling: on the word of a peer of the same failure domain, which is not authenticated.

use std::net::SocketAddr;
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

use super::store_updates::{millis, told};
use super::{Catalog, GAP_SPREAD, outcome};
use crate::connection_pool::Failure;
use crate::protocol::Call;

/// Longest time for a copy to arrive.
pub(super) const COPY: Duration = Duration::from_millis(2500);
/// Pause between two looks for a holder.
const LOOK: Duration = Duration::from_millis(60);
/// Part by which instances look longer than the shortest time, at random, so that they do not turn to the store together.
const SPREAD: f64 = 0.3;

/// A list as it is told to a peer; endpoints follow in groups.
#[derive(Debug, Serialize, Deserialize)]
struct ListCopy {
    /// [`FORMAT`].
    format: u8,
    /// Era of the store.
    era: Option<u64>,
    /// Revision that the list shows.
    revision: u64,
    /// How long before the answer the store confirmed it, in milliseconds.
    age: u32,
    routes: Option<Arc<RouteSet>>,
    /// Revision after which `groups` and `gone` tell what changed; `None` if `groups` is the whole list.
    since: Option<u64>,
    groups: Vec<Group>,
    /// Ids that are not in the list any more.
    gone: Vec<Arc<str>>,
    /// [`Endpoints::checksum`](teaselshunt_routing::Endpoints::checksum) of the list.
    checksum: u64,
}

/// Layout of a copy; another one is passed over.
const FORMAT: u8 = 1;

/// Endpoints that share the longer words of their entries.
#[derive(Debug, Serialize, Deserialize)]
struct Group {
    service: Arc<str>,
    domain: Arc<str>,
    endpoints: Vec<Member>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Member {
    id: Arc<str>,
    born: Option<SystemTime>,
    address: SocketAddr,
    state: EndpointState,
    stage: Option<Stage>,
}

impl Group {
    fn all(endpoints: Vec<Endpoint>) -> Vec<Self> {
        let mut groups = Vec::<Self>::new();
        for endpoint in endpoints {
            let Endpoint { id, born, service, address, domain, state, stage } = endpoint;
            let member = Member { id, born, address, state, stage };
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
        })
    }
}

/// Why a peer gave no copy.
#[derive(Debug, thiserror::Error)]
enum CopyError {
    #[error("{}", .0.text())]
    Exchange(Failure),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("unreadable: {0}")]
    Unreadable(#[from] postcard::Error),
    #[error("of no use: revision {0}")]
    Outdated(u64),
    #[error("the changes do not add up to the list")]
    Diverged,
}

/// How a look for a copy ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Copied {
    /// The list is known.
    Whole,
    /// The store is to be read.
    Nowhere,
}

/// Where copies are asked for; tag of the failure domain and revision that is known, or [`WHOLE`], follow.
pub(super) const PATH: &str = "/list/";
/// Asks for the whole list.
const WHOLE: &str = "-";

impl Catalog {
    /// Era and revision of the list that this instance can give a copy of.
    pub(crate) fn holds(&self) -> (Option<u64>, Option<u64>) {
        let plain = self.node.state.borrow().endpoints.all_confirmed(self.node.now());
        (self.era.get().number(), self.revision.get().filter(|_| plain))
    }

    /// A peer of the same failure domain says up to which revision it has the list.
    pub(crate) fn holder(&self, peer: SocketAddr, (era, revision): (Option<u64>, Option<u64>)) {
        self.holders.borrow_mut().observe(peer, Era::new(era), revision);
    }

    /// Whether some peer is known to have the list.
    pub(super) fn has_holders(&self) -> bool {
        !self.holders.borrow().is_empty()
    }

    /// Copies the list from a peer that has a later one than `newer_than`. Looks for one for as long as knowledge may go
    /// unconfirmed; where only a `gap` is to be filled and nobody has it, for a moment.
    pub(super) async fn copy(&self, newer_than: Option<u64>, gap: bool) -> Copied {
        if self.node.settings.gossip_port.is_none() {
            return Copied::Nowhere;
        }
        let begun = self.node.clock.uptime();
        let spread = 1.0 + self.node.state.borrow_mut().rng.random_range(0.0..SPREAD);
        let busy_timeout = self.freshness.get().limit().mul_f64(spread);
        let no_source_timeout = if gap { GAP_SPREAD.mul_f64(spread) } else { busy_timeout };
        let mut tried = Vec::new();
        loop {
            let uptime = self.node.now().duration_since(self.started);
            let missing_for = self.node.clock.uptime().saturating_sub(begun);
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
                self.holders.borrow().next(&search, self.source.get(), rng)
            };
            tried = search.tried;
            match step {
                SnapshotStep::Store => return Copied::Nowhere,
                SnapshotStep::Wait => {
                    tried.clear();
                    tokio::time::sleep(LOOK).await;
                }
                SnapshotStep::Peer(peer) => match self.copy_from(peer, newer_than).await {
                    Ok(()) => return Copied::Whole,
                    Err(error) => {
                        debug!(self.node.log, "no copy"; "peer" => %peer, "error" => %error);
                        tried.push(peer);
                    }
                },
            }
        }
    }

    /// Revision as of which the list was known last.
    fn base(&self) -> Option<u64> {
        self.revision.get().or(self.lost.get())
    }

    async fn copy_from(&self, peer: SocketAddr, beyond: Option<u64>) -> Result<(), CopyError> {
        let asked = self.node.clock.uptime();
        let since = self.base().filter(|_| !self.diverged.get());
        let since = since.map_or_else(|| WHOLE.to_owned(), |revision| revision.to_string());
        let path = format!("{PATH}{}/{since}", tag(&self.node.settings.domain));
        let call = Call { method: Method::GET, path, headers: HeaderMap::new(), body: Bytes::new() };
        let result = self.node.call(peer, call, self.node.now() + COPY).await;
        self.node.metrics.step("copy", outcome(result.as_ref().map(|(status, _)| *status)));
        let (status, body) = result.map_err(CopyError::Exchange)?;
        if status != StatusCode::OK {
            return Err(CopyError::Status(status));
        }
        let copy: ListCopy = postcard::from_bytes(&body)?;
        let known = self.revision.get().max(beyond);
        let same = self.era.get().compare(Era::new(copy.era)) == EraOrder::Same;
        if copy.format != FORMAT
            || !same
            || known.is_some_and(|known| copy.revision <= known)
            || (copy.since.is_some() && copy.since != self.base())
        {
            return Err(CopyError::Outdated(copy.revision));
        }
        self.take_copy(copy, asked, peer)
    }

    fn take_copy(&self, copy: ListCopy, asked: Duration, peer: SocketAddr) -> Result<(), CopyError> {
        let ListCopy { era, revision, age, routes, since, groups, gone, checksum, .. } = copy;
        self.era.set(self.era.get().later(Era::new(era)));
        self.note_absence();
        // Pages that were read before the copy may show endpoints that it does not have yet.
        let mut present = std::mem::take(&mut *self.reading.borrow_mut()).present;
        if let Some(routes) = routes {
            self.apply_routes(routes);
        }
        let listed = groups.into_iter().flat_map(Group::endpoints);
        let mut changed = 0_usize;
        for endpoint in listed {
            present.insert(Arc::clone(&endpoint.id));
            changed += usize::from(self.list_endpoint(endpoint, revision));
        }
        if since.is_none() {
            self.forget_absent(&present, revision);
        }
        for id in gone {
            changed += 1;
            self.lose(&id, revision);
        }
        let diverged = since.is_some() && self.node.state.borrow().endpoints.checksum() != checksum;
        self.diverged.set(diverged);
        if diverged {
            return Err(CopyError::Diverged);
        }
        self.has_whole(revision);
        let age = millis(age);
        self.confirmed_by_peer(asked, age);
        self.count_endpoints();
        info!(self.node.log, "list"; "from" => %peer, "revision" => revision, "age_ms" => age.as_millis() as u64,
            "since" => since, "changed" => changed);
        Ok(())
    }

    /// Takes an endpoint of a copy over. The first list of thousands gets one line and not one for each endpoint.
    fn list_endpoint(&self, endpoint: Endpoint, revision: u64) -> bool {
        let mut state = self.node.state.borrow_mut();
        if !state.whole {
            return state.endpoints.upsert(endpoint) != UpsertOutcome::Unchanged;
        }
        drop(state);
        self.apply_endpoint(endpoint, revision)
    }

    /// A copy for a peer that knows the list as of a revision, if there is one to give.
    pub(super) fn give(&self, since: Option<u64>) -> Option<Vec<u8>> {
        let revision = self.revision.get()?;
        let state = self.node.state.borrow();
        if !state.endpoints.all_confirmed(self.node.now()) {
            return None;
        }
        let changed = since.and_then(|since| self.changes.borrow().since(since));
        let listed = |id: &Arc<str>| state.endpoints.listed_by_id(id).cloned();
        let (listed, gone) = match &changed {
            None => (state.endpoints.listed().cloned().collect(), Vec::new()),
            Some(ids) => {
                let gone = ids.iter().filter(|id| state.endpoints.listed_by_id(id).is_none());
                (ids.iter().filter_map(listed).collect(), gone.cloned().collect())
            }
        };
        let copy = ListCopy {
            format: FORMAT,
            era: self.era.get().number(),
            revision,
            age: told(self.freshness.get().age(self.node.clock.uptime())),
            routes: state.routes.clone(),
            since: since.filter(|_| changed.is_some()),
            groups: Group::all(listed),
            gone,
            checksum: state.endpoints.checksum(),
        };
        postcard::to_allocvec(&copy).ok()
    }
}
