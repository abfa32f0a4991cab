//! Size and members of a service's working set, where many times as many engines are listed.

use compact_str::{CompactString, format_compact};
use pinereel_core::{
    Time, Version,
    endpoint::ServiceIndex,
    rollout::{
        Action, Controller, Demand, Event, Lease, Settings, Status, assign_models, working_set_size,
    },
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

/// Steps of eight trainers, by their items.
fn trainer_steps() -> Vec<Demand> {
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
    let count = working_set_size(index.count(&SERVICE), 6, demands);
    index.ranked(&SERVICE).take(count).cloned().collect()
}

#[test]
fn the_working_set_grows_with_demand_and_not_with_the_number_of_listed_engines() {
    for listed in [1_000, 2_000, 4_000, 12_000] {
        assert_eq!(working_set_size(listed, 6, &trainer_steps()), 384);
    }
    let twice: Vec<_> = trainer_steps().into_iter().chain(trainer_steps()).collect();
    assert_eq!(working_set_size(12_000, 6, &twice), 768);
    assert_eq!(working_set_size(12_000, 12, &trainer_steps()), 192);
}

#[test]
fn the_working_set_is_all_engines_if_few_are_listed() {
    assert_eq!(working_set_size(44, 6, &trainer_steps()), 44);
    assert_eq!(working_set_size(8, 8, &demands(&[80])), 8);
    assert_eq!(working_set_size(0, 6, &trainer_steps()), 0);
}

#[test]
fn a_slightly_larger_step_does_not_change_the_working_set() {
    assert_eq!(working_set_size(5_000, 6, &demands(&[200])), 96);
    assert_eq!(working_set_size(5_000, 6, &demands(&[210])), 96);
}

#[test]
fn items_without_a_slot_enlarge_the_working_set() {
    let mut demands = demands(&[200]);
    demands[0].short = 400;
    assert_eq!(working_set_size(5_000, 6, &demands), 256);
}

#[test]
fn an_engine_that_leaves_is_replaced_by_one_other() {
    let mut index = index(2_000);
    let before = members(&index, &trainer_steps());
    for removed in before.iter().take(20) {
        let with = members(&index, &trainer_steps());
        index.remove(removed);
        let without = members(&index, &trainer_steps());
        assert_eq!(with.difference(&without).collect::<Vec<_>>(), [removed]);
        assert_eq!(without.difference(&with).count(), 1);
    }
}

/// Number of orders and reads for one new version of each model, and number of engines in the
/// working set.
fn count_calls(listed: usize) -> (usize, usize) {
    let (index, demands) = (index(listed), trainer_steps());
    let assigned = assign_models(members(&index, &demands), &demands);
    let now = Time::ZERO + Duration::from_secs(1);
    let mut calls = 0;
    for demand in &demands {
        let settings = Settings {
            max_loads: listed,
            min_serving_share: 0.0,
            ..Settings::default()
        };
        let mut controller = Controller::new(settings);
        let own = assigned.iter().filter(|(_, model)| **model == demand.model);
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
            expires_at: now + Duration::from_secs(60),
        };
        let mut actions = controller.step(now, Event::Lease(Some(lease)));
        actions.extend(controller.step(now, Event::Published(Version(2))));
        actions.extend(controller.step(now, Event::Tick));
        while let Some(action) = actions.pop() {
            calls += 1;
            let status = Status {
                version: Some(Version(1)),
                ..Status::default()
            };
            if let Action::Read { name } = action {
                controller.step(now, Event::Observed { name, status });
                actions.extend(controller.step(now, Event::Tick));
            }
        }
    }
    (calls, assigned.len())
}

/// With thousands of engines and steps that fill a few hundred slots, keeping all engines up to
/// date costs an order and a read of each engine for every version.
#[test]
fn a_version_costs_the_same_calls_however_many_engines_are_listed() {
    let few = count_calls(1_000);
    assert_eq!(few, (768, 384), "a read and an order of each");
    assert_eq!(count_calls(2_000), few);
    assert_eq!(count_calls(4_000), few);
}
