//! What is simulated: sizes, speeds, latencies, trainers, live callers and faults, from INI.

use crate::engine::batch;
use compact_str::CompactString;
use ini::{Ini, Properties};
use std::{fs, str::FromStr, time::Duration};

/// The scenarios that come with the tool.
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

/// Why a scenario can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Neither a name nor a readable file.
    #[error("scenario {0}: neither built in nor a readable file")]
    Unknown(String),
    /// Not INI.
    #[error("scenario is not INI: {0}")]
    Malformed(String),
    /// A value is missing or wrong.
    #[error("scenario: [{section}] {key}: missing or malformed")]
    Value {
        /// Section of the file.
        section: CompactString,
        /// Key in it.
        key: &'static str,
    },
}

/// One trainer.
#[derive(Clone, Debug)]
pub struct Trainer {
    /// Its name.
    pub name: CompactString,
    /// Groups of a step.
    pub groups: u32,
    /// Samples of a group.
    pub samples: u32,
    /// Most output tokens of a sample.
    pub max_tokens: u32,
    /// Time to train on a step's samples.
    pub train: Duration,
    /// Staleness bound, in versions.
    pub bound: u64,
    /// Steps between its publications; 0 publishes none.
    pub publish_every: u64,
}

/// Callers that wait.
#[derive(Clone, Copy, Debug)]
pub struct Live {
    /// Mean arrivals a second (Poisson).
    pub per_second: f64,
    /// Most output tokens.
    pub max_tokens: u32,
    /// From arrival at an entry to when the answer is worth nothing.
    pub deadline: Duration,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An engine dies and comes back empty at the end.
    Crash,
    /// An engine's swaps fail partway.
    PartialSwap,
    /// An engine computes four times slower.
    Slow,
    /// Load reports are older: the target is their age in milliseconds.
    Lag,
    /// The object API answers nothing.
    Outage,
    /// An entry dies with its memory; an empty one comes back.
    Entry,
}

/// A fault over some time of the run.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// Begin, as a share (0 to 1) of the run.
    pub at: f64,
    /// Length, as a share of the run.
    pub length: f64,
    /// Index of the engine or entry.
    pub target: usize,
}

/// A whole scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: CompactString,
    /// The model of all engines.
    pub model: CompactString,
    /// Availability zones; entries and engines are spread over them in turn.
    pub zones: Vec<CompactString>,
    /// One-way latency between zones.
    pub zone: Duration,
    /// One-way latency within a zone.
    pub local: Duration,
    /// One-way latency between clients and entries.
    pub client: Duration,
    /// Entries.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Nominal time of a step: the run lasts so long for each step asked for.
    pub pace: Duration,
    /// Size and speed of an engine.
    pub engine: batch::Options,
    /// Age of load reports.
    pub lag: Duration,
    /// The pool's `slots`: most attempts of one entry at one engine.
    pub entry_slots: u32,
    /// The trainers.
    pub trainers: Vec<Trainer>,
    /// The live callers.
    pub live: Live,
    /// The faults.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Names of the built-in scenarios.
    pub fn names() -> impl Iterator<Item = &'static str> {
        BUILT_IN.iter().map(|(name, _)| *name)
    }

    /// The built-in scenario of this name, else the one in this file.
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

    /// Reads INI text.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn parse(name: &str, text: &str) -> Result<Self, Error> {
        let ini = Ini::load_from_str(text).map_err(|e| Error::Malformed(e.to_string()))?;
        let site = Section::of(&ini, "site")?;
        let zones: String = site.get("zones")?;
        Ok(Self {
            name: name.into(),
            model: site.get("model")?,
            zones: zones.split(',').map(|zone| zone.trim().into()).collect(),
            zone: site.micros("zone_us")?,
            local: site.micros("local_us")?,
            client: site.micros("client_us")?,
            entries: site.get("entries")?,
            engines: site.get("engines")?,
            pace: site.millis("pace_ms")?,
            engine: engine(&Section::of(&ini, "engine")?)?,
            lag: Section::of(&ini, "engine")?.millis("lag_ms")?,
            entry_slots: Section::of(&ini, "engine")?.get("entry_slots")?,
            trainers: each(&ini, "trainer ", trainer)?,
            live: live(&Section::of(&ini, "live")?)?,
            faults: each(&ini, "fault ", fault)?,
        })
    }
}

/// One section of the file.
struct Section<'a> {
    name: CompactString,
    values: &'a Properties,
}

impl<'a> Section<'a> {
    fn of(ini: &'a Ini, name: &str) -> Result<Self, Error> {
        let values = ini.section(Some(name)).ok_or(Error::Value {
            section: name.into(),
            key: "*",
        })?;
        let name = name.into();
        Ok(Self { name, values })
    }

    fn get<T: FromStr>(&self, key: &'static str) -> Result<T, Error> {
        let found = self.values.get(key).and_then(|text| text.parse().ok());
        found.ok_or_else(|| Error::Value {
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

/// All sections whose name begins with `prefix`, in the order of the file.
fn each<T>(
    ini: &Ini,
    prefix: &str,
    read: impl Fn(&Section<'_>) -> Result<T, Error>,
) -> Result<Vec<T>, Error> {
    let names = ini.sections().flatten();
    names
        .filter(|name| name.starts_with(prefix))
        .map(|name| read(&Section::of(ini, name)?))
        .collect()
}

fn engine(section: &Section<'_>) -> Result<batch::Options, Error> {
    Ok(batch::Options {
        slots: section.get("slots")?,
        tokens_per_second: section.get("tokens_per_second")?,
        batch_cost: section.get("batch_cost")?,
        swap_time: section.millis("swap_ms")?,
        warm_up_time: section.millis("warm_up_ms")?,
        // Nothing is loaded after a crash, until an order comes.
        initial_version: None,
        ..batch::Options::default()
    })
}

fn trainer(section: &Section<'_>) -> Result<Trainer, Error> {
    let name = section.name.trim_start_matches("trainer ");
    Ok(Trainer {
        name: name.into(),
        groups: section.get("groups")?,
        samples: section.get("samples")?,
        max_tokens: section.get("max_tokens")?,
        train: section.millis("train_ms")?,
        bound: section.get("bound")?,
        publish_every: section.get("publish_every")?,
    })
}

fn live(section: &Section<'_>) -> Result<Live, Error> {
    Ok(Live {
        per_second: section.get("per_second")?,
        max_tokens: section.get("max_tokens")?,
        deadline: section.millis("deadline_ms")?,
    })
}

fn fault(section: &Section<'_>) -> Result<Fault, Error> {
    let kind: String = section.get("kind")?;
    let kind = match kind.as_str() {
        "crash" => Kind::Crash,
        "partial-swap" => Kind::PartialSwap,
        "slow" => Kind::Slow,
        "lag" => Kind::Lag,
        "outage" => Kind::Outage,
        "entry" => Kind::Entry,
        _ => {
            return Err(Error::Value {
                section: section.name.clone(),
                key: "kind",
            });
        }
    };
    Ok(Fault {
        kind,
        at: section.get::<f64>("at")? / 100.0,
        length: section.get::<f64>("length")? / 100.0,
        target: section.get("target")?,
    })
}
