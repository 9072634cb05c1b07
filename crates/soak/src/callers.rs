//! Callers, and the promises that they check.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::{Client, Response};
use teaselshunt_standin::{
    CRASHING_BODY, FLOODING_TEAM, SiteExecution, UNLIMITED_TEAM, event_text, is_signed, site_request,
};
use tokio::task::JoinSet;

use crate::faults::Plan;
use crate::site::Site;

/// A promise that was broken.
#[derive(Debug, Clone)]
pub(crate) struct Broken {
    pub(crate) promise: String,
    pub(crate) request: Option<String>,
}

/// Time in which a leaving endpoint must get nothing new, with the checker's own slack.
const DRAIN: Duration = Duration::from_millis(2500);
/// Calm time of the store and of all instances' ways to it, before and after which [`DRAIN`] holds.
const CALM: Duration = Duration::from_secs(3);
/// Pause of a caller whose team floods.
const FLOOD_PAUSE: Duration = Duration::from_millis(15);
/// Span in which a team's limit must hold.
const WINDOW: Duration = Duration::from_secs(8);
/// By how much it may be exceeded in it: requests are sent again, wait at engines, and meet restarts and cuts.
const TOLERANCE: f64 = 1.5;
/// How long callers wait; several times what a stream takes.
const DEADLINE_MS: u64 = 5_000;
/// Events of a stream.
const EVENTS: u32 = 20;
/// Pause of a caller whose request crashes engines, in milliseconds.
const CRASH_PAUSE: std::ops::Range<u64> = 500..3_000;
/// Engines that one request may crash before all instances know it, once everything has healed: those that were all down in
/// one moment have to learn it again.
const CRASHES: usize = 3;
/// Time in which all instances know what one has learned.
const SETTLED: Duration = Duration::from_secs(3);
/// Requests a second that plain endpoints name at the end.
const RATE: f64 = 3.0;
/// Span in which what they get counts, by how much it may exceed the rate, and by how many requests besides.
const RATE_WINDOW: Duration = Duration::from_secs(4);
const RATE_OVER: f64 = 1.5;
const RATE_SLACK: f64 = 5.0;
/// Longest time for everything to be served again at the end.
const RECOVERY: Duration = Duration::from_secs(90);

#[derive(Debug, Default)]
struct Book {
    /// Requests that may run once, which were refused as not run.
    refused: Vec<String>,
    broken: Vec<Broken>,
}

#[derive(Debug, Default)]
struct Counts {
    asked: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
}

pub(crate) struct Callers {
    book: Arc<Mutex<Book>>,
    counts: Arc<Counts>,
    tasks: Mutex<JoinSet<()>>,
    /// Whether promises with a time bound are left out.
    timeless: bool,
}

#[derive(Debug, Clone)]
struct Caller {
    address: String,
    client: Client,
    book: Arc<Mutex<Book>>,
    counts: Arc<Counts>,
}

impl Callers {
    /// Starts callers of every instance. They keep their connections until the process is gone.
    pub(crate) fn start(site: &Site, seed: u64, timeless: bool) -> Self {
        let (book, counts) = (Arc::<Mutex<Book>>::default(), Arc::<Counts>::default());
        let mut tasks = JoinSet::new();
        for (index, slot) in site.parts().instances.iter().enumerate() {
            let caller = Caller {
                address: slot.settings.caller_address.to_string(),
                client: Client::new(),
                book: Arc::clone(&book),
                counts: Arc::clone(&counts),
            };
            for kind in ["once", "safe", "stream", "resume"] {
                let rng = StdRng::seed_from_u64(seed ^ (index as u64 * 7 + kind.len() as u64));
                tasks.spawn(caller.clone().ask_for_ever(kind, index, rng));
            }
            tasks.spawn(caller.clone().flood_for_ever(index));
            tasks.spawn(caller.crash_for_ever(index, StdRng::seed_from_u64(seed ^ (index as u64 * 11))));
        }
        Self { book, counts, tasks: Mutex::new(tasks), timeless }
    }

    pub(crate) fn summary(&self) -> String {
        let count = |c: &AtomicU64| c.load(Ordering::Relaxed);
        let Counts { asked, answered, refused } = &*self.counts;
        format!("{} asked, {} answered, {} refused", count(asked), count(answered), count(refused))
    }

    /// The first promise that is broken by now.
    pub(crate) fn broken(&self, site: &Site) -> Option<Broken> {
        let runs = site.runs();
        let book = lock(&self.book);
        if let Some(broken) = book.broken.first() {
            return Some(broken.clone());
        }
        let mut counts: HashMap<&str, u32> = HashMap::new();
        for (run, _) in runs.iter().filter(|(run, _)| !run.prefill && run.resume_after.is_none()) {
            *counts.entry(&run.request_id).or_default() += 1;
        }
        let broken = |promise: &str, id: &str| {
            Some(Broken { promise: promise.to_owned(), request: Some(id.to_owned()) })
        };
        let once = |id: &str| ["once", "stream", "crash"].iter().any(|kind| id.starts_with(kind));
        if let Some((id, _)) = counts.iter().find(|(id, n)| once(id) && **n > 1) {
            return broken("a request that may run once ran twice", id);
        }
        if let Some(id) = book.refused.iter().find(|id| counts.contains_key(id.as_str())) {
            return broken("a request that was refused as not run has run", id);
        }
        drop(book);
        if let Some(run) = runs.iter().map(|(run, _)| run).find(|run| !is_told_truly(run)) {
            return broken(
                "an endpoint was told another team than the caller's, or its key",
                &run.request_id,
            );
        }
        if self.timeless {
            return None;
        }
        if let Some(id) = beyond_limit(&runs) {
            return broken("a team got more than its limit", &id);
        }
        let parts = site.parts();
        let calm = parts.instances.iter().map(|s| s.calm).max().unwrap_or_else(Instant::now);
        let late = runs.iter().find(|(run, left)| {
            left.is_some_and(|left| {
                run.started_at > left + DRAIN && left > calm + CALM && run.started_at > calm + CALM
            })
        });
        late.and_then(|(run, _)| broken("an endpoint that had left got a request", &run.request_id))
    }

    /// After everything has healed, every instance must serve every kind again, and nothing may be left at engines.
    pub(crate) async fn recover(&self, site: &Site) -> Result<(), Broken> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner).abort_all();
        let end = Instant::now() + RECOVERY;
        let addresses: Vec<String> =
            site.parts().instances.iter().map(|s| s.settings.caller_address.to_string()).collect();
        let newest = format!("v{}", site.parts().version);
        for address in &addresses {
            // The last is the route that only the newest version has.
            for kind in ["once", "safe", "stream", "resume", newest.as_str()] {
                while !self
                    .caller(address)
                    .ask(kind, &format!("{kind}-end-{address}-{:?}", Instant::now()))
                    .await
                {
                    if Instant::now() > end {
                        let promise =
                            format!("{address} does not serve {kind} again after everything healed");
                        return Err(Broken { promise, request: Some(format!("{kind}-end-{address}")) });
                    }
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            }
        }
        while site.parts().endpoints.iter().any(|e| e.server.active_requests() > 0) {
            if Instant::now() > end {
                let promise = "an endpoint still works for callers who have gone".to_owned();
                return Err(Broken { promise, request: None });
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        self.broken(site).map_or(Ok(()), Err)
    }

    /// After everything has healed, a request that crashes engines crashes few more.
    pub(crate) async fn crash_again(&self, site: &Site, plan: &mut Plan) -> Result<(), Broken> {
        let before = site.crashed();
        let addresses: Vec<String> =
            site.parts().instances.iter().map(|s| s.settings.caller_address.to_string()).collect();
        for (number, address) in addresses.iter().cycle().take(CRASHES).enumerate() {
            self.caller(address).ask("crash", &format!("crash-first-{number}")).await;
            plan.bury(site).await;
        }
        tokio::time::sleep(SETTLED).await;
        for (number, address) in addresses.iter().enumerate() {
            self.caller(address).ask("crash", &format!("crash-last-{number}")).await;
            plan.bury(site).await;
        }
        let more = site.crashed() - before;
        if more > CRASHES {
            let promise = format!("a request crashed {more} engines after everything had healed");
            return Err(Broken { promise, request: Some("crash-last".to_owned()) });
        }
        Ok(())
    }

    /// Plain endpoints name a rate once everything has healed, and callers ask on. As a promise with a time bound it is not
    /// checked beside other work.
    pub(crate) async fn keep_rates(&self, site: &Site) -> Result<(), Broken> {
        let name = |rate: Option<&str>| {
            let parts = site.parts();
            let plain = parts.endpoints.iter().filter(|endpoint| endpoint.server.stage().is_none());
            plain.for_each(|endpoint| endpoint.server.advertise_limit(rate));
        };
        name(Some(&RATE.to_string()));
        tokio::time::sleep(SETTLED).await;
        let from = Instant::now();
        tokio::time::sleep(RATE_WINDOW * 2).await;
        name(None);
        let allowed = (RATE * RATE_WINDOW.as_secs_f64() * RATE_OVER + RATE_SLACK) as usize;
        let parts = site.parts();
        let over =
            parts.endpoints.iter().filter(|endpoint| endpoint.server.stage().is_none()).find(|endpoint| {
                let arrivals: Vec<_> =
                    endpoint.server.arrivals().into_iter().filter(|at| *at >= from).collect();
                arrivals.windows(allowed + 1).any(|span| span[allowed] - span[0] < RATE_WINDOW)
            });
        match over {
            Some(endpoint) if !self.timeless => {
                let promise =
                    format!("endpoint {} got more than the rate that it names", endpoint.server.id());
                Err(Broken { promise, request: None })
            }
            Some(_) | None => Ok(()),
        }
    }

    fn caller(&self, address: &str) -> Caller {
        Caller {
            address: address.to_owned(),
            client: Client::new(),
            book: Arc::clone(&self.book),
            counts: Arc::clone(&self.counts),
        }
    }
}

/// Whether an endpoint was told the team of the caller whose request it ran, and no key.
fn is_told_truly(run: &SiteExecution) -> bool {
    let team = if run.request_id.starts_with("flood") { FLOODING_TEAM } else { UNLIMITED_TEAM };
    run.team.as_deref() == Some(team.name) && run.authorization.is_none()
}

/// The last request of a window in which the flooding team got more than its limit and the tolerance.
fn beyond_limit(runs: &[(SiteExecution, Option<Instant>)]) -> Option<String> {
    let most = (FLOODING_TEAM.rate_per_s * (WINDOW.as_secs() + 1)) as f64 * TOLERANCE;
    let flood = runs.iter().map(|(run, _)| run).filter(|run| run.request_id.starts_with("flood"));
    let mut flood: Vec<&SiteExecution> = flood.collect();
    flood.sort_by_key(|run| run.started_at);
    let mut spans = flood.windows(most as usize + 1);
    let full =
        spans.find(|span| span[span.len() - 1].started_at.duration_since(span[0].started_at) < WINDOW)?;
    Some(full[full.len() - 1].request_id.clone())
}

fn lock(book: &Mutex<Book>) -> std::sync::MutexGuard<'_, Book> {
    book.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Caller {
    async fn ask_for_ever(self, kind: &'static str, index: usize, mut rng: StdRng) {
        for number in 0_u64.. {
            let id = format!("{kind}-{index}-{number}-{:x}", rng.random::<u32>());
            let impatient = rng.random_bool(0.1).then(|| rng.random_range(1..300));
            match impatient {
                // One who leaves early; the time is the fault, and nothing is concluded from it.
                Some(patience) => {
                    let _ = tokio::time::timeout(Duration::from_millis(patience), self.ask(kind, &id)).await;
                }
                None => {
                    self.ask(kind, &id).await;
                }
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(5..80))).await;
        }
    }

    /// Asks for far more than its team's limit.
    async fn flood_for_ever(self, index: usize) {
        for number in 0_u64.. {
            self.ask("flood", &format!("flood-{index}-{number}")).await;
            tokio::time::sleep(FLOOD_PAUSE).await;
        }
    }

    /// Sends the same request again and again, which crashes each engine that begins to run it.
    async fn crash_for_ever(self, index: usize, mut rng: StdRng) {
        for number in 0_u64.. {
            tokio::time::sleep(Duration::from_millis(rng.random_range(CRASH_PAUSE))).await;
            self.ask("crash", &format!("crash-{index}-{number}-{:x}", rng.random::<u32>())).await;
        }
    }

    /// Asks, and checks what comes back. Says whether it was a whole answer.
    async fn ask(&self, kind: &str, id: &str) -> bool {
        self.counts.asked.fetch_add(1, Ordering::Relaxed);
        let crashes = kind == "crash";
        let path = match kind {
            "crash" => "/stream/".to_owned(),
            "flood" => "/safe/".to_owned(),
            kind => format!("/{kind}/"),
        };
        let team = if kind == "flood" { FLOODING_TEAM } else { UNLIMITED_TEAM };
        let mut request = site_request(&self.client, &self.address, &path, id, DEADLINE_MS);
        request = request.header("authorization", format!("Token {}", team.key)).header("tenant", "forged");
        if crashes {
            request = request.body(CRASHING_BODY);
        }
        // A connection that breaks promises nothing.
        let Ok(response) = request.send().await else { return false };
        match response.status().as_u16() {
            200 => self.check(kind, id, response).await,
            408 | 421 | 429 | 503 => {
                self.counts.refused.fetch_add(1, Ordering::Relaxed);
                if ["once", "stream", "crash"].contains(&kind) {
                    lock(&self.book).refused.push(id.to_owned());
                }
                false
            }
            500 | 502 | 504 => false,
            // A version that has just been published.
            404 if kind.starts_with('v') => false,
            other => {
                self.breaks(id, format!("a proper request was answered {other}"));
                false
            }
        }
    }

    async fn check(&self, kind: &str, id: &str, mut response: Response) -> bool {
        if !is_signed(response.headers()) {
            self.breaks(id, "an answer without its endpoint's signature".to_owned());
        }
        let mut text = Vec::new();
        let whole = loop {
            match response.chunk().await {
                Ok(Some(piece)) => text.extend_from_slice(&piece),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        let text = String::from_utf8_lossy(&text).into_owned();
        let expected: String = if ["stream", "resume", "crash"].contains(&kind) {
            (1..=EVENTS).map(|number| event_text(id, number)).collect()
        } else {
            format!("answer to {id}")
        };
        if whole && text != expected {
            self.breaks(id, format!("an answer that looks whole is not its own: {text:?}"));
        } else if !expected.starts_with(&text) {
            self.breaks(id, format!("pieces are missing, doubled or another's: {text:?}"));
        }
        if whole {
            self.counts.answered.fetch_add(1, Ordering::Relaxed);
        }
        whole
    }

    fn breaks(&self, id: &str, promise: String) {
        lock(&self.book).broken.push(Broken { promise, request: Some(id.to_owned()) });
    }
}
