//! Generated tokens. A token is a function of the seed, the prompt and the position, so that tests can check a complete
//! answer.

use std::fmt::Write;

use super::cache::fnv1a;

/// Number of prompt bytes per token; a partial last token counts as one.
const BYTES_PER_TOKEN: usize = 4;

/// Number of tokens of a prompt: one per four bytes, rounded up.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// The token at `index` of the answer to `prompt`. The token does not depend on the weight version, so that tests can
/// also check an answer during which the version changed.
pub fn expected_token(seed: u64, prompt: &str, index: u64) -> String {
    token(prompt_key(seed, prompt), index)
}

/// The tokens from `first` up to, but not including, `end`, joined.
pub fn expected_text(seed: u64, prompt: &str, first: u64, end: u64) -> String {
    let key = prompt_key(seed, prompt);
    (first..end).map(|index| token(key, index)).collect()
}

pub(super) fn prompt_key(seed: u64, prompt: &str) -> u64 {
    fnv1a(fnv1a(0, &seed.to_le_bytes()), prompt.as_bytes())
}

pub(super) fn token(key: u64, index: u64) -> String {
    let hash = fnv1a(key, &index.to_le_bytes());
    let mut text = String::with_capacity(8);
    // `write!` to a `String` never returns an error.
    let _ = write!(text, "{:07x} ", hash & 0x0fff_ffff);
    text
}
