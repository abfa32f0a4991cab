//! Command-line parser: commands, usage errors, help texts, and the binary's exit codes.

use pinereel::cli::{self, Command};
use std::{ffi::OsString, fs, path::Path, process};

const TARGET: &str = "--operators 127.0.0.1:8082 --token-file token";

/// The command that `line` is parsed as, or its error.
fn parse_line(line: &str) -> String {
    parse_with_env(line, |_| None)
}

fn parse_with_env(line: &str, env: impl Fn(&str) -> Option<OsString>) -> String {
    match cli::parse(line.split_whitespace(), env) {
        Ok(Command::Help(text)) => text.into(),
        Ok(command) => format!("{command:?}"),
        Err(error) => format!("{:?}: {error}", error.exit_code()),
    }
}

fn parse_all(lines: &[&str]) -> String {
    let lines: Vec<_> = lines.iter().map(|line| parse_line(line)).collect();
    lines.join("\n")
}

#[test]
fn each_command_is_parsed() {
    let text = parse_all(&[
        "--version",
        "entry --config a.ini",
        "entry --check --config=a.ini",
        &format!("config show {TARGET}"),
        &format!("config check --base 7 {TARGET} patch.json"),
        &format!("config {TARGET} patch --json --base=7 --id mine -"),
        &format!("status {TARGET} --json"),
        &format!("drain {TARGET}"),
    ]);
    insta::assert_snapshot!(text, @r#"
    Version
    Entry { config: "a.ini", check: false }
    Entry { config: "a.ini", check: true }
    Show(Target { operators: 127.0.0.1:8082, token_file: "token", json: false })
    Check(Target { operators: 127.0.0.1:8082, token_file: "token", json: false }, Draft { base: 7, id: None, file: "patch.json" })
    Patch(Target { operators: 127.0.0.1:8082, token_file: "token", json: true }, Draft { base: 7, id: Some("mine"), file: "-" })
    Status(Target { operators: 127.0.0.1:8082, token_file: "token", json: true })
    Drain(Target { operators: 127.0.0.1:8082, token_file: "token", json: false })
    "#);
}

#[test]
fn environment_variables_provide_a_missing_target() {
    let env = |name: &str| match name {
        cli::OPERATORS_VAR => Some("127.0.0.1:1".into()),
        cli::TOKEN_FILE_VAR => Some("env-token".into()),
        _ => None,
    };
    insta::assert_snapshot!(parse_with_env("status", env), @r#"
    Status(Target { operators: 127.0.0.1:1, token_file: "env-token", json: false })
    "#);
    insta::assert_snapshot!(parse_with_env("status --operators 127.0.0.1:2", env), @r#"
    Status(Target { operators: 127.0.0.1:2, token_file: "env-token", json: false })
    "#);
}

#[test]
fn usage_errors_are_reported() {
    let text = parse_all(&[
        "",
        "bake",
        "--loud",
        "entry",
        "entry --config",
        "entry --config a.ini more",
        "entry --config a.ini --json",
        "config",
        &format!("config melt {TARGET}"),
        &format!("config patch {TARGET} patch.json"),
        &format!("config patch --base seven {TARGET} patch.json"),
        &format!("config patch --base 7 {TARGET}"),
        &format!("config patch --base 7 --id= {TARGET} patch.json"),
        &format!("config patch --base 7 {TARGET} patch.json more"),
        &format!("config show --base 7 {TARGET}"),
        "status --token-file token",
        "status --operators 127.0.0.1:1",
        "drain --operators localhost:1 --token-file token",
        &format!("drain {TARGET} --base 7"),
    ]);
    insta::assert_snapshot!(text, @r#"
    Usage: a command is missing (see pinereel --help)
    Usage: unknown command "bake" (see pinereel --help)
    Usage: invalid option '--loud' (see pinereel --help)
    Usage: --config is missing (see pinereel --help)
    Usage: missing argument for option '--config' (see pinereel --help)
    Usage: unexpected argument "more" (see pinereel --help)
    Usage: invalid option '--json' (see pinereel --help)
    Usage: config needs show, check or patch (see pinereel --help)
    Usage: config needs show, check or patch (see pinereel --help)
    Usage: --base is missing (see pinereel --help)
    Usage: cannot parse argument "seven": invalid digit found in string (see pinereel --help)
    Usage: FILE is missing (see pinereel --help)
    Usage: --id is empty (see pinereel --help)
    Usage: unexpected argument "more" (see pinereel --help)
    Usage: --base and --id belong to a patch (see pinereel --help)
    Usage: --operators or PINEREEL_OPERATORS is missing (see pinereel --help)
    Usage: --token-file or PINEREEL_TOKEN_FILE is missing (see pinereel --help)
    Usage: operators: given "localhost:1", expected IP:PORT (see pinereel --help)
    Usage: invalid option '--base' (see pinereel --help)
    "#);
}

#[test]
fn every_command_has_a_help_text() {
    insta::assert_snapshot!(parse_line("--help"), @r#"
    pinereel: rollout service for reinforcement learning

    usage: pinereel COMMAND [OPTIONS]

    commands:
      entry    run an entry
      hosted   run an instance whose state the platform keeps
      config   show, check or patch the configuration
      status   print what an entry knows of the system
      drain    stop an entry gracefully

      --help, -h     help, also after each command
      --version, -V  the version

    exit codes:
      0  done
      1  failed: nobody answered, or the server had an error
      2  the command line or the settings are at fault
      3  refused: a conflict, an invalid patch, or a patch that was not confirmed
      4  unknown: it may or may not have been done
    "#);
    insta::assert_snapshot!(parse_line("entry --help"), @r#"
    usage: pinereel entry --config FILE [--check]

    Runs an entry until it is told to stop.

      --config FILE  settings, see docs/SETTINGS.md
      --check        read the settings, list all faults, and stop

    exit codes: 0 done, 1 failed, 2 bad usage or settings
    "#);
    for command in ["config", "config show", "config patch", "status", "drain"] {
        let text = parse_line(&format!("{command} -h"));
        let first = command.split(' ').next().unwrap();
        assert!(
            text.starts_with(&format!("usage: pinereel {first} ")),
            "{text}"
        );
        assert!(text.contains("exit codes: 0 "), "{text}");
        assert!(text.lines().all(|line| line.len() <= 80), "{text}");
    }
}

#[test]
fn the_binary_exits_with_the_documented_codes() {
    let settings = Path::new(env!("CARGO_TARGET_TMPDIR")).join("faulty.ini");
    fs::write(&settings, "[entry]\nname = entry-1\n").unwrap();
    let run = |args: &[&str]| {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_pinereel"));
        let output = command.args(args).env_clear().output().unwrap();
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8(text).unwrap())
    };
    let (code, text) = run(&["--version"]);
    assert_eq!((code, text.starts_with("pinereel ")), (Some(0), true));
    assert_eq!(run(&["--help"]).0, Some(0));
    assert_eq!(run(&["status"]).0, Some(2));
    let (code, text) = run(&["entry", "--check", "--config", settings.to_str().unwrap()]);
    assert_eq!((code, text.lines().count()), (Some(2), 7), "{text}");
}
