//! The cache of results that trainers have read.

use pinereel_core::{
    Time,
    batch::{ReadAnswer, ReadPlan, ResultsCache},
};
use pinereel_port::lot::{Output, Sample};
use proptest::prelude::*;
use std::time::Duration;

const LOT: &str = "lot";
/// Number of items of a lot.
const TOTAL: usize = 160;

fn sample(position: usize, bytes: usize) -> Sample {
    Sample {
        item: format!("item-{position}").into(),
        output: Some(Output {
            text: "x".repeat(bytes),
            versions: vec![1],
            score: None,
        }),
    }
}

/// A store with the results of one lot, each committed at the revision of its position plus one.
struct Store {
    committed: usize,
}

impl Store {
    fn answer(&self, from: usize, outages: u64) -> ReadAnswer {
        ReadAnswer {
            total: TOTAL,
            from,
            samples: (from..self.committed).map(|at| sample(at, 1)).collect(),
            revision: self.committed as u64,
            outages,
        }
    }
}

/// An instance that answers reads, and the calls that it makes for them.
#[derive(Default)]
struct Instance {
    cache: ResultsCache,
    lists: usize,
    watches: usize,
    former_calls: usize,
}

impl Instance {
    /// A read that waits until there is a result, and the results that it returns.
    fn read(&mut self, now: Time, store: &Store, from: usize, outages: u64) -> Vec<Sample> {
        let answer = store.answer(from, outages);
        // Formerly: a list, and a watch if it returned nothing.
        self.former_calls += 1 + usize::from(answer.samples.is_empty());
        match self.cache.plan(now, LOT, from, true, outages) {
            ReadPlan::Cached => {
                let (samples, total) = self.cache.results(LOT, from).expect("planned");
                assert_eq!(total, TOTAL);
                return samples.to_vec();
            }
            ReadPlan::Watch { revision, total } => {
                assert_eq!((revision <= answer.revision, total), (true, TOTAL));
                self.watches += 1;
                self.cache.record_watch(now, LOT, answer.clone());
            }
            ReadPlan::List => {
                self.lists += 1;
                self.watches += usize::from(answer.samples.is_empty());
                self.cache.record_list(now, LOT, answer.clone());
            }
        }
        answer.samples
    }
}

/// Four trainers made 1,159 lists and 111 watches of results in 56 s, since each read began with a
/// list.
#[test]
fn a_lot_that_is_read_twice_a_second_costs_one_list() {
    let mut instance = Instance::default();
    let mut store = Store { committed: 0 };
    let mut known = 0;
    let mut reads = 0;
    // A group of 16 results comes in once a second.
    for half_second in 0..40 {
        let now = Time::from_millis(500 * half_second);
        known += instance.read(now, &store, known, 0).len();
        reads += 1;
        if half_second % 2 == 1 {
            store.committed = (store.committed + 16).min(TOTAL);
        }
        if known == TOTAL {
            break;
        }
    }
    assert_eq!(known, TOTAL);
    println!(
        "{reads} reads: {} calls before; {} lists, {} watches now",
        instance.former_calls, instance.lists, instance.watches
    );
    assert_eq!(instance.lists, 1);
    // The list of the first read returned nothing and was followed by a watch.
    assert_eq!(instance.lists + instance.watches, reads + 1);
    assert_eq!(
        instance.former_calls,
        reads + 11,
        "formerly two for each empty read"
    );
    // The trainer reads all again, as after its own restart.
    let again = instance.read(Time::from_millis(11_000), &store, 0, 0);
    assert_eq!(again.len(), TOTAL);
    assert_eq!(instance.lists + instance.watches, reads + 1, "no call");
}

/// A lot that has ended and is removed from the store must not be answered for longer than it takes
/// to notice.
#[test]
fn results_are_not_used_long_after_the_last_answer_of_the_store() {
    let mut instance = Instance::default();
    let store = Store { committed: 20 };
    instance.read(Time::ZERO, &store, 0, 0);
    let plan = |cache: &mut ResultsCache, ms| cache.plan(Time::from_millis(ms), LOT, 3, true, 0);
    assert_eq!(plan(&mut instance.cache, 4_900), ReadPlan::Cached);
    assert_eq!(plan(&mut instance.cache, 5_100), ReadPlan::List);
    assert_eq!(instance.cache.size(), (0, 0));
}

/// After an outage the store may accept a watch from a revision whose history it has lost, and never
/// answer it. Results that are cached are still valid.
#[test]
fn the_end_of_cached_results_is_listed_again_after_an_outage() {
    let mut instance = Instance::default();
    let store = Store { committed: 20 };
    instance.read(Time::ZERO, &store, 0, 0);
    let mut plan = |from, outages| instance.cache.plan(Time::ZERO, LOT, from, true, outages);
    assert!(matches!(plan(20, 0), ReadPlan::Watch { revision: 20, .. }));
    assert_eq!(plan(20, 1), ReadPlan::List);
    assert_eq!(plan(19, 1), ReadPlan::Cached);
    // Without a wait, beyond the end, or where nothing can follow: as before.
    assert_eq!(
        instance.cache.plan(Time::ZERO, LOT, 20, false, 0),
        ReadPlan::List
    );
    assert_eq!(
        instance.cache.plan(Time::ZERO, LOT, 21, true, 0),
        ReadPlan::List
    );
    assert_eq!(
        instance.cache.plan(Time::ZERO, "other", 0, true, 0),
        ReadPlan::List
    );
    instance
        .cache
        .record_list(Time::ZERO, LOT, Store { committed: TOTAL }.answer(20, 0));
    assert_eq!(
        instance.cache.plan(Time::ZERO, LOT, TOTAL, true, 0),
        ReadPlan::List
    );
}

/// Instances have 120 MB to 512 MB, and trainers may read any number of lots of any size.
#[test]
fn the_cache_is_bounded_in_lots_and_bytes() {
    let mut cache = ResultsCache::default();
    let mut now = Time::ZERO;
    for (lots, text_bytes) in [(200, 10), (40, 8_000), (3, 50_000)] {
        for lot in 0..lots {
            now = now + Duration::from_millis(1);
            let answer = ReadAnswer {
                total: TOTAL,
                from: 0,
                samples: (0..TOTAL).map(|at| sample(at, text_bytes)).collect(),
                revision: 1,
                outages: 0,
            };
            cache.record_list(now, &format!("{text_bytes}-{lot}"), answer);
            let (count, bytes) = cache.size();
            assert!(
                count <= 16 && bytes <= 6 << 20,
                "{count} lots, {bytes} bytes"
            );
        }
    }
    // Four lots of 1.3 MB; the lots of 8 MB were not cached.
    assert_eq!(cache.size().0, 4);
}

proptest! {
    /// Reads at any positions, at several instances, while results come in, outages end, and answers
    /// to concurrent reads arrive late: a position returns the same results at all instances, and no
    /// fewer than before at the same instance.
    #[test]
    fn a_position_never_returns_less_than_before(
        steps in prop::collection::vec((0_usize..3, 0_usize..TOTAL + 2, 0_usize..20, any::<bool>(), 0_u64..900), 1..120)
    ) {
        let mut instances: Vec<_> = (0..3).map(|_| Instance::default()).collect();
        let mut store = Store { committed: 0 };
        let (mut now, mut outages) = (Time::ZERO, 0);
        let mut late: Option<(usize, ReadAnswer, bool)> = None;
        // The end of the results that each instance has returned, by position of the read.
        let mut returned = vec![vec![0; TOTAL + 2]; 3];
        for (index, from, commits, ends_outage, pause_ms) in steps {
            now = now + Duration::from_millis(pause_ms);
            let instance = &mut instances[index];
            // A list or watch that began before what follows.
            let begun = (index, store.answer(from, outages), commits % 2 == 0);
            let samples = instance.read(now, &store, from, outages);
            for (offset, result) in samples.iter().enumerate() {
                prop_assert_eq!(result, &sample(from + offset, 1));
            }
            let end = from + samples.len();
            prop_assert!(end <= store.committed.max(from));
            prop_assert!(end >= returned[index][from], "results at {from} up to {end} only");
            returned[index][from] = end;
            if let Some((index, answer, is_list)) = late.take() {
                let cache = &mut instances[index].cache;
                if is_list {
                    cache.record_list(now, LOT, answer);
                } else {
                    cache.record_watch(now, LOT, answer);
                }
            }
            late = Some(begun);
            store.committed = (store.committed + commits).min(TOTAL);
            outages += u64::from(ends_outage && commits == 0);
        }
    }
}
