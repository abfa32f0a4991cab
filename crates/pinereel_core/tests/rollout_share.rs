//! Models share the engines of a service alike, and keep their shares when engines come and go.

use compact_str::{CompactString, format_compact};
use pinereel_core::rollout::{loads, share};
use std::collections::BTreeMap;

fn engines(count: usize) -> Vec<CompactString> {
    (0..count).map(|n| format_compact!("engine-{n}")).collect()
}

fn models(count: usize) -> Vec<CompactString> {
    (0..count).map(|n| format_compact!("model-{n}")).collect()
}

fn counts(shares: &BTreeMap<CompactString, CompactString>) -> Vec<usize> {
    let mut counts = BTreeMap::new();
    for model in shares.values() {
        *counts.entry(model.clone()).or_insert(0) += 1;
    }
    counts.into_values().collect()
}

#[test]
fn one_model_gets_all_engines() {
    assert_eq!(counts(&share(engines(8), &models(1))), [8]);
}

#[test]
fn models_share_alike() {
    assert_eq!(counts(&share(engines(44), &models(4))), [11, 11, 11, 11]);
    assert_eq!(counts(&share(engines(10), &models(4))), [3, 3, 2, 2]);
    assert_eq!(counts(&share(engines(2), &models(4))), [1, 1]);
}

#[test]
fn an_engine_that_goes_changes_few_others() {
    let (all, models) = (engines(44), models(4));
    let before = share(all.clone(), &models);
    for gone in &all {
        let left = all.iter().filter(|engine| *engine != gone).cloned();
        let after = share(left, &models);
        let moved = after
            .iter()
            .filter(|(engine, model)| before[*engine] != **model);
        assert!(moved.count() <= 4, "without {gone}");
    }
}

#[test]
fn loads_stay_within_what_the_store_bears() {
    assert_eq!(loads(8, 1, 2), 2);
    assert_eq!(loads(44, 4, 2), 2);
    assert_eq!(loads(44, 1, 2), 9);
    assert_eq!(loads(1, 1, 2), 2);
}
