//! New connections that are closed unread while the processor is overloaded.

mod processor;

use std::time::Duration;

use processor::{Plan, Processor};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SECOND: Duration = Duration::from_secs(1);
/// Time from the begin of a rush until requests must be served again.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Part of the requests of that time, against those before, that must be served.
const SERVED_MIN: f64 = 0.75;
/// Requests a second that must be read in a rush.
const READ_RATE_MIN: f64 = 5.0;

/// A processor that handles a hundred requests a second, half of which come.
fn plan(rush: f64) -> Plan {
    Plan {
        step: Duration::from_micros(800),
        accept: Duration::from_micros(150),
        rates: (30.0, rush),
        rush: (SECOND * 4, SECOND * 16),
        end: SECOND * 24,
        streams: 0.05,
        returns: 0.3,
        pauses: Vec::new(),
        slice: Duration::from_millis(100),
        seed: 1,
    }
}

fn assert_served(plan: Plan) {
    let text = format!("{plan:?}");
    let (begin, end) = plan.rush;
    let mut processor = Processor::new(plan);
    processor.run();
    let judged = end.saturating_sub(begin + STABLE_TIME);
    let (read, served) = processor.read_and_served(begin + STABLE_TIME, end);
    let (calm_read, calm_served) = processor.read_and_served(Duration::ZERO, begin);
    let (part, calm) = (served as f64 / read.max(1) as f64, calm_served as f64 / calm_read as f64);
    println!("{served} of {read}, {calm:.3} before, {} shed: {text}", processor.shed.len());
    assert!(read as f64 >= judged.as_secs_f64() * READ_RATE_MIN, "{read} read: {text}");
    assert!(part >= calm * SERVED_MIN, "{served} of {read}, {calm:.3} before: {text}");
}

/// Guards against an instance that reads more requests than its processor can handle, so that all of them are late.
#[test]
fn requests_that_are_read_in_a_rush_of_connections_are_served() {
    for rush in [60.0, 150.0, 400.0, 1_000.0, 2_000.0] {
        assert_served(plan(rush));
    }
}

/// Guards against the same with other loads, costs and slices.
#[test]
fn requests_that_are_read_in_random_rushes_are_served() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let share = if rng.random_bool(0.3) { 0.12 } else { 1.0 };
        let whole_step = Duration::from_micros(rng.random_range(200..1_000));
        let streams = rng.random_range(0.0..0.3);
        let returns = rng.random_range(0.0..0.6);
        // Requests a second that the processor handles.
        let capacity = 1.0 / (whole_step.as_secs_f64() * (10.0 + 70.0 * streams));
        let calm = capacity * rng.random_range(0.1..0.4) * (1.0 - returns);
        let step = whole_step.mul_f64(share);
        assert_served(Plan {
            step,
            accept: step / 6,
            rates: (calm, capacity * rng.random_range(1.0..8.0)),
            streams,
            returns,
            slice: Duration::from_millis(100).mul_f64(share),
            seed,
            ..plan(0.0)
        });
    }
}

/// Guards against connections that are closed although the instance keeps up: after short pauses of the process, and where the
/// processor is given out in slices.
#[test]
fn no_connection_is_shed_while_the_processor_keeps_up() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let pauses = (0..4).map(|number| {
            let length = Duration::from_millis(rng.random_range(20..300));
            (SECOND * (4 + 5 * number), length)
        });
        let pauses = if seed % 2 == 0 { pauses.collect() } else { Vec::new() };
        let slice = Duration::from_millis(if seed % 3 == 0 { 15 } else { 100 });
        let step = Duration::from_micros(if seed % 3 == 0 { 90 } else { 800 });
        let mut processor = Processor::new(Plan { step, pauses, slice, seed, ..plan(40.0) });
        processor.run();
        assert_eq!(processor.shed, [], "seed {seed}");
    }
}
