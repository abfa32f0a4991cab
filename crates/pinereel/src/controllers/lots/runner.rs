//! Handlers of other entries' calls to this entry's runner: assign, hand over, collect.

use super::execute_all;
use crate::state::Shared;
use pinereel_api::wire::{Assignment, CollectRequest, Reply};
use pinereel_core::{
    Time, cursor,
    lot::{self, Action, Event, Group, Refusal, Sample, Spec},
};
use std::{rc::Rc, time::Duration};
use tokio::{sync::oneshot, time::timeout};

/// Assigns groups to this entry's runner; the error is the reason of a refusal.
pub fn assign(shared: &Rc<Shared>, assignment: Assignment) -> Result<(), String> {
    let spec = build_spec(shared, assignment)?;
    let actions = shared
        .lots
        .runner
        .borrow_mut()
        .step(shared.now(), Event::Assign(spec));
    let refusal = find_refusal(&actions);
    execute_all(shared, actions);
    refusal.map_or(Ok(()), |reason| Err(reason.to_string()))
}

/// Accepts finished samples from a draining entry; the error is the reason of a refusal.
pub fn accept_handover(
    shared: &Rc<Shared>,
    assignment: Assignment,
    samples: Vec<Sample>,
) -> Result<(), String> {
    let spec = build_spec(shared, assignment)?;
    let event = Event::Handover { spec, samples };
    let actions = shared.lots.runner.borrow_mut().step(shared.now(), event);
    let refusal = find_refusal(&actions);
    execute_all(shared, actions);
    refusal.map_or(Ok(()), |reason| Err(reason.to_string()))
}

/// Returns finished samples, waiting up to the request's `wait_ms` for the first one.
pub async fn collect(shared: &Rc<Shared>, request: CollectRequest) -> Reply {
    let token = match cursor::Token::parse(&request.token) {
        Ok(token) => token,
        Err(e) => return Reply::Refused(e.to_string().into()),
    };
    let wait = Duration::from_millis(request.wait_ms);
    let deadline = shared.now() + wait;
    loop {
        // Register for the notification before querying, so that no sample in between is missed.
        let ready = shared.lots.samples_ready.notified();
        let answer = collect_once(shared, &request, token.clone()).await;
        let (samples, missing) = match answer {
            Some(Ok(answer)) => answer,
            Some(Err(e)) => return Reply::Refused(e.to_string().into()),
            None => return Reply::Refused("no answer".into()),
        };
        let remaining = deadline.since(shared.now());
        if !samples.is_empty() || !missing.is_empty() || remaining.is_zero() {
            return Reply::Samples { samples, missing };
        }
        let _ = timeout(remaining, ready).await;
    }
}

async fn collect_once(
    shared: &Rc<Shared>,
    request: &CollectRequest,
    token: cursor::Token,
) -> Option<super::CollectResult> {
    let call = shared.lots.next_collect.get();
    shared.lots.next_collect.set(call + 1);
    let (sender, answer) = oneshot::channel();
    shared
        .lots
        .pending_collects
        .borrow_mut()
        .insert(call, sender);
    let request = lot::CollectRequest {
        call,
        lot: request.lot.clone(),
        groups: request.groups.clone(),
        token,
        version: request.version,
        bound: request.bound,
        max_samples: request.max as usize,
    };
    super::step(shared, Event::Collect(request));
    answer.await.ok()
}

fn find_refusal(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refused { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Builds the runner's spec from an assignment and this entry's configuration of the trainer.
fn build_spec(shared: &Shared, assignment: Assignment) -> Result<Spec, String> {
    let snapshot = shared.config.snapshot().ok_or("starting")?;
    let trainer = snapshot.document.trainers.get(&assignment.trainer);
    let trainer = trainer.ok_or("unknown trainer")?;
    let pool = snapshot
        .document
        .pools
        .get(&trainer.pool)
        .ok_or("unknown pool")?;
    let model = pool.model.clone().ok_or("not a pool of engines")?;
    let deadline: Time = shared.now() + Duration::from_millis(assignment.deadline_ms);
    let groups = assignment
        .groups
        .into_iter()
        .map(|(index, first, group)| Group {
            index,
            first,
            prompt: group.prompt,
            samples: group.samples,
            max_tokens: group.max_tokens,
        });
    Ok(Spec {
        lot: assignment.lot,
        digest: assignment.digest,
        trainer: assignment.trainer,
        weight: trainer.share,
        model,
        step: assignment.step,
        version: assignment.version,
        bound: trainer.bound,
        deadline,
        scored: trainer.scorer.is_some(),
        groups: groups.collect(),
    })
}
