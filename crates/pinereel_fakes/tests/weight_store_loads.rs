//! The weight store stand-in: sizes, the shared rate, the limit of loads, broken loads.

use actix_http::StatusCode;
use awc::Client;
use pinereel_fakes::weight_store::{Faults, Handle, Options, Store};
use std::time::{Duration, Instant};

/// Status of a load, its size, and whether that is the size which the head says. The client
/// itself takes a body that was cut for a whole one.
async fn load(store: &Handle, version: u64) -> (StatusCode, usize, bool) {
    let url = format!("http://{}/weights/wording/{version}", store.address);
    let mut answer = Client::default().get(url).send().await.expect("a head");
    let body = answer.body().limit(1 << 22).await.expect("a body");
    let length = answer.headers().get("content-length").expect("a length");
    let whole = length.as_bytes() == body.len().to_string().as_bytes();
    (answer.status(), body.len(), whole)
}

#[actix_rt::test]
async fn loads_share_the_rate_and_are_counted() {
    let store = Store::start(Options {
        bytes: 100_000,
        bytes_per_second: 1_000_000,
        loads: 2,
        ..Options::default()
    })
    .await
    .unwrap();
    let start = Instant::now();
    let (one, two) = tokio::join!(load(&store, 1), load(&store, 2));
    let whole = (StatusCode::OK, 100_000, true);
    assert_eq!((one, two), (whole, whole));
    // 200 kB at 1 MB/s; only the lower bound holds on a busy machine.
    assert!(start.elapsed() >= Duration::from_millis(199));
    let stats = store.stats();
    assert_eq!((stats.begun, stats.done, stats.bytes), (2, 2, 200_000));
}

#[actix_rt::test]
async fn too_many_loads_are_refused_and_faults_break_loads() {
    let store = Store::start(Options {
        loads: 1,
        ..Options::default()
    })
    .await
    .unwrap();
    store.set_faults(Faults {
        fail: Some(1),
        ..Faults::default()
    });
    assert_eq!(load(&store, 1).await, (StatusCode::OK, 1 << 19, false));
    assert_eq!(store.stats().failed, 1);
    assert_eq!(load(&store, 1).await, (StatusCode::OK, 1 << 20, true));
    let statuses = tokio::join!(load(&store, 1), load(&store, 2));
    let mut statuses = [statuses.0.0, statuses.1.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [StatusCode::OK, StatusCode::TOO_MANY_REQUESTS]);
    assert_eq!(store.stats().limited, 1);
}
