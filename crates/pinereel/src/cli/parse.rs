//! Command-line parser. It has no side effects and opens no files.

use super::{Command, Draft, Error, OPERATORS_VAR, SETTINGS_VAR, TOKEN_FILE_VAR, Target, help};
use compact_str::{CompactString, format_compact};
use lexopt::{Arg, Parser, ValueExt as _};
use std::{ffi::OsString, path::PathBuf};

/// Parses `args`, which exclude the program name; `env` looks up environment variables.
///
/// # Errors
/// [`Error::Usage`] if the command line is invalid.
pub fn parse(
    args: impl IntoIterator<Item = impl Into<OsString>>,
    env: impl Fn(&str) -> Option<OsString>,
) -> Result<Command, Error> {
    let mut parser = Parser::from_args(args);
    match parser.next()? {
        Some(Arg::Long("version") | Arg::Short('V')) => Ok(Command::Version),
        Some(Arg::Long("help") | Arg::Short('h')) => Ok(Command::Help(help::MAIN)),
        Some(Arg::Value(name)) => parse_command(&name.string()?, parser, env),
        Some(arg) => Err(arg.unexpected().into()),
        None => Err(usage_error("a command is missing")),
    }
}

fn parse_command(
    name: &str,
    parser: Parser,
    env: impl Fn(&str) -> Option<OsString>,
) -> Result<Command, Error> {
    let text = match name {
        "entry" => help::ENTRY,
        "hosted" => help::HOSTED,
        "config" => help::CONFIG,
        "status" => help::STATUS,
        "drain" => help::DRAIN,
        "help" => return Ok(Command::Help(help::MAIN)),
        _ => return Err(usage_error(format_compact!("unknown command {name:?}"))),
    };
    let mut options = Options::parse(name, parser)?;
    if options.help {
        return Ok(Command::Help(text));
    }
    let command = match name {
        "entry" => options.entry_command()?,
        "hosted" => options.hosted_command(&env)?,
        "config" => options.config_command(&env)?,
        "status" => Command::Status(options.target(&env)?),
        _ => Command::Drain(options.target(&env)?),
    };
    options.reject_unused()?;
    Ok(command)
}

/// Options and positional arguments of all commands.
#[derive(Default)]
struct Options {
    help: bool,
    check: bool,
    json: bool,
    settings: Option<PathBuf>,
    operators: Option<OsString>,
    token_file: Option<OsString>,
    base: Option<u64>,
    id: Option<CompactString>,
    /// Positional arguments in reverse order.
    positional: Vec<OsString>,
}

impl Options {
    fn parse(command: &str, mut parser: Parser) -> Result<Self, Error> {
        let mut options = Self::default();
        while let Some(arg) = parser.next()? {
            match (command, arg) {
                (_, Arg::Long("help") | Arg::Short('h')) => options.help = true,
                ("entry" | "hosted", Arg::Long("check")) => options.check = true,
                ("entry" | "hosted", Arg::Long("config")) => {
                    options.settings = Some(parser.value()?.into());
                }
                ("config", Arg::Long("base")) => options.base = Some(parser.value()?.parse()?),
                ("config", Arg::Long("id")) => options.id = Some(parser.value()?.string()?.into()),
                ("config", Arg::Value(value)) => options.positional.insert(0, value),
                ("entry" | "hosted", arg) => return Err(arg.unexpected().into()),
                (_, Arg::Long("json")) => options.json = true,
                (_, Arg::Long("operators")) => options.operators = Some(parser.value()?),
                (_, Arg::Long("token-file")) => options.token_file = Some(parser.value()?),
                (_, arg) => return Err(arg.unexpected().into()),
            }
        }
        Ok(options)
    }

    fn entry_command(&mut self) -> Result<Command, Error> {
        let config = self
            .settings
            .take()
            .ok_or_else(|| usage_error("--config is missing"))?;
        let check = self.check;
        Ok(Command::Entry { config, check })
    }

    fn hosted_command(&mut self, env: impl Fn(&str) -> Option<OsString>) -> Result<Command, Error> {
        let config = self.settings.take();
        let config = config.or_else(|| env(SETTINGS_VAR).map(PathBuf::from));
        let config = config
            .ok_or_else(|| usage_error(format_compact!("--config or {SETTINGS_VAR} is missing")))?;
        let check = self.check;
        Ok(Command::Hosted { config, check })
    }

    fn config_command(&mut self, env: impl Fn(&str) -> Option<OsString>) -> Result<Command, Error> {
        let action = self.positional.pop().unwrap_or_default();
        match action.to_str() {
            Some("show") => Ok(Command::Show(self.target(env)?)),
            Some("check") => {
                let draft = self.draft()?;
                Ok(Command::Check(self.target(env)?, draft))
            }
            Some("patch") => {
                let draft = self.draft()?;
                Ok(Command::Patch(self.target(env)?, draft))
            }
            _ => Err(usage_error("config needs show, check or patch")),
        }
    }

    fn draft(&mut self) -> Result<Draft, Error> {
        let base = self
            .base
            .take()
            .ok_or_else(|| usage_error("--base is missing"))?;
        let file = self
            .positional
            .pop()
            .ok_or_else(|| usage_error("FILE is missing"))?;
        let id = self.id.take();
        if id.as_ref().is_some_and(CompactString::is_empty) {
            return Err(usage_error("--id is empty"));
        }
        Ok(Draft {
            base,
            id,
            file: file.into(),
        })
    }

    fn target(&mut self, env: impl Fn(&str) -> Option<OsString>) -> Result<Target, Error> {
        let operators = self.operators.take().or_else(|| env(OPERATORS_VAR));
        let operators = operators.ok_or_else(|| {
            usage_error(format_compact!("--operators or {OPERATORS_VAR} is missing"))
        })?;
        let token_file = self.token_file.take().or_else(|| env(TOKEN_FILE_VAR));
        let token_file = token_file.ok_or_else(|| {
            usage_error(format_compact!(
                "--token-file or {TOKEN_FILE_VAR} is missing"
            ))
        })?;
        let address = operators.to_str().and_then(|text| text.parse().ok());
        Ok(Target {
            operators: address.ok_or_else(|| {
                usage_error(format_compact!(
                    "operators: given {operators:?}, expected IP:PORT"
                ))
            })?,
            token_file: token_file.into(),
            json: self.json,
        })
    }

    /// Rejects arguments that the command does not use.
    fn reject_unused(mut self) -> Result<(), Error> {
        if let Some(value) = self.positional.pop() {
            return Err(usage_error(format_compact!(
                "unexpected argument {value:?}"
            )));
        }
        if self.base.is_some() || self.id.is_some() {
            return Err(usage_error("--base and --id belong to a patch"));
        }
        Ok(())
    }
}

fn usage_error(message: impl Into<CompactString>) -> Error {
    Error::Usage(message.into())
}
