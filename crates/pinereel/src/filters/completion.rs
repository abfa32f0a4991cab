//! Live completions: attempts with retry and resume, whole answers or event streams.

use super::{
    Exchange, attempt, refuse, respond,
    route::{self, Wish},
    unknown,
};
use crate::{
    engines::{self, Error},
    http::{self, Response},
    state::Shared,
};
use actix_http::StatusCode;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures_util::{StreamExt as _, stream};
use pinereel_api::{
    Problem,
    engine::{Chunk, Finish, Request},
    problem::Code,
};
use pinereel_core::{
    Span,
    endpoint::{End, Key},
    hash,
    provenance::{Record, Stamp},
};
use serde::Serialize;
use std::{pin::pin, rc::Rc, time::Duration};
use tokio::{sync::mpsc, time::timeout};

/// Chunks that wait for a caller that reads slowly; then the stream waits.
const BUFFER: usize = 64;
/// Bytes of a prompt that make its prefix for routing.
const PREFIX: usize = 64;
/// Most attempts of one request.
const MAX_ATTEMPTS: usize = 4;
/// Priority at the engine.
const LIVE: u8 = 2;

/// A whole completion, in the shape that clients of model engines know.
#[derive(Debug, Serialize)]
struct Whole {
    id: CompactString,
    object: &'static str,
    model: CompactString,
    choices: [Choice; 1],
    usage: Usage,
    /// The versions that made the answer: reused prefix first, then output.
    versions: Vec<Span>,
}

#[derive(Debug, Serialize)]
struct Choice {
    index: u32,
    text: String,
    finish_reason: Option<Finish>,
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u32,
}

/// One event of a streamed completion.
#[derive(Debug, Serialize)]
struct Event {
    id: CompactString,
    object: &'static str,
    model: CompactString,
    choices: [Choice; 1],
    versions: Vec<Span>,
}

/// What has been made so far.
#[derive(Clone, Debug, Default)]
struct Progress {
    text: String,
    record: Record,
}

/// Answers one completion.
pub async fn serve(shared: &Rc<Shared>, exchange: Exchange, request: Request) -> Response {
    let (sender, chunks) = mpsc::channel(BUFFER);
    let streaming = request.stream;
    let work = run(Rc::clone(shared), exchange.clone(), request, sender);
    if streaming {
        actix_rt::spawn(work);
        return streamed(shared, exchange, chunks).await;
    }
    // Dropping the answer's future, when the caller is gone, ends the work with it.
    let (answer, ()) = futures_util::future::join(gather(&exchange, chunks), work).await;
    match answer {
        Ok(whole) => {
            respond::count(shared, &exchange, "answer");
            let mut response = http::json(StatusCode::OK, &whole);
            respond::stamp(&exchange, &mut response);
            response
        }
        Err(problem) => {
            respond::count(shared, &exchange, "problem");
            respond::problem(shared, &problem)
        }
    }
}

async fn gather(
    exchange: &Exchange,
    mut chunks: mpsc::Receiver<Result<Chunk, Problem>>,
) -> Result<Whole, Problem> {
    let mut text = String::new();
    let mut record = Record::default();
    while let Some(chunk) = chunks.recv().await {
        let chunk = chunk?;
        text.push_str(&chunk.text);
        // Checked where it arrived; an error there never gets here.
        let _ = record.push(&stamp(&chunk));
        if chunk.finish.is_some() {
            return Ok(Whole {
                id: exchange.id.clone(),
                object: "text_completion",
                model: exchange.pool.clone(),
                choices: [Choice {
                    index: 0,
                    text,
                    finish_reason: chunk.finish,
                }],
                usage: Usage {
                    completion_tokens: record.tokens(),
                },
                versions: record.spans(),
            });
        }
    }
    Err(unknown(Code::Unknown, "the answer ended early"))
}

/// A stream whose first chunk decides the status: nothing is promised before there is something.
async fn streamed(
    shared: &Rc<Shared>,
    exchange: Exchange,
    mut chunks: mpsc::Receiver<Result<Chunk, Problem>>,
) -> Response {
    let first = match chunks.recv().await {
        Some(Ok(chunk)) => chunk,
        Some(Err(problem)) => return respond::problem(shared, &problem),
        None => return respond::problem(shared, &unknown(Code::Unknown, "no answer")),
    };
    let rest = stream::unfold(chunks, |mut chunks| async move {
        chunks.recv().await.map(|item| (item, chunks))
    });
    let id = exchange.id.clone();
    let model = exchange.pool.clone();
    let events = stream::iter([Ok(first)]).chain(rest).map(move |item| {
        let bytes = match item {
            Ok(chunk) => event(&id, &model, chunk),
            // No `[DONE]` follows, so the answer is not taken for a whole one.
            Err(problem) => line(&serde_json::json!({ "error": problem })),
        };
        Ok(bytes)
    });
    let mut response = http::event_stream(events);
    respond::stamp(&exchange, &mut response);
    response
}

fn event(id: &CompactString, model: &CompactString, chunk: Chunk) -> Bytes {
    let mut record = Record::default();
    let _ = record.push(&Stamp {
        offset: 0,
        ..stamp(&chunk)
    });
    let last = chunk.finish.is_some();
    let event = Event {
        id: id.clone(),
        object: "text_completion",
        model: model.clone(),
        choices: [Choice {
            index: 0,
            text: chunk.text,
            finish_reason: chunk.finish,
        }],
        versions: record.spans(),
    };
    let mut bytes = line(&event).to_vec();
    if last {
        bytes.extend_from_slice(b"data: [DONE]\n\n");
    }
    bytes.into()
}

fn line(message: &impl Serialize) -> Bytes {
    let json = serde_json::to_string(message).unwrap_or_default();
    format!("data: {json}\n\n").into()
}

/// Runs attempts until the answer is whole, or gives the final problem at once.
async fn run(
    shared: Rc<Shared>,
    exchange: Exchange,
    request: Request,
    sender: mpsc::Sender<Result<Chunk, Problem>>,
) {
    let left = exchange.left(shared.now());
    let work = attempts(&shared, &exchange, &request, &sender);
    let result = tokio::select! {
        result = timeout(left, work) => result,
        // The caller is gone: the attempt's ticket is dropped and the engine told.
        () = sender.closed() => return,
    };
    let problem = match result {
        Ok(Ok(())) => return,
        Ok(Err(problem)) => problem,
        Err(_) => unknown(Code::Deadline, "the deadline passed"),
    };
    let _ = sender.send(Err(problem)).await;
}

async fn attempts(
    shared: &Rc<Shared>,
    exchange: &Exchange,
    request: &Request,
    sender: &mpsc::Sender<Result<Chunk, Problem>>,
) -> Result<(), Problem> {
    let mut progress = Progress::default();
    let mut excluded: Vec<Key> = Vec::new();
    let mut last = None;
    for _ in 0..MAX_ATTEMPTS {
        let seat = route::take(shared, exchange, wish(request, &excluded)).await;
        let seat = match (seat, last) {
            (Ok(seat), _) => seat,
            // Other endpoints were tried before; their error says more.
            (Err(_), Some(error)) => return Err(failed(error)),
            (Err(problem), None) => return Err(problem),
        };
        excluded.push(seat.key);
        let outcome = one(shared, &seat.address, request, &mut progress, sender).await;
        match outcome {
            Ok(()) => {
                seat.ticket.finish(End::Whole);
                return Ok(());
            }
            Err(error) => {
                seat.ticket.finish(attempt::end_of(&error));
                shared
                    .metrics
                    .retries
                    .with_label_values(&[&exchange.pool])
                    .inc();
                last = Some(error);
            }
        }
    }
    Err(last.map_or_else(|| refuse(Code::NoEndpoint, "no attempt"), failed))
}

/// The problem for the last attempt's error.
fn failed(error: Error) -> Problem {
    let message = format_compact!("{error}");
    match error {
        Error::NotOpened(_) | Error::Refused(_) => Problem {
            retry_after_ms: Some(1_000),
            ..refuse(Code::NoEndpoint, message)
        },
        Error::Fenced | Error::Lost(_) | Error::Malformed(_) => unknown(Code::Unknown, message),
    }
}

fn wish<'a>(request: &Request, excluded: &'a [Key]) -> Wish<'a> {
    let prompt = request.prompt.as_bytes();
    let prefix = &prompt[..prompt.len().min(PREFIX)];
    Wish {
        prefix: Some(hash::stable(prefix)),
        excluded,
        repeatable: true,
        tokens: request.max_tokens,
    }
}

/// One attempt. It goes on where the last one ended, so the caller sees no gap and no repeat.
async fn one(
    shared: &Rc<Shared>,
    address: &str,
    request: &Request,
    progress: &mut Progress,
    sender: &mpsc::Sender<Result<Chunk, Problem>>,
) -> Result<(), Error> {
    let id = shared.request_id();
    let mut record = progress.record.resume();
    let request = Request {
        stream: true,
        priority: LIVE,
        request_id: id.clone(),
        resume: progress.text.clone(),
        resume_tokens: record.tokens(),
        ..request.clone()
    };
    let chunks = engines::complete(&shared.http, address, &request, HEAD_TIMEOUT).await?;
    let mut chunks = pin!(chunks);
    loop {
        let next = timeout(CHUNK_TIMEOUT, chunks.next()).await;
        let next = next.map_err(|_| Error::Lost("silent stream".into()))?;
        let chunk = next.ok_or_else(|| Error::Lost("stream ended early".into()))??;
        if chunk.id != id {
            shared.metrics.late_chunks.inc();
            continue;
        }
        if chunk.finish == Some(Finish::Cancelled) {
            return Err(Error::Lost("cancelled by the engine".into()));
        }
        record
            .push(&stamp(&chunk))
            .map_err(|e| Error::Malformed(e.to_string()))?;
        progress.text.push_str(&chunk.text);
        progress.record = record.clone();
        let last = chunk.finish.is_some();
        if sender.send(Ok(chunk)).await.is_err() {
            return Err(Error::Lost("the caller is gone".into()));
        }
        if last {
            return Ok(());
        }
    }
}

/// Longest wait for a stream's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest silence within a stream.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);

fn stamp(chunk: &Chunk) -> Stamp {
    Stamp {
        offset: chunk.offset,
        tokens: chunk.tokens,
        version: chunk.version,
        reused: chunk.reused.clone(),
    }
}
