//! Fake weight store: sizes, the shared rate, the limit of concurrent loads, aborted loads.

use actix_http::StatusCode;
use awc::Client;
use pinereel_fakes::weight_store::{Faults, Handle, Options, Store};
use std::time::{Duration, Instant};

/// Loads weights. Returns the status, the number of bytes received, and whether it equals
/// `content-length`; `awc` itself reports an aborted body as a complete one.
async fn load(store: &Handle, version: u64) -> (StatusCode, usize, bool) {
    let url = format!("http://{}/weights/wording/{version}", store.address);
    let mut response = Client::default().get(url).send().await.expect("a head");
    let body = response.body().limit(1 << 22).await.expect("a body");
    let length = response.headers().get("content-length").expect("a length");
    let complete = length.as_bytes() == body.len().to_string().as_bytes();
    (response.status(), body.len(), complete)
}

#[actix_rt::test]
async fn concurrent_loads_share_the_rate_and_are_counted() {
    let store = Store::start(Options {
        weight_bytes: 100_000,
        bytes_per_second: 1_000_000,
        max_loads: 2,
        ..Options::default()
    })
    .await
    .unwrap();
    let start = Instant::now();
    let (one, two) = tokio::join!(load(&store, 1), load(&store, 2));
    let complete = (StatusCode::OK, 100_000, true);
    assert_eq!((one, two), (complete, complete));
    // 200 kB at 1 MB/s take 0.2 s. There is no upper bound, since a busy machine may take longer.
    assert!(start.elapsed() >= Duration::from_millis(199));
    let stats = store.stats();
    assert_eq!((stats.begun, stats.done, stats.bytes), (2, 2, 200_000));
}

#[actix_rt::test]
async fn loads_beyond_the_limit_are_refused_and_faults_abort_loads() {
    let store = Store::start(Options {
        max_loads: 1,
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
