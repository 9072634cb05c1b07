//! The pace of listed engines, relative to the others of their service and stage.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Endpoints;
use crate::{EndpointKey, EngineTag, Pace, Paces, Stage};

/// Pace from which an engine counts as slow. Engines of one deployment differ by up to 1.4 from the mean all the
/// time.
const SLOW_PACE: f64 = 1.5;
/// Pace up to which a slow engine counts as usual again.
const USUAL_PACE: f64 = 1.3;
/// Samples that it takes to find an engine slow.
const SLOW_SAMPLES_MIN: u32 = 3;
/// Changes of one update, which bounds the log to 40 lines a second; further ones are part of the next updates.
const CHANGES_MAX: usize = 20;

/// An engine that is found slow, or has its usual pace again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceChange {
    /// The engine.
    pub endpoint: EndpointKey,
    /// Its stage.
    pub stage: Stage,
    /// Whether it is slow.
    pub is_slow: bool,
    /// Its pace.
    pub pace: Pace,
}

impl Endpoints {
    /// Learns from the time that an engine took for work of `units`: the tokens in flight when a prefill
    /// started, or the events of a stream.
    pub fn observe_pace(&mut self, now: Instant, key: EndpointKey, stage: Stage, units: u64, time: Duration) {
        let Some(entry) = self.arena.get(key) else { return };
        if units > 0 && entry.endpoint.stage.is_some() {
            self.paces.observe(now, entry.tag, stage, time.as_secs_f64() / units as f64);
        }
    }

    /// Samples of the pace of engines, of all instances.
    pub fn paces(&mut self) -> &mut Paces<SocketAddr> {
        &mut self.paces
    }

    /// An engine's time for its work as a multiple of what is usual for its service and stage, as of the last
    /// update.
    pub fn pace(&self, key: EndpointKey) -> f64 {
        self.arena.get(key).map_or(1.0, |entry| entry.pace)
    }

    /// How many engines are slow.
    pub fn slow_count(&self) -> usize {
        self.arena.values().filter(|entry| entry.is_slow).count()
    }

    /// Updates the pace of all engines by the latest samples. To be called twice a second.
    pub fn update_paces(&mut self, now: Instant) -> Vec<PaceChange> {
        let mut changes = Vec::new();
        self.paces.expire(now);
        if self.paces.is_empty() && !self.is_paced {
            return changes;
        }
        self.is_paced = !self.paces.is_empty();
        for keys in self.services.values() {
            for stage in [Stage::Prefill, Stage::Decode] {
                let engines = keys.iter().filter(|&&key| self.arena[key].endpoint.stage == Some(stage));
                let (keys, tags): (Vec<EndpointKey>, Vec<EngineTag>) =
                    engines.map(|&key| (key, self.arena[key].tag)).unzip();
                for (key, pace) in keys.into_iter().zip(self.paces.paces(now, stage, &tags)) {
                    let entry = &mut self.arena[key];
                    entry.pace = pace.value;
                    let is_slow = if entry.is_slow {
                        pace.value > USUAL_PACE
                    } else {
                        pace.value >= SLOW_PACE && pace.samples >= SLOW_SAMPLES_MIN
                    };
                    if entry.is_slow != is_slow && changes.len() < CHANGES_MAX {
                        entry.is_slow = is_slow;
                        changes.push(PaceChange { endpoint: key, stage, is_slow, pace });
                    }
                }
            }
        }
        changes
    }
}
