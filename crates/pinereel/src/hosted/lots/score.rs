//! The scoring of a finished text.

use super::{runner::Runner, state::Work};
use crate::hosted::proxy::{Outcome, ProxyRequest};
use actix_http::{
    Method,
    header::{HOST, HeaderMap, HeaderValue},
};
use compact_str::CompactString;
use pinereel_core::batch::{Failure, RetryDecision};
use pinereel_port::lot::Scorer;
use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

/// Pause before a scoring that found no place, or whose answer was lost, is tried again.
const PAUSE: Duration = Duration::from_millis(60);
/// Scorings at once, as a part of the slots of the service that scores: live callers share it, and
/// a step's texts end close together.
const SHARE: u32 = 2;

/// How many scorings are under way.
#[derive(Default)]
pub(super) struct Gate {
    used: Cell<u32>,
    freed: Notify,
}

/// A scoring under way.
struct Pass(Rc<Gate>);

impl Drop for Pass {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
        self.0.freed.notify_one();
    }
}

impl Gate {
    async fn enter(self: &Rc<Self>, most: u32) -> Pass {
        while self.used.get() >= most.max(1) {
            self.freed.notified().await;
        }
        self.used.set(self.used.get() + 1);
        Pass(Rc::clone(self))
    }
}

/// Scores a text; none if its item is to be given up.
pub(super) async fn score(
    runner: &Rc<Runner>,
    work: &Work,
    scorer: &Scorer,
) -> Option<CompactString> {
    loop {
        let Some(call) = call(runner, work, scorer) else {
            log::warn!(id = work.item.as_str(), scorer = scorer.id.as_str(); "no route to the scorer");
            sleep(PAUSE).await;
            continue;
        };
        // A scoring that endpoints crash under waits until its item's time is over.
        if runner
            .parts
            .crashes
            .wait_while_blocked(|| call.identity())
            .await
        {
            continue;
        }
        let max_attempts = call.route.max_attempts;
        let most = slots(runner, &call) / SHARE;
        let pass = runner.scorings.enter(most).await;
        let outcome = runner.parts.proxy.run(call).await;
        drop(pass);
        let failure = match outcome {
            Outcome::Answer(answer) if answer.status.is_success() => return answer.signature,
            Outcome::Answer(answer) if answer.status.as_u16() == 500 => Failure::Failed,
            _ => Failure::Interrupted,
        };
        if runner.score_failed(work, failure, max_attempts) == RetryDecision::GiveUp {
            return None;
        }
        if failure == Failure::Interrupted {
            sleep(PAUSE).await;
        }
    }
}

/// Slots of the endpoints that may score.
fn slots(runner: &Runner, call: &ProxyRequest) -> u32 {
    let targets = call.route.targets.iter();
    let slots = targets.map(|target| runner.parts.endpoints.available_slots(&target.service));
    u32::try_from(slots.sum::<u64>()).unwrap_or(u32::MAX)
}

fn call(runner: &Runner, work: &Work, scorer: &Scorer) -> Option<ProxyRequest> {
    let table = runner.parts.config.table()?;
    let path = scorer.path.split('?').next().unwrap_or_default();
    let route = table.route_for(&scorer.host, path)?.clone();
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(&scorer.host).ok()?);
    Some(ProxyRequest {
        id: scorer.id.clone(),
        config_number: table.number(),
        config_age: runner.parts.config.age().unwrap_or_default(),
        deadline: Instant::now() + route.timeout,
        route,
        caller: table.internal_caller(),
        workspace: work.caller.workspace().map(Into::into),
        method: Method::POST,
        target: scorer.path.clone(),
        headers,
        body: scorer.body.clone(),
        prompt: None,
        cached_identity: OnceCell::new(),
    })
}
