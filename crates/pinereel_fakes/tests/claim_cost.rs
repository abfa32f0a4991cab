//! Cost of idempotency keys: latency compared with calls without a key, and reads and writes at the
//! object API per call. Prints the figures.

#![allow(clippy::unwrap_used)]

mod claim_support;

use claim_support::{book_order, settlement_count, shard_of, start_site, wait_for_members};
use futures_util::future::join_all;
use pinereel_api::object::Faults;
use pinereel_core::claim::SHARD_COUNT;
use pinereel_fakes::site::{Site, wait_until};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Number of calls in each measurement. More calls would exceed the rate limit of the object API.
const CALL_COUNT: usize = 100;

/// Latency of the calls, and reads and writes of claim logs per call.
#[derive(Clone, Copy, Debug)]
struct Cost {
    p50: Duration,
    p99: Duration,
    reads: f64,
    writes: f64,
}

/// Books orders in waves of `concurrency` calls. With a `key_prefix` each call has a key of its
/// own, which consists of the prefix and the call's number.
async fn measure(site: &Site, key_prefix: Option<&str>, concurrency: usize) -> Cost {
    let before = claim_reads_and_writes(site);
    let settlements_before = settlement_count(site);
    let mut latencies = Vec::new();
    for wave in 0..CALL_COUNT / concurrency {
        let calls = (0..concurrency).map(|i| async move {
            let number = wave * concurrency + i;
            let key = key_prefix.map(|prefix| format!("{prefix}-{number}"));
            let start = Instant::now();
            let response = book_order(site, number % 3, key.as_deref(), "lacquer").await;
            assert_eq!(response.status, 200, "{response:?}");
            start.elapsed()
        });
        latencies.extend(join_all(calls).await);
    }
    let expected = settlements_before + key_prefix.map_or(0, |_| CALL_COUNT);
    wait_until(|| settlement_count(site) >= expected)
        .await
        .unwrap();
    let after = claim_reads_and_writes(site);
    latencies.sort();
    Cost {
        p50: latencies[CALL_COUNT / 2],
        p99: latencies[CALL_COUNT * 99 / 100],
        reads: (after.0 - before.0) as f64 / CALL_COUNT as f64,
        writes: (after.1 - before.1) as f64 / CALL_COUNT as f64,
    }
}

/// Numbers of reads and writes of claim logs that the object API has answered so far.
fn claim_reads_and_writes(site: &Site) -> (u64, u64) {
    let stats = site.object_api.stats();
    let of_claims = |counts: &std::collections::BTreeMap<_, u64>| counts.get("claims").copied();
    (
        of_claims(&stats.reads).unwrap_or(0),
        of_claims(&stats.writes).unwrap_or(0),
    )
}

#[actix_rt::test]
async fn a_claim_costs_a_bounded_number_of_object_api_calls() {
    let site = start_site(3).await;
    wait_for_members(&site).await;
    // Opens the log of every shard, so that the measurements do not include it.
    let mut shards = BTreeSet::new();
    let keys = (0..).map(|i| format!("warm-{i}"));
    let is_first_of_shard = |key: &String| shards.insert(shard_of(key));
    for key in keys.filter(is_first_of_shard).take(SHARD_COUNT as usize) {
        assert_eq!(
            book_order(&site, 0, Some(&key), "lacquer").await.status,
            200
        );
    }
    wait_until(|| settlement_count(&site) >= SHARD_COUNT as usize)
        .await
        .unwrap();
    for delay_ms in [0, 5] {
        site.object_api.set_faults(Faults {
            delay_ms: Some(delay_ms),
            ..Faults::default()
        });
        for concurrency in [1, 50] {
            let unkeyed = measure(&site, None, concurrency).await;
            let key_prefix = format!("key-{delay_ms}-{concurrency}");
            let keyed = measure(&site, Some(&key_prefix), concurrency).await;
            println!(
                "object API {delay_ms} ms, {concurrency} at once | \
                 unkeyed p50 {:.1} ms p99 {:.1} ms | keyed p50 {:.1} ms p99 {:.1} ms | \
                 {:.2} reads, {:.2} writes per claim",
                unkeyed.p50.as_secs_f64() * 1e3,
                unkeyed.p99.as_secs_f64() * 1e3,
                keyed.p50.as_secs_f64() * 1e3,
                keyed.p99.as_secs_f64() * 1e3,
                keyed.reads,
                keyed.writes,
            );
            assert_eq!(unkeyed.writes, 0.0);
            // A single call writes one segment for its claim and at most one for its settlement,
            // and the base number is read after each of these writes. Concurrent calls share
            // segments.
            let max_writes = if concurrency == 1 { 2.0 } else { 1.2 };
            assert!(keyed.writes <= max_writes, "{keyed:?}");
            assert!(keyed.reads <= max_writes + 0.1, "{keyed:?}");
        }
    }
}
