//! A random run: load, and faults at random times, all drawn from one seed.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen};

use crate::world::{Deployment, Fault, Load, Options, Side, Tally, World, britasol, pindan};

/// How long load and faults go on.
const LENGTH: Duration = Duration::from_mins(1);
/// Requests start after the instances have found each other.
const START: Duration = Duration::from_secs(2);
/// Most faults of a plan.
const FAULTS: usize = 14;

/// Faults at times, over a load drawn from a seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Seed of everything that is not in the list of faults.
    pub seed: u64,
    /// Whether the deployment is Pindan's; otherwise Britasol's.
    pub pindan: bool,
    /// Milliseconds since the start, and what breaks or heals then.
    pub faults: Vec<(u32, Fault)>,
}

impl Plan {
    /// Runs the plan to its end, heals everything, and gives what was counted.
    pub fn run(&self) -> Tally {
        let deployment = self.deployment();
        let mut world = World::new(deployment, Options { seed: self.seed, ..Options::default() });
        world.schedule_load(Load {
            long: 6.0,
            quick: 4.0,
            calls: 4.0,
            abandon_fraction: 0.15,
            from: START,
            until: LENGTH,
        });
        for &(at, fault) in &self.faults {
            world.schedule(Duration::from_millis(u64::from(at)), fault);
        }
        world.run_until(LENGTH);
        world.settle_and_check();
        world.tally().clone()
    }

    fn deployment(&self) -> Deployment {
        let mut deployment = if self.pindan { pindan() } else { britasol() };
        // Short enough for the horizon to pass within a run, where forgetting too early would show.
        deployment.configuration.policy.horizon_s = 30;
        deployment.configuration.policy.skew_ms = 100;
        deployment
    }
}

fn side(g: &mut Gen) -> Side {
    if u8::arbitrary(g).is_multiple_of(4) { Side::Platform } else { Side::Domain(usize::arbitrary(g) % 8) }
}

fn fault(g: &mut Gen) -> Fault {
    let n = usize::arbitrary(g) % 64;
    match u8::arbitrary(g) % 22 {
        0 | 1 => Fault::Kill(n),
        2 => Fault::Start(n),
        3 => Fault::Stop(n),
        4 | 5 => Fault::Freeze(n),
        6 => Fault::Thaw(n),
        7 | 8 => Fault::Cut(side(g), side(g)),
        9 => Fault::Mend(side(g), side(g)),
        10 => Fault::Outage,
        11 => Fault::OutageEnd,
        12 => Fault::Stale,
        13 => Fault::Stall(n),
        14 => Fault::StallEnd(n),
        15 => Fault::Silence(n),
        16 => Fault::Drain(n),
        17 => Fault::Undrain(n),
        18 => Fault::Share(n as u32 * 2),
        19 | 20 => Fault::Deadly(n),
        _ => Fault::HealAll,
    }
}

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % FAULTS + 1;
        let mut faults: Vec<(u32, Fault)> =
            (0..count).map(|_| (u32::arbitrary(g) % LENGTH.as_millis() as u32, fault(g))).collect();
        faults.sort_by_key(|(at, _)| *at);
        Self { seed: u64::arbitrary(g), pindan: bool::arbitrary(g), faults }
    }

    /// Leaves faults out one by one, so that a counterexample ends with only those that it needs.
    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        let shorter = (0..plan.faults.len()).map(move |leave| {
            let mut next = plan.clone();
            next.faults.remove(leave);
            next
        });
        Box::new(shorter)
    }
}
