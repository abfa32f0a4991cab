//! Which entries may be given up for another, and in which order.

use super::{
    Class,
    ledger::{Entry, Key, Kind, Phase},
};
use crate::Time;
use slotmap::SlotMap;
use std::{cmp::Reverse, time::Duration};

/// Order in which entries are given up: the lower first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// Its sender has stalled: the longest first.
    Stalled(Time),
    /// A younger or larger request body: the youngest first.
    Younger(Reverse<u64>),
    /// Connections without a request: the longest first.
    Waiting(Phase, Time),
    /// A longer response body: the longest first.
    Longer(Reverse<usize>),
    /// Another small request body: the one that made progress longest ago first.
    Small(Time),
}

/// Entries that may be given up so that `key` can become `grown`, in their order.
pub(super) fn list(entries: &SlotMap<Key, Entry>, now: Time, key: Key, grown: &Entry) -> Vec<Key> {
    let others = entries.iter().filter(|(other, _)| *other != key);
    let mut ranked: Vec<_> = others
        .filter_map(|(other, entry)| Some((rank(now, entry, grown)?, other)))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, key)| key).collect()
}

fn rank(now: Time, entry: &Entry, grown: &Entry) -> Option<Rank> {
    if entry.bytes == 0 {
        return None;
    }
    let is_large_upload = matches!(grown.kind, Kind::Upload(_)) && grown.class() > Class::Small;
    match entry.kind {
        Kind::Upload(_) if entry.is_stalled(now) => Some(Rank::Stalled(entry.active_at)),
        Kind::Upload(_) if is_large_upload => (entry.number > grown.number
            && entry.class() >= grown.class())
        .then_some(Rank::Younger(Reverse(entry.number))),
        Kind::Upload(_) if entry.class() > Class::Small => {
            Some(Rank::Younger(Reverse(entry.number)))
        }
        Kind::Upload(_) => Some(Rank::Small(entry.active_at)),
        Kind::Connection(phase) if !is_large_upload && phase != Phase::Busy => {
            Some(Rank::Waiting(phase, entry.active_at))
        }
        Kind::Download if !is_large_upload && entry.bytes > grown.bytes => {
            Some(Rank::Longer(Reverse(entry.bytes)))
        }
        Kind::Control if grown.kind == Kind::Control && entry.bytes > grown.bytes => {
            Some(Rank::Longer(Reverse(entry.bytes)))
        }
        Kind::Connection(_) | Kind::Download | Kind::Control | Kind::Held => None,
    }
}

/// The connection that has waited longest, for `min_wait` at least.
pub(super) fn waiting_connection(
    entries: &SlotMap<Key, Entry>,
    now: Time,
    min_wait: Duration,
) -> Option<Key> {
    let waits = |entry: &Entry| now.since(entry.active_at) >= min_wait;
    let without_request = entries.iter().filter_map(|(key, entry)| match entry.kind {
        Kind::Connection(phase) if phase != Phase::Busy && waits(entry) => {
            Some((phase, entry.active_at, key))
        }
        _ => None,
    });
    let connection = without_request.min().map(|(_, _, key)| key);
    connection.or_else(|| {
        let uploads = entries.values().filter_map(|entry| match entry.kind {
            Kind::Upload(Some(connection)) if waits(entry) => Some((entry.active_at, connection)),
            _ => None,
        });
        uploads.min().map(|(_, connection)| connection)
    })
}
