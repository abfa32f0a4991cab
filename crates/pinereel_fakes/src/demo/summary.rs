//! What a deployment's run showed.

use crate::trainer::Report;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt::Write as _;

/// Latency of one kind of live request.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Latency {
    /// Answers.
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

/// The configuration patch.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Patch {
    /// The number that came into force.
    pub number: u64,
    /// Milliseconds from the call until every entry had it in force.
    pub everywhere_ms: u64,
}

/// Something that was promised, and whether it held.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// What was promised.
    pub promise: &'static str,
    /// Whether it held.
    pub held: bool,
    /// What was seen, if it did not.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub seen: String,
}

/// Figures and checks of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// The deployment.
    pub deployment: &'static str,
    /// Availability zones.
    pub zones: usize,
    /// Entries.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// What the trainer saw.
    pub trainer: Report,
    /// Live completions.
    pub completions: Latency,
    /// Live calls to plain services.
    pub calls: Latency,
    /// Live requests sent again after an answer that they did not run.
    pub repeats: u64,
    /// The patch; none if this build has no patches.
    pub patch: Option<Patch>,
    /// Milliseconds from the order to drain until the entry had left.
    pub drain_ms: u64,
    /// Milliseconds from the start of the new entry until it was ready.
    pub replace_ms: u64,
    /// Milliseconds of the whole run.
    pub run_ms: u64,
    /// What was promised.
    pub checks: Vec<Check>,
}

impl Summary {
    /// A run that did not come to its end.
    pub fn failed(deployment: &'static str, why: String) -> Self {
        let mut summary = Self {
            deployment,
            ..Self::default()
        };
        summary.check("the run comes to its end", false, why);
        summary
    }

    /// Adds a check.
    pub fn check(&mut self, promise: &'static str, held: bool, seen: impl ToString) {
        let seen = if held {
            String::new()
        } else {
            seen.to_string()
        };
        self.checks.push(Check {
            promise,
            held,
            seen,
        });
    }

    /// Whether everything promised held.
    pub fn holds(&self) -> bool {
        self.checks.iter().all(|check| check.held)
    }

    /// The summary for a person.
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
            row(&mut text, name, &value);
        }
        for check in &self.checks {
            let verdict = if check.held { "held" } else { "FAILED" };
            let line = format!("{verdict} {}", check.seen);
            row(&mut text, check.promise, line.trim_end());
        }
        text
    }

    fn rows(&self) -> Vec<(&'static str, String)> {
        let t = &self.trainer;
        let patch = match self.patch {
            Some(Patch {
                number,
                everywhere_ms,
            }) => format!("number {number} in force on all entries after {everywhere_ms} ms"),
            None => "not in this build".into(),
        };
        vec![
            (
                "steps, each one lot",
                format!("{}, {} samples, {} tokens", t.steps, t.samples, t.tokens),
            ),
            (
                "staleness (versions)",
                format!("mean {:.2}, max {}", t.staleness.mean, t.staleness.max),
            ),
            ("trainer idle", format!("{:.0} %", t.idle_share * 100.0)),
            ("live completions", latency(self.completions)),
            ("live service calls", latency(self.calls)),
            ("sent again (not run)", self.repeats.to_string()),
            ("configuration patch", patch),
            ("drain of an entry", format!("{} ms", self.drain_ms)),
            ("its replacement ready", format!("{} ms", self.replace_ms)),
        ]
    }
}

fn row(text: &mut String, name: &str, value: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "  {name:<52}{value}");
}

fn latency(latency: Latency) -> String {
    let Latency {
        count,
        p50_ms,
        p99_ms,
    } = latency;
    format!("{count}, p50 {p50_ms:.1} ms, p99 {p99_ms:.1} ms")
}
