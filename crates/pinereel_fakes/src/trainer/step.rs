//! The fake trainer. Each step submits a lot, collects its samples, waits for the training time
//! and publishes the next version.

use super::{Client, Report, client::Error};
use compact_str::{CompactString, format_compact};
use pinereel_api::trainer::{Group, Lot, Sample};
use pinereel_core::Version;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of samples that one collect call asks for.
const COLLECT_MAX_SAMPLES: u32 = 256;
/// Time that one collect call waits for samples.
const COLLECT_WAIT: Duration = Duration::from_secs(1);

/// Options of the fake trainer.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the trainer in the configuration.
    pub name: CompactString,
    /// Addresses of the entries, `HOST:PORT` each.
    pub entries: Vec<String>,
    /// Number of steps to run.
    pub steps: u64,
    /// Number of groups in the lot of a step.
    pub groups_per_step: u32,
    /// Number of samples in a group.
    pub samples_per_group: u32,
    /// Maximum number of output tokens of a sample.
    pub max_tokens: u32,
    /// Time that a step's training takes.
    pub train_time: Duration,
    /// Staleness bound by which the samples are checked, in versions.
    pub staleness_bound: u64,
    /// The trainer's version in the first step. The engines already serve it.
    pub initial_version: Version,
    /// Whether texts are checked. Only texts of the fake engine pass.
    pub check_texts: bool,
    /// Time within which the samples of a lot are wanted.
    pub lot_deadline: Duration,
    /// How long a call is retried before the run fails.
    pub retry_timeout: Duration,
    /// Number that makes lot ids and prompts differ between runs.
    pub seed: u64,
    /// Whether each sample taken is printed as `sample JSON`, see [`TakenSample`].
    pub print_samples: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "trainer".into(),
            entries: Vec::new(),
            steps: 3,
            groups_per_step: 4,
            samples_per_group: 4,
            max_tokens: 256,
            train_time: Duration::from_millis(200),
            staleness_bound: 1,
            initial_version: Version(1),
            check_texts: true,
            lot_deadline: Duration::from_secs(60),
            retry_timeout: Duration::from_secs(60),
            seed: 0,
            print_samples: false,
        }
    }
}

/// A sample that the trainer took, as it is printed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TakenSample {
    /// Step of the sample's lot.
    pub step: u64,
    /// The trainer's version when it took the sample.
    pub version: Version,
    /// Prompt of the sample's group.
    pub prompt: String,
    /// The sample as collected.
    pub sample: Sample,
}

/// A fake trainer.
pub struct Trainer {
    options: Options,
    client: Client,
    version: Version,
    report: Report,
}

impl Trainer {
    /// A trainer before its first step.
    pub fn new(options: Options) -> Self {
        Self {
            client: Client::new(options.entries.clone(), options.retry_timeout),
            version: options.initial_version,
            report: Report::default(),
            options,
        }
    }

    /// Runs all steps.
    ///
    /// # Errors
    /// An entry refused a call, or no entry answered within the retry timeout.
    pub async fn run(mut self) -> Result<Report, Error> {
        for step in 0..self.options.steps {
            let start = Instant::now();
            self.collect_step(step).await?;
            self.report.idle_ms += start.elapsed().as_millis() as u64;
            self.train_step().await?;
        }
        self.report.retries = self.client.retries;
        self.report.finish();
        Ok(self.report)
    }

    /// Submits the lot of a step and collects all its samples.
    async fn collect_step(&mut self, step: u64) -> Result<(), Error> {
        let lot = self.lot(step);
        let mut partial_lot = self.client.submit(lot).await?;
        while partial_lot.missing() > 0 {
            let samples = self
                .client
                .collect(
                    &mut partial_lot,
                    self.version,
                    COLLECT_MAX_SAMPLES,
                    COLLECT_WAIT,
                )
                .await?;
            for sample in &samples {
                self.record(sample, &partial_lot.lot);
            }
        }
        self.report.duplicates += partial_lot.duplicates;
        self.report.rejected_responses += partial_lot.rejected_responses;
        self.report.resubmits += partial_lot.resubmits;
        Ok(())
    }

    /// Checks and counts a sample, and prints it if the options say so.
    fn record(&mut self, sample: &Sample, lot: &Lot) {
        let Some(group) = lot.groups.get(sample.group as usize) else {
            self.report.duplicates += 1;
            return;
        };
        let Options {
            staleness_bound,
            check_texts,
            ..
        } = self.options;
        if self.options.print_samples {
            print(&TakenSample {
                step: lot.step,
                version: self.version,
                prompt: group.prompt.clone(),
                sample: sample.clone(),
            });
        }
        self.report
            .record(sample, group, self.version, staleness_bound, check_texts);
    }

    /// Waits for the training time and publishes the next version.
    async fn train_step(&mut self) -> Result<(), Error> {
        let start = Instant::now();
        tokio::time::sleep(self.options.train_time).await;
        self.report.train_ms += start.elapsed().as_millis() as u64;
        let version = Version(self.version.0 + 1);
        self.client.publish(&self.options.name, version).await?;
        self.version = version;
        self.report.steps += 1;
        Ok(())
    }

    /// Builds the lot of a step.
    fn lot(&self, step: u64) -> Lot {
        let Options { name, seed, .. } = &self.options;
        let group = |number| Group {
            prompt: format!("{name} asks in run {seed} at step {step} for case {number}"),
            samples: self.options.samples_per_group,
            max_tokens: self.options.max_tokens,
        };
        Lot {
            id: format_compact!("{name}-{seed}-{step}"),
            trainer: name.clone(),
            step,
            version: self.version,
            groups: (0..self.options.groups_per_step).map(group).collect(),
            deadline_ms: self.options.lot_deadline.as_millis() as u64,
        }
    }
}

fn print(sample: &TakenSample) {
    if let Ok(json) = serde_json::to_string(sample) {
        println!("sample {json}");
    }
}
