//! Event sequences of the claim log, and regression tests for faults that the randomized test in
//! `claim_log.rs` found.

#![allow(clippy::unwrap_used, reason = "a test may panic on unexpected results")]

use pinereel_core::{
    Time,
    claim::{
        Action, Event, Limits, Log, MAX_BODY_BYTES, Segment, StoredResponse, Verdict, shard_of,
    },
    hash::Digest,
};
use std::time::Duration;

const NOW: Time = Time::from_millis(1_000);

fn at(ms: u64) -> Time {
    Time::from_millis(1_000 + ms)
}

fn opened(limits: Limits, segments: Vec<(u64, Segment)>, base: u64) -> Log {
    let (mut log, _) = Log::new(NOW, "w", limits);
    assert_eq!(log.step(NOW, Event::Read { segments, base }), vec![]);
    log
}

fn claim(request: &str, key: &str, digest: u8) -> Event {
    let time_left = Duration::from_millis(2_000);
    Event::Claim {
        request: request.into(),
        key: key.into(),
        digest: Digest([digest; 16]),
        time_left,
    }
}

fn settle(request: &str, key: &str, outcome: Option<StoredResponse>) -> Event {
    Event::Settle {
        request: request.into(),
        key: key.into(),
        digest: Digest([1; 16]),
        outcome,
    }
}

fn record(body: &str) -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: "text/plain".into(),
        body: Some(body.into()),
    }
}

fn verdict(request: &str, verdict: Verdict) -> Action {
    Action::Reply {
        request: request.into(),
        verdict,
    }
}

fn segment(actions: &[Action]) -> (u64, Segment) {
    let Some(Action::Create { number, segment }) = actions.last() else {
        panic!("no create in {actions:?}");
    };
    (*number, segment.clone())
}

/// Claims `key` and completes the calls up to the grant. Returns the segment that was written.
fn granted(log: &mut Log, now: Time, request: &str, key: &str) -> (u64, Segment) {
    let written = segment(&log.step(now, claim(request, key, 1)));
    assert_eq!(log.step(now, Event::Created), vec![Action::ReadBase]);
    let actions = log.step(now, Event::Base(0));
    assert_eq!(actions, vec![verdict(request, Verdict::Granted)]);
    written
}

#[test]
fn claims_are_batched_up_to_the_limit_while_a_create_is_in_flight() {
    let mut log = opened(
        Limits {
            max_waiting: 2,
            ..Limits::default()
        },
        vec![],
        0,
    );
    segment(&log.step(NOW, claim("a", "ka", 1)));
    assert_eq!(log.step(NOW, claim("b", "kb", 1)), vec![]);
    assert_eq!(log.step(NOW, claim("c", "kc", 1)), vec![]);
    assert_eq!(
        log.step(NOW, claim("d", "kd", 1)),
        vec![verdict("d", Verdict::NotClaimed)]
    );
    log.step(NOW, Event::Created);
    let actions = log.step(NOW, Event::Base(0));
    assert_eq!(actions[0], verdict("a", Verdict::Granted));
    assert_eq!(segment(&actions).1.claims.len(), 2, "one write for both");
}

#[test]
fn a_full_table_refuses_new_keys() {
    let mut log = opened(
        Limits {
            max_keys: 1,
            ..Limits::default()
        },
        vec![],
        0,
    );
    granted(&mut log, NOW, "a", "ka");
    assert_eq!(
        log.step(NOW, claim("b", "kb", 1)),
        vec![verdict("b", Verdict::NotClaimed)]
    );
    assert_eq!(
        log.step(NOW, claim("c", "ka", 1)),
        vec![verdict("c", Verdict::InProgress)]
    );
}

#[test]
fn a_create_without_effect_refuses_its_claims_immediately_and_keeps_its_settlements() {
    let mut log = opened(Limits::default(), vec![], 0);
    granted(&mut log, NOW, "a", "ka");
    log.step(NOW, settle("a", "ka", Some(record("one"))));
    log.step(NOW, claim("b", "kb", 1));
    let actions = log.step(NOW, Event::NotCreated);
    assert_eq!(actions, vec![verdict("b", Verdict::NotClaimed)]);
    let actions = log.step(NOW, claim("c", "kc", 1));
    assert_eq!(actions, vec![verdict("c", Verdict::NotClaimed)]);
    assert_eq!(
        log.step(at(200), Event::Tick),
        vec![Action::Read { from: 1 }]
    );
    let segments = vec![];
    let (number, retried) = segment(&log.step(at(200), Event::Read { segments, base: 0 }));
    assert_eq!(
        (number, retried.settlements.len(), retried.claims.len()),
        (1, 1, 0)
    );
}

#[test]
fn a_create_that_may_yet_take_effect_is_sent_again_unchanged() {
    let mut log = opened(Limits::default(), vec![], 0);
    let first = segment(&log.step(NOW, claim("a", "ka", 1)));
    assert_eq!(
        log.step(NOW, Event::CreateUnknown),
        vec![Action::Read { from: 0 }]
    );
    let segments = vec![];
    assert_eq!(log.step(NOW, Event::Read { segments, base: 0 }), vec![]);
    assert_eq!(segment(&log.step(at(200), Event::Tick)), first);
    assert_eq!(log.step(at(200), Event::NotCreated), vec![]);
    assert_eq!(segment(&log.step(at(400), Event::Tick)), first);
}

#[test]
fn a_lost_answer_is_resolved_by_the_write_id() {
    let mut log = opened(Limits::default(), vec![], 0);
    let written = segment(&log.step(NOW, claim("a", "k", 1)));
    assert_eq!(
        log.step(NOW, Event::CreateUnknown),
        vec![Action::Read { from: 0 }]
    );
    let actions = log.step(
        NOW,
        Event::Read {
            segments: vec![written],
            base: 0,
        },
    );
    assert_eq!(actions, vec![verdict("a", Verdict::Granted)]);
}

#[test]
fn a_number_found_absent_is_tried_again_with_the_same_segment_only() {
    let mut log = opened(Limits::default(), vec![], 0);
    let written = segment(&log.step(NOW, claim("a", "k", 1)));
    log.step(NOW, Event::CreateUnknown);
    assert_eq!(
        log.step(
            NOW,
            Event::Read {
                segments: vec![],
                base: 0
            }
        ),
        vec![]
    );
    assert_eq!(
        segment(&log.step(at(500), Event::Tick)),
        written,
        "the first create may take effect late"
    );
    log.step(at(500), Event::Conflict);
    let actions = log.step(
        at(500),
        Event::Read {
            segments: vec![written],
            base: 0,
        },
    );
    assert_eq!(actions, vec![verdict("a", Verdict::Granted)]);
}

#[test]
fn a_segment_written_after_its_claims_deadline_frees_the_key_again() {
    let mut log = opened(Limits::default(), vec![], 0);
    let written = segment(&log.step(NOW, claim("a", "k", 1)));
    assert_eq!(log.step(NOW, claim("w", "waits", 1)), vec![]);
    log.step(NOW, Event::CreateUnknown);
    assert_eq!(
        log.step(NOW, Event::CallFailed),
        vec![verdict("w", Verdict::NotClaimed)]
    );
    let refused = log.step(NOW, claim("b", "other", 1));
    assert_eq!(
        refused,
        vec![verdict("b", Verdict::NotClaimed)],
        "an outage refuses immediately"
    );
    let late = log.step(at(2_000), Event::Tick);
    assert_eq!(late[0], verdict("a", Verdict::NotClaimed));
    let actions = log.step(
        at(2_000),
        Event::Read {
            segments: vec![written],
            base: 0,
        },
    );
    assert_eq!(segment(&actions).1.settlements[0].outcome, None);
    log.step(at(2_000), Event::Created);
    log.step(at(2_000), Event::Base(0));
    granted(&mut log, at(2_000), "c", "k");
}

#[test]
fn a_release_that_overtakes_its_claim_still_frees_the_key() {
    let mut other = opened(Limits::default(), vec![], 0);
    let late = Segment {
        write_id: "gone.1".into(),
        ..segment(&other.step(NOW, claim("a", "k", 1))).1
    };
    let mut log = opened(Limits::default(), vec![], 0);
    segment(&log.step(NOW, settle("a", "k", None)));
    log.step(NOW, Event::Created);
    log.step(NOW, Event::Base(0));
    segment(&log.step(NOW, claim("b", "k2", 1)));
    log.step(NOW, Event::Conflict);
    let actions = log.step(
        NOW,
        Event::Read {
            segments: vec![(1, late)],
            base: 0,
        },
    );
    assert_eq!(segment(&actions).0, 2);
    log.step(NOW, Event::Created);
    log.step(NOW, Event::Base(0));
    granted(&mut log, NOW, "c", "k");
}

#[test]
fn a_writer_that_a_trim_overtook_grants_nothing() {
    let mut log = opened(Limits::default(), vec![], 0);
    segment(&log.step(NOW, claim("a", "k", 1)));
    log.step(NOW, Event::Created);
    assert_eq!(
        log.step(NOW, Event::Base(4)),
        vec![Action::Read { from: 4 }]
    );
    let actions = log.step(
        NOW,
        Event::Read {
            segments: vec![],
            base: 4,
        },
    );
    assert_eq!(
        segment(&actions).0,
        4,
        "claimed again at the current end of the log"
    );
}

#[test]
fn another_writers_claim_reads_as_in_progress_then_unknown_then_its_record() {
    let written = granted(&mut opened(Limits::default(), vec![], 0), NOW, "a", "k");
    let mut log = opened(Limits::default(), vec![written], 0);
    assert_eq!(
        log.step(NOW, claim("b", "k", 1)),
        vec![verdict("b", Verdict::InProgress)]
    );
    assert_eq!(
        log.step(NOW, claim("c", "k", 2)),
        vec![verdict("c", Verdict::KeyConflict)]
    );
    let late = at(2_000);
    assert_eq!(
        log.step(late, claim("d", "k", 1)),
        vec![Action::Read { from: 1 }],
        "the other writer may have settled it"
    );
    let segments = vec![];
    assert_eq!(
        log.step(late, Event::Read { segments, base: 0 }),
        vec![verdict("d", Verdict::ClaimUnknown)]
    );
    segment(&log.step(late, settle("a", "k", Some(record("done")))));
    log.step(late, Event::Created);
    log.step(late, Event::Base(0));
    let repeat = Verdict::Repeat(record("done"));
    assert_eq!(
        log.step(late, claim("e", "k", 1)),
        vec![verdict("e", repeat)]
    );
}

#[test]
fn an_outcome_that_another_writer_stored_is_found_by_a_repeat() {
    let mut other = opened(Limits::default(), vec![], 0);
    let written = granted(&mut other, NOW, "a", "k");
    let mut log = opened(Limits::default(), vec![written], 0);
    let settled = segment(&other.step(NOW, settle("a", "k", Some(record("done")))));
    let later = at(500);
    for (request, content) in [("b", 1), ("c", 2)] {
        log.step(later, claim(request, "k", content));
    }
    let segments = vec![settled];
    assert_eq!(
        log.step(later, Event::Read { segments, base: 0 }),
        vec![
            verdict("b", Verdict::Repeat(record("done"))),
            verdict("c", Verdict::KeyConflict)
        ]
    );
}

#[test]
fn a_key_that_another_writer_freed_is_granted_to_one_repeat() {
    let mut other = opened(Limits::default(), vec![], 0);
    let written = granted(&mut other, NOW, "a", "k");
    let mut log = opened(Limits::default(), vec![written], 0);
    let freed = segment(&other.step(NOW, settle("a", "k", None)));
    let later = at(500);
    for (request, content) in [("b", 1), ("c", 1), ("d", 2)] {
        log.step(later, claim(request, "k", content));
    }
    let segments = vec![freed];
    let actions = log.step(later, Event::Read { segments, base: 0 });
    let claims = segment(&actions).1.claims;
    assert_eq!((claims.len(), claims[0].request.as_str()), (1, "b"));
    assert_eq!(
        actions[..2],
        [
            verdict("c", Verdict::InProgress),
            verdict("d", Verdict::KeyConflict)
        ]
    );
}

#[test]
fn a_key_held_by_another_writer_is_answered_from_the_last_read_during_an_outage() {
    let written = granted(&mut opened(Limits::default(), vec![], 0), NOW, "a", "k");
    let mut log = opened(Limits::default(), vec![written], 0);
    log.step(at(500), claim("b", "k", 1));
    assert_eq!(
        log.step(at(500), Event::CallFailed),
        vec![verdict("b", Verdict::InProgress)]
    );
    assert_eq!(
        log.step(at(600), claim("c", "k", 1)),
        vec![verdict("c", Verdict::InProgress)]
    );
}

#[test]
fn an_outcome_waits_briefly_to_share_a_segment_with_a_claim() {
    let limits = Limits {
        linger: Duration::from_millis(100),
        ..Limits::default()
    };
    let mut log = opened(limits, vec![], 0);
    granted(&mut log, NOW, "a", "ka");
    assert_eq!(log.step(NOW, settle("a", "ka", Some(record("x")))), vec![]);
    let (_, both) = segment(&log.step(at(50), claim("b", "kb", 1)));
    assert_eq!((both.settlements.len(), both.claims.len()), (1, 1));
    log.step(at(50), Event::Created);
    log.step(at(50), Event::Base(0));
    assert_eq!(
        log.step(at(50), settle("b", "kb", Some(record("x")))),
        vec![]
    );
    assert_eq!(log.step(at(149), Event::Tick), vec![]);
    let (_, alone) = segment(&log.step(at(150), Event::Tick));
    assert_eq!((alone.settlements.len(), alone.claims.len()), (1, 0));
    log.step(at(150), Event::Created);
    log.step(at(150), Event::Base(0));
    granted(&mut log, at(150), "c", "kc");
    segment(&log.step(at(150), settle("c", "kc", None)));
}

#[test]
fn a_large_body_is_not_kept() {
    let mut log = opened(Limits::default(), vec![], 0);
    granted(&mut log, NOW, "a", "k");
    let large = record(&"x".repeat(MAX_BODY_BYTES + 1));
    let actions = log.step(NOW, settle("a", "k", Some(large)));
    let kept = segment(&actions).1.settlements[0].outcome.clone().unwrap();
    assert_eq!((kept.status, kept.body), (201, None));
}

/// Found by `a_key_runs_at_most_once_within_its_retention_period`: the settlement of a request that
/// outlived the retention time had no digest, so a request with other content got its stored
/// response.
#[test]
fn a_settlement_without_its_claim_still_detects_different_content() {
    let mut log = opened(Limits::default(), vec![], 0);
    segment(&log.step(NOW, settle("a", "k", Some(record("done")))));
    log.step(NOW, Event::Created);
    log.step(NOW, Event::Base(0));
    assert_eq!(
        log.step(NOW, claim("b", "k", 2)),
        vec![verdict("b", Verdict::KeyConflict)]
    );
}

/// Found by `a_key_runs_at_most_once_within_its_retention_period`: a later release of another request
/// kept a trimmed claim alive at writers that had read the claim before the trim.
#[test]
fn a_later_segment_does_not_prolong_a_trimmed_claim() {
    let first = granted(&mut opened(Limits::default(), vec![], 0), NOW, "a", "k");
    let mut log = opened(Limits::default(), vec![first], 0);
    segment(&log.step(NOW, settle("b", "k", None)));
    log.step(NOW, Event::Created);
    log.step(NOW, Event::Base(0));
    let later = at(60_000);
    assert_eq!(log.step(later, Event::Tick), vec![Action::Read { from: 2 }]);
    log.step(
        later,
        Event::Read {
            segments: vec![],
            base: 1,
        },
    );
    assert_eq!(segment(&log.step(later, claim("c", "k", 1))).0, 2);
}

#[test]
fn a_key_is_free_again_after_the_retention_period() {
    let limits = Limits {
        retention: Duration::from_secs(10),
        ..Limits::default()
    };
    let mut log = opened(limits, vec![], 0);
    granted(&mut log, NOW, "a", "k");
    let trim = log.step(at(10_000), Event::Tick);
    assert_eq!(trim, vec![Action::Trim { from: 0, to: 1 }]);
    assert_eq!(log.step(at(10_000), Event::Base(1)), vec![]);
    assert_eq!(log.key_count(), 0);
    assert_eq!(segment(&log.step(at(10_000), claim("b", "k", 1))).0, 1);
}

#[test]
fn shards_are_stable() {
    let shards: Vec<_> = ["", "a", "order-17"]
        .iter()
        .map(|key| shard_of(key, 64))
        .collect();
    insta::assert_snapshot!(format!("{shards:?}"), @"[38, 27, 31]");
}
