//! Scenarios: sizes, speeds, latencies, trainers, live load and faults of a site, read from INI.

use crate::engine::batch;
use compact_str::CompactString;
use ini::{Ini, Properties};
use std::{fs, str::FromStr, time::Duration};

/// Name and INI text of the built-in scenarios.
const BUILT_IN: [(&str, &str); 4] = [
    ("maumee", include_str!("../../scenarios/maumee.ini")),
    ("prairie", include_str!("../../scenarios/prairie.ini")),
    (
        "maumee-faults",
        include_str!("../../scenarios/maumee-faults.ini"),
    ),
    (
        "prairie-faults",
        include_str!("../../scenarios/prairie-faults.ini"),
    ),
];

/// Why a scenario cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The name is neither that of a built-in scenario nor that of a readable file.
    #[error("scenario {0}: neither built in nor a readable file")]
    Unknown(String),
    /// The text is not INI.
    #[error("scenario is not INI: {0}")]
    Malformed(String),
    /// A section or a value is missing, or a value cannot be parsed.
    #[error("scenario: [{section}] {key}: missing or malformed")]
    InvalidValue {
        /// Name of the section.
        section: CompactString,
        /// Key in the section; `*` if the section is missing.
        key: &'static str,
    },
}

/// A trainer.
#[derive(Clone, Debug)]
pub struct Trainer {
    /// Unique name.
    pub name: CompactString,
    /// Number of groups in the lot of a step.
    pub groups: u32,
    /// Number of samples in a group.
    pub samples_per_group: u32,
    /// Most output tokens of a sample.
    pub max_tokens: u32,
    /// Time to train on the samples of a step.
    pub train_time: Duration,
    /// Staleness bound, in versions.
    pub staleness_bound: u64,
    /// Number of steps from one publication to the next; 0 if the trainer publishes no weights.
    pub publish_every: u64,
}

/// Load from callers that wait for the answer.
#[derive(Clone, Copy, Debug)]
pub struct LiveLoad {
    /// Mean arrival rate of the Poisson process.
    pub requests_per_second: f64,
    /// Most output tokens of a request.
    pub max_tokens: u32,
    /// Time from the arrival at an entry after which the caller no longer needs the answer.
    pub deadline: Duration,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// An engine crashes. It restarts without weights at the end of the fault.
    Crash,
    /// Weight swaps of an engine fail halfway and leave no usable weights.
    PartialSwap,
    /// The steps of an engine take four times as long.
    Slow,
    /// Load reports are older than usual; the target is their age in milliseconds.
    Lag,
    /// The object API does not answer.
    Outage,
    /// An entry crashes. It restarts without its former state at the end of the fault.
    Entry,
}

/// A fault that lasts for a part of the run.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Begin, as a share (0 to 1) of the run's duration.
    pub begin_share: f64,
    /// Duration, as a share (0 to 1) of the run's duration.
    pub duration_share: f64,
    /// Index of the engine or entry; see [`FaultKind::Lag`] for its other meaning.
    pub target: usize,
}

/// Description of a site, its load and its faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of a built-in scenario, or the file name.
    pub name: CompactString,
    /// The model that all engines serve.
    pub model: CompactString,
    /// Availability zones; entries and engines are distributed over them round-robin.
    pub zones: Vec<CompactString>,
    /// One-way latency between two zones.
    pub cross_zone_latency: Duration,
    /// One-way latency within a zone.
    pub local_latency: Duration,
    /// One-way latency between clients (trainers and live callers) and entries.
    pub client_latency: Duration,
    /// Number of entries.
    pub entry_count: usize,
    /// Number of engines.
    pub engine_count: usize,
    /// Nominal time of a training step, by which the number of steps of a run gives its duration.
    pub step_time: Duration,
    /// Size and speed of each engine.
    pub engine_options: batch::Options,
    /// Age of the figures in load reports.
    pub report_lag: Duration,
    /// Most concurrent attempts of one entry at one engine: the pool's `slots`.
    pub entry_slots: u32,
    /// The trainers.
    pub trainers: Vec<Trainer>,
    /// The load from live callers.
    pub live_load: LiveLoad,
    /// The faults.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Names of the built-in scenarios.
    pub fn names() -> impl Iterator<Item = &'static str> {
        BUILT_IN.iter().map(|(name, _)| *name)
    }

    /// Loads the built-in scenario with this name, or else the file with this name.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn load(name: &str) -> Result<Self, Error> {
        let built_in = BUILT_IN.iter().find(|(known, _)| *known == name);
        if let Some((_, text)) = built_in {
            return Self::parse(name, text);
        }
        let text = fs::read_to_string(name).map_err(|_| Error::Unknown(name.into()))?;
        Self::parse(name, &text)
    }

    /// Parses a scenario from INI text.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn parse(name: &str, text: &str) -> Result<Self, Error> {
        let ini = Ini::load_from_str(text).map_err(|e| Error::Malformed(e.to_string()))?;
        let site = Section::find(&ini, "site")?;
        let zones: String = site.get("zones")?;
        Ok(Self {
            name: name.into(),
            model: site.get("model")?,
            zones: zones.split(',').map(|zone| zone.trim().into()).collect(),
            cross_zone_latency: site.micros("zone_us")?,
            local_latency: site.micros("local_us")?,
            client_latency: site.micros("client_us")?,
            entry_count: site.get("entries")?,
            engine_count: site.get("engines")?,
            step_time: site.millis("pace_ms")?,
            engine_options: parse_engine(&Section::find(&ini, "engine")?)?,
            report_lag: Section::find(&ini, "engine")?.millis("lag_ms")?,
            entry_slots: Section::find(&ini, "engine")?.get("entry_slots")?,
            trainers: parse_all(&ini, "trainer ", parse_trainer)?,
            live_load: parse_live_load(&Section::find(&ini, "live")?)?,
            faults: parse_all(&ini, "fault ", parse_fault)?,
        })
    }
}

/// A section of the INI text.
struct Section<'a> {
    name: CompactString,
    values: &'a Properties,
}

impl<'a> Section<'a> {
    fn find(ini: &'a Ini, name: &str) -> Result<Self, Error> {
        let values = ini.section(Some(name)).ok_or(Error::InvalidValue {
            section: name.into(),
            key: "*",
        })?;
        let name = name.into();
        Ok(Self { name, values })
    }

    fn get<T: FromStr>(&self, key: &'static str) -> Result<T, Error> {
        let found = self.values.get(key).and_then(|text| text.parse().ok());
        found.ok_or_else(|| Error::InvalidValue {
            section: self.name.clone(),
            key,
        })
    }

    fn millis(&self, key: &'static str) -> Result<Duration, Error> {
        self.get(key).map(Duration::from_millis)
    }

    fn micros(&self, key: &'static str) -> Result<Duration, Error> {
        self.get(key).map(Duration::from_micros)
    }
}

/// Parses all sections whose name begins with `prefix`, in the order of the file.
fn parse_all<T>(
    ini: &Ini,
    prefix: &str,
    parse: impl Fn(&Section<'_>) -> Result<T, Error>,
) -> Result<Vec<T>, Error> {
    let names = ini.sections().flatten();
    names
        .filter(|name| name.starts_with(prefix))
        .map(|name| parse(&Section::find(ini, name)?))
        .collect()
}

fn parse_engine(section: &Section<'_>) -> Result<batch::Options, Error> {
    Ok(batch::Options {
        slots: section.get("slots")?,
        tokens_per_second: section.get("tokens_per_second")?,
        batch_cost: section.get("batch_cost")?,
        swap_time: section.millis("swap_ms")?,
        warm_up_time: section.millis("warm_up_ms")?,
        // Engines start, and restart after a crash, without weights.
        initial_version: None,
        ..batch::Options::default()
    })
}

fn parse_trainer(section: &Section<'_>) -> Result<Trainer, Error> {
    let name = section.name.trim_start_matches("trainer ");
    Ok(Trainer {
        name: name.into(),
        groups: section.get("groups")?,
        samples_per_group: section.get("samples")?,
        max_tokens: section.get("max_tokens")?,
        train_time: section.millis("train_ms")?,
        staleness_bound: section.get("bound")?,
        publish_every: section.get("publish_every")?,
    })
}

fn parse_live_load(section: &Section<'_>) -> Result<LiveLoad, Error> {
    Ok(LiveLoad {
        requests_per_second: section.get("per_second")?,
        max_tokens: section.get("max_tokens")?,
        deadline: section.millis("deadline_ms")?,
    })
}

fn parse_fault(section: &Section<'_>) -> Result<Fault, Error> {
    let kind: String = section.get("kind")?;
    let kind = match kind.as_str() {
        "crash" => FaultKind::Crash,
        "partial-swap" => FaultKind::PartialSwap,
        "slow" => FaultKind::Slow,
        "lag" => FaultKind::Lag,
        "outage" => FaultKind::Outage,
        "entry" => FaultKind::Entry,
        _ => {
            return Err(Error::InvalidValue {
                section: section.name.clone(),
                key: "kind",
            });
        }
    };
    Ok(Fault {
        kind,
        begin_share: section.get::<f64>("at")? / 100.0,
        duration_share: section.get::<f64>("length")? / 100.0,
        target: section.get("target")?,
    })
}
