//! The load tool: bounds, counts, and latency from the intended time.

#![allow(clippy::unwrap_used)]

use pinereel_fakes::{
    load::{
        open_loop::Source,
        target::{Kind, Target},
    },
    service::{Faults, Handle, Options, Service},
};
use std::{
    process::{Command, Output},
    time::Duration,
};

fn load(flags: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pinereel-fakes"))
        .arg("load")
        .args(flags)
        .output()
        .unwrap()
}

async fn service() -> (Handle, Target) {
    let service = Service::start(Options::default()).await.unwrap();
    let target = Target {
        address: service.address,
        kind: Kind::Service,
        pool: None,
    };
    (service, target)
}

#[test]
fn goes_nowhere_but_loopback_and_stays_in_bounds() {
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
        let output = load(flags);
        assert_eq!(output.status.code(), Some(2), "{flags:?}");
        assert!(output.stdout.is_empty(), "{flags:?}");
    }
}

#[test]
fn requests_without_an_answer_fail_the_run() {
    // Bound and dropped at once: nobody listens there.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let output = load(&[
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
    let (service, target) = service().await;
    let outcome = Source::new(target, 4)
        .run(200, Duration::from_millis(500))
        .await;
    assert_eq!((outcome.latency.len(), outcome.failed), (100, 0));
    assert_eq!(service.executions().len(), 100);
}

/// One connection and answers of 50 ms carry 20 requests a second; of 100 a second the last one
/// waits for those before it, and is charged for that.
#[actix_rt::test]
async fn latency_counts_from_the_intended_time() {
    let (service, target) = service().await;
    service.set_faults(Faults {
        delay_ms: Some(50),
        ..Faults::default()
    });
    let outcome = Source::new(target, 1)
        .run(100, Duration::from_millis(200))
        .await;
    assert_eq!(outcome.latency.len(), 20);
    let last = Duration::from_micros(outcome.latency.max());
    // 20 answers of 50 ms, less the 190 ms at which the last one was to leave.
    assert!(last >= Duration::from_millis(800), "{last:?}");
}
