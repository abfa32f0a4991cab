//! Results as text table and as CSV.

use super::figure::{COLUMNS, Figures, Spread};
use compact_str::CompactString;
use std::fmt::Write as _;

/// Measures that the text table shows; the CSV has all.
const SHOWN: &[&str] = &[
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

/// The runs of one policy in one scenario, one for each seed.
#[derive(Clone, Debug)]
pub struct Row {
    /// The scenario.
    pub scenario: CompactString,
    /// The policy.
    pub policy: CompactString,
    /// A run's figures for each seed.
    pub runs: Vec<Figures>,
}

/// A text table: mean over seeds, and the spread of the idle share.
pub fn text(rows: &[Row]) -> String {
    let shown: Vec<_> = COLUMNS.iter().filter(|c| SHOWN.contains(&c.name)).collect();
    let mut out = format!("{:<15} {:<21}", "scenario", "policy");
    for column in &shown {
        let _ = write!(out, " {:>width$}", column.name, width = width(column.name));
    }
    out.push_str("  idle least..most\n");
    for row in rows {
        let _ = write!(out, "{:<15} {:<21}", row.scenario, row.policy);
        for column in &shown {
            let spread = Spread::of(&row.runs, column.get);
            let value = if column.name == "stale-max" || column.name == "beyond" {
                spread.most
            } else {
                spread.mean
            };
            let (width, digits) = (width(column.name), column.digits);
            let _ = write!(out, " {value:>width$.digits$}");
        }
        let idle = Spread::of(&row.runs, |f| f.idle);
        let _ = writeln!(out, "  {:.3}..{:.3}", idle.least, idle.most);
    }
    out
}

fn width(name: &str) -> usize {
    name.len().max(6)
}

/// One line for each policy and measure: mean, least and most over seeds.
pub fn csv(rows: &[Row]) -> String {
    let mut out = String::from("scenario,policy,seeds,measure,mean,least,most\n");
    for row in rows {
        for column in COLUMNS {
            let Spread { mean, least, most } = Spread::of(&row.runs, column.get);
            let (scenario, policy, seeds) = (&row.scenario, &row.policy, row.runs.len());
            let name = column.name;
            let _ = writeln!(
                out,
                "{scenario},{policy},{seeds},{name},{mean:.5},{least:.5},{most:.5}"
            );
        }
    }
    out
}
