//! Slopes of state, messages, processor time and memory, and what they come to at the two-year
//! size: the figures of `docs/CAPACITY.md`.
//!
//! - `routing`, `lots`, `control`, `rollout`: decisions of the core, without I/O.
//! - `daemon`: entries at rest, with the platform on a thread of its own.
//! - `path`: requests and samples through one entry.
//! - [`target`]: the two-year size and the extrapolation.

mod control;
mod daemon;
pub mod fit;
mod lots;
mod memory;
pub mod meter;
mod path;
mod platform;
mod rollout;
mod routing;
pub mod target;

use crate::cli::{Error, parse_value};
use fit::Slope;
use lexopt::{Arg::Long, Parser};
use serde::Serialize;
use std::{io, process::ExitCode};
use target::{Estimate, Measured, estimates};

/// Help on the flags.
pub const HELP: &str =
    "  --part NAME            only this part: routing, lots, control, entries, sparse, engines, path
  --json                 print JSON
  --help                 print this";

/// The parts, in order.
const PARTS: [&str; 7] = [
    "routing", "lots", "control", "entries", "sparse", "engines", "path",
];

/// What one run found.
#[derive(Clone, Debug, Serialize)]
struct Report {
    slopes: Vec<Slope>,
    estimates: Vec<Estimate>,
}

/// Measures, works out and prints.
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
            // What this tool runs itself with, to measure in a fresh process.
            Long("site") => site = Some(parse_value::<usize>(&mut parser)?),
            Long("bytes") => bytes = Some(parse_value::<String>(&mut parser)?),
            Long("count") => count = parse_value(&mut parser)?,
            _ => return Err(Error::Usage(arg.unexpected())),
        }
    }
    if let Some(name) = bytes {
        println!("{}", meter::bytes_here(&name, count)?);
        return Ok(());
    }
    if let Some(entries) = site {
        let spent = actix_rt::System::new().block_on(daemon::site(entries, count))?;
        let text = serde_json::to_string(&spent).map_err(io::Error::other)?;
        println!("{text}");
        return Ok(());
    }
    if let Some(name) = &only
        && !PARTS.contains(&name.as_str())
    {
        return Err(Error::Usage(format!("no part {name}").into()));
    }
    let mut slopes = Vec::new();
    for name in PARTS {
        if only.as_ref().is_none_or(|only| only == name) {
            eprintln!("measuring {name}");
            slopes.extend(part(name)?);
        }
    }
    let mut measured = Measured::default();
    measured.add(slopes.clone());
    let report = Report {
        slopes,
        estimates: estimates(&measured),
    };
    if json {
        let text = serde_json::to_string_pretty(&report).map_err(io::Error::other)?;
        println!("{text}");
    } else {
        print(&report);
    }
    Ok(())
}

fn part(name: &str) -> io::Result<Vec<Slope>> {
    match name {
        "routing" => routing::measure(),
        "lots" => lots::measure(),
        "control" => control::measure(),
        "entries" => daemon::mesh(),
        "sparse" => daemon::sparse(),
        "engines" => daemon::engines(),
        _ => actix_rt::System::new().block_on(path::measure()),
    }
}

fn print(report: &Report) {
    println!("measured\n");
    for slope in &report.slopes {
        let points = slope.points.iter();
        let points: Vec<_> = points.map(|(x, y)| format!("{x}: {}", short(*y))).collect();
        println!(
            "{:<20} {} = {} + {} x {} (off by at most {:.0}%)  [{}]",
            slope.name,
            slope.unit,
            short(slope.fit.base),
            short(slope.fit.slope),
            slope.per,
            slope.fit.residual * 100.0,
            points.join(", ")
        );
    }
    println!("\nat the two-year size\n");
    for estimate in &report.estimates {
        let verdict = match (estimate.bound, estimate.fits()) {
            (Some(bound), Some(true)) => format!("fits {}", short(bound)),
            (Some(bound), _) => format!("DOES NOT FIT {}", short(bound)),
            (None, _) => String::new(),
        };
        println!(
            "{:<24} {}: {} {}  {verdict}",
            estimate.duty,
            estimate.what,
            short(estimate.value),
            estimate.unit
        );
    }
}

/// Three significant digits.
fn short(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 || size == 0.0 {
        format!("{value:.0}")
    } else if size >= 10.0 {
        format!("{value:.1}")
    } else if size >= 1.0 {
        format!("{value:.2}")
    } else {
        let digits = (2.0 - size.log10().floor()).clamp(2.0, 9.0) as usize;
        format!("{value:.digits$}")
    }
}
