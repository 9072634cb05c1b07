//! Prompts that no prefill engine could prefill in time, within one round through a queue.
//!
//! While prefill engines are behind, each waiting request would take a choice over all of them in each round. No
//! prefill begins during a round, so that a prompt which is no shorter than one that is late everywhere, and has
//! no more time, is late as well.

use std::time::Duration;

/// Late prompts of one round, each with the longest time that its prefill may take.
#[derive(Debug, Default)]
pub struct LatePrompts {
    /// None of them covers another one, so that there is at most one for each limit.
    found: Vec<(u64, Duration)>,
}

impl LatePrompts {
    /// Whether a prompt is known to be late.
    pub fn covers(&self, prompt: u64, limit: Duration) -> bool {
        self.found.iter().any(|&(late, longest)| prompt >= late && limit <= longest)
    }

    pub(crate) fn insert(&mut self, prompt: u64, limit: Duration) {
        self.found.retain(|&(late, longest)| late < prompt || longest > limit);
        self.found.push((prompt, limit));
    }
}
