//! Prefix cache: bounded, with eviction of the least recently used block.
//!
//! A block holds consecutive words of a prompt. Its key is a hash of the salt and of the prompt up
//! to the end of the block, and it records the version that computed it. A weight swap keeps the
//! blocks, as in engines that reuse the KV cache across versions.

use pinereel_core::{Span, Version, hash};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of words per block.
pub const BLOCK_WORDS: usize = 4;

/// A change of the cache; the value is the key of the block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A block was added.
    Stored(u64),
    /// A block was evicted.
    Evicted(u64),
}

/// The cached blocks at the start of a prompt, as exported to another engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedBlocks {
    /// Key of each block and the version that computed it, in prompt order.
    pub blocks: Vec<(u64, Version)>,
}

impl CachedBlocks {
    /// Tokens of the blocks, by the version that computed them.
    pub fn spans(&self) -> Vec<Span> {
        let mut spans = Vec::new();
        for (_, version) in &self.blocks {
            append_span(&mut spans, *version, BLOCK_WORDS as u32);
        }
        spans
    }
}

/// Prefix cache of one engine.
#[derive(Clone, Debug)]
pub struct Cache {
    /// Maximum number of blocks.
    max_blocks: usize,
    /// Version that computed the block and `clock` at its last use, by key.
    blocks: BTreeMap<u64, (Version, u64)>,
    /// Logical clock, incremented by each lookup and each import.
    clock: u64,
    /// Changes since the last [`Cache::take_changes`].
    changes: Vec<Change>,
}

impl Cache {
    /// Creates an empty cache of at most `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            blocks: BTreeMap::new(),
            clock: 0,
            changes: Vec::new(),
        }
    }

    /// Returns the cached blocks at the start of `prompt` under `salt`, and marks them as used.
    pub fn find(&mut self, salt: &str, prompt: &str) -> CachedBlocks {
        self.clock += 1;
        let mut found = CachedBlocks::default();
        for key in block_keys(salt, prompt) {
            let Some((version, last_used)) = self.blocks.get_mut(&key) else {
                break;
            };
            *last_used = self.clock;
            found.blocks.push((key, *version));
        }
        found
    }

    /// Adds the missing blocks of `prompt` under `salt`, as computed by `version`.
    pub fn insert(&mut self, salt: &str, prompt: &str, version: Version) {
        let blocks = block_keys(salt, prompt)
            .into_iter()
            .map(|key| (key, version))
            .collect();
        self.import(&CachedBlocks { blocks });
    }

    /// Adds the blocks that are not cached yet. Those that are cached keep their version.
    pub fn import(&mut self, blocks: &CachedBlocks) {
        self.clock += 1;
        for (key, version) in &blocks.blocks {
            if self.blocks.contains_key(key) {
                continue;
            }
            self.blocks.insert(*key, (*version, self.clock));
            self.changes.push(Change::Stored(*key));
            self.evict();
        }
    }

    /// Returns and removes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Removes the least recently used block if the cache exceeds its maximum size.
    fn evict(&mut self) {
        if self.blocks.len() <= self.max_blocks {
            return;
        }
        let oldest = self
            .blocks
            .iter()
            .min_by_key(|(_, (_, last_used))| *last_used);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.blocks.remove(&key);
            self.changes.push(Change::Evicted(key));
        }
    }
}

/// Appends `tokens` tokens of `version` to `spans`; extends the last span if it has this version.
pub fn append_span(spans: &mut Vec<Span>, version: Version, tokens: u32) {
    match spans.last_mut() {
        _ if tokens == 0 => {}
        Some(last) if last.version == version => last.tokens += tokens,
        _ => spans.push(Span { version, tokens }),
    }
}

/// Number of tokens in a prompt: each word is one token.
pub fn count_tokens(prompt: &str) -> u32 {
    prompt.split_whitespace().count() as u32
}

/// Keys of the full blocks of `prompt` under `salt`.
fn block_keys(salt: &str, prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut text = String::from(salt);
    let mut keys = Vec::new();
    for block in words.chunks_exact(BLOCK_WORDS) {
        text.push_str(&block.join(" "));
        text.push(' ');
        keys.push(hash::stable(text.as_bytes()));
    }
    keys
}
