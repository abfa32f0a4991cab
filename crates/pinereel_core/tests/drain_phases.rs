//! A shutdown skips no phase, interrupts no request before the time limit, and always ends.

use pinereel_core::{
    Time,
    drain::{Action, Event, Phase, Settings, StateMachine},
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::time::Duration;

const SETTINGS: Settings = Settings {
    balancer_lag: Duration::from_secs(5),
    max_finish: Duration::from_secs(60),
    max_hand_over: Duration::from_secs(10),
};

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => Just(Event::StopRequested),
        3 => (0..3u32).prop_map(Event::InFlight),
        1 => Just(Event::HandedOver),
        2 => Just(Event::Tick),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn phases_follow_in_order_within_their_time_limits(steps in vec((0..9_000u64, event()), 1..60)) {
        let (mut now, mut machine) = (Time::ZERO, StateMachine::new(SETTINGS));
        let (mut stop_requested_at, mut in_flight, mut log) = (None, 0, Vec::new());
        for (millis, event) in steps {
            now = now + Duration::from_millis(millis);
            if event == Event::StopRequested && stop_requested_at.is_none() {
                stop_requested_at = Some(now);
            }
            if let Event::InFlight(count) = event {
                in_flight = count;
            }
            let actions = machine.step(now, event);
            if actions.contains(&Action::HandOver) && in_flight > 0 {
                let earliest = stop_requested_at.unwrap() + SETTINGS.balancer_lag + SETTINGS.max_finish;
                prop_assert!(now >= earliest, "interrupted before the limit");
                let report = Action::Report { phase: Phase::Finishing, left: in_flight };
                prop_assert!(actions.contains(&report), "unfinished requests are reported");
            }
            if actions.contains(&Action::StopAccepting) {
                prop_assert!(now >= stop_requested_at.unwrap() + SETTINGS.balancer_lag);
            }
            prop_assert_eq!(machine.is_ready(), stop_requested_at.is_none());
            prop_assert_eq!(machine.next_tick_at().is_none(), !(Phase::Announced..Phase::Done).contains(&machine.phase()));
            log.extend(actions.into_iter().filter(|a| !matches!(a, Action::Report { .. })));
            let order = [Action::ReadinessOff, Action::StopAccepting, Action::HandOver, Action::Exit];
            prop_assert!(order.starts_with(&log), "{:?}", log);
        }
        // From any phase, the time limits lead to the end.
        machine.step(now, Event::StopRequested);
        for _ in 0..3 {
            if let Some(wake) = machine.next_tick_at() {
                machine.step(wake, Event::Tick);
            }
        }
        prop_assert_eq!(machine.phase(), Phase::Done);
    }
}

#[test]
fn a_stream_longer_than_the_limit_is_handed_over() {
    let mut machine = StateMachine::new(SETTINGS);
    let mut log = Vec::new();
    let steps = [
        (0, Event::InFlight(2)),
        (1, Event::StopRequested),
        (2, Event::StopRequested),
        (5_001, Event::Tick),
        (9_000, Event::InFlight(1)),
        (65_000, Event::StopRequested),
        (65_001, Event::Tick),
        (65_002, Event::HandedOver),
    ];
    for (at, event) in steps {
        let actions = machine.step(Time::from_millis(at), event);
        log.push(format!("{at} {:?} {actions:?}", machine.phase()));
    }
    insta::assert_snapshot!(log.join("\n"), @"
    0 Serving []
    1 Announced [ReadinessOff]
    2 Announced []
    5001 Finishing [StopAccepting]
    9000 Finishing []
    65000 Finishing []
    65001 HandingOver [Report { phase: Finishing, left: 1 }, HandOver]
    65002 Done [Exit]
    ");
}
