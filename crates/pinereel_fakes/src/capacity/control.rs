//! Decisions about claims, membership, configuration and rollouts; sizes of control messages.

use super::{
    fit::Measurement,
    meter::{cpu_micros_per_call, measure_bytes},
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

/// Number of availability zones.
const ZONES: usize = 9;
/// Number of entries that are candidates for one duty.
const CANDIDATES: usize = 3;
/// Number of links that an entry opens to entries of its own availability zone.
const LINKS_IN_ZONE: usize = 3;
/// Number of links that an entry opens to entries of other availability zones.
const LINKS_OUT_OF_ZONE: usize = 3;
/// Number of claims in a commit.
const COMMIT_CLAIMS: usize = 100;
/// Size of the body of a stored response, in bytes.
const RESPONSE_BYTES: usize = 200;

/// Measures claims, membership, configuration, rollouts and message sizes.
///
/// # Errors
/// Memory could not be measured, see [`measure_bytes`].
pub fn measure() -> io::Result<Vec<Measurement>> {
    let mut measurements = measure_claims()?;
    measurements.extend(measure_membership());
    measurements.extend(measure_config());
    measurements.extend(rollout::measure());
    measurements.extend(measure_message_sizes());
    Ok(measurements)
}

/// Claims and settles `count` keys from number `first`, in commits of [`COMMIT_CLAIMS`]. Returns the
/// number of bytes written.
fn claim_and_settle(log: &mut claim::Log, now: Time, first: usize, count: usize) -> usize {
    let mut written = 0;
    let keys: Vec<_> = (first..first + count).collect();
    for batch in keys.chunks(COMMIT_CLAIMS) {
        let (mut claims, mut settles) = (Vec::new(), Vec::new());
        for key in batch {
            let (request, key) = (format_compact!("entry-3.{key:012x}"), idempotency_key(*key));
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
        written += handle_actions(log, now, claims);
        for key in batch {
            let (request, key) = (format_compact!("entry-3.{key:012x}"), idempotency_key(*key));
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
                        body: Some("x".repeat(RESPONSE_BYTES)),
                    }),
                },
            ));
        }
        written += handle_actions(log, now, settles);
    }
    written
}

/// Idempotency key number `index`.
fn idempotency_key(index: usize) -> CompactString {
    format_compact!("{:032x}", hash::mix(index as u64))
}

/// Executes the log's actions until none is left. Returns the number of bytes written.
fn handle_actions(log: &mut claim::Log, now: Time, mut actions: Vec<claim::Action>) -> usize {
    let mut written = 0;
    while let Some(action) = actions.pop() {
        let event = match action {
            claim::Action::Create { segment, .. } => {
                written += json_bytes(&segment);
                claim::Event::Created
            }
            claim::Action::ReadBase => claim::Event::Base(0),
            claim::Action::Trim { to, .. } => claim::Event::Base(to),
            _ => continue,
        };
        actions.extend(log.step(now, event));
    }
    written
}

fn empty_log() -> claim::Log {
    let limits = claim::Limits {
        max_batch: COMMIT_CLAIMS,
        max_waiting: COMMIT_CLAIMS,
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

/// A log with `count` settled keys.
pub(super) fn log_with_claims(count: usize) -> claim::Log {
    let mut log = empty_log();
    claim_and_settle(&mut log, Time::from_millis(1), 0, count);
    log
}

fn measure_claims() -> io::Result<Vec<Measurement>> {
    let (mut times, mut sizes, mut written) = (Vec::new(), Vec::new(), 0);
    let now = Time::from_millis(1);
    for kept in [1_000, 10_000, 50_000] {
        let mut log = log_with_claims(kept);
        let mut next = kept;
        let micros = cpu_micros_per_call(|| {
            written = claim_and_settle(&mut log, now, next, COMMIT_CLAIMS);
            next += COMMIT_CLAIMS;
        });
        times.push((kept as f64, micros / COMMIT_CLAIMS as f64));
        sizes.push((kept as f64, measure_bytes("claim_kept", kept)? / 1e3));
    }
    let bytes_per_claim = vec![(COMMIT_CLAIMS as f64, written as f64 / COMMIT_CLAIMS as f64)];
    Ok(vec![
        Measurement::new("claim", "µs a claim with its settlement", "key kept", times),
        Measurement::new("claim_kept", "KB a shard", "key kept", sizes),
        Measurement::new(
            "claim_written",
            "bytes a claim, settlement included",
            "claim of a commit",
            bytes_per_claim,
        ),
    ])
}

fn measure_membership() -> Vec<Measurement> {
    let (mut candidates, mut links, mut linked_entries) = (Vec::new(), Vec::new(), Vec::new());
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
        let find_candidates = || {
            key += 1;
            view.subset(hash::mix(key), CANDIDATES).len()
        };
        candidates.push((x, cpu_micros_per_call(find_candidates)));
        let find_links = || {
            view.links("entry-0", LINKS_IN_ZONE, LINKS_OUT_OF_ZONE)
                .len()
        };
        links.push((x, cpu_micros_per_call(find_links)));
        let count_linked_entries = || {
            let names = view.members().keys();
            names
                .filter(|name| {
                    view.links(name, LINKS_IN_ZONE, LINKS_OUT_OF_ZONE)
                        .contains("entry-0")
                })
                .count()
        };
        linked_entries.push((x, cpu_micros_per_call(count_linked_entries) / x));
    }
    vec![
        Measurement::new(
            "ranked",
            "µs a look for a duty's candidates",
            "entry",
            candidates,
        ),
        Measurement::new("links", "µs a look for own links", "entry", links),
        Measurement::new(
            "wanted",
            "µs an entry, a look who wants a link",
            "entry",
            linked_entries,
        ),
    ]
}

/// A configuration document with `trainers` trainers, each with its pool and scorer.
fn document_with_trainers(trainers: usize) -> Document {
    let mut document = Document::default();
    for i in 0..trainers {
        let (engines, scorer) = (format_compact!("pool-{i}"), format_compact!("scorer-{i}"));
        document.pools.insert(
            engines.clone(),
            default_pool(PoolKind::Engine, Some("model")),
        );
        document
            .pools
            .insert(scorer.clone(), default_pool(PoolKind::Service, None));
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

fn default_pool(kind: PoolKind, model: Option<&str>) -> Pool {
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

fn measure_config() -> Vec<Measurement> {
    let now = Time::ZERO;
    let (mut admits, mut stored, mut prepares) = (Vec::new(), Vec::new(), Vec::new());
    for trainers in [1, 19, 100] {
        let value = StoredConfig {
            number: 1,
            document: document_with_trainers(trainers),
            ..StoredConfig::default()
        };
        let x = trainers as f64;
        stored.push((x, json_bytes(&value) as f64));
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
        prepares.push((x, call_frame_bytes(call)));
        let mut participant = Participant::new(now, "entry-0");
        let read = pinereel_core::config::ParticipantEvent::Read {
            sent_at: now,
            version: 1,
            stored: value,
        };
        participant.step(now, read);
        admits.push((x, cpu_micros_per_call(|| participant.admits(now)) * 1e3));
    }
    vec![
        Measurement::new(
            "admits",
            "ns a look whether requests are admitted",
            "trainer",
            admits,
        ),
        Measurement::new(
            "config_object",
            "bytes of the configuration's object",
            "trainer",
            stored,
        ),
        Measurement::new("prepare", "bytes of a prepare frame", "trainer", prepares),
    ]
}

fn call_frame_bytes(call: Call) -> f64 {
    let frame = Frame::Call { id: 1, body: call };
    frame.encode().map_or(0.0, |bytes| bytes.len() as f64)
}

/// Sizes of objects and frames that are sent periodically.
fn measure_message_sizes() -> Vec<Measurement> {
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
    let summaries = [0, 19, 100].map(|models| (models as f64, summary_frame_bytes(models, 0)));
    let leaving = [0, 8, 64].map(|endpoints| (endpoints as f64, summary_frame_bytes(0, endpoints)));
    vec![
        Measurement::new(
            "instance",
            "bytes in a list",
            "instance",
            vec![(1.0, json_bytes(&instance) as f64)],
        ),
        Measurement::new(
            "member",
            "bytes in a list",
            "entry",
            vec![(1.0, json_bytes(&member) as f64)],
        ),
        Measurement::new(
            "summary",
            "bytes a summary to a peer",
            "model",
            summaries.to_vec(),
        ),
        Measurement::new(
            "summary_leaving",
            "bytes a summary to a peer",
            "leaving endpoint",
            leaving.to_vec(),
        ),
    ]
}

fn summary_frame_bytes(models: usize, leaving: usize) -> f64 {
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

fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}
