//! Benchmarks the rollout controller against the number of engines.

use criterion::{BatchSize, BenchmarkId, Criterion};
use pinereel_core::{
    Time, Version,
    rollout::{Action, Controller, Event, Lease, Settings, Status},
};
use std::{hint::black_box, time::Duration};

/// Numbers of engines in the pool; 2,900 is the whole fleet.
const SIZES: [usize; 3] = [8, 290, 2_900];
const HOUR: Duration = Duration::from_secs(3_600);

/// A controller whose engines all serve version 1, which is the target.
fn idle_controller(count: usize) -> Controller {
    let mut controller = Controller::new(Settings {
        max_loads: count,
        max_reads: count,
        ..Settings::default()
    });
    for i in 0..count {
        controller.step(
            Time::ZERO,
            Event::Listed {
                name: format!("engine-{i}").into(),
                zone: format!("zone-{}", i % 9).into(),
                outstanding: (i % 5) as u32,
                leaving: false,
            },
        );
    }
    controller.step(Time::ZERO, Event::Published(Version(1)));
    let lease = Lease {
        fence: 1,
        expires_at: Time::ZERO + HOUR,
    };
    let reads = controller.step(Time::ZERO, Event::Lease(Some(lease)));
    answer(&mut controller, Time::ZERO, &reads, Version(1), None);
    controller
}

fn answer(
    controller: &mut Controller,
    now: Time,
    actions: &[Action],
    version: Version,
    loading: Option<Version>,
) {
    let status = Status {
        incarnation: 1,
        version: Some(version),
        loading,
        failed: false,
    };
    for action in actions {
        let event = match action {
            Action::Read { name } => Event::Observed {
                name: name.clone(),
                status,
            },
            Action::Order { name, fence, .. } => Event::Accepted {
                name: name.clone(),
                fence: *fence,
                status,
            },
            _ => continue,
        };
        controller.step(now, event);
    }
}

/// Rolls version 2 out in two waves, with a tick every 50 ms; returns the number of ticks.
fn roll_out(controller: &mut Controller) -> usize {
    let mut now = Time::from_millis(1);
    let mut actions = controller.step(now, Event::Published(Version(2)));
    let mut ticks = 0;
    while controller.plan().is_some_and(|plan| plan.pending > 0) && ticks < 1_000 {
        let (reads, orders): (Vec<_>, Vec<_>) = actions
            .into_iter()
            .partition(|a| matches!(a, Action::Read { .. }));
        answer(controller, now, &orders, Version(1), Some(Version(2)));
        answer(controller, now, &reads, Version(2), None);
        now = now + Duration::from_millis(50);
        actions = controller.step(now, Event::Tick);
        ticks += 1;
    }
    ticks
}

fn bench(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("rollout");
    for size in SIZES {
        let idle = idle_controller(size);
        group.bench_function(BenchmarkId::new("tick_at_rest", size), |bencher| {
            let mut controller = idle.clone();
            bencher.iter(|| black_box(controller.step(Time::from_millis(1), Event::Tick)));
        });
        group.bench_function(BenchmarkId::new("two_waves", size), |bencher| {
            bencher.iter_batched(
                || idle.clone(),
                |mut controller| black_box(roll_out(&mut controller)),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .without_plots()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .sample_size(10)
        .configure_from_args();
    bench(&mut criterion);
    criterion.final_summary();
}
