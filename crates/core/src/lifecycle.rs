//! The steps of a request, from its arrival to its single final response.
//!
//! ```text
//! arrived -> [claiming] -> waiting -> prefilling -> importing -> decoding -> finished
//!                            ^  \---> calling ----------------------------> called
//!                            |            \ failed
//!                            +- requeued <-+
//! ```
//!
//! A prefill engine keeps the result of a prefill for less than a second. A prefill therefore starts only
//! when a decode slot is reserved for its result: the slots of both engines are taken together. A request is
//! refused when it has waited for longer than its class may, and on arrival if it would have to wait for
//! longer.

use std::time::{Duration, Instant};

use teaselshunt_settings::{Role, Team};

use crate::endpoints::Need;
use crate::event::{Audit, Effect, StepFailure, StoredResponse, Work};
use crate::ids::{EndpointKey, RequestKey};
use crate::instance::Instance;
use crate::message::ClaimOutcome;
use crate::queue::Queue;
use crate::requests::{Cache, Kind, Phase, Request};
use crate::{AttemptId, Ticket};

/// `Retry-After` delay of an instance that is shutting down or has no configuration yet. The load balancer
/// sends the retry to another instance.
pub(crate) const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_secs(1);
/// Cost of a second or later attempt, in the hundredths that the retry budget counts.
pub(crate) const RETRY_COST: u32 = 100;
/// Maximum retry budget in hundredths of an attempt.
const RETRY_BUDGET_MAX: u32 = 50 * RETRY_COST;

impl Instance {
    pub(crate) fn arrived(&mut self, now: Instant, ticket: Ticket, work: Work, out: &mut Vec<Effect>) {
        self.counters.arrived += 1;
        let new_request = match self.new_request(ticket, work) {
            Ok(new_request) => new_request,
            Err(refusal) => return self.refuse_unopened(ticket, refusal, out),
        };
        let retry_percent = self.policy().retry_percent;
        self.retry_budget = (self.retry_budget + retry_percent).min(RETRY_BUDGET_MAX);
        out.push(Effect::Accept { ticket, request: new_request.id });
        let key = self.requests.open(now, new_request);
        if let Err(refusal) = self.charge(now, key) {
            return self.refuse(now, key, refusal, out);
        }
        match self.requests.get(key).caller_key {
            Some(_) => self.claim(now, key, out),
            None => self.admit(now, key, out),
        }
    }

    /// Queues a request, or refuses it at once if it would wait for longer than its class may.
    pub(crate) fn admit(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        self.decide_part_test(now, key);
        if let Some(refusal) = self.quarantine_refusal(now, key) {
            return self.refuse(now, key, refusal, out);
        }
        let request = self.requests.get(key);
        if !self.has_endpoints(now, request) || self.expected_wait(now, request) > request.wait {
            let refusal = self.no_slot_refusal(now, request);
            return self.refuse(now, key, refusal, out);
        }
        let pool = request.pool.clone();
        self.enqueue(now, key, out);
        self.start_queued(now, &pool, out);
    }

    /// Whether each step of a request has an endpoint that takes new work, full or not.
    pub(crate) fn has_endpoints(&self, now: Instant, request: &Request) -> bool {
        request.kind.roles().iter().all(|&r| self.endpoints.has_open(now, &request.pool, r))
    }

    pub(crate) fn enqueue(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let request = self.requests.get_mut(key);
        request.phase = Phase::Waiting;
        let due = request.wait_end(now);
        self.requests.set_due(key, due);
        if self.uses_owner(key) {
            self.request_reservation(now, key, out);
        } else {
            self.enqueue_locally(key);
        }
    }

    /// Puts a request into the queue of this instance, which then chooses its endpoints without the owner.
    pub(crate) fn enqueue_locally(&mut self, key: RequestKey) {
        let request = self.requests.get_mut(key);
        request.reservation = None;
        let queue = self.queues.entry(request.pool.clone()).or_default();
        if request.attempts == 0 {
            queue.push(request.priority, &request.team, key);
        } else {
            queue.push_front(request.priority, &request.team, key);
        }
    }

    /// Expected time of a new request in the queue: the requests ahead of it times the average time for which
    /// requests of this pool hold a slot, divided by the slots.
    pub(crate) fn expected_wait(&self, now: Instant, request: &Request) -> Duration {
        let ahead = self.queues.get(&request.pool).map_or(0, |q| q.ahead(request.priority));
        let slots = self.endpoints.capacity(now, &request.pool, request.kind.slot_role()).max(1);
        let held = self.slot_hold_times.get(&request.pool).copied().unwrap_or_default();
        held * (ahead as u32) / slots
    }

    /// Starts requests that wait here while there are free slots.
    pub(crate) fn start_queued(&mut self, now: Instant, pool: &str, out: &mut Vec<Effect>) {
        while let Some(key) = self.queues.get(pool).and_then(Queue::peek) {
            if !self.start(now, key, out) {
                if self.leaves_out_room(now, key) {
                    self.end_search(now, key, out);
                }
                return;
            }
            let teams = self.versions.current().map(|c| c.teams.as_slice()).unwrap_or_default();
            let taken = self.queues.get_mut(pool).and_then(|q| q.pop(|name| team_weight(teams, name)));
            assert!(taken == Some(key), "the started request is the next one in the queue");
        }
    }

    pub(crate) fn start_all_queued(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let waiting = self.queues.iter().filter(|(_, q)| q.len() > 0);
        let pools: Vec<String> = waiting.map(|(pool, _)| pool.clone()).collect();
        for pool in pools {
            self.start_queued(now, &pool, out);
        }
    }

    /// Takes slots for a request and sends it; `false` if no slots are free.
    pub(crate) fn start(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) -> bool {
        match self.requests.get(key).kind {
            Kind::Generate { .. } => self.start_prefill(now, key, out),
            Kind::Call { timeout, .. } => self.start_call(now, key, timeout, out),
        }
    }

    pub(crate) fn start_prefill(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) -> bool {
        let Some(decode) = self.choose_endpoint(now, key, Role::Decode) else {
            return false;
        };
        let Some(prefill) = self.choose_endpoint(now, key, Role::Prefill) else {
            return false;
        };
        self.send_prefill(now, key, prefill, decode, out);
        true
    }

    /// Starts a prefill with a decode slot reserved for its result.
    pub(crate) fn send_prefill(
        &mut self,
        now: Instant,
        key: RequestKey,
        prefill: EndpointKey,
        decode: EndpointKey,
        out: &mut Vec<Effect>,
    ) {
        self.endpoints.take_slot(decode);
        self.endpoints.take_slot(prefill);
        let timeout = self.step_timeout();
        let target = self.endpoints.get(prefill).target();
        let request = self.begin_attempt(key, Phase::Prefilling { prefill, decode });
        request.slot_taken = now;
        request.resumed_from = None;
        request.silent_since = None;
        let effect = Effect::Prefill {
            ticket: request.ticket,
            attempt: request.attempt(),
            target,
            kept: request.kept.map(|kept| request.numbered(kept.number)),
            priority: request.priority,
            timeout,
        };
        out.push(effect);
        self.watch_deadline(key);
    }

    pub(crate) fn start_call(
        &mut self,
        now: Instant,
        key: RequestKey,
        timeout: Duration,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(endpoint) = self.choose_endpoint(now, key, Role::Service) else {
            return false;
        };
        self.endpoints.take_slot(endpoint);
        let target = self.endpoints.get(endpoint).target();
        let request = self.begin_attempt(key, Phase::Calling { endpoint });
        request.slot_taken = now;
        let remaining = request.deadline.saturating_duration_since(now);
        let effect = Effect::Call {
            ticket: request.ticket,
            attempt: request.attempt(),
            target,
            timeout: timeout.min(remaining),
        };
        out.push(effect);
        self.watch_deadline(key);
        true
    }

    /// Starts the next attempt.
    pub(crate) fn begin_attempt(&mut self, key: RequestKey, phase: Phase) -> &mut Request {
        let request = self.requests.get_mut(key);
        request.phase = phase;
        request.attempts += 1;
        request.number = request.attempts;
        request
    }

    /// A running request has no other timer here than its deadline; its driver enforces the timeouts of the
    /// steps.
    pub(crate) fn watch_deadline(&mut self, key: RequestKey) {
        let deadline = self.requests.get(key).deadline;
        self.requests.set_due(key, deadline);
    }

    pub(crate) fn choose_endpoint(
        &mut self,
        now: Instant,
        key: RequestKey,
        role: Role,
    ) -> Option<EndpointKey> {
        let max_load_percent = match role {
            Role::Prefill => self.policy().backlog_percent,
            Role::Decode | Role::Service => 100,
        };
        let request = self.requests.get(key);
        let domain = &self.identity.domain;
        let mut need = Need { pool: &request.pool, role, domain, tried: &request.tried, max_load_percent };
        let untried = self.endpoints.choose(now, &need, &mut self.rng);
        if untried.is_some() || request.tried.is_empty() {
            return untried;
        }
        // Every endpoint has failed this request once; any of them may be chosen again, unless it still runs the
        // request.
        let kept: Vec<EndpointKey> = request.kept.iter().map(|kept| kept.decode).collect();
        need.tried = &kept;
        self.endpoints.choose(now, &need, &mut self.rng)
    }

    pub(crate) fn prefilled(&mut self, now: Instant, attempt: AttemptId, out: &mut Vec<Effect>) {
        let Some(key) = self.requests.current(attempt) else {
            return;
        };
        let Phase::Prefilling { prefill, decode } = self.requests.get(key).phase else {
            return;
        };
        self.step_succeeded(prefill, out);
        self.record_prefill_time(now, key);
        self.release_prefill(now, key, prefill, out);
        self.count_prefill(key, decode);
        let request = self.requests.get_mut(key);
        let pool = request.pool.clone();
        request.cache = Some(Cache { attempt, prefill });
        request.prefill_ended = now;
        if !self.refuse_before_decode(now, key, decode, out) {
            // May refuse the request.
            self.import_unless_leaving(now, key, (prefill, decode), out);
        }
        self.start_queued(now, &pool, out);
    }

    /// Refuses a request that came into quarantine while it was prefilled or imported, and returns whether that is so: the decode
    /// would crash one more engine.
    fn refuse_before_decode(
        &mut self,
        now: Instant,
        key: RequestKey,
        decode: EndpointKey,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(refusal) = self.quarantine_refusal(now, key) else { return false };
        self.release_decode(now, key, decode, out);
        self.discard_cache(now, key, out);
        self.return_to_waiting(key);
        if !self.continue_kept_run(key, out) {
            self.refuse(now, key, refusal, out);
        }
        true
    }

    /// The decode slot was reserved before the prefill, and its endpoint may have started draining since. The
    /// import would be new work for that endpoint and goes to another one.
    pub(crate) fn import_unless_leaving(
        &mut self,
        now: Instant,
        key: RequestKey,
        (prefill, decode): (EndpointKey, EndpointKey),
        out: &mut Vec<Effect>,
    ) {
        if !self.endpoints.is_leaving(decode) {
            return self.send_import(key, prefill, decode, out);
        }
        self.release_decode(now, key, decode, out);
        let Some(other) = self.choose_endpoint(now, key, Role::Decode) else {
            self.discard_cache(now, key, out);
            self.return_to_waiting(key);
            return self.requeue_or_refuse(now, key, StepFailure::Leaving, out);
        };
        self.endpoints.take_slot(other);
        self.send_import(key, prefill, other, out);
    }

    pub(crate) fn send_import(
        &mut self,
        key: RequestKey,
        prefill: EndpointKey,
        decode: EndpointKey,
        out: &mut Vec<Effect>,
    ) {
        let timeout = self.step_timeout();
        let origin = self.endpoints.get(prefill).target();
        let target = self.endpoints.get(decode).target();
        let request = self.requests.get_mut(key);
        request.phase = Phase::Importing { prefill, decode };
        let effect =
            Effect::Import { ticket: request.ticket, attempt: request.attempt(), origin, target, timeout };
        out.push(effect);
    }

    pub(crate) fn imported(&mut self, now: Instant, attempt: AttemptId, out: &mut Vec<Effect>) {
        let Some(key) = self.requests.current(attempt) else {
            return;
        };
        let Phase::Importing { decode, .. } = self.requests.get(key).phase else {
            return;
        };
        self.step_succeeded(decode, out);
        self.requests.get_mut(key).cache = None;
        if self.quarantine_refusal(now, key).is_none() {
            return self.send_decode(key, decode, None, out);
        }
        let pool = self.requests.get(key).pool.clone();
        self.cancel(now, attempt, decode, out);
        self.refuse_before_decode(now, key, decode, out);
        self.start_queued(now, &pool, out);
    }

    pub(crate) fn send_decode(
        &mut self,
        key: RequestKey,
        decode: EndpointKey,
        resume: Option<AttemptId>,
        out: &mut Vec<Effect>,
    ) {
        let stall_timeout = Duration::from_millis(self.policy().stall_ms);
        let target = self.endpoints.get(decode).target();
        let request = self.requests.get_mut(key);
        request.phase = Phase::Decoding { decode };
        let effect = Effect::Decode {
            ticket: request.ticket,
            attempt: request.attempt(),
            target,
            resume,
            priority: request.priority,
            stall_timeout,
        };
        out.push(effect);
    }

    pub(crate) fn advanced(&mut self, now: Instant, attempt: AttemptId, offset: u32, out: &mut Vec<Effect>) {
        if let Some(key) = self.requests.keeping(attempt) {
            self.end_search(now, key, out);
        }
        let Some(key) = self.requests.current(attempt) else {
            return;
        };
        self.end_kept_run(now, key, out);
        assert!(offset >= self.requests.get(key).offset, "output offset of {attempt} decreased");
        self.record_first_token_delay(now, key);
        let request = self.requests.get_mut(key);
        request.offset = offset;
        request.first_token.get_or_insert(now);
        // The new stream has made progress. A later stall is a new failure, after which the stream may be
        // resumed again.
        request.resumed_from = None;
        request.silent_since = None;
        self.attempt_answered(now, key, out);
    }

    pub(crate) fn finished(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        offset: u32,
        stored: Option<StoredResponse>,
        out: &mut Vec<Effect>,
    ) {
        self.advanced(now, attempt, offset, out);
        let Some(key) = self.requests.current(attempt) else {
            return;
        };
        let Phase::Decoding { decode } = self.requests.get(key).phase else {
            return;
        };
        self.complete(now, key, decode, stored, out);
    }

    pub(crate) fn called(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        retry_after: Option<Duration>,
        stored: Option<StoredResponse>,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.requests.current(attempt) else {
            return;
        };
        let Phase::Calling { endpoint } = self.requests.get(key).phase else {
            return;
        };
        self.observe_cooldown(now, endpoint, retry_after, out);
        self.complete(now, key, endpoint, stored, out);
    }

    /// Records that the caller has the complete response.
    pub(crate) fn complete(
        &mut self,
        now: Instant,
        key: RequestKey,
        endpoint: EndpointKey,
        stored: Option<StoredResponse>,
        out: &mut Vec<Effect>,
    ) {
        self.step_succeeded(endpoint, out);
        self.count_response(now, key, endpoint);
        self.record_hold_time(now, key);
        self.release_decode(now, key, endpoint, out);
        let request = self.close_request(now, key);
        self.quarantine.observe_success(now, request.fingerprint);
        self.settle_claim(now, &request, ClaimOutcome::Ran(stored), out);
        self.start_queued(now, &request.pool, out);
    }

    pub(crate) fn caller_gone(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Effect>) {
        let Some(key) = self.requests.find(ticket) else {
            return;
        };
        self.counters.abandoned += 1;
        self.caller_left(now, key);
        let request = self.requests.get_mut(key);
        if request.caller_key.is_some() && matches!(request.phase, Phase::Calling { .. }) {
            // The call has been sent and cannot be revoked. Its response is awaited for the caller's retry,
            // which will ask for it with the same key.
            request.caller_gone = true;
            return;
        }
        let outcome = if request.may_have_run() { ClaimOutcome::Unknown } else { ClaimOutcome::NotRun };
        self.withdraw(now, key, out);
        let request = self.close_request(now, key);
        self.remember_unclaimed(now, &request);
        self.settle_claim(now, &request, outcome, out);
        self.start_queued(now, &request.pool, out);
    }

    /// Releases all that a request holds here and at endpoints, in any phase.
    pub(crate) fn withdraw(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        self.release_kept_run(now, key, out);
        self.withdraw_attempt(now, key, out);
    }

    /// Releases all that the attempt of the phase holds.
    pub(crate) fn withdraw_attempt(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let request = self.requests.get(key);
        let attempt = request.attempt();
        match request.phase {
            Phase::Claiming => {}
            Phase::Waiting if request.reservation.is_some() => self.withdraw_reservation(now, key, out),
            Phase::Waiting => {
                let (priority, team) = (request.priority, request.team.clone());
                if let Some(queue) = self.queues.get_mut(&request.pool) {
                    queue.remove(priority, &team, key);
                }
            }
            Phase::Prefilling { prefill, decode } => {
                self.cancel(now, attempt, prefill, out);
                self.count_cancelled_prefill(key, decode);
                self.release_prefill(now, key, prefill, out);
                self.release_decode(now, key, decode, out);
            }
            Phase::Importing { decode, .. } => {
                self.cancel(now, attempt, decode, out);
                self.release_decode(now, key, decode, out);
                self.discard_cache(now, key, out);
            }
            Phase::Decoding { decode } => {
                self.cancel(now, attempt, decode, out);
                if let Some(number) = self.requests.get(key).resumed_from {
                    self.cancel(now, AttemptId { number, ..attempt }, decode, out);
                }
                self.release_decode(now, key, decode, out);
            }
            Phase::Calling { endpoint } => self.endpoints.release_slot(endpoint),
        }
    }

    pub(crate) fn release_prefill(
        &mut self,
        now: Instant,
        key: RequestKey,
        prefill: EndpointKey,
        out: &mut Vec<Effect>,
    ) {
        self.endpoints.release_slot(prefill);
        self.release_lease(now, key, (true, false), out);
    }

    pub(crate) fn release_decode(
        &mut self,
        now: Instant,
        key: RequestKey,
        decode: EndpointKey,
        out: &mut Vec<Effect>,
    ) {
        self.endpoints.release_slot(decode);
        self.release_lease(now, key, (false, true), out);
    }

    /// Discards the KV cache of a finished prefill.
    pub(crate) fn discard_cache(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let Some(cache) = self.requests.get_mut(key).cache.take() else {
            return;
        };
        self.cancel(now, cache.attempt, cache.prefill, out);
        self.count_wasted_prefill(key, None);
    }

    pub(crate) fn cancel(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        endpoint: EndpointKey,
        out: &mut Vec<Effect>,
    ) {
        let target = self.endpoints.get(endpoint).target();
        if self.cancels.begin(now, attempt, target.id) {
            out.push(Effect::Cancel { attempt, target });
        }
    }

    pub(crate) fn step_succeeded(&mut self, endpoint: EndpointKey, out: &mut Vec<Effect>) {
        self.endpoint_reachable(self.endpoints.get(endpoint).target().id);
        if self.endpoints.observe_success(endpoint) {
            let name = self.endpoints.get(endpoint).name.clone();
            out.push(Effect::Audit(Audit::Endpoint { endpoint: name, reachable: true }));
        }
    }

    pub(crate) fn step_timeout(&self) -> Duration {
        Duration::from_millis(self.policy().step_ms)
    }
}

/// Weight of a team. All callers that the configuration does not name are one team of weight 1.
pub(crate) fn team_weight(teams: &[Team], name: &str) -> u32 {
    teams.iter().find(|t| t.name == name).map_or(1, |t| t.weight)
}
