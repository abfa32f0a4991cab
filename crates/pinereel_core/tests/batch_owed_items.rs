//! An item is owed whatever crashed under it: over orders of crashes, restarts, rejections and results, each
//! item that is not finished is queued or runs, and is placed as soon as an engine has room.

use compact_str::format_compact;
use pinereel_core::{
    Time,
    batch::{Failure, Fleet, Listing, Lot, RetryDecision, Run, RunOutcome},
};
use pinereel_port::lot::{Item, Sample, Submission};
use proptest::prelude::*;
use std::{collections::BTreeMap, time::Duration};

const ENGINES: usize = 4;
const SLOTS: u32 = 3;
const ITEMS: usize = 20;
const STEP: Duration = Duration::from_millis(60);
/// Longest time that an item is at no engine while one has room: the longest backoff of an engine, and a step.
const MAX_IDLE_TIME: Duration = Duration::from_millis(2_460);

#[derive(Clone, Debug)]
enum Action {
    /// An engine crashes with all runs on it, and restarts after some steps.
    Crashed(usize, u8),
    /// The oldest run of an engine ends this way.
    Completed(usize),
    Rejected(usize),
    Passed(u8),
}

fn action() -> impl Strategy<Value = Action> {
    let engine = 0..ENGINES;
    prop_oneof![
        6 => (engine.clone(), 1..30_u8).prop_map(|(e, steps)| Action::Crashed(e, steps)),
        2 => engine.clone().prop_map(Action::Completed),
        2 => engine.prop_map(Action::Rejected),
        6 => (1..15_u8).prop_map(Action::Passed),
    ]
}

struct World {
    now: Time,
    lot: Lot,
    fleet: Fleet,
    incarnations: [u64; ENGINES],
    /// Number of steps until a crashed engine is listed again.
    down: [u8; ENGINES],
    /// Runs by item, with the engine's index.
    running: BTreeMap<usize, (usize, Run)>,
}

impl World {
    fn new() -> Self {
        let item = |number| Item {
            id: format_compact!("i{number}"),
            path: "/lots/x".into(),
            headers: Vec::new(),
            body: "prompt".into(),
            group: format_compact!("g{}", number / 4),
            output_tokens_hint: None,
            scorer: None,
        };
        let submission = Submission {
            model: "m".into(),
            min_version: 1,
            required_groups: 5,
            items: (0..ITEMS).map(item).collect(),
        };
        let mut world = Self {
            now: Time::from_millis(1_000),
            lot: Lot::new(&submission, &[].into()),
            fleet: Fleet::default(),
            incarnations: [1; ENGINES],
            down: [0; ENGINES],
            running: BTreeMap::new(),
        };
        world.list();
        world
    }

    fn list(&mut self) {
        let up = (0..ENGINES).filter(|index| self.down[*index] == 0);
        let listings = up.map(|index| Listing {
            id: format_compact!("e{index}"),
            incarnation: self.incarnations[index],
            address: ([127, 0, 0, 1], 80).into(),
            slots: SLOTS,
            leaving: false,
            assigned: true,
            version: Some(1),
        });
        self.fleet.update(listings);
    }

    fn end_run(&mut self, item: usize, outcome: RunOutcome) {
        let Some((_, run)) = self.running.remove(&item) else {
            return;
        };
        self.fleet.end_run(self.now, run, outcome);
        if outcome == RunOutcome::Finished {
            let (id, output) = (format_compact!("i{item}"), None);
            self.lot.finish(item, Sample { item: id, output });
        } else {
            let decision = self.lot.run_failed(item, Failure::Interrupted, 3);
            assert_eq!(decision, RetryDecision::Retry);
        }
    }

    fn runs_on(&self, engine: usize) -> Vec<usize> {
        let runs = self
            .running
            .iter()
            .filter(|(_, (index, _))| *index == engine);
        runs.map(|(item, _)| *item).collect()
    }

    fn play(&mut self, action: Action) {
        match action {
            Action::Crashed(engine, steps) => {
                for item in self.runs_on(engine) {
                    self.end_run(item, RunOutcome::Failed);
                }
                self.incarnations[engine] += 1;
                self.down[engine] = steps;
                self.list();
            }
            Action::Completed(engine) => {
                let first = self.runs_on(engine).first().copied();
                first
                    .into_iter()
                    .for_each(|item| self.end_run(item, RunOutcome::Finished));
            }
            Action::Rejected(engine) => {
                let first = self.runs_on(engine).first().copied();
                first
                    .into_iter()
                    .for_each(|item| self.end_run(item, RunOutcome::Rejected));
            }
            Action::Passed(steps) => (0..steps).for_each(|_| self.pass()),
        }
    }

    /// Lets one step pass, and places items as the runner does.
    fn pass(&mut self) {
        self.now = self.now + STEP;
        self.down = self.down.map(|steps| steps.saturating_sub(1));
        self.list();
        while let Some(key) = self.fleet.pick(self.now, 1, None) {
            let Some(item) = self.lot.start() else { break };
            let engine = self.fleet.get(key).expect("picked").listing.id.clone();
            let index = engine[1..].parse().expect("a number");
            let run = self.fleet.start_run(key).expect("picked");
            self.running.insert(item, (index, run));
        }
    }
}

proptest! {
    #[test]
    fn an_item_is_queued_or_runs_until_it_is_finished(
        actions in prop::collection::vec(action(), 1..120),
    ) {
        let mut world = World::new();
        for action in actions {
            world.play(action);
            let finished = (0..ITEMS).filter(|item| world.lot.is_finished(*item)).count();
            prop_assert_eq!(finished + world.running.len() + world.lot.queued(), ITEMS);
        }
        // Calm: each item is placed soon, and all are complete.
        world.down = [0; ENGINES];
        let mut idle_since = world.now;
        while (0..ITEMS).any(|item| !world.lot.is_finished(item)) {
            world.pass();
            for item in world.running.keys().copied().collect::<Vec<_>>() {
                world.end_run(item, RunOutcome::Finished);
                idle_since = world.now;
            }
            prop_assert!(world.now.since(idle_since) <= MAX_IDLE_TIME);
        }
    }
}
