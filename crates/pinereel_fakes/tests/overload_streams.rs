//! Streams of completions under engine faults and slow callers: the text has no gaps or duplicates,
//! an incomplete stream ends with an error, and memory is bounded.

#![allow(clippy::unwrap_used)]

mod overload_support;

use futures_util::future::{join, join_all};
use overload_support::{
    ENGINES, SiteOptions, attempt_records, complete, completion_body, http_client, send_request,
    start_site, wait_for_queue_counts,
};
use pinereel_api::{
    engine::{Chunk, FinishReason},
    object::{Instance, InstanceState},
};
use pinereel_core::Version;
use pinereel_fakes::{
    engine::{batch, fault::Faults, text},
    site::{Site, wait_until},
};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// A deadline that is not reached.
const LONG_DEADLINE: Duration = Duration::from_secs(20);
/// Maximum number of tokens of each completion, unless a test says otherwise.
const MAX_TOKENS: u32 = 40;

/// Options of a site with this number of engines.
fn options(engine_count: usize) -> SiteOptions {
    SiteOptions {
        engine_count,
        slots_per_endpoint: 8,
        max_waiting: 64,
        ..SiteOptions::default()
    }
}

/// Streams a completion. Returns its text, the `ran` field of its error event if there is one, and
/// whether the stream ended with `[DONE]`.
async fn stream_completion(address: &str, prompt: &str) -> (String, Option<String>, bool) {
    let mut response = http_client()
        .post(format!("http://{address}/v1/completions"))
        .insert_header(("content-type", "application/json"))
        .send_body(completion_body(prompt, MAX_TOKENS, true))
        .await
        .unwrap();
    let body = response.body().limit(1 << 20).await.unwrap();
    let body = String::from_utf8(body.to_vec()).unwrap();
    let (mut text, mut error_ran) = (String::new(), None);
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    for event in events.filter(|event| *event != "[DONE]") {
        let event: serde_json::Value = serde_json::from_str(event).unwrap();
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
        if let Some(error) = event.get("error") {
            error_ran = Some(error["ran"].as_str().unwrap().to_owned());
        }
    }
    (text, error_ran, body.ends_with("data: [DONE]\n\n"))
}

/// Streams several completions through a site whose first engine has `faults`, and checks that each
/// is complete.
async fn check_streams_resume(site: &Site, faults: Faults) {
    site.engines[0].handle.set_faults(faults);
    let address = site.caller_addresses().remove(0);
    let prompts: Vec<String> = (0..8).map(|n| format!("prompt {n}")).collect();
    let streams = prompts
        .iter()
        .map(|prompt| stream_completion(&address, prompt));
    for ((text, error_ran, done), prompt) in join_all(streams).await.iter().zip(&prompts) {
        assert_eq!(text, &text::completion(prompt, 7, MAX_TOKENS));
        assert!(*done && error_ran.is_none(), "{prompt}: {error_ran:?}");
    }
    assert!(
        !site.engines[0].handle.records().is_empty(),
        "no request was sent to the engine with the faults"
    );
}

#[actix_rt::test]
async fn a_cut_stream_resumes_at_another_engine() {
    let site = start_site(options(2)).await;
    let cut = Faults {
        cut_streams: true,
        ..Faults::default()
    };
    check_streams_resume(&site, cut).await;
}

#[actix_rt::test]
async fn a_stream_from_a_crashed_engine_resumes_at_another_engine() {
    let site = start_site(options(2)).await;
    let crash = Faults {
        crash_after_tokens: Some(20),
        ..Faults::default()
    };
    check_streams_resume(&site, crash).await;
}

#[actix_rt::test]
async fn duplicate_chunks_are_dropped() {
    let site = start_site(options(1)).await;
    let duplicate = Faults {
        duplicate_chunks: true,
        ..Faults::default()
    };
    check_streams_resume(&site, duplicate.clone()).await;
    let address = site.caller_addresses().remove(0);
    let response = complete(&address, "whole", MAX_TOKENS, LONG_DEADLINE).await;
    assert_eq!(response.text(), text::completion("whole", 7, MAX_TOKENS));
    assert!(site.entries[0].shared.metrics.late_chunks.get() > 0);
}

#[actix_rt::test]
async fn a_resumed_response_counts_the_tokens_of_all_attempts() {
    let site = start_site(options(2)).await;
    let address = site.caller_addresses().remove(0);
    // The prompts are long enough for the engine that resumes to reuse blocks of its prefix cache.
    let prompts: Vec<String> = (0..8).map(|n| format!("{n} words ").repeat(60)).collect();
    for engine in &site.engines {
        let url = format!("http://{}/v1/completions", engine.handle.address);
        for prompt in &prompts {
            let body = completion_body(prompt, 1, true);
            let response = http_client().post(&url).send_body(body).await;
            response.unwrap().body().await.unwrap();
        }
    }
    site.engines[0].handle.set_faults(Faults {
        cut_streams: true,
        ..Faults::default()
    });
    let mut resumed_attempts = 0;
    for prompt in &prompts {
        let before = attempt_records(&site, prompt).len();
        let response = complete(&address, prompt, MAX_TOKENS, LONG_DEADLINE).await;
        assert_eq!(
            response.text(),
            text::completion(prompt, 7, MAX_TOKENS),
            "{response:?}"
        );
        let tokens = text::length(prompt, 7, MAX_TOKENS);
        assert_eq!(
            response.body["usage"]["completion_tokens"], tokens,
            "{response:?}"
        );
        resumed_attempts += attempt_records(&site, prompt).len() - before - 1;
    }
    assert!(
        resumed_attempts > 0,
        "no request was sent to the engine that cuts streams"
    );
}

#[actix_rt::test]
async fn a_stream_that_no_engine_can_resume_ends_with_an_error() {
    let site = start_site(options(2)).await;
    let cut = Faults {
        cut_streams: true,
        ..Faults::default()
    };
    for engine in &site.engines {
        engine.handle.set_faults(cut.clone());
    }
    let address = site.caller_addresses().remove(0);
    let (text, error_ran, done) = stream_completion(&address, "cut").await;
    let complete_text = text::completion("cut", 7, MAX_TOKENS);
    assert!(
        complete_text.starts_with(&text) && text.len() < complete_text.len(),
        "{text}"
    );
    assert_eq!(error_ran.as_deref(), Some("unknown"));
    assert!(!done, "an incomplete stream ended like a complete one");
}

#[actix_rt::test]
async fn a_drain_waits_for_the_last_byte_of_a_stream() {
    let options = SiteOptions {
        batch: batch::Options {
            tokens_per_second: 100.0,
            ..batch::Options::default()
        },
        ..options(1)
    };
    let site = start_site(options).await;
    let address = site.caller_addresses().remove(0);
    let entry = site.entries[0].clone();
    let drain = async {
        wait_for_queue_counts(&site, ENGINES, 1, 0).await;
        entry.shared.drain.request_stop();
        entry.run_until_drained().await;
    };
    let ((text, error_ran, done), ()) = join(stream_completion(&address, "stream"), drain).await;
    assert_eq!(text, text::completion("stream", 7, MAX_TOKENS));
    assert!(done && error_ran.is_none(), "{error_ran:?}");
}

/// A fake engine that answers a completion with an endless stream of chunks.
struct EndlessEngine {
    address: String,
    /// Number of bytes of chunks written to all connections.
    sent_bytes: Rc<Cell<usize>>,
    /// Number of streams that ended because a write failed.
    closed_streams: Rc<Cell<usize>>,
}

impl EndlessEngine {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let engine = Self {
            address: listener.local_addr().unwrap().to_string(),
            sent_bytes: Rc::default(),
            closed_streams: Rc::default(),
        };
        let sent_bytes = Rc::clone(&engine.sent_bytes);
        let closed = Rc::clone(&engine.closed_streams);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (sent_bytes, closed) = (Rc::clone(&sent_bytes), Rc::clone(&closed));
                actix_rt::spawn(async move { serve(stream, &sent_bytes, &closed).await });
            }
        });
        engine
    }
}

/// Answers a completion request with chunks until a write fails. On any other request, such as one
/// for a load report, closes the connection without a response.
async fn serve(mut stream: TcpStream, sent_bytes: &Cell<usize>, closed_streams: &Cell<usize>) {
    let mut request = vec![0; 64 << 10];
    let length = stream.read(&mut request).await.unwrap();
    let request = String::from_utf8_lossy(&request[..length]).into_owned();
    let id = request.split("\"request_id\":\"").nth(1);
    let (true, Some(id)) = (request.starts_with("POST /v1/completions"), id) else {
        return;
    };
    let id = id.split('"').next().unwrap();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                transfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    for offset in 0.. {
        let chunk = Chunk {
            id: id.into(),
            offset,
            text: " word".repeat(200),
            tokens: 1,
            version: Some(Version(1)),
            reused: Vec::new(),
            finish: None,
        };
        let event = format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap());
        let encoded = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(encoded.as_bytes()).await.is_err() {
            break;
        }
        sent_bytes.set(sent_bytes.get() + encoded.len());
    }
    closed_streams.set(closed_streams.get() + 1);
}

#[actix_rt::test]
async fn a_caller_that_does_not_read_uses_bounded_memory_until_its_deadline() {
    let site = start_site(options(1)).await;
    let address = site.caller_addresses().remove(0);
    let engine = EndlessEngine::start().await;
    let instance = Instance {
        incarnation: 1,
        address: engine.address.as_str().into(),
        zone: "toledo-hall".into(),
        pool: "orders-app".into(),
        state: InstanceState::Live,
    };
    site.object_api.put_instance("endless", instance);
    wait_until(|| {
        site.entries[0]
            .shared
            .endpoints
            .set()
            .has_pool("orders-app")
    })
    .await
    .unwrap();
    let body = completion_body("stuck", 5, true).replace(ENGINES, "orders-app");
    let deadline = Duration::from_millis(1_500);
    let _unread = send_request(&address, "/v1/completions", &body, deadline).await;
    wait_for_queue_counts(&site, "orders-app", 1, 0).await;
    // Other requests are served meanwhile.
    for number in 0..20 {
        let prompt = format!("{number}");
        let response = complete(&address, &prompt, 5, LONG_DEADLINE).await;
        assert_eq!(response.text(), text::completion(&prompt, 7, 5));
    }
    wait_for_queue_counts(&site, "orders-app", 0, 0).await;
    wait_until(|| engine.closed_streams.get() == 1)
        .await
        .unwrap();
    let sent_bytes = engine.sent_bytes.get();
    println!("a caller that does not read: the engine sent {sent_bytes} bytes");
    // The bound covers the socket buffers on both sides and 64 chunks of 1 KiB in the entry.
    assert!(sent_bytes < 24 << 20, "{sent_bytes} bytes");
    let only_unread_in_flight = || site.entries[0].shared.drain.in_flight() <= 1;
    assert!(
        only_unread_in_flight(),
        "a request other than the unread one is in flight"
    );
    assert!(attempt_records(&site, "stuck").is_empty());
}

#[actix_rt::test]
async fn a_request_is_cancelled_at_its_engine_when_its_deadline_passes() {
    let options = SiteOptions {
        batch: batch::Options {
            tokens_per_second: 50.0,
            ..batch::Options::default()
        },
        ..options(1)
    };
    let site = start_site(options).await;
    let address = site.caller_addresses().remove(0);
    let response = complete(&address, "slow", 4_000, Duration::from_millis(300)).await;
    assert_eq!(
        (response.status, response.ran.as_deref()),
        (504, Some("unknown"))
    );
    let all_cancelled = || {
        let records = attempt_records(&site, "slow");
        records
            .iter()
            .all(|r| r.finished == Some(FinishReason::Cancelled))
    };
    wait_until(all_cancelled).await.unwrap();
}
