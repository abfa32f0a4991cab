//! Scoring of finished samples by a trainer's scoring service.

use super::step;
use crate::{
    controllers::{crashes, endpoints},
    logging::DecisionKind,
    state::Shared,
    upstream::{Attempt, Error, Reuse},
};
use actix_http::{
    Method,
    header::{CONTENT_TYPE, HeaderValue},
};
use bytes::Bytes;
use compact_str::CompactString;
use pinereel_core::{
    crash::{Content, Identity, RequestParts},
    endpoint::AttemptEnd,
    hash,
    lot::Event,
    route::{Priority, Request},
};
use serde::{Deserialize, Serialize};
use std::{rc::Rc, time::Duration};
use tokio::time::timeout;

/// Longest wait for a score.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Path at the scoring service.
const PATH: &str = "/score";
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
    endpoints::log_choice(shared, &id, DecisionKind::Route, &choice, pin.number);
    let address = shared.endpoints.set().get(choice.key)?.address.clone();
    let question = serde_json::to_vec(&Question { prompt, text }).ok()?;
    let identity = || {
        Identity::of(RequestParts {
            caller: &[],
            method: "POST",
            host: &pool,
            target: PATH,
            content: Content::Body(&question),
        })
    };
    if crashes::holds_back(shared, identity).await {
        return None;
    }
    let sent_at = shared.now();
    let counted = endpoints::begin(shared, choice.key, 0);
    let answer = ask(shared, &address, question.clone().into()).await;
    match &answer {
        Ok(_) => crashes::answered(shared, choice.key, identity, sent_at),
        Err(Unscored::Lost) => crashes::broke(shared, choice.key, identity()).await,
        Err(Unscored::Other) => {}
    }
    let answer = answer.ok();
    counted.finish(if answer.is_some() {
        AttemptEnd::Completed
    } else {
        AttemptEnd::Failed
    });
    answer.map(|answer| answer.score)
}

/// Why there is no score.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unscored {
    /// No whole answer came.
    Lost,
    /// The service was not reached, or answered otherwise.
    Other,
}

async fn ask(shared: &Shared, address: &str, question: Bytes) -> Result<Answer, Unscored> {
    let attempt = Attempt {
        method: Method::POST,
        address: address.into(),
        path: PATH.into(),
        headers: vec![(CONTENT_TYPE, HeaderValue::from_static("application/json"))],
        body: question,
        timeout: TIMEOUT,
        reuse: Reuse::Allowed,
    };
    let sent = shared.http.send(attempt).await;
    let mut response = sent.map_err(|error| match error {
        Error::Lost(_) => Unscored::Lost,
        Error::NotOpened(_) | Error::Invalid(_) => Unscored::Other,
    })?;
    if !response.status().is_success() {
        return Err(Unscored::Other);
    }
    let body = timeout(TIMEOUT, response.body().limit(MAX_ANSWER)).await;
    let Ok(Ok(body)) = body else {
        return Err(Unscored::Lost);
    };
    serde_json::from_slice(&body).map_err(|_| Unscored::Other)
}
