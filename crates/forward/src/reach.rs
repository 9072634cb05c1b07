//! How this instance reaches endpoints: over its own links, or through peers.
//!
//! [`Links`] decides which way a connection to an endpoint takes, and [`TunnelPeers`] through which peer. This module
//! keeps both for the connection pool, and runs the checks that tell a lost link from an endpoint that is down.

use std::cell::{Cell, RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use slog::{debug, info};
use teaselshunt_routing::{CheckResult, LinkChange, Links, Path, Probe, TunnelPeers};
use tokio::sync::Notify;

use crate::connection_pool::Connection;
use crate::node::Node;
use crate::phase::Phase;

/// Longest time for an endpoint's answer that shows whether this instance's links are sound.
pub(crate) const CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// The same through a peer.
const TUNNEL_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Peers that a check asks at a time.
const CHECK_PEERS: usize = 3;
/// Time after which an instance that has heard from no endpoint asks one before it opens a tunnel.
const HEARD_LATELY: Duration = Duration::from_millis(500);
/// Endpoints that are asked whether an instance's links are sound; one may be down as well.
const CONFIRMING_ENDPOINTS: usize = 4;
/// Requests that wait for a check at a time while nothing is reached.
const PROBES_MAX: usize = 4;
/// Time that must be left of a request's deadline when the check that it waits for is answered.
const PROBE_MARGIN: Duration = Duration::from_millis(300);
/// Failing links from which an instance that has heard nothing since does not vouch for what it cannot reach.
const DOUBTFUL_MIN: usize = 2;

/// Where a request goes.
#[derive(Debug, Clone)]
pub(crate) struct Destination {
    pub(crate) address: SocketAddr,
    /// Id of the endpoint; `None` for the platform and for peers.
    pub(crate) endpoint: Option<Arc<str>>,
}

impl Destination {
    /// The endpoint with this id.
    pub(crate) const fn endpoint(address: SocketAddr, id: Arc<str>) -> Self {
        Self { address, endpoint: Some(id) }
    }
}

/// Why a connection to an endpoint is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    Request,
    Check,
    /// A peer asked for a tunnel.
    Tunnel,
}

impl Cause {
    const ALL: [Self; 3] = [Self::Request, Self::Check, Self::Tunnel];

    const fn text(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Check => "check",
            Self::Tunnel => "tunnel",
        }
    }
}

/// What is known of the ways to endpoints.
#[derive(Debug)]
pub(crate) struct Reach {
    links: RefCell<Links>,
    peers: RefCell<TunnelPeers<SocketAddr>>,
    rng: RefCell<SmallRng>,
    /// Changes of links that are not logged yet.
    changes: RefCell<Vec<(SocketAddr, LinkChange)>>,
    /// Notified when a link is lost.
    lost: Notify,
    /// Notified when a check was answered or has ended.
    checked: Notify,
    /// Requests that wait for a check.
    probes: Cell<usize>,
    /// Number of lost links in the last log line.
    logged: Cell<usize>,
    /// Attempts to connect by cause that are not counted in the metrics yet.
    connecting: [Cell<u64>; Cause::ALL.len()],
}

impl Default for Reach {
    fn default() -> Self {
        Self {
            links: RefCell::default(),
            peers: RefCell::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            changes: RefCell::default(),
            lost: Notify::new(),
            checked: Notify::new(),
            probes: Cell::new(0),
            logged: Cell::new(0),
            connecting: Default::default(),
        }
    }
}

impl Reach {
    /// How a request reaches an endpoint now.
    pub(crate) fn path(&self, endpoint: SocketAddr) -> Path {
        self.links.borrow_mut().path(Instant::now(), endpoint)
    }

    /// Records that a request was sent to an endpoint over a direct connection.
    pub(crate) fn record_send(&self, endpoint: SocketAddr) {
        self.links.borrow_mut().record_send(Instant::now(), endpoint);
    }

    /// Records that bytes of an endpoint arrived over a direct connection that was opened at `opened`.
    pub(crate) fn record_bytes(&self, endpoint: SocketAddr, opened: Instant) {
        self.checked.notify_waiters();
        if self.links.borrow_mut().record_bytes(Instant::now(), endpoint, opened) {
            self.changes.borrow_mut().push((endpoint, LinkChange::Restored));
        }
    }

    /// Counts an attempt to connect directly.
    pub(crate) fn count_connection(&self, cause: Cause) {
        let count = &self.connecting[cause as usize];
        count.set(count.get() + 1);
    }

    /// Records that a direct connection could not be opened, or broke before its response began.
    pub(crate) fn record_failure(&self, endpoint: SocketAddr) {
        self.links.borrow_mut().record_failure(Instant::now(), endpoint);
    }

    /// Records the result of a check that began at `began`, or of an attempt to connect that counts as one.
    pub(crate) fn record_check(&self, began: Instant, endpoint: SocketAddr, result: CheckResult) {
        let change = self.links.borrow_mut().record_check_since(began, Instant::now(), endpoint, result);
        if let Some(change) = change {
            self.changes.borrow_mut().push((endpoint, change));
        }
        if change == Some(LinkChange::Lost) {
            self.lost.notify_waiters();
        }
    }

    /// Records the end of a check.
    fn end_check(&self, began: Instant, endpoint: SocketAddr, answered: bool) {
        let (now, rng) = (Instant::now(), &mut *self.rng.borrow_mut());
        self.links.borrow_mut().end_check(now, endpoint, now - began, answered, rng);
        self.checked.notify_waiters();
    }

    /// Begins a check of a link, or joins one that is in progress.
    fn begin_probe(&self, endpoint: SocketAddr) -> Probe {
        self.links.borrow_mut().begin_probe(Instant::now(), endpoint, &mut *self.rng.borrow_mut())
    }

    /// Waits until any of these endpoints is heard, or no check of them is in progress. Returns whether one was heard since
    /// `since`.
    async fn until_checked(&self, endpoints: &[SocketAddr], since: Instant) -> bool {
        loop {
            let checked = self.checked.notified();
            let (heard, goes_on) = {
                let (links, now) = (self.links.borrow(), Instant::now());
                let heard = endpoints.iter().any(|&endpoint| links.has_heard_since(endpoint, since));
                (heard, endpoints.iter().any(|&endpoint| links.is_checked(now, endpoint)))
            };
            if heard || !goes_on {
                return heard;
            }
            checked.await;
        }
    }

    /// Waits until the link to an endpoint is lost.
    pub(crate) async fn until_lost(&self, endpoint: SocketAddr) {
        loop {
            let lost = self.lost.notified();
            if self.links.borrow().is_lost(endpoint) {
                return;
            }
            lost.await;
        }
    }

    /// Whether the link to an endpoint is lost.
    pub(crate) fn is_lost(&self, endpoint: SocketAddr) -> bool {
        self.links.borrow().is_lost(endpoint)
    }

    /// Whether a peer may be asked now for a way to an endpoint.
    pub(crate) fn may_ask_peer(&self, endpoint: SocketAddr) -> bool {
        self.links.borrow().may_ask_peer(Instant::now(), endpoint)
    }

    /// Chooses a peer that is none of `tried`.
    pub(crate) fn choose_peer(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        self.peers.borrow().choose(Instant::now(), tried, &mut *self.rng.borrow_mut())
    }

    /// Peers that take tunnels.
    pub(crate) fn peers(&self) -> RefMut<'_, TunnelPeers<SocketAddr>> {
        self.peers.borrow_mut()
    }

    /// Whether a request that needs one of these endpoints is to be refused at once, since nothing reaches any.
    pub(crate) fn refuses(&self, now: Instant, endpoints: impl Iterator<Item = SocketAddr>) -> bool {
        self.links.borrow_mut().refuses(now, endpoints)
    }

    /// Whether nothing reaches any endpoint that is in use.
    pub(crate) fn is_isolated(&self, now: Instant) -> bool {
        self.links.borrow().is_isolated(now)
    }

    /// Whether any endpoint has ever sent something directly, so that this instance has had links.
    pub(crate) fn has_heard(&self) -> bool {
        self.links.borrow().has_heard()
    }

    /// Whether any endpoint has sent something directly within some request times.
    pub(crate) fn has_heard_lately(&self, now: Instant) -> bool {
        self.links.borrow().has_heard_within(now, HEARD_LATELY)
    }

    /// Whether what this instance cannot reach says something about endpoints.
    pub(crate) fn is_sound(&self, now: Instant) -> bool {
        let links = self.links.borrow();
        let doubt = links.is_in_doubt(now) && links.doubtful_count(now) >= DOUBTFUL_MIN;
        !links.is_cut_off() && !links.is_isolated(now) && !doubt
    }
}

/// Whether this instance opens tunnels for peers.
pub(crate) fn takes_tunnels(node: &Node) -> bool {
    let serves = node.phase() == Phase::Serving && node.is_ready();
    node.settings.tunnels && serves && node.pool.reach().is_sound(node.now())
}

/// Starts the checks that are due, logs what changed, and updates the gauges. Returns whether this instance doubts its
/// links.
pub(crate) fn maintain(node: &Rc<Node>, was_in_doubt: bool) -> bool {
    let (now, reach) = (node.now(), node.pool.reach());
    reach.peers.borrow_mut().expire(now);
    let has_peers = reach.peers.borrow().is_any_usable(now);
    reach.links.borrow_mut().set_has_peers(has_peers);
    reach.links.borrow_mut().set_instances(node.peer_count.get() + 1);
    let due = reach.links.borrow_mut().due_checks(now, &mut *reach.rng.borrow_mut());
    for endpoint in due {
        tokio::task::spawn_local(check(Rc::clone(node), endpoint, Asks::Peers));
    }
    for (address, change) in reach.changes.take() {
        apply_change(node, address, change);
    }
    let links = reach.links.borrow();
    let (in_doubt, doubtful, lost) = (links.is_in_doubt(now), links.doubtful_count(now), links.lost_count());
    node.metrics.links.doubtful.set(doubtful as i64);
    node.metrics.links.lost.set(lost as i64);
    node.metrics.links.unreachable.set(links.unreachable_count() as i64);
    node.metrics.links.checks.set(links.checks_in_progress(now) as i64);
    node.metrics.links.unheard.set(links.unheard_time(now).unwrap_or_default().as_millis() as i64);
    for cause in Cause::ALL {
        let count = reach.connecting[cause as usize].take();
        node.metrics.links.connections.with_label_values(&[cause.text()]).inc_by(count);
    }
    if in_doubt != was_in_doubt || reach.logged.replace(lost) != lost {
        info!(node.log, "links"; "in_doubt" => in_doubt, "doubtful" => doubtful, "lost" => lost,
            "cut_off" => links.is_cut_off());
    }
    in_doubt
}

/// Logs a change of a link. Results at its endpoint showed something about the link, and are forgotten.
fn apply_change(node: &Node, address: SocketAddr, change: LinkChange) {
    let state = match change {
        LinkChange::Lost => "lost",
        LinkChange::Unreachable => "unreachable",
        LinkChange::Restored => "restored",
    };
    let state_of_node = &mut *node.state.borrow_mut();
    let id = state_of_node.endpoints.at_address(address).map(|endpoint| Arc::clone(&endpoint.id));
    info!(node.log, "link"; "endpoint" => id.as_deref(), "address" => %address, "state" => state);
    if change != LinkChange::Unreachable {
        state_of_node.endpoints.forget_results(address);
    }
}

/// Whom a check asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asks {
    /// The endpoint, and peers if it does not answer.
    Peers,
    /// The endpoint alone.
    Endpoint,
}

/// Finds out whether an endpoint answers directly, or else through a peer. A check of which nothing is known in time goes on
/// for a late answer, whose connection is kept for requests.
async fn check(node: Rc<Node>, address: SocketAddr, asks: Asks) {
    let id = node.state.borrow().endpoints.at_address(address).map(|endpoint| Arc::clone(&endpoint.id));
    let reach = node.pool.reach();
    let Some(id) = id else {
        reach.links.borrow_mut().forget(address);
        return reach.checked.notify_waiters();
    };
    let destination = Destination::endpoint(address, id);
    let (began, times) = (node.now(), reach.links.borrow().check_times(address));
    let was_lost = reach.is_lost(address);
    let conclude = async {
        if asks == Asks::Peers {
            conclude(&node, &destination, began, was_lost).await;
        }
    };
    let mut own = std::pin::pin!(answers_over_own_link(&node, &destination, began + times.patience));
    let (answered, text) = match tokio::time::timeout(times.answer, own.as_mut()).await {
        Ok(true) => (true, "direct"),
        Ok(false) => {
            // The link may be checked again while peers are asked.
            reach.end_check(began, address, false);
            return conclude.await;
        }
        Err(_) => {
            let (answered, ()) = tokio::join!(own, conclude);
            (answered, if answered { "late" } else { "unanswered" })
        }
    };
    node.metrics.count_step("check", text);
    if answered {
        reach.record_check(began, address, CheckResult::Direct);
    }
    reach.end_check(began, address, answered);
}

/// Finds out what it means that an endpoint does not answer directly.
async fn conclude(node: &Rc<Node>, destination: &Destination, began: Instant, was_lost: bool) {
    if was_lost {
        // It is known that peers reach the endpoint.
        node.metrics.count_step("check", "lost");
        return;
    }
    let (reach, address) = (node.pool.reach(), destination.address);
    let asks_peers = reach.links.borrow().asks_peers(node.now(), address);
    let through_peer = asks_peers && check_through_peers(node, destination).await;
    let result = if through_peer { CheckResult::Tunnel } else { CheckResult::Neither };
    node.metrics.count_step("check", if result == CheckResult::Tunnel { "tunnel" } else { "neither" });
    reach.record_check(began, address, result);
}

/// Whether the endpoint at an address answers a check of this instance itself, one in progress included, before it opens a
/// tunnel for a peer. Many may wait for one check.
pub(crate) async fn answers_soon(node: &Rc<Node>, address: SocketAddr, timeout: Duration) -> bool {
    let (reach, since) = (node.pool.reach(), node.now());
    let probe = reach.links.borrow_mut().begin_peer_probe(since, address);
    spawn_probe(node, address, probe);
    tokio::time::timeout(timeout, reach.until_checked(&[address], since)).await.unwrap_or(false)
}

/// Whether any of some other endpoints answers such a check.
pub(crate) async fn others_answer_soon(node: &Rc<Node>, except: SocketAddr, timeout: Duration) -> bool {
    let others: Vec<_> = sample_others(node, except).into_iter().map(|other| other.address).collect();
    let (reach, since) = (node.pool.reach(), node.now());
    for &other in &others {
        start_probe(node, other);
    }
    let heard = tokio::time::timeout(timeout, reach.until_checked(&others, since)).await;
    others.is_empty() || heard.unwrap_or(false)
}

fn start_probe(node: &Rc<Node>, address: SocketAddr) {
    spawn_probe(node, address, node.pool.reach().begin_probe(address));
}

fn spawn_probe(node: &Rc<Node>, address: SocketAddr, probe: Probe) {
    if probe == Probe::Begun {
        tokio::task::spawn_local(check(Rc::clone(node), address, Asks::Endpoint));
    }
}

/// Waits, for a request that nothing is known to reach an endpoint for, until one of these endpoints answers a check.
/// Returns whether one did within the deadline. Few requests wait at a time, and each waits only for a check that is due.
pub(crate) async fn probe(node: &Rc<Node>, endpoints: &[SocketAddr], deadline: Instant) -> bool {
    let (reach, since) = (node.pool.reach(), node.now());
    let until = deadline.checked_sub(PROBE_MARGIN).filter(|until| *until > since);
    let (Some(until), true) = (until, reach.probes.get() < PROBES_MAX) else { return false };
    let _waiting = WaitingProbe::begin(reach);
    let chosen = endpoints.choose(&mut *reach.rng.borrow_mut()).copied();
    if let Some(address) = chosen {
        start_probe(node, address);
    }
    let checked = tokio::time::timeout_at(until.into(), reach.until_checked(endpoints, since)).await;
    checked.unwrap_or(false)
}

/// Counts a request that waits for a check until it is dropped.
struct WaitingProbe(Rc<Reach>);

impl WaitingProbe {
    fn begin(reach: &Rc<Reach>) -> Self {
        reach.probes.set(reach.probes.get() + 1);
        Self(Rc::clone(reach))
    }
}

impl Drop for WaitingProbe {
    fn drop(&mut self) {
        self.0.probes.set(self.0.probes.get() - 1);
    }
}

/// Some endpoints other than the one at this address.
fn sample_others(node: &Node, except: SocketAddr) -> Vec<Destination> {
    let state = &mut *node.state.borrow_mut();
    let others = state.endpoints.sample_open(node.now(), except, CONFIRMING_ENDPOINTS, &mut state.rng);
    others.into_iter().map(|e| Destination::endpoint(e.address, Arc::clone(&e.id))).collect()
}

/// Whether any of some endpoints other than the one at this address answers this instance itself, so that the instance's
/// links are sound. Where there is no other, nothing speaks against them.
pub(crate) async fn confirms_links(node: &Node, except: SocketAddr, timeout: Duration) -> bool {
    let others = sample_others(node, except);
    if others.is_empty() {
        return true;
    }
    let mut asked: FuturesUnordered<_> =
        others.iter().map(|other| answers_over_own_link(node, other, node.now() + timeout)).collect();
    while let Some(answered) = asked.next().await {
        if answered {
            return true;
        }
    }
    false
}

async fn answers_over_own_link(node: &Node, destination: &Destination, until: Instant) -> bool {
    match node.pool.connect_until(destination, until).await {
        Ok(connection) => answers(node, destination, connection, until).await,
        Err(_) => false,
    }
}

/// Whether an endpoint answers through any of some peers.
async fn check_through_peers(node: &Rc<Node>, destination: &Destination) -> bool {
    let reach = node.pool.reach();
    let mut peers = Vec::new();
    while peers.len() < CHECK_PEERS
        && let Some(peer) = reach.choose_peer(&peers)
    {
        peers.push(peer);
    }
    if !peers.is_empty() {
        peers.truncate(reach.links.borrow_mut().take_peers(peers.len()));
    }
    let until = node.now() + TUNNEL_CHECK_TIMEOUT;
    let mut asked: FuturesUnordered<_> = peers
        .into_iter()
        .map(|peer| async move {
            let connecting =
                tokio::time::timeout_at(until.into(), node.pool.connect_through(destination, peer));
            let Ok(Ok(connection)) = connecting.await else { return false };
            let answered = answers(node, destination, connection, until).await;
            if !answered {
                reach.peers().record_failure(node.now(), peer);
            }
            answered
        })
        .collect();
    while let Some(answered) = asked.next().await {
        if answered {
            return true;
        }
    }
    false
}

/// Whether an endpoint answers a small call over a connection, whatever it answers.
async fn answers(node: &Node, destination: &Destination, connection: Connection, until: Instant) -> bool {
    let id = destination.endpoint.as_deref().unwrap_or_default();
    let call = node.protocol.report(id);
    let result = node.call_over(connection, destination.address, call, until).await;
    if let Err(failure) = &result {
        debug!(node.log, "check of a link failed"; "endpoint" => id, "failure" => failure.text());
    }
    result.is_ok()
}
