//! Patches on a site that works: accepted, raced, repeated, refused.

#![allow(clippy::unwrap_used)]

mod config_help;

use compact_str::CompactString;
use config_help::{admits, bound, get, in_force, options, patch, post, site, status};
use futures_util::future::join_all;
use pinereel::{controllers::members, objects::Purpose};
use pinereel_api::{
    object::CONFIG,
    operator::{Checked, Config},
    wire::{Call, Reply},
};
use pinereel_core::config::{Document, Prepare};
use pinereel_fakes::site::{Site, wait_until};
use serde_json::{Value, json};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Rounds of racing patches that are measured.
const ROUNDS: u64 = 30;
/// How long idle entries are measured.
const IDLE: Duration = Duration::from_secs(5);
/// Most bytes a second that an entry may send and receive for control.
const MAX_BYTES: u64 = 6_000;
/// Most calls a second of all entries for configuration and membership.
const MAX_CALLS: u64 = 30;
/// Entries that propose at once.
const RACERS: usize = 4;

#[actix_rt::test]
async fn racing_patches_have_one_winner_each_and_its_number_is_in_force_everywhere() {
    let site = site(9).await;
    let (mut answered, mut everywhere) = (Vec::new(), Vec::new());
    for base in 1..=ROUNDS {
        let start = Instant::now();
        let from = usize::try_from(base).unwrap();
        let racers: Vec<_> = (0..RACERS)
            .map(|i| &site.entries[(from + 2 * i) % 9])
            .collect();
        let patches = racers.iter().enumerate().map(|(i, entry)| {
            let value = 100 * base + i as u64;
            let id = format!("p{value}");
            async move {
                let answer = patch(entry, base, &id, bound(value)).await;
                (value, start.elapsed(), answer)
            }
        });
        let force = async {
            wait_until(|| in_force(&site, base + 1)).await.unwrap();
            start.elapsed()
        };
        let (answers, force) = futures_util::future::join(join_all(patches), force).await;
        let won: Vec<_> = answers.iter().filter(|(.., a)| a.0 == 200).collect();
        assert_eq!(won.len(), 1, "{answers:?}");
        assert_eq!(won[0].2.1, json!({ "number": base + 1 }));
        for (.., (code, problem)) in answers.iter().filter(|(.., a)| a.0 != 200) {
            assert_eq!(*code, 409, "{problem}");
            assert_eq!(problem["code"], "conflict");
            let message = problem["message"].as_str().unwrap();
            assert!(message.contains(&(base + 1).to_string()), "{message}");
        }
        for entry in &site.entries {
            let pin = entry.shared.config.snapshot().unwrap();
            assert_eq!(pin.document.trainers["dispatch"].bound, won[0].0);
        }
        answered.push(won[0].1);
        everywhere.push(force);
    }
    let (a, e) = (figures(&mut answered), figures(&mut everywhere));
    println!("9 entries, {RACERS} racing patches a round, {ROUNDS} rounds, from the sending:");
    println!("winner answered p50 {:?} max {:?}", a.0, a.1);
    println!("in force on all p50 {:?} max {:?}", e.0, e.1);
    assert!(e.1 < Duration::from_secs(5), "{e:?}");
}

fn figures(times: &mut [Duration]) -> (Duration, Duration) {
    times.sort();
    (times[times.len() / 2], times[times.len() - 1])
}

#[actix_rt::test]
async fn repeated_patch_gets_its_first_number_from_any_entry() {
    let site = site(3).await;
    let first = patch(&site.entries[0], 1, "more", bound(3)).await;
    assert_eq!(first, (200, json!({ "number": 2 })));
    let next = patch(&site.entries[1], 2, "less", bound(1)).await;
    assert_eq!(next, (200, json!({ "number": 3 })));
    for entry in &site.entries {
        assert_eq!(patch(entry, 1, "more", bound(3)).await, first);
    }
    let (code, problem) = patch(&site.entries[2], 1, "more", bound(4)).await;
    assert_eq!((code, &problem["code"]), (422, &json!("key_conflict")));
    assert!(in_force(&site, 3));
}

#[actix_rt::test]
async fn first_patch_of_an_empty_site_has_base_0() {
    let empty = pinereel_fakes::site::Options {
        document: Document::default(),
        ..options(3)
    };
    let site = Site::start(empty).await.unwrap();
    assert!(in_force(&site, 0));
    let merge = serde_json::to_value(config_help::document()).unwrap();
    let answer = patch(&site.entries[2], 0, "first", merge).await;
    assert_eq!(answer, (200, json!({ "number": 1 })));
    wait_until(|| in_force(&site, 1)).await.unwrap();
    let (code, body) = get(&site.entries[0], "/v1/config").await;
    let shown: Config = serde_json::from_slice(&body).unwrap();
    assert_eq!((code, shown.number), (200, 1));
    let document: Document = serde_json::from_value(shown.document).unwrap();
    assert_eq!(document, config_help::document());
}

#[actix_rt::test]
async fn invalid_patch_is_refused_with_the_place_of_every_fault() {
    let site = site(2).await;
    let merge = json!({
        "pools": { "draft-llm": { "slots": 0 } },
        "trainers": { "dispatch": { "pool": "nowhere" } },
    });
    let body = json!({ "base": 1, "id": "bad", "merge": merge });
    for path in ["/v1/config", "/v1/config/check"] {
        let (code, problem) = post(&site.entries[0], path, &body).await;
        assert_eq!((code, &problem["code"]), (400, &json!("invalid_patch")));
        let message = problem["message"].as_str().unwrap();
        assert!(message.contains("/pools/draft-llm/slots"), "{message}");
        assert!(message.contains("/trainers/dispatch/pool"), "{message}");
    }
    assert!(in_force(&site, 1));
}

#[actix_rt::test]
async fn check_tells_the_document_and_changes_nothing() {
    let site = site(2).await;
    let body = json!({ "base": 1, "id": "try", "merge": bound(7) });
    let (code, answer) = post(&site.entries[1], "/v1/config/check", &body).await;
    let checked: Checked = serde_json::from_value(answer).unwrap();
    assert_eq!(code, 200);
    assert_eq!(checked.document["trainers"]["dispatch"]["bound"], 7);
    assert!(in_force(&site, 1));
    let stale = json!({ "base": 0, "id": "try", "merge": bound(7) });
    let (code, problem) = post(&site.entries[1], "/v1/config/check", &stale).await;
    assert_eq!((code, &problem["code"]), (409, &json!("conflict")));
}

#[actix_rt::test]
async fn operators_need_their_token() {
    let site = site(1).await;
    let address = site.operator_addresses()[0].clone();
    for path in ["/v1/config", "/v1/status", "/metrics"] {
        let url = format!("http://{address}{path}");
        let response = awc::Client::default().get(url).send().await.unwrap();
        assert_eq!(response.status(), 401, "{path}");
    }
    let url = format!("http://{address}/v1/config");
    let body = json!({ "base": 1, "id": "x", "merge": {} });
    let request = awc::Client::default().post(url).bearer_auth("wrong");
    let response = request.send_json(&body).await.unwrap();
    assert_eq!(response.status(), 401);
}

#[actix_rt::test]
async fn accepted_slots_reach_the_endpoints() {
    let with_engine = pinereel_fakes::site::Options {
        engine_pools: vec![("draft-llm".into(), 1)],
        ..options(2)
    };
    let site = Site::start(with_engine).await.unwrap();
    let merge = json!({ "pools": { "draft-llm": { "slots": 3 } } });
    let answer = patch(&site.entries[0], 1, "slots", merge).await;
    assert_eq!(answer.0, 200, "{answer:?}");
    let slots = |entry: &pinereel::entry::Entry| {
        let set = entry.shared.endpoints.set();
        set.iter().map(|(_, e)| e.slots).collect::<Vec<_>>()
    };
    wait_until(|| site.entries.iter().all(|e| slots(e) == [3]))
        .await
        .unwrap();
}

#[actix_rt::test]
async fn status_and_metrics_name_entries_numbers_and_object_calls() {
    let site = site(3).await;
    patch(&site.entries[0], 1, "more", bound(3)).await;
    // Before the next summaries of the others, which still told of 1.
    wait_until(|| in_force(&site, 2)).await.unwrap();
    let status = status(&site.entries[1]).await;
    assert_eq!((status.entry.as_str(), status.number), ("entry-1", 2));
    assert_eq!(status.entries.len(), 3);
    assert!(status.entries.values().all(|e| e.number == 2 && !e.lags));
    assert!(status.object_calls["config"] > 0 && status.object_calls["members"] > 0);
    let (_, metrics) = get(&site.entries[1], "/metrics").await;
    let metrics = String::from_utf8(metrics).unwrap();
    assert!(metrics.contains("pinereel_config_number 2"), "{metrics}");
    assert!(metrics.contains("purpose=\"config\""), "{metrics}");
}

#[actix_rt::test]
async fn few_entries_of_each_zone_watch() {
    let site = site(9).await;
    let watching = || site.object_api.stats().waiting_by_kind.get(CONFIG).copied();
    wait_until(|| watching() == Some(6)).await.unwrap();
}

/// What an entry spends on its peers and on the object API while nothing happens.
#[actix_rt::test]
async fn idle_entries_cost_little() {
    for count in [9, 20] {
        let site = site(count).await;
        let before: Vec<_> = site.entries.iter().map(costs).collect();
        tokio::time::sleep(IDLE).await;
        let after = site.entries.iter().map(costs);
        let spent: Vec<_> = after
            .zip(before)
            .map(|(a, b)| (a.0 - b.0, a.1 - b.1))
            .collect();
        let bytes = spent.iter().map(|s| s.0).max().unwrap() / IDLE.as_secs();
        let calls: u64 = spent.iter().map(|s| s.1).sum();
        let links = site
            .entries
            .iter()
            .map(|e| e.shared.mesh.linked_peers().len());
        println!(
            "{count} idle entries: at most {} links and {bytes} bytes a second sent and received; \
             config and members: {:.1} calls a second together",
            links.max().unwrap(),
            calls as f64 / IDLE.as_secs_f64(),
        );
        assert!(bytes < MAX_BYTES, "{bytes}");
        assert!(calls <= MAX_CALLS * IDLE.as_secs(), "{calls}");
    }
}

/// Bytes on links, and calls for configuration and membership.
fn costs(entry: &pinereel::entry::Entry) -> (u64, u64) {
    let (sent, received) = entry.shared.mesh.byte_counts();
    let calls = entry.shared.objects.call_counts();
    let own = calls
        .iter()
        .filter(|((purpose, _), _)| matches!(purpose, Purpose::Config | Purpose::Members));
    (sent + received, own.map(|(_, count)| count).sum())
}

/// More entries than are linked with each other: the prepare takes two levels.
#[actix_rt::test]
async fn patch_reaches_entries_without_a_link_by_relays() {
    let site = site(20).await;
    let proposer = &site.entries[0];
    assert!(proposer.shared.mesh.linked_peers().len() < 19);
    let answer = patch(proposer, 1, "far", bound(3)).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    wait_until(|| in_force(&site, 2)).await.unwrap();
    let status = status(proposer).await;
    assert_eq!(status.entries.len(), 20);
    assert!(
        status.entries.values().all(|e| e.number == 2 && !e.lags),
        "{status:?}"
    );
}

/// A relay carries each message of a patch to its leaves, and answers for them.
#[actix_rt::test]
async fn relay_passes_messages_to_its_leaves() {
    let site = site(20).await;
    let from = &site.entries[0].shared;
    let branch = &site.entries[4..12];
    let names = branch.iter().map(|entry| entry.shared.name().clone());
    let (relay, leaves) = (CompactString::from("entry-4"), names.skip(1).collect());
    let leaves: BTreeSet<_> = leaves;
    let send = async |call| members::call(from, &relay, call, Duration::from_secs(5)).await;
    let prepare = |version, write: &str| Call::Prepare {
        prepare: Box::new(Prepare {
            version,
            number: 2,
            document: Document::default(),
            write_id: write.into(),
        }),
        leaves: leaves.clone(),
    };
    let mut all = leaves.clone();
    all.insert(relay.clone());
    let confirmed = Some(Reply::Confirmed(all));
    assert_eq!(send(prepare(1_000, "first")).await, confirmed);
    let vouch = || {
        let now = branch[0].shared.now();
        branch
            .iter()
            .filter(|e| e.shared.config.is_up_to_date(now))
            .count()
    };
    assert_eq!(vouch(), 0, "a prepared patch may come into force");
    let abort = Call::Abort {
        write: "first".into(),
        leaves: leaves.clone(),
    };
    assert_eq!(send(abort).await, Some(Reply::Done));
    wait_until(|| vouch() == branch.len()).await.unwrap();
    assert_eq!(send(prepare(1_001, "second")).await, confirmed);
    let commit = Call::Commit {
        number: 2,
        write: "second".into(),
        leaves: leaves.clone(),
    };
    assert_eq!(send(commit).await, Some(Reply::Done));
    wait_until(|| branch.iter().all(|e| admits(e) == Ok(2)))
        .await
        .unwrap();
}

#[actix_rt::test]
async fn document_that_does_not_fit_the_object_is_refused() {
    let site = site(2).await;
    let pool =
        json!({ "kind": "service", "non_idempotent": [format!("POST /{}", "x".repeat(1_000))] });
    let pools: serde_json::Map<_, _> = (0..400)
        .map(|i| (format!("pool-{i}"), pool.clone()))
        .collect();
    let (code, problem) = patch(&site.entries[0], 1, "big", json!({ "pools": pools })).await;
    assert_eq!(
        (code, &problem["code"]),
        (400, &json!("invalid_patch")),
        "{problem}"
    );
    let (code, problem) = patch(&site.entries[0], 1, &"x".repeat(129), bound(3)).await;
    assert_eq!(
        (code, &problem["code"]),
        (400, &json!("bad_request")),
        "{problem}"
    );
    assert_eq!(patch(&site.entries[0], 1, "a", bound(3)).await.0, 200);
}

#[actix_rt::test]
async fn drain_by_the_operators_takes_the_entry_out_of_later_patches() {
    let quick = "[drain]\nbalancer_lag = 10ms\nlongest = 5s\n[log]\ndecisions = false\n";
    let quick = pinereel_fakes::site::Options {
        extra_settings: quick.into(),
        ..options(3)
    };
    let mut site = Site::start(quick).await.unwrap();
    let leaving = site.entries.remove(2);
    let (code, _) = post(&leaving, "/v1/drain", &Value::Null).await;
    assert_eq!(code, 202);
    leaving.run_until_drained().await;
    assert!(admits(&leaving).is_err());
    let answer = patch(&site.entries[0], 1, "without", bound(3)).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
}
