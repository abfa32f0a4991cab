//! Answers collects: a scatter-gather query of a lot's runners, in rounds until there are samples.

use super::{
    super::runner,
    assign::{assign_groups, place_missing_groups},
    refuse,
};
use crate::{controllers::config::Snapshot, logging::DecisionKind, state::Shared};
use compact_str::{CompactString, format_compact};
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use pinereel_api::{
    Problem,
    problem::Code,
    trainer::{Collect, Collected},
    wire::{Call, CollectRequest, Reply},
};
use pinereel_core::{
    Version,
    cursor::{Delivery, Error, Merge, Token},
    lot::Sample,
    provenance,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// Added to the wait of a collect to get the timeout of a call to a runner.
const RPC_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Upper limit of the wait that a trainer may ask for.
const MAX_COLLECT_WAIT: Duration = Duration::from_secs(60);
/// How long to wait for answers of other runners once the first samples have arrived.
const OTHER_RUNNERS_GRACE: Duration = Duration::from_millis(10);
/// Longest wait of one round of queries, so that a collect notices a drain and a lost runner.
const MAX_ROUND_WAIT: Duration = Duration::from_secs(2);
/// Pause after a round of queries that returned no samples.
const EMPTY_ROUND_PAUSE: Duration = Duration::from_millis(20);

/// Queries the runners, merges their samples, and checks the staleness bound at delivery.
pub async fn collect(
    shared: &Rc<Shared>,
    snapshot: &Snapshot,
    id: &str,
    collect: Collect,
) -> Result<Collected, Problem> {
    let token =
        Token::parse(&collect.token).map_err(|e| refuse(Code::BadToken, format_compact!("{e}")))?;
    check_token(shared, id, &token)?;
    let wait = Duration::from_millis(collect.wait_ms).min(MAX_COLLECT_WAIT);
    let deadline = shared.now() + wait;
    let mut excluded = BTreeSet::new();
    loop {
        let bound = current_bound(shared, snapshot, id)?;
        let remaining_wait = deadline.since(shared.now()).min(MAX_ROUND_WAIT);
        let collected = collect_from_runners(
            shared,
            id,
            &token,
            &collect,
            bound,
            remaining_wait,
            &mut excluded,
        )
        .await;
        // The configuration may have tightened the bound during the queries.
        let bound = current_bound(shared, snapshot, id)?.min(bound);
        let merge = Merge {
            token: token.clone(),
            version: collect.version,
            bound,
            max_samples: collect.max as usize,
        };
        let delivery = merge.deliver(collected);
        record_delivery(shared, id, &delivery, collect.version);
        // A draining entry answers immediately; the trainer continues at another with the same
        // token.
        let must_answer = deadline.since(shared.now()).is_zero() || shared.drain.refuses_requests();
        if !delivery.samples.is_empty() || delivery.remaining == 0 || must_answer {
            return Ok(Collected {
                basis: collect.token,
                token: delivery.token.to_string(),
                samples: delivery.samples,
                remaining: delivery.remaining,
            });
        }
        // Groups may have been reassigned; their new runners need time to start.
        sleep(EMPTY_ROUND_PAUSE.min(deadline.since(shared.now()))).await;
    }
}

fn check_token(shared: &Shared, id: &str, token: &Token) -> Result<(), Problem> {
    let submitted = shared.lots.submitted.borrow();
    let Some(submitted_lot) = submitted.get(id) else {
        return Err(refuse(Code::LotUnknown, "submit the lot again"));
    };
    token
        .check_lot(submitted_lot.digest, submitted_lot.lot.step)
        .map_err(|e| {
            let code = match e {
                Error::Malformed => Code::BadToken,
                Error::OtherLot => Code::ForeignToken,
                Error::EarlierStep => Code::BehindToken,
            };
            refuse(code, format_compact!("{e}"))
        })
}

/// The staleness bound now in force for the lot's trainer, in versions, never above the pinned one.
fn current_bound(shared: &Shared, snapshot: &Snapshot, id: &str) -> Result<u64, Problem> {
    let submitted = shared.lots.submitted.borrow();
    let submitted_lot = submitted
        .get(id)
        .ok_or_else(|| refuse(Code::LotUnknown, "submit the lot again"))?;
    let bound_in = |snapshot: &Snapshot| {
        snapshot
            .document
            .trainers
            .get(&submitted_lot.lot.trainer)
            .map(|t| t.bound)
    };
    let unknown = || refuse(Code::NotFound, "unknown trainer");
    let pinned = bound_in(snapshot).ok_or_else(unknown)?;
    let current = shared
        .config
        .snapshot()
        .as_ref()
        .and_then(bound_in)
        .ok_or_else(unknown)?;
    Ok(pinned.min(current))
}

/// Queries all runners of the lot once, and reassigns groups that a runner lacks or that a lost
/// runner had.
async fn collect_from_runners(
    shared: &Rc<Shared>,
    id: &str,
    token: &Token,
    collect: &Collect,
    bound: u64,
    wait: Duration,
    excluded: &mut BTreeSet<CompactString>,
) -> Vec<Sample> {
    let placed = place_missing_groups(shared, id, token, excluded);
    let mut calls: FuturesUnordered<_> = placed
        .into_iter()
        .map(|(name, groups)| {
            let request = CollectRequest {
                lot: id.into(),
                groups: groups.clone(),
                token: collect.token.clone(),
                version: collect.version,
                bound,
                max: collect.max,
                wait_ms: wait.as_millis() as u64,
            };
            async move {
                let reply = collect_from_runner(shared, &name, request, wait).await;
                (name, groups, reply)
            }
        })
        .collect();
    let mut collected = Vec::new();
    let mut reassigned = BTreeMap::new();
    loop {
        // Until samples have arrived, each call's own timeout ends the wait.
        let call_wait = if collected.is_empty() {
            MAX_COLLECT_WAIT
        } else {
            OTHER_RUNNERS_GRACE
        };
        let next = timeout(call_wait, calls.next()).await;
        let Ok(Some((name, groups, reply))) = next else {
            break;
        };
        match reply {
            Some((samples, missing)) => {
                collected.extend(samples);
                if !missing.is_empty() {
                    reassigned.insert(name, missing);
                    break;
                }
            }
            None => {
                shared.log_decision(DecisionKind::Place, id, Some(&name), "unreachable");
                excluded.insert(name);
                // Its groups move to the next runner in rank.
                let lost: BTreeSet<_> = groups.into_iter().collect();
                for (name, groups) in place_missing_groups(shared, id, token, excluded) {
                    let moved: Vec<_> = groups.into_iter().filter(|g| lost.contains(g)).collect();
                    if !moved.is_empty() {
                        reassigned.insert(name, moved);
                    }
                }
                break;
            }
        }
    }
    drop(calls);
    assign_groups(shared, id, reassigned, excluded).await;
    collected
}

/// Samples that a runner returned, and the groups that it does not have.
type RunnerSamples = (Vec<pinereel_api::trainer::Sample>, Vec<u32>);

async fn collect_from_runner(
    shared: &Rc<Shared>,
    name: &CompactString,
    request: CollectRequest,
    wait: Duration,
) -> Option<RunnerSamples> {
    let reply = if name == shared.name() {
        runner::collect(shared, request).await
    } else {
        let call = Call::Collect(request);
        shared
            .mesh
            .call(name, call, wait + RPC_TIMEOUT_MARGIN)
            .await
            .ok()?
    };
    match reply {
        Reply::Samples { samples, missing } => Some((samples, missing)),
        _ => None,
    }
}

fn record_delivery(shared: &Shared, id: &str, delivery: &Delivery, version: Version) {
    let submitted = shared.lots.submitted.borrow();
    let Some(lot) = submitted.get(id) else { return };
    let trainer = lot.lot.trainer.as_str();
    let counter = |event| shared.metrics.samples.with_label_values(&[trainer, event]);
    counter("delivered").inc_by(delivery.samples.len() as u64);
    counter("stale").inc_by(u64::from(delivery.stale));
    let staleness = shared.metrics.staleness.with_label_values(&[trainer]);
    for sample in &delivery.samples {
        if let Some(oldest) = provenance::oldest_version(&sample.spans) {
            staleness.observe(oldest.versions_behind(version) as f64);
        }
    }
}
