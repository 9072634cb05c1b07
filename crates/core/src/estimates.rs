//! What an instance learns from requests that go by, and what it counts.

use std::time::Instant;

use crate::error::ErrorKind;
use crate::ids::{EndpointKey, RequestKey};
use crate::instance::Instance;
use crate::requests::{Kind, Request};

impl Instance {
    /// Moving average of how long requests of a pool hold their slot.
    pub(crate) fn learn_hold(&mut self, now: Instant, key: RequestKey) {
        let request = self.requests.get(key);
        let held = now.duration_since(request.held);
        let average = self.holds.entry(request.pool.clone()).or_insert(held);
        *average = (*average * 7 + held) / 8;
    }

    /// Moving average of a prefill's time for each prompt token, the wait inside the engine included.
    pub(crate) fn learn_pace(&mut self, now: Instant, key: RequestKey) {
        let request = self.requests.get(key);
        let Kind::Generate { prompt, .. } = request.kind else {
            return;
        };
        let took = now.duration_since(request.held) / prompt.max(1);
        let pace = self.paces.entry(request.pool.clone()).or_insert(took);
        *pace = (*pace * 15 + took) / 16;
    }

    /// Moving average of the time from the end of a prefill to the first token.
    pub(crate) fn learn_tail(&mut self, now: Instant, key: RequestKey) {
        let request = self.requests.get(key);
        if request.first_token.is_some() {
            return;
        }
        let took = now.duration_since(request.prefilled);
        let tail = self.tails.entry(request.pool.clone()).or_insert(took);
        *tail = (*tail * 15 + took) / 16;
    }

    pub(crate) fn count_refusal(&mut self, kind: ErrorKind) {
        *self.counters.refused.entry(kind.answer().code).or_default() += 1;
    }

    pub(crate) fn count_prefill(&mut self, key: RequestKey, decode: EndpointKey) {
        let request = self.requests.get(key);
        if let Kind::Generate { prompt, .. } = request.kind {
            let site = &self.endpoints.get(decode).site;
            self.counters.class(&request.class, site).prefilled_tokens += u64::from(prompt);
        }
    }

    /// Counts a prefill of which nothing was used: by the decode endpoint's site where it is known.
    pub(crate) fn count_waste(&mut self, key: RequestKey, decode: Option<EndpointKey>) {
        let request = self.requests.get(key);
        if let Kind::Generate { prompt, .. } = request.kind {
            let site = decode.map_or("", |d| self.endpoints.get(d).site.as_str());
            self.counters.class(&request.class, site).wasted_tokens += u64::from(prompt);
        }
    }

    /// A prefill that was under way is counted as done and wasted.
    pub(crate) fn count_started_waste(&mut self, key: RequestKey, decode: EndpointKey) {
        self.count_prefill(key, decode);
        self.count_waste(key, Some(decode));
    }

    pub(crate) fn count_answer(&mut self, now: Instant, key: RequestKey, endpoint: EndpointKey) {
        let request = self.requests.get(key);
        let good = within_targets(now, request);
        let site = &self.endpoints.get(endpoint).site;
        let class = self.counters.class(&request.class, site);
        class.answered += 1;
        class.good += u64::from(good);
    }
}

/// Whether first token and mean gap between tokens met the targets of the class.
fn within_targets(now: Instant, request: &Request) -> bool {
    let Kind::Generate { first, gap, .. } = request.kind else {
        return true;
    };
    let Some(token) = request.first_token else {
        return false;
    };
    let gaps = request.offset.saturating_sub(1);
    token.duration_since(request.arrived) <= first && now.duration_since(token) <= gap * gaps.max(1)
}
