//! Which stored lots a runner may delete, and when.

use pinereel_core::{
    Time,
    batch::{StoredLot, StoredLots, UNENDED_RETENTION},
};
use std::{collections::BTreeSet, time::Duration};

const NOW: Time = Time::from_millis(1_000);
const RETENTION: Duration = Duration::from_secs(180);

fn lot(model: &str, revision: u64, ended: bool) -> StoredLot {
    StoredLot {
        model: Some(model.into()),
        revision,
        ended,
    }
}

/// The lots that the runner of model `a` may delete; the models `a` and `b` have runners.
fn expired(lots: &StoredLots, now: Time) -> Vec<(String, u64)> {
    let has_runner = |model: &str| ["a", "b"].contains(&model);
    let expired = lots.expired(now, "a", has_runner, RETENTION);
    let expired = expired.into_iter();
    expired
        .map(|(name, revision)| (name.into(), revision))
        .collect()
}

/// Failure: the runner of one model deletes the lots of another one, which still run.
#[test]
fn a_runner_deletes_ended_lots_of_its_model_and_of_models_without_runner() {
    let mut lots = StoredLots::default();
    for (name, model, ended) in [
        ("ended", "a", true),
        ("open", "a", false),
        ("ended-of-b", "b", true),
        ("open-of-b", "b", false),
        ("ended-of-removed", "gone", true),
        ("open-of-removed", "gone", false),
    ] {
        lots.record(NOW, &name.into(), lot(model, 7, ended));
    }
    assert!(expired(&lots, NOW + (RETENTION - Duration::from_millis(1))).is_empty());
    let first = [("ended".into(), 7), ("ended-of-removed".into(), 7)];
    assert_eq!(expired(&lots, NOW + RETENTION), first);
    assert_eq!(
        expired(&lots, NOW + (UNENDED_RETENTION - Duration::from_millis(1))),
        first
    );
    let names = expired(&lots, NOW + UNENDED_RETENTION);
    let names: Vec<_> = names.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(
        names,
        ["ended", "ended-of-removed", "open", "open-of-removed"]
    );
}

/// Failure: a lot that is submitted again after its deletion has the age of the one before.
#[test]
fn a_lot_that_is_submitted_again_counts_as_new() {
    let mut lots = StoredLots::default();
    let later = NOW + RETENTION;
    for name in ["removed", "unlisted", "kept"] {
        lots.record(NOW, &name.into(), lot("a", 3, true));
    }
    lots.remove("removed");
    lots.retain(&BTreeSet::from(["kept".into()]));
    for name in ["removed", "unlisted"] {
        lots.record(later, &name.into(), lot("a", 9, true));
    }
    assert_eq!(expired(&lots, later), [("kept".into(), 3)]);
    assert_eq!(expired(&lots, later + RETENTION).len(), 3);
}

/// Failure: an older state of a lot, by the watch of another model, hides that it was changed.
#[test]
fn an_older_state_does_not_replace_a_newer_one() {
    let mut lots = StoredLots::default();
    lots.record(NOW, &"lot".into(), lot("a", 5, true));
    lots.record(NOW, &"lot".into(), lot("a", 4, false));
    assert_eq!(expired(&lots, NOW + RETENTION), [("lot".into(), 5)]);
}
