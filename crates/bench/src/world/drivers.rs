//! Model of the daemon's drivers in virtual time, and checks of what they observe.
//!
//! A driver performs the steps of one request, one step at a time. A step fails if it makes no progress for
//! its timeout. The time that the instance's process was frozen does not count.

use std::time::Duration;

use teaselshunt_core::{AttemptId, Effect, Event, Outcome, StepFailure, Target, Ticket};

use super::engine::{SentStep, Task};
use super::network::{Network, Side};
use super::platform::VERSION_SPREAD_TIME;
use super::{SimEvent, World};

/// Time after which a connection attempt fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a poll of an unreachable engine fails.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Driver of one request.
#[derive(Debug)]
pub(super) struct Driver {
    pub(super) caller: usize,
    accepted: bool,
    /// Attempt in progress.
    attempt: Option<AttemptId>,
    /// Attempt whose stream goes on until that of `attempt` begins.
    kept: Option<AttemptId>,
    /// Whether the kept stream has gone on, and the core has not confirmed yet that its search has ended.
    search_is_obsolete: bool,
    /// Number of the step in progress; a timeout check for an earlier step has no effect.
    step_number: u32,
    /// Attempt whose KV cache is to be imported.
    cache_attempt: Option<AttemptId>,
    /// Tokens passed to the caller.
    offset: u32,
    /// Time of the last progress of the step.
    last_progress: Duration,
    /// Longest time without a token of the stream.
    stall_timeout: Duration,
}

impl Driver {
    /// Whether the core has accepted the request.
    pub(super) fn accepted(&self) -> bool {
        self.accepted
    }

    pub(super) fn new(caller: usize) -> Self {
        Self {
            caller,
            accepted: false,
            attempt: None,
            kept: None,
            search_is_obsolete: false,
            step_number: 0,
            cache_attempt: None,
            offset: 0,
            last_progress: Duration::ZERO,
            stall_timeout: Duration::ZERO,
        }
    }

    /// Makes the stream of an attempt the one that the caller gets. Returns whether it replaces another one.
    fn follow(&mut self, attempt: AttemptId) -> Option<Followed> {
        let kept = self.kept.take()?;
        if attempt != kept {
            return Some(Followed::Replacement);
        }
        self.attempt = Some(kept);
        self.search_is_obsolete = true;
        // No timeout of the search applies any more.
        self.step_number += 1;
        Some(Followed::Kept)
    }
}

/// Which of two streams went on first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Followed {
    Kept,
    Replacement,
}

impl World {
    /// Performs an effect that concerns a request or an endpoint.
    #[expect(clippy::needless_pass_by_value, reason = "the effect is consumed")]
    pub(super) fn perform_request_effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Accept { ticket, request } => {
                if let Some(driver) = self.nodes[node].drivers.get_mut(&ticket) {
                    driver.accepted = true;
                    self.callers[driver.caller].request_id = Some(request);
                }
            }
            Effect::Prefill { ticket, attempt, target, kept, priority, timeout } => {
                let Some(driver) = self.begin_step(node, ticket, attempt) else {
                    return;
                };
                driver.kept = kept;
                let (caller, offset) = (driver.caller, driver.offset);
                driver.cache_attempt = Some(attempt);
                let tokens = self.callers[caller].spec.prompt + offset;
                self.send_step(node, ticket, attempt, target, Task::Prefill { tokens, priority });
                self.schedule_timeout_check(node, ticket, timeout, false);
            }
            Effect::Import { ticket, attempt, origin, target, timeout } => {
                let Some(driver) = self.begin_step(node, ticket, attempt) else {
                    return;
                };
                let cache_attempt = driver.cache_attempt.unwrap_or(attempt);
                let origin = self.by_endpoint[&origin.id];
                self.send_step(node, ticket, attempt, target, Task::Import { cache_attempt, origin });
                self.schedule_timeout_check(node, ticket, timeout, false);
            }
            Effect::Decode { ticket, attempt, target, resume, stall_timeout, .. } => {
                let Some(driver) = self.begin_step(node, ticket, attempt) else {
                    return;
                };
                driver.stall_timeout = stall_timeout;
                let (caller, offset) = (driver.caller, driver.offset);
                let (prompt, length) = (self.callers[caller].spec.prompt, self.callers[caller].spec.output);
                let task = Task::Decode { resume, offset, context: prompt + offset, length };
                self.send_step(node, ticket, attempt, target, task);
                self.schedule_timeout_check(node, ticket, stall_timeout, true);
            }
            Effect::Call { ticket, attempt, target, timeout } => {
                let Some(driver) = self.begin_step(node, ticket, attempt) else {
                    return;
                };
                let caller = driver.caller;
                self.send_step(node, ticket, attempt, target, Task::Call { caller });
                self.schedule_timeout_check(node, ticket, timeout, false);
            }
            Effect::Continue { ticket, attempt } => self.continue_run(node, ticket, attempt),
            Effect::Cancel { attempt, target } => {
                self.send_step(node, Ticket(attempt.request.sequence), attempt, target, Task::Cancel);
            }
            Effect::Poll { target } => self.poll(node, target),
            Effect::Refuse { ticket, refusal } => {
                let outcome = refusal.kind.answer().outcome;
                if let Some(driver) = self.nodes[node].drivers.remove(&ticket) {
                    self.check_refusal(driver.caller, outcome);
                    self.handle_refusal(driver.caller, refusal);
                }
            }
            Effect::Replay { ticket, .. } => {
                if let Some(driver) = self.nodes[node].drivers.remove(&ticket) {
                    self.complete_request(driver.caller);
                }
            }
            Effect::Send { .. } | Effect::Audit(_) | Effect::Stopped => {}
        }
    }

    fn begin_step(&mut self, node: usize, ticket: Ticket, attempt: AttemptId) -> Option<&mut Driver> {
        let now = self.now;
        let driver = self.nodes[node].drivers.get_mut(&ticket).filter(|d| !d.search_is_obsolete)?;
        driver.attempt = Some(attempt);
        driver.step_number += 1;
        driver.last_progress = now;
        Some(driver)
    }

    /// Goes on with a kept stream alone.
    fn continue_run(&mut self, node: usize, ticket: Ticket, attempt: AttemptId) {
        let Some(driver) = self.nodes[node].drivers.get_mut(&ticket) else {
            return;
        };
        driver.search_is_obsolete = false;
        driver.kept = None;
        let stall_timeout = driver.stall_timeout;
        if self.begin_step(node, ticket, attempt).is_some() {
            self.schedule_timeout_check(node, ticket, stall_timeout, true);
        }
    }

    /// Sends a step to an endpoint. Across a network partition the connection attempt fails.
    fn send_step(&mut self, node: usize, ticket: Ticket, attempt: AttemptId, target: Target, task: Task) {
        let endpoint = self.by_endpoint[&target.id];
        let (near, far) = (self.nodes[node].domain, self.engines[endpoint].domain);
        let transition_count = self.nodes[node].transition_count;
        let is_cancel = matches!(task, Task::Cancel);
        let sent_step = SentStep { node, transition_count, ticket, attempt, task };
        if !self.network.is_partitioned(Side::Domain(near), Side::Domain(far)) {
            let delay = Network::delay(near, far, &mut self.rng);
            return self.schedule_after(delay, SimEvent::StepArrival { endpoint, sent_step });
        }
        let event = if is_cancel {
            Event::Cancelled { attempt, endpoint: target.id, confirmed: false }
        } else {
            let offset = self.offset(&sent_step);
            Event::Failed { attempt, failure: StepFailure::NotSent, offset }
        };
        self.schedule_after(CONNECT_TIMEOUT, SimEvent::StepResult { node, transition_count, event });
    }

    fn poll(&mut self, node: usize, target: Target) {
        let endpoint = self.by_endpoint[&target.id];
        let (near, far) = (self.nodes[node].domain, self.engines[endpoint].domain);
        let transition_count = self.nodes[node].transition_count;
        if self.network.is_partitioned(Side::Domain(near), Side::Domain(far)) {
            let event = Event::Unreported { endpoint: target.id, silent: false };
            return self.schedule_after(POLL_TIMEOUT, SimEvent::StepResult { node, transition_count, event });
        }
        let request =
            teaselshunt_core::RequestId { instance: self.nodes[node].id, incarnation: 0, sequence: 0 };
        let attempt = AttemptId { request, number: 0 };
        let sent_step = SentStep { node, transition_count, ticket: Ticket(0), attempt, task: Task::Poll };
        let delay = Network::delay(near, far, &mut self.rng);
        self.schedule_after(delay, SimEvent::StepArrival { endpoint, sent_step });
    }

    /// Fails a poll that a silent engine does not answer.
    pub(super) fn time_out_poll(&mut self, endpoint: usize, sent_step: &SentStep) {
        let SentStep { node, transition_count, .. } = *sent_step;
        let event = Event::Unreported { endpoint: self.engines[endpoint].id, silent: true };
        self.schedule_after(POLL_TIMEOUT, SimEvent::StepResult { node, transition_count, event });
    }

    fn schedule_timeout_check(
        &mut self,
        node: usize,
        ticket: Ticket,
        timeout: Duration,
        is_stall_timeout: bool,
    ) {
        let transition_count = self.nodes[node].transition_count;
        let Some(step_number) = self.nodes[node].drivers.get(&ticket).map(|d| d.step_number) else {
            return;
        };
        self.schedule_after(
            timeout,
            SimEvent::TimeoutCheck { node, transition_count, ticket, step_number, timeout, is_stall_timeout },
        );
    }

    /// Fails a step if it is still in progress and has made no progress for its timeout.
    pub(super) fn check_timeout(
        &mut self,
        node: usize,
        transition_count: u32,
        ticket: Ticket,
        step_number: u32,
        timeout: Duration,
        is_stall_timeout: bool,
    ) {
        let now = self.now;
        if self.nodes[node].transition_count != transition_count {
            return;
        }
        let running_since = self.nodes[node].running_since;
        if self.nodes[node].frozen {
            return self.schedule_after(
                timeout,
                SimEvent::TimeoutCheck {
                    node,
                    transition_count,
                    ticket,
                    step_number,
                    timeout,
                    is_stall_timeout,
                },
            );
        }
        let Some(driver) = self.nodes[node].drivers.get(&ticket) else {
            return;
        };
        let Some(attempt) = driver.attempt.filter(|_| driver.step_number == step_number) else {
            return;
        };
        let idle = now.saturating_sub(driver.last_progress.max(running_since));
        if idle < timeout {
            let remaining = timeout.saturating_sub(idle);
            return self.schedule_after(
                remaining,
                SimEvent::TimeoutCheck {
                    node,
                    transition_count,
                    ticket,
                    step_number,
                    timeout,
                    is_stall_timeout,
                },
            );
        }
        let failure = if is_stall_timeout { StepFailure::Stalled } else { StepFailure::TimedOut };
        let offset = driver.offset;
        self.deliver_result(node, transition_count, Event::Failed { attempt, failure, offset });
        if is_stall_timeout {
            // The stream goes on, unless the instance has begun another step.
            self.schedule_after(
                timeout,
                SimEvent::TimeoutCheck {
                    node,
                    transition_count,
                    ticket,
                    step_number,
                    timeout,
                    is_stall_timeout,
                },
            );
        }
    }

    /// Number of tokens that the caller of a step has received.
    pub(super) fn offset(&self, sent_step: &SentStep) -> u32 {
        self.nodes[sent_step.node].drivers.get(&sent_step.ticket).map_or(0, |d| d.offset)
    }

    /// Whether the instance of a step is running and still processes the step's attempt.
    pub(super) fn is_connected(&self, sent_step: &SentStep) -> bool {
        let node = &self.nodes[sent_step.node];
        let driver = node
            .drivers
            .get(&sent_step.ticket)
            .filter(|_| node.transition_count == sent_step.transition_count && !node.frozen);
        driver.is_some_and(|d| [d.attempt, d.kept].contains(&Some(sent_step.attempt)))
    }

    /// Records that the caller of a step has received tokens up to `offset`. Returns which of two streams they
    /// are of.
    pub(super) fn record_progress(&mut self, sent_step: &SentStep, offset: u32) -> Option<Followed> {
        let now = self.now;
        let driver = self.nodes[sent_step.node].drivers.get_mut(&sent_step.ticket)?;
        assert!(offset >= driver.offset, "the offset of a stream decreased");
        driver.offset = offset;
        driver.last_progress = now;
        let followed = driver.follow(sent_step.attempt);
        let caller = driver.caller;
        self.callers[caller].first_token_at.get_or_insert(now);
        followed
    }

    /// Completes the request at its caller if `event` is the final result of its current attempt.
    pub(super) fn observe_result(&mut self, node: usize, event: &Event) {
        let attempt = match event {
            Event::Finished { attempt, .. } | Event::Called { attempt, .. } => *attempt,
            _ => return,
        };
        let ticket = Ticket(attempt.request.sequence);
        let is_current = self.nodes[node].drivers.get(&ticket).is_some_and(|d| d.attempt == Some(attempt));
        if is_current && let Some(driver) = self.nodes[node].drivers.remove(&ticket) {
            self.complete_request(driver.caller);
        }
    }

    /// Checks that engines have begun no more streams of a request than it may have attempts.
    pub(super) fn count_run(&mut self, sent_step: &SentStep) {
        let request = sent_step.attempt.request;
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        if *runs > self.deployment.configuration.policy.attempts {
            let text = format!("{:?}: engines began {runs} runs of {request}", self.now);
            self.tally.violations.push(text);
        }
    }

    /// Checks new work at an endpoint: the request must not have been reported as not run, and the endpoint
    /// must not be draining.
    pub(super) fn check_new_work(&mut self, endpoint: usize, sent_step: &SentStep) {
        let request = sent_step.attempt.request;
        self.reached_endpoint.insert(request);
        if self.reported_not_run.contains(&request) {
            let text = format!("{:?}: {request} was reported as not run, and ran later", self.now);
            self.tally.violations.push(text);
        }
        let Some(&since) = self.draining.get(&endpoint) else {
            return;
        };
        if self.platform.is_down || self.platform.is_stale || self.network.has_partition() {
            // The instance may not be able to learn the version with the drain.
            return;
        }
        let is_known_by = since.max(self.last_disturbance).max(self.nodes[sent_step.node].running_since)
            + VERSION_SPREAD_TIME;
        if self.now > is_known_by {
            let text = format!(
                "{:?}: endpoint {endpoint} has been draining since {since:?} and got new work",
                self.now
            );
            self.tally.violations.push(text);
        }
    }

    /// Checks that nothing of a request that is refused as not run has reached an endpoint.
    fn check_refusal(&mut self, caller: usize, outcome: Outcome) {
        let Some(request) = self.callers[caller].request_id.filter(|_| outcome == Outcome::NotRun) else {
            return;
        };
        self.reported_not_run.insert(request);
        if self.reached_endpoint.contains(&request) {
            let text = format!("{:?}: {request} ran, and is reported as not run", self.now);
            self.tally.violations.push(text);
        }
    }
}
