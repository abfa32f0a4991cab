//! Scoring of complete outputs, by a request to the scoring service.

use super::{runner::Runner, state::ItemTask};
use crate::hosted::proxy::{LoadObserver, Outcome, ProxyRequest};
use actix_http::{
    Method, StatusCode,
    header::{HOST, HeaderMap, HeaderValue},
};
use compact_str::CompactString;
use pinereel_core::{batch::RetryDecision, crash::RequestStatus};
use pinereel_port::lot::Scorer;
use std::{cell::OnceCell, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Pause before a scoring that found no free slot, or whose response was lost, is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Longest pause after lost responses, each of which doubles it.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Pause before the first retry of a scoring under which so many endpoints have crashed that a live request would
/// be blocked. It bounds the crashes if the scoring is the cause; each further retry doubles it.
const MIN_BLOCKED_DELAY: Duration = Duration::from_secs(4);
/// Longest pause before such a retry.
const MAX_BLOCKED_DELAY: Duration = Duration::from_secs(16);

/// Scores an item. Returns the signature of the scoring response; `None` if the item is to be given
/// up.
pub(super) async fn score(
    runner: &Rc<Runner>,
    task: &ItemTask,
    scorer: &Scorer,
) -> Option<CompactString> {
    let (mut lost_delay, mut blocked_delay) = (RETRY_DELAY, MIN_BLOCKED_DELAY);
    let mut has_paused = false;
    loop {
        let Some(mut call) = scoring_call(runner, task, scorer) else {
            log::warn!(
                id = task.item_id.as_str(), scorer = scorer.id.as_str();
                "no route to the scorer"
            );
            sleep(RETRY_DELAY).await;
            continue;
        };
        let max_attempts = call.route.max_attempts;
        // Endpoints that failed on an earlier call count, too.
        let failed = runner.failed_scorings(task);
        call.route.max_attempts = max_attempts.saturating_sub(failed).max(1);
        let status = runner.deps.crashes.status(|| call.identity());
        if matches!(status, RequestStatus::Blocked { .. }) {
            // It may have run beside the cause of the crashes, and its item is owed.
            if !std::mem::replace(&mut has_paused, true) {
                sleep(blocked_delay).await;
                blocked_delay = (blocked_delay * 2).min(MAX_BLOCKED_DELAY);
                // The configuration may have changed.
                continue;
            }
            call.route.max_attempts = 1;
        }
        has_paused = false;
        let slots = scoring_slots(runner, &call);
        let permits = &runner.scoring_permits;
        let permit = permits.acquire(&task.lot_id, task.index, slots).await;
        let (outcome, internal_errors) = runner.deps.proxy.run_counted(call).await;
        drop(permit);
        let retry_delay = match outcome {
            Outcome::Answer(answer) if answer.status.is_success() => return answer.signature,
            Outcome::Answer(answer) if answer.status == StatusCode::INTERNAL_SERVER_ERROR => {
                Duration::ZERO
            }
            // The endpoints may have crashed under it.
            Outcome::Unknown { .. } => {
                let delay = lost_delay;
                lost_delay = (lost_delay * 2).min(MAX_RETRY_DELAY);
                delay
            }
            Outcome::Answer(_) | Outcome::NotRun { .. } => RETRY_DELAY,
        };
        if runner.scorings_failed(task, internal_errors, max_attempts) == RetryDecision::GiveUp {
            return None;
        }
        sleep(retry_delay).await;
    }
}

/// Number of slots of the services that the scoring may be routed to.
fn scoring_slots(runner: &Runner, call: &ProxyRequest) -> u32 {
    let targets = call.route.targets.iter();
    let slots = targets.map(|target| runner.deps.endpoints.available_slots(&target.service));
    u32::try_from(slots.sum::<u64>()).unwrap_or(u32::MAX)
}

fn scoring_call(runner: &Runner, task: &ItemTask, scorer: &Scorer) -> Option<ProxyRequest> {
    let table = runner.deps.config.table()?;
    let path = scorer.path.split('?').next().unwrap_or_default();
    let route = table.route_for(&scorer.host, path)?.clone();
    let (recording, deciding) = (
        Rc::clone(&runner.scoring_permits),
        Rc::clone(&runner.scoring_permits),
    );
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(&scorer.host).ok()?);
    Some(ProxyRequest {
        id: scorer.id.clone(),
        config_number: table.number(),
        config_age: runner.deps.config.age().unwrap_or_default(),
        deadline: Instant::now() + route.timeout,
        route,
        caller: table.internal_caller(),
        workspace: task.caller.workspace().map(Into::into),
        priority_level: None,
        method: Method::POST,
        target: scorer.path.clone(),
        headers,
        body: scorer.body.clone(),
        prompt: None,
        load_observer: Some(LoadObserver {
            record: Box::new(move |load| recording.record_report(load)),
            has_spare_slots: Box::new(move || deciding.has_spare_slots()),
        }),
        cached_identity: OnceCell::new(),
        is_owed: true,
    })
}
