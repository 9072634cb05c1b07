//! Passes callers' requests on whole, to plain services and to prefill and decode engines, on a platform that is met
//! through a [`Protocol`].
//!
//! Modules look down only: `supervisor` starts `listeners`, `catalog` (what the platform's store says) and
//! `orders`; the first two accept by `accept`. `listeners` hands requests to `requests`, which calls `plain` or `generate`
//! (with `reservations`); both use `rates` (what endpoints say that they take), `stream`, `body` with `buffering` (what slow readers
//! have not read), `node` (state, one step at an endpoint) and `connection_pool`. Decisions without input or output are
//! in the crate `teaselshunt-routing`.
//!
//! Both edges of traffic are `hyper` itself. A framework above it ends a failed stream as if it were whole and hides
//! whether a request has left, and the promises to callers rest on both.
//!
//! Invariants:
//! - an answer is passed on as whole only if its endpoint has ended it;
//! - a refusal that says "not run" is only given to a request that no endpoint can have begun;
//! - a request that may run once is sent again only after its endpoint has stated that it did not run it, or if
//!   nothing of it had left;
//! - everything taken at an endpoint (a slot in the account, reserved room, a KV cache) is an object whose drop gives
//!   it back, so that a caller who leaves at any step leaves nothing behind.

mod accept;
mod admission;
mod body;
mod buffering;
mod calls;
mod catalog;
mod connection_pool;
mod crashes;
mod generate;
mod gossip;
mod headers;
mod listeners;
mod logs;
mod metrics;
mod node;
mod orders;
mod plain;
mod protocol;
mod rates;
mod refusals;
mod requests;
mod reservations;
mod settings;
mod stream;
mod supervisor;
mod trace;

pub use protocol::{
    AdvertisedRate, Batch, Call, Order, Protocol, Purpose, RequestMeta, ResponseMeta, StoreChange,
};
pub use settings::Settings;
pub use supervisor::{StartError, run};
