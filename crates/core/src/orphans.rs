//! Cancels work that engines hold for requests that have ended.
//!
//! Such work has two causes. First, a caller disconnects or an attempt is abandoned: a cancel is sent, and
//! repeated until the engine confirms it. Second, an instance ends while engines work for it: the load
//! reports of the engines name the owner and its incarnation with every attempt, and any remaining instance
//! that receives a report can detect that the owner's incarnation has ended, and cancel the work. Cancels are
//! idempotent, so that several instances may send them.
//!
//! A wrong decision would cancel work of a live instance. An owner therefore counts as ended only if a later
//! incarnation of it is known, or if it is considered dead *and* a recent read of the platform's list does
//! not contain it as live. During an outage of the platform only the first condition can apply. Engines then
//! hold the work until its generation ends.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::event::{Audit, Effect, EngineLoad};
use crate::instance::Instance;
use crate::members::{Health, Members};
use crate::{AttemptId, EndpointId, InstanceId};

/// Time between two sends of an unconfirmed cancel.
const CANCEL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of sends after which an unconfirmed cancel is left to the engine's next load report.
const CANCEL_SENDS_MAX: u32 = 120;
/// Time that a dead member has for a refutation before its work is cancelled.
const REFUTATION_GRACE: Duration = Duration::from_secs(5);

/// Number of sweeps over all engines after the start, and the number of polls from one sweep to the next.
const SWEEP_COUNT: u32 = 5;
const SWEEP_INTERVAL_POLLS: u32 = 4;

#[derive(Debug)]
struct PendingCancel {
    next: Instant,
    sent: u32,
}

/// Cancels that engines have not confirmed.
#[derive(Debug, Default)]
pub(crate) struct Cancels {
    pending: BTreeMap<(AttemptId, EndpointId), PendingCancel>,
}

impl Cancels {
    /// Records a cancel. Returns whether the cancel is new and must be sent now.
    pub(crate) fn begin(&mut self, now: Instant, attempt: AttemptId, endpoint: EndpointId) -> bool {
        if self.pending.contains_key(&(attempt, endpoint)) {
            return false;
        }
        self.pending.insert((attempt, endpoint), PendingCancel { next: now + CANCEL_INTERVAL, sent: 1 });
        true
    }

    pub(crate) fn confirmed(&mut self, attempt: AttemptId, endpoint: EndpointId) {
        self.pending.remove(&(attempt, endpoint));
    }

    /// Cancels to send again.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<(AttemptId, EndpointId)> {
        self.pending.retain(|_, p| p.sent < CANCEL_SENDS_MAX);
        let mut due = Vec::new();
        for (&which, pending) in &mut self.pending {
            if pending.next <= now {
                pending.next = now + CANCEL_INTERVAL;
                pending.sent += 1;
                due.push(which);
            }
        }
        due
    }

    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }
}

/// Whether the process that owns an attempt is known to have ended. `list_is_fresh` is whether the list was
/// read from the platform recently.
pub(crate) fn owner_ended(
    now: Instant,
    members: &Members,
    owner: InstanceId,
    incarnation: u64,
    list_is_fresh: bool,
) -> bool {
    let Some(member) = members.get(owner) else {
        // An owner that was never listed may be too new for a list that lags; its work is not cancelled.
        return list_is_fresh && members.removed_for(now, owner).is_some_and(|d| d > REFUTATION_GRACE);
    };
    if member.incarnation > incarnation {
        return true;
    }
    let Health::Dead(since) = member.health else {
        return false;
    };
    list_is_fresh && member.leaving && now.duration_since(since) > REFUTATION_GRACE
}

impl Instance {
    /// Cancels work whose owner has ended; see the documentation of the module `orphans`.
    pub(crate) fn cancel_orphans(
        &mut self,
        now: Instant,
        endpoint: EndpointId,
        report: &EngineLoad,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.endpoints.find(endpoint) else {
            return;
        };
        let target = self.endpoints.get(key).target();
        let list_is_fresh = self.homes.list_is_fresh(now);
        for running in &report.running {
            self.members
                .observe_incarnation(running.attempt.request.instance, running.attempt.request.incarnation);
        }
        for running in &report.running {
            let attempt = running.attempt;
            let owner = attempt.request;
            let orphan = if owner.instance == self.identity.id() {
                owner.incarnation < self.identity.incarnation
                    || (owner.incarnation == self.identity.incarnation && !self.requests.needs(attempt))
            } else {
                owner_ended(now, &self.members, owner.instance, owner.incarnation, list_is_fresh)
            };
            if !orphan || !self.cancels.begin(now, attempt, endpoint) {
                continue;
            }
            self.counters.orphans += 1;
            let name = self.endpoints.get(key).name.clone();
            out.push(Effect::Audit(Audit::Orphan { attempt, endpoint: name }));
            out.push(Effect::Cancel { attempt, target });
        }
    }

    /// Whether to poll every engine now, for a while after the start.
    ///
    /// Engines may hold work of a previous incarnation of this instance. All other instances that could
    /// detect this may have ended too; this process itself can always detect it.
    pub(crate) fn sweep_due(&mut self) -> bool {
        if self.pools.is_empty() || self.polls >= SWEEP_COUNT * SWEEP_INTERVAL_POLLS {
            return false;
        }
        self.polls += 1;
        (self.polls - 1).is_multiple_of(SWEEP_INTERVAL_POLLS)
    }

    pub(crate) fn resend_cancels(&mut self, now: Instant, out: &mut Vec<Effect>) {
        for (attempt, endpoint) in self.cancels.due(now) {
            if let Some(key) = self.endpoints.find(endpoint) {
                let target = self.endpoints.get(key).target();
                out.push(Effect::Cancel { attempt, target });
            }
        }
    }
}
