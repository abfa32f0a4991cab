//! The command line that the processes of fakes share: their flags, the `listening` line, and the
//! conditions under which they exit.

use lexopt::{
    Arg::{self, Long},
    Parser, ValueExt as _,
};
use std::{io, net::SocketAddr, str::FromStr, thread, time::Duration};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::oneshot,
};

/// Help text for the flags of [`CommonFlags`].
pub const COMMON_FLAGS_HELP: &str =
    "  --port N               listen on 127.0.0.1:N (default 0: any free port)
  --max-seconds N        end by itself after N seconds (default 600)
  --until-stdin-closes   end when standard input closes
  --help                 print this";

/// Why the process of a fake failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A flag is unknown, or its value is missing or malformed.
    #[error("{0}; see --help")]
    Usage(#[from] lexopt::Error),
    /// The port can't be bound, or the signal handlers can't be installed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Flags that the processes of fakes share.
#[derive(Clone, Copy, Debug)]
pub struct CommonFlags {
    /// Loopback port to listen on; 0 selects any free port.
    pub port: u16,
    /// Time after which the process exits by itself, so that none outlives a test that died.
    pub max_run_time: Duration,
    /// Whether the process exits when its standard input closes.
    pub until_stdin_closes: bool,
}

impl Default for CommonFlags {
    fn default() -> Self {
        Self {
            port: 0,
            max_run_time: Duration::from_secs(600),
            until_stdin_closes: false,
        }
    }
}

impl CommonFlags {
    /// Parses all flags. Flags other than the common ones are passed to `parse_other`, which parses
    /// the value and returns whether it knows the flag.
    ///
    /// # Errors
    /// If a flag is unknown, or its value is missing or malformed.
    pub fn parse(
        parser: &mut Parser,
        mut parse_other: impl FnMut(&str, &mut Parser) -> Result<bool, lexopt::Error>,
    ) -> Result<Self, lexopt::Error> {
        let mut flags = Self::default();
        while let Some(arg) = parser.next()? {
            let Long(name) = arg else {
                return Err(arg.unexpected());
            };
            let name = name.to_owned();
            match name.as_str() {
                "port" => flags.port = parse_value(parser)?,
                "max-seconds" => flags.max_run_time = Duration::from_secs(parse_value(parser)?),
                "until-stdin-closes" => flags.until_stdin_closes = true,
                name if parse_other(name, parser)? => {}
                name => return Err(Arg::Long(name).unexpected()),
            }
        }
        Ok(flags)
    }

    /// Prints `listening IP:PORT`, then waits for SIGTERM, SIGINT, the end of the run time, or, if
    /// the flag is set, the end of standard input.
    ///
    /// # Errors
    /// If the signal handlers can't be installed.
    pub async fn run_until_stopped(self, address: SocketAddr) -> Result<(), Error> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let stdin_closed = self.until_stdin_closes.then(watch_stdin);
        println!("listening {address}");
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = tokio::time::sleep(self.max_run_time) => {}
            () = wait_for_stdin(stdin_closed) => {}
        }
        Ok(())
    }
}

/// Parses the value of the flag that `parser` has just returned.
///
/// # Errors
/// If the value is missing or malformed.
pub fn parse_value<T>(parser: &mut Parser) -> Result<T, lexopt::Error>
where
    T: FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    parser.value()?.parse()
}

/// Returns a receiver that completes when standard input closes. A thread reads standard input,
/// because a blocking read can't be cancelled.
fn watch_stdin() -> oneshot::Receiver<()> {
    let (sender, receiver) = oneshot::channel();
    thread::spawn(move || {
        // A read error counts as closed.
        let _ = io::copy(&mut io::stdin().lock(), &mut io::sink());
        let _ = sender.send(());
    });
    receiver
}

/// Waits until standard input closes; without a receiver, forever.
async fn wait_for_stdin(closed: Option<oneshot::Receiver<()>>) {
    match closed {
        Some(closed) => drop(closed.await),
        None => std::future::pending().await,
    }
}
