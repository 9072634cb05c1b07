//! Starts the parts of an instance and ends the process after a planned stop.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{error, info, warn};
use teaselshunt_core::{Clock, Quarantine, SystemClock};
use teaselshunt_routing::{BodyMemory, Budgets, Endpoints, Refusals, RetryDetector, tag};
use teaselshunt_teams::{QuotaMode, Quotas, StartKind};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::LocalSet;

use crate::catalog::{Catalog, give_copies};
use crate::connection_pool::ConnectionPool;
use crate::metrics::Metrics;
use crate::node::{Node, Phase, State};
use crate::protocol::Protocol;
use crate::settings::Settings;
use crate::{gossip, listeners, logs, orders};

/// How instances keep to teams' limits.
const WAY: QuotaMode = QuotaMode::Shared;
/// Part of the process's memory for bodies that somebody has not read yet. The rest is for connections, lists and the
/// allocator's own.
const HELD_PART: f64 = 0.4;
/// Pause between two rounds of housekeeping.
const HOUSEKEEPING: Duration = Duration::from_millis(200);
/// Time in which a balancer that asks each second and needs two misses has taken the instance out.
const LEAVING: Duration = Duration::from_millis(2600);
/// Time after which no stream is begun: what is begun must end within the grace time, and streams take seconds.
const REFUSING: Duration = Duration::from_millis(2850);
/// End of the grace time in which nothing is begun; over the usual timeout of short requests.
const ENDING: Duration = Duration::from_millis(1800);
/// Kept of the grace time for the process to end by itself.
const MARGIN: Duration = Duration::from_millis(400);
/// Pause between two looks whether all requests have ended.
const LOOK: Duration = Duration::from_millis(50);

/// Why an instance cannot start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: std::io::Error,
    },
    /// The operating system gives no timer or signal.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The metrics cannot be made.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Runs an instance until a planned stop is complete. `reload` reads the settings again when a signal asks for it
/// and says what is wrong with them.
///
/// # Errors
/// It cannot start.
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
    let start_of_all = if settings.first_start { StartKind::First } else { StartKind::Subsequent };
    let domains = (tag(&settings.domain), settings.domain_count);
    let quotas = Quotas::new(SystemClock.uptime(), WAY, start_of_all, domains);
    let node = Rc::new(Node {
        state: RefCell::new(State {
            routes: None,
            endpoints: Endpoints::default(),
            budgets: Budgets::new(settings.retry_budget, rand::random()),
            rng: SmallRng::from_os_rng(),
            paces: HashMap::new(),
            outputs: HashMap::new(),
            allowances: RetryDetector::default(),
            refused: Refusals::default(),
            quarantine: Quarantine::default(),
            quotas,
            memory: BodyMemory::new((settings.memory_bytes as f64 * HELD_PART) as u64),
            whole: false,
            listed: None,
        }),
        protocol,
        clock: Arc::new(SystemClock),
        pool: ConnectionPool::default(),
        metrics: Metrics::new()?,
        log,
        phase: watch::Sender::new(Phase::Serving),
        changed: Notify::new(),
        peers: Cell::new(0),
        connections: Cell::new(0),
        losses: RefCell::default(),
        abandoned: RefCell::default(),
        warned: Cell::new(None),
        settings,
    });
    info!(node.log, "started"; "callers" => %node.settings.callers_address, "store" => %node.settings.store_address,
        "first" => node.settings.first_start);
    start(&node, "callers", listeners::callers(Rc::clone(&node), callers));
    start(&node, "ready", listeners::readiness(Rc::clone(&node), ready));
    if let Some(address) = node.settings.metrics_address {
        start(&node, "metrics", listeners::metrics(Rc::clone(&node), address));
    }
    let (sender, tellings) = mpsc::channel(gossip::TELLINGS);
    let catalog = Rc::new(Catalog::new(&node, sender));
    start(&node, "store", Rc::clone(&catalog).run());
    if let Some(port) = node.settings.gossip_port {
        start(&node, "copies", give_copies(Rc::clone(&catalog), Rc::clone(&node), port));
        start(&node, "peers", gossip::run(catalog, Rc::clone(&node), port, tellings));
    }
    start(&node, "orders", orders::run(Rc::clone(&node)));
    start(&node, "housekeeping", housekeeping(Rc::clone(&node)));
    start(&node, "reload", reloads(Rc::clone(&node), hangup, reload));
    terminate.recv().await;
    stop(&node).await;
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen { address, error })
}

/// Starts a part. If it panics the process ends: an instance without one of its parts would answer callers with
/// refusals that nobody understands, while a new process is there in a moment.
fn start(node: &Rc<Node>, name: &'static str, part: impl Future<Output = ()> + 'static) {
    let log = node.log.clone();
    let task = tokio::task::spawn_local(part);
    tokio::task::spawn_local(async move {
        if let Err(failure) = task.await {
            error!(log, "a part ended"; "part" => name, "failure" => %failure);
            std::process::exit(1);
        }
    });
}

async fn housekeeping(node: Rc<Node>) {
    loop {
        tokio::time::sleep(HOUSEKEEPING).await;
        node.pool.sweep();
        node.pool.keep_at_most(idle_share(&node));
        node.state.borrow_mut().endpoints.ledger().expire(node.now());
        node.state.borrow_mut().quarantine.expire(node.now());
        node.state.borrow_mut().quotas.tick(node.clock.uptime());
        node.state.borrow_mut().endpoints.expire_rates(node.now());
        node.metrics.limited.set(node.state.borrow_mut().endpoints.rates().len() as i64);
        let gone = node.state.borrow_mut().endpoints.remove_unconfirmed(node.now());
        for id in gone {
            info!(node.log, "endpoint"; "endpoint" => &*id, "state" => "gone");
        }
    }
}

/// Idle connections to one endpoint that this instance may keep.
fn idle_share(node: &Node) -> Option<usize> {
    let state = node.state.borrow();
    let instances = node.peers.get() + 1;
    state.routes.as_ref()?.services().map(|service| service.max_idle_connections(instances)).min()
}

/// Reads the settings again on request. Addresses and names are fixed for the life of a process, so that a change
/// of them is only logged; it takes effect at the next start.
async fn reloads(node: Rc<Node>, mut hangup: Signal, reload: impl Fn() -> Result<Settings, String>) {
    while hangup.recv().await.is_some() {
        match reload() {
            Ok(_) => info!(node.log, "reloaded"),
            Err(cause) => warn!(node.log, "settings refused"; "cause" => cause),
        }
    }
}

/// How far a planned stop is after some time; a short grace time shrinks the first steps.
fn phase_at(past: Duration, grace: Duration) -> Phase {
    if past >= grace.saturating_sub(ENDING) {
        Phase::Ending
    } else if past >= REFUSING.min(grace / 2) {
        Phase::Refusing
    } else if past >= LEAVING.min(grace / 3) {
        Phase::Closing
    } else {
        Phase::Leaving
    }
}

/// A planned stop: the balancer is told first, then idle connections are closed, then new requests are refused.
async fn stop(node: &Rc<Node>) {
    let begun = node.now();
    let grace = node.settings.grace_time;
    info!(node.log, "stopping"; "connections" => node.connections.get());
    let mut phase = Phase::Serving;
    loop {
        let past = node.now().duration_since(begun);
        let next = phase_at(past, grace);
        if next != phase {
            phase = next;
            node.phase.send_replace(phase);
        }
        let idle = node.connections.get() == 0 && node.metrics.running.get() == 0;
        if idle && phase >= Phase::Closing {
            break;
        }
        if past >= grace.saturating_sub(MARGIN) {
            warn!(node.log, "requests are cut off"; "running" => node.metrics.running.get());
            break;
        }
        tokio::time::sleep(LOOK).await;
    }
    info!(node.log, "stopped"; "took_ms" => node.now().duration_since(begun).as_millis() as u64);
}
