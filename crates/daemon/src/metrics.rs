//! Metrics in the Prometheus format; docs/OPERATORS.md lists them with the alarms to set.

use std::time::{Duration, Instant};

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use teaselshunt_completeness::{Completeness, Framing};
use teaselshunt_core::InstanceView;

/// Upper bounds of the buckets of the time to the first token, in seconds. The target of 1.1 s is one of
/// them.
const FIRST_TOKEN_BUCKETS: [f64; 10] = [0.05, 0.1, 0.2, 0.4, 0.7, 1.1, 2.0, 4.0, 8.0, 16.0];
/// Upper bounds of the buckets of the gap between tokens, in seconds. The target of 68 ms is one of them.
const TOKEN_GAP_BUCKETS: [f64; 9] = [0.005, 0.01, 0.02, 0.04, 0.068, 0.1, 0.2, 0.5, 2.0];

/// Metrics of an instance.
///
/// Counters of decisions are copied from the core's view when the metrics are read. Only values that are
/// known to the traffic threads alone are recorded as they occur.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    first_token: HistogramVec,
    token_gap: HistogramVec,
    tokens: IntCounterVec,
    arrived: IntCounter,
    abandoned: IntCounter,
    replayed: IntCounter,
    retried: IntCounter,
    resumed: IntCounter,
    orphans: IntCounter,
    refused: IntCounterVec,
    response_ends: IntCounterVec,
    overdue: IntCounter,
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
    used_slots: IntGaugeVec,
}

impl Metrics {
    /// # Errors
    /// Two metrics share a name.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("teaselshunt".to_owned()), None)?;
        let r = &registry;
        Ok(Self {
            first_token: histogram(
                r,
                "first_token_seconds",
                "From arrival to the first token.",
                &FIRST_TOKEN_BUCKETS,
            )?,
            token_gap: histogram(
                r,
                "token_gap_seconds",
                "Between batches of tokens of one answer.",
                &TOKEN_GAP_BUCKETS,
            )?,
            tokens: counters(r, "tokens_total", "Tokens passed to callers.", &["model"])?,
            arrived: counter(r, "requests_total", "Requests taken from callers.")?,
            abandoned: counter(r, "requests_abandoned_total", "Callers gone before their answer was whole.")?,
            replayed: counter(r, "answers_replayed_total", "Answers repeated for an idempotency key.")?,
            retried: counter(r, "retries_total", "Tries after the first.")?,
            resumed: counter(r, "streams_resumed_total", "Streams taken up on a new connection.")?,
            orphans: counter(r, "orphans_cancelled_total", "Work of dead instances cancelled at engines.")?,
            refused: counters(r, "requests_refused_total", "Refusals by error code.", &["code"])?,
            response_ends: counters(
                r,
                "response_ends_total",
                "Responses of services, by framing and by how they ended.",
                &["framing", "end"],
            )?,
            overdue: counter(
                r,
                "requests_overdue_total",
                "Requests that were in progress some time after their deadline.",
            )?,
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
            used_slots: gauges(r, "slots_used", "Slots taken by this instance.", &["pool", "site", "role"])?,
            registry,
        })
    }

    /// Creates the recorder for the latency of a response.
    pub(crate) fn latency_recorder(&self, model: &str, arrived: Instant) -> LatencyRecorder {
        LatencyRecorder {
            first_token: self.first_token.with_label_values(&[model]),
            token_gap: self.token_gap.with_label_values(&[model]),
            tokens: self.tokens.with_label_values(&[model]),
            arrived,
            last_batch: None,
        }
    }

    /// Counts a service's response that has ended.
    pub(crate) fn count_response_end(&self, framing: Framing, completeness: Completeness) {
        self.response_ends.with_label_values(&[framing.text(), completeness.text()]).inc();
    }

    /// Counter of requests that outlive their deadline.
    pub(crate) fn overdue(&self) -> IntCounter {
        self.overdue.clone()
    }

    /// Renders the metrics in the text format, with the counters of a view.
    pub(crate) fn render(&self, view: &InstanceView) -> Result<Vec<u8>, prometheus::Error> {
        self.update(view);
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    fn update(&self, view: &InstanceView) {
        let counts = &view.counters;
        raise_to(&self.arrived, counts.arrived);
        raise_to(&self.abandoned, counts.abandoned);
        raise_to(&self.replayed, counts.replayed);
        raise_to(&self.retried, counts.retried);
        raise_to(&self.resumed, counts.resumed);
        raise_to(&self.orphans, counts.orphans);
        for (code, &count) in &counts.refused {
            raise_to(&self.refused.with_label_values(&[code]), count);
        }
        for ((class, site), count) in &counts.classes {
            let labels = [class.as_str(), site.as_str()];
            raise_to(&self.answered.with_label_values(&labels), count.answered);
            raise_to(&self.good.with_label_values(&labels), count.good);
            raise_to(&self.prefilled.with_label_values(&labels), count.prefilled_tokens);
            raise_to(&self.wasted.with_label_values(&labels), count.wasted_tokens);
        }
        self.version.set(view.version as i64);
        self.revision.set(view.revision as i64);
        self.requests.set(view.requests as i64);
        self.keys.set(view.keys as i64);
        self.cancels.set(view.cancels as i64);
        self.update_pools(view);
        self.update_teams(view);
    }

    /// Sets the gauges of teams, by name. Operators configure the teams, so the number of labels is bounded.
    fn update_teams(&self, view: &InstanceView) {
        self.admitted.reset();
        self.level.reset();
        for team in &view.teams {
            self.admitted.with_label_values(&[&team.name]).set(team.admitted);
            self.level.with_label_values(&[&team.name]).set(team.level);
        }
    }

    /// Sets the gauges of pools, members and slots.
    fn update_pools(&self, view: &InstanceView) {
        for (pool, &count) in &view.waiting {
            self.waiting.with_label_values(&[pool]).set(count as i64);
        }
        self.members.reset();
        for member in &view.members {
            self.members.with_label_values(&[member.health.text()]).inc();
        }
        self.slots.reset();
        self.used_slots.reset();
        for endpoint in &view.endpoints {
            let role = format!("{:?}", endpoint.role).to_lowercase();
            let labels = [endpoint.pool.as_str(), endpoint.site.as_str(), role.as_str()];
            let accepts_work = !endpoint.leaving && !endpoint.paused;
            self.slots.with_label_values(&labels).add(if accepts_work {
                i64::from(endpoint.slots)
            } else {
                0
            });
            self.used_slots.with_label_values(&labels).add(i64::from(endpoint.own));
        }
    }
}

/// Raises a counter to the core's total. The core's counters only rise, so the difference is never negative.
fn raise_to(counter: &IntCounter, total: u64) {
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

/// Records the latency of one response.
#[derive(Debug)]
pub(crate) struct LatencyRecorder {
    first_token: prometheus::Histogram,
    token_gap: prometheus::Histogram,
    tokens: IntCounter,
    arrived: Instant,
    last_batch: Option<Instant>,
}

impl LatencyRecorder {
    /// Records that a batch of tokens is passed to the caller.
    pub(crate) fn record_batch(&mut self, count: usize) {
        let now = Instant::now();
        match self.last_batch {
            None => self.first_token.observe(seconds(now - self.arrived)),
            Some(last) => self.token_gap.observe(seconds(now - last)),
        }
        self.last_batch = Some(now);
        self.tokens.inc_by(count as u64);
    }
}

fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}
