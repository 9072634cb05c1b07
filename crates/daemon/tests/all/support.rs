//! A small deployment for tests: stand-ins in the test process, instances as separate processes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use reqwest::{Client, RequestBuilder, Response};
use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};
use serde_json::{Value, json};
use teaselshunt_ctl::generate_keys;
use teaselshunt_settings::Role;
use teaselshunt_standin::{Engine, EngineOptions, Platform, Service};
use tempfile::TempDir;

/// Longest wait for a condition. The wait is long, because a test must not fail only because the machine is
/// busy.
const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);

/// Waits until a condition holds.
pub(crate) async fn until<F, R>(what: &str, mut condition: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let holds = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let in_time = tokio::time::timeout(CONDITION_TIMEOUT, holds).await;
    assert!(in_time.is_ok(), "waited in vain until {what}");
}

/// A deployment: stand-ins, and the settings of the instances in front of them.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) prefill: Vec<Engine>,
    pub(crate) decode: Vec<Engine>,
    pub(crate) service: Service,
    pub(crate) configuration: Value,
    pub(crate) client: Client,
    names: Vec<String>,
    /// Entries of the instances for the platform's list.
    list_entries: Vec<Value>,
    settings: Vec<Value>,
    revision: u64,
    directory: TempDir,
}

/// A running instance; killed when dropped.
pub(crate) struct Daemon {
    child: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Offset of the next port for an instance in [`PORTS`].
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);
/// Ports for instances. The range is below the range of the system's ephemeral ports: otherwise one of
/// thousands of test connections could take a port between the check that the port is free and the bind of
/// the instance.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// A port that is free for TCP and UDP.
fn free_port() -> SocketAddr {
    let start = (std::process::id() % 200) as u16 * 100;
    loop {
        let offset =
            start.wrapping_add(NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed)) % (PORTS.end - PORTS.start);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, PORTS.start + offset));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Fleet {
    /// Starts two prefill engines, two decode engines, one service and the platform, and prepares the
    /// settings of `instances` instances. No instance is started yet.
    pub(crate) async fn start(instances: usize) -> Self {
        Self::start_with(instances, EngineOptions::fast(Role::Decode)).await
    }

    /// Like [`Fleet::start`], with options for the decode engines.
    pub(crate) async fn start_with(instances: usize, decode_options: EngineOptions) -> Self {
        let mut prefill = Vec::new();
        let mut decode = Vec::new();
        for _ in 0..2 {
            prefill.push(Engine::start(loopback(), EngineOptions::fast(Role::Prefill)).await.unwrap());
            decode.push(Engine::start(loopback(), decode_options.clone()).await.unwrap());
        }
        let service = Service::start(loopback()).await.unwrap();
        let configuration = configuration(&prefill, &decode, &service);
        let platform = Platform::start(loopback(), &configuration.to_string()).await.unwrap();
        let directory = TempDir::new().unwrap();
        let names: Vec<String> = (0..instances).map(|i| format!("entry-{i}")).collect();
        generate_keys(directory.path(), &names).unwrap();
        let settings: Vec<Value> =
            names.iter().map(|n| settings(n, platform.address(), directory.path())).collect();
        let list_entries = settings.iter().map(list_entry).collect();
        let client = Client::builder().no_proxy().pool_max_idle_per_host(0).build().unwrap();
        let mut fleet = Self {
            platform,
            prefill,
            decode,
            service,
            configuration,
            client,
            names,
            list_entries,
            settings,
            revision: 0,
            directory,
        };
        fleet.publish_list(|_| true);
        fleet
    }

    /// Publishes a list of the instances for whose index `keep` returns `true`.
    pub(crate) fn publish_list(&mut self, keep: impl Fn(usize) -> bool) {
        self.revision += 1;
        let entries = self.list_entries.iter().enumerate().filter(|(i, _)| keep(*i)).map(|(_, e)| e.clone());
        let list = json!({ "revision": self.revision, "instances": entries.collect::<Vec<_>>() });
        self.platform.publish_instances(self.revision, &list.to_string());
    }

    /// Changes the configuration and publishes it as the next version. Returns the version.
    pub(crate) fn patch(&mut self, change: impl FnOnce(&mut Value)) -> u64 {
        change(&mut self.configuration);
        let version = self.configuration["version"].as_u64().unwrap() + 1;
        self.configuration["version"] = version.into();
        self.platform.publish(&self.configuration.to_string());
        version
    }

    /// Changes the settings of an instance that is not started yet.
    pub(crate) fn adjust(&mut self, index: usize, change: impl FnOnce(&mut Value)) {
        change(&mut self.settings[index]);
    }

    /// Replaces the key files by a new authority and new keys for every instance.
    pub(crate) fn replace_keys(&self) {
        std::fs::remove_file(self.directory.path().join("authority.key")).unwrap();
        generate_keys(self.directory.path(), &self.names).unwrap();
    }

    /// Log of an instance.
    pub(crate) fn log(&self, index: usize) -> String {
        let path = self.directory.path().join(format!("{}.log", self.names[index]));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Sets the peer that an instance queries when it cannot reach the platform.
    pub(crate) fn set_seed(&mut self, index: usize, peer: usize) {
        let seed = json!([{ "name": self.names[peer], "address": self.settings[peer]["listen"]["peers"] }]);
        self.settings[index]["seeds"] = seed;
    }

    /// Starts an instance without waiting for it.
    pub(crate) fn launch(&self, index: usize) -> Daemon {
        let path = self.directory.path().join(format!("{}.log", self.names[index]));
        self.launch_with_log(index, std::fs::File::create(path).unwrap().into())
    }

    fn launch_with_log(&self, index: usize, log: Stdio) -> Daemon {
        let settings = &self.settings[index];
        let path = self.directory.path().join(format!("{}.json", self.names[index]));
        std::fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_teaselshuntd"))
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        let address = |name: &str| settings["listen"][name].as_str().unwrap().parse().unwrap();
        Daemon { child, callers: address("callers"), operators: address("operators") }
    }

    /// Starts an instance and waits until it is ready.
    pub(crate) async fn start_daemon(&self, index: usize) -> Daemon {
        self.wait_until_ready(self.launch(index)).await
    }

    /// The same for an instance whose log goes to a closed pipe.
    pub(crate) async fn start_without_log_reader(&self, index: usize) -> Daemon {
        let (reader, writer) = std::io::pipe().unwrap();
        drop(reader);
        self.wait_until_ready(self.launch_with_log(index, writer.into())).await
    }

    /// Waits until an instance is ready.
    pub(crate) async fn wait_until_ready(&self, daemon: Daemon) -> Daemon {
        until("the instance is ready", || async {
            let ready = self.client.get(format!("http://{}/ready", daemon.operators)).send().await;
            ready.is_ok_and(|r| r.status().is_success())
        })
        .await;
        daemon
    }

    /// Starts all instances, one after the other.
    pub(crate) async fn start_daemons(&self) -> Vec<Daemon> {
        let mut daemons = Vec::new();
        for index in 0..self.names.len() {
            daemons.push(self.start_daemon(index).await);
        }
        daemons
    }

    pub(crate) async fn status(&self, daemon: &Daemon) -> Value {
        let url = format!("http://{}/status", daemon.operators);
        self.client.get(url).send().await.unwrap().json().await.unwrap()
    }

    /// Builds the request for a completion through an instance.
    pub(crate) fn completion(&self, daemon: &Daemon, prompt: &str, stream: bool) -> RequestBuilder {
        let body = json!({ "model": "long", "prompt": prompt, "max_tokens": 400, "stream": stream });
        self.client.post(format!("http://{}/v1/completions", daemon.callers)).json(&body)
    }

    /// Builds the request for a booking through an instance.
    pub(crate) fn booking(&self, daemon: &Daemon, body: &str) -> RequestBuilder {
        let url = format!("http://{}/services/bookings/new", daemon.callers);
        self.client.post(url).body(body.to_owned())
    }

    /// Waits until every home grants keys: the homes have heard from the other members, and the grant lease
    /// and the clock skew after the start have passed. The homes of the probes are random, so that a dozen
    /// successful probes in a row reach all of them.
    pub(crate) async fn wait_until_keys_granted(&self, daemon: &Daemon) {
        until("every home grants keys", || async {
            for _ in 0..12 {
                let key = uuid::Uuid::now_v7().to_string();
                let booking = self.booking(daemon, "probe").header("Idempotency-Key", key);
                if !booking.send().await.unwrap().status().is_success() {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Number of executions of bookings with this body.
    pub(crate) fn executions(&self, body: &str) -> usize {
        self.service.executions().iter().filter(|e| e.body == body).count()
    }

    /// Ids of the requests that engines hold memory for.
    pub(crate) fn held_requests(&self) -> Vec<String> {
        self.prefill.iter().chain(&self.decode).flat_map(Engine::held_requests).collect()
    }
}

impl Daemon {
    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(status.unwrap().success());
    }

    /// Sets the number of file descriptors that the process may have open.
    pub(crate) fn limit_files(&self, count: u64) {
        let process = Pid::from_child(&self.child);
        let maximum = getrlimit(Resource::Nofile).maximum;
        prlimit(Some(process), Resource::Nofile, Rlimit { current: Some(count), maximum }).unwrap();
    }

    /// Waits until the process exits.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(start.elapsed() < CONDITION_TIMEOUT, "the instance did not exit");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Resident memory in bytes.
    pub(crate) fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1024
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Text of a streamed completion; `None` if the stream ended without its end mark.
pub(crate) async fn streamed_text(response: Response) -> Option<String> {
    let body = response.text().await.ok()?;
    let mut text = String::new();
    let mut done = false;
    for data in body.lines().filter_map(|l| l.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap();
        text.push_str(event["choices"][0]["text"].as_str()?);
    }
    done.then_some(text)
}

fn settings(name: &str, platform: SocketAddr, keys: &Path) -> Value {
    json!({
        "instance": name, "domain": "osborne", "deployment": "test",
        "listen": { "callers": free_port(), "operators": free_port(), "peers": free_port() },
        "platform": [platform],
        "keys": {
            "authority": keys.join("authority.pem"),
            "certificate": keys.join(format!("{name}.pem")),
            "private": keys.join(format!("{name}.key")),
        },
    })
}

fn list_entry(settings: &Value) -> Value {
    json!({
        "name": settings["instance"], "domain": settings["domain"],
        "peers": settings["listen"]["peers"], "leaving": false,
    })
}

fn configuration(prefill: &[Engine], decode: &[Engine], service: &Service) -> Value {
    let endpoint = |name: String, address: SocketAddr, pool: &str, role: &str, slots: u32| {
        json!({ "name": name, "address": address, "domain": "osborne", "site": "old", "pool": pool,
            "role": role, "slots": slots })
    };
    let mut endpoints = Vec::new();
    for (i, engine) in prefill.iter().enumerate() {
        endpoints.push(endpoint(format!("prefill-{i}"), engine.address(), "fee-writer", "prefill", 4));
    }
    for (i, engine) in decode.iter().enumerate() {
        endpoints.push(endpoint(format!("decode-{i}"), engine.address(), "fee-writer", "decode", 20));
    }
    endpoints.push(endpoint("bookings-0".to_owned(), service.address(), "bookings", "service", 64));
    json!({
        "version": 1, "deployment": "test",
        "domains": [{ "name": "osborne", "region": "perth" }],
        "sites": [{ "name": "old", "share": 100 }],
        "classes": [{ "name": "invoice", "priority": 5, "first_ms": 1100, "gap_ms": 68, "wait_ms": 60000 }],
        "pools": [{ "name": "fee-writer", "classes": ["invoice"] }, { "name": "bookings", "classes": [] }],
        "models": [{ "name": "long", "pool": "fee-writer", "class": "invoice" }],
        "endpoints": endpoints,
        "services": [{ "name": "bookings", "pool": "bookings", "repeatable": ["GET"], "timeout_ms": 5000 }],
        "policy": { "skew_ms": 100 },
    })
}
