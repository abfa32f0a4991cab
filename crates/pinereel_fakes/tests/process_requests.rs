//! Real processes: each kind of request, and the graceful shutdown.

#![allow(clippy::unwrap_used)]

mod process_support;

use awc::http::StatusCode;
use pinereel_fakes::{
    child_process::Signal,
    cluster::{self, Cluster, wait_until},
    engine::text,
};
use process_support::{
    SERVICES, TIMEOUT, TRAINER, book_order, check_versions, complete, count_decisions,
    finish_trainer, long_prompt, options, print_elapsed, stream,
};
use serde_json::json;
use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    path::Path,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

#[actix_rt::test]
async fn each_kind_of_request_succeeds_through_the_shipped_binary() {
    let mut options = options(2, 2, 2);
    let binary = Path::new(env!("CARGO_BIN_EXE_pinereel-fakes")).with_file_name("pinereel");
    // A build of this crate alone does not create the binary. Then the test runs `pinereel-fakes
    // entry`, which runs the same code.
    options.entry_binary = binary.exists().then_some(binary);
    println!(
        "measured: shipped binary used: {}",
        options.entry_binary.is_some()
    );
    let mut cluster = Cluster::start(options).await.unwrap();
    let prompt = long_prompt(40);
    for entry in &cluster.entries {
        let (text, versions) = complete(entry.callers, &prompt).await.unwrap();
        assert_eq!(text, text::completion(&prompt, 0, 40));
        assert_eq!(
            versions,
            json!([{ "version": 1, "tokens": versions[0]["tokens"] }])
        );
        let (id, _) = stream(entry.callers, &prompt, 30).await.unwrap();
        let request = format!("\"request\":\"{id}\"");
        // The log is written by a thread of its own, so the line may appear after the response.
        wait_until(async || count_decisions(entry, &[&request, "\"route\""]) == 1)
            .await
            .unwrap();
        let before = count_decisions(entry, &["\"route\"", SERVICES]);
        book_order(entry.callers, entry.name.to_string())
            .await
            .unwrap();
        let logged = async || count_decisions(entry, &["\"route\"", SERVICES]) == before + 1;
        wait_until(logged).await.unwrap();
    }
    let executions = cluster.executions().await.unwrap();
    let orders = executions.iter().filter(|e| e.path == "/orders");
    assert_eq!(orders.count(), 2);
    let flags = [
        "--steps",
        "2",
        "--groups",
        "4",
        "--samples",
        "4",
        "--max-tokens",
        "60",
    ];
    let mut trainer = cluster.start_trainer(TRAINER, &flags).unwrap();
    let samples = finish_trainer(&mut trainer, 2, 16).await;
    assert!(samples.iter().all(|s| s.sample.score.is_some()));
    check_versions(&samples, &cluster.attempts().await.unwrap());
    let placements: usize = cluster
        .entries
        .iter()
        .map(|e| count_decisions(e, &["\"place\""]))
        .sum();
    assert!(placements >= 2, "the placement of a lot was not logged");
    for entry in &mut cluster.entries {
        entry.child.signal(Signal::TERM).unwrap();
        assert!(cluster::wait_for_exit(&mut entry.child).await.unwrap());
    }
    assert_eq!(
        cluster
            .history("members")
            .await
            .unwrap()
            .iter()
            .filter(|r| r.change.value.is_none())
            .count(),
        2
    );
}

#[actix_rt::test]
async fn a_graceful_shutdown_finishes_a_long_stream_and_then_refuses_new_requests() {
    let mut options = options(1, 1, 0);
    options.engine_flags = vec!["--tokens-per-second", "100"];
    let mut cluster = Cluster::start(options).await.unwrap();
    let callers = cluster.entries[0].callers;
    let prompt = long_prompt(400);
    let stream_prompt = prompt.clone();
    let streaming = actix_rt::spawn(async move { stream(callers, &stream_prompt, 400).await });
    let stream_started = async || {
        cluster
            .attempts()
            .await
            .unwrap()
            .values()
            .any(|r| r.tokens > 0)
    };
    wait_until(stream_started).await.unwrap();
    // Keeps an idle connection to the entry open.
    let client = cluster::http_client();
    let readiness = client
        .get(format!("http://{callers}/ready"))
        .send()
        .await
        .unwrap();
    assert_eq!(readiness.status(), StatusCode::OK);
    let start = Instant::now();
    cluster.entries[0].child.signal(Signal::TERM).unwrap();
    wait_until(async || !cluster.entries[0].is_ready().await)
        .await
        .unwrap();
    print_elapsed("readiness off after SIGTERM", start);
    // The load balancer may still send requests, since it polls readiness.
    complete(callers, "in the lag").await.unwrap();
    cluster.entries[0].child.signal(Signal::TERM).unwrap();
    cluster.entries[0].child.signal(Signal::INT).unwrap();
    let entry = &cluster.entries[0].child;
    wait_until(async || {
        entry
            .wait_for_line("no new requests", Duration::ZERO)
            .is_some()
    })
    .await
    .unwrap();
    assert!(
        start.elapsed() >= Duration::from_secs(1),
        "new requests were refused before the balancer lag had passed"
    );
    assert!(complete(callers, "too late").await.is_err());
    assert!(
        !streaming.is_finished(),
        "the stream ended before the balancer lag had passed"
    );
    let (_, text) = streaming.await.unwrap().unwrap();
    assert_eq!(text, text::completion(&prompt, 0, 400));
    assert!(
        cluster::wait_for_exit(&mut cluster.entries[0].child)
            .await
            .unwrap()
    );
    print_elapsed("exit after SIGTERM, stream of 4 s", start);
    let attempts = cluster.attempts().await.unwrap();
    assert_eq!(
        attempts.len(),
        2,
        "the stream and the request during the balancer lag"
    );
}

/// Starts a fake service that sends the body of its only response in two parts, the second one after
/// a message on the channel.
fn start_slow_service() -> (SocketAddr, mpsc::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (send_rest, receiver) = mpsc::channel();
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let _ = socket.read(&mut [0; 4096]);
        socket
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nfirst")
            .unwrap();
        let _ = receiver.recv_timeout(TIMEOUT);
        let _ = socket.write_all(b"-last");
    });
    (address, send_rest)
}

#[actix_rt::test]
async fn a_graceful_shutdown_waits_until_a_response_body_is_complete() {
    let mut options = options(1, 0, 0);
    options.extra_settings = "[drain]\nbalancer_lag = 50ms\nlongest = 20s\n".into();
    let mut cluster = Cluster::start(options).await.unwrap();
    let (address, send_rest) = start_slow_service();
    let instance = json!({ "incarnation": 1, "address": address.to_string(), "zone": "toledo-hall",
        "pool": SERVICES, "state": "live" });
    cluster::post_json(
        cluster.object_api.address,
        "/instances/orders-app-0",
        &instance,
    )
    .await
    .unwrap();
    let entry = &cluster.entries[0];
    let is_known = async || entry.metric("pinereel_endpoints_known").await == Some(1.0);
    wait_until(is_known).await.unwrap();
    let url = format!("http://{}/services/{SERVICES}/report", entry.callers);
    let mut response = cluster::http_client().get(url).send().await.unwrap();
    cluster.entries[0].child.signal(Signal::TERM).unwrap();
    let entry = &cluster.entries[0].child;
    wait_until(async || {
        entry
            .wait_for_line("no new requests", Duration::ZERO)
            .is_some()
    })
    .await
    .unwrap();
    // An entry that does not count the body as in flight is done within far less time.
    let done = entry.wait_for_line("drain: done", Duration::from_millis(500));
    assert_eq!(done, None, "the drain ended during a response");
    send_rest.send(()).unwrap();
    let body = response.body().await.map_err(|e| e.to_string());
    assert_eq!(body.as_deref(), Ok(&b"first-last"[..]));
    assert!(
        cluster::wait_for_exit(&mut cluster.entries[0].child)
            .await
            .unwrap()
    );
}
