//! `cost`: measures the overhead of the router compared with direct calls to the same stand-in engines.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use gumdrop::Options;
use hdrhistogram::Histogram;
use reqwest::Client;
use serde_json::{Value, json};
use teaselshunt_settings::Role;
use teaselshunt_standin::{Engine, EngineOptions, Platform};
use teaselshunt_wire::engine::{
    DECODE_PATH, DecodeRequest, IMPORT_PATH, ImportRequest, PREFILL_PATH, PrefillRequest, PrefillResponse,
};

use super::CommandError;

/// Time within which the daemon must start.
const DAEMON_START_TIMEOUT: Duration = Duration::from_secs(10);
/// Resolution of the kernel's accounting of processor time.
const CLOCK_TICKS_PER_S: f64 = 100.0;
/// Number of concurrent streams, tokens of each stream and the gap between tokens, for the measurement of the
/// cost of a token.
const STREAMS: usize = 200;
const TOKENS_PER_STREAM: u32 = 1_500;
const TOKEN_GAP: Duration = Duration::from_millis(8);
const PROMPT: &str = "Job sheet 1183, crusher BR-07: jaw plates worn, belt slipped.";

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "path of the daemon's executable")]
    daemon: String,
    #[options(help = "number of requests for the measurement of the added latency", default = "500")]
    requests: u32,
}

pub(crate) fn run(arguments: &Arguments) -> Result<(), CommandError> {
    tokio::runtime::Runtime::new()?.block_on(measure(arguments))
}

async fn measure(arguments: &Arguments) -> Result<(), CommandError> {
    let bench = Bench::start(&arguments.daemon, EngineOptions::fast(Role::Decode)).await?;
    bench.measure_latency(arguments.requests).await?;
    drop(bench);
    let options = EngineOptions {
        slots: STREAMS as u32,
        token_gap: TOKEN_GAP,
        output_tokens: Some(TOKENS_PER_STREAM),
        ..EngineOptions::fast(Role::Decode)
    };
    Bench::start(&arguments.daemon, options).await?.measure_tokens().await
}

/// Stand-in engines, a stand-in platform and a daemon in front of them.
struct Bench {
    prefill: Engine,
    decode: Engine,
    _platform: Platform,
    _directory: tempfile::TempDir,
    daemon: Child,
    callers: SocketAddr,
    client: Client,
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = self.daemon.kill();
        let _ = self.daemon.wait();
    }
}

/// A free address of this machine.
fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}

impl Bench {
    async fn start(program: &str, decode: EngineOptions) -> Result<Self, CommandError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let slots = decode.slots;
        let prefill = EngineOptions { slots: STREAMS as u32, ..EngineOptions::fast(Role::Prefill) };
        let prefill = Engine::start(any, prefill).await?;
        let decode = Engine::start(any, decode).await?;
        let endpoint = |name: &str, address: SocketAddr, role: &str, slots: u32| {
            json!({ "name": name, "address": address, "domain": "d", "site": "s", "pool": "p", "role": role,
                "slots": slots })
        };
        let configuration = json!({
            "version": 1, "deployment": "cost", "domains": [{ "name": "d", "region": "r" }],
            "sites": [{ "name": "s", "share": 1 }],
            "classes": [{ "name": "c", "priority": 0, "first_ms": 1100, "gap_ms": 68, "wait_ms": 60000 }],
            "pools": [{ "name": "p", "classes": ["c"] }],
            "models": [{ "name": "m", "pool": "p", "class": "c" }],
            "endpoints": [
                endpoint("prefill", prefill.address(), "prefill", STREAMS as u32),
                endpoint("decode", decode.address(), "decode", slots),
            ],
        });
        let platform = Platform::start(any, &configuration.to_string()).await?;
        let directory = tempfile::TempDir::new()?;
        teaselshunt_ctl::generate_keys(directory.path(), &["bench".to_owned()])?;
        let key = |name: &str| directory.path().join(name);
        let (callers, peers) = (free_address()?, free_address()?);
        let settings = json!({
            "instance": "bench", "domain": "d", "deployment": "cost",
            "listen": { "callers": callers, "operators": free_address()?, "peers": peers },
            "platform": [platform.address()],
            "keys": { "authority": key("authority.pem"), "certificate": key("bench.pem"),
                "private": key("bench.key") },
        });
        let list = json!({ "revision": 1, "instances": [
            { "name": "bench", "domain": "d", "peers": peers, "leaving": false }] });
        platform.publish_instances(1, &list.to_string());
        let path = directory.path().join("settings.json");
        std::fs::write(&path, settings.to_string())?;
        let daemon = Command::new(program).arg(&path).stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        // Like the router, the client opens a new connection for each call.
        let client = Client::builder().no_proxy().tcp_nodelay(true).pool_max_idle_per_host(0).build()?;
        let bench =
            Self { prefill, decode, _platform: platform, _directory: directory, daemon, callers, client };
        bench.wait_until_ready().await?;
        Ok(bench)
    }

    /// Waits until a request succeeds, and one more second for the load reports of the engines.
    async fn wait_until_ready(&self) -> Result<(), CommandError> {
        let start = Instant::now();
        while let Err(error) = self.time_routed(4).await {
            if start.elapsed() > DAEMON_START_TIMEOUT {
                return Err(error);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        Ok(())
    }

    /// Sends a streamed request through the router and returns the time to the first byte of the response.
    async fn time_routed(&self, limit: u32) -> Result<Duration, CommandError> {
        let body = json!({ "model": "m", "prompt": PROMPT, "max_tokens": limit, "stream": true });
        let url = format!("http://{}/v1/completions", self.callers);
        let start = Instant::now();
        let mut response = self.client.post(url).json(&body).send().await?.error_for_status()?;
        response.chunk().await?;
        let took = start.elapsed();
        while response.chunk().await?.is_some() {}
        Ok(took)
    }

    /// Performs the steps of the same request without the router and returns the time to the first byte.
    async fn time_direct(&self, number: u32, limit: u32) -> Result<Duration, CommandError> {
        let id = format!("direct-{number}");
        let start = Instant::now();
        let request = PrefillRequest {
            request_id: id.clone(),
            model: "m".to_owned(),
            prompt: PROMPT.to_owned(),
            generated: String::new(),
            offset: 0,
            priority: 0,
        };
        let url = |engine: &Engine, path: &str| format!("http://{}{path}", engine.address());
        let reply = self.client.post(url(&self.prefill, PREFILL_PATH)).json(&request).send().await?;
        let handle = reply.error_for_status()?.json::<PrefillResponse>().await?.handle;
        let origin = self.prefill.address();
        let request = ImportRequest { request_id: id.clone(), origin, handle };
        let reply = self.client.post(url(&self.decode, IMPORT_PATH)).json(&request).send().await?;
        reply.error_for_status()?.json::<Value>().await?;
        let request =
            DecodeRequest { request_id: id, resume: None, offset: 0, max_tokens: limit, priority: 0 };
        let reply = self.client.post(url(&self.decode, DECODE_PATH)).json(&request).send().await?;
        let mut response = reply.error_for_status()?;
        response.chunk().await?;
        let took = start.elapsed();
        while response.chunk().await?.is_some() {}
        Ok(took)
    }

    async fn measure_latency(&self, requests: u32) -> Result<(), CommandError> {
        let mut routed =
            Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("the bounds are in order");
        let mut direct = routed.clone();
        for number in 0..requests {
            // Direct and routed requests alternate, so that other load of the machine affects both.
            direct.saturating_record(self.time_direct(number, 4).await?.as_micros() as u64);
            routed.saturating_record(self.time_routed(4).await?.as_micros() as u64);
        }
        for quantile in [0.5, 0.99] {
            let (with, without) = (routed.value_at_quantile(quantile), direct.value_at_quantile(quantile));
            println!(
                "first byte p{:.0}: {with} us routed, {without} us direct, {} us added",
                quantile * 100.0,
                with as i64 - without as i64
            );
        }
        Ok(())
    }

    async fn measure_tokens(&self) -> Result<(), CommandError> {
        let before = self.processor_seconds();
        let start = Instant::now();
        let streams = join_all((0..STREAMS).map(|_| self.time_routed(TOKENS_PER_STREAM))).await;
        let completed = streams.iter().filter(|s| s.is_ok()).count();
        let (processor_seconds, elapsed_seconds) =
            (self.processor_seconds() - before, start.elapsed().as_secs_f64());
        let tokens = completed as f64 * f64::from(TOKENS_PER_STREAM);
        println!(
            "{completed} of {STREAMS} streams whole, {:.0} tokens/s, {processor_seconds:.2} s of processor in {elapsed_seconds:.2} s: {:.0} tokens \
             a second and core",
            tokens / elapsed_seconds,
            tokens / processor_seconds
        );
        Ok(())
    }

    /// Processor time of the daemon, in seconds.
    fn processor_seconds(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.daemon.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let field = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        (field(11) + field(12)) / CLOCK_TICKS_PER_S
    }
}
