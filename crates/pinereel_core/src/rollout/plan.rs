//! Predicts the duration of a rollout, and how many engines must stay in service during it.

use super::Settings;
use crate::Version;
use serde::Serialize;
use std::time::Duration;

/// Remaining work of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// The version that all engines should serve.
    pub target: Version,
    /// Engines of the pool, without those that are leaving.
    pub engines: usize,
    /// Engines that do not serve the target yet, without those in quarantine.
    pub pending: usize,
    /// Engines in quarantine.
    pub quarantined: usize,
    /// Maximum number of engines that load at the same time.
    pub wave: usize,
    /// Remaining waves of loads.
    pub waves: usize,
    /// Remaining time until all pending engines serve the target; `None` if the limits allow no
    /// load at all.
    pub predicted: Option<Duration>,
}

impl Plan {
    /// Plans the loads of `pending` out of `engines` engines, each of which takes `load_time`.
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
        // The end of a wave is detected by a read that is up to `poll_interval` late.
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

/// Number of engines out of `engines` that must stay in service.
///
/// One engine may always be taken out of service unless the share is 1; otherwise a pool of one
/// engine would never get new weights.
pub(super) fn min_serving(engines: usize, min_serving_share: f64) -> usize {
    let needed = (engines as f64 * min_serving_share).ceil() as usize;
    if min_serving_share >= 1.0 {
        return engines;
    }
    needed.min(engines.saturating_sub(1))
}
