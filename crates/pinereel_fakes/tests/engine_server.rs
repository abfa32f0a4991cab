//! The engine stand-in over HTTP: streams, orders with and without fencing, refusals, cuts.

#![allow(clippy::unwrap_used)]

use awc::{Client, http::StatusCode};
use pinereel_api::engine::{Cancel, Chunk, FinishReason, Order, Request, State};
use pinereel_core::Version;
use pinereel_fakes::engine::{
    batch,
    cache::Blob,
    fault::Faults,
    server::{Handle, Options, Prompt},
    text,
};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Regular end of a body in chunks.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";
const PROMPT: &str = "a prompt of a few words for the engine";

fn options() -> Options {
    Options {
        batch: batch::Options {
            tokens_per_second: 5_000.0,
            swap: Duration::from_millis(5),
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

fn broken(set: impl FnOnce(&mut Faults)) -> Faults {
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
            .find(|seed| text::natural_length(PROMPT, *seed) > 20)
            .unwrap(),
        request_id: id.into(),
        chunk_tokens,
        ..Request::default()
    }
}

/// The body of a completion as far as it came. The client takes a cut body for an ended one.
async fn complete(engine: &Handle, request: &Request) -> String {
    let call = client().post(url(engine, "/v1/completions"));
    let mut answer = call.send_json(request).await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    let body = answer.body().await.unwrap();
    String::from_utf8(body.to_vec()).unwrap()
}

/// All bytes of a completion's answer until the engine closes the connection.
async fn raw(engine: &Handle, request: &Request) -> String {
    let json = serde_json::to_string(request).unwrap();
    let length = json.len();
    let head = format!("POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {length}");
    let call = format!("{head}\r\nconnection: close\r\n\r\n{json}");
    let mut stream = TcpStream::connect(engine.address).await.unwrap();
    stream.write_all(call.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // A reset is one way to cut; what came before it counts.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).unwrap()
}

fn chunks(body: &str) -> Vec<Chunk> {
    let events = body
        .split_terminator("\n\n")
        .map(|e| e.strip_prefix("data: ").unwrap());
    let json = events.filter(|event| *event != "[DONE]");
    json.map(|event| serde_json::from_str(event).unwrap())
        .collect()
}

async fn order(engine: &Handle, fence: u64, version: u64) -> StatusCode {
    let order = Order {
        fence,
        model: "m".into(),
        version: Version(version),
    };
    let call = client().post(url(engine, "/v1/orders"));
    call.send_json(&order).await.unwrap().status()
}

async fn state(engine: &Handle) -> State {
    let mut answer = client().get(url(engine, "/v1/state")).send().await.unwrap();
    answer.json().await.unwrap()
}

#[actix_rt::test]
async fn streams_coalesce_tokens_and_end_with_done() {
    let engine = Handle::start(options()).await.unwrap();
    let body = complete(&engine, &request("a", 8)).await;
    assert!(body.ends_with("data: [DONE]\n\n"));
    let whole = raw(&engine, &request("raw", 8)).await;
    assert!(whole.ends_with(LAST_CHUNK), "{whole}");
    let chunks = chunks(&body);
    let sizes: Vec<_> = chunks.iter().map(|c| (c.offset, c.tokens)).collect();
    assert_eq!(sizes, [(0, 8), (8, 8), (16, 4)]);
    assert_eq!(chunks[2].finish, Some(FinishReason::Length));
    let whole: String = chunks.iter().map(|c| c.text.as_str()).collect();
    assert_eq!(text::check(PROMPT, 20, &whole), Ok(()));
    let record = &engine.record()["a"];
    assert_eq!(
        (record.tokens, record.finished),
        (20, Some(FinishReason::Length))
    );
    engine.stop();
}

#[actix_rt::test]
async fn old_fencing_tokens_are_refused_only_by_engines_that_check() {
    for checks_fencing in [true, false] {
        let engine = Handle::start(Options {
            checks_fencing,
            ..options()
        })
        .await
        .unwrap();
        assert_eq!(order(&engine, 5, 2).await, StatusCode::OK);
        let late = order(&engine, 4, 3).await;
        let (status, version) = if checks_fencing {
            (StatusCode::CONFLICT, 2)
        } else {
            (StatusCode::OK, 3)
        };
        assert_eq!(late, status);
        let told = loop {
            let told = state(&engine).await;
            if told.loading.is_none() {
                break told;
            }
        };
        assert_eq!((told.version, told.fence), (Some(Version(version)), 5));
        engine.stop();
    }
}

#[actix_rt::test]
async fn refusals_come_before_anything_runs() {
    let mut unloaded = options();
    unloaded.batch.version = None;
    let unloaded = Handle::start(unloaded).await.unwrap();
    let leaving = Handle::start(options()).await.unwrap();
    leaving.set_faults(broken(|f| f.leaving = true));
    for (engine, reason) in [(&unloaded, "not-loaded"), (&leaving, "leaving")] {
        let call = client().post(url(engine, "/v1/completions"));
        let answer = call.send_json(&request("a", 1)).await.unwrap();
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(answer.headers().get("x-refused").unwrap(), reason);
        assert!(answer.headers().contains_key("x-incarnation"));
        assert!(engine.record().is_empty());
        engine.stop();
    }
}

#[actix_rt::test]
async fn cut_and_crashed_streams_are_not_whole_and_duplicates_are_repeats() {
    let engine = Handle::start(options()).await.unwrap();
    engine.set_faults(broken(|f| f.cut_streams = true));
    let cut = raw(&engine, &request("cut", 4)).await;
    assert!(cut.contains(r#""offset":0"#), "{cut}");
    assert!(!cut.contains(r#""offset":4"#), "{cut}");
    assert!(!cut.ends_with(LAST_CHUNK), "{cut}");
    let before = state(&engine).await.incarnation;
    engine.set_faults(broken(|f| f.crash_after_tokens = Some(10)));
    let crashed = raw(&engine, &request("crashed", 4)).await;
    assert!(crashed.contains(r#""offset":0"#), "{crashed}");
    assert!(!crashed.ends_with(LAST_CHUNK), "{crashed}");
    assert_eq!(state(&engine).await.incarnation, before + 1);
    engine.set_faults(broken(|f| f.duplicate_chunks = true));
    let body = complete(&engine, &request("twice", 10)).await;
    let offsets: Vec<_> = chunks(&body).iter().map(|c| c.offset).collect();
    assert_eq!(offsets, [0, 0, 10, 10]);
    engine.stop();
}

#[actix_rt::test]
async fn a_stalled_stream_can_be_cancelled() {
    let engine = Handle::start(options()).await.unwrap();
    engine.set_faults(broken(|f| f.stall = true));
    let call = client().post(url(&engine, "/v1/completions"));
    let mut answer = call.send_json(&request("a", 4)).await.unwrap();
    let cancel = Cancel {
        request_id: "a".into(),
    };
    let call = client().post(url(&engine, "/v1/cancel"));
    assert_eq!(
        call.send_json(&cancel).await.unwrap().status(),
        StatusCode::NO_CONTENT
    );
    let body = answer.body().await.unwrap();
    let chunks = chunks(std::str::from_utf8(&body).unwrap());
    assert_eq!(chunks.last().unwrap().finish, Some(FinishReason::Cancelled));
    engine.stop();
}

#[actix_rt::test]
async fn a_reader_that_goes_away_cancels_its_attempt() {
    let mut slow = options();
    slow.batch.tokens_per_second = 200.0;
    let engine = Handle::start(slow).await.unwrap();
    let mut seeds = 0..;
    let long = Request {
        seed: seeds
            .find(|seed| text::natural_length(PROMPT, *seed) > 400)
            .unwrap(),
        max_tokens: 400,
        ..request("a", 1)
    };
    let call = client().post(url(&engine, "/v1/completions"));
    drop(call.send_json(&long).await.unwrap());
    let finished = loop {
        state(&engine).await;
        if let Some(finished) = engine.record()["a"].finished {
            break finished;
        }
    };
    assert_eq!(finished, FinishReason::Cancelled);
    engine.stop();
}

#[actix_rt::test]
async fn kv_moves_between_engines_with_its_versions() {
    let (from, to) = (
        Handle::start(options()).await.unwrap(),
        Handle::start(options()).await.unwrap(),
    );
    complete(&from, &request("a", 20)).await;
    order(&to, 1, 4).await;
    let prompt = Prompt {
        prompt: PROMPT.into(),
    };
    let call = client().post(url(&from, "/v1/kv/export"));
    let blob: Blob = call.send_json(&prompt).await.unwrap().json().await.unwrap();
    let call = client().post(url(&to, "/v1/kv/import"));
    assert_eq!(
        call.send_json(&blob).await.unwrap().status(),
        StatusCode::NO_CONTENT
    );
    let body = complete(&to, &request("b", 20)).await;
    let first = &chunks(&body)[0];
    assert_eq!(first.reused[0].version, Version(1));
    assert_eq!(first.version, Some(Version(4)));
    assert_eq!(to.record()["b"].prompt_spans[0], first.reused[0]);
    from.stop();
    to.stop();
}
