//! Streams under faults and slow callers: no gap, no repeat, an end that tells, bounded memory.

#![allow(clippy::unwrap_used)]

mod overload;

use futures_util::future::{join, join_all};
use overload::{POOL, Size, attempts, client, complete, completion, open, queued, site};
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

const LONG: Duration = Duration::from_secs(20);
const TOKENS: u32 = 40;

fn size(engines: usize) -> Size {
    Size {
        engines,
        slots: 8,
        queue: 64,
        ..Size::default()
    }
}

/// The text of a streamed completion, and whether it ended with `[DONE]`.
async fn stream(address: &str, prompt: &str) -> (String, Option<String>, bool) {
    let mut response = client()
        .post(format!("http://{address}/v1/completions"))
        .insert_header(("content-type", "application/json"))
        .send_body(completion(prompt, TOKENS, true))
        .await
        .unwrap();
    let body = response.body().limit(1 << 20).await.unwrap();
    let body = String::from_utf8(body.to_vec()).unwrap();
    let (mut text, mut problem) = (String::new(), None);
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    for event in events.filter(|event| *event != "[DONE]") {
        let event: serde_json::Value = serde_json::from_str(event).unwrap();
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
        if let Some(error) = event.get("error") {
            problem = Some(error["ran"].as_str().unwrap().to_owned());
        }
    }
    (text, problem, body.ends_with("data: [DONE]\n\n"))
}

/// Streams several completions through a site whose first engine has the faults.
async fn resumed(site: &Site, faults: Faults) {
    site.engines[0].handle.set_faults(faults);
    let address = site.caller_addresses().remove(0);
    let prompts: Vec<String> = (0..8).map(|n| format!("prompt {n}")).collect();
    let streams = prompts.iter().map(|prompt| stream(&address, prompt));
    for ((text, problem, done), prompt) in join_all(streams).await.iter().zip(&prompts) {
        assert_eq!(text, &text::completion(prompt, 7, TOKENS));
        assert!(*done && problem.is_none(), "{prompt}: {problem:?}");
    }
    assert!(
        !site.engines[0].handle.records().is_empty(),
        "no request met the fault"
    );
}

#[actix_rt::test]
async fn cut_stream_goes_on_at_another_engine() {
    let site = site(size(2)).await;
    let cut = Faults {
        cut_streams: true,
        ..Faults::default()
    };
    resumed(&site, cut).await;
}

#[actix_rt::test]
async fn stream_of_a_crashed_engine_goes_on_at_another() {
    let site = site(size(2)).await;
    let crash = Faults {
        crash_after_tokens: Some(20),
        ..Faults::default()
    };
    resumed(&site, crash).await;
}

#[actix_rt::test]
async fn repeated_chunks_are_dropped() {
    let site = site(size(1)).await;
    let twice = Faults {
        duplicate_chunks: true,
        ..Faults::default()
    };
    resumed(&site, twice.clone()).await;
    let address = site.caller_addresses().remove(0);
    let whole = complete(&address, "whole", TOKENS, LONG).await;
    assert_eq!(whole.text(), text::completion("whole", 7, TOKENS));
    assert!(site.entries[0].shared.metrics.late_chunks.get() > 0);
}

#[actix_rt::test]
async fn resumed_answer_counts_the_tokens_of_both_parts() {
    let site = site(size(2)).await;
    let address = site.caller_addresses().remove(0);
    // Long enough that the engine that goes on reuses blocks of its prefix cache.
    let prompts: Vec<String> = (0..8).map(|n| format!("{n} words ").repeat(60)).collect();
    for engine in &site.engines {
        let url = format!("http://{}/v1/completions", engine.handle.address);
        for prompt in &prompts {
            let body = completion(prompt, 1, true);
            let sent = client().post(&url).send_body(body).await;
            sent.unwrap().body().await.unwrap();
        }
    }
    site.engines[0].handle.set_faults(Faults {
        cut_streams: true,
        ..Faults::default()
    });
    let mut resumed = 0;
    for prompt in &prompts {
        let before = attempts(&site, prompt).len();
        let answer = complete(&address, prompt, TOKENS, LONG).await;
        assert_eq!(
            answer.text(),
            text::completion(prompt, 7, TOKENS),
            "{answer:?}"
        );
        let tokens = text::length(prompt, 7, TOKENS);
        assert_eq!(
            answer.body["usage"]["completion_tokens"], tokens,
            "{answer:?}"
        );
        resumed += attempts(&site, prompt).len() - before - 1;
    }
    assert!(resumed > 0, "no request met the engine that cuts");
}

#[actix_rt::test]
async fn stream_with_no_engine_left_ends_with_an_error() {
    let site = site(size(2)).await;
    let cut = Faults {
        cut_streams: true,
        ..Faults::default()
    };
    for engine in &site.engines {
        engine.handle.set_faults(cut.clone());
    }
    let address = site.caller_addresses().remove(0);
    let (text, problem, done) = stream(&address, "cut").await;
    let whole = text::completion("cut", 7, TOKENS);
    assert!(
        whole.starts_with(&text) && text.len() < whole.len(),
        "{text}"
    );
    assert_eq!(problem.as_deref(), Some("unknown"));
    assert!(!done, "a part was given out as whole");
}

#[actix_rt::test]
async fn drain_waits_for_a_stream_to_its_last_byte() {
    let slow = Size {
        batch: batch::Options {
            tokens_per_second: 100.0,
            ..batch::Options::default()
        },
        ..size(1)
    };
    let site = site(slow).await;
    let address = site.caller_addresses().remove(0);
    let entry = site.entries[0].clone();
    let stop = async {
        queued(&site, POOL, 1, 0).await;
        entry.shared.drain.request_stop();
        entry.run_until_drained().await;
    };
    let ((text, problem, done), ()) = join(stream(&address, "stream"), stop).await;
    assert_eq!(text, text::completion("stream", 7, TOKENS));
    assert!(done && problem.is_none(), "{problem:?}");
}

/// An engine of the test's own that sends chunks for ever and counts the bytes that leave it.
struct Endless {
    address: String,
    sent: Rc<Cell<usize>>,
    closed: Rc<Cell<usize>>,
}

impl Endless {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endless = Self {
            address: listener.local_addr().unwrap().to_string(),
            sent: Rc::default(),
            closed: Rc::default(),
        };
        let (sent, closed) = (Rc::clone(&endless.sent), Rc::clone(&endless.closed));
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (sent, closed) = (Rc::clone(&sent), Rc::clone(&closed));
                actix_rt::spawn(async move { serve(stream, &sent, &closed).await });
            }
        });
        endless
    }
}

/// Answers one completion without an end; all else, such as load reports, with a closed connection.
async fn serve(mut stream: TcpStream, sent: &Cell<usize>, closed: &Cell<usize>) {
    let mut head = vec![0; 64 << 10];
    let read = stream.read(&mut head).await.unwrap();
    let head = String::from_utf8_lossy(&head[..read]).into_owned();
    let id = head.split("\"request_id\":\"").nth(1);
    let (true, Some(id)) = (head.starts_with("POST /v1/completions"), id) else {
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
        let line = format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap());
        let part = format!("{:x}\r\n{line}\r\n", line.len());
        if stream.write_all(part.as_bytes()).await.is_err() {
            break;
        }
        sent.set(sent.get() + part.len());
    }
    closed.set(closed.get() + 1);
}

#[actix_rt::test]
async fn caller_that_does_not_read_holds_little_and_no_longer_than_its_deadline() {
    let site = site(size(1)).await;
    let address = site.caller_addresses().remove(0);
    let endless = Endless::start().await;
    let instance = Instance {
        incarnation: 1,
        address: endless.address.as_str().into(),
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
    let body = completion("stuck", 5, true).replace(POOL, "orders-app");
    let deadline = Duration::from_millis(1_500);
    let _stuck = open(&address, "/v1/completions", &body, deadline).await;
    queued(&site, "orders-app", 1, 0).await;
    // Others are served meanwhile.
    for number in 0..20 {
        let prompt = format!("{number}");
        let answer = complete(&address, &prompt, 5, LONG).await;
        assert_eq!(answer.text(), text::completion(&prompt, 7, 5));
    }
    queued(&site, "orders-app", 0, 0).await;
    wait_until(|| endless.closed.get() == 1).await.unwrap();
    let sent = endless.sent.get();
    println!("a caller that does not read: {sent} bytes left the engine");
    // Socket buffers on both sides, and 64 chunks of 1 KiB in the entry.
    assert!(sent < 24 << 20, "{sent} bytes");
    let guard = || site.entries[0].shared.drain.in_flight() <= 1;
    assert!(guard(), "only the unread body still counts");
    assert!(attempts(&site, "stuck").is_empty());
}

#[actix_rt::test]
async fn slow_engine_is_cancelled_when_the_stream_is_given_up() {
    let slow = Size {
        batch: batch::Options {
            tokens_per_second: 50.0,
            ..batch::Options::default()
        },
        ..size(1)
    };
    let site = site(slow).await;
    let address = site.caller_addresses().remove(0);
    let answer = complete(&address, "slow", 4_000, Duration::from_millis(300)).await;
    assert_eq!(
        (answer.status, answer.ran.as_deref()),
        (504, Some("unknown"))
    );
    let cancelled = || {
        let records = attempts(&site, "slow");
        records
            .iter()
            .all(|r| r.finished == Some(FinishReason::Cancelled))
    };
    wait_until(cancelled).await.unwrap();
}
