//! Engines that crash under requests, and whether the instances keep such requests from them.

use std::time::Duration;

use teaselshunt_core::{Event, Fingerprint, StepFailure};

use super::World;
use super::engine::{Job, Task};

/// How long an engine takes to start again.
pub(super) const RESTART: Duration = Duration::from_secs(4);
/// Crashes under one request that nobody can prevent.
const UNKNOWN: usize = 3;
/// Time in which all instances know what one of them has learned, if nothing is broken meanwhile.
const SETTLED: Duration = Duration::from_secs(3);
/// Crashes that one request may still cause after that.
const MORE: usize = 3;

/// Crashes under one request.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// How many.
    count: usize,
    /// When so many had happened that instances can know.
    known: Option<Duration>,
    /// How many happened after all could know.
    late: usize,
}

impl World {
    /// Whether every engine crashes that generates for a step's request.
    pub(super) fn is_deadly(&self, job: &Job) -> bool {
        self.fingerprint(job).is_some_and(|(_, deadly)| deadly)
    }

    fn fingerprint(&self, job: &Job) -> Option<(Fingerprint, bool)> {
        let node = &self.nodes[job.node];
        let driver = node.drivers.get(&job.ticket).filter(|_| node.life == job.life)?;
        let caller = &self.callers[driver.caller];
        Some((caller.fingerprint, caller.deadly))
    }

    /// A request crashes an engine; whatever ran there breaks off.
    pub(super) fn crash(&mut self, endpoint: usize, job: &Job) {
        if let Some((request, _)) = self.fingerprint(job) {
            self.count_crash(request);
        }
        for job in self.engines[endpoint].crash(self.now) {
            self.fail(endpoint, &job, StepFailure::Broken);
        }
    }

    fn count_crash(&mut self, request: Fingerprint) {
        let now = self.now;
        let settled = now.saturating_sub(self.disturbed) > SETTLED
            && !self.network.any_cut()
            && !self.nodes.iter().any(|node| node.frozen);
        let crashes = self.crashes.entry(request).or_default();
        crashes.count += 1;
        if crashes.count == UNKNOWN {
            crashes.known = Some(now);
        }
        let could_know = crashes.known.is_some_and(|known| now.saturating_sub(known) > SETTLED);
        crashes.late += usize::from(could_know && settled);
        if crashes.late > MORE {
            let text = format!(
                "{now:?}: {request} crashed {} engines, {} of them known",
                crashes.count, crashes.late
            );
            self.tally.violations.push(text);
        }
    }

    /// A step reaches an engine whose process does not run.
    pub(super) fn refuse_connection(&mut self, endpoint: usize, job: &Job) {
        let id = self.engines[endpoint].id;
        match job.task {
            Task::Poll => self.reply(endpoint, job, Event::Unreported { endpoint: id }),
            Task::Cancel => {
                let event = Event::Cancelled { attempt: job.attempt, endpoint: id, confirmed: false };
                self.reply(endpoint, job, event);
            }
            Task::Prefill { .. } | Task::Import { .. } | Task::Decode { .. } | Task::Call { .. } => {
                self.fail(endpoint, job, StepFailure::NotSent);
            }
        }
    }
}
