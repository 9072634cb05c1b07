//! The network between one instance and one endpoint, as a proxy in front of the endpoint.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How a link treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkMode {
    /// Bytes pass in both directions.
    #[default]
    Open,
    /// No bytes pass, and new connections are accepted and stay silent. What was sent meanwhile arrives once the
    /// link is open again.
    Silent,
    /// Open connections are reset, and so are new ones.
    Reset,
    /// Open connections live on; new ones are reset.
    RefusesNew,
    /// Requests pass, and no byte of a response.
    OneWay,
}

/// The link between one instance and one endpoint; dropping it closes its connections.
#[derive(Debug)]
pub struct SiteLink {
    address: SocketAddr,
    mode: Arc<watch::Sender<LinkMode>>,
    task: JoinHandle<()>,
}

impl SiteLink {
    /// Starts a link to the endpoint at `target`.
    ///
    /// # Errors
    /// No port can be listened on.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(LinkMode::Open));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&mode)));
        Ok(Self { address, mode, task })
    }

    /// Address at which the instance finds the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the link's mode.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for SiteLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: Arc<watch::Sender<LinkMode>>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        // Ends the connections that have closed.
        while connections.try_join_next().is_some() {}
        let _ = client.set_nodelay(true);
        if matches!(*mode.borrow(), LinkMode::Reset | LinkMode::RefusesNew) {
            let _ = client.set_zero_linger();
            continue;
        }
        connections.spawn(connection(client, target, mode.subscribe()));
    }
}

async fn connection(mut client: TcpStream, target: SocketAddr, mode: watch::Receiver<LinkMode>) {
    if !wait_until_passing(mode.clone(), &[LinkMode::Silent]).await {
        let _ = client.set_zero_linger();
        return;
    }
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = upstream.set_nodelay(true);
    let reset = {
        let (client_read, client_write) = client.split();
        let (upstream_read, upstream_write) = upstream.split();
        let both = async {
            tokio::try_join!(
                forward(client_read, upstream_write, mode.clone(), &[LinkMode::Silent]),
                forward(upstream_read, client_write, mode.clone(), &[LinkMode::Silent, LinkMode::OneWay]),
            )
            .is_err()
        };
        tokio::select! {
            broken = both => broken,
            () = wait_for_reset(mode.clone()) => true,
        }
    };
    if reset {
        // A failure means that the connection has ended already.
        let _ = client.set_zero_linger();
        let _ = upstream.set_zero_linger();
    }
}

/// Forwards bytes until the sender closes, and holds them back in some modes.
async fn forward<R, W>(
    mut from: R,
    mut to: W,
    mode: watch::Receiver<LinkMode>,
    held: &[LinkMode],
) -> std::io::Result<()>
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = from.read(&mut buffer).await?;
        if !wait_until_passing(mode.clone(), held).await {
            return Ok(());
        }
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}

/// Waits until the link is in none of these modes; returns whether the link still exists and is not reset.
async fn wait_until_passing(mut mode: watch::Receiver<LinkMode>, held: &[LinkMode]) -> bool {
    mode.wait_for(|mode| !held.contains(mode)).await.is_ok_and(|mode| *mode != LinkMode::Reset)
}

async fn wait_for_reset(mut mode: watch::Receiver<LinkMode>) {
    // The link was dropped; its connections end with it.
    let _ = mode.wait_for(|mode| *mode == LinkMode::Reset).await;
}
