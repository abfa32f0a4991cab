//! What makes an endpoint leave for good, over orders of events: connections that are refused, lists, hints,
//! removals, restarts, cuts that begin and end, and probes.

use pinereel_core::{
    Time,
    endpoint::{AttemptEnd, Event, Key, Listing, Set, State},
};
use proptest::prelude::*;
use std::{collections::BTreeSet, time::Duration};

const NAMES: [&str; 3] = ["e1", "e2", "e3"];
/// Longest time from the end of a cut until an endpoint is used again.
const MAX_RECOVERY_TIME: Duration = Duration::from_millis(2_100);
const STEP: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
enum Action {
    /// An attempt at an endpoint; it ends this way if the endpoint can be reached.
    Attempt(usize, AttemptEnd),
    Listed(usize, bool),
    Unlisted(usize),
    Restarted(usize),
    Hinted(usize),
    /// The link to an endpoint fails or recovers.
    CutToggled(usize),
    Passed(u8),
}

fn action() -> impl Strategy<Value = Action> {
    let index = 0..NAMES.len();
    let end = prop_oneof![
        8 => Just(AttemptEnd::Completed),
        3 => Just(AttemptEnd::Failed),
        1 => Just(AttemptEnd::Overloaded),
        1 => Just(AttemptEnd::Cancelled),
    ];
    prop_oneof![
        20 => (index.clone(), end).prop_map(|(i, end)| Action::Attempt(i, end)),
        3 => (index.clone(), prop::bool::weighted(0.1)).prop_map(|(i, l)| Action::Listed(i, l)),
        1 => index.clone().prop_map(Action::Unlisted),
        1 => index.clone().prop_map(Action::Restarted),
        1 => index.clone().prop_map(Action::Hinted),
        4 => index.prop_map(Action::CutToggled),
        6 => (1..40_u8).prop_map(Action::Passed),
    ]
}

/// An entry with a few endpoints, and what is true of them.
struct World {
    now: Time,
    set: Set,
    incarnations: [u64; 3],
    cut: BTreeSet<usize>,
    /// Incarnations that the list or a hint has shown as leaving.
    leaving: BTreeSet<(usize, u64)>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Time::from_millis(1_000),
            set: Set::default(),
            incarnations: [1; 3],
            cut: BTreeSet::new(),
            leaving: BTreeSet::new(),
        };
        (0..NAMES.len()).for_each(|index| world.list(index, false));
        world
    }

    fn key(&self, index: usize) -> Option<Key> {
        self.set.find(NAMES[index]).map(|(key, _)| key)
    }

    fn list(&mut self, index: usize, leaving: bool) {
        if leaving {
            self.leaving.insert((index, self.incarnations[index]));
        }
        let listing = Listing {
            name: NAMES[index].into(),
            incarnation: self.incarnations[index],
            address: "127.0.0.1:1".into(),
            zone: "a".into(),
            pool: "p".into(),
            slots: 8,
            leaving,
        };
        self.set.step(self.now, Event::Listed(listing));
    }

    fn attempt(&mut self, index: usize, end: AttemptEnd) {
        let Some(key) = self.key(index) else { return };
        let end = if self.cut.contains(&index) {
            AttemptEnd::ConnectionRefused
        } else {
            end
        };
        self.set.step(self.now, Event::Started { key, tokens: 0 });
        let finished = Event::Finished {
            key,
            tokens: 0,
            took: Duration::ZERO,
            end,
        };
        self.set.step(self.now, finished);
    }

    fn play(&mut self, action: Action) {
        match action {
            Action::Attempt(index, end) => self.attempt(index, end),
            Action::Listed(index, leaving) => self.list(index, leaving),
            Action::Unlisted(index) => {
                let name = NAMES[index].into();
                self.set.step(self.now, Event::Unlisted { name });
            }
            Action::Restarted(index) => {
                self.incarnations[index] += 1;
                self.list(index, false);
            }
            Action::Hinted(index) => {
                let incarnation = self.incarnations[index];
                self.leaving.insert((index, incarnation));
                let name = NAMES[index].into();
                self.set.step(self.now, Event::Hinted { name, incarnation });
            }
            Action::CutToggled(index) => {
                if !self.cut.remove(&index) {
                    self.cut.insert(index);
                }
            }
            Action::Passed(steps) => (0..steps).for_each(|_| self.pass()),
        }
    }

    /// Lets one step pass, with the probes that are due.
    fn pass(&mut self) {
        self.now = self.now + STEP;
        let due: Vec<_> = self
            .set
            .due_probes(self.now)
            .map(|(key, e)| (key, e.name.clone()))
            .collect();
        for (key, name) in due {
            let index = NAMES
                .iter()
                .position(|known| *known == name)
                .expect("a known name");
            let reached = !self.cut.contains(&index);
            self.set.step(self.now, Event::Probed { key, reached });
        }
    }

    fn is_leaving(&self, index: usize) -> bool {
        self.leaving.contains(&(index, self.incarnations[index]))
    }
}

proptest! {
    /// Failures, refusals and cuts in any order never make an endpoint leave.
    #[test]
    fn only_the_list_a_hint_or_its_own_word_make_an_endpoint_leave(
        actions in prop::collection::vec(action(), 1..80),
    ) {
        let mut world = World::new();
        for action in actions {
            world.play(action);
            for index in 0..NAMES.len() {
                let Some(key) = world.key(index) else { continue };
                let endpoint = world.set.get(key).expect("a current endpoint");
                let leaving = endpoint.state == State::Leaving;
                prop_assert!(!leaving || world.is_leaving(index), "{endpoint:?}");
            }
            let hints = world.set.hints();
            for name in hints.keys() {
                let index = NAMES.iter().position(|known| known == name).expect("a known name");
                prop_assert!(world.is_leaving(index));
            }
            let probed = world.set.due_probes(Time(u64::MAX)).count();
            prop_assert!(probed <= NAMES.len());
        }
    }

    /// However long a cut was and however often connections failed, an endpoint is used again soon after it.
    #[test]
    fn an_endpoint_is_used_again_soon_after_its_link_has_recovered(
        cut_ms in 100..40_000_u64,
        interval_ms in 20..2_000_u64,
        cuts in 1..4,
    ) {
        let mut world = World::new();
        for _ in 0..cuts {
            world.cut.extend(0..NAMES.len());
            let (begin, mut next) = (world.now, world.now);
            while world.now.since(begin) < Duration::from_millis(cut_ms) {
                if world.now >= next {
                    (0..NAMES.len()).for_each(|index| world.attempt(index, AttemptEnd::Completed));
                    next = next + Duration::from_millis(interval_ms);
                }
                world.pass();
            }
            world.cut.clear();
            let end = world.now;
            while world.now.since(end) < MAX_RECOVERY_TIME {
                world.pass();
            }
            for index in 0..NAMES.len() {
                let key = world.key(index).expect("listed");
                prop_assert_eq!(world.set.get(key).map(|endpoint| endpoint.state), Some(State::Live));
            }
        }
    }
}
