//! The supervisor: starts the parts of the daemon, restarts those that may be, and ends the process.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use slog::{Logger, error, info, warn};
use teaselshunt_core::{Event, Identity, SystemClock};
use teaselshunt_settings::Settings;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::audit::{Trail, now_ms};
use crate::callers::{self, Front};
use crate::control::{self, Chore, Control, Parts};
use crate::engines::Engines;
use crate::metrics::Metrics;
use crate::operators::{self, Desk};
use crate::peers::{PeerError, Peers};
use crate::platform::{Document, Watcher};
use crate::{bootstrap, logs};

/// Wait before a part that ended is started again.
const RESTART: Duration = Duration::from_millis(200);

/// Why an instance cannot start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Why.
        error: std::io::Error,
    },
    /// The peers' listener or keys cannot be used.
    #[error("peers: {0}")]
    Peers(String),
    /// The operating system gives no thread, timer or signal.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The HTTP client cannot be made.
    #[error("HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The metrics cannot be made.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

impl From<PeerError> for StartError {
    fn from(error: PeerError) -> Self {
        Self::Peers(error.to_string())
    }
}

/// Runs an instance until a planned stop is complete.
///
/// # Errors
/// It cannot start.
pub fn run(settings: Settings) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.limits.threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    runtime.block_on(supervise(settings))
}

async fn supervise(settings: Settings) -> Result<(), StartError> {
    let log = logs::start(&settings.instance);
    let callers_listener = listen(settings.listen.callers).await?;
    let operators_listener = listen(settings.listen.operators).await?;
    let trail = Arc::new(Trail::new(&settings.instance));
    let engines = Engines::new()?;
    let metrics = Arc::new(Metrics::new()?);
    let (chores, chore_queue) = mpsc::unbounded_channel();
    let control = start_control(&settings, Arc::clone(&trail), chores, log.clone())?;
    let peers = Peers::bind(settings.listen.peers, &settings.keys, control.clone(), log.clone())?;

    let children = Children { log: log.clone() };
    children.start("chores", perform_chores(chore_queue, engines.clone(), control.clone(), peers.clone()));
    children.start("peers", peers.clone().accept());
    children.start("keys", peers.clone().renew_keys(settings.keys.clone()));
    children.start("seeds", bootstrap::run(settings.clone(), peers.clone(), control.clone()));
    for document in [Document::Configuration, Document::Instances] {
        let (addresses, control, log) = (settings.platform.clone(), control.clone(), log.clone());
        let client = engines.client().clone();
        children.keep("platform", move || {
            let (addresses, client) = (addresses.clone(), client.clone());
            let (control, log) = (control.clone(), log.clone());
            Watcher { document, addresses, client, control, log }.run()
        });
    }
    let desk = Desk {
        instance: settings.instance.clone(),
        domain: settings.domain.clone(),
        control: control.clone(),
        metrics: Arc::clone(&metrics),
        trail,
    };
    children.start("operators", async move {
        let _ = operators::serve(operators_listener, desk).await;
    });
    let front = Front::new(control.clone(), engines, settings.limits.clone(), metrics);
    let callers = tokio::spawn(callers::serve(callers_listener, front));
    info!(log, "started"; "callers" => %settings.listen.callers, "operators" => %settings.listen.operators,
        "peers" => %settings.listen.peers);

    planned_stop(&control, Duration::from_millis(settings.limits.drain_ms), &log).await?;
    // The listener closes once the core has stopped, and lets answers that are on their way end.
    let _ = callers.await;
    info!(log, "stopped");
    Ok(())
}

fn start_control(
    settings: &Settings,
    trail: Arc<Trail>,
    chores: mpsc::UnboundedSender<Chore>,
    log: Logger,
) -> std::io::Result<Control> {
    let identity = Identity {
        name: settings.instance.clone(),
        domain: settings.domain.clone(),
        deployment: settings.deployment.clone(),
        address: settings.listen.peers,
        // After the listeners: a former start has ended by then, and has granted no key later than this.
        incarnation: now_ms(),
    };
    let seed = rand::rng().random();
    control::start(Parts { identity, seed, clock: Arc::new(SystemClock), trail, chores, log })
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen { address, error })
}

/// Waits for a signal or an operator's drain, then for the core to have finished every request.
async fn planned_stop(control: &Control, longest: Duration, log: &Logger) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = control.stopped() => return Ok(()),
    }
    info!(log, "stopping");
    control.send(Event::Stop);
    if tokio::time::timeout(longest, control.stopped()).await.is_err() {
        warn!(log, "requests are still in progress after the longest stop; they are cut off");
    }
    Ok(())
}

/// Starts parts of the daemon and says so when one ends.
struct Children {
    log: Logger,
}

impl Children {
    /// Starts a part that owns what it cannot get twice. Its end is the end of the process: a daemon that
    /// lost its way to peers or engines would go on answering with refusals that no operator understands.
    fn start(&self, name: &'static str, part: impl Future<Output = ()> + Send + 'static) {
        let log = self.log.clone();
        let task = tokio::spawn(part);
        tokio::spawn(async move {
            if let Err(failure) = task.await {
                error!(log, "a part ended"; "part" => name, "failure" => %failure);
                std::process::exit(1);
            }
        });
    }

    /// Starts a part that can be started again, and does so whenever it ends.
    fn keep<F, P>(&self, name: &'static str, part: F)
    where
        F: Fn() -> P + Send + 'static,
        P: Future<Output = ()> + Send + 'static,
    {
        let log = self.log.clone();
        tokio::spawn(async move {
            loop {
                if let Err(failure) = tokio::spawn(part()).await {
                    warn!(log, "a part ended and is started again"; "part" => name, "failure" => %failure);
                }
                tokio::time::sleep(RESTART).await;
            }
        });
    }
}

/// Does what the core asks of the process, each chore in a task of its own.
async fn perform_chores(
    mut chores: mpsc::UnboundedReceiver<Chore>,
    engines: Engines,
    control: Control,
    peers: Peers,
) {
    while let Some(chore) = chores.recv().await {
        match chore {
            Chore::Send { to, name, address, message } => peers.send(to, name, address, message),
            Chore::Cancel { attempt, target } => {
                let (engines, control) = (engines.clone(), control.clone());
                tokio::spawn(async move {
                    let confirmed = engines.cancel(target.address, attempt).await;
                    control.send(Event::Cancelled { attempt, endpoint: target.id, confirmed });
                });
            }
            Chore::Poll { target } => {
                let (engines, control) = (engines.clone(), control.clone());
                tokio::spawn(async move {
                    let event = match engines.load(target.address).await {
                        Some(report) => Event::Reported { endpoint: target.id, report },
                        None => Event::Unreported { endpoint: target.id },
                    };
                    control.send(event);
                });
            }
        }
    }
}
