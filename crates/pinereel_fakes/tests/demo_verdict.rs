//! The demo's output and exit code.

#![allow(clippy::unwrap_used)]

use pinereel_fakes::demo::summary::{Propagation, Summary};
use serde_json::Value;
use std::process::{Command, Output};

fn run_demo(flags: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pinereel-fakes"))
        .arg("demo")
        .args(flags)
        .output()
        .unwrap()
}

#[test]
fn a_run_of_one_deployment_passes_and_prints_json() {
    let output = run_demo(&["--deployment", "prairie", "--json"]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{text}");
    let summaries: Value = serde_json::from_str(&text).unwrap();
    let summary = &summaries[0];
    assert_eq!(summaries.as_array().unwrap().len(), 1);
    assert_eq!(summary["trainer"]["samples"], 192);
    let checks = summary["checks"].as_array().unwrap();
    assert!(checks.len() >= 8);
    assert!(checks.iter().all(|check| check["held"] == true), "{text}");
}

#[test]
fn invalid_flags_exit_with_2() {
    assert_eq!(
        run_demo(&["--deployment", "nowhere"]).status.code(),
        Some(2)
    );
    assert_eq!(run_demo(&["--fast"]).status.code(), Some(2));
}

#[test]
fn a_violated_guarantee_or_an_unfinished_run_fails() {
    let mut summary = Summary::default();
    summary.check("every sample comes once", true, 32);
    assert!(summary.passed());
    summary.check("no sample is older than the bound", false, 3);
    assert!(!summary.passed());
    assert!(!Summary::failed("maumee", "late".into()).passed());
}

#[test]
fn the_text_summary_lists_measurements_and_checks() {
    let mut summary = Summary {
        deployment: "maumee",
        zones: 4,
        entries: 9,
        engines: 8,
        services: 4,
        patch: Some(Propagation {
            number: 2,
            duration_ms: 40,
        }),
        ..Summary::default()
    };
    summary.check("every sample comes once", true, 32);
    summary.check("no sample is older than the bound", false, 3);
    insta::assert_snapshot!(summary.text(), @r"
    maumee: 9 entries in 4 availability zones, 8 engines, 4 services, 0.0 s
      steps, each one lot                                 0, 0 samples, 0 tokens
      staleness (versions)                                mean 0.00, max 0
      trainer idle                                        0 %
      live completions                                    0, p50 0.0 ms, p99 0.0 ms
      live service calls                                  0, p50 0.0 ms, p99 0.0 ms
      sent again (not run)                                0
      configuration patch                                 number 2 in force on all entries after 40 ms
      drain of an entry                                   0 ms
      its replacement ready                               0 ms
      every sample comes once                             held
      no sample is older than the bound                   FAILED 3
    ");
}
