//! Decisions of the live path: routing, the set of endpoints, the subset, admission.

use super::{
    fit::Slope,
    meter::{bytes, micros},
};
use compact_str::format_compact;
use pinereel_core::{
    Time, Version,
    admit::{self, Queue, RequestKey},
    endpoint::{AttemptEnd, Event, Key, Listing, LoadReport, Set, subset},
    route::{Policy, Priority, Request, choose},
};
use std::{io, time::Duration};

/// Availability zones of the target.
const ZONES: usize = 9;
/// Endpoints in the sets that memory is measured with.
const IDLE: [usize; 3] = [5_000, 20_000, 50_000];
/// The same, with a full history of starts and ends each.
const BUSY: [usize; 3] = [500, 2_900, 5_000];
/// Starts and ends that fill an endpoint's history.
const HISTORY: usize = 256;

/// Measures all of it.
///
/// # Errors
/// The kernel doesn't tell processor time or memory.
pub fn measure() -> io::Result<Vec<Slope>> {
    Ok(vec![
        routing(),
        reports(),
        covers(),
        memory("endpoint_idle", IDLE)?,
        memory("endpoint_busy", BUSY)?,
        queue(),
    ])
}

/// A set of endpoints, each with a load report.
pub(super) fn set_of(count: usize) -> (Set, Vec<Key>) {
    let mut set = Set::default();
    let keys = (0..count).map(|i| {
        let name = format_compact!("worker-{i}");
        let instance = Listing {
            name: name.clone(),
            incarnation: 1,
            address: format_compact!("10.0.{}.{}:8000", i / 250, i % 250),
            zone: format_compact!("zone-{}", i % ZONES),
            pool: "llm".into(),
            slots: 8,
            leaving: false,
        };
        set.step(Time::ZERO, Event::Listed(instance));
        let (key, _) = set.find(&name).expect("listed just now");
        set.step(Time::ZERO, reported(key, i));
        key
    });
    let keys = keys.collect();
    (set, keys)
}

fn reported(key: Key, i: usize) -> Event {
    let report = LoadReport {
        at: Time::from_millis(i as u64),
        running: (i % 5) as u32,
        waiting: 0,
        version: Some(Version(3)),
        loading: None,
        leaving: false,
    };
    Event::Reported {
        key,
        incarnation: 1,
        report,
    }
}

fn routing() -> Slope {
    let mut points = Vec::new();
    for count in [8, 64, 256, 800, 2_900] {
        let (set, _) = set_of(count);
        let mut seed = 0;
        let took = micros(|| {
            seed += 1;
            let request = Request {
                pool: "llm",
                prefix: Some(seed % 64),
                priority: Priority::Bulk,
                zone: "zone-0",
                versions: Some(Version(2)..=Version(3)),
                excluded: &[],
                repeatable: true,
                seed,
            };
            choose(&set, &request, Time::from_millis(100), &Policy::FULL)
        });
        points.push((count as f64, took));
    }
    Slope::of("choose", "µs a choice", "endpoint", points)
}

fn reports() -> Slope {
    let mut points = Vec::new();
    for count in [8, 64, 800, 2_900] {
        let (mut set, keys) = set_of(count);
        let mut at = count;
        let took = micros(|| {
            at += 1;
            set.step(Time::from_millis(at as u64), reported(keys[at % count], at))
        });
        points.push((count as f64, took));
    }
    Slope::of("report", "µs a load report", "endpoint", points)
}

/// One look whether an endpoint belongs to an entry's subset.
fn covers() -> Slope {
    let mut points = Vec::new();
    for count in [9, 90, 180, 350] {
        let names: Vec<_> = (0..count).map(|i| format_compact!("entry-{i}")).collect();
        let zones: Vec<_> = (0..ZONES).map(|i| format_compact!("zone-{i}")).collect();
        let entries: Vec<_> = names
            .iter()
            .enumerate()
            .map(|(i, name)| subset::Entry {
                name,
                zone: &zones[i % ZONES],
            })
            .collect();
        let cover = subset::cover(count, 2_900, 64);
        let mut i = 0;
        let took = micros(|| {
            i += 1;
            let name = format_compact!("worker-{}", i % 2_900);
            subset::contains(
                entries[i % count],
                &entries,
                &name,
                &zones[i % ZONES],
                cover,
            )
        });
        points.push((count as f64, took));
    }
    Slope::of("subset", "µs an endpoint", "entry", points)
}

/// Endpoints whose histories of starts and ends are full.
pub(super) fn busy_set(count: usize) -> Set {
    let (mut set, keys) = set_of(count);
    for key in keys {
        for i in 0..HISTORY {
            let now = Time::from_millis(1_000_000 + i as u64);
            set.step(now, Event::Started { key, tokens: 1 });
            let end = Event::Finished {
                key,
                tokens: 1,
                took: Duration::from_millis(1),
                end: AttemptEnd::Completed,
            };
            set.step(now, end);
        }
    }
    set
}

fn memory(name: &'static str, sizes: [usize; 3]) -> io::Result<Slope> {
    let mut points = Vec::new();
    for count in sizes {
        points.push((count as f64, bytes(name, count)? / 1e3));
    }
    Ok(Slope::of(name, "KB", "endpoint", points))
}

/// One request from its arrival to its end, behind others that wait.
fn queue() -> Slope {
    let mut points = Vec::new();
    for waiting in [0, 64, 256, 1_000] {
        let limits = admit::Limits {
            max_waiting: waiting + 8,
            ..admit::Limits::default()
        };
        let mut queue = Queue::new(limits, 1);
        queue.step(Time::ZERO, admit::Event::Capacity { slots: 8 });
        let far = Time::from_millis(u64::MAX / 10_000);
        let mut next = 0;
        let mut arrive = |queue: &mut Queue, now| {
            next += 1;
            let event = admit::Event::Arrived {
                key: RequestKey(next),
                priority: Priority::Live,
                deadline: far,
            };
            queue.step(now, event);
            next
        };
        for _ in 0..waiting + 8 {
            arrive(&mut queue, Time::ZERO);
        }
        // Tickets start in the order of arrival, so the oldest always runs.
        let mut oldest = 0;
        let took = micros(|| {
            oldest += 1;
            let now = Time::from_millis(oldest);
            arrive(&mut queue, now);
            let key = RequestKey(oldest);
            queue.step(now, admit::Event::Finished { key })
        });
        points.push((waiting as f64, took));
    }
    Slope::of("queue", "µs a request", "request that waits", points)
}
