//! One instance of the decision core, driven by events.

mod claims;
mod crashes;
mod ids;
mod kept_runs;
mod limits;
mod prompt_parts;
mod quarantine;
mod steps;
mod support;
