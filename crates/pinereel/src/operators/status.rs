//! Status report and on-demand metrics: this entry's view of entries, endpoints and leases.

use crate::{
    controllers::{config::PeerState, members},
    state::Shared,
};
use compact_str::{CompactString, format_compact};
use pinereel_api::operator::{Endpoint, Entry, Status};
use pinereel_core::{Time, endpoint::State, member};
use std::{collections::BTreeMap, time::Duration};

/// An entry without a message for this long is reported as lagging, since nothing about it is
/// confirmed.
const MAX_PEER_SILENCE: Duration = Duration::from_secs(4);

/// Builds the response to `GET /v1/status`.
pub async fn status(shared: &Shared) -> Status {
    let mut object_calls = BTreeMap::<CompactString, u64>::new();
    for ((purpose, _), count) in shared.objects.call_counts() {
        *object_calls.entry(purpose.as_str().into()).or_default() += count;
    }
    Status {
        entry: shared.name().clone(),
        number: shared.config.number(),
        entries: describe_entries(shared).await,
        endpoints: describe_endpoints(shared),
        versions: shared.lots.versions(),
        leases: shared.leases.held_tokens(shared.now()),
        object_calls,
    }
}

/// Updates the metrics that are computed only when they are scraped.
pub fn update_metrics(shared: &Shared) {
    let metrics = &shared.metrics;
    for ((purpose, kind), count) in shared.objects.call_counts() {
        let counter = metrics
            .object_calls
            .with_label_values(&[purpose.as_str(), kind]);
        counter.inc_by(count.saturating_sub(counter.get()));
    }
    let links = i64::try_from(shared.mesh.linked_peers().len()).unwrap_or(i64::MAX);
    metrics.links_up.set(links);
    let delay = shared.scheduling_delay.recent_max();
    let delay_millis = i64::try_from(delay.as_millis()).unwrap_or(i64::MAX);
    metrics.scheduling_delay_millis.set(delay_millis);
    let endpoints = shared.endpoints.set().iter().count();
    metrics
        .endpoints_known
        .set(i64::try_from(endpoints).unwrap_or(i64::MAX));
    let stats = shared.lots.stats();
    let events = [
        ("started", stats.started),
        ("resumed", stats.resumed),
        ("duplicated", stats.speculative),
        ("finished", stats.finished),
        ("late", stats.late_events),
        ("void", stats.invalid_stamps),
        ("lost", stats.lost),
        ("moved", stats.moved),
        ("aborted", stats.aborted),
        ("stale", stats.stale_samples),
    ];
    for (event, count) in events {
        let counter = metrics.runner.with_label_values(&[event]);
        counter.inc_by(count.saturating_sub(counter.get()));
    }
    let (sent, received) = shared.mesh.byte_counts();
    for (direction, bytes) in [("out", sent), ("in", received)] {
        let counter = metrics.peer_bytes.with_label_values(&[direction]);
        counter.inc_by(bytes.saturating_sub(counter.get()));
    }
    let (sent, received) = shared.mesh.frame_counts();
    for (direction, frames) in [("out", sent), ("in", received)] {
        let counter = metrics.peer_frames.with_label_values(&[direction]);
        counter.inc_by(frames.saturating_sub(counter.get()));
    }
}

/// Describes the known entries. Entries that sent no recent message, or only one with a lower
/// configuration number, are queried.
async fn describe_entries(shared: &Shared) -> BTreeMap<CompactString, Entry> {
    let now = shared.now();
    let peer_states = shared.config.peer_states();
    let known = shared.members.view().members().clone();
    let others = known.iter().filter(|(name, _)| *name != shared.name());
    let unconfirmed = others.filter(|(_, entry)| {
        let number = recently_heard(now, entry, &peer_states).map(|state| state.number);
        number < Some(shared.config.number())
    });
    let names = unconfirmed.map(|(name, _)| name.clone()).collect();
    let reports = members::fetch_reports(shared, names).await;
    let describe = |(name, entry): (CompactString, member::Member)| {
        let report = reports.get(&name);
        let described = if name == *shared.name() {
            own_entry(shared, &entry)
        } else if let Some((_, number)) = report.filter(|r| r.0 == entry.object.incarnation) {
            peer_entry(shared, &entry, *number, Duration::ZERO)
        } else {
            let last_state = peer_states.get(&name);
            let silence = now.since(last_state.map_or(Time::ZERO, |state| state.received_at));
            peer_entry(
                shared,
                &entry,
                last_state.map_or(0, |state| state.number),
                silence,
            )
        };
        (name, described)
    };
    known.into_iter().map(describe).collect()
}

/// The last message from this incarnation of `entry`, if it is recent.
fn recently_heard<'a>(
    now: Time,
    entry: &member::Member,
    peer_states: &'a BTreeMap<CompactString, PeerState>,
) -> Option<&'a PeerState> {
    let last_state = peer_states.get(&entry.object.name)?;
    let is_same_incarnation = last_state.incarnation == entry.object.incarnation;
    (is_same_incarnation && now.since(last_state.received_at) < MAX_PEER_SILENCE)
        .then_some(last_state)
}

fn own_entry(shared: &Shared, entry: &member::Member) -> Entry {
    Entry {
        zone: entry.object.zone.clone(),
        number: shared.config.number(),
        heard_ms: None,
        lags: shared.config.admits(shared.now()).is_err(),
    }
}

fn peer_entry(shared: &Shared, entry: &member::Member, number: u64, silence: Duration) -> Entry {
    Entry {
        zone: entry.object.zone.clone(),
        number,
        heard_ms: Some(u64::try_from(silence.as_millis()).unwrap_or(u64::MAX)),
        lags: number < shared.config.number() || silence >= MAX_PEER_SILENCE,
    }
}

fn describe_endpoints(shared: &Shared) -> BTreeMap<CompactString, Endpoint> {
    let set = shared.endpoints.set();
    let known = set.iter().map(|(_, endpoint)| {
        let state = match endpoint.state {
            State::Live => "live",
            State::Leaving => "leaving",
            State::Ejected { .. } => "ejected",
            State::Gone => "gone",
        };
        let described = Endpoint {
            pool: endpoint.pool.clone(),
            zone: endpoint.zone.clone(),
            state: state.into(),
            outstanding: endpoint.outstanding,
            version: endpoint.version,
        };
        // An old incarnation may still have requests in flight beside a new one of the same name.
        let name = match endpoint.state {
            State::Gone => format_compact!("{}#{}", endpoint.name, endpoint.incarnation),
            _ => endpoint.name.clone(),
        };
        (name, described)
    });
    known.collect()
}
