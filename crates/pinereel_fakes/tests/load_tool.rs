//! The load tool: limits of its flags, counts of requests, and latency from the intended time.

#![allow(clippy::unwrap_used)]

use pinereel_fakes::{
    load::{
        open_loop::Generator,
        target::{Kind, Target},
    },
    service::{Faults, Handle, Options, Service},
};
use std::{
    process::{Command, Output},
    time::Duration,
};

fn run_load(flags: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pinereel-fakes"))
        .arg("load")
        .args(flags)
        .output()
        .unwrap()
}

async fn start_service() -> (Handle, Target) {
    let service = Service::start(Options::default()).await.unwrap();
    let target = Target {
        address: service.address,
        kind: Kind::Service,
        pool: None,
    };
    (service, target)
}

#[test]
fn addresses_off_loopback_and_invalid_flags_are_rejected() {
    for flags in [
        ["--target", "192.0.2.1:80"].as_slice(),
        &["--target", "127.0.0.1:1", "--direct", "[2001:db8::1]:80"],
        &["--target", "127.0.0.1:1", "--rate", "0"],
        &["--target", "127.0.0.1:1", "--rate", "50001"],
        &["--target", "127.0.0.1:1", "--seconds", "301"],
        &["--target", "127.0.0.1:1", "--connections", "1025"],
        &["--target", "127.0.0.1:1", "--embedded"],
        &[],
    ] {
        let output = run_load(flags);
        assert_eq!(output.status.code(), Some(2), "{flags:?}");
        assert!(output.stdout.is_empty(), "{flags:?}");
    }
}

#[test]
fn run_fails_if_requests_have_no_response() {
    // No process listens at the address of a listener that was dropped.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let output = run_load(&[
        "--target",
        &address,
        "--rate",
        "20",
        "--seconds",
        "1",
        "--json",
    ]);
    assert_eq!(output.status.code(), Some(1));
    let figures: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(
        (&figures["answers"], &figures["failed"]),
        (&0.into(), &20.into())
    );
}

#[actix_rt::test]
async fn every_request_is_sent_once() {
    let (service, target) = start_service().await;
    let outcome = Generator::new(target, 4)
        .run(200, Duration::from_millis(500))
        .await;
    assert_eq!((outcome.latency.len(), outcome.failed), (100, 0));
    assert_eq!(service.executions().len(), 100);
}

/// With responses after 50 ms, one connection carries 20 requests per second. At 100 requests per
/// second, the last request waits for the previous ones, and its latency must include this time.
#[actix_rt::test]
async fn latency_is_measured_from_the_intended_time() {
    let (service, target) = start_service().await;
    service.set_faults(Faults {
        delay_ms: Some(50),
        ..Faults::default()
    });
    let outcome = Generator::new(target, 1)
        .run(100, Duration::from_millis(200))
        .await;
    assert_eq!(outcome.latency.len(), 20);
    let last = Duration::from_micros(outcome.latency.max());
    // 20 responses take 50 ms each; the last request was to be sent after 190 ms.
    assert!(last >= Duration::from_millis(800), "{last:?}");
}
