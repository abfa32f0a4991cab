//! Counted slots of engines: each is that of a run that exists, for any order of placements, ends, aborted
//! tasks and changes of the endpoint list.

use pinereel_core::{
    Time,
    batch::{EngineKey, Fleet, Listing, Run, RunOutcome},
};
use proptest::prelude::*;
use std::{collections::BTreeMap, time::Duration};

const ENGINES: usize = 3;
const SLOTS: u32 = 4;

#[derive(Clone, Debug)]
enum Step {
    /// An item is placed; its task is spawned and not polled yet.
    Place,
    /// The nth task is polled for the first time.
    Poll(usize),
    /// The nth task is aborted, whether it was polled or not.
    Abort(usize),
    /// The run of the nth polled task ends.
    End(usize, RunOutcome),
    /// All tasks are aborted: the lot is closed or the lease is lost.
    AbortAll,
    /// An engine restarts, leaves the list, or returns to it.
    Restart(usize),
    Delist(usize),
    List(usize),
    /// The process is frozen.
    Freeze(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let (task, engine) = (0..16_usize, 0..ENGINES);
    let outcome = prop_oneof![
        Just(RunOutcome::Finished),
        Just(RunOutcome::Cancelled),
        Just(RunOutcome::Rejected),
        Just(RunOutcome::Failed),
    ];
    prop_oneof![
        12 => Just(Step::Place),
        6 => task.clone().prop_map(Step::Poll),
        4 => task.clone().prop_map(Step::Abort),
        6 => (task, outcome).prop_map(|(task, outcome)| Step::End(task, outcome)),
        1 => Just(Step::AbortAll),
        1 => engine.clone().prop_map(Step::Restart),
        1 => engine.clone().prop_map(Step::Delist),
        2 => engine.prop_map(Step::List),
        2 => (300..3_000_u64).prop_map(Step::Freeze),
    ]
}

/// A task of an item: its run, and whether it was polled.
struct Task {
    run: Run,
    is_polled: bool,
}

struct World {
    now: Time,
    fleet: Fleet,
    /// Incarnation of each engine, and whether it is listed.
    engines: [(u64, bool); ENGINES],
    tasks: Vec<Task>,
}

impl World {
    fn list(&mut self) {
        let listed = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, (_, listed))| *listed);
        let listings = listed.map(|(number, (incarnation, _))| Listing {
            id: format!("engine-{number}").into(),
            incarnation: *incarnation,
            address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
            slots: SLOTS,
            leaving: false,
            assigned: true,
            version: Some(1),
        });
        self.fleet.update(listings.collect::<Vec<_>>());
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Place => {
                if let Some(key) = self.fleet.pick(self.now, 1, None) {
                    let run = self.fleet.start_run(key).expect("picked");
                    self.tasks.push(Task {
                        run,
                        is_polled: false,
                    });
                }
            }
            Step::Poll(index) => {
                if let Some(task) = self.tasks.get_mut(index) {
                    task.is_polled = true;
                }
            }
            Step::Abort(index) => {
                if index < self.tasks.len() {
                    drop(self.tasks.remove(index));
                }
            }
            Step::End(index, outcome) => {
                if self.tasks.get(index).is_some_and(|task| task.is_polled) {
                    let task = self.tasks.remove(index);
                    self.fleet.end_run(self.now, task.run, outcome);
                }
            }
            Step::AbortAll => self.tasks.clear(),
            Step::Restart(engine) => {
                self.engines[engine].0 += 1;
                self.list();
            }
            Step::Delist(engine) => {
                self.engines[engine].1 = false;
                self.list();
            }
            Step::List(engine) => {
                self.engines[engine].1 = true;
                self.list();
            }
            Step::Freeze(millis) => self.now = self.now + Duration::from_millis(millis),
        }
    }

    /// Number of tasks by engine.
    fn tasks_by_engine(&self) -> BTreeMap<EngineKey, u32> {
        let mut counts = BTreeMap::new();
        for task in &self.tasks {
            *counts.entry(task.run.engine()).or_default() += 1;
        }
        counts
    }
}

proptest! {
    /// The slots counted at each engine are its runs, and without any, all slots can be used.
    #[test]
    fn the_used_slots_are_the_runs_that_exist(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World {
            now: Time::from_millis(1_000),
            fleet: Fleet::default(),
            engines: [(1, true); ENGINES],
            tasks: Vec::new(),
        };
        world.list();
        for step in &steps {
            world.apply(step);
            let expected = world.tasks_by_engine();
            prop_assert_eq!(world.fleet.active_runs() as usize, world.tasks.len());
            for (key, count) in &expected {
                let engine = world.fleet.get(*key);
                prop_assert_eq!(engine.map(|engine| engine.active_runs()), Some(*count));
            }
            let listed = world.fleet.iter().filter(|(key, _)| !expected.contains_key(key));
            for (_, engine) in listed {
                prop_assert_eq!(engine.active_runs(), 0);
            }
        }
        world.tasks.clear();
        world.engines = world.engines.map(|(incarnation, _)| (incarnation, true));
        world.list();
        // Longer than any backoff.
        world.now = world.now + Duration::from_secs(5);
        let keys: Vec<_> = world.fleet.iter().map(|(key, _)| key).collect();
        for key in &keys {
            world.fleet.first_event_received(*key);
        }
        let mut runs = Vec::new();
        while let Some(key) = world.fleet.pick(world.now, 1, None) {
            runs.extend(world.fleet.start_run(key));
        }
        prop_assert_eq!(runs.len(), ENGINES * SLOTS as usize);
    }
}
