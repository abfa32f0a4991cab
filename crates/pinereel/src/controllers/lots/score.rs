//! Scoring of finished samples by a trainer's scoring service.

use super::step;
use crate::{
    controllers::endpoints,
    logging::What,
    state::Shared,
    upstream::{Attempt, Reuse},
};
use actix_http::{
    Method,
    header::{CONTENT_TYPE, HeaderValue},
};
use compact_str::CompactString;
use pinereel_core::{
    endpoint::End,
    hash,
    lot::Event,
    route::{Priority, Request},
};
use serde::{Deserialize, Serialize};
use std::{rc::Rc, time::Duration};

/// Longest wait for a score.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer, in bytes.
const MAX_ANSWER: usize = 64 << 10;

#[derive(Serialize)]
struct Question<'a> {
    prompt: &'a str,
    text: &'a str,
}

#[derive(Deserialize)]
struct Answer {
    score: f64,
}

/// Scores one sample in a task of its own.
pub(super) fn start(
    shared: &Rc<Shared>,
    ticket: u64,
    trainer: CompactString,
    prompt: String,
    text: String,
) {
    let shared = Rc::clone(shared);
    actix_rt::spawn(async move {
        let event = match score(&shared, &trainer, &prompt, &text).await {
            Some(score) => Event::Scored { ticket, score },
            None => Event::ScoreFailed { ticket },
        };
        step(&shared, event);
    });
}

async fn score(shared: &Rc<Shared>, trainer: &str, prompt: &str, text: &str) -> Option<f64> {
    let pin = shared.config.pin()?;
    let pool = pin.document.trainers.get(trainer)?.scorer.clone()?;
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
    endpoints::log_choice(shared, &id, What::Route, &choice, pin.number);
    let address = shared.endpoints.set().get(choice.key)?.address.clone();
    let counted = endpoints::begin(shared, choice.key, 0);
    let answer = ask(shared, &address, &Question { prompt, text }).await;
    counted.finish(if answer.is_some() {
        End::Whole
    } else {
        End::Failed
    });
    answer.map(|answer| answer.score)
}

async fn ask(shared: &Shared, address: &str, question: &Question<'_>) -> Option<Answer> {
    let attempt = Attempt {
        method: Method::POST,
        address: address.into(),
        path: "/score".into(),
        headers: vec![(CONTENT_TYPE, HeaderValue::from_static("application/json"))],
        body: serde_json::to_vec(question).ok()?.into(),
        timeout: TIMEOUT,
        reuse: Reuse::Allowed,
    };
    let mut response = shared.http.send(attempt).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = tokio::time::timeout(TIMEOUT, response.body().limit(MAX_ANSWER)).await;
    serde_json::from_slice(&body.ok()?.ok()?).ok()
}
