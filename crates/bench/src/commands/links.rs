//! Measures what callers of instances without links to endpoints see, on real processes before stand-ins.

mod pauses;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gumdrop::Options;
use reqwest::Client;
use teaselshunt_standin::{
    LinkMode, SiteEndpoint, SiteInstance, SiteLink, SiteOptions, SiteSettings, Store, site_request,
};
use tokio::task::JoinSet;

use super::CommandError;

/// Time of a call at a plain endpoint, and calls that it runs at a time.
const WORK_TIME: Duration = Duration::from_millis(20);
const PLACES: u32 = 6;
/// Calls before the cut that are not counted, while instances get to know one another.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time with sound links that is measured.
const BEFORE: Duration = Duration::from_secs(4);
/// Time after the start of a cut from which callers must not notice it.
const SETTLING: Duration = Duration::from_secs(3);
/// Deadline of the calls.
const DEADLINE_MS: u64 = 1_500;
/// Loopback network of the instances; other tools use others.
const NETWORK: [u8; 3] = [127, 90, 0];
/// Kinds of calls, in turn.
const KINDS: [&str; 4] = ["safe", "once", "safe", "stream"];

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "instances, in two failure domains", default = "6")]
    instances: usize,
    #[options(help = "instances without links; the first ones", default = "2")]
    cut: usize,
    #[options(
        help = "reset, silent, one-way, refuses-new, or pause: all endpoints pause",
        default = "reset"
    )]
    mode: String,
    #[options(help = "length of the cut in seconds", default = "12")]
    seconds: u64,
    #[options(help = "calls a second at each instance, or at all together (pause)", default = "12")]
    rate: u64,
}

/// When a call was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    WarmUp,
    Before,
    Settling,
    Cut,
}

/// A first try.
#[derive(Debug, Clone, Copy)]
struct Call {
    instance: usize,
    phase: Phase,
    kind: &'static str,
    /// Status of the response; 0 without one.
    status: u16,
    took: Duration,
}

struct Fleet {
    endpoints: Vec<SiteEndpoint>,
    _stores: Vec<Store>,
    _processes: Vec<SiteInstance>,
    links: Vec<Vec<SiteLink>>,
    callers: Vec<SocketAddr>,
}

pub(crate) fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let is_pause = arguments.mode == "pause";
    let mode = match arguments.mode.as_str() {
        "reset" => LinkMode::Reset,
        "silent" => LinkMode::Silent,
        "one-way" => LinkMode::OneWay,
        "refuses-new" => LinkMode::RefusesNew,
        "pause" => LinkMode::Open,
        other => return Err(CommandError::Usage(format!("unknown mode \"{other}\""))),
    };
    if arguments.instances == 0 || arguments.instances > 200 || arguments.cut > arguments.instances {
        return Err(CommandError::Usage("expected 1 to 200 instances, and no more of them cut".to_owned()));
    }
    let runtime = tokio::runtime::Runtime::new()?;
    if is_pause {
        runtime.block_on(pauses::measure(arguments))
    } else {
        runtime.block_on(measure(arguments, mode))
    }
}

fn options(id: String, stage: Option<&'static str>) -> SiteOptions {
    let is_plain = stage.is_none();
    SiteOptions {
        id,
        service: if is_plain { "desk" } else { "model" }.to_owned(),
        domain: "north".to_owned(),
        stage,
        work_time: WORK_TIME,
        event_count: if is_plain { 0 } else { 10 },
        event_gap: Duration::from_millis(10),
        reservable_tokens: 20_000,
        places: if is_plain { PLACES } else { 0 },
        queue: if is_plain { 4 * PLACES } else { 0 },
    }
}

impl Fleet {
    async fn start(count: usize) -> Result<Self, CommandError> {
        let binary = std::env::current_exe()?.with_file_name("teaselshunt");
        let stages = [None, None, None, Some("prefill"), Some("decode"), Some("decode")];
        let mut endpoints = Vec::new();
        for (number, stage) in stages.into_iter().enumerate() {
            endpoints.push(SiteEndpoint::start(options(format!("e-{number}"), stage)).await?);
        }
        let (mut stores, mut processes, mut links, mut callers) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for number in 0..count {
            let store = Store::start().await?;
            store.publish(1);
            let mut own_links = Vec::new();
            for endpoint in &endpoints {
                let link = SiteLink::start(endpoint.address()).await?;
                store.put(&format!("servers/{}", endpoint.id()), &endpoint.entry(link.address(), "ready"));
                own_links.push(link);
            }
            let [a, b, c] = NETWORK;
            let address = |port| SocketAddr::from(([a, b, c, number as u8 + 1], port));
            let settings = SiteSettings {
                name: format!("front-{number}"),
                domain: ["north", "south"][number % 2].to_owned(),
                caller_address: address(8001),
                ready_address: address(8002),
                control_address: address(8003),
                seeds: vec![SocketAddr::from(([a, b, c, 1], 8003))],
                peer_port: Some(8004),
                store_address: store.address(),
                first_start: false,
                memory_mb: 96,
                further_lines: String::new(),
            };
            processes.push(SiteInstance::start(&binary, &settings)?);
            callers.push(address(8001));
            links.push(own_links);
            stores.push(store);
        }
        Ok(Self { endpoints, _stores: stores, _processes: processes, links, callers })
    }
}

async fn measure(arguments: &Arguments, mode: LinkMode) -> Result<(), CommandError> {
    let fleet = Fleet::start(arguments.instances).await?;
    let start = Instant::now();
    let cut_at = start + WARM_UP + BEFORE;
    let end = cut_at + Duration::from_secs(arguments.seconds);
    let phase = move |at: Instant| match at {
        at if at < start + WARM_UP => Phase::WarmUp,
        at if at < cut_at => Phase::Before,
        at if at < cut_at + SETTLING => Phase::Settling,
        _ => Phase::Cut,
    };
    let client = Client::builder().pool_max_idle_per_host(0).build()?;
    let (callers, pause) =
        (Arc::new(fleet.callers.clone()), Duration::from_secs(1) / arguments.rate.max(1) as u32);
    let mut tasks = JoinSet::new();
    let mut is_cut = false;
    let (mut number, mut next) = (0_usize, tokio::time::Instant::now());
    while Instant::now() < end {
        if !is_cut && Instant::now() >= cut_at {
            is_cut = true;
            fleet.links[..arguments.cut].iter().flatten().for_each(|link| link.set_mode(mode));
        }
        for instance in 0..callers.len() {
            let (client, callers, kind) = (client.clone(), Arc::clone(&callers), KINDS[number % KINDS.len()]);
            let id = format!("{kind}-{instance}-{number}");
            tasks.spawn(async move {
                let sent = Instant::now();
                let address = callers[instance].to_string();
                let request = site_request(&client, &address, &format!("/{kind}/"), &id, DEADLINE_MS);
                let status = match request.send().await {
                    Ok(response) => {
                        let status = response.status().as_u16();
                        if response.bytes().await.is_ok() { status } else { 0 }
                    }
                    Err(_) => 0,
                };
                Call { instance, phase: phase(sent), kind, status, took: sent.elapsed() }
            });
        }
        number += 1;
        next += pause;
        tokio::time::sleep_until(next).await;
    }
    print_table(&tasks.join_all().await, arguments);
    Ok(())
}

fn print_table(calls: &[Call], arguments: &Arguments) {
    println!(
        "{} of {} instances without links ({}), {} calls a second at each; served first tries:",
        arguments.cut, arguments.instances, arguments.mode, arguments.rate
    );
    for phase in [Phase::Before, Phase::Settling, Phase::Cut] {
        for is_cut in [true, false] {
            let group: Vec<_> =
                calls.iter().filter(|c| c.phase == phase && (c.instance < arguments.cut) == is_cut).collect();
            if group.is_empty() {
                continue;
            }
            let served = group.iter().filter(|call| call.status == 200).count();
            let plain = group.iter().filter(|call| call.status == 200 && call.kind != "stream");
            let mut times: Vec<_> = plain.map(|call| call.took).collect();
            times.sort_unstable();
            let quantile = |q: f64| times.get((times.len() as f64 * q) as usize).copied().unwrap_or_default();
            let who = if is_cut { "without links" } else { "others" };
            let mut failed: BTreeMap<u16, (u32, Duration)> = BTreeMap::new();
            for call in group.iter().filter(|call| call.status != 200) {
                let (count, longest) = failed.entry(call.status).or_default();
                *count += 1;
                *longest = call.took.max(*longest);
            }
            println!(
                "{phase:?} {who}: {served} of {}; plain calls p50 {:.1?} p95 {:.1?}; other statuses, with count and longest time: {failed:.0?}",
                group.len(),
                quantile(0.5),
                quantile(0.95)
            );
        }
    }
}
