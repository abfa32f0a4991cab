//! Configuration patches on a site without faults: accepted, competing, repeated and refused ones.

#![allow(clippy::unwrap_used)]

mod config_support;

use compact_str::CompactString;
use config_support::{
    admits, all_admit_under, bound_merge, get, options, patch, post, start_site, status,
};
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

/// Number of measured rounds of competing patches.
const ROUNDS: u64 = 30;
/// Time for which idle entries are measured.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Maximum number of bytes per second that an idle entry may send to and receive from its peers.
const MAX_BYTES_PER_SECOND: u64 = 6_000;
/// Maximum number of calls per second to the object API for configuration and membership, of all
/// idle entries together.
const MAX_CALLS_PER_SECOND: u64 = 30;
/// Number of entries that coordinate a patch at the same time.
const COMPETING_PATCHES: usize = 4;

#[actix_rt::test]
async fn exactly_one_of_competing_patches_is_accepted_and_in_force_at_all_entries() {
    let site = start_site(9).await;
    let (mut answer_times, mut in_force_times) = (Vec::new(), Vec::new());
    for base in 1..=ROUNDS {
        let start = Instant::now();
        let first = usize::try_from(base).unwrap();
        let coordinators: Vec<_> = (0..COMPETING_PATCHES)
            .map(|i| &site.entries[(first + 2 * i) % 9])
            .collect();
        let patches = coordinators.iter().enumerate().map(|(i, entry)| {
            let value = 100 * base + i as u64;
            let id = format!("p{value}");
            async move {
                let answer = patch(entry, base, &id, bound_merge(value)).await;
                (value, start.elapsed(), answer)
            }
        });
        let wait_in_force = async {
            wait_until(|| all_admit_under(&site, base + 1))
                .await
                .unwrap();
            start.elapsed()
        };
        let (answers, in_force_time) =
            futures_util::future::join(join_all(patches), wait_in_force).await;
        let accepted: Vec<_> = answers.iter().filter(|(.., a)| a.0 == 200).collect();
        assert_eq!(accepted.len(), 1, "{answers:?}");
        assert_eq!(accepted[0].2.1, json!({ "number": base + 1 }));
        for (.., (http_status, problem)) in answers.iter().filter(|(.., a)| a.0 != 200) {
            assert_eq!(*http_status, 409, "{problem}");
            assert_eq!(problem["code"], "conflict");
            let message = problem["message"].as_str().unwrap();
            assert!(message.contains(&(base + 1).to_string()), "{message}");
        }
        for entry in &site.entries {
            let snapshot = entry.shared.config.snapshot().unwrap();
            assert_eq!(snapshot.document.trainers["dispatch"].bound, accepted[0].0);
        }
        answer_times.push(accepted[0].1);
        in_force_times.push(in_force_time);
    }
    let (answered, in_force) = (
        median_and_max(&mut answer_times),
        median_and_max(&mut in_force_times),
    );
    println!(
        "9 entries, {COMPETING_PATCHES} competing patches per round, {ROUNDS} rounds, times from submission:"
    );
    println!(
        "accepted patch answered: p50 {:?} max {:?}",
        answered.0, answered.1
    );
    println!(
        "in force at all entries: p50 {:?} max {:?}",
        in_force.0, in_force.1
    );
    assert!(in_force.1 < Duration::from_secs(5), "{in_force:?}");
}

fn median_and_max(times: &mut [Duration]) -> (Duration, Duration) {
    times.sort();
    (times[times.len() / 2], times[times.len() - 1])
}

#[actix_rt::test]
async fn a_repeated_patch_gets_its_first_number_from_any_entry() {
    let site = start_site(3).await;
    let first = patch(&site.entries[0], 1, "more", bound_merge(3)).await;
    assert_eq!(first, (200, json!({ "number": 2 })));
    let second = patch(&site.entries[1], 2, "less", bound_merge(1)).await;
    assert_eq!(second, (200, json!({ "number": 3 })));
    for entry in &site.entries {
        assert_eq!(patch(entry, 1, "more", bound_merge(3)).await, first);
    }
    let (http_status, problem) = patch(&site.entries[2], 1, "more", bound_merge(4)).await;
    assert_eq!(
        (http_status, &problem["code"]),
        (422, &json!("key_conflict"))
    );
    assert!(all_admit_under(&site, 3));
}

#[actix_rt::test]
async fn the_first_patch_of_a_site_without_configuration_has_base_0() {
    let options = pinereel_fakes::site::Options {
        document: Document::default(),
        ..options(3)
    };
    let site = Site::start(options).await.unwrap();
    assert!(all_admit_under(&site, 0));
    let merge = serde_json::to_value(config_support::document()).unwrap();
    let answer = patch(&site.entries[2], 0, "first", merge).await;
    assert_eq!(answer, (200, json!({ "number": 1 })));
    wait_until(|| all_admit_under(&site, 1)).await.unwrap();
    let (http_status, body) = get(&site.entries[0], "/v1/config").await;
    let shown: Config = serde_json::from_slice(&body).unwrap();
    assert_eq!((http_status, shown.number), (200, 1));
    let document: Document = serde_json::from_value(shown.document).unwrap();
    assert_eq!(document, config_support::document());
}

#[actix_rt::test]
async fn an_invalid_patch_is_refused_with_the_path_of_every_fault() {
    let site = start_site(2).await;
    let merge = json!({
        "pools": { "draft-llm": { "slots": 0 } },
        "trainers": { "dispatch": { "pool": "nowhere" } },
    });
    let body = json!({ "base": 1, "id": "bad", "merge": merge });
    for path in ["/v1/config", "/v1/config/check"] {
        let (http_status, problem) = post(&site.entries[0], path, &body).await;
        assert_eq!(
            (http_status, &problem["code"]),
            (400, &json!("invalid_patch"))
        );
        let message = problem["message"].as_str().unwrap();
        assert!(message.contains("/pools/draft-llm/slots"), "{message}");
        assert!(message.contains("/trainers/dispatch/pool"), "{message}");
    }
    assert!(all_admit_under(&site, 1));
}

#[actix_rt::test]
async fn a_check_returns_the_resulting_document_and_changes_nothing() {
    let site = start_site(2).await;
    let body = json!({ "base": 1, "id": "try", "merge": bound_merge(7) });
    let (http_status, answer) = post(&site.entries[1], "/v1/config/check", &body).await;
    let checked: Checked = serde_json::from_value(answer).unwrap();
    assert_eq!(http_status, 200);
    assert_eq!(checked.document["trainers"]["dispatch"]["bound"], 7);
    assert!(all_admit_under(&site, 1));
    let stale = json!({ "base": 0, "id": "try", "merge": bound_merge(7) });
    let (http_status, problem) = post(&site.entries[1], "/v1/config/check", &stale).await;
    assert_eq!((http_status, &problem["code"]), (409, &json!("conflict")));
}

#[actix_rt::test]
async fn operator_requests_without_the_token_are_refused() {
    let site = start_site(1).await;
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
async fn accepted_slots_apply_to_the_endpoints() {
    let options = pinereel_fakes::site::Options {
        engine_pools: vec![("draft-llm".into(), 1)],
        ..options(2)
    };
    let site = Site::start(options).await.unwrap();
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
async fn status_and_metrics_report_entries_numbers_and_object_calls() {
    let site = start_site(3).await;
    patch(&site.entries[0], 1, "more", bound_merge(3)).await;
    // The status is read before the next summaries of the other entries arrive; their previous
    // summaries reported number 1.
    wait_until(|| all_admit_under(&site, 2)).await.unwrap();
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
async fn two_entries_of_each_zone_watch_the_configuration() {
    let site = start_site(9).await;
    let watch_count = || site.object_api.stats().waiting_by_kind.get(CONFIG).copied();
    wait_until(|| watch_count() == Some(6)).await.unwrap();
}

/// Measures the traffic with peers and the calls to the object API without requests and patches.
#[actix_rt::test]
async fn idle_entries_stay_within_the_limits_of_traffic_and_calls() {
    for count in [9, 20] {
        let site = start_site(count).await;
        let before: Vec<_> = site.entries.iter().map(traffic_and_calls).collect();
        tokio::time::sleep(IDLE_TIME).await;
        let after = site.entries.iter().map(traffic_and_calls);
        let differences: Vec<_> = after
            .zip(before)
            .map(|(a, b)| (a.0 - b.0, a.1 - b.1))
            .collect();
        let bytes = differences.iter().map(|s| s.0).max().unwrap() / IDLE_TIME.as_secs();
        let calls: u64 = differences.iter().map(|s| s.1).sum();
        let links = site
            .entries
            .iter()
            .map(|e| e.shared.mesh.linked_peers().len());
        println!(
            "{count} idle entries: at most {} links and {bytes} bytes per second sent and received; \
             config and members: {:.1} calls per second in total",
            links.max().unwrap(),
            calls as f64 / IDLE_TIME.as_secs_f64(),
        );
        assert!(bytes < MAX_BYTES_PER_SECOND, "{bytes}");
        assert!(
            calls <= MAX_CALLS_PER_SECOND * IDLE_TIME.as_secs(),
            "{calls}"
        );
    }
}

/// Bytes sent to and received from peers, and calls to the object API for configuration and
/// membership.
fn traffic_and_calls(entry: &pinereel::entry::Entry) -> (u64, u64) {
    let (sent, received) = entry.shared.mesh.byte_counts();
    let calls = entry.shared.objects.call_counts();
    let counted = calls
        .iter()
        .filter(|((purpose, _), _)| matches!(purpose, Purpose::Config | Purpose::Members));
    (sent + received, counted.map(|(_, count)| count).sum())
}

/// With so many entries they are not all linked with each other, so the messages of a patch go
/// through relays.
#[actix_rt::test]
async fn a_patch_reaches_entries_without_a_link_through_relays() {
    let site = start_site(20).await;
    let coordinator = &site.entries[0];
    assert!(coordinator.shared.mesh.linked_peers().len() < 19);
    let answer = patch(coordinator, 1, "far", bound_merge(3)).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
    wait_until(|| all_admit_under(&site, 2)).await.unwrap();
    let status = status(coordinator).await;
    assert_eq!(status.entries.len(), 20);
    assert!(
        status.entries.values().all(|e| e.number == 2 && !e.lags),
        "{status:?}"
    );
}

/// A relay forwards each message of a patch to its leaves and responds for them.
#[actix_rt::test]
async fn a_relay_forwards_messages_to_its_leaves() {
    let site = start_site(20).await;
    let sender = &site.entries[0].shared;
    let subtree = &site.entries[4..12];
    let names = subtree.iter().map(|entry| entry.shared.name().clone());
    let (relay, leaves) = (CompactString::from("entry-4"), names.skip(1).collect());
    let leaves: BTreeSet<_> = leaves;
    let send = async |call| members::call(sender, &relay, call, Duration::from_secs(5)).await;
    let prepare = |version, write: &str| Call::Prepare {
        prepare: Box::new(Prepare {
            version,
            number: 2,
            document: Document::default(),
            write_id: write.into(),
        }),
        leaves: leaves.clone(),
    };
    let mut recipients = leaves.clone();
    recipients.insert(relay.clone());
    let confirmed = Some(Reply::Confirmed(recipients));
    assert_eq!(send(prepare(1_000, "first")).await, confirmed);
    let up_to_date_count = || {
        let now = subtree[0].shared.now();
        subtree
            .iter()
            .filter(|e| e.shared.config.is_up_to_date(now))
            .count()
    };
    assert_eq!(
        up_to_date_count(),
        0,
        "an entry with a prepared patch is up to date"
    );
    let abort = Call::Abort {
        write: "first".into(),
        leaves: leaves.clone(),
    };
    assert_eq!(send(abort).await, Some(Reply::Done));
    wait_until(|| up_to_date_count() == subtree.len())
        .await
        .unwrap();
    assert_eq!(send(prepare(1_001, "second")).await, confirmed);
    let commit = Call::Commit {
        number: 2,
        write: "second".into(),
        leaves: leaves.clone(),
    };
    assert_eq!(send(commit).await, Some(Reply::Done));
    wait_until(|| subtree.iter().all(|e| admits(e) == Ok(2)))
        .await
        .unwrap();
}

#[actix_rt::test]
async fn a_patch_with_a_too_large_document_or_id_is_refused() {
    let site = start_site(2).await;
    let pool =
        json!({ "kind": "service", "non_idempotent": [format!("POST /{}", "x".repeat(1_000))] });
    let pools: serde_json::Map<_, _> = (0..400)
        .map(|i| (format!("pool-{i}"), pool.clone()))
        .collect();
    let (http_status, problem) = patch(&site.entries[0], 1, "big", json!({ "pools": pools })).await;
    assert_eq!(
        (http_status, &problem["code"]),
        (400, &json!("invalid_patch")),
        "{problem}"
    );
    let (http_status, problem) = patch(&site.entries[0], 1, &"x".repeat(129), bound_merge(3)).await;
    assert_eq!(
        (http_status, &problem["code"]),
        (400, &json!("bad_request")),
        "{problem}"
    );
    assert_eq!(patch(&site.entries[0], 1, "a", bound_merge(3)).await.0, 200);
}

#[actix_rt::test]
async fn an_entry_drained_by_operators_does_not_block_later_patches() {
    let settings = "[drain]\nbalancer_lag = 10ms\nlongest = 5s\n[log]\ndecisions = false\n";
    let options = pinereel_fakes::site::Options {
        extra_settings: settings.into(),
        ..options(3)
    };
    let mut site = Site::start(options).await.unwrap();
    let leaving = site.entries.remove(2);
    let (http_status, _) = post(&leaving, "/v1/drain", &Value::Null).await;
    assert_eq!(http_status, 202);
    leaving.run_until_drained().await;
    assert!(admits(&leaving).is_err());
    let answer = patch(&site.entries[0], 1, "without", bound_merge(3)).await;
    assert_eq!(answer, (200, json!({ "number": 2 })));
}
