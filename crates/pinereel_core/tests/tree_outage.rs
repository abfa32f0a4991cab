//! Simulation of an outage of the whole store in virtual time: the number of probes, and the time
//! until each instance knows of the end, beside the former policy, in which the heartbeats did not
//! say whether the store answers the root.

use pinereel_core::{
    Time,
    tree::{Heartbeat, MAX_CHILDREN, MAX_STANDBYS, RankRange, StoreStatus, Uplink},
};
use std::{collections::BTreeSet, time::Duration};

const INSTANCES: usize = 55;
const STEP: Duration = Duration::from_millis(5);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Intervals of the probes of `hosted::store`.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
const RARE_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time that a heartbeat takes over one link.
const LINK_LATENCY: Duration = Duration::from_millis(5);
const OUTAGE_START: Duration = Duration::from_secs(5);
const OUTAGE: Duration = Duration::from_secs(7);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// An instance without fresh data probes as often as the root.
    Former,
    Current,
}

struct Instance {
    uplink: Uplink,
    /// Index of the parent; `None` at the root.
    parent: Option<usize>,
    last_probe_at: Time,
    /// Set while the instance takes the store for unavailable.
    unreachable: bool,
    known_at: Option<Time>,
    /// Heartbeat on its way to this instance.
    incoming: Option<(Time, Heartbeat)>,
}

/// What an outage costs.
struct Outcome {
    probes: usize,
    /// Time from the root's recovery, for each other instance that knew of the end after the root.
    delays: Vec<Duration>,
    /// Time from the end of the outage, for each instance.
    times_to_recovery: Vec<Duration>,
}

fn at(span: Duration) -> Time {
    Time::ZERO + span
}

fn name(index: usize) -> String {
    format!("i-{index}")
}

/// Plays an outage. Instances in `rejected` are not served after its end either. Heartbeats sent
/// less than `lost_span` after the root's recovery are lost.
fn play(policy: Policy, rejected: &BTreeSet<usize>, lost_span: Duration) -> Outcome {
    let (start, end) = (at(OUTAGE_START), at(OUTAGE_START + OUTAGE));
    let new_instance = |index: usize| Instance {
        uplink: Uplink::new(name(index).into()),
        // One level of MAX_CHILDREN, and the others below these.
        parent: index.checked_sub(1).map(|child| {
            if child < MAX_CHILDREN {
                0
            } else {
                child - MAX_CHILDREN + 1
            }
        }),
        last_probe_at: at(Duration::from_millis(37 * index as u64 % 1_000)),
        unreachable: false,
        known_at: None,
        incoming: None,
    };
    let mut fleet: Vec<Instance> = (0..INSTANCES).map(new_instance).collect();
    fleet[0].uplink.set_reads_store(true);
    let standbys: Vec<_> = (1..=MAX_STANDBYS).map(|index| name(index).into()).collect();
    let (mut now, mut probes, mut last_answer_at) = (Time::ZERO, 0, Time::ZERO);
    while now < end + Duration::from_secs(3) {
        let out = now >= start && now < end;
        if !out && !fleet[0].unreachable {
            last_answer_at = now;
        }
        let status_of = |instance: &Instance| StoreStatus {
            age: Some(now.since(last_answer_at)),
            store_uptime: Duration::ZERO,
            is_answering: now.since(last_answer_at) < Duration::from_millis(1_600),
            is_unreachable: instance.unreachable,
        };
        let mut sends_at_once = BTreeSet::new();
        for (index, instance) in fleet.iter_mut().enumerate() {
            // Each instance has calls to make, and finds soon that the store is unavailable.
            if out && now >= start + Duration::from_millis(10 * index as u64) {
                instance.unreachable = true;
            }
            let status = status_of(instance);
            let arrived = instance
                .incoming
                .take_if(|(arrives_at, _)| *arrives_at <= now);
            if let Some((_, mut heartbeat)) = arrived {
                if policy == Policy::Former {
                    heartbeat.store_answers = None;
                }
                assert!(instance.uplink.on_heartbeat(now, heartbeat));
                sends_at_once.insert(index);
                if instance.uplink.take_outage_end() && instance.unreachable {
                    instance.unreachable = false;
                    instance.known_at.get_or_insert(now);
                    // Its next call is rejected.
                    instance.unreachable = rejected.contains(&index);
                }
            }
            let rarely = instance.uplink.probes_rarely(now, status);
            let interval = if rarely {
                RARE_PROBE_INTERVAL
            } else {
                PROBE_INTERVAL
            };
            if instance.unreachable && now.since(instance.last_probe_at) >= interval {
                instance.last_probe_at = now;
                probes += 1;
                if !out && !rejected.contains(&index) {
                    instance.unreachable = false;
                    instance.known_at.get_or_insert(now);
                    if index == 0 {
                        sends_at_once.insert(0);
                    }
                }
            }
        }
        let is_due = now.since(Time::ZERO).as_millis() % HEARTBEAT_INTERVAL.as_millis() == 0;
        let recovered_at = fleet[0].known_at;
        let is_lost = recovered_at.is_some_and(|at| now.since(at) < lost_span);
        for index in 1..fleet.len() {
            let parent = &fleet[fleet[index].parent.expect("only the root has none")];
            let parent_index = fleet[index].parent.expect("only the root has none");
            if is_lost || !(is_due || sends_at_once.contains(&parent_index)) {
                continue;
            }
            let status = status_of(parent);
            let heartbeat =
                parent
                    .uplink
                    .heartbeat(now, status, RankRange::default(), standbys.clone());
            fleet[index].incoming = Some((now + LINK_LATENCY, heartbeat));
        }
        now = now + STEP;
    }
    let recovered_at = fleet[0].known_at.expect("the root is served again");
    let others = fleet
        .iter()
        .skip(1)
        .filter_map(|instance| instance.known_at);
    Outcome {
        probes,
        delays: others.map(|at| at.since(recovered_at)).collect(),
        times_to_recovery: fleet
            .iter()
            .filter_map(|instance| instance.known_at)
            .map(|at| at.since(end))
            .collect(),
    }
}

/// In an outage of 7 s, each of 55 instances probed the store 7 times a second. The root and its
/// standbys suffice, and nobody may know of the end later than by its own probes before.
#[test]
fn an_outage_of_the_whole_store_costs_a_third_of_the_probes_and_ends_as_soon() {
    let everyone_served = BTreeSet::new();
    let former = play(Policy::Former, &everyone_served, Duration::ZERO);
    let current = play(Policy::Current, &everyone_served, Duration::ZERO);
    println!("probes: {} before, {} now", former.probes, current.probes);
    assert!(former.probes > 1_800, "{}", former.probes);
    assert!(current.probes * 3 < former.probes, "{}", current.probes);
    assert_eq!(current.times_to_recovery.len(), INSTANCES);
    // The root probes as often as before, and its heartbeat crosses two links.
    let longest = |outcome: &Outcome| outcome.times_to_recovery.iter().max().copied();
    let former_longest = longest(&former).expect("there are instances");
    assert!(longest(&current) <= Some(former_longest + 2 * LINK_LATENCY + STEP));
    assert!(
        current
            .delays
            .iter()
            .all(|delay| *delay <= Duration::from_millis(500))
    );
}

/// The heartbeats with the news may be lost. The instances' own probes bound the delay.
#[test]
fn lost_heartbeats_delay_the_end_of_an_outage_by_a_second_at_most() {
    let lost_span = Duration::from_secs(2);
    let outcome = play(Policy::Current, &BTreeSet::new(), lost_span);
    assert_eq!(outcome.times_to_recovery.len(), INSTANCES);
    let longest = outcome.times_to_recovery.iter().max().copied();
    assert!(longest <= Some(RARE_PROBE_INTERVAL + STEP), "{longest:?}");
}

/// After an outage of the whole store, it may still reject a part of the instances. The report from
/// the root costs them one call, and they go on probing once a second.
#[test]
fn an_instance_that_is_still_rejected_goes_on_probing_once_a_second() {
    let rejected: BTreeSet<_> = (40..INSTANCES).collect();
    let served = play(Policy::Current, &BTreeSet::new(), Duration::ZERO);
    let outcome = play(Policy::Current, &rejected, Duration::ZERO);
    let additional = outcome.probes - served.probes;
    // 3 s after the end of the outage.
    assert!(
        (2 * rejected.len()..=4 * rejected.len()).contains(&additional),
        "{additional}"
    );
}

fn heartbeat(store_answers: Option<bool>, age: Duration) -> Heartbeat {
    Heartbeat {
        ancestors: vec!["root".into()],
        standbys: vec!["first".into()],
        age: Some(age),
        reads_store: true,
        store_uptime: Duration::ZERO,
        ranks: RankRange::default(),
        store_calls: false,
        store_answers,
        backup_readers: Vec::new(),
    }
}

/// A parent of an older build does not say whether the store answers the root: probes are as before,
/// and no outage is taken for ended.
#[test]
fn a_heartbeat_without_the_field_changes_nothing() {
    let (now, status) = (at(Duration::from_secs(9)), StoreStatus::default());
    for (age_ms, probes_rarely) in [(100, true), (3_000, false)] {
        let mut uplink = Uplink::new("child".into());
        assert!(!uplink.probes_rarely(now, status), "without a parent");
        let age = Duration::from_millis(age_ms);
        assert!(uplink.on_heartbeat(now, heartbeat(None, age)));
        assert_eq!(uplink.probes_rarely(now, status), probes_rarely);
        assert!(!uplink.take_outage_end());
        assert_eq!(uplink.store_answers(status), None);
    }
}

/// A statement that the store answers ends an outage only if the store did not answer the root
/// before: an instance that alone is rejected would otherwise take each heartbeat for the end.
#[test]
fn only_the_first_answer_after_an_outage_of_the_root_ends_it() {
    let now = at(Duration::from_secs(9));
    let mut uplink = Uplink::new("child".into());
    let mut ends_outage = |answers| {
        assert!(uplink.on_heartbeat(now, heartbeat(answers, Duration::ZERO)));
        uplink.take_outage_end()
    };
    assert!(!ends_outage(Some(true)));
    assert!(!ends_outage(Some(false)));
    assert!(!ends_outage(None));
    assert!(ends_outage(Some(true)));
    assert!(!ends_outage(Some(true)));
}

/// The standbys go on probing, since they replace a root that alone is rejected.
#[test]
fn a_standby_probes_as_often_as_the_root() {
    let (now, status) = (at(Duration::from_secs(9)), StoreStatus::default());
    for (name, probes_rarely) in [("first", false), ("child", true)] {
        let mut uplink = Uplink::new(name.into());
        let stale = Duration::from_secs(3);
        assert!(uplink.on_heartbeat(now, heartbeat(Some(false), stale)));
        assert_eq!(uplink.probes_rarely(now, status), probes_rarely);
    }
}

/// A root that the store rejects loses its children one by one, and those that are left must still know
/// the standbys that may have taken over.
#[test]
fn a_root_without_answers_does_not_replace_the_candidates_for_a_parent() {
    let now = at(Duration::from_secs(9));
    let mut uplink = Uplink::new("child".into());
    assert!(uplink.on_heartbeat(now, heartbeat(Some(true), Duration::ZERO)));
    let mut without_others = heartbeat(Some(false), Duration::from_secs(3));
    without_others.standbys = vec!["child".into()];
    assert!(uplink.on_heartbeat(now, without_others.clone()));
    assert_eq!(uplink.link_targets(None), ["first"]);
    without_others.store_answers = Some(true);
    assert!(uplink.on_heartbeat(now, without_others));
    assert!(uplink.link_targets(None).is_empty());
}

/// A former root gets no heartbeat that says that the outage began, and so none that ends it: it found the
/// end by its own probe up to 1 s later, while all others knew after 0.3 s.
#[test]
fn a_former_root_probes_often_when_it_gets_a_parent_after_an_outage() {
    let mut uplink = Uplink::new("a:1".into());
    let status = StoreStatus {
        is_unreachable: true,
        ..StoreStatus::default()
    };
    let linked_at = Time::ZERO + Duration::from_secs(10);
    uplink.set_reads_store(true);
    uplink.observe(linked_at, status);
    uplink.set_reads_store(false);
    uplink.on_heartbeat(linked_at, heartbeat(Some(true), Duration::from_millis(100)));
    let soon = linked_at + Duration::from_millis(150);
    assert!(
        !uplink.take_outage_end(),
        "no heartbeat has told of an outage"
    );
    assert!(!uplink.probes_rarely(soon, status));
    // If the store rejects only this instance, it does not probe often for long.
    uplink.on_heartbeat(
        linked_at + Duration::from_secs(2),
        heartbeat(Some(true), Duration::from_millis(100)),
    );
    assert!(uplink.probes_rarely(linked_at + Duration::from_secs(2), status));
}

/// Instances of the previous build and of this one are linked to each other during an update.
#[test]
fn heartbeats_are_compatible_with_the_previous_build() {
    let with_statement = heartbeat(Some(true), Duration::ZERO);
    let mut json = serde_json::to_value(&with_statement).expect("a heartbeat");
    assert_eq!(json["answers"], true);
    json["later"] = "a field of a later build".into();
    let decoded: Heartbeat = serde_json::from_value(json.clone()).expect("a heartbeat");
    assert_eq!(decoded, with_statement);
    let fields = json.as_object_mut().expect("an object");
    fields.remove("answers");
    let decoded: Heartbeat = serde_json::from_value(json).expect("a heartbeat");
    assert_eq!(decoded.store_answers, None);
}
