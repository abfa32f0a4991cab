//! Hands finished samples of a stopping runner to the entries that run their groups next.

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

/// Longest wait for another entry to take samples.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Most bytes of text in one call; far below the largest frame, which also holds the prompts.
const MAX_BYTES: usize = 1 << 20;
/// Entries that are tried, best first.
const MAX_TRIES: usize = 3;

/// Starts handing over; the lots count it as under way until it is done.
pub(super) fn start(shared: &Rc<Shared>, spec: Spec, samples: Vec<Sample>) {
    let shared = Rc::clone(shared);
    shared.lots.handing.set(shared.lots.handing.get() + 1);
    actix_rt::spawn(async move {
        run(&shared, spec, samples).await;
        shared.lots.handing.set(shared.lots.handing.get() - 1);
    });
}

async fn run(shared: &Rc<Shared>, spec: Spec, samples: Vec<Sample>) {
    let mut away = BTreeSet::from([shared.name().clone()]);
    let mut left = samples;
    for _ in 0..MAX_TRIES {
        if left.is_empty() {
            return;
        }
        left = once(shared, &spec, left, &mut away).await;
    }
    if !left.is_empty() {
        let count = left.len();
        log::warn!(entry = shared.name().as_str(), lot = spec.lot.as_str(), count; "samples lost");
    }
}

/// Offers each sample to the next runner of its group; gives back those that were not taken.
async fn once(
    shared: &Rc<Shared>,
    spec: &Spec,
    samples: Vec<Sample>,
    away: &mut BTreeSet<CompactString>,
) -> Vec<Sample> {
    let mut by_group: BTreeMap<u32, Vec<Sample>> = BTreeMap::new();
    for sample in samples {
        by_group.entry(sample.group).or_default().push(sample);
    }
    let groups: Vec<_> = by_group.keys().copied().collect();
    let mut left = Vec::new();
    for (name, groups) in placement::place(shared, &spec.lot, groups, away) {
        let samples = groups.iter().filter_map(|group| by_group.remove(group));
        for part in parts(samples.flatten().collect()) {
            let taken = offer(shared, &name, spec, &part).await;
            shared.decide(
                DecisionKind::Place,
                &spec.lot,
                Some(&name),
                if taken { "handover" } else { "lost" },
            );
            if !taken {
                away.insert(name.clone());
                left.extend(part);
            }
        }
    }
    // Without any entry left, nothing was placed.
    left.extend(by_group.into_values().flatten());
    left
}

async fn offer(shared: &Shared, name: &CompactString, spec: &Spec, samples: &[Sample]) -> bool {
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
    matches!(shared.mesh.call(name, call, TIMEOUT).await, Ok(Reply::Done))
}

fn to_wire(group: &Group) -> (u32, u32, trainer::Group) {
    let content = trainer::Group {
        prompt: group.prompt.clone(),
        samples: group.samples,
        max_tokens: group.max_tokens,
    };
    (group.index, group.first, content)
}

/// Splits samples so that each part's text is at most [`MAX_BYTES`], or one sample.
fn parts(samples: Vec<Sample>) -> Vec<Vec<Sample>> {
    let mut parts: Vec<Vec<Sample>> = Vec::new();
    let mut bytes = MAX_BYTES;
    for sample in samples {
        bytes += sample.text.len();
        match parts.last_mut() {
            Some(part) if bytes <= MAX_BYTES => part.push(sample),
            _ => {
                bytes = sample.text.len();
                parts.push(vec![sample]);
            }
        }
    }
    parts
}
