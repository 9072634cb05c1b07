//! Decisions without input or output.

mod allowances;
mod budget;
mod changes;
mod endpoints;
mod holders;
mod ledger;
mod lives;
mod looks;
mod memory;
mod news;
mod outputs;
mod patience;
mod peers;
mod rates;
mod reads;
mod routes;
mod sends;
mod stages;
