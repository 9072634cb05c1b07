//! A loopback proxy that impairs the connections through it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// A network impairment. The plan of a run prints the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Impairment {
    /// No impairment.
    #[default]
    None,
    /// Bytes are forwarded after this time.
    Delay(Duration),
    /// Connections are closed, also new ones.
    Reset,
    /// Bytes from the target are lost.
    OneWay,
    /// Connections are black-holed: all bytes are lost, and neither end is notified.
    Silent,
}

/// A proxy to one address.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    /// Impairment of the target's network, and that of the link between this proxy's client and the target.
    own: Mutex<(Impairment, Impairment)>,
    /// The one of both that is in force.
    impairment: Arc<watch::Sender<Impairment>>,
    /// When the impairment last began or ended.
    changed: Mutex<Instant>,
    /// Changes when the open connections are black-holed.
    killed: Arc<watch::Sender<u64>>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy to `target`, which ends when the target crashes.
    pub(crate) async fn start(target: SocketAddr, crash: watch::Receiver<bool>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let impairment = Arc::new(watch::Sender::new(Impairment::None));
        let killed = Arc::new(watch::Sender::new(0));
        let links = (Arc::clone(&impairment), Arc::clone(&killed));
        let task = tokio::spawn(accept(listener, target, links, crash));
        let (own, changed) = (Mutex::default(), Mutex::new(Instant::now()));
        Ok(Self { address, own, impairment, changed, killed, task })
    }

    /// Sets the impairment of the target's network.
    pub(crate) fn set(&self, impairment: Impairment) {
        self.change(|own| own.0 = impairment);
    }

    /// Sets the impairment of the link between one client and the target, which goes before that of the network.
    pub(crate) fn set_link(&self, impairment: Impairment) {
        self.change(|own| own.1 = impairment);
    }

    fn change(&self, change: impl FnOnce(&mut (Impairment, Impairment))) {
        let mut own = self.own.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut own);
        let (network, link) = *own;
        self.impairment.send_replace(if link == Impairment::None { network } else { link });
        *self.changed.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Black-holes the connections that are open now; new ones work.
    pub(crate) fn kill_open_connections(&self) {
        self.killed.send_modify(|count| *count += 1);
    }

    /// Since when the connections have not been impaired; `None` if they are impaired now.
    pub(crate) fn clear_since(&self) -> Option<Instant> {
        let is_clear = matches!(*self.impairment.borrow(), Impairment::None);
        is_clear.then(|| *self.changed.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    (impairment, killed): (Arc<watch::Sender<Impairment>>, Arc<watch::Sender<u64>>),
    mut crash: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            Ok(_) = crash.wait_for(|crashed| *crashed) => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((client, _)) = accepted else { return };
        let (impairment, mut killed) = (impairment.subscribe(), killed.subscribe());
        connections.spawn(async move {
            if *impairment.borrow() == Impairment::Reset {
                return;
            }
            let Ok(upstream) = TcpStream::connect(target).await else { return };
            let (mut client_read, mut client_write) = client.into_split();
            let (target_read, target_write) = upstream.into_split();
            let reset = wait_for_reset(impairment.clone());
            let (client_read, client_write) = (&mut client_read, &mut client_write);
            tokio::select! {
                () = reset => {}
                // Both ends stay open, and nothing passes.
                Ok(()) = killed.changed() => std::future::pending::<()>().await,
                // The end of one direction ends both, as a broken connection does.
                () = forward(client_read, target_write, impairment.clone(), false) => {}
                () = forward(target_read, client_write, impairment, true) => {}
            }
        });
    }
}

async fn wait_for_reset(mut impairment: watch::Receiver<Impairment>) {
    if impairment.wait_for(|i| *i == Impairment::Reset).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn forward<R, W>(mut from: R, mut to: W, impairment: watch::Receiver<Impairment>, to_client: bool)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else { return };
        let current = *impairment.borrow();
        match current {
            Impairment::None | Impairment::Reset => {}
            Impairment::Delay(time) => tokio::time::sleep(time).await,
            Impairment::OneWay if !to_client => {}
            // Lost bytes are not sent again, so the connection stays black-holed, even when new connections work.
            Impairment::OneWay | Impairment::Silent => std::future::pending::<()>().await,
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
