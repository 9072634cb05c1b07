//! Counters, gauges and latency histograms in the Prometheus format; docs/OPERATIONS.md lists them.

use std::cell::RefCell;
use std::collections::HashSet;
use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use crate::response_reader::ResponseEnd;

/// Upper bounds of the buckets, in seconds: from a plain service's usual response time to the longest
/// deadline.
const BUCKETS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.9, 1.5, 3.0, 7.0, 14.0];

/// Metrics of an instance.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) time_to_head: HistogramVec,
    pub(crate) time_to_end: HistogramVec,
    pub(crate) outcomes: IntCounterVec,
    pub(crate) steps: IntCounterVec,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) store_age: IntGauge,
    pub(crate) retries: RetryMetrics,
    pub(crate) active_version: IntGauge,
    pub(crate) endpoints: IntGauge,
    pub(crate) progress: ProgressMetrics,
    pub(crate) buffered_bytes: IntGauge,
    pub(crate) limited_endpoints: IntGauge,
    pub(crate) limit_refusals: IntCounterVec,
    pub(crate) cooling_endpoints: IntGauge,
    pub(crate) cooldown_refusals: IntCounterVec,
    pub(crate) statements: IntCounterVec,
    pub(crate) admission_refusals: IntCounterVec,
    pub(crate) learned_limits: IntGauge,
    pub(crate) return_units: IntCounterVec,
    pub(crate) failing_engines: IntGauge,
    pub(crate) slow_engines: IntGauge,
    pub(crate) wasted_prefill: IntCounterVec,
    pub(crate) links: LinkMetrics,
    pub(crate) streams: StreamMetrics,
    pub(crate) quarantine: QuarantineMetrics,
    pub(crate) shedding: SheddingMetrics,
    response_ends: IntCounterVec,
    team_requests: IntCounterVec,
    /// Teams that have a label of their own.
    labelled_teams: RefCell<HashSet<String>>,
    waiting_requests: IntGaugeVec,
    /// Services and priorities that have a label of their own.
    labelled_queues: RefCell<HashSet<(String, String)>>,
}

/// Gauges of the ways to endpoints.
#[derive(Debug)]
pub(crate) struct LinkMetrics {
    pub(crate) doubtful: IntGauge,
    pub(crate) lost: IntGauge,
    pub(crate) unreachable: IntGauge,
    pub(crate) suspected: IntGauge,
    pub(crate) tunnels: IntGauge,
    pub(crate) checks: IntGauge,
    /// Time since an endpoint last sent anything directly, in milliseconds.
    pub(crate) unheard: IntGauge,
    pub(crate) connections: IntCounterVec,
}

impl LinkMetrics {
    fn new(
        gauge: &impl Fn(&str, &str) -> Result<IntGauge, prometheus::Error>,
        counter: &impl Fn(&str, &str, &[&str]) -> Result<IntCounterVec, prometheus::Error>,
    ) -> Result<Self, prometheus::Error> {
        Ok(Self {
            doubtful: gauge(
                "doubtful_links",
                "Endpoints to which connections failed or were silent since they last sent a byte.",
            )?,
            lost: gauge("lost_links", "Endpoints that only peers reach.")?,
            unreachable: gauge(
                "unreachable_endpoints",
                "Endpoints that neither this instance nor a peer reaches.",
            )?,
            suspected: gauge(
                "suspected_endpoints",
                "Endpoints avoided because peers report that they cannot use them.",
            )?,
            tunnels: gauge("open_tunnels", "Tunnels to endpoints that this instance keeps for peers.")?,
            checks: gauge("link_checks", "Checks of links to endpoints in progress.")?,
            unheard: gauge(
                "endpoints_unheard_milliseconds",
                "Time since an endpoint last sent anything directly; 0 before the first time.",
            )?,
            connections: counter(
                "endpoint_connections_total",
                "Attempts to connect to endpoints directly, by cause.",
                &["cause"],
            )?,
        })
    }
}

/// Metrics of the retry budget.
#[derive(Debug)]
pub(crate) struct RetryMetrics {
    pub(crate) second_attempts: IntCounterVec,
    pub(crate) reserve: IntGauge,
}

impl RetryMetrics {
    fn new(
        gauge: &impl Fn(&str, &str) -> Result<IntGauge, prometheus::Error>,
        counter: &impl Fn(&str, &str, &[&str]) -> Result<IntCounterVec, prometheus::Error>,
    ) -> Result<Self, prometheus::Error> {
        Ok(Self {
            second_attempts: counter(
                "second_attempts_total",
                "Requests to be sent to an endpoint once more, by whether the retry budget allowed it.",
                &["service", "outcome"],
            )?,
            reserve: gauge("retry_reserve", "Second attempts that a service may get here without requests.")?,
        })
    }
}

/// Metrics of requests that have not ended.
#[derive(Debug)]
pub(crate) struct ProgressMetrics {
    pub(crate) running: IntGauge,
    pub(crate) overdue: IntCounterVec,
}

impl ProgressMetrics {
    fn new(
        gauge: &impl Fn(&str, &str) -> Result<IntGauge, prometheus::Error>,
        counter: &impl Fn(&str, &str, &[&str]) -> Result<IntCounterVec, prometheus::Error>,
    ) -> Result<Self, prometheus::Error> {
        Ok(Self {
            running: gauge("requests_in_progress", "Requests in progress.")?,
            overdue: counter(
                "overdue_requests_total",
                "Requests that were still in progress some time after their deadline.",
                &["kind"],
            )?,
        })
    }
}

/// Metrics of streams that are interrupted.
#[derive(Debug)]
pub(crate) struct StreamMetrics {
    pub(crate) resumptions: IntCounterVec,
}

impl StreamMetrics {
    fn new(
        counter: &impl Fn(&str, &str, &[&str]) -> Result<IntCounterVec, prometheus::Error>,
    ) -> Result<Self, prometheus::Error> {
        Ok(Self {
            resumptions: counter(
                "resumptions_total",
                "Streams that broke or whose engine fell silent, by what became of them.",
                &["cause", "outcome"],
            )?,
        })
    }
}

/// Metrics of requests under which endpoints crash.
#[derive(Debug)]
pub(crate) struct QuarantineMetrics {
    pub(crate) suspected_parts: IntGauge,
    pub(crate) quarantined_parts: IntGauge,
    pub(crate) refusals: IntCounterVec,
}

impl QuarantineMetrics {
    fn new(
        gauge: &impl Fn(&str, &str) -> Result<IntGauge, prometheus::Error>,
        counter: &impl Fn(&str, &str, &[&str]) -> Result<IntCounterVec, prometheus::Error>,
    ) -> Result<Self, prometheus::Error> {
        Ok(Self {
            suspected_parts: gauge(
                "suspected_prompt_parts",
                "Parts of prompts of requests that endpoints had not begun to answer when they crashed.",
            )?,
            quarantined_parts: gauge(
                "quarantined_prompt_parts",
                "Parts of prompts that requests are refused for.",
            )?,
            refusals: counter(
                "quarantine_refusals_total",
                "Requests refused because endpoints crash under them, by what is in quarantine.",
                &["cause"],
            )?,
        })
    }
}

/// Metrics of an overloaded processor.
#[derive(Debug)]
pub(crate) struct SheddingMetrics {
    pub(crate) lateness: IntGauge,
    pub(crate) connections: IntCounter,
}

impl SheddingMetrics {
    fn new(
        gauge: &impl Fn(&str, &str) -> Result<IntGauge, prometheus::Error>,
        registry: &Registry,
    ) -> Result<Self, prometheus::Error> {
        let connections = IntCounter::new(
            "shed_connections_total",
            "New connections of callers that were closed unread because the processor was overloaded.",
        )?;
        registry.register(Box::new(connections.clone()))?;
        let lateness = gauge("lateness_milliseconds", "How late a periodic task last ran.")?;
        Ok(Self { lateness, connections })
    }
}

/// Most teams that have a label of their own; all others share [`OTHERS`]. Each label costs several time
/// series for as long as the process runs.
const TEAM_LABELS: usize = 64;
/// The same for the services and priorities of waiting requests.
const QUEUE_LABELS: usize = 64;
/// Label of the teams, services and priorities without a label of their own.
const OTHERS: &str = "(others)";

fn new_waiting_requests(registry: &Registry) -> Result<IntGaugeVec, prometheus::Error> {
    let options = Opts::new("waiting_requests", "Generations that wait for an engine.");
    let waiting_requests = IntGaugeVec::new(options, &["service", "priority"])?;
    registry.register(Box::new(waiting_requests.clone()))?;
    Ok(waiting_requests)
}

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
            time_to_head: histogram("first_seconds", "From arrival to the head of the answer.")?,
            time_to_end: histogram("whole_seconds", "From arrival to the end of the answer.")?,
            outcomes: counter("requests_total", "Requests by how they ended.", &["kind", "outcome"])?,
            steps: counter("steps_total", "Steps at endpoints by how they ended.", &["step", "outcome"])?,
            store_calls: counter(
                "store_calls_total",
                "Calls to the platform's store.",
                &["call", "outcome"],
            )?,
            store_age: gauge(
                "store_unconfirmed_milliseconds",
                "Time since the store confirmed what this instance knows.",
            )?,
            retries: RetryMetrics::new(&gauge, &counter)?,
            active_version: gauge("configuration_version", "Configuration version in force.")?,
            endpoints: gauge("endpoints", "Endpoints listed.")?,
            progress: ProgressMetrics::new(&gauge, &counter)?,
            buffered_bytes: gauge(
                "held_bytes",
                "Bodies held for callers and endpoints that have not read them.",
            )?,
            limited_endpoints: gauge("limited_endpoints", "Endpoints that name a rate they take.")?,
            limit_refusals: counter(
                "limit_refusals_total",
                "Requests refused because all endpoints name rates.",
                &["service"],
            )?,
            cooling_endpoints: gauge(
                "cooling_endpoints",
                "Endpoints that asked for no requests for a time.",
            )?,
            cooldown_refusals: counter(
                "cooldown_refusals_total",
                "Requests refused because all endpoints asked for no requests for a time.",
                &["service"],
            )?,
            statements: counter(
                "statements_total",
                "Changes that endpoints stated about themselves, by who was told.",
                &["statement", "source"],
            )?,
            admission_refusals: counter(
                "admission_refusals_total",
                "Requests refused because their class has had its part of a contended service.",
                &["service", "priority"],
            )?,
            learned_limits: gauge("learned_limits", "Plain endpoints with a learned limit.")?,
            return_units: counter(
                "return_units_total",
                "Calls, or tokens of generations, promised to callers who return, by what became of them.",
                &["service", "state"],
            )?,
            failing_engines: gauge("failing_engines", "Engines avoided because they fail their work.")?,
            slow_engines: gauge("engine_pace", "Engines that take much longer for their work than others.")?,
            wasted_prefill: counter(
                "wasted_prefill_tokens_total",
                "Prompt tokens prefilled whose result no response used, by cause.",
                &["cause"],
            )?,
            links: LinkMetrics::new(&gauge, &counter)?,
            streams: StreamMetrics::new(&counter)?,
            quarantine: QuarantineMetrics::new(&gauge, &counter)?,
            shedding: SheddingMetrics::new(&gauge, &registry)?,
            response_ends: counter(
                "response_ends_total",
                "Responses of endpoints and of the platform, by framing and by how they ended.",
                &["framing", "end"],
            )?,
            team_requests: counter(
                "team_requests_total",
                "Requests of teams by how they ended.",
                &["team", "outcome"],
            )?,
            labelled_teams: RefCell::default(),
            waiting_requests: new_waiting_requests(&registry)?,
            labelled_queues: RefCell::default(),
            registry,
        })
    }

    /// Renders the metrics in the text format.
    ///
    /// # Errors
    /// A metric cannot be encoded.
    pub(crate) fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    pub(crate) fn count_step(&self, step: &str, outcome: &str) {
        self.steps.with_label_values(&[step, outcome]).inc();
    }

    pub(crate) fn count_response_end(&self, end: ResponseEnd) {
        self.response_ends.with_label_values(&[end.framing.text(), end.completeness.text()]).inc();
    }

    /// Counts a finished request of a team; `team` is empty for a caller without a team.
    pub(crate) fn count_team_request(&self, team: &str, outcome: &str) {
        if team.is_empty() {
            return;
        }
        let mut labelled_teams = self.labelled_teams.borrow_mut();
        let has_label = labelled_teams.contains(team)
            || (labelled_teams.len() < TEAM_LABELS && labelled_teams.insert(team.to_owned()));
        let label = if has_label { team } else { OTHERS };
        self.team_requests.with_label_values(&[label, outcome]).inc();
    }

    /// The number of generations of a service and priority that wait for an engine.
    pub(crate) fn waiting_requests(&self, service: &str, priority: &str) -> IntGauge {
        let labels = (service.to_owned(), priority.to_owned());
        let mut labelled = self.labelled_queues.borrow_mut();
        let has_label =
            labelled.contains(&labels) || (labelled.len() < QUEUE_LABELS && labelled.insert(labels));
        let labels = if has_label { [service, priority] } else { [OTHERS; 2] };
        self.waiting_requests.with_label_values(&labels)
    }

    pub(crate) fn count_request(&self, kind: &str, outcome: &str, took: Duration) {
        self.outcomes.with_label_values(&[kind, outcome]).inc();
        self.time_to_end.with_label_values(&[kind]).observe(took.as_secs_f64());
    }
}
