//! Models of prefill and decode engines and of plain services.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::Rng;
use teaselshunt_core::{AttemptId, EndpointId, EngineLoad, Event, Running, StepFailure, Ticket};
use teaselshunt_settings::Role;

use super::crashes::RESTART;
use super::network::{Network, Side};
use super::{Deployment, Happening, Options, World};

/// How long a prefill result is kept.
const KEEP: Duration = Duration::from_millis(800);
/// How long a service works on a call.
const SERVICE: Duration = Duration::from_millis(20);
/// Prefills that an engine takes on, running and waiting.
const PREFILLS: usize = 12;

/// How fast engines are.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpeed {
    /// Prompt tokens prefilled a second, one prompt at a time.
    pub prefill_tokens_per_s: f64,
    /// Time of a decode step with an empty batch.
    pub base_step: Duration,
    /// Added for each stream of the batch.
    pub step_per_stream: Duration,
    /// Bytes of KV cache for each prompt token.
    pub kv_token_bytes: u64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 12_000.0,
            base_step: Duration::from_millis(20),
            step_per_stream: Duration::from_micros(1_200),
            kv_token_bytes: 100_000,
        }
    }
}

impl EngineSpeed {
    /// Time of a decode step with `streams` streams.
    pub fn decode_step(&self, streams: u32) -> Duration {
        self.base_step + self.step_per_stream * streams
    }
}

/// A step on its way to an endpoint, or at work there.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) node: usize,
    pub(super) life: u32,
    pub(super) ticket: Ticket,
    pub(super) attempt: AttemptId,
    pub(super) task: Task,
}

#[derive(Debug, Clone)]
pub(super) enum Task {
    Prefill { tokens: u32, priority: u8 },
    Import { cache: AttemptId, origin: usize },
    Decode { resume: Option<AttemptId>, offset: u32, length: u32 },
    Cancel,
    Poll,
    Call { body: usize },
}

#[derive(Debug)]
struct Waiting {
    job: Job,
    tokens: u32,
}

#[derive(Debug)]
struct Cache {
    tokens: u32,
    until: Duration,
}

#[derive(Debug)]
struct Stream {
    job: Job,
    made: u32,
    length: u32,
    /// Tokens that the reader has.
    read: u32,
    /// Whether the connection was lost track of.
    silent: bool,
}

#[derive(Debug)]
enum Held {
    /// A slot is kept for a transfer.
    Incoming,
    Imported,
    Stream(Stream),
}

/// One endpoint.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) id: EndpointId,
    pub(super) domain: usize,
    role: Role,
    slots: usize,
    /// Prefills by priority and arrival.
    queue: BTreeMap<(u8, u64), Waiting>,
    working: Option<(u64, Waiting)>,
    number: u64,
    caches: BTreeMap<AttemptId, Cache>,
    held: BTreeMap<AttemptId, Held>,
    stepping: bool,
    /// Reports taken at their times, to be shown when they are old enough.
    reports: VecDeque<(Duration, Vec<AttemptId>)>,
    pub(super) stalled: bool,
    pub(super) refusing: bool,
    /// When it is back after a crash.
    pub(super) back: Duration,
    /// Streams started.
    pub(super) started: u64,
}

impl Engine {
    pub(super) fn all(deployment: &Deployment, _: &Options) -> Vec<Self> {
        let configuration = &deployment.configuration;
        let domain = |name: &str| configuration.domains.iter().position(|d| d.name == name).unwrap_or(0);
        let engines = configuration.endpoints.iter().map(|e| Self {
            id: EndpointId::of(&e.name),
            domain: domain(&e.domain),
            role: e.role,
            slots: e.slots as usize,
            queue: BTreeMap::new(),
            working: None,
            number: 0,
            caches: BTreeMap::new(),
            held: BTreeMap::new(),
            stepping: false,
            reports: VecDeque::new(),
            stalled: false,
            refusing: false,
            back: Duration::ZERO,
            started: 0,
        });
        engines.collect()
    }

    /// Tries that it holds memory for.
    pub(super) fn holds(&self, now: Duration) -> Vec<AttemptId> {
        let mut holds: Vec<AttemptId> = self.held.keys().copied().collect();
        holds.extend(self.queue.values().map(|w| w.job.attempt));
        holds.extend(self.working.iter().map(|(_, w)| w.job.attempt));
        holds.extend(self.caches.iter().filter(|(_, c)| c.until > now).map(|(&a, _)| a));
        holds
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.held.remove(&attempt);
        self.caches.remove(&attempt);
        self.queue.retain(|_, w| w.job.attempt != attempt);
        // A prefill at work is not interrupted; its result is dropped when it ends.
        if let Some((number, waiting)) = &mut self.working
            && waiting.job.attempt == attempt
        {
            *number = u64::MAX;
        }
    }

    /// Whether its process does not run.
    pub(super) fn is_down(&self, now: Duration) -> bool {
        now < self.back
    }

    /// Ends its process; gives the steps whose connections break with it.
    pub(super) fn crash(&mut self, now: Duration) -> Vec<Job> {
        self.back = now + RESTART;
        let queued = std::mem::take(&mut self.queue).into_values().map(|waiting| waiting.job);
        let working = self.working.take().map(|(_, waiting)| waiting.job);
        let streams = std::mem::take(&mut self.held).into_values().filter_map(|held| match held {
            Held::Stream(stream) => Some(stream.job),
            Held::Incoming | Held::Imported => None,
        });
        self.caches.clear();
        self.reports.clear();
        queued.chain(working).chain(streams).collect()
    }

    fn streams(&self) -> u32 {
        self.held.values().filter(|h| matches!(h, Held::Stream(_))).count() as u32
    }

    /// Loses track of the connections of all streams.
    pub(super) fn silence(&mut self) {
        for held in self.held.values_mut() {
            if let Held::Stream(stream) = held {
                stream.silent = true;
            }
        }
    }
}

impl World {
    /// A step has arrived at an endpoint.
    pub(super) fn reach(&mut self, endpoint: usize, job: Job) {
        if self.engines[endpoint].is_down(self.now) {
            return self.refuse_connection(endpoint, &job);
        }
        match job.task.clone() {
            Task::Prefill { tokens, priority } => self.reach_prefill(endpoint, &job, tokens, priority),
            Task::Import { cache, origin } => self.reach_import(endpoint, job, cache, origin),
            Task::Decode { resume, offset, length } => {
                self.reach_decode(endpoint, &job, resume, offset, length);
            }
            Task::Cancel => {
                self.engines[endpoint].cancel(job.attempt);
                let id = self.engines[endpoint].id;
                let event = Event::Cancelled { attempt: job.attempt, endpoint: id, confirmed: true };
                self.reply(endpoint, &job, event);
            }
            Task::Poll => self.reach_poll(endpoint, &job),
            Task::Call { .. } => {
                self.note_work(endpoint, &job);
                self.after(SERVICE, Happening::Served { endpoint, job });
            }
        }
    }

    pub(super) fn fail(&mut self, endpoint: usize, job: &Job, fault: StepFailure) {
        let offset = self.offset(job);
        self.reply(endpoint, job, Event::Failed { attempt: job.attempt, failure: fault, offset });
    }

    /// Sends an answer back, unless the way is cut.
    pub(super) fn reply(&mut self, endpoint: usize, job: &Job, event: Event) {
        let (from, to) = (self.engines[endpoint].domain, self.nodes[job.node].domain);
        if self.network.is_cut(Side::Domain(from), Side::Domain(to)) {
            return;
        }
        let delay = Network::delay(from, to, &mut self.rng);
        self.after(delay, Happening::Result { node: job.node, life: job.life, event });
    }

    fn reach_prefill(&mut self, endpoint: usize, job: &Job, tokens: u32, priority: u8) {
        let engine = &mut self.engines[endpoint];
        if engine.refusing || engine.queue.len() >= PREFILLS {
            return self.fail(endpoint, job, StepFailure::Busy);
        }
        engine.number += 1;
        engine.queue.insert((priority, engine.number), Waiting { job: job.clone(), tokens });
        self.note_work(endpoint, job);
        self.next_prefill(endpoint);
    }

    fn next_prefill(&mut self, endpoint: usize) {
        let engine = &mut self.engines[endpoint];
        if engine.working.is_some() || engine.stalled {
            return;
        }
        let Some(((_, number), waiting)) = engine.queue.pop_first() else {
            return;
        };
        let took =
            Duration::from_secs_f64(f64::from(waiting.tokens) / self.options.speed.prefill_tokens_per_s);
        self.tally.prefilled_tokens += u64::from(waiting.tokens);
        engine.working = Some((number, waiting));
        self.after(took, Happening::PrefillEnd { endpoint, number });
    }

    pub(super) fn prefill_end(&mut self, endpoint: usize, number: u64) {
        let now = self.now;
        let engine = &mut self.engines[endpoint];
        if engine.stalled {
            return;
        }
        let Some((current, waiting)) = engine.working.take() else {
            return;
        };
        if current == number {
            let attempt = waiting.job.attempt;
            engine.caches.insert(attempt, Cache { tokens: waiting.tokens, until: now + KEEP });
            let bytes = u64::from(waiting.tokens) * self.options.speed.kv_token_bytes;
            self.reply(endpoint, &waiting.job, Event::Prefilled { attempt, bytes, cached: 0 });
        } else if current != u64::MAX {
            // The end of an earlier one; this one is still at work.
            engine.working = Some((current, waiting));
            return;
        }
        self.next_prefill(endpoint);
    }

    fn reach_import(&mut self, endpoint: usize, job: Job, cache: AttemptId, origin: usize) {
        let engine = &mut self.engines[endpoint];
        if engine.refusing || engine.held.len() >= engine.slots {
            return self.fail(endpoint, &job, StepFailure::Busy);
        }
        engine.held.insert(job.attempt, Held::Incoming);
        self.note_work(endpoint, &job);
        let (from, to) = (self.engines[origin].domain, self.engines[endpoint].domain);
        let cut = self.network.is_cut(Side::Domain(from), Side::Domain(to));
        let held = self.engines[origin].caches.get(&cache).filter(|c| c.until > self.now);
        let Some(held) = held.filter(|_| !cut) else {
            self.engines[endpoint].held.remove(&job.attempt);
            return self.fail(endpoint, &job, StepFailure::Evicted);
        };
        let bytes = u64::from(held.tokens) * self.options.speed.kv_token_bytes;
        let at = self.network.transfer(self.now, from, to, bytes);
        self.put(at, Happening::Moved { endpoint, job, origin });
    }

    pub(super) fn moved(&mut self, endpoint: usize, job: &Job, origin: usize) {
        let Task::Import { cache, .. } = job.task else {
            return;
        };
        let now = self.now;
        let kept = self.engines[origin].caches.remove(&cache).is_some_and(|c| c.until > now);
        let engine = &mut self.engines[endpoint];
        if engine.stalled || !engine.held.contains_key(&job.attempt) {
            return;
        }
        if !kept {
            engine.held.remove(&job.attempt);
            return self.fail(endpoint, job, StepFailure::Evicted);
        }
        engine.held.insert(job.attempt, Held::Imported);
        self.reply(endpoint, job, Event::Imported { attempt: job.attempt });
    }

    fn reach_decode(
        &mut self,
        endpoint: usize,
        job: &Job,
        resume: Option<AttemptId>,
        offset: u32,
        length: u32,
    ) {
        let engine = &mut self.engines[endpoint];
        let begun = match resume {
            Some(old) => match engine.held.remove(&old) {
                Some(Held::Stream(stream)) => {
                    let stream = Stream { job: job.clone(), read: offset, silent: false, ..stream };
                    engine.held.insert(job.attempt, Held::Stream(stream));
                    true
                }
                _ => false,
            },
            None => match engine.held.get_mut(&job.attempt) {
                Some(held @ Held::Imported) => {
                    let made = offset;
                    let stream = Stream { job: job.clone(), made, length, read: offset, silent: false };
                    *held = Held::Stream(stream);
                    engine.started += 1;
                    true
                }
                _ => false,
            },
        };
        if !begun {
            return self.fail(endpoint, job, StepFailure::Evicted);
        }
        if self.is_deadly(job) {
            return self.crash(endpoint, job);
        }
        self.arm_decode(endpoint);
    }

    pub(super) fn arm_decode(&mut self, endpoint: usize) {
        let engine = &mut self.engines[endpoint];
        let streams = engine.streams();
        if engine.stepping || engine.stalled || streams == 0 {
            return;
        }
        engine.stepping = true;
        let step = self.options.speed.decode_step(streams);
        self.after(step, Happening::DecodeStep { endpoint });
    }

    pub(super) fn decode_step(&mut self, endpoint: usize) {
        let engine = &mut self.engines[endpoint];
        engine.stepping = false;
        if engine.stalled {
            return;
        }
        let attempts: Vec<AttemptId> = engine.held.keys().copied().collect();
        for attempt in attempts {
            self.advance(endpoint, attempt);
        }
        self.arm_decode(endpoint);
    }

    /// One more token of a stream; whatever its reader can get, it gets.
    fn advance(&mut self, endpoint: usize, attempt: AttemptId) {
        let Some(Held::Stream(stream)) = self.engines[endpoint].held.get_mut(&attempt) else {
            return;
        };
        stream.made = (stream.made + 1).min(stream.length);
        let (job, made, length) = (stream.job.clone(), stream.made, stream.length);
        let (from, to) = (self.engines[endpoint].domain, self.nodes[job.node].domain);
        let cut = self.network.is_cut(Side::Domain(from), Side::Domain(to));
        let open = self.connected(&job);
        let Some(Held::Stream(stream)) = self.engines[endpoint].held.get_mut(&attempt) else {
            return;
        };
        if cut {
            // What was on the way is lost with the connection.
            stream.silent = true;
        }
        if stream.silent || !open {
            return;
        }
        let first = stream.read == 0;
        stream.read = made;
        let done = made >= length;
        if done {
            self.engines[endpoint].held.remove(&attempt);
        }
        self.progress(&job, made);
        let event = if done {
            Event::Finished { attempt, offset: made, stored: None }
        } else if first {
            Event::Advanced { attempt, offset: made }
        } else {
            return;
        };
        self.reply(endpoint, &job, event);
    }

    fn reach_poll(&mut self, endpoint: usize, job: &Job) {
        let now = self.now;
        let engine = &mut self.engines[endpoint];
        let holds = engine.holds(now);
        engine.reports.push_back((now, holds));
        let lag = self.options.report_lag;
        while engine.reports.len() > 1 && engine.reports[1].0 + lag <= now {
            engine.reports.pop_front();
        }
        let shown = engine.reports.front().filter(|(at, _)| *at + lag <= now);
        let running = shown.map_or(Vec::new(), |(_, attempts)| attempts.clone());
        let running = running.into_iter().map(|attempt| Running { attempt }).collect();
        let report = EngineLoad { running, waiting: engine.queue.len() as u32, leaving: false };
        let event = Event::Reported { endpoint: engine.id, report };
        self.reply(endpoint, job, event);
    }

    pub(super) fn served(&mut self, endpoint: usize, job: &Job) {
        let Task::Call { body } = job.task else {
            return;
        };
        self.callers[body].ran += 1;
        if self.callers[body].ran > 1 && !self.callers[body].asked.idempotent {
            let text = format!("{:?}: a call that may not be repeated ran twice, {}", self.now, job.attempt);
            self.tally.violations.push(text);
        }
        let stored =
            teaselshunt_core::StoredResponse { status: 200, content_type: String::new(), body: Vec::new() };
        if self.engines[endpoint].stalled {
            return;
        }
        self.reply(endpoint, job, Event::Called { attempt: job.attempt, stored: Some(stored) });
    }

    /// A stalled engine goes on.
    pub(super) fn unstall(&mut self, endpoint: usize) {
        self.engines[endpoint].stalled = false;
        if let Some((number, _)) = &self.engines[endpoint].working {
            let number = *number;
            self.after(Duration::from_millis(10), Happening::PrefillEnd { endpoint, number });
        }
        self.next_prefill(endpoint);
        self.arm_decode(endpoint);
    }

    pub(super) fn random_endpoint(&mut self, role: Role) -> Option<usize> {
        let fitting: Vec<usize> =
            self.engines.iter().enumerate().filter(|(_, e)| e.role == role).map(|(i, _)| i).collect();
        (!fitting.is_empty()).then(|| fitting[self.rng.random_range(0..fitting.len())])
    }
}
