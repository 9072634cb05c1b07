//! Models of prefill engines, decode engines and plain services.
//!
//! A prefill engine runs one prefill at a time and keeps the KV cache for a limited time. A decode engine has
//! slots and generates one token for every stream in each decode step. A slot that a failed instance leaves
//! behind stays occupied until the work in it is cancelled.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::Rng;
use teaselshunt_core::{AttemptId, EndpointId, EngineLoad, Event, Running, StepFailure, Ticket};
use teaselshunt_settings::Role;

use super::crashes::RESTART_TIME;
use super::drivers::Followed;
use super::network::{Network, Side};
use super::{Deployment, Options, SimEvent, World};

/// Time for which a prefill engine keeps a KV cache.
const KV_CACHE_TTL: Duration = Duration::from_millis(800);
/// Processing time of a call at a service.
const CALL_TIME: Duration = Duration::from_millis(20);
/// Maximum number of waiting prefills of an engine; the running one is not counted.
const QUEUE_LENGTH_MAX: usize = 12;

/// Speed of engines.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpeed {
    /// Prompt tokens that are prefilled a second; prompts are prefilled one at a time.
    pub prefill_tokens_per_s: f64,
    /// Duration of a decode step with an empty batch.
    pub base_step: Duration,
    /// Additional duration of a decode step for each stream of the batch.
    pub step_per_stream: Duration,
    /// Bytes of KV cache per prompt token.
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
    /// Duration of a decode step with `streams` streams.
    pub fn decode_step(&self, streams: u32) -> Duration {
        self.base_step + self.step_per_stream * streams
    }
}

/// A step of a request that is sent to an endpoint or in progress there.
#[derive(Debug, Clone)]
pub(super) struct SentStep {
    pub(super) node: usize,
    /// `transition_count` of the instance's node when the step was sent.
    pub(super) transition_count: u32,
    pub(super) ticket: Ticket,
    pub(super) attempt: AttemptId,
    pub(super) task: Task,
}

/// What an endpoint does in a step.
#[derive(Debug, Clone)]
pub(super) enum Task {
    Prefill {
        tokens: u32,
        priority: u8,
    },
    Import {
        cache_attempt: AttemptId,
        origin: usize,
    },
    /// `context` is the number of tokens before the first one that is to be generated.
    Decode {
        resume: Option<AttemptId>,
        offset: u32,
        context: u32,
        length: u32,
    },
    Cancel,
    Poll,
    Call {
        caller: usize,
    },
}

#[derive(Debug)]
struct QueuedPrefill {
    sent_step: SentStep,
    tokens: u32,
}

#[derive(Debug)]
struct KvCache {
    tokens: u32,
    expires_at: Duration,
}

#[derive(Debug)]
struct Stream {
    sent_step: SentStep,
    generated: u32,
    length: u32,
    /// Tokens that the instance has received.
    delivered: u32,
    /// Whether the connection to the instance is lost. The engine does not notice and goes on generating.
    is_disconnected: bool,
}

/// What a slot of a decode engine is used for.
#[derive(Debug)]
enum SlotUse {
    /// The slot is reserved while a KV cache is transferred.
    Incoming,
    /// The KV cache of so many tokens has arrived and decoding has not started.
    Imported(u32),
    Stream(Stream),
}

/// Model of one endpoint.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) id: EndpointId,
    pub(super) domain: usize,
    role: Role,
    slot_count: usize,
    /// Waiting prefills by priority and number.
    queue: BTreeMap<(u8, u64), QueuedPrefill>,
    /// The running prefill and its number; the number is `u64::MAX` if the prefill was cancelled.
    running_prefill: Option<(u64, QueuedPrefill)>,
    /// Number of the last prefill that was queued.
    prefill_number: u64,
    kv_caches: BTreeMap<AttemptId, KvCache>,
    used_slots: BTreeMap<AttemptId, SlotUse>,
    is_step_scheduled: bool,
    /// Load reports by the time of their measurement. A poll returns the newest report that is at least
    /// [`Options::report_lag`] old.
    load_reports: VecDeque<(Duration, Vec<AttemptId>)>,
    pub(super) stalled: bool,
    /// Steps that wait while the process is stopped; `None` while it runs.
    buffered: Option<Vec<SentStep>>,
    /// Number of the running prefill if its time has passed in a stall.
    overdue_prefill: Option<u64>,
    pub(super) refusing: bool,
    /// When the process runs again after a crash.
    pub(super) restart_end: Duration,
    /// Number of streams that were started.
    pub(super) streams_started: u64,
}

impl Engine {
    pub(super) fn all(deployment: &Deployment, _: &Options) -> Vec<Self> {
        let configuration = &deployment.configuration;
        let domain = |name: &str| configuration.domains.iter().position(|d| d.name == name).unwrap_or(0);
        let engines = configuration.endpoints.iter().map(|e| Self {
            id: EndpointId::of(&e.name),
            domain: domain(&e.domain),
            role: e.role,
            slot_count: e.slots as usize,
            queue: BTreeMap::new(),
            running_prefill: None,
            prefill_number: 0,
            kv_caches: BTreeMap::new(),
            used_slots: BTreeMap::new(),
            is_step_scheduled: false,
            load_reports: VecDeque::new(),
            stalled: false,
            buffered: None,
            overdue_prefill: None,
            refusing: false,
            restart_end: Duration::ZERO,
            streams_started: 0,
        });
        engines.collect()
    }

    /// Attempts that occupy memory of the engine.
    pub(super) fn held_attempts(&self, now: Duration) -> Vec<AttemptId> {
        let mut attempts: Vec<AttemptId> = self.used_slots.keys().copied().collect();
        attempts.extend(self.queue.values().map(|prefill| prefill.sent_step.attempt));
        attempts.extend(self.running_prefill.iter().map(|(_, prefill)| prefill.sent_step.attempt));
        attempts.extend(self.kv_caches.iter().filter(|(_, c)| c.expires_at > now).map(|(&a, _)| a));
        attempts
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.used_slots.remove(&attempt);
        self.kv_caches.remove(&attempt);
        self.queue.retain(|_, prefill| prefill.sent_step.attempt != attempt);
        // A running prefill is not interrupted; its KV cache is discarded when it ends.
        if let Some((prefill_number, prefill)) = &mut self.running_prefill
            && prefill.sent_step.attempt == attempt
        {
            *prefill_number = u64::MAX;
        }
    }

    /// Whether the process is not running.
    pub(super) fn is_down(&self, now: Duration) -> bool {
        now < self.restart_end
    }

    /// Ends the process and returns the steps whose connections break.
    pub(super) fn crash(&mut self, now: Duration) -> Vec<SentStep> {
        self.restart_end = now + RESTART_TIME;
        self.overdue_prefill = None;
        let queued = std::mem::take(&mut self.queue).into_values().map(|prefill| prefill.sent_step);
        let running_prefill = self.running_prefill.take().map(|(_, prefill)| prefill.sent_step);
        let streams =
            std::mem::take(&mut self.used_slots).into_values().filter_map(|slot_use| match slot_use {
                SlotUse::Stream(stream) => Some(stream.sent_step),
                SlotUse::Incoming | SlotUse::Imported(_) => None,
            });
        self.kv_caches.clear();
        self.load_reports.clear();
        let buffered = self.buffered.take().unwrap_or_default();
        queued.chain(running_prefill).chain(streams).chain(buffered).collect()
    }

    fn streams(&self) -> u32 {
        self.used_slots.values().filter(|s| matches!(s, SlotUse::Stream(_))).count() as u32
    }

    /// Disconnects all streams from their instances. The engine goes on generating.
    pub(super) fn disconnect_streams(&mut self) {
        for slot_use in self.used_slots.values_mut() {
            if let SlotUse::Stream(stream) = slot_use {
                stream.is_disconnected = true;
            }
        }
    }
}

impl World {
    /// Handles the arrival of a step at an endpoint.
    pub(super) fn receive_step(&mut self, endpoint: usize, sent_step: SentStep) {
        if self.engines[endpoint].is_down(self.now) {
            return self.refuse_connection(endpoint, &sent_step);
        }
        if let Some(buffered) = &mut self.engines[endpoint].buffered {
            if matches!(sent_step.task, Task::Poll) {
                return self.time_out_poll(endpoint, &sent_step);
            }
            return buffered.push(sent_step);
        }
        match sent_step.task.clone() {
            Task::Prefill { tokens, priority } => {
                self.receive_prefill(endpoint, &sent_step, tokens, priority);
            }
            Task::Import { cache_attempt, origin } => {
                self.receive_import(endpoint, sent_step, cache_attempt, origin);
            }
            Task::Decode { resume, offset, context, length } => {
                if resume.is_none() {
                    self.check_context(endpoint, &sent_step, context);
                }
                self.receive_decode(endpoint, &sent_step, resume, offset, length);
            }
            Task::Cancel => {
                self.engines[endpoint].cancel(sent_step.attempt);
                let id = self.engines[endpoint].id;
                let event = Event::Cancelled { attempt: sent_step.attempt, endpoint: id, confirmed: true };
                self.reply(endpoint, &sent_step, event);
            }
            Task::Poll => self.receive_poll(endpoint, &sent_step),
            Task::Call { .. } => {
                self.check_new_work(endpoint, &sent_step);
                self.schedule_after(CALL_TIME, SimEvent::CallEnd { endpoint, sent_step });
            }
        }
    }

    pub(super) fn fail(&mut self, endpoint: usize, sent_step: &SentStep, failure: StepFailure) {
        let offset = self.offset(sent_step);
        self.reply(endpoint, sent_step, Event::Failed { attempt: sent_step.attempt, failure, offset });
    }

    /// Sends the result of a step to its instance. The result is lost if the network is partitioned.
    pub(super) fn reply(&mut self, endpoint: usize, sent_step: &SentStep, event: Event) {
        let (from, to) = (self.engines[endpoint].domain, self.nodes[sent_step.node].domain);
        if self.network.is_partitioned(Side::Domain(from), Side::Domain(to)) {
            return;
        }
        let delay = Network::delay(from, to, &mut self.rng);
        self.schedule_after(
            delay,
            SimEvent::StepResult {
                node: sent_step.node,
                transition_count: sent_step.transition_count,
                event,
            },
        );
    }

    fn receive_prefill(&mut self, endpoint: usize, sent_step: &SentStep, tokens: u32, priority: u8) {
        let engine = &mut self.engines[endpoint];
        if engine.refusing || engine.queue.len() >= QUEUE_LENGTH_MAX {
            return self.fail(endpoint, sent_step, StepFailure::Busy { retry_after: None });
        }
        engine.prefill_number += 1;
        engine.queue.insert(
            (priority, engine.prefill_number),
            QueuedPrefill { sent_step: sent_step.clone(), tokens },
        );
        self.check_new_work(endpoint, sent_step);
        self.start_prefill(endpoint);
    }

    fn start_prefill(&mut self, endpoint: usize) {
        let engine = &mut self.engines[endpoint];
        if engine.running_prefill.is_some() || engine.stalled {
            return;
        }
        let Some(((_, prefill_number), prefill)) = engine.queue.pop_first() else {
            return;
        };
        let took =
            Duration::from_secs_f64(f64::from(prefill.tokens) / self.options.speed.prefill_tokens_per_s);
        self.tally.prefilled_tokens += u64::from(prefill.tokens);
        engine.running_prefill = Some((prefill_number, prefill));
        self.schedule_after(took, SimEvent::PrefillEnd { endpoint, number: prefill_number });
    }

    pub(super) fn finish_prefill(&mut self, endpoint: usize, prefill_number: u64) {
        let now = self.now;
        let engine = &mut self.engines[endpoint];
        if engine.stalled {
            let running = engine.running_prefill.as_ref().map(|(number, _)| *number);
            let is_current = |number: &u64| *number == prefill_number || *number == u64::MAX;
            engine.overdue_prefill = running.filter(is_current).or(engine.overdue_prefill);
            return;
        }
        let Some((current, prefill)) = engine.running_prefill.take() else {
            return;
        };
        if current == prefill_number {
            let attempt = prefill.sent_step.attempt;
            engine
                .kv_caches
                .insert(attempt, KvCache { tokens: prefill.tokens, expires_at: now + KV_CACHE_TTL });
            let bytes = u64::from(prefill.tokens) * self.options.speed.kv_token_bytes;
            self.reply(endpoint, &prefill.sent_step, Event::Prefilled { attempt, bytes, cached: 0 });
        } else if current != u64::MAX {
            // The event belongs to an earlier prefill; the current one is still running.
            engine.running_prefill = Some((current, prefill));
            return;
        }
        self.start_prefill(endpoint);
    }

    fn receive_import(
        &mut self,
        endpoint: usize,
        sent_step: SentStep,
        cache_attempt: AttemptId,
        origin: usize,
    ) {
        let engine = &mut self.engines[endpoint];
        if engine.refusing || engine.used_slots.len() >= engine.slot_count {
            return self.fail(endpoint, &sent_step, StepFailure::Busy { retry_after: None });
        }
        engine.used_slots.insert(sent_step.attempt, SlotUse::Incoming);
        self.check_new_work(endpoint, &sent_step);
        let (from, to) = (self.engines[origin].domain, self.engines[endpoint].domain);
        let partitioned = self.network.is_partitioned(Side::Domain(from), Side::Domain(to));
        let kv_cache = self.engines[origin].kv_caches.get(&cache_attempt).filter(|c| c.expires_at > self.now);
        let Some(kv_cache) = kv_cache.filter(|_| !partitioned) else {
            self.engines[endpoint].used_slots.remove(&sent_step.attempt);
            return self.fail(endpoint, &sent_step, StepFailure::Evicted);
        };
        let bytes = u64::from(kv_cache.tokens) * self.options.speed.kv_token_bytes;
        let at = self.network.transfer(self.now, from, to, bytes);
        self.schedule_at(at, SimEvent::TransferEnd { endpoint, sent_step, origin });
    }

    pub(super) fn finish_transfer(&mut self, endpoint: usize, sent_step: &SentStep, origin: usize) {
        let Task::Import { cache_attempt, .. } = sent_step.task else {
            return;
        };
        let now = self.now;
        let kv_cache = self.engines[origin].kv_caches.remove(&cache_attempt).filter(|c| c.expires_at > now);
        let engine = &mut self.engines[endpoint];
        if engine.stalled || !engine.used_slots.contains_key(&sent_step.attempt) {
            return;
        }
        let Some(kv_cache) = kv_cache else {
            engine.used_slots.remove(&sent_step.attempt);
            return self.fail(endpoint, sent_step, StepFailure::Evicted);
        };
        engine.used_slots.insert(sent_step.attempt, SlotUse::Imported(kv_cache.tokens));
        self.reply(endpoint, sent_step, Event::Imported { attempt: sent_step.attempt });
    }

    fn receive_decode(
        &mut self,
        endpoint: usize,
        sent_step: &SentStep,
        resume: Option<AttemptId>,
        offset: u32,
        length: u32,
    ) {
        let engine = &mut self.engines[endpoint];
        let has_begun = match resume {
            Some(old) => match engine.used_slots.remove(&old) {
                Some(SlotUse::Stream(stream)) => {
                    let stream = Stream {
                        sent_step: sent_step.clone(),
                        delivered: offset,
                        is_disconnected: false,
                        ..stream
                    };
                    engine.used_slots.insert(sent_step.attempt, SlotUse::Stream(stream));
                    true
                }
                _ => false,
            },
            None => match engine.used_slots.get_mut(&sent_step.attempt) {
                Some(slot_use @ SlotUse::Imported(_)) => {
                    let generated = offset;
                    let stream = Stream {
                        sent_step: sent_step.clone(),
                        generated,
                        length,
                        delivered: offset,
                        is_disconnected: false,
                    };
                    *slot_use = SlotUse::Stream(stream);
                    engine.streams_started += 1;
                    self.count_run(sent_step);
                    true
                }
                _ => false,
            },
        };
        if !has_begun {
            return self.fail(endpoint, sent_step, StepFailure::Evicted);
        }
        if self.crashes_engine(sent_step) {
            return self.crash(endpoint, sent_step);
        }
        self.schedule_decode_step(endpoint);
    }

    /// Checks that a run begins after the tokens of its KV cache. Otherwise its tokens would follow a text that the
    /// caller does not have.
    fn check_context(&mut self, endpoint: usize, sent_step: &SentStep, context: u32) {
        let slot_use = self.engines[endpoint].used_slots.get(&sent_step.attempt);
        if let Some(SlotUse::Imported(tokens)) = slot_use
            && *tokens != context
        {
            let attempt = sent_step.attempt;
            let text =
                format!("{:?}: {attempt} decodes after {context} tokens with a cache of {tokens}", self.now);
            self.tally.violations.push(text);
        }
    }

    pub(super) fn schedule_decode_step(&mut self, endpoint: usize) {
        let engine = &mut self.engines[endpoint];
        let streams = engine.streams();
        if engine.is_step_scheduled || engine.stalled || streams == 0 {
            return;
        }
        engine.is_step_scheduled = true;
        let step = self.options.speed.decode_step(streams);
        self.schedule_after(step, SimEvent::DecodeStep { endpoint });
    }

    pub(super) fn run_decode_step(&mut self, endpoint: usize) {
        let engine = &mut self.engines[endpoint];
        engine.is_step_scheduled = false;
        if engine.stalled {
            return;
        }
        let attempts: Vec<AttemptId> = engine.used_slots.keys().copied().collect();
        for attempt in attempts {
            self.generate_token(endpoint, attempt);
        }
        self.schedule_decode_step(endpoint);
    }

    /// Generates the next token of a stream, and delivers all tokens that its instance does not have yet.
    fn generate_token(&mut self, endpoint: usize, attempt: AttemptId) {
        let Some(SlotUse::Stream(stream)) = self.engines[endpoint].used_slots.get_mut(&attempt) else {
            return;
        };
        stream.generated = (stream.generated + 1).min(stream.length);
        let (sent_step, generated, length) = (stream.sent_step.clone(), stream.generated, stream.length);
        let (from, to) = (self.engines[endpoint].domain, self.nodes[sent_step.node].domain);
        let partitioned = self.network.is_partitioned(Side::Domain(from), Side::Domain(to));
        let is_open = self.is_connected(&sent_step);
        let Some(SlotUse::Stream(stream)) = self.engines[endpoint].used_slots.get_mut(&attempt) else {
            return;
        };
        if partitioned {
            // The connection breaks, and tokens that are in transit are lost.
            stream.is_disconnected = true;
        }
        if stream.is_disconnected || !is_open {
            return;
        }
        let first = stream.delivered == 0;
        stream.delivered = generated;
        let done = generated >= length;
        if done {
            self.engines[endpoint].used_slots.remove(&attempt);
        }
        let followed = self.record_progress(&sent_step, generated);
        self.tally.runs_kept += u64::from(followed == Some(Followed::Kept));
        self.tally.runs_replaced += u64::from(followed == Some(Followed::Replacement));
        if followed == Some(Followed::Replacement) {
            self.reply(endpoint, &sent_step, Event::Began { attempt });
        }
        let event = if done {
            Event::Finished { attempt, offset: generated, stored: None }
        } else if first || followed == Some(Followed::Kept) {
            Event::Advanced { attempt, offset: generated }
        } else {
            return;
        };
        self.reply(endpoint, &sent_step, event);
    }

    fn receive_poll(&mut self, endpoint: usize, sent_step: &SentStep) {
        let now = self.now;
        let engine = &mut self.engines[endpoint];
        let attempts = engine.held_attempts(now);
        engine.load_reports.push_back((now, attempts));
        let lag = self.options.report_lag;
        while engine.load_reports.len() > 1 && engine.load_reports[1].0 + lag <= now {
            engine.load_reports.pop_front();
        }
        let report = engine.load_reports.front().filter(|(at, _)| *at + lag <= now);
        let running = report.map_or(Vec::new(), |(_, attempts)| attempts.clone());
        let running = running.into_iter().map(|attempt| Running { attempt }).collect();
        let report = EngineLoad { running, waiting: engine.queue.len() as u32, leaving: false };
        let event = Event::Reported { endpoint: engine.id, report };
        self.reply(endpoint, sent_step, event);
    }

    pub(super) fn finish_call(&mut self, endpoint: usize, sent_step: &SentStep) {
        let Task::Call { caller } = sent_step.task else {
            return;
        };
        self.callers[caller].executions += 1;
        if self.callers[caller].executions > 1 && !self.callers[caller].spec.idempotent {
            let text = format!("{:?}: a non-idempotent call ran twice, {}", self.now, sent_step.attempt);
            self.tally.violations.push(text);
        }
        let stored =
            teaselshunt_core::StoredResponse { status: 200, content_type: String::new(), body: Vec::new() };
        if self.engines[endpoint].stalled {
            return;
        }
        self.reply(
            endpoint,
            sent_step,
            Event::Called { attempt: sent_step.attempt, retry_after: None, stored: Some(stored) },
        );
    }

    /// Stops the process of an engine. What it receives waits until the stall ends.
    pub(super) fn begin_silence(&mut self, endpoint: usize) {
        let engine = &mut self.engines[endpoint];
        engine.stalled = true;
        engine.buffered.get_or_insert_default();
    }

    /// Ends the stall of an engine, which then continues its work. A prefill whose time has passed meanwhile ends
    /// a moment later, and another one when its time has passed.
    pub(super) fn end_stall(&mut self, endpoint: usize) {
        let engine = &mut self.engines[endpoint];
        engine.stalled = false;
        let buffered = engine.buffered.take().unwrap_or_default();
        if let Some(prefill_number) = engine.overdue_prefill.take() {
            self.schedule_after(
                Duration::from_millis(10),
                SimEvent::PrefillEnd { endpoint, number: prefill_number },
            );
        }
        self.start_prefill(endpoint);
        self.schedule_decode_step(endpoint);
        for sent_step in buffered {
            self.receive_step(endpoint, sent_step);
        }
    }

    pub(super) fn random_endpoint(&mut self, role: Role) -> Option<usize> {
        let candidates: Vec<usize> =
            self.engines.iter().enumerate().filter(|(_, e)| e.role == role).map(|(i, _)| i).collect();
        (!candidates.is_empty()).then(|| candidates[self.rng.random_range(0..candidates.len())])
    }
}
