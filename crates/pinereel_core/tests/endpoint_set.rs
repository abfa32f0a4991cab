//! The endpoint set: leaving is permanent, incarnations are separate, counts are exact.

use pinereel_core::{
    Time, Version,
    endpoint::{AttemptEnd, ChangeKind, Event, Key, Listing, LoadReport, Set, State, subset},
};
use std::{collections::BTreeMap, time::Duration};

fn listing(name: &str, incarnation: u64) -> Listing {
    Listing {
        name: name.into(),
        incarnation,
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        pool: "p".into(),
        slots: 8,
        leaving: false,
    }
}

fn listed(set: &mut Set, at: u64, name: &str, incarnation: u64) -> Option<Key> {
    let event = Event::Listed(listing(name, incarnation));
    set.step(Time::from_millis(at), event);
    set.find(name).map(|(key, _)| key)
}

fn end(set: &mut Set, at: u64, key: Key, end: AttemptEnd) -> Vec<ChangeKind> {
    let now = Time::from_millis(at);
    set.step(now, Event::Started { key, tokens: 10 });
    let finished = Event::Finished {
        key,
        tokens: 10,
        took: Duration::ZERO,
        end,
    };
    let changes = set.step(now, finished);
    changes.into_iter().map(|c| c.kind).collect()
}

fn report(at: u64, running: u32) -> LoadReport {
    LoadReport {
        at: Time::from_millis(at),
        running,
        waiting: 0,
        version: Some(Version(3)),
        loading: None,
        leaving: false,
    }
}

#[test]
fn a_lagging_list_does_not_revert_leaving() {
    let mut set = Set::default();
    let key = listed(&mut set, 1, "e1", 1).unwrap();
    end(&mut set, 2, key, AttemptEnd::Leaving);
    listed(&mut set, 3, "e1", 1);
    assert_eq!(set.get(key).unwrap().state, State::Leaving);
    set.step(Time::from_millis(4), Event::Unlisted { name: "e1".into() });
    let relisted = listed(&mut set, 5, "e1", 1).unwrap();
    assert_eq!(set.get(relisted).unwrap().state, State::Leaving);
}

#[test]
fn a_new_incarnation_starts_fresh_and_an_old_one_does_not_come_back() {
    let mut set = Set::default();
    let old = listed(&mut set, 1, "e1", 1).unwrap();
    set.step(
        Time::ZERO,
        Event::Started {
            key: old,
            tokens: 1,
        },
    );
    end(&mut set, 2, old, AttemptEnd::Leaving);
    let new = listed(&mut set, 3, "e1", 2).unwrap();
    assert_eq!(set.get(new).unwrap().state, State::Live);
    assert_eq!(set.get(new).unwrap().outstanding, 0);
    assert_eq!(listed(&mut set, 4, "e1", 1), Some(new));
    // The old incarnation's last attempt ends without affecting the new one.
    end(&mut set, 5, old, AttemptEnd::Completed);
    assert_eq!(set.get(old).unwrap().outstanding, 1);
}

#[test]
fn an_incarnation_listed_again_with_attempts_in_flight_keeps_its_count_and_takes_their_outcomes() {
    let mut set = Set::default();
    let key = listed(&mut set, 1, "e1", 1).unwrap();
    set.step(Time::ZERO, Event::Started { key, tokens: 1 });
    set.step(Time::ZERO, Event::Unlisted { name: "e1".into() });
    let relisted = listed(&mut set, 2, "e1", 1).unwrap();
    assert_eq!((relisted, set.get(relisted).unwrap().outstanding), (key, 1));
    end(&mut set, 3, key, AttemptEnd::Leaving);
    assert_eq!(set.get(relisted).unwrap().state, State::Leaving);
}

#[test]
fn a_hint_before_the_list_counts() {
    let mut set = Set::default();
    let hint = Event::Hinted {
        name: "e1".into(),
        incarnation: 7,
    };
    set.step(Time::ZERO, hint);
    let key = listed(&mut set, 1, "e1", 7).unwrap();
    assert_eq!(set.get(key).unwrap().state, State::Leaving);
    assert!(set.hints().is_empty(), "a hint is not forwarded");
}

#[test]
fn a_report_of_a_new_incarnation_replaces_the_old() {
    let mut set = Set::default();
    let old = listed(&mut set, 1, "e1", 1).unwrap();
    let event = Event::Reported {
        key: old,
        incarnation: 2,
        report: report(2, 3),
    };
    set.step(Time::from_millis(2), event);
    let (key, endpoint) = set.find("e1").unwrap();
    assert_ne!(key, old);
    assert_eq!(endpoint.version, Some(Version(3)));
    assert_eq!(listed(&mut set, 3, "e1", 1), Some(key));
}

/// Three refused connections in more than a second marked an endpoint as leaving, which is permanent.
#[test]
fn refused_connections_eject_until_a_probe_reaches_the_endpoint() {
    let mut set = Set::default();
    let key = listed(&mut set, 1, "e1", 1).unwrap();
    for at in [1, 500] {
        end(&mut set, at, key, AttemptEnd::ConnectionRefused);
    }
    assert_eq!(set.get(key).unwrap().state, State::Live);
    let mut kinds = end(&mut set, 1_100, key, AttemptEnd::ConnectionRefused);
    let mut probes = Vec::new();
    while let Some(at) = set
        .next_probe_at()
        .filter(|at| *at < Time::from_millis(9_000))
    {
        assert_eq!(set.due_probes(at).count(), 1);
        let reached = at >= Time::from_millis(6_000);
        let changes = set.step(at, Event::Probed { key, reached });
        kinds.extend(changes.into_iter().map(|change| change.kind));
        probes.push(at.0 / 1_000);
    }
    insta::assert_snapshot!(format!("{kinds:?} {probes:?}"), @"[Ejected { until: Time(6100000) }, Restored] [1350, 1850, 2850, 4850, 6850]");
    assert_eq!(set.get(key).unwrap().state, State::Live);
    assert!(
        set.hints().is_empty(),
        "the fault may be this entry's own link"
    );
}

/// An endpoint that fails its requests is not restored because a connection can be opened.
#[test]
fn a_probe_does_not_end_the_ejection_of_an_endpoint_that_fails_requests() {
    let mut set = Set::default();
    let key = listed(&mut set, 0, "e1", 1).unwrap();
    for at in 1..=5 {
        end(&mut set, at, key, AttemptEnd::Failed);
    }
    let at = set.next_probe_at().unwrap();
    let changes = set.step(at, Event::Probed { key, reached: true });
    assert!(changes.is_empty(), "{changes:?}");
    assert!(matches!(set.get(key).unwrap().state, State::Ejected { .. }));
    assert_eq!(set.next_probe_at(), None);
}

#[test]
fn failures_eject_longer_each_time_and_a_probe_restores() {
    let mut set = Set::default();
    let key = listed(&mut set, 0, "e1", 1).unwrap();
    let mut kinds = Vec::new();
    for at in 1..=5 {
        kinds.extend(end(&mut set, at, key, AttemptEnd::Failed));
    }
    kinds.extend(end(&mut set, 5_005, key, AttemptEnd::Failed));
    kinds.extend(end(&mut set, 15_005, key, AttemptEnd::Completed));
    insta::assert_snapshot!(format!("{kinds:?}"), @"[Ejected { until: Time(5005000) }, Ejected { until: Time(15005000) }, Restored]");
    assert!(
        set.get(key)
            .unwrap()
            .slow_start_weight(Time::from_millis(15_005))
            < 0.2
    );
}

#[test]
fn a_late_load_report_is_corrected_by_own_attempts() {
    let mut set = Set::default();
    let key = listed(&mut set, 0, "e1", 1).unwrap();
    let start = |set: &mut Set, at| {
        set.step(Time::from_millis(at), Event::Started { key, tokens: 1 });
    };
    start(&mut set, 10);
    start(&mut set, 20);
    // As of 15 ms, four requests were running, one of them ours. Our second one is not included.
    let event = Event::Reported {
        key,
        incarnation: 1,
        report: report(15, 4),
    };
    set.step(Time::from_millis(30), event);
    assert_eq!(set.get(key).unwrap().load(Time::from_millis(15)), 5.0);
    assert_eq!(set.get(key).unwrap().load(Time::from_millis(6_000)), 2.0);
}

#[test]
fn the_limit_drops_once_per_burst_and_recovers_to_the_slots() {
    let mut set = Set::default();
    let key = listed(&mut set, 0, "e1", 1).unwrap();
    for _ in 0..8 {
        set.step(Time::from_millis(1), Event::Started { key, tokens: 1 });
    }
    for _ in 0..2 {
        let event = Event::Finished {
            key,
            tokens: 1,
            took: Duration::from_millis(9),
            end: AttemptEnd::Overloaded,
        };
        set.step(Time::from_millis(10), event);
    }
    assert_eq!(set.get(key).unwrap().limit(), 5);
    for at in 0..200 {
        end(&mut set, 20 + at, key, AttemptEnd::Completed);
    }
    assert_eq!(set.get(key).unwrap().limit(), 8);
}

#[test]
fn every_endpoint_is_covered_and_entries_hold_a_bounded_share() {
    let names: Vec<_> = (0..90).map(|i| format!("entry-{i}")).collect();
    let zones: Vec<_> = (0..9).map(|i| format!("zone-{i}")).collect();
    let entries: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(i, name)| subset::Entry {
            name,
            zone: &zones[i % 9],
        })
        .collect();
    let cover = subset::cover(90, 720, 80);
    let mut held = BTreeMap::new();
    for i in 0..720 {
        let zone = &zones[i % 9];
        let holders = entries
            .iter()
            .filter(|entry| subset::contains(**entry, &entries, &format!("e{i}"), zone, cover));
        let mut count = 0;
        for entry in holders {
            *held.entry(entry.name).or_insert(0) += 1;
            count += 1;
        }
        assert_eq!(count, cover.local + cover.remote);
    }
    let (least, most) = (held.values().min().unwrap(), held.values().max().unwrap());
    insta::assert_snapshot!(format!("{cover:?} least {least} most {most}"), @"Cover { local: 5, remote: 5 } least 61 most 98");
}
