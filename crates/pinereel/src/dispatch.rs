//! Handles calls and summaries from other entries, and builds this entry's own summaries.

use crate::{
    controllers::{
        claims, config, crashes,
        lots::{self, runner},
        members,
    },
    state::Shared,
};
use compact_str::CompactString;
use pinereel_api::wire::{Call, Hello, Reply, Summary};
use pinereel_core::{Version, crash::Report, endpoint::Event};
use std::{collections::BTreeMap, rc::Rc, time::Duration};

/// Executes one call from another entry.
pub async fn handle_call(shared: Rc<Shared>, _from: CompactString, call: Call) -> Reply {
    match call {
        Call::Assign(assignment) => done_reply(runner::assign(&shared, assignment)),
        Call::Collect(request) => runner::collect(&shared, request).await,
        Call::Handover { lot, samples } => {
            done_reply(runner::accept_handover(&shared, lot, samples))
        }
        Call::Claim {
            key,
            digest,
            request,
            left_ms,
        } => {
            let claim_request = claims::ClaimRequest {
                key,
                digest,
                request,
            };
            claims::serve_claim(&shared, claim_request, Duration::from_millis(left_ms)).await
        }
        Call::Settle {
            key,
            request,
            digest,
            outcome,
        } => {
            let claim_request = claims::ClaimRequest {
                key,
                digest,
                request,
            };
            claims::serve_settle(&shared, claim_request, outcome).await
        }
        Call::Prepare { prepare, leaves } => {
            let confirmed = config::relay::prepare(&shared, *prepare, leaves).await;
            Reply::Confirmed(confirmed)
        }
        Call::Commit {
            number,
            write,
            leaves,
        } => {
            config::relay::commit(&shared, number, write, leaves);
            Reply::Done
        }
        Call::Abort { write, leaves } => {
            config::relay::abort(&shared, write, leaves);
            Reply::Done
        }
        Call::FetchConfig => config::serve_fetch(&shared),
        Call::Report => Reply::Report {
            incarnation: shared.incarnation,
            number: shared.config.number(),
        },
    }
}

fn done_reply(result: Result<(), String>) -> Reply {
    match result {
        Ok(()) => Reply::Done,
        Err(reason) => Reply::Refused(reason.into()),
    }
}

/// Applies a peer's summary to the controllers' state.
pub fn handle_summary(shared: &Rc<Shared>, from: &Hello, summary: Summary) {
    members::observe_peer(shared, from, summary.draining);
    config::receive_summary(shared, from, &summary);
    for (model, version) in summary.versions {
        lots::record_published(shared, &model, version);
    }
    if !summary.crashes.is_empty() {
        crashes::merge_reports(shared, summary.crashes);
    }
    for (name, incarnation) in summary.leaving {
        crate::controllers::endpoints::step(shared, Event::Hinted { name, incarnation });
    }
}

/// Number of consecutive summaries that carry a change, since a full send queue drops some.
const CHANGE_REPEATS: u32 = 3;
/// Number of summaries after which the full state is sent again.
const FULL_SUMMARY_INTERVAL: u32 = 12;

/// Versions, leaving endpoints and crash reports. Summaries carry these only after a change and at
/// long intervals, since they grow with the number of models, and a summary is sent every second.
#[derive(Default)]
pub struct RecentChanges {
    versions: BTreeMap<CompactString, Version>,
    leaving: BTreeMap<CompactString, u64>,
    links: Vec<CompactString>,
    crashes: Vec<Report>,
    /// Number of summaries that still carry the last change.
    repeats_left: u32,
    /// Number of summaries since the last one that carried the state.
    since_full: u32,
}

impl RecentChanges {
    /// Reads the current state and decides whether the next summary carries it. Call once per
    /// summary period.
    pub fn refresh(&mut self, shared: &Shared) {
        let pending_reports = crashes::take_pending_reports(shared);
        let has_new_crashes = !pending_reports.is_empty();
        let current = Self {
            crashes: match has_new_crashes {
                true => pending_reports,
                false => crashes::known_reports(shared),
            },
            versions: shared.lots.versions(),
            leaving: shared.endpoints.set().hints(),
            links: shared.mesh.linked_peers(),
            repeats_left: self.repeats_left.saturating_sub(1),
            since_full: self.since_full + 1,
        };
        let unchanged = current.versions == self.versions
            && current.leaving == self.leaving
            && current.links == self.links;
        *self = current;
        if has_new_crashes || !unchanged {
            self.repeats_left = CHANGE_REPEATS;
        }
        if self.since_full >= FULL_SUMMARY_INTERVAL {
            self.repeats_left = self.repeats_left.max(1);
        }
        if self.repeats_left > 0 {
            self.since_full = 0;
        }
    }

    /// Versions, leaving endpoints and crash reports for the next summary; empty if it does not
    /// carry them.
    fn for_summary(
        &self,
    ) -> (
        BTreeMap<CompactString, Version>,
        BTreeMap<CompactString, u64>,
        Vec<Report>,
    ) {
        if self.repeats_left == 0 {
            return Default::default();
        }
        (
            self.versions.clone(),
            self.leaving.clone(),
            self.crashes.clone(),
        )
    }
}

/// Builds this entry's summary for the peer `to`.
pub fn summary(shared: &Shared, changes: &RecentChanges, to: &Hello) -> Summary {
    let (versions, leaving, crashes) = changes.for_summary();
    let now = shared.now();
    Summary {
        number: shared.config.number(),
        config_confirmed: shared.config.is_up_to_date(now),
        sent_us: now.0,
        echo: shared.config.echo_for(to),
        versions,
        leaving,
        crashes,
        draining: shared.drain.is_stop_requested(),
    }
}
