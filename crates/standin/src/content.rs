//! The text that engines "generate": a function of prompt and offset.

use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    "crusher", "belt", "road", "gravel", "apron", "landing", "fee", "shire", "invoice", "quote", "motor",
    "sieve", "runway", "bearing", "hire", "log",
];
/// Shortest generated text without a limit, in tokens.
const MIN_TOKENS: u32 = 12;
/// Number of different lengths of generated texts without a limit, which start at [`MIN_TOKENS`].
const LENGTH_COUNT: u64 = 36;

/// The token at `offset` of the text generated for `prompt`.
pub fn generated_token(prompt: &str, offset: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(offset));
    let word = WORDS[(hash % 16) as usize];
    format!("{word}{:02x} ", (hash >> 8) & 0xff)
}

/// Number of tokens of the complete text generated for `prompt`.
pub fn generated_length(prompt: &str, max_tokens: u32) -> u32 {
    let unlimited = MIN_TOKENS + (xxh3_64_with_seed(prompt.as_bytes(), u64::MAX) % LENGTH_COUNT) as u32;
    unlimited.min(max_tokens)
}

/// The complete text generated for `prompt`.
pub fn generated_text(prompt: &str, max_tokens: u32) -> String {
    (0..generated_length(prompt, max_tokens)).map(|offset| generated_token(prompt, offset)).collect()
}
