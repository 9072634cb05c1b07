//! Instances before engines that come back as new incarnations after they ended.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use teaselshunt_standin::{SiteArrival, SiteEndpoint, SiteInstance, SiteOptions, SiteSettings, Store};
use tokio::sync::Notify;

use crate::commands::CommandError;

/// Loopback network of the instances; other tools use others.
const NETWORK: [u8; 3] = [127, 91, 0];
/// Time of a prefill, and until the first event of a stream.
const WORK_TIME: Duration = Duration::from_millis(80);
/// Events of a stream, and the time between them.
pub(super) const EVENTS: u32 = 20;
const EVENT_GAP: Duration = Duration::from_millis(25);
/// Time from the end of an engine until its entry is removed, and from then until its successor starts.
const ENTRY_TIME: Duration = Duration::from_millis(1500);
const ABSENCE: Duration = Duration::from_millis(1500);

/// What is known of all incarnations of the engines.
#[derive(Debug, Default)]
struct Engines {
    running: Vec<Arc<SiteEndpoint>>,
    /// Requests that reached engines which have ended.
    arrivals: Vec<SiteArrival>,
    crashes: Vec<Instant>,
}

/// Instances, engines and the store.
pub(super) struct Fleet {
    store: Arc<Store>,
    engines: Arc<Mutex<Engines>>,
    /// Ends the decode engine that waits for it.
    end: Arc<Notify>,
    processes: Vec<(SiteInstance, SiteSettings)>,
    /// Log lines of processes that were restarted.
    earlier_lines: Vec<String>,
}

fn lock(engines: &Mutex<Engines>) -> MutexGuard<'_, Engines> {
    engines.lock().unwrap_or_else(PoisonError::into_inner)
}

fn options(id: String, domain: &str, stage: &'static str) -> SiteOptions {
    SiteOptions {
        id,
        service: "model".to_owned(),
        domain: domain.to_owned(),
        stage: Some(stage),
        work_time: WORK_TIME,
        event_count: EVENTS,
        event_gap: EVENT_GAP,
        reservable_tokens: 20_000,
        places: 0,
        queue: 0,
    }
}

/// Keeps a decode engine running: starts it, and a new incarnation whenever it has ended.
async fn run_engine(
    store: Arc<Store>,
    engines: Arc<Mutex<Engines>>,
    end: Arc<Notify>,
    number: usize,
) -> std::io::Result<()> {
    for incarnation in 0.. {
        let id = format!("d-{number}-{incarnation}");
        let engine = SiteEndpoint::start(options(id.clone(), domain(number), "decode")).await?;
        let key = format!("servers/{id}");
        store.put(&key, &engine.entry(engine.address(), "ready"));
        let mut crashed = engine.crash_signal();
        let engine = Arc::new(engine);
        lock(&engines).running.push(Arc::clone(&engine));
        tokio::select! {
            _ = crashed.wait_for(|crashed| *crashed) => {}
            () = end.notified() => {}
        }
        {
            let mut engines = lock(&engines);
            engines.crashes.push(Instant::now());
            engines.arrivals.extend(engine.arrival_log());
            engines.running.retain(|running| running.id() != id);
        }
        drop(engine);
        tokio::time::sleep(ENTRY_TIME).await;
        store.remove(&key);
        tokio::time::sleep(ABSENCE).await;
    }
    Ok(())
}

const fn domain(number: usize) -> &'static str {
    ["north", "south", "west"][number % 3]
}

fn start_process(settings: &SiteSettings) -> Result<SiteInstance, CommandError> {
    let binary = std::env::current_exe()?.with_file_name("teaselshunt");
    Ok(SiteInstance::start(&binary, settings)?)
}

impl Fleet {
    pub(super) async fn start(
        instances: usize,
        decodes: usize,
        prefills: usize,
    ) -> Result<Self, CommandError> {
        let store = Arc::new(Store::start().await?);
        store.publish(1);
        let engines = Arc::<Mutex<Engines>>::default();
        let end = Arc::<Notify>::default();
        for number in 0..prefills {
            let engine =
                SiteEndpoint::start(options(format!("p-{number}"), domain(number), "prefill")).await?;
            store.put(&format!("servers/{}", engine.id()), &engine.entry(engine.address(), "ready"));
            lock(&engines).running.push(Arc::new(engine));
        }
        for number in 0..decodes {
            let (store, engines, end) = (Arc::clone(&store), Arc::clone(&engines), Arc::clone(&end));
            tokio::spawn(run_engine(store, engines, end, number));
        }
        let mut fleet = Self { store, engines, end, processes: Vec::new(), earlier_lines: Vec::new() };
        for number in 0..instances {
            let settings = fleet.settings(number);
            fleet.processes.push((start_process(&settings)?, settings));
        }
        Ok(fleet)
    }

    fn settings(&self, number: usize) -> SiteSettings {
        let [a, b, c] = NETWORK;
        let address = |number: usize, port| SocketAddr::from(([a, b, c, number as u8 + 1], port));
        SiteSettings {
            name: format!("front-{number}"),
            domain: domain(number).to_owned(),
            caller_address: address(number, 8001),
            ready_address: address(number, 8002),
            control_address: address(number, 8003),
            seeds: (0..3).map(|seed| address(seed, 8003)).collect(),
            peer_port: Some(8004),
            store_address: self.store.address(),
            first_start: false,
            memory_mb: 110,
            further_lines: String::new(),
        }
    }

    /// Address of an instance for callers.
    pub(super) fn caller(&self, instance: usize) -> String {
        self.processes[instance].1.caller_address.to_string()
    }

    /// Kills an instance, and starts it again.
    pub(super) fn restart(&mut self, instance: usize) -> Result<(), CommandError> {
        let settings = self.processes[instance].1.clone();
        self.processes[instance].0.kill();
        self.earlier_lines.extend(self.processes[instance].0.log_lines(""));
        let process = start_process(&settings)?;
        self.processes[instance].0 = process;
        Ok(())
    }

    /// Ends so many decode engines at once.
    pub(super) fn end_engines(&self, count: usize) {
        for _ in 0..count {
            self.end.notify_one();
        }
    }

    /// When engines ended.
    pub(super) fn crashes(&self) -> Vec<Instant> {
        let mut crashes = lock(&self.engines).crashes.clone();
        crashes.sort_unstable();
        crashes
    }

    /// Requests whose ids begin with `prefix` that reached engines since then, prefills included, and how often.
    pub(super) fn reached(&self, prefix: &str, since: Instant) -> (usize, usize) {
        let engines = lock(&self.engines);
        let running = engines.running.iter().flat_map(|engine| engine.arrival_log());
        let arrivals: Vec<_> = running
            .chain(engines.arrivals.iter().cloned())
            .filter(|arrival| arrival.at >= since && arrival.request_id.starts_with(prefix))
            .collect();
        let requests: HashSet<_> = arrivals.iter().map(|arrival| &arrival.request_id).collect();
        (requests.len(), arrivals.len())
    }

    /// Log lines of all instances that contain a text.
    pub(super) fn log_lines(&self, text: &str) -> Vec<String> {
        let current = self.processes.iter().flat_map(|(process, _)| process.log_lines(text));
        let earlier = self.earlier_lines.iter().filter(|line| line.contains(text)).cloned();
        current.chain(earlier).collect()
    }
}
