//! Format of log lines, and that a blocked sink never blocks the threads that log.

use log::Log;
use pinereel::{
    logging::{self, Decision, DecisionKind, Queue, RunnerUp},
    settings,
};
use serde_json::Value;
use std::{
    collections::BTreeMap,
    io::{self, Read as _, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, UNIX_EPOCH},
};

const FLUSH_TIMEOUT: Duration = Duration::from_secs(30);

fn settings(level: log::LevelFilter, decisions: bool) -> settings::Log {
    settings::Log {
        level,
        file: None,
        stdout: false,
        queue: 16,
        decisions,
    }
}

/// Sink that stores what is written.
#[derive(Clone, Default)]
struct MemorySink(Arc<Mutex<Vec<u8>>>);

impl Write for MemorySink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MemorySink {
    /// The lines, each parsed and without its timestamp.
    fn lines(&self) -> Vec<Value> {
        lines(&String::from_utf8_lossy(&self.0.lock().expect("no panic")))
    }
}

fn lines(text: &str) -> Vec<Value> {
    let parse = |line: &str| {
        let mut line: Value = serde_json::from_str(line).expect("a JSON line");
        let ts = line.as_object_mut().expect("an object").remove("ts");
        assert_eq!(ts.expect("a time").as_str().map(str::len), Some(24));
        line
    };
    text.lines().map(parse).collect()
}

/// Sink that signals each write and then blocks until `unblocked` receives or is closed.
struct BlockingSink {
    write_started: Sender<()>,
    unblocked: Receiver<()>,
    kept: MemorySink,
}

impl Write for BlockingSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.write_started.send(());
        let _ = self.unblocked.recv();
        self.kept.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Sink whose writes always fail.
struct FailingSink;

impl Write for FailingSink {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// What `write` logs with `settings`, one JSON object per line.
fn logged(settings: &settings::Log, write: impl FnOnce(&dyn Log)) -> String {
    let kept = MemorySink::default();
    let queue = Queue::start(16, kept.clone()).expect("a thread");
    // The macros check the process-wide level first, which is off until a logger is installed.
    log::set_max_level(log::LevelFilter::Trace);
    let (_, logger) = logging::dispatch(settings, queue.clone()).into_log();
    write(&*logger);
    assert!(queue.flush(FLUSH_TIMEOUT));
    let lines: Vec<_> = kept.lines().iter().map(Value::to_string).collect();
    lines.join("\n")
}

#[test]
fn log_lines_carry_their_fields() {
    let settings = settings(log::LevelFilter::Info, true);
    let text = logged(&settings, |logger| {
        log::info!(logger: logger, target: "entry", entry = "entry-1", links = 3, ok = true, msg = "mine"; "line \"one\"\nand two");
        log::warn!(logger: logger, target: "entry", nested:serde = [1, 2], share = 0.5; "plain");
        log::debug!(logger: logger, target: "entry", entry = "entry-1"; "below the level");
    });
    insta::assert_snapshot!(text, @r#"
    {"entry":"entry-1","field_msg":"mine","level":"info","links":3,"msg":"line \"one\"\nand two","ok":true,"target":"entry"}
    {"level":"warn","msg":"plain","nested":[1,2],"share":0.5,"target":"entry"}
    "#);
}

/// Failure: a name of a megabyte, which another writer gave to an object, makes lines of that length.
#[test]
fn long_strings_are_truncated_between_characters() {
    const MAX_STRING_BYTES: usize = 4 << 10;
    let settings = settings(log::LevelFilter::Info, true);
    // The bound is inside a character.
    let long = format!("a{}", "\u{8a9e}".repeat(400_000));
    let whole = "\u{8a9e}".repeat(1_000);
    let name = long.as_str();
    let text = logged(&settings, |logger| {
        log::info!(logger: logger, target: "entry", name, whole = whole.as_str(), nested:serde = [name], error:% = name; "plain");
        log::info!(logger: logger, target: "entry", "error: {name}");
    });
    let lines: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("a JSON line"))
        .collect();
    let cut = |text: &Value, start: &str| {
        let text = text.as_str().expect("a text");
        let kept = text.strip_prefix(start).expect("the start is kept");
        assert!(kept.starts_with("a\u{8a9e}"), "{text}");
        assert!(!text.contains('\u{fffd}'), "{text}");
        assert!(text.len() <= MAX_STRING_BYTES, "{} bytes", text.len());
        assert!(text.len() > MAX_STRING_BYTES - 10, "{} bytes", text.len());
    };
    for text in [
        &lines[0]["name"],
        &lines[0]["nested"][0],
        &lines[0]["error"],
    ] {
        cut(text, "");
    }
    cut(&lines[1]["msg"], "error: ");
    assert_eq!(lines[0]["whole"], whole);
}

/// Failure: a map of another writer with long keys or many elements makes a line of that length.
#[test]
fn a_field_with_long_keys_or_many_elements_is_truncated() {
    const MAX_LINE_BYTES: usize = 64 << 10;
    let settings = settings(log::LevelFilter::Info, true);
    let long_keys: BTreeMap<String, u64> = (0..50)
        .map(|n| (format!("{n}-{}", "k".repeat(100_000)), n))
        .collect();
    let many: BTreeMap<String, u64> = (0..50_000).map(|n| (n.to_string(), n)).collect();
    let numbers: Vec<u64> = (0..50_000).collect();
    let text = logged(&settings, |logger| {
        log::info!(logger: logger, target: "entry", long_keys:serde = long_keys; "plain");
        log::info!(logger: logger, target: "entry", many:serde = many; "plain");
        log::info!(logger: logger, target: "entry", numbers:serde = numbers; "plain");
    });
    assert_eq!(text.lines().count(), 3);
    for line in text.lines() {
        let _: Value = serde_json::from_str(line).expect("a JSON line");
        assert!(line.len() < MAX_LINE_BYTES, "{} bytes", line.len());
    }
}

#[test]
fn decisions_are_logged_at_any_level_unless_disabled() {
    let decision = Decision {
        entry: "entry-1",
        request: "r-17",
        kind: DecisionKind::Route,
        chosen: Some("draft-llm-3"),
        cost: Some(1.5),
        reason: "least work",
        runners_up: &[RunnerUp {
            name: "draft-llm-1",
            cost: 4.0,
            reason: "busier",
        }],
        config: 7,
    };
    let none = Decision {
        chosen: None,
        cost: None,
        runners_up: &[],
        ..decision
    };
    let only_errors = settings(log::LevelFilter::Error, true);
    let text = logged(&only_errors, |logger| {
        decision.emit_to(logger);
        none.emit_to(logger);
    });
    insta::assert_snapshot!(text, @r#"
    {"chosen":"draft-llm-3","config":7,"cost":1.5,"entry":"entry-1","level":"info","msg":"route","reason":"least work","request":"r-17","runners_up":[{"cost":4.0,"name":"draft-llm-1","reason":"busier"}],"target":"decision"}
    {"chosen":null,"config":7,"cost":null,"entry":"entry-1","level":"info","msg":"route","reason":"least work","request":"r-17","runners_up":[],"target":"decision"}
    "#);
    let off = settings(log::LevelFilter::Trace, false);
    assert_eq!(logged(&off, |logger| decision.emit_to(logger)), "");
}

#[test]
fn dropped_lines_are_counted_and_reported() {
    let (write_started, on_write_started) = channel();
    let (unblock, unblocked) = channel();
    let kept = MemorySink::default();
    let sink = BlockingSink {
        write_started,
        unblocked,
        kept: kept.clone(),
    };
    let queue = Queue::start(4, sink).unwrap();
    queue.push(r#"{"ts":"123456789012345678901234","n":0}"#.into());
    on_write_started.recv().unwrap();
    for n in 1..=9 {
        queue.push(format!(r#"{{"ts":"123456789012345678901234","n":{n}}}"#));
    }
    assert_eq!(queue.dropped(), 5);
    assert!(!queue.flush(Duration::ZERO));
    drop(unblock);
    assert!(queue.flush(FLUSH_TIMEOUT));
    let lines: Vec<_> = kept.lines().iter().map(Value::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    {"n":0}
    {"dropped":5,"level":"warn","msg":"log lines dropped","target":"pinereel::logging::line"}
    {"n":1}
    {"n":2}
    {"n":3}
    {"n":4}
    "#);
}

#[test]
fn a_pipe_without_a_reader_does_not_block_logging() {
    const LINES: u64 = 2_000;
    let (mut reader, writer) = io::pipe().unwrap();
    let queue = Queue::start(100, writer).unwrap();
    let padding = "x".repeat(1_000);
    for n in 0..LINES {
        queue.push(format!(
            r#"{{"ts":"123456789012345678901234","n":{n},"x":"{padding}"}}"#
        ));
    }
    // 2 MB were logged; a pipe holds 64 KiB, the queue 100 lines and the writer's batch 64.
    let dropped = queue.dropped();
    assert!(dropped > LINES / 2, "{dropped}");
    let reading = thread::spawn(move || {
        let mut text = String::new();
        reader.read_to_string(&mut text).map(|_| text)
    });
    assert!(queue.flush(FLUSH_TIMEOUT));
    drop(queue);
    let lines = lines(&reading.join().unwrap().unwrap());
    let reported: u64 = lines.iter().filter_map(|l| l["dropped"].as_u64()).sum();
    let written = lines.iter().filter(|l| l["n"].is_u64()).count() as u64;
    assert_eq!((reported, written), (dropped, LINES - dropped));
}

#[test]
fn lines_of_a_failing_sink_count_as_dropped() {
    let queue = Queue::start(4, FailingSink).unwrap();
    queue.push("lost".into());
    assert!(queue.flush(FLUSH_TIMEOUT));
    assert_eq!(queue.dropped(), 1);
}

#[test]
fn init_is_idempotent() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("init.log");
    let _ = std::fs::remove_file(&path);
    let mut settings = settings(log::LevelFilter::Info, true);
    settings.file = Some(path.clone());
    let first = logging::init(&settings).unwrap();
    settings.file = Some("/nowhere/at/all".into());
    logging::init(&settings).unwrap();
    log::info!(target: "init_is_idempotent", entry = "entry-2"; "once");
    assert!(first.flush(FLUSH_TIMEOUT));
    let text = std::fs::read_to_string(path).unwrap();
    let own = |line: &&Value| line["target"] == "init_is_idempotent";
    assert_eq!(lines(&text).iter().filter(own).count(), 1);
}

#[test]
fn timestamps_are_utc_with_milliseconds() {
    let at = |millis| logging::timestamp(UNIX_EPOCH + Duration::from_millis(millis));
    assert_eq!(at(0), "1970-01-01T00:00:00.000Z");
    assert_eq!(at(951_782_399_999), "2000-02-28T23:59:59.999Z");
    assert_eq!(at(951_782_400_000), "2000-02-29T00:00:00.000Z");
    assert_eq!(at(1_709_251_200_001), "2024-03-01T00:00:00.001Z");
    assert_eq!(at(4_107_542_399_000), "2100-02-28T23:59:59.000Z");
    assert_eq!(at(4_107_542_400_000), "2100-03-01T00:00:00.000Z");
}
