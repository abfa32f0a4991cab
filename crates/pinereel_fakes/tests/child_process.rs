//! The fakes as processes, and [`Child`], which starts, stops and signals them.

use pinereel_fakes::child_process::{Child, Signal, wait_for_ok};
use std::{
    fs,
    os::unix::process::ExitStatusExt as _,
    process::Command,
    thread,
    time::{Duration, Instant},
};

/// Longer than any step of these tests takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);

fn start(args: &[&str]) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pinereel-fakes"));
    Child::spawn(command.args(args)).expect("the program is built with the tests")
}

#[test]
fn each_fake_listens_and_exits_on_sigterm() {
    let tools = [
        ("engine", "/v1/state"),
        ("object-api", "/stats"),
        ("weight-store", "/stats"),
        ("service", "/record"),
    ];
    for (tool, path) in tools {
        let mut child = start(&[tool, "--max-seconds", "60"]);
        let address = child.wait_for_address("listening", TIMEOUT).unwrap();
        assert!(wait_for_ok(address, path, TIMEOUT), "{tool}");
        child.signal(Signal::TERM).unwrap();
        assert!(
            child.wait_for_exit(TIMEOUT).unwrap().unwrap().success(),
            "{tool}"
        );
        assert!(child.signal(Signal::TERM).is_err());
    }
}

#[test]
fn a_fake_exits_when_stdin_closes_or_its_run_time_is_over() {
    let mut child = start(&["service", "--until-stdin-closes"]);
    child.wait_for_address("listening", TIMEOUT).unwrap();
    child.close_stdin();
    assert!(child.wait_for_exit(TIMEOUT).unwrap().unwrap().success());
    let mut child = start(&["service", "--max-seconds", "0"]);
    assert!(child.wait_for_exit(TIMEOUT).unwrap().unwrap().success());
}

#[test]
fn a_stopped_process_answers_only_after_it_is_continued() {
    let mut child = start(&["service", "--max-seconds", "60"]);
    let address = child.wait_for_address("listening", TIMEOUT).unwrap();
    child.signal(Signal::STOP).unwrap();
    assert!(!wait_for_ok(address, "/record", Duration::from_millis(50)));
    child.signal(Signal::CONT).unwrap();
    assert!(wait_for_ok(address, "/record", TIMEOUT));
    child.signal(Signal::KILL).unwrap();
    assert_eq!(
        child.wait_for_exit(TIMEOUT).unwrap().unwrap().signal(),
        Some(9)
    );
}

#[test]
fn help_exits_with_0_and_an_unknown_flag_with_2() {
    let mut child = start(&["object-api", "--help"]);
    assert!(
        child
            .wait_for_line("--writes-per-second N", TIMEOUT)
            .is_some()
    );
    assert_eq!(
        child.wait_for_exit(TIMEOUT).unwrap().unwrap().code(),
        Some(0)
    );
    let mut child = start(&["service", "--lag-ms", "1"]);
    assert!(
        child
            .wait_for_line("invalid option '--lag-ms'", TIMEOUT)
            .is_some()
    );
    assert_eq!(
        child.wait_for_exit(TIMEOUT).unwrap().unwrap().code(),
        Some(2)
    );
    assert_eq!(child.wait_for_line("never printed", TIMEOUT), None);
}

/// Ids of the running processes whose parent is `parent`.
fn children_of(parent: u32) -> Vec<u32> {
    let processes = fs::read_dir("/proc").expect("/proc is mounted");
    let ids = processes.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    ids.filter(|id| parent_of(*id) == Some(parent)).collect()
}

/// Id of the parent of a running process; `None` if the process has ended.
fn parent_of(id: u32) -> Option<u32> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name of the program, in parentheses, may itself contain spaces and parentheses.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split(' ');
    let state = fields.next()?;
    (state != "Z").then(|| fields.next()?.parse().ok())?
}

/// Instances that outlived their killed test kept calling the port of its store, which the system had
/// since assigned to an engine of another test.
#[test]
fn the_instances_of_a_killed_program_end_with_it() {
    const INSTANCE_COUNT: usize = 3;
    let mut soak = start(&["soak", "--instances", &INSTANCE_COUNT.to_string()]);
    let deadline = Instant::now() + TIMEOUT;
    while children_of(soak.id()).len() < INSTANCE_COUNT {
        assert!(Instant::now() < deadline, "{:?}", soak.lines());
        thread::sleep(Duration::from_millis(20));
    }
    let instances = children_of(soak.id());
    soak.signal(Signal::KILL).unwrap();
    let are_running = || instances.iter().any(|id| parent_of(*id).is_some());
    let deadline = Instant::now() + Duration::from_secs(5);
    while are_running() {
        assert!(Instant::now() < deadline, "{instances:?}");
        thread::sleep(Duration::from_millis(20));
    }
}
