//! Formats log records as JSON lines.

use compact_str::{CompactString, format_compact};
use log::{
    Level, Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde::{Serialize, Serializer, ser::SerializeMap as _};
use std::{
    collections::BTreeMap,
    fmt, mem,
    time::{SystemTime, UNIX_EPOCH},
};

/// Keys that every line has; a record's field of the same name gets [`RESERVED_KEY_PREFIX`].
const RESERVED_KEYS: [&str; 4] = ["ts", "level", "target", "msg"];
/// Prefix for a field whose key is one of [`RESERVED_KEYS`].
const RESERVED_KEY_PREFIX: &str = "field_";

/// Maximum length of the message and of each string in a field, in bytes. Names and errors may contain text of other
/// writers, of any length.
const MAX_STRING_BYTES: usize = 4 << 10;
/// Maximum size of a field, in bytes of its strings and keys and [`ELEMENT_BYTES`] for each element.
const MAX_FIELD_BYTES: usize = 16 << 10;
/// Bytes of an element in a line beyond those of its string.
const ELEMENT_BYTES: usize = 8;

const MILLIS_PER_DAY: u128 = 86_400_000;

/// Formats `record` as a line without a line break.
pub(super) fn format_record(now: SystemTime, record: &Record<'_>) -> String {
    let mut fields = Fields::default();
    // Collecting into a map cannot fail.
    let _ = record.key_values().visit(&mut fields);
    let line = Line {
        now,
        level: record.level(),
        target: record.target(),
        message: *record.args(),
        fields: fields.0,
    };
    line.to_json()
}

/// Formats the line that reports `count` lines dropped by the queue.
pub(super) fn format_dropped(now: SystemTime, count: u64) -> String {
    let line = Line {
        now,
        level: Level::Warn,
        target: module_path!(),
        message: format_args!("log lines dropped"),
        fields: BTreeMap::from([("dropped".into(), count.into())]),
    };
    line.to_json()
}

/// Formats the line that reports `count` lines with the message `kind` that the rate limiter has
/// suppressed.
pub(super) fn format_suppressed(now: SystemTime, kind: &str, count: u64) -> String {
    let line = Line {
        now,
        level: Level::Warn,
        target: module_path!(),
        message: format_args!("log lines left out"),
        fields: BTreeMap::from([
            ("kind".into(), kind.into()),
            ("left_out".into(), count.into()),
        ]),
    };
    line.to_json()
}

/// Formats `time` in UTC as RFC 3339 with milliseconds, such as `1970-01-01T00:00:00.000Z`.
pub fn timestamp(time: SystemTime) -> CompactString {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = elapsed.as_millis();
    let (year, month, day) = civil_date(millis / MILLIS_PER_DAY);
    let day_millis = millis % MILLIS_PER_DAY;
    let (hour, minute) = (day_millis / 3_600_000, day_millis / 60_000 % 60);
    let (second, milli) = (day_millis / 1_000 % 60, day_millis % 1_000);
    format_compact!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
}

/// Year, month and day in the Gregorian calendar, `days` after 1970-01-01.
fn civil_date(days: u128) -> (u128, u128, u128) {
    // Counts from 0000-03-01, so that a leap day is the last day of its year. The calendar
    // repeats every 400 years, which is 146,097 days.
    let days = days + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let (month, year_offset) = if month < 10 {
        (month + 3, 0)
    } else {
        (month - 9, 1)
    };
    (era * 400 + year + year_offset, month, day)
}

struct Line<'a> {
    now: SystemTime,
    level: Level,
    target: &'a str,
    message: fmt::Arguments<'a>,
    fields: BTreeMap<CompactString, serde_json::Value>,
}

impl Line<'_> {
    fn to_json(&self) -> String {
        serde_json::to_string(self).expect("text keys and JSON values always serialise")
    }
}

impl Serialize for Line<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry("ts", &timestamp(self.now))?;
        map.serialize_entry("level", &self.level.as_str().to_ascii_lowercase())?;
        map.serialize_entry("target", self.target)?;
        let mut message = self.message.to_string();
        truncate(&mut message, MAX_STRING_BYTES);
        map.serialize_entry("msg", &message)?;
        for (key, value) in &self.fields {
            map.serialize_entry(key, value)?;
        }
        map.end()
    }
}

/// Key-value fields of a record; if a key occurs twice, the last value is kept.
#[derive(Default)]
struct Fields(BTreeMap<CompactString, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let key = key.as_str();
        let key = if RESERVED_KEYS.contains(&key) {
            format_compact!("{RESERVED_KEY_PREFIX}{key}")
        } else {
            key.into()
        };
        let mut value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        let mut remain = MAX_FIELD_BYTES;
        truncate_value(&mut value, &mut remain);
        self.0.insert(key, value);
        Ok(())
    }
}

/// Truncates `text` to at most `max_bytes`, between two characters.
fn truncate(text: &mut String, max_bytes: usize) {
    text.truncate(text.floor_char_boundary(max_bytes));
}

/// Truncates the strings and keys in `value`, and drops the elements for which no bytes `remain`.
fn truncate_value(value: &mut serde_json::Value, remain: &mut usize) {
    *remain = remain.saturating_sub(ELEMENT_BYTES);
    match value {
        serde_json::Value::String(text) => truncate_string(text, remain),
        serde_json::Value::Array(values) => values.retain_mut(|value| {
            let is_kept = *remain > 0;
            if is_kept {
                truncate_value(value, remain);
            }
            is_kept
        }),
        serde_json::Value::Object(fields) => {
            for (mut key, mut value) in mem::take(fields) {
                if *remain == 0 {
                    break;
                }
                truncate_string(&mut key, remain);
                truncate_value(&mut value, remain);
                fields.insert(key, value);
            }
        }
        _ => {}
    }
}

fn truncate_string(text: &mut String, remain: &mut usize) {
    truncate(text, MAX_STRING_BYTES.min(*remain));
    *remain -= text.len();
}
