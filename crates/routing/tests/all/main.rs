//! Decisions without input or output.

mod allowances;
mod budget;
mod endpoints;
mod growth;
mod ledger;
mod peers;
mod routes;
mod stages;
