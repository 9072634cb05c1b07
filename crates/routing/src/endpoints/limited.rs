//! Which endpoints with rates a choice looks at, and how many requests try them at all.
//!
//! Instances hear of one another's sends one telling late. If each request tried every endpoint with a rate, one that has room
//! would get what all callers ask in that time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;

use super::Rank;
use crate::{EndpointKey, Stage};

/// Endpoints with rates that a choice looks at.
const TRIES: usize = 2;
/// How much more of the requests tries endpoints with rates than was found to have room there lately. What callers ask beyond
/// that is refused without a look, so that the pressure on an endpoint that has room does not grow with what they ask.
const SURPLUS: f64 = 1.5;
/// Part of the requests that tries them at least.
const TRYING_MIN: f64 = 0.05;
/// Weight of one choice in the share of those that found room.
const FOUND_WEIGHT: f64 = 0.06;

/// Some of the endpoints with rates that a choice meets, drawn with the same chance for each.
#[derive(Debug, Default)]
pub(super) struct Sample {
    met: usize,
    drawn: Vec<(Rank, EndpointKey)>,
}

impl Sample {
    pub(super) fn offer(&mut self, rank: Rank, key: EndpointKey, rng: &mut impl Rng) {
        self.met += 1;
        if self.drawn.len() < TRIES {
            self.drawn.push((rank, key));
            return;
        }
        let place = rng.random_range(0..self.met);
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

/// Share of the choices that found room, among those that met no endpoint without a rate.
#[derive(Debug, Default)]
pub(super) struct Pressure {
    found: RefCell<HashMap<Kind, f64>>,
}

impl Pressure {
    fn share(&self, kind: &Kind) -> f64 {
        self.found.borrow().get(kind).copied().unwrap_or(1.0)
    }

    /// Whether a request tries endpoints with rates where there are no others.
    pub(super) fn tries(&self, service: &str, stage: Option<Stage>, rng: &mut impl Rng) -> bool {
        let share = self.share(&(Arc::from(service), stage));
        rng.random_bool((share * SURPLUS).clamp(TRYING_MIN, 1.0))
    }

    /// Learns whether a request found room, tried or not.
    pub(super) fn learn(&self, service: &str, stage: Option<Stage>, found: bool) {
        let kind = (Arc::from(service), stage);
        let share = self.share(&kind);
        let found = f64::from(u8::from(found));
        self.found.borrow_mut().insert(kind, share + (found - share) * FOUND_WEIGHT);
    }

    /// Forgets everything; no endpoint names a rate.
    pub(super) fn clear(&mut self) {
        self.found.get_mut().clear();
    }
}
