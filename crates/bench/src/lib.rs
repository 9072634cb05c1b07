//! Experiments with the real decision core in virtual time.
//!
//! A [`World`] drives many [`Instance`](teaselshunt_core::Instance)s side by side in one process, through the
//! same narrow entry that the daemon uses, against small models of engines, services, the platform and the
//! network. It is used twice: to measure the routing policy under load, and to look for violations of what
//! must always hold under random faults. It models times and losses only; protocols, sockets and processes
//! are tested with the daemon itself.
//!
//! Everything is drawn from one seed: the same seed gives the same run.

mod plan;
mod policy;
mod quotas;
mod rates;
mod slopes;
mod world;

pub use plan::Plan;
pub use policy::{ClassOutcome, Experiment, Outcome, Policy, Scenario};
pub use quotas::{FaultKind, QuotaOutcome, QuotaPlan, TimedFault};
pub use rates::{RateOutcome, RatePlan};
pub use slopes::{ControlCost, DecisionCost, measure_control, measure_decision};
pub use world::{
    ClassTally, Deployment, EngineSpeed, Fault, Load, Options, RequestSpec, Side, Tally, World, britasol,
    pindan, scaled,
};
