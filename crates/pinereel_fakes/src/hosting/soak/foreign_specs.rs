//! Names and specs of objects of another writer. None of them names an endpoint or a version to use.

use rand::{Rng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use serde_json::{Map, Value, json};

/// Parts of names that have a meaning in a URI or cannot stand in one.
const MARKS: [&str; 18] = [
    " ", "&", "+", "#", "%", "%41", "%zz", "\"", "ä", "ü", "語", "/", "?", "=", ";", "<", "&more=",
    "..",
];
/// First parts of names, so that entries are listed before, between and after the objects of the system.
const HEADS: [&str; 7] = ["", "-", "a", "front-", "s", "t", "~"];
/// Fields of the objects that instances read.
const FIELDS: [&str; 16] = [
    "service",
    "addr",
    "zone",
    "version",
    "slots",
    "state",
    "seq",
    "model",
    "durationS",
    "holder",
    "fence",
    "reports",
    "route",
    "items",
    "until",
    "name",
];
/// Largest size of a spec, in bytes.
const MAX_SPEC_BYTES: usize = 300_000;

/// Returns a name with a mark at its start, in the middle or at its end, or a plain one. Names of different numbers
/// differ.
pub(super) fn draw_name(number: usize, rng: &mut ChaCha8Rng) -> String {
    let mark = *MARKS.choose(rng).expect("the list is not empty");
    let head = *HEADS.choose(rng).expect("the list is not empty");
    match rng.random_range(0..5) {
        0 => format!("{mark}{head}{number}"),
        1 => format!("{head}{mark}{number}"),
        2 => format!("{head}{number}{mark}x"),
        3 => format!("{head}{number}{mark}"),
        _ => format!("{head}{number}"),
    }
}

/// Returns a spec of a wrong type or with fields of wrong types.
pub(super) fn draw_spec(is_large: bool, rng: &mut ChaCha8Rng) -> Value {
    if is_large {
        let length = rng.random_range(MAX_SPEC_BYTES / 10..MAX_SPEC_BYTES - 100);
        let text = "x".repeat(length);
        return match rng.random_bool(0.5) {
            true => json!(text),
            false => json!({"service": "plain", "addr": text, "slots": null}),
        };
    }
    if rng.random_bool(0.4) {
        return draw_odd_value(rng);
    }
    let mut fields = Map::new();
    for field in FIELDS {
        if rng.random_bool(0.5) {
            fields.insert(field.to_owned(), draw_odd_value(rng));
        }
    }
    Value::Object(fields)
}

/// Returns a value that no field of the protocol has. A text could be a name or an address.
fn draw_odd_value(rng: &mut ChaCha8Rng) -> Value {
    let values = [
        json!(null),
        json!(true),
        json!(-1),
        json!(-0.5),
        json!(1e300),
        json!(""),
        json!("\u{0}\u{fffd}ü"),
        json!([]),
        json!([[[[]]]]),
        json!({}),
        json!({"x": {"x": null}}),
    ];
    values.choose(rng).expect("the list is not empty").clone()
}
