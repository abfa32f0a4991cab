//! The trainer stand-in as a process; it prints its [`Report`] as JSON.
//!
//! Flags: `--entry HOST:PORT` (once or more), `--name NAME`, `--steps N`, `--groups N`,
//! `--samples N`, `--max-tokens N`, `--train-ms N`, `--bound N`, `--version N`, `--any-text`,
//! `--deadline-ms N`, `--patience-ms N`, `--seed N`, `--print-samples`, `--max-seconds N`.

use super::{Options, Report, Trainer, client};
use lexopt::{Arg, Parser, ValueExt as _};
use pinereel_core::Version;
use std::{process::ExitCode, time::Duration};

/// How long a forgotten process lives.
const MAX_SECONDS: u64 = 600;

/// Why the process gave no report.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A flag is unknown or its value is malformed.
    #[error("{0}")]
    Flags(#[from] lexopt::Error),
    /// A call failed for good.
    #[error("{0}")]
    Call(#[from] client::Error),
    /// The run took longer than `--max-seconds`.
    #[error("the run was not over after {0:?}")]
    Late(Duration),
    /// The report could not be written.
    #[error("{0}")]
    Report(#[from] serde_json::Error),
}

/// Runs the process. Fails if the run failed or a sample came that must never come.
pub fn main(args: Parser) -> ExitCode {
    match run(args) {
        Ok(report) if report.clean() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("trainer: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all steps and prints the report.
///
/// # Errors
/// Malformed flags, a call that failed for good, or a run over its time.
pub fn run(args: Parser) -> Result<Report, Error> {
    let (options, limit) = parse(args)?;
    let report = actix_rt::System::new().block_on(async move {
        tokio::time::timeout(limit, Trainer::new(options).run())
            .await
            .map_err(|_| Error::Late(limit))?
            .map_err(Error::from)
    })?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(report)
}

fn parse(mut args: Parser) -> Result<(Options, Duration), lexopt::Error> {
    let mut options = Options::default();
    let mut limit = Duration::from_secs(MAX_SECONDS);
    while let Some(arg) = args.next()? {
        let Arg::Long(name) = arg else {
            return Err(arg.unexpected());
        };
        match name {
            "entry" => options.entries.push(args.value()?.string()?),
            "name" => options.name = args.value()?.string()?.into(),
            "steps" => options.steps = args.value()?.parse()?,
            "groups" => options.groups = args.value()?.parse()?,
            "samples" => options.samples = args.value()?.parse()?,
            "max-tokens" => options.max_tokens = args.value()?.parse()?,
            "train-ms" => options.train = millis(&mut args)?,
            "bound" => options.bound = args.value()?.parse()?,
            "version" => options.version = Version(args.value()?.parse()?),
            "any-text" => options.whole = false,
            "deadline-ms" => options.deadline = millis(&mut args)?,
            "patience-ms" => options.patience = millis(&mut args)?,
            "print-samples" => options.print = true,
            "seed" => options.seed = args.value()?.parse()?,
            "max-seconds" => limit = Duration::from_secs(args.value()?.parse()?),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok((options, limit))
}

fn millis(args: &mut Parser) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_millis(args.value()?.parse()?))
}
