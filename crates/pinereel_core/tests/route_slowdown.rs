//! Choices among endpoints that report the slowdown of their machines.

use pinereel_core::{
    Time,
    endpoint::{Event, Key, Listing, LoadReport, Set},
    hash,
    route::{Choice, Policy, Priority, Request, choose},
};
use std::{collections::BTreeMap, time::Duration};

const SLOTS: u32 = 6;
const NOW: Time = Time::from_millis(1_000);

/// Endpoints in the request's zone.
fn set_of(count: usize) -> (Set, Vec<Key>) {
    let mut set = Set::default();
    for name in 0..count {
        let listing = Listing {
            name: format!("e{name}").into(),
            incarnation: 1,
            address: "127.0.0.1:1".into(),
            zone: "a".into(),
            pool: "p".into(),
            slots: SLOTS,
            leaving: false,
        };
        set.step(Time::ZERO, Event::Listed(listing));
    }
    let keys = set.pool("p").map(|(key, _)| key).collect();
    (set, keys)
}

fn report(set: &mut Set, key: Key, percent: Option<u32>) {
    set.step(NOW, Event::SlowdownReported { key, percent });
}

fn choice(set: &Set, now: Time, prefix: Option<u64>, seed: u64, policy: &Policy) -> Choice {
    let request = Request {
        pool: "p",
        prefix,
        priority: Priority::Live,
        zone: "a",
        versions: None,
        excluded: &[],
        repeatable: false,
        seed,
    };
    choose(set, &request, now, policy).expect("an endpoint has room")
}

/// How many of 4,000 prefixes are mapped to each endpoint.
fn shares(set: &Set, keys: &[Key], now: Time) -> Vec<u32> {
    let mut shares: BTreeMap<Key, u32> = BTreeMap::new();
    for prefix in 0..4_000 {
        let prefix = Some(hash::mix(prefix));
        *shares
            .entry(choice(set, now, prefix, 0, &Policy::FULL).key)
            .or_default() += 1;
    }
    keys.iter()
        .map(|key| shares.get(key).copied().unwrap_or_default())
        .collect()
}

/// Failure: an idle endpoint on a faulty machine keeps all the requests whose prefix maps to it.
#[test]
fn idle_endpoints_get_prefixes_in_inverse_proportion_to_their_slowdown() {
    let (mut set, keys) = set_of(4);
    let before = shares(&set, &keys, NOW);
    assert!(
        before.iter().all(|share| (900..1_100).contains(share)),
        "{before:?}"
    );
    for (key, percent) in keys.iter().zip([55, 120, 120, 650]) {
        report(&mut set, *key, Some(percent));
    }
    let after = shares(&set, &keys, NOW);
    let ratio = |a: usize, b: usize| f64::from(after[a]) / f64::from(after[b]);
    assert!((1.9..2.5).contains(&ratio(0, 1)), "{after:?}");
    assert!((0.85..1.15).contains(&ratio(1, 2)), "{after:?}");
    assert!(ratio(3, 1) < 0.25, "{after:?}");
    let expired = NOW + Duration::from_secs(5);
    assert_eq!(
        shares(&set, &keys, expired),
        before,
        "old reports do not count"
    );
}

/// Failure: a request waits at a slow endpoint while a fast one has more requests, but less work.
#[test]
fn a_fast_endpoint_gets_more_requests_than_a_slow_one() {
    for policy in [
        Policy {
            affinity: false,
            two_choices: false,
            ..Policy::FULL
        },
        Policy {
            affinity: false,
            ..Policy::FULL
        },
        Policy::FULL,
    ] {
        let (mut set, keys) = set_of(2);
        report(&mut set, keys[0], Some(55));
        report(&mut set, keys[1], Some(300));
        let mut counts = [0, 0];
        for seed in 0..7 {
            let key = choice(&set, NOW, Some(hash::mix(seed)), seed, &policy).key;
            counts[usize::from(key == keys[1])] += 1;
            set.step(NOW, Event::Started { key, tokens: 0 });
        }
        assert!(counts[0] >= 5, "{counts:?} with {policy:?}");
        // A slow endpoint is used once the fast one is full.
        for _ in 0..12 - 7 {
            let key = choice(&set, NOW, Some(1), 1, &policy).key;
            set.step(NOW, Event::Started { key, tokens: 0 });
        }
        assert!(
            set.iter()
                .all(|(_, endpoint)| endpoint.outstanding == SLOTS)
        );
    }
}

/// Failure: reports of endpoints that send no slowdown, or a policy without load reports, change a
/// choice.
#[test]
fn without_the_fourth_figure_no_choice_differs() {
    let (mut plain, keys) = set_of(6);
    let mut reporting = plain.clone();
    let mut ignored = plain.clone();
    let without_reports = Policy {
        load_reports: false,
        ..Policy::FULL
    };
    for step in 0..2_000u64 {
        let now = NOW + Duration::from_millis(step * 5);
        let chance = hash::mix(step);
        let key = keys[(chance % 6) as usize];
        let load = LoadReport {
            at: now,
            running: (chance >> 8) as u32 % 8,
            waiting: 0,
            version: None,
            loading: None,
            leaving: false,
        };
        for set in [&mut plain, &mut reporting, &mut ignored] {
            set.step(
                now,
                Event::Reported {
                    key,
                    incarnation: 1,
                    report: load,
                },
            );
        }
        let bad = [None, Some(0)][(chance >> 16) as usize % 2];
        reporting.step(now, Event::SlowdownReported { key, percent: bad });
        let percent = Some((chance >> 20) as u32 % 1_000);
        ignored.step(now, Event::SlowdownReported { key, percent });
        let prefix = (chance & 1 << 40 == 0).then_some(chance);
        let former = choice(&plain, now, prefix, step, &Policy::FULL);
        assert_eq!(choice(&reporting, now, prefix, step, &Policy::FULL), former);
        assert_eq!(
            choice(&ignored, now, prefix, step, &without_reports),
            choice(&plain, now, prefix, step, &without_reports)
        );
    }
}
