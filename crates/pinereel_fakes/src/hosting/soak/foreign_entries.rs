//! Entries of another writer that come and go in the store, beside all other faults. Instances must serve as
//! without them, and read the store about as often.

use super::{
    AFTER_EFFECT_TIME, FaultPeriod, OutOfTouch,
    foreign_specs::{draw_name, draw_spec},
    start_instance,
};
use crate::{
    child_process::Signal,
    hosting::{site::Site, store::Store},
};
use rand::{Rng as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::{cell::RefCell, ops::AddAssign, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep_until};

/// Page sizes of which a run has one.
const PAGE_SIZES: [usize; 4] = [1, 2, 50, 500];
/// Kinds of objects that instances read, some by name. The more frequent ones are listed more than once.
const KINDS: [&str; 10] = [
    "servers",
    "servers",
    "servers",
    "servers",
    "versions",
    "retirements",
    LEASE_KIND,
    "pinereel-lots",
    "scale",
    "pinereel-usage",
];
const LEASE_KIND: &str = "pinereel-duties";
/// Name under which instances keep their reports of crashes, of the kind [`LEASE_KIND`].
const CRASH_REPORTS: &str = "requests-that-crash";
/// Most kinds whose entries stand at the same time.
const MAX_BATCHES: usize = 4;
/// Most entries of a batch with large specs. Each takes up to 300 kB.
const MAX_LARGE_SPECS: usize = 4;
/// With entries, the store may receive this many times the calls that it receives without them, beside the later
/// pages of lists,
const MAX_CALL_RATIO: u64 = 3;
/// and this many more from each instance, each second.
const EXTRA_CALLS_PER_SECOND: u64 = 5;
/// How often each page of a list may be read, since answers may be lost.
const MAX_PAGE_READS: u64 = 2;
/// Reads and writes that the default settings allow an instance each second.
const MAX_CALLS_PER_SECOND: u64 = 100 + 50;

/// An entry, as it was written.
struct Entry {
    kind: &'static str,
    name: String,
    spec: Value,
}

/// Calls and the time in which they were received.
#[derive(Clone, Copy, Default)]
struct Calls {
    count: u64,
    time: Duration,
}

/// What was counted until the end of the faults.
#[derive(Default)]
pub(super) struct Observation {
    page_size: usize,
    entry_count: usize,
    changes: u64,
    /// Calls without later pages of lists.
    with_entries: Calls,
    without_entries: Calls,
}

/// Writes and removes entries until `end`. Then all processes are killed and started again while entries stand,
/// and the last entries stay in place, so that the checks of recovery judge lists that are read anew. The draws have a generator of their
/// own, so that the other faults of a seed do not depend on them.
pub(super) async fn write_until(
    site: &Rc<RefCell<Site>>,
    periods: &RefCell<Vec<FaultPeriod>>,
    seed: u64,
    end: Instant,
) -> Observation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x0066_6f72_6569_676e);
    let store = site.borrow().store.clone();
    let page_size = *PAGE_SIZES.choose(&mut rng).expect("the list is not empty");
    store.set_page_size(page_size);
    let mut observation = Observation {
        page_size,
        ..Observation::default()
    };
    loop {
        let pause = Duration::from_millis(rng.random_range(1_000..2_500));
        observation.without_entries += wait(&store, pause, end).await;
        let mut entries = Vec::new();
        for _ in 0..rng.random_range(1..=MAX_BATCHES) {
            let kind = *KINDS.choose(&mut rng).expect("the list is not empty");
            entries.extend(write_batch(&store, kind, page_size, &mut rng));
        }
        observation.entry_count += entries.len();
        observation.changes += MAX_BATCHES as u64;
        for _ in 0..2 {
            let pause = Duration::from_millis(rng.random_range(500..2_500));
            observation.with_entries += wait(&store, pause, end).await;
            if Instant::now() >= end {
                write_batch(&store, "servers", page_size, &mut rng);
                restart_all(&mut site.borrow_mut(), periods);
                return observation;
            }
            // Names at the ends of pages change as well.
            let first_kept = rng.random_range(0..entries.len());
            remove(&store, entries.drain(..first_kept));
            observation.changes += MAX_BATCHES as u64;
        }
        remove(&store, entries.drain(..));
        observation.changes += MAX_BATCHES as u64;
    }
}

/// Waits for `length`, at most until `end`, and counts the calls meanwhile.
async fn wait(store: &Store, length: Duration, end: Instant) -> Calls {
    let (started, count) = (Instant::now(), calls_without_pages(store));
    sleep_until(end.min(started + length)).await;
    Calls {
        count: calls_without_pages(store) - count,
        time: started.elapsed(),
    }
}

fn calls_without_pages(store: &Store) -> u64 {
    let pages: u64 = store.lists().values().map(|list| list.later_pages).sum();
    store.call_count() - pages
}

/// Writes entries of a kind that take more than a page. Objects that exist are not replaced.
fn write_batch(
    store: &Store,
    kind: &'static str,
    page_size: usize,
    rng: &mut ChaCha8Rng,
) -> Vec<Entry> {
    let count = rng.random_range(page_size + 8..page_size * 2 + 40);
    let mut names: Vec<_> = (0..count).map(|number| draw_name(number, rng)).collect();
    if kind == LEASE_KIND {
        names.push(CRASH_REPORTS.into());
    }
    let mut large_specs = rng.random_range(0..=MAX_LARGE_SPECS);
    let mut entries = Vec::new();
    for name in names {
        let is_large = large_specs > 0 && rng.random_bool(0.1);
        large_specs -= usize::from(is_large);
        let spec = draw_spec(is_large, rng);
        if store.spec(kind, &name).is_none() {
            store.put(kind, &name, spec.clone());
            entries.push(Entry { kind, name, spec });
        }
    }
    entries
}

/// Kills all processes, and starts them again.
fn restart_all(site: &mut Site, periods: &RefCell<Vec<FaultPeriod>>) {
    let from = Instant::now();
    periods.borrow_mut().push(FaultPeriod {
        instance: None,
        graceful: false,
        out_of_touch: OutOfTouch::All,
        from,
        to: from + AFTER_EFFECT_TIME,
    });
    for instance in &mut site.instances {
        instance.signal(Signal::KILL);
    }
    for index in 0..site.instances.len() {
        start_instance(site, index);
    }
}

/// Removes entries, unless an instance has replaced them.
fn remove(store: &Store, entries: impl IntoIterator<Item = Entry>) {
    for Entry { kind, name, spec } in entries {
        if store.spec(kind, &name) == Some(spec) {
            store.remove(kind, &name);
        }
    }
}

/// Records a violation for each list that read its pages again, for instances that called the store more often
/// than their settings allow, and for calls beyond the usual number. Returns a summary.
pub(super) fn check(site: &Site, observation: &Observation, time: Duration) -> String {
    let Observation {
        with_entries,
        without_entries,
        page_size,
        ..
    } = *observation;
    let store = &site.store;
    for (kind, list) in store.lists() {
        let pages = list.max_objects.div_ceil(page_size) as u64;
        let max_pages = list.begun * pages * MAX_PAGE_READS;
        if list.later_pages > max_pages {
            let (read, begun) = (list.later_pages, list.begun);
            site.recorder.record_violation(format!(
                "{read} later pages of {kind} were read for {begun} lists of at most {pages} pages"
            ));
        }
    }
    for instance in &site.instances {
        let (name, count) = (&instance.name, store.call_count_of(&instance.name));
        // Each process may use the calls of a second at once.
        let seconds = time.as_secs() + 1 + instance.ends().len() as u64 + 1;
        let max_count = seconds * MAX_CALLS_PER_SECOND;
        if count > max_count {
            site.recorder.record_violation(format!(
                "{name} called the store {count} times, where {max_count} are allowed"
            ));
        }
    }
    let instances = site.instances.len() as u64;
    let usual = without_entries.per_second();
    let max_rate = usual * MAX_CALL_RATIO + EXTRA_CALLS_PER_SECOND * instances;
    // A change may end each watch.
    let changes = observation.changes * instances;
    let max_count = (with_entries.time.as_secs_f64() * max_rate as f64) as u64 + changes;
    let count = with_entries.count;
    if count > max_count {
        site.recorder.record_violation(format!(
            "{count} calls of the store beside foreign entries, where {max_count} are allowed"
        ));
    }
    format!(
        "{} foreign entries, {page_size} a page: {} calls a second beside them, {usual} without",
        observation.entry_count,
        with_entries.per_second()
    )
}

impl Calls {
    fn per_second(self) -> u64 {
        (self.count as f64 / self.time.as_secs_f64().max(0.001)).ceil() as u64
    }
}

impl AddAssign for Calls {
    fn add_assign(&mut self, other: Self) {
        self.count += other.count;
        self.time += other.time;
    }
}
