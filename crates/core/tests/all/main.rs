//! One instance of the decision core, driven event by event.

mod claims;
mod crashes;
mod ids;
mod limits;
mod quarantine;
mod steps;
mod support;
