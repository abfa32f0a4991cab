//! Decisions about live requests: routing, the endpoint set, the subset, and admission.

use super::{
    fit::Measurement,
    meter::{cpu_micros_per_call, measure_bytes},
};
use compact_str::format_compact;
use pinereel_core::{
    Time, Version,
    admit::{self, Queue, RequestKey},
    endpoint::{AttemptEnd, Event, Key, Listing, LoadReport, Set, subset},
    route::{Policy, Priority, Request, choose},
};
use std::{io, time::Duration};

/// Number of availability zones.
const ZONES: usize = 9;
/// Numbers of endpoints in the sets that memory is measured with.
const IDLE_ENDPOINTS: [usize; 3] = [5_000, 20_000, 50_000];
/// Numbers of endpoints in the sets whose endpoints have a full history of attempts.
const BUSY_ENDPOINTS: [usize; 3] = [500, 2_900, 5_000];
/// Number of attempts that fill an endpoint's history.
const HISTORY_LENGTH: usize = 256;

/// Measures routing, load reports, the subset, memory and admission.
///
/// # Errors
/// Memory could not be measured, see [`measure_bytes`].
pub fn measure() -> io::Result<Vec<Measurement>> {
    Ok(vec![
        measure_choice(),
        measure_load_reports(),
        measure_subset(),
        measure_memory("endpoint_idle", IDLE_ENDPOINTS)?,
        measure_memory("endpoint_busy", BUSY_ENDPOINTS)?,
        measure_queue(),
    ])
}

/// A set of `count` endpoints, each with a load report. Returns it with the keys of the endpoints.
pub(super) fn endpoint_set(count: usize) -> (Set, Vec<Key>) {
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
        let (key, _) = set.find(&name).expect("the endpoint was just listed");
        set.step(Time::ZERO, report_event(key, i));
        key
    });
    let keys = keys.collect();
    (set, keys)
}

fn report_event(key: Key, index: usize) -> Event {
    let report = LoadReport {
        at: Time::from_millis(index as u64),
        running: (index % 5) as u32,
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

fn measure_choice() -> Measurement {
    let mut points = Vec::new();
    for count in [8, 64, 256, 800, 2_900] {
        let (set, _) = endpoint_set(count);
        let mut seed = 0;
        let micros = cpu_micros_per_call(|| {
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
        points.push((count as f64, micros));
    }
    Measurement::new("choose", "µs a choice", "endpoint", points)
}

fn measure_load_reports() -> Measurement {
    let mut points = Vec::new();
    for count in [8, 64, 800, 2_900] {
        let (mut set, keys) = endpoint_set(count);
        let mut at = count;
        let micros = cpu_micros_per_call(|| {
            at += 1;
            set.step(
                Time::from_millis(at as u64),
                report_event(keys[at % count], at),
            )
        });
        points.push((count as f64, micros));
    }
    Measurement::new("report", "µs a load report", "endpoint", points)
}

/// CPU time of checking whether an endpoint belongs to an entry's subset, as a function of the
/// number of entries.
fn measure_subset() -> Measurement {
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
        let micros = cpu_micros_per_call(|| {
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
        points.push((count as f64, micros));
    }
    Measurement::new("subset", "µs an endpoint", "entry", points)
}

/// A set of `count` endpoints whose histories of attempts are full.
pub(super) fn busy_endpoint_set(count: usize) -> Set {
    let (mut set, keys) = endpoint_set(count);
    for key in keys {
        for i in 0..HISTORY_LENGTH {
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

fn measure_memory(name: &'static str, sizes: [usize; 3]) -> io::Result<Measurement> {
    let mut points = Vec::new();
    for count in sizes {
        points.push((count as f64, measure_bytes(name, count)? / 1e3));
    }
    Ok(Measurement::new(name, "KB", "endpoint", points))
}

/// CPU time of a request, from its arrival to its end, as a function of the waiting requests.
fn measure_queue() -> Measurement {
    let mut points = Vec::new();
    for waiting in [0, 64, 256, 1_000] {
        let limits = admit::Limits {
            max_waiting: waiting + 8,
            ..admit::Limits::default()
        };
        let mut queue = Queue::new(limits, 1);
        queue.step(Time::ZERO, admit::Event::Capacity { slots: 8 });
        let deadline = Time::from_millis(u64::MAX / 10_000);
        let mut next = 0;
        let mut arrive = |queue: &mut Queue, now| {
            next += 1;
            let event = admit::Event::Arrived {
                key: RequestKey(next),
                priority: Priority::Live,
                deadline,
            };
            queue.step(now, event);
            next
        };
        for _ in 0..waiting + 8 {
            arrive(&mut queue, Time::ZERO);
        }
        // Requests of one priority are admitted in the order of their arrival, so the oldest one is
        // always running.
        let mut oldest = 0;
        let micros = cpu_micros_per_call(|| {
            oldest += 1;
            let now = Time::from_millis(oldest);
            arrive(&mut queue, now);
            let key = RequestKey(oldest);
            queue.step(now, admit::Event::Finished { key })
        });
        points.push((waiting as f64, micros));
    }
    Measurement::new("queue", "µs a request", "request that waits", points)
}
