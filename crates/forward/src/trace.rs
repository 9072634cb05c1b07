//! The story of one request, written as one log line at its end.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::info;
use teaselshunt_core::Fingerprint;
use teaselshunt_teams::Team;

use crate::node::Node;
use crate::protocol::RequestMeta;

/// What is told of a request. Dropped without an end it says that the caller has gone.
#[derive(Debug)]
pub(crate) struct Trace {
    node: Rc<Node>,
    id: String,
    kind: &'static str,
    route: Arc<str>,
    version: u64,
    /// Name of the caller's team; empty where it has none.
    team: Arc<str>,
    arrived: Instant,
    steps: RefCell<String>,
    /// How long the caller waits, as it says.
    deadline: Option<Duration>,
    /// Whether the caller was refused before.
    returns: bool,
    size: Size,
    /// Events that were passed on.
    events: Cell<u32>,
    /// When the first and the last of them were.
    span: Cell<Option<(Instant, Instant)>>,
    /// Longest time between two of them.
    pause: Cell<Duration>,
    /// What it asks for, once that matters.
    fingerprint: Cell<Option<Fingerprint>>,
    ended: bool,
}

/// What a generation was expected to need, in tokens; all 0 for a plain request.
#[derive(Debug, Clone, Copy, Default)]
struct Size {
    prompt: u64,
    output: u64,
    hint: Option<u64>,
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
            returns: false,
            size: Size { prompt: meta.prompt_tokens, output: meta.max_output_tokens, hint: meta.output_hint },
            events: Cell::new(0),
            span: Cell::new(None),
            pause: Cell::new(Duration::ZERO),
            fingerprint: Cell::new(None),
            ended: false,
        }
    }

    /// The route that was found, and in which version.
    pub(crate) fn routed(&mut self, kind: &'static str, route: &Arc<str>, version: u64) {
        self.kind = kind;
        self.route = Arc::clone(route);
        self.version = version;
    }

    /// The caller's team.
    pub(crate) fn team(&mut self, team: Option<&Team>) {
        if let Some(team) = team {
            self.team = Arc::clone(&team.name);
        }
    }

    /// Whether the caller was refused before.
    pub(crate) fn returns(&mut self, returns: bool) {
        self.returns = returns;
    }

    /// What the request asks for, by which it is known if it comes again.
    pub(crate) fn fingerprint(&self, fingerprint: Fingerprint) {
        self.fingerprint.set(Some(fingerprint));
    }

    /// A step at an endpoint ended.
    pub(crate) fn step(&self, step: &str, endpoint: &str, outcome: &str) {
        let at = self.node.now().duration_since(self.arrived).as_millis();
        let mut steps = self.steps.borrow_mut();
        let gap = if steps.is_empty() { "" } else { " " };
        // Writing to a string does not fail.
        let _ = write!(steps, "{gap}{step}@{endpoint}={outcome}+{at}ms");
    }

    /// So many more events of a stream go to the caller.
    pub(crate) fn passed(&self, events: u32) {
        if events == 0 {
            return;
        }
        self.events.set(self.events.get() + events);
        let now = self.node.now();
        let (first, last) = self.span.get().unwrap_or((now, now));
        self.pause.set(self.pause.get().max(now.duration_since(last)));
        self.span.set(Some((first, now)));
    }

    /// Events that were passed on.
    pub(crate) fn events(&self) -> u32 {
        self.events.get()
    }

    /// The head of the answer goes to the caller.
    pub(crate) fn first(&self) {
        let took = self.node.now().duration_since(self.arrived);
        self.node.metrics.first.with_label_values(&[self.kind]).observe(took.as_secs_f64());
    }

    /// The request has its final answer.
    pub(crate) fn end(mut self, outcome: &str, status: u16) {
        self.write(outcome, status);
    }

    fn write(&mut self, outcome: &str, status: u16) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let took = self.node.now().duration_since(self.arrived);
        self.node.metrics.running.dec();
        self.node.metrics.ended(self.kind, outcome, took);
        self.node.metrics.team(&self.team, outcome);
        info!(self.node.log, "request";
            "id" => &self.id,
            "kind" => self.kind,
            "route" => &*self.route,
            "version" => self.version,
            "team" => &*self.team,
            "list_age_ms" => self.node.list_age().map(millis),
            "deadline_ms" => self.deadline.map(millis),
            "returns" => self.returns,
            "prompt" => self.size.prompt,
            "output" => self.size.output,
            "hint" => self.size.hint,
            "events" => self.events.get(),
            "first_ms" => self.span.get().map(|(first, _)| millis(first.duration_since(self.arrived))),
            "pause_ms" => millis(self.pause.get()),
            "fingerprint" => self.fingerprint.get().map(|f| f.to_string()),
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
        self.write("caller_gone", 0);
    }
}
