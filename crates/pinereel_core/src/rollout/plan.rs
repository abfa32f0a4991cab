//! How long a rollout will take, and how many engines may be out of service for it.

use super::Settings;
use crate::Version;
use serde::Serialize;
use std::time::Duration;

/// What a rollout still has to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// The version that all engines should serve.
    pub target: Version,
    /// Engines of the pool that aren't leaving.
    pub engines: usize,
    /// Engines that don't serve the target yet, without those in quarantine.
    pub pending: usize,
    /// Engines in quarantine.
    pub quarantined: usize,
    /// Most engines that load at once.
    pub wave: usize,
    /// Waves left.
    pub waves: usize,
    /// Time left until all pending engines serve the target; `None` if the floor or the store's
    /// rate allows no load at all.
    pub predicted: Option<Duration>,
}

impl Plan {
    /// A plan for `pending` of `engines`, when one load takes `load_time`.
    pub fn new(
        target: Version,
        engines: usize,
        pending: usize,
        quarantined: usize,
        load_time: Duration,
        settings: &Settings,
    ) -> Self {
        let wave = settings
            .max_loads
            .min(engines - min_serving(engines, settings.min_serving_share));
        let waves = if pending == 0 {
            0
        } else {
            pending.div_ceil(wave.max(1))
        };
        // A wave's end is seen by a read that comes up to `poll` late.
        let wave_time = load_time + settings.poll_interval;
        let predicted = (wave > 0 || pending == 0).then(|| wave_time * waves as u32);
        Self {
            target,
            engines,
            pending,
            quarantined,
            wave,
            waves,
            predicted,
        }
    }
}

/// Engines that must stay in service out of `engines`.
///
/// One may always be taken out unless the floor is 1: else a pool of one engine would never get
/// new weights.
pub(super) fn min_serving(engines: usize, min_serving_share: f64) -> usize {
    let needed = (engines as f64 * min_serving_share).ceil() as usize;
    if min_serving_share >= 1.0 {
        return engines;
    }
    needed.min(engines.saturating_sub(1))
}
