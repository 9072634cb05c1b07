//! A driver does for one request what the core decides, step by step, and reports how each step ended.
//!
//! It runs in a task of its own and writes into a queue that the caller's HTTP response reads. A step races
//! against two things: a new command, which makes the step obsolete, and the caller going away, which ends
//! the driver; dropping a step closes its connection, and dropping the session tells the core to cancel.

mod call;
mod generate;
mod sse;

pub(crate) use call::{CallOutput, CallPlan, start_call};
pub(crate) use generate::{Generation, Output, Render, Token, start_generation};
