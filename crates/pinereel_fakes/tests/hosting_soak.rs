//! A short seeded run of the fault soak; `pinereel-fakes soak` runs more.

use pinereel_fakes::hosting::soak::{Options, run};
use std::time::Duration;

/// Runs a seed and tells all that is needed to trace a broken promise.
async fn soak(seed: u64) {
    let options = Options {
        seed,
        length: Duration::from_secs(10),
        ..Options::default()
    };
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
    soak(1).await;
}
