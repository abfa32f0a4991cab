//! Clients that send large, incomplete requests to `pinereel entry` as a real process.

#![allow(clippy::unwrap_used)]

mod process_support;

use pinereel_fakes::{
    cluster::{Cluster, wait_until},
    hosting::crowd::{Crowd, Shape},
};
use process_support::{book_order, options};
use std::time::Duration;

/// Memory of an entry, in bytes.
const MAX_MEMORY_BYTES: u64 = 256 << 20;
const CLIENTS: usize = 10;
const LOT_BYTES: usize = 48 << 20;
const HOLD: Duration = Duration::from_secs(15);
/// The entry waits for a body for longer than the clients hold it.
const SETTINGS: &str = "[limits]\nread_timeout = 30s\n";

/// Lots may be larger than any other body.
#[actix_rt::test]
async fn large_lots_that_lack_their_last_byte_stay_within_the_memory_of_an_entry() {
    let mut options = options(1, 1, 1);
    options.extra_settings = SETTINGS.into();
    let mut cluster = Cluster::start(options).await.unwrap();
    let callers = cluster.entries[0].callers;
    let shape = Shape::one_byte_short("/v1/lots", LOT_BYTES);
    let crowd = Crowd::start(callers, shape, CLIENTS, 1, HOLD).unwrap();
    assert_eq!(crowd.join().await.len(), CLIENTS);
    let process = &mut cluster.entries[0].child;
    assert!(process.wait_for_exit(Duration::ZERO).unwrap().is_none());
    let peak = process.peak_memory().unwrap();
    println!("peak {peak} of {MAX_MEMORY_BYTES} bytes");
    assert!(peak <= MAX_MEMORY_BYTES, "{peak} bytes");
    wait_until(async || book_order(callers, "lacquer".into()).await.is_ok())
        .await
        .unwrap();
}
