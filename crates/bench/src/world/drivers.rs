//! What the daemon's drivers do, in virtual time: one step at a time, with timeouts by progress.

use std::time::Duration;

use teaselshunt_core::{AttemptId, Effect, Event, Outcome, StepFailure, Target, Ticket};

use super::engine::{Job, Task};
use super::network::{Network, Side};
use super::platform::SPREAD;
use super::{Happening, World};

/// A connection that cannot be made is given up after this.
const CONNECT: Duration = Duration::from_secs(1);
/// An engine that cannot be asked for its load is given up after this.
const POLL: Duration = Duration::from_secs(2);

/// One request's driver.
#[derive(Debug)]
pub(super) struct Driver {
    pub(super) caller: usize,
    accepted: bool,
    /// Try in progress.
    attempt: Option<AttemptId>,
    /// Grows with every step, so that a late look at an earlier one is told apart.
    number: u32,
    /// Try whose KV cache is to be moved.
    cache: Option<AttemptId>,
    /// Tokens passed to the caller.
    offset: u32,
    moved: Duration,
}

impl Driver {
    /// Whether the core has taken the request.
    pub(super) fn accepted(&self) -> bool {
        self.accepted
    }

    pub(super) fn new(caller: usize) -> Self {
        Self {
            caller,
            accepted: false,
            attempt: None,
            number: 0,
            cache: None,
            offset: 0,
            moved: Duration::ZERO,
        }
    }
}

impl World {
    /// Does a step that the core decided on.
    #[expect(clippy::needless_pass_by_value, reason = "effects are consumed by whoever performs them")]
    pub(super) fn drive(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Accept { ticket, request } => {
                if let Some(driver) = self.nodes[node].drivers.get_mut(&ticket) {
                    driver.accepted = true;
                    self.callers[driver.caller].request = Some(request);
                }
            }
            Effect::Prefill { ticket, attempt, target, priority, timeout } => {
                let Some(driver) = self.begin(node, ticket, attempt) else {
                    return;
                };
                let (caller, offset) = (driver.caller, driver.offset);
                driver.cache = Some(attempt);
                let tokens = self.callers[caller].asked.prompt + offset;
                self.go(node, ticket, attempt, target, Task::Prefill { tokens, priority });
                self.look_after(node, ticket, timeout, false);
            }
            Effect::Import { ticket, attempt, origin, target, timeout } => {
                let Some(driver) = self.begin(node, ticket, attempt) else {
                    return;
                };
                let cache = driver.cache.unwrap_or(attempt);
                let origin = self.by_endpoint[&origin.id];
                self.go(node, ticket, attempt, target, Task::Import { cache, origin });
                self.look_after(node, ticket, timeout, false);
            }
            Effect::Decode { ticket, attempt, target, resume, stall_timeout, .. } => {
                let Some(driver) = self.begin(node, ticket, attempt) else {
                    return;
                };
                let (caller, offset) = (driver.caller, driver.offset);
                let length = self.callers[caller].asked.output;
                self.go(node, ticket, attempt, target, Task::Decode { resume, offset, length });
                self.look_after(node, ticket, stall_timeout, true);
            }
            Effect::Call { ticket, attempt, target, timeout } => {
                let Some(driver) = self.begin(node, ticket, attempt) else {
                    return;
                };
                let body = driver.caller;
                self.go(node, ticket, attempt, target, Task::Call { body });
                self.look_after(node, ticket, timeout, false);
            }
            Effect::Cancel { attempt, target } => {
                self.go(node, Ticket(attempt.request.sequence), attempt, target, Task::Cancel);
            }
            Effect::Poll { target } => self.poll(node, target),
            Effect::Refuse { ticket, refusal } => {
                let outcome = refusal.kind.answer().outcome;
                if let Some(driver) = self.nodes[node].drivers.remove(&ticket) {
                    self.check_refusal(driver.caller, outcome);
                    self.refused(driver.caller, refusal);
                }
            }
            Effect::Replay { ticket, .. } => {
                if let Some(driver) = self.nodes[node].drivers.remove(&ticket) {
                    self.answered(driver.caller);
                }
            }
            Effect::Send { .. } | Effect::Audit(_) | Effect::Stopped => {}
        }
    }

    fn begin(&mut self, node: usize, ticket: Ticket, attempt: AttemptId) -> Option<&mut Driver> {
        let now = self.now;
        let driver = self.nodes[node].drivers.get_mut(&ticket)?;
        driver.attempt = Some(attempt);
        driver.number += 1;
        driver.moved = now;
        Some(driver)
    }

    /// Sends a step to an endpoint; a way that is cut cannot be connected over.
    fn go(&mut self, node: usize, ticket: Ticket, attempt: AttemptId, target: Target, task: Task) {
        let endpoint = self.by_endpoint[&target.id];
        let (near, far) = (self.nodes[node].domain, self.engines[endpoint].domain);
        let life = self.nodes[node].life;
        let cancel = matches!(task, Task::Cancel);
        let job = Job { node, life, ticket, attempt, task };
        if !self.network.is_cut(Side::Domain(near), Side::Domain(far)) {
            let delay = Network::delay(near, far, &mut self.rng);
            return self.after(delay, Happening::Reach { endpoint, job });
        }
        let event = if cancel {
            Event::Cancelled { attempt, endpoint: target.id, confirmed: false }
        } else {
            let offset = self.offset(&job);
            Event::Failed { attempt, failure: StepFailure::NotSent, offset }
        };
        self.after(CONNECT, Happening::Result { node, life, event });
    }

    fn poll(&mut self, node: usize, target: Target) {
        let endpoint = self.by_endpoint[&target.id];
        let (near, far) = (self.nodes[node].domain, self.engines[endpoint].domain);
        let life = self.nodes[node].life;
        if self.network.is_cut(Side::Domain(near), Side::Domain(far)) {
            let event = Event::Unreported { endpoint: target.id };
            return self.after(POLL, Happening::Result { node, life, event });
        }
        let request =
            teaselshunt_core::RequestId { instance: self.nodes[node].id, incarnation: 0, sequence: 0 };
        let attempt = AttemptId { request, number: 0 };
        let job = Job { node, life, ticket: Ticket(0), attempt, task: Task::Poll };
        let delay = Network::delay(near, far, &mut self.rng);
        self.after(delay, Happening::Reach { endpoint, job });
    }

    fn look_after(&mut self, node: usize, ticket: Ticket, after: Duration, stall: bool) {
        let life = self.nodes[node].life;
        let Some(number) = self.nodes[node].drivers.get(&ticket).map(|d| d.number) else {
            return;
        };
        self.after(after, Happening::Overdue { node, life, ticket, number, after, stall });
    }

    /// Looks whether a step is still the one in progress and has not moved for too long.
    pub(super) fn overdue(
        &mut self,
        node: usize,
        life: u32,
        ticket: Ticket,
        number: u32,
        after: Duration,
        stall: bool,
    ) {
        let now = self.now;
        if self.nodes[node].life != life {
            return;
        }
        let thawed = self.nodes[node].thawed;
        if self.nodes[node].frozen {
            return self.after(after, Happening::Overdue { node, life, ticket, number, after, stall });
        }
        let Some(driver) = self.nodes[node].drivers.get(&ticket) else {
            return;
        };
        let Some(attempt) = driver.attempt.filter(|_| driver.number == number) else {
            return;
        };
        let idle = now.saturating_sub(driver.moved.max(thawed));
        if idle < after {
            let left = after.saturating_sub(idle);
            return self.after(left, Happening::Overdue { node, life, ticket, number, after, stall });
        }
        let fault = if stall { StepFailure::Stalled } else { StepFailure::TimedOut };
        let offset = driver.offset;
        self.result(node, life, Event::Failed { attempt, failure: fault, offset });
    }

    /// Tokens that the caller of a job has.
    pub(super) fn offset(&self, job: &Job) -> u32 {
        self.nodes[job.node].drivers.get(&job.ticket).map_or(0, |d| d.offset)
    }

    /// Whether a stream's reader is still there and reads this very try.
    pub(super) fn connected(&self, job: &Job) -> bool {
        let node = &self.nodes[job.node];
        let driver = node.drivers.get(&job.ticket).filter(|_| node.life == job.life && !node.frozen);
        driver.is_some_and(|d| d.attempt == Some(job.attempt))
    }

    /// Tokens arrive at a driver and go on to its caller.
    pub(super) fn progress(&mut self, job: &Job, offset: u32) {
        let now = self.now;
        if let Some(driver) = self.nodes[job.node].drivers.get_mut(&job.ticket) {
            assert!(offset >= driver.offset, "a stream went back");
            driver.offset = offset;
            driver.moved = now;
            let caller = driver.caller;
            self.callers[caller].first.get_or_insert(now);
        }
    }

    /// The result of a step passes a driver on its way to the core.
    pub(super) fn note_result(&mut self, node: usize, event: &Event) {
        let attempt = match event {
            Event::Finished { attempt, .. } | Event::Called { attempt, .. } => *attempt,
            _ => return,
        };
        let ticket = Ticket(attempt.request.sequence);
        let current = self.nodes[node].drivers.get(&ticket).is_some_and(|d| d.attempt == Some(attempt));
        if current && let Some(driver) = self.nodes[node].drivers.remove(&ticket) {
            self.answered(driver.caller);
        }
    }

    /// Work has reached an endpoint: it must not have been called not run, nor be new work of one that drains.
    pub(super) fn note_work(&mut self, endpoint: usize, job: &Job) {
        let request = job.attempt.request;
        self.reached.insert(request);
        if self.not_run.contains(&request) {
            let text = format!("{:?}: {request} was called not run, and ran", self.now);
            self.tally.violations.push(text);
        }
        let Some(&since) = self.draining.get(&endpoint) else {
            return;
        };
        if self.platform.down || self.platform.stale || self.network.any_cut() {
            // The version may not be known here yet, through no fault of the system.
            return;
        }
        let settled = since.max(self.disturbed).max(self.nodes[job.node].thawed) + SPREAD;
        if self.now > settled {
            let text = format!("{:?}: endpoint {endpoint} drains since {since:?} and got new work", self.now);
            self.tally.violations.push(text);
        }
    }

    fn check_refusal(&mut self, caller: usize, outcome: Outcome) {
        let Some(request) = self.callers[caller].request.filter(|_| outcome == Outcome::NotRun) else {
            return;
        };
        self.not_run.insert(request);
        if self.reached.contains(&request) {
            let text = format!("{:?}: {request} ran, and is called not run", self.now);
            self.tally.violations.push(text);
        }
    }
}
