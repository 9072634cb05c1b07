//! Forwards callers' requests to plain services and to prefill and decode engines. A [`Protocol`] connects
//! this crate to a platform.
//!
//! The modules form layers, from the top: `supervisor` starts `listeners`, `catalog` (the contents of the
//! platform's store) and `orders`; the first two accept connections through `accept`, and `shedding` says which
//! connections of callers are read. `caller_connection` keeps each connection of a caller (a `caller_stream`) by its `caller_activity` and the `caller_limits` in force, and hands
//! its requests to `requests`, which calls `plain` or `generate` (with `reservations`, `queue` and `waste`) within `deadline`
//! (the end of requests whose handling does not respond; `runs` counts what endpoints may have begun). Both use `load`
//! (admission to services that lack capacity), `rates` (rate limits that endpoints advertise), `statements`
//! (what endpoints state about themselves), `quarantine` and `crashes` (requests under which endpoints crash), `stream`, `body` with `buffering` (bytes that slow callers have
//! not read), `node` (state, one step at an endpoint), `in_flight` (accounts of work in progress) and
//! `connection_pool` with `response_reader`, `reach` (over which way a connection to an endpoint leads), `tunnels`
//! (connections through a peer) and `sockets`. `peer_listener` serves peers: snapshots of `catalog`, and tunnels by
//! `tunnel_listener`. Decisions without input or output are in the crates
//! `teaselshunt-routing` and `teaselshunt-completeness` (whether a response is complete).
//!
//! Connections of callers and of endpoints use `hyper` directly. A framework above it ends a failed stream as
//! if the stream were complete and hides whether a request has left the process; the guarantees to callers
//! depend on both.
//!
//! Invariants:
//! - a response is relayed as complete only if its endpoint has ended it;
//! - a refusal with "not run" goes only to a request that no endpoint can have started;
//! - each request that was read has one response by its deadline, and before the process exits; a stream that has begun
//!   is truncated then;
//! - a non-idempotent request is sent again only after its endpoint has stated that it did not run the
//!   request, or if no byte of the request left the process;
//! - everything acquired at an endpoint (accounted in-flight work, reserved capacity, a KV cache) is an
//!   object that releases it when dropped, so that a caller that disconnects at any step leaves nothing
//!   behind.

mod accept;
mod admission;
mod body;
mod bounds;
mod buffering;
mod caller_activity;
mod caller_connection;
mod caller_limits;
mod caller_stream;
mod calls;
mod catalog;
mod connection_pool;
mod crashes;
mod deadline;
mod generate;
mod gossip;
mod headers;
mod in_flight;
mod in_progress;
mod listeners;
mod load;
mod logs;
mod metrics;
mod node;
mod orders;
mod pace;
mod peer_listener;
mod phase;
mod plain;
mod protocol;
mod quarantine;
mod queue;
mod rates;
mod reach;
mod refusals;
mod requests;
mod reservations;
mod response_reader;
mod results;
mod resume;
mod runs;
mod settings;
mod shedding;
mod silence;
mod sockets;
mod statements;
mod stream;
mod supervisor;
mod trace;
mod tunnel_listener;
mod tunnels;
mod waste;

pub use protocol::{
    Batch, Call, Order, Protocol, Purpose, RequestMeta, ResponseMeta, Stated, StatementHeaders, StoreChange,
};
pub use settings::{LoadSwitches, Settings};
pub use supervisor::{StartError, run};
