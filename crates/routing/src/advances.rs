//! Keeps each class of requests within its part of a divided capacity although returns are admitted without a
//! draw.
//!
//! A return that was promised capacity goes first in its class. The units that it got ahead of the class's part
//! are owed, and later requests of the class at the same instance, which were drawn to be admitted, are refused in
//! their place. Returns thus come first in their class, and the class gets no more than its part.
//!
//! Invariants:
//! - What a class owes is never negative: a request repays only what is owed.
//! - What a class owes is bounded. A request gets ahead only while less than its own units are owed
//!   ([`Advances::allows`]), and adds at most its units, so that less than twice the units of the largest request
//!   are owed. The bound holds if each call of [`Advances::admit`] follows one of `allows` for the same request at
//!   once; requests that are allowed before the first of them is admitted each add their units.
//! - Classes and services are independent: a class pays for its own returns alone.
//! - Nothing is owed in a service that is not contended, once [`Advances::retain`] has run.

use std::collections::HashMap;

use crate::Class;

/// Units that classes of requests got ahead of their part of a divided capacity.
#[derive(Debug, Default)]
pub struct Advances {
    owed: HashMap<(u32, Class), f64>,
}

impl Advances {
    /// Whether a class may get further units ahead. One request may be owed.
    pub fn allows(&self, service: u32, class: Class, units: u32) -> bool {
        self.owed.get(&(service, class)).is_none_or(|&owed| owed < f64::from(units))
    }

    /// Notes a request that is admitted without a draw, although its class is admitted with a probability.
    pub fn admit(&mut self, service: u32, class: Class, units: u32, fraction: f64) {
        let ahead = f64::from(units) * (1.0 - fraction.clamp(0.0, 1.0));
        *self.owed.entry((service, class)).or_default() += ahead;
    }

    /// Whether a request that was drawn to be admitted makes up for one that got ahead, and is refused.
    pub fn repay(&mut self, service: u32, class: Class, units: u32) -> bool {
        let Some(owed) = self.owed.get_mut(&(service, class)) else { return false };
        if *owed < f64::from(units) {
            return false;
        }
        *owed -= f64::from(units);
        true
    }

    /// Forgets what is owed in services that are not contended any more.
    pub fn retain(&mut self, is_contended: impl Fn(u32) -> bool) {
        self.owed.retain(|&(service, _), _| is_contended(service));
    }
}
