//! Real processes: each kind of request, and the graceful stop.

#![allow(clippy::unwrap_used)]

mod process_support;

use awc::http::StatusCode;
use pinereel_fakes::{
    cluster::{self, Cluster, wait_until},
    engine::text,
    child_process::Signal,
};
use process_support::{
    LONG, SERVICES, TRAINER, all_once, complete, decisions, long_prompt, measured, options, order,
    stream, true_versions,
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
async fn each_kind_of_request_passes_through_the_shipped_binary() {
    let mut options = options(2, 2, 2);
    let daemon = Path::new(env!("CARGO_BIN_EXE_pinereel-fakes")).with_file_name("pinereel");
    // A build of this crate alone does not make it; `pinereel-fakes entry` runs the same code.
    options.entry_binary = daemon.exists().then_some(daemon);
    println!(
        "measured: shipped binary used: {}",
        options.entry_binary.is_some()
    );
    let mut cluster = Cluster::start(options).await.unwrap();
    let prompt = long_prompt(40);
    for entry in &cluster.entries {
        let (text, versions) = complete(entry.callers, &prompt).await.unwrap();
        assert_eq!(text, text::whole(&prompt, 0, 40));
        assert_eq!(
            versions,
            json!([{ "version": 1, "tokens": versions[0]["tokens"] }])
        );
        let (id, _) = stream(entry.callers, &prompt, 30).await.unwrap();
        let line = format!("\"request\":\"{id}\"");
        // Lines come by way of the log's own thread.
        wait_until(async || decisions(entry, &[&line, "\"route\""]) == 1)
            .await
            .unwrap();
        let before = decisions(entry, &["\"route\"", SERVICES]);
        order(entry.callers, entry.name.to_string()).await.unwrap();
        let lines = async || decisions(entry, &["\"route\"", SERVICES]) == before + 1;
        wait_until(lines).await.unwrap();
    }
    let ran = cluster.executions().await.unwrap();
    assert_eq!(ran.iter().filter(|e| e.path == "/orders").count(), 2);
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
    let taken = all_once(&mut trainer, 2, 16).await;
    assert!(taken.iter().all(|t| t.sample.score.is_some()));
    true_versions(&taken, &cluster.attempts().await.unwrap());
    let placed: usize = cluster
        .entries
        .iter()
        .map(|e| decisions(e, &["\"place\""]))
        .sum();
    assert!(placed >= 2, "no line for where a lot went");
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
async fn a_planned_stop_ends_a_long_stream_and_takes_nothing_new() {
    let mut options = options(1, 1, 0);
    options.engine_flags = vec!["--tokens-per-second", "100"];
    let mut cluster = Cluster::start(options).await.unwrap();
    let callers = cluster.entries[0].callers;
    let prompt = long_prompt(400);
    let long = prompt.clone();
    let running = actix_rt::spawn(async move { stream(callers, &long, 400).await });
    let begun = async || {
        cluster
            .attempts()
            .await
            .unwrap()
            .values()
            .any(|r| r.tokens > 0)
    };
    wait_until(begun).await.unwrap();
    let kept = cluster::http_client();
    let warm = kept
        .get(format!("http://{callers}/ready"))
        .send()
        .await
        .unwrap();
    assert_eq!(warm.status(), StatusCode::OK);
    let start = Instant::now();
    cluster.entries[0].child.signal(Signal::TERM).unwrap();
    wait_until(async || !cluster.entries[0].is_ready().await)
        .await
        .unwrap();
    measured("readiness off after SIGTERM", start);
    // The balancer has not noticed yet.
    complete(callers, "in the lag").await.unwrap();
    cluster.entries[0].child.signal(Signal::TERM).unwrap();
    cluster.entries[0].child.signal(Signal::INT).unwrap();
    let entry = &cluster.entries[0].child;
    wait_until(async || entry.wait_for_line("no new requests", Duration::ZERO).is_some())
        .await
        .unwrap();
    assert!(
        start.elapsed() >= Duration::from_secs(1),
        "the lag was cut short"
    );
    assert!(complete(callers, "too late").await.is_err());
    assert!(
        !running.is_finished(),
        "the stream was meant to be longer than the lag"
    );
    let (_, text) = running.await.unwrap().unwrap();
    assert_eq!(text, text::whole(&prompt, 0, 400));
    assert!(cluster::wait_for_exit(&mut cluster.entries[0].child).await.unwrap());
    measured("exit after SIGTERM, stream of 4 s", start);
    let attempts = cluster.attempts().await.unwrap();
    assert_eq!(attempts.len(), 2, "the stream and the one in the lag");
}

/// A service whose answer's body comes in two parts, the second one on request.
fn slow_service() -> (SocketAddr, mpsc::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (go_on, wait) = mpsc::channel();
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let _ = socket.read(&mut [0; 4096]);
        socket
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nfirst")
            .unwrap();
        let _ = wait.recv_timeout(LONG);
        let _ = socket.write_all(b"-last");
    });
    (address, go_on)
}

#[actix_rt::test]
async fn a_planned_stop_ends_an_answer_whose_body_is_on_its_way() {
    let mut options = options(1, 0, 0);
    options.extra_settings = "[drain]\nbalancer_lag = 50ms\nlongest = 20s\n".into();
    let mut cluster = Cluster::start(options).await.unwrap();
    let (address, go_on) = slow_service();
    let instance = json!({ "incarnation": 1, "address": address.to_string(), "zone": "toledo-hall",
        "pool": SERVICES, "state": "live" });
    cluster::post_json(cluster.object_api.address, "/instances/orders-app-0", &instance)
        .await
        .unwrap();
    let entry = &cluster.entries[0];
    let known = async || entry.metric("pinereel_endpoints_known").await == Some(1.0);
    wait_until(known).await.unwrap();
    let url = format!("http://{}/services/{SERVICES}/report", entry.callers);
    let mut response = cluster::http_client().get(url).send().await.unwrap();
    cluster.entries[0].child.signal(Signal::TERM).unwrap();
    let entry = &cluster.entries[0].child;
    wait_until(async || entry.wait_for_line("no new requests", Duration::ZERO).is_some())
        .await
        .unwrap();
    // An entry that forgets the body is done long before this.
    let done = entry.wait_for_line("drain: done", Duration::from_millis(500));
    assert_eq!(done, None, "it ended while an answer was on its way");
    go_on.send(()).unwrap();
    let body = response.body().await.map_err(|e| e.to_string());
    assert_eq!(body.as_deref(), Ok(&b"first-last"[..]));
    assert!(cluster::wait_for_exit(&mut cluster.entries[0].child).await.unwrap());
}
