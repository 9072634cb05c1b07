//! The site: store, endpoints, instances, and the proxies between them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use teaselshunt_standin::{SiteEndpoint, SiteExecution, SiteInstance, SiteOptions, SiteSettings, Store};
use tokio::sync::watch;

use crate::proxy::Proxy;

/// Memory of an instance, in MB.
const MEMORY_MB: u64 = 96;

/// An endpoint behind its proxy.
pub(crate) struct Endpoint {
    pub(crate) server: SiteEndpoint,
    pub(crate) proxy: Proxy,
    /// When its entry said that it leaves, or was removed.
    pub(crate) left: Option<Instant>,
}

/// An instance, which may be down.
pub(crate) struct Slot {
    pub(crate) settings: SiteSettings,
    pub(crate) store: Proxy,
    pub(crate) process: Option<SiteInstance>,
    /// Log lines of processes that have ended.
    former: Vec<SiteInstance>,
    /// Grows with each start.
    pub(crate) life: u64,
    /// Since when nothing was done to the process or its way to the store.
    pub(crate) calm: Instant,
}

/// Everything that faults act on.
pub(crate) struct Parts {
    pub(crate) endpoints: Vec<Endpoint>,
    /// Endpoints that have ended; their ledgers still count.
    pub(crate) ended: Vec<Endpoint>,
    pub(crate) instances: Vec<Slot>,
    pub(crate) version: u64,
    next: u64,
}

pub(crate) struct Site {
    pub(crate) store: Store,
    parts: Mutex<Parts>,
    binary: PathBuf,
}

/// Stages of the site's engines; two of them are plain services.
const STAGES: [Option<&str>; 7] =
    [None, None, Some("prefill"), Some("prefill"), Some("decode"), Some("decode"), Some("decode")];

impl Site {
    pub(crate) async fn start(count: usize) -> std::io::Result<Self> {
        let directory = std::env::current_exe()?;
        let binary = directory.parent().map(|d| d.join("teaselshunt")).unwrap_or_default();
        let store = Store::start().await?;
        let parts =
            Parts { endpoints: Vec::new(), ended: Vec::new(), instances: Vec::new(), version: 1, next: 0 };
        let site = Self { store, parts: Mutex::new(parts), binary };
        site.publish();
        for stage in STAGES {
            site.add(stage).await?;
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
        // The store does not crash; a sender that is gone never says so.
        let store = Proxy::start(self.store.address(), watch::channel(false).1).await?;
        // Addresses of their own, so that ports can be the same on all, as on machines of their own.
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
            store_address: store.address,
            first_start: true,
            memory_mb: MEMORY_MB,
        };
        let process = Some(SiteInstance::start(&self.binary, &settings)?);
        let calm = Instant::now();
        self.parts().instances.push(Slot { settings, store, process, former: Vec::new(), life: 1, calm });
        Ok(())
    }

    /// Starts a stopped instance again.
    pub(crate) fn restart(&self, index: usize) {
        let mut parts = self.parts();
        let slot = &mut parts.instances[index];
        slot.settings.first_start = false;
        slot.life += 1;
        slot.calm = Instant::now();
        if let Some(former) = slot.process.take() {
            slot.former.push(former);
        }
        match SiteInstance::start(&self.binary, &slot.settings) {
            Ok(process) => slot.process = Some(process),
            Err(error) => println!("instance {index} does not start: {error}"),
        }
    }

    /// Adds an endpoint and lists it.
    pub(crate) async fn add(&self, stage: Option<&'static str>) -> std::io::Result<()> {
        let id = {
            let mut parts = self.parts();
            parts.next += 1;
            format!("e-{}", parts.next)
        };
        let options = SiteOptions {
            id,
            service: if stage.is_some() { "model" } else { "desk" }.to_owned(),
            domain: "north".to_owned(),
            stage,
            work_time: Duration::from_millis(15),
            event_count: if stage.is_some() { 20 } else { 0 },
            event_gap: Duration::from_millis(25),
            reservable_tokens: 20_000,
        };
        let endpoint = SiteEndpoint::start(options).await?;
        let proxy = Proxy::start(endpoint.address(), endpoint.crash_signal()).await?;
        self.store.put(&key(&endpoint), &endpoint.entry(proxy.address, "ready"));
        self.parts().endpoints.push(Endpoint { server: endpoint, proxy, left: None });
        Ok(())
    }

    /// Publishes the configuration with the number in force. Each version has a route that no other one has.
    pub(crate) fn publish(&self) {
        let version = self.parts().version;
        self.store.publish_with_teams(version);
    }

    /// Everything that endpoints ran, ended ones as well, with the time at which each endpoint left.
    pub(crate) fn runs(&self) -> Vec<(SiteExecution, Option<Instant>)> {
        let parts = self.parts();
        let all = parts.endpoints.iter().chain(&parts.ended);
        all.flat_map(|e| e.server.executions().into_iter().map(|run| (run, e.left))).collect()
    }

    /// Endpoints that a request has crashed.
    pub(crate) fn crashed(&self) -> usize {
        let parts = self.parts();
        parts.endpoints.iter().chain(&parts.ended).filter(|e| e.server.has_crashed()).count()
    }

    /// Log lines of all instances that contain a text.
    pub(crate) fn logged(&self, text: &str) -> Vec<String> {
        let parts = self.parts();
        let processes = parts.instances.iter().flat_map(|s| s.former.iter().chain(&s.process));
        processes.flat_map(|p| p.log_lines(text)).collect()
    }
}

/// The store's key of an endpoint.
pub(crate) fn key(endpoint: &SiteEndpoint) -> String {
    format!("servers/{}", endpoint.id())
}
