//! The engine stand-in as a process.
//!
//! Flags: `--address IP:PORT`, `--name NAME`, `--slots N`, `--tokens-per-second X`, `--swap-ms N`,
//! `--warm-up-ms N`, `--lag-ms N`, `--seed N`, `--version N` (0: nothing loaded at first),
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

/// How long a forgotten process lives.
const MAX_SECONDS: u64 = 600;

/// Why the process could not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A flag is unknown or its value is malformed.
    #[error("{0}")]
    Flags(#[from] lexopt::Error),
    /// The listener or the standard streams failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// When the process ends by itself.
#[derive(Clone, Copy, Debug)]
struct End {
    stdin: bool,
    after: Duration,
}

/// Runs the process; errors go to standard error.
pub fn main(args: Parser) -> ExitCode {
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("engine: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the stand-in until SIGTERM, or as its flags say.
///
/// # Errors
/// Malformed flags, or an address that cannot be bound.
pub fn run(args: Parser) -> Result<(), Error> {
    let (options, end) = parse(args)?;
    actix_rt::System::new().block_on(async move {
        let handle = Handle::start(options).await?;
        println!("listening {}", handle.address);
        io::stdout().flush()?;
        wait(end).await?;
        handle.stop();
        Ok(())
    })
}

fn parse(mut args: Parser) -> Result<(Options, End), Error> {
    let mut options = Options::default();
    let mut end = End {
        stdin: false,
        after: Duration::from_secs(MAX_SECONDS),
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
            "swap-ms" => options.batch.swap = millis(&mut args)?,
            "warm-up-ms" => options.batch.warm_up = millis(&mut args)?,
            "lag-ms" => options.lag = millis(&mut args)?,
            "seed" => options.seed = args.value()?.parse()?,
            "version" => {
                let version: u64 = args.value()?.parse()?;
                options.batch.version = (version > 0).then_some(Version(version));
            }
            "ignore-fencing" => options.checks_fencing = false,
            "until-stdin-closes" => end.stdin = true,
            "max-seconds" => end.after = Duration::from_secs(args.value()?.parse()?),
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok((options, end))
}

fn millis(args: &mut Parser) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_millis(args.value()?.parse()?))
}

async fn wait(end: End) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let (closed, stdin) = oneshot::channel();
    if end.stdin {
        // Reading standard input blocks, so it has a thread, which ends with the process.
        thread::spawn(move || {
            let _ = io::stdin().read_to_end(&mut Vec::new());
            let _ = closed.send(());
        });
    }
    tokio::select! {
        _ = term.recv() => {}
        Ok(()) = stdin => {}
        () = tokio::time::sleep(end.after) => {}
    }
    Ok(())
}
