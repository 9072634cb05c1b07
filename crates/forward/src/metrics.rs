//! Counters and latency histograms in the Prometheus format; docs/OPERATIONS.md lists them.

use std::cell::RefCell;
use std::collections::HashSet;
use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of the buckets, in seconds: from a plain service's usual answer to the longest deadline.
const BUCKETS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.9, 1.5, 3.0, 7.0, 14.0];

/// Everything that an instance counts.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) first: HistogramVec,
    pub(crate) whole: HistogramVec,
    pub(crate) outcomes: IntCounterVec,
    pub(crate) steps: IntCounterVec,
    pub(crate) store: IntCounterVec,
    pub(crate) version: IntGauge,
    pub(crate) endpoints: IntGauge,
    pub(crate) running: IntGauge,
    pub(crate) held: IntGauge,
    pub(crate) limited: IntGauge,
    pub(crate) limit_refusals: IntCounterVec,
    teams: IntCounterVec,
    /// Teams that have a label of their own.
    labelled: RefCell<HashSet<String>>,
}

/// Most teams that have a label of their own; all others share [`OTHER_TEAMS`]. Each label costs some series for as long
/// as the process runs.
const TEAM_LABELS: usize = 64;
/// Label of the teams that have none of their own.
const OTHER_TEAMS: &str = "(others)";

impl Metrics {
    /// # Errors
    /// Two metrics share a name.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("teaselshunt".to_owned()), None)?;
        let histogram = |name: &str, help: &str| {
            let metric =
                HistogramVec::new(HistogramOpts::new(name, help).buckets(BUCKETS.to_vec()), &["kind"])?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        Ok(Self {
            first: histogram("first_seconds", "From arrival to the head of the answer.")?,
            whole: histogram("whole_seconds", "From arrival to the end of the answer.")?,
            outcomes: counter("requests_total", "Requests by how they ended.", &["kind", "outcome"])?,
            steps: counter("steps_total", "Steps at endpoints by how they ended.", &["step", "outcome"])?,
            store: counter("store_calls_total", "Calls to the platform's store.", &["call", "outcome"])?,
            version: gauge("configuration_version", "Configuration version in force.")?,
            endpoints: gauge("endpoints", "Endpoints listed.")?,
            running: gauge("requests_in_progress", "Requests in progress.")?,
            held: gauge("held_bytes", "Bodies held for callers and endpoints that have not read them.")?,
            limited: gauge("limited_endpoints", "Endpoints that name a rate they take.")?,
            limit_refusals: counter(
                "limit_refusals_total",
                "Requests refused because all endpoints name rates.",
                &["service"],
            )?,
            teams: counter(
                "team_requests_total",
                "Requests of teams by how they ended.",
                &["team", "outcome"],
            )?,
            labelled: RefCell::default(),
            registry,
        })
    }

    /// The metrics as text.
    ///
    /// # Errors
    /// A metric cannot be written as text.
    pub(crate) fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    pub(crate) fn step(&self, step: &str, outcome: &str) {
        self.steps.with_label_values(&[step, outcome]).inc();
    }

    /// A request of a team ended; `team` is empty where the caller has none.
    pub(crate) fn team(&self, team: &str, outcome: &str) {
        if team.is_empty() {
            return;
        }
        let mut labelled = self.labelled.borrow_mut();
        let own =
            labelled.contains(team) || (labelled.len() < TEAM_LABELS && labelled.insert(team.to_owned()));
        let label = if own { team } else { OTHER_TEAMS };
        self.teams.with_label_values(&[label, outcome]).inc();
    }

    pub(crate) fn ended(&self, kind: &str, outcome: &str, took: Duration) {
        self.outcomes.with_label_values(&[kind, outcome]).inc();
        self.whole.with_label_values(&[kind]).observe(took.as_secs_f64());
    }
}
