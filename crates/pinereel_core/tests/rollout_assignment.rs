//! Assignment of engines to models: quotas follow the demand, and engines that join or leave change
//! few others.

mod rollout_support;

use compact_str::{CompactString, format_compact};
use pinereel_core::rollout::{Demand, assign_models, max_loads, should_reassign};
use rollout_support::demands;
use std::collections::BTreeMap;

fn engines(count: usize) -> Vec<CompactString> {
    (0..count).map(|n| format_compact!("engine-{n}")).collect()
}

fn models(count: usize) -> Vec<Demand> {
    demands(&vec![0; count])
}

fn counts(assigned: &BTreeMap<CompactString, CompactString>) -> Vec<usize> {
    let mut counts = BTreeMap::new();
    for model in assigned.values() {
        *counts.entry(model.clone()).or_insert(0) += 1;
    }
    counts.into_values().collect()
}

#[test]
fn one_model_gets_all_engines() {
    assert_eq!(counts(&assign_models(engines(8), &models(1))), [8]);
}

#[test]
fn models_without_demand_get_equal_shares() {
    assert_eq!(
        counts(&assign_models(engines(44), &models(4))),
        [11, 11, 11, 11]
    );
    assert_eq!(
        counts(&assign_models(engines(10), &models(4))),
        [3, 3, 2, 2]
    );
    assert_eq!(counts(&assign_models(engines(2), &models(4))), [1, 1]);
}

#[test]
fn an_engine_that_leaves_changes_few_others() {
    let (all, models) = (engines(44), models(4));
    let before = assign_models(all.clone(), &models);
    for removed in &all {
        let remaining = all.iter().filter(|engine| *engine != removed).cloned();
        let after = assign_models(remaining, &models);
        let moved = after
            .iter()
            .filter(|(engine, model)| before[*engine] != **model);
        assert!(moved.count() <= 4, "without {removed}");
    }
}

/// Four models with the work of a larger site, in events per step: dispatch, jacket, invoice and
/// delay texts. With equal shares, the steps of the two with long texts wait for slots.
#[test]
fn a_model_with_higher_demand_gets_more_engines() {
    let demand = demands(&[1_024, 2_412, 2_363, 1_288]);
    assert_eq!(counts(&assign_models(engines(44), &demand)), [6, 15, 15, 8]);
}

#[test]
fn a_model_with_little_demand_keeps_some_engines() {
    let demand = demands(&[1, 1_000, 1_000, 1_000]);
    assert_eq!(
        counts(&assign_models(engines(44), &demand)),
        [4, 14, 13, 13]
    );
}

#[test]
fn a_model_of_unknown_demand_gets_an_equal_share() {
    let demand = demands(&[0, 1_000, 1_000, 1_000]);
    assert_eq!(
        counts(&assign_models(engines(44), &demand)),
        [11, 11, 11, 11]
    );
}

#[test]
fn engines_are_reassigned_only_for_more_than_one() {
    let old = demands(&[1_000, 1_000]);
    assert!(!should_reassign(20, &old, &demands(&[1_300, 1_000])));
    assert!(should_reassign(20, &old, &demands(&[3_000, 1_000])));
    assert!(should_reassign(8, &[], &old));
}

#[test]
fn concurrent_loads_stay_within_the_capacity_of_the_store() {
    assert_eq!(max_loads(8, 8, 8, 2), 2);
    assert_eq!(max_loads(44, 44, 11, 2), 2);
    assert_eq!(max_loads(44, 44, 44, 2), 9);
    assert_eq!(max_loads(1, 1, 1, 2), 2);
    let shared: Vec<_> = [6, 15, 15, 8].map(|own| max_loads(44, 44, own, 2)).into();
    assert_eq!(shared, [1, 3, 3, 2]);
}
