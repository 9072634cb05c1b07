//! How many engines of a service prefill and how many decode.
//!
//! A prefill takes an engine about a tenth of a second. Its KV cache then takes a part of a decode engine's
//! memory while the answer is generated, some thirty times as long. A decode engine's memory determines how
//! many answers it holds at a time, so that the larger the memory, the larger the share of engines that
//! prefill.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{Endpoint, Incarnation, Stage};

/// Memory in tokens at which one decode engine keeps up with one prefill engine: the tokens of a request
/// (some thousands) times how much longer an answer takes than its prefill (some thirty times).
const BALANCE_TOKENS: f64 = 128_000.0;
/// Prefill engines above the balance, for each root of their number (square-root staffing): a queue at
/// prefill engines makes first events late, and the more engines share the load, the smaller a part of it
/// varies.
const STAFFING_MARGIN: f64 = 0.65;

/// Prefill engines above the target that are left as they are while the system serves: a change takes an
/// engine out of service for seconds, and numbers fluctuate while endpoints come and go.
const TOLERATED_EXCESS: usize = 1;
/// The same as a fraction of all engines, which counts where there are many.
const TOLERATED_EXCESS_FRACTION: f64 = 0.03;

/// A change of an engine's stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageChange {
    /// The engine.
    pub id: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its new stage.
    pub stage: Stage,
}

/// Returns the changes that bring the engines of one service to the target share. `open` are the engines that
/// take new work, and `ordered` returns the stage that an incarnation of an engine was ordered to take
/// already, which the list shows only seconds later.
///
/// The prefill engines of each failure domain stay as even in number as possible: the domain with the most
/// gives one up first. `memory` is an engine's memory in tokens. At least two prefill engines are kept, so
/// that prefill goes on after the loss of one. With `serving` a small excess is left alone.
pub fn plan_stage_changes<'a>(
    open: impl Iterator<Item = &'a Endpoint>,
    ordered: impl Fn(&Incarnation) -> Option<Stage>,
    serving: bool,
    memory: u64,
) -> Vec<StageChange> {
    let all: Vec<&Endpoint> = open.filter(|e| e.stage.is_some()).collect();
    let stage = |e: &Endpoint| ordered(&e.incarnation()).or(e.stage);
    let mut prefill = ByDomain::of(all.iter().copied().filter(|e| stage(e) == Some(Stage::Prefill)));
    let memory = memory as f64;
    let balance = all.len() as f64 * memory / (memory + BALANCE_TOKENS);
    let target = ((balance + STAFFING_MARGIN * balance.sqrt()).round() as usize).max(2);
    let mut changes = Vec::new();
    let excess = TOLERATED_EXCESS.max((all.len() as f64 * TOLERATED_EXCESS_FRACTION) as usize);
    if serving && prefill.count <= target + excess {
        return changes;
    }
    while prefill.count > target {
        let Some(engine) = prefill.take() else { break };
        changes.push(StageChange {
            id: Arc::clone(&engine.id),
            incarnation: engine.incarnation(),
            stage: Stage::Decode,
        });
    }
    changes
}

/// Engines by failure domain, so that the time to plan for thousands of engines grows no faster than their
/// number.
#[derive(Debug, Default)]
struct ByDomain<'a> {
    /// Engines of each domain, ordered by id.
    engines: BTreeMap<&'a str, Vec<&'a Endpoint>>,
    count: usize,
}

impl<'a> ByDomain<'a> {
    fn of(engines: impl Iterator<Item = &'a Endpoint>) -> Self {
        let mut all = Self::default();
        for engine in engines {
            all.engines.entry(&engine.domain).or_default().push(engine);
            all.count += 1;
        }
        for engines in all.engines.values_mut() {
            engines.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        }
        all
    }

    /// Removes the engine with the last id of the domain that has the most engines; among several such
    /// domains, of the one that has the last id.
    fn take(&mut self) -> Option<&'a Endpoint> {
        let largest = self.engines.values_mut().max_by_key(|e| (e.len(), e.last().map(|last| &last.id)))?;
        let engine = largest.pop()?;
        self.count -= 1;
        Some(engine)
    }
}
