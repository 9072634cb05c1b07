//! A TCP relay between two processes. It simulates network partitions, and black-holes open connections:
//! their bytes are lost, and neither end is notified.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How the relay treats connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Mode {
    /// Connections with numbers up to this one are black-holed.
    blackholed_up_to: u64,
    /// New connections are closed at once, and open ones are black-holed.
    partitioned: bool,
}

/// A TCP relay to one address.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    opened: Arc<watch::Sender<u64>>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay in front of `target`.
    ///
    /// # Errors
    /// No port can be listened on.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(Mode::default()));
        let opened = Arc::new(watch::Sender::new(0));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&mode), Arc::clone(&opened)));
        Ok(Self { address, mode, opened, task })
    }

    /// Address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections opened so far.
    pub fn connections_opened(&self) -> u64 {
        *self.opened.borrow()
    }

    /// Black-holes every connection that is open now; new connections work.
    pub fn blackhole_open_connections(&self) {
        let opened = self.connections_opened();
        self.mode.send_modify(|m| m.blackholed_up_to = opened);
    }

    /// Starts or ends a network partition. Connections that were open stay black-holed after the partition
    /// has ended.
    pub fn set_partitioned(&self, partitioned: bool) {
        let opened = self.connections_opened();
        self.mode.send_modify(|m| {
            m.partitioned = partitioned;
            m.blackholed_up_to = opened;
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    opened: Arc<watch::Sender<u64>>,
) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        if mode.borrow().partitioned {
            continue;
        }
        opened.send_modify(|n| *n += 1);
        let number = *opened.borrow();
        let mode = mode.subscribe();
        connections.spawn(async move {
            let Ok(upstream) = TcpStream::connect(target).await else {
                return;
            };
            let (client_read, client_write) = client.into_split();
            let (upstream_read, upstream_write) = upstream.into_split();
            tokio::join!(
                forward(client_read, upstream_write, number, mode.clone()),
                forward(upstream_read, client_write, number, mode)
            );
        });
    }
}

/// Forwards bytes until one end closes. Once the connection is black-holed, nothing more is forwarded and
/// neither end is closed.
async fn forward<R, W>(mut from: R, mut to: W, number: u64, mut mode: watch::Receiver<Mode>)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = wait_until_blackholed(&mut mode, number) => std::future::pending().await,
        };
        let Ok(length @ 1..) = read else {
            break;
        };
        let blackholed = mode.borrow().blackholed_up_to >= number;
        if blackholed {
            std::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

/// Waits until the connection is black-holed.
async fn wait_until_blackholed(mode: &mut watch::Receiver<Mode>, number: u64) {
    let relay_dropped = mode.wait_for(|m| m.blackholed_up_to >= number).await.is_err();
    if relay_dropped {
        std::future::pending::<()>().await;
    }
}
