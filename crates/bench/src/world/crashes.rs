//! Engines that crash under requests, and the check that instances quarantine such requests.
//!
//! The first [`UNPREVENTABLE_CRASHES`] crashes under a request identify it. After [`PROPAGATION_TIME`] all
//! instances know the request. From then on the request may cause [`LATER_CRASHES_MAX`] more crashes; each
//! further one is a violation. Crashes are not counted for [`PROPAGATION_TIME`] after any fault, during a
//! network partition, or while an instance is frozen, because knowledge does not spread reliably then.

use std::time::Duration;

use teaselshunt_core::{Event, Fingerprint, StepFailure};

use super::World;
use super::engine::{SentStep, Task};

/// Time from a crash of an engine until it has restarted.
pub(super) const RESTART_TIME: Duration = Duration::from_secs(4);
/// Crashes under one request that instances cannot prevent, because the request is not yet identified.
const UNPREVENTABLE_CRASHES: usize = 3;
/// Time in which the knowledge of one instance reaches all instances, if no fault occurs meanwhile.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Maximum number of crashes under one request after all instances know it.
const LATER_CRASHES_MAX: usize = 3;

/// Crashes under one request.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Number of crashes.
    count: usize,
    /// Time of the crash from which on instances can identify the request.
    knowable_since: Option<Duration>,
    /// Number of crashes after all instances could know the request.
    preventable: usize,
}

impl World {
    /// Whether the request of a step crashes every engine that generates for it.
    pub(super) fn crashes_engine(&self, sent_step: &SentStep) -> bool {
        self.fingerprint(sent_step).is_some_and(|(_, crashes)| crashes)
    }

    fn fingerprint(&self, sent_step: &SentStep) -> Option<(Fingerprint, bool)> {
        let node = &self.nodes[sent_step.node];
        let driver = node
            .drivers
            .get(&sent_step.ticket)
            .filter(|_| node.transition_count == sent_step.transition_count)?;
        let caller = &self.callers[driver.caller];
        Some((caller.fingerprint, caller.crashes_engines))
    }

    /// Crashes an engine under a request. All steps in progress there fail.
    pub(super) fn crash(&mut self, endpoint: usize, sent_step: &SentStep) {
        if let Some((request, _)) = self.fingerprint(sent_step) {
            self.count_crash(request);
        }
        for sent_step in self.engines[endpoint].crash(self.now) {
            self.fail(endpoint, &sent_step, StepFailure::Broken);
        }
    }

    fn count_crash(&mut self, request: Fingerprint) {
        let now = self.now;
        let is_undisturbed = now.saturating_sub(self.last_disturbance) > PROPAGATION_TIME
            && !self.network.has_partition()
            && !self.nodes.iter().any(|node| node.frozen);
        let crashes = self.crashes.entry(request).or_default();
        crashes.count += 1;
        if crashes.count == UNPREVENTABLE_CRASHES {
            crashes.knowable_since = Some(now);
        }
        let is_knowable =
            crashes.knowable_since.is_some_and(|since| now.saturating_sub(since) > PROPAGATION_TIME);
        crashes.preventable += usize::from(is_knowable && is_undisturbed);
        if crashes.preventable > LATER_CRASHES_MAX {
            let text = format!(
                "{now:?}: {request} crashed {} engines, {} of them after all instances could know the request",
                crashes.count, crashes.preventable
            );
            self.tally.violations.push(text);
        }
    }

    /// Refuses the connection for a step, because the process of the engine is not running.
    pub(super) fn refuse_connection(&mut self, endpoint: usize, sent_step: &SentStep) {
        let id = self.engines[endpoint].id;
        match sent_step.task {
            Task::Poll => self.reply(endpoint, sent_step, Event::Unreported { endpoint: id, silent: false }),
            Task::Cancel => {
                let event = Event::Cancelled { attempt: sent_step.attempt, endpoint: id, confirmed: false };
                self.reply(endpoint, sent_step, event);
            }
            Task::Prefill { .. } | Task::Import { .. } | Task::Decode { .. } | Task::Call { .. } => {
                self.fail(endpoint, sent_step, StepFailure::NotSent);
            }
        }
    }
}
