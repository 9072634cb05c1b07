//! Which rate-limited endpoints a choice considers, and how many requests attempt one at all.
//!
//! Instances learn of one another's sends with the gossip delay. If each request attempted every rate-limited
//! endpoint, an endpoint with free capacity would get all callers' requests during that delay.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;

use super::choice::Rank;
use crate::{EndpointKey, Stage};

/// Rate-limited endpoints that a choice considers where rates are advertised.
const ADVERTISED_SAMPLE: usize = 2;
/// The same where all limits are learned. The division of capacity has decided then that the request is served,
/// and among endpoints of uneven limits two are often both used up.
const LEARNED_SAMPLE: usize = 6;
/// Fraction of the requests that attempt rate-limited endpoints, as a multiple of the fraction that found
/// capacity there lately. Requests beyond that are refused without an attempt, so that the load on an
/// endpoint with free capacity doesn't grow with the callers' demand.
const ATTEMPT_SURPLUS: f64 = 1.5;
/// Smallest fraction of the requests that attempt them.
const ATTEMPT_FRACTION_MIN: f64 = 0.05;
/// Weight of one choice in the fraction of those that found capacity.
const FOUND_WEIGHT: f64 = 0.06;

/// Random sample of the rate-limited endpoints among a choice's candidates, with the same chance for each.
#[derive(Debug)]
pub(super) struct Sample {
    size: usize,
    seen: usize,
    drawn: Vec<(Rank, EndpointKey)>,
}

impl Sample {
    /// An empty sample; `advertised` if some endpoint advertises a rate.
    pub(super) const fn new(advertised: bool) -> Self {
        let size = if advertised { ADVERTISED_SAMPLE } else { LEARNED_SAMPLE };
        Self { size, seen: 0, drawn: Vec::new() }
    }

    pub(super) fn offer(&mut self, rank: Rank, key: EndpointKey, rng: &mut impl Rng) {
        self.seen += 1;
        if self.drawn.len() < self.size {
            self.drawn.push((rank, key));
            return;
        }
        let place = rng.random_range(0..self.seen);
        if let Some(drawn) = self.drawn.get_mut(place) {
            *drawn = (rank, key);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.drawn.is_empty()
    }

    pub(super) fn drawn(self) -> impl Iterator<Item = (Rank, EndpointKey)> {
        self.drawn.into_iter()
    }
}

/// Service and stage of a choice.
type Kind = (Arc<str>, Option<Stage>);

/// Fraction of the choices that found capacity, among those with rate-limited candidates only.
#[derive(Debug, Default)]
pub(super) struct FoundFraction {
    found: RefCell<HashMap<Kind, f64>>,
}

impl FoundFraction {
    fn fraction(&self, kind: &Kind) -> f64 {
        self.found.borrow().get(kind).copied().unwrap_or(1.0)
    }

    /// Draws whether a request attempts rate-limited endpoints where there are no others.
    pub(super) fn attempts(&self, service: &str, stage: Option<Stage>, rng: &mut impl Rng) -> bool {
        let fraction = self.fraction(&(Arc::from(service), stage));
        rng.random_bool((fraction * ATTEMPT_SURPLUS).clamp(ATTEMPT_FRACTION_MIN, 1.0))
    }

    /// Learns whether a request found capacity; a request without an attempt did not.
    pub(super) fn learn(&self, service: &str, stage: Option<Stage>, found: bool) {
        let kind = (Arc::from(service), stage);
        let fraction = self.fraction(&kind);
        let found = f64::from(u8::from(found));
        self.found.borrow_mut().insert(kind, fraction + (found - fraction) * FOUND_WEIGHT);
    }

    /// Resets the fractions, when no endpoint advertises a rate.
    pub(super) fn clear(&mut self) {
        self.found.get_mut().clear();
    }
}
