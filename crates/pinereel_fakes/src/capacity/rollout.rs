//! Decisions of the rollout controller, which runs at the holder of a lease.

use super::{fit::Measurement, meter::cpu_micros_per_call};
use compact_str::format_compact;
use pinereel_core::{
    Time, Version,
    rollout::{self, Controller, Status},
};
use std::time::Duration;

/// Number of availability zones.
const ZONES: usize = 9;
/// Duration of the lease.
const LEASE_DURATION: Duration = Duration::from_secs(3_600);

/// A controller of `count` engines, all of which serve the published version 1.
fn idle_controller(count: usize) -> Controller {
    let settings = rollout::Settings {
        max_loads: count,
        max_reads: count,
        ..rollout::Settings::default()
    };
    let mut controller = Controller::new(settings);
    for i in 0..count {
        let event = rollout::Event::Listed {
            name: format_compact!("engine-{i}"),
            zone: format_compact!("zone-{}", i % ZONES),
            outstanding: (i % 5) as u32,
            leaving: false,
        };
        controller.step(Time::ZERO, event);
    }
    controller.step(Time::ZERO, rollout::Event::Published(Version(1)));
    let lease = rollout::Lease {
        fence: 1,
        expires_at: Time::ZERO + LEASE_DURATION,
    };
    let reads = controller.step(Time::ZERO, rollout::Event::Lease(Some(lease)));
    answer_actions(&mut controller, Time::ZERO, &reads, Version(1), None);
    controller
}

/// Answers reads and orders with the given state of the engines. Returns their number.
fn answer_actions(
    controller: &mut Controller,
    now: Time,
    actions: &[rollout::Action],
    version: Version,
    loading: Option<Version>,
) -> usize {
    let status = Status {
        incarnation: 1,
        version: Some(version),
        loading,
        failed: false,
    };
    let mut count = 0;
    for action in actions {
        let event = match action {
            rollout::Action::Read { name } => rollout::Event::Observed {
                name: name.clone(),
                status,
            },
            rollout::Action::Order { name, fence, .. } => rollout::Event::Accepted {
                name: name.clone(),
                fence: *fence,
                status,
            },
            _ => continue,
        };
        count += 1;
        controller.step(now, event);
    }
    count
}

/// Runs a rollout from version 1 to 2, in two waves. Returns the number of orders and reads.
fn run_rollout(controller: &mut Controller) -> usize {
    let mut now = Time::from_millis(1);
    let mut messages = 0;
    let mut actions = controller.step(now, rollout::Event::Published(Version(2)));
    for _ in 0..1_000 {
        let (reads, orders): (Vec<_>, Vec<_>) = actions
            .into_iter()
            .partition(|action| matches!(action, rollout::Action::Read { .. }));
        messages += answer_actions(controller, now, &orders, Version(1), Some(Version(2)));
        messages += answer_actions(controller, now, &reads, Version(2), None);
        if controller.plan().is_none_or(|plan| plan.pending == 0) {
            break;
        }
        now = now + Duration::from_millis(50);
        actions = controller.step(now, rollout::Event::Tick);
    }
    messages
}

/// Measures ticks and rollouts as a function of the number of engines.
pub fn measure() -> Vec<Measurement> {
    let (mut ticks, mut rollouts, mut messages) = (Vec::new(), Vec::new(), Vec::new());
    for count in [8, 80, 290, 2_900] {
        let idle = idle_controller(count);
        let x = count as f64;
        let mut controller = idle.clone();
        let tick = || controller.step(Time::from_millis(1), rollout::Event::Tick);
        ticks.push((x, cpu_micros_per_call(tick)));
        let clone_micros = cpu_micros_per_call(|| idle.clone());
        let mut message_count = 0;
        let total_micros = cpu_micros_per_call(|| message_count = run_rollout(&mut idle.clone()));
        rollouts.push((x, (total_micros - clone_micros) / 1e3));
        messages.push((x, message_count as f64));
    }
    vec![
        Measurement::new("rollout_tick", "µs a tick at rest", "engine", ticks),
        Measurement::new("rollout", "ms a rollout in two waves", "engine", rollouts),
        Measurement::new(
            "rollout_messages",
            "orders and reads a rollout",
            "engine",
            messages,
        ),
    ]
}
