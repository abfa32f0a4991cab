//! The `pinereel` binary: parses the command line and runs the command.

use pinereel::cli;
use pinereel_platform::adapter;
use std::{env, io, process::ExitCode};

fn main() -> ExitCode {
    let args = env::args_os().skip(1);
    let exit = match cli::parse(args, |name| env::var_os(name)) {
        Ok(command) => cli::run(command, adapter(), &mut io::stdout(), &mut io::stderr()),
        Err(error) => {
            eprintln!("pinereel: {error}");
            error.exit_code()
        }
    };
    ExitCode::from(exit as u8)
}
