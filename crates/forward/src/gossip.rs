//! Datagrams between instances: what each has in flight at engines, who there is, and what the store said.
//!
//! There is no list of instances, only the addresses of a few, some of which may be gone. Each instance tells these of
//! itself; every datagram names some others, so that after some rounds all know all. A peer that is silent is forgotten.
//!
//! Plain datagrams and not QUIC: what is targets is old after a moment, a lost one is made good by the next, and the
//! platform hands out no keys that a handshake could rest on. A false digest can make choices worse, or have a request
//! refused for a while; it cannot make a request run twice or a refusal false. A false telling of the store's news could
//! send work to the wrong endpoint: tellings are taken from peers of the same failure domain that have been heard, but
//! nobody proves who it is.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use teaselshunt_core::{CrashReport, Fingerprint};
use teaselshunt_routing::{EngineTag, Peers, tag};
use teaselshunt_teams::{TeamSpending, UpdateHeader};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::catalog::{Catalog, Telling};
use crate::crashes::{self, log_quarantine};
use crate::node::{Node, Phase};
use crate::rates::{self, RateEntry};

/// How long all that keeps requests in quarantine is told after a peer was heard that may not know it; some heartbeats, since
/// datagrams are lost.
const NEWCOMER: Duration = Duration::from_secs(2);
/// Largest datagram that is read, in bytes.
const LARGEST: usize = 16 * 1024;

/// First byte of each datagram. Another one is of a version that reads differently, and is passed over.
const VERSION: u8 = 7;
/// Tellings that wait to be sent; more are dropped, and the next one makes them good.
pub(crate) const TELLINGS: usize = 16;

/// What instances send one another.
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
    Digest(Digest),
    Telling(Telling),
}

/// Everything that a sender has in flight.
#[derive(Debug, Serialize, Deserialize)]
struct Digest {
    /// Drawn at random at the start of the sender.
    life: u64,
    /// Grows with each digest of that life.
    sequence: u64,
    /// Tokens by engine.
    in_flight: Vec<(u32, u32)>,
    /// Endpoints that the sender could not use lately.
    suspects: Vec<u32>,
    /// Decode engines that read a prompt of the sender themselves now.
    reads: Vec<u32>,
    /// Crashes of endpoints under requests.
    crashes: Vec<CrashReport>,
    /// Requests that were answered whole after endpoints had crashed under them.
    served: Vec<Fingerprint>,
    /// What teams near their limits were admitted.
    spending: Vec<TeamSpending>,
    /// Rates that endpoints name, and what was sent to these.
    rates: Vec<RateEntry>,
    /// Instances that the sender remembers, with itself.
    instances: u32,
    /// Whether the sender is about to end.
    leaving: bool,
    /// Era and revision of the list that it can give a copy of.
    holds: (Option<u64>, Option<u64>),
}

/// What stands behind a datagram and is not the same to all.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Tail {
    /// Some other peers.
    named: Vec<SocketAddr>,
    /// After which time the sender tells something again at the latest, in milliseconds.
    next: u32,
}

/// Sends and receives digests for as long as the process runs.
pub(crate) async fn run(
    catalog: Rc<Catalog>,
    node: Rc<Node>,
    port: u16,
    mut tellings: mpsc::Receiver<Telling>,
) {
    let own = SocketAddr::new(node.settings.callers_address.ip(), port);
    let socket = match UdpSocket::bind(own).await {
        Ok(socket) => socket,
        Err(error) => {
            // Without peers an instance chooses by what it has in flight itself.
            warn!(node.log, "no peers"; "address" => %own, "error" => %error);
            return;
        }
    };
    let seeds: Vec<_> = node.settings.seeds.iter().map(|s| SocketAddr::new(s.ip(), port)).collect();
    let (life, started) = (node.state.borrow_mut().rng.random(), node.now());
    let domain = tag(&node.settings.domain);
    let mut gossip = Gossip {
        catalog,
        node,
        own,
        domain,
        seeds,
        peers: Peers::new(domain),
        life,
        sequence: 0,
        started,
        newcomer: None,
    };
    let mut buffer = vec![0; LARGEST];
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
            Some(telling) = tellings.recv() => gossip.tell(&socket, telling).await,
            () = wait(&node, next, pause) => {
                let urgent = gossip.send(&socket).await;
                pause = gossip.peers.round_pause(urgent);
                next = node.now() + gossip.peers.min_interval();
            }
        }
    }
}

/// Waits until `due` and then for a change, at most for `pause`.
async fn wait(node: &Node, due: Instant, pause: Duration) {
    tokio::time::sleep_until(due.into()).await;
    // Whether there was a change or the time is over, it is time to send.
    let _ = tokio::time::timeout_at((due + pause).into(), node.changed.notified()).await;
}

struct Gossip {
    catalog: Rc<Catalog>,
    node: Rc<Node>,
    own: SocketAddr,
    domain: u32,
    seeds: Vec<SocketAddr>,
    peers: Peers<SocketAddr>,
    life: u64,
    sequence: u64,
    started: Instant,
    /// When a peer was last heard that is new here, or has started again.
    newcomer: Option<Instant>,
}

impl Gossip {
    fn receive(&mut self, from: SocketAddr, data: &[u8]) {
        let Ok((datagram, tail)) = postcard::from_bytes::<(Datagram, Tail)>(data) else { return };
        if datagram.version != VERSION {
            return;
        }
        let near = datagram.domain == self.domain;
        match datagram.content {
            Content::Digest(digest) => {
                if near {
                    self.catalog.holder(from, digest.holds);
                }
                self.receive_digest(from, datagram.domain, digest, tail);
            }
            Content::Telling(telling) if near && self.peers.contains(from) => {
                self.catalog.told(from, telling);
            }
            Content::Telling(_) => {}
        }
    }

    fn receive_digest(&mut self, from: SocketAddr, domain: u32, digest: Digest, tail: Tail) {
        let now = self.node.now();
        let next = Duration::from_millis(u64::from(tail.next));
        if self.peers.observe(now, from, domain, next) {
            // Whoever starts waits to hear who there is.
            self.node.changed.notify_one();
            info!(self.node.log, "peer"; "address" => %from, "state" => "known", "peers" => self.peers.len());
        }
        for peer in tail.named {
            if peer != self.own && peer.port() == self.own.port() {
                self.peers.add_reported(now, peer);
            }
        }
        let in_flight = digest.in_flight.into_iter().map(|(tag, tokens)| (EngineTag(tag), tokens)).collect();
        self.receive_crashes(now, digest.crashes, digest.served);
        let mut state = self.node.state.borrow_mut();
        let uptime = self.node.clock.uptime();
        let hearing = UpdateHeader {
            incarnation: digest.life,
            sequence: digest.sequence,
            domain,
            draining: digest.leaving,
            known_instances: digest.instances,
        };
        let is_new = state.quotas.receive_update(uptime, from, hearing);
        if is_new {
            state.quotas.merge_spending(uptime, from, digest.spending);
        }
        let ledger = state.endpoints.ledger();
        for tag in digest.suspects {
            ledger.report_suspect(now, from, EngineTag(tag));
        }
        for tag in digest.reads {
            ledger.report_local_prefill(now, EngineTag(tag));
        }
        if ledger.update(now, from, (digest.life, digest.sequence), in_flight) {
            self.newcomer = Some(now);
        }
        ledger.set_gossip_interval(from, next);
        drop(state);
        if is_new {
            rates::told(&self.node, from, digest.life, digest.rates);
        }
    }

    fn receive_crashes(&self, now: Instant, crashes: Vec<CrashReport>, served: Vec<Fingerprint>) {
        for request in served {
            self.node.state.borrow_mut().quarantine.merge_success(now, request);
        }
        for crash in crashes.into_iter().map(|report| report.crash(now, self.started)) {
            if self.node.state.borrow_mut().quarantine.merge_crash(now, crash) {
                log_quarantine(&self.node, crash.request);
            }
            crashes::told(&self.node, crash);
        }
    }

    /// Tells those whose turn it is. Says whether some of it is told for seconds only.
    async fn send(&mut self, socket: &UdpSocket) -> bool {
        let now = self.node.now();
        for address in self.peers.remove_unresponsive(now) {
            info!(self.node.log, "peer"; "address" => %address, "state" => "forgotten");
        }
        self.node.peers.set(self.peers.len());
        {
            let state = &mut *self.node.state.borrow_mut();
            let instances = self.peers.len() + 1;
            state.budgets.share_among(instances);
            let rates = state.endpoints.rates();
            if !rates.is_empty() {
                rates.share_among(now, instances, self.peers.reachable_share(now));
            }
        }
        self.catalog.peers_are(self.own, &self.peers.responsive_in_domain(now).collect());
        self.sequence += 1;
        let mut targets = self.peers.due(now);
        let newcomers = self.newcomer.is_some_and(|at| now.duration_since(at) < NEWCOMER);
        let uptime = self.node.clock.uptime();
        let leaving = self.node.phase() > Phase::Serving;
        let (in_flight, suspects, reads, news, spending, instances) = {
            let state = &mut *self.node.state.borrow_mut();
            let in_flight = state.endpoints.in_flight().into_iter().map(|(tag, t)| (tag.0, t)).collect();
            let suspects = state.endpoints.suspects(now).into_iter().map(|tag| tag.0).collect();
            let reads = state.endpoints.local_prefills().into_iter().map(|tag| tag.0).collect();
            let news = state.quarantine.update(now, newcomers);
            let spending = state.quotas.team_spending(uptime);
            let instances = state.quotas.known_instances();
            (in_flight, suspects, reads, news, spending, instances)
        };
        // A seed that is not heard may be back.
        let asks = self.node.state.borrow_mut().rng.random_bool(0.2);
        let unheard = self.seeds.iter().filter(|s| **s != self.own && !self.peers.contains(**s));
        targets.extend(unheard.filter(|_| asks || self.peers.is_empty()));
        let Self { life, sequence, .. } = *self;
        let crashes: Vec<_> = news.crashes.into_iter().map(|crash| CrashReport::new(now, crash)).collect();
        let served = news.served;
        let rates = rates::news(&self.node);
        let urgent = !crashes.is_empty() || !served.is_empty() || !rates.is_empty();
        let digest = Digest {
            life,
            sequence,
            in_flight,
            suspects,
            reads,
            crashes,
            served,
            spending,
            rates,
            instances,
            leaving,
            holds: self.catalog.holds(),
        };
        self.send_to(socket, targets, Content::Digest(digest)).await;
        urgent
    }

    /// Tells peers of the same failure domain what the store answered.
    async fn tell(&self, socket: &UdpSocket, telling: Telling) {
        let targets = self.peers.responsive_in_domain(self.node.now()).collect();
        self.send_to(socket, targets, Content::Telling(telling)).await;
    }

    async fn send_to(&self, socket: &UdpSocket, targets: Vec<SocketAddr>, content: Content) {
        let is_digest = matches!(content, Content::Digest(_));
        let datagram = Datagram { version: VERSION, domain: self.domain, content };
        let Ok(data) = postcard::to_allocvec(&datagram) else { return };
        let mut whole = HashMap::new();
        for peer in targets {
            let domain = self.peers.domain_of(peer);
            let data = whole.entry(domain).or_insert_with(|| {
                let tail = if is_digest { self.tail(domain) } else { Tail::default() };
                postcard::to_extend(&tail, data.clone()).unwrap_or_default()
            });
            // A datagram that cannot be sent is as good as lost.
            let _ = socket.send_to(data, peer).await;
        }
    }

    /// What only the peers of a failure domain are told.
    fn tail(&self, domain: Option<u32>) -> Tail {
        let rng = &mut self.node.state.borrow_mut().rng;
        let named = self.peers.sample_for(self.node.now(), domain, rng);
        let next = u32::try_from(self.peers.gossip_interval(domain).as_millis()).unwrap_or(u32::MAX);
        Tail { named, next }
    }
}
