//! Model of callers: their requests, their retries and their conclusions.
//!
//! A caller has one request and submits it up to [`SUBMISSIONS_MAX`] times. It retries after a refusal with a
//! `Retry-After` delay and after a broken connection, unless the call is non-idempotent, has no idempotency
//! key and may have run. After a run, [`World::settle_and_check`] verifies that every caller has got a final
//! answer and that nothing of any request is left.

use std::time::Duration;

use rand::Rng;
use teaselshunt_core::{
    Call, CallerKey, Event, Fingerprint, Generate, IdempotencyKey, Outcome, Refusal, RequestId, Ticket, Work,
};

use super::drivers::Driver;
use super::network::Side;
use super::{SimEvent, World};

/// Maximum number of submissions of a request by its caller.
const SUBMISSIONS_MAX: u32 = 6;
/// Delay before the retry of a request whose connection broke.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Deadline of every request.
const REQUEST_DEADLINE: Duration = Duration::from_mins(2);

/// Interval between two checks of the callers after a run.
const CHECK_INTERVAL: Duration = Duration::from_secs(30);
/// Time after which every caller must have a final answer, once everything else has settled. Each submission
/// may wait 60 s for a slot and then be refused with a delay of 45 s. A single submission without an answer
/// within its deadline is a violation of its own, see [`World::check_submissions`].
const CALLERS_END_TIMEOUT: Duration = Duration::from_secs(SUBMISSIONS_MAX as u64 * 105);

/// Request of a caller.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Name of the model, or of the service for a call.
    pub name: &'static str,
    /// Whether the request is a call of a service.
    pub call: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request has an idempotency key.
    pub keyed: bool,
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens of the response.
    pub output: u32,
    /// Time after which the caller disconnects, if it does not wait for the response.
    pub abandon_after: Option<Duration>,
}

/// Rates of requests over a time.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Long requests a second.
    pub long: f64,
    /// Quick requests a second.
    pub quick: f64,
    /// Non-idempotent calls a second; half of them have an idempotency key.
    pub calls: f64,
    /// Fraction of callers that disconnect early.
    pub abandon_fraction: f64,
    /// Start of the arrivals.
    pub from: Duration,
    /// End of the arrivals.
    pub until: Duration,
}

/// State of one caller and its request.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) spec: RequestSpec,
    class: String,
    /// Time of the first submission.
    first_submitted: Duration,
    /// Time of the last submission, or of the next one while the caller waits to retry.
    last_submitted: Duration,
    pub(super) first_token_at: Option<Duration>,
    /// Id of the last submission, once it is accepted.
    pub(super) request_id: Option<RequestId>,
    submissions: u32,
    /// Fingerprint of the request, the same in each submission.
    pub(super) fingerprint: Fingerprint,
    key: Option<CallerKey>,
    /// Whether the caller has a final answer or has disconnected.
    pub(super) done: bool,
    /// Number of executions by services.
    pub(super) executions: u32,
    /// Whether a submission may have run as far as the caller knows.
    outcome_unknown: bool,
    /// Whether the request crashes every engine that starts to generate for it.
    pub(super) crashes_engines: bool,
}

impl World {
    /// Schedules requests with random arrival times.
    pub fn schedule_load(&mut self, load: Load) {
        self.schedule_arrivals(load, load.long, super::World::long_request);
        self.schedule_arrivals(load, load.quick, super::World::quick_request);
        self.schedule_arrivals(load, load.calls, |w| {
            let keyed = w.rng.random_bool(0.5);
            let name = w.deployment.service;
            RequestSpec {
                name,
                call: true,
                idempotent: false,
                keyed,
                prompt: 0,
                output: 0,
                abandon_after: None,
            }
        });
    }

    fn schedule_arrivals(
        &mut self,
        load: Load,
        rate: f64,
        mut draw_request: impl FnMut(&mut Self) -> RequestSpec,
    ) {
        if rate <= 0.0 {
            return;
        }
        let mut at = load.from.as_secs_f64();
        loop {
            let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
            at -= draw.ln() / rate;
            if at > load.until.as_secs_f64() {
                return;
            }
            let mut spec = draw_request(self);
            if self.rng.random_bool(load.abandon_fraction) {
                spec.abandon_after = Some(Duration::from_secs_f64(self.rng.random_range(0.01..4.0)));
            }
            self.schedule_request(Duration::from_secs_f64(at), spec);
        }
    }

    /// Draws a request for a long log or job sheet, of 300 to 6,000 prompt tokens; shorter ones are more
    /// likely.
    fn long_request(&mut self) -> RequestSpec {
        let names = self.deployment.long_models;
        let name = names[self.rng.random_range(0..names.len())];
        let spread: f64 = self.rng.random_range(0.0..1.0);
        let prompt = (300.0 * 20_f64.powf(spread)) as u32;
        let output = self.rng.random_range(60..240);
        RequestSpec { name, call: false, idempotent: true, keyed: false, prompt, output, abandon_after: None }
    }

    fn quick_request(&mut self) -> RequestSpec {
        let name = self.deployment.quick_model;
        let prompt = self.rng.random_range(60..400);
        let output = self.rng.random_range(20..80);
        RequestSpec { name, call: false, idempotent: true, keyed: false, prompt, output, abandon_after: None }
    }

    /// Schedules the first submission of a request.
    pub fn schedule_request(&mut self, at: Duration, spec: RequestSpec) {
        let configuration = &self.deployment.configuration;
        let class = configuration.models.iter().find(|m| m.name == spec.name).map(|m| m.class.clone());
        let class = class.unwrap_or_else(|| spec.name.to_owned());
        let caller = self.callers.len();
        self.callers.push(Caller {
            spec,
            class,
            first_submitted: at,
            last_submitted: at,
            first_token_at: None,
            request_id: None,
            submissions: 0,
            fingerprint: Fingerprint(caller as u64),
            key: None,
            done: false,
            executions: 0,
            outcome_unknown: false,
            crashes_engines: false,
        });
        self.schedule_at(at, SimEvent::Submit { caller });
    }

    /// Submits a request that crashes every engine that starts to generate for it. Requests with the same
    /// number have the same fingerprint and different callers.
    pub(super) fn schedule_crashing_request(&mut self, number: usize) {
        let spec = self.long_request();
        self.schedule_request(self.now, spec);
        if let Some(caller) = self.callers.last_mut() {
            caller.crashes_engines = true;
            caller.fingerprint = Fingerprint(u64::MAX - number as u64);
        }
    }

    /// Submits a request through the load balancer, which selects any running instance. The balancer does not
    /// notice that an instance is frozen.
    pub(super) fn submit(&mut self, caller: usize) {
        let running: Vec<usize> = (0..self.nodes.len()).filter(|&i| self.nodes[i].is_running()).collect();
        let now_ms = 1_800_000_000_000 + self.now.as_millis() as u64;
        let state = &mut self.callers[caller];
        if state.submissions == 0 {
            self.tally.class(&state.class).offered += 1;
        } else {
            self.tally.resent += 1;
        }
        state.submissions += 1;
        if running.is_empty() {
            return self.retry_after_delay(caller, RETRY_DELAY);
        }
        if state.spec.keyed && state.key.is_none() {
            let key = IdempotencyKey::of("", &format!("key {caller}"));
            state.key = Some(CallerKey { key, born: Some(now_ms) });
        }
        state.request_id = None;
        state.last_submitted = self.now;
        let node = running[self.rng.random_range(0..running.len())];
        let work = self.callers[caller].work();
        let abandon_after = self.callers[caller].spec.abandon_after;
        let entry = &mut self.nodes[node];
        entry.next_ticket += 1;
        let (ticket, transition_count) = (Ticket(entry.next_ticket), entry.transition_count);
        entry.drivers.insert(ticket, Driver::new(caller));
        if let Some(abandon_after) = abandon_after {
            self.schedule_after(abandon_after, SimEvent::Abandon { caller, transition_count, node, ticket });
        }
        self.step(node, Event::Arrived { ticket, work });
    }

    pub(super) fn abandon(&mut self, caller: usize, node: usize, transition_count: u32, ticket: Ticket) {
        let is_open = self.nodes[node].transition_count == transition_count
            && self.nodes[node].drivers.contains_key(&ticket);
        if !is_open {
            return;
        }
        if self.nodes[node].frozen {
            // The process notices the end of the connection when it resumes.
            let event = SimEvent::Abandon { caller, transition_count, node, ticket };
            return self.nodes[node].deferred.push(event);
        }
        self.nodes[node].drivers.remove(&ticket);
        self.callers[caller].done = true;
        self.step(node, Event::CallerGone { ticket });
    }

    /// Records that a caller has received the complete response.
    pub(super) fn complete_request(&mut self, caller: usize) {
        let now = self.now;
        let state = &mut self.callers[caller];
        if state.done {
            let text = format!("{now:?}: caller {caller} was answered twice");
            self.tally.violations.push(text);
            return;
        }
        state.done = true;
        let (spec, class) = (state.spec.clone(), state.class.clone());
        let first = state.first_token_at.unwrap_or(now).saturating_sub(state.last_submitted);
        let since_first_submission =
            state.first_token_at.unwrap_or(now).saturating_sub(state.first_submitted);
        let gaps = spec.output.saturating_sub(1).max(1);
        let gap = now.saturating_sub(state.first_token_at.unwrap_or(now)) / gaps;
        let targets = self.deployment.configuration.classes.iter().find(|c| c.name == class);
        let good = |first: Duration| {
            targets.is_none_or(|c| {
                first <= Duration::from_millis(c.first_ms) && gap <= Duration::from_millis(c.gap_ms)
            })
        };
        let (good, good_first) = (good(first), good(since_first_submission));
        self.tally.used_tokens += u64::from(spec.prompt);
        let tally = self.tally.class(&class);
        tally.answered += 1;
        tally.good += u64::from(good);
        tally.good_first += u64::from(good_first);
        if !spec.call {
            tally.first_token_ms.saturating_record(first.as_millis().max(1) as u64);
            tally.token_gap_us.saturating_record(gap.as_micros().max(1) as u64);
            *self.tally.good_by_second.entry(now.as_secs()).or_default() += u64::from(good);
        }
    }

    pub(super) fn handle_refusal(&mut self, caller: usize, refusal: Refusal) {
        let answer = refusal.kind.answer();
        *self.tally.refusals.entry(answer.code).or_default() += 1;
        let state = &mut self.callers[caller];
        state.outcome_unknown |= answer.outcome != Outcome::NotRun;
        let is_retry_safe = answer.outcome == Outcome::NotRun || state.spec.idempotent || state.spec.keyed;
        match refusal.retry_after {
            // A caller does not wait longer than its deadline; the refusal is its final answer.
            Some(retry) if is_retry_safe && retry <= REQUEST_DEADLINE => {
                self.retry_after_delay(caller, retry);
            }
            _ => self.give_up(caller),
        }
    }

    /// Handles the end of the instance that a caller was connected to. A non-idempotent call without an
    /// idempotency key must not be retried.
    pub(super) fn connection_broken(&mut self, caller: usize) {
        let state = &mut self.callers[caller];
        state.outcome_unknown = true;
        if state.spec.idempotent || state.spec.keyed {
            self.retry_after_delay(caller, RETRY_DELAY);
        } else {
            self.give_up(caller);
        }
    }

    fn retry_after_delay(&mut self, caller: usize, delay: Duration) {
        if self.callers[caller].submissions >= SUBMISSIONS_MAX {
            return self.give_up(caller);
        }
        self.callers[caller].first_token_at = None;
        let jitter = delay.mul_f64(self.rng.random_range(0.0..0.5));
        self.callers[caller].last_submitted = self.now + delay + jitter;
        self.schedule_after(delay + jitter, SimEvent::Submit { caller });
    }

    fn give_up(&mut self, caller: usize) {
        self.callers[caller].done = true;
        let class = self.callers[caller].class.clone();
        self.tally.class(&class).refused += 1;
    }

    /// Ends all faults, waits until the simulation has settled, and records what must not remain as
    /// violations.
    pub fn settle_and_check(&mut self) {
        self.heal_all();
        self.run_until(self.now + Duration::from_mins(3));
        let end = self.now + CALLERS_END_TIMEOUT;
        loop {
            self.check_submissions();
            if self.callers.iter().all(|c| c.done) || self.now >= end {
                break;
            }
            self.run_until(self.now + CHECK_INTERVAL);
        }
        for (index, caller) in self.callers.iter().enumerate() {
            if !caller.done {
                let text = format!("caller {index} got no final answer: {:?}", caller.spec);
                self.tally.violations.push(text);
            }
        }
        for (index, engine) in self.engines.iter().enumerate() {
            let attempts = engine.held_attempts(self.now);
            if !attempts.is_empty() {
                self.tally.violations.push(format!("endpoint {index} still holds memory for {attempts:?}"));
            }
        }
        let latest = self.platform.latest().version;
        for index in 0..self.nodes.len() {
            if self.active_version(index).is_some_and(|v| v != latest) {
                let text =
                    format!("instance {index} has version {:?}, not {latest}", self.active_version(index));
                self.tally.violations.push(text);
            }
            if !self.nodes[index].drivers.is_empty() {
                let view = self.nodes[index].instance.as_ref().map(|i| i.view(self.instant()));
                let text = format!(
                    "instance {index} still has requests in progress: {:?}; {view:?}",
                    self.nodes[index].drivers
                );
                self.tally.violations.push(text);
            }
        }
    }

    /// Checks that each submission is answered within its deadline, independent of the number of retries.
    fn check_submissions(&mut self) {
        for (index, caller) in self.callers.iter().enumerate() {
            let age = self.now.saturating_sub(caller.last_submitted);
            if !caller.done && age > REQUEST_DEADLINE + CHECK_INTERVAL {
                let text = format!("caller {index} has had no answer to a submission for {age:?}");
                self.tally.violations.push(text);
            }
        }
    }

    /// Whether two sides of the network can reach each other.
    pub fn reachable(&self, a: Side, b: Side) -> bool {
        !self.network.is_partitioned(a, b)
    }
}

impl Caller {
    fn work(&self) -> Work {
        let (key, deadline) = (self.key, REQUEST_DEADLINE);
        if self.spec.call {
            let method = if self.spec.idempotent { "GET" } else { "POST" };
            return Work::Call(Call {
                team: String::new(),
                service: self.spec.name.to_owned(),
                method: method.to_owned(),
                key,
                fingerprint: self.fingerprint,
                deadline,
            });
        }
        Work::Generate(Generate {
            model: self.spec.name.to_owned(),
            team: String::new(),
            prompt_tokens: self.spec.prompt,
            max_tokens: self.spec.output,
            retry: self.submissions > 1,
            key,
            fingerprint: self.fingerprint,
            parts: Vec::new(),
            deadline,
        })
    }
}
