//! Trainers' calls: submit, collect, publish.

use super::{placement, runner};
use crate::{
    controllers::config::Pin,
    logging::What,
    objects::{Error as ObjectError, Purpose},
    state::Shared,
};
use compact_str::{CompactString, format_compact};
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use pinereel_api::{
    Problem,
    object::WEIGHTS,
    problem::{Code, Ran},
    trainer::{Collect, Collected, Lot, Publish, Published, Submitted},
    wire::{Ask, Assignment, Call, Reply},
};
use pinereel_core::{
    Time, Version,
    cursor::{Delivery, Merge, Token},
    hash::Digest,
    lot::Sample,
    provenance,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// Longest wait for another entry to take groups.
const ASSIGN_TIMEOUT: Duration = Duration::from_secs(2);
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
/// When a trainer that was refused shall come back.
const RETRY_AFTER_MS: u64 = 500;

/// A lot that was submitted to this entry.
pub(super) struct Front {
    lot: Lot,
    digest: Digest,
    samples: u32,
    deadline: Time,
    /// Index of each group's first sample.
    firsts: Vec<u32>,
}

/// Object of a model's newest weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// The newest version.
    pub version: Version,
}

/// Takes a lot and spreads its groups over the runners.
pub async fn submit(shared: &Rc<Shared>, pin: &Pin, lot: Lot) -> Result<Submitted, Problem> {
    let front = check(shared, pin, lot)?;
    let id = front.lot.id.clone();
    let token = Token::first(front.digest, front.lot.step, front.samples);
    let answer = Submitted {
        samples: front.samples,
        token: token.to_string(),
    };
    keep(shared, front)?;
    let mut away = BTreeSet::new();
    let all = placement(shared, &id, &token, &away);
    assign_all(shared, &id, all, &mut away).await;
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

/// Which runner has which groups, of those with samples that `token` lacks.
fn placement(
    shared: &Shared,
    id: &str,
    token: &Token,
    away: &BTreeSet<CompactString>,
) -> BTreeMap<CompactString, Vec<u32>> {
    let fronts = shared.lots.fronts.borrow();
    let Some(front) = fronts.get(id) else {
        return BTreeMap::new();
    };
    let mut wanted = Vec::new();
    for (index, group) in front.lot.groups.iter().enumerate() {
        let first = front.firsts[index];
        let mut samples = first..first + group.samples;
        if samples.any(|sample| !token.contains(sample)) {
            wanted.push(index as u32);
        }
    }
    placement::place(shared, id, wanted, away)
}

/// Assigns groups to runners; those that do not take them are added to `away`.
async fn assign_all(
    shared: &Rc<Shared>,
    id: &str,
    placed: BTreeMap<CompactString, Vec<u32>>,
    away: &mut BTreeSet<CompactString>,
) {
    let assigns: FuturesUnordered<_> = placed
        .into_iter()
        .map(|(name, groups)| async move {
            let taken = assign(shared, id, &name, &groups).await;
            (name, taken)
        })
        .collect();
    let results: Vec<_> = assigns.collect().await;
    for (name, taken) in results {
        if let Err(reason) = taken {
            shared.decide(What::Place, id, Some(&name), &reason);
            away.insert(name);
        }
    }
}

async fn assign(
    shared: &Rc<Shared>,
    id: &str,
    name: &CompactString,
    groups: &[u32],
) -> Result<(), String> {
    let assignment = assignment(shared, id, groups).ok_or("lot unknown")?;
    shared.decide(What::Place, id, Some(name), "rendezvous");
    if name == shared.name() {
        return runner::assign(shared, assignment);
    }
    let call = Call::Assign(assignment);
    match shared.mesh.call(name, call, ASSIGN_TIMEOUT).await {
        Ok(Reply::Done) => Ok(()),
        Ok(Reply::Refused(reason)) => Err(reason.into()),
        Ok(_) => Err("unexpected reply".into()),
        Err(e) => Err(e.to_string()),
    }
}

fn assignment(shared: &Shared, id: &str, groups: &[u32]) -> Option<Assignment> {
    let fronts = shared.lots.fronts.borrow();
    let front = fronts.get(id)?;
    let left = front.deadline.since(shared.now());
    let groups = groups.iter().filter_map(|index| {
        let group = front.lot.groups.get(*index as usize)?;
        Some((*index, front.firsts[*index as usize], group.clone()))
    });
    Some(Assignment {
        lot: front.lot.id.clone(),
        digest: front.digest,
        trainer: front.lot.trainer.clone(),
        step: front.lot.step,
        version: front.lot.version,
        deadline_ms: left.as_millis() as u64,
        groups: groups.collect(),
    })
}

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
        let delivery = merge.run(found);
        count(shared, id, &delivery, collect.version);
        // An entry that stops answers at once; the trainer goes on elsewhere with the same token.
        let over = until.since(shared.now()).is_zero() || shared.drain.refuses();
        if !delivery.samples.is_empty() || delivery.remaining == 0 || over {
            return Ok(Collected {
                basis: collect.token,
                token: delivery.token.to_string(),
                samples: delivery.samples.into_iter().map(runner::to_wire).collect(),
                remaining: delivery.remaining,
            });
        }
        // Groups were assigned again; give them a moment before asking again.
        sleep(ROUND_PAUSE.min(until.since(shared.now()))).await;
    }
}

fn check_token(shared: &Shared, id: &str, token: &Token) -> Result<(), Problem> {
    use pinereel_core::cursor::Error;
    let fronts = shared.lots.fronts.borrow();
    let Some(front) = fronts.get(id) else {
        return Err(refuse(Code::LotUnknown, "submit the lot again"));
    };
    token.check(front.digest, front.lot.step).map_err(|e| {
        let code = match e {
            Error::Malformed => Code::BadToken,
            Error::Foreign => Code::ForeignToken,
            Error::Behind => Code::BehindToken,
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
                found.extend(samples.into_iter().map(runner::from_wire));
                if !missing.is_empty() {
                    again.insert(name, missing);
                    break;
                }
            }
            None => {
                shared.decide(What::Place, id, Some(&name), "unreachable");
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
        if let Some(oldest) = provenance::oldest(&sample.spans) {
            staleness.observe(oldest.behind(at) as f64);
        }
    }
}

/// Announces new weights of a trainer's model. A repeat or an older version changes nothing.
pub async fn publish(
    shared: &Rc<Shared>,
    pin: &Pin,
    trainer: &str,
    publish: Publish,
) -> Result<Published, Problem> {
    let trainer = pin.document.trainers.get(trainer);
    let pool = trainer.and_then(|t| pin.document.pools.get(&t.pool));
    let Some(model) = pool.and_then(|p| p.model.clone()) else {
        return Err(refuse(Code::NotFound, "unknown trainer"));
    };
    let version = raise(shared, &model, publish.version)
        .await
        .map_err(|e| Problem {
            code: Code::ObjectApi,
            message: format_compact!("{e}"),
            ran: if e.had_no_effect() {
                Ran::NotRun
            } else {
                Ran::Unknown
            },
            retry_after_ms: Some(RETRY_AFTER_MS),
        })?;
    super::published(shared, &model, version);
    Ok(Published { version })
}

/// Raises the model's version by conditional update; gives the version that stands.
async fn raise(shared: &Shared, model: &str, version: Version) -> Result<Version, ObjectError> {
    let objects = &shared.objects;
    loop {
        let present = objects.read(Purpose::Weights, WEIGHTS, model).await?;
        let weights = Weights { version };
        let written = match present {
            Some(object) => {
                let stands: Weights = serde_json::from_value(object.value)
                    .map_err(|e| ObjectError::Malformed(e.to_string()))?;
                if stands.version >= version {
                    return Ok(stands.version);
                }
                let version = object.version;
                objects
                    .update(Purpose::Weights, WEIGHTS, model, version, &weights)
                    .await
            }
            None => {
                objects
                    .create(Purpose::Weights, WEIGHTS, model, &weights)
                    .await
            }
        };
        match written {
            Ok(_) => return Ok(version),
            // Someone else was first, or the answer was lost: read back.
            Err(ObjectError::Conflict | ObjectError::NotFound | ObjectError::Unknown(_)) => {}
            Err(e) => return Err(e),
        }
    }
}

fn refuse(code: Code, message: impl Into<CompactString>) -> Problem {
    let retry = matches!(code, Code::Overloaded);
    Problem {
        code,
        message: message.into(),
        ran: Ran::NotRun,
        retry_after_ms: retry.then_some(RETRY_AFTER_MS),
    }
}
