//! Moving averages of request durations, and counters.

use std::time::Instant;

use crate::error::ErrorKind;
use crate::ids::{EndpointKey, RequestKey};
use crate::instance::Instance;
use crate::requests::{Kind, Request};

impl Instance {
    /// Updates the moving average of how long requests of a pool hold their slot.
    pub(crate) fn record_hold_time(&mut self, now: Instant, key: RequestKey) {
        let request = self.requests.get(key);
        let held = now.duration_since(request.slot_taken);
        let average = self.slot_hold_times.entry(request.pool.clone()).or_insert(held);
        *average = (*average * 7 + held) / 8;
    }

    /// Updates the moving average of the prefill time per prompt token, including the wait inside the engine.
    pub(crate) fn record_prefill_time(&mut self, now: Instant, key: RequestKey) {
        let request = self.requests.get(key);
        let Kind::Generate { prompt_tokens, .. } = request.kind else {
            return;
        };
        let took = now.duration_since(request.slot_taken) / prompt_tokens.max(1);
        let token_time = self.prefill_token_times.entry(request.pool.clone()).or_insert(took);
        *token_time = (*token_time * 15 + took) / 16;
    }

    /// Updates the moving average of the time from the end of a prefill to the first token.
    pub(crate) fn record_first_token_delay(&mut self, now: Instant, key: RequestKey) {
        let request = self.requests.get(key);
        if request.first_token.is_some() {
            return;
        }
        let took = now.duration_since(request.prefill_ended);
        let delay = self.first_token_delays.entry(request.pool.clone()).or_insert(took);
        *delay = (*delay * 15 + took) / 16;
    }

    pub(crate) fn count_refusal(&mut self, kind: ErrorKind) {
        *self.counters.refused.entry(kind.answer().code).or_default() += 1;
    }

    pub(crate) fn count_prefill(&mut self, key: RequestKey, decode: EndpointKey) {
        let request = self.requests.get(key);
        if let Kind::Generate { prompt_tokens, .. } = request.kind {
            let site = &self.endpoints.get(decode).site;
            self.counters.class(&request.class, site).prefilled_tokens += u64::from(prompt_tokens);
        }
    }

    /// Counts a prefill whose result was not used, by the site of the decode endpoint if that is known.
    pub(crate) fn count_wasted_prefill(&mut self, key: RequestKey, decode: Option<EndpointKey>) {
        let request = self.requests.get(key);
        if let Kind::Generate { prompt_tokens, .. } = request.kind {
            let site = decode.map_or("", |d| self.endpoints.get(d).site.as_str());
            self.counters.class(&request.class, site).wasted_tokens += u64::from(prompt_tokens);
        }
    }

    /// Counts an unfinished prefill as done and wasted.
    pub(crate) fn count_cancelled_prefill(&mut self, key: RequestKey, decode: EndpointKey) {
        self.count_prefill(key, decode);
        self.count_wasted_prefill(key, Some(decode));
    }

    pub(crate) fn count_response(&mut self, now: Instant, key: RequestKey, endpoint: EndpointKey) {
        let request = self.requests.get(key);
        let good = within_targets(now, request);
        let site = &self.endpoints.get(endpoint).site;
        let class = self.counters.class(&request.class, site);
        class.answered += 1;
        class.good += u64::from(good);
    }
}

/// Whether the first token and the mean gap between tokens met the targets of the class.
fn within_targets(now: Instant, request: &Request) -> bool {
    let Kind::Generate { first_token_target, token_gap_target, .. } = request.kind else {
        return true;
    };
    let Some(token) = request.first_token else {
        return false;
    };
    let gaps = request.offset.saturating_sub(1);
    token.duration_since(request.arrived) <= first_token_target
        && now.duration_since(token) <= token_gap_target * gaps.max(1)
}
