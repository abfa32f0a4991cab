//! Results as a text table and as CSV.

use super::metrics::{COLUMNS, Metrics, Summary};
use compact_str::CompactString;
use std::fmt::Write as _;

/// Names of the columns in the text table; the CSV has all columns.
const TEXT_COLUMNS: &[&str] = &[
    "steps",
    "idle",
    "bound",
    "stale-mean",
    "stale-max",
    "dropped",
    "wasted",
    "group-p99-ms",
    "live-p50-ms",
    "live-p99-ms",
    "refused",
    "score-maumee",
    "score-prairie",
    "beyond",
];

/// The runs of one policy in one scenario.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the scenario.
    pub scenario: CompactString,
    /// Name of the policy.
    pub policy: CompactString,
    /// Metrics of the runs, one run per seed; at least one.
    pub runs: Vec<Metrics>,
}

/// Formats a text table of the means over the seeds, or maxima for `stale-max` and `beyond`.
/// The last column shows the range of the idle share.
pub fn text(rows: &[Row]) -> String {
    let columns: Vec<_> = COLUMNS
        .iter()
        .filter(|column| TEXT_COLUMNS.contains(&column.name))
        .collect();
    let mut out = format!("{:<15} {:<21}", "scenario", "policy");
    for column in &columns {
        let _ = write!(
            out,
            " {:>width$}",
            column.name,
            width = column_width(column.name)
        );
    }
    out.push_str("  idle least..most\n");
    for row in rows {
        let _ = write!(out, "{:<15} {:<21}", row.scenario, row.policy);
        for column in &columns {
            let summary = Summary::of(&row.runs, column.get);
            let value = if column.name == "stale-max" || column.name == "beyond" {
                summary.max
            } else {
                summary.mean
            };
            let (width, digits) = (column_width(column.name), column.digits);
            let _ = write!(out, " {value:>width$.digits$}");
        }
        let idle = Summary::of(&row.runs, |m| m.idle_share);
        let _ = writeln!(out, "  {:.3}..{:.3}", idle.min, idle.max);
    }
    out
}

fn column_width(name: &str) -> usize {
    name.len().max(6)
}

/// Formats CSV with one line per policy and metric: mean, minimum and maximum over the seeds.
pub fn csv(rows: &[Row]) -> String {
    let mut out = String::from("scenario,policy,seeds,measure,mean,least,most\n");
    for row in rows {
        for column in COLUMNS {
            let Summary { mean, min, max } = Summary::of(&row.runs, column.get);
            let (scenario, policy, seeds) = (&row.scenario, &row.policy, row.runs.len());
            let name = column.name;
            let _ = writeln!(
                out,
                "{scenario},{policy},{seeds},{name},{mean:.5},{min:.5},{max:.5}"
            );
        }
    }
    out
}
