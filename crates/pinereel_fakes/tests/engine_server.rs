//! Fake engine over HTTP: streams, orders with and without fencing, refusals, cut streams.

#![allow(clippy::unwrap_used)]

use awc::{Client, http::StatusCode};
use pinereel_api::engine::{Cancel, Chunk, FinishReason, Order, Request, State};
use pinereel_core::Version;
use pinereel_fakes::engine::{
    batch,
    cache::CachedBlocks,
    fault::Faults,
    server::{ExportRequest, Handle, Options},
    text,
};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// End of a complete response body in chunked encoding.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";
const PROMPT: &str = "a prompt of a few words for the engine";

fn options() -> Options {
    Options {
        batch: batch::Options {
            tokens_per_second: 5_000.0,
            swap_time: Duration::from_millis(5),
            ..batch::Options::default()
        },
        lag: Duration::ZERO,
        ..Options::default()
    }
}

fn client() -> Client {
    Client::builder()
        .disable_redirects()
        .timeout(Duration::from_secs(20))
        .finish()
}

fn faults_with(set: impl FnOnce(&mut Faults)) -> Faults {
    let mut faults = Faults::default();
    set(&mut faults);
    faults
}

fn url(engine: &Handle, path: &str) -> String {
    format!("http://{}{path}", engine.address)
}

fn request(id: &str, chunk_tokens: u32) -> Request {
    Request {
        prompt: PROMPT.into(),
        max_tokens: 20,
        seed: (0..)
            .find(|seed| text::unlimited_length(PROMPT, *seed) > 20)
            .unwrap(),
        request_id: id.into(),
        chunk_tokens,
        ..Request::default()
    }
}

/// Body of a completion as far as it was received: `awc` reports a cut body as a complete one.
async fn complete(engine: &Handle, request: &Request) -> String {
    let call = client().post(url(engine, "/v1/completions"));
    let mut response = call.send_json(request).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    let body = response.body().await.unwrap();
    String::from_utf8(body.to_vec()).unwrap()
}

/// All bytes of the response to a completion request, until the engine closes the connection.
async fn raw_response(engine: &Handle, request: &Request) -> String {
    let json = serde_json::to_string(request).unwrap();
    let length = json.len();
    let head = format!("POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {length}");
    let call = format!("{head}\r\nconnection: close\r\n\r\n{json}");
    let mut stream = TcpStream::connect(engine.address).await.unwrap();
    stream.write_all(call.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // The engine may cut a stream by a reset; the bytes received before it are checked.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).unwrap()
}

fn parse_chunks(body: &str) -> Vec<Chunk> {
    let events = body
        .split_terminator("\n\n")
        .map(|e| e.strip_prefix("data: ").unwrap());
    let json = events.filter(|event| *event != "[DONE]");
    json.map(|event| serde_json::from_str(event).unwrap())
        .collect()
}

async fn send_order(engine: &Handle, fence: u64, version: u64) -> StatusCode {
    let order = Order {
        fence,
        model: "m".into(),
        version: Version(version),
    };
    let call = client().post(url(engine, "/v1/orders"));
    call.send_json(&order).await.unwrap().status()
}

async fn get_state(engine: &Handle) -> State {
    let mut response = client().get(url(engine, "/v1/state")).send().await.unwrap();
    response.json().await.unwrap()
}

#[actix_rt::test]
async fn stream_sends_tokens_in_chunks_and_ends_with_done() {
    let engine = Handle::start(options()).await.unwrap();
    let body = complete(&engine, &request("a", 8)).await;
    assert!(body.ends_with("data: [DONE]\n\n"));
    let response = raw_response(&engine, &request("raw", 8)).await;
    assert!(response.ends_with(LAST_CHUNK), "{response}");
    let chunks = parse_chunks(&body);
    let sizes: Vec<_> = chunks.iter().map(|c| (c.offset, c.tokens)).collect();
    assert_eq!(sizes, [(0, 8), (8, 8), (16, 4)]);
    assert_eq!(chunks[2].finish, Some(FinishReason::Length));
    let text: String = chunks.iter().map(|c| c.text.as_str()).collect();
    assert_eq!(text::check(PROMPT, 20, &text), Ok(()));
    let record = &engine.records()["a"];
    assert_eq!(
        (record.tokens, record.finished),
        (20, Some(FinishReason::Length))
    );
    engine.stop();
}

#[actix_rt::test]
async fn order_with_an_old_fencing_token_is_refused_only_if_the_engine_checks_fencing() {
    for checks_fencing in [true, false] {
        let engine = Handle::start(Options {
            checks_fencing,
            ..options()
        })
        .await
        .unwrap();
        assert_eq!(send_order(&engine, 5, 2).await, StatusCode::OK);
        let late_status = send_order(&engine, 4, 3).await;
        let (status, version) = if checks_fencing {
            (StatusCode::CONFLICT, 2)
        } else {
            (StatusCode::OK, 3)
        };
        assert_eq!(late_status, status);
        let state = loop {
            let state = get_state(&engine).await;
            if state.loading.is_none() {
                break state;
            }
        };
        assert_eq!((state.version, state.fence), (Some(Version(version)), 5));
        engine.stop();
    }
}

#[actix_rt::test]
async fn refused_requests_are_not_run() {
    let mut unloaded = options();
    unloaded.batch.initial_version = None;
    let unloaded = Handle::start(unloaded).await.unwrap();
    let leaving = Handle::start(options()).await.unwrap();
    leaving.set_faults(faults_with(|f| f.leaving = true));
    for (engine, reason) in [(&unloaded, "not-loaded"), (&leaving, "leaving")] {
        let call = client().post(url(engine, "/v1/completions"));
        let response = call.send_json(&request("a", 1)).await.unwrap();
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(response.headers().get("x-refused").unwrap(), reason);
        assert!(response.headers().contains_key("x-incarnation"));
        assert!(engine.records().is_empty());
        engine.stop();
    }
}

#[actix_rt::test]
async fn cut_and_crashed_streams_are_incomplete_and_duplicated_chunks_come_twice() {
    let engine = Handle::start(options()).await.unwrap();
    engine.set_faults(faults_with(|f| f.cut_streams = true));
    let cut = raw_response(&engine, &request("cut", 4)).await;
    assert!(cut.contains(r#""offset":0"#), "{cut}");
    assert!(!cut.contains(r#""offset":4"#), "{cut}");
    assert!(!cut.ends_with(LAST_CHUNK), "{cut}");
    let incarnation = get_state(&engine).await.incarnation;
    engine.set_faults(faults_with(|f| f.crash_after_tokens = Some(10)));
    let crashed = raw_response(&engine, &request("crashed", 4)).await;
    assert!(crashed.contains(r#""offset":0"#), "{crashed}");
    assert!(!crashed.ends_with(LAST_CHUNK), "{crashed}");
    assert_eq!(get_state(&engine).await.incarnation, incarnation + 1);
    engine.set_faults(faults_with(|f| f.duplicate_chunks = true));
    let body = complete(&engine, &request("twice", 10)).await;
    let offsets: Vec<_> = parse_chunks(&body).iter().map(|c| c.offset).collect();
    assert_eq!(offsets, [0, 0, 10, 10]);
    engine.stop();
}

#[actix_rt::test]
async fn stalled_stream_can_be_cancelled() {
    let engine = Handle::start(options()).await.unwrap();
    engine.set_faults(faults_with(|f| f.stall = true));
    let call = client().post(url(&engine, "/v1/completions"));
    let mut response = call.send_json(&request("a", 4)).await.unwrap();
    let cancel = Cancel {
        request_id: "a".into(),
    };
    let call = client().post(url(&engine, "/v1/cancel"));
    assert_eq!(
        call.send_json(&cancel).await.unwrap().status(),
        StatusCode::NO_CONTENT
    );
    let body = response.body().await.unwrap();
    let chunks = parse_chunks(std::str::from_utf8(&body).unwrap());
    assert_eq!(chunks.last().unwrap().finish, Some(FinishReason::Cancelled));
    engine.stop();
}

#[actix_rt::test]
async fn closed_connection_cancels_the_attempt() {
    let mut slow = options();
    slow.batch.tokens_per_second = 200.0;
    let engine = Handle::start(slow).await.unwrap();
    let mut seeds = 0..;
    let long = Request {
        seed: seeds
            .find(|seed| text::unlimited_length(PROMPT, *seed) > 400)
            .unwrap(),
        max_tokens: 400,
        ..request("a", 1)
    };
    let call = client().post(url(&engine, "/v1/completions"));
    drop(call.send_json(&long).await.unwrap());
    let finished = loop {
        get_state(&engine).await;
        if let Some(finished) = engine.records()["a"].finished {
            break finished;
        }
    };
    assert_eq!(finished, FinishReason::Cancelled);
    engine.stop();
}

#[actix_rt::test]
async fn imported_blocks_keep_the_version_that_computed_them() {
    let (from, to) = (
        Handle::start(options()).await.unwrap(),
        Handle::start(options()).await.unwrap(),
    );
    complete(&from, &request("a", 20)).await;
    send_order(&to, 1, 4).await;
    let export = ExportRequest {
        prompt: PROMPT.into(),
    };
    let call = client().post(url(&from, "/v1/kv/export"));
    let blocks: CachedBlocks = call.send_json(&export).await.unwrap().json().await.unwrap();
    let call = client().post(url(&to, "/v1/kv/import"));
    assert_eq!(
        call.send_json(&blocks).await.unwrap().status(),
        StatusCode::NO_CONTENT
    );
    let body = complete(&to, &request("b", 20)).await;
    let first = &parse_chunks(&body)[0];
    assert_eq!(first.reused[0].version, Version(1));
    assert_eq!(first.version, Some(Version(4)));
    assert_eq!(to.records()["b"].prompt_spans[0], first.reused[0]);
    from.stop();
    to.stop();
}
