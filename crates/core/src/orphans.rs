//! Memory that engines hold for requests that are gone.
//!
//! Two ways lead to such memory. A caller goes away or a try is given up: then a cancel is sent, and sent
//! again until the engine confirms it. Or an instance ends with work at engines: the engine's reports name
//! the owner and its incarnation with every try, and any survivor that reads a report can tell that the
//! owner's life has ended and cancel for it. Cancels are idempotent, so it does no harm if several do.
//!
//! A wrong verdict would cut off a live instance's work, so an owner counts as ended only when a later
//! incarnation of it was heard, or when the members hold it for dead *and* the platform's list, freshly read,
//! no longer has it live. During an outage of the platform only the first holds; the memory is then bounded
//! by the length of the generation, which engines end by themselves.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::event::{Audit, Effect, EngineLoad};
use crate::instance::Instance;
use crate::members::{Health, Members};
use crate::{AttemptId, EndpointId, InstanceId};

/// Time between two sendings of an unconfirmed cancel.
const CANCEL_INTERVAL: Duration = Duration::from_millis(500);
/// Sendings after which an unconfirmed cancel is left to the engine's next report.
const CANCEL_SENDS_MAX: u32 = 120;
/// How long a dead member is left in peace, for its refutation to arrive.
const REFUTATION_GRACE: Duration = Duration::from_secs(5);

/// Looks at every engine after the start, and polls from one to the next.
const SWEEP_COUNT: u32 = 5;
const POLLS_PER_SWEEP: u32 = 4;

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
    /// Notes a cancel; says whether it is new and must be sent now.
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

/// Whether the process that owned a try has ended, to the knowledge of this one. `fresh` says whether the
/// list was read from the platform lately.
pub(crate) fn owner_ended(
    now: Instant,
    members: &Members,
    owner: InstanceId,
    incarnation: u64,
    fresh: bool,
) -> bool {
    let Some(member) = members.get(owner) else {
        // An owner that was never listed may be too new for a list that lags; it is left alone.
        return fresh && members.removed_for(now, owner).is_some_and(|d| d > REFUTATION_GRACE);
    };
    if member.incarnation > incarnation {
        return true;
    }
    let Health::Dead(since) = member.health else {
        return false;
    };
    fresh && member.leaving && now.duration_since(since) > REFUTATION_GRACE
}

impl Instance {
    /// Cancels work whose owner's life has ended; see the head of the module `orphans`.
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
        let fresh = self.homes.list_is_fresh(now);
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
                owner_ended(now, &self.members, owner.instance, owner.incarnation, fresh)
            };
            if !orphan || !self.cancels.begin(now, attempt, endpoint) {
                continue;
            }
            self.counters.orphans += 1;
            out.push(Effect::Cancel { attempt, target });
            let name = self.endpoints.get(key).name.clone();
            out.push(Effect::Audit(Audit::Orphan { attempt, endpoint: name }));
        }
    }

    /// Whether to ask every engine now, for a while after the start.
    ///
    /// Engines may hold work of the former life of this instance. Whoever could have told it from live work may
    /// be gone as well; this process itself always can.
    pub(crate) fn sweep_due(&mut self) -> bool {
        if self.pools.is_empty() || self.polls >= SWEEP_COUNT * POLLS_PER_SWEEP {
            return false;
        }
        self.polls += 1;
        (self.polls - 1).is_multiple_of(POLLS_PER_SWEEP)
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
