//! A piece of network between two processes that can be cut, or go silent for connections that are open.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What the relay does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Mode {
    /// Connections numbered up to this one have been lost track of: nothing passes, and nobody is told.
    silent: u64,
    /// New connections are refused and open ones are silent.
    cut: bool,
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections opened so far.
    pub fn connections_opened(&self) -> u64 {
        *self.opened.borrow()
    }

    /// Loses track of every connection that is open now; new ones work.
    pub fn blackhole_open_connections(&self) {
        let opened = self.connections_opened();
        self.mode.send_modify(|m| m.silent = opened);
    }

    /// Cuts or heals the way. Open connections stay lost after a heal.
    pub fn set_partitioned(&self, cut: bool) {
        let opened = self.connections_opened();
        self.mode.send_modify(|m| {
            m.cut = cut;
            m.silent = opened;
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
    while let Ok((near, _)) = listener.accept().await {
        if mode.borrow().cut {
            continue;
        }
        opened.send_modify(|n| *n += 1);
        let number = *opened.borrow();
        let mode = mode.subscribe();
        connections.spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::join!(
                pass(near_read, far_write, number, mode.clone()),
                pass(far_read, near_write, number, mode)
            );
        });
    }
}

/// Passes bytes on until an end closes. Once silent, it takes nothing more and closes nothing.
async fn pass<R, W>(mut from: R, mut to: W, number: u64, mut mode: watch::Receiver<Mode>)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = lost(&mut mode, number) => std::future::pending().await,
        };
        let Ok(length @ 1..) = read else {
            break;
        };
        let late = mode.borrow().silent >= number;
        if late {
            std::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

/// Waits until the connection has been lost track of.
async fn lost(mode: &mut watch::Receiver<Mode>, number: u64) {
    let ended = mode.wait_for(|m| m.silent >= number).await.is_err();
    if ended {
        std::future::pending::<()>().await;
    }
}
