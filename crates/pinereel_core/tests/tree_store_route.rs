//! The way of a store call: directly, through the parent, or not at all.

use pinereel_core::{
    Time,
    tree::{
        Heartbeat, MAX_AGE, MAX_STORE_CALL_HOPS, OwnConnection, RankRange, StoreCallKind,
        StoreCallParent, StoreRoute, StoreStatus, Uplink, store_route, takes_store_calls,
    },
};
use proptest::prelude::*;
use std::time::Duration;

fn own_connection() -> impl Strategy<Value = OwnConnection> {
    prop_oneof![
        Just(OwnConnection::Answering),
        any::<bool>().prop_map(|urgent_only| OwnConnection::Failing { urgent_only }),
    ]
}

fn parent() -> impl Strategy<Value = Option<StoreCallParent>> {
    let age = prop::option::of((0..4_000_u64).prop_map(Duration::from_millis));
    let parent = (any::<bool>(), age).prop_map(|(takes_calls, age)| StoreCallParent {
        takes_calls,
        age,
        max_age: MAX_AGE,
    });
    prop::option::of(parent)
}

fn call() -> impl Strategy<Value = StoreCallKind> {
    (any::<bool>(), any::<bool>(), 0..=MAX_STORE_CALL_HOPS + 2).prop_map(
        |(may_be_relayed, is_urgent, hops)| StoreCallKind {
            may_be_relayed,
            is_urgent,
            hops,
        },
    )
}

proptest! {
    /// The decision table. Among others, it guards against a configuration that is read through another
    /// instance, against direct calls that wait for the timeout of a silent store while the parent takes
    /// calls, and against calls to a parent that has not announced that it takes them.
    #[test]
    fn the_route_follows_the_decision_table(
        own in own_connection(),
        parent in parent(),
        call in call(),
    ) {
        let takes_calls = parent.is_some_and(|p| p.takes_calls);
        let is_fresh = parent.is_some_and(|p| p.age.is_some_and(|age| age < p.max_age));
        let through_parent =
            call.may_be_relayed && call.hops < MAX_STORE_CALL_HOPS && takes_calls && is_fresh;
        let expected = match own {
            OwnConnection::Answering => StoreRoute::Direct,
            OwnConnection::Failing { .. } if through_parent => StoreRoute::Parent,
            OwnConnection::Failing { .. } if call.hops > 0 => StoreRoute::Refused,
            OwnConnection::Failing { urgent_only: true } if !call.is_urgent => StoreRoute::Refused,
            OwnConnection::Failing { .. } => StoreRoute::Direct,
        };
        prop_assert_eq!(store_route(own, parent, call), expected);
    }

    /// Without a parent that takes calls, an instance's own calls are sent as if there were no other way.
    #[test]
    fn without_an_announcement_nothing_changes(
        own in own_connection(),
        age in 0..4_000_u64,
        call in call(),
    ) {
        let silent = StoreCallParent {
            takes_calls: false,
            age: Some(Duration::from_millis(age)),
            max_age: MAX_AGE,
        };
        prop_assert_eq!(store_route(own, Some(silent), call), store_route(own, None, call));
        prop_assert_ne!(store_route(own, Some(silent), call), StoreRoute::Parent);
    }

    /// An instance announces only what it can keep: it would otherwise refuse the calls of its children,
    /// which wait meanwhile.
    #[test]
    fn an_instance_announces_only_a_way_that_is_open(
        own in own_connection(),
        parent in parent(),
        has_answered in any::<bool>(),
        is_fresh in any::<bool>(),
    ) {
        if takes_store_calls(own, has_answered, is_fresh, parent) {
            let call = StoreCallKind { may_be_relayed: true, is_urgent: false, hops: 1 };
            prop_assert_ne!(store_route(own, parent, call), StoreRoute::Refused);
            prop_assert!(is_fresh);
        }
    }
}

fn heartbeat(store_calls: bool) -> Heartbeat {
    Heartbeat {
        ancestors: vec!["root".into()],
        standbys: Vec::new(),
        age: Some(Duration::from_millis(20)),
        reads_store: true,
        store_uptime: Duration::ZERO,
        ranks: RankRange::default(),
        store_answers: None,
        backup_readers: Vec::new(),
        store_calls,
    }
}

/// The announcement holds for its sender only: a relay of a build that does not know it must not pass
/// on that of the root, and a relay passes on its own.
#[test]
fn an_announcement_is_not_passed_on_and_expires_with_the_data() {
    let now = Time::ZERO + Duration::from_secs(10);
    let mut uplink = Uplink::new("relay".into());
    assert_eq!(uplink.store_call_parent(now), None);
    assert!(uplink.on_heartbeat(now, heartbeat(true)));
    let accepts = |at| {
        let parent = uplink.store_call_parent(at);
        parent.is_some_and(|parent| parent.accepts_calls())
    };
    assert!(accepts(now));
    assert!(!accepts(now + MAX_AGE));
    let own = uplink.heartbeat(
        now,
        StoreStatus::default(),
        RankRange::default(),
        Vec::new(),
    );
    assert!(!own.store_calls);
}

/// A parent of an older build sends heartbeats without the announcement.
#[test]
fn a_heartbeat_of_an_older_build_announces_nothing() {
    let mut old = serde_json::to_value(heartbeat(true)).unwrap();
    let fields = old.as_object_mut().unwrap();
    assert!(fields.remove("store_calls").is_some());
    let decoded: Heartbeat = serde_json::from_value(old).unwrap();
    assert_eq!(decoded, heartbeat(false));
}
