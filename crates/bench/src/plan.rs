//! Random plans for a run: a load, and faults at random times, all drawn from one seed.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen};

use crate::world::{Deployment, Fault, Load, Options, Side, Tally, World, britasol, pindan};

/// Time until which requests arrive and faults occur.
const LOAD_END: Duration = Duration::from_mins(1);
/// Start of the load. By then instances have received updates of each other.
const LOAD_START: Duration = Duration::from_secs(2);
/// Maximum number of faults in a plan.
const FAULTS_MAX: usize = 14;

/// Faults with their times, and the seed of the load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Seed of all random draws during the run.
    pub seed: u64,
    /// Whether the deployment is [`pindan`]; otherwise it is [`britasol`].
    pub pindan: bool,
    /// Times in milliseconds since the start, and the fault or repair at each time.
    pub faults: Vec<(u32, Fault)>,
}

impl Plan {
    /// Runs the plan, ends all faults, checks what remains, and returns the results.
    pub fn run(&self) -> Tally {
        let deployment = self.deployment();
        let mut world = World::new(deployment, Options { seed: self.seed, ..Options::default() });
        world.schedule_load(Load {
            long: 6.0,
            quick: 4.0,
            calls: 4.0,
            abandon_fraction: 0.15,
            from: LOAD_START,
            until: LOAD_END,
        });
        for &(at, fault) in &self.faults {
            world.schedule(Duration::from_millis(u64::from(at)), fault);
        }
        world.run_until(LOAD_END);
        world.settle_and_check();
        world.tally().clone()
    }

    fn deployment(&self) -> Deployment {
        let mut deployment = if self.pindan { pindan() } else { britasol() };
        // The horizon is short enough to pass within a run, which reveals keys that are forgotten too early.
        deployment.configuration.policy.horizon_s = 30;
        deployment.configuration.policy.skew_ms = 100;
        deployment
    }
}

fn draw_side(g: &mut Gen) -> Side {
    if u8::arbitrary(g).is_multiple_of(4) { Side::Platform } else { Side::Domain(usize::arbitrary(g) % 8) }
}

fn draw_fault(g: &mut Gen) -> Fault {
    let n = usize::arbitrary(g) % 64;
    match u8::arbitrary(g) % 25 {
        0 | 1 => Fault::Kill(n),
        2 => Fault::Start(n),
        3 => Fault::Stop(n),
        4 | 5 => Fault::Freeze(n),
        6 => Fault::Thaw(n),
        7 | 8 => Fault::Cut(draw_side(g), draw_side(g)),
        9 => Fault::Mend(draw_side(g), draw_side(g)),
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
        21..=23 => Fault::Pause(n),
        _ => Fault::HealAll,
    }
}

impl Arbitrary for Plan {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % FAULTS_MAX + 1;
        let mut faults: Vec<(u32, Fault)> =
            (0..count).map(|_| (u32::arbitrary(g) % LOAD_END.as_millis() as u32, draw_fault(g))).collect();
        faults.sort_by_key(|(at, _)| *at);
        Self { seed: u64::arbitrary(g), pindan: bool::arbitrary(g), faults }
    }

    /// Removes each fault in turn, so that a counterexample is reduced to the faults that it needs.
    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        let candidates = (0..plan.faults.len()).map(move |index| {
            let mut next = plan.clone();
            next.faults.remove(index);
            next
        });
        Box::new(candidates)
    }
}
