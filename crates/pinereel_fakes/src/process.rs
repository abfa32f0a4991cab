//! What the stand-ins' processes have in common: flags, the `listening` line, the end.

use lexopt::{
    Arg::{self, Long},
    Parser, ValueExt as _,
};
use std::{io, net::SocketAddr, str::FromStr, thread, time::Duration};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::oneshot,
};

/// Help text of the flags of [`Common`].
pub const HELP: &str = "  --port N               listen on 127.0.0.1:N (default 0: any free port)
  --max-seconds N        end by itself after N seconds (default 600)
  --until-stdin-closes   end when standard input closes
  --help                 print this";

/// Why a process of the stand-ins could not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The flags are wrong.
    #[error("{0}; see --help")]
    Usage(#[from] lexopt::Error),
    /// The port can't be bound, or signals can't be received.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Flags that every stand-in takes.
#[derive(Clone, Copy, Debug)]
pub struct Common {
    /// Port on loopback; 0 lets the system choose.
    pub port: u16,
    /// After how long the process ends by itself.
    pub max: Duration,
    /// Whether the process ends when its standard input closes.
    pub until_stdin_closes: bool,
}

impl Default for Common {
    fn default() -> Self {
        Self {
            port: 0,
            max: Duration::from_secs(600),
            until_stdin_closes: false,
        }
    }
}

impl Common {
    /// Reads all flags: the common ones here, the others by `own`, which says whether it knew one.
    ///
    /// # Errors
    /// If a flag is unknown or its value is malformed.
    pub fn parse(
        parser: &mut Parser,
        mut own: impl FnMut(&str, &mut Parser) -> Result<bool, lexopt::Error>,
    ) -> Result<Self, lexopt::Error> {
        let mut common = Self::default();
        while let Some(arg) = parser.next()? {
            let Long(name) = arg else {
                return Err(arg.unexpected());
            };
            let name = name.to_owned();
            match name.as_str() {
                "port" => common.port = value(parser)?,
                "max-seconds" => common.max = Duration::from_secs(value(parser)?),
                "until-stdin-closes" => common.until_stdin_closes = true,
                name if own(name, parser)? => {}
                name => return Err(Arg::Long(name).unexpected()),
            }
        }
        Ok(common)
    }

    /// Prints `listening IP:PORT`, then waits for SIGTERM, SIGINT, the closed standard input or
    /// the longest run time.
    ///
    /// # Errors
    /// If signals can't be received.
    pub async fn serve(self, address: SocketAddr) -> Result<(), Error> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let closed = self.until_stdin_closes.then(stdin_closed);
        println!("listening {address}");
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = tokio::time::sleep(self.max) => {}
            () = ended(closed) => {}
        }
        Ok(())
    }
}

/// The value of the flag just read.
///
/// # Errors
/// If it is absent or malformed.
pub fn value<T>(parser: &mut Parser) -> Result<T, lexopt::Error>
where
    T: FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    parser.value()?.parse()
}

/// Tells when standard input closes. A thread reads it, since its reads can't be cancelled.
fn stdin_closed() -> oneshot::Receiver<()> {
    let (tell, told) = oneshot::channel();
    thread::spawn(move || {
        // An error counts as closed.
        let _ = io::copy(&mut io::stdin().lock(), &mut io::sink());
        let _ = tell.send(());
    });
    told
}

async fn ended(closed: Option<oneshot::Receiver<()>>) {
    match closed {
        Some(closed) => drop(closed.await),
        None => std::future::pending().await,
    }
}
