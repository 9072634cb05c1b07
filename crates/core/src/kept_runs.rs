//! Runs whose engine is silent, and which go on while another engine is sought.
//!
//! Silence does not show that an engine has ended. The run of a silent engine is therefore kept, with its slot,
//! while an attempt for the same request seeks another engine: it waits for slots, is prefilled and imported like
//! any other. The first of both that goes on has the stream:
//!
//! - an event of the kept run ends the attempt, which is cancelled wherever it is;
//! - the begin of the other stream ends the kept run. That stream begins after the last token that the caller
//!   has, and nothing of the kept run is passed on any more.
//!
//! An attempt that fails, or that gets no slots, leaves the kept run as it was. The next stall begins another one
//! if the request may be attempted again. A search that this instance cannot start, because only the engine of the kept
//! run has slots, ends, so that the requests behind it get these.
//!
//! The owner of the pool knows one lease a request, which the attempt needs. The slot of a kept run is counted
//! there by the load reports of its engine.

use std::time::Instant;

use teaselshunt_settings::Role;

use crate::AttemptId;
use crate::endpoints::Need;
use crate::event::{Effect, StepFailure};
use crate::ids::{EndpointKey, RequestKey};
use crate::instance::Instance;
use crate::requests::{KeptRun, Phase};

impl Instance {
    /// Keeps the run at `decode`, and queues the request for an attempt at another engine.
    pub(crate) fn search_beside(
        &mut self,
        now: Instant,
        key: RequestKey,
        decode: EndpointKey,
        out: &mut Vec<Effect>,
    ) {
        self.record_endpoint_failure(now, decode, StepFailure::Stalled, out);
        self.release_lease(now, key, (false, true), out);
        let request = self.requests.get_mut(key);
        if !request.tried.contains(&decode) {
            request.tried.push(decode);
        }
        request.kept = Some(KeptRun {
            number: request.number,
            decode,
            resumed_from: request.resumed_from.take(),
            slot_taken: request.slot_taken,
        });
        self.return_to_waiting(key);
        self.requeue_or_refuse(now, key, StepFailure::Stalled, out);
    }

    /// Ends the attempt that seeks another engine, so that the kept run goes on alone. `false` if no run is kept.
    pub(crate) fn end_search(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) -> bool {
        let request = self.requests.get(key);
        if request.kept.is_none() {
            return false;
        }
        match request.phase {
            Phase::Waiting => self.refund_retry_budget(),
            Phase::Decoding { decode } => self.count_wasted_prefill(key, Some(decode)),
            _ => {}
        }
        let pool = request_pool(self, key);
        self.withdraw_attempt(now, key, out);
        self.continue_kept_run(key, out);
        self.start_queued(now, &pool, out);
        true
    }

    /// Whether a search that finds no slots leaves some out, at the engine of the kept run. Others must not wait behind it.
    pub(crate) fn leaves_out_room(&mut self, now: Instant, key: RequestKey) -> bool {
        if self.requests.get(key).kept.is_none() || self.choose_endpoint(now, key, Role::Decode).is_some() {
            return false;
        }
        let (pool, domain) = (&self.requests.get(key).pool, &self.identity.domain);
        let need = Need { pool, role: Role::Decode, domain, tried: &[], max_load_percent: 100 };
        self.endpoints.choose(now, &need, &mut self.rng).is_some()
    }

    /// Gives the request back to its kept run. The attempt that sought another engine holds nothing any more.
    /// `false` if no run is kept.
    pub(crate) fn continue_kept_run(&mut self, key: RequestKey, out: &mut Vec<Effect>) -> bool {
        let request = self.requests.get_mut(key);
        let Some(kept) = request.kept.take() else {
            return false;
        };
        request.phase = Phase::Decoding { decode: kept.decode };
        request.number = kept.number;
        request.resumed_from = kept.resumed_from;
        request.slot_taken = kept.slot_taken;
        request.silent_since = None;
        out.push(Effect::Continue { ticket: request.ticket, attempt: request.attempt() });
        self.watch_deadline(key);
        true
    }

    /// Records that another engine has begun to respond, which ends the kept run.
    pub(crate) fn began(&mut self, now: Instant, attempt: AttemptId, out: &mut Vec<Effect>) {
        let Some(key) = self.requests.current(attempt) else {
            return;
        };
        if matches!(self.requests.get(key).phase, Phase::Decoding { .. }) {
            self.end_kept_run(now, key, out);
        }
    }

    /// Ends the kept run because the stream goes on elsewhere.
    pub(crate) fn end_kept_run(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        if let Some(kept) = self.requests.get(key).kept {
            self.count_wasted_prefill(key, Some(kept.decode));
            self.release_kept_run(now, key, out);
        }
    }

    /// The connections of a kept run have ended, or it is silent still.
    pub(crate) fn kept_run_failed(
        &mut self,
        now: Instant,
        key: RequestKey,
        failure: StepFailure,
        offset: u32,
        out: &mut Vec<Effect>,
    ) {
        let request = self.requests.get_mut(key);
        request.offset = request.offset.max(offset);
        if failure != StepFailure::Stalled {
            self.end_kept_run(now, key, out);
        }
    }

    /// Cancels the kept run, if any, and releases its slot.
    pub(crate) fn release_kept_run(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let request = self.requests.get_mut(key);
        let Some(kept) = request.kept.take() else {
            return;
        };
        let attempts = [Some(kept.number), kept.resumed_from].map(|n| n.map(|n| request.numbered(n)));
        for attempt in attempts.into_iter().flatten() {
            self.cancel(now, attempt, kept.decode, out);
        }
        self.endpoints.release_slot(kept.decode);
    }
}

fn request_pool(instance: &Instance, key: RequestKey) -> String {
    instance.requests.get(key).pool.clone()
}
