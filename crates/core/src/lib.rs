//! Decision logic of one entry instance, without any input or output of its own.
//!
//! An [`Instance`] has a single entry point: [`Instance::step`] takes the time and one typed [`Event`] and
//! appends typed [`Effect`]s. It reads no clock, starts no task, opens no socket and draws random numbers
//! only from a generator that is seeded at its start. The same events at the same times therefore result in
//! the same effects. A daemon runs one instance on its control thread; a test or bench runs many instances
//! side by side in virtual time.
//!
//! Modules depend only on lower ones: `instance` dispatches to `new_request`, `lifecycle`, `failures`,
//! `kept_runs` and `refusals` (the steps of a request), `reservations` (its slots), `claims` (its idempotency key)
//! and `crashes` (endpoints that crash under it), which use `requests`, `endpoints`, `queue`, `homes`,
//! `quarantine` and `orphans`; `members` and `versions` have no knowledge of requests.
//!
//! Invariants, asserted in the program:
//! - a request gets exactly one final effect ([`Effect::Refuse`], or the end of the response that its driver
//!   streams);
//! - a refusal with the outcome "not run" is only given to a request of which nothing can have reached an
//!   endpoint;
//! - a non-idempotent call is sent again only if the last attempt provably was not started;
//! - the active configuration is only replaced by a higher version;
//! - a slot taken at an endpoint is released exactly once, and a request holds at most one lease.

mod claims;
mod clock;
mod cooldown;
mod counters;
mod crashes;
mod endpoints;
mod error;
mod estimates;
mod event;
mod failures;
mod fingerprint;
mod homes;
mod ids;
mod instance;
mod kept_runs;
mod lifecycle;
mod limits;
mod members;
mod message;
mod new_request;
mod orphans;
mod prompt_parts;
mod quarantine;
mod queue;
mod refusals;
mod requests;
mod reservations;
mod slots;
mod versions;

pub use clock::{Clock, ManualClock, SystemClock};
pub use cooldown::Cooldown;
pub use counters::{ClassCounters, Counters};
pub use endpoints::{EndpointTable, EndpointView, Placement};
pub use error::{Answer, ErrorKind, Outcome, Refusal};
pub use event::{
    Audit, Call, ConfigurationCandidate, Effect, EngineLoad, Event, Generate, InstanceEntry, InstanceList,
    Running, Source, StepFailure, StoredResponse, Target, Work,
};
pub use fingerprint::Fingerprint;
pub use ids::{AttemptId, CallerKey, EndpointId, IdempotencyKey, InstanceId, PoolId, RequestId, Ticket};
pub use instance::{Identity, Instance, InstanceView};
pub use limits::{TeamDirectory, TeamView};
pub use members::{Health, MemberView};
pub use message::{
    ClaimAnswer, ClaimOutcome, HealthUpdate, Heartbeat, KeyRecord, Message, ReservationRequest,
    SpendingReport,
};
pub use prompt_parts::{
    PartChange, PartDecision, PartQuarantine, PartRefusal, PartReport, PartVerdict, PromptPart,
};
pub use quarantine::{Crash, CrashReport, CrashUpdate, EndpointIncarnation, Quarantine, UpdateScope};
