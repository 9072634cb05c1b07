//! One instance of the decision core, driven event by event.

mod ids;
mod steps;
mod support;
