//! Prometheus metrics: every line of the text format parses, and each metric has its name and labels.

use pinereel::{logging::DecisionKind, metrics::Metrics};
use pinereel_api::problem::Code;
use std::collections::{BTreeMap, BTreeSet};

/// Parses samples by name and labels; panics on a line that is neither a comment nor a sample.
fn parse(text: &str) -> BTreeMap<String, f64> {
    let sample = |line: &str| {
        let (name, value) = line.rsplit_once(' ').expect("a name and a value");
        assert!(name.starts_with("pinereel_"), "{line}");
        (name.to_owned(), value.parse().expect("a number"))
    };
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines.map(sample).collect()
}

#[test]
fn metrics_have_their_names_and_labels() {
    let metrics = Metrics::new();
    metrics
        .requests
        .with_label_values(&["draft-llm", "answer"])
        .inc();
    metrics
        .latency
        .with_label_values(&["draft-llm"])
        .observe(0.3);
    metrics
        .attempts
        .with_label_values(&["draft-llm", "answer"])
        .inc_by(2);
    metrics.retries.with_label_values(&["draft-llm"]).inc();
    metrics.count_refusal(Code::SlowSender);
    metrics.in_flight.with_label_values(&["draft-llm"]).set(4);
    metrics.waiting.with_label_values(&["draft-llm"]).set(2);
    metrics.count_decision(DecisionKind::Route);
    metrics.late_chunks.inc();
    metrics.lots.with_label_values(&["wording", "done"]).inc();
    metrics
        .samples
        .with_label_values(&["wording", "voided"])
        .inc();
    metrics
        .staleness
        .with_label_values(&["wording"])
        .observe(1.0);
    metrics
        .object_calls
        .with_label_values(&["lease", "read"])
        .inc();
    metrics.config_number.set(7);
    metrics.peer_frames.with_label_values(&["in"]).inc();
    metrics.peer_bytes.with_label_values(&["out"]).inc_by(99);
    metrics.links_up.set(8);
    metrics.endpoints_known.set(12);
    metrics.runner.with_label_values(&["finished"]).inc_by(3);
    metrics.claims.with_label_values(&["granted"]).inc();
    let samples = parse(&metrics.render());
    let process = |name: &str| name.starts_with("pinereel_process_");
    let lines: Vec<_> = samples
        .iter()
        .filter(|(name, _)| !process(name) && !name.contains("_bucket"))
        .map(|(name, value)| format!("{name} {value}"))
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    pinereel_attempts_total{pool="draft-llm",result="answer"} 2
    pinereel_claims_total{verdict="granted"} 1
    pinereel_config_number 7
    pinereel_decisions_total{what="route"} 1
    pinereel_endpoints_known 12
    pinereel_late_chunks_dropped_total 1
    pinereel_log_lines_dropped_total 0
    pinereel_lots_total{event="done",trainer="wording"} 1
    pinereel_object_api_calls_total{kind="read",purpose="lease"} 1
    pinereel_peer_bytes_total{direction="out"} 99
    pinereel_peer_frames_total{direction="in"} 1
    pinereel_peer_links_up 8
    pinereel_refused_total{code="slow_sender"} 1
    pinereel_request_seconds_count{pool="draft-llm"} 1
    pinereel_request_seconds_sum{pool="draft-llm"} 0.3
    pinereel_requests_in_flight{pool="draft-llm"} 4
    pinereel_requests_total{outcome="answer",pool="draft-llm"} 1
    pinereel_requests_waiting{pool="draft-llm"} 2
    pinereel_retries_total{pool="draft-llm"} 1
    pinereel_runner_total{event="finished"} 3
    pinereel_samples_total{event="voided",trainer="wording"} 1
    pinereel_scheduling_delay_milliseconds 0
    pinereel_staleness_versions_count{trainer="wording"} 1
    pinereel_staleness_versions_sum{trainer="wording"} 1
    "#);
    let names: BTreeSet<_> = samples.keys().filter(|name| process(name)).collect();
    insta::assert_snapshot!(format!("{names:?}"), @r#"
    {"pinereel_process_cpu_seconds_total", "pinereel_process_resident_bytes"}
    "#);
    assert_eq!(
        samples["pinereel_staleness_versions_bucket{trainer=\"wording\",le=\"0\"}"],
        0.0
    );
    assert_eq!(
        samples["pinereel_staleness_versions_bucket{trainer=\"wording\",le=\"1\"}"],
        1.0
    );
}

#[test]
fn entries_of_one_process_have_independent_metrics() {
    let (one, two) = (Metrics::new(), Metrics::default());
    one.late_chunks.inc();
    assert_eq!(
        parse(&one.render())["pinereel_late_chunks_dropped_total"],
        1.0
    );
    assert_eq!(
        parse(&two.render())["pinereel_late_chunks_dropped_total"],
        0.0
    );
}

#[test]
fn process_metrics_are_reported() {
    let samples = parse(&Metrics::new().render());
    assert!(samples["pinereel_process_resident_bytes"] > 1_048_576.0);
    assert!(samples["pinereel_process_cpu_seconds_total"] >= 0.0);
}
