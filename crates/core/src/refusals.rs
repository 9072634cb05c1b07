//! Final responses without a result, and when they are due.

use std::time::{Duration, Instant};

use crate::error::{ErrorKind, Outcome, Refusal};
use crate::event::Effect;
use crate::ids::RequestKey;
use crate::instance::Instance;
use crate::lifecycle::RETRY_ELSEWHERE_AFTER;
use crate::message::ClaimOutcome;
use crate::requests::{Phase, Request};

/// Longest `Retry-After` delay; longer waits cannot be predicted.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

impl Instance {
    /// When a request can be served again, if all endpoints of one of its steps have stated that they want no
    /// requests now.
    fn first_available(&self, now: Instant, request: &Request) -> Option<Instant> {
        let roles = request.kind.roles().iter();
        roles.filter_map(|&role| self.endpoints.first_available(now, &request.pool, role)).max()
    }

    /// Why a request of which nothing ran gets no slot, with a `Retry-After` delay.
    pub(crate) fn no_slot_refusal(&self, now: Instant, request: &Request) -> Refusal {
        if let Some(first) = self.first_available(now, request) {
            return Refusal::retryable(ErrorKind::Overloaded, first.duration_since(now));
        }
        if !self.has_endpoints(now, request) {
            return Refusal::retryable(ErrorKind::NoEndpoint, RETRY_ELSEWHERE_AFTER);
        }
        let wait = self.expected_wait(now, request).clamp(RETRY_ELSEWHERE_AFTER, RETRY_AFTER_MAX);
        Refusal::retryable(ErrorKind::Overloaded, wait)
    }

    /// Refuses waiting requests for which the new configuration has no endpoints. They would otherwise be
    /// refused only at the end of their wait.
    pub(crate) fn refuse_unservable(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let waiting =
            self.requests.iter().filter(|(_, r)| r.phase == Phase::Waiting && !self.has_endpoints(now, r));
        let keys: Vec<RequestKey> = waiting.map(|(key, _)| key).collect();
        for key in keys {
            if self.end_search(now, key, out) {
                continue;
            }
            let request = self.requests.get(key);
            if request.has_begun() && self.first_available(now, request).is_some() {
                // Its endpoints only cool down.
                continue;
            }
            self.withdraw(now, key, out);
            let request = self.requests.get(key);
            let refusal = if request.may_have_run() {
                Refusal::retryable(ErrorKind::EndpointFailed, RETRY_ELSEWHERE_AFTER)
            } else {
                self.no_slot_refusal(now, request)
            };
            self.refuse(now, key, refusal, out);
        }
    }

    /// Gives a request its final response without a result.
    pub(crate) fn refuse(&mut self, now: Instant, key: RequestKey, refusal: Refusal, out: &mut Vec<Effect>) {
        let request = self.close_request(now, key);
        let not_run = refusal.kind.answer().outcome == Outcome::NotRun;
        assert!(
            !(not_run && request.may_have_run()),
            "{} is refused as not run, but may have run",
            request.id
        );
        self.count_refusal(refusal.kind);
        let outcome = if request.may_have_run() { ClaimOutcome::Unknown } else { ClaimOutcome::NotRun };
        self.remember_unclaimed(now, &request);
        self.settle_claim(now, &request, outcome, out);
        if !request.caller_gone {
            out.push(Effect::Refuse { ticket: request.ticket, refusal });
        }
    }

    /// Refuses requests whose wait or deadline has expired.
    pub(crate) fn expire_requests(&mut self, now: Instant, out: &mut Vec<Effect>) {
        while let Some(key) = self.requests.overdue(now) {
            let request = self.requests.get(key);
            let deadline_passed = now >= request.deadline;
            if !deadline_passed && self.end_search(now, key, out) {
                continue;
            }
            let request = self.requests.get(key);
            let (ran, phase) = (request.may_have_run(), request.phase);
            let refusal = match phase {
                Phase::Claiming => Refusal::retryable(ErrorKind::KeyUnknown, RETRY_ELSEWHERE_AFTER),
                _ if deadline_passed && ran => Refusal::new(ErrorKind::DeadlinePassed),
                _ if deadline_passed => Refusal::new(ErrorKind::Expired),
                _ if ran => Refusal::retryable(ErrorKind::EndpointFailed, RETRY_ELSEWHERE_AFTER),
                _ => self.no_slot_refusal(now, request),
            };
            self.withdraw(now, key, out);
            self.refuse(now, key, refusal, out);
        }
    }
}
