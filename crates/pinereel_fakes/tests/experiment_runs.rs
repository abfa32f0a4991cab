//! Experiment runs: the same seed gives the same metrics, and each sample is delivered once and
//! within its staleness bound.

#![allow(clippy::unwrap_used)]

use pinereel_fakes::experiment::{
    cli::compare, metrics::Metrics, policy::Policy, scenario::Scenario, simulation::Simulation,
    table,
};

/// Nominal number of steps of a run; long enough that each fault begins and ends.
const STEPS: u32 = 8;

fn run(scenario: &str, policy: &str, seed: u64) -> Metrics {
    let scenario = Scenario::load(scenario).expect("scenario should be built in");
    let policy = Policy::find(policy).expect("policy should exist");
    Simulation::new(&scenario, policy, seed, STEPS).run()
}

#[test]
fn metrics_repeat_exactly_with_the_same_seed_and_differ_with_another() {
    let first = run("maumee-faults", "full", 7);
    assert_eq!(first, run("maumee-faults", "full", 7));
    assert_ne!(first, run("maumee-faults", "full", 8));
}

#[test]
fn samples_are_delivered_once_and_fresh_and_the_idle_bound_holds() {
    for scenario in Scenario::names() {
        // Under `ahead-collect`, lots are submitted ahead, but runners ignore versions when they
        // start samples.
        for policy in ["ahead-collect", "full"] {
            let metrics = run(scenario, policy, 3);
            let case = format!("{scenario} {policy}");
            assert!(metrics.steps > 0.0, "{case}: no step has all its samples");
            assert_eq!(metrics.over_bound, 0.0, "{case}: samples too old");
            assert_eq!(metrics.repeated, 0.0, "{case}: samples delivered twice");
            let (bound, idle) = (metrics.idle_bound, metrics.idle_share);
            assert!(
                bound <= idle,
                "{case}: idle share {idle} is below its lower bound {bound}"
            );
        }
    }
}

#[test]
fn table_shows_the_metrics_of_each_policy() {
    let scenario = Scenario::load("prairie").unwrap();
    let policies = ["baseline", "live-only"].map(|name| Policy::find(name).unwrap());
    let rows = compare(&scenario, &policies, 1, STEPS);
    insta::assert_snapshot!(table::text(&rows), @"
    scenario        policy                 steps   idle  bound stale-mean stale-max dropped wasted group-p99-ms live-p50-ms live-p99-ms refused score-maumee score-prairie beyond  idle least..most
    prairie         baseline                  12  0.708  0.262       0.24         1  0.0000  0.005         2230          97         218  0.0078         70.5          46.9      0  0.708..0.708
    prairie         live-only                  0  1.000  0.000       0.00         0  0.0000  0.005            0          86         188  0.0078         70.0          30.0      0  1.000..1.000
    ");
}

#[test]
fn scenario_errors_name_the_malformed_key_or_the_unknown_scenario() {
    let text = "[site]\nmodel = m\nzones = a, b\nzone_us = soon\n";
    let error = Scenario::parse("x", text).unwrap_err();
    insta::assert_snapshot!(error, @"scenario: [site] zone_us: missing or malformed");
    let error = Scenario::load("nowhere").unwrap_err();
    insta::assert_snapshot!(error, @"scenario nowhere: neither built in nor a readable file");
}
