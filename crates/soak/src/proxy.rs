//! A loopback proxy that harms the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// What the proxy does to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Harm {
    /// Nothing.
    #[default]
    None,
    /// Bytes pass after this time.
    Delay(Duration),
    /// Connections are closed, and new ones too.
    Reset,
    /// Nothing passes back from the far end.
    OneWay,
    /// Nothing passes; nobody is told.
    Silent,
}

/// A proxy to one address.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    harm: Arc<watch::Sender<Harm>>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy to `target`, which ends when that one crashes.
    pub(crate) async fn start(target: SocketAddr, crash: watch::Receiver<bool>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let harm = Arc::new(watch::Sender::new(Harm::None));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&harm), crash));
        Ok(Self { address, harm, task })
    }

    pub(crate) fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
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
    harm: Arc<watch::Sender<Harm>>,
    mut crash: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            Ok(_) = crash.wait_for(|crashed| *crashed) => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((near, _)) = accepted else { return };
        let harm = harm.subscribe();
        connections.spawn(async move {
            if *harm.borrow() == Harm::Reset {
                return;
            }
            let Ok(far) = TcpStream::connect(target).await else { return };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let reset = reset(harm.clone());
            tokio::select! {
                () = reset => {}
                // An end of one direction ends both, as a broken connection does.
                () = pass(near_read, far_write, harm.clone(), false) => {}
                () = pass(far_read, near_write, harm, true) => {}
            }
        });
    }
}

async fn reset(mut harm: watch::Receiver<Harm>) {
    if harm.wait_for(|h| *h == Harm::Reset).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn pass<R, W>(mut from: R, mut to: W, harm: watch::Receiver<Harm>, back: bool)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else { return };
        let now = *harm.borrow();
        match now {
            Harm::None | Harm::Reset => {}
            Harm::Delay(time) => tokio::time::sleep(time).await,
            Harm::OneWay if !back => {}
            // What was lost is lost: the connection stays silent for good, also when new ones work.
            Harm::OneWay | Harm::Silent => std::future::pending::<()>().await,
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
