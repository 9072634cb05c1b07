//! Reactions to a failed step at an endpoint: resume the stream, use another endpoint, or refuse the request.
//!
//! Each reaction follows from what the failure proves. Only a step that was not started leaves the outcome
//! "not run" possible. A non-idempotent call is sent again only after such a step.

use std::time::{Duration, Instant};

use teaselshunt_settings::Role;

use crate::AttemptId;
use crate::error::{ErrorKind, Refusal};
use crate::event::{Audit, Effect, StepFailure};
use crate::ids::{EndpointKey, RequestKey};
use crate::instance::Instance;
use crate::lifecycle::{RETRY_COST, RETRY_ELSEWHERE_AFTER};
use crate::requests::{Kind, Phase};

impl Instance {
    pub(crate) fn step_failed(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        failure: StepFailure,
        offset: u32,
        out: &mut Vec<Effect>,
    ) {
        if let Some(key) = self.requests.keeping(attempt) {
            return self.kept_run_failed(now, key, failure, offset, out);
        }
        let Some(key) = self.requests.current(attempt) else {
            return;
        };
        let request = self.requests.get_mut(key);
        assert!(offset >= request.offset, "output offset of {attempt} decreased");
        request.offset = offset;
        let phase = request.phase;
        if let (StepFailure::Stalled, Phase::Decoding { decode }) = (failure, phase)
            && !self.leaves_silent(now, key, decode)
        {
            // The request is not lost. A poll shows when the engine answers again.
            return out.push(Effect::Poll { target: self.endpoints.get(decode).target() });
        }
        if matches!(failure, StepFailure::Broken | StepFailure::TimedOut | StepFailure::Stalled)
            && let Some(endpoint) = phase.endpoint()
        {
            self.request_lost(now, key, endpoint, out);
        }
        match phase {
            Phase::Claiming | Phase::Waiting => {}
            Phase::Prefilling { prefill, decode } => {
                self.prefill_failed(now, key, (prefill, decode), failure, out);
            }
            Phase::Importing { prefill, decode } => {
                self.import_failed(now, key, (prefill, decode), failure, out);
            }
            Phase::Decoding { decode } => self.decode_failed(now, key, decode, failure, out),
            Phase::Calling { endpoint } => self.call_failed(now, key, endpoint, failure, out),
        }
    }

    pub(crate) fn prefill_failed(
        &mut self,
        now: Instant,
        key: RequestKey,
        (prefill, decode): (EndpointKey, EndpointKey),
        failure: StepFailure,
        out: &mut Vec<Effect>,
    ) {
        self.record_endpoint_failure(now, prefill, failure, out);
        let request = self.requests.get_mut(key);
        let attempt = request.attempt();
        request.tried.push(prefill);
        request.phase = Phase::Waiting;
        request.maybe_reached_endpoint |= !failure.not_started();
        if !failure.not_started() {
            self.cancel(now, attempt, prefill, out);
        }
        self.release_prefill(now, key, prefill, out);
        self.release_decode(now, key, decode, out);
        self.requeue_or_refuse(now, key, failure, out);
    }

    pub(crate) fn import_failed(
        &mut self,
        now: Instant,
        key: RequestKey,
        (prefill, decode): (EndpointKey, EndpointKey),
        failure: StepFailure,
        out: &mut Vec<Effect>,
    ) {
        let attempt = self.requests.get(key).attempt();
        if failure == StepFailure::Evicted {
            self.requests.get_mut(key).tried.push(prefill);
        } else {
            self.record_endpoint_failure(now, decode, failure, out);
            self.requests.get_mut(key).tried.push(decode);
        }
        if !failure.not_started() {
            self.cancel(now, attempt, decode, out);
        }
        self.release_decode(now, key, decode, out);
        if failure.not_started() && self.import_elsewhere(now, key, prefill, out) {
            return;
        }
        self.discard_cache(now, key, out);
        self.return_to_waiting(key);
        self.requeue_or_refuse(now, key, failure, out);
    }

    /// Returns a request whose last attempt may have run to the waiting phase.
    pub(crate) fn return_to_waiting(&mut self, key: RequestKey) {
        let request = self.requests.get_mut(key);
        request.phase = Phase::Waiting;
        request.maybe_reached_endpoint = true;
    }

    /// Imports the KV cache at another decode engine. The failed engine did not start the import, so the
    /// cache is still valid.
    pub(crate) fn import_elsewhere(
        &mut self,
        now: Instant,
        key: RequestKey,
        prefill: EndpointKey,
        out: &mut Vec<Effect>,
    ) -> bool {
        if !self.may_attempt_again(now, key) {
            return false;
        }
        let Some(decode) = self.choose_endpoint(now, key, Role::Decode) else {
            return false;
        };
        self.charge_retry_budget();
        self.endpoints.take_slot(decode);
        self.begin_attempt(key, Phase::Importing { prefill, decode });
        self.send_import(key, prefill, decode, out);
        true
    }

    pub(crate) fn decode_failed(
        &mut self,
        now: Instant,
        key: RequestKey,
        decode: EndpointKey,
        failure: StepFailure,
        out: &mut Vec<Effect>,
    ) {
        let stream_interrupted =
            matches!(failure, StepFailure::Stalled | StepFailure::Broken | StepFailure::TimedOut);
        let request = self.requests.get_mut(key);
        let attempt = request.attempt();
        if stream_interrupted && request.resumed_from.is_none() {
            // A connection can stop delivering data for good while the engine continues and new connections
            // work. The caller would see its response stop in the middle. Resuming the stream on a new
            // connection, at the offset that the caller has, costs only the pause, and the engine itself
            // reports whether it still has the request.
            self.begin_attempt(key, Phase::Decoding { decode }).resumed_from = Some(attempt.number);
            self.counters.resumed += 1;
            return self.send_decode(key, decode, Some(attempt), out);
        }
        if failure == StepFailure::Stalled && request.kept.is_none() {
            return self.search_beside(now, key, decode, out);
        }
        request.tried.push(decode);
        let resumed_from = request.resumed_from.take().map(|number| request.numbered(number));
        self.record_endpoint_failure(now, decode, failure, out);
        self.cancel(now, attempt, decode, out);
        if let Some(earlier) = resumed_from {
            self.cancel(now, earlier, decode, out);
        }
        self.count_wasted_prefill(key, Some(decode));
        self.release_decode(now, key, decode, out);
        self.return_to_waiting(key);
        self.requeue_or_refuse(now, key, failure, out);
    }

    /// Whether the stream that `decode` runs, and that makes no progress, is to be resumed or run elsewhere.
    ///
    /// A stream is first resumed at the same engine: its connection may be dead. If it still makes no progress, the engine
    /// may be silent for a moment, alone or with all others. Another attempt is better only if one is allowed, and if
    /// either the engine answers polls and has lost the stream, or others answer that could run it.
    fn leaves_silent(&mut self, now: Instant, key: RequestKey, decode: EndpointKey) -> bool {
        let stall = Duration::from_millis(self.policy().stall_ms);
        let request = self.requests.get_mut(key);
        let (pool, resumed) = (request.pool.clone(), request.resumed_from.is_some());
        // An engine that was silent as well since the last token has answered nothing in the second half of the time.
        let earliest = now.checked_sub(stall / 2).unwrap_or(now);
        let since = *request.silent_since.get_or_insert(earliest);
        // Engines are polled by the owner of their pool alone, unless another instance needs their reports.
        self.fallbacks.insert(pool.clone(), now);
        if !resumed {
            return true;
        }
        let answers = |role| self.endpoints.answers_since(now, &pool, role, decode, since);
        let is_alive = self.endpoints.get(decode).has_reported_since(since);
        self.may_attempt_again(now, key) && (is_alive || (answers(Role::Decode) && answers(Role::Prefill)))
    }

    pub(crate) fn call_failed(
        &mut self,
        now: Instant,
        key: RequestKey,
        endpoint: EndpointKey,
        failure: StepFailure,
        out: &mut Vec<Effect>,
    ) {
        self.record_endpoint_failure(now, endpoint, failure, out);
        self.endpoints.release_slot(endpoint);
        let request = self.requests.get_mut(key);
        request.tried.push(endpoint);
        let Kind::Call { repeatable, .. } = request.kind else {
            unreachable!("only calls are in the calling phase");
        };
        request.phase = Phase::Waiting;
        request.maybe_reached_endpoint |= !failure.not_started();
        if !failure.not_started() && !repeatable {
            return self.refuse(now, key, Refusal::new(ErrorKind::OutcomeUnknown), out);
        }
        self.requeue_or_refuse(now, key, failure, out);
    }

    /// Queues the request for another attempt. If there is to be none, its kept run goes on alone, or it is refused.
    pub(crate) fn requeue_or_refuse(
        &mut self,
        now: Instant,
        key: RequestKey,
        failure: StepFailure,
        out: &mut Vec<Effect>,
    ) {
        let request = self.requests.get(key);
        let pool = request.pool.clone();
        let ran = request.may_have_run();
        let is_final = failure == StepFailure::Rejected
            || self.quarantine_refusal(now, key).is_some()
            || !self.may_attempt_again(now, key);
        if is_final && self.continue_kept_run(key, out) {
            // Its next stall begins another search, if that is allowed then.
        } else if failure == StepFailure::Rejected {
            self.refuse(now, key, Refusal::new(ErrorKind::Rejected), out);
        } else if let Some(refusal) = self.quarantine_refusal(now, key) {
            self.refuse(now, key, refusal, out);
        } else if self.may_attempt_again(now, key) {
            self.charge_retry_budget();
            self.enqueue(now, key, out);
        } else if ran {
            self.refuse(now, key, Refusal::retryable(ErrorKind::EndpointFailed, RETRY_ELSEWHERE_AFTER), out);
        } else {
            self.refuse(now, key, Refusal::retryable(ErrorKind::NoEndpoint, RETRY_ELSEWHERE_AFTER), out);
        }
        self.start_queued(now, &pool, out);
    }

    pub(crate) fn may_attempt_again(&self, now: Instant, key: RequestKey) -> bool {
        let request = self.requests.get(key);
        let allowed =
            request.attempts < self.policy().attempts && now < request.deadline && !request.caller_gone;
        allowed && self.retry_budget >= RETRY_COST
    }

    /// Gives an attempt that was not sent back to the retry budget.
    pub(crate) fn refund_retry_budget(&mut self) {
        self.retry_budget += RETRY_COST;
        self.counters.retried -= 1;
    }

    /// Charges another attempt to the retry budget. The budget grows with arrivals, so that a failure of many
    /// endpoints cannot multiply the callers' load and keep the endpoints overloaded after the failure has
    /// ended.
    pub(crate) fn charge_retry_budget(&mut self) {
        self.retry_budget -= RETRY_COST;
        self.counters.retried += 1;
    }

    pub(crate) fn record_endpoint_failure(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        failure: StepFailure,
        out: &mut Vec<Effect>,
    ) {
        if failure == StepFailure::NotSent {
            let id = self.endpoints.get(endpoint).target().id;
            self.endpoint_unreachable(now, id, out);
        }
        match failure {
            StepFailure::Leaving => self.endpoints.observe_leaving(now, endpoint),
            StepFailure::NotSent | StepFailure::Broken | StepFailure::TimedOut | StepFailure::Stalled => {
                if self.endpoints.observe_failure(now, endpoint) {
                    let name = self.endpoints.get(endpoint).name.clone();
                    out.push(Effect::Audit(Audit::Endpoint { endpoint: name, reachable: false }));
                }
            }
            StepFailure::Busy { retry_after } => self.observe_cooldown(now, endpoint, retry_after, out),
            StepFailure::Evicted | StepFailure::Rejected => {}
        }
    }

    /// Records for how long an endpoint wants no requests, if it stated that. Requests that wait for its pool
    /// are refused if no other endpoint takes them.
    pub(crate) fn observe_cooldown(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        retry_after: Option<Duration>,
        out: &mut Vec<Effect>,
    ) {
        let Some(delay) = retry_after else { return };
        if self.endpoints.observe_cooldown(now, endpoint, delay) {
            let name = self.endpoints.get(endpoint).name.clone();
            out.push(Effect::Audit(Audit::Cooldown { endpoint: name, delay }));
            self.refuse_unservable(now, out);
        }
    }
}
