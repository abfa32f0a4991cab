//! What may be made to go wrong in an engine.

use pinereel_core::Version;
use serde::{Deserialize, Serialize};

/// The faults in force. `POST /faults` replaces them all; what is left out is off.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Chunks carry no version.
    pub omit_stamps: bool,
    /// Chunks after a stream's first carry the version below the true one.
    pub regress_stamps: bool,
    /// Serve this version, truly, without an order.
    pub stamp_unordered: Option<Version>,
    /// So many swaps fail at their end; the old version stays.
    pub fail_next_swaps: u32,
    /// Swaps fail halfway: no usable weights are left and what runs is cancelled.
    pub swap_partway: bool,
    /// After so many more tokens: all streams are cut and the engine starts anew.
    pub crash_after_tokens: Option<u64>,
    /// Nothing is produced.
    pub stall: bool,
    /// Each stream is cut after its first chunk, without `[DONE]`.
    pub cut_streams: bool,
    /// Each chunk is sent twice.
    pub duplicate_chunks: bool,
    /// Steps take so many times as long.
    pub slow_factor: f64,
    /// The engine refuses new work and says that it is leaving.
    pub leaving: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            omit_stamps: false,
            regress_stamps: false,
            stamp_unordered: None,
            fail_next_swaps: 0,
            swap_partway: false,
            crash_after_tokens: None,
            stall: false,
            cut_streams: false,
            duplicate_chunks: false,
            slow_factor: 1.0,
            leaving: false,
        }
    }
}
