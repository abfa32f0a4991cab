//! Limit of concurrent scorings, and the load reports that tell of spare slots.

use pinereel_core::{Time, scoring::Limit};
use pinereel_port::headers::Load;

const SLOTS: u32 = 108;

const fn millis(millis: u64) -> Time {
    Time::from_millis(millis)
}

const fn load(running: u32, waiting: u32) -> Load {
    Load {
        running,
        waiting,
        slots: 6,
        slowdown_percent: None,
    }
}

/// Guards against a limit that shrinks with the reports of a few full endpoints: three runners at 10
/// to 20 scorings each had the scores of a step seconds later, while endpoints of other zones were free.
#[test]
fn the_limit_is_half_of_the_slots_whatever_the_reports_say() {
    let mut limit = Limit::default();
    for _ in 0..SLOTS / 2 {
        assert!(limit.has_room(SLOTS));
        limit.record_start();
        assert!(limit.record_report(millis(10), load(6, 20)));
    }
    assert!(!limit.has_room(SLOTS), "54 in flight");
    limit.record_end();
    assert!(limit.has_room(SLOTS));
    assert_eq!(Limit::current(SLOTS), 54);
    assert_eq!(Limit::current(0), 1);
}

#[test]
fn spare_slots_need_a_recent_report_below_five_of_six() {
    let mut limit = Limit::default();
    assert!(!limit.has_spare_slots(Time::ZERO), "no report");
    assert!(limit.record_report(millis(100), load(2, 0)));
    assert!(limit.has_spare_slots(millis(1_099)));
    assert!(!limit.has_spare_slots(millis(1_100)), "too old");
    // A report after the gap starts a new average.
    assert!(limit.record_report(millis(2_000), load(6, 6)));
    assert_eq!(limit.utilization(), Some(2.0));
    assert!(!limit.has_spare_slots(millis(2_000)));
    for _ in 0..20 {
        assert!(limit.record_report(millis(2_100), load(2, 0)));
    }
    assert!(limit.has_spare_slots(millis(2_100)));
}

#[test]
fn invalid_figures_change_nothing() {
    let mut limit = Limit::default();
    let no_slots = Load {
        running: 1,
        waiting: 0,
        slots: 0,
        slowdown_percent: None,
    };
    for load in [no_slots, load(u32::MAX, u32::MAX)] {
        assert!(!limit.record_report(millis(100), load));
    }
    assert!(!limit.has_reports());
}
