//! Starts of an instance as a real process: signals, settings and ports that are not as usual yet.

mod start_support;

use pinereel::settings::Hosted;
use pinereel_fakes::{
    child_process::{Child, Signal, binary_path},
    hosting::template::render,
};
use proptest::{
    prelude::{Strategy as _, any, prop, proptest},
    test_runner::{Config, RngSeed},
};
use serde_json::{Value, json};
use start_support::{Start, TEMPLATE, TIMEOUT, fields};
use std::{
    io::{Read as _, Write as _},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    process::Command,
    thread,
    time::{Duration, Instant},
};

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

/// The log line of a settings file that cannot be used yet.
const UNUSABLE_SETTINGS: &str = "cannot use the settings file, retrying";

/// An instance whose settings file was absent, empty or half written at its start exited.
#[test]
fn a_settings_file_that_is_completed_later_is_used() {
    let whole = Start::new("settings-whole").settings();
    let torn_inside_a_line = whole.find("killed_after").expect("a key") + 16;
    let torn_after_a_line = whole.find("[orders]").expect("a section");
    for (index, length) in [
        None,
        Some(0),
        Some(torn_inside_a_line),
        Some(torn_after_a_line),
    ]
    .into_iter()
    .enumerate()
    {
        let start = Start::new(&format!("settings-{index}"));
        if let Some(length) = length {
            start.write(&start.settings()[..length]);
        }
        let mut child = start.spawn();
        let line = child.wait_for_line(UNUSABLE_SETTINGS, TIMEOUT);
        assert!(line.is_some(), "{length:?}: {:?}", child.lines());
        // Several attempts fail in the same way, which is logged once.
        thread::sleep(Duration::from_millis(700));
        let lines = child.lines();
        let count = lines
            .iter()
            .filter(|l| l.contains(UNUSABLE_SETTINGS))
            .count();
        assert_eq!(count, 1, "{lines:?}");
        start.write(&start.settings());
        let line = child.wait_for_line("\"started\"", TIMEOUT);
        assert!(line.is_some(), "{length:?}: {:?}", child.lines());
        child.signal(Signal::TERM).expect("the process runs");
        assert_eq!(exit_code(&mut child), Some(0), "{:?}", child.lines());
    }
}

/// A process that waits for valid settings can be stopped, and tells an operator what is wrong on both streams.
#[test]
fn a_process_without_valid_settings_reports_them_and_stops_at_once() {
    let start = Start::new("settings-typing-error");
    start.write(&start.settings().replace("[stop]", "[stopp]"));
    let mut child = start.spawn();
    let line = child.wait_for_line("pinereel: ", TIMEOUT);
    assert!(
        line.is_some_and(|l| l.contains("[stopp]")),
        "{:?}",
        child.lines()
    );
    let line = child.wait_for_line(UNUSABLE_SETTINGS, TIMEOUT);
    assert!(
        line.is_some_and(|l| l.contains("[stopp]")),
        "{:?}",
        child.lines()
    );
    child.signal(Signal::TERM).expect("the process runs");
    let status = child
        .wait_for_exit(Duration::from_secs(1))
        .expect("a status");
    assert_eq!(
        status.and_then(|s| s.code()),
        Some(0),
        "{:?}",
        child.lines()
    );
}

/// `--check` is how an operator tests a file: it does not wait.
#[test]
fn a_check_of_an_invalid_file_fails_at_once() {
    let start = Start::new("settings-check");
    let check = |text: &str| {
        start.write(text);
        let mut command = Command::new(binary_path("pinereel").expect("a binary"));
        command
            .args(["hosted", "--check", "--config"])
            .arg(&start.path);
        command.output().expect("an exit").status.code()
    };
    assert_eq!(check(&start.settings()), Some(0));
    assert_eq!(
        check(&start.settings().replace("[stop]", "[stopp]")),
        Some(2)
    );
    assert_eq!(check(""), Some(2));
}

/// A file cut after a whole line, or inside a number, was used as if it were complete, with defaults in place of
/// the lines that were missing.
#[test]
fn a_cut_file_is_never_valid() {
    let start = Start::new("settings-cut");
    let whole = start.settings();
    assert_eq!(Hosted::parse(&start.path, &whole).err(), None);
    for length in 0..whole.trim_end().len() {
        let cut = &whole[..length];
        assert!(Hosted::parse(&start.path, cut).is_err(), "valid: {cut}");
    }
}

/// Ports of the callers, the readiness probe, the metrics and other instances in the rendered template.
const PORTS: [u16; 4] = [9_465, 9_466, 9_464, 9_470];
/// The log line of a port in use.
const PORT_IN_USE: &str = "cannot listen, retrying";

/// The start of the answer to a GET; `None` without one.
fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: here\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    (!answer.is_empty()).then_some(answer)
}

/// Waits until a GET is answered.
fn wait_for_answer(address: SocketAddr, path: &str) -> Option<String> {
    let end = Instant::now() + TIMEOUT;
    while Instant::now() < end {
        if let Some(answer) = get(address, path) {
            return Some(answer);
        }
        thread::sleep(Duration::from_millis(20));
    }
    None
}

/// An instance exited at its start if one of its ports was in use, such as by its predecessor, which was still
/// answering its last requests.
#[test]
fn a_port_in_use_is_bound_once_it_is_free() {
    for port in PORTS {
        let start = Start::new(&format!("port-{port}"));
        start.write(&start.settings());
        let holder = TcpListener::bind(start.address(port)).expect("a free port");
        let mut child = start.spawn();
        let line = child.wait_for_line(PORT_IN_USE, TIMEOUT);
        assert!(line.is_some(), "{port}: {:?}", child.lines());
        if port != PORTS[1] {
            let answer = wait_for_answer(start.address(PORTS[1]), "/v1/readiness");
            let is_unready = answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 503"));
            assert!(is_unready, "{port}: {:?}", child.lines());
        }
        thread::sleep(Duration::from_millis(300));
        drop(holder);
        let line = child.wait_for_line("listening after failed attempts", TIMEOUT);
        assert!(line.is_some(), "{port}: {:?}", child.lines());
        for port in [PORTS[0], PORTS[1], PORTS[2]] {
            assert!(
                wait_for_answer(start.address(port), "/").is_some(),
                "{port}"
            );
        }
        let lines = child.lines();
        let count = lines.iter().filter(|l| l.contains(PORT_IN_USE)).count();
        assert_eq!(count, 1, "{lines:?}");
        child.signal(Signal::TERM).expect("the process runs");
        assert_eq!(exit_code(&mut child), Some(0), "{:?}", child.lines());
    }
}

/// Another program at the ports of the metrics and of the readiness probe does not keep callers from being answered.
#[test]
fn callers_are_served_while_auxiliary_ports_are_in_use() {
    let start = Start::new("port-auxiliary");
    start.write(&start.settings());
    let _readiness = TcpListener::bind(start.address(PORTS[1])).expect("a free port");
    let _metrics = TcpListener::bind(start.address(PORTS[2])).expect("a free port");
    let child = start.spawn();
    let answer = wait_for_answer(start.address(PORTS[0]), "/");
    assert!(answer.is_some(), "{:?}", child.lines());
}

/// A process that waits for a port can be stopped.
#[test]
fn a_process_that_waits_for_a_port_stops_at_once() {
    let start = Start::new("port-stop");
    start.write(&start.settings());
    let _callers = TcpListener::bind(start.address(PORTS[0])).expect("a free port");
    let mut child = start.spawn();
    let line = child.wait_for_line(PORT_IN_USE, TIMEOUT);
    assert!(line.is_some(), "{:?}", child.lines());
    child.signal(Signal::TERM).expect("the process runs");
    let status = child
        .wait_for_exit(Duration::from_secs(1))
        .expect("a status");
    assert_eq!(
        status.and_then(|s| s.code()),
        Some(0),
        "{:?}",
        child.lines()
    );
}

/// Renders the template with `value` in place of the field, or without the field for null, and parses the result.
fn parse_with(pointer: &str, value: impl Into<Value>) -> Hosted {
    let mut fields = fields([127, 0, 0, 1].into());
    fields["cloud"] = json!({"addr": "127.0.0.1:9", "duties": ["usage"]});
    fields["bounds"]["usageWindowS"] = json!(5);
    fields["bounds"]["usageLateS"] = json!(10);
    let (table, key) = pointer.rsplit_once('/').expect("a pointer");
    let table = fields.pointer_mut(table).and_then(Value::as_object_mut);
    let table = table.expect("a table");
    match value.into() {
        Value::Null => table.remove(key),
        value => table.insert(key.into(), value),
    };
    let text = render(TEMPLATE, &fields);
    Hosted::parse("instance.ini", &text).unwrap_or_else(|errors| panic!("{errors}\n{text}"))
}

/// Numbers that the platform may give in the settings.
const NUMBERS: [&str; 9] = [
    "/bounds/graceS",
    "/bounds/drainMs",
    "/bounds/leaseMs",
    "/bounds/statusS",
    "/bounds/usageWindowS",
    "/bounds/usageLateS",
    "/limits/maxFds",
    "/limits/memoryMb",
    "/limits/cpuShare",
];

/// The metrics port is not the platform's, which may choose the same one for another listener: the instance refused
/// its settings.
#[test]
fn a_port_that_is_also_that_of_the_metrics_only_costs_the_metrics() {
    let ip: IpAddr = [127, 0, 0, 1].into();
    for listener in ["front", "ready"] {
        let mut fields = fields(ip);
        fields["listen"][listener] = json!(format!("{ip}:9464"));
        let settings = Hosted::parse("instance.ini", &render(TEMPLATE, &fields));
        let settings = settings.expect("valid settings");
        assert_eq!(settings.instance.metrics, None);
        assert_eq!(settings.warnings.0.len(), 1, "{}", settings.warnings);
    }
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]
    /// A whole or fractional number that the instance did not expect kept it from starting.
    #[test]
    fn every_number_of_the_platform_is_accepted(
        field in prop::sample::select(&NUMBERS[..]),
        whole in any::<i64>(),
        fraction in any::<f64>().prop_filter("JSON has none", |n| n.is_finite()),
        usual in 0.0..10_000.0,
    ) {
        parse_with(field, whole);
        parse_with(field, fraction);
        parse_with(field, usual);
        parse_with(field, usual as u64);
        parse_with(field, Value::Null);
    }
}

/// The values of the settings are those that the platform gives, as far as the instance can use them.
#[test]
fn numbers_of_the_platform_keep_their_value() {
    let stop = parse_with("/bounds/graceS", 8.5).stop;
    assert_eq!(stop.killed_after, Duration::from_millis(8_500));
    let stop = parse_with("/bounds/graceS", 2).stop;
    assert_eq!(stop.killed_after, Duration::from_secs(2));
    assert!(stop.balancer_lag < stop.killed_after, "{stop:?}");
    let store = parse_with("/bounds/drainMs", 2_000.0).store;
    assert_eq!(store.leave_after, Duration::from_secs(2));
    let lots = parse_with("/bounds/statusS", 7_200).lots;
    assert_eq!(lots.kept, Duration::from_secs(7_200));
    assert_eq!(
        parse_with("/limits/memoryMb", 260.0).instance.memory,
        260_000_000
    );
    assert_eq!(
        parse_with("/limits/memoryMb", 260).instance.memory,
        260_000_000
    );
    assert_eq!(
        parse_with("/limits/maxFds", 4_100.0).instance.connections,
        2_050
    );
    assert_eq!(
        parse_with("/limits/maxFds", 2_000_000).instance.connections,
        500_000
    );
    assert_eq!(
        parse_with("/limits/maxFds", 4_100.0).warnings,
        Default::default()
    );
    assert_eq!(parse_with("/limits/maxFds", 2_000_000).warnings.0.len(), 1);
}

/// A name of a machine that is not in lower case or long, or a seed that is no address, kept the instance from
/// starting.
#[test]
fn names_and_seeds_of_the_platform_are_accepted() {
    let name = "Front-Toledo.Hall-1".repeat(4);
    assert_eq!(parse_with("/node", name.as_str()).instance.name, name);
    let settings = parse_with("/seeds", json!(["front-1.example:8166", "127.0.0.2:8166"]));
    assert_eq!(settings.peers.seeds, [IpAddr::from([127, 0, 0, 2])]);
    assert_eq!(settings.warnings.0.len(), 1);
}
