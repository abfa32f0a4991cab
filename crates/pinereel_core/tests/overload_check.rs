//! Immediate rejection of live requests that would wait longer than their callers.
//!
//! Guards against requests that are sent although they cannot be answered in time, and against
//! rejections of requests that could have been served.

use pinereel_core::{
    Time,
    endpoint::{AttemptEnd, Event, Key, Listing, LoadReport, Set},
    overload::{self, Demand},
};
use std::time::Duration;

const SLOTS: u32 = 6;
const URGENT: Demand = Demand {
    time_left: Duration::from_millis(500),
    objective: Duration::from_millis(150),
    level: 0,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A set of `count` endpoints.
fn endpoints(count: usize) -> (Set, Vec<Key>) {
    let mut set = Set::default();
    for number in 0..count {
        let listing = Listing {
            name: format!("s{number}").into(),
            incarnation: 1,
            address: "".into(),
            zone: "a".into(),
            pool: "plain".into(),
            slots: SLOTS,
            leaving: false,
        };
        set.step(Time::ZERO, Event::Listed(listing));
    }
    let keys = set.pool("plain").map(|(key, _)| key).collect();
    (set, keys)
}

/// Records an answer after `took` with a report of the endpoint's load.
fn answer(set: &mut Set, key: Key, at: Time, took: Duration, (running, waiting): (u32, u32)) {
    set.step(at, Event::Started { key, tokens: 0 });
    let report = LoadReport {
        at,
        running,
        waiting,
        version: None,
        loading: None,
        leaving: false,
    };
    let incarnation = 1;
    set.step(
        at,
        Event::Reported {
            key,
            incarnation,
            report,
        },
    );
    let end = AttemptEnd::Completed;
    set.step(
        at,
        Event::Finished {
            key,
            tokens: 0,
            took,
            end,
        },
    );
}

/// Three endpoints with 23 waiting requests of 200 ms: a slot is free after 800 ms.
fn full() -> (Set, Vec<Key>, Time) {
    let (mut set, keys) = endpoints(3);
    let now = Time::from_millis(1_000);
    for key in &keys {
        answer(&mut set, *key, now, ms(1_000), (6, 23));
    }
    (set, keys, now)
}

#[test]
fn a_request_that_cannot_be_served_in_time_is_rejected() {
    let (set, _, now) = full();
    let rejection = overload::check(&set, "plain", now, URGENT).unwrap();
    assert_eq!(rejection.expected_wait.as_millis(), 800);
    assert_eq!(rejection.retry_after, rejection.expected_wait);
    // The queue becomes shorter while the report ages.
    let later = overload::check(&set, "plain", now + ms(200), URGENT).unwrap();
    assert_eq!(later.retry_after.as_millis(), 600);
    assert_eq!(later.report_age, ms(200));
    assert_eq!(overload::check(&set, "plain", now + ms(300), URGENT), None);
    let patient = Demand {
        time_left: ms(900),
        ..URGENT
    };
    assert_eq!(overload::check(&set, "plain", now, patient), None);
}

/// Without load reports, or with those of some endpoints only, nothing is rejected.
#[test]
fn without_recent_reports_of_all_endpoints_nothing_is_rejected() {
    let (set, _) = endpoints(3);
    assert_eq!(overload::check(&set, "plain", Time::ZERO, URGENT), None);
    assert_eq!(overload::retry_after(&set, "plain", Time::ZERO), None);
    assert_eq!(overload::check(&set, "unknown", Time::ZERO, URGENT), None);
    let (mut set, keys) = endpoints(3);
    let now = Time::from_millis(1_000);
    for key in &keys[..2] {
        answer(&mut set, *key, now, ms(1_000), (6, 23));
    }
    assert_eq!(overload::check(&set, "plain", now, URGENT), None);
    let (set, _, now) = full();
    assert_eq!(
        overload::check(&set, "plain", now + ms(1_000), URGENT),
        None
    );
}

#[test]
fn one_endpoint_with_a_free_slot_admits_all() {
    let (mut set, keys, now) = full();
    answer(&mut set, keys[1], now, ms(25), (5, 0));
    let hasty = Demand {
        time_left: ms(1),
        ..URGENT
    };
    assert_eq!(overload::check(&set, "plain", now, hasty), None);
    assert_eq!(overload::retry_after(&set, "plain", now), None);
}

/// Endpoints that are leaving get no requests, so their free slots do not count.
#[test]
fn leaving_endpoints_are_no_candidates() {
    let (mut set, keys, now) = full();
    answer(&mut set, keys[1], now, ms(25), (0, 0));
    let hint = Event::Hinted {
        name: "s1".into(),
        incarnation: 1,
    };
    set.step(now, hint);
    assert!(overload::check(&set, "plain", now, URGENT).is_some());
}

#[test]
fn less_urgent_requests_are_rejected_first() {
    let (mut set, keys) = endpoints(1);
    let now = Time::from_millis(1_000);
    let demand = |level| Demand {
        time_left: ms(2_000),
        level,
        ..URGENT
    };
    let mut first_rejected = Vec::new();
    for waiting in [0, 5, 11, 17, 29, 60] {
        let wait = 200 * (waiting + 1) / 6;
        let took = ms(200 + u64::from(wait));
        for _ in 0..20 {
            answer(&mut set, keys[0], now, took, (6, waiting));
        }
        let is_rejected =
            |level: &u32| overload::check(&set, "plain", now, demand(*level)).is_some();
        first_rejected.push((0..6).find(is_rejected));
    }
    // Waits of 33, 200, 400, 600, 1,000 and 2,033 ms against 2,000, 1,000, 500 and 250 ms.
    let expected = [None, None, Some(3), Some(2), Some(2), Some(0)];
    assert_eq!(first_rejected, expected);
}

/// With the same load, a request that can be answered within its objective is served.
#[test]
fn a_wait_within_the_objective_is_no_reason_to_reject() {
    let (set, _, now) = full();
    let demand = Demand {
        time_left: ms(1_000),
        objective: ms(900),
        level: 9,
    };
    assert_eq!(overload::check(&set, "plain", now, demand), None);
}

/// The former constant was 300 ms for every load.
#[test]
fn the_retry_delay_follows_the_queues() {
    let mut delays = Vec::new();
    for waiting in [0, 5, 23] {
        let (mut set, keys) = endpoints(2);
        let now = Time::from_millis(1_000);
        let wait = 200 * (u64::from(waiting) + 1) / 6;
        for key in keys {
            answer(&mut set, key, now, ms(200 + wait), (6, waiting));
        }
        delays.push(
            overload::retry_after(&set, "plain", now)
                .unwrap()
                .as_millis(),
        );
    }
    assert_eq!(delays, [33, 200, 800]);
}

/// Absurd figures must neither overflow nor panic.
#[test]
fn absurd_figures_are_harmless() {
    let (mut set, keys) = endpoints(1);
    let now = Time::from_millis(1_000);
    answer(&mut set, keys[0], now, ms(100), (u32::MAX, u32::MAX));
    let rejection = overload::check(&set, "plain", now, URGENT);
    assert!(rejection.is_none_or(|r| r.retry_after <= Duration::from_secs(60)));
}
