//! Parsers for setting values such as names, addresses, durations and sizes.
//!
//! Each parser returns `None` for invalid text. The `EXPECTED_*` constants describe valid values in
//! validation errors.

use super::Routing;
use compact_str::{CompactString, format_compact};
use log::LevelFilter;
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

pub(super) const EXPECTED_NAME: &str =
    "1 to 63 of a-z, 0-9, `-`, `.` and `_`, starting with a-z or 0-9";
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

pub(super) fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Parses a comma-separated list of IP addresses, which may be empty. Their ports are ignored.
pub(super) fn hosts(text: &str) -> Option<Vec<IpAddr>> {
    let host = |entry: &str| entry.parse().ok().or_else(|| Some(address(entry)?.ip()));
    let entries = text.split(',').map(str::trim);
    entries
        .filter(|entry| !entry.is_empty())
        .map(host)
        .collect()
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

pub(super) fn cores(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|cores: &f64| cores.is_finite() && *cores > 0.0)
}

pub(super) fn number(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}

/// Parses a whole number followed by `ms`, `s`, `m` or `h`.
pub(super) fn duration(text: &str) -> Option<Duration> {
    let (count, unit) = split_unit(text)?;
    let millis = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    count.checked_mul(millis).map(Duration::from_millis)
}

/// Parses a whole number followed by `B`, `KiB`, `MiB` or `GiB`, into bytes.
pub(super) fn size(text: &str) -> Option<u64> {
    let (count, unit) = split_unit(text)?;
    let bytes = match unit {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1 << 30,
        _ => return None,
    };
    count.checked_mul(bytes)
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

fn split_unit(text: &str) -> Option<(u64, &str)> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (count, unit) = text.split_at(end);
    Some((number(count)?, unit))
}
