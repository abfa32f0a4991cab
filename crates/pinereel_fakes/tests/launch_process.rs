//! The stand-ins as processes, and the helper that starts them.

use pinereel_fakes::launch::{Child, Signal, ready};
use std::{os::unix::process::ExitStatusExt as _, process::Command, time::Duration};

/// Longer than anything here takes on a busy machine.
const LONG: Duration = Duration::from_secs(20);

fn start(args: &[&str]) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pinereel-fakes"));
    Child::start(command.args(args)).expect("the program is built with the tests")
}

#[test]
fn each_stand_in_listens_and_ends_on_sigterm() {
    let tools = [
        ("engine", "/v1/state"),
        ("object-api", "/stats"),
        ("weight-store", "/stats"),
        ("service", "/record"),
    ];
    for (tool, path) in tools {
        let mut child = start(&[tool, "--max-seconds", "60"]);
        let address = child.address("listening", LONG).unwrap();
        assert!(ready(address, path, LONG), "{tool}");
        child.signal(Signal::TERM).unwrap();
        assert!(child.wait(LONG).unwrap().unwrap().success(), "{tool}");
        assert!(child.signal(Signal::TERM).is_err());
    }
}

#[test]
fn a_stand_in_ends_with_its_stdin_or_its_time() {
    let mut child = start(&["service", "--until-stdin-closes"]);
    child.address("listening", LONG).unwrap();
    child.close_stdin();
    assert!(child.wait(LONG).unwrap().unwrap().success());
    let mut child = start(&["service", "--max-seconds", "0"]);
    assert!(child.wait(LONG).unwrap().unwrap().success());
}

#[test]
fn a_stopped_process_does_not_answer_until_it_goes_on() {
    let mut child = start(&["service", "--max-seconds", "60"]);
    let address = child.address("listening", LONG).unwrap();
    child.signal(Signal::STOP).unwrap();
    assert!(!ready(address, "/record", Duration::from_millis(50)));
    child.signal(Signal::CONT).unwrap();
    assert!(ready(address, "/record", LONG));
    child.signal(Signal::KILL).unwrap();
    assert_eq!(child.wait(LONG).unwrap().unwrap().signal(), Some(9));
}

#[test]
fn help_and_wrong_flags() {
    let mut child = start(&["object-api", "--help"]);
    assert!(child.line("--writes-per-second N", LONG).is_some());
    assert_eq!(child.wait(LONG).unwrap().unwrap().code(), Some(0));
    let mut child = start(&["service", "--lag-ms", "1"]);
    assert!(child.line("invalid option '--lag-ms'", LONG).is_some());
    assert_eq!(child.wait(LONG).unwrap().unwrap().code(), Some(2));
    assert_eq!(child.line("never printed", LONG), None);
}
