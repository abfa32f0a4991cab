//! Decisions of the control duties: claims, membership, configuration; sizes of messages.

use super::{
    fit::Slope,
    meter::{bytes, micros},
    rollout,
};
use compact_str::{CompactString, format_compact};
use pinereel_api::{
    object::{Instance, InstanceState, Object},
    wire::{Call, Echo, Frame, Summary},
};
use pinereel_core::{
    Time, Version,
    claim::{self, StoredResponse},
    config::{Document, Participant, Pool, PoolKind, Prepare, StoredConfig, Trainer},
    hash::{self, Digest},
    member::{self, View},
};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    time::Duration,
};

/// Availability zones of the target.
const ZONES: usize = 9;
/// Entries that look after one duty.
const CANDIDATES: usize = 3;
/// Links that an entry opens in its availability zone and out of it.
const LINKS: (usize, usize) = (3, 3);
/// Claims of one commit.
const BATCH: usize = 100;
/// Bytes of a kept answer.
const ANSWER: usize = 200;

/// Measures all of it.
///
/// # Errors
/// The kernel doesn't tell processor time or memory.
pub fn measure() -> io::Result<Vec<Slope>> {
    let mut slopes = claims()?;
    slopes.extend(members());
    slopes.extend(config());
    slopes.extend(rollout::measure());
    slopes.extend(sizes());
    Ok(slopes)
}

/// Claims and settles `count` keys in commits of [`BATCH`]; gives the bytes written.
fn claim(log: &mut claim::Log, now: Time, from: usize, count: usize) -> usize {
    let mut written = 0;
    let keys: Vec<_> = (from..from + count).collect();
    for batch in keys.chunks(BATCH) {
        let (mut claims, mut settles) = (Vec::new(), Vec::new());
        for key in batch {
            let (request, key) = (format_compact!("entry-3.{key:012x}"), name(*key));
            let digest = Digest::of(key.as_bytes());
            claims.extend(log.step(
                now,
                claim::Event::Claim {
                    request,
                    key,
                    digest,
                    time_left: Duration::from_secs(5),
                },
            ));
        }
        written += serve(log, now, claims);
        for key in batch {
            let (request, key) = (format_compact!("entry-3.{key:012x}"), name(*key));
            let digest = Digest::of(key.as_bytes());
            settles.extend(log.step(
                now,
                claim::Event::Settle {
                    request,
                    key,
                    digest,
                    outcome: Some(StoredResponse {
                        status: 200,
                        content_type: "application/json".into(),
                        body: Some("x".repeat(ANSWER)),
                    }),
                },
            ));
        }
        written += serve(log, now, settles);
    }
    written
}

fn name(key: usize) -> CompactString {
    format_compact!("{:032x}", hash::mix(key as u64))
}

/// Answers the log's calls until none is open.
fn serve(log: &mut claim::Log, now: Time, mut actions: Vec<claim::Action>) -> usize {
    let mut written = 0;
    while let Some(action) = actions.pop() {
        let answer = match action {
            claim::Action::Create { segment, .. } => {
                written += json(&segment);
                claim::Event::Created
            }
            claim::Action::ReadBase => claim::Event::Base(0),
            claim::Action::Trim { to, .. } => claim::Event::Base(to),
            _ => continue,
        };
        actions.extend(log.step(now, answer));
    }
    written
}

fn log() -> claim::Log {
    let limits = claim::Limits {
        max_batch: BATCH,
        max_waiting: BATCH,
        max_keys: usize::MAX,
        ..claim::Limits::default()
    };
    let (mut log, _) = claim::Log::new(Time::ZERO, "w", limits);
    let read = claim::Event::Read {
        segments: vec![],
        base: 0,
    };
    log.step(Time::ZERO, read);
    log
}

/// A log that keeps so many keys.
pub(super) fn kept(count: usize) -> claim::Log {
    let mut log = log();
    claim(&mut log, Time::from_millis(1), 0, count);
    log
}

fn claims() -> io::Result<Vec<Slope>> {
    let (mut times, mut sizes, mut written) = (Vec::new(), Vec::new(), 0);
    let now = Time::from_millis(1);
    for window in [1_000, 10_000, 50_000] {
        let mut log = kept(window);
        let mut next = window;
        let took = micros(|| {
            written = claim(&mut log, now, next, BATCH);
            next += BATCH;
        });
        times.push((window as f64, took / BATCH as f64));
        sizes.push((window as f64, bytes("claim_kept", window)? / 1e3));
    }
    let each = vec![(BATCH as f64, written as f64 / BATCH as f64)];
    Ok(vec![
        Slope::of("claim", "µs a claim with its settlement", "key kept", times),
        Slope::of("claim_kept", "KB a shard", "key kept", sizes),
        Slope::of(
            "claim_written",
            "bytes a claim, settlement included",
            "claim of a commit",
            each,
        ),
    ])
}

fn members() -> Vec<Slope> {
    let (mut subsets, mut links, mut all) = (Vec::new(), Vec::new(), Vec::new());
    for count in [9, 90, 180, 350] {
        let mut view = View::new();
        view.replace_all((0..count).map(|i| member::Object {
            name: format_compact!("entry-{i}"),
            incarnation: 1,
            address: format_compact!("10.0.0.{i}:7000"),
            zone: format_compact!("zone-{}", i % ZONES),
        }));
        let x = count as f64;
        let mut key = 0;
        let ranked = || {
            key += 1;
            view.subset(hash::mix(key), CANDIDATES).len()
        };
        subsets.push((x, micros(ranked)));
        let linked = || view.links("entry-0", LINKS.0, LINKS.1).len();
        links.push((x, micros(linked)));
        let wanting = || {
            let others = view.members().keys();
            others
                .filter(|name| view.links(name, LINKS.0, LINKS.1).contains("entry-0"))
                .count()
        };
        all.push((x, micros(wanting) / x));
    }
    vec![
        Slope::of(
            "ranked",
            "µs a look for a duty's candidates",
            "entry",
            subsets,
        ),
        Slope::of("links", "µs a look for own links", "entry", links),
        Slope::of(
            "wanted",
            "µs an entry, a look who wants a link",
            "entry",
            all,
        ),
    ]
}

/// A document with so many trainers, each with its pool and scorer.
fn document(trainers: usize) -> Document {
    let mut document = Document::default();
    for i in 0..trainers {
        let (engines, scorer) = (format_compact!("pool-{i}"), format_compact!("scorer-{i}"));
        document
            .pools
            .insert(engines.clone(), pool(PoolKind::Engine, Some("model")));
        document
            .pools
            .insert(scorer.clone(), pool(PoolKind::Service, None));
        document.trainers.insert(
            format_compact!("trainer-{i}"),
            Trainer {
                pool: engines,
                bound: 2,
                share: 1,
                scorer: Some(scorer),
            },
        );
    }
    document
}

fn pool(kind: PoolKind, model: Option<&str>) -> Pool {
    Pool {
        kind,
        model: model.map(Into::into),
        slots: 8,
        non_idempotent: vec!["POST /orders".into()],
        checks_fencing: true,
        floor: 0.5,
        loads: 64,
    }
}

fn config() -> Vec<Slope> {
    let now = Time::ZERO;
    let (mut admits, mut stored, mut prepares) = (Vec::new(), Vec::new(), Vec::new());
    for trainers in [1, 19, 100] {
        let value = StoredConfig {
            number: 1,
            document: document(trainers),
            ..StoredConfig::default()
        };
        let x = trainers as f64;
        stored.push((x, json(&value) as f64));
        let prepare = Prepare {
            version: 1_234_567,
            number: 2,
            document: value.document.clone(),
            write_id: "entry-123.1764000000000000.1".into(),
        };
        let call = Call::Prepare {
            prepare: Box::new(prepare),
            leaves: BTreeSet::new(),
        };
        prepares.push((x, frame(call)));
        let mut register = Participant::new(now, "entry-0");
        let read = pinereel_core::config::ParticipantEvent::Read {
            sent_at: now,
            version: 1,
            stored: value,
        };
        register.step(now, read);
        admits.push((x, micros(|| register.admits(now)) * 1e3));
    }
    vec![
        Slope::of(
            "admits",
            "ns a look whether requests are admitted",
            "trainer",
            admits,
        ),
        Slope::of(
            "config_object",
            "bytes of the configuration's object",
            "trainer",
            stored,
        ),
        Slope::of("prepare", "bytes of a prepare frame", "trainer", prepares),
    ]
}

fn frame(call: Call) -> f64 {
    let frame = Frame::Call { id: 1, body: call };
    frame.encode().map_or(0.0, |bytes| bytes.len() as f64)
}

/// Sizes of what is sent again and again.
fn sizes() -> Vec<Slope> {
    let instance = Object {
        name: "draft-llm-1234".into(),
        version: 1_234_567,
        value: serde_json::to_value(Instance {
            incarnation: 1_764_000_000_000_000,
            address: "10.20.30.40:8000".into(),
            zone: "toledo-hall".into(),
            pool: "draft-llm".into(),
            state: InstanceState::Live,
        })
        .unwrap_or_default(),
    };
    let member = Object {
        name: "entry-123".into(),
        version: 1_234_567,
        value: serde_json::to_value(member::Object {
            name: "entry-123".into(),
            incarnation: 1_764_000_000_000_000,
            address: "10.20.30.40:7000".into(),
            zone: "toledo-hall".into(),
        })
        .unwrap_or_default(),
    };
    let summaries = [0, 19, 100].map(|models| (models as f64, summary(models, 0)));
    let leaving = [0, 8, 64].map(|endpoints| (endpoints as f64, summary(0, endpoints)));
    vec![
        Slope::of(
            "instance",
            "bytes in a list",
            "instance",
            vec![(1.0, json(&instance) as f64)],
        ),
        Slope::of(
            "member",
            "bytes in a list",
            "entry",
            vec![(1.0, json(&member) as f64)],
        ),
        Slope::of(
            "summary",
            "bytes a summary to a peer",
            "model",
            summaries.to_vec(),
        ),
        Slope::of(
            "summary_leaving",
            "bytes a summary to a peer",
            "leaving endpoint",
            leaving.to_vec(),
        ),
    ]
}

fn summary(models: usize, leaving: usize) -> f64 {
    let versions = (0..models).map(|i| (format_compact!("model-{i}"), Version(4_000)));
    let leaving = (0..leaving).map(|i| (format_compact!("draft-llm-{i}"), 1_764_000_000_000_000));
    let summary = Summary {
        number: 100_000,
        config_confirmed: true,
        sent_us: 86_400_000_000,
        echo: Some(Echo {
            incarnation: 1_764_000_000_000_000,
            sent_us: 86_400_000_000,
        }),
        versions: versions.collect::<BTreeMap<_, _>>(),
        leaving: leaving.collect(),
        crashes: Vec::new(),
        draining: false,
    };
    Frame::Summary(summary)
        .encode()
        .map_or(0.0, |bytes| bytes.len() as f64)
}

fn json(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}
