//! Changes of the configuration in quick succession, with real processes and faults between them and the store
//! in series: each change is in force at the instances in touch within 2 s, no process goes back to an older
//! version, and added routes are served. `pinereel-fakes soak --configurations` runs it with other seeds.

use pinereel_fakes::hosting::{
    site::Size,
    soak::{Options, run},
};
use std::time::Duration;

/// Runs the soak test without other faults, and asserts that no guarantee was violated.
async fn assert_no_violation(seed: u64, instances: usize) {
    let duration = Duration::from_secs(25);
    let options = Options {
        seed,
        duration,
        size: Size {
            instances,
            engines: 2,
            services: 3,
        },
        callers_per_kind: 1,
        // The first other fault would come after the end.
        mean_pause: duration * 4,
        config_changes: true,
        ..Options::default()
    };
    let report = run(options).await.expect("the site starts");
    println!("{report}\n{:#?}", report.injected_faults);
    assert!(report.violations.is_empty(), "{}", report.details());
}

/// Children stayed with a root that the store did not answer, and applied changes after up to 2.4 s.
#[actix_rt::test]
async fn seed_9101_applies_each_change_in_time_at_twelve_instances() {
    assert_no_violation(9_101, 12).await;
}

/// The same where the changes take two links.
#[actix_rt::test]
async fn seed_9102_applies_each_change_in_time_on_two_levels() {
    assert_no_violation(9_102, 36).await;
}
