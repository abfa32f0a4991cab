//! The register decides the same whichever instance reports, in any order and with duplicates.

use pinereel_core::{
    Time,
    crash::{
        Change, ChangeKind, Content, EndpointStart, Identity, Involvement, MAX_CRASHES,
        MAX_RECORDS, MAX_SHARED_CRASHES, RECORD_TTL, Register, Report, RequestParts, RequestStatus,
    },
};
use proptest::{collection::vec, prelude::*, test_runner::Config};
use std::{collections::BTreeSet, time::Duration};

/// A crash under a request that no crash counted against.
const FIRST_CRASH: Involvement = Involvement {
    counts: true,
    before: 0,
};

fn request(body: &str) -> Identity {
    Identity::of(RequestParts {
        caller: b"",
        method: "POST",
        host: "site.example",
        target: "/live/x",
        content: Content::Body(body.as_bytes()),
    })
}

fn start(number: usize) -> EndpointStart {
    EndpointStart {
        endpoint: format!("e-{number:02}").into(),
        incarnation: 0,
    }
}

fn at(millis: u64) -> Time {
    Time::ZERO + RECORD_TTL + Duration::from_millis(millis)
}

fn is_blocked(register: &Register, now: Time, identity: Identity) -> bool {
    matches!(
        register.status(now, &identity),
        RequestStatus::Blocked { .. }
    )
}

/// First half of the SHA-256 of the five parts, each preceded by its length as eight bytes.
#[test]
fn an_identity_is_the_same_on_every_build() {
    assert_eq!(request("x").to_string(), "199e37bab93d5d87fcfc3ba159755556");
}

#[test]
fn each_part_of_a_request_changes_its_identity() {
    let usual = RequestParts {
        caller: b"key a",
        method: "POST",
        host: "h",
        target: "/p",
        content: Content::Body(b"b"),
    };
    let others = [
        RequestParts {
            caller: b"key b",
            ..usual
        },
        RequestParts {
            method: "PUT",
            ..usual
        },
        RequestParts { host: "i", ..usual },
        RequestParts {
            target: "/p?q",
            ..usual
        },
        RequestParts {
            content: Content::Body(b""),
            ..usual
        },
        // The same concatenated bytes, split differently.
        RequestParts {
            host: "h/",
            target: "p",
            ..usual
        },
    ];
    let identities: BTreeSet<_> = others.into_iter().map(Identity::of).collect();
    assert_eq!(identities.len(), others.len());
    assert!(!identities.contains(&Identity::of(usual)));
    let text = Identity::of(usual).to_string();
    assert_eq!(text.parse(), Ok(Identity::of(usual)));
    assert!("no identity".parse::<Identity>().is_err());
}

#[test]
fn crashes_of_three_endpoints_block_a_request_and_repeats_at_one_do_not() {
    let (mut register, crasher) = (Register::default(), request("c"));
    for _ in 0..9 {
        register.crashed(at(0), crasher, start(1));
    }
    assert!(!is_blocked(&register, at(1), crasher));
    register.crashed(at(2), crasher, start(2));
    let changes = register.crashed(at(3), crasher, start(3));
    let kinds: Vec<_> = changes.iter().map(|change| change.kind).collect();
    assert_eq!(kinds, [ChangeKind::Blocked, ChangeKind::Suspected]);
    let status = register.status(at(13), &crasher);
    let expected = RequestStatus::Blocked {
        crashes: 3,
        age: Duration::from_millis(10),
        expires_in: RECORD_TTL - Duration::from_millis(10),
    };
    assert_eq!(status, expected);
}

#[test]
fn a_completed_run_clears_a_request_and_late_reports_of_earlier_crashes_do_not_count() {
    let (mut register, harmless) = (Register::default(), request("i"));
    register.crashed(at(0), harmless, start(1));
    register.crashed(at(1), harmless, start(2));
    let late = register.reports(at(2));
    register.completed(at(3), harmless);
    assert_eq!(
        register.status(at(4), &harmless),
        RequestStatus::Unrestricted
    );
    register.merge(at(5), late);
    assert_eq!(
        register.status(at(6), &harmless),
        RequestStatus::Unrestricted
    );
    register.crashed(at(7), harmless, start(3));
    let status = register.status(at(8), &harmless);
    assert!(matches!(
        status,
        RequestStatus::Suspected { crashes: 1, .. }
    ));
}

/// A link failure that resets connections looks like a crash to one instance, while others still
/// reach the endpoint.
#[test]
fn an_answer_clears_the_endpoint_only_if_its_request_was_sent_after_the_crash_became_known() {
    let (mut register, request) = (Register::default(), request("x"));
    for number in 1..=MAX_CRASHES {
        register.crashed(at(0), request, start(number));
    }
    assert!(is_blocked(&register, at(1), request));
    // This answer was in flight when the endpoint crashed.
    register.endpoint_answered(at(20), &start(1), at(10));
    assert!(is_blocked(&register, at(21), request));
    register.endpoint_answered(at(400), &start(1), at(300));
    assert!(!is_blocked(&register, at(401), request));
}

#[test]
fn a_request_that_ran_beside_a_crasher_is_not_blocked_for_its_crashes() {
    let mut register = Register::default();
    let (crasher, concurrent) = (request("c"), request("beside"));
    for number in 1..=2 {
        register.crashed(at(0), crasher, start(number));
        register.crashed(at(0), concurrent, start(number));
    }
    register.crashed(at(3), crasher, start(3));
    assert!(is_blocked(&register, at(4), crasher));
    // A third crash of its own: the other request explains the first two.
    register.crashed(at(5), concurrent, start(9));
    let status = register.status(at(6), &concurrent);
    assert!(matches!(status, RequestStatus::Suspected { .. }));
}

/// Three endpoints crash together, before any request is suspected. The request that was at all of
/// them is blocked until a late report shows that another one could equally be the cause.
#[test]
fn a_request_is_unblocked_when_another_may_explain_its_crashes_and_one_more_crash_blocks_it() {
    let (mut local, mut remote) = (Register::default(), Register::default());
    let (crasher, concurrent) = (request("c"), request("beside"));
    let crash = |number| Report {
        identity: crasher,
        starts: vec![(start(number), FIRST_CRASH)],
        completions: 0,
        age: Duration::ZERO,
    };
    local.merge(at(0), (1..=3).map(crash));
    assert!(is_blocked(&local, at(1), crasher));
    for number in 1..=2 {
        remote.crashed(at(0), concurrent, start(number));
    }
    let reports = remote.reports(at(2));
    let changes = local.merge(at(2), reports);
    let is_unblocked = |c: &Change| c.identity == crasher && c.kind == ChangeKind::Unblocked;
    assert!(changes.iter().any(is_unblocked), "{changes:?}");
    local.crashed(at(3), crasher, start(4));
    assert!(is_blocked(&local, at(4), crasher));
    assert!(!is_blocked(&local, at(4), concurrent));
}

/// Two requests that always crash endpoints together must both be blocked.
#[test]
fn two_requests_that_always_crash_endpoints_together_are_both_blocked() {
    let mut register = Register::default();
    let both = [request("c"), request("d")];
    for number in 1..=MAX_CRASHES {
        for crasher in both {
            register.crashed(at(0), crasher, start(number));
        }
    }
    let unblocked = both.into_iter().find(|c| !is_blocked(&register, at(1), *c));
    if let Some(unblocked) = unblocked {
        for number in MAX_CRASHES + 1..=MAX_SHARED_CRASHES {
            register.crashed(at(2), unblocked, start(number));
        }
    }
    let blocked = |crasher| is_blocked(&register, at(3), crasher);
    assert!(both.into_iter().all(blocked));
}

/// Some endpoints crash under the request, and at others its runs complete.
#[test]
fn a_request_that_crashes_every_other_endpoint_is_blocked_after_five_crashes() {
    let (mut register, crasher) = (Register::default(), request("c"));
    for number in 1..=MAX_SHARED_CRASHES {
        assert!(!is_blocked(&register, at(0), crasher), "{number}");
        register.crashed(at(number as u64), crasher, start(number));
        register.completed(at(number as u64), crasher);
    }
    assert!(is_blocked(&register, at(10), crasher));
    // Other instances receive this like any other report.
    let mut remote = Register::default();
    remote.merge(at(10), register.reports(at(10)));
    assert!(is_blocked(&remote, at(10), crasher));
    register.clear(at(11), crasher);
    assert!(!is_blocked(&register, at(11), crasher));
    remote.merge(at(12), register.take_pending(at(12), 9));
    assert!(
        !is_blocked(&remote, at(12), crasher),
        "clearing by an operator is reported, too"
    );
}

/// Load pattern: a request that is sent continuously runs at every endpoint that crashes on its own.
#[test]
fn a_frequent_request_is_not_blocked_for_spontaneous_crashes() {
    let (mut register, popular) = (Register::default(), request("p"));
    for number in 1..=40 {
        for _ in 0..10 {
            register.completed(at(number), popular);
        }
        register.crashed(at(number), popular, start(number as usize));
        register.completed(at(number), popular);
        assert!(!is_blocked(&register, at(number), popular), "{number}");
    }
}

#[test]
fn records_expire_after_their_ttl() {
    let (mut register, crasher) = (Register::default(), request("c"));
    for number in 1..=MAX_CRASHES {
        register.crashed(at(0), crasher, start(number));
    }
    let almost = at(0) + (RECORD_TTL - Duration::from_millis(1));
    assert!(!register.expire(almost));
    assert!(is_blocked(&register, almost, crasher));
    let sent = register.reports(almost);
    assert!(register.expire(at(0) + RECORD_TTL));
    assert!(register.is_empty());
    // Another instance may report the crashes again: their age stays the same.
    register.merge(at(0) + RECORD_TTL, sent);
    assert!(register.expire(at(2) + RECORD_TTL));
}

/// A process that has just started receives a report of a crash that is older than its clock.
#[test]
fn reports_older_than_the_clock_expire_on_time() {
    let crasher = request("c");
    let crash = |number| Report {
        identity: crasher,
        starts: vec![(start(number), FIRST_CRASH)],
        completions: 0,
        age: RECORD_TTL - Duration::from_secs(100),
    };
    let (started_at, later) = (Time::from_millis(1_000), Time::from_millis(101_000));
    let mut register = Register::default();
    register.merge(started_at, (1..=MAX_CRASHES).map(crash));
    let status = register.status(started_at, &crasher);
    assert!(
        matches!(status, RequestStatus::Blocked { age, .. } if age == RECORD_TTL - Duration::from_secs(100))
    );
    assert!(!register.expire(Time::from_millis(100_999)));
    assert!(register.expire(later));
    assert!(register.is_empty());
}

/// Load pattern: a thousand requests per second crash one endpoint each, for five seconds.
#[test]
fn thousands_of_requests_take_bounded_memory() {
    let mut register = Register::default();
    let crasher = request("c");
    for number in 1..=MAX_CRASHES {
        register.crashed(at(0), crasher, start(number));
    }
    for number in 0..5_000 {
        let other = request(&format!("once {number}"));
        register.crashed(at(number), other, start(100 + number as usize));
    }
    assert_eq!(register.counts(), (MAX_RECORDS, 1));
    assert!(
        is_blocked(&register, at(6_000), crasher),
        "blocked requests are kept"
    );
    // Each record is reported once, in messages of bounded size.
    let (mut sent, mut messages) = (0, 0);
    while register.has_pending() {
        let reports = register.take_pending(at(6_000), 128);
        assert!(reports.len() <= 128);
        (sent, messages) = (sent + reports.len(), messages + 1);
    }
    assert!(sent <= MAX_RECORDS && messages <= MAX_RECORDS.div_ceil(128) + 1);
}

/// An event at one of three instances.
#[derive(Clone, Debug)]
enum Step {
    /// An endpoint crashes under a request.
    Crash(usize, usize, usize),
    /// A run of a request completes.
    End(usize, usize),
    /// An instance sends its pending reports.
    Send(usize),
    /// An instance receives one of the messages in flight, which may be delivered again.
    Receive(usize, usize),
    /// One of the messages in flight is lost.
    Drop(usize),
    /// An instance restarts without records.
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3usize, 0..6usize, 0..9usize).prop_map(|(i, r, e)| Step::Crash(i, r, e)),
        1 => (0..3usize, 0..6usize).prop_map(|(i, r)| Step::End(i, r)),
        4 => (0..3usize).prop_map(Step::Send),
        4 => (0..3usize, any::<usize>()).prop_map(|(i, m)| Step::Receive(i, m)),
        1 => any::<usize>().prop_map(Step::Drop),
        1 => (0..3usize).prop_map(Step::Restart),
    ];
    vec(step, 1..120)
}

/// Invariant: a request is blocked only after three endpoints actually crashed under it.
fn assert_sound(register: &Register, now: Time, crashes: &BTreeSet<(usize, EndpointStart)>) {
    for number in 0..6 {
        let identity = request(&number.to_string());
        if is_blocked(register, now, identity) {
            let own = crashes.iter().filter(|(request, _)| *request == number);
            assert!(own.count() >= MAX_CRASHES);
        }
    }
}

proptest! {
    #![proptest_config(Config::with_cases(400))]

    #[test]
    fn instances_that_have_exchanged_all_reports_agree(steps in steps()) {
        let mut instances = vec![Register::default(); 3];
        let mut in_flight: Vec<Vec<Report>> = Vec::new();
        let mut crashes = BTreeSet::new();
        let mut now = at(0);
        for step in steps {
            now = now + Duration::from_millis(7);
            match step {
                Step::Crash(at, number, endpoint) => {
                    // Endpoints are shared, so requests meet at crashed endpoints.
                    crashes.insert((number, start(endpoint)));
                    instances[at].crashed(now, request(&number.to_string()), start(endpoint));
                }
                Step::End(at, number) => {
                    instances[at].completed(now, request(&number.to_string()));
                }
                Step::Send(at) => in_flight.push(instances[at].take_pending(now, 4)),
                Step::Receive(at, message) if !in_flight.is_empty() => {
                    let message = in_flight[message % in_flight.len()].clone();
                    instances[at].merge(now, message);
                }
                Step::Drop(message) if !in_flight.is_empty() => {
                    let at = message % in_flight.len();
                    in_flight.remove(at);
                }
                Step::Restart(at) => instances[at] = Register::default(),
                Step::Receive(..) | Step::Drop(_) => {}
            }
            for register in &instances {
                assert_sound(register, now, &crashes);
            }
        }
        // New links: each instance sends all reports to the next one, twice around the ring.
        for from in [0, 1, 2, 0, 1, 2] {
            let all = instances[from].reports(now);
            instances[(from + 1) % 3].merge(now, all);
        }
        for number in 0..6 {
            let identity = request(&number.to_string());
            let blocked: BTreeSet<_> = instances.iter().map(|i| is_blocked(i, now, identity)).collect();
            prop_assert_eq!(blocked.len(), 1);
        }
    }
}
