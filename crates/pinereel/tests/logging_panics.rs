//! What a panic leaves in the log of the process.

use log::LevelFilter;
use pinereel::{logging, settings};
use serde_json::Value;
use std::{
    env, fs,
    panic::{AssertUnwindSafe, catch_unwind},
    process,
    time::Duration,
};

const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);
const KEY: &str = "key-of-a-caller";

fn parse(text: &str) -> Result<u8, String> {
    text.parse().map_err(|_| format!("not a number: {text}"))
}

/// A panic went to standard error as text with all its values, and the lines before it were lost if it ended
/// the process.
#[test]
fn a_panic_is_the_last_line_and_names_its_place_but_no_value() {
    let path = env::temp_dir().join(format!("pinereel-panics-{}.log", process::id()));
    let settings = settings::Log {
        level: LevelFilter::Info,
        file: Some(path.clone()),
        stdout: false,
        queue: 64,
        decisions: false,
    };
    logging::init(&settings).expect("a logger");
    logging::log_panics();
    let ended = catch_unwind(AssertUnwindSafe(|| {
        let _flush = logging::flush_on_drop(FLUSH_TIMEOUT);
        log::info!("before the panic");
        parse(KEY).expect("a number");
    }));
    assert!(ended.is_err());
    let text = fs::read_to_string(&path).expect("the log");
    fs::remove_file(&path).expect("the log exists");
    assert!(!text.contains(KEY), "{text}");
    let lines: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("a JSON line"))
        .collect();
    assert_eq!(lines.len(), 2, "{text}");
    let last = &lines[1];
    assert_eq!(last["msg"], "panic");
    assert_eq!(last["level"], "error");
    assert_eq!(last["why"], "a number");
    let place = last["place"].as_str().expect("a place");
    assert!(place.contains("logging_panics.rs:"), "{place}");
}
