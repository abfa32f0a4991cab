//! The engines that do a service's work, where many times as many are listed.

use compact_str::{CompactString, format_compact};
use pinereel_core::{
    Time, Version,
    endpoint::ServiceIndex,
    rollout::{Action, Controller, Demand, Event, Lease, Settings, Sight, share, working_set},
};
use std::{collections::BTreeSet, time::Duration};

const SERVICE: CompactString = CompactString::const_new("engines");

fn demands(items: &[u64]) -> Vec<Demand> {
    let demand = |(n, items): (usize, &u64)| Demand {
        model: format_compact!("model-{n}"),
        tokens: 0,
        items: *items,
        short: 0,
    };
    items.iter().enumerate().map(demand).collect()
}

/// Eight trainers' steps.
fn steps() -> Vec<Demand> {
    demands(&[80, 112, 112, 112, 104, 112, 80, 120])
}

fn index(engines: usize) -> ServiceIndex {
    let mut index = ServiceIndex::default();
    for n in 0..engines {
        index.insert(&format_compact!("engine-{n:05}"), &SERVICE, 6);
    }
    index
}

fn members(index: &ServiceIndex, demands: &[Demand]) -> BTreeSet<CompactString> {
    let count = working_set(index.count(&SERVICE), 6, demands);
    index.ranked(&SERVICE).take(count).cloned().collect()
}

#[test]
fn it_grows_with_the_work_and_not_with_the_list() {
    for listed in [1_000, 2_000, 4_000, 12_000] {
        assert_eq!(working_set(listed, 6, &steps()), 384);
    }
    let twice: Vec<_> = steps().into_iter().chain(steps()).collect();
    assert_eq!(working_set(12_000, 6, &twice), 768);
    assert_eq!(working_set(12_000, 12, &steps()), 192);
}

#[test]
fn it_is_all_engines_where_there_are_few() {
    assert_eq!(working_set(44, 6, &steps()), 44);
    assert_eq!(working_set(8, 8, &demands(&[80])), 8);
    assert_eq!(working_set(0, 6, &steps()), 0);
}

#[test]
fn a_step_with_a_few_items_more_leaves_it_as_it_is() {
    assert_eq!(working_set(5_000, 6, &demands(&[200])), 96);
    assert_eq!(working_set(5_000, 6, &demands(&[210])), 96);
}

#[test]
fn items_that_found_no_slot_make_it_larger() {
    let mut demands = demands(&[200]);
    demands[0].short = 400;
    assert_eq!(working_set(5_000, 6, &demands), 256);
}

#[test]
fn an_engine_that_goes_is_replaced_by_one() {
    let mut index = index(2_000);
    let before = members(&index, &steps());
    for gone in before.iter().take(20) {
        let with = members(&index, &steps());
        index.remove(gone);
        let without = members(&index, &steps());
        assert_eq!(with.difference(&without).collect::<Vec<_>>(), [gone]);
        assert_eq!(without.difference(&with).count(), 1);
    }
}

/// Orders and reads for one new version of each model, and engines that a holder's tick looks at.
fn calls(listed: usize) -> (usize, usize) {
    let (index, demands) = (index(listed), steps());
    let shares = share(members(&index, &demands), &demands);
    let now = Time::ZERO + Duration::from_secs(1);
    let mut calls = 0;
    for demand in &demands {
        let settings = Settings {
            loads: listed,
            floor: 0.0,
            ..Settings::default()
        };
        let mut controller = Controller::new(settings);
        let own = shares.iter().filter(|(_, model)| **model == demand.model);
        for (name, _) in own {
            let (name, zone) = (name.clone(), "a".into());
            let (outstanding, leaving) = (0, false);
            controller.step(
                now,
                Event::Listed {
                    name,
                    zone,
                    outstanding,
                    leaving,
                },
            );
        }
        let lease = Lease {
            fence: 1,
            until: now + Duration::from_secs(60),
        };
        let mut actions = controller.step(now, Event::Lease(Some(lease)));
        actions.extend(controller.step(now, Event::Published(Version(2))));
        actions.extend(controller.step(now, Event::Tick));
        while let Some(action) = actions.pop() {
            calls += 1;
            let sight = Sight {
                version: Some(Version(1)),
                ..Sight::default()
            };
            if let Action::Read { name } = action {
                controller.step(now, Event::Seen { name, sight });
                actions.extend(controller.step(now, Event::Tick));
            }
        }
    }
    (calls, shares.len())
}

/// Load pattern: thousands of engines, of which the steps fill a few hundred slots. When all were kept up to date, each
/// version cost an order and a read of each.
#[test]
fn a_version_costs_the_same_calls_however_many_engines_are_listed() {
    let few = calls(1_000);
    assert_eq!(few, (768, 384), "a read and an order of each");
    assert_eq!(calls(2_000), few);
    assert_eq!(calls(4_000), few);
}
