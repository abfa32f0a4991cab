//! Ages that a peer reports in frames of the broadcast tree, over the whole range of their type.

use compact_str::CompactString;
use pinereel_core::{
    Time,
    tree::{BackupReaders, Heartbeat, MAX_ROOT_GROUPS, RankRange, StoreStatus, Uplink},
};
use std::time::Duration;

const NOW: Time = Time::from_millis(1_000);
const LATER: Time = Time::from_millis(1_300);

/// The sum of the reported age and the time since then overflowed, and the panic ended the task that sends
/// the heartbeats.
#[test]
fn the_largest_age_of_a_parent_is_stale_data() {
    let mut uplink = Uplink::new("10.0.0.1:7100".into());
    let heartbeat = Heartbeat {
        ancestors: vec!["10.0.0.2:7100".into()],
        standbys: Vec::new(),
        age: Some(Duration::MAX),
        reads_store: true,
        store_uptime: Duration::MAX,
        ranks: RankRange::default(),
        store_calls: true,
        store_answers: None,
        backup_readers: Vec::new(),
    };
    assert!(uplink.on_heartbeat(NOW, heartbeat));
    let status = StoreStatus::default();
    assert_eq!(uplink.age(LATER, status), Some(Duration::MAX));
    assert!(!uplink.is_fresh(LATER, status));
    let parent = uplink.store_call_parent(LATER).expect("there is a parent");
    assert!(!parent.accepts_calls());
    let forwarded = uplink.heartbeat(LATER, status, RankRange::default(), Vec::new());
    assert!(!forwarded.is_fresh());
}

/// The same sum for the age that a child reports which reads the store for this instance.
#[test]
fn the_largest_age_of_a_backup_reader_is_stale_data() {
    let reader = CompactString::from("10.0.0.2:7100");
    let mut readers = BackupReaders::default();
    assert!(readers.step(NOW, MAX_ROOT_GROUPS, std::slice::from_ref(&reader)));
    assert!(readers.on_report(NOW, &reader, Duration::MAX));
    assert_eq!(readers.age(LATER), Some(Duration::MAX));
}
