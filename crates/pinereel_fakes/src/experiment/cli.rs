//! The command line of the tool.

use super::{
    plot,
    policy::Policy,
    scenario::{self, Scenario},
    table::{self, Row},
    world::World,
};
use lexopt::{Arg::Long, Parser, ValueExt as _};
use std::{path::PathBuf, process::ExitCode, thread};

/// Threads that runs are spread over.
const THREADS: usize = 4;

/// Help on the flags.
pub const HELP: &str = "  --scenario NAME|FILE  one scenario (default: the four built in)
  --policy NAME,...     these policies (default: all)
  --seeds N             seeds for each policy (default 2)
  --steps N             length of a run, in steps at the scenario's pace (default 30)
  --csv FILE            write all measures there
  --svg FILE            write a plot there
  --help                print this";

/// Why the tool ended early.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}; see --help")]
    Usage(#[from] lexopt::Error),
    #[error(transparent)]
    Scenario(#[from] scenario::Error),
    #[error("no policy {0}; there are: {1}")]
    Policy(String, String),
    #[error("{0}: {1}")]
    Write(PathBuf, std::io::Error),
    #[error(transparent)]
    Plot(#[from] plot::Error),
}

/// What to run.
struct Options {
    scenarios: Vec<String>,
    policies: Vec<Policy>,
    seeds: u64,
    steps: u32,
    csv: Option<PathBuf>,
    svg: Option<PathBuf>,
}

/// Runs the tool.
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

fn run(parser: Parser) -> Result<(), Error> {
    let options = parse(parser)?;
    let mut rows = Vec::new();
    for name in &options.scenarios {
        let scenario = Scenario::load(name)?;
        rows.extend(compare(
            &scenario,
            &options.policies,
            options.seeds,
            options.steps,
        ));
    }
    print!("{}", table::text(&rows));
    if let Some(file) = options.csv {
        let written = std::fs::write(&file, table::csv(&rows));
        written.map_err(|e| Error::Write(file, e))?;
    }
    if let Some(file) = options.svg {
        plot::draw(&rows, &file)?;
    }
    Ok(())
}

/// Runs each policy with the same seeds. The runs share nothing, so they take turns on some
/// threads.
pub fn compare(scenario: &Scenario, policies: &[Policy], seeds: u64, steps: u32) -> Vec<Row> {
    let share = policies.len().div_ceil(THREADS).max(1);
    let row = |policy: &Policy| Row {
        scenario: scenario.name.clone(),
        policy: policy.name.into(),
        runs: (1..=seeds)
            .map(|seed| World::new(scenario, *policy, seed, steps).run())
            .collect(),
    };
    thread::scope(|scope| {
        let parts = policies.chunks(share);
        let parts = parts.map(|part| scope.spawn(move || part.iter().map(row).collect::<Vec<_>>()));
        let parts: Vec<_> = parts.collect();
        let rows = parts.into_iter().map(|part| part.join());
        rows.flat_map(|rows| rows.expect("a run has no reason to panic"))
            .collect()
    })
}

fn parse(mut parser: Parser) -> Result<Options, Error> {
    let mut options = Options {
        scenarios: Scenario::names().map(Into::into).collect(),
        policies: Policy::all(),
        seeds: 2,
        steps: 30,
        csv: None,
        svg: None,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("scenario") => options.scenarios = vec![parser.value()?.string()?],
            Long("policy") => options.policies = policies(&parser.value()?.string()?)?,
            Long("seeds") => options.seeds = parser.value()?.parse::<u64>()?.max(1),
            Long("steps") => options.steps = parser.value()?.parse::<u32>()?.max(1),
            Long("csv") => options.csv = Some(parser.value()?.into()),
            Long("svg") => options.svg = Some(parser.value()?.into()),
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(options)
}

fn policies(names: &str) -> Result<Vec<Policy>, Error> {
    let known = || {
        Policy::all()
            .iter()
            .map(|p| p.name)
            .collect::<Vec<_>>()
            .join(", ")
    };
    let find = |name: &str| Policy::find(name).ok_or_else(|| Error::Policy(name.into(), known()));
    names.split(',').map(|name| find(name.trim())).collect()
}
