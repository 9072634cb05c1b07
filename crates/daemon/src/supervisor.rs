//! The supervisor: starts the daemon's tasks, restarts those that are restartable, and ends the process.
//!
//! A task that owns a resource which cannot be acquired twice (a listener, a queue) is not restartable. If
//! such a task panics, the process exits.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use slog::{Logger, error, info, warn};
use teaselshunt_core::{Event, Identity, StepFailure, SystemClock};
use teaselshunt_settings::Settings;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc};

use crate::audit::{AuditTrail, now_ms};
use crate::callers::{self, CallerApi, InProgress};
use crate::control::{self, Action, Control, Dependencies};
use crate::engines::Engines;
use crate::metrics::Metrics;
use crate::operators::{self, OperatorApi};
use crate::peers::{PeerError, Peers};
use crate::platform::{Document, Watcher};
use crate::{bootstrap, logs};

/// Time before the end of the drain timeout at which requests in progress get their response.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Fraction of a short drain timeout that is kept for that instead.
const EXIT_MARGIN_SHARE: u32 = 4;
/// Delay before a task that ended is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Why an instance cannot start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// A listener cannot be bound.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address of the listener.
        address: std::net::SocketAddr,
        /// Cause.
        error: std::io::Error,
    },
    /// The listener for peers cannot be bound, or its keys are invalid.
    #[error("peers: {0}")]
    Peers(String),
    /// The operating system cannot create a thread, a timer or a signal handler.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The HTTP client cannot be created.
    #[error("HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The metrics cannot be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

impl From<PeerError> for StartError {
    fn from(error: PeerError) -> Self {
        Self::Peers(error.to_string())
    }
}

/// Runs an instance until its graceful shutdown is complete.
///
/// # Errors
/// The instance cannot start.
pub fn run(settings: Settings) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.limits.threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    runtime.block_on(supervise(settings))
}

async fn supervise(settings: Settings) -> Result<(), StartError> {
    let (log, _guard) = logs::start(&settings.instance);
    let callers_listener = listen(settings.listen.callers).await?;
    let operators_listener = listen(settings.listen.operators).await?;
    let trail = Arc::new(AuditTrail::new(&settings.instance));
    let engines = Engines::new()?;
    let metrics = Arc::new(Metrics::new()?);
    let (actions, action_queue) = mpsc::unbounded_channel();
    let control = start_control(&settings, Arc::clone(&trail), actions, log.clone())?;
    let peers = Peers::bind(settings.listen.peers, &settings.keys, control.clone(), log.clone())?;

    let drain = Arc::new(Notify::new());
    let tasks = Tasks { log: log.clone() };
    tasks.spawn("chores", perform_actions(action_queue, engines.clone(), control.clone(), peers.clone()));
    tasks.spawn("peers", peers.clone().accept());
    tasks.spawn("keys", peers.clone().reload_keys(settings.keys.clone()));
    tasks.spawn("seeds", bootstrap::run(settings.clone(), peers.clone(), control.clone()));
    for document in [Document::Configuration, Document::Instances] {
        let (addresses, control, log) = (settings.platform.clone(), control.clone(), log.clone());
        let client = engines.client().clone();
        tasks.spawn_restartable("platform", move || {
            let (addresses, client) = (addresses.clone(), client.clone());
            let (control, log) = (control.clone(), log.clone());
            Watcher { document, addresses, client, control, log }.run()
        });
    }
    let operator_api = OperatorApi {
        instance: settings.instance.clone(),
        domain: settings.domain.clone(),
        control: control.clone(),
        metrics: Arc::clone(&metrics),
        trail,
        drain: Arc::clone(&drain),
    };
    let operators_log = log.clone();
    tasks.spawn("operators", async move {
        let end = operators::serve(operators_listener, operator_api).await;
        // Without operators' requests the instance can be neither observed nor drained.
        error!(operators_log, "task failed"; "part" => "operators", "failure" => ?end);
        std::process::exit(1);
    });
    let in_progress = InProgress::new(log.clone(), metrics.overdue());
    tasks.spawn("deadlines", in_progress.clone().watch());
    let caller_api =
        CallerApi::new(control.clone(), engines, settings.limits.clone(), metrics, in_progress.clone());
    let callers = tokio::spawn(callers::serve(callers_listener, caller_api));
    info!(log, "started"; "callers" => %settings.listen.callers, "operators" => %settings.listen.operators,
        "peers" => %settings.listen.peers);

    let drain_timeout = Duration::from_millis(settings.limits.drain_ms);
    let margin = EXIT_MARGIN.min(drain_timeout / EXIT_MARGIN_SHARE);
    // The callers' listener closes when the core has stopped or the requests are to end, and lets responses in progress
    // finish.
    if graceful_shutdown(&control, &drain, drain_timeout.saturating_sub(margin), &log).await? {
        let _ = callers.await;
    } else {
        let end = async {
            in_progress.end_all().await;
            let _ = callers.await;
        };
        let _ = tokio::time::timeout(margin, end).await;
    }
    info!(log, "stopped");
    Ok(())
}

fn start_control(
    settings: &Settings,
    trail: Arc<AuditTrail>,
    actions: mpsc::UnboundedSender<Action>,
    log: Logger,
) -> std::io::Result<Control> {
    let identity = Identity {
        name: settings.instance.clone(),
        domain: settings.domain.clone(),
        deployment: settings.deployment.clone(),
        address: settings.listen.peers,
        // Read after the listeners are bound: the previous incarnation has ended by then, so that it has
        // granted no idempotency key after this time.
        incarnation: now_ms(),
    };
    let seed = rand::rng().random();
    control::start(Dependencies { identity, seed, clock: Arc::new(SystemClock), trail, actions, log })
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen { address, error })
}

/// Waits for a signal or an operator's drain, then until the core has finished every request. Returns whether
/// it has before the drain timeout.
async fn graceful_shutdown(
    control: &Control,
    drain: &Notify,
    drain_timeout: Duration,
    log: &Logger,
) -> Result<bool, StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = drain.notified() => {}
        () = control.stopped() => return Ok(true),
    }
    info!(log, "stopping");
    control.send(Event::Stop);
    let has_stopped = tokio::time::timeout(drain_timeout, control.stopped()).await.is_ok();
    if !has_stopped {
        warn!(log, "the drain timeout passed with requests in progress");
    }
    Ok(has_stopped)
}

/// Starts the daemon's tasks and logs their failures.
struct Tasks {
    log: Logger,
}

impl Tasks {
    /// Starts a task that is not restartable. If the task panics, the process exits: a daemon without its
    /// connections to peers or engines would continue to answer with refusals whose cause operators cannot
    /// see.
    fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        let log = self.log.clone();
        let handle = tokio::spawn(task);
        tokio::spawn(async move {
            if let Err(failure) = handle.await {
                error!(log, "task failed"; "part" => name, "failure" => %failure);
                std::process::exit(1);
            }
        });
    }

    /// Starts a restartable task, and restarts it whenever it ends.
    fn spawn_restartable<F, T>(&self, name: &'static str, task: F)
    where
        F: Fn() -> T + Send + 'static,
        T: Future<Output = ()> + Send + 'static,
    {
        let log = self.log.clone();
        tokio::spawn(async move {
            loop {
                if let Err(failure) = tokio::spawn(task()).await {
                    warn!(log, "task failed and is restarted"; "part" => name, "failure" => %failure);
                }
                tokio::time::sleep(RESTART_DELAY).await;
            }
        });
    }
}

/// Performs the actions that the core requests. Cancels and polls run in a task each, so that a slow engine
/// delays no other action.
async fn perform_actions(
    mut actions: mpsc::UnboundedReceiver<Action>,
    engines: Engines,
    control: Control,
    peers: Peers,
) {
    while let Some(action) = actions.recv().await {
        match action {
            Action::Send { to, name, address, message } => peers.send(to, name, address, message),
            Action::Cancel { attempt, target } => {
                let (engines, control) = (engines.clone(), control.clone());
                tokio::spawn(async move {
                    let confirmed = engines.cancel(target.address, attempt).await;
                    control.send(Event::Cancelled { attempt, endpoint: target.id, confirmed });
                });
            }
            Action::Poll { target } => {
                let (engines, control) = (engines.clone(), control.clone());
                tokio::spawn(async move {
                    let event = match engines.load(target.address).await {
                        Ok(report) => Event::Reported { endpoint: target.id, report },
                        Err(failure) => {
                            let silent = failure == StepFailure::TimedOut;
                            Event::Unreported { endpoint: target.id, silent }
                        }
                    };
                    control.send(event);
                });
            }
        }
    }
}
