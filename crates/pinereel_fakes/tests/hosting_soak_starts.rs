//! The soak test with faults that meet processes that start. `pinereel-fakes soak --starts` runs it with other
//! seeds and for longer.

use pinereel_fakes::hosting::soak::{Options, run};

/// Processes ended by themselves at a signal right after their start, beside a settings file that was not
/// complete yet, and where another process still held one of their ports.
#[actix_rt::test]
async fn seed_21001_ends_no_process_that_meets_a_fault_at_its_start() {
    let options = Options {
        seed: 21_001,
        start_faults: true,
        ..Options::default()
    };
    let report = run(options).await.expect("the site starts");
    println!("{report}");
    assert!(report.violations.is_empty(), "{}", report.details());
}
