//! Accepts lots from trainers.

use super::{SubmittedLot, assign, refuse};
use crate::{controllers::config::Snapshot, state::Shared};
use compact_str::format_compact;
use pinereel_api::{
    Problem,
    problem::Code,
    trainer::{Lot, Submitted},
};
use pinereel_core::{cursor::Token, hash::Digest};
use std::{collections::BTreeSet, rc::Rc, time::Duration};

/// Accepts a lot and distributes its groups over the runners. A repeat with the same content is
/// accepted again.
pub async fn submit(
    shared: &Rc<Shared>,
    snapshot: &Snapshot,
    lot: Lot,
) -> Result<Submitted, Problem> {
    let submitted_lot = validate(shared, snapshot, lot)?;
    let id = submitted_lot.lot.id.clone();
    let token = Token::empty(
        submitted_lot.digest,
        submitted_lot.lot.step,
        submitted_lot.samples,
    );
    let answer = Submitted {
        samples: submitted_lot.samples,
        token: token.to_string(),
    };
    insert_lot(shared, submitted_lot)?;
    let mut excluded = BTreeSet::new();
    let placed = assign::place_missing_groups(shared, &id, &token, &excluded);
    assign::assign_groups(shared, &id, placed, &mut excluded).await;
    Ok(answer)
}

fn validate(shared: &Shared, snapshot: &Snapshot, lot: Lot) -> Result<SubmittedLot, Problem> {
    if !snapshot.document.trainers.contains_key(&lot.trainer) {
        return Err(refuse(Code::NotFound, "unknown trainer"));
    }
    let mut first_samples = Vec::with_capacity(lot.groups.len());
    let mut samples: u32 = 0;
    for group in &lot.groups {
        first_samples.push(samples);
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
    if samples > snapshot.document.limits.max_samples {
        let max = snapshot.document.limits.max_samples;
        return Err(refuse(
            Code::TooLarge,
            format_compact!("{samples} samples, at most {max}"),
        ));
    }
    let content = (&lot.id, &lot.trainer, lot.step, &lot.groups);
    let content = serde_json::to_vec(&content)
        .map_err(|e| refuse(Code::BadRequest, format_compact!("{e}")))?;
    Ok(SubmittedLot {
        digest: Digest::of(&content),
        samples,
        deadline: shared.now() + Duration::from_millis(lot.deadline_ms),
        first_samples,
        lot,
    })
}

/// Stores the lot; lots of the same trainer that are two or more steps older are evicted.
fn insert_lot(shared: &Shared, submitted_lot: SubmittedLot) -> Result<(), Problem> {
    let mut submitted = shared.lots.submitted.borrow_mut();
    if let Some(present) = submitted.get(&submitted_lot.lot.id) {
        return if present.digest == submitted_lot.digest {
            Ok(())
        } else {
            Err(refuse(
                Code::LotConflict,
                "the lot id is in use with other content",
            ))
        };
    }
    let (trainer, step) = (submitted_lot.lot.trainer.clone(), submitted_lot.lot.step);
    submitted.retain(|_, old| old.lot.trainer != trainer || old.lot.step + 1 >= step);
    if submitted.len() >= shared.settings.limits.lots {
        return Err(refuse(Code::Overloaded, "too many lots here"));
    }
    submitted.insert(submitted_lot.lot.id.clone(), submitted_lot);
    Ok(())
}
