//! The documents that operators write: the settings of one instance and the numbered configuration of the
//! fleet.
//!
//! Both are JSON. A document is read in two passes. The first pass validates it against a schema derived from
//! the types in this crate, so that *every* error of its structure is reported with its JSON path, not only
//! the first. The second pass checks what a schema cannot express: that names are unique and that references
//! between parts of a configuration resolve.
//!
//! Invariant: a [`Configuration`] or [`Settings`] returned by [`parse_configuration`] or [`parse_settings`]
//! holds no dangling reference and no duplicate name. It is never changed afterwards; a new version is a new
//! value.

mod check;
mod configuration;
mod settings;

pub use check::{ValidationError, ValidationErrors, parse_configuration, parse_settings};
pub use configuration::{
    Class, Configuration, Domain, Endpoint, EndpointState, Link, Load, Model, Policy, Pool, Role, Service,
    Site, Team, TeamLimit, TeamUnit,
};
pub use settings::{Keys, Limits, Listeners, Seed, Settings};
