//! How many engines of a service prefill and how many decode.
//!
//! A prefill takes one engine a tenth of a second or so; its KV cache then takes a part of a decode engine's memory for
//! the length of the answer, some thirty times as long. How many answers a decode engine holds at a time follows from
//! its memory, so that the larger the memory, the larger the share of engines that prefill.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{Endpoint, Incarnation, Stage};

/// Tokens of memory at which one decode engine keeps up with one prefill engine: a request's tokens (some thousands)
/// times how much longer an answer takes than its prefill (some thirty times).
const BALANCE: f64 = 128_000.0;
/// Prefill engines over the balance, for each root of their number: a queue at prefill engines makes first events late,
/// and the more engines share the load, the less of it varies (square-root staffing).
const HEADROOM: f64 = 0.65;

/// Prefill engines over the wanted number that are left as they are while the system serves: a change takes an engine
/// out for seconds, and numbers waver while endpoints come and go.
const EXCESS: usize = 1;
/// The same as a share of all engines, which counts where there are many.
const EXCESS_SHARE: f64 = 0.03;

/// A change of an engine's stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageChange {
    /// The engine.
    pub id: Arc<str>,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// Its new stage.
    pub stage: Stage,
}

/// Changes that bring the engines of one service to the wanted share; `open` are those that take new work, and
/// `ordered` tells the stage that a start of an engine was ordered to take already, which the list shows only seconds later.
///
/// Each failure domain keeps its prefill engines as evenly as numbers allow: the domain with the most gives one up
/// first. `memory` is an engine's memory in tokens. At least two are kept, so that the loss of one leaves prefill working. With `serving` a small excess is left
/// alone.
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
    let balance = all.len() as f64 * memory / (memory + BALANCE);
    let wanted = ((balance + HEADROOM * balance.sqrt()).round() as usize).max(2);
    let mut changes = Vec::new();
    let excess = EXCESS.max((all.len() as f64 * EXCESS_SHARE) as usize);
    if serving && prefill.count <= wanted + excess {
        return changes;
    }
    while prefill.count > wanted {
        let Some(engine) = prefill.take() else { break };
        changes.push(StageChange {
            id: Arc::clone(&engine.id),
            incarnation: engine.incarnation(),
            stage: Stage::Decode,
        });
    }
    changes
}

/// Engines by failure domain, so that a plan for thousands takes no time that grows faster than their number.
#[derive(Debug, Default)]
struct ByDomain<'a> {
    /// Those of each domain, the one with the last id at the end.
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

    /// Takes one out of the domain that has most; of several such domains, the one with the last id.
    fn take(&mut self) -> Option<&'a Endpoint> {
        let most = self.engines.values_mut().max_by_key(|e| (e.len(), e.last().map(|last| &last.id)))?;
        let engine = most.pop()?;
        self.count -= 1;
        Some(engine)
    }
}
