//! Capacity tool: measures how state, messages, CPU time and memory grow with the size of a fleet,
//! and extrapolates to the size expected in two years. Its figures are those of `docs/CAPACITY.md`.
//!
//! - `routing`, `lots`, `control`, `rollout`: decisions of the core, without I/O.
//! - `entries`: idle entries, with the platform on a separate thread.
//! - `path`: requests and samples that pass through one entry.
//! - [`estimate`]: the expected size and the extrapolation.

mod control;
mod entries;
pub mod estimate;
pub mod fit;
mod lots;
mod memory;
pub mod meter;
mod path;
mod platform;
mod rollout;
mod routing;

use crate::cli::{Error, parse_value};
use estimate::{Estimate, Measurements, estimates};
use fit::Measurement;
use lexopt::{Arg::Long, Parser};
use serde::Serialize;
use std::{io, process::ExitCode};

/// Help text of the flags.
pub const HELP: &str =
    "  --part NAME            only this part: routing, lots, control, entries, sparse, engines, path
  --json                 print JSON
  --help                 print this";

/// Values of `--part`, in the order of measurement.
const PARTS: [&str; 7] = [
    "routing", "lots", "control", "entries", "sparse", "engines", "path",
];

/// Result of a run, which `--json` prints.
#[derive(Clone, Debug, Serialize)]
struct Report {
    #[serde(rename = "slopes")]
    measurements: Vec<Measurement>,
    estimates: Vec<Estimate>,
}

/// Runs the tool as a process. Exit code: 0 on success, 2 if a flag is wrong, 1 on other errors.
pub fn main(parser: Parser) -> ExitCode {
    match run(parser) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinereel-fakes: {error}");
            ExitCode::from(if matches!(error, Error::Usage(_)) {
                2
            } else {
                1
            })
        }
    }
}

fn run(mut parser: Parser) -> Result<(), Error> {
    let (mut only, mut json) = (None, false);
    let (mut bytes, mut site, mut count) = (None, None, 0);
    while let Some(arg) = parser.next().map_err(Error::Usage)? {
        match arg {
            Long("part") => only = Some(parse_value::<String>(&mut parser)?),
            Long("json") => json = true,
            // The tool runs itself with the following flags to measure in a new process.
            Long("site") => site = Some(parse_value::<usize>(&mut parser)?),
            Long("bytes") => bytes = Some(parse_value::<String>(&mut parser)?),
            Long("count") => count = parse_value(&mut parser)?,
            _ => return Err(Error::Usage(arg.unexpected())),
        }
    }
    if let Some(name) = bytes {
        println!("{}", meter::measure_bytes_in_process(&name, count)?);
        return Ok(());
    }
    if let Some(entry_count) = site {
        let usage = actix_rt::System::new().block_on(entries::measure_site(entry_count, count))?;
        let text = serde_json::to_string(&usage).map_err(io::Error::other)?;
        println!("{text}");
        return Ok(());
    }
    if let Some(name) = &only
        && !PARTS.contains(&name.as_str())
    {
        return Err(Error::Usage(format!("unknown part {name}").into()));
    }
    let mut measurements = Vec::new();
    for name in PARTS {
        if only.as_ref().is_none_or(|only| only == name) {
            eprintln!("measuring {name}");
            measurements.extend(measure_part(name)?);
        }
    }
    let mut by_name = Measurements::default();
    by_name.add(measurements.clone());
    let report = Report {
        measurements,
        estimates: estimates(&by_name),
    };
    if json {
        let text = serde_json::to_string_pretty(&report).map_err(io::Error::other)?;
        println!("{text}");
    } else {
        print_report(&report);
    }
    Ok(())
}

fn measure_part(name: &str) -> io::Result<Vec<Measurement>> {
    match name {
        "routing" => routing::measure(),
        "lots" => lots::measure(),
        "control" => control::measure(),
        "entries" => entries::measure_full_mesh(),
        "sparse" => entries::measure_sparse_mesh(),
        "engines" => entries::measure_engines(),
        _ => actix_rt::System::new().block_on(path::measure()),
    }
}

fn print_report(report: &Report) {
    println!("measured\n");
    for measurement in &report.measurements {
        let points = measurement.points.iter();
        let points: Vec<_> = points
            .map(|(x, y)| format!("{x}: {}", three_digits(*y)))
            .collect();
        println!(
            "{:<20} {} = {} + {} x {} (off by at most {:.0}%)  [{}]",
            measurement.name,
            measurement.unit,
            three_digits(measurement.fit.base),
            three_digits(measurement.fit.slope),
            measurement.per,
            measurement.fit.residual * 100.0,
            points.join(", ")
        );
    }
    println!("\nat the two-year size\n");
    for estimate in &report.estimates {
        let bound = match (estimate.bound, estimate.is_within_bound()) {
            (Some(bound), Some(true)) => format!("fits {}", three_digits(bound)),
            (Some(bound), _) => format!("DOES NOT FIT {}", three_digits(bound)),
            (None, _) => String::new(),
        };
        println!(
            "{:<24} {}: {} {}  {bound}",
            estimate.component,
            estimate.figure,
            three_digits(estimate.value),
            estimate.unit
        );
    }
}

/// Formats `value` with three significant digits.
fn three_digits(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 100.0 || magnitude == 0.0 {
        format!("{value:.0}")
    } else if magnitude >= 10.0 {
        format!("{value:.1}")
    } else if magnitude >= 1.0 {
        format!("{value:.2}")
    } else {
        let decimals = (2.0 - magnitude.log10().floor()).clamp(2.0, 9.0) as usize;
        format!("{value:.decimals$}")
    }
}
