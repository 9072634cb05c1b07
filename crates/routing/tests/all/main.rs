//! Decisions without input or output.

mod allowances;
mod budget;
mod endpoints;
mod ledger;
mod outputs;
mod peers;
mod routes;
mod stages;
