//! The soak test with entries of another writer in the store. `pinereel-fakes soak --foreign` runs it with other
//! seeds and for longer.

use pinereel_fakes::hosting::soak::{Options, run};

/// An entry whose name has a meaning in a URI made lists fail or begin again for ever, so that instances without
/// endpoints took memory without a bound and called the store without a pause.
#[actix_rt::test]
async fn seed_22001_serves_beside_entries_of_another_writer() {
    let options = Options {
        seed: 22_001,
        foreign_entries: true,
        ..Options::default()
    };
    let report = run(options).await.expect("the site starts");
    println!("{report}");
    assert!(report.violations.is_empty(), "{}", report.details());
}
