//! Runs one attempt of one sample on one engine and streams its chunks to the runner.

use super::{RunningAttempt, step};
use crate::{
    controllers::{
        crashes,
        endpoints::{self, AttemptGuard},
    },
    engines::{self, Error},
    filters::attempt::attempt_end,
    logging::DecisionKind,
    state::Shared,
};
use compact_str::{CompactString, format_compact};
use futures_util::StreamExt as _;
use pinereel_api::engine::Request;
use pinereel_core::{
    endpoint::{AttemptEnd, Key},
    lot::{AttemptKey, Event, Failure, Start},
};
use std::{pin::pin, rc::Rc, time::Duration};
use tokio::time::timeout;

/// Longest wait for the response head of an engine's stream.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time between two chunks of a stream; an attempt whose stream is idle longer is lost.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Tokens per chunk requested from the engine: large chunks, so that the per-chunk overhead of
/// bulk work scales with samples rather than tokens.
const TOKENS_PER_CHUNK: u32 = 32;

/// Spawns a task that runs the attempt.
pub(super) fn start(shared: &Rc<Shared>, start: Start) {
    let engine = {
        let set = shared.endpoints.set();
        set.find(&start.endpoint)
            .map(|(key, e)| (key, e.address.clone()))
    };
    let attempt = start.attempt;
    let Some((key, address)) = engine else {
        let shared = Rc::clone(shared);
        // Reported in a task of its own, since the runner's actions are still being carried out here.
        actix_rt::spawn(async move { report_failure(&shared, attempt, Failure::NotRun) });
        return;
    };
    let id = shared.request_id();
    let subject = format!("{}/{}", start.lot, start.index);
    let reason = if start.resume_tokens > 0 {
        "resume"
    } else {
        "start"
    };
    shared.log_decision(DecisionKind::Route, &subject, Some(&start.endpoint), reason);
    let task = actix_rt::spawn(run_attempt(
        Rc::clone(shared),
        start,
        key,
        address.clone(),
        id.clone(),
    ));
    let running = RunningAttempt {
        abort: task.abort_handle(),
        address,
        id,
    };
    shared
        .lots
        .running_attempts
        .borrow_mut()
        .insert(attempt, running);
}

/// Aborts an attempt's task and cancels it on its engine.
pub(super) fn cancel(shared: &Rc<Shared>, attempt: AttemptKey) {
    let Some(running) = shared.lots.running_attempts.borrow_mut().remove(&attempt) else {
        return;
    };
    running.abort.abort();
    engines::cancel_detached(&shared.http, running.address, running.id);
}

async fn run_attempt(
    shared: Rc<Shared>,
    start: Start,
    key: Key,
    address: CompactString,
    id: CompactString,
) {
    let attempt = start.attempt;
    let sent_at = shared.now();
    let guard = endpoints::start_sample_attempt(&shared, key, start.max_tokens);
    let result = run_stream(&shared, start, &address, &id).await;
    if result.is_ok() {
        crashes::record_alive(&shared, key, sent_at);
    }
    shared.lots.running_attempts.borrow_mut().remove(&attempt);
    report_end(&shared, attempt, guard, result);
}

/// Reports the attempt's end to the endpoint's statistics and, if it failed, to the runner.
fn report_end(
    shared: &Rc<Shared>,
    attempt: AttemptKey,
    guard: AttemptGuard,
    result: Result<(), Error>,
) {
    let Err(error) = result else {
        guard.finish(AttemptEnd::Completed);
        return;
    };
    log::info!(entry = shared.name().as_str(); "attempt failed: {error}");
    let end = attempt_end(&error);
    let failure = match error {
        Error::NotOpened(_) | Error::Refused(_) => Failure::NotRun,
        _ => Failure::Lost,
    };
    guard.finish(end);
    report_failure(shared, attempt, failure);
}

fn report_failure(shared: &Rc<Shared>, attempt: AttemptKey, failure: Failure) {
    step(shared, Event::Failed { attempt, failure });
}

/// Reads the engine's stream to its end; `Ok` if the last chunk arrived.
async fn run_stream(
    shared: &Rc<Shared>,
    start: Start,
    address: &str,
    id: &CompactString,
) -> Result<(), Error> {
    let attempt = start.attempt;
    let request = build_request(shared, start, id);
    let chunks = engines::complete(&shared.http, address, &request, RESPONSE_HEAD_TIMEOUT).await?;
    let mut chunks = pin!(chunks);
    loop {
        let next = timeout(STREAM_IDLE_TIMEOUT, chunks.next()).await;
        let Some(chunk) = next.map_err(|_| Error::Lost("silent stream".into()))? else {
            return Err(Error::Lost("stream ended without a last chunk".into()));
        };
        let chunk = chunk?;
        if chunk.id != *id {
            shared.metrics.late_chunks.inc();
            continue;
        }
        let is_last = chunk.finish.is_some();
        step(shared, Event::Chunk(engines::lot_chunk(attempt, chunk)));
        if is_last {
            return Ok(());
        }
    }
}

fn build_request(shared: &Shared, start: Start, id: &CompactString) -> Request {
    let set = shared.endpoints.set();
    let endpoint = set.find(&start.endpoint).map(|(_, e)| e);
    let version = endpoint.and_then(|e| e.version).unwrap_or_default();
    Request {
        model: endpoint.map(|e| e.pool.clone()).unwrap_or_default(),
        // Salting with the version keeps cached prefixes of older weights from being reused: they
        // would make the sample staler than its engine, and void it on every retry.
        cache_salt: format_compact!("{version}"),
        prompt: start.prompt,
        max_tokens: start.max_tokens,
        stream: true,
        seed: start.seed,
        priority: start.class.number(),
        request_id: id.clone(),
        chunk_tokens: TOKENS_PER_CHUNK,
        resume: start.resume,
        resume_tokens: start.resume_tokens,
    }
}
