//! Answers collects.

use super::{
    super::runner,
    assign::{assign_all, placement},
    refuse,
};
use crate::{controllers::config::Pin, logging::DecisionKind, state::Shared};
use compact_str::{CompactString, format_compact};
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use pinereel_api::{
    Problem,
    problem::Code,
    trainer::{Collect, Collected},
    wire::{Ask, Call, Reply},
};
use pinereel_core::{
    Version,
    cursor::{Delivery, Error, Merge, Token},
    lot::Sample,
    provenance,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// What a collect's answer may take beyond the wait that was asked for.
const COLLECT_SLACK: Duration = Duration::from_secs(1);
/// Longest wait of a collect.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// After the first samples came, how long the other runners may still answer.
const GRACE: Duration = Duration::from_millis(10);
/// Longest wait of one round, so that a collect notices a drain and a lost runner.
const MAX_ROUND: Duration = Duration::from_secs(2);
/// Pause between rounds of one collect that found nothing.
const ROUND_PAUSE: Duration = Duration::from_millis(20);

/// Answers a collect: asks the runners, merges, and checks the bound at the moment of delivery.
pub async fn collect(
    shared: &Rc<Shared>,
    pin: &Pin,
    id: &str,
    collect: Collect,
) -> Result<Collected, Problem> {
    let token =
        Token::parse(&collect.token).map_err(|e| refuse(Code::BadToken, format_compact!("{e}")))?;
    check_token(shared, id, &token)?;
    let wait = Duration::from_millis(collect.wait_ms).min(MAX_WAIT);
    let until = shared.now() + wait;
    let mut away = BTreeSet::new();
    loop {
        let bound = bound(shared, pin, id)?;
        let left = until.since(shared.now()).min(MAX_ROUND);
        let found = ask_all(shared, id, &token, &collect, bound, left, &mut away).await;
        // The bound may have been tightened while the runners worked.
        let bound = self::bound(shared, pin, id)?.min(bound);
        let merge = Merge {
            token: token.clone(),
            version: collect.version,
            bound,
            max: collect.max as usize,
        };
        let delivery = merge.deliver(found);
        count(shared, id, &delivery, collect.version);
        // An entry that stops answers at once; the trainer goes on elsewhere with the same token.
        let over = until.since(shared.now()).is_zero() || shared.drain.refuses();
        if !delivery.samples.is_empty() || delivery.remaining == 0 || over {
            return Ok(Collected {
                basis: collect.token,
                token: delivery.token.to_string(),
                samples: delivery.samples,
                remaining: delivery.remaining,
            });
        }
        // Groups were assigned again; give them a moment before asking again.
        sleep(ROUND_PAUSE.min(until.since(shared.now()))).await;
    }
}

fn check_token(shared: &Shared, id: &str, token: &Token) -> Result<(), Problem> {
    let fronts = shared.lots.fronts.borrow();
    let Some(front) = fronts.get(id) else {
        return Err(refuse(Code::LotUnknown, "submit the lot again"));
    };
    token.check_lot(front.digest, front.lot.step).map_err(|e| {
        let code = match e {
            Error::Malformed => Code::BadToken,
            Error::OtherLot => Code::ForeignToken,
            Error::EarlierStep => Code::BehindToken,
        };
        refuse(code, format_compact!("{e}"))
    })
}

/// The bound now in force for the lot's trainer, never wider than the pinned one.
fn bound(shared: &Shared, pin: &Pin, id: &str) -> Result<u64, Problem> {
    let fronts = shared.lots.fronts.borrow();
    let front = fronts
        .get(id)
        .ok_or_else(|| refuse(Code::LotUnknown, "submit the lot again"))?;
    let of = |pin: &Pin| {
        pin.document
            .trainers
            .get(&front.lot.trainer)
            .map(|t| t.bound)
    };
    let unknown = || refuse(Code::NotFound, "unknown trainer");
    let pinned = of(pin).ok_or_else(unknown)?;
    let current = shared
        .config
        .pin()
        .as_ref()
        .and_then(of)
        .ok_or_else(unknown)?;
    Ok(pinned.min(current))
}

/// Asks all runners of the lot once; assigns again what they lack.
async fn ask_all(
    shared: &Rc<Shared>,
    id: &str,
    token: &Token,
    collect: &Collect,
    bound: u64,
    wait: Duration,
    away: &mut BTreeSet<CompactString>,
) -> Vec<Sample> {
    let placed = placement(shared, id, token, away);
    let mut asks: FuturesUnordered<_> = placed
        .into_iter()
        .map(|(name, groups)| {
            let ask = Ask {
                lot: id.into(),
                groups: groups.clone(),
                token: collect.token.clone(),
                version: collect.version,
                bound,
                max: collect.max,
                wait_ms: wait.as_millis() as u64,
            };
            async move {
                let reply = ask_one(shared, &name, ask, wait).await;
                (name, groups, reply)
            }
        })
        .collect();
    let mut found = Vec::new();
    let mut again = BTreeMap::new();
    loop {
        // Without samples there is nothing to hurry for.
        let patience = if found.is_empty() { MAX_WAIT } else { GRACE };
        let next = timeout(patience, asks.next()).await;
        let Ok(Some((name, groups, reply))) = next else {
            break;
        };
        match reply {
            Some((samples, missing)) => {
                found.extend(samples);
                if !missing.is_empty() {
                    again.insert(name, missing);
                    break;
                }
            }
            None => {
                shared.decide(DecisionKind::Place, id, Some(&name), "unreachable");
                away.insert(name);
                // Its groups go to the next in rank.
                let lost: BTreeSet<_> = groups.into_iter().collect();
                for (name, groups) in placement(shared, id, token, away) {
                    let moved: Vec<_> = groups.into_iter().filter(|g| lost.contains(g)).collect();
                    if !moved.is_empty() {
                        again.insert(name, moved);
                    }
                }
                break;
            }
        }
    }
    drop(asks);
    assign_all(shared, id, again, away).await;
    found
}

type Found = (Vec<pinereel_api::trainer::Sample>, Vec<u32>);

async fn ask_one(
    shared: &Rc<Shared>,
    name: &CompactString,
    ask: Ask,
    wait: Duration,
) -> Option<Found> {
    let reply = if name == shared.name() {
        runner::collect(shared, ask).await
    } else {
        let call = Call::Collect(ask);
        shared
            .mesh
            .call(name, call, wait + COLLECT_SLACK)
            .await
            .ok()?
    };
    match reply {
        Reply::Samples { samples, missing } => Some((samples, missing)),
        _ => None,
    }
}

fn count(shared: &Shared, id: &str, delivery: &Delivery, at: Version) {
    let fronts = shared.lots.fronts.borrow();
    let Some(front) = fronts.get(id) else { return };
    let trainer = front.lot.trainer.as_str();
    let counter = |event| shared.metrics.samples.with_label_values(&[trainer, event]);
    counter("delivered").inc_by(delivery.samples.len() as u64);
    counter("stale").inc_by(u64::from(delivery.stale));
    let staleness = shared.metrics.staleness.with_label_values(&[trainer]);
    for sample in &delivery.samples {
        if let Some(oldest) = provenance::oldest_version(&sample.spans) {
            staleness.observe(oldest.versions_behind(at) as f64);
        }
    }
}
