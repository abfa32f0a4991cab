//! What other entries ask of this one's runner.

use super::carry_out;
use crate::state::Shared;
use pinereel_api::wire::{Assignment, CollectRequest, Reply};
use pinereel_core::{
    Time, cursor,
    lot::{self, Action, Event, Group, Refusal, Sample, Spec},
};
use std::{rc::Rc, time::Duration};
use tokio::{sync::oneshot, time::timeout};

/// Runs the groups of an assignment.
pub fn assign(shared: &Rc<Shared>, assignment: Assignment) -> Result<(), String> {
    let spec = spec(shared, assignment)?;
    let actions = shared
        .lots
        .runner
        .borrow_mut()
        .step(shared.now(), Event::Assign(spec));
    let refusal = refusal(&actions);
    carry_out(shared, actions);
    refusal.map_or(Ok(()), |reason| Err(reason.to_string()))
}

/// Takes over finished samples from an entry that stops.
pub fn take_over(
    shared: &Rc<Shared>,
    assignment: Assignment,
    samples: Vec<Sample>,
) -> Result<(), String> {
    let spec = spec(shared, assignment)?;
    let event = Event::Handover { spec, samples };
    let actions = shared.lots.runner.borrow_mut().step(shared.now(), event);
    let refusal = refusal(&actions);
    carry_out(shared, actions);
    refusal.map_or(Ok(()), |reason| Err(reason.to_string()))
}

/// Finished samples for a collect; waits for the first one as long as the asker says.
pub async fn collect(shared: &Rc<Shared>, ask: CollectRequest) -> Reply {
    let token = match cursor::Token::parse(&ask.token) {
        Ok(token) => token,
        Err(e) => return Reply::Refused(e.to_string().into()),
    };
    let wait = Duration::from_millis(ask.wait_ms);
    let until = shared.now() + wait;
    loop {
        // Listening begins before asking, so that nothing between the two is missed.
        let ready = shared.lots.ready.notified();
        let answer = ask_once(shared, &ask, token.clone()).await;
        let (samples, missing) = match answer {
            Some(Ok(answer)) => answer,
            Some(Err(e)) => return Reply::Refused(e.to_string().into()),
            None => return Reply::Refused("no answer".into()),
        };
        let left = until.since(shared.now());
        if !samples.is_empty() || !missing.is_empty() || left.is_zero() {
            return Reply::Samples { samples, missing };
        }
        let _ = timeout(left, ready).await;
    }
}

async fn ask_once(
    shared: &Rc<Shared>,
    ask: &CollectRequest,
    token: cursor::Token,
) -> Option<super::Answer> {
    let call = shared.lots.next_call.get();
    shared.lots.next_call.set(call + 1);
    let (sender, answer) = oneshot::channel();
    shared.lots.calls.borrow_mut().insert(call, sender);
    let ask = lot::CollectRequest {
        call,
        lot: ask.lot.clone(),
        groups: ask.groups.clone(),
        token,
        version: ask.version,
        bound: ask.bound,
        max: ask.max as usize,
    };
    super::step(shared, Event::Collect(ask));
    answer.await.ok()
}

fn refusal(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refused { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Completes an assignment with what this entry's configuration says of the trainer.
fn spec(shared: &Shared, assignment: Assignment) -> Result<Spec, String> {
    let pin = shared.config.pin().ok_or("starting")?;
    let trainer = pin.document.trainers.get(&assignment.trainer);
    let trainer = trainer.ok_or("unknown trainer")?;
    let pool = pin
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
