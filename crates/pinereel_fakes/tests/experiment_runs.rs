//! Experiment runs: the same figures for a seed, nothing beyond the bound, everything once.

#![allow(clippy::unwrap_used)]

use pinereel_fakes::experiment::{
    cli::compare, figure::Figures, policy::Policy, scenario::Scenario, table, world::World,
};

/// Steps of a run; enough for each fault to begin and end.
const STEPS: u32 = 8;

fn run(scenario: &str, policy: &str, seed: u64) -> Figures {
    let scenario = Scenario::load(scenario).expect("a scenario");
    let policy = Policy::find(policy).expect("a policy");
    World::new(&scenario, policy, seed, STEPS).run()
}

#[test]
fn a_seed_gives_the_same_figures_each_time() {
    let first = run("maumee-faults", "full", 7);
    assert_eq!(first, run("maumee-faults", "full", 7));
    assert_ne!(first, run("maumee-faults", "full", 8));
}

#[test]
fn no_sample_is_too_old_or_delivered_twice() {
    for scenario in Scenario::names() {
        // The first sends lots ahead without any care for versions.
        for policy in ["ahead-collect", "full"] {
            let figures = run(scenario, policy, 3);
            let place = format!("{scenario} {policy}");
            assert!(figures.steps > 0.0, "{place}: no step was finished");
            assert_eq!(figures.beyond, 0.0, "{place}: beyond the bound");
            assert_eq!(figures.twice, 0.0, "{place}: delivered twice");
            let (bound, idle) = (figures.bound, figures.idle);
            assert!(
                bound <= idle,
                "{place}: idle {idle} below its bound {bound}"
            );
        }
    }
}

#[test]
fn the_table_of_a_small_run() {
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
fn a_faulty_scenario_is_refused_with_the_place() {
    let text = "[site]\nmodel = m\nzones = a, b\nzone_us = soon\n";
    let error = Scenario::parse("x", text).unwrap_err();
    insta::assert_snapshot!(error, @"scenario: [site] zone_us: missing or malformed");
    let error = Scenario::load("nowhere").unwrap_err();
    insta::assert_snapshot!(error, @"scenario nowhere: neither built in nor a readable file");
}
