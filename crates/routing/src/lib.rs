//! Decisions on requests that are passed on whole: where each goes, whether it may go again, what is believed of
//! endpoints. No input or output, no clock, randomness passed in.
//!
//! `routes` is one configuration version; `endpoints` keeps every `endpoint` with the `belief` that results have left, and
//! chooses among them; `ledger` is what other instances have in flight; `rates` keeps to the rates that endpoints name, and
//! `refused` counts whom that turns away; `pace` learns how long prefill takes, `outputs` how many tokens generations make;
//! `allowances` tells callers who come back from new ones; `peers` is who else there is, `news` who reads the platform's
//! store for the others, `holders` who has the whole list and `changes` what changed in it lately; `memory` bounds what is
//! held for those who read slowly; `budget` limits repeats, and `sends` says what those of a generation cost; `stages`
//! decides how many engines prefill and how many decode.

mod allowances;
mod belief;
mod budget;
mod changes;
mod departed;
mod endpoint;
mod endpoints;
mod holders;
mod ledger;
mod memory;
mod news;
mod outputs;
mod pace;
mod patience;
mod peers;
mod rates;
mod refused;
mod routes;
mod sends;
mod stages;

pub use allowances::Allowances;
pub use budget::{Budgets, Terms};
pub use changes::Changes;
pub use endpoint::{Endpoint, EndpointKey, EndpointState, Life, Stage, Verdict};
pub use endpoints::{Endpoints, Listing, Need};
pub use holders::{Holders, Search, Supply};
pub use ledger::{EngineTag, Ledger, tag};
pub use memory::{Full, Held, Memory};
pub use news::{Ask, Era, Freshness, Passage, Pulse, Source, Word};
pub use outputs::Outputs;
pub use pace::Pace;
pub use patience::{Looks, Patience, way_back};
pub use peers::{HEARTBEAT, Peers, silence};
pub use rates::{Pacing, RateChange, RateNews, RateWord, Rates};
pub use refused::Refused;
pub use routes::{Engine, Limits, Repeat, Route, RouteSet, Service};
pub use sends::Sends;
pub use stages::{Change, plan_changes};
