//! Gossip between instances in datagrams: the load that each sends to engines, the known peers, and store
//! updates.
//!
//! There is no list of instances. An instance starts with the seeds: the addresses of a few instances, some
//! of which may have ended. Each instance sends reports to the seeds. Every datagram names some other peers,
//! so that after some rounds all instances know all others. A peer that stays unresponsive is removed.
//!
//! Gossip uses plain datagrams and not QUIC: a report is outdated after a moment, a lost report is made up
//! for by the next report, and the platform provides no keys for a handshake. A forged report can make
//! choices worse, have a request refused for a while, take an endpoint out of use until it starts again, or
//! keep orders from being given; it cannot make a request run twice or a refusal false. A forged store update could send work to the wrong
//! endpoint. Store updates are therefore accepted only from known peers of the same failure domain, but no
//! peer is authenticated.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use teaselshunt_core::{CrashReport, CrashUpdate, Fingerprint, PartReport, UpdateScope};
use teaselshunt_routing::{EngineTag, Peers, SeedStatement, failure_timeout, plausible_interval, tag};
use teaselshunt_teams::{TeamSpending, UpdateHeader};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::catalog::{Catalog, StoreUpdate};
use crate::crashes;
use crate::load::{self, LoadReport};
use crate::node::Node;
use crate::phase::Phase;
use crate::quarantine;
use crate::queue;
use crate::rates::{self, RateEntry};
use crate::reach;
use crate::statements;

/// How long all crash reports that keep requests in quarantine are sent after a new peer was observed, which
/// may not know them. This is several gossip intervals, since datagrams are lost.
const NEW_PEER_WINDOW: Duration = Duration::from_secs(2);
/// Fraction of the reports to other failure domains that tell of load: the bytes between domains are expensive,
/// and what was told counts for over a second.
const FAR_LOAD_FRACTION: f64 = 0.4;
/// Fraction of the reports that repeat what keeps requests and parts of prompts in quarantine: a peer that comes back from a
/// partition does not know it, and hears it from several others within a second.
const REMINDER_FRACTION: f64 = 0.25;
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// First byte of each datagram. Datagrams of other versions have another layout and are ignored.
const VERSION: u8 = 10;
/// Store updates that may wait to be sent. Further ones are dropped; the next update makes up for them.
pub(crate) const UPDATE_QUEUE: usize = 16;

/// What instances send each other.
#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    /// [`VERSION`].
    version: u8,
    /// Tag of the sender's failure domain.
    domain: u32,
    content: Content,
}

#[derive(Debug, Serialize, Deserialize)]
enum Content {
    #[serde(rename = "Digest")]
    Report(Box<Report>),
    #[serde(rename = "Telling")]
    StoreUpdate(StoreUpdate),
}

/// What an instance reports of itself.
#[derive(Debug, Serialize, Deserialize)]
struct Report {
    /// Incarnation of the sender: drawn at random at its start.
    #[serde(rename = "life")]
    incarnation: u64,
    /// Increases with each report of the incarnation.
    sequence: u64,
    /// Tokens in flight by engine.
    in_flight: Vec<(u32, u32)>,
    /// Endpoints that the sender could not use recently.
    suspects: Vec<u32>,
    /// Decode engines with a local prefill of the sender in progress.
    #[serde(rename = "reads")]
    local_prefills: Vec<u32>,
    /// Crashes of endpoints under requests.
    crashes: Vec<CrashReport>,
    /// Requests with a complete response after endpoints had crashed under them.
    served: Vec<Fingerprint>,
    /// Units admitted for teams near their limits.
    spending: Vec<TeamSpending>,
    /// Rate limits that endpoints advertise, and the requests sent to these endpoints.
    rates: Vec<RateEntry>,
    /// Endpoints that stated lately that they leave.
    leaving_endpoints: Vec<u32>,
    /// Instances that the sender remembers, including itself.
    instances: u32,
    /// Whether the sender is shutting down.
    leaving: bool,
    /// Era and revision of the list that the sender can serve a snapshot of.
    #[serde(rename = "holds")]
    snapshot_revision: (Option<u64>, Option<u64>),
}

/// Trailer of a datagram that differs between recipients.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Trailer {
    /// Some other peers.
    named: Vec<SocketAddr>,
    /// Longest time until the sender sends its next report, in milliseconds.
    next: u32,
    /// Results and demand, while endpoints or services are overloaded. `None` leaves the previous ones in force.
    load: Option<LoadReport>,
}

/// Follows in a datagram. Builds that do not know it ignore it, and it is missing in their datagrams.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Extension {
    /// Whether the sender opens tunnels to endpoints.
    takes_tunnels: bool,
}

/// Evidence about parts of prompts, after the extension. It may be missing like [`Extension`].
type PartReports = Vec<PartReport>;

/// What the sender votes for where instances elect the one that gives orders, at the end of a datagram. It may be missing like
/// [`Extension`].
#[derive(Debug, Serialize, Deserialize)]
struct Vote {
    /// Control address of the sender.
    instance: SocketAddr,
    /// Its seeds, the first of which it votes for.
    seeds: Vec<SocketAddr>,
}

/// Sends and receives gossip until the process ends.
pub(crate) async fn run(
    catalog: Rc<Catalog>,
    node: Rc<Node>,
    port: u16,
    mut updates: mpsc::Receiver<StoreUpdate>,
) {
    let own = SocketAddr::new(node.settings.callers_address.ip(), port);
    let socket = match UdpSocket::bind(own).await {
        Ok(socket) => socket,
        Err(error) => {
            // Without peers an instance chooses endpoints by its own load alone.
            warn!(node.log, "cannot listen for gossip"; "address" => %own, "error" => %error);
            return;
        }
    };
    let seeds: Vec<_> = node.settings.seeds.iter().map(|s| SocketAddr::new(s.ip(), port)).collect();
    let (incarnation, started) = (node.state.borrow_mut().rng.random(), node.now());
    let domain = tag(&node.settings.domain);
    let mut gossip = Gossip {
        catalog,
        node,
        own,
        domain,
        seeds,
        peers: Peers::new(domain),
        incarnation,
        sequence: 0,
        started,
        new_peer_at: None,
    };
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut next = gossip.node.now();
    let mut pause = gossip.peers.round_pause(false);
    loop {
        let node = Rc::clone(&gossip.node);
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received {
                    gossip.receive(from, &buffer[..length]);
                }
            }
            Some(update) = updates.recv() => gossip.send_update(&socket, update).await,
            () = wait_for_change(&node, next, pause) => {
                let urgent = gossip.send(&socket).await;
                pause = gossip.peers.round_pause(urgent).min(load::report_pause(&node));
                next = node.now() + gossip.peers.min_interval();
            }
        }
    }
}

/// Waits until `due` and then for a change, at most for `pause`.
async fn wait_for_change(node: &Node, due: Instant, pause: Duration) {
    tokio::time::sleep_until(due.into()).await;
    // A report is sent both after a change and after the timeout.
    let _ = tokio::time::timeout_at((due + pause).into(), node.gossip_wakeup.notified()).await;
}

struct Gossip {
    catalog: Rc<Catalog>,
    node: Rc<Node>,
    own: SocketAddr,
    domain: u32,
    seeds: Vec<SocketAddr>,
    peers: Peers<SocketAddr>,
    incarnation: u64,
    sequence: u64,
    started: Instant,
    /// When a new peer, or a new incarnation of a known peer, was last observed.
    new_peer_at: Option<Instant>,
}

impl Gossip {
    fn receive(&mut self, from: SocketAddr, data: &[u8]) {
        let Ok(((datagram, trailer), rest)) = postcard::take_from_bytes::<(Datagram, Trailer)>(data) else {
            return;
        };
        if datagram.version != VERSION {
            return;
        }
        let same_domain = datagram.domain == self.domain;
        match datagram.content {
            Content::Report(report) => {
                if same_domain {
                    self.catalog.observe_snapshot_source(from, report.snapshot_revision);
                }
                if let (era, Some(revision)) = report.snapshot_revision {
                    self.catalog.observe_peer_revision(from, era, revision);
                }
                let (extension, rest) =
                    postcard::take_from_bytes(rest).unwrap_or((Extension::default(), &[]));
                let (parts, rest) = postcard::take_from_bytes(rest).unwrap_or((PartReports::default(), &[]));
                let vote: Option<Vote> = postcard::from_bytes(rest).unwrap_or_default();
                let lifetime =
                    failure_timeout(plausible_interval(Duration::from_millis(trailer.next.into())));
                let takes_tunnels = self.node.settings.tunnels && extension.takes_tunnels && !report.leaving;
                let now = self.node.now();
                self.node.pool.reach().peers().observe(now, from, takes_tunnels, same_domain, lifetime);
                self.receive_report(from, datagram.domain, *report, trailer);
                self.receive_parts(&parts);
                if let Some(Vote { instance, seeds }) = vote {
                    self.node.state.borrow_mut().election.observe(SeedStatement { instance, seeds });
                }
            }
            Content::StoreUpdate(update) if same_domain && self.peers.contains(from) => {
                self.catalog.merge_update(from, update);
            }
            Content::StoreUpdate(_) => {}
        }
    }

    fn receive_report(&mut self, from: SocketAddr, domain: u32, report: Report, trailer: Trailer) {
        let now = self.node.now();
        let next = plausible_interval(Duration::from_millis(u64::from(trailer.next)));
        if self.peers.observe(now, from, domain, next) {
            // A starting peer waits to learn the other instances.
            self.node.gossip_wakeup.notify_one();
            info!(self.node.log, "peer"; "address" => %from, "state" => "known", "peers" => self.peers.len());
        }
        let is_other = |peer: &SocketAddr| *peer != self.own && peer.port() == self.own.port();
        self.peers.add_reported(now, trailer.named.into_iter().filter(is_other));
        let mut state = self.node.state.borrow_mut();
        let uptime = self.node.clock.uptime();
        let header = UpdateHeader {
            incarnation: report.incarnation,
            sequence: report.sequence,
            domain,
            interval: next,
            draining: report.leaving,
            known_instances: report.instances,
        };
        let is_new = state.quotas.receive_update(uptime, from, header);
        let ledger = state.endpoints.ledger();
        let in_flight = report.in_flight.into_iter().map(|(tag, tokens)| (EngineTag(tag), tokens));
        let change = ledger.update(now, from, (report.incarnation, report.sequence), in_flight);
        if change.is_new_incarnation {
            self.new_peer_at = Some(now);
        }
        ledger.set_gossip_interval(from, next);
        drop(state);
        load::warn_implausible(&self.node, from, "in_flight", change.implausible);
        if change.freed {
            queue::wake(&self.node);
        }
        // Nothing else counts of a report that a newer one has overtaken.
        if !is_new {
            return;
        }
        {
            let mut state = self.node.state.borrow_mut();
            state.quotas.merge_spending(uptime, from, report.spending);
            let ledger = state.endpoints.ledger();
            for tag in report.suspects {
                ledger.report_suspect(now, from, EngineTag(tag));
            }
            for tag in report.local_prefills {
                ledger.report_local_prefill(now, EngineTag(tag));
            }
        }
        self.receive_crashes(now, report.crashes, report.served);
        rates::merge_reports(&self.node, from, report.incarnation, report.rates);
        let leaving = report.leaving_endpoints.into_iter().map(EngineTag);
        statements::merge_leaving(&self.node, leaving.collect());
        if let Some(load) = trailer.load {
            load::merge(&self.node, from, report.incarnation, failure_timeout(next), load);
        }
    }

    fn receive_crashes(&self, now: Instant, crashes: Vec<CrashReport>, served: Vec<Fingerprint>) {
        for request in served {
            self.node.state.borrow_mut().quarantine.merge_success(now, request);
        }
        for crash in crashes.into_iter().map(|report| report.crash(now, self.started)) {
            if self.node.state.borrow_mut().quarantine.merge_crash(now, crash) {
                quarantine::log_request(&self.node, crash.request);
            }
            crashes::merge_crash(&self.node, crash);
        }
    }

    fn receive_parts(&self, reports: &[PartReport]) {
        if reports.is_empty() || !self.node.settings.part_quarantine {
            return;
        }
        let now = self.node.now();
        self.node.state.borrow_mut().part_quarantine.merge(now, self.started, reports);
        quarantine::apply_changes(&self.node);
    }

    /// Sends reports to the peers that are due. Returns whether a report contains entries that are sent for
    /// seconds only.
    async fn send(&mut self, socket: &UdpSocket) -> bool {
        let now = self.node.now();
        for address in self.peers.remove_unresponsive(now) {
            info!(self.node.log, "peer"; "address" => %address, "state" => "forgotten");
        }
        self.node.peer_count.set(self.peers.len());
        {
            let state = &mut *self.node.state.borrow_mut();
            let instances = self.peers.len() + 1;
            // Those that cannot be reached may be alive and spend what is theirs.
            let remembered = state.quotas.count_instances(self.node.clock.uptime()) as usize;
            state.budgets.share_among(instances.max(remembered));
            self.node.metrics.retries.reserve.set(state.budgets.reserve(now) as i64);
            state.returns.share_among(instances);
            let share = self.peers.reachable_share(now);
            let rates = state.endpoints.rates();
            if !rates.is_empty() {
                rates.share_among(now, instances, share);
            }
            let learned = state.endpoints.learned_rates();
            if !learned.is_empty() {
                // Learned limits come from the results of the reachable instances alone.
                learned.share_among(now, instances, 1.0);
            }
        }
        self.catalog.set_domain_peers(self.own, &self.peers.responsive_in_domain(now).collect());
        self.sequence += 1;
        let mut targets = self.peers.due(now);
        let has_new_peer = self.new_peer_at.is_some_and(|at| now.duration_since(at) < NEW_PEER_WINDOW);
        let uptime = self.node.clock.uptime();
        let leaving = self.node.phase() > Phase::Serving;
        let is_sound = self.node.pool.reach().is_sound(now);
        let is_reminder = has_new_peer || self.node.state.borrow_mut().rng.random_bool(REMINDER_FRACTION);
        let (in_flight, suspects, local_prefills, spending, instances) = {
            let state = &mut *self.node.state.borrow_mut();
            let work = state.endpoints.own_work(now);
            let in_flight = work.tokens.into_iter().map(|(tag, tokens)| (tag.0, tokens)).collect();
            // What this instance cannot reach says nothing about endpoints while it doubts its own links.
            let suspects =
                if is_sound { work.suspects.into_iter().map(|tag| tag.0).collect() } else { Vec::new() };
            let local_prefills = work.local_prefills.into_iter().map(|tag| tag.0).collect();
            let spending = state.quotas.team_spending(uptime);
            let instances = state.quotas.known_instances();
            (in_flight, suspects, local_prefills, spending, instances)
        };
        // An unresponsive seed may be reachable again.
        let contact_seeds = self.node.state.borrow_mut().rng.random_bool(0.2);
        let unresponsive_seeds = self.seeds.iter().filter(|s| **s != self.own && !self.peers.contains(**s));
        targets.extend(unresponsive_seeds.filter(|_| contact_seeds || self.peers.is_empty()));
        let Self { incarnation, sequence, .. } = *self;
        let (crashes, served, has_crash_news) = self.crash_reports(now, has_new_peer, is_reminder);
        let rates = rates::reports(&self.node);
        let leaving_endpoints: Vec<u32> = {
            let state = self.node.state.borrow();
            state.endpoints.leaving_reports(now).into_iter().map(|tag| tag.0).collect()
        };
        let (parts, has_part_news) = self.part_reports(now, is_reminder);
        let urgent = has_crash_news || has_part_news || !rates.is_empty() || !leaving_endpoints.is_empty();
        let report = Report {
            incarnation,
            sequence,
            in_flight,
            suspects,
            local_prefills,
            crashes,
            served,
            spending,
            rates,
            leaving_endpoints,
            instances,
            leaving,
            snapshot_revision: self.catalog.snapshot_revision(),
        };
        self.send_to(socket, targets, Content::Report(Box::new(report)), &parts).await;
        urgent
    }

    /// Crashes and successes of requests to send now, and whether some of them are new to a peer.
    fn crash_reports(
        &self,
        now: Instant,
        has_new_peer: bool,
        is_reminder: bool,
    ) -> (Vec<CrashReport>, Vec<Fingerprint>, bool) {
        let scope = match is_reminder {
            _ if has_new_peer => UpdateScope::Newcomers,
            true => UpdateScope::Reminder,
            false => UpdateScope::Recent,
        };
        let quarantine = &self.node.state.borrow().quarantine;
        let CrashUpdate { crashes, served } = quarantine.update(now, scope);
        let is_empty = crashes.is_empty() && served.is_empty();
        let has_news = !is_empty && (has_new_peer || quarantine.has_news(now));
        let crashes = crashes.into_iter().map(|crash| CrashReport::new(now, crash)).collect();
        (crashes, served, has_news)
    }

    /// Evidence about parts of prompts to send now, and whether some of it is new.
    fn part_reports(&self, now: Instant, is_reminder: bool) -> (PartReports, bool) {
        let parts = &mut self.node.state.borrow_mut().part_quarantine;
        parts.set_tester(self.peers.is_lowest(now, self.own));
        (parts.update(now, is_reminder), parts.has_news(now))
    }

    /// Sends a store update to the peers of the same failure domain.
    async fn send_update(&self, socket: &UdpSocket, update: StoreUpdate) {
        let targets = self.peers.responsive_in_domain(self.node.now()).collect();
        self.send_to(socket, targets, Content::StoreUpdate(update), &[]).await;
    }

    async fn send_to(
        &self,
        socket: &UdpSocket,
        targets: Vec<SocketAddr>,
        content: Content,
        parts: &[PartReport],
    ) {
        let is_report = matches!(content, Content::Report(_));
        let datagram = Datagram { version: VERSION, domain: self.domain, content };
        let Ok(data) = postcard::to_allocvec(&datagram) else { return };
        let load = if is_report { load::report(&self.node) } else { LoadReport::default() };
        let extension = Extension { takes_tunnels: is_report && reach::takes_tunnels(&self.node) };
        let statement = self.node.state.borrow().election.statement(self.node.now());
        let vote = statement.filter(|_| is_report).map(|s| Vote { instance: s.instance, seeds: s.seeds });
        let mut encoded = HashMap::new();
        for peer in targets {
            let domain = self.peers.domain_of(peer);
            let data = encoded.entry(domain).or_insert_with(|| {
                let trailer = if is_report { self.trailer(domain, &load) } else { Trailer::default() };
                postcard::to_extend(&(trailer, &extension, parts, &vote), data.clone()).unwrap_or_default()
            });
            // A datagram that cannot be sent is treated like a lost one.
            let _ = socket.send_to(data, peer).await;
        }
    }

    /// Trailer for the peers of one failure domain.
    fn trailer(&self, domain: Option<u32>, load: &LoadReport) -> Trailer {
        let rng = &mut self.node.state.borrow_mut().rng;
        let is_near = domain == Some(self.domain);
        let load = (is_near || rng.random_bool(FAR_LOAD_FRACTION)).then(|| load.clone());
        let named = self.peers.sample_for(self.node.now(), domain, rng);
        let next = u32::try_from(self.peers.gossip_interval(domain).as_millis()).unwrap_or(u32::MAX);
        Trailer { named, next, load }
    }
}
