//! Text of a completion: a pure function of prompt and seed, independent of the weights.
//!
//! The first word contains the hash of the prompt and the seed. A test that knows only the prompt
//! can therefore distinguish a full text from one that is truncated, mixed or of another prompt.

use pinereel_core::hash;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::f64::consts::TAU;

/// Median length of a completion without stragglers, in tokens.
const MEDIAN_TOKENS: f64 = 48.0;
/// Standard deviation of the natural logarithm of the length.
const LOG_LENGTH_STD_DEV: f64 = 0.9;
/// On average, one completion in this many is a straggler.
const COMPLETIONS_PER_STRAGGLER: u32 = 40;
/// Factor by which a straggler is longer.
const STRAGGLER_FACTOR: f64 = 8.0;

/// Why a text is not a full completion of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The first word does not contain a prompt hash and a seed.
    #[error("the first word does not contain a prompt hash and a seed")]
    FirstWord,
    /// The text belongs to another prompt.
    #[error("the text belongs to another prompt")]
    OtherPrompt,
    /// Words are missing, repeated or mixed.
    #[error("the text differs from the completion of its prompt and seed")]
    Mismatch,
}

/// Token number `index` of a completion, counted from 0: one word with its leading space.
pub fn token(prompt: &str, seed: u64, index: u32) -> String {
    let prompt_hash = hash::stable(prompt.as_bytes());
    if index == 0 {
        return format!(" {prompt_hash:016x}.{seed:016x}");
    }
    let mut bytes = [0; 20];
    bytes[..8].copy_from_slice(&prompt_hash.to_le_bytes());
    bytes[8..16].copy_from_slice(&seed.to_le_bytes());
    bytes[16..].copy_from_slice(&index.to_le_bytes());
    format!(" {:06x}", hash::stable(&bytes) & 0x00ff_ffff)
}

/// Number of tokens in a completion without `max_tokens`: log-normal, with some stragglers.
pub fn unlimited_length(prompt: &str, seed: u64) -> u32 {
    let mut random = ChaCha8Rng::seed_from_u64(hash::stable(prompt.as_bytes()) ^ seed);
    // Box-Muller transform. The logarithm is finite, as the random number is below 1.
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let normal = radius * (TAU * random.random::<f64>()).cos();
    let is_straggler = random.random_ratio(1, COMPLETIONS_PER_STRAGGLER);
    let factor = if is_straggler { STRAGGLER_FACTOR } else { 1.0 };
    let length = MEDIAN_TOKENS * factor * (LOG_LENGTH_STD_DEV * normal).exp();
    length.max(1.0) as u32
}

/// Number of tokens in a completion with `max_tokens`.
pub fn length(prompt: &str, seed: u64, max_tokens: u32) -> u32 {
    unlimited_length(prompt, seed).min(max_tokens)
}

/// Full text of a completion with `max_tokens`.
pub fn completion(prompt: &str, seed: u64, max_tokens: u32) -> String {
    (0..length(prompt, seed, max_tokens))
        .map(|index| token(prompt, seed, index))
        .collect()
}

/// Checks that `text` is the full completion of `prompt` for the seed in its first word.
///
/// # Errors
/// If it is not.
pub fn check(prompt: &str, max_tokens: u32, text: &str) -> Result<(), Error> {
    let first_word = text.split_whitespace().next().ok_or(Error::FirstWord)?;
    let (prompt_hash, seed) = first_word.split_once('.').ok_or(Error::FirstWord)?;
    let prompt_hash = u64::from_str_radix(prompt_hash, 16).map_err(|_| Error::FirstWord)?;
    let seed = u64::from_str_radix(seed, 16).map_err(|_| Error::FirstWord)?;
    if prompt_hash != hash::stable(prompt.as_bytes()) {
        return Err(Error::OtherPrompt);
    }
    if text != completion(prompt, seed, max_tokens) {
        return Err(Error::Mismatch);
    }
    Ok(())
}
