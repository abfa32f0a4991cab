//! Provenance records: built from stamps only, and contradictory stamps rejected.

use pinereel_core::{
    Span, Version,
    provenance::{Error, Record, Stamp},
};

fn stamp(offset: u32, tokens: u32, version: u64) -> Stamp {
    Stamp {
        offset,
        tokens,
        version: Some(Version(version)),
        reused: Vec::new(),
    }
}

fn with_reused(mut stamp: Stamp, version: u64, tokens: u32) -> Stamp {
    let version = Version(version);
    stamp.reused.push(Span { version, tokens });
    stamp
}

fn format_spans(record: &Record) -> String {
    let spans = record.spans();
    let spans = spans.iter().map(|s| format!("{}x{}", s.version, s.tokens));
    spans.collect::<Vec<_>>().join(" ")
}

#[test]
fn reused_prefix_counts_and_equal_neighbours_merge() {
    let mut record = Record::default();
    let first = with_reused(with_reused(stamp(0, 2, 9), 7, 16), 7, 16);
    record.push(&first).unwrap();
    record.push(&stamp(2, 3, 9)).unwrap();
    record.push(&stamp(5, 1, 10)).unwrap();
    insta::assert_snapshot!(format_spans(&record), @"v7x32 v9x5 v10x1");
    assert_eq!(record.oldest_version(), Some(Version(7)));
}

#[test]
fn a_resumed_record_carries_all_spans() {
    let mut record = Record::default();
    record.push(&with_reused(stamp(0, 2, 8), 7, 4)).unwrap();
    let mut resumed = record.resume();
    resumed.push(&with_reused(stamp(2, 2, 9), 8, 6)).unwrap();
    insta::assert_snapshot!(format_spans(&resumed), @"v7x4 v8x6 v8x2 v9x2");
    assert_eq!(resumed.oldest_version(), Some(Version(7)));
}

#[test]
fn invalid_stamps_give_typed_errors_and_change_nothing() {
    let mut record = Record::default();
    record.push(&stamp(0, 4, 9)).unwrap();
    let before = record.clone();
    let mut missing = stamp(4, 1, 9);
    missing.version = None;
    let cases = [
        stamp(5, 1, 9),
        stamp(0, 4, 9),
        missing,
        stamp(4, 1, 8),
        with_reused(stamp(4, 1, 9), 9, 4),
    ];
    let errors = cases.map(|case| format!("{:?}", record.push(&case).unwrap_err()));
    insta::assert_snapshot!(errors.join("\n"), @r"
    Gap { expected: 4, found: 5 }
    Repeat { expected: 4, found: 0 }
    Missing
    Regressing { from: Version(9), to: Version(8) }
    Contradictory
    ");
    assert_eq!(record, before);
}

#[test]
fn a_prefix_from_newer_weights_than_the_running_ones_is_refused() {
    let mut record = Record::default();
    let error = record.push(&with_reused(stamp(0, 1, 8), 9, 4));
    assert_eq!(error, Err(Error::Contradictory));
}

#[test]
fn a_resumed_attempt_on_older_weights_is_void() {
    let mut record = Record::default();
    record.push(&stamp(0, 4, 9)).unwrap();
    let error = record.resume().push(&stamp(4, 1, 8));
    let (from, to) = (Version(9), Version(8));
    assert_eq!(error, Err(Error::Regressing { from, to }));
}

#[test]
fn an_empty_last_chunk_needs_no_stamp() {
    let mut record = Record::default();
    record.push(&stamp(0, 4, 9)).unwrap();
    let mut empty = stamp(4, 0, 9);
    empty.version = None;
    assert_eq!(record.push(&empty), Ok(()));
    assert_eq!(record.tokens(), 4);
}
