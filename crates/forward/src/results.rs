//! What results at endpoints show about them.

use slog::info;
use teaselshunt_routing::{EndpointKey, Stage, StepOutcome};

use crate::load;
use crate::node::{Job, Node};
use crate::response_reader::ReadFailure;

impl Node {
    /// Records that an engine has sent something.
    pub(crate) fn observe_life(&self, key: EndpointKey) {
        let (now, state) = (self.now(), &mut *self.state.borrow_mut());
        if let Some(endpoint) = state.endpoints.get(key)
            && endpoint.stage == Some(Stage::Decode)
        {
            state.signs.observe(now, &endpoint.service);
        }
    }

    pub(crate) fn observe_step(&self, key: EndpointKey, step_outcome: StepOutcome) {
        let changed = self.state.borrow_mut().endpoints.learn(self.now(), key, step_outcome);
        if changed && let Some((_, id)) = self.locate(key) {
            let state = match step_outcome {
                StepOutcome::Failed | StepOutcome::Silent(_) | StepOutcome::Unreachable => "paused",
                StepOutcome::Answered(_) | StepOutcome::ErrorResponse | StepOutcome::Full => "in_use",
            };
            info!(self.log, "endpoint"; "endpoint" => &*id, "state" => state);
        }
    }

    /// Records that an engine granted a reservation, so that it is not silent. Whether it runs requests is another matter.
    pub(crate) fn observe_granted(&self, key: EndpointKey) {
        let changed = self.state.borrow_mut().endpoints.observe_response(key);
        self.log_in_use(key, changed);
    }

    /// Records that an endpoint has begun a stream. Whether it completes the stream shows at the end.
    pub(crate) fn observe_begun(&self, key: EndpointKey) {
        let changed = self.state.borrow_mut().endpoints.observe_begun(self.now(), key);
        self.log_in_use(key, changed);
    }

    fn log_in_use(&self, key: EndpointKey, changed: bool) {
        if changed && let Some((_, id)) = self.locate(key) {
            info!(self.log, "endpoint"; "endpoint" => &*id, "state" => "in_use");
        }
    }

    /// Counts the result of a request at an endpoint.
    pub(crate) fn observe_outcome(&self, job: &Job, key: EndpointKey, outcome: StepOutcome) {
        self.observe_step(key, outcome);
        load::observe_result(self, job, key, outcome);
    }

    /// Counts the result of a request whose response was read, or was not: one that is truncated is a failure,
    /// whatever its head says.
    pub(crate) fn observe_read<T>(
        &self,
        job: &Job,
        key: EndpointKey,
        head: StepOutcome,
        read: &Result<T, ReadFailure>,
    ) {
        let outcome = match read {
            Ok(_) => head,
            // Only a large response has no room, and the endpoint may be one that sends without an end. Its service is not
            // slow for that.
            Err(ReadFailure::MemoryFull) => return self.observe_step(key, StepOutcome::Failed),
            Err(ReadFailure::Truncated(_) | ReadFailure::TimedOut) => StepOutcome::Failed,
        };
        self.observe_outcome(job, key, outcome);
    }
}
