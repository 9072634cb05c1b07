//! Callers, and the guarantees that they check.

mod broken;
mod calm;
mod lives;
mod verification;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::{Client, Response};
use teaselshunt_routing::tag;
use teaselshunt_standin::{
    CRASHING_BODY, CRASHING_PART, FLOODING_TEAM, RIVAL_TEAM, SiteTeam, UNLIMITED_TEAM,
};
use teaselshunt_standin::{SiteExecution, event_text, is_signed, site_request};
use tokio::sync::watch;
use tokio::task::JoinSet;

use self::broken::{Broken, Causes, Ending};
use crate::site::Site;
use crate::statements::{self, Announcements};
use crate::{Arguments, Faults};

/// A violation of a guarantee.
#[derive(Debug, Clone)]
pub(crate) struct Violation {
    pub(crate) message: String,
    pub(crate) request_id: Option<String>,
}

/// Log lines of faults of an instance: a request that outlived its deadline, and one whose handling panicked.
const FAULT_LINES: [&str; 2] =
    ["\"msg\":\"request in progress after its deadline\"", "\"msg\":\"request panicked\""];
/// Time after which an endpoint that leaves gets no new request, with slack for the check itself.
const DRAIN_TIME: Duration = Duration::from_millis(2500);
/// Time without a disturbance of the store, of an instance or of its link to the store. [`DRAIN_TIME`] is checked only
/// if the last disturbance is longer ago than that, both when the endpoint left and when it got the request.
const QUIET: Duration = Duration::from_secs(3);
/// Pause between two requests of a caller of the flooding team.
const FLOOD_PAUSE: Duration = Duration::from_millis(15);
/// Window in which a team's limit must hold.
const LIMIT_WINDOW: Duration = Duration::from_secs(8);
/// Factor by which a team may exceed its limit in that window, since requests get second attempts, wait at engines, and
/// meet restarts and network partitions.
const LIMIT_TOLERANCE: f64 = 1.5;
/// Deadline of requests: several times the duration of a stream.
const DEADLINE_MS: u64 = 5_000;
/// Time after its deadline in which a call must have been answered, for the way to and from the instance.
const ANSWER_SLACK: Duration = Duration::from_secs(1);
/// Pause between two bursts of the callers of an instance in an overload, and calls of a burst. Four instances together
/// get about three times what plain endpoints and engines can serve.
const BURST_PAUSE: Duration = Duration::from_millis(50);
const BURST_CALLS: u32 = 12;
/// Kinds of the calls of a burst.
const BURST_KINDS: [&str; 6] = ["urgent", "background", "once", "safe", "urgent-stream", "background-stream"];
/// Longest `Retry-After` of a refusal, in seconds.
const RETRY_AFTER_MAX_S: f64 = 30.0;
/// The same for a request in quarantine, which lasts ten minutes; delays are randomized by a quarter.
const QUARANTINE_MAX_S: f64 = 750.0;
/// Number of events of a stream.
const EVENT_COUNT: u32 = 20;
/// Pause before each request that crashes engines, in milliseconds.
const CRASH_PAUSE_MS: std::ops::Range<u64> = 500..3_000;
/// Ids of the calls of two teams that overload the plain service with equal priority, and how many of each every caller
/// sends at a time. Four instances get 600 and 200 calls a second, and the plain endpoints serve 300 or fewer.
const FAIR_CALLS: [(&str, u32); 2] = [("fair", 3), ("rival", 1)];
const FAIR_PAUSE: Duration = Duration::from_millis(20);
/// First tries at each of them, and the percentage that must be served.
const CUT_CALLS: usize = 40;
const CUT_SERVED_PERCENT: usize = 95;

/// Most events that a caller may get, since each asks for ten tokens, and most bytes that are no event.
const MAX_EVENTS: usize = 138;
const MAX_EVENT_BYTES: usize = 256 * 1024 + 10 * 64;

/// Characters of a wrong response that are printed.
const SHOWN_CHARS: usize = 2_000;

/// Kinds of requests that may run only once.
const ONCE: [&str; 8] = ["once", "stream", "crash", "part", "urgent", "background", "fair", "rival"];
/// Kinds of requests that crash engines.
const CRASHING: [&str; 2] = ["crash", "part"];

#[derive(Debug, Default)]
struct Records {
    /// Ids of requests that were refused as not run.
    refused: Vec<String>,
    /// Calls that were answered too late: their ids, and when they were sent.
    overdue: Vec<(String, Instant)>,
    violations: Vec<Violation>,
    announcements: Announcements,
    /// Calls of the teams of [`FAIR_CALLS`] that an instance responded to, and the complete ones among them.
    fair: [(u32, u32); 2],
    /// Calls whose responses were not delivered whole, and whose causes are not counted yet.
    broken: Vec<Broken>,
    /// Responses that go on after their end, whose endpoint may have sent them so.
    endless: Vec<(String, String)>,
}

#[derive(Debug, Default)]
struct Counts {
    sent: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
}

pub(crate) struct Callers {
    records: Arc<Mutex<Records>>,
    counts: Arc<Counts>,
    broken: Mutex<Causes>,
    tasks: Mutex<JoinSet<()>>,
    /// Whether guarantees with a time bound are skipped.
    timeless: bool,
}

#[derive(Debug, Clone)]
struct Caller {
    address: String,
    client: Client,
    records: Arc<Mutex<Records>>,
    counts: Arc<Counts>,
}

impl Callers {
    /// Starts callers of every instance. They keep their connections until the instance's process has ended.
    ///
    /// Beside pauses alone none sends more than endpoints serve or what crashes them, so that nothing but silence can delay a response.
    pub(crate) fn start(site: &Site, seed: u64, arguments: &Arguments) -> Self {
        let (records, counts) = (Arc::<Mutex<Records>>::default(), Arc::<Counts>::default());
        let mut tasks = JoinSet::new();
        for (index, slot) in site.parts().instances.iter().enumerate() {
            let caller = Caller {
                address: slot.settings.caller_address.to_string(),
                client: Client::new(),
                records: Arc::clone(&records),
                counts: Arc::clone(&counts),
            };
            for kind in ["once", "safe", "stream", "resume"] {
                let rng = StdRng::seed_from_u64(seed ^ (index as u64 * 7 + kind.len() as u64));
                tasks.spawn(caller.clone().send_requests(kind, index, rng));
            }
            if arguments.faults == Faults::Pauses {
                continue;
            }
            tasks.spawn(caller.clone().send_flood(index));
            let rng = StdRng::seed_from_u64(seed ^ (index as u64 * 13));
            tasks.spawn(caller.clone().send_bursts(index, rng, site.overload.subscribe()));
            tasks.spawn(caller.send_crashing(index, StdRng::seed_from_u64(seed ^ (index as u64 * 11))));
        }
        let timeless = arguments.timeless;
        Self { records, counts, broken: Mutex::default(), tasks: Mutex::new(tasks), timeless }
    }

    pub(crate) fn summary(&self) -> String {
        let count = |c: &AtomicU64| c.load(Ordering::Relaxed);
        let Counts { sent, answered, refused } = &*self.counts;
        let causes = self.broken.lock().unwrap_or_else(PoisonError::into_inner);
        let endless = lock(&self.records).endless.len();
        format!(
            "{} asked, {} answered, {} refused, {endless} went on after their end; {causes}",
            count(sent),
            count(answered),
            count(refused)
        )
    }

    /// The first violation so far.
    pub(crate) fn violation(&self, site: &Site) -> Option<Violation> {
        let runs = site.executions();
        let records = lock(&self.records);
        if let Some(violation) = records.violations.first() {
            return Some(violation.clone());
        }
        let mut counts: HashMap<&str, u32> = HashMap::new();
        for (run, _) in runs.iter().filter(|(run, _)| !run.prefill && run.resume_after.is_none()) {
            *counts.entry(&run.request_id).or_default() += 1;
        }
        let violation = |message: &str, id: &str| {
            Some(Violation { message: message.to_owned(), request_id: Some(id.to_owned()) })
        };
        let may_run_once = |id: &str| ONCE.iter().any(|kind| id.starts_with(kind));
        if let Some((id, _)) = counts.iter().find(|(id, n)| may_run_once(id) && **n > 1) {
            return violation("a non-idempotent request ran twice", id);
        }
        if let Some(id) = records.refused.iter().find(|id| counts.contains_key(id.as_str())) {
            return violation("a request that was refused as not run has run", id);
        }
        if let Some((id, message)) = records.endless.iter().find(|(id, _)| !site.ran_without_end(id)) {
            return violation(message, id);
        }
        let late = records.announcements.late_run(&site.parts());
        let overdue =
            records.overdue.iter().find(|(id, sent)| statements::was_running(&site.parts(), id, *sent));
        let overdue = overdue.map(|(id, _)| id.clone());
        drop(records);
        self.count_broken(site);
        if let Some(line) = FAULT_LINES.iter().find_map(|text| site.log_lines(text).into_iter().next()) {
            let message = format!("an instance logged a fault of its own: {line}");
            return Some(Violation { message, request_id: None });
        }
        if let Some(index) = site.parts().failed {
            let message = format!("instance {index} ended by itself with a failure");
            return Some(Violation { message, request_id: None });
        }
        if let Some(run) = runs.iter().map(|(run, _)| run).find(|run| !has_correct_team(run)) {
            return violation("an endpoint got a wrong team or a caller's key", &run.request_id);
        }
        if self.timeless {
            return None;
        }
        if let Some(id) = overdue {
            return violation("a call was answered later than its deadline", &id);
        }
        if let Some(id) = late {
            return violation(
                "an instance that had passed on that an endpoint leaves sent it a request",
                &id,
            );
        }
        if let Some((id, times)) = statements::request_in_cooldown(&site.parts()) {
            let message = format!("an instance sent requests to an endpoint in its cooldown: {times}");
            return violation(&message, &id);
        }
        if let Some(id) = beyond_limit(&runs) {
            return violation("a team exceeded its limit", &id);
        }
        let parts = site.parts();
        let since = parts.instances.iter().map(|s| s.undisturbed_since).max().unwrap_or_else(Instant::now);
        let late_run = runs.iter().find(|(run, left)| {
            left.is_some_and(|left| {
                run.arrived_at > left + DRAIN_TIME && left > since + QUIET && run.arrived_at > since + QUIET
            })
        });
        late_run.and_then(|(run, _)| violation("an endpoint that had left got a request", &run.request_id))
    }

    /// Sends calls of these kinds, so many of each at a time, to every instance until the result is dropped.
    fn send_steadily(&self, site: &Site, kinds: &[(&'static str, u32)], pause: Duration) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for (index, slot) in site.parts().instances.iter().enumerate() {
            let caller = self.caller(&slot.settings.caller_address.to_string());
            let kinds = kinds.to_vec();
            tasks.spawn(async move {
                let mut calls = JoinSet::new();
                for round in 0_u64.. {
                    let kinds = kinds.iter().flat_map(|&(kind, count)| (0..count).map(move |n| (kind, n)));
                    for (kind, number) in kinds {
                        let id = format!("{kind}-{index}-steady-{round}-{number}");
                        let caller = caller.clone();
                        calls.spawn(async move { caller.send(kind, &id).await });
                    }
                    while calls.try_join_next().is_some() {}
                    tokio::time::sleep(pause).await;
                }
            });
        }
        tasks
    }

    fn caller(&self, address: &str) -> Caller {
        Caller {
            address: address.to_owned(),
            client: Client::new(),
            records: Arc::clone(&self.records),
            counts: Arc::clone(&self.counts),
        }
    }
}

/// Whether requests of a kind are generations.
fn uses_engines(kind: &str) -> bool {
    kind == "resume" || CRASHING.contains(&kind) || kind.ends_with("stream")
}

/// Parts of the prompt of a request: the first is common to all, the second to those of its kind, and the last is its own.
fn prompt_parts(kind: &str, id: &str) -> String {
    let middle = if kind == "part" { CRASHING_PART } else { "e1" };
    format!("f1:200,{middle}:40,{:x}:20", tag(id))
}

/// Whether a text is the whole response of a request and what an endpoint sends after it that sends without an end, as far
/// as an instance may pass that on.
fn goes_on(text: &str, expected: &str, id: &str) -> bool {
    let count = text.matches("\n\n").count();
    let since_event = text.len() - text.rfind("\n\n").map_or(0, |end| end + 2);
    if count > MAX_EVENTS || since_event > MAX_EVENT_BYTES {
        return false;
    }
    let text = text.trim_end_matches('.');
    let events: String = (1..=count as u32 + 1).map(|number| event_text(id, number)).collect();
    expected.starts_with(text) || events.starts_with(text)
}

/// The first word of a kind, with which the ids of its requests begin.
fn first_word(kind: &str) -> &str {
    kind.split('-').next().unwrap_or(kind)
}

/// The `Retry-After` of a refusal, if it is none that a caller can use.
async fn unusable_delay(response: Response) -> Option<String> {
    let header = response.headers().get("retry-after").cloned();
    let delay = header.as_ref().and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
    // A broken connection proves nothing about the refusal.
    let text = response.text().await.ok()?;
    let longest =
        if text.contains("\"error\":\"quarantined\"") { QUARANTINE_MAX_S } else { RETRY_AFTER_MAX_S };
    let usable = delay.is_some_and(|seconds| seconds > 0.0 && seconds <= longest);
    (!usable).then(|| format!("{header:?}"))
}

/// The team whose key is sent with a request.
fn team_of(request_id: &str) -> SiteTeam {
    match first_word(request_id) {
        "flood" => FLOODING_TEAM,
        "rival" => RIVAL_TEAM,
        _ => UNLIMITED_TEAM,
    }
}

/// Whether an endpoint got the team of the caller whose request it ran, and no key.
fn has_correct_team(run: &SiteExecution) -> bool {
    let team = team_of(&run.request_id);
    run.team.as_deref() == Some(team.name) && run.authorization.is_none()
}

/// The last request of a window in which the flooding team exceeded its limit and the tolerance.
fn beyond_limit(runs: &[(SiteExecution, Option<Instant>)]) -> Option<String> {
    let allowed = (FLOODING_TEAM.rate_per_s * (LIMIT_WINDOW.as_secs() + 1)) as f64 * LIMIT_TOLERANCE;
    let flood = runs.iter().map(|(run, _)| run).filter(|run| run.request_id.starts_with("flood"));
    let mut flood: Vec<&SiteExecution> = flood.collect();
    flood.sort_by_key(|run| run.started_at);
    let mut spans = flood.windows(allowed as usize + 1);
    let window = spans.find(|s| s[s.len() - 1].started_at.duration_since(s[0].started_at) < LIMIT_WINDOW)?;
    Some(window[window.len() - 1].request_id.clone())
}

fn lock(records: &Mutex<Records>) -> std::sync::MutexGuard<'_, Records> {
    records.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Caller {
    async fn send_requests(self, kind: &'static str, index: usize, mut rng: StdRng) {
        for number in 0_u64.. {
            let id = format!("{kind}-{index}-{number}-{:x}", rng.random::<u32>());
            let disconnect_ms = rng.random_bool(0.1).then(|| rng.random_range(1..300));
            match disconnect_ms {
                // The caller disconnects after this time. The disconnect is an injected fault and proves nothing.
                Some(ms) => {
                    let _ = tokio::time::timeout(Duration::from_millis(ms), self.send(kind, &id)).await;
                }
                None => {
                    self.send(kind, &id).await;
                }
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(5..80))).await;
        }
    }

    /// Sends far more requests than its team's limit.
    async fn send_flood(self, index: usize) {
        for number in 0_u64.. {
            self.send("flood", &format!("flood-{index}-{number}")).await;
            tokio::time::sleep(FLOOD_PAUSE).await;
        }
    }

    /// Sends bursts of calls of several priorities and teams in each overload.
    async fn send_bursts(self, index: usize, mut rng: StdRng, mut overload: watch::Receiver<Instant>) {
        let mut calls = JoinSet::new();
        for burst in 0_u64.. {
            if overload.wait_for(|until| *until > Instant::now()).await.is_err() {
                return;
            }
            for number in 0..BURST_CALLS {
                let kind = BURST_KINDS[rng.random_range(0..BURST_KINDS.len())];
                // The check of a team's limit counts each run, and a generation is two of them.
                let floods = !kind.ends_with("stream") && rng.random_bool(0.3);
                let id_kind = if floods { "flood" } else { first_word(kind) };
                let (caller, id) = (self.clone(), format!("{id_kind}-{index}-burst-{burst}-{number}"));
                calls.spawn(async move { caller.send(kind, &id).await });
            }
            while calls.try_join_next().is_some() {}
            tokio::time::sleep(BURST_PAUSE).await;
        }
    }

    /// Sends first tries one after the other, and counts those that are served.
    async fn count_served(&self, instance: usize) -> usize {
        let mut served = 0;
        for number in 0..CUT_CALLS {
            let kind = ["once", "safe", "stream", "resume"][number % 4];
            served += usize::from(self.send(kind, &format!("{kind}-{instance}-cut-{number}")).await);
        }
        served
    }

    /// Sends requests that crash each engine that starts to run them: the same one again, and others that have only a part of
    /// their prompts in common, in turn.
    async fn send_crashing(self, index: usize, mut rng: StdRng) {
        for number in 0_usize.. {
            tokio::time::sleep(Duration::from_millis(rng.random_range(CRASH_PAUSE_MS))).await;
            let kind = CRASHING[number % CRASHING.len()];
            self.send(kind, &format!("{kind}-{index}-{number}-{:x}", rng.random::<u32>())).await;
        }
    }

    /// Sends a request of the team without a limit over a new connection; returns the status of its response, if any.
    async fn status(&self, path: &str, id: &str) -> Option<u16> {
        let request = site_request(&Client::new(), &self.address, path, id, DEADLINE_MS);
        let request = request.header("authorization", format!("Token {}", UNLIMITED_TEAM.key));
        request.send().await.ok().map(|response| response.status().as_u16())
    }

    /// Sends a request and checks its response. Returns whether the response was complete.
    async fn send(&self, kind: &str, id: &str) -> bool {
        self.counts.sent.fetch_add(1, Ordering::Relaxed);
        let path = match kind {
            "crash" => "/stream/".to_owned(),
            "part" => format!("/stream/{id}"),
            "flood" => "/safe/".to_owned(),
            "fair" | "rival" => "/once/".to_owned(),
            kind => format!("/{kind}/"),
        };
        let team = team_of(id);
        let mut request = site_request(&self.client, &self.address, &path, id, DEADLINE_MS);
        request = request.header("authorization", format!("Token {}", team.key)).header("tenant", "forged");
        if kind == "crash" {
            request = request.body(CRASHING_BODY);
        } else if uses_engines(kind) {
            request = request.header("prompt-prefix", prompt_parts(kind, id)).body(format!("question {id}"));
        }
        let sent = Instant::now();
        // A broken connection proves nothing about the request.
        let response = match request.send().await {
            Ok(response) => response,
            // The instance does not listen.
            Err(error) if error.is_connect() => return false,
            Err(_) => {
                self.record_broken(kind, id, sent, Ending::Unanswered);
                return false;
            }
        };
        lock(&self.records).announcements.record(id, response.headers());
        let status = response.status().as_u16();
        let complete = match status {
            200 => {
                let broken = self.check_response(kind, id, response).await;
                if let Some(ending) = broken {
                    self.record_broken(kind, id, sent, ending);
                }
                broken.is_none()
            }
            408 | 421 | 429 | 503 => {
                self.counts.refused.fetch_add(1, Ordering::Relaxed);
                // A response of an instance with one of these statuses says that nothing has run, whatever the route.
                if matches!(status, 429 | 503) || ONCE.contains(&first_word(kind)) {
                    lock(&self.records).refused.push(id.to_owned());
                }
                if matches!(status, 429 | 503)
                    && let Some(delay) = unusable_delay(response).await
                {
                    self.report(id, format!("a refusal with status {status} has the retry delay {delay}"));
                }
                self.record_broken(kind, id, sent, Ending::Refused(status));
                false
            }
            500 | 502 | 504 => {
                self.record_broken(kind, id, sent, Ending::Failed(status));
                false
            }
            // The route of a version that was just published may not be active yet.
            404 if kind.starts_with('v') => false,
            other => {
                self.report(id, format!("a valid request got status {other}"));
                false
            }
        };
        if let Some(team) = FAIR_CALLS.iter().position(|(fair, _)| *fair == kind) {
            let (asked, got) = &mut lock(&self.records).fair[team];
            *asked += 1;
            *got += u32::from(complete);
        }
        if sent.elapsed() > Duration::from_millis(DEADLINE_MS) + ANSWER_SLACK {
            lock(&self.records).overdue.push((id.to_owned(), sent));
        }
        complete
    }

    /// Checks a response, and returns how it ended unless it is complete.
    async fn check_response(&self, kind: &str, id: &str, mut response: Response) -> Option<Ending> {
        if !is_signed(response.headers()) {
            self.report(id, "a response lacks its endpoint's signature".to_owned());
        }
        // Without framing, the end of a response claims no more than that of its endpoint's.
        let framed =
            ["content-length", "transfer-encoding"].iter().any(|name| response.headers().contains_key(*name));
        let mut text = Vec::new();
        let ended = loop {
            match response.chunk().await {
                Ok(Some(chunk)) => text.extend_from_slice(&chunk),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        let text = String::from_utf8_lossy(&text).into_owned();
        let expected: String = if uses_engines(kind) {
            (1..=EVENT_COUNT).map(|number| event_text(id, number)).collect()
        } else {
            format!("answer to {id}")
        };
        let complete = ended && text == expected;
        let shown: String = text.chars().take(SHOWN_CHARS).collect();
        if ended && framed && !complete {
            self.report(
                id,
                format!("a response that is framed as complete is not that of its request: {shown:?}"),
            );
        } else if !expected.starts_with(&text) {
            let message = format!("a response has missing, repeated or foreign parts: {shown:?}");
            if !ended && goes_on(&text, &expected, id) {
                lock(&self.records).endless.push((id.to_owned(), message));
            } else {
                self.report(id, message);
            }
        }
        if complete {
            self.counts.answered.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(if ended && !framed { Ending::Short } else { Ending::BrokenOff })
    }

    /// Records a call of which nobody knows yet why its response was not delivered whole. Whoever crashes engines and whoever sends too much is to
    /// be refused.
    fn record_broken(&self, kind: &str, id: &str, sent: Instant, ending: Ending) {
        let steady = ["once", "safe", "stream", "resume"].contains(&kind);
        let may_fail = first_word(id) == "flood" || CRASHING.contains(&first_word(id));
        if steady || !may_fail && !matches!(ending, Ending::Refused(_)) {
            let (id, ended, uses_engines) = (id.to_owned(), Instant::now(), uses_engines(kind));
            lock(&self.records).broken.push(Broken { id, uses_engines, ending, sent, ended });
        }
    }

    fn report(&self, id: &str, message: String) {
        lock(&self.records).violations.push(Violation { message, request_id: Some(id.to_owned()) });
    }
}
