//! Distributes the groups of a lot over the runners.

use super::super::{placement, runner};
use crate::{logging::DecisionKind, state::Shared};
use compact_str::CompactString;
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use pinereel_api::wire::{Assignment, Call, Reply};
use pinereel_core::cursor::Token;
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

/// Timeout of one assignment call to another entry.
const ASSIGN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maps runners to those groups of the lot that have samples missing from `token`.
pub(super) fn place_missing_groups(
    shared: &Shared,
    id: &str,
    token: &Token,
    excluded: &BTreeSet<CompactString>,
) -> BTreeMap<CompactString, Vec<u32>> {
    let submitted = shared.lots.submitted.borrow();
    let Some(submitted_lot) = submitted.get(id) else {
        return BTreeMap::new();
    };
    let mut missing = Vec::new();
    for (index, group) in submitted_lot.lot.groups.iter().enumerate() {
        let first = submitted_lot.first_samples[index];
        let mut samples = first..first + group.samples;
        if samples.any(|sample| !token.contains(sample)) {
            missing.push(index as u32);
        }
    }
    placement::place_groups(shared, id, missing, excluded)
}

/// Assigns groups to runners in parallel; runners that do not accept are added to `excluded`.
pub(super) async fn assign_groups(
    shared: &Rc<Shared>,
    id: &str,
    placed: BTreeMap<CompactString, Vec<u32>>,
    excluded: &mut BTreeSet<CompactString>,
) {
    let calls: FuturesUnordered<_> = placed
        .into_iter()
        .map(|(name, groups)| async move {
            let accepted = assign_to(shared, id, &name, &groups).await;
            (name, accepted)
        })
        .collect();
    let results: Vec<_> = calls.collect().await;
    for (name, accepted) in results {
        if let Err(reason) = accepted {
            shared.log_decision(DecisionKind::Place, id, Some(&name), &reason);
            excluded.insert(name);
        }
    }
}

async fn assign_to(
    shared: &Rc<Shared>,
    id: &str,
    name: &CompactString,
    groups: &[u32],
) -> Result<(), String> {
    let assignment = build_assignment(shared, id, groups).ok_or("lot unknown")?;
    shared.log_decision(DecisionKind::Place, id, Some(name), "rendezvous");
    if name == shared.name() {
        return runner::assign(shared, assignment);
    }
    let call = Call::Assign(assignment);
    match shared.mesh.call(name, call, ASSIGN_TIMEOUT).await {
        Ok(Reply::Done) => Ok(()),
        Ok(Reply::Refused(reason)) => Err(reason.into()),
        Ok(_) => Err("unexpected reply".into()),
        Err(e) => Err(e.to_string()),
    }
}

fn build_assignment(shared: &Shared, id: &str, groups: &[u32]) -> Option<Assignment> {
    let submitted = shared.lots.submitted.borrow();
    let submitted_lot = submitted.get(id)?;
    let remaining = submitted_lot.deadline.since(shared.now());
    let groups = groups.iter().filter_map(|index| {
        let group = submitted_lot.lot.groups.get(*index as usize)?;
        Some((
            *index,
            submitted_lot.first_samples[*index as usize],
            group.clone(),
        ))
    });
    Some(Assignment {
        lot: submitted_lot.lot.id.clone(),
        digest: submitted_lot.digest,
        trainer: submitted_lot.lot.trainer.clone(),
        step: submitted_lot.lot.step,
        version: submitted_lot.lot.version,
        deadline_ms: remaining.as_millis() as u64,
        groups: groups.collect(),
    })
}
