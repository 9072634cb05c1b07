//! Decisions on requests that are forwarded as a whole: which endpoint gets each, whether it may be sent
//! again, and what is known of the endpoints. This crate has no input or output and no clock; callers of its
//! functions pass in the time and the randomness.
//!
//! - `routes` is one configuration version.
//! - `endpoints` keeps every `endpoint` with the `health_estimate` that its results have left, and chooses
//!   among them; `removed` remembers incarnations of endpoints that are no longer listed. How long an
//!   endpoint that refused gets no requests is decided by [`Cooldown`](teaselshunt_core::Cooldown).
//! - `ledger` is the work that other instances have in flight.
//! - `rates` keeps the sends of the instances within the rates that endpoints advertise, and `refusals`
//!   counts the requests that are refused because of them.
//! - `observations` sums the results at endpoints over instances, and `capacity` learns from them how many
//!   calls a plain endpoint completes.
//! - `priority` orders requests where there is not room for all: `admission` divides the capacity of a
//!   contended service among priorities and teams, `waiting` is the queues of the generations of one instance,
//!   and `freed` is the capacity that became free for them lately.
//! - `prefill_estimate` learns how long prefill takes, and `output_estimate` how many tokens generations
//!   produce.
//! - `pace` learns from the times of all instances which engines are slow or fast.
//! - `retry_detection` tells callers' retries from new requests, `returns` says when refused callers are to come
//!   back and which of them go first then, `advances` keeps a class of requests within its part although its
//!   returns go first, and `wait_policy` says how long a generation waits for capacity.
//! - `peers` is the other instances, `store_updates` determines which of them read the platform's store for
//!   the others, `snapshot_sources` which of them have the complete list of endpoints, and `changes` what
//!   changed in the list lately.
//! - `links` tells endpoints that are down from those that only this instance has lost, and `tunnel_peers` chooses
//!   the peer through which the latter are reached.
//! - `idle_limit` says how long callers' connections may be idle while versions change that time.
//! - `connection_shedding` closes new connections of callers unread while the processor is overloaded.
//! - `memory` bounds the bodies that are held for slow readers.
//! - `budget` limits second attempts, and `sends` charges those of a generation.
//! - `silence` decides when a stream looks for another engine because its own sends nothing.
//! - `stages` decides how many engines prefill and how many decode, `order_election` which instance orders engines to
//!   change their stage, and `fencing_numbers` numbers its orders.

mod admission;
mod advances;
mod budget;
mod capacity;
mod changes;
mod check_budget;
mod connection_shedding;
mod endpoint;
mod endpoints;
mod fencing_numbers;
mod freed;
mod health_estimate;
mod idle_limit;
mod late_prompts;
mod ledger;
mod link;
mod links;
mod memory;
mod observations;
mod order_election;
mod output_estimate;
mod pace;
mod peers;
mod prefill_estimate;
mod priority;
mod rates;
mod refusals;
mod removed;
mod retry_detection;
mod returns;
mod routes;
mod sends;
mod silence;
mod snapshot_sources;
mod stages;
mod store_updates;
mod tunnel_peers;
mod wait_policy;
mod waiting;
mod windows;

pub use admission::{Admission, Class, Demand, Load, ServiceLoad, divide};
pub use advances::Advances;
pub use budget::{BudgetTerms, Budgets};
pub use capacity::{Capacity, LimitChange, PlainState};
pub use changes::RecentChanges;
pub use connection_shedding::{ConnectionShedding, LATENESS_INTERVAL, SheddingChange};
pub use endpoint::{Endpoint, EndpointKey, EndpointState, Incarnation, Stage, StepOutcome};
pub use endpoints::{
    Endpoints, LearnedChange, Need, OwnWork, PaceChange, Statement, StatementChanges, UpsertOutcome,
};
pub use fencing_numbers::FencingNumbers;
pub use freed::FreedCapacity;
pub use idle_limit::IdleLimit;
pub use late_prompts::LatePrompts;
pub use ledger::{EngineTag, Ledger, LedgerChange, tag};
pub use link::CheckTimes;
pub use links::{CheckResult, LinkChange, Links, Path, Probe};
pub use memory::{BodyKind, BodyMemory, MemoryFull};
pub use observations::{Observation, Observations, ResultReport, Results, SLOW_GOAL_FRACTION};
pub use order_election::{ElectionState, OrderElection, SeedStatement};
pub use output_estimate::OutputEstimate;
pub use pace::{Pace, PaceReport, Paces};
pub use peers::{HEARTBEAT_INTERVAL, Peers, failure_timeout, plausible_interval};
pub use prefill_estimate::PrefillEstimate;
pub use priority::{Priority, RANK_MAX};
pub use rates::{Pacing, RateChange, RateObservation, RateReport, Rates};
pub use refusals::Refusals;
pub use retry_detection::RetryDetector;
pub use returns::{
    RETURN_DELAY_MAX, RETURN_DELAY_MIN, RefusedCaller, ReturnReport, ReturnTime, ReturnUnits, Returns,
};
pub use routes::{Engine, Limits, Repeat, Route, RouteSet, Service};
pub use sends::Sends;
pub use silence::{SignsOfLife, Silence, SilenceStep};
pub use snapshot_sources::{SnapshotSearch, SnapshotSources, SnapshotStep};
pub use stages::{StageChange, plan_stage_changes};
pub use store_updates::{
    Era, EraOrder, FreezeDetector, Freshness, ReadNeed, ReadTimes, UpdateEffect, UpdateSource,
};
pub use tunnel_peers::TunnelPeers;
pub use wait_policy::{Backoff, WaitPolicy, retry_delay};
pub use waiting::{Fit, Obstacle, Room, SERVE_INTERVAL, WaiterKey, Waiters, Waiting};
