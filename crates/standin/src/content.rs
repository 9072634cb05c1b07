//! What engines "generate": a function of prompt and offset.

use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    "crusher", "belt", "road", "gravel", "apron", "landing", "fee", "shire", "invoice", "quote", "motor",
    "sieve", "runway", "bearing", "hire", "log",
];
/// Shortest natural answer, in tokens.
const SHORTEST: u32 = 12;
/// Spread of natural answers, in tokens.
const SPREAD: u64 = 36;

/// The token at `offset` of the answer to `prompt`.
pub fn generated_token(prompt: &str, offset: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(offset));
    let word = WORDS[(hash % 16) as usize];
    format!("{word}{:02x} ", (hash >> 8) & 0xff)
}

/// Tokens of the whole answer to `prompt`.
pub fn generated_length(prompt: &str, max_tokens: u32) -> u32 {
    let natural = SHORTEST + (xxh3_64_with_seed(prompt.as_bytes(), u64::MAX) % SPREAD) as u32;
    natural.min(max_tokens)
}

/// The whole answer to `prompt`.
pub fn generated_text(prompt: &str, max_tokens: u32) -> String {
    (0..generated_length(prompt, max_tokens)).map(|offset| generated_token(prompt, offset)).collect()
}
