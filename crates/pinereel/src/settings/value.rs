//! Parsers for setting values such as names, addresses, durations and sizes.
//!
//! Each parser returns `None` for invalid text. The `EXPECTED_*` constants describe valid values in
//! validation errors.

use super::Routing;
use compact_str::{CompactString, format_compact};
use log::LevelFilter;
use std::net::{IpAddr, SocketAddr};

pub(super) const EXPECTED_NAME: &str =
    "1 to 63 of a-z, 0-9, `-`, `.` and `_`, starting with a-z or 0-9";
pub(super) const EXPECTED_HOST_NAME: &str = "1 to 253 of a-z, A-Z, 0-9, `-`, `.` and `_`";
pub(super) const EXPECTED_ADDRESS: &str = "IP:PORT";
pub(super) const EXPECTED_HOSTS: &str = "a list of IP or IP:PORT, joined by commas";
pub(super) const EXPECTED_URL: &str = "http://IP:PORT";
pub(super) const EXPECTED_LEVEL: &str = "off, error, warn, info, debug or trace";
pub(super) const EXPECTED_ROUTING: &str = "full or baseline";
pub(super) const EXPECTED_CORES: &str = "a number of cores above 0, such as 0.25";
pub(super) const EXPECTED_DUTIES: &str = "a list of usage and autoscale, joined by commas";
pub(super) const EXPECTED_BOOLEAN: &str = "true or false";

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;
/// Maximum length of a name that the platform gives, in bytes; that of a host name.
const MAX_HOST_NAME_BYTES: usize = 253;
/// Units of durations, in milliseconds.
const DURATION_UNITS: [(&str, f64); 4] = [("ms", 1.0), ("s", 1e3), ("m", 6e4), ("h", 3.6e6)];
/// Units of sizes, in bytes.
const SIZE_UNITS: [(&str, f64); 5] = [
    ("KiB", 1_024.0),
    ("MiB", 1_048_576.0),
    ("GiB", 1_073_741_824.0),
    ("MB", 1e6),
    ("B", 1.0),
];

pub(super) fn name(text: &str) -> Option<CompactString> {
    let is_alphanumeric = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    let first = text.chars().next()?;
    let valid = is_alphanumeric(first)
        && text.len() <= MAX_NAME_BYTES
        && text
            .chars()
            .all(|c| is_alphanumeric(c) || "-._".contains(c));
    valid.then(|| text.into())
}

/// Parses a name that the platform gives, which may be a host name.
pub(super) fn host_name(text: &str) -> Option<CompactString> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-._".contains(c);
    let valid = (1..=MAX_HOST_NAME_BYTES).contains(&text.len()) && text.chars().all(allowed);
    valid.then(|| text.into())
}

pub(super) fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Parses a comma-separated list of IP addresses, which may be empty. Their ports are ignored. Returns the
/// valid ones, and whether all are valid.
pub(super) fn hosts(text: &str) -> (Vec<IpAddr>, bool) {
    let host = |entry: &str| entry.parse().ok().or_else(|| Some(address(entry)?.ip()));
    let entries = text.split(',').map(str::trim);
    let entries: Vec<_> = entries.filter(|entry| !entry.is_empty()).collect();
    let hosts: Vec<_> = entries.iter().filter_map(|entry| host(entry)).collect();
    let all_valid = hosts.len() == entries.len();
    (hosts, all_valid)
}

pub(super) fn url(text: &str) -> Option<CompactString> {
    let rest = text.strip_prefix("http://")?;
    let address = address(rest.strip_suffix('/').unwrap_or(rest))?;
    (address.port() != 0).then(|| format_compact!("http://{address}"))
}

pub(super) fn level(text: &str) -> Option<LevelFilter> {
    text.parse().ok()
}

pub(super) fn routing(text: &str) -> Option<Routing> {
    match text {
        "full" => Some(Routing::Full),
        "baseline" => Some(Routing::Baseline),
        _ => None,
    }
}

/// Calls to the platform that this deployment is responsible for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Duties {
    pub(super) usage: bool,
    pub(super) autoscale: bool,
}

/// Parses a comma-separated list of duties. Unknown names are ignored: other programs handle
/// them.
pub(super) fn duties(text: &str) -> Option<Duties> {
    let names: Vec<_> = text.split(',').map(str::trim).collect();
    Some(Duties {
        usage: names.contains(&"usage"),
        autoscale: names.contains(&"autoscale"),
    })
}

pub(super) fn boolean(text: &str) -> Option<bool> {
    text.parse().ok()
}

/// Parses a decimal number, such as `8`, `8.5` or `1e3`.
pub(super) fn decimal(text: &str) -> Option<f64> {
    let digits = text.strip_prefix('-').unwrap_or(text);
    let begins_with_digit = digits.starts_with(|c: char| c.is_ascii_digit());
    begins_with_digit.then(|| text.parse().ok()).flatten()
}

/// Parses a number followed by `ms`, `s`, `m` or `h`, into milliseconds.
pub(super) fn millis(text: &str) -> Option<f64> {
    with_unit(text, &DURATION_UNITS)
}

/// Parses a number followed by `B`, `MB`, `KiB`, `MiB` or `GiB`, into bytes.
pub(super) fn bytes(text: &str) -> Option<f64> {
    with_unit(text, &SIZE_UNITS)
}

/// Whether `text` is a unit, or nothing, in place of a number: the template has no value for the field.
pub(super) fn lacks_number(text: &str) -> bool {
    let units = DURATION_UNITS.iter().chain(&SIZE_UNITS);
    text.is_empty() || units.into_iter().any(|(unit, _)| *unit == text)
}

/// Formats a number of bytes in the largest unit that gives a whole number.
pub(super) fn format_size(bytes: u64) -> CompactString {
    let units = [(30, "GiB"), (20, "MiB"), (10, "KiB")];
    let is_whole = |shift: u32| bytes > 0 && bytes.trailing_zeros() >= shift;
    match units.into_iter().find(|(shift, _)| is_whole(*shift)) {
        Some((shift, unit)) => format_compact!("{}{unit}", bytes >> shift),
        None => format_compact!("{bytes}B"),
    }
}

/// Parses a number followed by one of `units`, of which the longer ones come first.
fn with_unit(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let mut units = units.iter();
    let (number, factor) =
        units.find_map(|(unit, factor)| Some((text.strip_suffix(unit)?, factor)))?;
    Some(decimal(number)? * factor)
}
