//! Fake engine as a process of its own.
//!
//! Flags: `--address IP:PORT`, `--name NAME`, `--slots N`, `--tokens-per-second X`, `--swap-ms N`,
//! `--warm-up-ms N`, `--lag-ms N`, `--seed N`, `--version N` (0 for no version at the start),
//! `--ignore-fencing`, `--until-stdin-closes`, `--max-seconds N`.

use super::server::{Handle, Options};
use lexopt::{Arg, Parser, ValueExt as _};
use pinereel_core::Version;
use std::{
    io::{self, Read as _, Write as _},
    process::ExitCode,
    thread,
    time::Duration,
};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::oneshot,
};

/// Default of `--max-seconds`, after which a process ends that nobody stops.
const DEFAULT_MAX_SECONDS: u64 = 600;

/// Error of the process.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A flag is unknown or its value is malformed.
    #[error("{0}")]
    Flags(#[from] lexopt::Error),
    /// The listener, standard output or the signal handler failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Conditions under which the process ends, in addition to SIGTERM.
#[derive(Clone, Copy, Debug)]
struct ExitConditions {
    until_stdin_closes: bool,
    max_run_time: Duration,
}

/// Runs the process and prints an error to standard error.
pub fn main(args: Parser) -> ExitCode {
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("engine: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the engine until SIGTERM, or until a condition of its flags is met.
///
/// # Errors
/// If a flag is unknown or malformed, or the address cannot be bound.
pub fn run(args: Parser) -> Result<(), Error> {
    let (options, exit) = parse_flags(args)?;
    actix_rt::System::new().block_on(async move {
        let handle = Handle::start(options).await?;
        println!("listening {}", handle.address);
        io::stdout().flush()?;
        wait_for_exit(exit).await?;
        handle.stop();
        Ok(())
    })
}

fn parse_flags(mut args: Parser) -> Result<(Options, ExitConditions), Error> {
    let mut options = Options::default();
    let mut exit = ExitConditions {
        until_stdin_closes: false,
        max_run_time: Duration::from_secs(DEFAULT_MAX_SECONDS),
    };
    while let Some(arg) = args.next()? {
        let Arg::Long(name) = arg else {
            return Err(arg.unexpected().into());
        };
        match name {
            "address" => options.address = args.value()?.parse()?,
            "name" => options.name = args.value()?.string()?.into(),
            "slots" => options.batch.slots = args.value()?.parse()?,
            "tokens-per-second" => options.batch.tokens_per_second = args.value()?.parse()?,
            "swap-ms" => options.batch.swap_time = parse_millis(&mut args)?,
            "warm-up-ms" => options.batch.warm_up_time = parse_millis(&mut args)?,
            "lag-ms" => options.lag = parse_millis(&mut args)?,
            "seed" => options.seed = args.value()?.parse()?,
            "version" => {
                let version: u64 = args.value()?.parse()?;
                options.batch.initial_version = (version > 0).then_some(Version(version));
            }
            "ignore-fencing" => options.checks_fencing = false,
            "until-stdin-closes" => exit.until_stdin_closes = true,
            "max-seconds" => exit.max_run_time = Duration::from_secs(args.value()?.parse()?),
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok((options, exit))
}

fn parse_millis(args: &mut Parser) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_millis(args.value()?.parse()?))
}

async fn wait_for_exit(exit: ExitConditions) -> io::Result<()> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let (stdin_closed, stdin) = oneshot::channel();
    if exit.until_stdin_closes {
        // Reads of standard input block, so they run on a thread, which ends with the process.
        thread::spawn(move || {
            let _ = io::stdin().read_to_end(&mut Vec::new());
            let _ = stdin_closed.send(());
        });
    }
    tokio::select! {
        _ = sigterm.recv() => {}
        Ok(()) = stdin => {}
        () = tokio::time::sleep(exit.max_run_time) => {}
    }
    Ok(())
}
