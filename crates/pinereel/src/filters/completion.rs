//! Live completions: attempts with retry and resume, answered as one JSON body or as an event
//! stream.

use super::{
    RequestContext, admit,
    attempt::{self, CancelGuard},
    format::{self, CompletionResponse},
    may_have_run, not_run, respond,
    route::{self, Criteria},
};
use crate::{
    controllers::{crashes, queues::Permit},
    engines::{self, Error},
    http::{self, Response},
    state::Shared,
};
use actix_http::StatusCode;
use bytes::Bytes;
use compact_str::format_compact;
use futures_util::{Stream, StreamExt as _, future, stream};
use pinereel_api::{
    Problem,
    engine::{Chunk, FinishReason, Request},
    problem::Code,
};
use pinereel_core::{
    crash::Identity,
    endpoint::{AttemptEnd, Key},
    hash,
    provenance::Record,
};
use std::{cell::Cell, convert::Infallible, pin::pin, rc::Rc};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

/// Maximum number of chunks buffered for a caller that reads slowly; beyond it, reading from the
/// engine pauses.
const MAX_BUFFERED_CHUNKS: usize = 64;
/// Number of leading bytes of a prompt that are hashed for prefix affinity.
const ROUTING_PREFIX_BYTES: usize = 64;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: usize = 4;
/// Priority of live requests in the engine's queue; see `engine::Request::priority`.
const ENGINE_PRIORITY: u8 = 2;
/// `retry_after_ms` for a request that no tried endpoint has run.
const RETRY_AFTER_MS: u64 = 1_000;

/// Output of all attempts so far; the next attempt resumes after it.
#[derive(Clone, Debug, Default)]
struct Progress {
    text: String,
    record: Record,
}

/// A request with its attempts.
struct CompletionRun<'a> {
    shared: &'a Rc<Shared>,
    context: &'a RequestContext,
    request: &'a Request,
    sender: &'a mpsc::Sender<Chunk>,
    /// Whether an attempt may have run.
    ran: Cell<bool>,
}

/// Serves one completion. Cancels its attempt when the caller disconnects.
pub async fn serve(shared: &Rc<Shared>, context: RequestContext, request: Request) -> Response {
    let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    if request.stream {
        let (end_sender, end) = oneshot::channel();
        let work = run(Rc::clone(shared), context.clone(), request, sender);
        actix_rt::spawn(async move {
            // The receiver is dropped when the caller has disconnected.
            let _ = end_sender.send(work.await);
        });
        return stream_response(shared, context, chunks, end).await;
    }
    let work = run(Rc::clone(shared), context.clone(), request, sender);
    let (answer, end) = future::join(collect_response(&context, chunks), work).await;
    match end.and(answer) {
        Ok(body) => {
            let mut response = http::json(StatusCode::OK, &body);
            respond::add_headers(&context, &mut response);
            response
        }
        Err(problem) => respond::problem_response(shared, &problem),
    }
}

async fn collect_response(
    context: &RequestContext,
    mut chunks: mpsc::Receiver<Chunk>,
) -> Result<CompletionResponse, Problem> {
    let mut text = String::new();
    let mut record = Record::default();
    while let Some(chunk) = chunks.recv().await {
        text.push_str(&chunk.text);
        record = push_chunk(record, &chunk);
        if chunk.finish.is_some() {
            return Ok(CompletionResponse::new(
                context,
                text,
                &record,
                chunk.finish,
            ));
        }
    }
    Err(may_have_run(Code::Unknown, "the answer ended early"))
}

/// Adds a chunk of any attempt to the record. The chunk was checked on arrival, so no error can
/// occur here.
fn push_chunk(record: Record, chunk: &Chunk) -> Record {
    let mut next = if chunk.reused.is_empty() {
        record
    } else {
        record.resume()
    };
    let _ = next.push(&engines::stamp(chunk));
    next
}

/// Streams the chunks as events. Waits for the first chunk, so that a request that fails before its
/// first chunk gets an error status.
async fn stream_response(
    shared: &Rc<Shared>,
    context: RequestContext,
    mut chunks: mpsc::Receiver<Chunk>,
    end: oneshot::Receiver<Result<(), Problem>>,
) -> Response {
    let Some(first) = chunks.recv().await else {
        let problem = end_problem(end.await);
        let problem = problem.unwrap_or_else(|| may_have_run(Code::Unknown, "no answer"));
        return respond::problem_response(shared, &problem);
    };
    let events = event_stream(&context, first, chunks, end);
    let mut response = http::event_stream(events);
    respond::add_headers(&context, &mut response);
    response
}

/// Converts the chunks to events, followed by the problem if there is one.
fn event_stream(
    context: &RequestContext,
    first: Chunk,
    chunks: mpsc::Receiver<Chunk>,
    end: oneshot::Receiver<Result<(), Problem>>,
) -> impl Stream<Item = Result<Bytes, Infallible>> + use<> {
    let id = context.id.clone();
    let model = context.pool.clone();
    let rest = stream::unfold(chunks, |mut chunks| async move {
        chunks.recv().await.map(|chunk| (chunk, chunks))
    });
    let events = stream::iter([first])
        .chain(rest)
        .map(move |chunk| format::chunk_event(&id, &model, chunk));
    // The result has a channel of its own, so that unread chunks do not block it.
    let error_event = stream::once(end)
        .filter_map(|end| future::ready(end_problem(end).map(|error| format::error_event(&error))));
    events.chain(error_event).map(Ok)
}

fn end_problem(end: Result<Result<(), Problem>, oneshot::error::RecvError>) -> Option<Problem> {
    match end {
        Ok(result) => result.err(),
        Err(_) => Some(may_have_run(Code::Unknown, "the answer ended early")),
    }
}

/// Runs the request until its last chunk has been sent to `sender`. Its metrics are counted here.
async fn run(
    shared: Rc<Shared>,
    context: RequestContext,
    request: Request,
    sender: mpsc::Sender<Chunk>,
) -> Result<(), Problem> {
    let work = CompletionRun {
        shared: &shared,
        context: &context,
        request: &request,
        sender: &sender,
        ran: Cell::new(false),
    };
    let result = tokio::select! {
        result = work.run() => result,
        // Drops the permit and the attempt's guard, and cancels the attempt at the engine.
        () = sender.closed() => Err(may_have_run(Code::Unknown, "the caller is gone")),
    };
    match &result {
        Ok(()) => respond::count_request(&shared, &context, "answer"),
        Err(problem) => respond::count_problem(&shared, &context, problem),
    }
    result
}

impl CompletionRun<'_> {
    async fn run(&self) -> Result<(), Problem> {
        let permit = admit::wait_for_turn(self.shared, self.context).await?;
        let remaining = self.context.remaining(self.shared.now());
        let result = timeout(remaining, self.attempts(&permit)).await;
        match result {
            Ok(Ok(())) => {
                permit.record_success();
                Ok(())
            }
            Ok(Err(problem)) => Err(problem),
            Err(_) if self.ran.get() => Err(may_have_run(Code::Deadline, "the deadline passed")),
            Err(_) => Err(admit::rejection(permit.expired_refusal())),
        }
    }

    async fn attempts(&self, permit: &Permit) -> Result<(), Problem> {
        let mut progress = Progress::default();
        let mut excluded: Vec<Key> = Vec::new();
        let mut last_error = None;
        for _ in 0..MAX_ATTEMPTS {
            let current_criteria = criteria(self.request, &excluded);
            let identity = || self.identity();
            let assignment = route::assign_next(
                self.shared,
                self.context,
                permit,
                current_criteria,
                identity,
            )
            .await;
            let assignment = match (assignment, last_error) {
                (Ok(assignment), _) => assignment,
                // The error of an endpoint that was tried is more specific than the routing error.
                (Err(_), Some(error)) => return Err(self.problem_for(error)),
                (Err(problem), None) => return Err(problem),
            };
            excluded.push(assignment.key);
            let sent_at = self.shared.now();
            let error = match self.attempt(&assignment.address, &mut progress).await {
                Ok(()) => {
                    crashes::record_answer(self.shared, assignment.key, identity, sent_at);
                    assignment.guard.finish(AttemptEnd::Completed);
                    return Ok(());
                }
                Err(error) => error,
            };
            if matches!(error, Error::Lost(_)) {
                crashes::connection_lost(self.shared, assignment.key, identity()).await;
            }
            assignment.guard.finish(attempt::attempt_end(&error));
            let criteria = criteria(self.request, &excluded);
            let is_last_attempt = excluded.len() == MAX_ATTEMPTS;
            if is_last_attempt || !route::may_retry(self.shared, self.context, criteria) {
                return Err(self.problem_for(error));
            }
            last_error = Some(error);
        }
        Err(last_error.map_or_else(
            || not_run(Code::NoEndpoint, "no attempt"),
            |e| self.problem_for(e),
        ))
    }

    /// Identity by which crash reports recognise a repeat of the same request.
    fn identity(&self) -> Identity {
        engines::identity(self.request.clone())
    }

    /// Builds the problem for the last attempt's error; not run only if no attempt may have run.
    fn problem_for(&self, error: Error) -> Problem {
        let message = format_compact!("{error}");
        if self.ran.get() {
            let late = self.context.remaining(self.shared.now()).is_zero();
            let code = if late { Code::Deadline } else { Code::Unknown };
            return may_have_run(code, message);
        }
        Problem {
            retry_after_ms: Some(RETRY_AFTER_MS),
            ..not_run(Code::NoEndpoint, message)
        }
    }

    /// Makes one attempt. It resumes where the previous one ended, so that the caller's stream has
    /// neither gaps nor repeated text.
    async fn attempt(&self, address: &str, progress: &mut Progress) -> Result<(), Error> {
        let id = self.shared.request_id();
        let may_have_run_before = self.ran.replace(true);
        let guard = CancelGuard::new(self.shared, address, id.clone());
        let request = Request {
            stream: true,
            priority: ENGINE_PRIORITY,
            request_id: id,
            resume: progress.text.clone(),
            resume_tokens: progress.record.tokens(),
            ..self.request.clone()
        };
        let result = self.stream(address, &request, progress).await;
        match &result {
            Ok(()) => guard.ended(),
            Err(error) if !attempt::error_may_have_run(error) => {
                self.ran.set(may_have_run_before);
                guard.ended();
            }
            // Dropping the guard cancels the attempt at the engine.
            Err(_) => {}
        }
        result
    }

    async fn stream(
        &self,
        address: &str,
        request: &Request,
        progress: &mut Progress,
    ) -> Result<(), Error> {
        let silence_timeout =
            || attempt::silence_timeout(self.context.remaining(self.shared.now()));
        let mut record = progress.record.resume();
        let start = record.tokens();
        let chunks =
            engines::complete(&self.shared.http, address, request, silence_timeout()).await?;
        let mut chunks = pin!(chunks);
        loop {
            let next = timeout(silence_timeout(), chunks.next()).await;
            let next = next.map_err(|_| Error::Lost("silent stream".into()))?;
            let chunk = next.ok_or_else(|| Error::Lost("stream ended early".into()))??;
            if chunk.id != request.request_id || is_duplicate(&chunk, start, &record) {
                self.shared.metrics.late_chunks.inc();
                continue;
            }
            if chunk.finish == Some(FinishReason::Cancelled) {
                return Err(Error::Lost("cancelled by the engine".into()));
            }
            record
                .push(&engines::stamp(&chunk))
                .map_err(|e| Error::Malformed(e.to_string()))?;
            progress.text.push_str(&chunk.text);
            progress.record = record.clone();
            let is_last = chunk.finish.is_some();
            if self.sender.send(chunk).await.is_err() {
                return Err(Error::Lost("the caller is gone".into()));
            }
            if is_last {
                return Ok(());
            }
        }
    }
}

/// Whether a chunk is a duplicate: all of it was received before in the same attempt, which began
/// at token `start`. A chunk from before `start` is not a duplicate but an error: the engine did
/// not resume at the requested token.
fn is_duplicate(chunk: &Chunk, start: u32, record: &Record) -> bool {
    let end = chunk.offset.saturating_add(chunk.tokens);
    let is_repeated = chunk.offset >= start && end <= record.tokens();
    chunk.tokens > 0 && chunk.finish.is_none() && is_repeated
}

fn criteria<'a>(request: &Request, excluded: &'a [Key]) -> Criteria<'a> {
    let prompt = request.prompt.as_bytes();
    let prefix = &prompt[..prompt.len().min(ROUTING_PREFIX_BYTES)];
    Criteria {
        prefix: Some(hash::stable(prefix)),
        excluded,
        repeatable: true,
        tokens: request.max_tokens,
    }
}
