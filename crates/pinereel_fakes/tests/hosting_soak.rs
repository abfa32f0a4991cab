//! A short seeded run of the fault soak; `pinereel-fakes soak` runs more.

use pinereel_fakes::hosting::soak::{Options, run};
use std::time::Duration;

/// Runs a seed and tells all that is needed to trace a broken promise.
async fn soak(seed: u64, length: Duration) {
    play(Options {
        seed,
        length,
        ..Options::default()
    })
    .await;
}

async fn play(options: Options) {
    let report = run(options).await.expect("the site starts");
    println!("{report}");
    assert!(
        report.broken.is_empty(),
        "{:#?}\n{:#?}\n{}",
        report.broken,
        report.injected,
        report.logs.join("\n")
    );
}

#[actix_rt::test]
async fn seed_1_keeps_every_promise() {
    soak(1, Duration::from_secs(10)).await;
}

/// Finding 11: an instance stands still for 3.8 s and then sends a request that had come before.
#[actix_rt::test]
async fn seed_803_sends_nothing_to_a_leaving_endpoint() {
    soak(803, Duration::from_secs(20)).await;
}

/// Finding 7: the stand-in gave a port back before the process took it.
#[actix_rt::test]
async fn seed_8_binds_its_addresses() {
    soak(8, Duration::from_secs(20)).await;
}

/// Finding 13: the soak's own callers ended before all was checked.
#[actix_rt::test]
async fn seed_1104_is_answered_after_the_last_fault() {
    soak(1104, Duration::from_secs(20)).await;
}

/// Finding 15: an instance that was cut off 0.5 s after its start had no link to the bulletin.
#[actix_rt::test]
async fn seed_1214_sends_nothing_to_a_leaving_endpoint() {
    soak(1214, Duration::from_secs(20)).await;
}

/// Finding 20: an endpoint that left during an outage is taken for one whose entry has lapsed.
#[actix_rt::test]
async fn seed_2207_sends_nothing_to_a_leaving_endpoint() {
    soak(2207, Duration::from_secs(20)).await;
}

/// Requests that crash the endpoints that run them, beside all other faults.
#[actix_rt::test]
async fn seed_2401_takes_few_endpoints_under_requests_that_crash_them() {
    play(Options {
        seed: 2401,
        crashing: true,
        ..Options::default()
    })
    .await;
}

/// Finding 28: an instance that stops has sent its children away and has no link yet when it sees three crashes, and is
/// paused then; the others take four more endpoints.
#[actix_rt::test]
async fn seed_6007_takes_few_endpoints_beside_an_instance_that_stops() {
    play(Options {
        seed: 6007,
        crashing: true,
        ..Options::default()
    })
    .await;
}
