//! Faults that can be injected into the fake engine.

use pinereel_core::Version;
use serde::{Deserialize, Serialize};

/// Injected faults. `POST /faults` replaces all of them; an absent field turns its fault off.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Send chunks without a version.
    pub omit_stamps: bool,
    /// Stamp all chunks but the first of a stream with the actual version minus one.
    pub regress_stamps: bool,
    /// Switch to this version at once, without an order to load it.
    pub stamp_unordered: Option<Version>,
    /// Number of next swaps that fail at their end; the engine keeps the old version.
    pub fail_next_swaps: u32,
    /// Fail swaps halfway: no usable weights remain, and all running and waiting sequences are
    /// cancelled.
    pub swap_partway: bool,
    /// Number of further output tokens after which the engine crashes: it cuts all streams and
    /// restarts.
    pub crash_after_tokens: Option<u64>,
    /// Start no further steps, so that no tokens are generated.
    pub stall: bool,
    /// Cut each stream after its next chunk, without `data: [DONE]`.
    pub cut_streams: bool,
    /// Send each chunk twice.
    pub duplicate_chunks: bool,
    /// Factor by which steps take longer; 1 for normal speed.
    pub slow_factor: f64,
    /// Refuse new requests and report that the engine is leaving.
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
