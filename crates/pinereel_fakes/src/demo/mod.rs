//! The demo: one command that starts a deployment with fakes on loopback, sends traffic to it,
//! patches its configuration, replaces an entry, and prints a summary.
//!
//! - [`deployment::Deployment`]: size and configuration of a deployment.
//! - [`traffic`]: live callers that check the responses.
//! - [`operator`]: client of the operators' HTTP API.
//! - [`script`]: the steps of a run, in order.
//! - [`summary::Summary`]: measurements and checks of a run, and their output as text and JSON.

pub mod deployment;
pub mod operator;
pub mod script;
pub mod summary;
pub mod traffic;

use deployment::{Deployment, MAUMEE, PRAIRIE};
use lexopt::{Arg, Parser, ValueExt as _};
use std::{process::ExitCode, time::Duration};
use summary::Summary;

/// Help text of the flags.
pub const HELP: &str = "  --deployment maumee|prairie  run only this one
  --json                       print the summaries as JSON
  --help                       print this

  Exit code: 0 if everything promised held, 1 if not, 2 if a flag is wrong.";

/// Maximum duration of the run of one deployment. A run that exceeds it fails.
const RUN_TIMEOUT: Duration = Duration::from_secs(50);

/// Parsed command line.
struct Flags {
    deployments: Vec<&'static Deployment>,
    json: bool,
}

/// Runs the subcommand `demo`. The exit code is described in [`HELP`].
pub fn main(parser: Parser) -> ExitCode {
    let flags = match parse_flags(parser) {
        Ok(flags) => flags,
        Err(error) => {
            eprintln!("demo: {error}; see --help");
            return ExitCode::from(2);
        }
    };
    let summaries: Vec<_> = flags.deployments.into_iter().map(run).collect();
    if flags.json {
        println!("{}", serde_json::json!(summaries));
    } else {
        for summary in &summaries {
            println!("{}", summary.text());
        }
    }
    if summaries.iter().all(Summary::passed) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs one deployment on the calling thread and returns its summary. If the run fails or takes too
/// long, the summary contains only that failure.
pub fn run(deployment: &Deployment) -> Summary {
    // Each run gets its own runtime, so that tasks left over from its site end with the run.
    actix_rt::System::new().block_on(async {
        let run = tokio::time::timeout(RUN_TIMEOUT, script::run(deployment));
        let reason = match run.await {
            Ok(Ok(summary)) => return summary,
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("not over after {RUN_TIMEOUT:?}"),
        };
        Summary::failed(deployment.name, reason)
    })
}

fn parse_flags(mut parser: Parser) -> Result<Flags, lexopt::Error> {
    let mut flags = Flags {
        deployments: vec![&MAUMEE, &PRAIRIE],
        json: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("json") => flags.json = true,
            Arg::Long("deployment") => {
                let name = parser.value()?.string()?;
                flags.deployments.retain(|d| d.name == name);
                if flags.deployments.is_empty() {
                    return Err(format!("no deployment {name}").into());
                }
            }
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(flags)
}
