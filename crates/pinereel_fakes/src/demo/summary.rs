//! Summary of the run of one deployment: measurements and checks, printed as text or as JSON.

use crate::trainer::Report;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt::Write as _;

/// Latency of one kind of live request.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Latency {
    /// Number of responses.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
}

impl From<&Histogram<u64>> for Latency {
    fn from(micros: &Histogram<u64>) -> Self {
        let millis = |quantile| micros.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            count: micros.len(),
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
        }
    }
}

/// Propagation of a configuration patch to all entries.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Propagation {
    /// Number of the configuration that the patch produced.
    pub number: u64,
    /// Milliseconds from the submission until the configuration was in force at every entry.
    #[serde(rename = "everywhere_ms")]
    pub duration_ms: u64,
}

/// A guarantee of the deployment, and whether it held during the run.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// The guarantee.
    #[serde(rename = "promise")]
    pub guarantee: &'static str,
    /// Whether it held.
    pub held: bool,
    /// What was observed instead; empty if the guarantee held.
    #[serde(rename = "seen", skip_serializing_if = "String::is_empty")]
    pub observed: String,
}

/// Measurements and checks of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Report of the trainer.
    pub trainer: Report,
    /// Latency of live completions.
    pub completions: Latency,
    /// Latency of live calls to plain services.
    #[serde(rename = "calls")]
    pub service_calls: Latency,
    /// Number of times that a live request was sent again after a response that it had not run.
    #[serde(rename = "repeats")]
    pub retries: u64,
    /// Propagation of the configuration patch. `None` if the entries are built without patches.
    pub patch: Option<Propagation>,
    /// Milliseconds from the drain call until the entry had drained.
    pub drain_ms: u64,
    /// Milliseconds from the start of the replacement entry until every entry was ready.
    pub replace_ms: u64,
    /// Duration of the run in milliseconds.
    pub run_ms: u64,
    /// Checks of the guarantees.
    pub checks: Vec<Check>,
}

impl Summary {
    /// Summary of a run that did not finish. Its only check is a failed one with the reason.
    pub fn failed(deployment: &'static str, reason: String) -> Self {
        let mut summary = Self {
            deployment,
            ..Self::default()
        };
        summary.check("the run comes to its end", false, reason);
        summary
    }

    /// Adds a check. `observed` is recorded only if the guarantee did not hold.
    pub fn check(&mut self, guarantee: &'static str, held: bool, observed: impl ToString) {
        let observed = if held {
            String::new()
        } else {
            observed.to_string()
        };
        self.checks.push(Check {
            guarantee,
            held,
            observed,
        });
    }

    /// Whether all guarantees held.
    pub fn passed(&self) -> bool {
        self.checks.iter().all(|check| check.held)
    }

    /// The summary as a table for a terminal.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{}: {} entries in {} availability zones, {} engines, {} services, {:.1} s\n",
            self.deployment,
            self.entries,
            self.zones,
            self.engines,
            self.services,
            self.run_ms as f64 / 1_000.0,
        );
        for (name, value) in self.rows() {
            push_row(&mut text, name, &value);
        }
        for check in &self.checks {
            let verdict = if check.held { "held" } else { "FAILED" };
            let line = format!("{verdict} {}", check.observed);
            push_row(&mut text, check.guarantee, line.trim_end());
        }
        text
    }

    /// Names and values of the measurements, in the order in which they are printed.
    fn rows(&self) -> Vec<(&'static str, String)> {
        let trainer = &self.trainer;
        let patch = match self.patch {
            Some(Propagation {
                number,
                duration_ms,
            }) => format!("number {number} in force on all entries after {duration_ms} ms"),
            None => "not in this build".into(),
        };
        vec![
            (
                "steps, each one lot",
                format!(
                    "{}, {} samples, {} tokens",
                    trainer.steps, trainer.samples, trainer.tokens
                ),
            ),
            (
                "staleness (versions)",
                format!(
                    "mean {:.2}, max {}",
                    trainer.staleness.mean, trainer.staleness.max
                ),
            ),
            (
                "trainer idle",
                format!("{:.0} %", trainer.idle_share * 100.0),
            ),
            ("live completions", format_latency(self.completions)),
            ("live service calls", format_latency(self.service_calls)),
            ("sent again (not run)", self.retries.to_string()),
            ("configuration patch", patch),
            ("drain of an entry", format!("{} ms", self.drain_ms)),
            ("its replacement ready", format!("{} ms", self.replace_ms)),
        ]
    }
}

fn push_row(text: &mut String, name: &str, value: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "  {name:<52}{value}");
}

fn format_latency(latency: Latency) -> String {
    let Latency {
        count,
        p50_ms,
        p99_ms,
    } = latency;
    format!("{count}, p50 {p50_ms:.1} ms, p99 {p99_ms:.1} ms")
}
