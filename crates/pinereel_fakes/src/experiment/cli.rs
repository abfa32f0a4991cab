//! Command line of the experiment tool, which runs each policy with several seeds and writes the
//! results.

use super::{
    plot,
    policy::Policy,
    scenario::{self, Scenario},
    simulation::Simulation,
    table::{self, Row},
};
use lexopt::{Arg::Long, Parser, ValueExt as _};
use std::{path::PathBuf, process::ExitCode, thread};

/// Most threads that run simulations.
const MAX_THREADS: usize = 4;

/// Help text of the flags.
pub const HELP: &str = "  --scenario NAME|FILE  one scenario (default: the four built in)
  --policy NAME,...     these policies (default: all)
  --seeds N             seeds for each policy (default 2)
  --steps N             length of a run, in steps at the scenario's pace (default 30)
  --csv FILE            write all measures there
  --svg FILE            write a plot there
  --help                print this";

/// Why the tool failed.
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

/// Parsed command line.
struct Options {
    scenarios: Vec<String>,
    policies: Vec<Policy>,
    seeds: u64,
    steps: u32,
    csv: Option<PathBuf>,
    svg: Option<PathBuf>,
}

/// Runs the tool. The exit code is 2 for a wrong command line and 1 for any other error.
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

/// Runs each policy with the seeds 1 to `seeds`; the rows are in the order of the policies. The
/// policies are divided between threads, since the runs share no state.
pub fn compare(scenario: &Scenario, policies: &[Policy], seeds: u64, steps: u32) -> Vec<Row> {
    let per_thread = policies.len().div_ceil(MAX_THREADS).max(1);
    let run_policy = |policy: &Policy| Row {
        scenario: scenario.name.clone(),
        policy: policy.name.into(),
        runs: (1..=seeds)
            .map(|seed| Simulation::new(scenario, *policy, seed, steps).run())
            .collect(),
    };
    thread::scope(|scope| {
        let chunks = policies.chunks(per_thread);
        let threads = chunks
            .map(|chunk| scope.spawn(move || chunk.iter().map(run_policy).collect::<Vec<_>>()));
        let threads: Vec<_> = threads.collect();
        let rows = threads.into_iter().map(|thread| thread.join());
        rows.flat_map(|rows| rows.expect("simulations should not panic"))
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
            Long("policy") => options.policies = parse_policies(&parser.value()?.string()?)?,
            Long("seeds") => options.seeds = parser.value()?.parse::<u64>()?.max(1),
            Long("steps") => options.steps = parser.value()?.parse::<u32>()?.max(1),
            Long("csv") => options.csv = Some(parser.value()?.into()),
            Long("svg") => options.svg = Some(parser.value()?.into()),
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(options)
}

fn parse_policies(names: &str) -> Result<Vec<Policy>, Error> {
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
