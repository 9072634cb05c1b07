//! Metrics in the Prometheus format; docs/OPERATORS.md lists them with the alarms to set.

use std::time::{Duration, Instant};

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use teaselshunt_core::InstanceView;

/// Upper bounds of the buckets, in seconds; they hold the targets of 68 ms and 1.1 s.
const FIRST_BUCKETS: [f64; 10] = [0.05, 0.1, 0.2, 0.4, 0.7, 1.1, 2.0, 4.0, 8.0, 16.0];
const GAP_BUCKETS: [f64; 9] = [0.005, 0.01, 0.02, 0.04, 0.068, 0.1, 0.2, 0.5, 2.0];

/// Everything that an instance measures.
///
/// Counts of decisions come from the core's snapshot, taken when the metrics are read; only what traffic
/// threads alone see is recorded as it happens.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    first: HistogramVec,
    gap: HistogramVec,
    tokens: IntCounterVec,
    arrived: IntCounter,
    abandoned: IntCounter,
    replayed: IntCounter,
    retried: IntCounter,
    resumed: IntCounter,
    orphans: IntCounter,
    refused: IntCounterVec,
    admitted: IntGaugeVec,
    level: IntGaugeVec,
    answered: IntCounterVec,
    good: IntCounterVec,
    prefilled: IntCounterVec,
    wasted: IntCounterVec,
    version: IntGauge,
    revision: IntGauge,
    requests: IntGauge,
    keys: IntGauge,
    cancels: IntGauge,
    waiting: IntGaugeVec,
    members: IntGaugeVec,
    slots: IntGaugeVec,
    used: IntGaugeVec,
}

impl Metrics {
    /// # Errors
    /// Two metrics share a name.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("teaselshunt".to_owned()), None)?;
        let r = &registry;
        Ok(Self {
            first: histogram(r, "first_token_seconds", "From arrival to the first token.", &FIRST_BUCKETS)?,
            gap: histogram(r, "token_gap_seconds", "Between batches of tokens of one answer.", &GAP_BUCKETS)?,
            tokens: counters(r, "tokens_total", "Tokens passed to callers.", &["model"])?,
            arrived: counter(r, "requests_total", "Requests taken from callers.")?,
            abandoned: counter(r, "requests_abandoned_total", "Callers gone before their answer was whole.")?,
            replayed: counter(r, "answers_replayed_total", "Answers repeated for an idempotency key.")?,
            retried: counter(r, "retries_total", "Tries after the first.")?,
            resumed: counter(r, "streams_resumed_total", "Streams taken up on a new connection.")?,
            orphans: counter(r, "orphans_cancelled_total", "Work of dead instances cancelled at engines.")?,
            refused: counters(r, "requests_refused_total", "Refusals by error code.", &["code"])?,
            admitted: gauges(
                r,
                "team_admitted_units",
                "Units admitted here for a team with a limit.",
                &["team"],
            )?,
            level: gauges(r, "team_level_units", "Units that a team may be admitted now.", &["team"])?,
            answered: counters(r, "answers_total", "Whole answers.", &["class", "site"])?,
            good: counters(
                r,
                "answers_good_total",
                "Whole answers within both targets.",
                &["class", "site"],
            )?,
            prefilled: counters(r, "prefill_tokens_total", "Prompt tokens prefilled.", &["class", "site"])?,
            wasted: counters(
                r,
                "prefill_tokens_wasted_total",
                "Prefilled and not used.",
                &["class", "site"],
            )?,
            version: gauge(r, "configuration_version", "Configuration version in force.")?,
            revision: gauge(r, "instances_revision", "Revision of the instance list in use.")?,
            requests: gauge(r, "requests_in_progress", "Requests in progress.")?,
            keys: gauge(r, "idempotency_keys", "Idempotency keys on record here.")?,
            cancels: gauge(r, "cancels_unconfirmed", "Cancels that engines have not confirmed.")?,
            waiting: gauges(r, "requests_waiting", "Requests waiting for a slot.", &["pool"])?,
            members: gauges(r, "members", "Other instances by health.", &["health"])?,
            slots: gauges(r, "slots", "Slots of endpoints that take new work.", &["pool", "site", "role"])?,
            used: gauges(r, "slots_used", "Slots taken by this instance.", &["pool", "site", "role"])?,
            registry,
        })
    }

    /// Starts to watch the latency of an answer.
    pub(crate) fn watch(&self, model: &str, arrived: Instant) -> Watch {
        Watch {
            first: self.first.with_label_values(&[model]),
            gap: self.gap.with_label_values(&[model]),
            tokens: self.tokens.with_label_values(&[model]),
            arrived,
            last: None,
        }
    }

    /// The metrics as text, with the counts of a snapshot.
    pub(crate) fn render(&self, snapshot: &InstanceView) -> Result<Vec<u8>, prometheus::Error> {
        self.take(snapshot);
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    fn take(&self, snapshot: &InstanceView) {
        let counts = &snapshot.counters;
        set(&self.arrived, counts.arrived);
        set(&self.abandoned, counts.abandoned);
        set(&self.replayed, counts.replayed);
        set(&self.retried, counts.retried);
        set(&self.resumed, counts.resumed);
        set(&self.orphans, counts.orphans);
        for (code, &count) in &counts.refused {
            set(&self.refused.with_label_values(&[code]), count);
        }
        for ((class, site), count) in &counts.classes {
            let labels = [class.as_str(), site.as_str()];
            set(&self.answered.with_label_values(&labels), count.answered);
            set(&self.good.with_label_values(&labels), count.good);
            set(&self.prefilled.with_label_values(&labels), count.prefilled_tokens);
            set(&self.wasted.with_label_values(&labels), count.wasted_tokens);
        }
        self.version.set(snapshot.version as i64);
        self.revision.set(snapshot.revision as i64);
        self.requests.set(snapshot.requests as i64);
        self.keys.set(snapshot.keys as i64);
        self.cancels.set(snapshot.cancels as i64);
        self.take_groups(snapshot);
        self.take_teams(snapshot);
    }

    /// Teams by their name; operators configure them, so that there are no more than that.
    fn take_teams(&self, snapshot: &InstanceView) {
        self.admitted.reset();
        self.level.reset();
        for team in &snapshot.teams {
            self.admitted.with_label_values(&[&team.name]).set(team.admitted);
            self.level.with_label_values(&[&team.name]).set(team.level);
        }
    }

    fn take_groups(&self, snapshot: &InstanceView) {
        for (pool, &count) in &snapshot.waiting {
            self.waiting.with_label_values(&[pool]).set(count as i64);
        }
        self.members.reset();
        for member in &snapshot.members {
            self.members.with_label_values(&[member.health.text()]).inc();
        }
        self.slots.reset();
        self.used.reset();
        for endpoint in &snapshot.endpoints {
            let role = format!("{:?}", endpoint.role).to_lowercase();
            let labels = [endpoint.pool.as_str(), endpoint.site.as_str(), role.as_str()];
            let open = !endpoint.leaving && !endpoint.paused;
            self.slots.with_label_values(&labels).add(if open { i64::from(endpoint.slots) } else { 0 });
            self.used.with_label_values(&labels).add(i64::from(endpoint.own));
        }
    }
}

/// The core's counts only grow, so the difference is never negative.
fn set(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let metric = IntCounter::new(name, help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let metric = IntGauge::new(name, help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauges(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec, prometheus::Error> {
    let metric = IntGaugeVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let metric = HistogramVec::new(options, &["model"])?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

/// Latency of one answer.
#[derive(Debug)]
pub(crate) struct Watch {
    first: prometheus::Histogram,
    gap: prometheus::Histogram,
    tokens: IntCounter,
    arrived: Instant,
    last: Option<Instant>,
}

impl Watch {
    /// A batch of tokens goes to the caller.
    pub(crate) fn tokens(&mut self, count: usize) {
        let now = Instant::now();
        match self.last {
            None => self.first.observe(seconds(now - self.arrived)),
            Some(last) => self.gap.observe(seconds(now - last)),
        }
        self.last = Some(now);
        self.tokens.inc_by(count as u64);
    }
}

fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}
