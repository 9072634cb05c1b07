//! Tests of the verdict on responses.

mod events;
mod framing;
mod monitor;
