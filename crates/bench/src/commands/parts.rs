//! Measures what callers see while requests share a part of their prompts under which engines crash, on real processes before
//! stand-ins.

mod fleet;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use gumdrop::Options;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::{Client, RequestBuilder};
use teaselshunt_standin::{CRASHING_PART, event_text, site_request};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::JoinSet;

use self::fleet::{EVENTS, Fleet};
use super::CommandError;

/// Requests before the measurement, while instances get to know one another.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time without the part that is measured.
const CALM: Duration = Duration::from_secs(8);
/// Crashes after which requests with the part are bounded, and the time until all instances must know.
const CRASHES: usize = 5;
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Deadline of the requests.
const DEADLINE_MS: u64 = 6_000;
/// Attempts of a request with the part, and the time between two of them.
const ATTEMPTS: u32 = 3;
const ATTEMPT_GAP: Duration = Duration::from_millis(300);
/// Factor of the rate of requests with the part in one scenario.
const FREQUENT_FACTOR: f64 = 6.0;
/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(2);
/// Times and log lines that are printed at most.
const TIMES_SHOWN: usize = 24;
const LINES_SHOWN: usize = 8;
/// Paths of sound requests, in turn; only the streams of the second one resume.
const PATHS: [&str; 2] = ["/stream/", "/resume/"];
/// First parts, and parts after them, that sound requests share.
const FIRST_PARTS: [&str; 2] = ["f1", "f2"];
const MIDDLE_PARTS: u32 = 12;
/// A sound part that comes with each request that crashes engines, and with one of so many sound requests.
const COMPANION: &str = "ab1";
const COMPANION_FRACTION: u32 = 40;

/// What happens besides sound requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// Requests with a part crash engines.
    Part,
    /// The same, and a sound part always comes with it.
    Companion,
    /// The same part was in a quarter of the sound requests before.
    Known,
    /// The part, and every second instance restarts 12 s later.
    Restarts,
    /// The part comes [`FREQUENT_FACTOR`] times as often.
    Frequent,
    /// Eight engines end by themselves, one a second.
    Ends,
    /// Five engines end at once, twice.
    Hosts,
}

impl Scenario {
    fn parse(text: &str) -> Option<Self> {
        Some(match text {
            "part" => Self::Part,
            "companion" => Self::Companion,
            "known" => Self::Known,
            "restarts" => Self::Restarts,
            "frequent" => Self::Frequent,
            "ends" => Self::Ends,
            "hosts" => Self::Hosts,
            _ => return None,
        })
    }

    const fn has_part(self) -> bool {
        !matches!(self, Self::Ends | Self::Hosts)
    }
}

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "part, companion, known, restarts, frequent, ends or hosts", default = "part")]
    scenario: String,
    #[options(help = "instances, in three failure domains", default = "7")]
    instances: usize,
    #[options(help = "decode engines", default = "12")]
    decodes: usize,
    #[options(help = "prefill engines", default = "4")]
    prefills: usize,
    #[options(help = "seconds with the part", default = "34")]
    seconds: u64,
    #[options(help = "sound requests a second", default = "40")]
    rate: f64,
    #[options(help = "requests with the part a second", default = "2.5")]
    part_rate: f64,
    #[options(help = "seed", default = "1")]
    seed: u64,
}

/// A request that was answered, or not.
#[derive(Debug, Clone, Copy)]
struct Call {
    sent: Instant,
    /// Status of the response; 0 without one.
    status: u16,
    /// Whether the whole stream arrived.
    is_complete: bool,
}

async fn send(request: RequestBuilder, id: &str) -> Call {
    let sent = Instant::now();
    let Ok(response) = request.send().await else { return Call { sent, status: 0, is_complete: false } };
    let status = response.status().as_u16();
    let expected: String = (1..=EVENTS).map(|number| event_text(id, number)).collect();
    let is_complete = response.text().await.is_ok_and(|text| status == 200 && text == expected);
    Call { sent, status, is_complete }
}

/// Makes attempts one after the other until one is answered completely, and reports each.
async fn send_until_complete(attempts: Vec<(RequestBuilder, String)>, results: UnboundedSender<Call>) {
    for (request, id) in attempts {
        let outcome = send(request, &id).await;
        // The measurement may have ended.
        let _ = results.send(outcome);
        if outcome.is_complete {
            return;
        }
        tokio::time::sleep(ATTEMPT_GAP).await;
    }
}

pub(crate) fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let Some(scenario) = Scenario::parse(&arguments.scenario) else {
        return Err(CommandError::Usage(format!("unknown scenario \"{}\"", arguments.scenario)));
    };
    if !(1..=200).contains(&arguments.instances) || arguments.rate <= 0.0 || arguments.part_rate <= 0.0 {
        return Err(CommandError::Usage("expected 1 to 200 instances, and rates above 0".to_owned()));
    }
    tokio::runtime::Runtime::new()?.block_on(measure(arguments, scenario))
}

/// Callers of the fleet.
struct Callers {
    rng: StdRng,
    client: Client,
    scenario: Scenario,
    /// From when on the part crashes engines.
    begin: Instant,
    number: u64,
}

impl Callers {
    /// Parts of a prompt: a shared first one, `middle`, and one of its own.
    fn parts(&mut self, middle: &[&str]) -> String {
        let first = FIRST_PARTS[self.rng.random_range(0..FIRST_PARTS.len())];
        let middle: Vec<_> = middle.iter().map(|part| format!("{part}:40")).collect();
        format!("{first}:200,{},{:x}:20", middle.join(","), 0x1000_0000 + self.number)
    }

    fn sound(&mut self, address: &str) -> (RequestBuilder, String) {
        self.number += 1;
        let path = PATHS[self.number as usize % PATHS.len()];
        let shared = format!("e{:x}", self.rng.random_range(0..MIDDLE_PARTS));
        let mut middle = vec![shared.as_str()];
        if self.scenario == Scenario::Companion && self.rng.random_ratio(1, COMPANION_FRACTION) {
            middle.push(COMPANION);
        }
        // The part crashes no engine of that name until it begins to crash all.
        let is_early = Instant::now() < self.begin;
        let has_part = self.scenario == Scenario::Known && is_early && self.rng.random_ratio(1, 4);
        if has_part {
            middle.push(CRASHING_PART);
        }
        let parts = self.parts(&middle);
        let id = format!("sound-{}", self.number);
        let request =
            site_request(&self.client, address, &format!("{path}{}", self.number), &id, DEADLINE_MS);
        let request = request.header("prompt-prefix", parts).body(format!("question {}", self.number));
        (if has_part { request.header("crash-at", "none") } else { request }, id)
    }

    fn crashing(&mut self, address: &str, attempt: u32) -> (RequestBuilder, String) {
        self.number += 1;
        let path = PATHS[self.number as usize % PATHS.len()];
        let shared = format!("e{:x}", self.rng.random_range(0..MIDDLE_PARTS));
        let mut middle = vec![shared.as_str(), CRASHING_PART];
        if self.scenario == Scenario::Companion {
            middle.push(COMPANION);
        }
        let parts = self.parts(&middle);
        let id = format!("crashing-{}-{attempt}", self.number);
        let request =
            site_request(&self.client, address, &format!("{path}{}", self.number), &id, DEADLINE_MS);
        (request.header("prompt-prefix", parts).body(format!("question {}", self.number)), id)
    }
}

async fn measure(arguments: &Arguments, scenario: Scenario) -> Result<(), CommandError> {
    let mut fleet = Fleet::start(arguments.instances, arguments.decodes, arguments.prefills).await?;
    let calm = Instant::now() + WARM_UP;
    let begin = calm + CALM;
    let client = Client::builder().pool_max_idle_per_host(0).build()?;
    let mut callers =
        Callers { rng: StdRng::seed_from_u64(arguments.seed), client, scenario, begin, number: 0 };
    let end = begin + Duration::from_secs(arguments.seconds);
    let mut sound = JoinSet::new();
    let sound_gap = Duration::from_secs_f64(1.0 / arguments.rate);
    let factor = if scenario == Scenario::Frequent { FREQUENT_FACTOR } else { 1.0 };
    let crashing_gap = Duration::from_secs_f64(1.0 / (arguments.part_rate * factor));
    let (mut next_sound, mut next_crashing) = (Instant::now(), begin);
    let mut disturbances = disturbances(scenario, begin, arguments);
    let (results, mut outcomes) = unbounded_channel();
    while Instant::now() < end {
        let now = Instant::now();
        if next_sound <= now {
            next_sound += sound_gap;
            let address = fleet.caller(callers.rng.random_range(0..arguments.instances));
            let (request, id) = callers.sound(&address);
            sound.spawn(async move { send(request, &id).await });
        }
        if scenario.has_part() && next_crashing <= now {
            next_crashing += crashing_gap;
            let attempts: Vec<_> = (0..ATTEMPTS)
                .map(|attempt| {
                    let address = fleet.caller(callers.rng.random_range(0..arguments.instances));
                    callers.crashing(&address, attempt)
                })
                .collect();
            tokio::spawn(send_until_complete(attempts, results.clone()));
        }
        while let Some((_, disturbance)) = disturbances.pop_if(|(at, _)| *at <= now) {
            match disturbance {
                Disturbance::End(count) => fleet.end_engines(count),
                Disturbance::Restart(instance) => fleet.restart(instance)?,
            }
        }
        tokio::time::sleep(TICK).await;
    }
    let sound = sound.join_all().await;
    drop(results);
    let mut crashing = Vec::new();
    while let Some(call) = outcomes.recv().await {
        crashing.push(call);
    }
    print(arguments, &fleet, calm..begin, &sound, &crashing);
    Ok(())
}

#[derive(Debug, Clone, Copy)]
enum Disturbance {
    /// So many decode engines end by themselves.
    End(usize),
    /// An instance is killed and starts again.
    Restart(usize),
}

/// What happens besides the requests, the latest first.
fn disturbances(scenario: Scenario, begin: Instant, arguments: &Arguments) -> Vec<(Instant, Disturbance)> {
    let at = |seconds: u64| begin + Duration::from_secs(seconds);
    let mut list: Vec<_> = match scenario {
        Scenario::Ends => (0..8).map(|second| (at(second), Disturbance::End(1))).collect(),
        Scenario::Hosts => [0, 10].map(|second| (at(second), Disturbance::End(5))).to_vec(),
        Scenario::Restarts => {
            (0..arguments.instances).step_by(2).map(|number| (at(12), Disturbance::Restart(number))).collect()
        }
        Scenario::Part | Scenario::Companion | Scenario::Known | Scenario::Frequent => Vec::new(),
    };
    list.reverse();
    list
}

fn print(arguments: &Arguments, fleet: &Fleet, calm: Range<Instant>, sound: &[Call], crashing: &[Call]) {
    let (crashes, begin) = (fleet.crashes(), calm.end);
    println!(
        "{}: {} instances, {} + {} engines, {} sound requests a second, seed {}",
        arguments.scenario,
        arguments.instances,
        arguments.decodes,
        arguments.prefills,
        arguments.rate,
        arguments.seed
    );
    let since = |at: Instant| at.saturating_duration_since(begin).as_secs_f64();
    let times: Vec<_> = crashes.iter().map(|&at| format!("{:.1}", since(at))).collect();
    println!("{} crashes, at {} s", crashes.len(), times.join(" "));
    let bounded = crashes.get(CRASHES - 1).map(|&fifth| fifth + PROPAGATION_TIME);
    if let Some(bounded) = bounded {
        let (requests, sends) = fleet.reached("crashing-", bounded);
        println!(
            "later than {:.1} s: {requests} requests with the part reach engines, {sends} sends",
            since(bounded)
        );
    }
    let settled = crashes.get(CRASHES - 1).or(crashes.last()).map_or(begin, |&at| at + 2 * PROPAGATION_TIME);
    let end = begin + Duration::from_secs(arguments.seconds);
    print_calls("sound, calm", begin, sound, calm);
    print_calls("sound, meanwhile", begin, sound, begin..settled);
    print_calls("sound, settled", begin, sound, settled..end);
    print_calls("with the part, meanwhile", begin, crashing, begin..settled);
    print_calls("with the part, settled", begin, crashing, settled..end);
    for line in fleet.log_lines("\"msg\":\"prompt part\"").iter().take(LINES_SHOWN) {
        println!("{line}");
    }
}

/// Prints how many of the calls that were sent in a period were served, and when the others were sent, counted from `begin`.
fn print_calls(name: &str, begin: Instant, calls: &[Call], period: Range<Instant>) {
    let calls: Vec<_> = calls.iter().filter(|call| period.contains(&call.sent)).collect();
    let complete = calls.iter().filter(|call| call.is_complete).count();
    let share = complete as f64 / calls.len().max(1) as f64;
    println!("{name}: {complete} of {} complete ({share:.3})", calls.len());
    let mut others: BTreeMap<u16, Vec<String>> = BTreeMap::new();
    for call in calls.iter().filter(|call| !call.is_complete) {
        let at = call.sent.saturating_duration_since(begin).as_secs_f64();
        others.entry(call.status).or_default().push(format!("{at:.1}"));
    }
    for (status, times) in others {
        let shown = &times[..times.len().min(TIMES_SHOWN)];
        println!("  {} incomplete with status {status}, sent at {} s", times.len(), shown.join(" "));
    }
}
