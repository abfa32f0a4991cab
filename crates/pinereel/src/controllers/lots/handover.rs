//! Transfers the finished samples of a draining entry to the entries that take over their groups.

use super::placement;
use crate::{logging::DecisionKind, state::Shared};
use compact_str::CompactString;
use pinereel_api::{
    trainer,
    wire::{Assignment, Call, Reply},
};
use pinereel_core::lot::{Group, Sample, Spec};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

/// Timeout of one handover call to another entry.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Most bytes of sample text in one call; far below the largest frame, which also holds the
/// prompts.
const MAX_TEXT_BYTES_PER_CALL: usize = 1 << 20;
/// Most rounds of offers; each round offers to the highest-ranked entries that have not refused.
const MAX_OFFER_ROUNDS: usize = 3;

/// Spawns a handover; it counts in [`super::Lots::in_flight`] until it is done.
pub(super) fn start(shared: &Rc<Shared>, spec: Spec, samples: Vec<Sample>) {
    let shared = Rc::clone(shared);
    shared
        .lots
        .handovers_in_flight
        .set(shared.lots.handovers_in_flight.get() + 1);
    actix_rt::spawn(async move {
        hand_over(&shared, spec, samples).await;
        shared
            .lots
            .handovers_in_flight
            .set(shared.lots.handovers_in_flight.get() - 1);
    });
}

async fn hand_over(shared: &Rc<Shared>, spec: Spec, samples: Vec<Sample>) {
    let mut excluded = BTreeSet::from([shared.name().clone()]);
    let mut remaining = samples;
    for _ in 0..MAX_OFFER_ROUNDS {
        if remaining.is_empty() {
            return;
        }
        remaining = offer_all(shared, &spec, remaining, &mut excluded).await;
    }
    if !remaining.is_empty() {
        let count = remaining.len();
        log::warn!(entry = shared.name().as_str(), lot = spec.lot.as_str(), count; "handover: no entry accepted the samples");
    }
}

/// Offers each sample to the next runner of its group; returns those that were not accepted.
async fn offer_all(
    shared: &Rc<Shared>,
    spec: &Spec,
    samples: Vec<Sample>,
    excluded: &mut BTreeSet<CompactString>,
) -> Vec<Sample> {
    let mut by_group: BTreeMap<u32, Vec<Sample>> = BTreeMap::new();
    for sample in samples {
        by_group.entry(sample.group).or_default().push(sample);
    }
    let groups: Vec<_> = by_group.keys().copied().collect();
    let mut remaining = Vec::new();
    for (name, groups) in placement::place_groups(shared, &spec.lot, groups, excluded) {
        let samples = groups.iter().filter_map(|group| by_group.remove(group));
        for part in split_by_size(samples.flatten().collect()) {
            let accepted = offer_to(shared, &name, spec, &part).await;
            shared.log_decision(
                DecisionKind::Place,
                &spec.lot,
                Some(&name),
                if accepted { "handover" } else { "lost" },
            );
            if !accepted {
                excluded.insert(name.clone());
                remaining.extend(part);
            }
        }
    }
    // If all entries are excluded, no group was placed.
    remaining.extend(by_group.into_values().flatten());
    remaining
}

async fn offer_to(shared: &Shared, name: &CompactString, spec: &Spec, samples: &[Sample]) -> bool {
    let wanted: BTreeSet<_> = samples.iter().map(|sample| sample.group).collect();
    let groups = spec
        .groups
        .iter()
        .filter(|group| wanted.contains(&group.index));
    let lot = Assignment {
        lot: spec.lot.clone(),
        digest: spec.digest,
        trainer: spec.trainer.clone(),
        step: spec.step,
        version: spec.version,
        deadline_ms: spec.deadline.since(shared.now()).as_millis() as u64,
        groups: groups.map(to_wire).collect(),
    };
    let samples = samples.to_vec();
    let call = Call::Handover { lot, samples };
    matches!(
        shared.mesh.call(name, call, HANDOVER_TIMEOUT).await,
        Ok(Reply::Done)
    )
}

fn to_wire(group: &Group) -> (u32, u32, trainer::Group) {
    let content = trainer::Group {
        prompt: group.prompt.clone(),
        samples: group.samples,
        max_tokens: group.max_tokens,
    };
    (group.index, group.first, content)
}

/// Splits samples so that each part's text is at most [`MAX_TEXT_BYTES_PER_CALL`], or one sample.
fn split_by_size(samples: Vec<Sample>) -> Vec<Vec<Sample>> {
    let mut parts: Vec<Vec<Sample>> = Vec::new();
    let mut bytes = MAX_TEXT_BYTES_PER_CALL;
    for sample in samples {
        bytes += sample.text.len();
        match parts.last_mut() {
            Some(part) if bytes <= MAX_TEXT_BYTES_PER_CALL => part.push(sample),
            _ => {
                bytes = sample.text.len();
                parts.push(vec![sample]);
            }
        }
    }
    parts
}
