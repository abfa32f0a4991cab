//! Decisions of a rollout's holder.

use super::{fit::Slope, meter::micros};
use compact_str::format_compact;
use pinereel_core::{
    Time, Version,
    rollout::{self, Controller, Status},
};
use std::time::Duration;

/// Availability zones of the target.
const ZONES: usize = 9;
/// Length of the lease.
const HOUR: Duration = Duration::from_secs(3_600);

/// All engines serve version 1, which is the target.
fn at_rest(count: usize) -> Controller {
    let settings = rollout::Settings {
        max_loads: count,
        max_reads: count,
        ..rollout::Settings::default()
    };
    let mut controller = Controller::new(settings);
    for i in 0..count {
        let listed = rollout::Event::Listed {
            name: format_compact!("engine-{i}"),
            zone: format_compact!("zone-{}", i % ZONES),
            outstanding: (i % 5) as u32,
            leaving: false,
        };
        controller.step(Time::ZERO, listed);
    }
    controller.step(Time::ZERO, rollout::Event::Published(Version(1)));
    let lease = rollout::Lease {
        fence: 1,
        expires_at: Time::ZERO + HOUR,
    };
    let reads = controller.step(Time::ZERO, rollout::Event::Lease(Some(lease)));
    answer(&mut controller, Time::ZERO, &reads, Version(1), None);
    controller
}

/// Answers reads and orders; gives how many there were.
fn answer(
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
    let mut answered = 0;
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
        answered += 1;
        controller.step(now, event);
    }
    answered
}

/// Two waves from version 1 to 2; gives the messages.
fn roll(controller: &mut Controller) -> usize {
    let mut now = Time::from_millis(1);
    let mut messages = 0;
    let mut actions = controller.step(now, rollout::Event::Published(Version(2)));
    for _ in 0..1_000 {
        let (reads, orders): (Vec<_>, Vec<_>) = actions
            .into_iter()
            .partition(|action| matches!(action, rollout::Action::Read { .. }));
        messages += answer(controller, now, &orders, Version(1), Some(Version(2)));
        messages += answer(controller, now, &reads, Version(2), None);
        if controller.plan().is_none_or(|plan| plan.pending == 0) {
            break;
        }
        now = now + Duration::from_millis(50);
        actions = controller.step(now, rollout::Event::Tick);
    }
    messages
}

/// Measures all of it.
pub fn measure() -> Vec<Slope> {
    let (mut ticks, mut rolls, mut messages) = (Vec::new(), Vec::new(), Vec::new());
    for count in [8, 80, 290, 2_900] {
        let rest = at_rest(count);
        let x = count as f64;
        let mut resting = rest.clone();
        let tick = || resting.step(Time::from_millis(1), rollout::Event::Tick);
        ticks.push((x, micros(tick)));
        let copy = micros(|| rest.clone());
        let mut sent = 0;
        let whole = micros(|| sent = roll(&mut rest.clone()));
        rolls.push((x, (whole - copy) / 1e3));
        messages.push((x, sent as f64));
    }
    vec![
        Slope::of("rollout_tick", "µs a tick at rest", "engine", ticks),
        Slope::of("rollout", "ms a rollout in two waves", "engine", rolls),
        Slope::of(
            "rollout_messages",
            "orders and reads a rollout",
            "engine",
            messages,
        ),
    ]
}
