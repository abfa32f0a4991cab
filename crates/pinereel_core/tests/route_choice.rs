//! Every choice satisfies the routing rules after any sequence of events, and each policy feature
//! has its effect.

use pinereel_core::{
    Time, Version,
    endpoint::{AttemptEnd, Event, Key, Listing, LoadReport, Set, State},
    route::{Policy, Priority, Reason, Refusal, Request, choose},
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const SLOTS: u32 = 4;

fn listed(name: usize, incarnation: u64, leaving: bool) -> Event {
    Event::Listed(Listing {
        name: format!("e{name}").into(),
        incarnation,
        address: "127.0.0.1:1".into(),
        zone: if name.is_multiple_of(2) { "a" } else { "b" }.into(),
        pool: "p".into(),
        slots: SLOTS,
        leaving,
    })
}

fn request(seed: u64) -> Request<'static> {
    Request {
        pool: "p",
        prefix: None,
        priority: Priority::Live,
        zone: "a",
        versions: None,
        excluded: &[],
        repeatable: true,
        seed,
    }
}

fn set_of(count: usize) -> Set {
    let mut set = Set::default();
    for name in 0..count {
        set.step(Time::ZERO, listed(name, 1, false));
    }
    set
}

fn start(set: &mut Set, key: Key) {
    set.step(Time::ZERO, Event::Started { key, tokens: 1 });
}

fn report(version: u64, running: u32) -> LoadReport {
    LoadReport {
        at: Time::ZERO,
        running,
        waiting: 0,
        version: Some(Version(version)),
        loading: None,
        leaving: false,
    }
}

/// One operation of a random sequence.
#[derive(Clone, Debug)]
enum Op {
    List(usize, u64, bool),
    Unlist(usize),
    Hint(usize, u64),
    Report(usize, u64, bool),
    Choose(u64, Option<u64>, bool, bool),
    Finish(usize, u8),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..6usize, 1..4u64, prop::bool::weighted(0.1)).prop_map(|(n, i, l)| Op::List(n, i, l)),
        1 => (0..6usize).prop_map(Op::Unlist),
        1 => (0..6usize, 1..4u64).prop_map(|(n, i)| Op::Hint(n, i)),
        2 => (0..6usize, 1..4u64, prop::bool::weighted(0.1)).prop_map(|(n, v, l)| Op::Report(n, v, l)),
        12 => (any::<u64>(), prop::option::of(0..4u64), any::<bool>(), any::<bool>())
            .prop_map(|(s, p, v, f)| Op::Choose(s, p, v, f)),
        8 => (0..40usize, 0..7u8).prop_map(|(n, e)| Op::Finish(n, e)),
        2 => (1..8_000u64).prop_map(Op::Wait),
    ]
}

const ENDS: [AttemptEnd; 7] = [
    AttemptEnd::Completed,
    AttemptEnd::Cancelled,
    AttemptEnd::Failed,
    AttemptEnd::Overloaded,
    AttemptEnd::ConnectionRefused,
    AttemptEnd::ConnectionTimeout,
    AttemptEnd::Leaving,
];

/// Reference model: which incarnations are leaving or listed, and the attempts in flight.
#[derive(Default)]
struct Oracle {
    leaving: BTreeSet<(String, u64)>,
    listed: BTreeMap<String, u64>,
    in_flight: Vec<Key>,
    excluded: Vec<Key>,
}

impl Oracle {
    fn check(&mut self, set: &Set, seed: u64, prefix: Option<u64>, versions: bool, now: Time) {
        let mut request = request(seed);
        request.prefix = prefix;
        request.versions = versions.then_some(Version(2)..=Version(9));
        request.excluded = &self.excluded;
        for policy in [Policy::BASELINE, Policy::FULL] {
            let choice = choose(set, &request, now, &policy);
            assert_eq!(choice, choose(set, &request, now, &policy), "deterministic");
            let Ok(choice) = choice else { continue };
            for key in choice.runners_up.iter().chain([&choice.key]) {
                let e = set.get(*key).expect("known");
                let id = (e.name.to_string(), e.incarnation);
                assert!(!self.leaving.contains(&id), "{id:?} is leaving");
                assert_eq!(self.listed.get(&id.0), Some(&id.1), "{id:?} is not listed");
                assert!(!self.excluded.contains(key), "excluded");
                let in_flight = self.in_flight.iter().filter(|k| *k == key).count();
                assert!(in_flight < SLOTS as usize, "beyond its slots");
                assert!(in_flight < e.limit() as usize, "beyond its limit");
                if versions {
                    assert!(e.version >= Some(Version(2)), "inadmissible version");
                }
            }
        }
    }
}

fn check_operations(ops: Vec<Op>) {
    let (mut set, mut oracle, mut now) = (Set::default(), Oracle::default(), Time::ZERO);
    for op in ops {
        match op {
            Op::List(n, incarnation, leaving) => {
                set.step(now, listed(n, incarnation, leaving));
                let name = format!("e{n}");
                let before = oracle.listed.get(&name).copied();
                // A replaced incarnation counts as leaving from then on.
                if before.is_none_or(|b| b == incarnation)
                    || !oracle.leaving.contains(&(name.clone(), incarnation))
                {
                    if let Some(b) = before.filter(|b| *b != incarnation) {
                        oracle.leaving.insert((name.clone(), b));
                    }
                    oracle.listed.insert(name.clone(), incarnation);
                    if leaving {
                        oracle.leaving.insert((name, incarnation));
                    }
                }
            }
            Op::Unlist(n) => {
                let name = format!("e{n}").into();
                set.step(now, Event::Unlisted { name });
                oracle.listed.remove(&format!("e{n}"));
            }
            Op::Hint(n, incarnation) => {
                let name = format!("e{n}").into();
                set.step(now, Event::Hinted { name, incarnation });
                oracle.leaving.insert((format!("e{n}"), incarnation));
            }
            Op::Report(n, version, leaving) => {
                let Some((key, e)) = set.find(&format!("e{n}")) else {
                    continue;
                };
                let incarnation = e.incarnation;
                let report = LoadReport {
                    at: now,
                    leaving,
                    ..report(version, 2)
                };
                set.step(
                    now,
                    Event::Reported {
                        key,
                        incarnation,
                        report,
                    },
                );
                if leaving {
                    oracle.leaving.insert((format!("e{n}"), incarnation));
                }
            }
            Op::Choose(seed, prefix, versions, fresh) => {
                if fresh {
                    oracle.excluded.clear();
                }
                oracle.check(&set, seed, prefix, versions, now);
                let mut request = request(seed);
                request.excluded = &oracle.excluded;
                if let Ok(choice) = choose(&set, &request, now, &Policy::FULL) {
                    let event = Event::Started {
                        key: choice.key,
                        tokens: 5,
                    };
                    set.step(now, event);
                    oracle.in_flight.push(choice.key);
                    oracle.excluded.push(choice.key);
                }
            }
            Op::Finish(n, kind) => {
                if oracle.in_flight.is_empty() {
                    continue;
                }
                let key = oracle.in_flight.remove(n % oracle.in_flight.len());
                let e = set.get(key).expect("kept while in flight");
                let id = (e.name.to_string(), e.incarnation);
                let end = ENDS[usize::from(kind)];
                if end == AttemptEnd::Leaving {
                    oracle.leaving.insert(id);
                }
                let event = Event::Finished {
                    key,
                    tokens: 5,
                    took: Duration::from_millis(3),
                    end,
                };
                set.step(now, event);
            }
            Op::Wait(millis) => now = now + Duration::from_millis(millis),
        }
        for (key, e) in set.iter() {
            let in_flight = oracle.in_flight.iter().filter(|k| **k == key).count();
            assert_eq!(e.outstanding as usize, in_flight);
            assert_eq!(e.tokens, in_flight as u64 * 5);
            assert!(
                e.state != State::Gone || in_flight > 0,
                "removed endpoint without attempts in flight"
            );
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn every_choice_satisfies_the_routing_rules(ops in vec(op(), 1..120)) {
        check_operations(ops);
    }

    #[test]
    fn affinity_respects_the_load_bound(
        count in 1..20usize,
        prefixes in vec(0..3u64, 1..60),
        factor in 1.0..2.0f64,
    ) {
        let mut set = set_of(count);
        let policy = Policy { load_factor: factor, zone_local: false, ..Policy::FULL };
        for (total, prefix) in prefixes.into_iter().enumerate() {
            let mut request = request(0);
            request.prefix = Some(prefix);
            let Ok(choice) = choose(&set, &request, Time::ZERO, &policy) else {
                prop_assert_eq!(total, count * SLOTS as usize);
                break;
            };
            start(&mut set, choice.key);
            let open = set.pool("p").filter(|(k, e)| e.has_room() || *k == choice.key);
            let (n, load) = open.fold((0, 0), |(n, l), (_, e)| (n + 1, l + e.outstanding));
            let bound = (factor * f64::from(load) / f64::from(n)).ceil();
            prop_assert!(f64::from(set.get(choice.key).unwrap().outstanding) <= bound);
        }
    }
}

#[test]
fn a_prefix_stays_at_its_preferred_endpoint_until_the_load_bound() {
    let mut set = set_of(8);
    let mut request = request(0);
    request.prefix = Some(77);
    let policy = Policy {
        zone_local: false,
        ..Policy::FULL
    };
    let preferred = choose(&set, &request, Time::ZERO, &policy).unwrap();
    assert_eq!(preferred.reason, Reason::Affinity);
    assert_eq!(preferred.runners_up.len(), 2);
    start(&mut set, preferred.key);
    let next = choose(&set, &request, Time::ZERO, &policy).unwrap();
    assert_eq!(next.reason, Reason::AffinityNext);
    assert_eq!(next.key, preferred.runners_up[0]);
}

#[test]
fn the_baseline_takes_the_least_outstanding() {
    let mut set = set_of(3);
    for _ in 0..3 {
        let choice = choose(&set, &request(9), Time::ZERO, &Policy::BASELINE).unwrap();
        assert_eq!(choice.reason, Reason::LeastOutstanding);
        start(&mut set, choice.key);
    }
    assert!(set.pool("p").all(|(_, e)| e.outstanding == 1));
}

#[test]
fn two_choices_avoid_reported_load() {
    let mut set = set_of(2);
    let busy = set.find("e0").unwrap().0;
    let event = Event::Reported {
        key: busy,
        incarnation: 1,
        report: report(1, 9),
    };
    set.step(Time::ZERO, event);
    let policy = Policy {
        zone_local: false,
        ..Policy::FULL
    };
    for seed in 0..50 {
        let choice = choose(&set, &request(seed), Time::ZERO, &policy).unwrap();
        assert_ne!(choice.key, busy);
        assert_eq!(choice.reason, Reason::TwoChoices);
    }
}

#[test]
fn the_own_zone_is_preferred_until_it_is_full() {
    let mut set = set_of(4);
    let mut zones = Vec::new();
    for seed in 0..10 {
        let choice = choose(&set, &request(seed), Time::ZERO, &Policy::FULL).unwrap();
        start(&mut set, choice.key);
        let zone = set.get(choice.key).unwrap().zone.clone();
        zones.push(format!("{zone}{}", if choice.spilled { "!" } else { "" }));
    }
    insta::assert_snapshot!(zones.join(" "), @"a a a a a a a b! b! b!");
}

#[test]
fn each_refusal_reports_its_cause() {
    let mut set = Set::default();
    let refusal = |set: &Set, request: &Request<'_>| {
        choose(set, request, Time::ZERO, &Policy::FULL).unwrap_err()
    };
    assert_eq!(refusal(&set, &request(0)), Refusal::UnknownPool);
    set.step(Time::ZERO, listed(0, 1, false));
    let mut versioned = request(0);
    versioned.versions = Some(Version(1)..=Version(2));
    assert_eq!(refusal(&set, &versioned), Refusal::NoVersion);
    let key = set.find("e0").unwrap().0;
    for _ in 0..SLOTS {
        start(&mut set, key);
    }
    assert_eq!(refusal(&set, &request(0)), Refusal::Full);
    set.step(Time::ZERO, listed(0, 1, true));
    assert_eq!(refusal(&set, &request(0)), Refusal::NoEndpoint);
}

#[test]
fn probes_are_rare_and_never_carry_requests_that_must_not_run_twice() {
    let mut set = set_of(2);
    let ejected = set.find("e0").unwrap().0;
    for _ in 0..5 {
        start(&mut set, ejected);
        let event = Event::Finished {
            key: ejected,
            tokens: 1,
            took: Duration::ZERO,
            end: AttemptEnd::Failed,
        };
        set.step(Time::ZERO, event);
    }
    let probes = |at: u64, repeatable: bool| {
        let chosen = (0..1_000).filter(|seed| {
            let mut request = request(*seed);
            request.repeatable = repeatable;
            choose(&set, &request, Time::from_millis(at), &Policy::FULL)
                .unwrap()
                .key
                == ejected
        });
        chosen.count()
    };
    insta::assert_snapshot!(format!("{} {} {}", probes(0, true), probes(6_000, true), probes(6_000, false)), @"0 35 0");
}

#[test]
fn slow_start_gives_a_new_endpoint_fewer_requests() {
    let mut set = set_of(1);
    let now = Time::from_millis(60_000);
    set.step(now, listed(2, 1, false));
    let new = set.find("e2").unwrap().0;
    let old = set.find("e0").unwrap().0;
    start(&mut set, old);
    start(&mut set, old);
    let first_choice = |at| choose(&set, &request(1), at, &Policy::FULL).unwrap().key;
    assert_eq!(first_choice(now), old);
    assert_eq!(first_choice(now + Duration::from_secs(10)), new);
}

#[test]
fn without_adaptive_limits_an_endpoint_is_full_only_at_its_slots() {
    let mut set = set_of(1);
    let without_adaptive_limits = Policy {
        adaptive_limits: false,
        ..Policy::FULL
    };
    let chosen = choose(&set, &request(0), Time::ZERO, &without_adaptive_limits)
        .expect("the endpoint is idle")
        .key;
    for millis in 1..=4 {
        start(&mut set, chosen);
        let now = Time::from_millis(millis);
        set.step(
            now,
            Event::Finished {
                key: chosen,
                tokens: 1,
                took: Duration::from_micros(10),
                end: AttemptEnd::Overloaded,
            },
        );
    }
    start(&mut set, chosen);
    let now = Time::from_millis(5);
    assert_eq!(
        choose(&set, &request(0), now, &Policy::FULL),
        Err(Refusal::Full)
    );
    for _ in 1..SLOTS {
        assert!(choose(&set, &request(0), now, &without_adaptive_limits).is_ok());
        start(&mut set, chosen);
    }
    assert_eq!(
        choose(&set, &request(0), now, &without_adaptive_limits),
        Err(Refusal::Full)
    );
}
