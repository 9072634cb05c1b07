//! Starts the tasks of an instance and ends the process after a graceful shutdown.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{error, info, warn};
use teaselshunt_core::{Clock, PartQuarantine, Quarantine, SystemClock};
use teaselshunt_routing::{
    Admission, Advances, BodyMemory, Budgets, ConnectionShedding, Endpoints, Refusals, RetryDetector,
    Returns, SignsOfLife, Waiters, tag,
};
use teaselshunt_teams::{QuotaMode, Quotas, StartKind};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::LocalSet;

use crate::catalog::Catalog;
use crate::connection_pool::ConnectionPool;
use crate::in_progress::InProgress;
use crate::metrics::Metrics;
use crate::node::{Node, State};
use crate::phase::Phase;
use crate::protocol::Protocol;
use crate::settings::Settings;
use crate::{gossip, listeners, load, logs, orders, pace, peer_listener, quarantine, queue, reach, shedding};

/// How instances divide teams' rate limits.
const QUOTA_MODE: QuotaMode = QuotaMode::Shared;
/// Fraction of the process's memory for bodies that callers or endpoints have not read yet. The rest is for
/// connections, lists and the allocator.
const BUFFER_FRACTION: f64 = 0.4;
/// Interval of periodic tasks.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Maintenance runs between two updates of the pace of engines, whose averages change over seconds.
const PACE_RUNS: u32 = 5;
/// Maintenance runs between two updates of gauges that are counted over all endpoints.
const GAUGE_RUNS: u32 = 10;
/// Time after which a balancer that checks each second and needs two failed checks has removed the instance.
const BALANCER_REMOVAL_TIME: Duration = Duration::from_millis(2600);
/// Time after which no stream is started: started requests must end within the grace time, and streams take
/// seconds.
const STREAM_REFUSAL_TIME: Duration = Duration::from_millis(2850);
/// Part at the end of the grace time in which no request is started; longer than the usual timeout of short
/// requests.
const FINAL_REFUSAL_TIME: Duration = Duration::from_millis(1800);
/// Time reserved at the end of the grace time for the process to exit by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time before the exit in which requests in progress are answered, and their connections write the responses.
const LAST_RESPONSES_TIME: Duration = Duration::from_millis(200);
/// Interval at which a shutdown polls whether all requests have ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why an instance cannot start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause reported by the operating system.
        error: std::io::Error,
    },
    /// The operating system provides no runtime or signal handler.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The metrics cannot be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Runs an instance until a graceful shutdown is complete. `reload` reads the settings again after a signal
/// and returns the validation error, if there is one.
///
/// # Errors
/// The instance cannot start.
pub fn run(
    settings: Settings,
    protocol: Box<dyn Protocol>,
    reload: impl Fn() -> Result<Settings, String> + 'static,
) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, supervise(settings, protocol, reload))
}

async fn supervise(
    settings: Settings,
    protocol: Box<dyn Protocol>,
    reload: impl Fn() -> Result<Settings, String> + 'static,
) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let log = logs::start(&settings.instance, &settings.domain);
    let callers = listen(settings.callers_address).await?;
    let ready = listen(settings.readiness_address).await?;
    let start_kind = if settings.first_start { StartKind::First } else { StartKind::Subsequent };
    let domains = (tag(&settings.domain), settings.domain_count);
    let mut quotas = Quotas::new(SystemClock.uptime(), QUOTA_MODE, start_kind, domains);
    quotas.set_precedence(settings.load.quotas);
    let mut part_quarantine = PartQuarantine::default();
    part_quarantine.set_tester(settings.gossip_port.is_none());
    let node = Rc::new(Node {
        state: RefCell::new(State {
            routes: None,
            endpoints: Endpoints::default(),
            budgets: Budgets::new(SystemClock.now(), settings.retry_budget, start_kind, rand::random()),
            rng: SmallRng::from_os_rng(),
            prefill_estimates: HashMap::new(),
            output_estimates: HashMap::new(),
            retry_detector: RetryDetector::default(),
            refusals: Refusals::default(),
            admission_refusals: Refusals::default(),
            admission: Admission::default(),
            returns: Returns::default(),
            advances: Advances::default(),
            signs: SignsOfLife::default(),
            waiters: Waiters::new(settings.load.order),
            quarantine: Quarantine::default(),
            part_quarantine,
            quotas,
            memory: BodyMemory::new((settings.memory_bytes as f64 * BUFFER_FRACTION) as u64),
            shedding: ConnectionShedding::default(),
            election: orders::election(&settings, SystemClock.now()),
            list_complete: false,
            list_confirmed: None,
        }),
        protocol,
        clock: Arc::new(SystemClock),
        pool: ConnectionPool::default(),
        metrics: Metrics::new()?,
        log,
        phase: watch::Sender::new(Phase::Serving),
        in_progress: InProgress::default(),
        gossip_wakeup: Notify::new(),
        queue_wakeup: Notify::new(),
        peer_count: Cell::new(0),
        confirmed: Cell::new(None),
        connections: Cell::new(0),
        tunnels: Cell::new(0),
        losses: RefCell::default(),
        abandoned: RefCell::default(),
        statement_warned: Cell::new(None),
        report_warned: Cell::new(None),
        settings,
    });
    info!(node.log, "started"; "callers" => %node.settings.callers_address, "store" => %node.settings.store_address,
        "first" => node.settings.first_start);
    spawn(&node, "callers", listeners::callers(Rc::clone(&node), callers));
    spawn(&node, "ready", listeners::readiness(Rc::clone(&node), ready));
    if let Some(address) = node.settings.metrics_address {
        spawn(&node, "metrics", listeners::metrics(Rc::clone(&node), address));
    }
    let (sender, updates) = mpsc::channel(gossip::UPDATE_QUEUE);
    let catalog = Rc::new(Catalog::new(&node, sender));
    spawn(&node, "store", Rc::clone(&catalog).run());
    if let Some(port) = node.settings.gossip_port {
        spawn(&node, "copies", peer_listener::serve(Rc::clone(&catalog), Rc::clone(&node), port));
        spawn(&node, "peers", gossip::run(catalog, Rc::clone(&node), port, updates));
    }
    spawn(&node, "queues", queue::run(Rc::clone(&node)));
    spawn(&node, "orders", orders::run(Rc::clone(&node)));
    spawn(&node, "housekeeping", maintenance(Rc::clone(&node)));
    if node.settings.load.shedding {
        spawn(&node, "shedding", shedding::run(Rc::clone(&node)));
    }
    spawn(&node, "reload", handle_reloads(Rc::clone(&node), hangup, reload));
    terminate.recv().await;
    shut_down(&node).await;
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen { address, error })
}

/// Starts a task. If the task panics, the process exits: an instance without one of its tasks would answer
/// callers with misleading refusals, while a new process starts quickly.
fn spawn(node: &Rc<Node>, name: &'static str, task: impl Future<Output = ()> + 'static) {
    let log = node.log.clone();
    let handle = tokio::task::spawn_local(task);
    tokio::task::spawn_local(async move {
        if let Err(failure) = handle.await {
            error!(log, "task failed"; "part" => name, "failure" => %failure);
            std::process::exit(1);
        }
    });
}

async fn maintenance(node: Rc<Node>) {
    let mut in_doubt = false;
    for run in (0_u32..=u32::MAX).cycle() {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        node.pool.close_expired();
        node.pool.set_max_idle(max_idle_connections(&node));
        node.state.borrow_mut().endpoints.ledger().expire(node.now());
        node.state.borrow_mut().quarantine.expire(node.now());
        node.state.borrow_mut().part_quarantine.expire(node.now());
        quarantine::apply_changes(&node);
        node.state.borrow_mut().quotas.tick(node.clock.uptime());
        node.state.borrow_mut().endpoints.expire_rates(node.now());
        load::maintain(&node);
        node.in_progress.look(node.now());
        in_doubt = reach::maintain(&node, in_doubt);
        if run.is_multiple_of(PACE_RUNS) {
            pace::maintain(&node);
        }
        for id in node.state.borrow_mut().endpoints.expire_statements(node.now()) {
            info!(node.log, "endpoint"; "endpoint" => &*id, "state" => "cooldown_ended");
        }
        if run.is_multiple_of(GAUGE_RUNS) {
            let endpoints = &node.state.borrow().endpoints;
            node.metrics.cooling_endpoints.set(endpoints.cooling_count(node.now()) as i64);
            node.metrics.slow_engines.set(endpoints.slow_count() as i64);
            node.metrics.links.suspected.set(endpoints.suspected_count(node.now()) as i64);
            quarantine::update_metrics(&node);
        }
        node.metrics.limited_endpoints.set(node.state.borrow_mut().endpoints.rates().len() as i64);
        let removed = node.state.borrow_mut().endpoints.remove_unconfirmed(node.now());
        for id in removed {
            info!(node.log, "endpoint"; "endpoint" => &*id, "state" => "gone");
        }
    }
}

/// Idle connections to one endpoint that this instance may keep.
fn max_idle_connections(node: &Node) -> Option<usize> {
    let state = node.state.borrow();
    let instances = node.peer_count.get() + 1;
    state.routes.as_ref()?.services().map(|service| service.max_idle_connections(instances)).min()
}

/// Reads the settings again on request. Addresses and names are fixed while a process runs, so that the
/// result is only logged; changes apply at the next start.
async fn handle_reloads(node: Rc<Node>, mut hangup: Signal, reload: impl Fn() -> Result<Settings, String>) {
    while hangup.recv().await.is_some() {
        match reload() {
            Ok(_) => info!(node.log, "reloaded"),
            Err(cause) => warn!(node.log, "invalid settings"; "cause" => cause),
        }
    }
}

/// Phase of a graceful shutdown after some time; a short grace time shortens the first phases.
fn phase_at(elapsed: Duration, grace: Duration) -> Phase {
    if elapsed >= grace.saturating_sub(EXIT_MARGIN + LAST_RESPONSES_TIME) {
        Phase::Answering
    } else if elapsed >= grace.saturating_sub(FINAL_REFUSAL_TIME) {
        Phase::Ending
    } else if elapsed >= STREAM_REFUSAL_TIME.min(grace / 2) {
        Phase::Refusing
    } else if elapsed >= BALANCER_REMOVAL_TIME.min(grace / 3) {
        Phase::Closing
    } else {
        Phase::Leaving
    }
}

/// Performs a graceful shutdown: readiness ends for the balancer first, then idle connections are closed,
/// then new requests are refused, and at last those whose responses have not begun are answered.
async fn shut_down(node: &Rc<Node>) {
    let started = node.now();
    let grace = node.settings.grace_time;
    info!(node.log, "stopping"; "connections" => node.connections.get());
    let mut phase = Phase::Serving;
    loop {
        let elapsed = node.now().duration_since(started);
        let next = phase_at(elapsed, grace);
        if next != phase {
            phase = next;
            node.phase.send_replace(phase);
        }
        let unused = node.connections.get() == 0 && node.tunnels.get() == 0;
        let idle = unused && node.metrics.progress.running.get() == 0;
        if idle && phase >= Phase::Closing {
            break;
        }
        if elapsed >= grace.saturating_sub(EXIT_MARGIN) {
            warn!(node.log, "exiting with requests in progress"; "running" => node.metrics.progress.running.get());
            break;
        }
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    node.phase.send_replace(Phase::Exiting);
    info!(node.log, "stopped"; "took_ms" => node.now().duration_since(started).as_millis() as u64);
}
