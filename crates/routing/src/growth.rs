//! Memory that running generations will still need.
//!
//! An engine grants room by the memory that is used when it is asked, and generations go on growing after that. What
//! instances tell one another counts whole generations, but is a moment old: in a burst several of them send a request to
//! the same engine, which takes all, and puts streams back in the middle when its memory is used up. So the room asked for
//! covers besides what the generations there will still grow by, and the engine itself decides between the askers.

/// Weight of one generation.
const WEIGHT: f64 = 0.05;

/// The share of generations' memory that is not used yet, of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Growth {
    share: f64,
}

impl Growth {
    /// A generation was sent with a prompt and an expected output of so many tokens. On average half of its output is yet to
    /// come while it runs.
    pub fn learn(&mut self, prompt: u64, output: u64) {
        let share = output as f64 / 2.0 / (prompt + output).max(1) as f64;
        self.share += (share - self.share) * WEIGHT;
    }

    /// Tokens by which generations that need `tokens` in all will still grow.
    pub fn ahead(&self, tokens: u64) -> u64 {
        (tokens as f64 * self.share) as u64
    }
}
