//! The stand-in for a trainer: submit a step's lot, collect it, train, publish, again.

use super::{Client, Report, client::Error};
use compact_str::{CompactString, format_compact};
use pinereel_api::trainer::{Group, Lot, Sample};
use pinereel_core::Version;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// Most samples in one answer.
const COLLECT_MAX: u32 = 256;
/// Longest wait of one collect.
const COLLECT_WAIT: Duration = Duration::from_secs(1);

/// What the stand-in trains.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name in the configuration.
    pub name: CompactString,
    /// Addresses of the entries, `HOST:PORT` each.
    pub entries: Vec<String>,
    /// Steps to run.
    pub steps: u64,
    /// Groups a step.
    pub groups: u32,
    /// Samples a group.
    pub samples: u32,
    /// Most tokens a sample.
    pub max_tokens: u32,
    /// Time that training on a step's samples takes.
    pub train: Duration,
    /// Its staleness bound, in versions.
    pub bound: u64,
    /// The version it starts with, which the engines serve.
    pub version: Version,
    /// Whether texts are checked, which only the engine stand-in's texts pass.
    pub whole: bool,
    /// Time within which a step's samples are wanted.
    pub deadline: Duration,
    /// How long a call is repeated before the run fails.
    pub patience: Duration,
    /// Makes lot ids and prompts differ between runs.
    pub seed: u64,
    /// Whether each sample that is taken is printed as `sample JSON`, see [`TakenSample`].
    pub print: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "trainer".into(),
            entries: Vec::new(),
            steps: 3,
            groups: 4,
            samples: 4,
            max_tokens: 256,
            train: Duration::from_millis(200),
            bound: 1,
            version: Version(1),
            whole: true,
            deadline: Duration::from_secs(60),
            patience: Duration::from_secs(60),
            seed: 0,
            print: false,
        }
    }
}

/// One sample that was taken, as it is printed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TakenSample {
    /// The step.
    pub step: u64,
    /// The trainer's version.
    pub version: Version,
    /// The prompt.
    pub prompt: String,
    /// The sample.
    pub sample: Sample,
}

/// A trainer between steps.
pub struct Trainer {
    options: Options,
    client: Client,
    version: Version,
    report: Report,
}

impl Trainer {
    /// A trainer that has not begun.
    pub fn new(options: Options) -> Self {
        Self {
            client: Client::new(options.entries.clone(), options.patience),
            version: options.version,
            report: Report::default(),
            options,
        }
    }

    /// Runs all steps.
    ///
    /// # Errors
    /// A call was refused for good, or no entry answered in time.
    pub async fn run(mut self) -> Result<Report, Error> {
        for step in 0..self.options.steps {
            let wanted = Instant::now();
            self.gather(step).await?;
            self.report.idle_ms += wanted.elapsed().as_millis() as u64;
            self.train().await?;
        }
        self.report.retries = self.client.retries;
        self.report.finish();
        Ok(self.report)
    }

    /// Collects all samples of one step.
    async fn gather(&mut self, step: u64) -> Result<(), Error> {
        let lot = self.lot(step);
        let mut collection = self.client.submit(lot).await?;
        while collection.missing() > 0 {
            let samples = self
                .client
                .collect(&mut collection, self.version, COLLECT_MAX, COLLECT_WAIT)
                .await?;
            for sample in &samples {
                self.check(sample, &collection.lot);
            }
        }
        self.report.repeats += collection.repeats;
        self.report.strays += collection.strays;
        self.report.resubmits += collection.resubmits;
        Ok(())
    }

    fn check(&mut self, sample: &Sample, lot: &Lot) {
        let Some(group) = lot.groups.get(sample.group as usize) else {
            self.report.repeats += 1;
            return;
        };
        let Options { bound, whole, .. } = self.options;
        if self.options.print {
            print(&TakenSample {
                step: lot.step,
                version: self.version,
                prompt: group.prompt.clone(),
                sample: sample.clone(),
            });
        }
        self.report.check(sample, group, self.version, bound, whole);
    }

    /// Trains on what was gathered and publishes the new weights.
    async fn train(&mut self) -> Result<(), Error> {
        let start = Instant::now();
        tokio::time::sleep(self.options.train).await;
        self.report.train_ms += start.elapsed().as_millis() as u64;
        let version = Version(self.version.0 + 1);
        self.client.publish(&self.options.name, version).await?;
        self.version = version;
        self.report.steps += 1;
        Ok(())
    }

    fn lot(&self, step: u64) -> Lot {
        let Options { name, seed, .. } = &self.options;
        let group = |number| Group {
            prompt: format!("{name} asks in run {seed} at step {step} for case {number}"),
            samples: self.options.samples,
            max_tokens: self.options.max_tokens,
        };
        Lot {
            id: format_compact!("{name}-{seed}-{step}"),
            trainer: name.clone(),
            step,
            version: self.version,
            groups: (0..self.options.groups).map(group).collect(),
            deadline_ms: self.options.deadline.as_millis() as u64,
        }
    }
}

fn print(taken: &TakenSample) {
    if let Ok(json) = serde_json::to_string(taken) {
        println!("sample {json}");
    }
}
