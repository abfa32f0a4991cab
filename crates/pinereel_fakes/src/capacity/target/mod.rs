//! The two-year size, and what the measured slopes come to there.

mod rows;

use super::fit::Slope;
use rows::ROWS;
use serde::Serialize;
use std::collections::BTreeMap;

/// Entries.
pub const ENTRIES: f64 = 350.0;
/// Engines.
pub const ENGINES: f64 = 2_900.0;
/// Requests a second at the peak.
pub const REQUESTS: f64 = 8_100.0;
/// Tokens a second at the peak.
pub const TOKENS: f64 = 2.1e6;
/// Trainers.
pub const TRAINERS: f64 = 19.0;
/// Samples of a trainer's step.
pub const SAMPLES: f64 = 8_192.0;
/// Seconds within which a step's samples are whole.
pub const STEP: f64 = 32.0 * 60.0;
/// Seconds between new weights.
pub const PUBLISH: f64 = 180.0;
/// Availability zones.
pub const ZONES: f64 = 9.0;
/// Patches a second, on the average of a day.
pub const PATCHES: f64 = 3_700.0 / 86_400.0;
/// Most of a core that control takes, in percent.
pub const CPU: f64 = 3.3;
/// Most memory of control, in MB.
pub const MEMORY: f64 = 256.0;
/// Most bytes of control, a second.
pub const BYTES: f64 = 6_000.0;
/// Reads of the object API a second.
pub const READS: f64 = 2_000.0;
/// Writes of the object API a second: the low end of "several hundred".
pub const WRITES: f64 = 300.0;
/// Endpoints that an entry keeps, with the subset of the settings' default.
pub const SUBSET: f64 = 64.0;
/// Links of an entry above the full mesh: three opened in its zone, three out of it, as many taken.
pub const LINKS: f64 = 12.0;
/// The measured slopes, by name.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    slopes: BTreeMap<&'static str, Slope>,
}

impl Measured {
    /// Takes slopes in.
    pub fn add(&mut self, slopes: impl IntoIterator<Item = Slope>) {
        let named = slopes.into_iter().map(|slope| (slope.name, slope));
        self.slopes.extend(named);
    }

    /// Value of a line at `x`; none if it wasn't measured.
    pub fn at(&self, name: &str, x: f64) -> Option<f64> {
        Some(self.slopes.get(name)?.at(x))
    }
}

/// One figure at the target, worked out.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// Whose it is.
    pub duty: &'static str,
    /// What it is.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Its value.
    pub value: f64,
    /// What it must not exceed, if there is such a bound.
    pub bound: Option<f64>,
}

impl Estimate {
    /// Whether it keeps its bound.
    pub fn fits(&self) -> Option<bool> {
        Some(self.value <= self.bound?)
    }
}

/// Everything that the measured slopes allow to be worked out.
pub fn estimates(measured: &Measured) -> Vec<Estimate> {
    let rows = ROWS.iter().filter_map(|row| {
        Some(Estimate {
            duty: row.duty,
            what: row.what,
            unit: row.unit,
            value: (row.value)(measured)?,
            bound: row.bound,
        })
    });
    rows.collect()
}

/// Tokens of one sample if every token at the peak belonged to samples.
pub fn sample_tokens() -> f64 {
    TOKENS * STEP / (TRAINERS * SAMPLES)
}

/// Samples that an entry runs in a step.
pub fn samples_each() -> f64 {
    TRAINERS * SAMPLES / ENTRIES
}
