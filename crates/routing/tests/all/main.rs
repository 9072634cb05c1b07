//! Decisions without input or output.

mod allowances;
mod budget;
mod endpoints;
mod ledger;
mod lives;
mod looks;
mod memory;
mod news;
mod outputs;
mod patience;
mod peers;
mod reads;
mod routes;
mod sends;
mod stages;
