//! Trace of one request, written as one log line at its end.
//!
//! Whoever handles the request and whoever ends the handling from outside share the trace. The first to end it writes
//! the line. If nobody does before the last of them is dropped, the caller has disconnected, or the process exits.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{error, info, warn};
use teaselshunt_core::{Fingerprint, PromptPart};
use teaselshunt_routing::Priority;
use teaselshunt_teams::Team;

use crate::in_progress::Overdue;
use crate::node::Node;
use crate::phase::Phase;
use crate::protocol::RequestMeta;

/// Data about a request for logs and metrics, shared by those who handle it.
#[derive(Debug, Clone)]
pub(crate) struct Trace(Rc<Record>);

/// A trace that ends with its request.
#[derive(Debug)]
pub(crate) struct WeakTrace(Weak<Record>);

impl WeakTrace {
    /// The trace of a request that is still in progress.
    pub(crate) fn in_progress(&self) -> Option<Trace> {
        self.0.upgrade().filter(|record| !record.ended.get()).map(Trace)
    }
}

#[derive(Debug)]
struct Record {
    node: Rc<Node>,
    id: String,
    arrived: Instant,
    target: RefCell<Target>,
    steps: RefCell<String>,
    /// How long the caller waits, as stated in the request.
    deadline: Option<Duration>,
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
    /// Shared parts of the prompt; set only when needed.
    parts: RefCell<String>,
    overdue: Overdue,
    ended: Cell<bool>,
}

/// What is known of a request once its route is.
#[derive(Debug)]
struct Target {
    kind: &'static str,
    route: Arc<str>,
    version: u64,
    /// Name of the caller's team; empty where the caller has none.
    team: Arc<str>,
    /// Whether the request is a retry after a refusal.
    is_retry: bool,
    /// The request's priority among others; empty until its route is known.
    priority: String,
}

impl Default for Target {
    fn default() -> Self {
        Self {
            kind: "none",
            route: Arc::from(""),
            version: 0,
            team: Arc::from(""),
            is_retry: false,
            priority: String::new(),
        }
    }
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
        node.metrics.progress.running.inc();
        let trace = Self(Rc::new(Record {
            node: Rc::clone(node),
            id: meta.id.clone(),
            arrived,
            target: RefCell::default(),
            steps: RefCell::default(),
            deadline: meta.deadline,
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
            parts: RefCell::default(),
            overdue: Overdue::default(),
            ended: Cell::new(false),
        }));
        node.in_progress.insert(WeakTrace(Rc::downgrade(&trace.0)));
        trace
    }

    /// Sets when the request must have ended.
    pub(crate) fn set_end(&self, end: Instant) {
        self.0.overdue.set_end(end);
    }

    /// Looks whether the request is in progress although it must have ended, and reports that once.
    pub(crate) fn look(&self, now: Instant) {
        let Some(late) = self.0.overdue.look(now) else { return };
        let Record { node, id, target, steps, .. } = &*self.0;
        let target = target.borrow();
        node.metrics.progress.overdue.with_label_values(&[target.kind]).inc();
        warn!(node.log, "request in progress after its deadline"; "id" => id, "kind" => target.kind,
            "route" => &*target.route, "late_ms" => millis(late), "events" => self.0.events.get(),
            "steps" => steps.borrow().as_str());
    }

    /// Records that the handling of the request has panicked.
    pub(crate) fn record_panic(&self, message: &str) {
        error!(self.0.node.log, "request panicked"; "id" => &self.0.id, "cause" => message);
    }

    /// Sets the version in force, also for a request without a route.
    pub(crate) fn set_version(&self, version: u64) {
        self.0.target.borrow_mut().version = version;
    }

    pub(crate) fn set_route(&self, kind: &'static str, route: &Arc<str>) {
        let mut target = self.0.target.borrow_mut();
        target.kind = kind;
        target.route = Arc::clone(route);
    }

    pub(crate) fn set_team(&self, team: Option<&Team>) {
        if let Some(team) = team {
            self.0.target.borrow_mut().team = Arc::clone(&team.name);
        }
    }

    /// Records whether the request is a retry after a refusal.
    pub(crate) fn set_retry(&self, is_retry: bool) {
        self.0.target.borrow_mut().is_retry = is_retry;
    }

    /// Records the request's priority.
    pub(crate) fn set_priority(&self, priority: Priority) {
        self.0.target.borrow_mut().priority = priority.text();
    }

    /// Records why the result of a prefill is not used.
    pub(crate) fn record_waste(&self, cause: &str) {
        let mut waste = self.0.waste.borrow_mut();
        if !waste.is_empty() {
            waste.push(' ');
        }
        waste.push_str(cause);
    }

    /// Records the fingerprint, which identifies the request if it is sent again.
    pub(crate) fn set_fingerprint(&self, fingerprint: Fingerprint) {
        self.0.fingerprint.set(Some(fingerprint));
    }

    /// Records the parts of the prompt that decide about the request, or may have crashed its endpoint.
    pub(crate) fn set_parts(&self, parts: &[PromptPart]) {
        *self.0.parts.borrow_mut() = PromptPart::join(parts);
    }

    /// Records the end of a step at an endpoint.
    pub(crate) fn record_step(&self, step: &str, endpoint: &str, outcome: &str) {
        let at = self.0.node.now().duration_since(self.0.arrived).as_millis();
        let mut steps = self.0.steps.borrow_mut();
        let gap = if steps.is_empty() { "" } else { " " };
        // Writing to a string does not fail.
        let _ = write!(steps, "{gap}{step}@{endpoint}={outcome}+{at}ms");
    }

    /// Records that further events of a stream are relayed.
    pub(crate) fn record_events(&self, events: u32) {
        if events == 0 {
            return;
        }
        self.0.events.set(self.0.events.get() + events);
        let now = self.0.node.now();
        let (first, last) = self.0.first_and_last.get().unwrap_or((now, now));
        self.0.longest_gap.set(self.0.longest_gap.get().max(now.duration_since(last)));
        self.0.first_and_last.set(Some((first, now)));
    }

    /// Events that were relayed.
    pub(crate) fn events(&self) -> u32 {
        self.0.events.get()
    }

    /// Records that the head of the response is sent to the caller.
    pub(crate) fn record_head(&self) {
        let took = self.0.node.now().duration_since(self.0.arrived);
        self.0
            .node
            .metrics
            .time_to_head
            .with_label_values(&[self.0.target.borrow().kind])
            .observe(took.as_secs_f64());
    }

    /// Records the final outcome.
    pub(crate) fn end(self, outcome: &str, status: u16) {
        self.0.write(outcome, status);
    }
}

impl Record {
    fn write(&self, outcome: &str, status: u16) {
        if self.ended.replace(true) {
            return;
        }
        let target = self.target.borrow();
        let took = self.node.now().duration_since(self.arrived);
        self.node.metrics.progress.running.dec();
        self.node.metrics.count_request(target.kind, outcome, took);
        self.node.metrics.count_team_request(&target.team, outcome);
        info!(self.node.log, "request";
            "id" => &self.id,
            "kind" => target.kind,
            "route" => &*target.route,
            "version" => target.version,
            "team" => &*target.team,
            "list_age_ms" => self.node.list_age().map(millis),
            "deadline_ms" => self.deadline.map(millis),
            "returns" => target.is_retry,
            "prompt" => self.expected.prompt_tokens,
            "output" => self.expected.max_output_tokens,
            "hint" => self.expected.output_hint,
            "events" => self.events.get(),
            "first_ms" => self.first_and_last.get().map(|(first, _)| millis(first.duration_since(self.arrived))),
            "pause_ms" => millis(self.longest_gap.get()),
            "fingerprint" => self.fingerprint.get().map(|f| f.to_string()),
            "parts" => Some(self.parts.borrow().as_str()).filter(|parts| !parts.is_empty()),
            "priority" => &target.priority,
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

impl Drop for Record {
    fn drop(&mut self) {
        let exits = self.node.phase() == Phase::Exiting;
        self.write(if exits { "exit" } else { "caller_gone" }, 0);
    }
}
