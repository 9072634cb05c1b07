//! Rates that endpoints name: how many requests a second one takes from all instances together.

use std::collections::HashMap;

use crate::EngineTag;

/// Change of a rate that is news, as a part of it.
const CHANGED: f64 = 0.01;

/// What changed in an endpoint's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateChange {
    /// It names one, or another one.
    Limited(f64),
    /// It names none any more.
    Ended,
}

/// What one instance knows of the rates that endpoints name.
#[derive(Debug, Default)]
pub struct Rates {
    limits: HashMap<EngineTag, f64>,
}

impl Rates {
    /// An answer of an endpoint names a rate, or none. Says what that changes.
    pub fn answered(&mut self, endpoint: EngineTag, rate: Option<f64>) -> Option<RateChange> {
        let Some(rate) = rate else {
            return self.limits.remove(&endpoint).map(|_| RateChange::Ended);
        };
        let before = self.limits.insert(endpoint, rate);
        let news = before.is_none_or(|before| (before - rate).abs() > before * CHANGED);
        news.then_some(RateChange::Limited(rate))
    }

    /// How many endpoints name a rate.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }
}
