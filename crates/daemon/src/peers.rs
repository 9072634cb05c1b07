//! Messages between instances over QUIC: one message per stream, connections made on demand.
//!
//! Each peer has a queue and a task that owns the connection to the peer. A lost message is not sent again by
//! this module; the core repeats a message that it needs an answer to. A connection that fails or times out
//! is dropped, and the next message opens a new connection from a new local port: a network device that lost
//! the state of the old connection may keep dropping packets from the old port.

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

/// Capacity of the queue to one peer. Further messages are dropped, as the network may drop them too.
const QUEUE_MESSAGES: usize = 1024;
/// Time without a message after which the task of a peer ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed delivery; messages queued meanwhile are dropped.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Time between two polls of the key files. New keys are applied without a restart.
const KEY_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Why the listener for peers cannot start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    #[error(transparent)]
    Keys(#[from] KeyError),
    #[error("{0}")]
    Listen(#[from] std::io::Error),
}

#[derive(Debug)]
struct OutgoingMessage {
    address: SocketAddr,
    name: Arc<str>,
    message: Message,
}

/// Connections to and from peers.
#[derive(Debug, Clone)]
pub(crate) struct Peers {
    listener: Endpoint,
    client: Arc<Mutex<quinn::ClientConfig>>,
    queues: Arc<Mutex<HashMap<InstanceId, mpsc::Sender<OutgoingMessage>>>>,
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
        Ok(Self { listener, client: Arc::new(Mutex::new(client)), queues: Arc::default(), control, log })
    }

    /// Accepts connections of peers until the process exits.
    pub(crate) async fn accept(self) {
        while let Some(incoming) = self.listener.accept().await {
            let peers = self.clone();
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => peers.receive(connection).await,
                    Err(error) => debug!(peers.log, "handshake with a peer failed"; "error" => %error),
                }
            });
        }
    }

    async fn receive(&self, connection: Connection) {
        let Some(from) = tls::peer_instance(&connection) else {
            warn!(self.log, "a peer's certificate has no DNS name"; "address" => %connection.remote_address());
            return;
        };
        while let Ok(mut stream) = connection.accept_uni().await {
            let control = self.control.clone();
            tokio::spawn(async move {
                let Ok(bytes) = stream.read_to_end(MAX_MESSAGE_BYTES).await else {
                    return;
                };
                // A peer that runs a later version may send messages that this version cannot decode; they
                // are ignored.
                if let Ok(message) = decode(&bytes) {
                    control.send(Event::Received { from, message });
                }
            });
        }
    }

    /// Queues a message for a peer.
    pub(crate) fn send(&self, to: InstanceId, name: Arc<str>, address: SocketAddr, message: Message) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let outgoing = OutgoingMessage { address, name, message };
        let Some(queue) = queues.get(&to) else {
            return self.start_sender(&mut queues, to, outgoing);
        };
        // A full queue drops the message; a task that has ended is replaced.
        if let Err(mpsc::error::TrySendError::Closed(outgoing)) = queue.try_send(outgoing) {
            self.start_sender(&mut queues, to, outgoing);
        }
    }

    /// Starts the task that sends messages to a peer.
    fn start_sender(
        &self,
        queues: &mut HashMap<InstanceId, mpsc::Sender<OutgoingMessage>>,
        to: InstanceId,
        first: OutgoingMessage,
    ) {
        let (sender, receiver) = mpsc::channel(QUEUE_MESSAGES);
        let _ = sender.try_send(first);
        queues.insert(to, sender);
        tokio::spawn(PeerSender { peers: self.clone(), connection: None }.run(receiver));
    }

    fn client_config(&self) -> quinn::ClientConfig {
        self.client.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Polls the key files and applies new keys when the files change.
    pub(crate) async fn reload_keys(self, keys: Keys) {
        let mut last = read_key_files(&keys);
        loop {
            tokio::time::sleep(KEY_POLL_INTERVAL).await;
            let current = read_key_files(&keys);
            if current == last {
                continue;
            }
            // The files may be only partly written. Loading fails then, and the next poll reads them
            // completely.
            match tls::load(&keys) {
                Ok(Tls { client, server }) => {
                    *self.client.lock().unwrap_or_else(PoisonError::into_inner) = client;
                    self.listener.set_server_config(Some(server));
                    info!(self.log, "new TLS keys loaded");
                    last = current;
                }
                Err(error) => warn!(self.log, "cannot load the new TLS keys"; "error" => %error),
            }
        }
    }
}

fn read_key_files(keys: &Keys) -> Vec<Option<Vec<u8>>> {
    [&keys.authority, &keys.certificate, &keys.private].map(|path| std::fs::read(path).ok()).to_vec()
}

/// Task that sends messages to one peer and owns the connection to the peer.
struct PeerSender {
    peers: Peers,
    connection: Option<Connection>,
}

impl PeerSender {
    async fn run(mut self, mut queue: mpsc::Receiver<OutgoingMessage>) {
        while let Ok(Some(outgoing)) = tokio::time::timeout(IDLE_TIMEOUT, queue.recv()).await {
            // Up to two attempts: the end of a recently closed connection is detected only when it is used.
            if !self.deliver(&outgoing).await && !self.deliver(&outgoing).await {
                tokio::time::sleep(RECONNECT_DELAY).await;
                while queue.try_recv().is_ok() {}
            }
        }
    }

    async fn deliver(&mut self, outgoing: &OutgoingMessage) -> bool {
        let Some(connection) = self.connection(outgoing).await else {
            return false;
        };
        let sent = write_message(&connection, &outgoing.message).await.is_some();
        if !sent {
            self.connection = None;
        }
        sent
    }

    async fn connection(&mut self, outgoing: &OutgoingMessage) -> Option<Connection> {
        if let Some(connection) = &self.connection
            && connection.close_reason().is_none()
            && connection.remote_address() == outgoing.address
        {
            return Some(connection.clone());
        }
        // Each connection has its own local port, so that no network device takes it for the previous one.
        let mut endpoint = Endpoint::client(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0))).ok()?;
        endpoint.set_default_client_config(self.peers.client_config());
        let connecting = endpoint.connect(outgoing.address, &outgoing.name).ok()?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        self.connection = Some(connection.clone());
        Some(connection)
    }
}

async fn write_message(connection: &Connection, message: &Message) -> Option<()> {
    let mut stream = connection.open_uni().await.ok()?;
    stream.write_all(&encode(message)).await.ok()?;
    stream.finish().ok()
}
