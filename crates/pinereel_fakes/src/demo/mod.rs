//! Everything on loopback in one command: two deployments' sizes with embedded stand-ins.
//!
//! - [`deployment::Deployment`]: the sizes.
//! - [`traffic`]: live callers, who check what they get.
//! - [`operator`]: calls to an operators' listener.
//! - [`script`]: what happens, in order.
//! - [`summary::Summary`]: figures, checks, and how they are printed.

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

/// Longest run of one deployment. Reaching it is a failure.
const LIMIT: Duration = Duration::from_secs(50);

/// What the command line asks for.
struct Flags {
    deployments: Vec<&'static Deployment>,
    json: bool,
}

/// Runs the demo as a process.
pub fn main(parser: Parser) -> ExitCode {
    let flags = match parse(parser) {
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
    if summaries.iter().all(Summary::holds) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs one deployment to its end, on this thread.
pub fn run(deployment: &Deployment) -> Summary {
    // A runtime of its own: what is left of a site ends with it.
    actix_rt::System::new().block_on(async {
        let run = tokio::time::timeout(LIMIT, script::run(deployment));
        let why = match run.await {
            Ok(Ok(summary)) => return summary,
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("not over after {LIMIT:?}"),
        };
        Summary::failed(deployment.name, why)
    })
}

fn parse(mut parser: Parser) -> Result<Flags, lexopt::Error> {
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
