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

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use teaselshunt_core::{CrashReport, Fingerprint};
use teaselshunt_routing::{EngineTag, HEARTBEAT, Peers, tag};
use teaselshunt_teams::{Hearing, Spending};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::catalog::{Catalog, Telling};
use crate::crashes::{self, log_quarantine};
use crate::node::{Node, Phase};

/// Peers named in a datagram.
const NAMED: usize = 3;
/// How long all that keeps requests in quarantine is told after a peer was heard that may not know it; some heartbeats, since
/// datagrams are lost.
const NEWCOMER: Duration = Duration::from_secs(2);
/// Largest datagram that is read, in bytes.
const LARGEST: usize = 16 * 1024;

/// First byte of each datagram. Another one is of a version that reads differently, and is passed over.
const VERSION: u8 = 5;
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
    spending: Vec<Spending>,
    /// Instances that the sender remembers, with itself.
    instances: u32,
    /// Whether the sender is about to end.
    leaving: bool,
    /// Some other peers.
    peers: Vec<SocketAddr>,
}

/// Sends and receives digests for as long as the process runs.
pub(crate) async fn run(
    catalog: Rc<Catalog>,
    node: Rc<Node>,
    port: u16,
    mut tellings: mpsc::Receiver<Telling>,
) {
    let own = SocketAddr::new(node.settings.callers.ip(), port);
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
        peers: Peers::default(),
        life,
        sequence: 0,
        started,
        newcomer: None,
    };
    let mut buffer = vec![0; LARGEST];
    let mut next = gossip.node.now();
    loop {
        let node = Rc::clone(&gossip.node);
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received {
                    gossip.receive(from, &buffer[..length]);
                }
            }
            Some(telling) = tellings.recv() => gossip.tell(&socket, telling).await,
            () = wait(&node, next) => {
                gossip.send(&socket).await;
                next = node.now() + gossip.peers.pace();
            }
        }
    }
}

/// Waits until `due` and then for a change, at most for a heartbeat.
async fn wait(node: &Node, due: Instant) {
    tokio::time::sleep_until(due.into()).await;
    // Whether there was a change or the time is over, it is time to send.
    let _ = tokio::time::timeout_at((due + HEARTBEAT).into(), node.changed.notified()).await;
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
        let Ok(datagram) = postcard::from_bytes::<Datagram>(data) else { return };
        if datagram.version != VERSION {
            return;
        }
        let near = datagram.domain == self.domain;
        match datagram.content {
            Content::Digest(digest) => self.receive_digest(from, datagram.domain, digest),
            Content::Telling(telling) if near && self.peers.contains(from) => self.catalog.told(telling),
            Content::Telling(_) => {}
        }
    }

    fn receive_digest(&mut self, from: SocketAddr, domain: u32, digest: Digest) {
        let now = self.node.now();
        if self.peers.heard(now, from, domain == self.domain) {
            info!(self.node.log, "peer"; "address" => %from, "state" => "known", "peers" => self.peers.len());
        }
        for peer in digest.peers {
            if peer != self.own && peer.port() == self.own.port() {
                self.peers.named(now, peer);
            }
        }
        let in_flight = digest.in_flight.into_iter().map(|(tag, tokens)| (EngineTag(tag), tokens)).collect();
        self.receive_crashes(now, digest.crashes, digest.served);
        let mut state = self.node.state.borrow_mut();
        let uptime = self.node.clock.uptime();
        let hearing = Hearing {
            life: digest.life,
            sequence: digest.sequence,
            domain,
            leaving: digest.leaving,
            instances: digest.instances,
        };
        if state.quotas.heard(uptime, from, hearing) {
            state.quotas.told(uptime, from, digest.spending);
        }
        let ledger = state.endpoints.ledger();
        for tag in digest.suspects {
            ledger.suspect(now, from, EngineTag(tag));
        }
        for tag in digest.reads {
            ledger.reads(now, EngineTag(tag));
        }
        if ledger.update(now, from, (digest.life, digest.sequence), in_flight) {
            self.newcomer = Some(now);
        }
    }

    fn receive_crashes(&self, now: Instant, crashes: Vec<CrashReport>, served: Vec<Fingerprint>) {
        for request in served {
            self.node.state.borrow_mut().quarantine.told_served(now, request);
        }
        for crash in crashes.into_iter().map(|report| report.crash(now, self.started)) {
            if self.node.state.borrow_mut().quarantine.told(now, crash) {
                log_quarantine(&self.node, crash.request);
            }
            crashes::told(&self.node, crash);
        }
    }

    async fn send(&mut self, socket: &UdpSocket) {
        let now = self.node.now();
        for address in self.peers.forget(now) {
            info!(self.node.log, "peer"; "address" => %address, "state" => "forgotten");
        }
        self.node.peers.set(self.peers.len());
        self.node.state.borrow_mut().budgets.share_among(self.peers.len() + 1);
        self.catalog.peers_are(self.own, self.peers.near(now));
        self.sequence += 1;
        let mut targets = self.peers.due(now);
        let newcomers = self.newcomer.is_some_and(|at| now.duration_since(at) < NEWCOMER);
        let uptime = self.node.clock.uptime();
        let leaving = self.node.phase() > Phase::Serving;
        let (in_flight, suspects, reads, news, spending, instances, named) = {
            let state = &mut *self.node.state.borrow_mut();
            let in_flight = state.endpoints.in_flight().into_iter().map(|(tag, t)| (tag.0, t)).collect();
            let suspects = state.endpoints.suspects(now).into_iter().map(|tag| tag.0).collect();
            let reads = state.endpoints.reading().into_iter().map(|tag| tag.0).collect();
            let news = state.quarantine.news(now, newcomers);
            let named = self.peers.fresh(now).choose_multiple(&mut state.rng, NAMED);
            let spending = state.quotas.spending(uptime);
            let instances = state.quotas.remembered();
            (in_flight, suspects, reads, news, spending, instances, named)
        };
        // A seed that is not heard may be back.
        let asks = self.node.state.borrow_mut().rng.random_bool(0.2);
        let unheard = self.seeds.iter().filter(|s| **s != self.own && !self.peers.contains(**s));
        targets.extend(unheard.filter(|_| asks || self.peers.is_empty()));
        let Self { life, sequence, .. } = *self;
        let crashes = news.crashes.into_iter().map(|crash| CrashReport::of(now, crash)).collect();
        let served = news.served;
        let digest = Digest {
            life,
            sequence,
            in_flight,
            suspects,
            reads,
            crashes,
            served,
            spending,
            instances,
            leaving,
            peers: named,
        };
        self.send_to(socket, targets, Content::Digest(digest)).await;
    }

    /// Tells peers of the same failure domain what the store answered.
    async fn tell(&self, socket: &UdpSocket, telling: Telling) {
        let targets = self.peers.near(self.node.now()).collect();
        self.send_to(socket, targets, Content::Telling(telling)).await;
    }

    async fn send_to(&self, socket: &UdpSocket, targets: Vec<SocketAddr>, content: Content) {
        let datagram = Datagram { version: VERSION, domain: self.domain, content };
        let Ok(data) = postcard::to_allocvec(&datagram) else { return };
        for peer in targets {
            // A datagram that cannot be sent is as good as lost.
            let _ = socket.send_to(&data, peer).await;
        }
    }
}
