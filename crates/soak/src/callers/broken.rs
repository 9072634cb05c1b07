//! Responses that were broken off, and calls that were answered with a failure: counted by cause.
//!
//! Sound endpoints fall silent and go on. A response that its endpoint neither ended nor broke must therefore be delivered unless its deadline
//! has passed or its instance was killed. Other load on the machine excuses none: it delays what an endpoint or an instance does, and a call that
//! was delayed until its deadline has that excuse already, by the caller's own clock, which runs from before the call was sent. What was broken
//! off earlier was broken off on purpose. Only what is known by its moment, that a response came through an instance that was killed, is given more
//! time there. A body that ends short without an error is excused by its endpoint alone. A refusal that says that nothing ran is counted, and no violation: the caller may try again at once.

use std::collections::HashMap;
use std::fmt;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

use super::{Callers, DEADLINE_MS, Violation, lock};
use crate::site::{Endpoint, Parts, Site};
use crate::statements;

/// Time before its deadline in which an instance may already answer that a call failed.
const DEADLINE_MARGIN: Duration = Duration::from_millis(300);
/// Time in which callers notice that an instance has ended through which their responses came, and the same on a machine with other load.
const PEER_TIME: Duration = Duration::from_millis(500);
const PEER_TIME_LOADED: Duration = Duration::from_secs(2);

/// Time after a pause in which what an instance believes of its endpoints may still come from the pause.
const AFTERMATH: Duration = Duration::from_secs(5);

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Ending {
    /// With this status, which says that it failed.
    Failed(u16),
    /// Refused with this status, which says that it was not run.
    Refused(u16),
    /// The body ended before it was complete.
    BrokenOff,
    /// The body ended before it was complete, without an error, and nothing marks its end.
    Short,
    /// The connection ended before a response.
    Unanswered,
}

/// A call whose response was not delivered whole.
#[derive(Debug)]
pub(super) struct Broken {
    pub(super) id: String,
    pub(super) uses_engines: bool,
    pub(super) ending: Ending,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
}

/// Why a response was not delivered whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Cause {
    /// Its instance was killed or stopped for a while, or had to end after SIGTERM.
    Instance,
    /// Its instance was shutting down, and refused it or closed the kept connection that it was on. It did not reach an endpoint.
    Stopping,
    /// Its instance had too little of the processor, and closed its connection unread. It did not reach an endpoint.
    Shed,
    /// Another instance, through which it may have reached its endpoint, was killed or stopped just before it ended.
    Peer,
    /// Its deadline had passed.
    Deadline,
    /// An endpoint that may have got it failed, left, or was cut off from an instance.
    Endpoint,
    /// The endpoint paused, now or shortly before, and nothing else was wrong.
    Silence,
    /// None of these.
    Unknown,
}

/// Such calls.
#[derive(Debug, Default)]
pub(super) struct Causes {
    /// Their numbers by cause and ending.
    counts: HashMap<(Cause, Ending), u32>,
    /// The first one of each ending that was broken off or answered with a failure because its endpoint was silent, or without a cause.
    silenced: Vec<(Ending, Violation)>,
}

impl fmt::Display for Causes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut counts: Vec<_> = self.counts.iter().collect();
        counts.sort_unstable();
        let counts: Vec<String> =
            counts.iter().map(|((cause, ending), count)| format!("{cause:?} {ending:?} {count}")).collect();
        write!(formatter, "not delivered: {}", counts.join(", "))
    }
}

/// Endpoints that got a call, and when it arrived there.
struct Runs<'a> {
    endpoints: Vec<(&'a Endpoint, Instant)>,
    /// Whether one did more than to prefill a prompt.
    answers: bool,
}

impl fmt::Display for Runs<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (endpoint, arrived) in &self.endpoints {
            let sound = endpoint.sound_since().map(|since| arrived.saturating_duration_since(since));
            write!(formatter, ", got by {}, sound for {sound:.1?}", endpoint.server.id())?;
        }
        Ok(())
    }
}

/// Whether nothing has been wrong with an endpoint since this time.
fn is_sound((endpoint, since): &(&Endpoint, Instant)) -> bool {
    endpoint.sound_since().is_some_and(|sound| sound <= *since)
}

impl Callers {
    /// The first response of each ending that was not delivered because its endpoint paused, or without a cause. They do not end the run, so that the run tells how
    /// many there were.
    pub(crate) fn silenced(&self) -> Vec<Violation> {
        let broken = self.broken.lock().unwrap_or_else(PoisonError::into_inner);
        broken.silenced.iter().map(|(_, violation)| violation.clone()).collect()
    }

    /// Counts the calls that ended since the last time without a whole response, by cause.
    pub(super) fn count_broken(&self, site: &Site) {
        let broken = std::mem::take(&mut lock(&self.records).broken);
        if broken.is_empty() {
            return;
        }
        let parts = site.parts();
        let mut runs: HashMap<&str, Runs<'_>> =
            broken.iter().map(|call| (&*call.id, Runs { endpoints: Vec::new(), answers: false })).collect();
        for endpoint in parts.endpoints.iter().chain(&parts.ended) {
            for run in endpoint.server.executions() {
                if let Some(runs) = runs.get_mut(&*run.request_id) {
                    runs.endpoints.push((endpoint, run.arrived_at));
                    runs.answers |= !run.prefill;
                }
            }
        }
        let mut causes = self.broken.lock().unwrap_or_else(PoisonError::into_inner);
        for call in &broken {
            let cause = self.cause_of(&parts, &runs[&*call.id], call);
            *causes.counts.entry((cause, call.ending)).or_default() += 1;
            let is_lost = !matches!(call.ending, Ending::Refused(_));
            let is_first = causes.silenced.iter().all(|(ending, _)| *ending != call.ending);
            let is_unexcused = matches!(cause, Cause::Silence | Cause::Unknown);
            if is_lost && is_unexcused && is_first {
                let took = call.ended - call.sent;
                let why =
                    if cause == Cause::Silence { "because its endpoint paused" } else { "without a cause" };
                let endpoints = &runs[&*call.id];
                let message = format!(
                    "a response was not delivered {why}: {:?} after {took:.1?}{endpoints}",
                    call.ending
                );
                let violation = Violation { message, request_id: Some(call.id.clone()) };
                causes.silenced.push((call.ending, violation));
            }
        }
    }

    fn cause_of(&self, parts: &Parts, runs: &Runs<'_>, call: &Broken) -> Cause {
        if call.ending == Ending::Short {
            // Whatever happens to an instance, only an endpoint may end a response that looks complete.
            return if runs.endpoints.iter().all(is_sound) { Cause::Unknown } else { Cause::Endpoint };
        }
        if statements::was_interrupted(parts, &call.id, call.sent, call.ended) {
            return Cause::Instance;
        }
        let may_stop = matches!(call.ending, Ending::Unanswered | Ending::Refused(503));
        if may_stop
            && runs.endpoints.is_empty()
            && statements::was_terminated(parts, &call.id, call.sent, call.ended)
        {
            return Cause::Stopping;
        }
        if call.ending == Ending::Unanswered
            && runs.endpoints.is_empty()
            && statements::has_shed(parts, &call.id)
        {
            return Cause::Shed;
        }
        if call.ended - call.sent + DEADLINE_MARGIN >= Duration::from_millis(DEADLINE_MS) {
            return Cause::Deadline;
        }
        let peer_time = if self.timeless { PEER_TIME_LOADED } else { PEER_TIME };
        let mut peers = parts.instances.iter().map(|slot| slot.interrupted);
        if peers.any(|at| at <= call.ended && call.ended <= at + peer_time) {
            return Cause::Peer;
        }
        // What did not reach an endpoint that answers may have waited for any of its service.
        let waited_for = |endpoint: &&Endpoint| endpoint.server.stage().is_some() == call.uses_engines;
        let involved: Vec<_> = if runs.answers {
            runs.endpoints.clone()
        } else {
            parts.endpoints.iter().filter(waited_for).map(|endpoint| (endpoint, call.sent)).collect()
        };
        if !involved.iter().all(is_sound) {
            return Cause::Endpoint;
        }
        let has_paused = |(endpoint, _): &(&Endpoint, Instant)| {
            let last_pause = endpoint.server.last_pause();
            last_pause.is_some_and(|(is_paused, changed)| is_paused || changed + AFTERMATH >= call.sent)
        };
        if involved.iter().any(has_paused) { Cause::Silence } else { Cause::Unknown }
    }
}
