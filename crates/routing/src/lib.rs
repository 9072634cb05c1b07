//! Decisions on requests that are passed on whole: where each goes, whether it may go again, what is believed of
//! endpoints. No input or output, no clock, randomness passed in.
//!
//! `routes` is one configuration version; `endpoints` keeps every `endpoint` with the `health_estimate` that results have left, and
//! chooses among them; `ledger` is what other instances have in flight; `rates` keeps to the rates that endpoints name, and
//! `refusals` counts whom that turns away; `prefill_estimate` learns how long prefill takes, `output_estimate` how many tokens generations make;
//! `retry_detection` tells callers who come back from new ones; `peers` is who else there is, `store_updates` who reads the platform's
//! store for the others, `snapshot_sources` who has the whole list and `changes` what changed in it lately; `memory` bounds what is
//! held for those who read slowly; `budget` limits repeats, and `sends` says what those of a generation cost; `stages`
//! decides how many engines prefill and how many decode.

mod budget;
mod changes;
mod endpoint;
mod endpoints;
mod health_estimate;
mod ledger;
mod memory;
mod output_estimate;
mod peers;
mod prefill_estimate;
mod rates;
mod refusals;
mod removed;
mod retry_detection;
mod routes;
mod sends;
mod snapshot_sources;
mod stages;
mod store_updates;
mod wait_policy;

pub use budget::{BudgetTerms, Budgets};
pub use changes::RecentChanges;
pub use endpoint::{Endpoint, EndpointKey, EndpointState, Incarnation, Stage, StepOutcome};
pub use endpoints::{Endpoints, Need, UpsertOutcome};
pub use ledger::{EngineTag, Ledger, tag};
pub use memory::{BodyKind, BodyMemory, MemoryFull};
pub use output_estimate::OutputEstimate;
pub use peers::{HEARTBEAT_INTERVAL, Peers, failure_timeout};
pub use prefill_estimate::PrefillEstimate;
pub use rates::{Pacing, RateChange, RateObservation, RateReport, Rates};
pub use refusals::Refusals;
pub use retry_detection::RetryDetector;
pub use routes::{Engine, Limits, Repeat, Route, RouteSet, Service};
pub use sends::Sends;
pub use snapshot_sources::{SnapshotSearch, SnapshotSources, SnapshotStep};
pub use stages::{StageChange, plan_stage_changes};
pub use store_updates::{Era, EraOrder, Freshness, ReadNeed, StallDetector, UpdateEffect, UpdateSource};
pub use wait_policy::{Backoff, WaitPolicy, retry_delay};
