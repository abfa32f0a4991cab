//! The soak test with some seeds; `pinereel-fakes soak` runs it with others and for longer.

use pinereel_fakes::hosting::soak::{Options, run};
use std::time::Duration;

/// Runs the soak test with a seed, and asserts that no guarantee was violated.
async fn run_seed(seed: u64, duration: Duration) {
    assert_no_violation(Options {
        seed,
        duration,
        ..Options::default()
    })
    .await;
}

/// Runs the soak test; if a guarantee was violated, panics with the violations, faults and logs.
async fn assert_no_violation(options: Options) {
    let report = run(options).await.expect("the site starts");
    println!("{report}");
    assert!(report.violations.is_empty(), "{}", report.details());
}

#[actix_rt::test]
async fn seed_1_violates_no_guarantee() {
    run_seed(1, Duration::from_secs(10)).await;
}

/// An instance that is paused for 3.8 s may then send a request that arrived before the pause to an
/// endpoint that has announced meanwhile that it leaves.
#[actix_rt::test]
async fn seed_803_sends_nothing_to_a_leaving_endpoint() {
    run_seed(803, Duration::from_secs(20)).await;
}

/// The site once released a free port before the process bound it, and the port could be in use by
/// then.
#[actix_rt::test]
async fn seed_8_starts_every_process_on_its_addresses() {
    run_seed(8, Duration::from_secs(20)).await;
}

/// The callers of the soak test once ended before the last check, which then found no answer.
#[actix_rt::test]
async fn seed_1104_answers_callers_after_the_last_fault() {
    run_seed(1104, Duration::from_secs(20)).await;
}

/// An instance that was cut off 0.5 s after its start had no link to the broadcast tree.
#[actix_rt::test]
async fn seed_1214_sends_nothing_to_a_leaving_endpoint() {
    run_seed(1214, Duration::from_secs(20)).await;
}

/// An endpoint that left during an outage of the store was taken for one whose entry had expired.
#[actix_rt::test]
async fn seed_2207_sends_nothing_to_a_leaving_endpoint() {
    run_seed(2207, Duration::from_secs(20)).await;
}

/// Requests that crash the endpoints that run them are sent while all other faults are injected.
#[actix_rt::test]
async fn seed_2401_limits_the_endpoints_that_a_request_crashes() {
    assert_no_violation(Options {
        seed: 2401,
        crashing_requests: true,
        ..Options::default()
    })
    .await;
}

/// An instance that shuts down has disconnected its children and has no link itself yet when it
/// detects three crashes, and is paused then. At the others, the request crashed four more
/// endpoints.
#[actix_rt::test]
async fn seed_6007_limits_the_crashes_while_an_instance_shuts_down() {
    assert_no_violation(Options {
        seed: 6007,
        crashing_requests: true,
        ..Options::default()
    })
    .await;
}

/// Links to endpoints are cut, and the store is silent to the root of the broadcast tree, beside all other
/// faults.
#[actix_rt::test]
async fn seed_5101_violates_no_guarantee_while_links_are_cut() {
    assert_no_violation(Options {
        seed: 5_101,
        link_cuts: true,
        ..Options::default()
    })
    .await;
}

/// Endpoints send late copies of their answers, and lots are ended beside freezes of their runner, beside all
/// other faults.
#[actix_rt::test]
async fn seed_7101_violates_no_guarantee_beside_late_copies_and_ended_lots() {
    assert_no_violation(Options {
        seed: 7_101,
        late_copies: true,
        ..Options::default()
    })
    .await;
}

/// Crowds of clients exhaust the memory and the connections of instances, beside all other faults.
#[actix_rt::test]
async fn seed_8101_violates_no_guarantee_beside_crowds() {
    assert_no_violation(Options {
        seed: 8_101,
        crowds: true,
        ..Options::default()
    })
    .await;
}
