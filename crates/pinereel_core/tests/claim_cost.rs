//! Cost of a claim in calls and bytes to the object API. Compares a log of segments with a single
//! object per shard that is rewritten at each commit, on the same seeded claims.

#![allow(clippy::unwrap_used, reason = "a test may panic on unexpected results")]

use pinereel_core::{
    Time,
    claim::{Action, Event, Limits, Log, StoredResponse, Verdict},
    hash::Digest,
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::{collections::VecDeque, fmt::Write as _, time::Duration};

const COMMIT_COUNT: usize = 20;

/// Calls to the object API, and the bytes that they upload.
#[derive(Default)]
struct Cost {
    writes: u64,
    /// Each segment is deleted once, by a later trim.
    deletes: u64,
    reads: u64,
    bytes: u64,
}

/// Entry of one key in the single object of a shard.
#[derive(Serialize)]
struct StoredKey {
    key: String,
    digest: Digest,
    request: String,
    left_ms: u64,
    outcome: Option<StoredResponse>,
}

fn claims(count: usize) -> Vec<StoredKey> {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let claim = |_| StoredKey {
        key: format!("{:032x}", rng.random::<u128>()),
        digest: Digest(rng.random()),
        request: format!("entry-3.{:012x}", rng.random::<u64>() >> 16),
        left_ms: 5_000,
        outcome: None,
    };
    (0..count).map(claim).collect()
}

fn outcome() -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: "application/json".into(),
        body: Some("x".repeat(200)),
    }
}

fn json_len(value: &impl Serialize) -> u64 {
    serde_json::to_vec(value).unwrap().len() as u64
}

/// Completes the log's calls until none is in flight; returns the number of grants.
fn serve(log: &mut Log, mut actions: Vec<Action>, cost: &mut Cost) -> usize {
    let now = Time::from_millis(1);
    let mut granted = 0;
    while let Some(action) = actions.pop() {
        match action {
            Action::Create { segment, .. } => {
                cost.writes += 1;
                cost.deletes += 1;
                cost.bytes += json_len(&segment);
                actions.extend(log.step(now, Event::Created));
            }
            Action::ReadBase => {
                cost.reads += 1;
                actions.extend(log.step(now, Event::Base(0)));
            }
            Action::Reply {
                verdict: Verdict::Granted,
                ..
            } => granted += 1,
            _ => {}
        }
    }
    granted
}

/// Cost with a log of segments: each batch is claimed in one commit and settled in the next.
fn segments(claims: &[StoredKey], max_batch: usize) -> Cost {
    let limits = Limits {
        max_batch,
        max_waiting: max_batch,
        max_keys: usize::MAX,
        ..Limits::default()
    };
    let now = Time::from_millis(1);
    let (mut log, _) = Log::new(now, "w", limits);
    log.step(
        now,
        Event::Read {
            segments: vec![],
            base: 0,
        },
    );
    let mut cost = Cost::default();
    for batch in claims.chunks(max_batch) {
        // The first claim of a batch starts the create; the others queue while it is in flight.
        let mut actions = Vec::new();
        for claim in batch {
            let event = Event::Claim {
                request: claim.request.as_str().into(),
                key: claim.key.as_str().into(),
                digest: claim.digest,
                time_left: Duration::from_millis(claim.left_ms),
            };
            actions.extend(log.step(now, event));
        }
        let granted = serve(&mut log, actions, &mut cost);
        assert_eq!(granted, batch.len());
        let mut actions = Vec::new();
        for claim in batch {
            let event = Event::Settle {
                request: claim.request.as_str().into(),
                key: claim.key.as_str().into(),
                digest: claim.digest,
                outcome: Some(outcome()),
            };
            actions.extend(log.step(now, event));
        }
        serve(&mut log, actions, &mut cost);
    }
    cost
}

/// Cost of the same commits with a single object, where each commit writes all keys of the window.
/// The lease renewals that this design also needs are not counted.
fn rewritten_object(claims: &[StoredKey], max_batch: usize, window: usize) -> Cost {
    let entry = |stored: &StoredKey| json_len(stored) + 1;
    let outcome_len = json_len(&outcome()) - json_len(&None::<StoredResponse>);
    let old = entry(&claims[0]) + outcome_len;
    let mut stored: VecDeque<u64> = std::iter::repeat_n(old, window).collect();
    let mut total: u64 = stored.iter().sum();
    let mut cost = Cost::default();
    for batch in claims.chunks(max_batch) {
        for claim in batch {
            total += entry(claim);
            total -= stored.pop_front().unwrap();
            stored.push_back(entry(claim) + outcome_len);
        }
        cost.writes += 1;
        cost.bytes += total;
        total += batch.len() as u64 * outcome_len;
        cost.writes += 1;
        cost.bytes += total;
    }
    cost
}

#[test]
fn the_cost_of_segments_is_independent_of_the_window() {
    let mut table = String::new();
    for batch in [1, 10, 100] {
        let claims = claims(batch * COMMIT_COUNT);
        let count = claims.len() as u64;
        let mut row = |name: &str, window: &str, cost: &Cost| {
            writeln!(
                table,
                "{batch:>3} a commit | {name:<10} | window {window:>6} | {:.2} writes, {:.2} reads, {:.2} deletes, {} bytes a claim",
                cost.writes as f64 / count as f64,
                cost.reads as f64 / count as f64,
                cost.deletes as f64 / count as f64,
                cost.bytes / count,
            )
            .unwrap();
        };
        let log = segments(&claims, batch);
        row("segments", "any", &log);
        for window in [1_000, 10_000, 100_000] {
            let rewritten = rewritten_object(&claims, batch, window);
            row("one object", &window.to_string(), &rewritten);
            assert!(
                rewritten.bytes > log.bytes,
                "each commit writes the bytes of the whole window"
            );
        }
    }
    println!("{table}");
}
