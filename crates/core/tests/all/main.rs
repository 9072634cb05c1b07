//! One instance of the decision core, driven event by event.

mod claims;
mod ids;
mod steps;
mod support;
