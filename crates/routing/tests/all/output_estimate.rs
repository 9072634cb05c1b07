//! Expected outputs of generations.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use teaselshunt_routing::OutputEstimate;

/// Tokens in an event of the simulated engines.
const EVENT: f64 = 11.0;

/// An approximately standard normal number.
fn normal(rng: &mut SmallRng) -> f64 {
    (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0
}

/// Outputs vary by a factor of two, and callers' estimates of them by 1.6 in either direction. Reservations
/// by estimates alone are too large where callers estimate much, and too small where they estimate little:
/// engines run out of memory while others have capacity, and preempt streams. The learned estimate must at
/// least halve the squared error, and be right on average where callers estimate much.
#[test]
fn predictions_are_between_the_callers_estimate_and_the_usual_output() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut outputs = OutputEstimate::default();
    assert_eq!(outputs.predict(1_500), 1_500, "nothing was learned yet");
    assert_eq!(outputs.tokens_for_events(10), None);
    let mut draw = move || {
        let tokens = (580.0_f64.ln() + 0.7 * normal(&mut rng)).exp();
        let hint = (tokens.ln() + 0.5 * normal(&mut rng)).exp();
        (tokens, hint as u64)
    };
    for _ in 0..400 {
        let (tokens, hint) = draw();
        outputs.learn(hint, (tokens / EVENT).ceil() as u32);
    }
    let (mut before, mut after) = (0.0, 0.0);
    for _ in 0..2_000 {
        let (tokens, hint) = draw();
        before += (hint as f64 - tokens).powi(2);
        after += (outputs.predict(hint) as f64 - tokens).powi(2);
    }
    assert!(after < before / 2.0, "{after} {before}");
    let made = outputs.tokens_for_events(100).expect("enough was learned") as f64;
    assert!((made / (100.0 * EVENT) - 1.0).abs() < 0.15, "{made}");
}
