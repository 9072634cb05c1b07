//! Precedence of a team's more urgent requests near the team's limit.
//!
//! The token bucket alone serves whoever comes first, so that a team's own batch work uses up the level that
//! its interactive requests need. A less urgent request therefore leaves a margin of the level to the more
//! urgent requests of the same team and service. It is admitted with a probability that rises linearly from 0
//! to 1 over the upper part of the margin, so that the less urgent work settles at what the more urgent work
//! leaves over, without switching on and off.

use std::time::Duration;

use super::account::SlidingSum;

/// Largest number of classes whose demand an account knows. Configurations have fewer; the bound keeps memory
/// small whatever a caller passes.
const MAX_CLASSES: usize = 16;
/// The margin is the demand of all requests of the team and service in this time. It covers several gossip
/// intervals, in which other instances take from the level unnoticed.
const MARGIN_SECONDS: f64 = 0.5;
/// Part of the margin that less urgent requests leave untouched, but for [`MIN_PROBABILITY`]. Without it the
/// level settles near zero under heavy overload, and every fluctuation refuses urgent requests.
const UNTOUCHED_FRACTION: f64 = 1.0 / 3.0;
/// Largest margin as a fraction of the burst, so that a team's less urgent requests can use the rest of the
/// burst at once.
const MAX_MARGIN_FRACTION: f64 = 0.5;
/// Least probability with which a request that the level covers is admitted, so that no class starves.
const MIN_PROBABILITY: f64 = 0.05;

/// What a request is to its team: requests of one service compete by priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequestClass {
    /// Tag of the service.
    pub service: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

#[derive(Debug, Clone, Copy)]
struct ClassDemand {
    class: RequestClass,
    units: SlidingSum,
    /// When a request of this class last arrived.
    requested_at: Duration,
}

/// What one team requested through this instance lately, whether it was admitted or refused.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// At most [`MAX_CLASSES`].
    classes: Vec<ClassDemand>,
    units: SlidingSum,
    requests: SlidingSum,
}

impl Demand {
    /// Counts a request. The least recently requested class is forgotten if there are too many.
    pub(super) fn record(&mut self, now: Duration, class: RequestClass, cost: f64) {
        self.units.add(now, cost);
        self.requests.add(now, 1.0);
        if let Some(known) = self.classes.iter_mut().find(|known| known.class == class) {
            known.units.add(now, cost);
            known.requested_at = now;
            return;
        }
        if self.classes.len() >= MAX_CLASSES {
            let oldest = (0..self.classes.len()).min_by_key(|&n| self.classes[n].requested_at);
            if let Some(oldest) = oldest {
                self.classes.swap_remove(oldest);
            }
        }
        let mut units = SlidingSum::default();
        units.add(now, cost);
        self.classes.push(ClassDemand { class, units, requested_at: now });
    }

    /// Units that a request of `cost` units leaves to more urgent requests; 0 if there are none. `reachable`
    /// is the number of reachable instances, which are assumed to have the same demand as this one, and
    /// `burst` is their part of the limit's burst.
    pub(super) fn margin(
        &mut self,
        now: Duration,
        class: RequestClass,
        cost: f64,
        reachable: f64,
        burst: f64,
    ) -> f64 {
        let (mut urgent_units, mut units) = (0.0, 0.0);
        for known in self.classes.iter_mut().filter(|known| known.class.service == class.service) {
            let requested = known.units.sum(now);
            units += requested;
            if known.class.priority < class.priority {
                urgent_units += requested;
            }
        }
        if urgent_units <= 0.0 {
            return 0.0;
        }
        let rate = units * reachable / SlidingSum::SECONDS as f64;
        let margin = (rate * MARGIN_SECONDS).min(burst * MAX_MARGIN_FRACTION);
        // Refusing cheap requests would save little for the more urgent ones.
        let mean_cost = self.units.sum(now) / self.requests.sum(now).max(1.0);
        let relative_cost = if cost < mean_cost { cost / mean_cost } else { 1.0 };
        // A request is not held back at a full level, however large it is.
        (margin * relative_cost).min(burst - cost).max(0.0)
    }
}

/// Whether a request is admitted that leaves `surplus` units of the level. `draw` is a random number in 0..1.
pub(super) fn admits(surplus: f64, margin: f64, draw: f64) -> bool {
    let untouched = margin * UNTOUCHED_FRACTION;
    let probability = (surplus - untouched) / (margin - untouched);
    surplus >= margin || (surplus >= 0.0 && draw < probability.max(MIN_PROBABILITY))
}
