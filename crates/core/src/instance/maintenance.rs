//! Periodic work: reviews of members, endpoints and limits, polls of engines and their reports, and the graceful
//! shutdown.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::{Instance, audit_health};
use crate::event::{Audit, Effect, EngineLoad};
use crate::{EndpointId, PoolId};

/// Time between two polls of an engine's load.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reviews of all members, endpoints and limits.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two rounds in which members are asked for their list revision.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);
/// How long a graceful shutdown waits for unconfirmed cancels and for its last messages to be sent.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(500);

impl Instance {
    pub(super) fn load_reported(
        &mut self,
        now: Instant,
        endpoint: EndpointId,
        report: &EngineLoad,
        out: &mut Vec<Effect>,
    ) {
        let me = self.identity.id();
        let Some(key) = self.endpoints.find(endpoint) else {
            return;
        };
        self.endpoint_reachable(endpoint);
        let unaccounted = self.unaccounted_requests(key, report);
        if self.endpoints.observe_load(now, key, me, report, unaccounted) {
            let name = self.endpoints.get(key).name.clone();
            out.push(Effect::Audit(Audit::Endpoint { endpoint: name, reachable: true }));
        }
        self.cancel_orphans(now, endpoint, report, out);
        let pool = PoolId::of(&self.endpoints.get(key).pool);
        self.grant_slots(now, pool, out);
        self.start_all_queued(now, out);
    }

    pub(super) fn load_unreported(
        &mut self,
        now: Instant,
        endpoint: EndpointId,
        silent: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.endpoints.find(endpoint) else {
            return;
        };
        if !silent {
            self.endpoint_unreachable(now, endpoint, out);
        }
        if self.endpoints.observe_unanswered_poll(key) {
            let name = self.endpoints.get(key).name.clone();
            out.push(Effect::Audit(Audit::Endpoint { endpoint: name, reachable: false }));
        }
    }

    pub(super) fn start_shutdown(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.members.stopping {
            return;
        }
        self.members.stopping = true;
        out.push(Effect::Audit(Audit::Stopping));
        self.send_heartbeat_to_neighbours(now, out);
    }

    pub(super) fn tick(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let targets = self.members.due_heartbeats(now);
        self.send_heartbeats(now, targets, out);
        if now >= self.next_maintenance {
            // Not at every tick: the reviews visit every member and endpoint, and there may be hundreds.
            self.next_maintenance = now + MAINTENANCE_INTERVAL;
            audit_health(self.members.update_health(now), out);
            self.members.expire(now, self.homes.retention());
            self.endpoints.expire_reports(now);
            self.review_limits(now);
        }
        let replies = self.homes.tick(now, &self.members);
        self.send_replies(now, replies, out);
        self.confirm_list(now, out);
        self.poll_engines(now, out);
        self.resend_due_claims(now, out);
        self.review_reservations(now, out);
        self.review_slots(now, out);
        self.renew_leases(now, out);
        self.resend_cancels(now, out);
        self.expire_ended_claims(now);
        self.send_crashes(now, out);
        self.send_spending(now, out);
        self.start_all_queued(now, out);
        self.finish_shutdown(now, out);
    }

    /// Asks members for their list revision while a claim waits for the grant lease, which their answers can
    /// establish.
    fn confirm_list(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if now < self.next_confirm || !self.homes.needs_list_confirmation(now, &self.members) {
            return;
        }
        self.next_confirm = now + CONFIRM_INTERVAL;
        let since = now.checked_sub(crate::homes::GRANT_LEASE / 2).unwrap_or(now);
        let unresponsive = self.members.unresponsive_since(since);
        self.send_heartbeats(now, unresponsive, out);
    }

    fn poll_engines(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if now < self.next_poll {
            return;
        }
        self.next_poll = now + LOAD_POLL_INTERVAL;
        // Evaluated once per pool, because finding the owner hashes every member.
        let sweep = self.sweep_due();
        let wanted: BTreeSet<&str> = self
            .pools
            .values()
            .map(String::as_str)
            .filter(|pool| sweep || self.needs_reports(now, pool))
            .collect();
        let engines = self.endpoints.engines(|pool| wanted.contains(pool));
        out.extend(engines.into_iter().map(|target| Effect::Poll { target }));
    }

    /// Ends a graceful shutdown when no request is left.
    fn finish_shutdown(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if !self.members.stopping || self.stopped || self.requests.len() > 0 {
            return;
        }
        let Some(drained_at) = self.drained_at else {
            assert_eq!(self.endpoints.taken_slots(), 0, "slots are taken although no request is left");
            self.drained_at = Some(now);
            for (to, message) in self.homes.handover_messages(&self.members) {
                self.deliver(now, to, message, out);
            }
            return;
        };
        if now.duration_since(drained_at) >= SHUTDOWN_DELAY {
            self.stopped = true;
            out.push(Effect::Stopped);
        }
    }
}
