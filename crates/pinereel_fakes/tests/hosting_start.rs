//! Starts of an instance as a real process: signals, settings and ports that are not as usual yet.

mod start_support;

use pinereel_fakes::child_process::{Child, Signal};
use start_support::{Start, TIMEOUT};

/// The exit code of the process; `None` if it was ended by a signal or has not exited in time.
fn exit_code(child: &mut Child) -> Option<i32> {
    let status = child.wait_for_exit(TIMEOUT).expect("a status");
    status.and_then(|status| status.code())
}

/// A SIGHUP that arrived before the runtime handled signals ended the process by its default action.
#[test]
fn an_early_sighup_does_not_end_the_process() {
    let start = Start::new("early-sighup");
    let mut child = start.spawn_and_act_before_settings(|child| {
        child.signal(Signal::HUP).expect("the process runs");
    });
    let line = child.wait_for_line("\"started\"", TIMEOUT);
    assert!(line.is_some(), "{:?}", child.lines());
    child.signal(Signal::TERM).expect("the process runs");
    assert_eq!(exit_code(&mut child), Some(0), "{:?}", child.lines());
}

/// A SIGTERM that arrived before the runtime handled signals ended the process by its default action, without a
/// last log line.
#[test]
fn an_early_sigterm_leads_to_a_graceful_exit() {
    let start = Start::new("early-sigterm");
    let mut child = start.spawn_and_act_before_settings(|child| {
        child.signal(Signal::TERM).expect("the process runs");
    });
    assert_eq!(exit_code(&mut child), Some(0), "{:?}", child.lines());
    let line = child.wait_for_line("\"stopped\"", TIMEOUT);
    assert!(line.is_some(), "{:?}", child.lines());
}
