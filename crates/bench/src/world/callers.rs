//! Callers: what they ask, how they come back, and what they conclude.

use std::time::Duration;

use rand::Rng;
use teaselshunt_core::{
    Call, CallerKey, Event, Fingerprint, Generate, IdempotencyKey, Outcome, Refusal, RequestId, Ticket, Work,
};

use super::drivers::Driver;
use super::network::Side;
use super::{Happening, World};

/// How often a caller sends its request at most.
const SENDINGS: u32 = 6;
/// How long a caller waits before it sends a request again that broke.
const AGAIN: Duration = Duration::from_millis(200);
/// Deadline of every request.
const DEADLINE: Duration = Duration::from_mins(2);

/// Time between two looks at callers after a run.
const STEP: Duration = Duration::from_secs(30);
/// Longest time, beyond the settling of everything else, in which a caller may still come back: each of its sendings
/// may wait a minute for a slot and be told to come back after three quarters of one. What is unanswered for longer
/// than its deadline is found by itself, see [`World::check_sendings`].
const CALLERS_END: Duration = Duration::from_secs(SENDINGS as u64 * 105);

/// What a caller asks for.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Model, or service for a call.
    pub name: &'static str,
    /// Whether it is a call of a service.
    pub call: bool,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether it carries an idempotency key.
    pub keyed: bool,
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Gives up after this, if ever.
    pub abandon_after: Option<Duration>,
}

/// A stream of requests.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Long requests a second.
    pub long: f64,
    /// Quick requests a second.
    pub quick: f64,
    /// Calls a second that may not be repeated; half of them with a key.
    pub calls: f64,
    /// Share of callers that give up early.
    pub abandon_fraction: f64,
    /// First arrival at or after this.
    pub from: Duration,
    /// No arrival after this.
    pub until: Duration,
}

/// One caller with one request.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) asked: RequestSpec,
    class: String,
    /// First and last sending.
    began: Duration,
    sent: Duration,
    pub(super) first: Option<Duration>,
    /// The last sending's id.
    pub(super) request: Option<RequestId>,
    sendings: u32,
    /// What it asks for, the same in each sending.
    pub(super) fingerprint: Fingerprint,
    key: Option<CallerKey>,
    pub(super) done: bool,
    /// Executions by services.
    pub(super) ran: u32,
    /// Whether the caller was told that it may have run.
    unknown: bool,
    /// Whether every engine crashes that begins to generate for it.
    pub(super) deadly: bool,
}

impl World {
    /// Puts a stream of requests with random arrivals.
    pub fn schedule_load(&mut self, load: Load) {
        self.arrivals(load, load.long, super::World::long_request);
        self.arrivals(load, load.quick, super::World::quick_request);
        self.arrivals(load, load.calls, |w| {
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

    fn arrivals(&mut self, load: Load, rate: f64, mut ask: impl FnMut(&mut Self) -> RequestSpec) {
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
            let mut asked = ask(self);
            if self.rng.random_bool(load.abandon_fraction) {
                asked.abandon_after = Some(Duration::from_secs_f64(self.rng.random_range(0.01..4.0)));
            }
            self.schedule_request(Duration::from_secs_f64(at), asked);
        }
    }

    /// Long logs and job sheets: some hundreds to some thousands of tokens, skewed to the short side.
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

    /// Puts one request.
    pub fn schedule_request(&mut self, at: Duration, asked: RequestSpec) {
        let configuration = &self.deployment.configuration;
        let class = configuration.models.iter().find(|m| m.name == asked.name).map(|m| m.class.clone());
        let class = class.unwrap_or_else(|| asked.name.to_owned());
        let caller = self.callers.len();
        self.callers.push(Caller {
            asked,
            class,
            began: at,
            sent: at,
            first: None,
            request: None,
            sendings: 0,
            fingerprint: Fingerprint(caller as u64),
            key: None,
            done: false,
            ran: 0,
            unknown: false,
            deadly: false,
        });
        self.put(at, Happening::Send { caller });
    }

    /// Puts a request now that crashes every engine which begins to generate for it. The same number is the same request,
    /// from another caller.
    pub(super) fn ask_deadly(&mut self, number: usize) {
        let asked = self.long_request();
        self.schedule_request(self.now, asked);
        if let Some(caller) = self.callers.last_mut() {
            caller.deadly = true;
            caller.fingerprint = Fingerprint(u64::MAX - number as u64);
        }
    }

    /// Sends a request through the balancer, which knows the dead but not the frozen.
    pub(super) fn send(&mut self, caller: usize) {
        let alive: Vec<usize> = (0..self.nodes.len()).filter(|&i| self.nodes[i].alive()).collect();
        let now_ms = 1_800_000_000_000 + self.now.as_millis() as u64;
        let state = &mut self.callers[caller];
        if state.sendings == 0 {
            self.tally.class(&state.class).offered += 1;
        } else {
            self.tally.resent += 1;
        }
        state.sendings += 1;
        if alive.is_empty() {
            return self.come_back(caller, AGAIN);
        }
        if state.asked.keyed && state.key.is_none() {
            let key = IdempotencyKey::of("", &format!("key {caller}"));
            state.key = Some(CallerKey { key, born: Some(now_ms) });
        }
        state.request = None;
        state.sent = self.now;
        let node = alive[self.rng.random_range(0..alive.len())];
        let work = self.callers[caller].work();
        let abandon_after = self.callers[caller].asked.abandon_after;
        let entry = &mut self.nodes[node];
        entry.next_ticket += 1;
        let (ticket, life) = (Ticket(entry.next_ticket), entry.life);
        entry.drivers.insert(ticket, Driver::new(caller));
        if let Some(abandon_after) = abandon_after {
            self.after(abandon_after, Happening::Abandon { caller, life, node, ticket });
        }
        self.step(node, Event::Arrived { ticket, work });
    }

    pub(super) fn abandon(&mut self, caller: usize, node: usize, life: u32, ticket: Ticket) {
        let open = self.nodes[node].life == life && self.nodes[node].drivers.contains_key(&ticket);
        if !open || self.nodes[node].frozen {
            return;
        }
        self.nodes[node].drivers.remove(&ticket);
        self.callers[caller].done = true;
        self.step(node, Event::CallerGone { ticket });
    }

    /// The caller got its whole answer.
    pub(super) fn answered(&mut self, caller: usize) {
        let now = self.now;
        let state = &mut self.callers[caller];
        if state.done {
            let text = format!("{now:?}: caller {caller} was answered twice");
            self.tally.violations.push(text);
            return;
        }
        state.done = true;
        let (asked, class) = (state.asked.clone(), state.class.clone());
        let first = state.first.unwrap_or(now).saturating_sub(state.sent);
        let since_began = state.first.unwrap_or(now).saturating_sub(state.began);
        let gaps = asked.output.saturating_sub(1).max(1);
        let gap = now.saturating_sub(state.first.unwrap_or(now)) / gaps;
        let targets = self.deployment.configuration.classes.iter().find(|c| c.name == class);
        let good = |first: Duration| {
            targets.is_none_or(|c| {
                first <= Duration::from_millis(c.first_ms) && gap <= Duration::from_millis(c.gap_ms)
            })
        };
        let (good, good_first) = (good(first), good(since_began));
        self.tally.used_tokens += u64::from(asked.prompt);
        let tally = self.tally.class(&class);
        tally.answered += 1;
        tally.good += u64::from(good);
        tally.good_first += u64::from(good_first);
        if !asked.call {
            tally.first_token_ms.saturating_record(first.as_millis().max(1) as u64);
            tally.token_gap_us.saturating_record(gap.as_micros().max(1) as u64);
            *self.tally.good_by_second.entry(now.as_secs()).or_default() += u64::from(good);
        }
    }

    pub(super) fn refused(&mut self, caller: usize, refusal: Refusal) {
        let answer = refusal.kind.answer();
        *self.tally.refusals.entry(answer.code).or_default() += 1;
        let state = &mut self.callers[caller];
        state.unknown |= answer.outcome != Outcome::NotRun;
        let safe = answer.outcome == Outcome::NotRun || state.asked.idempotent || state.asked.keyed;
        match refusal.retry_after {
            // One that is told to stay away for longer has its answer.
            Some(retry) if safe && retry <= DEADLINE => self.come_back(caller, retry),
            _ => self.give_up(caller),
        }
    }

    /// The instance died under the caller: a call without a key must not be sent again.
    pub(super) fn connection_broken(&mut self, caller: usize) {
        let state = &mut self.callers[caller];
        state.unknown = true;
        if state.asked.idempotent || state.asked.keyed {
            self.come_back(caller, AGAIN);
        } else {
            self.give_up(caller);
        }
    }

    fn come_back(&mut self, caller: usize, after: Duration) {
        if self.callers[caller].sendings >= SENDINGS {
            return self.give_up(caller);
        }
        self.callers[caller].first = None;
        let jitter = after.mul_f64(self.rng.random_range(0.0..0.5));
        self.callers[caller].sent = self.now + after + jitter;
        self.after(after + jitter, Happening::Send { caller });
    }

    fn give_up(&mut self, caller: usize) {
        self.callers[caller].done = true;
        let class = self.callers[caller].class.clone();
        self.tally.class(&class).refused += 1;
    }

    /// Heals everything, waits, and looks for what must not be left.
    pub fn settle_and_check(&mut self) {
        self.heal_all();
        self.run_until(self.now + Duration::from_mins(3));
        let last = self.now + CALLERS_END;
        loop {
            self.check_sendings();
            if self.callers.iter().all(|c| c.done) || self.now >= last {
                break;
            }
            self.run_until(self.now + STEP);
        }
        for (index, caller) in self.callers.iter().enumerate() {
            if !caller.done {
                let text = format!("caller {index} never got a final answer: {:?}", caller.asked);
                self.tally.violations.push(text);
            }
        }
        for (index, engine) in self.engines.iter().enumerate() {
            let holds = engine.holds(self.now);
            if !holds.is_empty() {
                self.tally.violations.push(format!("endpoint {index} still holds {holds:?}"));
            }
        }
        let latest = self.platform.latest().version;
        for index in 0..self.nodes.len() {
            if self.version(index).is_some_and(|v| v != latest) {
                let text = format!("instance {index} has version {:?}, not {latest}", self.version(index));
                self.tally.violations.push(text);
            }
            if !self.nodes[index].drivers.is_empty() {
                let snapshot = self.nodes[index].instance.as_ref().map(|i| i.view(self.instant()));
                let text = format!(
                    "instance {index} still drives requests: {:?}; {snapshot:?}",
                    self.nodes[index].drivers
                );
                self.tally.violations.push(text);
            }
        }
    }

    /// Each sending must have its answer within its deadline, however often a caller comes back.
    fn check_sendings(&mut self) {
        for (index, caller) in self.callers.iter().enumerate() {
            let age = self.now.saturating_sub(caller.sent);
            if !caller.done && age > DEADLINE + STEP {
                let text = format!("caller {index} has had no answer to a sending for {age:?}");
                self.tally.violations.push(text);
            }
        }
    }

    /// Whether two sides of the network can reach each other.
    pub fn reachable(&self, a: Side, b: Side) -> bool {
        !self.network.is_cut(a, b)
    }
}

impl Caller {
    fn work(&self) -> Work {
        let (key, deadline) = (self.key, DEADLINE);
        if self.asked.call {
            let method = if self.asked.idempotent { "GET" } else { "POST" };
            return Work::Call(Call {
                team: String::new(),
                service: self.asked.name.to_owned(),
                method: method.to_owned(),
                key,
                fingerprint: self.fingerprint,
                deadline,
            });
        }
        Work::Generate(Generate {
            model: self.asked.name.to_owned(),
            team: String::new(),
            prompt_tokens: self.asked.prompt,
            max_tokens: self.asked.output,
            retry: self.sendings > 1,
            key,
            fingerprint: self.fingerprint,
            deadline,
        })
    }
}
