//! Spreads the groups of a lot over the runners.

use super::super::{placement as rank, runner};
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

/// Longest wait for another entry to take groups.
const ASSIGN_TIMEOUT: Duration = Duration::from_secs(2);

/// Which runner has which groups, of those with samples that `token` lacks.
pub(super) fn placement(
    shared: &Shared,
    id: &str,
    token: &Token,
    away: &BTreeSet<CompactString>,
) -> BTreeMap<CompactString, Vec<u32>> {
    let fronts = shared.lots.fronts.borrow();
    let Some(front) = fronts.get(id) else {
        return BTreeMap::new();
    };
    let mut wanted = Vec::new();
    for (index, group) in front.lot.groups.iter().enumerate() {
        let first = front.firsts[index];
        let mut samples = first..first + group.samples;
        if samples.any(|sample| !token.contains(sample)) {
            wanted.push(index as u32);
        }
    }
    rank::place(shared, id, wanted, away)
}

/// Assigns groups to runners; those that do not take them are added to `away`.
pub(super) async fn assign_all(
    shared: &Rc<Shared>,
    id: &str,
    placed: BTreeMap<CompactString, Vec<u32>>,
    away: &mut BTreeSet<CompactString>,
) {
    let assigns: FuturesUnordered<_> = placed
        .into_iter()
        .map(|(name, groups)| async move {
            let taken = assign(shared, id, &name, &groups).await;
            (name, taken)
        })
        .collect();
    let results: Vec<_> = assigns.collect().await;
    for (name, taken) in results {
        if let Err(reason) = taken {
            shared.decide(DecisionKind::Place, id, Some(&name), &reason);
            away.insert(name);
        }
    }
}

async fn assign(
    shared: &Rc<Shared>,
    id: &str,
    name: &CompactString,
    groups: &[u32],
) -> Result<(), String> {
    let assignment = assignment(shared, id, groups).ok_or("lot unknown")?;
    shared.decide(DecisionKind::Place, id, Some(name), "rendezvous");
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

fn assignment(shared: &Shared, id: &str, groups: &[u32]) -> Option<Assignment> {
    let fronts = shared.lots.fronts.borrow();
    let front = fronts.get(id)?;
    let left = front.deadline.since(shared.now());
    let groups = groups.iter().filter_map(|index| {
        let group = front.lot.groups.get(*index as usize)?;
        Some((*index, front.firsts[*index as usize], group.clone()))
    });
    Some(Assignment {
        lot: front.lot.id.clone(),
        digest: front.digest,
        trainer: front.lot.trainer.clone(),
        step: front.lot.step,
        version: front.lot.version,
        deadline_ms: left.as_millis() as u64,
        groups: groups.collect(),
    })
}
