//! Measures one routing decision by the number of endpoints in the set.

use criterion::{BenchmarkId, Criterion};
use pinereel_core::{
    Time, Version,
    endpoint::{Event, Listing, LoadReport, Set},
    hash,
    route::{Policy, Priority, Request, choose},
};
use std::{hint::black_box, time::Duration};

/// Endpoints in the set: 80 is the bounded subset of an entry, 2,900 the whole fleet.
const SIZES: [usize; 4] = [8, 80, 800, 2_900];
/// Distinct prefixes among the requests.
const PREFIXES: u64 = 64;

fn set_of(count: usize) -> Set {
    let mut set = Set::default();
    for i in 0..count {
        let name = format!("worker-{i}");
        set.step(
            Time::ZERO,
            Event::Listed(Listing {
                name: name.as_str().into(),
                incarnation: 1,
                address: "127.0.0.1:1".into(),
                zone: format!("zone-{}", i % 9).into(),
                pool: "llm".into(),
                slots: 8,
                leaving: false,
            }),
        );
        let Some((key, _)) = set.find(&name) else {
            continue;
        };
        let report = LoadReport {
            at: Time::ZERO,
            running: (i % 5) as u32,
            waiting: 0,
            version: Some(Version(3)),
            loading: None,
            leaving: false,
        };
        set.step(
            Time::ZERO,
            Event::Reported {
                key,
                incarnation: 1,
                report,
            },
        );
        if i.is_multiple_of(3) {
            set.step(Time::ZERO, Event::Started { key, tokens: 100 });
        }
    }
    set
}

fn bench(criterion: &mut Criterion) {
    let now = Time::from_millis(100);
    let policies = [
        ("baseline", Policy::BASELINE, false),
        ("two_choices", Policy::FULL, false),
        ("affinity", Policy::FULL, true),
    ];
    let mut group = criterion.benchmark_group("choose");
    for size in SIZES {
        let set = set_of(size);
        for (name, policy, prefix) in policies {
            let mut seed = 0;
            group.bench_function(BenchmarkId::new(name, size), |bencher| {
                bencher.iter(|| {
                    seed += 1;
                    let request = Request {
                        pool: "llm",
                        prefix: prefix.then_some(hash::mix(seed % PREFIXES)),
                        priority: Priority::Bulk,
                        zone: "zone-0",
                        versions: Some(Version(2)..=Version(3)),
                        excluded: &[],
                        repeatable: true,
                        seed,
                    };
                    black_box(choose(&set, &request, now, &policy))
                });
            });
        }
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .without_plots()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .sample_size(20)
        .configure_from_args();
    bench(&mut criterion);
    criterion.final_summary();
}
