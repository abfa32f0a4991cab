//! The operations page documents every log message of the hosted instance.

use std::{fs, path::Path};

/// The arguments of a call: the text up to the closing parenthesis that matches the one before
/// `text`.
fn call_arguments(text: &str) -> &str {
    let (mut depth, mut quoted) = (1, false);
    for (at, c) in text.char_indices() {
        match c {
            '"' => quoted = !quoted,
            '(' if !quoted => depth += 1,
            ')' if !quoted => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &text[..at];
        }
    }
    text
}

/// The format string of a log call: what follows the fields, or its first argument.
fn message(call: &str) -> Option<&str> {
    let text = call.rsplit_once(';').map_or(call, |(_, text)| text);
    let (_, text) = text.split_once('"')?;
    Some(text.split_once('"')?.0)
}

/// The messages of all log calls in `source`, without those that only print a value.
fn messages(source: &str) -> Vec<String> {
    let mut found = Vec::new();
    for level in ["info", "warn", "error"] {
        let begin = format!("log::{level}!(");
        for (at, _) in source.match_indices(&begin) {
            let text = message(call_arguments(&source[at + begin.len()..])).unwrap_or_default();
            // A message that starts with a format argument consists of another text, such as an
            // error.
            if !text.is_empty() && !text.starts_with('{') {
                found.push(text.to_owned());
            }
        }
    }
    found
}

fn read_sources(folder: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            read_sources(&path, found);
        } else {
            found.push(fs::read_to_string(path).expect("a source file"));
        }
    }
}

#[test]
fn every_log_message_is_on_the_operations_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("../../docs/OPERATIONS.md")).expect("the page");
    let mut all = Vec::new();
    read_sources(&root.join("src/hosted"), &mut all);
    for shared in ["src/logging/panics.rs", "src/restart.rs"] {
        all.push(fs::read_to_string(root.join(shared)).expect("a source file"));
    }
    let messages: Vec<_> = all.iter().flat_map(|source| messages(source)).collect();
    assert!(messages.len() > 40, "the search finds them");
    // A message with a format argument is searched for by the text before the argument.
    let start = |message: &str| {
        message
            .split('{')
            .next()
            .unwrap_or_default()
            .trim()
            .to_owned()
    };
    let missing: Vec<_> = messages
        .iter()
        .map(|message| start(message))
        .filter(|message| !page.contains(message.as_str()))
        .collect();
    assert_eq!(missing, Vec::<String>::new());
}
