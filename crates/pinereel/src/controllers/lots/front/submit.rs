//! Takes a lot.

use super::{Front, assign, refuse};
use crate::{controllers::config::Pin, state::Shared};
use compact_str::format_compact;
use pinereel_api::{
    Problem,
    problem::Code,
    trainer::{Lot, Submitted},
};
use pinereel_core::{cursor::Token, hash::Digest};
use std::{collections::BTreeSet, rc::Rc, time::Duration};

/// Takes a lot and spreads its groups over the runners.
pub async fn submit(shared: &Rc<Shared>, pin: &Pin, lot: Lot) -> Result<Submitted, Problem> {
    let front = check(shared, pin, lot)?;
    let id = front.lot.id.clone();
    let token = Token::empty(front.digest, front.lot.step, front.samples);
    let answer = Submitted {
        samples: front.samples,
        token: token.to_string(),
    };
    keep(shared, front)?;
    let mut away = BTreeSet::new();
    let all = assign::placement(shared, &id, &token, &away);
    assign::assign_all(shared, &id, all, &mut away).await;
    Ok(answer)
}

fn check(shared: &Shared, pin: &Pin, lot: Lot) -> Result<Front, Problem> {
    if !pin.document.trainers.contains_key(&lot.trainer) {
        return Err(refuse(Code::NotFound, "unknown trainer"));
    }
    let mut firsts = Vec::with_capacity(lot.groups.len());
    let mut samples: u32 = 0;
    for group in &lot.groups {
        firsts.push(samples);
        samples = samples.saturating_add(group.samples);
        if group.samples == 0 || group.max_tokens == 0 {
            return Err(refuse(
                Code::BadRequest,
                "a group without samples or tokens",
            ));
        }
    }
    if samples == 0 {
        return Err(refuse(Code::BadRequest, "a lot without samples"));
    }
    if samples > pin.document.limits.max_samples {
        let most = pin.document.limits.max_samples;
        return Err(refuse(
            Code::TooLarge,
            format_compact!("{samples} samples, at most {most}"),
        ));
    }
    let content = (&lot.id, &lot.trainer, lot.step, &lot.groups);
    let content = serde_json::to_vec(&content)
        .map_err(|e| refuse(Code::BadRequest, format_compact!("{e}")))?;
    Ok(Front {
        digest: Digest::of(&content),
        samples,
        deadline: shared.now() + Duration::from_millis(lot.deadline_ms),
        firsts,
        lot,
    })
}

/// Keeps the lot; older steps of the same trainer make room.
fn keep(shared: &Shared, front: Front) -> Result<(), Problem> {
    let mut fronts = shared.lots.fronts.borrow_mut();
    if let Some(present) = fronts.get(&front.lot.id) {
        return if present.digest == front.digest {
            Ok(())
        } else {
            Err(refuse(
                Code::LotConflict,
                "the lot id is in use with other content",
            ))
        };
    }
    let (trainer, step) = (front.lot.trainer.clone(), front.lot.step);
    fronts.retain(|_, old| old.lot.trainer != trainer || old.lot.step + 1 >= step);
    if fronts.len() >= shared.settings.limits.lots {
        return Err(refuse(Code::Overloaded, "too many lots here"));
    }
    fronts.insert(front.lot.id.clone(), front);
    Ok(())
}
