//! The text of a completion: a pure function of prompt and seed, whatever weights computed it.
//!
//! The first word holds the prompt's hash and the seed, so a checker that knows only the prompt
//! can tell a whole text from a cut, mixed or foreign one.

use pinereel_core::hash;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::f64::consts::TAU;

/// Median length of a completion, in tokens.
const MEDIAN_TOKENS: f64 = 48.0;
/// Spread of the logarithm of the length.
const SIGMA: f64 = 0.9;
/// One completion in this many is a straggler.
const STRAGGLER_ONE_IN: u32 = 40;
/// How many times longer a straggler is.
const STRAGGLER_FACTOR: f64 = 8.0;

/// Why a text is not the whole completion of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Flaw {
    /// The first word does not name a prompt and a seed.
    #[error("the first word names no prompt and seed")]
    Head,
    /// The text belongs to another prompt.
    #[error("the text belongs to another prompt")]
    Foreign,
    /// Words are missing, repeated or mixed.
    #[error("the text is not the whole completion")]
    Differs,
}

/// Token number `index` of a completion: one word with its leading space.
pub fn word(prompt: &str, seed: u64, index: u32) -> String {
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

/// Tokens that a completion has if nothing limits it: log-normal with some stragglers.
pub fn natural_length(prompt: &str, seed: u64) -> u32 {
    let mut random = ChaCha8Rng::seed_from_u64(hash::stable(prompt.as_bytes()) ^ seed);
    // Box-Muller; 1 - x keeps the logarithm finite.
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let normal = radius * (TAU * random.random::<f64>()).cos();
    let straggles = random.random_ratio(1, STRAGGLER_ONE_IN);
    let factor = if straggles { STRAGGLER_FACTOR } else { 1.0 };
    let length = MEDIAN_TOKENS * factor * (SIGMA * normal).exp();
    length.max(1.0) as u32
}

/// Tokens of a completion under `max_tokens`.
pub fn length(prompt: &str, seed: u64, max_tokens: u32) -> u32 {
    natural_length(prompt, seed).min(max_tokens)
}

/// The whole text of a completion.
pub fn whole(prompt: &str, seed: u64, max_tokens: u32) -> String {
    (0..length(prompt, seed, max_tokens))
        .map(|index| word(prompt, seed, index))
        .collect()
}

/// Checks that `text` is a whole completion of `prompt`, for whichever seed it names.
pub fn check(prompt: &str, max_tokens: u32, text: &str) -> Result<(), Flaw> {
    let head = text.split_whitespace().next().ok_or(Flaw::Head)?;
    let (prompt_hash, seed) = head.split_once('.').ok_or(Flaw::Head)?;
    let prompt_hash = u64::from_str_radix(prompt_hash, 16).map_err(|_| Flaw::Head)?;
    let seed = u64::from_str_radix(seed, 16).map_err(|_| Flaw::Head)?;
    if prompt_hash != hash::stable(prompt.as_bytes()) {
        return Err(Flaw::Foreign);
    }
    if text != whole(prompt, seed, max_tokens) {
        return Err(Flaw::Differs);
    }
    Ok(())
}
