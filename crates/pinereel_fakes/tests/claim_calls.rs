//! What a claim costs: latency over an unkeyed call, and calls to the object API. Prints figures.

#![allow(clippy::unwrap_used)]

mod claims;

use claims::{joined, order, settled_keys, shard_of, site};
use futures_util::future::join_all;
use pinereel_api::object::Faults;
use pinereel_core::claim::SHARD_COUNT;
use pinereel_fakes::site::{Site, wait_until};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Calls of each measurement; more would meet the object API's rate.
const CALLS: usize = 100;

#[derive(Clone, Copy, Debug)]
struct Cost {
    p50: Duration,
    p99: Duration,
    reads: f64,
    writes: f64,
}

/// Calls in waves of `at_once`; keyed ones have `prefix` before the number of the call.
async fn measure(site: &Site, prefix: Option<&str>, at_once: usize) -> Cost {
    let before = calls(site);
    let keys = settled_keys(site);
    let mut times = Vec::new();
    for wave in 0..CALLS / at_once {
        let calls = (0..at_once).map(|i| async move {
            let number = wave * at_once + i;
            let key = prefix.map(|prefix| format!("{prefix}-{number}"));
            let started = Instant::now();
            let answer = order(site, number % 3, key.as_deref(), "lacquer").await;
            assert_eq!(answer.status, 200, "{answer:?}");
            started.elapsed()
        });
        times.extend(join_all(calls).await);
    }
    let expected = keys + prefix.map_or(0, |_| CALLS);
    wait_until(|| settled_keys(site) >= expected).await.unwrap();
    let after = calls(site);
    times.sort();
    Cost {
        p50: times[CALLS / 2],
        p99: times[CALLS * 99 / 100],
        reads: (after.0 - before.0) as f64 / CALLS as f64,
        writes: (after.1 - before.1) as f64 / CALLS as f64,
    }
}

/// Reads and writes of claims so far.
fn calls(site: &Site) -> (u64, u64) {
    let stats = site.object_api.stats();
    let of = |counts: &std::collections::BTreeMap<_, u64>| counts.get("claims").copied();
    (
        of(&stats.reads).unwrap_or(0),
        of(&stats.writes).unwrap_or(0),
    )
}

#[actix_rt::test]
async fn a_claim_costs_a_bounded_number_of_calls() {
    let site = site(3).await;
    joined(&site).await;
    // Opens every shard's log first.
    let mut shards = BTreeSet::new();
    let keys = (0..).map(|i| format!("warm-{i}"));
    let one_each = |key: &String| shards.insert(shard_of(key));
    for key in keys.filter(one_each).take(SHARD_COUNT as usize) {
        assert_eq!(order(&site, 0, Some(&key), "lacquer").await.status, 200);
    }
    wait_until(|| settled_keys(&site) >= SHARD_COUNT as usize)
        .await
        .unwrap();
    for delay in [0, 5] {
        site.object_api.set_faults(Faults {
            delay_ms: Some(delay),
            ..Faults::default()
        });
        for at_once in [1, 50] {
            let plain = measure(&site, None, at_once).await;
            let prefix = format!("key-{delay}-{at_once}");
            let keyed = measure(&site, Some(&prefix), at_once).await;
            println!(
                "object API {delay} ms, {at_once} at once | unkeyed p50 {:.1} ms p99 {:.1} ms | \
                 keyed p50 {:.1} ms p99 {:.1} ms | {:.2} reads, {:.2} writes a claim",
                plain.p50.as_secs_f64() * 1e3,
                plain.p99.as_secs_f64() * 1e3,
                keyed.p50.as_secs_f64() * 1e3,
                keyed.p99.as_secs_f64() * 1e3,
                keyed.reads,
                keyed.writes,
            );
            assert_eq!(plain.writes, 0.0);
            // Alone, a segment for the claim and at most one for the outcome, each with a look at
            // the base; at once, many share a segment.
            let most = if at_once == 1 { 2.0 } else { 1.2 };
            assert!(keyed.writes <= most, "{keyed:?}");
            assert!(keyed.reads <= most + 0.1, "{keyed:?}");
        }
    }
}
