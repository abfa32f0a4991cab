//! Scoring of finished samples by a trainer's scoring service.

use super::step;
use crate::{
    controllers::{crashes, endpoints},
    logging::DecisionKind,
    state::Shared,
    upstream::{Attempt, Reuse},
};
use actix_http::{
    Method,
    header::{CONTENT_TYPE, HeaderValue},
};
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_core::{
    endpoint::AttemptEnd,
    hash,
    lot::Event,
    route::{Priority, Request},
};
use serde::{Deserialize, Serialize};
use std::{rc::Rc, time::Duration};
use tokio::time::timeout;

/// Longest wait for the scoring service's response head, and again for its body.
const SCORE_TIMEOUT: Duration = Duration::from_secs(10);
/// Request path of the scoring service.
const SCORE_PATH: &str = "/score";
/// Largest response body of the scoring service, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

#[derive(Serialize)]
struct ScoreRequest<'a> {
    prompt: &'a str,
    text: &'a str,
}

#[derive(Deserialize)]
struct ScoreResponse {
    score: f64,
}

/// Spawns a task that has one sample scored and reports the result to the runner.
pub(super) fn start(
    shared: &Rc<Shared>,
    ticket: u64,
    trainer: CompactString,
    prompt: String,
    text: String,
) {
    let shared = Rc::clone(shared);
    actix_rt::spawn(async move {
        let event = match request_score(&shared, &trainer, &prompt, &text).await {
            Some(score) => Event::Scored { ticket, score },
            None => Event::ScoreFailed { ticket },
        };
        step(&shared, event);
    });
}

async fn request_score(
    shared: &Rc<Shared>,
    trainer: &str,
    prompt: &str,
    text: &str,
) -> Option<f64> {
    let snapshot = shared.config.snapshot()?;
    let pool = snapshot.document.trainers.get(trainer)?.scorer.clone()?;
    let id = shared.request_id();
    let request = Request {
        pool: &pool,
        prefix: None,
        priority: Priority::Bulk,
        zone: shared.zone(),
        versions: None,
        excluded: &[],
        repeatable: true,
        seed: hash::stable(id.as_bytes()),
    };
    let choice = shared.endpoints.choose(shared, &request).ok()?;
    endpoints::log_choice(shared, &id, DecisionKind::Route, &choice, snapshot.number);
    let address = shared.endpoints.set().get(choice.key)?.address.clone();
    let score_request = serde_json::to_vec(&ScoreRequest { prompt, text }).ok()?;
    let sent_at = shared.now();
    let guard = endpoints::start_attempt(shared, choice.key, 0);
    let answer = send_request(shared, &address, score_request.clone().into()).await;
    if answer.is_some() {
        crashes::record_alive(shared, choice.key, sent_at);
    }
    guard.finish(if answer.is_some() {
        AttemptEnd::Completed
    } else {
        AttemptEnd::Failed
    });
    answer.map(|answer| answer.score)
}

async fn send_request(
    shared: &Shared,
    address: &str,
    score_request: Bytes,
) -> Option<ScoreResponse> {
    let attempt = Attempt {
        method: Method::POST,
        address: address.into(),
        path: SCORE_PATH.into(),
        headers: vec![(CONTENT_TYPE, HeaderValue::from_static("application/json"))],
        body: score_request,
        timeout: SCORE_TIMEOUT,
        // Responses do not name their requests.
        reuse: Reuse::Fresh,
    };
    let response = shared.http.send(attempt).await.ok()?;
    if !response.status.is_success() {
        return None;
    }
    let body = response.body.read_within(MAX_RESPONSE_BYTES);
    let body = timeout(SCORE_TIMEOUT, body).await;
    serde_json::from_slice(&body.ok()?.ok()?).ok()
}
