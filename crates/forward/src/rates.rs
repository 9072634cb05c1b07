//! Rates that endpoints name: what answers say of them, what others are told, and refusals for their sake.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use teaselshunt_core::{ErrorKind, Refusal};
use teaselshunt_routing::{EndpointKey, EngineTag, RateChange, RateObservation, RateReport, Stage};

use crate::node::{Job, Node};
use crate::protocol::AdvertisedRate;
use crate::trace::Trace;

/// Shortest time between two reports of rates that cannot be read.
const WARNING: Duration = Duration::from_secs(1);
/// Part of a route's aim for which a request may wait until an endpoint takes it; the rest is for its answer.
const WAIT_PART: f64 = 0.4;
/// Mean time between two looks whether one does.
const LOOK: Duration = Duration::from_millis(10);

/// What an instance tells others of one endpoint, on its way.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct RateEntry {
    endpoint: u32,
    word: Option<Word>,
    total: u32,
    recent: u32,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Word {
    /// In requests a second.
    rate: Option<f32>,
    /// In milliseconds.
    age: u32,
}

impl From<RateReport> for RateEntry {
    fn from(news: RateReport) -> Self {
        let RateReport { endpoint: EngineTag(endpoint), observation, total, recent } = news;
        let word = observation.map(|RateObservation { rate, age }| Word {
            rate: rate.map(|rate| rate as f32),
            age: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        });
        Self { endpoint, word, total, recent }
    }
}

impl From<RateEntry> for RateReport {
    fn from(entry: RateEntry) -> Self {
        let RateEntry { endpoint, word, total, recent } = entry;
        let observation = word.map(|Word { rate, age }| RateObservation {
            rate: rate.map(f64::from).filter(|rate| *rate >= 0.0),
            age: Duration::from_millis(u64::from(age)),
        });
        Self { endpoint: EngineTag(endpoint), observation, total, recent }
    }
}

/// What others are to be told now.
pub(crate) fn news(node: &Node) -> Vec<RateEntry> {
    let news = node.state.borrow_mut().endpoints.rates().reports(node.now());
    news.into_iter().map(RateEntry::from).collect()
}

/// An instance, in this life of it, told this.
pub(crate) fn told(node: &Node, from: SocketAddr, life: u64, entries: Vec<RateEntry>) {
    let now = node.now();
    for news in entries.into_iter().map(RateReport::from) {
        let change = {
            let beliefs = &mut *node.state.borrow_mut();
            let rates = beliefs.endpoints.rates();
            let change = news.observation.and_then(|word| rates.merge_observation(now, news.endpoint, word));
            rates.merge_sends(now, from, life, news);
            change
        };
        log(node, news.endpoint, change, "peer", news.observation.map_or(Duration::ZERO, |word| word.age));
    }
}

/// An endpoint's answer names a rate, or none.
pub(crate) fn answered(node: &Node, key: EndpointKey, named: AdvertisedRate) {
    let rate = match named {
        AdvertisedRate::Limit(rate) => Some(rate),
        AdvertisedRate::None => None,
        AdvertisedRate::Invalid => {
            warn_invalid(node, key);
            None
        }
    };
    let now = node.now();
    let (tag, change) = {
        let endpoints = &mut node.state.borrow_mut().endpoints;
        let Some(tag) = endpoints.tag(key) else { return };
        (tag, endpoints.rates().observe_response(now, tag, rate))
    };
    log(node, tag, change, "answer", Duration::ZERO);
}

fn log(node: &Node, endpoint: EngineTag, change: Option<RateChange>, source: &str, age: Duration) {
    let Some(change) = change else { return };
    let beliefs = &mut *node.state.borrow_mut();
    let known = beliefs.endpoints.rates().len();
    node.metrics.limited.set(known as i64);
    let id = beliefs.endpoints.by_tag(endpoint).map_or("not listed", |endpoint| &*endpoint.id);
    let (state, rate) = match change {
        RateChange::Limited(rate) => ("limited", Some(rate)),
        RateChange::Ended => ("not_limited", None),
    };
    info!(node.log, "endpoint"; "endpoint" => id, "state" => state, "rate" => rate, "source" => source,
        "age_ms" => age.as_millis() as u64, "limited" => known);
}

/// Reports a rate that cannot be read, not for each answer.
fn warn_invalid(node: &Node, key: EndpointKey) {
    let now = node.now();
    let silent = |last: Instant| now.duration_since(last) < WARNING;
    if !node.warned.get().is_some_and(silent) {
        node.warned.set(Some(now));
        warn!(node.log, "an endpoint names a rate that is no number"; "endpoint" => &*node.name(key));
    }
}

/// Chooses an endpoint of a plain service. Where all of them name rates and none takes the request now, it waits a little, as
/// long as that helps others and its answer can still be on time.
pub(crate) async fn choose(node: &Node, job: &Job, tried: &[EndpointKey]) -> Option<EndpointKey> {
    let until = job.arrived + job.route.goal.mul_f64(WAIT_PART);
    loop {
        let chosen = node.choose(&job.service.name, tried);
        let helps = || pressure(node, job, None).is_some_and(|(_, pressed)| !pressed);
        if chosen.is_some() || node.now() >= until || !helps() {
            return chosen;
        }
        let part = node.state.borrow_mut().rng.random_range(0.5..1.5);
        tokio::time::sleep(LOOK.mul_f64(part)).await;
    }
}

/// What the endpoints of a stage take, in requests a second, if all of them name rates; and whether somebody was refused for
/// that a moment ago, so that waiting does not help.
fn pressure(node: &Node, job: &Job, stage: Option<Stage>) -> Option<(f64, bool)> {
    let beliefs = node.state.borrow();
    let (now, service) = (node.now(), &job.service.name);
    let rate = beliefs.endpoints.total_rate(now, service, stage)?;
    Some((rate, beliefs.refused.is_overloaded(now, service)))
}

/// Whether no request can be served for now because all endpoints of a stage name rates, and others wait in vain.
pub(crate) fn is_pressed(node: &Node, job: &Job, stage: Option<Stage>) -> bool {
    pressure(node, job, stage).is_some_and(|(_, pressed)| pressed)
}

/// The answer to a request that no endpoint takes now, if that is because all of them name rates.
pub(crate) fn refusal(node: &Node, job: &Job, trace: &Trace, stage: Option<Stage>) -> Option<Refusal> {
    let (rate, _) = pressure(node, job, stage)?;
    let service = &job.service.name;
    let beliefs = &mut *node.state.borrow_mut();
    let longest = beliefs.refused.record(node.now(), service, rate, node.peers.get() + 1);
    let away = longest.mul_f64(beliefs.rng.random_range(0.0..1.0));
    node.metrics.limit_refusals.with_label_values(&[service]).inc();
    trace.step("rate", service, &format!("limited_to:{rate:.1},back_within:{:.1}s", longest.as_secs_f64()));
    Some(Refusal::retryable(ErrorKind::Overloaded, away))
}
