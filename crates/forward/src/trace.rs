//! Trace of one request, written as one log line at its end.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::info;
use teaselshunt_core::Fingerprint;
use teaselshunt_routing::Priority;
use teaselshunt_teams::Team;

use crate::node::Node;
use crate::protocol::RequestMeta;

/// Data about a request for logs and metrics. Dropping it before its end records that the caller has
/// disconnected, or that the request had no response by its deadline.
#[derive(Debug)]
pub(crate) struct Trace {
    node: Rc<Node>,
    id: String,
    kind: &'static str,
    route: Arc<str>,
    version: u64,
    /// Name of the caller's team; empty where the caller has none.
    team: Arc<str>,
    arrived: Instant,
    steps: RefCell<String>,
    /// How long the caller waits, as stated in the request.
    deadline: Option<Duration>,
    /// When the caller's deadline or the route's time limit ends.
    until: Option<Instant>,
    /// Whether the request is a retry after a refusal.
    is_retry: bool,
    /// The request's priority among others; empty until its route is known.
    priority: String,
    /// Why results of prefills were not used.
    waste: RefCell<String>,
    expected: ExpectedSize,
    /// Events that were relayed.
    events: Cell<u32>,
    /// When the first and the last event were relayed.
    first_and_last: Cell<Option<(Instant, Instant)>>,
    /// Longest time between two events.
    longest_gap: Cell<Duration>,
    /// Fingerprint of the request; set only when needed.
    fingerprint: Cell<Option<Fingerprint>>,
    ended: bool,
}

/// Expected size of a generation, in tokens; all 0 for a plain request.
#[derive(Debug, Clone, Copy, Default)]
struct ExpectedSize {
    prompt_tokens: u64,
    max_output_tokens: u64,
    output_hint: Option<u64>,
}

impl Trace {
    pub(crate) fn new(node: &Rc<Node>, meta: &RequestMeta, arrived: Instant) -> Self {
        node.metrics.running.inc();
        Self {
            node: Rc::clone(node),
            id: meta.id.clone(),
            kind: "none",
            route: Arc::from(""),
            version: 0,
            team: Arc::from(""),
            arrived,
            steps: RefCell::default(),
            deadline: meta.deadline,
            until: None,
            is_retry: false,
            priority: String::new(),
            waste: RefCell::default(),
            expected: ExpectedSize {
                prompt_tokens: meta.prompt_tokens,
                max_output_tokens: meta.max_output_tokens,
                output_hint: meta.output_hint,
            },
            events: Cell::new(0),
            first_and_last: Cell::new(None),
            longest_gap: Cell::new(Duration::ZERO),
            fingerprint: Cell::new(None),
            ended: false,
        }
    }

    /// Records the matched route and the version of the configuration.
    /// Sets the version in force, also for a request without a route.
    pub(crate) fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    pub(crate) fn set_route(&mut self, kind: &'static str, route: &Arc<str>) {
        self.kind = kind;
        self.route = Arc::clone(route);
    }

    /// Records when the caller's deadline or the route's time limit ends.
    pub(crate) fn set_deadline(&mut self, until: Instant) {
        self.until = Some(until);
    }

    pub(crate) fn set_team(&mut self, team: Option<&Team>) {
        if let Some(team) = team {
            self.team = Arc::clone(&team.name);
        }
    }

    /// Records whether the request is a retry after a refusal.
    pub(crate) fn set_retry(&mut self, is_retry: bool) {
        self.is_retry = is_retry;
    }

    /// Records the request's priority.
    pub(crate) fn set_priority(&mut self, priority: Priority) {
        self.priority = priority.text();
    }

    /// Records why the result of a prefill is not used.
    pub(crate) fn record_waste(&self, cause: &str) {
        let mut waste = self.waste.borrow_mut();
        if !waste.is_empty() {
            waste.push(' ');
        }
        waste.push_str(cause);
    }

    /// Records the fingerprint, which identifies the request if it is sent again.
    pub(crate) fn set_fingerprint(&self, fingerprint: Fingerprint) {
        self.fingerprint.set(Some(fingerprint));
    }

    /// Records the end of a step at an endpoint.
    pub(crate) fn record_step(&self, step: &str, endpoint: &str, outcome: &str) {
        let at = self.node.now().duration_since(self.arrived).as_millis();
        let mut steps = self.steps.borrow_mut();
        let gap = if steps.is_empty() { "" } else { " " };
        // Writing to a string does not fail.
        let _ = write!(steps, "{gap}{step}@{endpoint}={outcome}+{at}ms");
    }

    /// Records that further events of a stream are relayed.
    pub(crate) fn record_events(&self, events: u32) {
        if events == 0 {
            return;
        }
        self.events.set(self.events.get() + events);
        let now = self.node.now();
        let (first, last) = self.first_and_last.get().unwrap_or((now, now));
        self.longest_gap.set(self.longest_gap.get().max(now.duration_since(last)));
        self.first_and_last.set(Some((first, now)));
    }

    /// Events that were relayed.
    pub(crate) fn events(&self) -> u32 {
        self.events.get()
    }

    /// Records that the head of the response is sent to the caller.
    pub(crate) fn record_head(&self) {
        let took = self.node.now().duration_since(self.arrived);
        self.node.metrics.time_to_head.with_label_values(&[self.kind]).observe(took.as_secs_f64());
    }

    /// Records the final outcome.
    pub(crate) fn end(mut self, outcome: &str, status: u16) {
        self.write(outcome, status);
    }

    fn write(&mut self, outcome: &str, status: u16) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let took = self.node.now().duration_since(self.arrived);
        self.node.metrics.running.dec();
        self.node.metrics.count_request(self.kind, outcome, took);
        self.node.metrics.count_team_request(&self.team, outcome);
        info!(self.node.log, "request";
            "id" => &self.id,
            "kind" => self.kind,
            "route" => &*self.route,
            "version" => self.version,
            "team" => &*self.team,
            "list_age_ms" => self.node.list_age().map(millis),
            "deadline_ms" => self.deadline.map(millis),
            "returns" => self.is_retry,
            "prompt" => self.expected.prompt_tokens,
            "output" => self.expected.max_output_tokens,
            "hint" => self.expected.output_hint,
            "events" => self.events.get(),
            "first_ms" => self.first_and_last.get().map(|(first, _)| millis(first.duration_since(self.arrived))),
            "pause_ms" => millis(self.longest_gap.get()),
            "fingerprint" => self.fingerprint.get().map(|f| f.to_string()),
            "priority" => &self.priority,
            "waste" => self.waste.borrow().as_str(),
            "steps" => self.steps.borrow().as_str(),
            "outcome" => outcome,
            "status" => status,
            "took_ms" => millis(took));
    }
}

const fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

impl Drop for Trace {
    fn drop(&mut self) {
        let is_overdue = self.until.is_some_and(|until| self.node.now() > until);
        self.write(if is_overdue { "unanswered" } else { "caller_gone" }, 0);
    }
}
