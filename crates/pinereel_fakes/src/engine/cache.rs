//! The cache of prompt prefixes: bounded, least recently used out first.
//!
//! Blocks of words are keyed by the hash of the whole prompt up to their end and remember the
//! version that computed them. A weight swap keeps them, as engines do that reuse across versions.

use pinereel_core::{Span, Version, hash};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Words in a block.
pub const BLOCK: usize = 4;

/// A change of the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A block came in.
    Stored(u64),
    /// A block went out.
    Evicted(u64),
}

/// The cached blocks of a prompt, for another engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blob {
    /// Key and computing version of each block, in prompt order.
    pub blocks: Vec<(u64, Version)>,
}

impl Blob {
    /// The versions that computed the blocks.
    pub fn spans(&self) -> Vec<Span> {
        let mut spans = Vec::new();
        for (_, version) in &self.blocks {
            append(&mut spans, *version, BLOCK as u32);
        }
        spans
    }
}

/// The cache of one engine.
#[derive(Clone, Debug)]
pub struct Cache {
    /// Most blocks.
    bound: usize,
    /// Computing version and last use by key.
    blocks: BTreeMap<u64, (Version, u64)>,
    /// Counts uses.
    clock: u64,
    /// Changes not taken yet.
    changes: Vec<Change>,
}

impl Cache {
    /// An empty cache of at most `bound` blocks.
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            blocks: BTreeMap::new(),
            clock: 0,
            changes: Vec::new(),
        }
    }

    /// The cached blocks at the start of `prompt` under `salt`; marks them as used.
    pub fn find(&mut self, salt: &str, prompt: &str) -> Blob {
        self.clock += 1;
        let mut found = Blob::default();
        for key in keys(salt, prompt) {
            let Some((version, used)) = self.blocks.get_mut(&key) else {
                break;
            };
            *used = self.clock;
            found.blocks.push((key, *version));
        }
        found
    }

    /// Adds the blocks of `prompt` under `salt` that are missing, as computed under `version`.
    pub fn fill(&mut self, salt: &str, prompt: &str, version: Version) {
        let blocks = keys(salt, prompt)
            .into_iter()
            .map(|key| (key, version))
            .collect();
        self.import(&Blob { blocks });
    }

    /// Adds blocks from elsewhere. Blocks that are there already keep their version.
    pub fn import(&mut self, blob: &Blob) {
        self.clock += 1;
        for (key, version) in &blob.blocks {
            if self.blocks.contains_key(key) {
                continue;
            }
            self.blocks.insert(*key, (*version, self.clock));
            self.changes.push(Change::Stored(*key));
            self.evict();
        }
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn evict(&mut self) {
        if self.blocks.len() <= self.bound {
            return;
        }
        let oldest = self.blocks.iter().min_by_key(|(_, (_, used))| *used);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.blocks.remove(&key);
            self.changes.push(Change::Evicted(key));
        }
    }
}

/// Adds `tokens` of `version` to `spans`, joined with an equal last span.
pub fn append(spans: &mut Vec<Span>, version: Version, tokens: u32) {
    match spans.last_mut() {
        _ if tokens == 0 => {}
        Some(last) if last.version == version => last.tokens += tokens,
        _ => spans.push(Span { version, tokens }),
    }
}

/// Tokens of a prompt: its words.
pub fn tokens(prompt: &str) -> u32 {
    prompt.split_whitespace().count() as u32
}

/// Keys of the full blocks of `prompt` under `salt`.
fn keys(salt: &str, prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut text = String::from(salt);
    let mut keys = Vec::new();
    for block in words.chunks_exact(BLOCK) {
        text.push_str(&block.join(" "));
        text.push(' ');
        keys.push(hash::stable(text.as_bytes()));
    }
    keys
}
