//! How long a run waits for its response head and its first event.

use pinereel_core::{
    Time,
    batch::{EngineKey, Fleet, Listing, RunOutcome, extended_wait},
};
use pinereel_port::headers::Load;
use std::time::Duration;

const NOW: Time = Time::from_millis(10_000);
const LONGEST: Duration = Duration::from_millis(1_500);
const SLOTS: u32 = 6;

/// A fleet of engines that send an event every `millis`; `None` if no interval is known.
fn fleet(millis: Option<u64>) -> (Fleet, Vec<EngineKey>) {
    let mut fleet = Fleet::default();
    fleet.update((0..2).map(|number| Listing {
        incarnation: 1,
        id: format!("engine-{number}").into(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        slots: SLOTS,
        leaving: false,
        assigned: true,
        version: Some(5),
    }));
    let keys: Vec<_> = fleet.iter().map(|(key, _)| key).collect();
    for key in &keys {
        for _ in 0..if millis.is_some() { 12 } else { 0 } {
            fleet.event_received(NOW, *key, Duration::from_millis(millis.unwrap_or_default()));
        }
    }
    (fleet, keys)
}

fn load(running: u32, waiting: u32) -> Load {
    Load {
        running,
        waiting,
        slots: SLOTS,
        slowdown_percent: None,
    }
}

/// Failure: an engine hangs from the first byte of a run. The run was ended after 1.5 s, three times
/// the slack of a step.
#[test]
fn a_run_on_an_engine_that_hangs_from_its_first_byte_ends_after_eight_usual_intervals() {
    for (interval, expected) in [(23, 500), (46, 500), (60, 500), (150, 1_200), (400, 1_500)] {
        let (mut fleet, keys) = fleet(Some(interval));
        fleet.load_reported(NOW, keys[0], load(0, 0));
        let run = fleet.start_run(keys[0]).expect("listed");
        let wait = fleet.first_event_timeout(NOW, keys[0]);
        // The former policy waited for `LONGEST` in each case.
        assert_eq!(wait, Duration::from_millis(expected), "{interval} ms");
        fleet.end_run(NOW + wait, run, RunOutcome::Failed);
        assert_eq!(
            fleet.pick(NOW + wait, 5, None),
            Some(keys[1]),
            "it is treated as a stalled run"
        );
    }
}

/// Failure: a run that waits in the queue of an engine, or whose engine has not shown its speed yet,
/// is taken for one on an engine that hangs.
#[test]
fn a_run_that_may_be_queued_waits_as_long_as_before() {
    let (mut unknown, keys) = fleet(None);
    unknown.load_reported(NOW, keys[0], load(0, 0));
    assert_eq!(unknown.first_event_timeout(NOW, keys[0]), LONGEST);

    let (mut fleet, keys) = fleet(Some(46));
    let engine = keys[0];
    let _first = fleet.start_run(engine).expect("listed");
    assert_eq!(
        fleet.first_event_timeout(NOW, engine),
        LONGEST,
        "without a report a queue cannot be excluded"
    );
    fleet.load_reported(NOW, engine, load(6, 1));
    assert_eq!(fleet.first_event_timeout(NOW, engine), LONGEST);
    fleet.load_reported(NOW, engine, load(6, 0));
    assert_eq!(
        fleet.first_event_timeout(NOW, engine),
        Duration::from_millis(500)
    );
    let _second = fleet.start_run(engine).expect("listed");
    assert_eq!(
        fleet.first_event_timeout(NOW, engine),
        LONGEST,
        "five requests of others and two own ones exceed the slots"
    );
    let later = NOW + Duration::from_millis(300);
    assert_eq!(
        fleet.first_event_timeout(later, engine),
        Duration::from_millis(500),
        "the requests of others have ended by then"
    );
}

/// Failure: absurd figures of a load header overflow the count of an engine's requests.
#[test]
fn absurd_load_figures_count_as_a_queue() {
    let (mut fleet, keys) = fleet(Some(46));
    fleet.load_reported(NOW, keys[0], load(u32::MAX, 0));
    let _run = fleet.start_run(keys[0]).expect("listed");
    assert_eq!(fleet.first_event_timeout(NOW, keys[0]), LONGEST);
    fleet.load_reported(NOW, keys[0], load(u32::MAX, u32::MAX));
    assert_eq!(fleet.first_event_timeout(NOW, keys[0]), LONGEST);
}

/// Failure: a runner with little CPU starts many runs at once, reads their answers late, and takes
/// healthy engines for ones that hang.
#[test]
fn a_late_timer_extends_the_wait_by_its_delay() {
    let millis = Duration::from_millis;
    let extended =
        |waited, elapsed, timeout| extended_wait(millis(waited), millis(elapsed), millis(timeout));
    assert_eq!(extended(500, 510, 500), None, "the timer was in time");
    assert_eq!(extended(500, 800, 500), Some(millis(1_100)));
    assert_eq!(extended(1_100, 1_110, 500), None);
    assert_eq!(
        extended(500, 1_200, 500),
        Some(LONGEST),
        "never longer than before"
    );
    assert_eq!(extended(1_500, 2_000, 500), None);
    assert_eq!(
        extended(500, 510, 1_500),
        Some(LONGEST),
        "a queue was reported"
    );
}
