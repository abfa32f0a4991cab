//! Size of the fleet that is expected in two years, and estimates at this size from the measurements.
//! Rates are per second.

mod rows;

use super::fit::Measurement;
use rows::ROWS;
use serde::Serialize;
use std::collections::BTreeMap;

/// Number of entries.
pub const ENTRIES: f64 = 350.0;
/// Number of engines.
pub const ENGINES: f64 = 2_900.0;
/// Peak rate of requests.
pub const REQUEST_RATE: f64 = 8_100.0;
/// Peak rate of generated tokens.
pub const TOKEN_RATE: f64 = 2.1e6;
/// Number of trainers.
pub const TRAINERS: f64 = 19.0;
/// Number of samples of a trainer's step.
pub const SAMPLES_PER_STEP: f64 = 8_192.0;
/// Time within which all samples of a step are finished, in seconds.
pub const STEP_S: f64 = 32.0 * 60.0;
/// Interval at which new weights are published, in seconds.
pub const PUBLISH_S: f64 = 180.0;
/// Number of availability zones.
pub const ZONES: f64 = 9.0;
/// Rate of configuration patches, averaged over a day.
pub const PATCH_RATE: f64 = 3_700.0 / 86_400.0;
/// Maximum CPU time of control tasks, in percent of a core.
pub const MAX_CPU_PERCENT: f64 = 3.3;
/// Maximum memory of control tasks, in MB.
pub const MAX_MEMORY_MB: f64 = 256.0;
/// Maximum rate of bytes of control traffic.
pub const MAX_BYTE_RATE: f64 = 6_000.0;
/// Maximum rate of reads of the object API.
pub const MAX_READ_RATE: f64 = 2_000.0;
/// Maximum rate of writes to the object API: the lower end of "several hundred".
pub const MAX_WRITE_RATE: f64 = 300.0;
/// Number of endpoints in an entry's subset, by the default of the settings.
pub const SUBSET_SIZE: f64 = 64.0;
/// Number of links of an entry in a fleet too large for a full mesh: three that it opens in its zone,
/// three that it opens to other zones, and as many that it accepts.
pub const LINKS_PER_ENTRY: f64 = 12.0;

/// Measurements, by name.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    by_name: BTreeMap<&'static str, Measurement>,
}

impl Measurements {
    /// Adds measurements. A later one replaces an earlier one of the same name.
    pub fn add(&mut self, measurements: impl IntoIterator<Item = Measurement>) {
        let named = measurements
            .into_iter()
            .map(|measurement| (measurement.name, measurement));
        self.by_name.extend(named);
    }

    /// Value of the measurement `name` at `x`; `None` if it was not measured.
    pub fn at(&self, name: &str, x: f64) -> Option<f64> {
        Some(self.by_name.get(name)?.at(x))
    }
}

/// A figure estimated for the expected size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// Part of the system that the figure belongs to.
    #[serde(rename = "duty")]
    pub component: &'static str,
    /// What the value states.
    #[serde(rename = "what")]
    pub figure: &'static str,
    /// Unit of the value and the bound.
    pub unit: &'static str,
    /// Estimated value.
    pub value: f64,
    /// Maximum allowed value, if there is one.
    pub bound: Option<f64>,
}

impl Estimate {
    /// Whether the value is within its bound; `None` if it has no bound.
    pub fn is_within_bound(&self) -> Option<bool> {
        Some(self.value <= self.bound?)
    }
}

/// All figures that can be estimated from the available measurements.
pub fn estimates(measurements: &Measurements) -> Vec<Estimate> {
    let rows = ROWS.iter().filter_map(|row| {
        Some(Estimate {
            component: row.component,
            figure: row.figure,
            unit: row.unit,
            value: (row.value)(measurements)?,
            bound: row.bound,
        })
    });
    rows.collect()
}

/// Number of tokens of a sample if all tokens generated at the peak rate belonged to samples.
pub fn tokens_per_sample() -> f64 {
    TOKEN_RATE * STEP_S / (TRAINERS * SAMPLES_PER_STEP)
}

/// Number of samples that an entry runs during a step.
pub fn samples_per_entry() -> f64 {
    TRAINERS * SAMPLES_PER_STEP / ENTRIES
}
