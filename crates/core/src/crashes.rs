//! Detects endpoints that crash under requests, and exchanges crashes with other instances.
//!
//! A broken step does not prove that the endpoint has crashed, because a single response or its connections
//! can be lost. The engine is polled at once. If it does not answer, or accepts no connection for the next
//! request, it has crashed. The crash is attributed to the requests that failed there, and to those whose
//! callers disconnected at about the same time. [`Quarantine`](crate::Quarantine) decides what follows for
//! these requests.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::error::{ErrorKind, Refusal};
use crate::event::{Audit, Effect};
use crate::ids::{EndpointKey, RequestKey};
use crate::instance::Instance;
use crate::members::{Health, Member};
use crate::message::Message;
use crate::prompt_parts::{PartChange, PartDecision, PartReport, PromptPart};
use crate::quarantine::{Crash, CrashReport, EndpointIncarnation, UpdateScope};
use crate::requests::{Phase, Request};
use crate::{EndpointId, Fingerprint, InstanceId};

/// An endpoint that is unreachable within this time after a request failed there counts as crashed under the
/// request. A running engine answers within this time, and a restarting engine needs longer.
const LOSS_WINDOW: Duration = Duration::from_secs(2);
/// Maximum time between a failed request and a disconnect of another caller for that caller's request to
/// count as present. An engine stops a cancelled request within this time.
const PRESENCE_WINDOW: Duration = Duration::from_millis(500);
/// Minimum time between two crashes of an endpoint, in milliseconds. Time is divided into periods of this
/// length, and the period of a crash identifies the endpoint's incarnation. Instances that observe the same
/// crash therefore agree on the incarnation, except for crashes at the border of two periods.
const RESTART_MIN_MS: u64 = 5_000;
/// Time between two updates with recent crashes. One update is sufficient; the repetitions replace lost
/// messages.
const CRASH_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// A request that failed at an endpoint, or whose caller disconnected.
#[derive(Debug, Clone)]
pub(crate) struct Loss {
    request: Fingerprint,
    /// Parts of its prompt, if the endpoint had not begun to answer.
    unanswered_parts: Vec<PromptPart>,
    endpoint: EndpointId,
    at: Instant,
}

impl Loss {
    fn new(at: Instant, request: &Request, endpoint: EndpointId) -> Self {
        let has_begun = request.answered == Some(request.number);
        let unanswered_parts = if has_begun { Vec::new() } else { request.parts.clone() };
        Self { request: request.fingerprint, unanswered_parts, endpoint, at }
    }
}

impl Instance {
    /// Records that a request failed at an endpoint that may have crashed.
    pub(crate) fn request_lost(
        &mut self,
        now: Instant,
        key: RequestKey,
        endpoint: EndpointKey,
        out: &mut Vec<Effect>,
    ) {
        let target = self.endpoints.get(endpoint).target();
        let loss = Loss::new(now, self.requests.get(key), target.id);
        self.losses.retain(|loss| now.duration_since(loss.at) < LOSS_WINDOW);
        self.losses.push(loss);
        if !matches!(self.requests.get(key).phase, Phase::Calling { .. }) {
            out.push(Effect::Poll { target });
        }
    }

    /// Records that the caller of a request at an endpoint has disconnected.
    pub(crate) fn caller_left(&mut self, now: Instant, key: RequestKey) {
        let request = self.requests.get(key);
        let Some(endpoint) = request.phase.endpoint() else { return };
        let loss = Loss::new(now, request, self.endpoints.get(endpoint).target().id);
        self.abandoned.retain(|loss| now.duration_since(loss.at) < LOSS_WINDOW);
        self.abandoned.push(loss);
    }

    /// Removes and returns the requests at an endpoint whose callers disconnected at about the time `at`.
    fn take_abandoned(&mut self, at: Instant, endpoint: impl Fn(EndpointId) -> bool) -> Vec<Loss> {
        let apart = |other: Instant| at.max(other).duration_since(at.min(other));
        self.abandoned
            .extract_if(.., |loss| endpoint(loss.endpoint) && apart(loss.at) < PRESENCE_WINDOW)
            .collect()
    }

    /// Records that an endpoint is reachable, so that it has not crashed.
    pub(crate) fn endpoint_reachable(&mut self, endpoint: EndpointId) {
        self.losses.retain(|loss| loss.endpoint != endpoint);
        self.abandoned.retain(|loss| loss.endpoint != endpoint);
    }

    /// Records that an endpoint is unreachable.
    pub(crate) fn endpoint_unreachable(&mut self, now: Instant, endpoint: EndpointId, out: &mut Vec<Effect>) {
        let (mut lost, rest): (Vec<_>, Vec<_>) = self.losses.drain(..).partition(|l| l.endpoint == endpoint);
        self.losses = rest;
        if let Some(first) = lost.first().map(|loss| loss.at) {
            lost.extend(self.take_abandoned(first, |other| other == endpoint));
        }
        self.attribute_crash(now, lost, out);
    }

    /// Attributes a crash to each of these requests.
    fn attribute_crash(&mut self, now: Instant, lost: Vec<Loss>, out: &mut Vec<Effect>) {
        for Loss { request, unanswered_parts, endpoint, at } in
            lost.into_iter().filter(|l| now.duration_since(l.at) < LOSS_WINDOW)
        {
            let crash = Crash { request, endpoint: self.incarnation_at(endpoint, at), at };
            self.next_crash_update = now;
            self.part_quarantine.observe_crash(now, crash.endpoint, at, &unanswered_parts);
            if self.quarantine.observe_crash(now, crash) {
                self.refuse_quarantined(now, request, out);
            }
        }
        self.apply_part_changes(now, out);
    }

    /// Incarnation of an endpoint that crashed at the time `at`.
    fn incarnation_at(&self, endpoint: EndpointId, at: Instant) -> EndpointIncarnation {
        let uptime_ms = at.saturating_duration_since(self.started).as_millis() as u64;
        let period = (self.identity.incarnation + uptime_ms) / RESTART_MIN_MS;
        EndpointIncarnation(xxh3_64_with_seed(&endpoint.0.to_le_bytes(), period))
    }

    /// Refuses the waiting requests with this fingerprint, which is in quarantine from now on.
    fn refuse_quarantined(&mut self, now: Instant, fingerprint: Fingerprint, out: &mut Vec<Effect>) {
        out.push(Effect::Audit(Audit::Quarantined { request: fingerprint }));
        self.refuse_waiting(now, |request| request.fingerprint == fingerprint, out);
    }

    /// Refuses the waiting requests that are in quarantine by now, of those that `may_be`.
    fn refuse_waiting(&mut self, now: Instant, may_be: impl Fn(&Request) -> bool, out: &mut Vec<Effect>) {
        let waits = |request: &Request| request.phase == Phase::Waiting && may_be(request);
        let waiting = self.requests.iter().filter(|(_, request)| waits(request));
        let keys: Vec<RequestKey> = waiting.map(|(key, _)| key).collect();
        for key in keys {
            let Some(refusal) = self.quarantine_refusal(now, key) else { continue };
            if !self.end_search(now, key, out) {
                self.withdraw(now, key, out);
                self.refuse(now, key, refusal, out);
            }
        }
    }

    /// Refusal of a request that is in quarantine.
    pub(crate) fn quarantine_refusal(&self, now: Instant, key: RequestKey) -> Option<Refusal> {
        let request = self.requests.get(key);
        let until = self.quarantine.until(now, request.fingerprint);
        let parts = self.part_quarantine.refusal(now, &request.parts).filter(|_| !request.is_part_test);
        let remaining =
            until.map(|until| until.duration_since(now)).max(parts.map(|refusal| refusal.delay))?;
        // A request that may have run must not be refused as "not run".
        let kind = if request.may_have_run() { ErrorKind::EndpointFailed } else { ErrorKind::Quarantined };
        Some(Refusal::retryable(kind, remaining))
    }

    /// Sends recent changes to all members, repeatedly for a while.
    pub(crate) fn send_crashes(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.quarantine.expire(now);
        if now < self.next_crash_update {
            return;
        }
        self.next_crash_update = now + CRASH_UPDATE_INTERVAL;
        self.review_parts(now, out);
        let messages: Vec<_> = [self.crash_update(now, UpdateScope::Reminder), self.part_update(now, true)]
            .into_iter()
            .flatten()
            .collect();
        let members: Vec<InstanceId> = self.members.iter().map(|(id, _)| id).collect();
        for (to, message) in members.iter().flat_map(|&to| messages.iter().map(move |message| (to, message)))
        {
            self.deliver(now, to, message.clone(), out);
        }
    }

    /// Ends what is too old of the evidence about parts, and determines whether this instance tests verdicts: the lowest of those
    /// that are alive does.
    fn review_parts(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let own = self.identity.id();
        let is_lower = |(id, member): (InstanceId, &Member)| id < own && member.health == Health::Alive;
        let is_lowest = !self.members.iter().any(is_lower);
        self.part_quarantine.set_tester(is_lowest);
        self.part_quarantine.expire(now);
        self.apply_part_changes(now, out);
    }

    /// Whether a request that is about to be queued is sent as a test although its parts are in quarantine.
    pub(crate) fn decide_part_test(&mut self, now: Instant, key: RequestKey) {
        let request = self.requests.get(key);
        if request.parts.is_empty() || self.part_quarantine.is_empty() {
            return;
        }
        let decision = self.part_quarantine.decide_request(now, &request.parts);
        self.requests.get_mut(key).is_part_test = decision == PartDecision::Test;
    }

    /// Records that the caller of a request got something of an attempt.
    pub(crate) fn attempt_answered(&mut self, now: Instant, key: RequestKey, out: &mut Vec<Effect>) {
        let request = self.requests.get_mut(key);
        if request.answered.replace(request.number) == Some(request.number) || request.parts.is_empty() {
            return;
        }
        let attempt = request.attempt().to_string();
        self.part_quarantine.observe_start(now, &attempt, &request.parts);
        self.apply_part_changes(now, out);
    }

    /// Reports the verdicts that have begun or ended, and refuses the waiting requests that these concern.
    fn apply_part_changes(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let changes = self.part_quarantine.take_changes();
        if changes.is_empty() {
            return;
        }
        self.next_crash_update = self.next_crash_update.min(now);
        for change in changes {
            let (parts, quarantined) = match change {
                PartChange::Began(verdict) => (verdict.parts, true),
                PartChange::Ended(parts) => (parts, false),
            };
            out.push(Effect::Audit(Audit::PromptParts { parts, quarantined }));
        }
        self.refuse_waiting(now, |request| !request.parts.is_empty(), out);
    }

    /// Message with recent evidence about parts, and with `all` also with what verdicts rest on.
    pub(crate) fn part_update(&self, now: Instant, all: bool) -> Option<Message> {
        let reports = self.part_quarantine.update(now, all);
        (!reports.is_empty()).then_some(Message::PromptParts { reports })
    }

    /// Merges a member's evidence about parts.
    pub(crate) fn merge_parts(&mut self, now: Instant, reports: &[PartReport], out: &mut Vec<Effect>) {
        self.part_quarantine.merge(now, self.started, reports);
        self.apply_part_changes(now, out);
    }

    /// Message with the crashes and successes that members should know.
    pub(crate) fn crash_update(&self, now: Instant, scope: UpdateScope) -> Option<Message> {
        let update = self.quarantine.update(now, scope);
        if update.crashes.is_empty() && update.served.is_empty() {
            return None;
        }
        let crashes = update.crashes.into_iter().map(|crash| CrashReport::new(now, crash)).collect();
        Some(Message::Crashes { crashes, served: update.served })
    }

    /// Merges a member's reports of crashes and of completed requests.
    pub(crate) fn merge_crashes(
        &mut self,
        now: Instant,
        crashes: Vec<CrashReport>,
        served: Vec<Fingerprint>,
        out: &mut Vec<Effect>,
    ) {
        for request in served {
            self.quarantine.merge_success(now, request);
        }
        for report in crashes {
            let crash = report.crash(now, self.started);
            if self.quarantine.merge_crash(now, crash) {
                self.refuse_quarantined(now, report.request, out);
            }
            let incarnations: Vec<_> = self
                .abandoned
                .iter()
                .map(|l| (l.endpoint, self.incarnation_at(l.endpoint, crash.at)))
                .collect();
            let ended_by_crash = |endpoint| incarnations.contains(&(endpoint, crash.endpoint));
            let present = self.take_abandoned(crash.at, ended_by_crash);
            self.attribute_crash(now, present, out);
        }
    }
}
