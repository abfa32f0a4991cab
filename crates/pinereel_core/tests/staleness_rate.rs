//! Staleness bounds, and the versions expected at completion.

use pinereel_core::{
    Time, Version,
    staleness::{PublicationRate, is_fresh, oldest_allowed},
};

#[test]
fn the_bound_counts_versions_behind() {
    assert!(is_fresh(Version(5), Version(7), 2));
    assert!(!is_fresh(Version(4), Version(7), 2));
    assert!(is_fresh(Version(9), Version(7), 0));
    assert_eq!(oldest_allowed(Version(7), 2), Version(5));
    assert_eq!(oldest_allowed(Version(1), 2), Version(0));
}

#[test]
fn the_expected_version_follows_the_publication_rate() {
    let mut rate = PublicationRate::new(Version(1), Time::ZERO);
    assert_eq!(rate.expected_version(Time::from_millis(9_000)), Version(1));
    assert!(rate.record_publication(Version(2), Time::from_millis(1_000)));
    assert!(!rate.record_publication(Version(2), Time::from_millis(1_500)));
    assert!(!rate.record_publication(Version(1), Time::from_millis(1_500)));
    assert_eq!(rate.expected_version(Time::from_millis(1_999)), Version(2));
    assert_eq!(rate.expected_version(Time::from_millis(3_000)), Version(4));
    assert!(rate.stays_fresh(Version(2), Time::from_millis(2_500), 1));
    assert!(!rate.stays_fresh(Version(2), Time::from_millis(3_000), 1));
}

#[test]
fn skipped_versions_count_as_steps() {
    let mut rate = PublicationRate::new(Version(1), Time::ZERO);
    rate.record_publication(Version(5), Time::from_millis(4_000));
    assert_eq!(rate.expected_version(Time::from_millis(6_000)), Version(7));
}
