//! Messages between instances over QUIC: one message a stream, connections made when needed.
//!
//! Each peer has a queue and a task that owns the connection to it. Messages are not repeated here: whoever
//! needs an answer asks again. A connection that fails or falls silent is dropped, and the next message makes
//! a new one from a new local port, because whatever lost track of the old one may hold it against the port.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use quinn::{Connection, Endpoint};
use slog::{Logger, debug, info, warn};
use teaselshunt_core::{Event, InstanceId, Message};
use teaselshunt_settings::Keys;
use teaselshunt_wire::peer::{MAX_MESSAGE_BYTES, decode, encode};
use tokio::sync::mpsc;

use crate::control::Control;
use crate::tls::{self, KeyError, Tls};

/// Messages that wait for one peer; more are dropped, as the network might.
const QUEUE: usize = 1024;
/// A peer's task ends after this long without a message.
const IDLE: Duration = Duration::from_secs(30);
/// Longest time to make a connection.
const CONNECT: Duration = Duration::from_secs(2);
/// Pause after a failed connection; messages meanwhile are dropped.
const PAUSE: Duration = Duration::from_millis(200);
/// Time between two looks at the key files, so that new keys are taken without a stop.
const KEYS_EVERY: Duration = Duration::from_secs(5);

/// Why peers cannot be listened to.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    #[error(transparent)]
    Keys(#[from] KeyError),
    #[error("{0}")]
    Listen(#[from] std::io::Error),
}

#[derive(Debug)]
struct Outgoing {
    address: SocketAddr,
    name: Arc<str>,
    message: Message,
}

/// Connections to and from peers.
#[derive(Debug, Clone)]
pub(crate) struct Peers {
    listener: Endpoint,
    client: Arc<Mutex<quinn::ClientConfig>>,
    links: Arc<Mutex<HashMap<InstanceId, mpsc::Sender<Outgoing>>>>,
    control: Control,
    log: Logger,
}

impl Peers {
    pub(crate) fn bind(
        address: SocketAddr,
        keys: &Keys,
        control: Control,
        log: Logger,
    ) -> Result<Self, PeerError> {
        let Tls { client, server } = tls::load(keys)?;
        let listener = Endpoint::server(server, address)?;
        Ok(Self { listener, client: Arc::new(Mutex::new(client)), links: Arc::default(), control, log })
    }

    /// Takes connections for as long as the process runs.
    pub(crate) async fn accept(self) {
        while let Some(incoming) = self.listener.accept().await {
            let peers = self.clone();
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => peers.receive(connection).await,
                    Err(error) => debug!(peers.log, "a peer was not let in"; "error" => %error),
                }
            });
        }
    }

    async fn receive(&self, connection: Connection) {
        let Some(from) = tls::peer(&connection) else {
            warn!(self.log, "a peer's certificate names nobody"; "address" => %connection.remote_address());
            return;
        };
        while let Ok(mut stream) = connection.accept_uni().await {
            let control = self.control.clone();
            tokio::spawn(async move {
                let Ok(bytes) = stream.read_to_end(MAX_MESSAGE_BYTES).await else {
                    return;
                };
                // A peer of a later version may say things that this one does not know; they are passed over.
                if let Ok(message) = decode(&bytes) {
                    control.send(Event::Received { from, message });
                }
            });
        }
    }

    /// Queues a message for a peer.
    pub(crate) fn send(&self, to: InstanceId, name: Arc<str>, address: SocketAddr, message: Message) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let outgoing = Outgoing { address, name, message };
        let Some(link) = links.get(&to) else {
            return self.open(&mut links, to, outgoing);
        };
        // A full queue drops the message; an ended task is replaced.
        if let Err(mpsc::error::TrySendError::Closed(outgoing)) = link.try_send(outgoing) {
            self.open(&mut links, to, outgoing);
        }
    }

    fn open(&self, links: &mut HashMap<InstanceId, mpsc::Sender<Outgoing>>, to: InstanceId, first: Outgoing) {
        let (sender, receiver) = mpsc::channel(QUEUE);
        let _ = sender.try_send(first);
        links.insert(to, sender);
        tokio::spawn(Link { peers: self.clone(), connection: None }.run(receiver));
    }

    fn client(&self) -> quinn::ClientConfig {
        self.client.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes new keys when the files change.
    pub(crate) async fn renew_keys(self, keys: Keys) {
        let mut last = contents(&keys);
        loop {
            tokio::time::sleep(KEYS_EVERY).await;
            let now = contents(&keys);
            if now == last {
                continue;
            }
            // Files may be half written; then this fails, and the next look finds them whole.
            match tls::load(&keys) {
                Ok(Tls { client, server }) => {
                    *self.client.lock().unwrap_or_else(PoisonError::into_inner) = client;
                    self.listener.set_server_config(Some(server));
                    info!(self.log, "new keys are in use");
                    last = now;
                }
                Err(error) => warn!(self.log, "new keys cannot be used"; "error" => %error),
            }
        }
    }
}

fn contents(keys: &Keys) -> Vec<Option<Vec<u8>>> {
    [&keys.authority, &keys.certificate, &keys.private].map(|path| std::fs::read(path).ok()).to_vec()
}

/// The way to one peer.
struct Link {
    peers: Peers,
    connection: Option<Connection>,
}

impl Link {
    async fn run(mut self, mut queue: mpsc::Receiver<Outgoing>) {
        while let Ok(Some(outgoing)) = tokio::time::timeout(IDLE, queue.recv()).await {
            // Twice, because a connection that ended a moment ago shows it only when it is used.
            if !self.deliver(&outgoing).await && !self.deliver(&outgoing).await {
                tokio::time::sleep(PAUSE).await;
                while queue.try_recv().is_ok() {}
            }
        }
    }

    async fn deliver(&mut self, outgoing: &Outgoing) -> bool {
        let Some(connection) = self.connection(outgoing).await else {
            return false;
        };
        let sent = send(&connection, &outgoing.message).await.is_some();
        if !sent {
            self.connection = None;
        }
        sent
    }

    async fn connection(&mut self, outgoing: &Outgoing) -> Option<Connection> {
        if let Some(connection) = &self.connection
            && connection.close_reason().is_none()
            && connection.remote_address() == outgoing.address
        {
            return Some(connection.clone());
        }
        // A port of its own, so that nothing on the way takes it for the old connection.
        let mut endpoint = Endpoint::client(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0))).ok()?;
        endpoint.set_default_client_config(self.peers.client());
        let connecting = endpoint.connect(outgoing.address, &outgoing.name).ok()?;
        let connection = tokio::time::timeout(CONNECT, connecting).await.ok()?.ok()?;
        self.connection = Some(connection.clone());
        Some(connection)
    }
}

async fn send(connection: &Connection, message: &Message) -> Option<()> {
    let mut stream = connection.open_uni().await.ok()?;
    stream.write_all(&encode(message)).await.ok()?;
    stream.finish().ok()
}
