//! What a claim costs in the object API: a log of segments against one object a shard that is
//! rewritten at each commit. The same seeded claims go both ways.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

use pinereel_core::{
    Time,
    claim::{Action, Event, Limits, Log, Record, Verdict},
    hash::Digest,
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::{collections::VecDeque, fmt::Write as _, time::Duration};

const COMMITS: usize = 20;

/// Calls to the object API, and the bytes that they carry up.
#[derive(Default)]
struct Cost {
    writes: u64,
    /// Each segment is deleted once, by a later trim.
    deletes: u64,
    reads: u64,
    bytes: u64,
}

/// One key in the object of a shard.
#[derive(Serialize)]
struct Kept {
    key: String,
    digest: Digest,
    request: String,
    left_ms: u64,
    outcome: Option<Record>,
}

fn claims(count: usize) -> Vec<Kept> {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let claim = |_| Kept {
        key: format!("{:032x}", rng.random::<u128>()),
        digest: Digest(rng.random()),
        request: format!("entry-3.{:012x}", rng.random::<u64>() >> 16),
        left_ms: 5_000,
        outcome: None,
    };
    (0..count).map(claim).collect()
}

fn outcome() -> Record {
    Record {
        status: 200,
        content_type: "application/json".into(),
        body: Some("x".repeat(200)),
    }
}

fn json_len(value: &impl Serialize) -> u64 {
    serde_json::to_vec(value).unwrap().len() as u64
}

/// Answers the log's calls until none is open; returns the number of grants.
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

/// Each batch is claimed in one commit and settled with the next.
fn segments(claims: &[Kept], batch: usize) -> Cost {
    let limits = Limits {
        batch,
        waiting: batch,
        keys: usize::MAX,
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
    for batch in claims.chunks(batch) {
        // The first claim of a batch starts the create, so all are told while one call is open.
        let mut actions = Vec::new();
        for claim in batch {
            let event = Event::Claim {
                request: claim.request.as_str().into(),
                key: claim.key.as_str().into(),
                digest: claim.digest,
                left: Duration::from_millis(claim.left_ms),
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

/// The same commits, each of which writes the whole window. The renewals of the lease that this
/// way needs besides are left out.
fn one_object(claims: &[Kept], batch: usize, window: usize) -> Cost {
    let entry = |kept: &Kept| json_len(kept) + 1;
    let settled = json_len(&outcome()) - json_len(&None::<Record>);
    let old = entry(&claims[0]) + settled;
    let mut kept: VecDeque<u64> = std::iter::repeat_n(old, window).collect();
    let mut total: u64 = kept.iter().sum();
    let mut cost = Cost::default();
    for batch in claims.chunks(batch) {
        for claim in batch {
            total += entry(claim);
            total -= kept.pop_front().unwrap();
            kept.push_back(entry(claim) + settled);
        }
        cost.writes += 1;
        cost.bytes += total;
        total += batch.len() as u64 * settled;
        cost.writes += 1;
        cost.bytes += total;
    }
    cost
}

#[test]
fn segments_cost_the_same_whatever_the_window() {
    let mut table = String::new();
    for batch in [1, 10, 100] {
        let claims = claims(batch * COMMITS);
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
            let one = one_object(&claims, batch, window);
            row("one object", &window.to_string(), &one);
            assert!(
                one.bytes > log.bytes,
                "the window's bytes count at each commit"
            );
        }
    }
    println!("{table}");
}
