//! Drivers of requests. A driver performs the steps of one request that the core decides on, and reports the
//! end of each step to the core.
//!
//! A driver runs in its own task and writes into a queue that the caller's HTTP response reads. Two events
//! interrupt a step: a new command of the core, which makes the step obsolete, and a disconnect of the
//! caller, which ends the driver. A run of a generation goes on while steps seek another engine; see `generate`. Dropping a step closes the step's connection. Dropping the session makes
//! the core cancel the request's work. A service call with an idempotency key is not interrupted; see `call`.

mod call;
mod generate;
mod run;
mod sse;

pub(crate) use call::{CallOutput, CallRequest, ServiceResponse, start_call};
pub(crate) use generate::{Generation, Output, Render, Token, start_generation};
