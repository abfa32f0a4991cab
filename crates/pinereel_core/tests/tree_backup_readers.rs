//! Which children read the store for a root that gets no answers, over orders of events: children that the
//! store does not answer either, that come, leave or go silent, and outages that end.

use compact_str::{CompactString, format_compact};
use pinereel_core::{
    Time,
    tree::{BackupReaders, MAX_READER_GROUPS, MAX_ROOT_GROUPS},
};
use proptest::prelude::*;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const STEP: Duration = Duration::from_millis(50);
/// Time from an appointment to the first report: a new connection, two calls and two links.
const READ_TIME: Duration = Duration::from_millis(150);
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time from the begin until data arrive if the store answers a child of any group that is asked.
const MAX_TIME_TO_DATA: Duration = Duration::from_millis(750);

fn child(index: usize) -> CompactString {
    format_compact!("10.0.0.{index}:7100")
}

fn children(count: usize) -> Vec<CompactString> {
    (0..count).map(child).collect()
}

/// An outage for the root, and the children that the store answers.
struct Outage {
    now: Time,
    readers: BackupReaders,
    answered: BTreeSet<CompactString>,
    /// Since when each appointed child has read, and when it reported last.
    reading: BTreeMap<CompactString, (Time, Option<Time>)>,
    asked: BTreeSet<CompactString>,
}

impl Outage {
    fn new(answered: impl IntoIterator<Item = usize>) -> Self {
        Self {
            now: Time::ZERO + Duration::from_secs(10),
            readers: BackupReaders::default(),
            answered: answered.into_iter().map(child).collect(),
            reading: BTreeMap::new(),
            asked: BTreeSet::new(),
        }
    }

    /// Lets one step pass; the appointed children that the store answers report what they have read.
    fn step(&mut self, max_groups: usize, children: &[CompactString]) {
        self.now = self.now + STEP;
        self.readers.step(self.now, max_groups, children);
        let appointed: BTreeSet<_> = self.readers.appointed().iter().cloned().collect();
        self.asked.extend(appointed.iter().cloned());
        self.reading.retain(|reader, _| appointed.contains(reader));
        for reader in appointed {
            let (since, reported) = self
                .reading
                .entry(reader.clone())
                .or_insert((self.now, None));
            let is_due = reported.is_none_or(|at| self.now.since(at) >= REPORT_INTERVAL);
            if self.answered.contains(&reader) && self.now.since(*since) >= READ_TIME && is_due {
                *reported = Some(self.now);
                self.readers.on_report(self.now, &reader, Duration::ZERO);
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    /// The store begins or ceases to answer a child.
    Toggled(usize),
    ChildCount(usize),
    /// The store answers the root again, or no longer.
    RootToggled,
    Passed(u8),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..40_usize).prop_map(Event::Toggled),
        (0..33_usize).prop_map(Event::ChildCount),
        Just(Event::RootToggled),
        (1..60_u8).prop_map(Event::Passed),
    ]
}

proptest! {
    /// Readers are children, few of them, and only while the store does not answer the root. Data that are
    /// taken for fresh are those of a child that the store answered that long ago.
    #[test]
    fn few_children_read_and_only_in_an_outage(events in prop::collection::vec(event(), 1..40)) {
        let mut outage = Outage::new(0..20);
        let (mut count, mut lacks_answers) = (10, true);
        for event in events {
            let mut steps = 1;
            match event {
                Event::Toggled(index) => {
                    let name = child(index);
                    if !outage.answered.remove(&name) {
                        outage.answered.insert(name);
                    }
                }
                Event::ChildCount(new) => count = new,
                Event::RootToggled => lacks_answers = !lacks_answers,
                Event::Passed(passed) => steps = passed,
            }
            for _ in 0..steps {
                let groups = if lacks_answers { MAX_ROOT_GROUPS } else { 0 };
                let children = children(count);
                outage.step(groups, &children);
                let appointed = outage.readers.appointed();
                prop_assert!(appointed.iter().all(|reader| children.contains(reader)));
                prop_assert!(appointed.len() <= 3 * MAX_ROOT_GROUPS);
                prop_assert!(lacks_answers || appointed.is_empty());
                let age = outage.readers.age(outage.now);
                prop_assert!(lacks_answers || age.is_none());
                let stranger: CompactString = "10.0.1.1:7100".into();
                prop_assert!(!outage.readers.on_report(outage.now, &stranger, Duration::ZERO));
            }
        }
        // Whatever happened before, a child that the store answers delivers after the next retry at the latest.
        outage.answered.insert(child(0));
        for _ in 0..Duration::from_secs(5).as_millis() / STEP.as_millis() {
            outage.step(MAX_ROOT_GROUPS, &children(1));
        }
        let age = outage.readers.age(outage.now);
        prop_assert!(age.is_some_and(|age| age <= REPORT_INTERVAL), "{age:?}");
    }

    /// If the store answers one of the children that are asked, data arrive in time; the others cease to read.
    #[test]
    fn data_arrive_in_time_if_the_store_answers_a_child_that_is_asked(
        count in 1..33_usize,
        answered in 0..9_usize,
    ) {
        let mut outage = Outage::new([answered.min(count - 1)]);
        let children = children(count);
        let began_at = outage.now;
        while outage.readers.age(outage.now).is_none() {
            prop_assert!(outage.now.since(began_at) <= MAX_TIME_TO_DATA);
            outage.step(MAX_ROOT_GROUPS, &children);
        }
        outage.step(MAX_ROOT_GROUPS, &children);
        prop_assert_eq!(outage.readers.appointed(), [child(answered.min(count - 1))]);
    }

    /// While the store answers nobody, the number of children that read does not depend on their number.
    #[test]
    fn an_outage_of_the_whole_store_makes_few_children_read(count in 1..33_usize) {
        let mut outage = Outage::new([]);
        let mut reading = 0;
        for _ in 0..Duration::from_secs(3).as_millis() / STEP.as_millis() {
            outage.step(MAX_ROOT_GROUPS, &children(count));
            reading += usize::from(!outage.readers.appointed().is_empty());
        }
        prop_assert!(outage.asked.len() <= 9, "{:?}", outage.asked);
        prop_assert!(reading <= 50, "{reading} of 60 steps");
    }
}

/// An appointed reader asks one group of its own children, so that a chain of instances that the store does
/// not answer costs a bounded number of calls.
#[test]
fn a_reader_asks_one_group_of_its_children() {
    let mut outage = Outage::new([5]);
    for _ in 0..20 {
        outage.step(MAX_READER_GROUPS, &children(10));
    }
    let asked: BTreeSet<_> = children(3).into_iter().collect();
    assert_eq!(outage.asked, asked);
}
