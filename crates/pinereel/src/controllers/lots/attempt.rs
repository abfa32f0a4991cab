//! One attempt of one sample at one engine.

use super::{Running, step};
use crate::{
    controllers::{
        crashes,
        endpoints::{self, Ticket},
    },
    engines::{self, Error},
    filters::attempt::end_of,
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

/// Longest wait for a stream's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest silence within a stream.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(60);
/// Tokens of one chunk: bulk work costs a chunk by the sample, not by the token.
const CHUNK_TOKENS: u32 = 32;

/// Starts the attempt in a task of its own.
pub(super) fn start(shared: &Rc<Shared>, start: Start) {
    let found = {
        let set = shared.endpoints.set();
        set.find(&start.endpoint)
            .map(|(key, e)| (key, e.address.clone()))
    };
    let attempt = start.attempt;
    let Some((key, address)) = found else {
        let shared = Rc::clone(shared);
        // Not at once: the runner is still handing out actions.
        actix_rt::spawn(async move { failed(&shared, attempt, Failure::NotRun) });
        return;
    };
    let id = shared.request_id();
    let subject = format!("{}/{}", start.lot, start.index);
    let reason = if start.resume_tokens > 0 {
        "resume"
    } else {
        "start"
    };
    shared.decide(DecisionKind::Route, &subject, Some(&start.endpoint), reason);
    let task = actix_rt::spawn(run(
        Rc::clone(shared),
        start,
        key,
        address.clone(),
        id.clone(),
    ));
    let running = Running {
        abort: task.abort_handle(),
        address,
        id,
    };
    shared.lots.running.borrow_mut().insert(attempt, running);
}

/// Ends an attempt here and at its engine.
pub(super) fn cancel(shared: &Rc<Shared>, attempt: AttemptKey) {
    let Some(running) = shared.lots.running.borrow_mut().remove(&attempt) else {
        return;
    };
    running.abort.abort();
    engines::abandon(&shared.http, running.address, running.id);
}

async fn run(
    shared: Rc<Shared>,
    start: Start,
    key: Key,
    address: CompactString,
    id: CompactString,
) {
    let attempt = start.attempt;
    let sent = start.clone();
    let identity = || {
        let request = request(&shared, sent.clone(), &CompactString::default());
        // It names the version that the engine has now.
        engines::identity(Request {
            cache_salt: CompactString::default(),
            ..request
        })
    };
    if crashes::holds_back(&shared, identity).await {
        shared.lots.running.borrow_mut().remove(&attempt);
        failed(&shared, attempt, Failure::NotRun);
        return;
    }
    let sent_at = shared.now();
    let ticket = endpoints::begin_sample(&shared, key, start.max_tokens);
    let result = stream(&shared, start, &address, &id).await;
    match &result {
        Ok(()) => crashes::answered(&shared, key, identity, sent_at),
        Err(Error::Lost(_)) => crashes::broke(&shared, key, identity()).await,
        Err(_) => {}
    }
    shared.lots.running.borrow_mut().remove(&attempt);
    close(&shared, attempt, ticket, result);
}

/// Reports the attempt's end to the endpoint's record and to the runner.
fn close(shared: &Rc<Shared>, attempt: AttemptKey, ticket: Ticket, result: Result<(), Error>) {
    let Err(error) = result else {
        ticket.finish(AttemptEnd::Completed);
        return;
    };
    log::info!(entry = shared.name().as_str(); "attempt failed: {error}");
    let end = end_of(&error);
    let failure = match error {
        Error::NotOpened(_) | Error::Refused(_) => Failure::NotRun,
        _ => Failure::Lost,
    };
    ticket.finish(end);
    failed(shared, attempt, failure);
}

fn failed(shared: &Rc<Shared>, attempt: AttemptKey, failure: Failure) {
    step(shared, Event::Failed { attempt, failure });
}

/// Runs the stream; `Ok` if the engine ended it.
async fn stream(
    shared: &Rc<Shared>,
    start: Start,
    address: &str,
    id: &CompactString,
) -> Result<(), Error> {
    let attempt = start.attempt;
    let request = request(shared, start, id);
    let chunks = engines::complete(&shared.http, address, &request, HEAD_TIMEOUT).await?;
    let mut chunks = pin!(chunks);
    loop {
        let next = timeout(CHUNK_TIMEOUT, chunks.next()).await;
        let Some(chunk) = next.map_err(|_| Error::Lost("silent stream".into()))? else {
            return Err(Error::Lost("stream ended without a last chunk".into()));
        };
        let chunk = chunk?;
        if chunk.id != *id {
            shared.metrics.late_chunks.inc();
            continue;
        }
        let last = chunk.finish.is_some();
        step(shared, Event::Chunk(engines::of_attempt(attempt, chunk)));
        if last {
            return Ok(());
        }
    }
}

fn request(shared: &Shared, start: Start, id: &CompactString) -> Request {
    let set = shared.endpoints.set();
    let endpoint = set.find(&start.endpoint).map(|(_, e)| e);
    let version = endpoint.and_then(|e| e.version).unwrap_or_default();
    Request {
        model: endpoint.map(|e| e.pool.clone()).unwrap_or_default(),
        // Prefixes of older weights would make the sample older than its engine. Reused again and
        // again, they would void it each time.
        cache_salt: format_compact!("{version}"),
        prompt: start.prompt,
        max_tokens: start.max_tokens,
        stream: true,
        seed: start.seed,
        priority: start.class.number(),
        request_id: id.clone(),
        chunk_tokens: CHUNK_TOKENS,
        resume: start.resume,
        resume_tokens: start.resume_tokens,
    }
}
