//! The site under test: store, endpoints, instances, and the proxies between them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use teaselshunt_standin::{
    SiteBody, SiteEndpoint, SiteExecution, SiteFault, SiteInstance, SiteOptions, SiteSettings, Store,
    StoreMode,
};
use tokio::sync::watch;

use crate::proxy::{Impairment, Proxy};

/// Second attempts per request that all instances together may make, and those in addition for each instance.
pub(crate) const BUDGET_RATIO: f64 = 0.2;
pub(crate) const BUDGET_SLACK_PER_INSTANCE: f64 = 3.0;
/// Memory limit of an instance, in MB.
const MEMORY_MB: u64 = 96;

/// An endpoint behind its proxies.
pub(crate) struct Endpoint {
    pub(crate) server: SiteEndpoint,
    /// One for each instance.
    links: Vec<Proxy>,
    /// When the endpoint's entry was set to draining or was removed; `None` for one that leaves while its entry is
    /// ready.
    pub(crate) left: Option<Instant>,
    /// Whether the endpoint has a fault or its entry was removed, and since when.
    broken: Cell<(bool, Instant)>,
    /// Whether the endpoint has ever sent responses without an end.
    endless: Cell<bool>,
}

impl Endpoint {
    /// Impairs the connections of all instances.
    pub(crate) fn impair(&self, impairment: Impairment) {
        self.links.iter().for_each(|link| link.set(impairment));
    }

    /// Impairs the connections of one instance.
    pub(crate) fn impair_link(&self, instance: usize, impairment: Impairment) {
        self.links[instance].set_link(impairment);
    }

    /// Replaces the endpoint's fault.
    pub(crate) fn set_fault(&self, fault: SiteFault) {
        self.server.set_fault(fault);
        // A whole body is sound, however its end is marked.
        let is_sound = matches!(fault, SiteFault::None | SiteFault::Body(SiteBody { cut: None, .. }));
        self.broken.set((!is_sound, Instant::now()));
        self.endless.set(self.endless.get() || matches!(fault, SiteFault::NoEnd(_)));
    }

    /// Since when no connection has been impaired and the endpoint has not paused; `None` if either is so now.
    pub(crate) fn clear_since(&self) -> Option<Instant> {
        let links = self.links_clear_since()?;
        match self.server.last_pause() {
            Some((true, _)) => None,
            Some((false, ended)) => Some(links.max(ended)),
            None => Some(links),
        }
    }

    /// Since when nothing has been wrong with the endpoint and its connections, whether it paused or not; `None` if something is wrong now.
    pub(crate) fn sound_since(&self) -> Option<Instant> {
        let (is_broken, changed) = self.broken.get();
        if is_broken || self.server.has_crashed() {
            return None;
        }
        Some(self.links_clear_since()?.max(changed))
    }

    fn links_clear_since(&self) -> Option<Instant> {
        self.links.iter().map(Proxy::clear_since).collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}

/// An instance, whose process may be down.
pub(crate) struct InstanceSlot {
    pub(crate) settings: SiteSettings,
    pub(crate) store_link: Proxy,
    pub(crate) process: Option<SiteInstance>,
    /// Processes that have ended; their log lines are still searched.
    previous: Vec<SiteInstance>,
    /// Number of the present incarnation.
    pub(crate) incarnation: u64,
    /// When the process was started or continued.
    pub(crate) running_since: Instant,
    /// When the process was last killed, frozen or continued.
    pub(crate) interrupted: Instant,
    /// The last incarnation that was sent SIGTERM, and when it first was.
    pub(crate) terminated: Option<(u64, Instant)>,
    /// Impairment of its links to all endpoints.
    cut: Impairment,
    /// Since when no fault has affected the process or its link to the store.
    pub(crate) undisturbed_since: Instant,
}

impl InstanceSlot {
    /// Log lines of all its processes that contain a text.
    pub(crate) fn log_lines(&self, text: &str) -> Vec<String> {
        self.previous.iter().chain(&self.process).flat_map(|process| process.log_lines(text)).collect()
    }
}

/// The parts of the site that faults act on.
pub(crate) struct Parts {
    pub(crate) endpoints: Vec<Endpoint>,
    /// Endpoints that have left; their execution logs are still checked.
    pub(crate) ended: Vec<Endpoint>,
    pub(crate) instances: Vec<InstanceSlot>,
    pub(crate) version: u64,
    /// An instance whose process has ended with a failure, and was not killed.
    pub(crate) failed: Option<usize>,
    next_id: u64,
}

pub(crate) struct Site {
    /// What each instance sees of the store: the addresses of its own links to endpoints.
    stores: Vec<Store>,
    parts: Mutex<Parts>,
    /// Until when callers send bursts.
    pub(crate) overload: watch::Sender<Instant>,
    binary: PathBuf,
    accept_time: Duration,
}

/// Calls that a plain endpoint runs at the same time, and those that wait for that. The two plain endpoints complete 300
/// calls a second, about twice of what callers send without an overload.
const PLACES: u32 = 3;
const QUEUE: u32 = 8;
/// Tokens of a decode engine: about 18 requests, several times of what callers send without an overload.
const ENGINE_TOKENS: u64 = 2_000;
/// Number of instances whose callers these endpoints are enough for; for more instances they have a multiple of places and tokens.
const USUAL_INSTANCES: usize = 4;
/// Work times of plain endpoints, which take them in turn.
const WORK_TIMES_MS: [u64; 2] = [15, 30];

/// Stage of each endpoint of the site; `None` for a plain service.
const STAGES: [Option<&str>; 7] =
    [None, None, Some("prefill"), Some("prefill"), Some("decode"), Some("decode"), Some("decode")];

impl Site {
    /// Starts the site with so many instances. Each new connection takes an endpoint `accept_time`.
    pub(crate) async fn start(count: usize, accept_time: Duration) -> std::io::Result<Self> {
        let directory = std::env::current_exe()?;
        let binary = directory.parent().map(|d| d.join("teaselshunt")).unwrap_or_default();
        let mut stores = Vec::new();
        for _ in 0..count {
            stores.push(Store::start().await?);
        }
        let parts = Parts {
            endpoints: Vec::new(),
            ended: Vec::new(),
            instances: Vec::new(),
            version: 1,
            failed: None,
            next_id: 0,
        };
        let overload = watch::Sender::new(Instant::now());
        let site = Self { stores, parts: Mutex::new(parts), overload, binary, accept_time };
        site.publish();
        for stage in STAGES {
            site.add_endpoint(stage).await?;
        }
        for number in 0..count {
            site.add_instance(number).await?;
        }
        Ok(site)
    }

    pub(crate) fn parts(&self) -> MutexGuard<'_, Parts> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn add_instance(&self, number: usize) -> std::io::Result<()> {
        // The store does not crash: the sender of this channel is dropped, so the receiver never reports a crash.
        let store_link = Proxy::start(self.stores[number].address(), watch::channel(false).1).await?;
        // Each instance has a loopback address of its own, so that all use the same ports, as on separate machines.
        let id = std::process::id();
        let ip = [127, 60 + (id % 100) as u8, 1 + (id / 100 % 200) as u8, number as u8 + 1];
        let address = |port: u16| SocketAddr::from((ip, port));
        let seed = SocketAddr::from(([127, ip[1], ip[2], 1], 8003));
        let settings = SiteSettings {
            name: format!("front-{number}"),
            domain: ["north", "south"][number % 2].to_owned(),
            caller_address: address(8001),
            ready_address: address(8002),
            control_address: address(8003),
            seeds: vec![seed],
            peer_port: Some(8004),
            store_address: store_link.address,
            first_start: true,
            memory_mb: MEMORY_MB,
            further_lines: format!(
                "bounds.budget_ratio={BUDGET_RATIO}\nbounds.budget_slack={}\n",
                BUDGET_SLACK_PER_INSTANCE * self.stores.len() as f64
            ),
        };
        let process = Some(SiteInstance::start(&self.binary, &settings)?);
        let undisturbed_since = Instant::now();
        self.parts().instances.push(InstanceSlot {
            settings,
            store_link,
            process,
            previous: Vec::new(),
            incarnation: 1,
            running_since: undisturbed_since,
            interrupted: undisturbed_since,
            terminated: None,
            cut: Impairment::None,
            undisturbed_since,
        });
        Ok(())
    }

    /// Restarts an instance whose process has ended.
    pub(crate) fn restart(&self, index: usize) {
        let mut parts = self.parts();
        let slot = &mut parts.instances[index];
        slot.settings.first_start = false;
        slot.incarnation += 1;
        slot.undisturbed_since = Instant::now();
        slot.running_since = Instant::now();
        if let Some(previous) = slot.process.take() {
            slot.previous.push(previous);
        }
        match SiteInstance::start(&self.binary, &slot.settings) {
            Ok(process) => slot.process = Some(process),
            Err(error) => println!("instance {index} does not start: {error}"),
        }
    }

    /// Starts an endpoint and adds its entry to the store.
    pub(crate) async fn add_endpoint(&self, stage: Option<&'static str>) -> std::io::Result<()> {
        let number = {
            let mut parts = self.parts();
            parts.next_id += 1;
            parts.next_id
        };
        let is_plain = stage.is_none();
        let scale = self.stores.len().div_ceil(USUAL_INSTANCES) as u32;
        let work_ms = if is_plain { WORK_TIMES_MS[number as usize % WORK_TIMES_MS.len()] } else { 15 };
        let options = SiteOptions {
            id: format!("e-{number}"),
            service: if stage.is_some() { "model" } else { "desk" }.to_owned(),
            domain: "north".to_owned(),
            stage,
            work_time: Duration::from_millis(work_ms),
            event_count: if stage.is_some() { 20 } else { 0 },
            event_gap: Duration::from_millis(25),
            reservable_tokens: ENGINE_TOKENS * u64::from(scale),
            places: if is_plain { PLACES * scale } else { 0 },
            queue: if is_plain { QUEUE * scale } else { 0 },
        };
        let endpoint = SiteEndpoint::start(options).await?;
        endpoint.set_accept_time(self.accept_time);
        let mut links = Vec::new();
        for _ in &self.stores {
            links.push(Proxy::start(endpoint.address(), endpoint.crash_signal()).await?);
        }
        let endpoint = Endpoint {
            server: endpoint,
            links,
            left: None,
            broken: Cell::new((false, Instant::now())),
            endless: Cell::new(false),
        };
        self.list(&endpoint, "ready");
        let cuts: Vec<_> = self.parts().instances.iter().map(|slot| slot.cut).collect();
        for (instance, cut) in cuts.into_iter().enumerate() {
            endpoint.impair_link(instance, cut);
        }
        self.parts().endpoints.push(endpoint);
        Ok(())
    }

    /// Cuts an instance off from all endpoints, or heals its links.
    pub(crate) fn cut(&self, instance: usize, cut: Impairment) {
        let mut parts = self.parts();
        parts.instances[instance].cut = cut;
        parts.endpoints.iter().for_each(|endpoint| endpoint.impair_link(instance, cut));
    }

    /// Writes an endpoint's entry.
    pub(crate) fn list(&self, endpoint: &Endpoint, state: &str) {
        for (store, link) in self.stores.iter().zip(&endpoint.links) {
            store.put(&store_key(&endpoint.server), &endpoint.server.entry(link.address, state));
        }
    }

    /// Writes the entries of all present endpoints anew, so that each instance reads the addresses of its own links.
    pub(crate) fn list_again(&self) {
        for endpoint in &self.parts().endpoints {
            self.list(endpoint, "ready");
        }
    }

    /// Removes an endpoint's entry.
    pub(crate) fn unlist(&self, endpoint: &Endpoint) {
        endpoint.broken.set((true, Instant::now()));
        self.stores.iter().for_each(|store| store.remove(&store_key(&endpoint.server)));
    }

    /// Sets how the store behaves.
    pub(crate) fn set_store_mode(&self, mode: StoreMode) {
        self.stores.iter().for_each(|store| store.set_mode(mode));
    }

    /// Has the store forget its history.
    pub(crate) fn compact_history(&self) {
        self.stores.iter().for_each(Store::compact_history);
    }

    /// Publishes the configuration with the current version. Each version has a route that no other version has.
    pub(crate) fn publish(&self) {
        let version = self.parts().version;
        self.stores.iter().for_each(|store| store.publish_with_teams(version));
    }

    /// Every request that endpoints ran, including those that have left, with the time at which the endpoint left.
    pub(crate) fn executions(&self) -> Vec<(SiteExecution, Option<Instant>)> {
        let parts = self.parts();
        let all = parts.endpoints.iter().chain(&parts.ended);
        all.flat_map(|e| e.server.executions().into_iter().map(|run| (run, e.left))).collect()
    }

    /// Whether a request ran at an endpoint that has sent responses without an end.
    pub(crate) fn ran_without_end(&self, request_id: &str) -> bool {
        let parts = self.parts();
        let mut endless =
            parts.endpoints.iter().chain(&parts.ended).filter(|endpoint| endpoint.endless.get());
        endless.any(|e| e.server.executions().iter().any(|run| run.request_id == request_id))
    }

    /// Number of endpoints that a request has crashed.
    pub(crate) fn crash_count(&self) -> usize {
        let parts = self.parts();
        parts.endpoints.iter().chain(&parts.ended).filter(|e| e.server.has_crashed()).count()
    }

    /// Log lines of all instances that contain a text.
    pub(crate) fn log_lines(&self, text: &str) -> Vec<String> {
        let parts = self.parts();
        parts.instances.iter().flat_map(|slot| slot.log_lines(text)).collect()
    }
}

/// The store's key of an endpoint's entry.
fn store_key(endpoint: &SiteEndpoint) -> String {
    format!("servers/{}", endpoint.id())
}
