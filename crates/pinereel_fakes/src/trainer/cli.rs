//! The command line of the fake trainer, which prints its [`Report`] as JSON.
//!
//! Flags: `--entry HOST:PORT` (once or more), `--name NAME`, `--steps N`, `--groups N`,
//! `--samples N`, `--max-tokens N`, `--train-ms N`, `--bound N`, `--version N`, `--any-text`,
//! `--deadline-ms N`, `--patience-ms N`, `--seed N`, `--print-samples`, `--max-seconds N`.

use super::{Options, Report, Trainer, client};
use lexopt::{Arg, Parser, ValueExt as _};
use pinereel_core::Version;
use std::{process::ExitCode, time::Duration};

/// Default of `--max-seconds`, so that no process outlives a test that died.
const DEFAULT_MAX_SECONDS: u64 = 600;

/// Why the process printed no report.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A flag is unknown, or its value is missing or malformed.
    #[error("{0}")]
    Usage(#[from] lexopt::Error),
    /// A call to the entries failed.
    #[error("{0}")]
    Call(#[from] client::Error),
    /// The run took longer than `--max-seconds`.
    #[error("run did not finish within {0:?}")]
    Timeout(Duration),
    /// The report could not be serialized.
    #[error("{0}")]
    Report(#[from] serde_json::Error),
}

/// Runs the process. The exit code is a failure if the run failed or [`Report::is_valid`] is false.
pub fn main(args: Parser) -> ExitCode {
    match run(args) {
        Ok(report) if report.is_valid() => ExitCode::SUCCESS,
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
/// The flags are invalid, a call failed, or the run took longer than `--max-seconds`.
pub fn run(args: Parser) -> Result<Report, Error> {
    let (options, max_run_time) = parse_flags(args)?;
    let report = actix_rt::System::new().block_on(async move {
        tokio::time::timeout(max_run_time, Trainer::new(options).run())
            .await
            .map_err(|_| Error::Timeout(max_run_time))?
            .map_err(Error::from)
    })?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(report)
}

/// Parses the flags into the trainer's options and the maximum run time.
fn parse_flags(mut args: Parser) -> Result<(Options, Duration), lexopt::Error> {
    let mut options = Options::default();
    let mut max_run_time = Duration::from_secs(DEFAULT_MAX_SECONDS);
    while let Some(arg) = args.next()? {
        let Arg::Long(name) = arg else {
            return Err(arg.unexpected());
        };
        match name {
            "entry" => options.entries.push(args.value()?.string()?),
            "name" => options.name = args.value()?.string()?.into(),
            "steps" => options.steps = args.value()?.parse()?,
            "groups" => options.groups_per_step = args.value()?.parse()?,
            "samples" => options.samples_per_group = args.value()?.parse()?,
            "max-tokens" => options.max_tokens = args.value()?.parse()?,
            "train-ms" => options.train_time = parse_millis(&mut args)?,
            "bound" => options.staleness_bound = args.value()?.parse()?,
            "version" => options.initial_version = Version(args.value()?.parse()?),
            "any-text" => options.check_texts = false,
            "deadline-ms" => options.lot_deadline = parse_millis(&mut args)?,
            "patience-ms" => options.retry_timeout = parse_millis(&mut args)?,
            "print-samples" => options.print_samples = true,
            "seed" => options.seed = args.value()?.parse()?,
            "max-seconds" => max_run_time = Duration::from_secs(args.value()?.parse()?),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok((options, max_run_time))
}

fn parse_millis(args: &mut Parser) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_millis(args.value()?.parse()?))
}
